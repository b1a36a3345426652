"""What failures and returns tell of endpoints: suspicions, doubts, credit, and care over a restart.

The part of the policy that feeds ``mossfront/slow_start.py``; ``mossfront/engine.py`` decides what is sent.
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

CARE_US = 300_000_000  # us for which an outage is told to a later life
HUNG_US = 300_000  # us: a connection that breaks after so long had hung
FOUND_SHARE = 0.75  # of the credit of a new message, for one that a restart has found untried
USED_UP = 0.95  # share left of a limit below which a refusal is the limit's
SHUT_US = 1_500_000  # us: who is told to wait for longer is told of an outage, not of a limit
OUTAGE_MARK = 0.5  # failure ratio above which an endpoint that does not only refuse is in an outage
PHASES = {
    OutageRecordKind.OUTAGE: Phase.DOWN,
    OutageRecordKind.SUSPICION: Phase.SUSPECT,
    OutageRecordKind.RECOVERY: Phase.SLOW_START,
}


def _hung(event: Outcome) -> bool:
    """Whether a connection broke long after a call was made.

    A machine that was silent and is back resets what hung on it: all senders see that at its return.
    """
    return event.verdict in (Verdict.RESET, Verdict.CONNECT_FAILED) and event.elapsed_us > HUNG_US


def _reason(event: Outcome) -> str:
    """What a failed call tells the people on call."""
    if event.retry_after_us > 0:
        return f"{event.verdict.value}, told to wait {event.retry_after_us / 1e6:.1f} s"
    return event.verdict.value


class Outages:
    """What a relay makes of failures and returns: the base of ``engine.Relay``, which sets these."""

    set: Settings
    rng: random.Random
    now: int
    actions: list[Action]
    budget: Budget
    dests: dict[int, Destination]
    look: dict[int, None]

    def _beware(self, endpoint: Endpoint, care: OutageRecord) -> None:
        """A former life saw an outage there: go on as in it, or in the slow start that was still due."""
        cold_for_us = self.set.warm_within_us + self.set.fall_us - care.valid_for_us
        for guard in endpoint.guards:
            change = guard.slow.restore(
                self.now, self.budget, self.rng.random(), PHASES[care.kind],
                cold_for_us=cold_for_us, served_share=care.served_share,
            )  # fmt: skip
            self._report(endpoint, change)
            guard.strikes, guard.strike_us = (1 if care.kind is OutageRecordKind.SUSPICION else 3), self.now
            guard.refused = False
        endpoint.care_us, endpoint.care_kind = self.now + care.valid_for_us, care.kind

    def _care(self, endpoint: Endpoint, for_us: int, kind: OutageRecordKind) -> None:
        """What a later life has to know, told when it changes and now and then."""
        known = endpoint.care_us > self.now and endpoint.care_kind is kind
        if not known or self.now + for_us > endpoint.care_us + CARE_US // 4 or for_us < CARE_US:
            endpoint.care_us, endpoint.care_kind = self.now + for_us, kind
            share = min(guard.slow.served_share for guard in endpoint.guards)
            self.actions.append(OutageRecord(endpoint.host, for_us, kind, share))

    def _credit(self, dest: Destination, ready: list[Endpoint], *, found: bool = False) -> None:
        """A message came, or has been found: endpoints that may be down or cold earn their share of it."""
        guards = {id(guard): guard for endpoint in ready for guard in endpoint.guards}  # a shared one once
        for guard in guards.values():
            if guard.slow.phase is Phase.HEALTHY:
                continue
            share = 1.0 if guard is dest.limit else 1 / len(ready)
            load = self._load(dest, guard)
            if found:  # the traffic before the restart is not known: as if all senders had met the outage
                load, share = replace(load, destination_per_s=math.inf), FOUND_SHARE * share
            guard.slow.on_message(self.now, self.budget, load, share)

    def _credit_found(self, number: int) -> None:
        """A message that a restart found untried earns credit as a new one does."""
        if (dest := self.dests.get(number)) is not None:
            self._credit(dest, dest.ready(), found=True)
            self.look[number] = None

    def _load(self, dest: Destination, guard: CallLimiter) -> EndpointTraffic:
        """An equal part of a destination's messages for each of its endpoints, or all for what they share."""
        share = 1.0 if guard is dest.limit else 1 / max(1, len(dest.ready()))
        limit_per_s = guard.rate or dest.limit.rate * share
        per_s = dest.traffic.per_s(self.now)
        return EndpointTraffic(per_s * share, per_s, limit_per_s, dest.traffic.served_share)

    def _suspect_outage(
        self, endpoint: Endpoint, guard: CallLimiter, call: Call, message: Message, event: Outcome
    ) -> None:
        """Tell the slow start of a failure, and a later life where it may be an outage."""
        slow, hung = guard.slow, _hung(event)
        failing = event.verdict is not Verdict.FULL and endpoint.ratio.share(self.now) > OUTAGE_MARK
        load = self._load(self.dests[endpoint.dest], guard)
        change = slow.on_failure(
            self.now, call.sent_us, self.budget, load, self.rng.random(), reason=_reason(event),
            outage=failing or event.retry_after_us > SHUT_US, hung=hung,
        )  # fmt: skip
        self._report(endpoint, change, message)
        if event.verdict is Verdict.ERROR:
            slow.refund(self.now, self.budget, load)
        if slow.phase is not Phase.DOWN and not hung:
            return
        # Endpoints of a destination mostly fail together.
        confirms = not hung and event.elapsed_us <= RECENT_SUCCESS_US
        for sibling in self.dests[endpoint.dest].ready():
            if sibling is not endpoint:
                self._doubt(sibling, f"{endpoint.host} failed", confirms=confirms)

    def _doubt(self, endpoint: Endpoint, reason: str, *, confirms: bool) -> None:
        """An endpoint that has not just served may be out. ``confirms``: one call may tell at once."""
        load = self._load(self.dests[endpoint.dest], endpoint.own)
        change = endpoint.own.slow.on_sibling_failure(self.now, self.budget, load, self.rng.random(), reason)
        if change is None:
            return
        self._report(endpoint, change)
        self._care(endpoint, CARE_US, OutageRecordKind.SUSPICION)
        if confirms:
            endpoint.own.slow.confirm_by(self.now + CONFIRMATION_WINDOW_US)

    def _follow_up(self, endpoint: Endpoint, guard: CallLimiter, event: Outcome) -> None:
        """Behind a failure: what a later life has to know, and until when a second call may tell more."""
        left_us = max(0, guard.wait_us - self.now)
        if guard.slow.phase is Phase.DOWN:
            self._care(endpoint, left_us + CARE_US, OutageRecordKind.OUTAGE)
        elif guard.slow.cold_since_us < 0 and (guard.slow.phase is Phase.SUSPECT or guard.strikes):
            # In a slow start the return is journaled. A shut endpoint may report a limit as used up, too:
            # a limit's refusal is a suspicion to a later life, until a call is served.
            self._care(endpoint, left_us + CARE_US, OutageRecordKind.SUSPICION)
        pause_us = max(0, guard.pause_us - self.now)
        # Unless a limit is reported as used up, a wait may be an outage's, which ends for all in one moment.
        common = _hung(event) or (event.retry_after_us > 0 and not self._limit_used_up(guard, event))
        # Behind more than that an outage might have passed meanwhile.
        if not common and max(pause_us, event.elapsed_us) <= RECENT_SUCCESS_US:
            guard.slow.confirm_by(self.now + pause_us + CONFIRMATION_WINDOW_US)

    @staticmethod
    def _limit_used_up(guard: CallLimiter, event: Outcome) -> bool:
        """Whether a refusal's own report says that the limit is used up: the endpoint serves others."""
        if not guard.rate or event.limit_remaining is None or event.retry_after_us > SHUT_US:
            return False
        return event.limit_remaining < USED_UP

    def _report(self, endpoint: Endpoint, change: PhaseChange | None, message: Message | None = None) -> None:
        """A line for each change of phase."""
        if change is not None:
            last = f" (message {message.id})" if message else ""
            line = f"{endpoint.host} {change.before.value} -> {change.after.value}: {change.reason}{last}"
            self.actions.append(Log(line))
