"""The phases of one endpoint's slow start: their transitions, and when a call may be made."""

from __future__ import annotations

import pytest

from mossfront.slow_start import (
    CONFIRMATION_WINDOW_US,
    RECENT_SUCCESS_US,
    Budget,
    EndpointTraffic,
    Phase,
    SlowStart,
    notified_share,
)
from tests.support import SECOND

BUDGET = Budget(
    senders=50,
    collapse_multiple=1.5,
    collapse_window_us=3 * SECOND,
    cold_capacity_share=0.27,
    warm_up_us=13 * SECOND,
)
TRAFFIC = EndpointTraffic(0.5, 0.5)


def phase(slow: SlowStart) -> Phase:
    """Return the present phase."""
    return slow.phase


def fail_call(slow: SlowStart, now_us: int, sent_us: int = -1, **named: bool) -> None:
    """Record a failed call, made 1 ms before unless ``sent_us`` is given, with the initial credit 1."""
    sent_us = now_us - 1000 if sent_us < 0 else sent_us
    slow.on_failure(now_us, sent_us, BUDGET, TRAFFIC, 1.0, reason="reset", **named)


def new_down_endpoint(now_us: int = 10 * SECOND) -> SlowStart:
    """Return an endpoint that is down after two failed calls."""
    slow = SlowStart()
    fail_call(slow, now_us - SECOND)
    fail_call(slow, now_us)
    assert phase(slow) is Phase.DOWN
    return slow


def test_first_failure_is_suspicion_and_later_call_confirms_outage() -> None:
    slow = SlowStart()
    fail_call(slow, 10 * SECOND)
    assert phase(slow) is Phase.SUSPECT
    fail_call(slow, 11 * SECOND, sent_us=9 * SECOND)  # was in flight at the first failure
    assert phase(slow) is Phase.SUSPECT
    fail_call(slow, 12 * SECOND)
    assert phase(slow) is Phase.DOWN


def test_one_confirmation_call_is_free() -> None:
    slow = SlowStart()
    fail_call(slow, 10 * SECOND)
    slow.confirm_by(10 * SECOND + CONFIRMATION_WINDOW_US)
    assert not slow.needs_credit(10 * SECOND)
    slow.spend(10 * SECOND, BUDGET, 1.0, first=True)
    assert slow.needs_credit(10 * SECOND)
    change = slow.on_success(10 * SECOND + 50_000, 10 * SECOND, BUDGET)
    assert change is not None and (change.before, change.after) == (Phase.SUSPECT, Phase.HEALTHY)


def test_success_long_after_failure_starts_slow_start() -> None:
    slow = SlowStart()
    fail_call(slow, 10 * SECOND)
    slow.confirm_by(10 * SECOND + CONFIRMATION_WINDOW_US)
    slow.on_success(20 * SECOND, 19 * SECOND, BUDGET)
    assert phase(slow) is Phase.SLOW_START and slow.cold_since_us == 20 * SECOND


def test_failure_limits_nothing_while_others_succeed() -> None:
    slow = SlowStart()
    slow.on_success(10 * SECOND, 9 * SECOND, BUDGET)
    fail_call(slow, 11 * SECOND)
    assert phase(slow) is Phase.SUSPECT and not slow.needs_credit(11 * SECOND)
    assert slow.needs_credit(10 * SECOND + RECENT_SUCCESS_US + 1)


def test_message_earns_its_share_of_budget_while_down() -> None:
    slow, now = new_down_endpoint(), 10 * SECOND
    calls = 0
    for _ in range(1000):
        now += 100_000
        slow.on_message(now, BUDGET, EndpointTraffic(10.0, 10.0), 1.0)
        if now >= slow.next_call_us(now, BUDGET):
            slow.spend(now, BUDGET, 1.0, first=True)
            calls += 1
    assert calls == pytest.approx(1000 * 1.5 * 0.27, abs=5)


def test_credit_per_message_grows_during_warm_up() -> None:
    earned = [BUDGET.credit_per_message(at * SECOND) for at in range(15)]
    assert earned == sorted(earned)
    assert earned[0] == pytest.approx(1.5 * 0.27)
    assert earned[13] == earned[14] == pytest.approx(1.5)


def test_group_without_messages_earns_at_most_one_call_per_window() -> None:
    slow, now = new_down_endpoint(), 10 * SECOND
    slow.spend(now, BUDGET, 1.0, first=True)
    assert slow.next_call_us(now, BUDGET) - now >= BUDGET.collapse_window_us * BUDGET.senders


def test_credit_does_not_accumulate() -> None:
    slow, now = new_down_endpoint(), 1000 * SECOND
    for _ in range(100):
        slow.on_message(now, BUDGET, EndpointTraffic(10.0, 10.0), 1.0)
    slow.spend(now, BUDGET, 1.0, first=True)
    assert now < slow.next_call_us(now, BUDGET)


def test_rare_sender_assumes_smaller_notified_share() -> None:
    assert notified_share(0.01, 10 * SECOND) < 0.1
    assert notified_share(5.0, 10 * SECOND) > 0.99
    rare, busy = new_down_endpoint(), new_down_endpoint()
    for slow, per_s in ((rare, 0.03), (busy, 3.0)):
        slow.on_message(10 * SECOND, BUDGET, EndpointTraffic(per_s, per_s), 1.0)
    assert rare.next_call_us(10 * SECOND, BUDGET) < busy.next_call_us(10 * SECOND, BUDGET)


def test_single_failure_in_slow_start_keeps_return_time() -> None:
    slow = new_down_endpoint()
    slow.on_success(12 * SECOND, 11 * SECOND, BUDGET)
    fail_call(slow, 13 * SECOND)
    assert phase(slow) is Phase.SLOW_START and slow.cold_since_us == 12 * SECOND
    fail_call(slow, 13 * SECOND, outage=True)
    assert phase(slow) is Phase.DOWN


def test_slow_start_lasts_warm_up_plus_collapse_window() -> None:
    slow = new_down_endpoint()
    slow.on_success(12 * SECOND, 11 * SECOND, BUDGET)
    slow.on_success(27 * SECOND, 26 * SECOND, BUDGET)
    assert phase(slow) is Phase.SLOW_START
    slow.on_success(28 * SECOND + 1, 27 * SECOND, BUDGET)
    assert phase(slow) is Phase.HEALTHY and not slow.needs_credit(29 * SECOND)


@pytest.mark.parametrize("phase_before", [Phase.DOWN, Phase.SUSPECT, Phase.SLOW_START])
def test_restore_continues_in_former_phase(phase_before: Phase) -> None:
    slow = SlowStart()
    slow.restore(5 * SECOND, BUDGET, 0.5, phase_before, cold_for_us=2 * SECOND)
    assert phase(slow) is phase_before and slow.needs_credit(5 * SECOND)
    assert slow.cold_since_us == (3 * SECOND if phase_before is Phase.SLOW_START else -1)


def test_restored_served_share_reduces_credit() -> None:
    whole, half = SlowStart(), SlowStart()
    for slow, share in ((whole, 1.0), (half, 0.5)):
        slow.restore(0, BUDGET, 0.0, Phase.DOWN, served_share=share)
        slow.on_message(0, BUDGET, EndpointTraffic(10.0, 10.0), 1.0)
    assert whole.credit_available_in_us(0, BUDGET) < half.credit_available_in_us(0, BUDGET)


def test_sibling_without_recent_success_is_suspect_until_one_success() -> None:
    slow = SlowStart()
    slow.on_sibling_failure(10 * SECOND, BUDGET, TRAFFIC, 0.5, "s-2 failed")
    assert phase(slow) is Phase.SUSPECT and slow.needs_credit(10 * SECOND)
    slow.on_success(30 * SECOND, 29 * SECOND, BUDGET)
    assert phase(slow) is Phase.HEALTHY


def test_sibling_with_recent_success_stays_healthy() -> None:
    slow = SlowStart()
    slow.on_success(10 * SECOND, 9 * SECOND, BUDGET)
    assert slow.on_sibling_failure(11 * SECOND, BUDGET, TRAFFIC, 0.5, "s-2 failed") is None
    assert phase(slow) is Phase.HEALTHY


def test_suspect_sibling_that_fails_goes_through_slow_start() -> None:
    slow = SlowStart()
    slow.on_sibling_failure(10 * SECOND, BUDGET, TRAFFIC, 0.5, "s-2 failed")
    fail_call(slow, 11 * SECOND)
    slow.on_success(30 * SECOND, 29 * SECOND, BUDGET)
    assert phase(slow) is Phase.SLOW_START


def test_refund_is_whole_for_busy_sender_and_small_for_rare_one() -> None:
    rare, busy = new_down_endpoint(), new_down_endpoint()
    for slow, per_s in ((rare, 0.03), (busy, 10.0)):
        slow.spend(10 * SECOND, BUDGET, 1.0, first=True)
        slow.refund(10 * SECOND, BUDGET, EndpointTraffic(per_s, per_s))
    assert busy.next_call_us(10 * SECOND, BUDGET) <= 10 * SECOND < rare.next_call_us(10 * SECOND, BUDGET)
