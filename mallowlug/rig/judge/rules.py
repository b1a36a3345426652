"""The judge: a pure function from a record to the breaches of the six rules.

It reads nothing but the record and shares no code with the relay. Each rule is a class of its own that walks
the events once and keeps its own books; ``judge`` runs them all. The wordings are BRIEF's and PROTOCOL's
("The rules on sockets"); where a wording leaves room, the docstring of the rule says how it is read here.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import Literal

from mallowlug.rig.judge import record as rec
from mallowlug.rig.judge.ledger import Attempt, Books, Message
from mallowlug.rig.judge.returns import Returns
from mallowlug.rig.judge.rule import Breach, Rule
from mallowlug.rig.judge.untried import Untried

RULES = ("lost", "twice", "drains", "returns", "order", "waits", "untried")  # six rules, and one term
LATE_US = 150_000  # how late the rig may run and still be believed about times


@dataclass(frozen=True, slots=True)
class Verdict:
    """What can be said of a record. ``checked`` counts, by rule, the cases in which it could have been
    broken.
    """

    state: Literal["kept", "broken", "unknown"]
    breaches: tuple[Breach, ...]
    checked: dict[str, int]
    reasons: tuple[str, ...] = ()  # why it is unknown


def refusal(event: rec.Notice | rec.ClientOutcome) -> bool:
    """Whether a client was told that a retry is harmless."""
    return event.result == "bounced" if isinstance(event, rec.Notice) else event.what == "refused"


class Lost(Rule):
    """Each message that was taken on ends once: delivered, or by a notice, 300 ms after its time at the
    latest.

    No notice is overdue from the end of a life until 1.5 s after the relay is ready again, nor while nothing
    passes between relay and platform, or while the relay stands still, until 1.5 s after it does. A wiped
    folder frees the relay of what it held, and a life that ends on a full disk of what ended on it. Two
    notices with different results are two ends; a repeated notice is not. A connection that ends with a whole
    request unanswered loses it too, unless that was the first request on it or the process was being ended.
    """

    name = "lost"

    def close(self) -> None:
        for message in self.books.messages.values():
            if message.taken_us >= 0 and not message.wiped:
                self.checked += 1
                self._taken(message)
            elif message.said is not None and message.said.what == "cut" and not message.said.fresh:
                self.checked += 1
                self._cut(message, message.said)

    def _taken(self, message: Message) -> None:
        ask, limit = message.ask, self._limit(message)
        results = {notice.result for notice in message.notices}
        if len(results) > 1 and not self.books.forgotten(message):
            last = message.notices[-1].at
            self.broken(last, ask.relay, [ask.id], f"two ends: {' and '.join(sorted(results))}")
        if limit < 0 or (message.end_us < 0 and limit > self.books.end_us):
            if message.end_us < 0:
                self.undecided.append(f"lost: {ask.id} has no end, and its time was not up")
            return
        if message.end_us < 0:
            self.broken(limit, ask.relay, [ask.id], "taken on, and neither delivered nor ended by a notice")
        elif message.end_us > limit:
            late_ms = (message.end_us - limit) / 1000
            self.broken(message.end_us, ask.relay, [ask.id], f"its end came {late_ms:.0f} ms too late")

    def _limit(self, message: Message) -> int:
        """When its end is overdue; -1 where the relay never came back."""
        figures = self.books.figures
        relay, ask = message.ask.relay, message.ask
        came = self.books.heard(relay, self.books.arrives("clients", ask.at))
        limit = came + ask.left_us + figures.answer_grace_us + figures.slack_us
        for end, ready in sorted(self.books.away[relay] + self.books.cut_off[relay] + self.books.deaf[relay]):
            until = ready + figures.ready_grace_us if ready >= 0 else -1
            if end <= limit and (until < 0 or limit < until):
                limit = until
                if limit < 0:
                    break
        return limit

    def _cut(self, message: Message, said: rec.ClientOutcome) -> None:
        ask, grace = message.ask, self.books.figures.ready_grace_us
        for end, ready in self.books.away[ask.relay]:
            if end <= said.at and (ready < 0 or ask.at <= ready + grace):
                return
        self.broken(said.at, ask.relay, [ask.id], "its connection ended without an answer")


class Twice(Rule):
    """No effect twice: a new try only when the class allows one, a refusal only when a retry is harmless.

    An attempt may have run unless an answer proved before the next one's first byte that it did not. A keyed
    message may go again within its window from the first attempt that may have run, to the same zone where
    its key counts by zone. What the endpoints saw themselves counts too: two effects of one id. Where a site
    allows no second copies, an attempt has to be off the wire before the next one: its connection's end may
    come as much behind the next one's first byte as the rules' slack, as each takes its own way. A call that
    a link has held up may come behind the one that followed it: its connection's end comes with it then.
    """

    name = "twice"

    def __init__(self, books: Books) -> None:
        super().__init__(books)
        self._effects: dict[str, int] = defaultdict(int)
        # Calls with a message of which an earlier attempt was out still, by then.
        self._copies: list[tuple[rec.Call, Message, Attempt, Attempt]] = []

    def see(self, event: rec.AnyEvent) -> None:
        if isinstance(event, rec.Call):
            for message, attempt in self.books.calls[event.call]:
                self._again(event, message, attempt, [a for a in message.attempts if a is not attempt])
        elif isinstance(event, rec.MessageProcessed):
            self._ran(event)
        elif isinstance(event, rec.Notice | rec.ClientOutcome) and refusal(event):
            self._handed_back(event.at, self.books.messages.get(event.id))

    def _again(self, call: rec.Call, message: Message, own: Attempt, earlier: list[Attempt]) -> None:
        cls, figures = message.cls, self.books.figures
        if not earlier or cls is None:
            return
        self.checked += 1
        risky = [a for a in earlier if not a.never_ran() or a.ended_us > call.began]
        if not risky:
            return
        relay, ids = message.ask.relay, [message.ask.id]
        first = min(risky, key=lambda attempt: attempt.came_us)
        if cls.effect == "unsafe":
            self.broken(call.at, relay, ids, "sent again though an earlier try may have run")
        elif cls.effect == "keyed":
            age_us = self.books.sent(call) - first.came_us
            zone = self.books.hosts[call.host].zone
            if cls.by_zone and zone != first.zone:
                self.broken(call.at, relay, ids, f"sent again to {zone}, its key is known in {first.zone}")
            elif age_us > cls.window_us + figures.slack_us:
                self.broken(call.at, relay, ids, f"sent again, {age_us / 1e6:.2f} s after a try")
        if not figures.may_duplicate:
            self._copies += [(call, message, own, a) for a in risky if a.ended_us < 0]

    def close(self) -> None:
        slack_us = self.books.figures.slack_us
        for call, message, own, earlier in self._copies:
            given_up = not own.answered and 0 <= own.ended_us <= call.began + slack_us
            if not given_up and (earlier.ended_us < 0 or earlier.ended_us > call.began + slack_us):
                self.broken(call.at, message.ask.relay, [message.ask.id], "a second copy while one was out")

    def _ran(self, event: rec.MessageProcessed) -> None:
        message = self.books.messages.get(event.id)
        if message is None or message.cls is None or message.cls.effect == "safe" or not event.effect:
            return
        call = self.books.call_of[event.call]
        if message.cls.effect == "keyed" and self.books.sent(call) < call.began:
            return  # sent within its window, it came behind it: the way's fault
        self._effects[event.id] += 1
        if self._effects[event.id] == 2:
            self.broken(event.at, message.ask.relay, [event.id], "took effect twice")

    def _handed_back(self, at_us: int, message: Message | None) -> None:
        """A refusal says that a retry is harmless, so nothing may have run that a retry would repeat."""
        if message is None or message.cls is None or message.cls.effect == "safe":
            return
        self.checked += 1
        risky = [a for a in message.attempts if not a.never_ran()]
        anywhere = message.cls.effect == "keyed" and not message.cls.by_zone
        if risky and not anywhere:
            ids = [message.ask.id]
            self.broken(at_us, message.ask.relay, ids, "refused though a try may have run")


class Drains(Rule):
    """Nothing new to an endpoint later than the grace after the relay was told that it drains or is gone.

    A send counts from its first byte. A change counts as told when it was written to the relay, or when the
    relay has had no watch for as long as it must ask; not if its watch ended before the relay, deaf until
    then, could read it. A host that staff took out counts as told from the
    relay's yes until they take it back, whatever the list says and however often the relay ends.
    """

    name = "drains"

    def __init__(self, books: Books) -> None:
        super().__init__(books)
        self._told: dict[tuple[str, str], int] = {}  # by relay and endpoint: told since, unless it is ready
        self._hand: dict[tuple[str, str], int] = {}  # by relay and endpoint: out by hand since
        self._listed: dict[str, int] = {}  # by endpoint: not ready since
        self._blind: dict[str, int] = {}  # by relay: without a watch since

    def see(self, event: rec.AnyEvent) -> None:
        if isinstance(event, rec.StateAnnounced):
            if event.state == "ready":
                self._told.pop((event.relay, event.host), None)
            else:
                self.checked += 1
                self._told.setdefault((event.relay, event.host), event.at)
        elif isinstance(event, rec.HostDisabled):
            if event.out:
                self.checked += 1
                self._hand.setdefault((event.relay, event.host), event.at)
            else:
                self._hand.pop((event.relay, event.host), None)
        elif isinstance(event, rec.ProcessEvent) and event.what == "wiped":  # it is lost with its folder
            self._hand = {key: at_us for key, at_us in self._hand.items() if key[0] != event.relay}
        elif isinstance(event, rec.DirectoryChange):
            if event.state == "ready":
                self._listed.pop(event.host, None)
            else:
                self._listed.setdefault(event.host, event.at)
        elif isinstance(event, rec.WatchChange):
            if event.open:
                self._blind.pop(event.relay, None)
            else:
                self._blind.setdefault(event.relay, event.at)
                self._lose(event.relay, event.at)
        elif isinstance(event, rec.Call):
            self._call(event)

    def _lose(self, relay: str, at_us: int) -> None:
        """A watch has ended: what was written to it while the relay was deaf is gone with it."""
        for key, told_us in list(self._told.items()):
            if key[0] == relay and told_us < self.books.reached(relay, told_us) >= at_us:
                del self._told[key]

    def _call(self, call: rec.Call) -> None:
        figures, relay = self.books.figures, self.books.relay_of(call)
        told = [table[relay, call.host] for table in (self._told, self._hand) if (relay, call.host) in table]
        if call.host in self._listed and relay in self._blind:
            told.append(max(self._listed[call.host], self._blind[relay]) + figures.ask_within_us)
        if not told:
            return
        told = [self.books.reached(relay, at) for at in told]
        late_us = self.books.sent(call) - min(told) - figures.drain_grace_us - figures.slack_us
        if late_us > 0:
            since_ms = (call.began - min(told)) / 1000
            self.broken(call.began, relay, call.ids, f"sent to {call.host}, told {since_ms:.0f} ms ago")


class Order(Rule):
    """In a class with order, messages of one key go out singly, in the order in which the relay took them on.

    None goes while an earlier one is unfinished or has a try whose outcome is open; after a time-out, a reset
    or a cancel the key rests for the stated pause. A refusal or failure may come out of turn. Of two messages
    that were on their way at once, on two connections, the record does not tell which the relay took on
    first: either may go first, but the other one then waits. An end counts from when it may have been
    decided, by the record's clock: its notice may come later, where it could not pass for a while or the
    message's time was up.
    """

    name = "order"

    def __init__(self, books: Books) -> None:
        super().__init__(books)
        self._keys: dict[tuple[str, str, str], list[Message]] = defaultdict(list)
        self._calls: list[tuple[rec.Call, Message]] = []

    def see(self, event: rec.AnyEvent) -> None:
        if isinstance(event, rec.ClientOutcome) and event.what == "taken":
            message = self.books.messages.get(event.id)
            if message and message.cls and message.cls.in_order and message.ask.order:
                queue = self._keys[message.ask.relay, message.cls.name, message.ask.order]
                if message not in queue:
                    queue.append(message)
        elif isinstance(event, rec.Call):
            for message, _ in self.books.calls[event.call]:
                if message.cls and message.cls.in_order and message.ask.order:
                    self._calls.append((event, message))

    def close(self) -> None:
        for call, message in self._calls:  # a notice and the next one's call leave the relay at once
            self._sent(call, message)

    def _sent(self, call: rec.Call, message: Message) -> None:
        figures, ask = self.books.figures, message.ask
        if self.books.sent(call) < call.began:  # held up on its way: what it came behind proves nothing
            return
        for other in self._keys[ask.relay, ask.cls, ask.order]:
            first = 0 <= other.taken_us <= ask.at
            later = 0 <= message.taken_us <= other.ask.at
            tries = [attempt for attempt in other.attempts if attempt.came_us <= call.at]
            if other is message or later or other.wiped or not (first or tries):
                continue
            self.checked += 1
            if not 0 <= self.books.decided(other) <= call.began + figures.slack_us:
                detail = f"sent while {other.ask.id} before it was unfinished"
                self.broken(call.began, ask.relay, [ask.id, other.ask.id], detail)
                return
            for attempt in tries:
                rest_us = 0 if attempt.answered else figures.order_pause_us
                if attempt.ended_us < 0 or call.began < attempt.ended_us + rest_us - figures.slack_us:
                    detail = f"sent while a try of {other.ask.id} was open"
                    self.broken(call.began, ask.relay, [ask.id, other.ask.id], detail)
                    return


class Waits(Rule):
    """Told to wait, a relay sends nothing to that route until the wait is over, for any message.

    A wait runs from when its answer was written; what comes within 100 ms of that is let through, and a
    restart ends it, also one between the call and its answer, which nobody read then. Nobody reads the
    answer to a call either whose messages were all over before: it came late, on a connection that was left.
    The same holds where the relay may have closed the connection before the answer was written, as its bytes
    were held up on their way.
    """

    name = "waits"

    def __init__(self, books: Books) -> None:
        super().__init__(books)
        self._waits: dict[tuple[str, str], list[tuple[int, int, int, int]]] = defaultdict(list)

    def see(self, event: rec.AnyEvent) -> None:
        if isinstance(event, rec.CallAnswered) and event.wait_us > 0 and not event.spoilt:
            call = self.books.call_of.get(event.call)
            if call is not None and call.host in self.books.hosts and not self._left(call, event.at):
                route = self.books.route(call.host)
                sent_us = self.books.sent(call) - self.books.figures.slack_us
                told = event.at, event.at + event.wait_us, sent_us, event.call
                self._waits[self.books.relay_of(call), route].append(told)
        elif isinstance(event, rec.Call) and event.host in self.books.hosts:
            self._call(event)
        elif (
            isinstance(event, rec.ConnectionClosed)
            and (call := self.books.call_of.get(event.call)) is not None
        ):
            left_us = self.books.written("hosts", event.at)
            key = self.books.relay_of(call), self.books.route(call.host)
            self._waits[key] = [w for w in self._waits[key] if w[3] != event.call or w[0] < left_us]

    def _left(self, call: rec.Call, at_us: int) -> bool:
        """Whether the relay must have left a call before its answer was written."""
        ends = [m.end_us for ref in call.ids if (m := self.books.messages.get(ref)) is not None]
        return bool(ends) and all(0 <= end_us < at_us - self.books.figures.slack_us for end_us in ends)

    def _call(self, call: rec.Call) -> None:
        relay, route = self.books.relay_of(call), self.books.route(call.host)
        for told_us, until_us, sent_us, _ in self._waits[relay, route]:
            self.checked += 1
            heard_us = self.books.heard(relay, self.books.arrives("hosts", told_us))
            told_long_ago = self.books.sent(call) > heard_us + self.books.figures.wait_grace_us
            if told_long_ago and call.at < until_us and not self.books.restarted(relay, sent_us, call.at):
                left_ms = (until_us - call.at) / 1000
                self.broken(call.at, relay, call.ids, f"sent to {route}, {left_ms:.0f} ms of its wait left")
                return
        self._waits[relay, route] = [w for w in self._waits[relay, route] if w[1] > call.at]


def judge(record: rec.Record) -> Verdict:
    """Every breach in order of time; ``kept`` only of a whole record with every message judged."""
    books = Books(record.head)
    rules: list[Rule] = [rule(books) for rule in (Lost, Twice, Drains, Returns, Order, Waits, Untried)]
    for event in record.events:
        books.take(event)
        for rule in rules:
            rule.see(event)
    for rule in rules:
        rule.close()
    breaches = sorted((b for rule in rules for b in rule.breaches), key=lambda breach: breach.at_us)
    reasons = [reason for rule in rules for reason in rule.undecided]
    last = record.events[-1] if record.events else None
    if isinstance(last, rec.RecordEnd) and last.late_us > LATE_US:
        # What it saw late it timed late: no breach of a time can be laid to the relay then.
        reasons.insert(0, f"the rig ran late, by {last.late_us / 1000:.0f} ms at worst")
        breaches = [breach for breach in breaches if breach.rule == "twice"]
    if not record.whole:
        reasons.insert(0, "the record is truncated")
    state: Literal["kept", "broken", "unknown"] = "broken" if breaches else "unknown" if reasons else "kept"
    return Verdict(state, tuple(breaches), {rule.name: rule.checked for rule in rules}, tuple(reasons))
