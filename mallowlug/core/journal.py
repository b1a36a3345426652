"""The journal of accepted messages: an append-only log with replay and compaction.

The format of a record is in ``record_format``, what the records of a previous run add up to in
``recovered_state``, what a compaction keeps and the space that it takes in ``live_records``. Written records
survive the end of the process. A durable journal also survives a power loss: a record is synced before the
message is reported as accepted, the call's first byte is sent or the final result is reported. Records that
only lower uncertainty (proofs that an attempt never ran, confirmed notices) are not synced: without them a
message is merely treated more cautiously.
"""

from __future__ import annotations

import logging
from collections.abc import Collection
from pathlib import Path
from typing import Any

import msgspec

from mallowlug.core.live_records import LiveRecords
from mallowlug.core.record_format import BLOCK, FRAME, encode_record, scan_records, size_in_blocks
from mallowlug.core.recovered_state import KINDS_BY_CODE, Attempt, RecoveredState, StoredOutage
from mallowlug.system import APPEND, TRUNCATE, Disk

LOG = logging.getLogger(__name__)
OTHER_FILES_BLOCKS = 4  # blocks for the small files beside the journal: clock, overruled
# Field of the log line that names a record's subject; "message_id" for all other kinds.
LOG_FIELD_BY_KIND = {"care": "host", "rules": "rules", "spool": "spool", "unspool": "spool"}
DEFAULT_MAX_ATTEMPTS = 8  # per message, until the settings are known
MAX_RULES = 32  # sets of rules; beyond it those that no open message uses are forgotten
COMPACTION_SLACK_BYTES = 256 * 1024  # garbage that triggers a compaction


class JournalFullError(Exception):
    """A record does not fit the disk budget, or the disk did not take or sync it."""


class Journal:
    """The journal of one relay; ``recovered`` holds the messages that the previous run left uncompleted."""

    def __init__(self, folder: Path, disk_bytes: int, disk: Disk, durable: bool = False) -> None:
        self._disk, self._folder, self._durable = disk, folder, durable
        self._path, self._new_path = folder / "journal", folder / "journal.new"
        self._budget = disk_bytes - OTHER_FILES_BLOCKS * BLOCK
        self._live = LiveRecords(DEFAULT_MAX_ATTEMPTS)
        self._pending: list[bytes] = []  # records that the disk did not take yet
        # Whether anything was written since the last sync, and whether a sync has failed: after a failure no
        # earlier unsynced write is known to be safe, and another sync of the same file proves nothing
        # (Rebello et al., USENIX ATC 2020).
        self._unsynced, self._sync_failed = False, False
        self._torn_tail = False  # whether a partial record follows the last complete one
        state = self._recovered_state = RecoveredState()
        self.recovered, self.outages, self.rules, self.spools = (
            state.messages,
            state.outages,
            state.rules,
            state.spools,
        )
        disk.unlink(self._new_path)  # left by an unfinished compaction; the old log is still in force
        self._fd = disk.open(self._path, APPEND)
        self._size = self._replay(disk.read(self._path))
        # A record appended after a torn tail would be lost behind the damage at the next replay.
        disk.truncate(self._fd, self._size)
        if durable:  # the directory entry of a new log is not synced yet
            self._sync_directory()
            self._unsynced = True

    @property
    def max_attempts(self) -> int:
        """Attempts for which each newly accepted message has space reserved."""
        return self._live.max_attempts

    @max_attempts.setter
    def max_attempts(self, max_attempts: int) -> None:
        self._live.set_max_attempts(max_attempts)

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
                self._recovered_state.apply(head, body)
                self._live.add(head, record)
            except (ValueError, TypeError, KeyError, IndexError, msgspec.MsgspecError) as error:
                LOG.error("journal: unreadable record ending at offset %d skipped: %r", record_end, error)
        if end < len(data):
            LOG.warning("journal: torn tail of %d bytes truncated", len(data) - end)
        return end

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
                self._live.add(head, record)
                self._pending.append(record)

    def accept(self, message_id: str, fields: dict[str, Any], body: bytes) -> None:
        """Record an accepted message, reserving space for all later records of it.

        Raises ``JournalFullError`` where the budget or the disk does not allow that.
        """
        head = ["in", message_id, fields]
        record = encode_record(head, body)
        # The records of open messages have to fit twice, as a compaction holds the old and the new log side
        # by side. Their later records have to fit once: they are no garbage and cause no compaction.
        live = self._live
        later_bytes = live.later_bytes + live.later_bytes_per_character * len(message_id)
        max_bytes = live.reserved_bytes + len(record) + later_bytes + live.shared_bytes
        if (
            max(2 * size_in_blocks(self._live.live_bytes + len(record)), size_in_blocks(max_bytes))
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
            used = {*self._live.rules_by_message.values(), *numbers_in_use}
            for number in [number for number in self.rules if number not in used]:
                del self.rules[number]
                self._live.drop_rules(number)
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
        former, replacement = self._live.last_of(message_id), encode_record(head)
        if former is None or former not in self._pending:
            self._append_or_queue(head)
            return
        self._pending[self._pending.index(former)] = replacement
        self._live.replace_last_of(message_id, replacement)

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
            self._live.drop_outage(host)

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
        self._live.add(head, record)
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
        if self._size + len(data) + self._live.live_bytes > min(
            self._budget - size_in_blocks(len(data)) - 2 * BLOCK,
            2 * self._live.live_bytes + COMPACTION_SLACK_BYTES,
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
            self._live.add(head, record)

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
        if size_in_blocks(self._size) + size_in_blocks(self._live.live_bytes) > self._budget and not forced:
            return  # no space for both logs; open messages still fit, and free space as they complete
        data = b"".join(self._live.all())
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
