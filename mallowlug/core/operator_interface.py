"""What on-call staff ask of one process, whichever part of its life it is in."""

from __future__ import annotations

from typing import Protocol

from mallowlug.core.disabled_hosts import DisabledHosts
from mallowlug.core.metrics import Gauges, Metrics
from mallowlug.core.relay import RelayCore

NOTHING = Gauges(0, 0, 0, 0)


class FleetView(Protocol):
    """What staff ask of the view of the fleet."""

    def figures(self) -> str:
        """Its figures, in the exposition format."""

    def table(self) -> str:
        """The members as JSON."""


class OperatorInterface:
    """The process as the console sees it."""

    def __init__(self, figures: Metrics, outs: DisabledHosts) -> None:
        self._figures, self._outs = figures, outs
        self.driver: RelayCore | None = None  # once the journal is taken up
        self.names: set[str] = set()  # hosts that are known before the journal is taken up
        self.fleet: FleetView | None = None  # where this relay keeps a view of the others
        self.serving = False  # listening for clients, and not told to end

    @property
    def ready(self) -> bool:
        """Whether this process would take a message on now."""
        return self.serving and self.driver is not None and self.driver.listed

    def figures(self) -> str:
        """All figures as text."""
        text = self._figures.text(self.driver.gauges if self.driver is not None else NOTHING)
        return text + (self.fleet.figures() if self.fleet is not None else "")

    def members(self) -> str:
        """The view of the fleet as JSON; empty where none is kept."""
        return self.fleet.table() if self.fleet is not None else ""

    def disable_host(self, host: str) -> str:
        """Leave a host out; else why not. One that is out stays so, whether or not it is listed now."""
        return self._outs.disable(host) if self._known(host) else f"unknown host: {host}"

    def enable_host(self, host: str) -> str:
        """The host may serve again; else why not."""
        return self._outs.enable(host) if self._known(host) else f"unknown host: {host}"

    def _known(self, host: str) -> bool:
        if host in self._outs.hosts:
            return True
        return host in self.names if self.driver is None else self.driver.lists(host)
