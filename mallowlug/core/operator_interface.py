"""What on-call staff ask of one process, whichever part of its life it is in."""

from __future__ import annotations

from typing import Protocol

from mallowlug.core.disabled_hosts import DisabledHosts
from mallowlug.core.metrics import Gauges, Metrics
from mallowlug.core.relay import RelayCore

NO_GAUGES = Gauges(0, 0, 0, 0)


class FleetView(Protocol):
    """What staff ask of the view of the fleet."""

    def metrics_text(self) -> str:
        """Its figures, in the exposition format."""

    def members_json(self) -> str:
        """The members as JSON."""


class OperatorInterface:
    """The process as the console sees it."""

    def __init__(self, metrics: Metrics, disabled_hosts: DisabledHosts) -> None:
        self._metrics, self._disabled_hosts = metrics, disabled_hosts
        self.core: RelayCore | None = None  # once the journal is taken up
        self.known_hosts: set[str] = set()  # hosts that are known before the journal is taken up
        self.fleet: FleetView | None = None  # where this relay keeps a view of the others
        self.serving = False  # listening for clients, and not told to end

    @property
    def ready(self) -> bool:
        """Whether this process would take a message on now."""
        return self.serving and self.core is not None and self.core.list_known

    def metrics_text(self) -> str:
        """All figures as text."""
        text = self._metrics.render(self.core.gauges if self.core is not None else NO_GAUGES)
        return text + (self.fleet.metrics_text() if self.fleet is not None else "")

    def fleet_json(self) -> str:
        """The view of the fleet as JSON; empty where none is kept."""
        return self.fleet.members_json() if self.fleet is not None else ""

    def disable_host(self, host: str) -> str:
        """Leave a host out; else why not. One that is out stays so, whether or not it is listed now."""
        return self._disabled_hosts.disable(host) if self._is_known(host) else f"unknown host: {host}"

    def enable_host(self, host: str) -> str:
        """The host may serve again; else why not."""
        return self._disabled_hosts.enable(host) if self._is_known(host) else f"unknown host: {host}"

    def _is_known(self, host: str) -> bool:
        if host in self._disabled_hosts.hosts:
            return True
        return host in self.known_hosts if self.core is None else self.core.is_listed(host)
