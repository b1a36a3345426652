"""The rule on destinations that return cold from an outage."""

from __future__ import annotations

from collections import defaultdict

from mallowlug.rig.judge import cold
from mallowlug.rig.judge import record as rec
from mallowlug.rig.judge.ledger import Books
from mallowlug.rig.judge.rule import Rule


class Returns(Rule):
    """A destination that returns cold is not pushed over (``mallowlug/rig/judge/cold.py`` has the budget).

    One that falls over while it is cold was pushed over, whatever the window says. A breach only if two
    thirds of the window's messages came from relays that saw a call fail or be refused there during the
    outage. A refused connection leaves no trace at a listener that is closed: where the record does not
    tell of every connect, a relay that had a message open for the destination in the outage counts as having
    seen one.
    """

    name = "returns"

    def __init__(self, books: Books) -> None:
        super().__init__(books)
        self._out: dict[str, int] = {}
        self._fell: dict[str, list[int]] = defaultdict(list)
        self._outages: list[tuple[str, int, cold.Return]] = []  # route, when it began, how it came back
        self._arrivals: dict[str, list[tuple[int, float, str]]] = defaultdict(list)
        self._dials: dict[str, list[tuple[int, str]]] = defaultdict(list)  # by route: when, and by whom

    def see(self, event: rec.AnyEvent) -> None:
        if isinstance(event, rec.HostStateChange) and event.host in self.books.hosts:
            route = self.books.route(event.host)
            if event.state == "fell":
                self._fell[route].append(event.at)
            if event.state != "back":
                self._out.setdefault(route, event.at)
            elif route in self._out:
                per_s = sum(h.per_s for h in self.books.hosts.values() if self.books.route(h.host) == route)
                back = cold.Return(event.at, per_s, event.cold_from, event.warm_us)
                self._outages.append((route, self._out.pop(route), back))
        elif isinstance(event, rec.ConnectStarted) and event.host in self.books.hosts:
            self._dials[self.books.route(event.host)].append((event.at, event.relay))
        elif isinstance(event, rec.Call) and event.host in self.books.hosts:
            kind = self.books.kinds.get(self.books.hosts[event.host].kind)
            work = cold.work_of(len(event.ids), kind.item_cost if kind else 1.0)
            arrival = (event.at, work, self.books.relay_of(event))
            self._arrivals[self.books.route(event.host)].append(arrival)

    def close(self) -> None:
        for route, out_us, back in self._outages:
            self.checked += 1
            self._judge(route, out_us, back)

    def _judge(self, route: str, out_us: int, back: cold.Return) -> None:
        figures, arrivals = self.books.figures, self._arrivals[route]
        plain = [(at, number) for at, number, _ in arrivals]
        found = cold.overrun(back, plain, figures.fall_multiple, figures.fall_us + figures.slack_us)
        span_us = figures.fall_us + figures.slack_us
        fell = min((at for at in self._fell[route] if at >= back.at_us), default=-1)
        if 0 <= fell <= back.at_us + back.warm_us and (found is None or fell < found[0] + span_us):
            start = max(back.at_us, fell - span_us)
            came = sum(work for _, work in cold.within(plain, start, fell + 1))
            found = start, came, back.budget(start, figures.fall_multiple, figures.fall_us)
        if found is None:
            return
        start, came, budget = found
        end = start + span_us
        seen = self._seen(route, out_us, back.at_us)
        by = {relay: 0.0 for _, _, relay in arrivals}
        for at, number, relay in arrivals:
            by[relay] += number * (start <= at < end)
        guilty = sum(number for relay, number in by.items() if relay in seen)
        if 3 * guilty >= 2 * came:
            worst = max(by, key=lambda relay: by[relay])
            detail = f"{route} got {came:.1f} in a window for {budget:.1f}, {guilty:.1f} from who knew"
            self.broken(start, worst, [route], detail)

    def _seen(self, route: str, out_us: int, back_us: int) -> set[str]:
        """Relays that saw a call fail or be refused there during the outage, or must have."""
        seen = {relay for at, relay in self._dials[route] if out_us <= at < back_us}
        dests = {h.dest for h in self.books.hosts.values() if self.books.route(h.host) == route}
        for message in self.books.messages.values():
            here = [a for a in message.attempts if self.books.route(a.host) == route]
            failed = any(
                a.came_us < back_us and out_us <= (a.ended_us if a.ended_us >= 0 else back_us)
                and a.end != "delivered"
                for a in here
            )  # fmt: skip
            end_us = message.end_us if message.end_us >= 0 else self.books.end_us
            waited = message.taken_us >= 0 and message.ask.at < back_us and end_us > out_us
            waited = waited and not self.books.head.dials
            if failed or (waited and message.ask.dest in dests and not here):
                seen.add(message.ask.relay)
        return seen
