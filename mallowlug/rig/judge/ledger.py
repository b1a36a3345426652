"""The ledger: state of messages, attempts, endpoints and relays, rebuilt from a record for all rules.

Its only input is the record, and it shares no code with the relay.
"""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass, field
from itertools import pairwise

from mallowlug.rig.judge import record as rec

# How long after a full disk has free space again the relay may still have to write what the disk refused.
DISK_CATCH_UP_US = 250_000
EXIT_DETECTION_US = 250_000  # max delay until the rig notices that a process has exited by itself
# Results that prove that an attempt was not processed.
NOT_PROCESSED = frozenset(("refused", "over", "unsent"))


@dataclass(slots=True)
class Attempt:
    """One message in one call."""

    call: int
    host: str
    zone: str
    began_us: int
    arrived_us: int
    result: str = ""  # the message's result in the answer; empty without one
    ended_us: int = -1  # when it was answered or its connection ended; -1 while it is open
    answered: bool = False

    def never_ran(self) -> bool:
        """Return whether an answer has proved that the message was not processed."""
        return self.result in NOT_PROCESSED


@dataclass(slots=True)
class Message:
    """One submitted message, its attempts and its results. Times are microseconds of the run; -1 is never.

    ``exempt``: the relay lost its state or could not write it, so no final result is required.
    """

    submitted: rec.MessageSubmitted
    cls: rec.ClassSpec | None
    number: int  # position in the order of submission
    accepted_us: int = -1
    outcome: rec.ClientOutcome | None = None
    delivered_us: int = -1
    notices: list[rec.Notice] = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)
    exempt: bool = False

    @property
    def end_us(self) -> int:
        """Time of the earliest delivery or notice; -1 without either."""
        ends = [self.delivered_us] * (self.delivered_us >= 0) + [notice.at for notice in self.notices]
        return min(ends, default=-1)


class Ledger:
    """State that the rules share, updated with each event before the rules see it."""

    def __init__(self, head: rec.RecordHead) -> None:
        self.head, self.figures = head, head.figures
        self.classes = {cls.name: cls for cls in head.classes}
        self.kinds = {kind.name: kind for kind in head.kinds}
        self.hosts: dict[str, rec.HostAdded] = {}
        self.messages: dict[str, Message] = {}
        self.calls: dict[int, list[tuple[Message, Attempt]]] = {}
        self.call_of: dict[int, rec.Call] = {}
        # By relay: exits of a process that could not write its last records, as its disk was full.
        self.unrecorded_exits: dict[str, list[int]] = defaultdict(list)
        # The windows below are [start, end] by relay; the end is -1 while a window is open.
        self.unavailable: dict[str, list[list[int]]] = defaultdict(list)  # from the exit to ready again
        self.process_ends: dict[str, list[int]] = defaultdict(list)  # by relay: times of termination and exit
        self.cut_off: dict[str, list[list[int]]] = defaultdict(list)  # not reachable for the platform
        self.disk_full: dict[str, tuple[int, float]] = {}  # by relay: the last window with a full disk
        self.unresponsive: dict[str, list[list[int]]] = defaultdict(list)  # paused or cut off
        self.paused: dict[str, list[list[int]]] = defaultdict(list)  # the unresponsive ones while paused
        # By link: (start, delay) in microseconds; a delay of -1 means that nothing passes.
        self.links: dict[str, list[tuple[int, int]]] = defaultdict(list)
        self.end_us = 0

    def route_of(self, host: str) -> str:
        """Return the scope of Retry-After waits and cold returns: the endpoint or its whole destination."""
        added = self.hosts[host]
        kind = self.kinds.get(added.kind)
        return host if kind is None or kind.apart else f"dest {added.dest}"

    def relay_of(self, call: rec.Call) -> str:
        """Return the relay that made a call: the one to which its messages were submitted."""
        relays = [self.messages[ref].submitted.relay for ref in call.ids if ref in self.messages]
        return relays[0] if relays else ""

    def restarted_between(self, relay: str, start_us: int, end_us: int) -> bool:
        """Return whether a process of the relay ended between two times."""
        return any(start_us <= seen <= end_us for seen in self.process_ends[relay])

    def may_lack_records(self, relay: str, at_us: int) -> bool:
        """Return whether records that the full disk refused may still be missing from it.

        That is so while it is full and for ``DISK_CATCH_UP_US`` after that; where the relay was paused in
        the meantime and wrote nothing, the period counts from the end of the pause.
        """
        if relay not in self.disk_full:
            return False
        since_us, until_us = self.disk_full[relay]
        last_us = until_us
        for start, end in self.paused[relay]:
            if start <= until_us and (since_us <= end or end < 0):
                last_us = max(last_us, math.inf if end < 0 else end)
        return at_us < last_us + DISK_CATCH_UP_US

    def final_result_lost(self, message: Message) -> bool:
        """Return whether a process may have exited without a record of the message's final result."""
        exits = self.unrecorded_exits[message.submitted.relay]
        return any(self.decided_us(message) <= end_us <= message.end_us for end_us in exits)

    def decided_us(self, message: Message) -> int:
        """Return the earliest time at which the final result may have been decided; -1 without a result.

        A notice after a window in which none could pass may have been decided at the window's start. A notice
        after the deadline, which the protocol allows, only reports what the deadline decided.
        """
        at_us, relay = message.end_us, message.submitted.relay
        if at_us != message.delivered_us:
            if at_us >= 0:
                arrived_us = self.readable_us(relay, self.arrival_us("clients", message.submitted.at))
                at_us = min(at_us, max(arrived_us + message.submitted.left_us, message.accepted_us))
            at_us = self.earliest_write_us("directory", at_us) if at_us >= 0 else at_us
            # Latest window first: if one follows another closely, the result may precede both.
            for start, end in sorted(self.cut_off[relay] + self.unresponsive[relay], reverse=True):
                if start <= at_us and (end < 0 or at_us <= end + self.figures.ready_grace_us):
                    at_us = start
        return at_us

    def arrival_us(self, between: str, at_us: int) -> int:
        """Return when bytes that were written to a link at ``at_us`` have arrived."""
        late_us = 0
        for since_us, now_late_us in self.links[between]:
            if since_us <= at_us:
                late_us = now_late_us
            elif late_us < 0:
                return since_us + max(0, now_late_us)
        return at_us + late_us if late_us >= 0 else self.end_us

    def earliest_write_us(self, between: str, arrived_us: int) -> int:
        """Return the earliest time at which bytes that arrived over a link at ``arrived_us`` were written."""
        earliest, slack = arrived_us, self.figures.slack_us
        for (since_us, late_us), (end_us, _) in pairwise((*self.links[between], (self.end_us + 1, 0))):
            if late_us and since_us <= arrived_us <= end_us + max(late_us, 0) + slack:
                earliest = min(earliest, since_us if late_us < 0 else arrived_us - late_us)
        return earliest

    def earliest_send_us(self, call: rec.Call) -> int:
        """Return the earliest time at which a call's first byte was written, given link delays and pauses."""
        earliest, slack = self.earliest_write_us("hosts", call.began), self.figures.slack_us
        for start, end in self.unresponsive[self.relay_of(call)]:
            if start <= call.began and (end < 0 or call.began <= end + slack):
                earliest = min(earliest, start)
        return earliest

    def earliest_close_us(self, call: rec.Call, arrived_us: int) -> int:
        """Return the earliest time at which a relay closed the connection of a call that it had written.

        ``arrived_us``: when the connection's end arrived. Nothing passes while the relay is cut off; a paused
        one closes nothing. Behind a call whose bytes came slowly, the end came as slowly.
        """
        earliest, relay = self.earliest_write_us("hosts", arrived_us), self.relay_of(call)
        slack = self.figures.slack_us
        for window in self.unresponsive[relay]:
            start, end = window
            cut_off = window not in self.paused[relay]
            if cut_off and start <= arrived_us and (end < 0 or arrived_us <= end + slack):
                earliest = min(earliest, start)
        if call.at - call.began > slack and arrived_us <= call.at + slack:
            earliest = min(earliest, call.began)
        return earliest

    def readable_us(self, relay: str, at_us: int) -> int:
        """Return when a relay can read bytes that arrive at ``at_us``: not while it is unresponsive."""
        for start, end in self.unresponsive[relay]:
            if start - self.figures.slack_us <= at_us and (end < 0 or at_us < end):
                at_us = end if end >= 0 else self.end_us
        return at_us

    def update_readable_us(self, relay: str, at_us: int) -> int:
        """Return when a relay can read a directory update that was written at ``at_us``.

        An update to an unresponsive relay is sent again afterwards, and the relay may then be cut off from
        the directory.
        """
        readable_us = self.readable_us(relay, at_us)
        while readable_us > at_us:
            at_us = readable_us
            for start, end in self.cut_off[relay]:
                if start <= at_us and (end < 0 or at_us < end):
                    at_us = end if end >= 0 else self.end_us
            readable_us = self.readable_us(relay, at_us)
        return readable_us

    def apply(self, event: rec.AnyEvent) -> None:
        """Update the state with an event; events must come in order of time."""
        self.end_us = max(self.end_us, event.at)
        match event:
            case rec.HostAdded():
                self.hosts[event.host] = event
            case rec.MessageSubmitted():
                # A request sent again on a new connection is the same message.
                if event.id not in self.messages:
                    cls = self.classes.get(event.cls)
                    self.messages[event.id] = Message(event, cls, len(self.messages))
            case rec.ClientOutcome() if event.id in self.messages:
                message = self.messages[event.id]
                message.outcome = event
                if event.what == "taken" and message.accepted_us < 0:
                    message.accepted_us = event.at
            case rec.Call():
                self._call(event)
            case rec.CallAnswered():
                for message, attempt in self.calls.get(event.call, []):
                    attempt.result = event.ends.get(message.submitted.id, "")
                    attempt.ended_us, attempt.answered = event.at, True
                    if attempt.result == "delivered" and message.delivered_us < 0:
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
        windows = self.unavailable[event.relay]
        if event.what == "full":
            self.disk_full[event.relay] = event.at, math.inf
        elif event.what == "room" and event.relay in self.disk_full:
            self.disk_full[event.relay] = self.disk_full[event.relay][0], event.at
        elif event.what == "exit" and self.may_lack_records(event.relay, event.at):
            # Results since then could not be written, so the process does not know them after a restart.
            since_us = self.disk_full[event.relay][0]
            self.unrecorded_exits[event.relay].append(event.at)
            for message in self.messages.values():
                message.exempt |= message.submitted.relay == event.relay and message.end_us >= since_us
        if event.what == "deaf":
            window = [event.at, -1]
            self.unresponsive[event.relay].append(window)
            if event.detail == "stands still":
                self.paused[event.relay].append(window)
        elif event.what == "hears":
            next(window for window in self.unresponsive[event.relay] if window[1] < 0)[1] = event.at
        if event.what in ("term", "kill", "exit"):
            self.process_ends[event.relay].append(event.at)
            if not windows or windows[-1][1] >= 0:  # an exit that the rig did not order is noticed later
                windows.append([event.at - EXIT_DETECTION_US * (event.what == "exit"), -1])
        elif event.what == "ready" and windows and windows[-1][1] < 0:
            windows[-1][1] = event.at
        elif event.what == "wiped":
            for message in self.messages.values():
                message.exempt |= message.submitted.relay == event.relay
