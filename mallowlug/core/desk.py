"""What on-call staff ask of one process, whichever part of its life it is in."""

from __future__ import annotations

from mallowlug.core.figures import Figures, Now
from mallowlug.core.relay import Driver

NOTHING = Now(0, 0, 0, 0)


class Desk:
    """The process as the console sees it."""

    def __init__(self, figures: Figures) -> None:
        self._figures = figures
        self.driver: Driver | None = None  # once the journal is taken up
        self.serving = False  # listening for clients, and not told to end

    @property
    def ready(self) -> bool:
        """Whether this process would take a message on now."""
        return self.serving and self.driver is not None and self.driver.listed

    def figures(self) -> str:
        """All figures as text."""
        return self._figures.text(self.driver.now if self.driver is not None else NOTHING)

    def put_out(self, host: str) -> str:
        """Leave a host out; not yet."""
        return f"no way to leave {host} out yet"

    def put_back(self, host: str) -> str:
        """The host may serve again; not yet."""
        return f"no way to take {host} back yet"
