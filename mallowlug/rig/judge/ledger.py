"""What a record says of each message, attempt, endpoint and relay: the books that every rule reads.

Reads nothing but the record and shares no code with the relay.
"""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass, field
from itertools import pairwise

from mallowlug.rig.judge import record as rec

OWED_US = 250_000  # how long after a disk has room again a relay may owe it what it did not take
SEEN_US = 250_000  # how late the rig may see that a process has ended by itself
NEVER = frozenset(("refused", "over", "unsent"))  # ends that prove that an attempt did not run


@dataclass(slots=True)
class Attempt:
    """One message's part in one call."""

    call: int
    host: str
    zone: str
    began_us: int
    came_us: int
    end: str = ""  # what the answer proved
    ended_us: int = -1  # answered, or its connection gone
    answered: bool = False

    def never_ran(self) -> bool:
        """Whether it is proved, by now, that it had no effect."""
        return self.end in NEVER


@dataclass(slots=True)
class Message:
    """One message as it was handed in, and everything that became of it."""

    ask: rec.MessageSubmitted
    cls: rec.ClassSpec | None
    number: int
    taken_us: int = -1
    said: rec.ClientOutcome | None = None
    delivered_us: int = -1
    notices: list[rec.Notice] = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)
    wiped: bool = False

    @property
    def end_us(self) -> int:
        """When it ended for its client; -1 where it has not."""
        ends = [self.delivered_us] * (self.delivered_us >= 0) + [notice.at for notice in self.notices]
        return min(ends, default=-1)


class Books:
    """What every rule needs to know, kept in step with the events."""

    def __init__(self, head: rec.RecordHead) -> None:
        self.head, self.figures = head, head.figures
        self.classes = {cls.name: cls for cls in head.classes}
        self.kinds = {kind.name: kind for kind in head.kinds}
        self.hosts: dict[str, rec.HostAdded] = {}
        self.messages: dict[str, Message] = {}
        self.calls: dict[int, list[tuple[Message, Attempt]]] = {}
        self.call_of: dict[int, rec.Call] = {}
        # By relay: when lives ended whose disk was full.
        self.unkept: dict[str, list[int]] = defaultdict(list)
        self.away: dict[str, list[list[int]]] = defaultdict(list)  # by relay: from its end to ready again
        self.ends: dict[str, list[int]] = defaultdict(list)  # by relay: when an end of it was seen
        self.cut_off: dict[str, list[list[int]]] = defaultdict(list)  # by relay: out of the platform's reach
        self.full: dict[str, tuple[int, float]] = {}  # by relay: from when to when its disk took nothing last
        self.deaf: dict[str, list[list[int]]] = defaultdict(list)  # by relay: stands still, or cut off
        self.still: dict[str, list[list[int]]] = defaultdict(list)  # by relay: those in which it stands still
        # By link: since when (us) how late (us; -1: nothing passes).
        self.links: dict[str, list[tuple[int, int]]] = defaultdict(list)
        self.end_us = 0

    def route(self, host: str) -> str:
        """What shares waits and cold returns with an endpoint."""
        known = self.hosts[host]
        kind = self.kinds.get(known.kind)
        return host if kind is None or kind.apart else f"dest {known.dest}"

    def relay_of(self, call: rec.Call) -> str:
        """Who made a call: the relay that its messages were handed to."""
        asked = [self.messages[ref].ask.relay for ref in call.ids if ref in self.messages]
        return asked[0] if asked else ""

    def restarted(self, relay: str, start_us: int, end_us: int) -> bool:
        """Whether a life of the relay ended between two times."""
        return any(start_us <= seen <= end_us for seen in self.ends[relay])

    def owing(self, relay: str, at_us: int) -> bool:
        """Whether what its disk did not take may still be missing there: it is full, or was so just now, or
        until a moment ago the relay stood still and wrote nothing.
        """
        if relay not in self.full:
            return False
        since_us, until_us = self.full[relay]
        last_us = until_us
        for start, end in self.still[relay]:
            if start <= until_us and (since_us <= end or end < 0):
                last_us = max(last_us, math.inf if end < 0 else end)
        return at_us < last_us + OWED_US

    def forgotten(self, message: Message) -> bool:
        """Whether its end may be one that a life could not write down, and that came late."""
        lives = self.unkept[message.ask.relay]
        return any(self.decided(message) <= end_us <= message.end_us for end_us in lives)

    def decided(self, message: Message) -> int:
        """When its end may have been decided: -1 for no end.

        Before a time in which no notice could pass; and once its time is up nothing else can be decided, so a
        notice that comes later, as it may by the protocol, only tells it.
        """
        at_us, relay = message.end_us, message.ask.relay
        if at_us != message.delivered_us:
            if at_us >= 0:
                came_us = self.heard(relay, self.arrives("clients", message.ask.at))
                at_us = min(at_us, max(came_us + message.ask.left_us, message.taken_us))
            at_us = self.written("directory", at_us) if at_us >= 0 else at_us
            # The last first: where one follows soon on another, it may have been decided before both.
            for start, end in sorted(self.cut_off[relay] + self.deaf[relay], reverse=True):
                if start <= at_us and (end < 0 or at_us <= end + self.figures.ready_grace_us):
                    at_us = start
        return at_us

    def arrives(self, between: str, at_us: int) -> int:
        """When what was written to a link then has come."""
        late_us = 0
        for since_us, now_late_us in self.links[between]:
            if since_us <= at_us:
                late_us = now_late_us
            elif late_us < 0:
                return since_us + max(0, now_late_us)
        return at_us + late_us if late_us >= 0 else self.end_us

    def written(self, between: str, came_us: int) -> int:
        """When what has come over a link then may have been written at the earliest."""
        earliest, slack = came_us, self.figures.slack_us
        for (since_us, late_us), (end_us, _) in pairwise((*self.links[between], (self.end_us + 1, 0))):
            if late_us and since_us <= came_us <= end_us + max(late_us, 0) + slack:
                earliest = min(earliest, since_us if late_us < 0 else came_us - late_us)
        return earliest

    def sent(self, call: rec.Call) -> int:
        """When the first byte of a call may have been written: what was held up on its way comes late."""
        earliest, slack = self.written("hosts", call.began), self.figures.slack_us
        for start, end in self.deaf[self.relay_of(call)]:
            if start <= call.began and (end < 0 or call.began <= end + slack):
                earliest = min(earliest, start)
        return earliest

    def heard(self, relay: str, at_us: int) -> int:
        """When a relay can have heard what was written to it then: not while it is deaf."""
        for start, end in self.deaf[relay]:
            if start - self.figures.slack_us <= at_us and (end < 0 or at_us < end):
                at_us = end if end >= 0 else self.end_us
        return at_us

    def reached(self, relay: str, at_us: int) -> int:
        """When a relay can have heard what the directory wrote to it then: what found it deaf is sent again
        behind that, and may find it cut off from the directory.
        """
        heard_us = self.heard(relay, at_us)
        while heard_us > at_us:
            at_us = heard_us
            for start, end in self.cut_off[relay]:
                if start <= at_us and (end < 0 or at_us < end):
                    at_us = end if end >= 0 else self.end_us
            heard_us = self.heard(relay, at_us)
        return heard_us

    def take(self, event: rec.AnyEvent) -> None:
        """Keep the books."""
        self.end_us = max(self.end_us, event.at)
        match event:
            case rec.HostAdded():
                self.hosts[event.host] = event
            case rec.MessageSubmitted():
                if event.id not in self.messages:  # written once more on a new connection: the same message
                    cls = self.classes.get(event.cls)
                    self.messages[event.id] = Message(event, cls, len(self.messages))
            case rec.ClientOutcome() if event.id in self.messages:
                message = self.messages[event.id]
                message.said = event
                if event.what == "taken" and message.taken_us < 0:
                    message.taken_us = event.at
            case rec.Call():
                self._call(event)
            case rec.CallAnswered():
                for message, attempt in self.calls.get(event.call, []):
                    attempt.end = event.ends.get(message.ask.id, "")
                    attempt.ended_us, attempt.answered = event.at, True
                    if attempt.end == "delivered" and message.delivered_us < 0:
                        message.delivered_us = event.at
            case rec.CallBroken():
                for _, attempt in self.calls.get(event.call, []):
                    if attempt.ended_us < 0:
                        attempt.ended_us = event.at
            case rec.Notice() if event.id in self.messages:
                self.messages[event.id].notices.append(event)
            case rec.ProcessEvent():
                self._process(event)
            case rec.LinkDelay():
                self.links[event.between].append((event.at, event.late_us))
            case rec.ReachabilityChange():
                windows = self.cut_off[event.relay]
                if not event.open and (not windows or windows[-1][1] >= 0):
                    windows.append([event.at, -1])
                elif event.open and windows and windows[-1][1] < 0:
                    windows[-1][1] = event.at

    def _call(self, event: rec.Call) -> None:
        host, parts = self.hosts.get(event.host), list[tuple[Message, Attempt]]()
        for ref in event.ids:
            if message := self.messages.get(ref):
                zone = host.zone if host else ""
                attempt = Attempt(event.call, event.host, zone, event.began, event.at)
                message.attempts.append(attempt)
                parts.append((message, attempt))
        self.calls[event.call], self.call_of[event.call] = parts, event

    def _process(self, event: rec.ProcessEvent) -> None:
        windows = self.away[event.relay]
        if event.what == "full":
            self.full[event.relay] = event.at, math.inf
        elif event.what == "room" and event.relay in self.full:
            self.full[event.relay] = self.full[event.relay][0], event.at
        elif event.what == "exit" and self.owing(event.relay, event.at):
            # What ended since could not be written down, so the next life can't know of it.
            since_us = self.full[event.relay][0]
            self.unkept[event.relay].append(event.at)
            for message in self.messages.values():
                message.wiped |= message.ask.relay == event.relay and message.end_us >= since_us
        if event.what == "deaf":
            window = [event.at, -1]
            self.deaf[event.relay].append(window)
            if event.detail == "stands still":
                self.still[event.relay].append(window)
        elif event.what == "hears":
            next(window for window in self.deaf[event.relay] if window[1] < 0)[1] = event.at
        if event.what in ("term", "kill", "exit"):
            self.ends[event.relay].append(event.at)
            if not windows or windows[-1][1] >= 0:  # an end that nobody ordered is seen some time after it
                windows.append([event.at - SEEN_US * (event.what == "exit"), -1])
        elif event.what == "ready" and windows and windows[-1][1] < 0:
            windows[-1][1] = event.at
        elif event.what == "wiped":
            for message in self.messages.values():
                message.wiped |= message.ask.relay == event.relay
