"""A moment that all relays have in common releases no surge of calls, in drawn outages."""

from __future__ import annotations

import pytest

from tests.slow_start.moments import MOMENTS, shut_batches
from tests.slow_start.outages import simulate, summarize

SIZES = (20, 50, 230)
DRAWS = 10  # per size
MAX_OVER_LIMIT = 1  # of the thirty draws of a moment
MAX_RATIO = 1.5
BATCH_SIZES = (20, 48, 100)
BATCH_SEEDS = range(240, 300)


@pytest.mark.parametrize("moment", MOMENTS)
def test_common_moment_stays_within_budget(moment: str) -> None:
    draws = [MOMENTS[moment](seed, size) for size in SIZES for seed in range(DRAWS)]
    totals = summarize([simulate(draw) for draw in draws])
    assert totals.over_limit <= MAX_OVER_LIMIT and totals.worst_ratio <= MAX_RATIO
    assert totals.over_limit_any_endpoint <= totals.over_limit_by_chance


def test_first_batches_stay_within_budget() -> None:
    """Every relay's first call after a common moment may be a batch; the budget limits their total weight."""
    draws = [shut_batches(seed, size) for size in BATCH_SIZES for seed in BATCH_SEEDS]
    totals = summarize([simulate(draw) for draw in draws])
    assert (totals.over_limit, totals.over_limit_any_endpoint) == (0, 0)
