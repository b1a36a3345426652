"""Why connections were closed, calls made again and messages refused: counted by reason, told in the log.

Each event is counted where it is decided. At level DEBUG it has a log line of its own, with the message's id
or the host; at INFO one line every ten seconds says what has been counted since the last one.
"""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from enum import StrEnum

from mossfront.interface import GiveUpReason, Verdict

LOG = logging.getLogger(__name__)
SUMMARY_INTERVAL_S = 10.0  # s between two lines of the log


class Event(StrEnum):
    """What is counted by reason; the value is a part of the figure's name."""

    CLIENT_CLOSE = "client_closes"
    HOST_CLOSE = "host_closes"
    RETRY = "retries"
    REFUSAL = "refusals"


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
    HOST_INACTIVE = "its host gets no more calls"
    POLICY = "the next call opens a fresh one"
    IDLE = "idle too long, or ended by the host"
    DESCRIPTOR_NEEDED = "its descriptor is needed"
    SHUTTING_DOWN = "the relay ends"


class RejectReason(StrEnum):
    """Why a request was answered without being taken on."""

    UNKNOWN_CLASS = "unknown class"
    NO_KEY = "k is missing"
    UNKNOWN_DESTINATION = "unknown destination"
    BACKLOG_FULL = "no room for one more"
    JOURNAL_FULL = "the journal takes nothing"
    SHUTTING_DOWN = "the relay ends"


UNKNOWN_OUTCOME = "unknown, of a former process"  # how an attempt ended that a restart found
REASONS: dict[Event, tuple[str, ...]] = {
    Event.CLIENT_CLOSE: tuple(reason.value for reason in ClientClose),
    Event.HOST_CLOSE: tuple(reason.value for reason in HostClose),
    Event.RETRY: (*(verdict.value for verdict in Verdict), UNKNOWN_OUTCOME),
    Event.REFUSAL: (*(reason.value for reason in RejectReason), *(reason.value for reason in GiveUpReason)),
}


class Reasons:
    """The counts of one process; each reason is there from the start, as figures are read by their growth."""

    def __init__(self) -> None:
        # Frequent events are added here by their owner.
        self.counts = Counter({(event, reason): 0 for event in Event for reason in REASONS[event]})
        self._last_logged = self.counts.copy()  # as of the last line
        self._timer: asyncio.TimerHandle | None = None

    def count(self, event: Event, reason: str, *, message_id: str = "", host: str = "") -> None:
        """One event happened."""
        self.counts[event, reason] += 1
        if LOG.isEnabledFor(logging.DEBUG):
            log_fields = {"message_id": message_id, "host": host}
            extra = {field: value for field, value in log_fields.items() if value}
            LOG.debug("%s: %s %s", event.value, reason, " ".join(extra.values()), extra=extra)

    def total(self, event: Event) -> dict[str, int]:
        """How often an event happened, by reason."""
        return {reason: count for (known, reason), count in self.counts.items() if known is event}

    def start(self) -> None:
        """Tell the log every few seconds."""
        self._timer = asyncio.get_running_loop().call_later(SUMMARY_INTERVAL_S, self._log_periodically)

    def stop(self) -> None:
        """Tell the log what it does not know yet, and no more."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self.log_summary()

    def _log_periodically(self) -> None:
        self.log_summary()
        self.start()

    def log_summary(self) -> None:
        """A line of what has been counted since the last one; none where nothing was."""
        increments, self._last_logged = self.counts - self._last_logged, self.counts.copy()
        events = []
        for event in Event:
            counted = [f"{reason} {count}" for (known, reason), count in increments.items() if known is event]
            if counted:
                events.append(f"{event.value}: {', '.join(sorted(counted))}")
        if events:
            LOG.info("%s", "; ".join(events))
