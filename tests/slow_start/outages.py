"""Randomly drawn outages under a group of relays, and by how much the group's calls exceed the budget.

Each draw is a group size, a load, a kind of failure, a length and a set of restarts. The group's decision
engines run in simulated time against one destination. The weights of all calls that reach an endpoint after
its return are summed over the group, in every window of the length of the collapse window.
"""

from __future__ import annotations

import bisect
import math
import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

from mallowlug.rig.judge import cold
from mossfront import DecisionEngine
from mossfront import interface as api
from tests.fleet import KINDS, POSTING, STATUS, Fleet, Host
from tests.support import SECOND

COLLAPSE_MULTIPLE, COLLAPSE_WINDOW_US, COLD_CAPACITY_SHARE, WARM_UP_US = 1.5, 3 * SECOND, 0.27, 13 * SECOND
NEVER_US = 1 << 60
ITEM_WEIGHT = 0.2  # weight of each further message in a call
TRAFFIC_AFTER_RETURN_S = 15.0  # length of the traffic after the last return
QUEUE_S = 0.6  # work that may wait at an endpoint before it refuses, in seconds of its present capacity
RETRY_AFTER_SHARE = 0.8  # share of refusals that announce a wait
# Share of a window's calls from relays that observed the outage, below which no rule is broken.
NOTIFIED_CALL_SHARE = 2 / 3


class Failure(Enum):
    """How a call fails during an outage."""

    REFUSED = "refused"
    RESET = "reset"
    TIMEOUT = "timeout"
    ERROR = "error"
    FULL = "full"  # refused without a wait
    SHUT = "shut"  # refused until a time that most refusals announce


VERDICTS = {
    Failure.REFUSED: api.Verdict.CONNECT_FAILED,
    Failure.RESET: api.Verdict.RESET,
    Failure.TIMEOUT: api.Verdict.TIMEOUT,
    Failure.ERROR: api.Verdict.ERROR,
    Failure.FULL: api.Verdict.FULL,
    Failure.SHUT: api.Verdict.FULL,
}


@dataclass(frozen=True, slots=True)
class Restart:
    """A restart of a share of the group, ``after_s`` after the first return."""

    share: float
    after_s: float


@dataclass(frozen=True, slots=True)
class OutageDraw:
    """One outage and the group that observes it. ``load`` is a share of the capacity of all endpoints."""

    seed: int
    relays: int
    endpoints: int
    kind: str
    capacity_per_s: float
    load: float
    failure: Failure
    start_s: float
    length_s: float
    relay_weights: tuple[float, ...]  # the relays' shares of the traffic, repeated over the group
    one_relay_has_half: bool = False  # one relay has half of all traffic
    burst_size: int = 1  # messages that arrive together
    restart: Restart | None = None
    second_outage_after_s: float = 0.0  # time after the first return; 0: no second outage
    refusals_use_limit: bool = False  # refused calls use the limit up, also while the endpoint is shut
    error_share: float = 0.0  # share of calls that fail without an outage
    failing_endpoints: int = 1  # number of endpoints with an outage: the first ones
    stagger_s: float = 0.0  # each further one returns so much later than the one before it
    retry_after_share: float = RETRY_AFTER_SHARE  # share of refusals that announce a wait
    paused_s: float = 0.0  # all relays are suspended for so long, half of it before the first return
    relisted: bool = False  # the list drops the endpoints in the outage and lists them again at its end

    def outages(self, endpoint: int = 0) -> list[tuple[int, int]]:
        """Return begin and end (us) of each outage of an endpoint."""
        if endpoint >= self.failing_endpoints:
            return []
        start = int(self.start_s * 1e6)
        end = int((self.start_s + self.length_s + endpoint * self.stagger_s) * 1e6)
        outages = [(start, end)]
        if self.second_outage_after_s:
            second_start = end + int(self.second_outage_after_s * 1e6)
            outages.append((second_start, second_start + int(4e6)))
        return outages


RELAY_WEIGHTS = ((1.0,), (0.5, 1.5), (0.2, 0.5, 1.0, 1.0, 3.0))


def draw_hard_outage(seed: int, relays: int) -> OutageDraw:
    """Draw from the whole range of conditions that may occur in operation."""
    rng = random.Random(f"{relays} {seed}")
    restart = None
    if rng.random() < 0.5:
        restart = Restart(rng.choice((0.1, 0.33, 0.8)), rng.choice((-1.0, 0.0, 1.0, 4.0)))
    return OutageDraw(
        seed=seed,
        relays=relays,
        endpoints=rng.choice((1, 1, 2, 4)),
        kind=rng.choice(("lot", "lot", "bank")),
        capacity_per_s=rng.uniform(3, 12),
        load=rng.uniform(0.3, 1.5),
        failure=rng.choice(tuple(Failure)),
        start_s=rng.uniform(4, 12),
        length_s=rng.uniform(5, 14),
        relay_weights=rng.choice(RELAY_WEIGHTS),
        one_relay_has_half=rng.random() < 0.15,
        burst_size=rng.choice((1, 1, 4)),
        restart=restart,
        second_outage_after_s=rng.choice((0.0, 0.0, 0.0, 5.0)),
        refusals_use_limit=rng.random() < 0.4,
        error_share=rng.choice((0.0, 0.0, 0.02, 0.15)),
    )


def draw_destination_outage(seed: int, relays: int) -> OutageDraw:
    """Draw an outage of all endpoints of the destination together, as in report 4e6e9b.

    In two thirds of the draws all return at one time, in the others one after the other; in a third some,
    most or all relays are restarted around the return.
    """
    rng = random.Random(f"whole {relays} {seed}")
    endpoints = rng.choice((1, 2, 2, 3, 4))
    restart = None
    if rng.random() < 0.33:
        restart = Restart(rng.choice((0.1, 0.8, 1.0)), rng.choice((-1.0, 0.2, 0.5, 2.0)))
    return OutageDraw(
        seed=seed,
        relays=relays,
        endpoints=endpoints,
        kind=rng.choice(("lot", "lot", "bank")),
        capacity_per_s=rng.uniform(3, 12),
        load=rng.uniform(0.3, 1.6),
        failure=rng.choice((Failure.SHUT, Failure.SHUT, *Failure)),
        start_s=rng.uniform(4, 8),
        length_s=rng.choice(
            (rng.uniform(1.5, 7), rng.uniform(7, 13), rng.uniform(7, 13), rng.uniform(30, 45))
        ),
        relay_weights=rng.choice(RELAY_WEIGHTS),
        burst_size=rng.choice((1, 1, 4)),
        restart=restart,
        refusals_use_limit=rng.random() < 0.4,
        error_share=rng.choice((0.0, 0.0, 0.02, 0.15)),
        failing_endpoints=endpoints,
        stagger_s=rng.choice((0.0, 0.0, rng.uniform(0.2, 4))),
        retry_after_share=rng.choice((0.0, 0.3, 0.8, 1.0)),
    )


@dataclass
class Endpoint(Host):
    """An endpoint with its outages; calls beyond its present capacity wait, and then are refused."""

    outages: list[tuple[int, int]] = field(default_factory=list)
    failure: Failure = Failure.RESET
    limited: bool = False
    refusals_use_limit: bool = False
    error_share: float = 0.0
    retry_after_share: float = RETRY_AFTER_SHARE
    busy_until_us: float = 0.0  # when it finishes the calls accepted so far

    def down_until(self, now_us: int) -> int:
        """Return the end of the present outage, or 0."""
        return next((end for start, end in self.outages if start <= now_us < end), 0)

    def last_return(self, now_us: int) -> cold.ColdReturn | None:
        """Return the last return from an outage, if there was one."""
        ended = [end for _, end in self.outages if end <= now_us]
        return cold.ColdReturn(max(ended), self.rate, COLD_CAPACITY_SHARE, WARM_UP_US) if ended else None

    def _capacity_share(self, now_us: int) -> float:
        last_return = self.last_return(now_us)
        return last_return.share(now_us) if last_return else 1.0

    def serve(self, now_us: int, work: float, rng: random.Random) -> tuple[api.Verdict, int, int]:
        """Serve a call; return verdict, duration (us; 0: until its timeout) and announced wait (us)."""
        latency_us = int(rng.uniform(20_000, 60_000))
        if until_us := self.down_until(now_us):
            announced = self.failure is Failure.SHUT and rng.random() < self.retry_after_share
            retry_after_us = until_us - now_us if announced else 0
            return (
                VERDICTS[self.failure],
                0 if self.failure is Failure.TIMEOUT else latency_us,
                retry_after_us,
            )
        self.busy_until_us = max(self.busy_until_us, now_us)
        if self.busy_until_us - now_us > QUEUE_S * 1e6:
            retry_after_us = (
                int(rng.uniform(0.27, 0.72) * 1e6) if rng.random() < self.retry_after_share else 0
            )
            return api.Verdict.FULL, latency_us, retry_after_us
        self.busy_until_us += work * 1e6 / (self.rate * self._capacity_share(now_us))
        verdict = api.Verdict.ERROR if rng.random() < self.error_share else api.Verdict.OK
        return verdict, int(self.busy_until_us - now_us) + latency_us, 0

    def report(self, now_us: int) -> tuple[float | None, float | None]:
        """Return the remaining share of its limit and the limit (per s), if it has one."""
        if not self.limited:
            return None, None
        if self.refusals_use_limit and self.down_until(now_us):
            return 0.0, self.rate
        waiting_s = max(0.0, self.busy_until_us - now_us) / 1e6
        return max(0.0, 1 - waiting_s / QUEUE_S), self.rate * self._capacity_share(now_us)


@dataclass(frozen=True, slots=True)
class Call:
    """One call that reached the endpoint, and the relay that made it."""

    at_us: int
    weight: float
    relay: int


class RelayGroup(Fleet):
    """A group in a draw; records the calls to endpoints with outages and the relays that saw one fail."""

    def __init__(self, draw: OutageDraw, make: type[DecisionEngine] = DecisionEngine) -> None:
        self.draw = draw
        outages = draw.outages()
        hosts: list[Host] = [
            Endpoint(
                f"h{number}", 1, draw.capacity_per_s, draw.kind, limited=draw.kind == "bank",
                outages=draw.outages(number), failure=draw.failure,
                refusals_use_limit=draw.refusals_use_limit, error_share=draw.error_share,
                retry_after_share=draw.retry_after_share,
            )
            for number in range(draw.endpoints)
        ]  # fmt: skip
        demand = draw.capacity_per_s * draw.load * draw.endpoints
        super().__init__(
            hosts, {1: demand}, relays=draw.relays, seed=draw.seed, make=make,
            fall_multiple=COLLAPSE_MULTIPLE, fall_us=COLLAPSE_WINDOW_US, cold_from=COLD_CAPACITY_SHARE,
            warm_within_us=WARM_UP_US,
        )  # fmt: skip
        shares = [draw.relay_weights[number % len(draw.relay_weights)] for number in range(draw.relays)]
        if draw.one_relay_has_half and draw.relays > 1:
            shares[0] = sum(shares[1:])
        self.relay_weights = shares
        failing_hosts = [host.name for host in hosts[: draw.failing_endpoints]]
        self.calls: dict[str, list[Call]] = {name: [] for name in failing_hosts}
        # By endpoint: relay, and when its first call was sent that failed there in an outage.
        self.notified_at_us: dict[str, dict[int, int]] = {name: {} for name in failing_hosts}
        self.restart_at_us = NEVER_US
        self.restarted_relays = 0  # number of relays that are restarted: the first ones
        if draw.restart is not None:
            self.restart_at_us = outages[0][1] + int(draw.restart.after_s * 1e6)
            self.restarted_relays = round(draw.restart.share * draw.relays)
        self._restarted = False
        return_us, half_us = outages[0][1], int(draw.paused_s * 1e6) // 2
        self._pause_start_us, self._pause_end_us = return_us - half_us, return_us + half_us

    def run(self) -> None:
        """Simulate the draw to its end."""
        if self.draw.relisted:
            self._relist()
        last_us = max(
            end for number in range(self.draw.failing_endpoints) for _, end in self.draw.outages(number)
        )
        self.simulate(last_us / 1e6 + TRAFFIC_AFTER_RETURN_S)

    def _relist(self) -> None:
        """Send list updates to all relays at one time: all endpoints gone, and later all ready again."""
        start_us, end_us = self.draw.outages()[0]
        for at_us, listing in (((start_us + end_us) // 2, api.Listing.GONE), (end_us, api.Listing.READY)):
            entries = tuple(
                api.EndpointEntry(h.name, h.dest, "a", h.kind, listing) for h in self.hosts.values()
            )
            for relay in range(self.draw.relays):
                self._schedule(at_us, relay, api.EndpointUpdate(api.EndpointUpdateKind.CHANGES, entries))

    def _schedule_arrivals(self, until_us: int) -> None:
        rate = self.demand[1] / self.draw.burst_size
        at_s = 0.0
        while (at_s := at_s + self.rng.expovariate(rate)) * 1e6 < until_us:
            relay = self.rng.choices(range(len(self.relay_weights)), self.relay_weights)[0]
            for _ in range(self.draw.burst_size):
                cls = STATUS if self.rng.random() < 0.3 else POSTING
                message = api.Arrival(f"m{self.serial}", 1, cls.name, cls.deadline_us, "all")
                self._schedule(int(at_s * 1e6), relay, message)

    def _process(self, at_us: int, relay: int, event: api.Event) -> None:
        if self._pause_start_us <= at_us < self._pause_end_us:
            self._schedule(self._pause_end_us, relay, event)
            return
        if at_us >= self.restart_at_us and not self._restarted:
            self._restarted = True
            for number in range(self.restarted_relays):
                self._restart(at_us, number)
        super()._process(at_us, relay, event)

    def _restart(self, at_us: int, number: int) -> None:
        """Kill and start a relay: it recovers its open messages and its outage records."""
        old_engine = self.relays[number]
        self.relays[number] = self.make(self.settings, self.seed * 1000 + number + len(self.relays))
        self._schedule_listing(number, at_us)
        for host, endpoint in old_engine.endpoints.items():
            if endpoint.outage_record_until_us > at_us:
                served = endpoint.own_limiter.slow_start.served_share
                outage_record = api.OutageRecord(
                    host, endpoint.outage_record_until_us - at_us, endpoint.outage_record_kind, served
                )
                self._schedule(at_us, number, outage_record)
        for message in old_engine.messages.values():
            if message.done or message.deadline_us <= at_us:
                continue
            send_times_us = [call.sent_us for call in message.attempts_in_flight.values()]
            in_doubt_since_us = (
                message.in_doubt_since_us
                if message.in_doubt_since_us >= 0
                else min(send_times_us, default=-1)
            )
            recovered = api.Arrival(
                message.id, message.dest, message.cls.name, message.deadline_us - at_us, "all",
                attempts=message.attempts,
                in_doubt_age_us=at_us - in_doubt_since_us if in_doubt_since_us >= 0 else -1,
                in_doubt_zone="a" if in_doubt_since_us >= 0 else "", recovered_untried=message.attempts == 0,
            )  # fmt: skip
            self._schedule(at_us, number, recovered)

    def _receives_outcome(self, relay: int, sent_us: int, ended_us: int) -> bool:
        """Whether the relay that made a call still ran when it ended."""
        return relay >= self.restarted_relays or not sent_us < self.restart_at_us <= ended_us

    def _call(self, at_us: int, relay: int, host: Host, sends: list[api.Send]) -> None:
        assert isinstance(host, Endpoint)
        batch = next(kind.batch_size for kind in KINDS if kind.name == host.kind)
        for start in range(0, len(sends), batch):
            carried = sends[start : start + batch]
            weight = cold.call_weight(len(carried), ITEM_WEIGHT)
            verdict, elapsed_us, retry_after_us = host.serve(at_us, weight, self.rng)
            elapsed_us = min(elapsed_us or NEVER_US, carried[0].timeout_us)
            if verdict is api.Verdict.TIMEOUT and at_us + elapsed_us > (return_us := host.down_until(at_us)):
                # Connections of hung calls are reset at the return.
                verdict, elapsed_us = api.Verdict.RESET, return_us - at_us
            if verdict is api.Verdict.OK and elapsed_us == carried[0].timeout_us:
                verdict = api.Verdict.TIMEOUT
            self.tallies.calls[verdict.value] += 1
            if host.outages:
                self.calls[host.name].append(Call(at_us, weight, relay))
                if host.down_until(at_us) and self._receives_outcome(relay, at_us, at_us + elapsed_us):
                    self.notified_at_us[host.name].setdefault(relay, at_us)
            limit_remaining, limit_per_s = host.report(at_us)
            for send in carried:
                attempt = self.attempts[send.id]
                self.attempts[send.id] += 1
                self._schedule(
                    at_us + elapsed_us, relay,
                    api.Outcome(send.id, attempt, host.name, verdict, elapsed_us, verdict is api.Verdict.OK,
                                retry_after_us, limit_remaining, limit_per_s),
                )  # fmt: skip


@dataclass(frozen=True, slots=True)
class Result:
    """The worst window of a draw, as a multiple of the allowed weight, and the share served in time.

    ``worst_ratio`` counts relays as notified that saw a call to this endpoint fail,
    ``worst_ratio_any_endpoint`` those that saw one fail at any endpoint of the destination.
    """

    draw: OutageDraw
    worst_ratio: float
    worst_ratio_any_endpoint: float
    served_share: float


def max_window_weight(budget: float) -> float:
    """Return the allowed weight of a window: its budget and an allowance for chance (operators' rule)."""
    return cold.max_in_window(budget)


def worst_window_ratio(
    calls: Sequence[Call], notified: set[int], endpoint_return: cold.ColdReturn, end_us: int
) -> float:
    """Return the worst ratio of a window's weight to the allowed one, after a return.

    Only windows with enough calls from notified relays count (``NOTIFIED_CALL_SHARE``).
    """
    inside = [call for call in calls if endpoint_return.at_us <= call.at_us < end_us]
    times = [call.at_us for call in inside]
    worst = 0.0
    for index, start_us in enumerate(times):
        if start_us > endpoint_return.at_us + endpoint_return.warm_us:
            break
        window = inside[index : bisect.bisect_left(times, start_us + COLLAPSE_WINDOW_US)]
        total_weight = sum(call.weight for call in window)
        notified_weight = sum(call.weight for call in window if call.relay in notified)
        if notified_weight >= NOTIFIED_CALL_SHARE * total_weight:
            worst = max(
                worst,
                total_weight
                / max_window_weight(
                    COLLAPSE_MULTIPLE * endpoint_return.work(start_us, start_us + COLLAPSE_WINDOW_US)
                ),
            )
    return worst


def simulate(draw: OutageDraw, make: type[DecisionEngine] = DecisionEngine) -> Result:
    """Simulate a draw and find its worst window after every return of every endpoint with outages."""
    group = RelayGroup(draw, make)
    group.run()
    worst_ratio = worst_ratio_any_endpoint = 0.0
    first_notified_at_us: dict[int, int] = {}
    for notified_at_us in group.notified_at_us.values():
        for relay, at_us in notified_at_us.items():
            first_notified_at_us[relay] = min(at_us, first_notified_at_us.get(relay, at_us))
    for number, (name, calls) in enumerate(group.calls.items()):
        outages = draw.outages(number)
        for at, (_, end_us) in enumerate(outages):
            until_us = outages[at + 1][0] if at + 1 < len(outages) else NEVER_US
            endpoint_return = cold.ColdReturn(end_us, draw.capacity_per_s, COLD_CAPACITY_SHARE, WARM_UP_US)
            worst_ratio = max(
                worst_ratio,
                worst_window_ratio(
                    calls, _notified_before(group.notified_at_us[name], end_us), endpoint_return, until_us
                ),
            )
            if draw.failing_endpoints > 1:
                notified_of_any = _notified_before(first_notified_at_us, end_us)
                worst_ratio_any_endpoint = max(
                    worst_ratio_any_endpoint,
                    worst_window_ratio(calls, notified_of_any, endpoint_return, until_us),
                )
    return Result(draw, worst_ratio, max(worst_ratio, worst_ratio_any_endpoint), group.tallies.served)


def _notified_before(notified_at_us: dict[int, int], end_us: int) -> set[int]:
    """Return the relays that were notified before then."""
    return {relay for relay, at_us in notified_at_us.items() if at_us < end_us}


def chance_worst_ratio(draw: OutageDraw) -> float:
    """Return the control's worst ratio: independent calls whose sum equals the budget in the mean."""
    rng = random.Random(f"chance {draw.seed}")
    return max(_chance_worst_ratio_at(draw, number, rng) for number in range(draw.failing_endpoints))


def _chance_worst_ratio_at(draw: OutageDraw, endpoint: int, rng: random.Random) -> float:
    outages = draw.outages(endpoint)
    endpoint_return = cold.ColdReturn(outages[0][1], draw.capacity_per_s, COLD_CAPACITY_SHARE, WARM_UP_US)
    until_us = min(
        outages[1][0] if len(outages) > 1 else NEVER_US,
        endpoint_return.at_us + WARM_UP_US + COLLAPSE_WINDOW_US,
    )
    calls, at_us, max_rate_per_us = (
        list[Call](),
        float(endpoint_return.at_us),
        COLLAPSE_MULTIPLE * draw.capacity_per_s / 1e6,
    )
    while (at_us := at_us + rng.expovariate(max_rate_per_us)) < until_us:
        if rng.random() < endpoint_return.share(at_us):
            calls.append(Call(int(at_us), 1.0, 0))
    return worst_window_ratio(calls, {0}, endpoint_return, until_us)


@dataclass(frozen=True, slots=True)
class Summary:
    """Totals of many draws; ``over_`` fields count draws whose worst ratio is above 1."""

    draws: int
    over_limit: int
    worst_ratio: float
    over_limit_any_endpoint: int
    worst_ratio_any_endpoint: float
    mean_served_share: float
    over_limit_by_chance: int


def summarize(results: Sequence[Result]) -> Summary:
    """Summarize results and their controls."""
    return Summary(
        len(results),
        sum(result.worst_ratio > 1 for result in results),
        max(result.worst_ratio for result in results),
        sum(result.worst_ratio_any_endpoint > 1 for result in results),
        max(result.worst_ratio_any_endpoint for result in results),
        math.fsum(result.served_share for result in results) / len(results),
        sum(chance_worst_ratio(result.draw) > 1 for result in results),
    )
