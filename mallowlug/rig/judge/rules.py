"""The judge: a pure function from a record to the breaches of the rules.

Its only input is the record, and it shares no code with the relay. Each rule is a class that processes the
events once and keeps its own state; ``judge`` runs them all. The rules are those of BRIEF and PROTOCOL ("The
rules on sockets"); where the wording is open, the rule's docstring says how it is interpreted here.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import Literal

from mallowlug.rig.judge import record as rec
from mallowlug.rig.judge.duplicates import DuplicateRule
from mallowlug.rig.judge.ledger import Ledger, Message
from mallowlug.rig.judge.overlap import OverlapRule
from mallowlug.rig.judge.returns import ColdReturnRule
from mallowlug.rig.judge.rule import Breach, Rule
from mallowlug.rig.judge.untried import UntriedRule

# Six rules, one acceptance term and one term of the protocol.
RULES = ("lost", "twice", "drains", "returns", "order", "waits", "untried", "overlap")
MAX_RIG_DELAY_US = 150_000  # max delay of the rig's event loop at which its timestamps are still trusted


@dataclass(frozen=True, slots=True)
class Verdict:
    """The result for a record. ``checked`` counts by rule the cases in which it could have been broken."""

    state: Literal["kept", "broken", "unknown"]
    breaches: tuple[Breach, ...]
    checked: dict[str, int]
    reasons: tuple[str, ...] = ()  # why the state is unknown


class FinalResultRule(Rule):
    """Each accepted message gets one final result, by delivery or notice, at most 300 ms after its deadline.

    No notice is overdue from the exit of a process until 1.5 s after the relay is ready again, nor while
    nothing passes between relay and platform or the relay is paused, until 1.5 s after that ends. Messages of
    a relay whose folder is wiped are exempt, and so are those that got their result while the disk was full,
    if the process then exits. Two notices with different results are two final results; a repeated notice is
    not. A connection that ends with a complete request unanswered is a lost message, too, unless that was the
    first request on the connection or the process was being stopped.
    """

    name = "lost"

    def finish(self) -> None:
        for message in self.ledger.messages.values():
            if message.accepted_us >= 0 and not message.exempt:
                self.checked += 1
                self._check_accepted(message)
            elif message.outcome is not None and message.outcome.what == "cut" and not message.outcome.fresh:
                self.checked += 1
                self._check_cut_connection(message, message.outcome)

    def _check_accepted(self, message: Message) -> None:
        submitted, limit = message.submitted, self._latest_end_us(message)
        results = {notice.result for notice in message.notices}
        if len(results) > 1 and not self.ledger.final_result_lost(message):
            last = message.notices[-1].at
            self.report(
                last, submitted.relay, [submitted.id], f"two final results: {' and '.join(sorted(results))}"
            )
        if limit < 0 or (message.end_us < 0 and limit > self.ledger.end_us):
            if message.end_us < 0:
                self.undecided.append(
                    f"lost: {submitted.id} has no final result, and its deadline had not passed"
                )
            return
        if message.end_us < 0:
            self.report(
                limit,
                submitted.relay,
                [submitted.id],
                "accepted, but neither delivered nor reported by a notice",
            )
        elif message.end_us > limit:
            late_ms = (message.end_us - limit) / 1000
            self.report(
                message.end_us,
                submitted.relay,
                [submitted.id],
                f"its final result came {late_ms:.0f} ms too late",
            )

    def _latest_end_us(self, message: Message) -> int:
        """Return when the final result is overdue (us); -1 if the relay never became available again."""
        figures = self.ledger.figures
        relay, submitted = message.submitted.relay, message.submitted
        readable_us = self.ledger.readable_us(relay, self.ledger.arrival_us("clients", submitted.at))
        limit = readable_us + submitted.left_us + figures.answer_grace_us + figures.slack_us
        for end, ready in sorted(
            self.ledger.unavailable[relay] + self.ledger.cut_off[relay] + self.ledger.unresponsive[relay]
        ):
            until = ready + figures.ready_grace_us if ready >= 0 else -1
            if end <= limit and (until < 0 or limit < until):
                limit = until
                if limit < 0:
                    break
        return limit

    def _check_cut_connection(self, message: Message, outcome: rec.ClientOutcome) -> None:
        submitted, grace = message.submitted, self.ledger.figures.ready_grace_us
        for end, ready in self.ledger.unavailable[submitted.relay]:
            if end <= outcome.at and (ready < 0 or submitted.at <= ready + grace):
                return
        self.report(outcome.at, submitted.relay, [submitted.id], "its connection ended without an answer")


class DrainRule(Rule):
    """No new call to an endpoint after the grace that follows the notification that it drains or is gone.

    A call counts from its first byte. The relay counts as notified when the change was written to it, or when
    it has had no watch for the time within which it must ask; not if its watch ended while it was
    unresponsive, before it could read the change. For a host that operators disabled the time runs from the
    relay's confirmation until they enable it, whatever the directory lists and however often the relay
    restarts.
    """

    name = "drains"

    def __init__(self, ledger: Ledger) -> None:
        super().__init__(ledger)
        # By relay and endpoint: since when it is announced as not ready, or disabled by an operator.
        self._announced: dict[tuple[str, str], int] = {}
        self._disabled: dict[tuple[str, str], int] = {}
        self._not_ready: dict[str, int] = {}  # by endpoint: since when the directory lists it as not ready
        self._unwatched_since: dict[str, int] = {}  # by relay: since when it has no watch

    def observe(self, event: rec.AnyEvent) -> None:
        if isinstance(event, rec.StateAnnounced):
            if event.state == "ready":
                self._announced.pop((event.relay, event.host), None)
            else:
                self.checked += 1
                self._announced.setdefault((event.relay, event.host), event.at)
        elif isinstance(event, rec.HostDisabled):
            if event.out:
                self.checked += 1
                self._disabled.setdefault((event.relay, event.host), event.at)
            else:
                self._disabled.pop((event.relay, event.host), None)
        elif isinstance(event, rec.ProcessEvent) and event.what == "wiped":
            # The record of disabled hosts is lost with the folder.
            self._disabled = {key: at_us for key, at_us in self._disabled.items() if key[0] != event.relay}
        elif isinstance(event, rec.DirectoryChange):
            if event.state == "ready":
                self._not_ready.pop(event.host, None)
            else:
                self._not_ready.setdefault(event.host, event.at)
        elif isinstance(event, rec.WatchChange):
            if event.open:
                self._unwatched_since.pop(event.relay, None)
            else:
                self._unwatched_since.setdefault(event.relay, event.at)
                self._discard_unread(event.relay, event.at)
        elif isinstance(event, rec.Call):
            self._check_call(event)

    def _discard_unread(self, relay: str, at_us: int) -> None:
        """Forget changes that a watch lost as it ended: those written while the relay could not read."""
        for key, notified_us in list(self._announced.items()):
            if key[0] == relay and notified_us < self.ledger.update_readable_us(relay, notified_us) >= at_us:
                del self._announced[key]

    def _check_call(self, call: rec.Call) -> None:
        figures, relay = self.ledger.figures, self.ledger.relay_of(call)
        notified = [
            table[relay, call.host]
            for table in (self._announced, self._disabled)
            if (relay, call.host) in table
        ]
        if call.host in self._not_ready and relay in self._unwatched_since:
            notified.append(
                max(self._not_ready[call.host], self._unwatched_since[relay]) + figures.ask_within_us
            )
        if not notified:
            return
        notified = [self.ledger.update_readable_us(relay, at) for at in notified]
        late_us = (
            self.ledger.earliest_send_us(call) - min(notified) - figures.drain_grace_us - figures.slack_us
        )
        if late_us > 0:
            since_ms = (call.began - min(notified)) / 1000
            self.report(call.began, relay, call.ids, f"sent to {call.host}, notified {since_ms:.0f} ms ago")


class OrderRule(Rule):
    """In an ordered class the messages of one key are sent one at a time, in the order of acceptance.

    None is sent while an earlier one is unfinished or has an attempt with an open outcome; after a time-out,
    a reset or a cancel the key pauses for the stated time. A refusal or failure may come out of order. For
    two messages submitted at the same time on two connections the record does not show which the relay
    accepted first: either may be sent first, and the other one then waits. A final result counts from when it
    may have been decided, by the record's clock: its notice may come later, if it could not pass for a while
    or the deadline had passed.
    """

    name = "order"

    def __init__(self, ledger: Ledger) -> None:
        super().__init__(ledger)
        self._keys: dict[tuple[str, str, str], list[Message]] = defaultdict(list)
        self._calls: list[tuple[rec.Call, Message]] = []

    def observe(self, event: rec.AnyEvent) -> None:
        if isinstance(event, rec.ClientOutcome) and event.what == "taken":
            message = self.ledger.messages.get(event.id)
            if message and message.cls and message.cls.in_order and message.submitted.order:
                queue = self._keys[message.submitted.relay, message.cls.name, message.submitted.order]
                if message not in queue:
                    queue.append(message)
        elif isinstance(event, rec.Call):
            for message, _ in self.ledger.calls[event.call]:
                if message.cls and message.cls.in_order and message.submitted.order:
                    self._calls.append((event, message))

    def finish(self) -> None:
        for (
            call,
            message,
        ) in self._calls:  # a notice and the next message's call may be recorded in either order
            self._sent(call, message)

    def _sent(self, call: rec.Call, message: Message) -> None:
        figures, submitted = self.ledger.figures, message.submitted
        # Delayed on the link: the order of arrival proves nothing.
        if self.ledger.earliest_send_us(call) < call.began:
            return
        for other in self._keys[submitted.relay, submitted.cls, submitted.order]:
            first = 0 <= other.accepted_us <= submitted.at
            later = 0 <= message.accepted_us <= other.submitted.at
            attempts = [attempt for attempt in other.attempts if attempt.arrived_us <= call.at]
            if other is message or later or other.exempt or not (first or attempts):
                continue
            self.checked += 1
            if not 0 <= self.ledger.decided_us(other) <= call.began + figures.slack_us:
                detail = f"sent while {other.submitted.id} before it was unfinished"
                self.report(call.began, submitted.relay, [submitted.id, other.submitted.id], detail)
                return
            for attempt in attempts:
                pause_us = 0 if attempt.answered else figures.order_pause_us
                if attempt.ended_us < 0 or call.began < attempt.ended_us + pause_us - figures.slack_us:
                    detail = f"sent while an attempt of {other.submitted.id} was open"
                    self.report(call.began, submitted.relay, [submitted.id, other.submitted.id], detail)
                    return


class RetryAfterRule(Rule):
    """During a Retry-After wait a relay sends no message to the route that requested it.

    A wait runs from when the answer was written; calls that arrive within 100 ms of that are allowed. A
    restart ends the wait, also a restart between the call and its answer, which the relay then never read.
    The relay does not read the answer to a call either if all its messages had their final result before: the
    answer came late, on an abandoned connection. The same holds if the relay may have closed the connection
    before the answer was written, as its bytes were delayed on the link.
    """

    name = "waits"

    def __init__(self, ledger: Ledger) -> None:
        super().__init__(ledger)
        self._waits: dict[tuple[str, str], list[tuple[int, int, int, int]]] = defaultdict(list)

    def observe(self, event: rec.AnyEvent) -> None:
        if isinstance(event, rec.CallAnswered) and event.wait_us > 0 and not event.spoilt:
            call = self.ledger.call_of.get(event.call)
            if (
                call is not None
                and call.host in self.ledger.hosts
                and not self._was_abandoned(call, event.at)
            ):
                route = self.ledger.route_of(call.host)
                sent_us = self.ledger.earliest_send_us(call) - self.ledger.figures.slack_us
                wait = event.at, event.at + event.wait_us, sent_us, event.call
                self._waits[self.ledger.relay_of(call), route].append(wait)
        elif isinstance(event, rec.Call) and event.host in self.ledger.hosts:
            self._check_call(event)
        elif (
            isinstance(event, rec.ConnectionClosed)
            and (call := self.ledger.call_of.get(event.call)) is not None
        ):
            closed_us = self.ledger.earliest_close_us(call, event.at)
            key = self.ledger.relay_of(call), self.ledger.route_of(call.host)
            self._waits[key] = [w for w in self._waits[key] if w[3] != event.call or w[0] < closed_us]

    def _was_abandoned(self, call: rec.Call, at_us: int) -> bool:
        """Return whether the relay must have abandoned a call before its answer was written."""
        ends = [m.end_us for ref in call.ids if (m := self.ledger.messages.get(ref)) is not None]
        return bool(ends) and all(0 <= end_us < at_us - self.ledger.figures.slack_us for end_us in ends)

    def _check_call(self, call: rec.Call) -> None:
        relay, route = self.ledger.relay_of(call), self.ledger.route_of(call.host)
        for answered_us, until_us, sent_us, _ in self._waits[relay, route]:
            self.checked += 1
            readable_us = self.ledger.readable_us(relay, self.ledger.arrival_us("hosts", answered_us))
            sent_after_reading = (
                self.ledger.earliest_send_us(call) > readable_us + self.ledger.figures.wait_grace_us
            )
            if (
                sent_after_reading
                and call.at < until_us
                and not self.ledger.restarted_between(relay, sent_us, call.at)
            ):
                left_ms = (until_us - call.at) / 1000
                self.report(call.at, relay, call.ids, f"sent to {route}, {left_ms:.0f} ms of its wait left")
                return
        self._waits[relay, route] = [w for w in self._waits[relay, route] if w[1] > call.at]


def judge(record: rec.Record) -> Verdict:
    """Return the breaches in order of time; ``kept`` only for a whole record with every message judged."""
    ledger = Ledger(record.head)
    rules: list[Rule] = [
        rule(ledger)
        for rule in (
            FinalResultRule,
            DuplicateRule,
            DrainRule,
            ColdReturnRule,
            OrderRule,
            RetryAfterRule,
            UntriedRule,
            OverlapRule,
        )
    ]
    for event in record.events:
        ledger.apply(event)
        for rule in rules:
            rule.observe(event)
    for rule in rules:
        rule.finish()
    breaches = sorted((b for rule in rules for b in rule.breaches), key=lambda breach: breach.at_us)
    reasons = [reason for rule in rules for reason in rule.undecided]
    last = record.events[-1] if record.events else None
    if isinstance(last, rec.RecordEnd) and last.late_us > MAX_RIG_DELAY_US:
        # Late events have late timestamps, so no breach that depends on time can be attributed to the relay.
        reasons.insert(0, f"the rig ran late, by {last.late_us / 1000:.0f} ms at worst")
        breaches = [breach for breach in breaches if breach.rule == "twice"]
    if not record.whole:
        reasons.insert(0, "the record is truncated")
    state: Literal["kept", "broken", "unknown"] = "broken" if breaches else "unknown" if reasons else "kept"
    return Verdict(state, tuple(breaches), {rule.name: rule.checked for rule in rules}, tuple(reasons))
