"""What is held, in an order from which the best and the worst are found without looking at the rest.

Messages of one set of rules, worth, number of attempts and bound zone form a lane, those that a restart has
found untried apart. In a lane the score is a function of the time left to the aim alone, and it is known at
which times that function may bend (``bends``): between two bends it only rises or only falls. So the best
and the worst stand beside a bend or at an end, and each bend is found by bisection: O(log n), however much
is held.
"""

from __future__ import annotations

import math
from bisect import bisect_left, insort
from collections.abc import Callable, Iterable, Iterator

from mossfront.interface import Effect, MessageClass
from mossfront.state import Message

ScoreFunction = Callable[[Message], float]
Lanes = dict[tuple[object, ...], "Lane"]


def score_breakpoints(cls: MessageClass, worth_halves: bool, ahead_us: int) -> tuple[int, ...]:
    """How late (us after the aim; negative: early) a message is where its score may bend.

    The score weighs the worth at a time and ``ahead_us`` later. The worth bends at the aim, at the deadline
    and, where it halves, where it comes to its least.
    """
    late_us = [0, cls.deadline_us - cls.aim_us]
    if worth_halves and 0 < cls.late_worth < 1:
        late_us.append(int(cls.aim_us * math.log2(1 / cls.late_worth)))
    return tuple(
        sorted({breakpoint_us - offset_us for breakpoint_us in late_us for offset_us in (0, ahead_us)})
    )


class Lane:
    """Messages whose score differs by their aim alone, in order of it, then of when they were held."""

    def __init__(self) -> None:
        self.entries: list[tuple[int, int, Message]] = []

    def add(self, message: Message) -> None:
        """Take a message in."""
        insort(self.entries, (message.target_us, message.held_serial, message))

    def remove(self, message: Message) -> None:
        """Let a message go that is in it."""
        del self.entries[bisect_left(self.entries, (message.target_us, message.held_serial))]

    def extreme_candidates(self, at_us: float, breakpoints_us: Iterable[int]) -> Iterator[Message]:
        """The messages next to each bend at that time, and at both ends; some of them twice."""
        entries = self.entries
        if len(entries) <= 8:  # fewer than there would be places
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
        """Cost, aim, serial and message of the one that costs least, and of equals of the oldest."""
        if len(self.entries) == 1:
            only = self.entries[0]
            return cost(only[2]), *only
        lowest_cost, target_us = min(
            (cost(m), m.target_us) for m in self.extreme_candidates(at_us, breakpoints_us)
        )
        return lowest_cost, *self.entries[bisect_left(self.entries, (target_us,))]


def required_zone(message: Message) -> str | None:
    """Where alone a repeat is dropped, once a try may have run; None where it may go anywhere."""
    zone_bound = (
        message.in_doubt_since_us >= 0 and message.cls.effect is Effect.KEYED and message.cls.scope_is_zone
    )
    return message.in_doubt_zone if zone_bound else None


def add_to_lane(lanes: Lanes, message: Message) -> None:
    """Hold a message in the lane of its like."""
    in_doubt = message.in_doubt_since_us >= 0
    common = message.compiled_rules.number, message.worth, message.attempts
    message.lane_key = (*common, in_doubt, required_zone(message), message.recovered_untried)
    lanes.setdefault(message.lane_key, Lane()).add(message)


def remove_from_lane(lanes: Lanes, message: Message) -> None:
    """Hold it no more."""
    lane = lanes[message.lane_key]
    lane.remove(message)
    if not lane.entries:
        del lanes[message.lane_key]
    message.lane_key = ()
