"""Interprets failures and recoveries of endpoints: suspicions, credit, and outage records over a restart.

This part of the policy feeds ``mossfront/slow_start.py``; ``mossfront/engine.py`` decides what is sent.
"""

from __future__ import annotations

import math
import random
from dataclasses import replace

from mossfront.interface import Action, Log, OutageRecord, OutageRecordKind, Outcome, Settings, Verdict
from mossfront.slow_start import (
    CONFIRMATION_WINDOW_US,
    RECENT_SUCCESS_US,
    Budget,
    EndpointTraffic,
    Phase,
    PhaseChange,
)
from mossfront.state import Call, CallLimiter, Destination, Endpoint, Message

OUTAGE_RECORD_VALID_US = 300_000_000  # us for which an outage record is kept for a restart
HUNG_AFTER_US = 300_000  # us: a connection that breaks later than this after the call had hung
RECOVERED_CREDIT_SHARE = 0.75  # of a new message's credit, for one that a restart recovered untried
LIMIT_USED_UP_BELOW = 0.95  # share left of a limit below which a refusal is put down to the limit
OUTAGE_WAIT_US = 1_500_000  # us: a longer Retry-After wait means an outage, not a limit
OUTAGE_FAILURE_RATIO = 0.5  # failure ratio above which an endpoint that does not only refuse is in an outage
RESTORED_PHASES = {
    OutageRecordKind.OUTAGE: Phase.DOWN,
    OutageRecordKind.SUSPICION: Phase.SUSPECT,
    OutageRecordKind.RECOVERY: Phase.SLOW_START,
}


def _connection_hung(event: Outcome) -> bool:
    """Return whether a connection broke long after the call was made.

    A host that was unresponsive resets hung connections when it is back: all senders see that at once.
    """
    return event.verdict in (Verdict.RESET, Verdict.CONNECT_FAILED) and event.elapsed_us > HUNG_AFTER_US


def _failure_reason(event: Outcome) -> str:
    """Return the reason of a failed call for the log."""
    if event.retry_after_us > 0:
        return f"{event.verdict.value}, Retry-After {event.retry_after_us / 1e6:.1f} s"
    return event.verdict.value


class OutageTracking:
    """Tracks suspected outages and recoveries of endpoints.

    Base class of ``engine.DecisionEngine``, which sets these attributes.
    """

    settings: Settings
    rng: random.Random
    now_us: int
    actions: list[Action]
    budget: Budget
    destinations: dict[int, Destination]
    destinations_to_check: dict[int, None]

    def _restore_outage_record(self, endpoint: Endpoint, record: OutageRecord) -> None:
        """Restore an endpoint's phase from before a restart: outage, suspicion or rest of a slow start."""
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
        """Emit an outage record for a later restart, when it changes and at intervals."""
        already_recorded = (
            endpoint.outage_record_until_us > self.now_us and endpoint.outage_record_kind is kind
        )
        if (
            not already_recorded
            or self.now_us + valid_for_us > endpoint.outage_record_until_us + OUTAGE_RECORD_VALID_US // 4
            or valid_for_us < OUTAGE_RECORD_VALID_US
        ):
            endpoint.outage_record_until_us, endpoint.outage_record_kind = self.now_us + valid_for_us, kind
            served_share = min(limiter.slow_start.served_share for limiter in endpoint.limiters)
            self.actions.append(OutageRecord(endpoint.host, valid_for_us, kind, served_share))

    def _add_credit(self, dest: Destination, ready: list[Endpoint], *, recovered: bool = False) -> None:
        """Add the credit of a new or recovered message to endpoints that may be down or cold."""
        # A shared limiter counts once.
        limiters = {id(limiter): limiter for endpoint in ready for limiter in endpoint.limiters}
        for limiter in limiters.values():
            if limiter.slow_start.phase is Phase.HEALTHY:
                continue
            share = 1.0 if limiter is dest.shared_limiter else 1 / len(ready)
            traffic = self._endpoint_traffic(dest, limiter)
            if recovered:  # traffic before the restart is unknown: assume all senders saw the outage
                traffic, share = replace(traffic, destination_per_s=math.inf), RECOVERED_CREDIT_SHARE * share
            limiter.slow_start.on_message(self.now_us, self.budget, traffic, share)

    def _credit_recovered(self, number: int) -> None:
        """Add credit for a message that a restart recovered untried."""
        if (dest := self.destinations.get(number)) is not None:
            self._add_credit(dest, dest.ready_endpoints(), recovered=True)
            self.destinations_to_check[number] = None

    def _endpoint_traffic(self, dest: Destination, limiter: CallLimiter) -> EndpointTraffic:
        """Return the traffic of a limiter: all of its destination, or an equal part for one endpoint."""
        share = 1.0 if limiter is dest.shared_limiter else 1 / max(1, len(dest.ready_endpoints()))
        limit_per_s = limiter.announced_rate or dest.shared_limiter.announced_rate * share
        per_s = dest.traffic.per_s(self.now_us)
        return EndpointTraffic(per_s * share, per_s, limit_per_s, dest.traffic.served_share)

    def _suspect_outage(
        self, endpoint: Endpoint, limiter: CallLimiter, call: Call, message: Message, event: Outcome
    ) -> None:
        """Report a failure to the slow start and, if it may be an outage, suspect the sibling endpoints."""
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
        # Endpoints of a destination usually fail together.
        confirms = not hung and event.elapsed_us <= RECENT_SUCCESS_US
        for sibling in self.destinations[endpoint.dest].ready_endpoints():
            if sibling is not endpoint:
                self._suspect_endpoint(sibling, f"{endpoint.host} failed", confirms=confirms)

    def _suspect_endpoint(self, endpoint: Endpoint, reason: str, *, confirms: bool) -> None:
        """Suspect an endpoint that has not served recently.

        ``confirms``: allow one call without credit that may confirm the suspicion.
        """
        traffic = self._endpoint_traffic(self.destinations[endpoint.dest], endpoint.own_limiter)
        change = endpoint.own_limiter.slow_start.on_sibling_failure(
            self.now_us, self.budget, traffic, self.rng.random(), reason
        )
        if change is None:
            return
        self._log_phase_change(endpoint, change)
        self._record_outage(endpoint, OUTAGE_RECORD_VALID_US, OutageRecordKind.SUSPICION)
        if confirms:
            endpoint.own_limiter.slow_start.confirm_by(self.now_us + CONFIRMATION_WINDOW_US)

    def _after_failure(self, endpoint: Endpoint, limiter: CallLimiter, event: Outcome) -> None:
        """After a failure, record a possible outage and allow one call that may confirm it."""
        wait_left_us = max(0, limiter.retry_after_until_us - self.now_us)
        if limiter.slow_start.phase is Phase.DOWN:
            self._record_outage(endpoint, wait_left_us + OUTAGE_RECORD_VALID_US, OutageRecordKind.OUTAGE)
        elif limiter.slow_start.cold_since_us < 0 and (
            limiter.slow_start.phase is Phase.SUSPECT or limiter.consecutive_failures
        ):
            # In a slow start the recovery is journaled. An endpoint that refuses all calls in an outage may
            # also report a limit as used up: a refusal for a limit is recorded as a suspicion until a call
            # succeeds.
            self._record_outage(endpoint, wait_left_us + OUTAGE_RECORD_VALID_US, OutageRecordKind.SUSPICION)
        pause_us = max(0, limiter.blocked_until_us - self.now_us)
        # Unless a limit is reported as used up, a Retry-After wait may be due to an outage, and it ends for
        # all relays at once.
        ends_for_all_relays = _connection_hung(event) or (
            event.retry_after_us > 0 and not self._limit_used_up(limiter, event)
        )
        # After a longer time than that, an outage might have passed in the meantime.
        if not ends_for_all_relays and max(pause_us, event.elapsed_us) <= RECENT_SUCCESS_US:
            limiter.slow_start.confirm_by(self.now_us + pause_us + CONFIRMATION_WINDOW_US)

    @staticmethod
    def _limit_used_up(limiter: CallLimiter, event: Outcome) -> bool:
        """Return whether the refusal reports the limit as used up: the endpoint serves others."""
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
        """Log a change of phase."""
        if change is not None:
            note = f" (message {message.id})" if message else ""
            line = f"{endpoint.host} {change.before.value} -> {change.after.value}: {change.reason}{note}"
            self.actions.append(Log(line))
