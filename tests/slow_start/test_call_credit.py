"""Credit for calls: fractions last, whole calls lapse, and a group that waits for a moment holds few."""

from __future__ import annotations

import random

import pytest

from mossfront.call_credit import LAPSE_PART, CallCredit
from tests.support import SECOND

FALL_US = 3 * SECOND
UNIT_US = 50 * FALL_US  # of one sender in a group of fifty
LAPSE_US = int(LAPSE_PART * FALL_US)


def credit_of(fraction: float, call_weight: float = 1.0) -> CallCredit:
    """Credit that begins with that part of a call."""
    credit = CallCredit()
    credit.begin(0, fraction, FALL_US, call_weight)
    return credit


def ready(credit: CallCredit, now_us: int) -> bool:
    """Whether a call can be made now."""
    return credit.next_call_us(now_us, UNIT_US) <= now_us


def calls_ready(credit: CallCredit, now_us: int, unit_us: int) -> int:
    """Calls that can be made now."""
    calls = 0
    while credit.next_call_us(now_us, unit_us) <= now_us:
        credit.spend(now_us, 1.0, unit_us)
        calls += 1
    return calls


def test_parts_of_a_call_add_up_to_a_whole_one() -> None:
    credit = credit_of(0.0)
    for earned in range(3):
        assert not ready(credit, earned)
        credit.earn(earned, 0.4, UNIT_US, one=True)
    assert ready(credit, 3)


def test_a_whole_call_lapses_and_the_part_beyond_it_stays() -> None:
    credit = credit_of(0.9)
    credit.earn(0, 0.4, UNIT_US, one=True)
    assert ready(credit, LAPSE_US) and not ready(credit, LAPSE_US + 1)
    credit.earn(LAPSE_US + 1, 0.75, UNIT_US, one=True)
    assert ready(credit, LAPSE_US + 1)


def test_a_call_is_made_once() -> None:
    credit = credit_of(0.5)
    credit.earn(0, 0.6, UNIT_US, one=True)
    credit.spend(0, 1.0, UNIT_US)
    assert not ready(credit, 0)


def test_what_a_call_weighs_beyond_a_whole_one_is_owed() -> None:
    credit = credit_of(0.0)
    credit.earn(0, 1.0, UNIT_US, one=True)
    credit.spend(0, 1.8, UNIT_US)
    credit.earn(0, 1.7, UNIT_US, one=True)
    assert not ready(credit, 0)
    credit.earn(0, 0.2, UNIT_US, one=True)
    assert ready(credit, 0)


def test_a_call_of_several_messages_needs_credit_for_its_weight_and_gives_back_the_rest() -> None:
    credit = credit_of(0.0, call_weight=1.5)
    credit.earn(0, 1.4, UNIT_US, one=True)
    assert not ready(credit, 0)
    credit.earn(0, 0.2, UNIT_US, one=True)
    assert ready(credit, 0)
    credit.spend(0, 1.0, UNIT_US)
    credit.earn(0, 0.8, UNIT_US, one=True)
    assert not ready(credit, 0)
    credit.earn(0, 0.2, UNIT_US, one=True)
    assert ready(credit, 0)


@pytest.mark.parametrize("call_weight", [1.0, 1.4])
def test_senders_that_were_held_back_make_calls_whose_sum_was_earned(call_weight: float) -> None:
    """Whole calls lapse while none can be made; behind that moment as many are made as are earned."""
    rng, made, senders, messages = random.Random(7), 0.0, 400, 40
    for _ in range(senders):
        credit = credit_of(rng.random(), call_weight)
        for second in range(1, messages + 1):
            credit.earn(second * SECOND, 0.1, 1000 * UNIT_US, one=True)
            if second > messages // 2 and ready(credit, second * SECOND):
                credit.spend(second * SECOND, call_weight, 1000 * UNIT_US)
                made += call_weight
    assert made == pytest.approx(senders * messages // 2 * 0.1, rel=0.05)


def test_one_call_at_most_is_kept_where_that_is_asked_for() -> None:
    one, many = credit_of(0.0), credit_of(0.0)
    for credit, only in ((one, True), (many, False)):
        for _ in range(10):
            credit.earn(0, 0.5, UNIT_US, one=only)
    assert (calls_ready(one, 0, UNIT_US), calls_ready(many, 0, UNIT_US)) == (1, 5)


def test_one_call_that_was_earned_in_an_own_pause_outlasts_it() -> None:
    credit = credit_of(0.0)
    credit.pause(2 * SECOND)
    for at_s in (0.1, 0.2):
        credit.earn(int(at_s * SECOND), 1.0, UNIT_US, one=False)
    assert calls_ready(credit, 2 * SECOND + LAPSE_US, UNIT_US) == 1


def test_time_alone_earns_a_call_in_its_unit() -> None:
    credit = credit_of(0.25)
    at_us = credit.next_call_us(0, UNIT_US)
    assert at_us == pytest.approx(0.75 * UNIT_US, rel=1e-6)
    assert not ready(credit, at_us - SECOND) and ready(credit, at_us + 1)


@pytest.mark.parametrize("stopped_s", [10, 3600])
def test_a_sender_that_was_stopped_does_not_come_back_with_calls_in_hand(stopped_s: int) -> None:
    """A stop of the process, or of the whole machine, is a moment that all senders have in common."""
    held = sum(
        calls_ready(credit_of(random.Random(number).random()), stopped_s * SECOND, UNIT_US)
        for number in range(500)
    )
    assert held <= 500 * LAPSE_PART * 3 / 50 + 10


@pytest.mark.parametrize("relays", [2, 9, 50, 230, 1000])
@pytest.mark.parametrize("waits_s", [0.5, 5.0, 40.0])
def test_a_group_that_waits_for_one_moment_holds_what_it_earns_in_a_tenth_of_a_fall(
    relays: int, waits_s: float
) -> None:
    """However long the wait: so many messages come for all together, and each earns 0.4 calls."""
    rng, per_s = random.Random(f"{relays} {waits_s}"), 20.0
    draws = 40
    held = 0
    for _ in range(draws):
        group = [credit_of(rng.random()) for _ in range(relays)]
        at_s = 0.0
        while (at_s := at_s + rng.expovariate(per_s)) < waits_s:
            group[rng.randrange(relays)].earn(int(at_s * 1e6), 0.4, relays * FALL_US, one=False)
        held += sum(calls_ready(credit, int(waits_s * 1e6), relays * FALL_US) for credit in group)
    lapse_s = LAPSE_US / 1e6
    assert held / draws <= 0.4 * per_s * lapse_s + lapse_s / 3 + 0.5
