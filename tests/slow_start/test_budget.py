"""The budget of a cold endpoint, summed over a group of relays that share nothing, in hard drawn outages."""

from __future__ import annotations

import pytest

from tests.slow_start.outages import Summary, hard_draw, played, summary, whole_draw

DRAWS = 40  # of each size; more by hand: ``python -m tests.slow_start``
SIZES = (2, 9, 20, 50, 230)
MOST_TIMES = 1.5  # of what a window may bring: nothing goes beyond, not even by chance
WHOLE_SIZES = (2, 9, 20, 50, 230, 1000)
WHOLE_MOST_TIMES = 1.2
WHOLE_MOST_OVER = 0.01  # of the draws, counted over relays that saw the endpoint itself fail


@pytest.mark.parametrize("relays", SIZES)
def test_the_sum_of_a_group_is_over_its_budget_no_more_often_than_chance(relays: int) -> None:
    """The control is a group of ideal independent senders whose sum is the whole budget in the mean."""
    found = summary([played(hard_draw(seed, relays)) for seed in range(DRAWS)])
    assert found.over <= found.over_by_chance
    assert found.worst <= MOST_TIMES


@pytest.fixture(scope="module")
def whole() -> Summary:
    """Outages of whole destinations, drawn for all group sizes."""
    return summary([played(whole_draw(seed, size)) for size in WHOLE_SIZES for seed in range(DRAWS)])


def test_a_destination_that_was_out_as_a_whole_is_returned_to_within_the_budget(whole: Summary) -> None:
    assert whole.over <= WHOLE_MOST_OVER * whole.draws
    assert whole.over_any <= whole.over_by_chance
    assert max(whole.worst, whole.worst_any) <= WHOLE_MOST_TIMES
