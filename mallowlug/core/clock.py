"""Wall time for deadlines and attempts in the journal: it jumps neither within a life nor between two.

The machine's wall clock may be set at any time. Its monotonic clock goes on over all lives of a process for
as long as the machine runs, so the distance between the two is kept in the lasting folder with what names the
run of the machine: a life that finds it goes on counting where the last one stopped. Only after a new start
of the machine is the wall clock believed again.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from pathlib import Path

from mallowlug.system import System, save

LOG = logging.getLogger(__name__)
FILE = "clock"


class Clock:
    """Microseconds since the epoch, in step with the loop's time."""

    def __init__(self, offset_us: int, monotonic_s: Callable[[], float], store: Callable[[], bool]) -> None:
        self._offset_us, self._monotonic_s, self._store = offset_us, monotonic_s, store
        self.saved = store()  # for the lives to come

    def __call__(self) -> int:
        """Microseconds since the epoch."""
        return int(self._monotonic_s() * 1e6) + self._offset_us

    def retry_save(self) -> None:
        """Try again to keep it, where the disk did not take it."""
        self.saved = self.saved or self._store()


def create_clock(system: System, folder: Path, monotonic_s: Callable[[], float]) -> Clock:
    """The clock of the lives before this one, else one that is set by the wall and kept for those to come."""
    boot, path = system.boot(), folder / FILE
    if (offset_us := load_offset(system, path, boot)) is not None:
        return Clock(offset_us, monotonic_s, lambda: True)
    offset_us_now = system.wall_ns() // 1000 - int(monotonic_s() * 1e6)
    return Clock(offset_us_now, monotonic_s, lambda: store_offset(system, path, f"{boot} {offset_us_now}\n"))


def load_offset(system: System, path: Path, boot: str) -> int | None:
    """The distance that was kept in this run of the machine; None for none, or for one that is torn."""
    try:
        named, _, offset = system.disk.read(path).decode("ascii").partition(" ")
        return int(offset) if boot and named == boot and offset.endswith("\n") else None
    except (OSError, ValueError):
        return None


def store_offset(system: System, path: Path, line: str) -> bool:
    """Keep it; where that cannot be, a next life would go by the wall clock."""
    try:
        whole = save(system.disk, path, line.encode("ascii"))
    except OSError as error:
        LOG.error("clock: not kept for the next life: %s", error)
        return False
    return whole
