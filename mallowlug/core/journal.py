"""The journal of accepted messages: an append-only log with replay and compaction.

A record is a frame (mark, length, CRC-32) around one JSON line and the message's body. Written records
survive the end of the process. A durable journal also survives a power loss: a record is synced before the
message is reported as accepted, the call's first byte is sent or the final result is reported. Records that
only lower uncertainty (proofs that an attempt never ran, confirmed notices) are not synced: without them a
message is merely treated more cautiously.
"""

from __future__ import annotations

import logging
import struct
import zlib
from collections.abc import Collection, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from mallowlug.system import APPEND, TRUNCATE, Disk
from mossfront.interface import OutageRecordKind

LOG = logging.getLogger(__name__)
OTHER_FILES_BLOCKS = 4  # blocks for the small files beside the journal: clock, overruled
# Field of the log line that names a record's subject; "message_id" for all other kinds.
LOG_FIELD_BY_KIND = {"care": "host", "rules": "rules", "spool": "spool", "unspool": "spool"}
MAX_RULES = 32  # sets of rules; beyond it those that no open message uses are forgotten
# The kinds in the order of the codes that a "care" record stores.
KINDS_BY_CODE = (OutageRecordKind.OUTAGE, OutageRecordKind.SUSPICION, OutageRecordKind.RECOVERY)
MARK = b"\xa5mlg"
FRAME = struct.Struct("<4sII")  # mark, payload length, CRC-32 of the payload
BLOCK = 512  # bytes; disk usage is counted in whole blocks
MAX_RECORD_BYTES = 128 * 1024  # a greater length field can only be corruption
# Bytes of an attempt record with its proof, and of an end record with its confirmation, without the message's
# id, which occurs twice in each: 122 and 86 with message ids of 16 characters and host ids of 10.
ATTEMPT_BYTES, END_BYTES = 120, 80
COMPACTION_SLACK_BYTES = 256 * 1024  # garbage that triggers a compaction


class JournalFullError(Exception):
    """A record does not fit the disk budget, or the disk did not take or sync it."""


@dataclass(slots=True)
class Attempt:
    """One attempt, as journaled before the first byte of its call was sent."""

    number: int
    host: str
    zone: str
    at_us: int
    never_ran: bool = False


@dataclass(slots=True)
class RecoveredMessage:
    """An uncompleted message, as read from the log."""

    id: str
    fields: dict[str, Any]
    body: bytes
    attempts: list[Attempt] = field(default_factory=list)
    notice: tuple[str, int] | None = None  # final result without confirmed notice, and its wait in ms


def encode_record(head: list[Any], body: bytes = b"") -> bytes:
    """Return a record's bytes, with its frame."""
    payload = msgspec.json.encode(head) + b"\n" + body
    return FRAME.pack(MARK, len(payload), zlib.crc32(payload)) + payload


def size_in_blocks(size: int) -> int:
    """Return a file's size as the deployment counts it: rounded up to whole blocks."""
    return -(-size // BLOCK) * BLOCK


def read_record(data: bytes, offset: int) -> tuple[bytes, int] | None:
    """Return the payload of the valid record at an offset and the offset after it; else None."""
    if offset + FRAME.size > len(data):
        return None
    mark, length, crc = FRAME.unpack_from(data, offset)
    end = offset + FRAME.size + length
    if mark != MARK or length > MAX_RECORD_BYTES or end > len(data):
        return None
    payload = data[offset + FRAME.size : end]
    return (payload, end) if zlib.crc32(payload) == crc else None


def scan_records(data: bytes) -> Iterator[tuple[bytes, int]]:
    """Yield each valid record's payload and end offset; damage is skipped up to the next valid record."""
    offset = 0
    while offset < len(data):
        record = read_record(data, offset)
        if record is None:
            damage_start = offset
            while (offset := data.find(MARK, offset + 1)) >= 0 and (
                record := read_record(data, offset)
            ) is None:
                pass
            if record is None:
                return  # a torn tail
            LOG.error("journal: %d damaged bytes at %d skipped", offset - damage_start, damage_start)
        yield record
        offset = record[1]


@dataclass(frozen=True, slots=True)
class StoredOutage:
    """An endpoint's outage that is still relevant after a restart."""

    until_us: int  # until when it may be down or cold
    kind: OutageRecordKind = OutageRecordKind.OUTAGE
    served_percent: int = 100  # of the destination's messages, before the outage


class Journal:
    """The journal of one relay; ``recovered`` holds the messages that the previous run left uncompleted."""

    def __init__(self, folder: Path, disk_bytes: int, disk: Disk, durable: bool = False) -> None:
        self._disk, self._folder, self._durable = disk, folder, durable
        self._path, self._new_path = folder / "journal", folder / "journal.new"
        self._budget = disk_bytes - OTHER_FILES_BLOCKS * BLOCK
        self._live_records: dict[str, list[bytes]] = {}  # by uncompleted message: its encoded records
        self._outage_records: dict[str, bytes] = {}  # by endpoint: its encoded outage record
        self._live_bytes = 0  # size of all records that a compaction keeps
        # The most that the records of open messages can take, with all that may still be written for them.
        self._reserved_bytes, self._reserved_by_message = 0, dict[str, int]()
        self.max_attempts = 8  # per message
        self._pending: list[bytes] = []  # records that the disk did not take yet
        # Whether anything was written since the last sync, and whether a sync has failed: after a failure no
        # earlier unsynced write is known to be safe, and another sync of the same file proves nothing
        # (Rebello et al., USENIX ATC 2020).
        self._unsynced, self._sync_failed = False, False
        self._torn_tail = False  # whether a partial record follows the last complete one
        self.rules: dict[int, dict[str, Any]] = {}  # by number: rules under which messages were accepted
        self._rules_records: dict[int, bytes] = {}  # by number: the encoded records
        self._rules_by_message: dict[str, int] = {}  # by uncompleted message: the number of its rules
        self.spools: dict[str, int] = {}  # by spool file: the position up to which it was adopted
        self._spool_records: dict[str, bytes] = {}  # by spool file: the encoded record
        self.outages: dict[str, StoredOutage] = {}  # by endpoint: recorded by the previous run
        self.recovered: dict[str, RecoveredMessage] = {}  # by message id
        disk.unlink(self._new_path)  # left by an unfinished compaction; the old log is still in force
        self._fd = disk.open(self._path, APPEND)
        self._size = self._replay(disk.read(self._path))
        # A record appended after a torn tail would be lost behind the damage at the next replay.
        disk.truncate(self._fd, self._size)
        if durable:  # the directory entry of a new log is not synced yet
            self._sync_directory()
            self._unsynced = True

    def close(self) -> None:
        """Close the file."""
        self._disk.close(self._fd)

    def _replay(self, data: bytes) -> int:
        """Read the log and return the end offset of its last complete record."""
        end = 0
        for payload, record_end in scan_records(data):
            record = data[record_end - FRAME.size - len(payload) : record_end]
            end = record_end
            try:
                line, _, body = payload.partition(b"\n")
                head = msgspec.json.decode(line)
                self._recover(head, body)
                self._track_record(head, record)
            except (ValueError, TypeError, KeyError, IndexError, msgspec.MsgspecError) as error:
                LOG.error("journal: unreadable record ending at offset %d skipped: %r", record_end, error)
        if end < len(data):
            LOG.warning("journal: torn tail of %d bytes truncated", len(data) - end)
        return end

    def _recover(self, head: list[Any], body: bytes) -> None:
        """Apply one record of the previous run."""
        kind, key = head[0], head[1]
        if kind == "in":
            self.recovered[key] = RecoveredMessage(key, dict(head[2]), body)
            return
        if kind == "care":
            code = int(head[3]) if len(head) > 3 else 0
            percent = int(head[4]) if len(head) > 4 else 100
            self.outages[key] = StoredOutage(int(head[2]), KINDS_BY_CODE[code], percent)
            return
        if kind == "rules":
            self.rules[int(key)] = dict(head[2])
            return
        if kind == "spool":
            self.spools[key] = int(head[2])
            return
        if kind == "unspool":
            self.spools.pop(key, None)
            return
        message = self.recovered.get(key)
        if message is None:
            return
        if kind == "try":
            message.attempts.append(Attempt(int(head[2]), str(head[3]), str(head[4]), int(head[5])))
        elif kind == "not":
            for attempt in message.attempts:
                attempt.never_ran |= attempt.number == head[2]
        elif kind == "end":
            message.notice = str(head[2]), int(head[3])
        elif kind == "over":
            del self.recovered[key]

    def _track_record(self, head: list[Any], record: bytes) -> None:
        """Keep or drop encoded records, so that a compaction knows which to write again."""
        kind, key = head[0], head[1]
        if kind == "in":
            self._live_records[key] = [record]
            later_bytes = self.max_attempts * (ATTEMPT_BYTES + 2 * len(key)) + END_BYTES + 2 * len(key)
            self._reserved_by_message[key] = len(record) + later_bytes
            self._reserved_bytes += self._reserved_by_message[key]
            if "rules" in head[2]:
                self._rules_by_message[key] = int(head[2]["rules"])
        elif kind == "rules":
            self._live_bytes -= len(self._rules_records.get(key, b""))
            self._rules_records[key] = record
        elif kind == "spool":
            self._live_bytes -= len(self._spool_records.get(key, b""))
            self._spool_records[key] = record
        elif kind == "unspool":
            self._live_bytes -= len(self._spool_records.pop(key, b""))
            return
        elif kind == "care":
            self._live_bytes -= len(self._outage_records.get(key, b""))
            self._outage_records[key] = record
        elif key not in self._live_records:
            return
        elif kind == "over":
            self._live_bytes -= sum(map(len, self._live_records.pop(key)))
            self._rules_by_message.pop(key, None)
            self._reserved_bytes -= self._reserved_by_message.pop(key)
            return
        else:
            self._live_records[key].append(record)
        self._live_bytes += len(record)

    def adopt(
        self, message_id: str, fields: dict[str, Any], body: bytes, spool_position: tuple[str, int]
    ) -> None:
        """Record a message accepted by a spool together with the spool's position: both or neither.

        Where the disk does not take them they stay pending; until then the spool file holds the message.
        """
        heads: list[list[Any]] = [["in", message_id, fields], ["spool", *spool_position]]
        records = [(heads[0], encode_record(heads[0], body)), (heads[1], encode_record(heads[1]))]
        self.spools[spool_position[0]] = spool_position[1]
        try:
            self._append(records)
        except JournalFullError as error:
            LOG.error(
                "journal: adoption of %s not written yet: %s",
                message_id,
                error,
                extra={"message_id": message_id},
            )
            for head, record in records:
                self._track_record(head, record)
                self._pending.append(record)

    def accept(self, message_id: str, fields: dict[str, Any], body: bytes) -> None:
        """Record an accepted message, reserving space for all later records of it.

        Raises ``JournalFullError`` where the budget or the disk does not allow that.
        """
        head = ["in", message_id, fields]
        record = encode_record(head, body)
        # The records of open messages have to fit twice, as a compaction holds the old and the new log side
        # by side. Their later records have to fit once: they are no garbage and cause no compaction.
        later_bytes = (
            self.max_attempts * (ATTEMPT_BYTES + 2 * len(message_id)) + END_BYTES + 2 * len(message_id)
        )
        other_bytes = sum(
            map(
                len,
                (
                    *self._rules_records.values(),
                    *self._outage_records.values(),
                    *self._spool_records.values(),
                ),
            )
        )
        max_bytes = self._reserved_bytes + len(record) + later_bytes + other_bytes
        if (
            max(2 * size_in_blocks(self._live_bytes + len(record)), size_in_blocks(max_bytes))
            > self._budget - 2 * BLOCK
        ):
            raise JournalFullError("the disk budget is used up by open messages")
        self._append([(head, record)])
        try:
            self.sync()
        except JournalFullError:
            # The message is refused; a record that may be on the disk must not recover it.
            self.record_completed(message_id)
            raise

    def rules_number(self, rules: dict[str, Any], numbers_in_use: Collection[int]) -> int:
        """Return the journal's number for a set of rules, recording the rules where they are new.

        From ``MAX_RULES`` on, rules that no open message uses are forgotten, except ``numbers_in_use``.
        """
        for number, known in self.rules.items():
            if known == rules:
                return number
        if len(self.rules) >= MAX_RULES:
            used = {*self._rules_by_message.values(), *numbers_in_use}
            for number in [number for number in self.rules if number not in used]:
                del self.rules[number]
                self._live_bytes -= len(self._rules_records.pop(number))
        number = 1 + max(self.rules, default=0)
        self.rules[number] = rules
        self._append_or_queue(["rules", number, rules])
        return number

    def record_spool_position(self, name: str, position: int) -> None:
        """Record the position up to which a spool file has been adopted."""
        self.spools[name] = position
        self._append_or_queue(["spool", name, position])

    def forget_spool(self, name: str) -> None:
        """Drop the position of a spool file that no longer exists."""
        if self.spools.pop(name, None) is not None:
            self._append_or_queue(["unspool", name])

    def sync(self) -> None:
        """Make written records safe against a power loss; does nothing where the journal is not durable.

        Raises ``JournalFullError`` where the disk fails: then no record written since the last sync is safe.
        """
        if not self._durable or not self._unsynced:
            return
        if self._sync_failed:
            self._compact(forced=True)  # writes and syncs a new file
            if self._sync_failed:
                raise JournalFullError("an earlier sync failed and no new log could be written")
            return
        try:
            self._disk.sync(self._fd)
        except OSError as error:
            self._sync_failed = True
            raise JournalFullError(f"sync failed: {error}") from error
        self._unsynced = False

    def record_attempts(self, attempts: list[tuple[str, Attempt]]) -> None:
        """Record attempts that are about to be made, in one write; raises ``JournalFullError``."""
        heads = [["try", message_id, a.number, a.host, a.zone, a.at_us] for message_id, a in attempts]
        self._append([(head, encode_record(head)) for head in heads])

    def record_never_ran(self, message_id: str, attempt_number: int) -> None:
        """Record the proof that an attempt did not run."""
        self._append_or_queue(["not", message_id, attempt_number])

    def record_end(self, message_id: str, result: str, wait_ms: int) -> bool:
        """Record the final result of a message; its notice is pending until ``record_completed``.

        Returns False where the disk did not take the record, so that a restart may not know the result.
        """
        return self._append_or_queue(["end", message_id, result, wait_ms])

    def replace_end_by_failure(self, message_id: str) -> None:
        """Record that a failure was reported instead, as the disk had not taken the result.

        Runs after a restart have to report the same. The new record replaces the pending one: appended after
        it, a write that breaks off between the two would leave only the first.
        """
        head = ["end", message_id, "dead", 0]
        records, replacement = self._live_records.get(message_id, []), encode_record(head)
        if not records or records[-1] not in self._pending:
            self._append_or_queue(head)
            return
        former = records[-1]
        self._pending[self._pending.index(former)] = records[-1] = replacement
        self._live_bytes += len(replacement) - len(former)

    def record_completed(self, message_id: str) -> None:
        """Record that a message is completed: it was delivered, or its notice is confirmed."""
        self._append_or_queue(["over", message_id])

    def record_outage(self, host: str, outage: StoredOutage) -> None:
        """Record an endpoint that is down, suspected, or back and perhaps cold, for use after a restart."""
        self._append_or_queue(
            ["care", host, outage.until_us, KINDS_BY_CODE.index(outage.kind), outage.served_percent]
        )

    def drop_expired_outages(self, now_us: int) -> None:
        """Forget outages that are no longer relevant."""
        for host in [host for host, outage in self.outages.items() if outage.until_us <= now_us]:
            del self.outages[host]
            self._live_bytes -= len(self._outage_records.pop(host))

    @property
    def has_pending(self) -> bool:
        """Whether there are records that the disk did not take yet."""
        return bool(self._pending)

    def flush_pending(self) -> None:
        """Retry the write of pending records; raises ``JournalFullError`` where it fails again."""
        if self._pending:
            self._append([])

    def _append_or_queue(self, head: list[Any]) -> bool:
        """Append a record whose failure must not stop the relay; False where it stays pending.

        A pending record is written with the next one. If it were lost, a restart would report a final result
        for the message again.
        """
        record = encode_record(head)
        self._track_record(head, record)
        self._pending.append(record)
        try:
            self._append([])
            return True
        except JournalFullError as error:
            log_field = LOG_FIELD_BY_KIND.get(head[0], "message_id")
            LOG.error(
                "journal: %r record of %s not written yet: %s",
                head[0],
                head[1],
                error,
                extra={log_field: head[1]},
            )
            return False

    def _append(self, records: list[tuple[list[Any], bytes]]) -> None:
        """Write pending and new records, after a compaction if the log has grown enough to need one."""
        new = [record for _, record in records]
        data = b"".join((*self._pending, *new))
        if self._size + len(data) + self._live_bytes > min(
            self._budget - size_in_blocks(len(data)) - 2 * BLOCK,
            2 * self._live_bytes + COMPACTION_SLACK_BYTES,
        ):
            self._compact()
            data = b"".join((*self._pending, *new))
        if size_in_blocks(self._size + len(data)) > self._budget:
            raise JournalFullError("the log has reached its disk budget")
        if self._torn_tail:
            self._truncate_tail()
        try:
            written = self._disk.write(self._fd, data)
        except OSError as error:
            raise JournalFullError(str(error)) from error
        if written < len(data):
            self._torn_tail = True
            self._truncate_tail()
            raise JournalFullError("short write")
        self._size += written
        self._unsynced = True
        self._pending.clear()
        for head, record in records:
            self._track_record(head, record)

    def _truncate_tail(self) -> None:
        """Truncate the rest of a short write before the next write: a replay would end there."""
        try:
            self._disk.truncate(self._fd, self._size)
        except OSError as error:
            raise JournalFullError(f"a partial record cannot be truncated: {error}") from error
        self._torn_tail = False

    def _compact(self, forced: bool = False) -> None:
        """Write the live records to a new log and replace the old one by it.

        A durable log is synced before the rename, and the directory before the new log is relied on.
        ``forced``: also where the new log is not smaller.
        """
        if size_in_blocks(self._size) + size_in_blocks(self._live_bytes) > self._budget and not forced:
            return  # no space for both logs; open messages still fit, and free space as they complete
        live = (record for records in self._live_records.values() for record in records)
        data = b"".join(
            (
                *self._rules_records.values(),
                *live,
                *self._outage_records.values(),
                *self._spool_records.values(),
            )
        )
        worthwhile = len(data) < self._size or forced
        if not worthwhile or size_in_blocks(self._size) + size_in_blocks(len(data)) > self._budget:
            return
        try:
            fd = self._disk.open(self._new_path, APPEND | TRUNCATE)
        except OSError as error:
            LOG.error("journal: compaction failed, cannot create the new log: %s", error)
            return
        try:
            written = self._disk.write(fd, data) == len(data)
            if written and self._durable:
                self._disk.sync(fd)
            if written:
                self._disk.replace(self._new_path, self._path)
        except OSError as error:
            LOG.error("journal: compaction failed: %s", error)
            written = False
        if not written:
            self._disk.close(fd)
            self._disk.unlink(self._new_path)
            return
        self._disk.close(self._fd)
        self._fd, self._size, self._torn_tail = fd, len(data), False
        self._pending.clear()  # the new log contains them
        if self._durable:
            self._sync_directory()

    def _sync_directory(self) -> None:
        """Sync the directory; without that a power loss may bring the old log back under its name."""
        try:
            self._disk.sync_folder(self._folder)
        except OSError as error:
            LOG.error("journal: sync of the state folder failed: %s", error)
            self._unsynced = self._sync_failed = True
            return
        self._unsynced = self._sync_failed = False
