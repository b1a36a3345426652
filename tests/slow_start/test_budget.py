"""The group's calls to a cold endpoint stay within its budget, in hard randomly drawn outages."""

from __future__ import annotations

import pytest

from tests.slow_start.outages import Summary, draw_destination_outage, draw_hard_outage, simulate, summarize

DRAWS = 40  # per size; ``python -m tests.slow_start`` plays more
SIZES = (2, 9, 20, 50, 230)
MAX_RATIO = 1.5  # of what a window may hold, which not even chance exceeds
DESTINATION_SIZES = (2, 9, 20, 50, 230, 1000)
DESTINATION_MAX_RATIO = 1.2
DESTINATION_MAX_OVER_SHARE = 0.01  # of the draws; counts relays that saw a call to the endpoint itself fail


@pytest.mark.parametrize("relays", SIZES)
def test_group_exceeds_budget_no_more_often_than_chance(relays: int) -> None:
    """The control is a group of ideal independent senders whose sum equals the budget in the mean."""
    totals = summarize([simulate(draw_hard_outage(seed, relays)) for seed in range(DRAWS)])
    assert totals.over_limit <= totals.over_limit_by_chance
    assert totals.worst_ratio <= MAX_RATIO


@pytest.fixture(scope="module")
def destination_totals() -> Summary:
    """Results of drawn outages of whole destinations, for all group sizes."""
    return summarize(
        [simulate(draw_destination_outage(seed, size)) for size in DESTINATION_SIZES for seed in range(DRAWS)]
    )


def test_destination_outage_stays_within_budget(destination_totals: Summary) -> None:
    assert destination_totals.over_limit <= DESTINATION_MAX_OVER_SHARE * destination_totals.draws
    assert destination_totals.over_limit_any_endpoint <= destination_totals.over_limit_by_chance
    assert (
        max(destination_totals.worst_ratio, destination_totals.worst_ratio_any_endpoint)
        <= DESTINATION_MAX_RATIO
    )
