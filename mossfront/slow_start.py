"""Slow start of one endpoint for a group of senders that share no state. No I/O and no clock of its own.

An endpoint that returns from an outage is cold: for a while it can take only a part of its capacity, counted
over the calls of all senders together. A sender does not know what the others send, what the capacity is, or
when the endpoint returned. Each sender therefore follows a rule whose sum over independent senders equals the
budget in the mean, for any number of senders and any distribution of the traffic. While the endpoint may be
down or cold, every new message for it earns a fraction of a call (``credit_per_message``), and a call may be
made once a whole one is earned. The fraction is the share of its ordinary traffic that a cold endpoint can
take. A sender with little traffic earns little, and held messages earn nothing more.

Of senders that rarely call, few have observed the outage, and only the calls of those that have count against
the budget. A sender estimates their share from its own traffic (``notified_share``) and earns more, the
smaller that share is.

If the demand exceeds what the endpoint can serve, a message earns less in proportion to the share of messages
that was delivered before the failure.

A first failure does not prove an outage. A second call within ``CONFIRMATION_WINDOW_US`` of the failure may
show whether it was one. That call can reach a returned endpoint only if the outage ended within that short
time, so it needs no credit.

``docs/slow-start.md`` has the derivation and the measurements.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

from mossfront.call_credit import CallCredit

RECENT_SUCCESS_US = 2_000_000  # an endpoint that served a call within this time is not yet in an outage
CONFIRMATION_WINDOW_US = 1_000_000  # after a first failure and its pause: time for one free confirmation call
MAX_OUTAGE_US = 60_000_000  # longer outages are counted as this long
# Calls of notified senders for each call of the others. At 2 (two thirds of all calls are from notified
# senders) the operators' rule for a cold endpoint would apply, however full the window is.
NOTIFIED_TO_OTHERS_RATIO = 1.2
FULL_REFUND_CALLS = 3.0  # a sender's calls per collapse window from which a failed call is refunded whole
MIN_GROUP_REFUND = 3.0  # calls that all senders together are refunded at once at least
MAX_EQUAL_SHARES = 2.0  # equal shares of an announced limit that one sender's messages count for at most
SMALL_BATCH_WEIGHT = 1.8  # weight of a call that any sender may make
SMALL_BATCH_CREDIT = 1.4  # credit that such a call needs: about the mean weight of these calls
SMALL_GROUP_SENDERS = 4  # a group of up to this size earns one call by time alone per collapse window
MAX_WINDOWS_PER_CALL = 3.0  # a larger group earns one by time alone in at most this many collapse windows
MIN_NOTIFIED_SHARE = 0.1  # lower bound of the estimate, however rarely a sender calls
ASSUMED_OUTAGE_US = 10_000_000  # length of an outage while nothing else is known
NEVER_US = -(1 << 60)


class Phase(Enum):
    """A sender's view of an endpoint."""

    HEALTHY = "healthy"
    SUSPECT = "suspect"  # a call failed; whether this is an outage is not yet known
    DOWN = "down"
    SLOW_START = "slow start"


@dataclass(frozen=True, slots=True)
class PhaseChange:
    """A phase transition and its reason, for the log."""

    before: Phase
    after: Phase
    reason: str


@dataclass(frozen=True, slots=True)
class EndpointTraffic:
    """What this sender knows about an endpoint's traffic."""

    messages_per_s: float  # this sender's new messages for the endpoint
    destination_per_s: float  # this sender's new messages for all endpoints of the destination
    limit_per_s: float = 0.0  # announced rate limit for all senders together; 0: none announced
    served_share: float = 1.0  # share of its messages that was delivered; below 1 under overload


@dataclass(frozen=True, slots=True)
class Budget:
    """The configured properties of a cold endpoint, and the number of senders that share it."""

    senders: int
    collapse_multiple: float  # multiple of its present capacity that it can take
    collapse_window_us: int  # more than that for so long causes an overload collapse
    cold_capacity_share: float  # share of its capacity at its return
    warm_up_us: int  # time from its return to full capacity

    @property
    def time_per_call_us(self) -> int:
        """Time in which one sender earns a call without any message.

        In a small group it is short enough for a held message to be attempted. In a large group it is not;
        there the calls earned by time only add to those earned by messages, so they are kept few.
        """
        windows = min(MAX_WINDOWS_PER_CALL, max(1.0, self.senders / SMALL_GROUP_SENDERS))
        return int(windows * self.collapse_window_us * self.senders)

    def credit_per_message(self, cold_for_us: int) -> float:
        """Return the calls that a new message earns ``cold_for_us`` after the return (0: none yet)."""
        warm_share = min(1.0, max(0, cold_for_us) / max(1, self.warm_up_us))
        return self.collapse_multiple * (
            self.cold_capacity_share + (1 - self.cold_capacity_share) * warm_share
        )


def notified_share(messages_per_s: float, outage_us: int) -> float:
    """Return the share of a group's traffic whose senders have observed an outage of that length.

    All senders are taken to send at the same rate.
    """
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
        self.first_failure_us = NEVER_US  # when the first failure of this suspicion was received
        self.last_success_us = NEVER_US  # when the last success was received
        self.cold_since_us = -1  # when the return was observed; -1: not in slow start
        self.batched = False  # whether a call may carry several messages
        self._credit = CallCredit()
        self._confirm_by_us = NEVER_US
        self._confirmation_call_made = False
        self._refunded_credit = 0.0  # fraction of a call refunded for the last failed one
        self._suspected_by_sibling = False  # no call failed here, but one to a sibling did
        self.served_share = 1.0  # share of messages delivered before the first failure

    def needs_credit(self, now_us: int) -> bool:
        """Whether calls need credit now: not shortly after a success, nor for the confirmation call."""
        return self.phase is not Phase.HEALTHY and not self._call_is_free(now_us)

    def next_call_us(self, now_us: int, budget: Budget) -> int:
        """Return when the next call may be made if no message arrives before."""
        return (
            self._credit.next_call_us(now_us, budget.time_per_call_us)
            if self.needs_credit(now_us)
            else NEVER_US
        )

    def on_message(
        self, now_us: int, budget: Budget, traffic: EndpointTraffic, endpoint_share: float
    ) -> None:
        """Credit a new message for the destination; ``endpoint_share`` of it counts for this endpoint."""
        if self.phase is not Phase.HEALTHY:
            credit = endpoint_share * self._credit_per_message(now_us, budget, traffic)
            keep_one = self.phase is not Phase.SLOW_START  # until the return is observed: one call at a time
            self._credit.earn(now_us, credit, budget.time_per_call_us, keep_one=keep_one)

    def pause(self, until_us: int) -> None:
        """Make no call until then, a time that this sender drew at random for itself."""
        self._credit.pause(until_us)

    def spend(self, now_us: int, budget: Budget, weight: float, first: bool) -> None:
        """Charge a call of this weight, or (not ``first``) a further message in the call just made."""
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
        """Record a failed call that was sent at ``sent_us``.

        ``outage``: the caller takes the failure for an outage. ``hung``: the connection was reset after a
        long wait, as may have happened to all senders at this moment. ``initial_credit``: a random number
        in 0 to 1.
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
                # The failed message has had its first call; its credit beyond one call is for a retry.
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
            return None  # in flight at the first failure, or others succeed
        self.cold_since_us = -1
        return self._enter(Phase.DOWN, reason)

    def refund(self, now_us: int, budget: Budget, traffic: EndpointTraffic) -> None:
        """Refund a call that was answered with an error: the outage continues.

        Calls up to now do not count against the budget of the return. A sender whose share of the budget is
        many calls per collapse window may retry at once. If each of many senders with small shares did so,
        all of them would have a call in flight at the return, so they are refunded a fraction of a call.
        """
        if self.phase is Phase.DOWN:
            fraction = self._calls_per_collapse_window(now_us, budget, traffic) / FULL_REFUND_CALLS
            self._refunded_credit = min(1.0, max(fraction, MIN_GROUP_REFUND / budget.senders))
            self._credit.ensure_at_least(now_us, self._refunded_credit, budget.time_per_call_us)

    def max_call_weight(self, now_us: int, budget: Budget, traffic: EndpointTraffic) -> float:
        """Return a call's maximum weight: this sender's calls per collapse window, at least a small batch."""
        if self.phase is Phase.HEALTHY or (self.phase is Phase.SUSPECT and self._served_recently(now_us)):
            return math.inf
        return max(SMALL_BATCH_WEIGHT, self._calls_per_collapse_window(now_us, budget, traffic))

    def confirm_by(self, until_us: int) -> None:
        """Allow one free call until then, which may show whether the first failure was an outage."""
        if self.phase is Phase.SUSPECT and self._confirm_by_us == NEVER_US:
            self._confirm_by_us = until_us

    def on_success(self, now_us: int, sent_us: int, budget: Budget) -> PhaseChange | None:
        """Record a successful call that was sent at ``sent_us``."""
        if self.phase is Phase.HEALTHY:
            self.last_success_us = now_us
            return None
        served_recently, self.last_success_us = self._served_recently(now_us), now_us
        if self.phase is Phase.SLOW_START:
            # A collapse window that begins just before the endpoint is warm ends that much later.
            if now_us - self.cold_since_us > budget.warm_up_us + budget.collapse_window_us:
                self.cold_since_us = -1
                return self._enter(Phase.HEALTHY, "warm-up finished")
            return None
        if self.phase is Phase.SUSPECT and (
            served_recently or self._suspected_by_sibling or sent_us <= self._confirm_by_us
        ):
            self._suspected_by_sibling = False
            phase = Phase.HEALTHY if self.cold_since_us < 0 else Phase.SLOW_START
            return self._enter(phase, "call succeeded soon after the failure")
        # The outage lasted until the last failed call, so only this call counts after the return.
        self._credit.ensure_at_least(now_us, self._refunded_credit, budget.time_per_call_us)
        self.cold_since_us, self._refunded_credit = now_us, 0.0
        return self._enter(Phase.SLOW_START, "call succeeded after the outage")

    def on_sibling_failure(
        self, now_us: int, budget: Budget, traffic: EndpointTraffic, initial_credit: float, reason: str
    ) -> PhaseChange | None:
        """Suspect this endpoint because a sibling failed: endpoints of one destination mostly fail together.

        An endpoint that served a call recently is not in an outage. The state of any other is unknown until
        it is called.
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
        """Continue in the phase before the restart; in slow start, from the return observed then.

        The credit is drawn anew, as many processes may have been restarted together.
        """
        self.cold_since_us, self.first_failure_us, self.served_share = -1, now_us, served_share
        self._suspected_by_sibling = False
        self._credit.begin(now_us, initial_credit, budget.collapse_window_us, self._small_batch_credit)
        if phase is Phase.SLOW_START:
            self.cold_since_us = now_us - cold_for_us
        return self._enter(phase, "restored after the restart")

    def resume(self, now_us: int, budget: Budget, cold_for_us: int, credit_in_us: int) -> None:
        """Continue the slow start of the process that handed over; a call is due in ``credit_in_us``."""
        self.phase, self.last_success_us = Phase.SLOW_START, now_us
        self.cold_since_us = max(0, now_us - cold_for_us)
        call_weight = self._small_batch_credit
        fraction = 1 - credit_in_us / (budget.time_per_call_us * call_weight)
        self._credit.begin(now_us, fraction, budget.collapse_window_us, call_weight)

    def begin_cold(self, now_us: int, budget: Budget, initial_credit: float) -> None:
        """Begin a slow start now: the endpoint is known to be a new, cold process."""
        self.phase, self.cold_since_us = Phase.SLOW_START, now_us
        self._credit.begin(now_us, initial_credit, budget.collapse_window_us, self._small_batch_credit)

    def credit_available_in_us(self, now_us: int, budget: Budget) -> int:
        """Return the time until a call is earned if no message arrives."""
        if self.phase is Phase.HEALTHY:
            return 0
        return self._credit.next_call_us(now_us, budget.time_per_call_us) - now_us

    def _credit_per_message(self, now_us: int, budget: Budget, traffic: EndpointTraffic) -> float:
        """Return the calls that a new message earns so that all notified senders fit the budget together."""
        outage_us = min(ASSUMED_OUTAGE_US + max(0, now_us - self.first_failure_us), MAX_OUTAGE_US)
        notified = max(MIN_NOTIFIED_SHARE, notified_share(traffic.destination_per_s, outage_us))
        group_credit = budget.credit_per_message(self._cold_for_us(now_us))
        credit = max(group_credit, NOTIFIED_TO_OTHERS_RATIO * (1 - notified)) / notified
        return credit * self.served_share

    def _calls_per_collapse_window(self, now_us: int, budget: Budget, traffic: EndpointTraffic) -> float:
        """Return this sender's share of the calls that a cold endpoint can take in a collapse window."""
        per_s = traffic.messages_per_s
        if traffic.limit_per_s:
            per_s = min(per_s, MAX_EQUAL_SHARES * traffic.limit_per_s / budget.senders)
        return budget.credit_per_message(self._cold_for_us(now_us)) * per_s * budget.collapse_window_us / 1e6

    @property
    def _small_batch_credit(self) -> float:
        """The credit for a call of a sender whose share of the budget is small or unknown."""
        return SMALL_BATCH_CREDIT if self.batched else 1.0

    def _credit_for_call(self, now_us: int, budget: Budget, traffic: EndpointTraffic) -> float:
        """Return the credit that a call needs.

        A sender whose share is larger than a small batch makes about one call per collapse window. It needs
        credit for one message only; its balance may go negative by the rest of the call's weight.
        """
        large = self._calls_per_collapse_window(now_us, budget, traffic) >= SMALL_BATCH_WEIGHT
        return 1.0 if large else self._small_batch_credit

    def _begin_suspicion(self, now_us: int) -> None:
        """Begin a suspicion now; no confirmation call has been allowed or made."""
        self.first_failure_us, self._confirmation_call_made, self._confirm_by_us = now_us, False, NEVER_US

    def _served_recently(self, now_us: int) -> bool:
        return now_us - self.last_success_us <= RECENT_SUCCESS_US

    def _call_is_free(self, now_us: int) -> bool:
        """Whether a call needs no credit: shortly after a success, or as the confirmation call."""
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
