"""Ownership of the messages, decided by file locks in the state folder.

The one process that may read and write the journal holds the lock on ``owner``. A process that waits to take
over holds ``next`` until it gets ``owner``. So the owner can see that a successor waits, and a former owner
reclaims ``owner`` only if no process waits. The kernel releases the locks of a process that ends or is
killed; no PID and no clock takes part in the decision.
"""

from __future__ import annotations

import logging
from pathlib import Path

from mallowlug.system import APPEND, Disk

LOG = logging.getLogger(__name__)


class Lock:
    """An exclusive lock on one file; the file itself stays empty and is never removed."""

    def __init__(self, path: Path, disk: Disk) -> None:
        self._path, self._disk, self._fd = path, disk, -1

    @property
    def held(self) -> bool:
        """Whether this process holds the lock."""
        return self._fd >= 0

    def acquire(self) -> bool:
        """Acquire the lock without blocking; return whether it is held now.

        Raises ``OSError`` if the file cannot be opened.
        """
        if self.held:
            return True
        fd, held = self._disk.open(self._path, APPEND), False
        try:
            held = self._disk.lock(fd)
        finally:
            if not held:
                self._disk.close(fd)
        self._fd = fd if held else -1
        return held

    def release(self) -> None:
        """Release the lock, if it is held."""
        if self.held:
            fd, self._fd = self._fd, -1
            self._disk.close(fd)


class OwnershipLocks:
    """The locks that decide which process of a relay owns the state folder, and which one succeeds it."""

    def __init__(self, folder: Path, disk: Disk) -> None:
        self._owner, self._successor = Lock(folder / "owner", disk), Lock(folder / "next", disk)
        self._logged_errnos = set[int | None]()

    @property
    def owns(self) -> bool:
        """Whether this process owns the messages."""
        return self._owner.held

    def try_become_owner(self) -> bool:
        """Try once to become the owner; return whether this process owns the messages.

        A failed attempt may leave ``next`` held, so that the owner sees a waiting successor. Call it again to
        go on waiting.
        """
        try:
            if self._successor.acquire() and self._owner.acquire():
                self._successor.release()
        except OSError as error:
            self._log_lock_error(error)
        return self.owns

    def has_successor(self) -> bool:
        """Whether another process waits to take over; False if the lock file cannot be opened."""
        try:
            if not self._successor.acquire():
                return True
            self._successor.release()
        except OSError as error:
            self._log_lock_error(error)
        return False

    def _log_lock_error(self, error: OSError) -> None:
        """Log a failure once for each errno: callers retry many times a second."""
        if error.errno not in self._logged_errnos:
            self._logged_errnos.add(error.errno)
            LOG.error("upgrade: cannot open the lock files of the state folder: %s", error)

    def release_ownership(self) -> None:
        """Release ``owner`` for the waiting successor."""
        self._owner.release()

    def try_reclaim(self) -> bool:
        """Become the owner again if the successor is gone and no other process waits; return whether it is.

        ``owner`` is tried first. While another process holds it, ``next`` must not be touched: that process
        would take the attempt for a waiting successor and hand over.
        """
        try:
            if self._owner.acquire() and not self._successor.acquire():
                self._owner.release()
        except OSError as error:
            self._log_lock_error(error)
            self._owner.release()
        self._successor.release()
        return self.owns

    def release_all(self) -> None:
        """Release all locks; the kernel does the same for a process that is killed."""
        self._successor.release()
        self._owner.release()
