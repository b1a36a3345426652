"""Drawn outages of one endpoint under a group of relays, and how far their sum goes beyond its budget.

Each draw is a group size, a load, a kind of failure, a length and a set of restarts. The group's policies run
in simulated time against one destination. Every call that reaches the endpoint behind its return is weighed
and summed over the group, in any window of the length after which a cold endpoint falls over.
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

MULTIPLE, FALL_US, COLD_FROM, WARM_US = 1.5, 3 * SECOND, 0.27, 13 * SECOND
NEVER_US = 1 << 60
ITEM_WEIGHT = 0.2  # of a further message in a call
AFTER_S = 15.0  # of traffic behind the last return
QUEUE_S = 0.6  # of its present capacity that may wait at an endpoint before it refuses
WAIT_TOLD = 0.8  # share of refusals that name a wait
TOLD_SHARE = 2 / 3  # of a window's calls, from relays that were told: below that, no rule is broken


class Failure(Enum):
    """What a call meets during an outage."""

    REFUSED = "refused"
    RESET = "reset"
    TIMEOUT = "timeout"
    ERROR = "error"
    FULL = "full"  # refused with no wait
    SHUT = "shut"  # refused until a time that most refusals name


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
    """A share of the group that is killed and started again, so long behind the first return."""

    share: float
    after_s: float


@dataclass(frozen=True, slots=True)
class Draw:
    """One outage and the group that meets it. ``load`` is a share of the capacity of all endpoints."""

    seed: int
    relays: int
    endpoints: int
    kind: str
    capacity_per_s: float
    load: float
    failure: Failure
    start_s: float
    length_s: float
    weights: tuple[float, ...]  # of relays in turn: their shares of the traffic
    half_to_one: bool = False  # one relay has half of all traffic
    clump: int = 1  # messages that come together
    restart: Restart | None = None
    second_after_s: float = 0.0  # behind the first return; 0: no second outage
    refusals_count: bool = False  # what is refused uses the limit up, also while the endpoint is shut
    errors: float = 0.0  # share of calls that fail on any day
    struck: int = 1  # endpoints that are out: the first ones
    stagger_s: float = 0.0  # each further one returns so much later than the one before it
    wait_told: float = WAIT_TOLD  # share of refusals that name a wait
    stopped_s: float = 0.0  # all relays stand still for so long, half of it before the first return
    relisted: bool = False  # the list drops the endpoints in the outage, and names them again at its end

    def outages(self, endpoint: int = 0) -> list[tuple[int, int]]:
        """Begin and end of each outage (us) of an endpoint."""
        if endpoint >= self.struck:
            return []
        start = int(self.start_s * 1e6)
        end = int((self.start_s + self.length_s + endpoint * self.stagger_s) * 1e6)
        found = [(start, end)]
        if self.second_after_s:
            again = end + int(self.second_after_s * 1e6)
            found.append((again, again + int(4e6)))
        return found


WEIGHTS = ((1.0,), (0.5, 1.5), (0.2, 0.5, 1.0, 1.0, 3.0))


def hard_draw(seed: int, relays: int) -> Draw:
    """A draw from the whole range that the operators' days may hold."""
    rng = random.Random(f"{relays} {seed}")
    restart = None
    if rng.random() < 0.5:
        restart = Restart(rng.choice((0.1, 0.33, 0.8)), rng.choice((-1.0, 0.0, 1.0, 4.0)))
    return Draw(
        seed=seed,
        relays=relays,
        endpoints=rng.choice((1, 1, 2, 4)),
        kind=rng.choice(("lot", "lot", "bank")),
        capacity_per_s=rng.uniform(3, 12),
        load=rng.uniform(0.3, 1.5),
        failure=rng.choice(tuple(Failure)),
        start_s=rng.uniform(4, 12),
        length_s=rng.uniform(5, 14),
        weights=rng.choice(WEIGHTS),
        half_to_one=rng.random() < 0.15,
        clump=rng.choice((1, 1, 4)),
        restart=restart,
        second_after_s=rng.choice((0.0, 0.0, 0.0, 5.0)),
        refusals_count=rng.random() < 0.4,
        errors=rng.choice((0.0, 0.0, 0.02, 0.15)),
    )


def whole_draw(seed: int, relays: int) -> Draw:
    """A draw in which all endpoints of the destination are out together, as in report 4e6e9b.

    Two thirds return at one time, the others one behind the other; in a third of the draws most or all relays
    are restarted around the return.
    """
    rng = random.Random(f"whole {relays} {seed}")
    endpoints = rng.choice((1, 2, 2, 3, 4))
    restart = None
    if rng.random() < 0.33:
        restart = Restart(rng.choice((0.1, 0.8, 1.0)), rng.choice((-1.0, 0.2, 0.5, 2.0)))
    return Draw(
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
        weights=rng.choice(WEIGHTS),
        clump=rng.choice((1, 1, 4)),
        restart=restart,
        refusals_count=rng.random() < 0.4,
        errors=rng.choice((0.0, 0.0, 0.02, 0.15)),
        struck=endpoints,
        stagger_s=rng.choice((0.0, 0.0, rng.uniform(0.2, 4))),
        wait_told=rng.choice((0.0, 0.3, 0.8, 1.0)),
    )


@dataclass
class Endpoint(Host):
    """An endpoint with its outages; beyond its present capacity calls wait, and then are refused."""

    outages: list[tuple[int, int]] = field(default_factory=list)
    failure: Failure = Failure.RESET
    limited: bool = False
    refusals_count: bool = False
    errors: float = 0.0
    wait_told: float = WAIT_TOLD
    busy_us: float = 0.0  # until when it works on what it has taken in

    def down_until(self, now_us: int) -> int:
        """The end of the outage that it is in, or 0."""
        return next((end for start, end in self.outages if start <= now_us < end), 0)

    def back(self, now_us: int) -> cold.Return | None:
        """The last return, where there was one."""
        ended = [end for _, end in self.outages if end <= now_us]
        return cold.Return(max(ended), self.rate, COLD_FROM, WARM_US) if ended else None

    def _share(self, now_us: int) -> float:
        back = self.back(now_us)
        return back.share(now_us) if back else 1.0

    def serve(self, now_us: int, work: float, rng: random.Random) -> tuple[api.Verdict, int, int]:
        """One call: how it ends, after how long (us; 0: at its time-out), and the wait that is told."""
        fast_us = int(rng.uniform(20_000, 60_000))
        if until_us := self.down_until(now_us):
            told = self.failure is Failure.SHUT and rng.random() < self.wait_told
            told_us = until_us - now_us if told else 0
            return VERDICTS[self.failure], 0 if self.failure is Failure.TIMEOUT else fast_us, told_us
        self.busy_us = max(self.busy_us, now_us)
        if self.busy_us - now_us > QUEUE_S * 1e6:
            told_us = int(rng.uniform(0.27, 0.72) * 1e6) if rng.random() < self.wait_told else 0
            return api.Verdict.FULL, fast_us, told_us
        self.busy_us += work * 1e6 / (self.rate * self._share(now_us))
        verdict = api.Verdict.ERROR if rng.random() < self.errors else api.Verdict.OK
        return verdict, int(self.busy_us - now_us) + fast_us, 0

    def report(self, now_us: int) -> tuple[float | None, float | None]:
        """What is left of its limit, where it has one."""
        if not self.limited:
            return None, None
        if self.refusals_count and self.down_until(now_us):
            return 0.0, self.rate
        waiting_s = max(0.0, self.busy_us - now_us) / 1e6
        return max(0.0, 1 - waiting_s / QUEUE_S), self.rate * self._share(now_us)


@dataclass(frozen=True, slots=True)
class Call:
    """One call that reached the endpoint: when (us), its weight, and which relay made it."""

    at_us: int
    weight: float
    relay: int


class Group(Fleet):
    """A group through a draw; keeps the calls to each endpoint that is struck, and who saw it fail."""

    def __init__(self, draw: Draw, make: type[DecisionEngine] = DecisionEngine) -> None:
        self.draw = draw
        outages = draw.outages()
        hosts: list[Host] = [
            Endpoint(
                f"h{number}", 1, draw.capacity_per_s, draw.kind, limited=draw.kind == "bank",
                outages=draw.outages(number), failure=draw.failure, refusals_count=draw.refusals_count,
                errors=draw.errors, wait_told=draw.wait_told,
            )
            for number in range(draw.endpoints)
        ]  # fmt: skip
        demand = draw.capacity_per_s * draw.load * draw.endpoints
        super().__init__(
            hosts, {1: demand}, relays=draw.relays, seed=draw.seed, make=make, fall_multiple=MULTIPLE,
            fall_us=FALL_US, cold_from=COLD_FROM, warm_within_us=WARM_US,
        )  # fmt: skip
        shares = [draw.weights[number % len(draw.weights)] for number in range(draw.relays)]
        if draw.half_to_one and draw.relays > 1:
            shares[0] = sum(shares[1:])
        self.parts = shares
        struck = [host.name for host in hosts[: draw.struck]]
        self.calls: dict[str, list[Call]] = {name: [] for name in struck}
        # By endpoint: relay, and when it first saw a call fail there in an outage.
        self.told: dict[str, dict[int, int]] = {name: {} for name in struck}
        self.restart_us = NEVER_US
        self.restarts = 0  # so many relays, the first ones, are restarted
        if draw.restart is not None:
            self.restart_us = outages[0][1] + int(draw.restart.after_s * 1e6)
            self.restarts = round(draw.restart.share * draw.relays)
        self._restarted = False
        back_us, half_us = outages[0][1], int(draw.stopped_s * 1e6) // 2
        self._stop_us, self._go_on_us = back_us - half_us, back_us + half_us

    def run(self) -> None:
        """Play the draw to its end."""
        if self.draw.relisted:
            self._relist()
        last_us = max(end for number in range(self.draw.struck) for _, end in self.draw.outages(number))
        self.play(last_us / 1e6 + AFTER_S)

    def _relist(self) -> None:
        """A new version of the list reaches all relays at one time: all gone, and later all ready again."""
        start_us, end_us = self.draw.outages()[0]
        for at_us, listing in (((start_us + end_us) // 2, api.Listing.GONE), (end_us, api.Listing.READY)):
            entries = tuple(
                api.EndpointEntry(h.name, h.dest, "a", h.kind, listing) for h in self.hosts.values()
            )
            for relay in range(self.draw.relays):
                self._put(at_us, relay, api.EndpointUpdate(api.EndpointUpdateKind.CHANGES, entries))

    def _arrivals(self, until_us: int) -> None:
        rate = self.demand[1] / self.draw.clump
        at_s = 0.0
        while (at_s := at_s + self.rng.expovariate(rate)) * 1e6 < until_us:
            relay = self.rng.choices(range(len(self.parts)), self.parts)[0]
            for _ in range(self.draw.clump):
                cls = STATUS if self.rng.random() < 0.3 else POSTING
                message = api.Arrival(f"m{self.serial}", 1, cls.name, cls.deadline_us, "all")
                self._put(int(at_s * 1e6), relay, message)

    def _feed(self, at_us: int, relay: int, event: api.Event) -> None:
        if self._stop_us <= at_us < self._go_on_us:
            self._put(self._go_on_us, relay, event)
            return
        if at_us >= self.restart_us and not self._restarted:
            self._restarted = True
            for number in range(self.restarts):
                self._restart(at_us, number)
        super()._feed(at_us, relay, event)

    def _restart(self, at_us: int, number: int) -> None:
        """A kill and a start: what was open is found again, and what was journaled about endpoints."""
        former = self.relays[number]
        self.relays[number] = self.make(self.set, self.seed * 1000 + number + len(self.relays))
        self._listed(number, at_us)
        for host, endpoint in former.endpoints.items():
            if endpoint.outage_record_until_us > at_us:
                served = endpoint.own_limiter.slow_start.served_share
                care = api.OutageRecord(
                    host, endpoint.outage_record_until_us - at_us, endpoint.outage_record_kind, served
                )
                self._put(at_us, number, care)
        for message in former.messages.values():
            if message.done or message.deadline_us <= at_us:
                continue
            sent = [call.sent_us for call in message.attempts_in_flight.values()]
            risky_us = message.in_doubt_since_us if message.in_doubt_since_us >= 0 else min(sent, default=-1)
            found = api.Arrival(
                message.id, message.dest, message.cls.name, message.deadline_us - at_us, "all",
                attempts=message.attempts, in_doubt_age_us=at_us - risky_us if risky_us >= 0 else -1,
                in_doubt_zone="a" if risky_us >= 0 else "", recovered_untried=message.attempts == 0,
            )  # fmt: skip
            self._put(at_us, number, found)

    def _learns(self, relay: int, sent_us: int, ended_us: int) -> bool:
        """Whether the relay that made a call still ran when it ended."""
        return relay >= self.restarts or not sent_us < self.restart_us <= ended_us

    def _call(self, at_us: int, relay: int, host: Host, sends: list[api.Send]) -> None:
        assert isinstance(host, Endpoint)
        batch = next(kind.batch_size for kind in KINDS if kind.name == host.kind)
        for start in range(0, len(sends), batch):
            carried = sends[start : start + batch]
            weight = cold.work_of(len(carried), ITEM_WEIGHT)
            verdict, took_us, wait_us = host.serve(at_us, weight, self.rng)
            took_us = min(took_us or NEVER_US, carried[0].timeout_us)
            if verdict is api.Verdict.TIMEOUT and at_us + took_us > (back_us := host.down_until(at_us)):
                verdict, took_us = api.Verdict.RESET, back_us - at_us  # what hung is broken off at the return
            if verdict is api.Verdict.OK and took_us == carried[0].timeout_us:
                verdict = api.Verdict.TIMEOUT
            self.tallies.calls[verdict.value] += 1
            if host.outages:
                self.calls[host.name].append(Call(at_us, weight, relay))
                if host.down_until(at_us) and self._learns(relay, at_us, at_us + took_us):
                    self.told[host.name].setdefault(relay, at_us)
            left, rate = host.report(at_us)
            for send in carried:
                number = self.tries[send.id]
                self.tries[send.id] += 1
                self._put(
                    at_us + took_us, relay,
                    api.Outcome(send.id, number, host.name, verdict, took_us, verdict is api.Verdict.OK,
                                wait_us, left, rate),
                )  # fmt: skip


@dataclass(frozen=True, slots=True)
class Result:
    """The worst window of a draw, as a multiple of what is allowed there, and the share served in time.

    ``worst`` counts relays as told that saw a call to this endpoint fail, ``worst_any`` such that saw one
    fail at any endpoint of the destination.
    """

    draw: Draw
    worst: float
    worst_any: float
    served: float


def allowed(budget: float) -> float:
    """What a window may bring: its budget N and what is left to chance, by the operators' page."""
    return cold.most_in_window(budget)


def worst_window(calls: Sequence[Call], told: set[int], back: cold.Return, end_us: int) -> float:
    """The fullest window behind a return over what is allowed, where most came from relays that were told."""
    inside = [call for call in calls if back.at_us <= call.at_us < end_us]
    times = [call.at_us for call in inside]
    worst = 0.0
    for at, start_us in enumerate(times):
        if start_us > back.at_us + back.warm_us:
            break
        window = inside[at : bisect.bisect_left(times, start_us + FALL_US)]
        came = sum(call.weight for call in window)
        knew = sum(call.weight for call in window if call.relay in told)
        if knew >= TOLD_SHARE * came:
            worst = max(worst, came / allowed(MULTIPLE * back.work(start_us, start_us + FALL_US)))
    return worst


def played(draw: Draw, make: type[DecisionEngine] = DecisionEngine) -> Result:
    """Run a draw and find its worst window behind each of its returns, at each endpoint that was out."""
    group = Group(draw, make)
    group.run()
    own = any_endpoint = 0.0
    first_told: dict[int, int] = {}
    for told in group.told.values():
        for relay, at_us in told.items():
            first_told[relay] = min(at_us, first_told.get(relay, at_us))
    for number, (name, calls) in enumerate(group.calls.items()):
        outages = draw.outages(number)
        for at, (_, end_us) in enumerate(outages):
            until_us = outages[at + 1][0] if at + 1 < len(outages) else NEVER_US
            back = cold.Return(end_us, draw.capacity_per_s, COLD_FROM, WARM_US)
            own = max(own, worst_window(calls, _told_before(group.told[name], end_us), back, until_us))
            if draw.struck > 1:
                told_of_any = _told_before(first_told, end_us)
                any_endpoint = max(any_endpoint, worst_window(calls, told_of_any, back, until_us))
    return Result(draw, own, max(own, any_endpoint), group.tallies.served)


def _told_before(told: dict[int, int], end_us: int) -> set[int]:
    """The relays that were told before then."""
    return {relay for relay, at_us in told.items() if at_us < end_us}


def chance(draw: Draw) -> float:
    """The control: independent calls whose sum is the whole budget in the mean, and their worst window."""
    rng = random.Random(f"chance {draw.seed}")
    return max(_chance_at(draw, number, rng) for number in range(draw.struck))


def _chance_at(draw: Draw, endpoint: int, rng: random.Random) -> float:
    outages = draw.outages(endpoint)
    back = cold.Return(outages[0][1], draw.capacity_per_s, COLD_FROM, WARM_US)
    until_us = min(outages[1][0] if len(outages) > 1 else NEVER_US, back.at_us + WARM_US + FALL_US)
    calls, at_us, most = list[Call](), float(back.at_us), MULTIPLE * draw.capacity_per_s / 1e6
    while (at_us := at_us + rng.expovariate(most)) < until_us:
        if rng.random() < back.share(at_us):
            calls.append(Call(int(at_us), 1.0, 0))
    return worst_window(calls, {0}, back, until_us)


@dataclass(frozen=True, slots=True)
class Summary:
    """Many draws: how many went beyond what is allowed, the worst, the mean served, and pure chance."""

    draws: int
    over: int
    worst: float
    over_any: int
    worst_any: float
    served: float
    over_by_chance: int


def summary(results: Sequence[Result]) -> Summary:
    """Add up results and their controls."""
    return Summary(
        len(results),
        sum(result.worst > 1 for result in results),
        max(result.worst for result in results),
        sum(result.worst_any > 1 for result in results),
        max(result.worst_any for result in results),
        math.fsum(result.served for result in results) / len(results),
        sum(chance(result.draw) > 1 for result in results),
    )
