"""Wall time for deadlines and journaled attempts that does not jump while the relay runs or restarts.

The machine's wall clock may be set at any time. Its monotonic clock continues over restarts of the process
until the machine reboots, so the offset between the two is stored in the state folder, with the machine's
boot id: a process that finds an offset of the same boot uses it. The wall clock is read again only after a
reboot.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from pathlib import Path

from mallowlug.system import System, write_file

LOG = logging.getLogger(__name__)
FILE = "clock"


class Clock:
    """Microseconds since the epoch, advancing with the event loop's monotonic time."""

    def __init__(self, offset_us: int, monotonic_s: Callable[[], float], store: Callable[[], bool]) -> None:
        self._offset_us, self._monotonic_s, self._store = offset_us, monotonic_s, store
        self.saved = store()  # whether the offset is stored for the next process

    def __call__(self) -> int:
        """Return microseconds since the epoch."""
        return int(self._monotonic_s() * 1e6) + self._offset_us

    def retry_save(self) -> None:
        """Store the offset again, where the disk did not take it."""
        self.saved = self.saved or self._store()


def create_clock(system: System, folder: Path, monotonic_s: Callable[[], float]) -> Clock:
    """Create a clock with the stored offset of this boot, else with a new one from the wall clock."""
    boot, path = system.boot(), folder / FILE
    if (offset_us := load_offset(system, path, boot)) is not None:
        return Clock(offset_us, monotonic_s, lambda: True)
    offset_us_now = system.wall_ns() // 1000 - int(monotonic_s() * 1e6)
    return Clock(offset_us_now, monotonic_s, lambda: store_offset(system, path, f"{boot} {offset_us_now}\n"))


def load_offset(system: System, path: Path, boot: str) -> int | None:
    """Return the offset stored since the machine's boot; None where there is none or it is incomplete."""
    try:
        named, _, offset = system.disk.read(path).decode("ascii").partition(" ")
        return int(offset) if boot and named == boot and offset.endswith("\n") else None
    except (OSError, ValueError):
        return None


def store_offset(system: System, path: Path, line: str) -> bool:
    """Store the offset; False where that fails: then a restarted process would read the wall clock."""
    try:
        written = write_file(system.disk, path, line.encode("ascii"))
    except OSError as error:
        LOG.error("clock: cannot store the offset for the next process: %s", error)
        return False
    return written
