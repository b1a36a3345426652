"""The phases of one endpoint's slow start, alone: what leads from one to the next, and what may be sent."""

from __future__ import annotations

import pytest

from mossfront.slow_start import (
    CONFIRM_US,
    RECENT_US,
    Budget,
    EndpointTraffic,
    Phase,
    SlowStart,
    share_notified,
)
from tests.support import SECOND

BUDGET = Budget(
    senders=50,
    collapse_multiple=1.5,
    collapse_window_us=3 * SECOND,
    cold_capacity_share=0.27,
    warm_up_us=13 * SECOND,
)
LOAD = EndpointTraffic(0.5, 0.5)


def phase(slow: SlowStart) -> Phase:
    """Its phase now."""
    return slow.phase


def failed(slow: SlowStart, now_us: int, sent_us: int = -1, **named: bool) -> None:
    """A call has failed that was made just before, with the least credit to begin with."""
    sent_us = now_us - 1000 if sent_us < 0 else sent_us
    slow.on_failure(now_us, sent_us, BUDGET, LOAD, 1.0, reason="reset", **named)


def down(now_us: int = 10 * SECOND) -> SlowStart:
    """An endpoint that two calls have found out."""
    slow = SlowStart()
    failed(slow, now_us - SECOND)
    failed(slow, now_us)
    assert phase(slow) is Phase.DOWN
    return slow


def test_a_first_failure_is_a_suspicion_and_a_second_call_an_outage() -> None:
    slow = SlowStart()
    failed(slow, 10 * SECOND)
    assert phase(slow) is Phase.SUSPECT
    failed(slow, 11 * SECOND, sent_us=9 * SECOND)  # it was out beside the first one
    assert phase(slow) is Phase.SUSPECT
    failed(slow, 12 * SECOND)
    assert phase(slow) is Phase.DOWN


def test_one_call_may_tell_at_once_and_a_second_one_needs_credit() -> None:
    slow = SlowStart()
    failed(slow, 10 * SECOND)
    slow.confirm_by(10 * SECOND + CONFIRM_US)
    assert not slow.needs_credit(10 * SECOND)
    slow.spend(10 * SECOND, BUDGET, 1.0, first=True)
    assert slow.needs_credit(10 * SECOND)
    change = slow.on_success(10 * SECOND + 50_000, 10 * SECOND, BUDGET)
    assert change is not None and (change.before, change.after) == (Phase.SUSPECT, Phase.HEALTHY)


def test_a_success_long_behind_a_failure_is_a_return() -> None:
    slow = SlowStart()
    failed(slow, 10 * SECOND)
    slow.confirm_by(10 * SECOND + CONFIRM_US)
    slow.on_success(20 * SECOND, 19 * SECOND, BUDGET)
    assert phase(slow) is Phase.SLOW_START and slow.cold_since_us == 20 * SECOND


def test_a_failure_beside_successes_limits_nothing_until_they_stop() -> None:
    slow = SlowStart()
    slow.on_success(10 * SECOND, 9 * SECOND, BUDGET)
    failed(slow, 11 * SECOND)
    assert phase(slow) is Phase.SUSPECT and not slow.needs_credit(11 * SECOND)
    assert slow.needs_credit(10 * SECOND + RECENT_US + 1)


def test_while_it_is_down_a_message_earns_its_part_of_the_budget() -> None:
    slow, now = down(), 10 * SECOND
    calls = 0
    for _ in range(1000):
        now += 100_000
        slow.on_message(now, BUDGET, EndpointTraffic(10.0, 10.0), 1.0)
        if now >= slow.next_call_us(now, BUDGET):
            slow.spend(now, BUDGET, 1.0, first=True)
            calls += 1
    assert calls == pytest.approx(1000 * 1.5 * 0.27, abs=5)


def test_what_a_message_earns_grows_while_the_endpoint_warms() -> None:
    earned = [BUDGET.credit_per_message(at * SECOND) for at in range(15)]
    assert earned == sorted(earned)
    assert earned[0] == pytest.approx(1.5 * 0.27)
    assert earned[13] == earned[14] == pytest.approx(1.5)


def test_without_messages_the_whole_group_earns_no_more_than_one_call_in_a_fall() -> None:
    slow, now = down(), 10 * SECOND
    slow.spend(now, BUDGET, 1.0, first=True)
    assert slow.next_call_us(now, BUDGET) - now >= BUDGET.collapse_window_us * BUDGET.senders


def test_credit_is_not_saved_up() -> None:
    slow, now = down(), 1000 * SECOND
    for _ in range(100):
        slow.on_message(now, BUDGET, EndpointTraffic(10.0, 10.0), 1.0)
    slow.spend(now, BUDGET, 1.0, first=True)
    assert now < slow.next_call_us(now, BUDGET)


def test_a_sender_with_little_traffic_speaks_for_fewer_that_were_notified() -> None:
    assert share_notified(0.01, 10 * SECOND) < 0.1
    assert share_notified(5.0, 10 * SECOND) > 0.99
    rare, busy = down(), down()
    for slow, per_s in ((rare, 0.03), (busy, 3.0)):
        slow.on_message(10 * SECOND, BUDGET, EndpointTraffic(per_s, per_s), 1.0)
    assert rare.next_call_us(10 * SECOND, BUDGET) < busy.next_call_us(10 * SECOND, BUDGET)


def test_a_failure_in_a_slow_start_beside_successes_keeps_its_clock() -> None:
    slow = down()
    slow.on_success(12 * SECOND, 11 * SECOND, BUDGET)
    failed(slow, 13 * SECOND)
    assert phase(slow) is Phase.SLOW_START and slow.cold_since_us == 12 * SECOND
    failed(slow, 13 * SECOND, outage=True)
    assert phase(slow) is Phase.DOWN


def test_a_slow_start_lasts_until_it_is_warm_and_a_fall_longer() -> None:
    slow = down()
    slow.on_success(12 * SECOND, 11 * SECOND, BUDGET)
    slow.on_success(27 * SECOND, 26 * SECOND, BUDGET)
    assert phase(slow) is Phase.SLOW_START
    slow.on_success(28 * SECOND + 1, 27 * SECOND, BUDGET)
    assert phase(slow) is Phase.HEALTHY and not slow.needs_credit(29 * SECOND)


@pytest.mark.parametrize("phase_before", [Phase.DOWN, Phase.SUSPECT, Phase.SLOW_START])
def test_a_new_process_goes_on_in_the_phase_of_the_former_one(phase_before: Phase) -> None:
    slow = SlowStart()
    slow.restore(5 * SECOND, BUDGET, 0.5, phase_before, cold_for_us=2 * SECOND)
    assert phase(slow) is phase_before and slow.needs_credit(5 * SECOND)
    assert slow.cold_since_us == (3 * SECOND if phase_before is Phase.SLOW_START else -1)


def test_a_new_process_earns_no_more_than_the_former_one_where_few_were_served() -> None:
    whole, half = SlowStart(), SlowStart()
    for slow, share in ((whole, 1.0), (half, 0.5)):
        slow.restore(0, BUDGET, 0.0, Phase.DOWN, served_share=share)
        slow.on_message(0, BUDGET, EndpointTraffic(10.0, 10.0), 1.0)
    assert whole.credit_available_in_us(0, BUDGET) < half.credit_available_in_us(0, BUDGET)


def test_a_sibling_that_has_not_just_served_is_doubted_until_one_call_is_served() -> None:
    slow = SlowStart()
    slow.on_sibling_failure(10 * SECOND, BUDGET, LOAD, 0.5, "s-2 failed")
    assert phase(slow) is Phase.SUSPECT and slow.needs_credit(10 * SECOND)
    slow.on_success(30 * SECOND, 29 * SECOND, BUDGET)
    assert phase(slow) is Phase.HEALTHY


def test_a_sibling_that_has_just_served_is_not_doubted() -> None:
    slow = SlowStart()
    slow.on_success(10 * SECOND, 9 * SECOND, BUDGET)
    assert slow.on_sibling_failure(11 * SECOND, BUDGET, LOAD, 0.5, "s-2 failed") is None
    assert phase(slow) is Phase.HEALTHY


def test_a_sibling_that_was_doubted_and_fails_itself_has_to_be_warm_before_it_is_healthy() -> None:
    slow = SlowStart()
    slow.on_sibling_failure(10 * SECOND, BUDGET, LOAD, 0.5, "s-2 failed")
    failed(slow, 11 * SECOND)
    slow.on_success(30 * SECOND, 29 * SECOND, BUDGET)
    assert phase(slow) is Phase.SLOW_START


def test_an_error_gives_a_busy_sender_its_call_back_and_a_rare_one_next_to_nothing() -> None:
    rare, busy = down(), down()
    for slow, per_s in ((rare, 0.03), (busy, 10.0)):
        slow.spend(10 * SECOND, BUDGET, 1.0, first=True)
        slow.refund(10 * SECOND, BUDGET, EndpointTraffic(per_s, per_s))
    assert busy.next_call_us(10 * SECOND, BUDGET) <= 10 * SECOND < rare.next_call_us(10 * SECOND, BUDGET)
