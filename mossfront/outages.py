"""What failures and returns tell of endpoints: suspicions, doubts, credit, and care over a restart.

The part of the policy that feeds ``mossfront/slow_start.py``; ``mossfront/engine.py`` decides what is sent.
"""

from __future__ import annotations

import math
import random
from dataclasses import replace

from mossfront.interface import Action, Log, OutageRecord, OutageRecordKind, Outcome, Settings, Verdict
from mossfront.slow_start import CONFIRM_US, RECENT_US, Budget, EndpointTraffic, Phase, PhaseChange
from mossfront.state import Call, CallLimiter, Destination, Endpoint, Message

OUTAGE_RECORD_VALID_US = 300_000_000  # us for which an outage is told to a later life
HUNG_AFTER_US = 300_000  # us: a connection that breaks after so long had hung
RECOVERED_CREDIT_SHARE = 0.75  # of the credit of a new message, for one that a restart has found untried
LIMIT_USED_UP_BELOW = 0.95  # share left of a limit below which a refusal is the limit's
OUTAGE_WAIT_US = 1_500_000  # us: who is told to wait for longer is told of an outage, not of a limit
OUTAGE_FAILURE_RATIO = 0.5  # failure ratio above which an endpoint that does not only refuse is in an outage
RESTORED_PHASES = {
    OutageRecordKind.OUTAGE: Phase.DOWN,
    OutageRecordKind.SUSPICION: Phase.SUSPECT,
    OutageRecordKind.RECOVERY: Phase.SLOW_START,
}


def _connection_hung(event: Outcome) -> bool:
    """Whether a connection broke long after a call was made.

    A machine that was silent and is back resets what hung on it: all senders see that at its return.
    """
    return event.verdict in (Verdict.RESET, Verdict.CONNECT_FAILED) and event.elapsed_us > HUNG_AFTER_US


def _failure_reason(event: Outcome) -> str:
    """What a failed call tells the people on call."""
    if event.retry_after_us > 0:
        return f"{event.verdict.value}, told to wait {event.retry_after_us / 1e6:.1f} s"
    return event.verdict.value


class OutageTracking:
    """What a relay makes of failures and returns: the base of ``engine.Relay``, which sets these."""

    settings: Settings
    rng: random.Random
    now_us: int
    actions: list[Action]
    budget: Budget
    destinations: dict[int, Destination]
    destinations_to_check: dict[int, None]

    def _restore_outage_record(self, endpoint: Endpoint, record: OutageRecord) -> None:
        """A former life saw an outage there: go on as in it, or in the slow start that was still due."""
        cold_for_us = self.settings.warm_within_us + self.settings.fall_us - record.valid_for_us
        for limiter in endpoint.limiters:
            change = limiter.slow_start.restore(
                self.now_us, self.budget, self.rng.random(), RESTORED_PHASES[record.kind],
                cold_for_us=cold_for_us, served_share=record.served_share,
            )  # fmt: skip
            self._log_phase_change(endpoint, change)
            limiter.consecutive_failures, limiter.last_failure_us = (
                (1 if record.kind is OutageRecordKind.SUSPICION else 3),
                self.now_us,
            )
            limiter.last_was_refusal = False
        endpoint.outage_record_until_us, endpoint.outage_record_kind = (
            self.now_us + record.valid_for_us,
            record.kind,
        )

    def _record_outage(self, endpoint: Endpoint, valid_for_us: int, kind: OutageRecordKind) -> None:
        """What a later life has to know, told when it changes and now and then."""
        already_recorded = (
            endpoint.outage_record_until_us > self.now_us and endpoint.outage_record_kind is kind
        )
        if (
            not already_recorded
            or self.now_us + valid_for_us > endpoint.outage_record_until_us + OUTAGE_RECORD_VALID_US // 4
            or valid_for_us < OUTAGE_RECORD_VALID_US
        ):
            endpoint.outage_record_until_us, endpoint.outage_record_kind = self.now_us + valid_for_us, kind
            served_share = min(guard.slow_start.served_share for guard in endpoint.limiters)
            self.actions.append(OutageRecord(endpoint.host, valid_for_us, kind, served_share))

    def _add_credit(self, dest: Destination, ready: list[Endpoint], *, recovered: bool = False) -> None:
        """A message came, or has been found: endpoints that may be down or cold earn their share of it."""
        limiters = {
            id(guard): guard for endpoint in ready for guard in endpoint.limiters
        }  # a shared one once
        for limiter in limiters.values():
            if limiter.slow_start.phase is Phase.HEALTHY:
                continue
            share = 1.0 if limiter is dest.shared_limiter else 1 / len(ready)
            traffic = self._endpoint_traffic(dest, limiter)
            if recovered:  # the traffic before the restart is not known: as if all senders had met the outage
                traffic, share = replace(traffic, destination_per_s=math.inf), RECOVERED_CREDIT_SHARE * share
            limiter.slow_start.on_message(self.now_us, self.budget, traffic, share)

    def _credit_recovered(self, number: int) -> None:
        """A message that a restart found untried earns credit as a new one does."""
        if (dest := self.destinations.get(number)) is not None:
            self._add_credit(dest, dest.ready_endpoints(), recovered=True)
            self.destinations_to_check[number] = None

    def _endpoint_traffic(self, dest: Destination, limiter: CallLimiter) -> EndpointTraffic:
        """An equal part of a destination's messages for each of its endpoints, or all for what they share."""
        share = 1.0 if limiter is dest.shared_limiter else 1 / max(1, len(dest.ready_endpoints()))
        limit_per_s = limiter.announced_rate or dest.shared_limiter.announced_rate * share
        per_s = dest.traffic.per_s(self.now_us)
        return EndpointTraffic(per_s * share, per_s, limit_per_s, dest.traffic.served_share)

    def _suspect_outage(
        self, endpoint: Endpoint, limiter: CallLimiter, call: Call, message: Message, event: Outcome
    ) -> None:
        """Tell the slow start of a failure, and a later life where it may be an outage."""
        slow_start, hung = limiter.slow_start, _connection_hung(event)
        failing = (
            event.verdict is not Verdict.FULL
            and endpoint.failure_ratio.hit_share(self.now_us) > OUTAGE_FAILURE_RATIO
        )
        traffic = self._endpoint_traffic(self.destinations[endpoint.dest], limiter)
        change = slow_start.on_failure(
            self.now_us, call.sent_us, self.budget, traffic, self.rng.random(), reason=_failure_reason(event),
            outage=failing or event.retry_after_us > OUTAGE_WAIT_US, hung=hung,
        )  # fmt: skip
        self._log_phase_change(endpoint, change, message)
        if event.verdict is Verdict.ERROR:
            slow_start.refund(self.now_us, self.budget, traffic)
        if slow_start.phase is not Phase.DOWN and not hung:
            return
        # Endpoints of a destination mostly fail together.
        confirms = not hung and event.elapsed_us <= RECENT_US
        for sibling in self.destinations[endpoint.dest].ready_endpoints():
            if sibling is not endpoint:
                self._suspect_endpoint(sibling, f"{endpoint.host} failed", confirms=confirms)

    def _suspect_endpoint(self, endpoint: Endpoint, reason: str, *, confirms: bool) -> None:
        """An endpoint that has not just served may be out. ``confirms``: one call may tell at once."""
        traffic = self._endpoint_traffic(self.destinations[endpoint.dest], endpoint.own_limiter)
        change = endpoint.own_limiter.slow_start.on_sibling_failure(
            self.now_us, self.budget, traffic, self.rng.random(), reason
        )
        if change is None:
            return
        self._log_phase_change(endpoint, change)
        self._record_outage(endpoint, OUTAGE_RECORD_VALID_US, OutageRecordKind.SUSPICION)
        if confirms:
            endpoint.own_limiter.slow_start.confirm_by(self.now_us + CONFIRM_US)

    def _after_failure(self, endpoint: Endpoint, limiter: CallLimiter, event: Outcome) -> None:
        """Behind a failure: what a later life has to know, and until when a second call may tell more."""
        wait_left_us = max(0, limiter.retry_after_until_us - self.now_us)
        if limiter.slow_start.phase is Phase.DOWN:
            self._record_outage(endpoint, wait_left_us + OUTAGE_RECORD_VALID_US, OutageRecordKind.OUTAGE)
        elif limiter.slow_start.cold_since_us < 0 and (
            limiter.slow_start.phase is Phase.SUSPECT or limiter.consecutive_failures
        ):
            # In a slow start the return is journaled. A shut endpoint may report a limit as used up, too:
            # a limit's refusal is a suspicion to a later life, until a call is served.
            self._record_outage(endpoint, wait_left_us + OUTAGE_RECORD_VALID_US, OutageRecordKind.SUSPICION)
        pause_us = max(0, limiter.blocked_until_us - self.now_us)
        # Unless a limit is reported as used up, a wait may be an outage's, which ends for all in one moment.
        may_be_outage_wait = _connection_hung(event) or (
            event.retry_after_us > 0 and not self._limit_used_up(limiter, event)
        )
        # Behind more than that an outage might have passed meanwhile.
        if not may_be_outage_wait and max(pause_us, event.elapsed_us) <= RECENT_US:
            limiter.slow_start.confirm_by(self.now_us + pause_us + CONFIRM_US)

    @staticmethod
    def _limit_used_up(limiter: CallLimiter, event: Outcome) -> bool:
        """Whether a refusal's own report says that the limit is used up: the endpoint serves others."""
        if (
            not limiter.announced_rate
            or event.limit_remaining is None
            or event.retry_after_us > OUTAGE_WAIT_US
        ):
            return False
        return event.limit_remaining < LIMIT_USED_UP_BELOW

    def _log_phase_change(
        self, endpoint: Endpoint, change: PhaseChange | None, message: Message | None = None
    ) -> None:
        """A line for each change of phase."""
        if change is not None:
            note = f" (message {message.id})" if message else ""
            line = f"{endpoint.host} {change.before.value} -> {change.after.value}: {change.reason}{note}"
            self.actions.append(Log(line))
