"""A simulated disk: written data survives the process; only synced data survives the loss of the machine.

POSIX orders a rename before what follows it only once the directory is synced. After the loss of a machine,
unsynced directory changes survive up to any point of their order, and any prefix of the unsynced bytes of a
file may be there.
"""

from __future__ import annotations

import errno
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from mallowlug.rig.sim.loop import CURRENT_LIFETIME, Lifetime
from mallowlug.rig.sim.net import os_error
from mallowlug.system import TRUNCATE

BLOCK_BYTES = 512


@dataclass(slots=True, eq=False)
class Inode:
    """An inode: the content that readers see, and the content that survives the loss of the machine."""

    data: bytearray = field(default_factory=bytearray)
    synced: bytes = b""


@dataclass(slots=True)
class OpenFile:
    """An open file descriptor."""

    path: Path
    file: Inode
    owner: Lifetime | None
    locked: bool = False


class SimDisk:
    """The files of one machine, across all process lifetimes of its relay."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.files: dict[Path, Inode] = {}
        self._synced_names: dict[Path, Inode] = {}  # directory entries as of the last directory sync
        # Directory changes since then, in order.
        self._unsynced_changes: list[Callable[[dict[Path, Inode]], object]] = []
        self._descriptors: dict[int, OpenFile] = {}
        self._next_descriptor = 3
        self.full = False  # while set, writes get only the rest of the last block, then ENOSPC

    @staticmethod
    def _begin_call(call: str, data: bytes = b"") -> tuple[Lifetime | None, str]:
        """Begin a system call; return the current process and the outcome.

        ``data``: what is written to the journal, or the name of another file. Raises ``Killed`` if the
        process dies before the call, and ``OSError`` if the call fails.
        """
        lifetime = CURRENT_LIFETIME.get()
        return lifetime, "" if lifetime is None else lifetime.begin_call(call, data)

    @staticmethod
    def _end_call(lifetime: Lifetime | None, outcome: str) -> None:
        if lifetime is not None:
            lifetime.end_call(outcome)

    def read(self, path: Path) -> bytes:
        """Return the whole content of a file."""
        lifetime, outcome = self._begin_call("read")
        self._end_call(lifetime, outcome)
        if path not in self.files:
            raise os_error(errno.ENOENT)
        return bytes(self.files[path].data)

    def open(self, path: Path, flags: int) -> int:
        """Open a file and return its descriptor; create the file if it does not exist."""
        lifetime, outcome = self._begin_call("open")
        file = self.files.get(path)
        if file is None:
            file = self.files[path] = Inode()
            self._unsynced_changes.append(lambda names: names.__setitem__(path, file))
        if flags & TRUNCATE:
            file.data.clear()
        fd, self._next_descriptor = self._next_descriptor, self._next_descriptor + 1
        self._descriptors[fd] = OpenFile(path, file, lifetime)
        self._end_call(lifetime, outcome)
        return fd

    def _inode_of(self, fd: int) -> Inode:
        if fd not in self._descriptors:
            raise os_error(errno.EBADF)
        return self._descriptors[fd].file

    def write(self, fd: int, data: bytes) -> int:
        """Append and return the number of bytes written: fewer on a full disk or an injected short write."""
        file = self._inode_of(fd)
        name = self._descriptors[fd].path.name
        lifetime, outcome = self._begin_call("write", data if name == "journal" else name.encode())
        taken = data[: len(data) // 2] if outcome in ("within", "short") else data
        if self.full:
            free_in_block = -len(file.data) % BLOCK_BYTES  # the rest of the last block
            taken = taken[:free_in_block]
            if not taken:
                raise os_error(errno.ENOSPC)
        file.data += taken
        self._end_call(lifetime, outcome)
        return len(taken)

    def truncate(self, fd: int, size: int) -> None:
        """Truncate a file."""
        lifetime, outcome = self._begin_call("truncate")
        if outcome != "within":
            del self._inode_of(fd).data[size:]
        self._end_call(lifetime, outcome)

    def close(self, fd: int) -> None:
        """Close a descriptor; those of a dead process are closed already."""
        lifetime = CURRENT_LIFETIME.get()
        if lifetime is None or lifetime.alive:
            self._inode_of(fd)
            del self._descriptors[fd]

    def replace(self, source: Path, target: Path) -> None:
        """Rename a file over another."""
        lifetime, outcome = self._begin_call("replace")
        if outcome != "within":
            if source not in self.files:
                raise os_error(errno.ENOENT)
            file = self.files[target] = self.files.pop(source)
            for entry in self._descriptors.values():
                if entry.file is file:
                    entry.path = target

            def apply(names: dict[Path, Inode]) -> None:
                names.pop(source, None)
                names[target] = file

            self._unsynced_changes.append(apply)
        self._end_call(lifetime, outcome)

    def unlink(self, path: Path) -> None:
        """Remove a file; a missing file is not an error."""
        lifetime, outcome = self._begin_call("unlink")
        if outcome != "within" and self.files.pop(path, None) is not None:
            self._unsynced_changes.append(lambda names: names.pop(path, None))
        self._end_call(lifetime, outcome)

    def lock(self, fd: int) -> bool:
        """Lock the file; return False if another descriptor holds the lock."""
        file = self._inode_of(fd)
        lifetime, outcome = self._begin_call("lock")
        held = [entry for entry in self._descriptors.values() if entry.locked and entry.file is file]
        self._descriptors[fd].locked = not held or held == [self._descriptors[fd]]
        self._end_call(lifetime, outcome)
        return self._descriptors[fd].locked

    def names(self, _folder: Path) -> list[str]:
        """List the files of the directory."""
        lifetime, outcome = self._begin_call("names")
        self._end_call(lifetime, outcome)
        return [path.name for path in self.files if path.parent == _folder]

    def sync(self, fd: int) -> None:
        """Make the file's content durable."""
        lifetime, outcome = self._begin_call("sync")
        if outcome != "within":
            file = self._inode_of(fd)
            file.synced = bytes(file.data)
        self._end_call(lifetime, outcome)

    def sync_folder(self, _path: Path) -> None:
        """Make all directory entries durable; a simulated machine has a single directory."""
        lifetime, outcome = self._begin_call("sync_folder")
        if outcome != "within":
            self._synced_names, self._unsynced_changes = dict(self.files), []
        self._end_call(lifetime, outcome)

    def lock_holder(self, path: Path) -> Lifetime | None:
        """Return the process that holds a file's lock."""
        file = self.files.get(path)
        locks = (entry for entry in self._descriptors.values() if entry.locked and entry.file is file)
        return next((entry.owner for entry in locks), None)

    def descriptor_count(self, lifetime: Lifetime) -> int:
        """Count the open descriptors of a process."""
        return sum(entry.owner is lifetime for entry in self._descriptors.values())

    def close_descriptors_of(self, lifetime: Lifetime) -> None:
        """Close all descriptors of a process that has ended."""
        self._descriptors = {
            fd: entry for fd, entry in self._descriptors.items() if entry.owner is not lifetime
        }

    def crash(self) -> None:
        """Lose power and restart: a random part of the unsynced data and directory changes is lost."""
        names = dict(self._synced_names)
        for change in self._unsynced_changes[: self.rng.randint(0, len(self._unsynced_changes))]:
            change(names)
        for file in names.values():
            current, synced = bytes(file.data), file.synced
            if current.startswith(synced):
                survived = current[: self.rng.randint(len(synced), len(current))]
            else:  # truncated since the sync, and perhaps rewritten: either state may survive
                survived = self.rng.choice((synced, current))
            file.data, file.synced = bytearray(survived), survived
        self.files, self._synced_names, self._unsynced_changes = names, dict(names), []
        self._descriptors.clear()

    def wipe(self) -> None:
        """Lose the machine together with its disk."""
        self.files, self._synced_names, self._unsynced_changes = {}, {}, []
        self._descriptors.clear()

    def install_file(self, path: Path, data: bytes) -> None:
        """Create a durable file from outside the relay; disk faults do not apply."""
        self.files[path] = Inode(bytearray(data), data)
        self._synced_names[path] = self.files[path]
