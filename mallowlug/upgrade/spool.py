"""What the former owner's clients still bring: written to files of its own, from which the owner takes it.

The former owner (the door) appends each message before it says that it is taken on, and holds the lock of the
file that it writes. The owner adopts what is there and notes in the journal, in the same write, how far it
has read: an owner that is killed neither loses one nor adopts one twice. A file whose lock is free has no
writer any more; it is removed once it is read to its end.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass
from itertools import count, islice
from pathlib import Path
from typing import Any

import msgspec

from mallowlug.core.journal import encode_record, read_record
from mallowlug.core.model import Accepted, Answer, Failed, Refused, Submission
from mallowlug.core.reasons import RejectReason
from mallowlug.core.relay import SUBMISSION_FIELDS, RelayCore
from mallowlug.system import APPEND, Disk
from mallowlug.upgrade.locks import Lock

LOG = logging.getLogger(__name__)
PREFIX, NEW = "door.", "new."
NAMES = 3  # that a door tries for a file
MOST_FILE, MOST_FILES = 32 * 1024, 3  # bytes of one file before the next is begun; files that are not adopted


class Door:
    """Takes messages on for the owner; what a front talks to once its process owns nothing any more."""

    def __init__(self, folder: Path, disk: Disk, former: RelayCore, durable: bool = False) -> None:
        self._folder, self._disk, self._former, self._durable = folder, disk, former, durable
        self._lock: Lock | None = None
        self._fd, self._size, self._name = -1, 0, ""
        self._taken: set[str] = set()

    def clock(self) -> int:
        """Wall time in microseconds."""
        return self._former.clock()

    @property
    def refusal(self) -> Refused:
        """A refusal at the door, with when to come back."""
        return self._former.refusal

    def submit(self, handed: Submission, body: bytes) -> Answer:
        """Write the message down for the owner, or say why not."""
        if handed.id in self._taken or self._former.knows(handed.id):
            return Accepted()
        answer = self._former.reject_reason(handed) or self._spool(handed, body)
        if not isinstance(answer, Accepted):
            self._former.count_rejected(handed, answer)
        return answer

    def _spool(self, handed: Submission, body: bytes) -> Answer:
        fields, written = {name: getattr(handed, name) for name in SUBMISSION_FIELDS}, 0
        record = encode_record(["in", handed.id, fields, self._former.rules_record(handed.cls)], body)
        try:
            if not self._room(len(record)):
                return self._former.refusal_for(RejectReason.JOURNAL_FULL)
            written = self._disk.write(self._fd, record)
            if written < len(record):
                self._disk.truncate(self._fd, self._size)
                return self._former.refusal_for(RejectReason.JOURNAL_FULL)
            self._size += written
            if self._durable:
                self._disk.sync(self._fd)
        except OSError as error:
            # Of a record that may be on the disk nobody may say that it is not taken on.
            LOG.warning("door: a message is not kept: %s", error, extra={"message_id": handed.id})
            self.close()
            whole = written >= len(record)
            return Failed("not kept") if whole else self._former.refusal_for(RejectReason.JOURNAL_FULL)
        self._taken.add(handed.id)
        return Accepted()

    def _room(self, size: int) -> bool:
        """Whether there is a file to write to; a full one is left to the owner, and the next one begun."""
        if self._lock is not None and self._size + size <= MOST_FILE:
            return True
        there = [name for name in self._disk.names(self._folder) if name.startswith(PREFIX)]
        if len(there) >= MOST_FILES:
            return False
        self.close()
        # A burst fills a file within the clock's step, and another door may stand beside: no name twice.
        names = (f"{PREFIX}{self.clock()}.{at:04}" for at in count())
        for name in islice((name for name in names if name not in (*there, self._name)), NAMES):
            path, new = self._folder / name, self._folder / f"{NEW}{name}"
            lock = Lock(new, self._disk)
            if lock.take():
                break
        else:  # the owner's tidying may hold one for a moment, hardly the next one too
            return False
        self._name = name
        # Locked before it has its name: else the owner might find it free, take it for left, and remove it.
        self._disk.replace(new, path)
        if self._durable:
            self._disk.sync_folder(self._folder)
        self._lock, self._fd, self._size = lock, self._disk.open(path, APPEND), 0
        return True

    def close(self) -> None:
        """Write no more; the owner reads the rest."""
        if self._lock is not None:
            self._disk.close(self._fd)
            self._lock.free()
        self._lock, self._fd, self._size = None, -1, 0


@dataclass(frozen=True, slots=True)
class Spooled:
    """One message of a file, and where the next one begins."""

    handed: Submission
    body: bytes
    rules: dict[str, Any]
    end: int


def spooled_at(data: bytes, at: int) -> Spooled | None:
    """The message that begins there, once it is whole; ``ValueError`` where what is there is no message."""
    if (found := read_record(data, at)) is None:
        return None
    payload, end = found
    line, _, body = payload.partition(b"\n")
    try:
        _kind, _ref, fields, rules = msgspec.json.decode(line)
        return Spooled(Submission(**fields), body, dict(rules), end)
    except (msgspec.MsgspecError, TypeError) as error:
        raise ValueError(f"not a message: {error}") from None


class Adoption:
    """The owner's side: adopts what doors have written."""

    def __init__(self, folder: Path, disk: Disk, durable: bool = False) -> None:
        self._folder, self._disk, self._durable = folder, disk, durable

    def tidy(self) -> None:  # raises ``OSError``: a start that cannot read its folder has no use
        """Remove what a door had begun when it was killed; what one that lives has locked stays."""
        for name in self._disk.names(self._folder):
            lock = Lock(self._folder / name, self._disk)
            if name.startswith(NEW) and lock.take():
                self._disk.unlink(self._folder / name)
                lock.free()

    def look(self, driver: RelayCore) -> bool:
        """Adopt what is there now; whether any file was there, or nobody can tell."""
        try:
            names = sorted(name for name in self._disk.names(self._folder) if name.startswith(PREFIX))
        except OSError as error:  # no descriptor is left, perhaps; it is looked again soon
            LOG.debug("door: the folder cannot be read: %s", error)
            return True
        for name in names:
            try:
                self._adopt(name, driver)
            except OSError as error:
                LOG.error("door: %s cannot be read: %s", name, error)
        for name in [name for name in driver.spools if name not in names]:
            driver.forget_spool(name)
        return bool(names)

    def _adopt(self, name: str, driver: RelayCore) -> None:
        """Read a file on from where the journal says; first look whether its writer lives, then read."""
        lock = Lock(self._folder / name, self._disk)
        ended = lock.take()
        try:
            data, at = self._disk.read(self._folder / name), driver.spools.get(name, 0)
            try:
                while (message := spooled_at(data, at)) is not None:
                    driver.adopt(message.handed, message.body, message.rules, (name, message.end))
                    at = message.end
            except ValueError as error:
                LOG.error("door: %s is damaged at %d: %s", name, at, error)
            if ended and driver.flush_journal():  # else the file alone may hold what was adopted
                if (torn := len(data) - at) > 0:
                    LOG.warning("door: a torn tail of %d bytes in %s, never taken on", torn, name)
                self._disk.unlink(self._folder / name)
                if self._durable:  # else it may come back behind the note that it is gone, and be read anew
                    self._disk.sync_folder(self._folder)
                driver.forget_spool(name)
        finally:
            lock.free()
