"""Held messages, indexed so that the best and the worst are found without scanning all of them.

Messages with the same rules, worth, number of attempts and required zone form a lane; those that a restart
recovered untried have lanes of their own. Within a lane the score is a function of the time left to the
target time alone. Its breakpoints are known (``score_breakpoints``): between two of them it only rises or
only falls. So the best and the worst message are next to a breakpoint or at an end of the lane, and each
breakpoint is found by bisection in O(log n), however many messages are held.
"""

from __future__ import annotations

import math
from bisect import bisect_left, insort
from collections.abc import Callable, Iterable, Iterator

from mossfront.interface import MessageClass
from mossfront.repeats import required_zone
from mossfront.state import Message

ScoreFunction = Callable[[Message], float]
Lanes = dict[tuple[object, ...], "Lane"]


def score_breakpoints(cls: MessageClass, worth_halves: bool, ahead_us: int) -> tuple[int, ...]:
    """Return the breakpoints of a class's score, in us after the target time (negative: before it).

    The score combines the worth at a time and ``ahead_us`` later. The worth changes its slope at the target
    time, at the deadline and, if it decays by halves, where it reaches its minimum.
    """
    late_us = [0, cls.deadline_us - cls.aim_us]
    if worth_halves and 0 < cls.late_worth < 1:
        late_us.append(int(cls.aim_us * math.log2(1 / cls.late_worth)))
    return tuple(
        sorted({breakpoint_us - offset_us for breakpoint_us in late_us for offset_us in (0, ahead_us)})
    )


class Lane:
    """Messages whose scores differ by target time alone, ordered by that and then by when they were held."""

    def __init__(self) -> None:
        self.entries: list[tuple[int, int, Message]] = []

    def add(self, message: Message) -> None:
        """Insert a message."""
        insort(self.entries, (message.target_us, message.held_serial, message))

    def remove(self, message: Message) -> None:
        """Remove a message that is in the lane."""
        del self.entries[bisect_left(self.entries, (message.target_us, message.held_serial))]

    def extreme_candidates(self, at_us: float, breakpoints_us: Iterable[int]) -> Iterator[Message]:
        """Yield the messages next to each breakpoint and at both ends, some of them more than once."""
        entries = self.entries
        if len(entries) <= 8:  # fewer than the places below
            yield from (message for *_, message in entries)
            return
        yield entries[0][2]
        yield entries[-1][2]
        for breakpoint_us in breakpoints_us:
            index = bisect_left(entries, (at_us - breakpoint_us,))
            if index:
                yield entries[index - 1][2]
            if index < len(entries):
                yield entries[index][2]

    def lowest_cost(
        self, at_us: float, breakpoints_us: Iterable[int], cost: ScoreFunction
    ) -> tuple[float, int, int, Message]:
        """Return cost, target time, serial and message of the cheapest message, the oldest among equals."""
        if len(self.entries) == 1:
            only = self.entries[0]
            return cost(only[2]), *only
        lowest_cost, target_us = min(
            (cost(m), m.target_us) for m in self.extreme_candidates(at_us, breakpoints_us)
        )
        return lowest_cost, *self.entries[bisect_left(self.entries, (target_us,))]


def add_to_lane(lanes: Lanes, message: Message) -> None:
    """Add a held message to its lane."""
    in_doubt = message.in_doubt_since_us >= 0
    common = message.compiled_rules.number, message.worth, message.attempts
    message.lane_key = (*common, in_doubt, required_zone(message), message.recovered_untried)
    lanes.setdefault(message.lane_key, Lane()).add(message)


def remove_from_lane(lanes: Lanes, message: Message) -> None:
    """Remove a message from its lane, and the lane once it is empty."""
    lane = lanes[message.lane_key]
    lane.remove(message)
    if not lane.entries:
        del lanes[message.lane_key]
    message.lane_key = ()
