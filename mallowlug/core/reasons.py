"""Counts of closed connections, retries, refusals and results in doubt by reason, and their log lines.

Each event is counted where it is decided. At level DEBUG each has its own log line with the message's id or
the host; at level INFO one line every ten seconds summarizes what has been counted since the last one.
"""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from enum import StrEnum

from mossfront.interface import GiveUpReason, Verdict

LOG = logging.getLogger(__name__)
SUMMARY_INTERVAL_S = 10.0  # between two summary lines in the log


class Event(StrEnum):
    """A kind of event that is counted by reason; the value is part of the metric's name."""

    CLIENT_CLOSE = "client_closes"
    HOST_CLOSE = "host_closes"
    RETRY = "retries"
    REFUSAL = "refusals"
    UNDELIVERED_IN_DOUBT = "undelivered_in_doubt"


class ClientClose(StrEnum):
    """Why a client's connection was closed."""

    BY_CLIENT = "ended by the client"
    CONNECTION_ERROR = "broken"
    NO_REQUEST = "no request"
    UNFINISHED = "a request without end"
    ERRORS = "too many errors"
    SHUTTING_DOWN = "the relay ends"
    HANDED_OVER = "handed over to another process"
    DESCRIPTOR_NEEDED = "its descriptor is needed"
    LINGERED = "the client did not end its side"


class HostClose(StrEnum):
    """Why a connection to a host was closed."""

    FAILED = "its call failed"
    NOT_KEPT = "not kept for another call"
    NO_MORE_CALLS = "its host gets no more calls"
    POLICY = "the next call opens a fresh one"
    IDLE = "idle too long, or ended by the host"
    UNSOLICITED = "data that no call asked for"
    DISTRUSTED = "another of its host received data that no call asked for"
    DESCRIPTOR_NEEDED = "its descriptor is needed"
    SHUTTING_DOWN = "the relay ends"


class RejectReason(StrEnum):
    """Why a request was rejected."""

    UNKNOWN_CLASS = "unknown class"
    NO_KEY = "k is missing"
    UNKNOWN_DESTINATION = "unknown destination"
    BACKLOG_FULL = "no room for one more"
    JOURNAL_FULL = "the journal takes nothing"
    SHUTTING_DOWN = "the relay ends"


class ResultInDoubt(StrEnum):
    """What the client was told of an undelivered message of which an attempt may have run."""

    REFUSED = "refused"
    FAILED = "failed"


UNKNOWN_OUTCOME = "unknown, of a former process"  # outcome of an attempt recovered by a restart
REASONS: dict[Event, tuple[str, ...]] = {
    Event.CLIENT_CLOSE: tuple(reason.value for reason in ClientClose),
    Event.HOST_CLOSE: tuple(reason.value for reason in HostClose),
    Event.RETRY: (*(verdict.value for verdict in Verdict), UNKNOWN_OUTCOME),
    Event.REFUSAL: (*(reason.value for reason in RejectReason), *(reason.value for reason in GiveUpReason)),
    Event.UNDELIVERED_IN_DOUBT: tuple(reason.value for reason in ResultInDoubt),
}


class Reasons:
    """The counts of one process; every reason is present from the start, as counters are read as rates."""

    def __init__(self) -> None:
        # Public: code that counts frequent events increments it directly.
        self.counts = Counter({(event, reason): 0 for event in Event for reason in REASONS[event]})
        self._last_logged = self.counts.copy()  # the counts at the last summary line
        self._timer: asyncio.TimerHandle | None = None

    def count(self, event: Event, reason: str, *, message_id: str = "", host: str = "") -> None:
        """Count an event, and log it at level DEBUG."""
        self.counts[event, reason] += 1
        if LOG.isEnabledFor(logging.DEBUG):
            log_fields = {"message_id": message_id, "host": host}
            extra = {field: value for field, value in log_fields.items() if value}
            LOG.debug("%s: %s %s", event.value, reason, " ".join(extra.values()), extra=extra)

    def total(self, event: Event) -> dict[str, int]:
        """Return the counts of an event by reason."""
        return {reason: count for (known, reason), count in self.counts.items() if known is event}

    def start(self) -> None:
        """Log a summary every ``SUMMARY_INTERVAL_S``."""
        self._timer = asyncio.get_running_loop().call_later(SUMMARY_INTERVAL_S, self._log_periodically)

    def stop(self) -> None:
        """Log a last summary and stop."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self.log_summary()

    def _log_periodically(self) -> None:
        self.log_summary()
        self.start()

    def log_summary(self) -> None:
        """Log what has been counted since the last summary; no line where nothing was."""
        increments, self._last_logged = self.counts - self._last_logged, self.counts.copy()
        events = []
        for event in Event:
            counted = [f"{reason} {count}" for (known, reason), count in increments.items() if known is event]
            if counted:
                events.append(f"{event.value}: {', '.join(sorted(counted))}")
        if events:
            LOG.info("%s", "; ".join(events))
