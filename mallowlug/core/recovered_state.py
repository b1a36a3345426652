"""What a journal says of the previous run: uncompleted messages, outages, rules and spool positions."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from mossfront.interface import OutageRecordKind

# The kinds in the order of the codes that a "care" record stores.
KINDS_BY_CODE = (OutageRecordKind.OUTAGE, OutageRecordKind.SUSPICION, OutageRecordKind.RECOVERY)


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


@dataclass(frozen=True, slots=True)
class StoredOutage:
    """An endpoint's outage that is still relevant after a restart."""

    until_us: int  # until when it may be down or cold
    kind: OutageRecordKind = OutageRecordKind.OUTAGE
    served_percent: int = 100  # of the destination's messages, before the outage


class RecoveredState:
    """The state that the records of a log add up to."""

    def __init__(self) -> None:
        self.messages: dict[str, RecoveredMessage] = {}  # by message id
        self.outages: dict[str, StoredOutage] = {}  # by endpoint
        self.rules: dict[int, dict[str, Any]] = {}  # by number: rules under which messages were accepted
        self.spools: dict[str, int] = {}  # by spool file: the position up to which it was adopted

    def apply(self, head: list[Any], body: bytes) -> None:
        """Apply the next record.

        Raises ``KeyError``, ``IndexError``, ``TypeError`` or ``ValueError`` for a head that is no record's.
        """
        kind, key = head[0], head[1]
        if kind == "in":
            self.messages[key] = RecoveredMessage(key, dict(head[2]), body)
        elif kind == "care":
            self.outages[key] = self._outage(head)
        elif kind == "rules":
            self.rules[int(key)] = dict(head[2])
        elif kind == "spool":
            self.spools[key] = int(head[2])
        elif kind == "unspool":
            self.spools.pop(key, None)
        elif kind == "over":
            self.messages.pop(key, None)
        elif (message := self.messages.get(key)) is not None:
            self._apply_to_message(message, head)

    @staticmethod
    def _outage(head: list[Any]) -> StoredOutage:
        """Return an outage; records of older versions lack the kind's code or the share served."""
        code = int(head[3]) if len(head) > 3 else 0
        percent = int(head[4]) if len(head) > 4 else 100
        return StoredOutage(int(head[2]), KINDS_BY_CODE[code], percent)

    @staticmethod
    def _apply_to_message(message: RecoveredMessage, head: list[Any]) -> None:
        kind = head[0]
        if kind == "try":
            message.attempts.append(Attempt(int(head[2]), str(head[3]), str(head[4]), int(head[5])))
        elif kind == "not":
            for attempt in message.attempts:
                attempt.never_ran |= attempt.number == head[2]
        elif kind == "end":
            message.notice = str(head[2]), int(head[3])
