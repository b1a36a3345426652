"""Credit for calls: fractions are kept, whole calls lapse, and a waiting group holds few calls."""

from __future__ import annotations

import random

import pytest

from mossfront.call_credit import LAPSE_FRACTION, CallCredit
from tests.support import SECOND

COLLAPSE_WINDOW_US = 3 * SECOND
TIME_PER_CALL_US = 50 * COLLAPSE_WINDOW_US  # of one sender in a group of fifty
LAPSE_US = int(LAPSE_FRACTION * COLLAPSE_WINDOW_US)


def new_credit(fraction: float, call_weight: float = 1.0) -> CallCredit:
    """Return credit that begins with that fraction of a call."""
    credit = CallCredit()
    credit.begin(0, fraction, COLLAPSE_WINDOW_US, call_weight)
    return credit


def call_available(credit: CallCredit, now_us: int) -> bool:
    """Whether a call can be made now."""
    return credit.next_call_us(now_us, TIME_PER_CALL_US) <= now_us


def spend_available_calls(credit: CallCredit, now_us: int, time_per_call_us: int) -> int:
    """Spend all calls that can be made now and return their number."""
    calls = 0
    while credit.next_call_us(now_us, time_per_call_us) <= now_us:
        credit.spend(now_us, 1.0, time_per_call_us)
        calls += 1
    return calls


def test_fractions_add_up_to_a_call() -> None:
    credit = new_credit(0.0)
    for earned in range(3):
        assert not call_available(credit, earned)
        credit.earn(earned, 0.4, TIME_PER_CALL_US, keep_one=True)
    assert call_available(credit, 3)


def test_whole_call_lapses_and_fraction_stays() -> None:
    credit = new_credit(0.9)
    credit.earn(0, 0.4, TIME_PER_CALL_US, keep_one=True)
    assert call_available(credit, LAPSE_US) and not call_available(credit, LAPSE_US + 1)
    credit.earn(LAPSE_US + 1, 0.75, TIME_PER_CALL_US, keep_one=True)
    assert call_available(credit, LAPSE_US + 1)


def test_call_is_spent_once() -> None:
    credit = new_credit(0.5)
    credit.earn(0, 0.6, TIME_PER_CALL_US, keep_one=True)
    credit.spend(0, 1.0, TIME_PER_CALL_US)
    assert not call_available(credit, 0)


def test_excess_weight_is_debited() -> None:
    credit = new_credit(0.0)
    credit.earn(0, 1.0, TIME_PER_CALL_US, keep_one=True)
    credit.spend(0, 1.8, TIME_PER_CALL_US)
    credit.earn(0, 1.7, TIME_PER_CALL_US, keep_one=True)
    assert not call_available(credit, 0)
    credit.earn(0, 0.2, TIME_PER_CALL_US, keep_one=True)
    assert call_available(credit, 0)


def test_batch_call_needs_its_mean_weight_and_refunds_the_rest() -> None:
    credit = new_credit(0.0, call_weight=1.5)
    credit.earn(0, 1.4, TIME_PER_CALL_US, keep_one=True)
    assert not call_available(credit, 0)
    credit.earn(0, 0.2, TIME_PER_CALL_US, keep_one=True)
    assert call_available(credit, 0)
    credit.spend(0, 1.0, TIME_PER_CALL_US)
    credit.earn(0, 0.8, TIME_PER_CALL_US, keep_one=True)
    assert not call_available(credit, 0)
    credit.earn(0, 0.2, TIME_PER_CALL_US, keep_one=True)
    assert call_available(credit, 0)


@pytest.mark.parametrize("call_weight", [1.0, 1.4])
def test_blocked_senders_spend_only_what_is_earned_afterwards(call_weight: float) -> None:
    """Whole calls lapse while none can be made; afterwards only as many are made as are earned."""
    rng, spent_weight, senders, messages = random.Random(7), 0.0, 400, 40
    for _ in range(senders):
        credit = new_credit(rng.random(), call_weight)
        for second in range(1, messages + 1):
            credit.earn(second * SECOND, 0.1, 1000 * TIME_PER_CALL_US, keep_one=True)
            if second > messages // 2 and call_available(credit, second * SECOND):
                credit.spend(second * SECOND, call_weight, 1000 * TIME_PER_CALL_US)
                spent_weight += call_weight
    assert spent_weight == pytest.approx(senders * messages // 2 * 0.1, rel=0.05)


def test_keep_one_keeps_at_most_one_call() -> None:
    single, multiple = new_credit(0.0), new_credit(0.0)
    for credit, keep_one in ((single, True), (multiple, False)):
        for _ in range(10):
            credit.earn(0, 0.5, TIME_PER_CALL_US, keep_one=keep_one)
    assert (
        spend_available_calls(single, 0, TIME_PER_CALL_US),
        spend_available_calls(multiple, 0, TIME_PER_CALL_US),
    ) == (1, 5)


def test_one_call_earned_during_own_pause_is_kept_past_its_end() -> None:
    credit = new_credit(0.0)
    credit.pause(2 * SECOND)
    for at_s in (0.1, 0.2):
        credit.earn(int(at_s * SECOND), 1.0, TIME_PER_CALL_US, keep_one=False)
    assert spend_available_calls(credit, 2 * SECOND + LAPSE_US, TIME_PER_CALL_US) == 1


def test_time_alone_earns_one_call_per_time_per_call() -> None:
    credit = new_credit(0.25)
    at_us = credit.next_call_us(0, TIME_PER_CALL_US)
    assert at_us == pytest.approx(0.75 * TIME_PER_CALL_US, rel=1e-6)
    assert not call_available(credit, at_us - SECOND) and call_available(credit, at_us + 1)


@pytest.mark.parametrize("paused_s", [10, 3600])
def test_paused_senders_resume_without_accumulated_calls(paused_s: int) -> None:
    """All senders may be paused together, as by a pause of the whole machine."""
    available = sum(
        spend_available_calls(new_credit(random.Random(number).random()), paused_s * SECOND, TIME_PER_CALL_US)
        for number in range(500)
    )
    assert available <= 500 * LAPSE_FRACTION * 3 / 50 + 10


@pytest.mark.parametrize("relays", [2, 9, 50, 230, 1000])
@pytest.mark.parametrize("waits_s", [0.5, 5.0, 40.0])
def test_waiting_group_holds_what_it_earns_in_lapse_time(relays: int, waits_s: float) -> None:
    """For any length of the wait; 20 messages per second for the whole group earn 0.4 calls each."""
    rng, per_s = random.Random(f"{relays} {waits_s}"), 20.0
    draws = 40
    available = 0
    for _ in range(draws):
        group = [new_credit(rng.random()) for _ in range(relays)]
        at_s = 0.0
        while (at_s := at_s + rng.expovariate(per_s)) < waits_s:
            group[rng.randrange(relays)].earn(
                int(at_s * 1e6), 0.4, relays * COLLAPSE_WINDOW_US, keep_one=False
            )
        available += sum(
            spend_available_calls(credit, int(waits_s * 1e6), relays * COLLAPSE_WINDOW_US) for credit in group
        )
    lapse_s = LAPSE_US / 1e6
    assert available / draws <= 0.4 * per_s * lapse_s + lapse_s / 3 + 0.5
