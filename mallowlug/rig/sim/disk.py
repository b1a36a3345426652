"""A simulated disk: what a process wrote outlasts it; what was synced, and only that, outlasts the machine.

POSIX promises an order between a rename and what follows it only once the folder is synced: at the loss of a
machine each change of a folder that was not may be there or not, in order, and of bytes that were not synced
any number from the front may be there.
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
    """An inode: what a reader sees, and what is safe from the loss of the machine."""

    data: bytearray = field(default_factory=bytearray)
    synced: bytes = b""


@dataclass(slots=True)
class OpenFile:
    """A descriptor."""

    path: Path
    file: Inode
    owner: Lifetime | None
    locked: bool = False


class SimDisk:
    """One machine's files, over all lives of its relay."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.files: dict[Path, Inode] = {}
        self._synced_names: dict[Path, Inode] = {}  # names as they are known to be on the disk
        self._unsynced_changes: list[
            Callable[[dict[Path, Inode]], object]
        ] = []  # of names, since the last sync
        self._descriptors: dict[int, OpenFile] = {}
        self._next_descriptor = 3
        self.full = False  # nothing more fits, until it does again

    @staticmethod
    def _begin_call(call: str, data: bytes = b"") -> tuple[Lifetime | None, str]:
        """A system call begins (``data``: what the journal gets, or another file's name).

        ``Killed`` where its life ends before it, ``OSError`` where it fails.
        """
        lifetime = CURRENT_LIFETIME.get()
        return lifetime, "" if lifetime is None else lifetime.begin_call(call, data)

    @staticmethod
    def _end_call(lifetime: Lifetime | None, outcome: str) -> None:
        if lifetime is not None:
            lifetime.end_call(outcome)

    def read(self, path: Path) -> bytes:
        """A file's whole content."""
        lifetime, outcome = self._begin_call("read")
        self._end_call(lifetime, outcome)
        if path not in self.files:
            raise os_error(errno.ENOENT)
        return bytes(self.files[path].data)

    def open(self, path: Path, flags: int) -> int:
        """A descriptor, of a new file where there was none."""
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
        """Append; fewer bytes than asked for where the disk is full or the fault says so."""
        file = self._inode_of(fd)
        name = self._descriptors[fd].path.name
        lifetime, outcome = self._begin_call("write", data if name == "journal" else name.encode())
        taken = data[: len(data) // 2] if outcome in ("within", "short") else data
        if self.full:
            free_in_block = -len(file.data) % BLOCK_BYTES  # what is left of the last block
            taken = taken[:free_in_block]
            if not taken:
                raise os_error(errno.ENOSPC)
        file.data += taken
        self._end_call(lifetime, outcome)
        return len(taken)

    def truncate(self, fd: int, size: int) -> None:
        """Cut a file off."""
        lifetime, outcome = self._begin_call("truncate")
        if outcome != "within":
            del self._inode_of(fd).data[size:]
        self._end_call(lifetime, outcome)

    def close(self, fd: int) -> None:
        """Let go of a descriptor; a dead life has none."""
        lifetime = CURRENT_LIFETIME.get()
        if lifetime is None or lifetime.alive:
            self._inode_of(fd)
            del self._descriptors[fd]

    def replace(self, source: Path, target: Path) -> None:
        """Put one file in another's place."""
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
        """Remove a file; one that is not there is no error."""
        lifetime, outcome = self._begin_call("unlink")
        if outcome != "within" and self.files.pop(path, None) is not None:
            self._unsynced_changes.append(lambda names: names.pop(path, None))
        self._end_call(lifetime, outcome)

    def lock(self, fd: int) -> bool:
        """Lock the file; False where another descriptor has it."""
        file = self._inode_of(fd)
        lifetime, outcome = self._begin_call("lock")
        held = [entry for entry in self._descriptors.values() if entry.locked and entry.file is file]
        self._descriptors[fd].locked = not held or held == [self._descriptors[fd]]
        self._end_call(lifetime, outcome)
        return self._descriptors[fd].locked

    def names(self, _folder: Path) -> list[str]:
        """What the machine's one folder holds."""
        lifetime, outcome = self._begin_call("names")
        self._end_call(lifetime, outcome)
        return [path.name for path in self.files if path.parent == _folder]

    def sync(self, fd: int) -> None:
        """What the file holds is safe from the loss of the machine."""
        lifetime, outcome = self._begin_call("sync")
        if outcome != "within":
            file = self._inode_of(fd)
            file.synced = bytes(file.data)
        self._end_call(lifetime, outcome)

    def sync_folder(self, _path: Path) -> None:
        """The names are safe from it; a machine here has one folder."""
        lifetime, outcome = self._begin_call("sync_folder")
        if outcome != "within":
            self._synced_names, self._unsynced_changes = dict(self.files), []
        self._end_call(lifetime, outcome)

    def lock_holder(self, path: Path) -> Lifetime | None:
        """Who has a file's lock."""
        file = self.files.get(path)
        locks = (entry for entry in self._descriptors.values() if entry.locked and entry.file is file)
        return next((entry.owner for entry in locks), None)

    def descriptor_count(self, lifetime: Lifetime) -> int:
        """How many descriptors a life has."""
        return sum(entry.owner is lifetime for entry in self._descriptors.values())

    def close_descriptors_of(self, lifetime: Lifetime) -> None:
        """A life has ended: its descriptors go."""
        self._descriptors = {
            fd: entry for fd, entry in self._descriptors.items() if entry.owner is not lifetime
        }

    def crash(self) -> None:
        """The machine is lost and comes back: some of what was not synced is gone."""
        names = dict(self._synced_names)
        for change in self._unsynced_changes[: self.rng.randint(0, len(self._unsynced_changes))]:
            change(names)
        for file in names.values():
            held, safe = bytes(file.data), file.synced
            if held.startswith(safe):
                kept = held[: self.rng.randint(len(safe), len(held))]
            else:  # cut off since, and perhaps written again: either state may be there
                kept = self.rng.choice((safe, held))
            file.data, file.synced = bytearray(kept), kept
        self.files, self._synced_names, self._unsynced_changes = names, dict(names), []
        self._descriptors.clear()

    def wipe(self) -> None:
        """The machine is lost with its disk."""
        self.files, self._synced_names, self._unsynced_changes = {}, {}, []
        self._descriptors.clear()

    def install_file(self, path: Path, data: bytes) -> None:
        """A file that somebody else brings; no fault of the disk touches it."""
        self.files[path] = Inode(bytearray(data), data)
        self._synced_names[path] = self.files[path]
