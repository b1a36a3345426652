"""Spool files: messages that clients still submit to a former owner, from which the owner adopts them.

The former owner appends each message to a spool file before it answers that the message is accepted, and
holds the lock on that file. The owner adopts the messages and records in the journal, in the same write, how
far it has read, so an owner that is killed neither loses a message nor adopts it twice. A file whose lock is
free has no writer any more; it is removed once it has been read to its end.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass
from itertools import count, islice
from pathlib import Path
from typing import Any

import msgspec

from mallowlug.core.model import Accepted, Answer, Failed, Refused, Submission
from mallowlug.core.reasons import RejectReason
from mallowlug.core.record_format import encode_record, read_record
from mallowlug.core.relay import SUBMISSION_FIELDS, RelayCore
from mallowlug.system import APPEND, Disk
from mallowlug.upgrade.locks import Lock

LOG = logging.getLogger(__name__)
SPOOL_PREFIX, UNFINISHED_PREFIX = "door.", "new."
MAX_NAME_ATTEMPTS = 3  # names tried for a new spool file
# Size of a file at which the next one is begun, and how many files may wait to be adopted.
MAX_FILE_BYTES, MAX_FILES = 32 * 1024, 3


class SpoolWriter:
    """The intake of a former owner: accepts messages by writing them to spool files for the owner."""

    def __init__(self, folder: Path, disk: Disk, former_core: RelayCore, durable: bool = False) -> None:
        self._folder, self._disk, self._former_core, self._durable = folder, disk, former_core, durable
        self._lock: Lock | None = None
        self._fd, self._size, self._name = -1, 0, ""
        self._accepted_ids: set[str] = set()

    def clock(self) -> int:
        """Wall time in microseconds."""
        return self._former_core.clock()

    @property
    def refusal(self) -> Refused:
        """The refusal for a front that cannot accept a request, with a wait before a retry."""
        return self._former_core.refusal

    def submit(self, submission: Submission, body: bytes) -> Answer:
        """Write the message to a spool file, or return why it is refused or failed."""
        if submission.id in self._accepted_ids or self._former_core.knows(submission.id):
            return Accepted()
        answer = self._former_core.reject_reason(submission) or self._append(submission, body)
        if not isinstance(answer, Accepted):
            self._former_core.count_rejected(submission, answer)
        return answer

    def _append(self, submission: Submission, body: bytes) -> Answer:
        fields, written = {name: getattr(submission, name) for name in SUBMISSION_FIELDS}, 0
        record = encode_record(
            ["in", submission.id, fields, self._former_core.rules_record(submission.cls)], body
        )
        try:
            if not self._ensure_file(len(record)):
                return self._former_core.refusal_for(RejectReason.JOURNAL_FULL)
            written = self._disk.write(self._fd, record)
            if written < len(record):
                self._disk.truncate(self._fd, self._size)
                return self._former_core.refusal_for(RejectReason.JOURNAL_FULL)
            self._size += written
            if self._durable:
                self._disk.sync(self._fd)
        except OSError as error:
            # A record that may be complete on the disk may be adopted, so it must not be answered as refused.
            LOG.warning("spool: cannot write a message: %s", error, extra={"message_id": submission.id})
            self.close()
            whole = written >= len(record)
            return Failed("not kept") if whole else self._former_core.refusal_for(RejectReason.JOURNAL_FULL)
        self._accepted_ids.add(submission.id)
        return Accepted()

    def _ensure_file(self, record_bytes: int) -> bool:
        """Make sure that a spool file with free space is open; return False if none can be had.

        A full file is left to the owner and the next one is begun.
        """
        if self._lock is not None and self._size + record_bytes <= MAX_FILE_BYTES:
            return True
        spool_files = [name for name in self._disk.names(self._folder) if name.startswith(SPOOL_PREFIX)]
        if len(spool_files) >= MAX_FILES:
            return False
        self.close()
        # Names must be unique: a burst can fill a file within one step of the clock, and another process may
        # be writing spool files, too.
        candidates = (f"{SPOOL_PREFIX}{self.clock()}.{at:04}" for at in count())
        for name in islice(
            (name for name in candidates if name not in (*spool_files, self._name)), MAX_NAME_ATTEMPTS
        ):
            if (lock := self._create_locked(name)) is not None:
                break
        else:  # the owner's clean-up may take one of the names, hardly all of them
            return False
        self._name = name
        if self._durable:
            self._disk.sync_folder(self._folder)
        self._lock, self._fd, self._size = lock, self._disk.open(self._folder / name, APPEND), 0
        return True

    def _create_locked(self, name: str) -> Lock | None:
        """Create an empty spool file, locked; return None if the owner's clean-up came in between.

        Locked before the rename: else the owner could find the file unlocked, take its writer for dead and
        remove it. Before the lock it can still remove the unfinished file.
        """
        unfinished = self._folder / f"{UNFINISHED_PREFIX}{name}"
        lock = Lock(unfinished, self._disk)
        if not lock.acquire():
            return None
        try:
            self._disk.replace(unfinished, self._folder / name)
        except FileNotFoundError:
            lock.release()
            return None
        except OSError:
            lock.release()
            raise
        return lock

    def close(self) -> None:
        """Close the current file and release its lock; the owner reads the rest of it."""
        if self._lock is not None:
            self._disk.close(self._fd)
            self._lock.release()
        self._lock, self._fd, self._size = None, -1, 0


@dataclass(frozen=True, slots=True)
class SpooledMessage:
    """One message of a spool file, and the offset of the next one."""

    submission: Submission
    body: bytes
    rules: dict[str, Any]
    next_offset: int


def read_spooled_message(data: bytes, offset: int) -> SpooledMessage | None:
    """Read the message at an offset; None if it is not complete yet.

    Raises ``ValueError`` if the data is not a message.
    """
    if (record := read_record(data, offset)) is None:
        return None
    payload, next_offset = record
    header, _, body = payload.partition(b"\n")
    try:
        _kind, _ref, fields, rules = msgspec.json.decode(header)
        return SpooledMessage(Submission(**fields), body, dict(rules), next_offset)
    except (msgspec.MsgspecError, TypeError) as error:
        raise ValueError(f"not a spooled message: {error}") from None


class SpoolReader:
    """Adopts the messages of spool files into the owner's core."""

    def __init__(self, folder: Path, disk: Disk, durable: bool = False) -> None:
        self._folder, self._disk, self._durable = folder, disk, durable

    def remove_unfinished_files(self) -> None:
        """Remove files that a killed writer had begun; those that a live writer holds locked stay.

        ``OSError`` is not caught: a process that cannot read its folder must not start.
        """
        for name in self._disk.names(self._folder):
            lock = Lock(self._folder / name, self._disk)
            if name.startswith(UNFINISHED_PREFIX) and lock.acquire():
                self._disk.unlink(self._folder / name)
                lock.release()

    def adopt_spooled(self, core: RelayCore) -> bool:
        """Adopt all messages that are there; return False only if there is certainly no spool file."""
        try:
            names = sorted(name for name in self._disk.names(self._folder) if name.startswith(SPOOL_PREFIX))
        except OSError as error:  # perhaps no descriptor is free; the caller tries again soon
            LOG.debug("spool: cannot list the state folder: %s", error)
            return True
        for name in names:
            try:
                self._adopt_file(name, core)
            except OSError as error:
                LOG.error("spool: cannot read %s: %s", name, error)
        for name in [name for name in core.spools if name not in names]:
            core.forget_spool(name)
        return bool(names)

    def _adopt_file(self, name: str, core: RelayCore) -> None:
        """Read a file on from the offset in the journal.

        Whether the writer is gone is checked before the file is read, so that nothing can be appended between
        the read and the removal.
        """
        lock = Lock(self._folder / name, self._disk)
        writer_gone = lock.acquire()
        try:
            data, offset = self._disk.read(self._folder / name), core.spools.get(name, 0)
            try:
                while (message := read_spooled_message(data, offset)) is not None:
                    core.adopt(message.submission, message.body, message.rules, (name, message.next_offset))
                    offset = message.next_offset
            except ValueError as error:
                LOG.error("spool: %s is corrupt at offset %d: %s", name, offset, error)
            if writer_gone and core.flush_journal():  # before the flush the file may be the only copy
                if (torn_bytes := len(data) - offset) > 0:
                    LOG.warning(
                        "spool: %d bytes of an incomplete record at the end of %s were never accepted",
                        torn_bytes,
                        name,
                    )
                self._disk.unlink(self._folder / name)
                if self._durable:  # else a power loss could restore the file, to be adopted again
                    self._disk.sync_folder(self._folder)
                core.forget_spool(name)
        finally:
            lock.release()
