"""Who owns the messages: locks on files of the lasting folder, which the kernel takes away with a process.

``owner`` is held by the one process that may read and write the journal. Whoever wants to follow it holds
``next`` until it has ``owner``: so the owner sees that somebody waits, and one that has let go of ``owner``
takes it back only if nobody waits any more. No PID and no clock decides anything.
"""

from __future__ import annotations

import logging
from pathlib import Path

from mallowlug.system import APPEND, Disk

LOG = logging.getLogger(__name__)


class Lock:
    """One file's lock; the file stays where it is, empty."""

    def __init__(self, path: Path, disk: Disk) -> None:
        self._path, self._disk, self._fd = path, disk, -1

    @property
    def held(self) -> bool:
        """Whether this process has it."""
        return self._fd >= 0

    def acquire(self) -> bool:
        """Take it, if nobody has it; whether it is held now. ``OSError`` where the file cannot be had."""
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
        """Let it go."""
        if self.held:
            fd, self._fd = self._fd, -1
            self._disk.close(fd)


class OwnershipLocks:
    """This process's place in the line of those that own the folder, one after the other."""

    def __init__(self, folder: Path, disk: Disk) -> None:
        self._owner, self._successor = Lock(folder / "owner", disk), Lock(folder / "next", disk)
        self._logged_errnos = set[int | None]()

    @property
    def owns(self) -> bool:
        """Whether this process owns the messages."""
        return self._owner.held

    def try_become_owner(self) -> bool:
        """Wait in line, by being called again; True once this process owns the messages."""
        try:
            if self._successor.acquire() and self._owner.acquire():
                self._successor.release()
        except OSError as error:
            self._log_lock_error(error)
        return self.owns

    def has_successor(self) -> bool:
        """Whether another process waits to follow this one; not known counts as no."""
        try:
            if not self._successor.acquire():
                return True
            self._successor.release()
        except OSError as error:
            self._log_lock_error(error)
        return False

    def _log_lock_error(self, error: OSError) -> None:
        """Told once for each kind: it is tried again many times a second."""
        if error.errno not in self._logged_errnos:
            self._logged_errnos.add(error.errno)
            LOG.error("upgrade: the folder's locks cannot be had: %s", error)

    def release_ownership(self) -> None:
        """Let the messages go to the one that waits."""
        self._owner.release()

    def try_reclaim(self) -> bool:
        """Own the messages again, if the one that was to follow is gone and nobody else waits.

        ``owner`` first: while another process has it ``next`` is left alone, or that one would take this look
        for somebody who waits, and hand over.
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
        """Let go of everything; the kernel does the same where a process is killed."""
        self._successor.release()
        self._owner.release()
