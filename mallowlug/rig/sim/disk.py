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

from mallowlug.rig.sim.loop import LIFE, Life
from mallowlug.rig.sim.net import failure
from mallowlug.system import TRUNCATE

BLOCK = 512


@dataclass(slots=True, eq=False)
class File:
    """An inode: what a reader sees, and what is safe from the loss of the machine."""

    data: bytearray = field(default_factory=bytearray)
    synced: bytes = b""


@dataclass(slots=True)
class Open:
    """A descriptor."""

    path: Path
    file: File
    owner: Life | None
    locked: bool = False


class SimDisk:
    """One machine's files, over all lives of its relay."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.files: dict[Path, File] = {}
        self._synced: dict[Path, File] = {}  # names as they are known to be on the disk
        self._changes: list[Callable[[dict[Path, File]], object]] = []  # of names, since the last sync
        self._open: dict[int, Open] = {}
        self._next = 3
        self.full = False  # nothing more fits, until it does again

    @staticmethod
    def _begin(call: str, data: bytes = b"") -> tuple[Life | None, str]:
        """A system call begins (``data``: what the journal gets, or another file's name).

        ``Killed`` where its life ends before it, ``OSError`` where it fails.
        """
        life = LIFE.get()
        return life, "" if life is None else life.begin(call, data)

    @staticmethod
    def _leave(life: Life | None, how: str) -> None:
        if life is not None:
            life.leave(how)

    def read(self, path: Path) -> bytes:
        """A file's whole content."""
        life, how = self._begin("read")
        self._leave(life, how)
        if path not in self.files:
            raise failure(errno.ENOENT)
        return bytes(self.files[path].data)

    def open(self, path: Path, flags: int) -> int:
        """A descriptor, of a new file where there was none."""
        life, how = self._begin("open")
        file = self.files.get(path)
        if file is None:
            file = self.files[path] = File()
            self._changes.append(lambda names: names.__setitem__(path, file))
        if flags & TRUNCATE:
            file.data.clear()
        fd, self._next = self._next, self._next + 1
        self._open[fd] = Open(path, file, life)
        self._leave(life, how)
        return fd

    def _file(self, fd: int) -> File:
        if fd not in self._open:
            raise failure(errno.EBADF)
        return self._open[fd].file

    def write(self, fd: int, data: bytes) -> int:
        """Append; fewer bytes than asked for where the disk is full or the fault says so."""
        file = self._file(fd)
        name = self._open[fd].path.name
        life, how = self._begin("write", data if name == "journal" else name.encode())
        taken = data[: len(data) // 2] if how in ("within", "short") else data
        if self.full:
            room = -len(file.data) % BLOCK  # what is left of the last block
            taken = taken[:room]
            if not taken:
                raise failure(errno.ENOSPC)
        file.data += taken
        self._leave(life, how)
        return len(taken)

    def truncate(self, fd: int, size: int) -> None:
        """Cut a file off."""
        life, how = self._begin("truncate")
        if how != "within":
            del self._file(fd).data[size:]
        self._leave(life, how)

    def close(self, fd: int) -> None:
        """Let go of a descriptor; a dead life has none."""
        life = LIFE.get()
        if life is None or life.alive:
            self._file(fd)
            del self._open[fd]

    def replace(self, source: Path, target: Path) -> None:
        """Put one file in another's place."""
        life, how = self._begin("replace")
        if how != "within":
            if source not in self.files:
                raise failure(errno.ENOENT)
            file = self.files[target] = self.files.pop(source)
            for entry in self._open.values():
                if entry.file is file:
                    entry.path = target

            def changed(names: dict[Path, File]) -> None:
                names.pop(source, None)
                names[target] = file

            self._changes.append(changed)
        self._leave(life, how)

    def unlink(self, path: Path) -> None:
        """Remove a file; one that is not there is no error."""
        life, how = self._begin("unlink")
        if how != "within" and self.files.pop(path, None) is not None:
            self._changes.append(lambda names: names.pop(path, None))
        self._leave(life, how)

    def lock(self, fd: int) -> bool:
        """Lock the file; False where another descriptor has it."""
        file = self._file(fd)
        life, how = self._begin("lock")
        held = [entry for entry in self._open.values() if entry.locked and entry.file is file]
        self._open[fd].locked = not held or held == [self._open[fd]]
        self._leave(life, how)
        return self._open[fd].locked

    def names(self, _folder: Path) -> list[str]:
        """What the machine's one folder holds."""
        life, how = self._begin("names")
        self._leave(life, how)
        return [path.name for path in self.files if path.parent == _folder]

    def sync(self, fd: int) -> None:
        """What the file holds is safe from the loss of the machine."""
        life, how = self._begin("sync")
        if how != "within":
            file = self._file(fd)
            file.synced = bytes(file.data)
        self._leave(life, how)

    def sync_folder(self, _path: Path) -> None:
        """The names are safe from it; a machine here has one folder."""
        life, how = self._begin("sync_folder")
        if how != "within":
            self._synced, self._changes = dict(self.files), []
        self._leave(life, how)

    def holder(self, path: Path) -> Life | None:
        """Who has a file's lock."""
        file = self.files.get(path)
        locks = (entry for entry in self._open.values() if entry.locked and entry.file is file)
        return next((entry.owner for entry in locks), None)

    def opened_by(self, life: Life) -> int:
        """How many descriptors a life has."""
        return sum(entry.owner is life for entry in self._open.values())

    def release(self, life: Life) -> None:
        """A life has ended: its descriptors go."""
        self._open = {fd: entry for fd, entry in self._open.items() if entry.owner is not life}

    def crash(self) -> None:
        """The machine is lost and comes back: some of what was not synced is gone."""
        names = dict(self._synced)
        for change in self._changes[: self.rng.randint(0, len(self._changes))]:
            change(names)
        for file in names.values():
            held, safe = bytes(file.data), file.synced
            if held.startswith(safe):
                kept = held[: self.rng.randint(len(safe), len(held))]
            else:  # cut off since, and perhaps written again: either state may be there
                kept = self.rng.choice((safe, held))
            file.data, file.synced = bytearray(kept), kept
        self.files, self._synced, self._changes = names, dict(names), []
        self._open.clear()

    def wipe(self) -> None:
        """The machine is lost with its disk."""
        self.files, self._synced, self._changes = {}, {}, []
        self._open.clear()

    def put(self, path: Path, data: bytes) -> None:
        """A file that somebody else brings; no fault of the disk touches it."""
        self.files[path] = File(bytearray(data), data)
        self._synced[path] = self.files[path]
