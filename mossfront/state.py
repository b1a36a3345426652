"""The decision engine's state: plain records that ``mossfront/engine.py`` updates and evaluates."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from mossfront.interface import Arrival, DeliveryRules, EndpointEntry, Kind, Listing, OutageRecordKind
from mossfront.slow_start import NEVER_US, Budget, Phase, SlowStart

if TYPE_CHECKING:
    from mossfront.backlog import Lane


class DecayingCounter:
    """Counts events, and the hits among them, with decay.

    Earlier events decay exponentially over ``decay_us`` and by ``keep_factor`` with each new event.
    """

    def __init__(self, decay_us: int, keep_factor: float = 1.0) -> None:
        self.decay_us, self.keep_factor = decay_us, keep_factor
        self.hits, self.total, self.updated_us = 0.0, 0.0, 0

    def add(self, hit: bool, now_us: int, weight: float = 1.0) -> None:
        """Count an event of the given weight, after the decay of the earlier ones."""
        fade = self.keep_factor * math.exp((self.updated_us - now_us) / self.decay_us)
        self.hits, self.total, self.updated_us = self.hits * fade + hit, self.total * fade + weight, now_us

    def hit_share(self, now_us: int) -> float:
        """Return the share of hits, as if one event that is no hit had always been counted."""
        fade = math.exp((self.updated_us - now_us) / self.decay_us)
        return self.hits * fade / (self.total * fade + 1)

    def rate_per_s(self, now_us: int) -> float:
        """Return events per second, for a ``keep_factor`` of 1.

        Summed over all relays it is correct, however few events each of them sees.
        """
        return self.total * math.exp((self.updated_us - now_us) / self.decay_us) * 1e6 / self.decay_us


class TrafficRate(DecayingCounter):
    """Rate of new messages of a destination, correct also in the first seconds of the count."""

    DECAY_US = 30_000_000

    def __init__(self, now_us: int) -> None:
        super().__init__(self.DECAY_US)
        self._started_us = now_us

    def count_served(self) -> None:
        """Count a delivered message."""
        self.hits += 1

    @property
    def served_share(self) -> float:
        """Share of messages that was delivered; one in flight or just failed is not counted against it."""
        return min(1.0, (self.hits + 1) / max(1.0, self.total))

    def per_s(self, now_us: int) -> float:
        """Return the rate so far in messages/s, over at least one second."""
        age_us = max(1_000_000, now_us - self._started_us)
        return self.rate_per_s(now_us) / -math.expm1(-age_us / self.DECAY_US)


class LatencyStats:
    """Response times and failures of a message class, at one endpoint or at all."""

    def __init__(self, initial_us: float, failures: DecayingCounter) -> None:
        self.mean_us, self.spread_us, self.failures = initial_us, initial_us, failures

    def learn(self, took_us: float, weight: float) -> None:
        """Move mean and spread towards the newest response time, both in us."""
        self.spread_us += weight * (abs(took_us - self.mean_us) - self.spread_us)
        self.mean_us += weight * (took_us - self.mean_us)


class CallLimiter:
    """Limits calls to one endpoint, or to all endpoints of a destination that share a limit.

    It holds consecutive failures, waits and pauses, the send rate and the slow start.
    """

    def __init__(self, decay_us: int) -> None:
        # Count; time of the last one; whether the last one was a refusal.
        self.consecutive_failures, self.last_failure_us, self.last_was_refusal = 0, 0, False
        self.slow_start = SlowStart()
        # End of the Retry-After wait; end of the pause that this relay chose.
        self.retry_after_until_us, self.pause_until_us = 0, NEVER_US
        # Calls/s announced for all relays (0: none); calls/s of this relay, and when that was updated.
        self.announced_rate, self.send_rate, self.send_rate_at_us = 0.0, math.inf, 0
        # Rate and share left of the limit as last reported; time of that report.
        self.last_report, self.last_report_us = (0.0, 0.0), NEVER_US
        # Messages that arrived for it and successful calls, of this relay alone.
        self.demand, self.served = DecayingCounter(decay_us), DecayingCounter(decay_us)

    @property
    def last_success_us(self) -> int:
        """Time of the last successful call."""
        return self.slow_start.last_success_us

    @property
    def blocked_until_us(self) -> int:
        """When both the Retry-After wait and this relay's own pause have ended."""
        return (
            self.retry_after_until_us
            if self.retry_after_until_us > self.pause_until_us
            else self.pause_until_us
        )


class Endpoint:
    """One endpoint: its calls in flight, quota, failure ratio and latency by class.

    ``own_limiter`` is for the endpoint alone; ``rate_limiter`` is the one that a limit applies to: its own if
    the endpoints of its kind are separate routes, else the one shared by the destination.
    """

    def __init__(
        self,
        entry: EndpointEntry,
        kind: Kind,
        shared_limiter: CallLimiter,
        own_limiter: CallLimiter,
        failure_ratio: DecayingCounter,
    ) -> None:
        self.host, self.dest, self.zone, self.kind = entry.host, entry.dest, entry.zone, kind
        # ``disabled``: an operator has disabled the host.
        self.listing, self.failure_ratio, self.own_limiter, self.disabled = (
            entry.listing,
            failure_ratio,
            own_limiter,
            False,
        )
        self.rate_limiter = own_limiter if kind.separate_routes else shared_limiter
        self.limiters = (own_limiter,) if kind.separate_routes else (own_limiter, shared_limiter)
        for limiter in self.limiters:
            limiter.slow_start.batched = kind.batch_size > 1
        self.calls: list[Call] = []
        self.latency_by_class: dict[str, LatencyStats] = {}
        self.quota, self.max_quota = 0.0, 0.0  # calls in flight allowed: now, and at most
        self.last_call_ended_us = 0  # end of the last call (0: no connection is open)
        self.gone_since_us = 0  # when the directory was seen to list it as gone
        self.outage_record_until_us = 0  # end of the outage record that was last journaled
        self.outage_record_kind = OutageRecordKind.OUTAGE

    @property
    def slow_start(self) -> SlowStart:
        """The slow start whose credit a call needs: that of the rate limiter first, then its own."""
        shared_slow_start = self.rate_limiter.slow_start
        return self.own_limiter.slow_start if shared_slow_start.phase is Phase.HEALTHY else shared_slow_start

    def unblocked_at_us(self, now_us: int, budget: Budget) -> int:
        """Return when waits, pauses and slow start allow a call, if no new message arrives before."""
        unblocked_at_us, limited = NEVER_US, False
        for limiter in self.limiters:
            unblocked_at_us = max(unblocked_at_us, limiter.retry_after_until_us, limiter.pause_until_us)
            limited = limited or limiter.slow_start.phase is not Phase.HEALTHY
        return (
            max(unblocked_at_us, self.slow_start.next_call_us(now_us, budget)) if limited else unblocked_at_us
        )

    def update_listing(self, listing: Listing, now_us: int) -> None:
        """Apply the directory's listing and note when it turned to gone."""
        if listing is Listing.GONE and self.listing is not listing:
            self.gone_since_us = now_us
        self.listing = listing


class Call:
    """One call in flight: it takes a slot and carries one or more messages to an endpoint."""

    def __init__(
        self, endpoint: Endpoint, now_us: int, overdue_after_us: float, connection_idle_us: int
    ) -> None:
        self.endpoint, self.sent_us, self.overdue_after_us, self.connection_idle_us = (
            endpoint,
            now_us,
            overdue_after_us,
            connection_idle_us,
        )
        # Messages that it carries; those without an outcome yet; most messages that it may carry.
        self.message_count, self.pending_count, self.max_messages = 0, 0, endpoint.kind.batch_size
        self.unsent: list[tuple[Message, int]] = []  # messages not emitted yet, with their time-outs in us


class CompiledRules:
    """Delivery rules with values derived from them; messages with equal rules share one object."""

    def __init__(self, rules: DeliveryRules, number: int, score_breakpoints: tuple[int, ...]) -> None:
        self.rules, self.number, self.score_breakpoints = rules, number, score_breakpoints


class Message:
    """An accepted message and the state of its attempts."""

    def __init__(self, event: Arrival, compiled_rules: CompiledRules, now_us: int, worth: float) -> None:
        cls, received_us = compiled_rules.rules.cls, now_us if event.received_us < 0 else event.received_us
        self.id, self.dest, self.cls, self.worth = event.id, event.dest, cls, worth
        self.compiled_rules, self.max_attempts = compiled_rules, compiled_rules.rules.max_attempts
        self.key, self.deadline_us = event.key if cls.in_order else "", received_us + event.time_left_us
        self.target_us = self.deadline_us - cls.deadline_us + cls.aim_us
        self.attempts_in_flight: dict[int, Call] = {}
        self.attempts, self.timeouts, self.done = event.attempts, 0, False
        self.held_serial = 0  # order in which it was last held
        self.recovered_untried = event.recovered_untried  # by a restart
        self.lane_key: tuple[object, ...] = ()  # the destination's lane that it is in; (): none
        # When the first in-doubt attempt was sent (-1: there is none), and its zone.
        self.in_doubt_since_us, self.in_doubt_zone = -1, ""
        if event.in_doubt_age_us >= 0:  # attempt from before a restart
            self.in_doubt_since_us, self.in_doubt_zone = (
                max(0, received_us - event.in_doubt_age_us),
                event.in_doubt_zone,
            )


class Destination:
    """A destination: its endpoints, the messages held for it and the limiter that its endpoints share."""

    def __init__(self, shared_limiter: CallLimiter, now_us: int) -> None:
        self.shared_limiter = shared_limiter
        self.traffic = TrafficRate(now_us)
        self.endpoints: dict[str, Endpoint] = {}
        self.held: dict[str, Message] = {}
        self.lanes: dict[tuple[object, ...], Lane] = {}  # held messages that may be sent
        self.waiting_for_key: dict[str, Message] = {}  # first of their key, which is not free yet
        self.recheck_at_us = 0  # time of the queued recheck (0: none)
        self._ready_cache: list[Endpoint] | None = None

    def clear_ready_cache(self) -> None:
        """Drop the cached ready endpoints after a change of endpoints or listings."""
        self._ready_cache = None

    def ready_endpoints(self) -> list[Endpoint]:
        """Return the endpoints that are listed as ready and not disabled by an operator."""
        if self._ready_cache is None:
            self._ready_cache = [
                e for e in self.endpoints.values() if e.listing is Listing.READY and not e.disabled
            ]
        return self._ready_cache
