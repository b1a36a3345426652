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

from mallowlug.system import APPEND, TRUNCATE, Disk
from mossfront.interface import OutageRecordKind

LOG = logging.getLogger(__name__)
OTHERS = 4  # blocks for the small files beside the journal: clock, overruled
ABOUT = {"care": "host", "rules": "rules", "spool": "spool", "unspool": "spool"}  # what a record names
MOST_RULES = 32  # sets of rules that are kept though no message lives by them
KINDS_BY_CODE = (
    OutageRecordKind.OUTAGE,
    OutageRecordKind.SUSPICION,
    OutageRecordKind.RECOVERY,
)  # as a care record writes them
MARK = b"\xa5mlg"
FRAME = struct.Struct("<4sII")
BLOCK = 512  # files count in whole blocks
MOST_RECORD = 128 * 1024  # bytes; a longer length can only be damage
# Bytes of an attempt with its proof, and of an end with its confirmation, without the message's id, which
# stands twice in each: 122 and 86 with ids of 16 characters, and hosts' ids of 10.
EACH_ATTEMPT, END = 120, 80
SLACK_BYTES = 256 * 1024  # garbage that is worth a compaction


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


def read_record(data: bytes, at: int) -> tuple[bytes, int] | None:
    """The payload of the whole record that starts there, and where the next one starts."""
    if at + FRAME.size > len(data):
        return None
    mark, length, crc = FRAME.unpack_from(data, at)
    end = at + FRAME.size + length
    if mark != MARK or length > MOST_RECORD or end > len(data):
        return None
    payload = data[at + FRAME.size : end]
    return (payload, end) if zlib.crc32(payload) == crc else None


def scan_records(data: bytes) -> Iterator[tuple[bytes, int]]:
    """Every whole record and its end; damage is skipped up to the next whole record."""
    at = 0
    while at < len(data):
        found = read_record(data, at)
        if found is None:
            start = at
            while (at := data.find(MARK, at + 1)) >= 0 and (found := read_record(data, at)) is None:
                pass
            if found is None:
                return  # a torn tail
            LOG.error("journal: %d damaged bytes at %d skipped", at - start, start)
        yield found
        at = found[1]


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
        self._path, self._spare = folder / "journal", folder / "journal.new"
        self._budget = disk_bytes - OTHERS * BLOCK
        self._live: dict[str, list[bytes]] = {}  # raw records of each message that is not over
        self._cares: dict[str, bytes] = {}  # by endpoint: the raw record of the care that is due there
        self._live_bytes = 0
        # What open messages may still come to at most: their own records, and room for all later ones.
        self._bound_bytes, self._bounds = 0, dict[str, int]()
        self.max_attempts = 8  # attempts that a message may have
        self._owed: list[bytes] = []  # notes that the disk did not take yet
        # What was written since the last sync; whether one has failed: after that nothing written before it
        # is known to be safe, and syncing again proves nothing (Rebello et al., USENIX ATC 2020).
        self._unsynced, self._doubtful = False, False
        self._torn = False  # whether a part of a record stands behind the last whole one
        self.rules: dict[int, dict[str, Any]] = {}  # by number: under which messages were taken on
        self._rules: dict[int, bytes] = {}  # their raw records
        self._under: dict[str, int] = {}  # by message that is not over: the number of its rules
        self.spools: dict[str, int] = {}  # by a door's file: how far it was adopted
        self._spools: dict[str, bytes] = {}
        self.outages: dict[str, StoredOutage] = {}  # by endpoint: the care that the last life owed it
        self.recovered: dict[str, RecoveredMessage] = {}
        disk.unlink(self._spare)  # a compaction that did not end: the old log still counts
        self._fd = disk.open(self._path, APPEND)
        self._size = self._replay(disk.read(self._path))
        # Appending behind a torn tail would hide the new record behind the damage at the next replay.
        disk.truncate(self._fd, self._size)
        if durable:  # a log that is new has no name yet that lasts
            self._name_synced()
            self._unsynced = True

    def close(self) -> None:
        """Let go of the file."""
        self._disk.close(self._fd)

    def _replay(self, data: bytes) -> int:
        """Read the log; the end of its last whole record."""
        end = 0
        for payload, after in scan_records(data):
            raw = data[after - FRAME.size - len(payload) : after]
            end = after
            try:
                line, _, body = payload.partition(b"\n")
                head = msgspec.json.decode(line)
                self._recover(head, body)
                self._keep(head, raw)
            except (ValueError, TypeError, KeyError, IndexError, msgspec.MsgspecError) as error:
                LOG.error("journal: unreadable record before %d left out: %r", after, error)
        if end < len(data):
            LOG.warning("journal: torn tail of %d bytes cut off", len(data) - end)
        return end

    def _recover(self, head: list[Any], body: bytes) -> None:
        """Apply one record of the last life."""
        kind, ref = head[0], head[1]
        if kind == "in":
            self.recovered[ref] = RecoveredMessage(ref, dict(head[2]), body)
            return
        if kind == "care":
            code = int(head[3]) if len(head) > 3 else 0
            percent = int(head[4]) if len(head) > 4 else 100
            self.outages[ref] = StoredOutage(int(head[2]), KINDS_BY_CODE[code], percent)
            return
        if kind == "rules":
            self.rules[int(ref)] = dict(head[2])
            return
        if kind == "spool":
            self.spools[ref] = int(head[2])
            return
        if kind == "unspool":
            self.spools.pop(ref, None)
            return
        message = self.recovered.get(ref)
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
            del self.recovered[ref]

    def _keep(self, head: list[Any], raw: bytes) -> None:
        """Remember what compaction has to write again."""
        kind, ref = head[0], head[1]
        if kind == "in":
            self._live[ref] = [raw]
            later = self.max_attempts * (EACH_ATTEMPT + 2 * len(ref)) + END + 2 * len(ref)
            self._bounds[ref] = len(raw) + later
            self._bound_bytes += self._bounds[ref]
            if "rules" in head[2]:
                self._under[ref] = int(head[2]["rules"])
        elif kind == "rules":
            self._live_bytes -= len(self._rules.get(ref, b""))
            self._rules[ref] = raw
        elif kind == "spool":
            self._live_bytes -= len(self._spools.get(ref, b""))
            self._spools[ref] = raw
        elif kind == "unspool":
            self._live_bytes -= len(self._spools.pop(ref, b""))
            return
        elif kind == "care":
            self._live_bytes -= len(self._cares.get(ref, b""))
            self._cares[ref] = raw
        elif ref not in self._live:
            return
        elif kind == "over":
            self._live_bytes -= sum(map(len, self._live.pop(ref)))
            self._under.pop(ref, None)
            self._bound_bytes -= self._bounds.pop(ref)
            return
        else:
            self._live[ref].append(raw)
        self._live_bytes += len(raw)

    def adopt(self, ref: str, fields: dict[str, Any], body: bytes, spool: tuple[str, int]) -> None:
        """Take on what a door has taken on, and how far its file is read: both are kept, or neither.

        Where the disk does not take them they are owed; until then the message stands in the door's file.
        """
        heads: list[list[Any]] = [["in", ref, fields], ["spool", *spool]]
        records = [(heads[0], encode_record(heads[0], body)), (heads[1], encode_record(heads[1]))]
        self.spools[spool[0]] = spool[1]
        try:
            self._append(records)
        except JournalFullError as error:
            LOG.error("journal: %s is not kept yet: %s", ref, error, extra={"message_id": ref})
            for head, raw in records:
                self._keep(head, raw)
                self._owed.append(raw)

    def accept(self, ref: str, fields: dict[str, Any], body: bytes) -> None:
        """Take a message on, with room left for everything that may still be said of it."""
        head = ["in", ref, fields]
        raw = encode_record(head, body)
        # What is open has to fit twice, as old and new log stand side by side during a compaction. What may
        # come to it has to fit once: records of what is open are no garbage, and need no compaction.
        later = self.max_attempts * (EACH_ATTEMPT + 2 * len(ref)) + END + 2 * len(ref)
        others = sum(map(len, (*self._rules.values(), *self._cares.values(), *self._spools.values())))
        most = self._bound_bytes + len(raw) + later + others
        if (
            max(2 * size_in_blocks(self._live_bytes + len(raw)), size_in_blocks(most))
            > self._budget - 2 * BLOCK
        ):
            raise JournalFullError("the budget is used up by open messages")
        self._append([(head, raw)])
        try:
            self.sync()
        except JournalFullError:
            # It is refused; a record that may be on the disk must not bring it back.
            self.record_completed(ref)
            raise

    def rules_number(self, fields: dict[str, Any], keep: Collection[int]) -> int:
        """The number of a set of rules, which a later life will know.

        Of many, those that no message lives by are forgotten, but for those to ``keep``.
        """
        for number, known in self.rules.items():
            if known == fields:
                return number
        if len(self.rules) >= MOST_RULES:
            used = {*self._under.values(), *keep}
            for number in [number for number in self.rules if number not in used]:
                del self.rules[number]
                self._live_bytes -= len(self._rules.pop(number))
        number = 1 + max(self.rules, default=0)
        self.rules[number] = fields
        self._note(["rules", number, fields])
        return number

    def record_spool_position(self, name: str, at: int) -> None:
        """A door's file is read up to there."""
        self.spools[name] = at
        self._note(["spool", name, at])

    def forget_spool(self, name: str) -> None:
        """A door's file is gone."""
        if self.spools.pop(name, None) is not None:
            self._note(["unspool", name])

    def sync(self) -> None:
        """What was written is safe from the loss of power; where the journal is not durable, nothing is done.

        ``JournalFullError`` where the disk fails: nothing that was written since the last sync is safe then.
        """
        if not self._durable or not self._unsynced:
            return
        if self._doubtful:
            self._compact(forced=True)  # into a new file; it is synced there
            if self._doubtful:
                raise JournalFullError("a sync has failed, and no new log could be written")
            return
        try:
            self._disk.sync(self._fd)
        except OSError as error:
            self._doubtful = True
            raise JournalFullError(f"not synced: {error}") from error
        self._unsynced = False

    def record_attempts(self, tries: list[tuple[str, Attempt]]) -> None:
        """Attempts that are about to be made, in one write."""
        heads = [["try", ref, a.number, a.host, a.zone, a.at_us] for ref, a in tries]
        self._append([(head, encode_record(head)) for head in heads])

    def record_never_ran(self, ref: str, number: int) -> None:
        """An attempt is proved not to have run."""
        self._note(["not", ref, number])

    def record_end(self, ref: str, result: str, wait_ms: int) -> bool:
        """The message is given up; its notice is owed until ``over``. False: a later life may not know."""
        return self._note(["end", ref, result, wait_ms])

    def replace_end_by_failure(self, ref: str) -> None:
        """Its end was told as a failure, since the disk had not taken it: later lives have to tell the same.

        In the place of the record that is owed still: behind it, a write that ends between the two would
        leave the first one alone.
        """
        head = ["end", ref, "dead", 0]
        records, raw = self._live.get(ref, []), encode_record(head)
        if not records or records[-1] not in self._owed:
            self._note(head)
            return
        former = records[-1]
        self._owed[self._owed.index(former)] = records[-1] = raw
        self._live_bytes += len(raw) - len(former)

    def record_completed(self, ref: str) -> None:
        """Nothing more is owed."""
        self._note(["over", ref])

    def record_outage(self, host: str, due: StoredOutage) -> None:
        """An endpoint is out, or back and perhaps cold: the next life must know."""
        self._note(["care", host, due.until_us, KINDS_BY_CODE.index(due.kind), due.served_percent])

    def drop_expired_outages(self, now_us: int) -> None:
        """Forget the care that is due no longer."""
        for host in [host for host, due in self.outages.items() if due.until_us <= now_us]:
            del self.outages[host]
            self._live_bytes -= len(self._cares.pop(host))

    @property
    def has_pending(self) -> bool:
        """Whether there are notes that the disk did not take yet."""
        return bool(self._owed)

    def flush_pending(self) -> None:
        """Try again to write down what is owed; ``JournalFullError`` where the disk still takes nothing."""
        if self._owed:
            self._append([])

    def _note(self, head: list[Any]) -> bool:
        """A record that must not stop the relay: where the disk does not take it, it goes with the next one.

        Without it, a restart would give a message an end once more.
        """
        raw = encode_record(head)
        self._keep(head, raw)
        self._owed.append(raw)
        try:
            self._append([])
            return True
        except JournalFullError as error:
            about = ABOUT.get(head[0], "message_id")
            LOG.error("journal: %s of %s not kept yet: %s", head[0], head[1], error, extra={about: head[1]})
            return False

    def _append(self, records: list[tuple[list[Any], bytes]]) -> None:
        new = [raw for _, raw in records]
        data = b"".join((*self._owed, *new))
        if self._size + len(data) + self._live_bytes > min(
            self._budget - size_in_blocks(len(data)) - 2 * BLOCK, 2 * self._live_bytes + SLACK_BYTES
        ):
            self._compact()
            data = b"".join((*self._owed, *new))
        if size_in_blocks(self._size + len(data)) > self._budget:
            raise JournalFullError("the log has reached its budget")
        if self._torn:
            self._cut()
        try:
            written = self._disk.write(self._fd, data)
        except OSError as error:
            raise JournalFullError(str(error)) from error
        if written < len(data):
            self._torn = True
            self._cut()
            raise JournalFullError("short write")
        self._size += written
        self._unsynced = True
        self._owed.clear()
        for head, raw in records:
            self._keep(head, raw)

    def _cut(self) -> None:
        """What a short write has left goes before anything is written: behind it a replay would end."""
        try:
            self._disk.truncate(self._fd, self._size)
        except OSError as error:
            raise JournalFullError(f"a part of a record cannot be cut off: {error}") from error
        self._torn = False

    def _compact(self, forced: bool = False) -> None:
        """Write what is not over to a new log and put it in the old one's place.

        A durable one is synced before it takes the old one's name, and the name before it is relied on.
        """
        if size_in_blocks(self._size) + size_in_blocks(self._live_bytes) > self._budget and not forced:
            return  # no room for both; what is open still fits, and its ends make room
        live = (raw for records in self._live.values() for raw in records)
        data = b"".join((*self._rules.values(), *live, *self._cares.values(), *self._spools.values()))
        small = len(data) < self._size or forced
        if not small or size_in_blocks(self._size) + size_in_blocks(len(data)) > self._budget:
            return
        try:
            fd = self._disk.open(self._spare, APPEND | TRUNCATE)
        except OSError as error:
            LOG.error("journal: no compaction: %s", error)
            return
        try:
            whole = self._disk.write(fd, data) == len(data)
            if whole and self._durable:
                self._disk.sync(fd)
            if whole:
                self._disk.replace(self._spare, self._path)
        except OSError as error:
            LOG.error("journal: no compaction: %s", error)
            whole = False
        if not whole:
            self._disk.close(fd)
            self._disk.unlink(self._spare)
            return
        self._disk.close(self._fd)
        self._fd, self._size, self._torn = fd, len(data), False
        self._owed.clear()  # what they say is in it
        if self._durable:
            self._name_synced()

    def _name_synced(self) -> None:
        """The new log has its name for good; else the loss of power may bring the old one back."""
        try:
            self._disk.sync_folder(self._folder)
        except OSError as error:
            LOG.error("journal: the folder is not synced: %s", error)
            self._unsynced = self._doubtful = True
            return
        self._unsynced = self._doubtful = False
