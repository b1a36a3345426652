"""Calls that one sender has earned at an endpoint that may be down or cold. No I/O and no clock of its own.

Credit grows with new messages and, slowly, with time. A fraction of a call is kept; a whole call can be made
at once and lapses after a tenth of the collapse window of a cold endpoint.

Senders that share no state still share moments: an announced opening time is reached, connections to a hung
endpoint are reset when it returns, an update of the endpoint list or a restart affects all of them. If whole
calls were kept while none can be made, every sender would hold one at such a moment and all would make it at
once, however slowly each had earned it. As whole calls lapse, all senders together hold at any moment only
what they earn in the lapse time: a tenth of a cold endpoint's budget, for any number of senders. Fractions
release no calls: they start at random values and stay evenly distributed over the senders.
"""

from __future__ import annotations

from collections import deque

LAPSE_FRACTION = 0.1  # part of the collapse window for which a whole call can be made


class CallCredit:
    """The credit of one sender at one endpoint.

    ``time_per_call_us`` is the time in which a call of weight 1 is earned without any message.

    Where a call may carry several messages, a whole call holds the credit for the mean weight of a call; the
    difference to the actual weight is credited or debited. If the credit of one message were enough, the
    first calls of all senders after a common moment would together weigh more than was earned.
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
        self._lapse_us = 0  # how long a whole call is kept
        self._call_weight = 1.0  # credit of a whole call
        self._fraction = 0.0  # of a call; negative after a call that weighed more than its credit
        self._credited_until_us = 0  # time up to this moment is credited
        self._paused_until_us = 0
        self._lapse_times_us: deque[int] = deque()  # of each whole call, in order

    def begin(self, now_us: int, fraction: float, collapse_window_us: int, call_weight: float = 1.0) -> None:
        """Reset the credit to ``fraction`` of a call of this weight, which the caller draws at random."""
        self._lapse_us, self._call_weight = int(LAPSE_FRACTION * collapse_window_us), call_weight
        self._fraction, self._credited_until_us, self._paused_until_us = fraction, now_us, 0
        self._lapse_times_us.clear()
        self._collect_whole_calls(now_us, keep_one=True)

    def pause(self, until_us: int) -> None:
        """Make no call until then, a time that the sender chose; one call is kept past that time.

        Pauses of independent senders end at different times, so the kept calls are not released at once.
        """
        self._paused_until_us = until_us

    def earn(self, now_us: int, calls: float, time_per_call_us: int, *, keep_one: bool) -> None:
        """Add so many calls of weight 1 (or a fraction of one). ``keep_one``: keep at most one whole call."""
        self._advance(now_us, time_per_call_us)
        self._fraction += calls / self._call_weight
        self._collect_whole_calls(now_us, keep_one=keep_one)

    def ensure_at_least(self, now_us: int, fraction: float, time_per_call_us: int) -> None:
        """Raise the credit to at least this fraction of a call."""
        self._advance(now_us, time_per_call_us)
        if not self._lapse_times_us:
            self._fraction = max(self._fraction, fraction)
            self._collect_whole_calls(now_us, keep_one=True)

    def spend(self, now_us: int, weight: float, time_per_call_us: int) -> None:
        """Charge a call of this weight, or (below 1) an addition to it; the balance may become negative."""
        self._advance(now_us, time_per_call_us)
        if weight >= 1 and self._lapse_times_us:
            self._lapse_times_us.popleft()
            weight -= self._call_weight
        self._fraction -= weight / self._call_weight

    def next_call_us(self, now_us: int, time_per_call_us: int) -> int:
        """Return when a call may be made if only time earns further credit: now or later."""
        self._advance(now_us, time_per_call_us)
        if self._lapse_times_us:
            return now_us
        return now_us + max(1, int((1 - self._fraction) * time_per_call_us * self._call_weight))

    def _advance(self, now_us: int, time_per_call_us: int) -> None:
        """Credit the elapsed time and drop lapsed calls."""
        if now_us > self._credited_until_us:
            weighted_call_us = time_per_call_us * self._call_weight
            self._fraction += (now_us - self._credited_until_us) / weighted_call_us
            self._credited_until_us = now_us
            if self._fraction >= 1:  # only the last call earned by time may not have lapsed yet
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
