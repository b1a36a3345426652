"""A fleet in plain simulated time: many modules, destinations whose limit counts what it refuses, no sockets.

Only what pacing depends on is here: the limit (a bucket, or a count for each span), reports that are old when
they are told, waits, and a load of Poisson arrivals of which each relay sees its part.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from mossfront import DecisionEngine
from mossfront import interface as api
from tests.support import SECOND, endpoint_update, settings

STATUS = api.MessageClass("status", api.Effect.SAFE, 3 * SECOND, 12 * SECOND, worth=3.0, late_worth=0.5)
POSTING = api.MessageClass(
    "posting",
    api.Effect.KEYED,
    4 * SECOND,
    12 * SECOND,
    late_worth=0.4,
    window_us=12 * SECOND,
    scope_is_zone=True,
)
KINDS = (api.Kind("lot", separate_routes=True), api.Kind("bank", separate_routes=True, batch_size=10))


@dataclass
class Host:
    """One endpoint: what it takes from all relays together, and what it tells of that."""

    name: str
    dest: int
    rate: float  # calls a second that it takes; refused ones use it up too
    kind: str = "lot"
    depth_s: float = 0.7  # of its rate that it takes at once
    span_us: int = 0  # where set: a plain count for each span of this length, and no bucket
    report_us: int = 500_000  # how often it looks at what is left
    old_us: int = 150_000  # how old that is when it is told
    wait_us: int = 700_000  # the wait that most refusals tell
    lowered: tuple[int, int, float] = (0, 0, 1.0)  # from, until (us), to which share of the rate
    at_us: int = -1
    tokens: float = 0.0
    told: list[tuple[int, float, float]] = field(default_factory=list)  # when it may be told, left, rate

    def allowed(self, now_us: int) -> float:
        """Calls a second just now."""
        start, end, share = self.lowered
        return self.rate * (share if start <= now_us < end else 1.0)

    def _size(self, now_us: int) -> float:
        span_s = self.span_us / 1e6 or self.depth_s
        return max(1.0, self.allowed(now_us) * span_s)

    def _refill(self, now_us: int) -> None:
        size = self._size(now_us)
        if self.at_us < 0 or (self.span_us and now_us // self.span_us != self.at_us // self.span_us):
            self.tokens = size
        elif not self.span_us:
            self.tokens = min(size, self.tokens + self.allowed(now_us) * (now_us - self.at_us) / 1e6)
        self.at_us = now_us

    def call(self, now_us: int, rng: random.Random) -> tuple[api.Verdict, int]:
        """One call: how it ends, and the wait that it tells."""
        self._refill(now_us)
        taken = self.tokens >= 1
        # What is refused uses the limit up too, and leaves a debt: a host that is pressed on serves nobody.
        self.tokens = max(-self._size(now_us) / 2, self.tokens - 1)
        if not self.told or now_us - self.told[-1][0] >= self.report_us:
            self.told.append((now_us, max(0.0, self.tokens / self._size(now_us)), self.allowed(now_us)))
        if taken:
            return api.Verdict.OK, 0
        wait_us = self.span_us - now_us % self.span_us if self.span_us else self.wait_us
        return api.Verdict.FULL, wait_us if rng.random() < 0.8 else 0

    def report(self, now_us: int) -> tuple[float | None, float | None]:
        """Share left and rate as an answer tells them now."""
        old = [(left, rate) for at_us, left, rate in self.told[-9:] if at_us + self.old_us <= now_us]
        return old[-1] if old else (None, None)


@dataclass
class Tallies:
    """What a run came to."""

    calls: Counter[str] = field(default_factory=Counter)  # by how they ended
    ended: Counter[str] = field(default_factory=Counter)  # messages: in time, late, refused, failed

    @property
    def served(self) -> float:
        """Share of the messages that were delivered in time."""
        return self.ended["in time"] / max(1, sum(self.ended.values()))

    @property
    def refused(self) -> float:
        """Share of the calls that were turned away."""
        return self.calls["full"] / max(1, sum(self.calls.values()))


class Fleet:
    """So many relays of one group and their hosts; ``play`` runs them for a while."""

    def __init__(
        self,
        hosts: list[Host],
        demand: dict[int, float],
        *,
        relays: int = 40,
        seed: int = 1,
        make: Callable[[api.Settings, int], DecisionEngine] = DecisionEngine,
        **changes: object,
    ) -> None:
        """``demand``: messages a second by destination, over all relays."""
        quota = sum(demand.values())
        changes = {
            "classes": (STATUS, POSTING),
            "kinds": KINDS,
            "tenants": (api.Tenant("all", quota),),
            "max_calls": 6,
            "group_size": relays,
            "max_held_messages": 88,
            "max_attempts": 6,
            "round_us": 1_000,
            "fall_multiple": 1.5,
            "fall_us": 3 * SECOND,
            "cold_from": 0.27,
            "warm_within_us": 13 * SECOND,
            "may_duplicate": True,
        } | changes
        self.set, self.seed, self.make = settings(**changes), seed, make
        self.hosts, self.demand, self.rng = {h.name: h for h in hosts}, demand, random.Random(seed)
        self.parts = [self.rng.uniform(0.5, 1.5) for _ in range(relays)]
        self.relays = [make(self.set, seed * 1000 + i) for i in range(relays)]
        self.heap: list[tuple[int, int, int, api.Event]] = []
        self.serial = 0
        self.due: dict[str, int] = {}  # open messages, and when they are wanted
        self.tries: Counter[str] = Counter()
        self.tallies = Tallies()

    def _put(self, at_us: int, relay: int, event: api.Event) -> None:
        self.serial += 1
        heapq.heappush(self.heap, (at_us, self.serial, relay, event))

    def _listed(self, relay: int, at_us: int) -> None:
        entries = [
            api.EndpointEntry(h.name, h.dest, "a", h.kind, api.Listing.READY) for h in self.hosts.values()
        ]
        self._put(at_us, relay, endpoint_update(*entries, kind=api.EndpointUpdateKind.CACHED))

    def _arrivals(self, until_us: int) -> None:
        for dest, rate in self.demand.items():
            at_s = 0.0
            while (at_s := at_s + self.rng.expovariate(rate)) * 1e6 < until_us:
                cls = STATUS if self.rng.random() < 0.3 else POSTING
                relay = self.rng.choices(range(len(self.parts)), self.parts)[0]
                name = f"m{self.serial}"
                self._put(int(at_s * 1e6), relay, api.Arrival(name, dest, cls.name, cls.deadline_us, "all"))

    def play(self, length_s: float) -> Tallies:
        """Run for so long and until all is answered."""
        until_us = int(length_s * 1e6)
        for relay in range(len(self.relays)):
            self._listed(relay, 0)
        self._arrivals(until_us)
        while self.heap and (self.due or self.heap[0][0] <= until_us):
            at_us, _, relay, event = heapq.heappop(self.heap)
            self._feed(at_us, relay, event)
        return self.tallies

    def _feed(self, at_us: int, relay: int, event: api.Event) -> None:
        if isinstance(event, api.Arrival):
            cls = STATUS if event.cls == STATUS.name else POSTING
            self.due[event.id] = at_us + cls.aim_us
        if isinstance(event, api.Outcome) and event.complete and event.id in self.due:
            wanted_us = self.due.pop(event.id)
            self.tallies.ended["in time" if at_us <= wanted_us else "late"] += 1
        calls: dict[str, list[api.Send]] = {}
        for action in self.relays[relay].step(at_us, [event]):
            if isinstance(action, api.Send):
                calls.setdefault(action.host, []).append(action)
            elif isinstance(action, api.Refuse | api.Fail):
                if self.due.pop(action.id, None) is not None:
                    self.tallies.ended["refused" if isinstance(action, api.Refuse) else "failed"] += 1
            elif isinstance(action, api.SetTimer):
                self._put(at_us + action.delay_us, relay, api.TimerDue())
        for name, sends in calls.items():
            self._call(at_us, relay, self.hosts[name], sends)

    def _call(self, at_us: int, relay: int, host: Host, sends: list[api.Send]) -> None:
        batch = next(kind.batch_size for kind in KINDS if kind.name == host.kind)
        for start in range(0, len(sends), batch):
            verdict, wait_us = host.call(at_us, self.rng)
            self.tallies.calls[verdict.value] += 1
            took_us = int(self.rng.uniform(20_000, 60_000)) + (verdict is api.Verdict.OK) * 30_000
            left, rate = host.report(at_us)
            for send in sends[start : start + batch]:
                number = self.tries[send.id]
                self.tries[send.id] += 1
                self._put(
                    at_us + took_us,
                    relay,
                    api.Outcome(
                        send.id,
                        number,
                        host.name,
                        verdict,
                        took_us,
                        verdict is api.Verdict.OK,
                        wait_us,
                        left,
                        rate,
                    ),
                )
