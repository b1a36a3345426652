"""Nothing is released to all relays at once: each moment that they have in common, in drawn outages."""

from __future__ import annotations

import pytest

from tests.slow_start.moments import MOMENTS, shut_batches
from tests.slow_start.outages import played, summary

SIZES = (20, 50, 230)
DRAWS = 10  # of each size
MOST_OVER = 1  # of the thirty draws of a moment
MOST_TIMES = 1.5
BATCH_SIZES = (20, 48, 100)
BATCH_SEEDS = range(240, 300)


@pytest.mark.parametrize("moment", MOMENTS)
def test_a_common_moment_releases_no_more_than_the_budget(moment: str) -> None:
    draws = [MOMENTS[moment](seed, size) for size in SIZES for seed in range(DRAWS)]
    found = summary([played(draw) for draw in draws])
    assert found.over <= MOST_OVER and found.worst <= MOST_TIMES
    assert found.over_any <= found.over_by_chance


def test_what_travels_together_weighs_no_more_than_was_earned_for_it() -> None:
    """Every sender's first call behind a common moment may be a batch; the budget is for their sum."""
    draws = [shut_batches(seed, size) for size in BATCH_SIZES for seed in BATCH_SEEDS]
    found = summary([played(draw) for draw in draws])
    assert (found.over, found.over_any) == (0, 0)
