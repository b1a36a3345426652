"""The operators' view of one process, available from its start to its end."""

from __future__ import annotations

from typing import Protocol

from mallowlug.core.disabled_hosts import DisabledHosts
from mallowlug.core.metrics import Gauges, Metrics
from mallowlug.core.relay import RelayCore

NO_GAUGES = Gauges(0, 0, 0, 0)


class FleetView(Protocol):
    """The view of the fleet, as far as the console shows it."""

    def metrics_text(self) -> str:
        """Return the fleet's metrics in the Prometheus exposition format."""

    def members_json(self) -> str:
        """Return the members as JSON."""


class OperatorInterface:
    """What the console can read and change in this process."""

    def __init__(self, metrics: Metrics, disabled_hosts: DisabledHosts) -> None:
        self._metrics, self._disabled_hosts = metrics, disabled_hosts
        self.core: RelayCore | None = None  # None until the journal is replayed
        self.known_hosts: set[str] = set()  # hosts known before the core is running
        self.fleet: FleetView | None = None  # None where this relay is in no fleet
        self.serving = False  # listening for clients and not shutting down

    @property
    def ready(self) -> bool:
        """Whether this process accepts messages now."""
        return self.serving and self.core is not None and self.core.list_known

    def metrics_text(self) -> str:
        """Return all metrics in the Prometheus exposition format."""
        text = self._metrics.render(self.core.gauges if self.core is not None else NO_GAUGES)
        return text + (self.fleet.metrics_text() if self.fleet is not None else "")

    def fleet_json(self) -> str:
        """Return the view of the fleet as JSON; empty where there is none."""
        return self.fleet.members_json() if self.fleet is not None else ""

    def disable_host(self, host: str) -> str:
        """Disable a host, also one that is disabled already and not listed now.

        Returns why it failed, or an empty string.
        """
        return self._disabled_hosts.disable(host) if self._is_known(host) else f"unknown host: {host}"

    def enable_host(self, host: str) -> str:
        """Enable a host; returns why it failed, or an empty string."""
        return self._disabled_hosts.enable(host) if self._is_known(host) else f"unknown host: {host}"

    def _is_known(self, host: str) -> bool:
        if host in self._disabled_hosts.hosts:
            return True
        return host in self.known_hosts if self.core is None else self.core.is_listed(host)
