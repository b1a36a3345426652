"""Nothing is released to all relays at once: each moment that they have in common, in drawn outages."""

from __future__ import annotations

import pytest

from tests.slow_start.moments import MOMENTS
from tests.slow_start.outages import played, summary

SIZES = (20, 50, 230)
DRAWS = 10  # of each size
MOST_OVER = 1  # of the thirty draws of a moment
MOST_TIMES = 1.5


@pytest.mark.parametrize("moment", MOMENTS)
def test_a_common_moment_releases_no_more_than_the_budget(moment: str) -> None:
    draws = [MOMENTS[moment](seed, size) for size in SIZES for seed in range(DRAWS)]
    found = summary([played(draw) for draw in draws])
    assert found.over <= MOST_OVER and found.worst <= MOST_TIMES
    assert found.over_any <= found.over_by_chance
