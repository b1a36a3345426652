"""The six rules, one by one, on scripted traces of the module alone."""

from __future__ import annotations

import pytest

from mossfront import interface as api
from tests.checker import Checker
from tests.support import (
    KEYED,
    ORDERED,
    SAFE,
    SECOND,
    UNSAFE,
    ZONED,
    arrival,
    attempt_outcome,
    endpoint_update,
    entry,
    sends,
    settings,
)

Listing = api.Listing
Verdict = api.Verdict
Kind = api.EndpointUpdateKind


def run_quiet(checker: Checker, start_us: int, until_us: int, gap_us: int = 20_000) -> list[api.Action]:
    """Let only timers pass and gather what the relay does."""
    actions: list[api.Action] = []
    for now_us in range(start_us, until_us, gap_us):
        actions += checker.step(now_us, [api.TimerDue()])
    return actions


def test_a_message_is_sent_once_and_a_success_needs_no_answer() -> None:
    checker = Checker(settings())
    [send] = sends(checker.step(0, [endpoint_update(entry("h1")), arrival("m1")]))
    assert send.host == "h1"
    assert not [
        a for a in checker.step(100_000, [attempt_outcome(send)]) if isinstance(a, api.Fail | api.Refuse)
    ]


def test_no_usable_endpoint_holds_then_answers() -> None:
    checker = Checker(settings())
    assert not sends(checker.step(0, [endpoint_update(), arrival("m1")]))
    actions = run_quiet(checker, 20_000, 7 * SECOND)
    assert [type(a) for a in actions if not isinstance(a, api.SetTimer)] == [api.Refuse]


def test_an_endpoint_that_appears_gets_what_is_held() -> None:
    checker = Checker(settings())
    checker.step(0, [endpoint_update(), arrival("m1")])
    assert sends(checker.step(SECOND, [endpoint_update(entry("h1"), kind=Kind.CHANGES)]))


@pytest.mark.parametrize("verdict", [Verdict.TIMEOUT, Verdict.ERROR, Verdict.RESET, Verdict.CANCELLED])
def test_an_unsafe_message_that_may_have_run_fails_at_once(verdict: Verdict) -> None:
    checker = Checker(settings())
    [send] = sends(checker.step(0, [endpoint_update(entry("h1"), entry("h2")), arrival("m1", UNSAFE)]))
    assert api.Fail("m1") in checker.step(SECOND, [attempt_outcome(send, verdict)])


@pytest.mark.parametrize("verdict", [Verdict.FULL, Verdict.CONNECT_FAILED, Verdict.NOT_SENT])
def test_an_unsafe_message_that_never_ran_goes_again(verdict: Verdict) -> None:
    checker = Checker(settings())
    [send] = sends(checker.step(0, [endpoint_update(entry("h1"), entry("h2")), arrival("m1", UNSAFE)]))
    actions = checker.step(50_000, [attempt_outcome(send, verdict)]) + run_quiet(checker, 70_000, 3 * SECOND)
    assert sends(actions)


def test_a_keyed_message_is_not_sent_past_its_window() -> None:
    checker = Checker(settings())
    [send] = sends(checker.step(0, [endpoint_update(entry("h1")), arrival("m1", KEYED)]))
    actions = checker.step(4_100_000, [attempt_outcome(send, Verdict.TIMEOUT)])
    assert not sends(actions)
    assert [a for a in actions if isinstance(a, api.Refuse)], "scope all: handing back is harmless"


def test_a_zoned_key_stays_in_its_zone() -> None:
    checker = Checker(settings())
    first = sends(
        checker.step(0, [endpoint_update(entry("h1", zone="a"), entry("h2", zone="b")), arrival("m1", ZONED)])
    )[0]
    actions = checker.step(SECOND, [attempt_outcome(first, Verdict.TIMEOUT)])
    actions += run_quiet(checker, SECOND + 20_000, 5 * SECOND)
    assert {s.host for s in sends(actions)} == {first.host}


def test_draining_and_gone_endpoints_get_nothing() -> None:
    checker = Checker(settings())
    checker.step(0, [endpoint_update(entry("h1"), entry("h2"))])
    checker.step(10_000, [endpoint_update(entry("h1", listing=Listing.DRAINING), kind=Kind.CHANGES)])
    assert {s.host for s in sends(checker.step(20_000, [arrival("m1"), arrival("m2")]))} == {"h2"}
    checker.step(30_000, [endpoint_update(entry("h3"))])
    assert {s.host for s in sends(checker.step(40_000, [arrival("m3")]))} == {"h3"}


def test_a_told_wait_is_kept_for_the_whole_destination() -> None:
    checker = Checker(settings())
    [send] = sends(checker.step(0, [endpoint_update(entry("h1"), entry("h2")), arrival("m1")]))
    checker.step(50_000, [attempt_outcome(send, Verdict.FULL, retry_after_us=SECOND), arrival("m2")])
    assert not sends(run_quiet(checker, 60_000, 1_050_000))
    # No limit is told there, so the wait may be an outage's: the next call is earned, at the latest by time.
    assert sends(run_quiet(checker, 1_050_000, SECOND + checker.relay.budget.time_per_call_us))


def test_a_told_wait_on_a_separate_route_leaves_the_other_free() -> None:
    checker = Checker(settings())
    hosts = endpoint_update(entry("h1", kind="split"), entry("h2", kind="split"))
    [send] = sends(checker.step(0, [hosts, arrival("m1")]))
    [again] = sends(checker.step(50_000, [attempt_outcome(send, Verdict.FULL, retry_after_us=SECOND)]))
    assert again.host != send.host


def test_a_wait_past_the_messages_time_is_answered_at_once() -> None:
    checker = Checker(settings())
    [send] = sends(checker.step(0, [endpoint_update(entry("h1")), arrival("m1")]))
    actions = checker.step(50_000, [attempt_outcome(send, Verdict.FULL, retry_after_us=30 * SECOND)])
    assert [a for a in actions if isinstance(a, api.Refuse)]


def test_order_by_key_one_at_a_time_and_a_rest_after_a_timeout() -> None:
    checker = Checker(settings())
    batch: list[api.Event] = [
        endpoint_update(entry("h1")),
        arrival("m1", ORDERED, key="k"),
        arrival("m2", ORDERED, key="k"),
    ]
    [send] = sends(checker.step(0, batch))
    assert send.id == "m1"
    actions = checker.step(SECOND, [attempt_outcome(send, Verdict.TIMEOUT)]) + run_quiet(
        checker, SECOND, 4 * SECOND
    )
    [again] = sends(actions)
    assert again.id == "m1", "the one that has the turn may go again"
    actions = checker.step(4 * SECOND, [attempt_outcome(again, attempt=1)])
    actions += run_quiet(checker, 4 * SECOND, 10 * SECOND)
    assert [s.id for s in sends(actions)] == ["m2"], "what may be back from an outage gets it a little later"


def test_order_rests_when_the_earlier_message_ended_unsettled() -> None:
    checker = Checker(settings(max_attempts=1))
    batch: list[api.Event] = [
        endpoint_update(entry("h1")),
        arrival("m1", ORDERED, key="k"),
        arrival("m2", ORDERED, key="k"),
    ]
    [send] = sends(checker.step(0, batch))
    checker.step(SECOND, [attempt_outcome(send, Verdict.TIMEOUT)])
    assert not sends(run_quiet(checker, SECOND, SECOND + 700_000))
    assert sends(run_quiet(checker, SECOND + 700_000, 4 * SECOND))


def returning_calls(group_size: int) -> int:
    """Calls in the first two seconds after a silent outage, with a backlog waiting."""
    config = settings(group_size=group_size, rate_hints_given=True, fall_multiple=2.0, cold_from=0.2)
    checker = Checker(config)
    checker.step(0, [endpoint_update(entry("h1", rate_hint=10.0))])
    out = sends(checker.step(0, [arrival("w", KEYED)]))
    checker.step(100_000, [attempt_outcome(out[0])])
    now_us, count = 200_000, 0
    waiting: list[tuple[int, api.Send, int]] = []
    serial = 0
    back_us = 0
    while now_us < 12 * SECOND:
        events: list[api.Event] = []
        for sent_us, send, attempt in list(waiting):
            if now_us >= 6 * SECOND and now_us - sent_us >= 100_000:
                events.append(attempt_outcome(send, attempt=attempt))
                back_us = back_us or now_us
                waiting.remove((sent_us, send, attempt))
            elif now_us < 6 * SECOND and now_us - sent_us >= 200_000:
                events.append(attempt_outcome(send, Verdict.CONNECT_FAILED, attempt))
                waiting.remove((sent_us, send, attempt))
        if serial < 50 and now_us > 300_000:
            serial += 1
            events.append(arrival(f"m{serial}", KEYED))
        for send in sends(checker.step(now_us, [api.TimerDue(), *events])):
            waiting.append((now_us, send, len(checker.messages[send.id].attempts) - 1))
            count += bool(back_us and now_us < back_us + 2 * SECOND)
        now_us += 20_000
    assert back_us, "the relay has to find out that it is back"
    return count


@pytest.mark.parametrize("group_size", [1, 2, 4])
def test_a_returning_destination_gets_no_more_than_this_relays_part(group_size: int) -> None:
    # multiple 2 x at most (0.2 + 0.8 x 2/10) of 10 calls/s x 2 s, and one for the call that found out
    assert returning_calls(group_size) <= 2.0 * 0.36 * 10 * 2 / group_size + 1


def test_the_held_bound_refuses_the_least_worthy() -> None:
    checker = Checker(settings(max_held_messages=10))
    batch: list[api.Event] = [arrival(f"m{n}", KEYED if n % 2 else SAFE) for n in range(20)]
    refused = [a for a in checker.step(0, batch) if isinstance(a, api.Refuse)]
    assert len(refused) >= 10
    names = [checker.messages[a.id].cls.name for a in refused]
    assert names.count("post") == 10, "the class worth less goes first"


def test_ask_discovery_subscribes_and_asks_again_after_failures() -> None:
    checker = Checker(settings(must_subscribe=True, ask_within_us=10 * SECOND))
    assert api.Subscribe() in checker.step(0, [endpoint_update(entry("h1"), kind=Kind.CACHED)])
    for turn in range(1, 8):
        actions = checker.step(turn * 10 * SECOND, [api.EndpointUpdate(Kind.FAILED)])
        actions += run_quiet(checker, turn * 10 * SECOND + 20_000, turn * 10 * SECOND + 4 * SECOND)
        assert [a for a in actions if isinstance(a, api.Subscribe)]


def test_unknown_ids_and_late_outcomes_are_ignored() -> None:
    checker = Checker(settings())
    checker.relay.step(
        0,
        [
            api.Outcome("x", 0, "nowhere", Verdict.OK, 5),
            api.MessageWithdrawn("y"),
            api.ProbeResult("nowhere", Verdict.OK, 5),
            api.Arrival("z", 1, "no class", 5),
        ],
    )
    [send] = sends(checker.step(10, [endpoint_update(entry("h1")), arrival("m1")]))
    checker.step(20, [api.MessageWithdrawn("m1")])
    late = checker.step(30, [attempt_outcome(send, Verdict.TIMEOUT)])
    assert not [a for a in late if isinstance(a, api.Fail | api.Refuse)]
