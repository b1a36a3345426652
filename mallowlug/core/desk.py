"""What on-call staff ask of one process, whichever part of its life it is in."""

from __future__ import annotations

from mallowlug.core.figures import Figures, Now
from mallowlug.core.outs import Outs
from mallowlug.core.relay import Driver

NOTHING = Now(0, 0, 0, 0)


class Desk:
    """The process as the console sees it."""

    def __init__(self, figures: Figures, outs: Outs) -> None:
        self._figures, self._outs = figures, outs
        self.driver: Driver | None = None  # once the journal is taken up
        self.names: set[str] = set()  # hosts that are known before the journal is taken up
        self.serving = False  # listening for clients, and not told to end

    @property
    def ready(self) -> bool:
        """Whether this process would take a message on now."""
        return self.serving and self.driver is not None and self.driver.listed

    def figures(self) -> str:
        """All figures as text."""
        return self._figures.text(self.driver.now if self.driver is not None else NOTHING)

    def put_out(self, host: str) -> str:
        """Leave a host out; else why not. One that is out stays so, whether or not it is listed now."""
        return self._outs.put(host) if self._known(host) else f"unknown host: {host}"

    def put_back(self, host: str) -> str:
        """The host may serve again; else why not."""
        return self._outs.back(host) if self._known(host) else f"unknown host: {host}"

    def _known(self, host: str) -> bool:
        if host in self._outs.hosts:
            return True
        return host in self.names if self.driver is None else self.driver.lists(host)
