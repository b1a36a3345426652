"""Many relays that share nothing: what the group sends together, and what one relay looks at in a step."""

from __future__ import annotations

from collections.abc import Sequence

import pytest

from mossfront import interface as api
from mossfront.engine import DecisionEngine
from mossfront.state import Destination, Endpoint
from tests.checker import Checker
from tests.fleet import Fleet, Host, Tallies
from tests.support import (
    KEYED,
    SAFE,
    SECOND,
    arrival,
    attempt_outcome,
    endpoint_update,
    entry,
    sends,
    settings,
)
from tests.test_failures import Feed, drive, steady

DOWN = api.Verdict.CONNECT_FAILED


def once(at_us: int, events: list[api.Event]) -> Feed:
    """These events at one time and nothing else."""
    return lambda now_us: events if now_us == at_us else []


def group_sends(size: int, relays: int, verdict: api.Verdict) -> list[int]:
    """Times at which relays that each hold one message, and saw four trials fail, send to one destination."""
    times: list[int] = []
    for number in range(relays):
        checker = Checker(settings(group_size=size, max_calls=3, max_attempts=12), seed=number)
        hosts = [entry(f"h{n}", dest=n) for n in range(6)]
        checker.step(0, [endpoint_update(*hosts)])
        feed: list[api.Event] = [arrival(f"m{number}-{n}", KEYED, n) for n in range(6)]
        start_us = 20_000 * (1 + number)
        log = drive(checker, 16 * SECOND, once(start_us, feed), lambda *_: (verdict, 20_000))
        times += [at_us for at_us, send in log if send.host == "h0"]
    return sorted(times)


@pytest.mark.parametrize("size", [40, 300])
def test_the_trials_of_many_sparse_relays_stay_few(size: int) -> None:
    """Relays with one message each made two or three trials in an outage: together they push it over."""
    times = group_sends(size, 40, DOWN)
    late = [at_us for at_us in times if at_us > 8 * SECOND]
    window = max((sum(at <= t < at + 2 * SECOND for t in late) for at in late), default=0)
    assert window <= 12, "40 relays that hold a message: at most a third of them in any window of fall_us"


def test_no_room_left_slows_down_and_room_speeds_up() -> None:
    def pace(left: float | None) -> float:
        relay = DecisionEngine(settings(group_size=40), seed=1)
        [send] = sends(relay.step(0, [endpoint_update(entry("h1")), arrival("m1")]))
        told = api.Outcome("m1", 0, send.host, api.Verdict.OK, 1000, True, 0, left, 20.0)
        relay.step(1000, [told])
        return relay.endpoints["h1"].limit.pace

    assert pace(0.01) < pace(0.3) < 0.5 < pace(0.9), "around an equal part, the first guess"
    assert pace(7.0) == pace(-1.0) == pace(None), "a share out of range counts as not told"


def test_a_class_that_fails_at_one_endpoint_goes_to_its_sibling() -> None:
    checker = Checker(settings(max_held_messages=500))
    checker.step(0, [endpoint_update(entry("h1"), entry("h2"))])

    def answer(_now_us: int, send: api.Send, _attempt: int) -> tuple[api.Verdict, int]:
        failing = send.host == "h1" and checker.messages[send.id].cls is KEYED
        return (api.Verdict.ERROR if failing else api.Verdict.OK), 80_000

    both = (steady(100_000, KEYED), steady(100_000, SAFE))
    log = drive(checker, 12 * SECOND, lambda now_us: both[0](now_us) + both[1](now_us), answer)
    late = [send for at_us, send in log if at_us > 4 * SECOND]
    keyed = [send.host for send in late if checker.messages[send.id].cls is KEYED]
    assert keyed.count("h1") <= 0.1 * len(keyed)
    assert any(send.host == "h1" for send in late if checker.messages[send.id].cls is SAFE)


def test_a_busy_relay_in_a_large_group_is_not_held_to_an_equal_part() -> None:
    checker = Checker(settings(group_size=300, rate_hints_given=True, max_held_messages=500))
    checker.step(0, [endpoint_update(entry("h1", rate_hint=20.0))])
    log = drive(checker, 10 * SECOND, steady(200_000), lambda *_: (api.Verdict.OK, 80_000))
    assert len(log) >= 45, "five a second, where an equal part were one in fifteen seconds"


def visits(dests: int) -> int:
    """Destinations looked at for one message while the others are idle."""
    relay = DecisionEngine(settings(), seed=1)
    relay.step(0, [endpoint_update(*(entry(f"h{n}", dest=n) for n in range(dests)))])
    seen: list[str] = []
    room = relay._room

    def counted(dest: Destination, endpoint: Endpoint) -> bool:
        seen.append(endpoint.host)
        return room(dest, endpoint)

    relay._room = counted  # type: ignore[method-assign]
    [send] = sends(relay.step(20_000, [arrival("m1", dest=1)]))
    relay.step(120_000, [attempt_outcome(send)])
    return len(seen)


def test_work_follows_what_is_touched_not_the_fleet() -> None:
    assert visits(400) == visits(4) > 0


def whole_fleet(pressed: bool = False) -> Tallies:
    """Forty relays of which each sees little, at a lot that takes 9 and one that takes 26 calls a second."""
    hosts = [Host("small", 1, 9.0), Host("large", 1, 26.0), Host("bank", 2, 20.0, "bank")]
    make = Pressing if pressed else DecisionEngine
    return Fleet(hosts, {1: 33.0, 2: 45.0}, make=make, seed=3).play(20.0)


class Pressing(DecisionEngine):
    """Planted: each takes the whole limit for itself, and nothing that is told of the others slows it."""

    def _equal(self, parts: float) -> float:
        return 1.0

    def _suspect_outage(self, *_: object) -> None:
        """A refusal limits nothing beyond its wait."""


def test_a_limit_that_counts_what_it_refuses_is_not_kept_used_up_by_forty_relays() -> None:
    """At size, calls were refused more often than served: each relay came back at its wait's end."""
    kept, pressed = whole_fleet(), whole_fleet(pressed=True)
    assert kept.refused < 0.3
    assert pressed.refused > 0.5
    assert kept.served > pressed.served + 0.2


def served_asks(relays: int, capacity: int, length_s: int) -> int:
    """Relays that learn of the list after all started at once, where each ask is worked off in turn.

    One that is reached after a second has failed, and its turn was spent all the same.
    """
    asked = settings(group_size=relays, must_subscribe=True, ask_within_us=10 * SECOND)
    group = [DecisionEngine(asked, n) for n in range(relays)]
    known = endpoint_update(entry("h1"), kind=api.EndpointUpdateKind.CACHED)
    inbox: dict[int, list[api.Event]] = {n: [known] for n in range(relays)}
    queue: list[tuple[int, int]] = []
    learned = set[int]()
    turn_us = SECOND // capacity
    for now_us in range(0, length_s * SECOND, 20_000):
        for number, relay in enumerate(group):
            actions = relay.step(now_us, inbox.pop(number, []))
            queue += [(now_us, number) for action in actions if isinstance(action, api.Subscribe)]
        if queue and now_us % turn_us < 20_000:
            asked_us, number = queue.pop(0)
            late = now_us - asked_us > SECOND
            kind = api.EndpointUpdateKind.FAILED if late else api.EndpointUpdateKind.FULL
            inbox[number] = [endpoint_update(entry("h1"), kind=kind)]
            learned |= set() if late else {number}
    return len(learned)


def test_asks_of_a_crowd_that_starts_at_once_do_not_jam_the_directory() -> None:
    """After a mass kill some heard nothing of the list for 16 s: all asked and failed at the same times."""
    assert served_asks(40, 8, 12) == 40
    assert served_asks(3, 8, 1) == 3, "a few need not wait for each other"


class Watched(Checker):
    """Notes whose idle connections are closed."""

    closed: tuple[str, ...] = ()

    def step(self, now_us: int, events: Sequence[api.Event] = ()) -> list[api.Action]:
        actions = super().step(now_us, events)
        self.closed += tuple(action.host for action in actions if isinstance(action, api.CloseIdle))
        return actions


def test_an_outage_is_no_sign_of_full_connection_tables() -> None:
    """While some destinations refused connections, idle ones to all others were closed after every call."""
    checker = Watched(settings(max_held_messages=500))
    checker.step(0, [endpoint_update(*(entry(f"h{n}", dest=n) for n in range(8)))])

    def answer(_now_us: int, send: api.Send, _attempt: int) -> tuple[api.Verdict, int]:
        return (api.Verdict.OK if send.host == "h0" else DOWN), 40_000

    log = drive(checker, 8 * SECOND, steady(200_000, dests=tuple(range(8))), answer)
    assert sum(send.host != "h0" for _, send in log) >= 12, "trials go on"
    assert checker.closed.count("h0") <= 4, "only until it shows that the others are down"
