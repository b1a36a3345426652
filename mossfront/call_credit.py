"""Calls that one sender has earned at an endpoint that may be down or cold. No I/O and no clock of its own.

Credit grows with new messages and, slowly, with time. A fraction of a call is kept; a whole call is there to
be made now, and lapses after a tenth of the time in which a cold endpoint falls over.

Senders that share nothing still share moments: a named opening time ends, calls that hung break, a list or
a restart reaches all of them. If whole calls were kept while none can be made, every sender would hold one
at such a moment, and all would make it at once, however slowly each had earned it. As it is, all senders
together hold at any moment what they earn in that time: a tenth of a cold endpoint's budget, whatever their
number. Fractions release nothing: drawn at random to begin with, they stay evenly spread over the senders.
"""

from __future__ import annotations

from collections import deque

LAPSE_FRACTION = 0.1  # of the time of a fall: for so long a whole call can be made


class CallCredit:
    """The credit of one sender at one endpoint.

    ``unit_us`` is the time in which a call of weight 1 is earned without any message.

    Where a call may carry several messages, a whole one has the credit for what it weighs on average; the
    difference is given back or owed. If it were made on the credit of one message, the first calls of all
    senders behind a common moment would together weigh more than was earned.
    """

    __slots__ = (
        "_call_weight",
        "_credited_until_us",
        "_fraction",
        "_lapse_times_us",
        "_lapse_us",
        "_paused_until_us",
    )

    def __init__(self) -> None:
        self._lapse_us = 0  # for so long a whole call is kept
        self._call_weight = 1.0  # of which a whole call has the credit
        self._fraction = 0.0  # of a call; below 0 where a call weighed more than the credit for it
        self._credited_until_us = 0  # until when time has been credited
        self._paused_until_us = 0
        self._lapse_times_us: deque[int] = deque()  # of each whole call

    def begin(self, now_us: int, fraction: float, collapse_window_us: int, call_weight: float = 1.0) -> None:
        """Forget what was earned; ``fraction`` of such a call is drawn at random by the caller."""
        self._lapse_us, self._call_weight = int(LAPSE_FRACTION * collapse_window_us), call_weight
        self._fraction, self._credited_until_us, self._paused_until_us = fraction, now_us, 0
        self._lapse_times_us.clear()
        self._collect_whole_calls(now_us, keep_one=True)

    def pause(self, until_us: int) -> None:
        """The sender makes no call until then, a time of its own choice: it keeps one call beyond that.

        Pauses of independent senders end apart, so that what they keep is not released at once.
        """
        self._paused_until_us = until_us

    def earn(self, now_us: int, calls: float, time_per_call_us: int, *, keep_one: bool) -> None:
        """So many calls of weight 1, or a part of one, are earned just now. ``one``: one at most is kept."""
        self._advance(now_us, time_per_call_us)
        self._fraction += calls / self._call_weight
        self._collect_whole_calls(now_us, keep_one=keep_one)

    def ensure_at_least(self, now_us: int, fraction: float, time_per_call_us: int) -> None:
        """At least this part of a call is there."""
        self._advance(now_us, time_per_call_us)
        if not self._lapse_times_us:
            self._fraction = max(self._fraction, fraction)
            self._collect_whole_calls(now_us, keep_one=True)

    def spend(self, now_us: int, weight: float, time_per_call_us: int) -> None:
        """A call of this weight is made, or so much is added to it (below 1); what it lacks is owed."""
        self._advance(now_us, time_per_call_us)
        if weight >= 1 and self._lapse_times_us:
            self._lapse_times_us.popleft()
            weight -= self._call_weight
        self._fraction -= weight / self._call_weight

    def next_call_us(self, now_us: int, time_per_call_us: int) -> int:
        """When a call may be made if nothing more is earned but by time: now, or later."""
        self._advance(now_us, time_per_call_us)
        if self._lapse_times_us:
            return now_us
        return now_us + max(1, int((1 - self._fraction) * time_per_call_us * self._call_weight))

    def _advance(self, now_us: int, time_per_call_us: int) -> None:
        """Credit the time that has passed, and let lapse what has not been used."""
        if now_us > self._credited_until_us:
            weighted_call_us = time_per_call_us * self._call_weight
            self._fraction += (now_us - self._credited_until_us) / weighted_call_us
            self._credited_until_us = now_us
            if self._fraction >= 1:  # of many calls that time earned, the last one alone may not have lapsed
                self._fraction %= 1
                self._add_call(now_us - int(self._fraction * weighted_call_us), keep_one=True)
        while self._lapse_times_us and self._lapse_times_us[0] < now_us:
            self._lapse_times_us.popleft()

    def _collect_whole_calls(self, now_us: int, *, keep_one: bool) -> None:
        keep_one = keep_one or now_us < self._paused_until_us
        while self._fraction >= 1:
            self._fraction -= 1
            self._add_call(now_us, keep_one=keep_one)

    def _add_call(self, earned_us: int, *, keep_one: bool) -> None:
        if not (keep_one and self._lapse_times_us):
            self._lapse_times_us.append(max(earned_us, self._paused_until_us) + self._lapse_us)
