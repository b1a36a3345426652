"""A fleet in simulated time: many decision engines, endpoints whose rate limit counts refused calls too.

Models only what send rates depend on: the limit (a token bucket, or a count per time window), delayed load
reports, Retry-After waits, and Poisson arrivals that are distributed over the relays. No sockets.
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
    """One endpoint: its rate limit over all relays together, and what it reports about it."""

    name: str
    dest: int
    rate: float  # calls a second; refused calls consume it too
    kind: str = "lot"
    bucket_s: float = 0.7  # bucket size, in seconds of its rate
    window_us: int = 0  # if set: a count per window of this length instead of a bucket
    report_us: int = 500_000  # interval of its load reports
    report_delay_us: int = 150_000  # age of a report when it is sent
    wait_us: int = 700_000  # Retry-After wait of most refusals
    lowered: tuple[int, int, float] = (0, 0, 1.0)  # start, end (us), share of the rate meanwhile
    refilled_at_us: int = -1
    tokens: float = 0.0
    # Time of the report, share left, rate.
    reports: list[tuple[int, float, float]] = field(default_factory=list)

    def current_rate(self, now_us: int) -> float:
        """Return the current rate limit in calls a second."""
        start, end, share = self.lowered
        return self.rate * (share if start <= now_us < end else 1.0)

    def _capacity(self, now_us: int) -> float:
        capacity_s = self.window_us / 1e6 or self.bucket_s
        return max(1.0, self.current_rate(now_us) * capacity_s)

    def _refill(self, now_us: int) -> None:
        size = self._capacity(now_us)
        if self.refilled_at_us < 0 or (
            self.window_us and now_us // self.window_us != self.refilled_at_us // self.window_us
        ):
            self.tokens = size
        elif not self.window_us:
            self.tokens = min(
                size, self.tokens + self.current_rate(now_us) * (now_us - self.refilled_at_us) / 1e6
            )
        self.refilled_at_us = now_us

    def call(self, now_us: int, rng: random.Random) -> tuple[api.Verdict, int]:
        """Handle one call; return its verdict and the Retry-After wait (us, 0 for none)."""
        self._refill(now_us)
        accepted = self.tokens >= 1
        # Refused calls consume tokens too and leave a debt: under constant pressure no call is served.
        self.tokens = max(-self._capacity(now_us) / 2, self.tokens - 1)
        if not self.reports or now_us - self.reports[-1][0] >= self.report_us:
            self.reports.append(
                (now_us, max(0.0, self.tokens / self._capacity(now_us)), self.current_rate(now_us))
            )
        if accepted:
            return api.Verdict.OK, 0
        wait_us = self.window_us - now_us % self.window_us if self.window_us else self.wait_us
        return api.Verdict.FULL, wait_us if rng.random() < 0.8 else 0

    def report(self, now_us: int) -> tuple[float | None, float | None]:
        """Return the share left and the rate that a response reports now; None before the first report."""
        visible = [
            (left, rate) for at_us, left, rate in self.reports[-9:] if at_us + self.report_delay_us <= now_us
        ]
        return visible[-1] if visible else (None, None)


@dataclass
class Tallies:
    """Totals of a run."""

    calls: Counter[str] = field(default_factory=Counter)  # by verdict
    results: Counter[str] = field(default_factory=Counter)  # messages: in time, late, refused, failed

    @property
    def served(self) -> float:
        """Share of the messages that were delivered in time."""
        return self.results["in time"] / max(1, sum(self.results.values()))

    @property
    def refused(self) -> float:
        """Share of the calls that were refused."""
        return self.calls["full"] / max(1, sum(self.calls.values()))


class Fleet:
    """The relays of one group and their endpoints."""

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
        """Create the relays. ``demand``: messages a second by destination, over all relays."""
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
        self.settings, self.seed, self.make = settings(**changes), seed, make
        self.hosts, self.demand, self.rng = {h.name: h for h in hosts}, demand, random.Random(seed)
        self.relay_weights = [self.rng.uniform(0.5, 1.5) for _ in range(relays)]
        self.relays = [make(self.settings, seed * 1000 + i) for i in range(relays)]
        self.event_queue: list[tuple[int, int, int, api.Event]] = []
        self.serial = 0
        self.target_us: dict[str, int] = {}  # open messages and their target times (us)
        self.attempts: Counter[str] = Counter()
        self.tallies = Tallies()

    def _schedule(self, at_us: int, relay: int, event: api.Event) -> None:
        self.serial += 1
        heapq.heappush(self.event_queue, (at_us, self.serial, relay, event))

    def _schedule_listing(self, relay: int, at_us: int) -> None:
        entries = [
            api.EndpointEntry(h.name, h.dest, "a", h.kind, api.Listing.READY) for h in self.hosts.values()
        ]
        self._schedule(at_us, relay, endpoint_update(*entries, kind=api.EndpointUpdateKind.CACHED))

    def _schedule_arrivals(self, until_us: int) -> None:
        for dest, rate in self.demand.items():
            at_s = 0.0
            while (at_s := at_s + self.rng.expovariate(rate)) * 1e6 < until_us:
                cls = STATUS if self.rng.random() < 0.3 else POSTING
                relay = self.rng.choices(range(len(self.relay_weights)), self.relay_weights)[0]
                name = f"m{self.serial}"
                self._schedule(
                    int(at_s * 1e6), relay, api.Arrival(name, dest, cls.name, cls.deadline_us, "all")
                )

    def simulate(self, length_s: float) -> Tallies:
        """Submit messages for this long, then run until each has its final result."""
        until_us = int(length_s * 1e6)
        for relay in range(len(self.relays)):
            self._schedule_listing(relay, 0)
        self._schedule_arrivals(until_us)
        while self.event_queue and (self.target_us or self.event_queue[0][0] <= until_us):
            at_us, _, relay, event = heapq.heappop(self.event_queue)
            self._process(at_us, relay, event)
        return self.tallies

    def _process(self, at_us: int, relay: int, event: api.Event) -> None:
        if isinstance(event, api.Arrival):
            cls = STATUS if event.cls == STATUS.name else POSTING
            self.target_us[event.id] = at_us + cls.aim_us
        if isinstance(event, api.Outcome) and event.complete and event.id in self.target_us:
            wanted_us = self.target_us.pop(event.id)
            self.tallies.results["in time" if at_us <= wanted_us else "late"] += 1
        calls: dict[str, list[api.Send]] = {}
        for action in self.relays[relay].step(at_us, [event]):
            if isinstance(action, api.Send):
                calls.setdefault(action.host, []).append(action)
            elif isinstance(action, api.Refuse | api.Fail):
                if self.target_us.pop(action.id, None) is not None:
                    self.tallies.results["refused" if isinstance(action, api.Refuse) else "failed"] += 1
            elif isinstance(action, api.SetTimer):
                self._schedule(at_us + action.delay_us, relay, api.TimerDue())
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
                number = self.attempts[send.id]
                self.attempts[send.id] += 1
                self._schedule(
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
