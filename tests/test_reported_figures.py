"""Figures that hosts and the directory report: whatever number one is, it does not end the relay."""

from __future__ import annotations

import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mossfront import interface as api
from mossfront.engine import DecisionEngine
from tests import support
from tests.support import KEYED, SECOND, arrival, attempt_outcome, endpoint_update, entry, sends

SMALLEST, DENORMAL, LARGEST = 2.2250738585072014e-308, 5e-324, 1.7976931348623157e308
ODD_FIGURES = (
    0.0,
    DENORMAL,
    1e-310,
    SMALLEST,
    1e-303,
    1e-30,
    1e30,
    LARGEST,
    math.inf,
    -math.inf,
    math.nan,
    -1.0,
)
FIGURES = st.one_of(st.sampled_from(ODD_FIGURES), st.floats())


def play(limit_per_s: float, share_left: float | None, rate_hint: float) -> None:
    """Deliver, refuse and retry messages while an endpoint reports these figures."""
    engine = DecisionEngine(support.settings(rate_hints_given=True, max_calls=4), 1)
    engine.step(0, [endpoint_update(entry("h1", rate_hint=rate_hint))])
    attempts: dict[str, int] = {}
    for number in range(12):
        now_us = number * SECOND
        actions = engine.step(now_us, [api.TimerDue(), arrival(f"m{number}", KEYED)])
        for send in sends(actions):
            attempt = attempts.get(send.id, 0)
            attempts[send.id] = attempt + 1
            verdict = (api.Verdict.OK, api.Verdict.FULL, api.Verdict.ERROR)[number % 3]
            outcome = attempt_outcome(send, verdict, attempt)
            reported = api.Outcome(
                outcome.id, attempt, outcome.host, verdict, outcome.elapsed_us, outcome.complete,
                limit_remaining=share_left, limit_per_s=limit_per_s,
            )  # fmt: skip
            engine.step(now_us + 200_000, [reported])


@pytest.mark.parametrize("figure", ODD_FIGURES)
def test_no_odd_figure_ends_the_decisions(figure: float) -> None:
    """A limit of 1e-310 calls a second ended the relay with an OverflowError."""
    for limit_per_s, share_left, rate_hint in ((figure, 0.5, 1.0), (10.0, figure, 1.0), (10.0, None, figure)):
        play(limit_per_s, share_left, rate_hint)


def test_a_call_that_took_no_time_does_not_end_the_decisions() -> None:
    """The expected time in a slot divides a message's score where slots are short."""
    engine = DecisionEngine(support.settings(max_calls=4), 1)
    hosts = endpoint_update(*(entry(f"h{dest}", dest=dest) for dest in range(1, 5)))
    [first] = sends(engine.step(0, [hosts, arrival("m0", KEYED)]))
    engine.step(SECOND, [attempt_outcome(first, elapsed_us=0)])
    for dest in range(1, 5):  # from the third call on slots are short
        engine.step((1 + dest) * SECOND, [arrival(f"m{dest}", KEYED, dest=dest)])
    assert engine.calls_in_flight == 4


@settings(derandomize=True, max_examples=150, deadline=None)
@given(limit_per_s=FIGURES, share_left=st.one_of(st.none(), FIGURES), rate_hint=FIGURES)
def test_no_figure_ends_the_decisions(limit_per_s: float, share_left: float | None, rate_hint: float) -> None:
    play(limit_per_s, share_left, rate_hint)
