"""The encoded records that a compaction keeps, and the bytes that they and their successors take.

Free of I/O: the journal writes, this module counts. All sizes are bytes of encoded records, frames included.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

# Bytes of an attempt record with its proof, and of an end record with its confirmation, without the message's
# id, which occurs twice in each: 122 and 86 with message ids of 16 characters and host ids of 10.
ATTEMPT_BYTES, END_BYTES = 120, 80


class LiveRecords:
    """The records of uncompleted messages, and the latest ones of rules, outages and spool positions."""

    def __init__(self, max_attempts: int) -> None:
        self.set_max_attempts(max_attempts)
        self.by_message: dict[str, list[bytes]] = {}  # of uncompleted messages, in order of writing
        self.rules_by_message: dict[str, int] = {}  # by uncompleted message: the number of its rules
        self.live_bytes = 0  # of all records that a compaction keeps
        self.shared_bytes = 0  # of those that belong to no message: rules, outages and spool positions
        # The most that the records of open messages can take, with all that may still be written for them.
        self.reserved_bytes, self._reserved_by_message = 0, dict[str, int]()
        self._rules: dict[int, bytes] = {}  # by number
        self._outages: dict[str, bytes] = {}  # by endpoint
        self._spools: dict[str, bytes] = {}  # by spool file

    def set_max_attempts(self, max_attempts: int) -> None:
        """Reserve space for so many attempts of each message that is added from now on."""
        self.max_attempts = max_attempts
        # The most that the records after a message's acceptance can take: this, and more for each of its id's
        # characters.
        self.later_bytes = max_attempts * ATTEMPT_BYTES + END_BYTES
        self.later_bytes_per_character = 2 * (max_attempts + 1)

    def add(self, head: list[Any], record: bytes) -> None:
        """Keep a record, and drop those that it makes obsolete."""
        kind, key = head[0], head[1]
        if kind == "in":
            self.by_message[key] = [record]
            later_bytes = self.later_bytes + self.later_bytes_per_character * len(key)
            self._reserved_by_message[key] = len(record) + later_bytes
            self.reserved_bytes += self._reserved_by_message[key]
            if "rules" in head[2]:
                self.rules_by_message[key] = int(head[2]["rules"])
        elif kind == "rules":
            self._replace(self._rules, key, record)
            return
        elif kind == "spool":
            self._replace(self._spools, key, record)
            return
        elif kind == "unspool":
            self._drop(self._spools, key)
            return
        elif kind == "care":
            self._replace(self._outages, key, record)
            return
        elif key not in self.by_message:
            return
        elif kind == "over":
            self.live_bytes -= sum(map(len, self.by_message.pop(key)))
            self.rules_by_message.pop(key, None)
            self.reserved_bytes -= self._reserved_by_message.pop(key)
            return
        else:
            self.by_message[key].append(record)
        self.live_bytes += len(record)

    def _replace(self, records: dict[Any, bytes], key: Any, record: bytes) -> None:
        added_bytes = len(record) - len(records.get(key, b""))
        records[key] = record
        self.live_bytes += added_bytes
        self.shared_bytes += added_bytes

    def _drop(self, records: dict[Any, bytes], key: Any) -> None:
        former_bytes = len(records.pop(key, b""))
        self.live_bytes -= former_bytes
        self.shared_bytes -= former_bytes

    def drop_rules(self, number: int) -> None:
        """Drop the record of a set of rules."""
        self._drop(self._rules, number)

    def drop_outage(self, host: str) -> None:
        """Drop the record of an endpoint's outage."""
        self._drop(self._outages, host)

    def last_of(self, message_id: str) -> bytes | None:
        """Return the last record of an uncompleted message; None for any other."""
        records = self.by_message.get(message_id)
        return records[-1] if records else None

    def replace_last_of(self, message_id: str, record: bytes) -> None:
        """Replace the last record of an uncompleted message."""
        records = self.by_message[message_id]
        self.live_bytes += len(record) - len(records[-1])
        records[-1] = record

    def all(self) -> Iterator[bytes]:
        """Yield all records in the order in which a compaction writes them."""
        yield from self._rules.values()
        for records in self.by_message.values():
            yield from records
        yield from self._outages.values()
        yield from self._spools.values()
