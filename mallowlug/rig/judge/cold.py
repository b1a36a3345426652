"""The load that a destination can take while it returns cold; shared by the simulated endpoint and the judge.

From the BRIEF: after an outage a destination starts at a share of its capacity and is warm within a time; it
collapses if it gets more than a stated multiple of its capacity for a stated time. As a budget: the messages
in any window of that time must stay under N = multiple x present capacity x window, plus an allowance for
chance of 2 x root of N + 2, or 3 x root of N + 3 where N is under 30 (the standing test's page).
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

SMALL_BUDGET = 30.0  # messages; smaller budgets get the wider allowance for chance


def max_in_window(budget: float) -> float:
    """Return the max number of messages in a window with this budget, with the allowance for chance."""
    spreads = 3 if budget < SMALL_BUDGET else 2
    return budget + spreads * math.sqrt(budget) + spreads


@dataclass(frozen=True, slots=True)
class ColdReturn:
    """A destination's return from an outage: its time (us), full capacity (messages/s) and warm-up."""

    at_us: int
    per_s: float
    cold_from: float
    warm_us: int

    def share(self, at_us: float) -> float:
        """Return the available share of its capacity: linear from ``cold_from`` to 1 within ``warm_us``."""
        if at_us < self.at_us:
            return 0.0
        warm = 1.0 if self.warm_us <= 0 else min(1.0, (at_us - self.at_us) / self.warm_us)
        return self.cold_from + (1 - self.cold_from) * warm

    def work(self, start_us: int, end_us: int) -> float:
        """Return the messages that it can process between two times, both at or after its return."""
        warm_end = min(max(self.at_us + self.warm_us, start_us), end_us)
        cold = (self.share(start_us) + self.share(warm_end)) / 2 * (warm_end - start_us)
        return (cold + (end_us - warm_end)) * self.per_s / 1e6

    def budget(self, start_us: int, multiple: float, fall_us: int) -> float:
        """Return the max messages in a window of ``fall_us`` that begins at ``start_us``."""
        return max_in_window(multiple * self.work(start_us, start_us + fall_us))


def call_weight(messages: int, item_cost: float) -> float:
    """Return a call's work in messages: each after the first one costs ``item_cost`` of a message."""
    return 1 + item_cost * (messages - 1)


def first_overload(
    back: ColdReturn, arrivals: Sequence[tuple[int, float]], multiple: float, fall_us: int
) -> tuple[int, float, float] | None:
    """Return the first window over its budget as start (us), messages and budget; None without one.

    ``arrivals`` are times (us) and work in messages, in order; windows start at the return and at each
    arrival until the destination is warm.
    """
    times = [item for item in arrivals if item[0] >= back.at_us]
    starts = [back.at_us, *(at for at, _ in times if at < back.at_us + back.warm_us)]
    for start in starts:
        arrived = sum(weight for at, weight in in_window(times, start, start + fall_us))
        if arrived > (budget := back.budget(start, multiple, fall_us)):
            return start, arrived, budget
    return None


def in_window(arrivals: Iterable[tuple[int, float]], start_us: int, end_us: int) -> list[tuple[int, float]]:
    """Return the arrivals from ``start_us`` on and before ``end_us``."""
    return [item for item in arrivals if start_us <= item[0] < end_us]
