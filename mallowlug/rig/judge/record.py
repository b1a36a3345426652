"""The record of a run: everything that crossed a socket, one event per line, ordered by a single clock.

Format (version 1): JSON Lines, UTF-8. Each line is one event with its kind in ``e``; the fields are the
classes below. ``at`` is microseconds of CLOCK_MONOTONIC since the run began; all processes of a machine share
that clock, so events of several processes can be ordered by it. The first line is ``head``, the last one
``end`` with the number of events between them. A record without ``end`` is truncated, and the judge cannot
conclude from it that a rule was kept.
"""

from __future__ import annotations

import heapq
import time
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path
from typing import IO, Any, Literal

import msgspec

VERSION = 1


class RecordError(ValueError):
    """Raised for a record that cannot be read; the message has the file, line and reason."""


class ClassSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A message class: its worth over time, and the effect of sending a message again.

    ``aim_us`` is the target time, ``window_us`` the time for which endpoints remember a key, and ``by_zone``
    says that a key is known only in its zone.
    """

    name: str
    effect: Literal["safe", "keyed", "unsafe"]
    aim_us: int
    deadline_us: int
    worth: float = 1.0
    late_worth: float = 0.0
    window_us: int = 0
    by_zone: bool = False
    in_order: bool = False


class KindSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A kind of endpoint.

    ``apart``: each endpoint is a route of its own, instead of one route for the destination. ``batch`` is the
    max number of messages in a call.
    """

    name: str
    apart: bool = True
    batch: int = 1
    item_cost: float = 0.15  # work of each further message in a call, relative to the first one


class TenantQuota(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A tenant (a member of the client population) and its quota in messages per second over all relays."""

    name: str
    quota_per_s: float


class RuleLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits and tolerances of the rules; times in microseconds.

    ``slack_us`` is added to each limit that is measured on sockets.
    """

    drain_grace_us: int = 500_000
    ask_within_us: int = 6_000_000
    fall_multiple: float = 1.5
    fall_us: int = 3_000_000
    order_pause_us: int = 0
    may_duplicate: bool = True
    over_share_worth: float = 0.1
    slack_us: int = 50_000
    answer_grace_us: int = 300_000
    ready_grace_us: int = 1_500_000
    wait_grace_us: int = 100_000


class Event(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag_field="e"):
    """Base of all events; ``at`` is the time in microseconds of the run."""

    at: int


class RecordHead(Event, frozen=True, tag="head"):
    """The first line: the run's identity and the parameters that the rules use."""

    name: str
    seed: int
    classes: list[ClassSpec]
    kinds: list[KindSpec]
    members: list[TenantQuota]
    figures: RuleLimits
    scenario: dict[str, Any] = {}  # as it was run, so that the run can be replayed
    dials: bool = False  # whether the record has every connect to an endpoint, also refused ones
    version: int = VERSION


class HostAdded(Event, frozen=True, tag="host"):
    """An endpoint exists from now on; ``per_s`` is its full capacity in messages per second."""

    host: str
    dest: int
    zone: str
    kind: str
    per_s: float


class HostStateChange(Event, frozen=True, tag="life"):
    """An endpoint's outage begins (``out``) or ends (``back``), or the endpoint collapses (``fell``).

    After ``back`` its capacity rises from the share ``cold_from`` to all of it within ``warm_us``.
    """

    host: str
    state: Literal["out", "back", "fell"]
    cold_from: float = 1.0
    warm_us: int = 0


class ProcessEvent(Event, frozen=True, tag="relay"):
    """What happened to a relay's process.

    ``wiped``: its folder is lost as well. ``deaf``: it is paused or nothing reaches it, until ``hears``.
    ``full``: its disk accepts no writes, until ``room``.
    """

    relay: str
    what: Literal["start", "ready", "term", "kill", "exit", "hup", "wiped", "deaf", "hears", "full", "room"]
    detail: str = ""


class HostDisabled(Event, frozen=True, tag="hand"):
    """The relay confirmed that operators disabled a host (``out``), or they are about to enable it."""

    relay: str
    host: str
    out: bool


class MessageSubmitted(Event, frozen=True, tag="ask"):
    """A client has written the last byte of a request that submits a message.

    ``first`` is the id of the first submission if this one is a client's retry. ``left_us`` is the time until
    the deadline.
    """

    id: str
    relay: str
    dest: int
    cls: str
    member: str
    left_us: int
    key: str = ""
    order: str = ""
    first: str = ""
    size: int = 0


class ClientOutcome(Event, frozen=True, tag="said"):
    """The outcome of a request for its client.

    ``taken``: accepted. ``silent``: no answer in time. ``cut``: the connection ended instead of an answer.
    ``fresh``: it was the first request on its connection.
    """

    id: str
    what: Literal["taken", "refused", "failed", "silent", "cut"]
    wait_us: int = 0
    fresh: bool = False


class ConnectStarted(Event, frozen=True, tag="dial"):
    """A relay begins to connect to an endpoint. Only simulated networks record it: a closed port cannot."""

    relay: str
    host: str


class Call(Event, frozen=True, tag="call"):
    """The last byte of a call has arrived at an endpoint; the first one arrived at ``began``."""

    call: int
    host: str
    ids: list[str]
    began: int
    connection: int = 0


class MessageProcessed(Event, frozen=True, tag="ran"):
    """An endpoint processed a message; ``effect`` is false if it still remembered the message's key."""

    call: int
    host: str
    id: str
    effect: bool


class CallAnswered(Event, frozen=True, tag="answer"):
    """A call's answer is written. ``spoilt``: it is corrupt, and only a status line with 200 is valid."""

    call: int
    ends: dict[str, Literal["delivered", "error", "refused", "over", "unsent"]]
    wait_us: int = 0
    spoilt: bool = False


class CallBroken(Event, frozen=True, tag="gone"):
    """A call's connection ended before its answer; ``by`` is the side that ended it."""

    call: int
    by: Literal["relay", "host"]


class CallOverlapped(Event, frozen=True, tag="overlap"):
    """A call began on a connection whose call before it, ``call``, had no answer yet."""

    call: int


class AnswerRepeated(Event, frozen=True, tag="again"):
    """An answer, or a part of one, is about to be written once more on a connection.

    ``call`` is the call that waits for its answer on that connection; 0 if none does.
    """

    server: str
    connection: int
    call: int = 0


class ConnectionClosed(Event, frozen=True, tag="left"):
    """The relay closed the connection whose last call, this one, was answered with a Retry-After wait."""

    call: int


class Notice(Event, frozen=True, tag="notice"):
    """The platform has received a notice of a message's final result."""

    relay: str
    id: str
    result: Literal["dead", "bounced"]
    wait_us: int = 0


class DirectoryChange(Event, frozen=True, tag="listed"):
    """The state of an endpoint has changed in the directory."""

    host: str
    state: Literal["ready", "draining", "gone"]


class StateAnnounced(Event, frozen=True, tag="told"):
    """The directory wrote the state of an endpoint to a relay."""

    relay: str
    host: str
    state: Literal["ready", "draining", "gone"]


class WatchChange(Event, frozen=True, tag="watch"):
    """A relay's watch on the directory begins or ends."""

    relay: str
    open: bool


class ReachabilityChange(Event, frozen=True, tag="reach"):
    """Data passes between a relay and the platform from now on, or not; a cut network gives no error."""

    relay: str
    open: bool


class LinkDelay(Event, frozen=True, tag="link"):
    """The delay (us) with which bytes arrive from now on between relays and others.

    -1: nothing arrives until the next such event.
    """

    between: Literal["hosts", "clients", "directory"]
    late_us: int


class DatagramPath(Event, frozen=True, tag="way"):
    """Datagrams from relay ``one`` to relay ``other`` pass without faults from now on, or not."""

    one: str
    other: str
    clear: bool


class FleetView(Event, frozen=True, tag="held"):
    """A relay's observed view of the fleet: digest, group size, and each member's lifetime and state."""

    relay: str
    digest: str
    group: int
    members: dict[str, tuple[int, str]]


class MalformedClient(Event, frozen=True, tag="rude"):
    """The outcome for a client that sends malformed data; ``none``: neither answer nor close in time."""

    relay: str
    what: str
    end: Literal["error", "close", "taken", "none"]


class Annotation(Event, frozen=True, tag="mark"):
    """A note for the reader of the record: an outage, a fault, a fail point."""

    what: str
    detail: str = ""


class RecordEnd(Event, frozen=True, tag="end"):
    """The last line: the number of events, the rig's CPU time (s) and its event loop's max delay (us)."""

    events: int
    rig_cpu_s: float = 0.0
    late_us: int = 0


AnyEvent = (
    RecordHead | HostAdded | HostStateChange | ProcessEvent | HostDisabled | MessageSubmitted | ClientOutcome
    | ConnectStarted | Call | MessageProcessed | CallAnswered | CallBroken | CallOverlapped
    | AnswerRepeated | ConnectionClosed | Notice
    | DirectoryChange | StateAnnounced | WatchChange | ReachabilityChange | LinkDelay | DatagramPath
    | FleetView | MalformedClient | Annotation | RecordEnd
)  # fmt: skip
ENCODER = msgspec.json.Encoder()
DECODER = msgspec.json.Decoder(AnyEvent)


class Record(msgspec.Struct, frozen=True):
    """A record: its head, its events in order of time, and whether it is whole (not truncated)."""

    head: RecordHead
    events: list[AnyEvent]
    whole: bool


def now_us(start_us: int = 0) -> int:
    """Return microseconds of the machine's monotonic clock, which all its processes share."""
    return time.monotonic_ns() // 1000 - start_us


class RecordWriter:
    """Writes events to a record file and passes each one to the listeners."""

    def __init__(
        self, path: Path, head: Callable[[int], RecordHead], clock: Callable[[], int] = now_us
    ) -> None:
        self._clock, self.start_us = clock, clock()
        self._file: IO[bytes] = path.open("wb")
        self.count = 0
        self.listeners: list[Callable[[AnyEvent], None]] = []  # called with each event after it is written
        self._put(head(0))

    @property
    def now(self) -> int:
        """The run's time in microseconds."""
        return self._clock() - self.start_us

    def _put(self, event: AnyEvent) -> None:
        self._file.write(ENCODER.encode(event) + b"\n")
        for listener in self.listeners:
            listener(event)

    def add(self, event: AnyEvent) -> None:
        """Append an event; events of connections after the record is closed are not part of the run."""
        if self._file.closed:
            return
        self.count += 1
        self._put(event)

    def close(self, cpu_s: float = 0.0, late_us: int = 0, others: Iterable[AnyEvent] = ()) -> None:
        """Append the events of other processes and the last line, and close the file."""
        for event in others:
            self.add(event)
        self._put(RecordEnd(self.now, self.count, cpu_s, late_us))
        self._file.close()


def save(record: Record, path: Path) -> None:
    """Write a record to a file with its times unchanged."""
    path.write_bytes(b"".join(ENCODER.encode(event) + b"\n" for event in (record.head, *record.events)))


def read_lines(path: Path) -> Iterator[tuple[int, AnyEvent | None]]:
    """Yield each line's number and event; None for an incomplete last line, which a killed writer leaves.

    Raises ``RecordError`` if the file cannot be read or a line is invalid.
    """
    try:
        data = path.read_bytes()
    except OSError as error:
        raise RecordError(f"{path}: cannot be read: {error}") from None
    *whole, rest = data.split(b"\n")
    for number, line in enumerate(whole, 1):
        try:
            yield number, DECODER.decode(line)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            raise RecordError(f"{path}:{number}: {error}") from None
    if rest:
        yield len(whole) + 1, None


def read(path: Path) -> Record:
    """Read a record; raises ``RecordError`` for an invalid line or a first line that is not a head.

    Events are sorted by time; events of the same time keep the order of their lines.
    """
    head, events, end, torn = None, list[AnyEvent](), None, False
    for number, event in read_lines(path):
        if event is None:
            torn = True
        elif head is None:
            if not isinstance(event, RecordHead):
                raise RecordError(f"{path}:{number}: the first line is not a head")
            if event.version != VERSION:
                raise RecordError(f"{path}:{number}: version {event.version}, not {VERSION}")
            head = event
        elif isinstance(event, RecordHead) or end is not None:
            raise RecordError(f"{path}:{number}: a second head, or data after the end")
        elif isinstance(event, RecordEnd):
            end = event
            if end.events != len(events):
                raise RecordError(f"{path}:{number}: {len(events)} events, but {end.events} were written")
        else:
            events.append(event)
    if head is None:
        raise RecordError(f"{path}: empty")
    events.sort(key=lambda event: event.at)
    return Record(head, [*events, *([end] if end else [])], end is not None and not torn)


def merge_events(*parts: Iterable[AnyEvent]) -> list[AnyEvent]:
    """Merge events of several processes by time; each part must be sorted by time."""
    return list(heapq.merge(*parts, key=lambda event: event.at))
