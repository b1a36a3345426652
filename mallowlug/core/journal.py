"""The lasting record of accepted work: an append-only log with replay and compaction.

A record is a frame (mark, length, CRC-32) around one JSON line and the message's body. What ``write`` has
taken outlasts the process. A durable journal outlasts the loss of the machine's power as well: before a
message counts as taken on, a call's first byte goes out or an end is told, its record is synced. Records that
only take doubt away (proofs, confirmed ends) are not: without them a message is treated with more care.
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

from mallowlug.system import APPEND, FRESH, Disk
from mossfront.interface import OutageRecordKind

LOG = logging.getLogger(__name__)
OTHER_FILES_BLOCKS = 4  # blocks for the small files beside the journal: clock, overruled
LOG_FIELD_BY_KIND = {
    "care": "host",
    "rules": "rules",
    "spool": "spool",
    "unspool": "spool",
}  # what a record names
MAX_RULES = 32  # sets of rules that are kept though no message lives by them
KINDS_BY_CODE = (
    OutageRecordKind.OUTAGE,
    OutageRecordKind.SUSPICION,
    OutageRecordKind.RECOVERY,
)  # as a care record writes them
MARK = b"\xa5mlg"
FRAME = struct.Struct("<4sII")
BLOCK = 512  # files count in whole blocks
MAX_RECORD_BYTES = 128 * 1024  # bytes; a longer length can only be damage
# Bytes of an attempt with its proof, and of an end with its confirmation, without the message's id, which
# stands twice in each: 122 and 86 with ids of 16 characters, and hosts' ids of 10.
ATTEMPT_BYTES, END_BYTES = 120, 80
COMPACTION_SLACK_BYTES = 256 * 1024  # garbage that is worth a compaction


class JournalFullError(Exception):
    """The record would not fit the budget, or the disk would not take it."""


@dataclass(slots=True)
class Attempt:
    """One try as it was journaled before its first byte."""

    number: int
    host: str
    zone: str
    at_us: int
    never_ran: bool = False


@dataclass(slots=True)
class RecoveredMessage:
    """A message that is not over, as the log tells it."""

    id: str
    fields: dict[str, Any]
    body: bytes
    attempts: list[Attempt] = field(default_factory=list)
    notice: tuple[str, int] | None = None  # its end, not yet confirmed: result and wait


def encode_record(head: list[Any], body: bytes = b"") -> bytes:
    """One record's bytes."""
    payload = msgspec.json.encode(head) + b"\n" + body
    return FRAME.pack(MARK, len(payload), zlib.crc32(payload)) + payload


def size_in_blocks(size: int) -> int:
    """A file's size as the deployment counts it."""
    return -(-size // BLOCK) * BLOCK


def read_record(data: bytes, offset: int) -> tuple[bytes, int] | None:
    """The payload of the whole record that starts there, and where the next one starts."""
    if offset + FRAME.size > len(data):
        return None
    mark, length, crc = FRAME.unpack_from(data, offset)
    end = offset + FRAME.size + length
    if mark != MARK or length > MAX_RECORD_BYTES or end > len(data):
        return None
    payload = data[offset + FRAME.size : end]
    return (payload, end) if zlib.crc32(payload) == crc else None


def scan_records(data: bytes) -> Iterator[tuple[bytes, int]]:
    """Every whole record and its end; damage is skipped up to the next whole record."""
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
    """An endpoint that the last life saw fail: until when (us) it may be down or cold."""

    until_us: int
    kind: OutageRecordKind = OutageRecordKind.OUTAGE
    served_percent: int = 100  # of the destination's messages, before it failed


class Journal:
    """The log of one relay; ``recovered`` holds what the last life left unfinished."""

    def __init__(self, folder: Path, disk_bytes: int, disk: Disk, durable: bool = False) -> None:
        self._disk, self._folder, self._durable = disk, folder, durable
        self._path, self._new_path = folder / "journal", folder / "journal.new"
        self._budget = disk_bytes - OTHER_FILES_BLOCKS * BLOCK
        self._live_records: dict[str, list[bytes]] = {}  # raw records of each message that is not over
        self._outage_records: dict[
            str, bytes
        ] = {}  # by endpoint: the raw record of the care that is due there
        self._live_bytes = 0
        # What open messages may still come to at most: their own records, and room for all later ones.
        self._reserved_bytes, self._reserved_by_message = 0, dict[str, int]()
        self.max_attempts = 8  # attempts that a message may have
        self._pending: list[bytes] = []  # notes that the disk did not take yet
        # What was written since the last sync; whether one has failed: after that nothing written before it
        # is known to be safe, and syncing again proves nothing (Rebello et al., USENIX ATC 2020).
        self._unsynced, self._sync_failed = False, False
        self._torn_tail = False  # whether a part of a record stands behind the last whole one
        self.rules: dict[int, dict[str, Any]] = {}  # by number: under which messages were taken on
        self._rules_records: dict[int, bytes] = {}  # their raw records
        self._rules_by_message: dict[str, int] = {}  # by message that is not over: the number of its rules
        self.spools: dict[str, int] = {}  # by a door's file: how far it was adopted
        self._spool_records: dict[str, bytes] = {}
        self.outages: dict[str, StoredOutage] = {}  # by endpoint: the care that the last life owed it
        self.recovered: dict[str, RecoveredMessage] = {}
        disk.unlink(self._new_path)  # a compaction that did not end: the old log still counts
        self._fd = disk.open(self._path, APPEND)
        self._size = self._replay(disk.read(self._path))
        # Appending behind a torn tail would hide the new record behind the damage at the next replay.
        disk.truncate(self._fd, self._size)
        if durable:  # a log that is new has no name yet that lasts
            self._sync_directory()
            self._unsynced = True

    def close(self) -> None:
        """Let go of the file."""
        self._disk.close(self._fd)

    def _replay(self, data: bytes) -> int:
        """Read the log; the end of its last whole record."""
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
                LOG.error("journal: unreadable record before %d left out: %r", record_end, error)
        if end < len(data):
            LOG.warning("journal: torn tail of %d bytes cut off", len(data) - end)
        return end

    def _recover(self, head: list[Any], body: bytes) -> None:
        """Apply one record of the last life."""
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
        """Remember what compaction has to write again."""
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
        """Take on what a door has taken on, and how far its file is read: both are kept, or neither.

        Where the disk does not take them they are owed; until then the message stands in the door's file.
        """
        heads: list[list[Any]] = [["in", message_id, fields], ["spool", *spool_position]]
        records = [(heads[0], encode_record(heads[0], body)), (heads[1], encode_record(heads[1]))]
        self.spools[spool_position[0]] = spool_position[1]
        try:
            self._append(records)
        except JournalFullError as error:
            LOG.error("journal: %s is not kept yet: %s", message_id, error, extra={"message_id": message_id})
            for head, record in records:
                self._track_record(head, record)
                self._pending.append(record)

    def accept(self, message_id: str, fields: dict[str, Any], body: bytes) -> None:
        """Take a message on, with room left for everything that may still be said of it."""
        head = ["in", message_id, fields]
        record = encode_record(head, body)
        # What is open has to fit twice, as old and new log stand side by side during a compaction. What may
        # come to it has to fit once: records of what is open are no garbage, and need no compaction.
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
            raise JournalFullError("the budget is used up by open messages")
        self._append([(head, record)])
        try:
            self.sync()
        except JournalFullError:
            # It is refused; a record that may be on the disk must not bring it back.
            self.record_completed(message_id)
            raise

    def rules_number(self, rules: dict[str, Any], numbers_in_use: Collection[int]) -> int:
        """The number of a set of rules, which a later life will know.

        Of many, those that no message lives by are forgotten, but for those to ``keep``.
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
        """A door's file is read up to there."""
        self.spools[name] = position
        self._append_or_queue(["spool", name, position])

    def forget_spool(self, name: str) -> None:
        """A door's file is gone."""
        if self.spools.pop(name, None) is not None:
            self._append_or_queue(["unspool", name])

    def sync(self) -> None:
        """What was written is safe from the loss of power; where the journal is not durable, nothing is done.

        ``JournalFullError`` where the disk fails: nothing that was written since the last sync is safe then.
        """
        if not self._durable or not self._unsynced:
            return
        if self._sync_failed:
            self._compact(forced=True)  # into a new file; it is synced there
            if self._sync_failed:
                raise JournalFullError("a sync has failed, and no new log could be written")
            return
        try:
            self._disk.sync(self._fd)
        except OSError as error:
            self._sync_failed = True
            raise JournalFullError(f"not synced: {error}") from error
        self._unsynced = False

    def record_attempts(self, attempts: list[tuple[str, Attempt]]) -> None:
        """Attempts that are about to be made, in one write."""
        heads = [["try", ref, a.number, a.host, a.zone, a.at_us] for ref, a in attempts]
        self._append([(head, encode_record(head)) for head in heads])

    def record_never_ran(self, message_id: str, attempt_number: int) -> None:
        """An attempt is proved not to have run."""
        self._append_or_queue(["not", message_id, attempt_number])

    def record_end(self, message_id: str, result: str, wait_ms: int) -> bool:
        """The message is given up; its notice is owed until ``over``. False: a later life may not know."""
        return self._append_or_queue(["end", message_id, result, wait_ms])

    def replace_end_by_failure(self, message_id: str) -> None:
        """Its end was told as a failure, since the disk had not taken it: later lives have to tell the same.

        In the place of the record that is owed still: behind it, a write that ends between the two would
        leave the first one alone.
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
        """Nothing more is owed."""
        self._append_or_queue(["over", message_id])

    def record_outage(self, host: str, outage: StoredOutage) -> None:
        """An endpoint is out, or back and perhaps cold: the next life must know."""
        self._append_or_queue(
            ["care", host, outage.until_us, KINDS_BY_CODE.index(outage.kind), outage.served_percent]
        )

    def drop_expired_outages(self, now_us: int) -> None:
        """Forget the care that is due no longer."""
        for host in [host for host, outage in self.outages.items() if outage.until_us <= now_us]:
            del self.outages[host]
            self._live_bytes -= len(self._outage_records.pop(host))

    @property
    def has_pending(self) -> bool:
        """Whether there are notes that the disk did not take yet."""
        return bool(self._pending)

    def flush_pending(self) -> None:
        """Try again to write down what is owed; ``JournalFullError`` where the disk still takes nothing."""
        if self._pending:
            self._append([])

    def _append_or_queue(self, head: list[Any]) -> bool:
        """A record that must not stop the relay: where the disk does not take it, it goes with the next one.

        Without it, a restart would give a message an end once more.
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
                "journal: %s of %s not kept yet: %s", head[0], head[1], error, extra={log_field: head[1]}
            )
            return False

    def _append(self, records: list[tuple[list[Any], bytes]]) -> None:
        new = [raw for _, raw in records]
        data = b"".join((*self._pending, *new))
        if self._size + len(data) + self._live_bytes > min(
            self._budget - size_in_blocks(len(data)) - 2 * BLOCK,
            2 * self._live_bytes + COMPACTION_SLACK_BYTES,
        ):
            self._compact()
            data = b"".join((*self._pending, *new))
        if size_in_blocks(self._size + len(data)) > self._budget:
            raise JournalFullError("the log has reached its budget")
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
        for head, raw in records:
            self._track_record(head, raw)

    def _truncate_tail(self) -> None:
        """What a short write has left goes before anything is written: behind it a replay would end."""
        try:
            self._disk.truncate(self._fd, self._size)
        except OSError as error:
            raise JournalFullError(f"a part of a record cannot be cut off: {error}") from error
        self._torn_tail = False

    def _compact(self, forced: bool = False) -> None:
        """Write what is not over to a new log and put it in the old one's place.

        A durable one is synced before it takes the old one's name, and the name before it is relied on.
        """
        if size_in_blocks(self._size) + size_in_blocks(self._live_bytes) > self._budget and not forced:
            return  # no room for both; what is open still fits, and its ends make room
        live = (raw for records in self._live_records.values() for raw in records)
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
            fd = self._disk.open(self._new_path, APPEND | FRESH)
        except OSError as error:
            LOG.error("journal: no compaction: %s", error)
            return
        try:
            written = self._disk.write(fd, data) == len(data)
            if written and self._durable:
                self._disk.sync(fd)
            if written:
                self._disk.replace(self._new_path, self._path)
        except OSError as error:
            LOG.error("journal: no compaction: %s", error)
            written = False
        if not written:
            self._disk.close(fd)
            self._disk.unlink(self._new_path)
            return
        self._disk.close(self._fd)
        self._fd, self._size, self._torn_tail = fd, len(data), False
        self._pending.clear()  # what they say is in it
        if self._durable:
            self._sync_directory()

    def _sync_directory(self) -> None:
        """The new log has its name for good; else the loss of power may bring the old one back."""
        try:
            self._disk.sync_folder(self._folder)
        except OSError as error:
            LOG.error("journal: the folder is not synced: %s", error)
            self._unsynced = self._sync_failed = True
            return
        self._unsynced = self._sync_failed = False
