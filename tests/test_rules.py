"""Delivery rules of the decision engine, one by one, on scripted event sequences."""

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


def run_timers(checker: Checker, start_us: int, until_us: int, gap_us: int = 20_000) -> list[api.Action]:
    """Run steps with timers only and return all actions."""
    actions: list[api.Action] = []
    for now_us in range(start_us, until_us, gap_us):
        actions += checker.step(now_us, [api.TimerDue()])
    return actions


def test_a_message_is_sent_once_and_a_success_gets_no_further_answer() -> None:
    checker = Checker(settings())
    [send] = sends(checker.step(0, [endpoint_update(entry("h1")), arrival("m1")]))
    assert send.host == "h1"
    assert not [
        a for a in checker.step(100_000, [attempt_outcome(send)]) if isinstance(a, api.Fail | api.Refuse)
    ]


def test_without_a_usable_endpoint_a_message_is_held_then_answered() -> None:
    checker = Checker(settings())
    assert not sends(checker.step(0, [endpoint_update(), arrival("m1")]))
    actions = run_timers(checker, 20_000, 7 * SECOND)
    assert [type(a) for a in actions if not isinstance(a, api.SetTimer)] == [api.Refuse]


def test_a_new_endpoint_gets_held_messages() -> None:
    checker = Checker(settings())
    checker.step(0, [endpoint_update(), arrival("m1")])
    assert sends(checker.step(SECOND, [endpoint_update(entry("h1"), kind=Kind.CHANGES)]))


@pytest.mark.parametrize("verdict", [Verdict.TIMEOUT, Verdict.ERROR, Verdict.RESET, Verdict.CANCELLED])
def test_an_unsafe_message_in_doubt_fails_at_once(verdict: Verdict) -> None:
    checker = Checker(settings())
    [send] = sends(checker.step(0, [endpoint_update(entry("h1"), entry("h2")), arrival("m1", UNSAFE)]))
    assert api.Fail("m1") in checker.step(SECOND, [attempt_outcome(send, verdict)])


@pytest.mark.parametrize("verdict", [Verdict.FULL, Verdict.CONNECT_FAILED, Verdict.NOT_SENT])
def test_an_unsafe_message_that_never_ran_is_retried(verdict: Verdict) -> None:
    checker = Checker(settings())
    [send] = sends(checker.step(0, [endpoint_update(entry("h1"), entry("h2")), arrival("m1", UNSAFE)]))
    actions = checker.step(50_000, [attempt_outcome(send, verdict)]) + run_timers(checker, 70_000, 3 * SECOND)
    assert sends(actions)


def test_a_keyed_message_is_not_sent_past_its_window() -> None:
    checker = Checker(settings())
    [send] = sends(checker.step(0, [endpoint_update(entry("h1")), arrival("m1", KEYED)]))
    actions = checker.step(4_100_000, [attempt_outcome(send, Verdict.TIMEOUT)])
    assert not sends(actions)
    assert [a for a in actions if isinstance(a, api.Fail)], (
        "the key is forgotten before the deadline: a retry might run a second time"
    )


def test_a_zoned_key_stays_in_its_zone() -> None:
    checker = Checker(settings())
    first = sends(
        checker.step(0, [endpoint_update(entry("h1", zone="a"), entry("h2", zone="b")), arrival("m1", ZONED)])
    )[0]
    actions = checker.step(SECOND, [attempt_outcome(first, Verdict.TIMEOUT)])
    actions += run_timers(checker, SECOND + 20_000, 5 * SECOND)
    assert {s.host for s in sends(actions)} == {first.host}


def test_draining_and_gone_endpoints_get_nothing() -> None:
    checker = Checker(settings())
    checker.step(0, [endpoint_update(entry("h1"), entry("h2"))])
    checker.step(10_000, [endpoint_update(entry("h1", listing=Listing.DRAINING), kind=Kind.CHANGES)])
    assert {s.host for s in sends(checker.step(20_000, [arrival("m1"), arrival("m2")]))} == {"h2"}
    checker.step(30_000, [endpoint_update(entry("h3"))])
    assert {s.host for s in sends(checker.step(40_000, [arrival("m3")]))} == {"h3"}


def test_a_retry_after_wait_applies_to_the_whole_destination() -> None:
    checker = Checker(settings())
    [send] = sends(checker.step(0, [endpoint_update(entry("h1"), entry("h2")), arrival("m1")]))
    checker.step(50_000, [attempt_outcome(send, Verdict.FULL, retry_after_us=SECOND), arrival("m2")])
    assert not sends(run_timers(checker, 60_000, 1_050_000))
    # No limit is announced, so the wait may be due to an outage: the next call needs credit, which at the
    # latest is earned by time.
    assert sends(run_timers(checker, 1_050_000, SECOND + checker.relay.budget.time_per_call_us))


def test_a_retry_after_wait_on_a_separate_route_leaves_the_other_free() -> None:
    checker = Checker(settings())
    hosts = endpoint_update(entry("h1", kind="split"), entry("h2", kind="split"))
    [send] = sends(checker.step(0, [hosts, arrival("m1")]))
    [again] = sends(checker.step(50_000, [attempt_outcome(send, Verdict.FULL, retry_after_us=SECOND)]))
    assert again.host != send.host


def test_a_wait_beyond_the_deadline_is_answered_at_once() -> None:
    checker = Checker(settings())
    [send] = sends(checker.step(0, [endpoint_update(entry("h1")), arrival("m1")]))
    actions = checker.step(50_000, [attempt_outcome(send, Verdict.FULL, retry_after_us=30 * SECOND)])
    assert [a for a in actions if isinstance(a, api.Refuse)]


def test_key_order_sends_one_at_a_time_and_pauses_after_a_timeout() -> None:
    checker = Checker(settings())
    batch: list[api.Event] = [
        endpoint_update(entry("h1")),
        arrival("m1", ORDERED, key="k"),
        arrival("m2", ORDERED, key="k"),
    ]
    [send] = sends(checker.step(0, batch))
    assert send.id == "m1"
    actions = checker.step(SECOND, [attempt_outcome(send, Verdict.TIMEOUT)]) + run_timers(
        checker, SECOND, 4 * SECOND
    )
    [again] = sends(actions)
    assert again.id == "m1", "the first message of the key may be retried"
    actions = checker.step(4 * SECOND, [attempt_outcome(again, attempt=1)])
    actions += run_timers(checker, 4 * SECOND, 10 * SECOND)
    assert [s.id for s in sends(actions)] == ["m2"], "a recovering endpoint gets it a little later"


def test_key_order_pauses_when_the_earlier_message_ended_in_doubt() -> None:
    checker = Checker(settings(max_attempts=1))
    batch: list[api.Event] = [
        endpoint_update(entry("h1")),
        arrival("m1", ORDERED, key="k"),
        arrival("m2", ORDERED, key="k"),
    ]
    [send] = sends(checker.step(0, batch))
    checker.step(SECOND, [attempt_outcome(send, Verdict.TIMEOUT)])
    assert not sends(run_timers(checker, SECOND, SECOND + 700_000))
    assert sends(run_timers(checker, SECOND + 700_000, 4 * SECOND))


def calls_after_recovery(group_size: int) -> int:
    """Count the calls in the first two seconds after an outage without responses, with a backlog."""
    config = settings(group_size=group_size, rate_hints_given=True, fall_multiple=2.0, cold_from=0.2)
    checker = Checker(config)
    checker.step(0, [endpoint_update(entry("h1", rate_hint=10.0))])
    out = sends(checker.step(0, [arrival("w", KEYED)]))
    checker.step(100_000, [attempt_outcome(out[0])])
    now_us, count = 200_000, 0
    in_flight: list[tuple[int, api.Send, int]] = []
    message_count = 0
    recovered_us = 0
    while now_us < 12 * SECOND:
        events: list[api.Event] = []
        for sent_us, send, attempt in list(in_flight):
            if now_us >= 6 * SECOND and now_us - sent_us >= 100_000:
                events.append(attempt_outcome(send, attempt=attempt))
                recovered_us = recovered_us or now_us
                in_flight.remove((sent_us, send, attempt))
            elif now_us < 6 * SECOND and now_us - sent_us >= 200_000:
                events.append(attempt_outcome(send, Verdict.CONNECT_FAILED, attempt))
                in_flight.remove((sent_us, send, attempt))
        if message_count < 50 and now_us > 300_000:
            message_count += 1
            events.append(arrival(f"m{message_count}", KEYED))
        for send in sends(checker.step(now_us, [api.TimerDue(), *events])):
            in_flight.append((now_us, send, len(checker.messages[send.id].attempts) - 1))
            count += bool(recovered_us and now_us < recovered_us + 2 * SECOND)
        now_us += 20_000
    assert recovered_us, "the relay must notice the recovery"
    return count


@pytest.mark.parametrize("group_size", [1, 2, 4])
def test_a_recovering_destination_gets_at_most_this_relays_share(group_size: int) -> None:
    # fall_multiple 2 x at most (0.2 + 0.8 x 2/10) of 10 calls/s x 2 s, plus the call that noticed it
    assert calls_after_recovery(group_size) <= 2.0 * 0.36 * 10 * 2 / group_size + 1


def test_the_backlog_bound_refuses_the_least_valuable_messages() -> None:
    checker = Checker(settings(max_held_messages=10))
    batch: list[api.Event] = [arrival(f"m{n}", KEYED if n % 2 else SAFE) for n in range(20)]
    refused = [a for a in checker.step(0, batch) if isinstance(a, api.Refuse)]
    assert len(refused) >= 10
    names = [checker.messages[a.id].cls.name for a in refused]
    assert names.count("post") == 10, "the class of lower worth is refused first"


def test_subscribes_to_the_directory_again_after_failures() -> None:
    checker = Checker(settings(must_subscribe=True, ask_within_us=10 * SECOND))
    assert api.Subscribe() in checker.step(0, [endpoint_update(entry("h1"), kind=Kind.CACHED)])
    for turn in range(1, 8):
        actions = checker.step(turn * 10 * SECOND, [api.EndpointUpdate(Kind.FAILED)])
        actions += run_timers(checker, turn * 10 * SECOND + 20_000, turn * 10 * SECOND + 4 * SECOND)
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
