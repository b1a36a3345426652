"""Slow start of one endpoint for a group of senders that share nothing. No I/O and no clock of its own.

An endpoint that returns from an outage is cold: for a while it bears a part of its capacity, counted over the
calls of all senders together. Nobody tells a sender what the others send, what the capacity is, or when the
endpoint came back. So each sender keeps a rule whose sum over independent senders is the budget in the mean,
however many they are and however traffic is spread over them: while the endpoint may be down or cold, every
new message for it earns a fraction of a call (``credit_per_message``), and a call may be made once a whole
one is earned. The fraction is what a cold endpoint bears beside what it is sent on an ordinary day. A sender
with little traffic earns little; one that holds many messages back earns nothing for these.

Of senders that rarely call, few have seen the outage, and only what these send counts against the budget. A
sender estimates that part from its own traffic (``share_notified``) and earns the more, the smaller it is.

Where more comes than the endpoint can take, a message earns as much less as fewer of them were served before.

A first failure is not yet an outage. A quick second call, within ``CONFIRM_US`` of the failure, may tell:
such a call reaches a returned endpoint only if the outage ended within that short time, so it is free.

``docs/slow-start.md`` has the derivation and the measurements.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

from mossfront.call_credit import CallCredit

RECENT_SUCCESS_US = 2_000_000  # us: an endpoint that has served within this time is in no outage yet
CONFIRMATION_WINDOW_US = (
    1_000_000  # us behind a first failure (and its pause) in which one call may tell what it was
)
MAX_OUTAGE_US = 60_000_000  # us: outages that lasted for longer are taken for as long
# Calls of notified senders beside one of the others. At two the rule would bind, however full the window is.
NOTIFIED_TO_OTHERS_RATIO = 1.2
FULL_REFUND_CALLS = 3.0  # calls in the time of a fall from which on a whole one is given back
MIN_GROUP_REFUND = 3.0  # calls that all senders together get back at once, whatever their parts
MAX_EQUAL_SHARES = 2.0  # equal parts of a told limit that one sender's messages are taken for at most
SMALL_BATCH_WEIGHT = 1.8  # weight of a call that any sender may make
SMALL_BATCH_CREDIT = 1.4  # that such a call needs: about what they weigh on average
SMALL_GROUP_SENDERS = 4  # whose group earns a call by time alone in each time of a fall
MAX_WINDOWS_PER_CALL = 3.0  # times of a fall in which any other group earns one at least
MIN_NOTIFIED_SHARE = 0.1  # no smaller part is believed, however little a sender calls
ASSUMED_OUTAGE_US = 10_000_000  # us: how long an outage lasts, as long as nothing else is known
NEVER_US = -(1 << 60)


class Phase(Enum):
    """What a sender takes an endpoint to be."""

    HEALTHY = "healthy"
    SUSPECT = "suspect"  # a call failed, and nothing has told yet whether that was an outage
    DOWN = "down"
    SLOW_START = "slow start"


@dataclass(frozen=True, slots=True)
class PhaseChange:
    """A change of phase and its reason, for the log."""

    before: Phase
    after: Phase
    reason: str


@dataclass(frozen=True, slots=True)
class EndpointTraffic:
    """What this sender knows of an endpoint's traffic."""

    messages_per_s: float  # its own new messages for the endpoint
    destination_per_s: float  # and for all endpoints of the destination
    limit_per_s: float = 0.0  # calls that the endpoint takes from all senders, where it tells that; else 0
    served_share: float = 1.0  # of its messages, that was delivered: less than 1 where more comes than fits


@dataclass(frozen=True, slots=True)
class Budget:
    """The settings' figures of a cold endpoint, and how many senders share it."""

    senders: int
    collapse_multiple: float  # of its present capacity that it bears
    collapse_window_us: int  # sent more for so long, it falls over
    cold_capacity_share: float  # share of its capacity at its return
    warm_up_us: int  # until it has all of it

    @property
    def time_per_call_us(self) -> int:
        """Time in which one sender earns a call without any message.

        In a small group it is short enough for a message that is held to be tried. In a large one it is not,
        and what all earn by time only adds to what messages earn: there it is to be little.
        """
        windows = min(MAX_WINDOWS_PER_CALL, max(1.0, self.senders / SMALL_GROUP_SENDERS))
        return int(windows * self.collapse_window_us * self.senders)

    def credit_per_message(self, cold_for_us: int) -> float:
        """Calls that a new message earns while the endpoint has been back for so long (0: not yet back)."""
        warm_share = min(1.0, max(0, cold_for_us) / max(1, self.warm_up_us))
        return self.collapse_multiple * (
            self.cold_capacity_share + (1 - self.cold_capacity_share) * warm_share
        )


def notified_share(messages_per_s: float, outage_us: int) -> float:
    """The part of a group's traffic whose senders have met an outage of that length, each sending alike."""
    return -math.expm1(-messages_per_s * outage_us / 1e6)


class SlowStart:
    """Decides whether an endpoint may be called now, from its first failure until it is warm again."""

    __slots__ = (
        "_confirm_by_us",
        "_confirmation_call_made",
        "_credit",
        "_refunded_credit",
        "_suspected_by_sibling",
        "batched",
        "cold_since_us",
        "first_failure_us",
        "last_success_us",
        "phase",
        "served_share",
    )

    def __init__(self) -> None:
        self.phase = Phase.HEALTHY
        self.first_failure_us = NEVER_US  # when the first failure of this suspicion was known
        self.last_success_us = NEVER_US  # the last success
        self.cold_since_us = -1  # when the endpoint was found to be back; -1: it is not in slow start
        self.batched = False  # whether a call may carry several messages
        self._credit = CallCredit()
        self._confirm_by_us = NEVER_US
        self._confirmation_call_made = False
        self._refunded_credit = 0.0  # part of a call that the last failed one gave back
        self._suspected_by_sibling = False  # no call has failed here, but one to a sibling
        self.served_share = 1.0  # of the messages before the first failure

    def needs_credit(self, now_us: int) -> bool:
        """Whether calls need credit now: not right behind a success, nor for a call that confirms."""
        return self.phase is not Phase.HEALTHY and not self._call_is_free(now_us)

    def next_call_us(self, now_us: int, budget: Budget) -> int:
        """When the next call may be made, if no message comes before."""
        return (
            self._credit.next_call_us(now_us, budget.time_per_call_us)
            if self.needs_credit(now_us)
            else NEVER_US
        )

    def on_message(
        self, now_us: int, budget: Budget, traffic: EndpointTraffic, endpoint_share: float
    ) -> None:
        """A new message came, of which this endpoint has that share."""
        if self.phase is not Phase.HEALTHY:
            credit = endpoint_share * self._credit_per_message(now_us, budget, traffic)
            keep_one = (
                self.phase is not Phase.SLOW_START
            )  # what is not known to be back is tried call by call
            self._credit.earn(now_us, credit, budget.time_per_call_us, keep_one=keep_one)

    def pause(self, until_us: int) -> None:
        """No call is made until then, a time that this sender has drawn for itself."""
        self._credit.pause(until_us)

    def spend(self, now_us: int, budget: Budget, weight: float, first: bool) -> None:
        """A call of this weight is made, or (not ``first``) so much is added to one of this moment."""
        if self.phase is Phase.HEALTHY:
            return
        if self._call_is_free(now_us):
            self._confirmation_call_made = self._confirmation_call_made or (
                first and not self._served_recently(now_us)
            )
            return
        self._credit.spend(now_us, weight, budget.time_per_call_us)

    def on_failure(
        self,
        now_us: int,
        sent_us: int,
        budget: Budget,
        traffic: EndpointTraffic,
        initial_credit: float,
        *,
        reason: str,
        outage: bool = False,
        hung: bool = False,
    ) -> PhaseChange | None:
        """A call has failed. ``outage``: most calls fail. ``hung``: others may have failed in this moment.

        ``drawn``, in 0 to 1, is the credit to begin with.
        """
        if self.phase is Phase.DOWN:
            return None
        if self.phase is Phase.SLOW_START and self._served_recently(now_us) and not outage:
            return None
        self._suspected_by_sibling = False
        if self.phase is not Phase.SUSPECT:
            self._begin_suspicion(now_us)
            if self.phase is Phase.HEALTHY:
                self.served_share = traffic.served_share
                # The message that failed has had its first call; what it may earn beyond that is a retry.
                retry_credit = (
                    0.0 if hung else max(0.0, self._credit_per_message(now_us, budget, traffic) - 1)
                )
                call_weight = self._credit_for_call(now_us, budget, traffic)
                self._credit.begin(
                    now_us,
                    initial_credit + retry_credit / call_weight,
                    budget.collapse_window_us,
                    call_weight,
                )
                self._refunded_credit = 0.0
            if not outage:
                return self._enter(Phase.SUSPECT, reason)
        elif not outage and (sent_us < self.first_failure_us or self._served_recently(now_us)):
            return None  # it was out beside the one that failed first, or others are served
        self.cold_since_us = -1
        return self._enter(Phase.DOWN, reason)

    def refund(self, now_us: int, budget: Budget, traffic: EndpointTraffic) -> None:
        """A call was answered with an error: the outage goes on, and none before now weighs on the return.

        A sender that may send many calls while the endpoint falls may try again at once. Of many senders that
        may send few, each would then have a call on its way at the return: they get a part of a call back.
        """
        if self.phase is Phase.DOWN:
            fraction = self._calls_per_collapse_window(now_us, budget, traffic) / FULL_REFUND_CALLS
            self._refunded_credit = min(1.0, max(fraction, MIN_GROUP_REFUND / budget.senders))
            self._credit.ensure_at_least(now_us, self._refunded_credit, budget.time_per_call_us)

    def max_call_weight(self, now_us: int, budget: Budget, traffic: EndpointTraffic) -> float:
        """What a call may weigh: this sender's part of a fall's budget, and a small batch at least."""
        if self.phase is Phase.HEALTHY or (self.phase is Phase.SUSPECT and self._served_recently(now_us)):
            return math.inf
        return max(SMALL_BATCH_WEIGHT, self._calls_per_collapse_window(now_us, budget, traffic))

    def confirm_by(self, until_us: int) -> None:
        """A call that is made until then may tell whether the first failure was an outage."""
        if self.phase is Phase.SUSPECT and self._confirm_by_us == NEVER_US:
            self._confirm_by_us = until_us

    def on_success(self, now_us: int, sent_us: int, budget: Budget) -> PhaseChange | None:
        """A call was served."""
        if self.phase is Phase.HEALTHY:
            self.last_success_us = now_us
            return None
        served_recently, self.last_success_us = self._served_recently(now_us), now_us
        if self.phase is Phase.SLOW_START:
            # A window that begins just before the endpoint is warm ends so much later.
            if now_us - self.cold_since_us > budget.warm_up_us + budget.collapse_window_us:
                self.cold_since_us = -1
                return self._enter(Phase.HEALTHY, "warm")
            return None
        if self.phase is Phase.SUSPECT and (
            served_recently or self._suspected_by_sibling or sent_us <= self._confirm_by_us
        ):
            self._suspected_by_sibling = False
            phase = Phase.HEALTHY if self.cold_since_us < 0 else Phase.SLOW_START
            return self._enter(phase, "served again at once")
        # The outage went on until the last failed call: of the calls so far this one weighs on the return.
        self._credit.ensure_at_least(now_us, self._refunded_credit, budget.time_per_call_us)
        self.cold_since_us, self._refunded_credit = now_us, 0.0
        return self._enter(Phase.SLOW_START, "served again")

    def on_sibling_failure(
        self, now_us: int, budget: Budget, traffic: EndpointTraffic, initial_credit: float, reason: str
    ) -> PhaseChange | None:
        """A sibling failed: endpoints of one destination mostly fail together.

        One that has just served is in no outage. Of another one nobody knows until it is called.
        """
        if self.phase is not Phase.HEALTHY or self._served_recently(now_us):
            return None
        self._begin_suspicion(now_us)
        self.served_share, self._suspected_by_sibling = traffic.served_share, True
        self._credit.begin(
            now_us, initial_credit, budget.collapse_window_us, self._credit_for_call(now_us, budget, traffic)
        )
        return self._enter(Phase.SUSPECT, reason)

    def restore(
        self,
        now_us: int,
        budget: Budget,
        initial_credit: float,
        phase: Phase,
        *,
        cold_for_us: int = 0,
        served_share: float = 1.0,
    ) -> PhaseChange | None:
        """Go on in the phase in which a former process was; in slow start, from the return that it saw.

        Credit is drawn anew: many processes may have been restarted together.
        """
        self.cold_since_us, self.first_failure_us, self.served_share = -1, now_us, served_share
        self._suspected_by_sibling = False
        self._credit.begin(now_us, initial_credit, budget.collapse_window_us, self._small_batch_credit)
        if phase is Phase.SLOW_START:
            self.cold_since_us = now_us - cold_for_us
        return self._enter(phase, "known from before the restart")

    def resume(self, now_us: int, budget: Budget, cold_for_us: int, credit_in_us: int) -> None:
        """Go on from where the process before this one, which has handed over, stood in a slow start."""
        self.phase, self.last_success_us = Phase.SLOW_START, now_us
        self.cold_since_us = max(0, now_us - cold_for_us)
        call_weight = self._small_batch_credit
        fraction = 1 - credit_in_us / (budget.time_per_call_us * call_weight)
        self._credit.begin(now_us, fraction, budget.collapse_window_us, call_weight)

    def begin_cold(self, now_us: int, budget: Budget, initial_credit: float) -> None:
        """The endpoint is known to be a new process: it is cold from now."""
        self.phase, self.cold_since_us = Phase.SLOW_START, now_us
        self._credit.begin(now_us, initial_credit, budget.collapse_window_us, self._small_batch_credit)

    def credit_available_in_us(self, now_us: int, budget: Budget) -> int:
        """How long until a call is earned, if no message comes."""
        if self.phase is Phase.HEALTHY:
            return 0
        return self._credit.next_call_us(now_us, budget.time_per_call_us) - now_us

    def _credit_per_message(self, now_us: int, budget: Budget, traffic: EndpointTraffic) -> float:
        """Calls that a new message earns, so that those of all notified senders fit the budget."""
        outage_us = min(ASSUMED_OUTAGE_US + max(0, now_us - self.first_failure_us), MAX_OUTAGE_US)
        notified = max(MIN_NOTIFIED_SHARE, notified_share(traffic.destination_per_s, outage_us))
        group_credit = budget.credit_per_message(self._cold_for_us(now_us))
        credit = max(group_credit, NOTIFIED_TO_OTHERS_RATIO * (1 - notified)) / notified
        return credit * self.served_share

    def _calls_per_collapse_window(self, now_us: int, budget: Budget, traffic: EndpointTraffic) -> float:
        """This sender's part of what a cold endpoint bears in the time in which it falls over."""
        per_s = traffic.messages_per_s
        if traffic.limit_per_s:
            per_s = min(per_s, MAX_EQUAL_SHARES * traffic.limit_per_s / budget.senders)
        return budget.credit_per_message(self._cold_for_us(now_us)) * per_s * budget.collapse_window_us / 1e6

    @property
    def _small_batch_credit(self) -> float:
        """The credit for a call of a sender whose part of the budget is small or unknown."""
        return SMALL_BATCH_CREDIT if self.batched else 1.0

    def _credit_for_call(self, now_us: int, budget: Budget, traffic: EndpointTraffic) -> float:
        """The credit that a call needs.

        A sender whose part is larger than a small batch makes about one call in the time of a fall, and may
        owe for it what is beyond one message.
        """
        large = self._calls_per_collapse_window(now_us, budget, traffic) >= SMALL_BATCH_WEIGHT
        return 1.0 if large else self._small_batch_credit

    def _begin_suspicion(self, now_us: int) -> None:
        """From now on something may be wrong, and no call has been allowed to tell."""
        self.first_failure_us, self._confirmation_call_made, self._confirm_by_us = now_us, False, NEVER_US

    def _served_recently(self, now_us: int) -> bool:
        return now_us - self.last_success_us <= RECENT_SUCCESS_US

    def _call_is_free(self, now_us: int) -> bool:
        """Whether a call needs no credit: right behind a success, or the one that may tell."""
        if self.phase is not Phase.SUSPECT or self.cold_since_us >= 0:
            return False
        return self._served_recently(now_us) or (
            not self._confirmation_call_made and now_us <= self._confirm_by_us
        )

    def _cold_for_us(self, now_us: int) -> int:
        return now_us - self.cold_since_us if self.phase is Phase.SLOW_START else 0

    def _enter(self, phase: Phase, reason: str) -> PhaseChange:
        before, self.phase = self.phase, phase
        return PhaseChange(before, phase, reason)
