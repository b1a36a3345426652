"""The record of a run: everything that crossed a socket, one event a line, in the order of one clock.

Format (version 1): JSON Lines, UTF-8. Each line is one event with its kind in ``e``; the fields are the
classes below. ``at`` is microseconds of CLOCK_MONOTONIC since the run began; on one machine that clock is the
same in every process, so the lines of several processes are put in order by it. The first line is ``head``,
the last one ``end`` with the number of events between them: a record without it is truncated, and nobody can
say of it that a rule was kept.
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
    """A record that cannot be read; the message names file, line and reason."""


class ClassSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A class of message: what it is worth (times in microseconds) and what a repeat of it does."""

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
    """A kind of endpoint: whether each is a route of its own, and how many messages a call may carry."""

    name: str
    apart: bool = True
    batch: int = 1
    item_cost: float = 0.15  # work of a further message in a call, as a share of the first one's


class TenantQuota(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A member and the rate of its share, in messages a second over all relays."""

    name: str
    quota_per_s: float


class RuleLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The figures of the rules. Times in microseconds; ``slack_us`` is added to each limit on sockets."""

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
    """What every line has."""

    at: int


class RecordHead(Event, frozen=True, tag="head"):
    """The first line: what the run was, and the facts that the rules go by."""

    name: str
    seed: int
    classes: list[ClassSpec]
    kinds: list[KindSpec]
    members: list[TenantQuota]
    figures: RuleLimits
    scenario: dict[str, Any] = {}  # as it was played, so that the record can be played again
    dials: bool = False  # whether every connect to an endpoint is told, also one that is refused
    version: int = VERSION


class HostAdded(Event, frozen=True, tag="host"):
    """An endpoint exists from now on; ``per_s`` is the rate of messages at which it is at its limit."""

    host: str
    dest: int
    zone: str
    kind: str
    per_s: float


class HostStateChange(Event, frozen=True, tag="life"):
    """An endpoint's outage begins (``out``) or ends (``back``): then it is cold for ``warm_us``."""

    host: str
    state: Literal["out", "back", "fell"]
    cold_from: float = 1.0
    warm_us: int = 0


class ProcessEvent(Event, frozen=True, tag="relay"):
    """What happened to a relay's process; ``wiped``: its folder is lost as well, ``deaf``: it stands
    still or nothing reaches it, until ``hears``; ``full``: its disk takes nothing, until ``room``.
    """

    relay: str
    what: Literal["start", "ready", "term", "kill", "exit", "hup", "wiped", "deaf", "hears", "full", "room"]
    detail: str = ""


class HostDisabled(Event, frozen=True, tag="hand"):
    """Staff took a host out at a relay, from its yes on, or are about to take it back."""

    relay: str
    host: str
    out: bool


class MessageSubmitted(Event, frozen=True, tag="ask"):
    """A client's request is written, up to its last byte; ``first`` is the id of the message's first try."""

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
    """What a client heard of its request. ``silent``: nothing in time; ``cut``: the connection ended instead;
    ``fresh``: it was the first request on its connection."""

    id: str
    what: Literal["taken", "refused", "failed", "silent", "cut"]
    wait_us: int = 0
    fresh: bool = False


class ConnectStarted(Event, frozen=True, tag="dial"):
    """A relay begins to connect to an endpoint. Only a simulated network tells: a closed port cannot."""

    relay: str
    host: str


class Call(Event, frozen=True, tag="call"):
    """A call's last byte has come; its first one came at ``began``."""

    call: int
    host: str
    ids: list[str]
    began: int
    connection: int = 0


class MessageProcessed(Event, frozen=True, tag="ran"):
    """A message was processed; ``effect`` is false where its key was still remembered."""

    call: int
    host: str
    id: str
    effect: bool


class CallAnswered(Event, frozen=True, tag="answer"):
    """A call's answer is written. ``spoilt``: so that only a first line with 200 can be believed of it."""

    call: int
    ends: dict[str, Literal["delivered", "error", "refused", "over", "unsent"]]
    wait_us: int = 0
    spoilt: bool = False


class CallBroken(Event, frozen=True, tag="gone"):
    """A call's connection ended before its answer."""

    call: int
    by: Literal["relay", "host"]


class ConnectionClosed(Event, frozen=True, tag="left"):
    """The relay closed the connection on which this call, the last one there, was told to wait."""

    call: int


class Notice(Event, frozen=True, tag="notice"):
    """The platform has heard of a message's end."""

    relay: str
    id: str
    result: Literal["dead", "bounced"]
    wait_us: int = 0


class DirectoryChange(Event, frozen=True, tag="listed"):
    """The truth about an endpoint has changed in the directory."""

    host: str
    state: Literal["ready", "draining", "gone"]


class StateAnnounced(Event, frozen=True, tag="told"):
    """A state of an endpoint was written to a relay."""

    relay: str
    host: str
    state: Literal["ready", "draining", "gone"]


class WatchChange(Event, frozen=True, tag="watch"):
    """A relay's watch on the directory begins or ends."""

    relay: str
    open: bool


class ReachabilityChange(Event, frozen=True, tag="reach"):
    """Whether anything passes between a relay and the platform; a cut network is silent."""

    relay: str
    open: bool


class LinkDelay(Event, frozen=True, tag="link"):
    """How much later (us) than written bytes arrive from now on between relays and others; -1: not at all,
    until the next such event.
    """

    between: Literal["hosts", "clients", "directory"]
    late_us: int


class DatagramPath(Event, frozen=True, tag="way"):
    """Whether datagrams from one relay to another pass as they should."""

    one: str
    other: str
    clear: bool


class FleetView(Event, frozen=True, tag="held"):
    """The view that a relay was seen to hold: by member its life and state, and the group of its parts."""

    relay: str
    digest: str
    group: int
    members: dict[str, tuple[int, str]]


class MalformedClient(Event, frozen=True, tag="rude"):
    """How a client that sends nonsense fared: an error, a close, or neither in time."""

    relay: str
    what: str
    end: Literal["error", "close", "taken", "none"]


class Annotation(Event, frozen=True, tag="mark"):
    """Something for the reader: an outage, a fault, a fail point."""

    what: str
    detail: str = ""


class RecordEnd(Event, frozen=True, tag="end"):
    """The last line: how many events came before it, the rig's own CPU time in seconds, and by how much (us)
    its event loop was late at worst.
    """

    events: int
    rig_cpu_s: float = 0.0
    late_us: int = 0


AnyEvent = (
    RecordHead | HostAdded | HostStateChange | ProcessEvent | HostDisabled | MessageSubmitted | ClientOutcome
    | ConnectStarted | Call | MessageProcessed | CallAnswered | CallBroken | ConnectionClosed | Notice
    | DirectoryChange | StateAnnounced | WatchChange | ReachabilityChange | LinkDelay | DatagramPath
    | FleetView | MalformedClient | Annotation | RecordEnd
)  # fmt: skip
ENCODER = msgspec.json.Encoder()
DECODER = msgspec.json.Decoder(AnyEvent)


class Record(msgspec.Struct, frozen=True):
    """A record as it was read: its head, its events in order, and whether it is whole."""

    head: RecordHead
    events: list[AnyEvent]
    whole: bool


def now_us(start_us: int = 0) -> int:
    """Microseconds of the machine's monotonic clock, which all its processes share."""
    return time.monotonic_ns() // 1000 - start_us


class RecordWriter:
    """Appends events; what it has written outlasts the process."""

    def __init__(
        self, path: Path, head: Callable[[int], RecordHead], clock: Callable[[], int] = now_us
    ) -> None:
        self._clock, self.start_us = clock, clock()
        self._file: IO[bytes] = path.open("wb")
        self.count = 0
        self.listeners: list[Callable[[AnyEvent], None]] = []  # who else wants to see each event
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
        """Take an event in; what connections still do once the record is closed is no part of the run."""
        if self._file.closed:
            return
        self.count += 1
        self._put(event)

    def close(self, cpu_s: float = 0.0, late_us: int = 0, others: Iterable[AnyEvent] = ()) -> None:
        """Write the last line, behind what other processes have seen."""
        for event in others:
            self.add(event)
        self._put(RecordEnd(self.now, self.count, cpu_s, late_us))
        self._file.close()


def save(record: Record, path: Path) -> None:
    """Write a record that is held; the times stay as they are."""
    path.write_bytes(b"".join(ENCODER.encode(event) + b"\n" for event in (record.head, *record.events)))


def read_lines(path: Path) -> Iterator[tuple[int, AnyEvent | None]]:
    """Each line's number and event; None for a last line without its end, which a killed writer leaves."""
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
    """A record in order of time; ``RecordError`` where a line is none or the first is no head.

    Events are put in order by their times; of those at the same time, in order of lines.
    """
    head, events, end, torn = None, list[AnyEvent](), None, False
    for number, event in read_lines(path):
        if event is None:
            torn = True
        elif head is None:
            if not isinstance(event, RecordHead):
                raise RecordError(f"{path}:{number}: the first line is no head")
            if event.version != VERSION:
                raise RecordError(f"{path}:{number}: version {event.version}, not {VERSION}")
            head = event
        elif isinstance(event, RecordHead) or end is not None:
            raise RecordError(f"{path}:{number}: a second head, or something behind the end")
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
    """Events of several processes in the order of the one clock; each part has to be in order itself."""
    return list(heapq.merge(*parts, key=lambda event: event.at))
