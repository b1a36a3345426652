"""What a relay remembers: plain records that ``mossfront/engine.py`` fills and judges; it decides nothing."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from mossfront.interface import Arrival, DeliveryRules, EndpointEntry, Kind, Listing, OutageRecordKind
from mossfront.slow_start import NEVER_US, Budget, Phase, SlowStart

if TYPE_CHECKING:
    from mossfront.backlog import Lane


class DecayingCounter:
    """Events and how many of them count; they fade over ``memory_us`` and, by ``keep``, with each event."""

    def __init__(self, decay_us: int, keep_factor: float = 1.0) -> None:
        self.decay_us, self.keep_factor = decay_us, keep_factor
        self.hits, self.total, self.updated_us = 0.0, 0.0, 0

    def add(self, hit: bool, now_us: int, weight: float = 1.0) -> None:
        """Take in an event; what came before fades."""
        fade = self.keep_factor * math.exp((self.updated_us - now_us) / self.decay_us)
        self.hits, self.total, self.updated_us = self.hits * fade + hit, self.total * fade + weight, now_us

    def hit_share(self, now_us: int) -> float:
        """The share that counts; one event that does not is taken as known from the start."""
        fade = math.exp((self.updated_us - now_us) / self.decay_us)
        return self.hits * fade / (self.total * fade + 1)

    def rate_per_s(self, now_us: int) -> float:
        """Events a second, where all are kept: right in the sum over relays, however few each one sees."""
        return self.total * math.exp((self.updated_us - now_us) / self.decay_us) * 1e6 / self.decay_us


class TrafficRate(DecayingCounter):
    """How many new messages a second come, right also in the first seconds of a count."""

    DECAY_US = 30_000_000

    def __init__(self, now_us: int) -> None:
        super().__init__(self.DECAY_US)
        self._started_us = now_us

    def count_served(self) -> None:
        """One of the messages was delivered."""
        self.hits += 1

    @property
    def served_share(self) -> float:
        """The share that was delivered, one that is still out or has just failed left out of account."""
        return min(1.0, (self.hits + 1) / max(1.0, self.total))

    def per_s(self, now_us: int) -> float:
        """The rate so far; a count that has just begun takes a second at least."""
        age_us = max(1_000_000, now_us - self._started_us)
        return self.rate_per_s(now_us) / -math.expm1(-age_us / self.DECAY_US)


class LatencyStats:
    """How a class of message fares, at an endpoint or anywhere: answer times, and failures of its own."""

    def __init__(self, initial_us: float, failures: DecayingCounter) -> None:
        self.mean_us, self.spread_us, self.failures = initial_us, initial_us, failures

    def learn(self, took_us: float, weight: float) -> None:
        """Move mean and spread towards the newest answer."""
        self.spread_us += weight * (abs(took_us - self.mean_us) - self.spread_us)
        self.mean_us += weight * (took_us - self.mean_us)


class CallLimiter:
    """What bounds calls to an endpoint, or to all that share a limit: failures, pauses, pace, slow start."""

    def __init__(self, decay_us: int) -> None:
        self.consecutive_failures, self.last_failure_us, self.last_was_refusal = (
            0,
            0,
            False,
        )  # failures in a row; of the last
        self.slow_start = SlowStart()
        self.retry_after_until_us, self.pause_until_us = 0, NEVER_US  # told to wait until; own pause until
        self.announced_rate, self.send_rate, self.send_rate_at_us = (
            0.0,
            math.inf,
            0,
        )  # calls/s: told for all (0: not); own pace
        self.last_report, self.last_report_us = (0.0, 0.0), NEVER_US  # rate and share left as told last; when
        # Own messages that came, own successes.
        self.demand, self.served = DecayingCounter(decay_us), DecayingCounter(decay_us)

    @property
    def last_success_us(self) -> int:
        """When a call was served last."""
        return self.slow_start.last_success_us

    @property
    def blocked_until_us(self) -> int:
        """When neither a told wait nor an own pause holds back a call any more."""
        return (
            self.retry_after_until_us
            if self.retry_after_until_us > self.pause_until_us
            else self.pause_until_us
        )


class Endpoint:
    """One address: its calls in flight, quota, failure ratio and records by class."""

    def __init__(
        self,
        entry: EndpointEntry,
        kind: Kind,
        shared_limiter: CallLimiter,
        own_limiter: CallLimiter,
        failure_ratio: DecayingCounter,
    ) -> None:
        self.host, self.dest, self.zone, self.kind = entry.host, entry.dest, entry.zone, kind
        self.listing, self.failure_ratio, self.own_limiter, self.disabled = (
            entry.listing,
            failure_ratio,
            own_limiter,
            False,
        )  # out: by hand
        self.rate_limiter = own_limiter if kind.separate_routes else shared_limiter
        self.limiters = (own_limiter,) if kind.separate_routes else (own_limiter, shared_limiter)
        for limiter in self.limiters:
            limiter.slow_start.batched = kind.batch_size > 1
        self.calls: list[Call] = []
        self.latency_by_class: dict[str, LatencyStats] = {}
        self.quota, self.max_quota = 0.0, 0.0  # calls in flight allowed now, and at most
        self.last_call_ended_us = 0  # when a call last ended (0: no connection is left)
        self.gone_since_us = 0  # when it was heard that it is gone
        self.outage_record_until_us = 0  # until when a later life was told to take care
        self.outage_record_kind = OutageRecordKind.OUTAGE

    @property
    def slow_start(self) -> SlowStart:
        """The slow start whose credit a call needs: that of the shared limit goes before the own one."""
        shared_slow_start = self.rate_limiter.slow_start
        return self.own_limiter.slow_start if shared_slow_start.phase is Phase.HEALTHY else shared_slow_start

    def unblocked_at_us(self, now_us: int, budget: Budget) -> int:
        """When nothing here holds back a call any more, if no new message comes."""
        unblocked_at_us, limited = NEVER_US, False
        for limiter in self.limiters:
            unblocked_at_us = max(unblocked_at_us, limiter.retry_after_until_us, limiter.pause_until_us)
            limited = limited or limiter.slow_start.phase is not Phase.HEALTHY
        return (
            max(unblocked_at_us, self.slow_start.next_call_us(now_us, budget)) if limited else unblocked_at_us
        )

    def update_listing(self, listing: Listing, now_us: int) -> None:
        """Follow the directory."""
        if listing is Listing.GONE and self.listing is not listing:
            self.gone_since_us = now_us
        self.listing = listing


class Call:
    """One call out: a slot, an endpoint and the messages that share its fate."""

    def __init__(
        self, endpoint: Endpoint, now_us: int, overdue_after_us: float, connection_idle_us: int
    ) -> None:
        self.endpoint, self.sent_us, self.overdue_after_us, self.connection_idle_us = (
            endpoint,
            now_us,
            overdue_after_us,
            connection_idle_us,
        )
        self.message_count, self.pending_count, self.max_messages = (
            0,
            0,
            endpoint.kind.batch_size,
        )  # most: that it may carry
        self.unsent: list[tuple[Message, int]] = []  # until it is let out, with the time-out (us) of each


class CompiledRules:
    """One set of rules with what follows from it; messages of equal rules share it."""

    def __init__(self, rules: DeliveryRules, number: int, score_breakpoints: tuple[int, ...]) -> None:
        self.rules, self.number, self.score_breakpoints = rules, number, score_breakpoints


class Message:
    """A message taken in and what is known of its attempts."""

    def __init__(self, event: Arrival, compiled_rules: CompiledRules, now_us: int, worth: float) -> None:
        cls, received_us = compiled_rules.rules.cls, now_us if event.received_us < 0 else event.received_us
        self.id, self.dest, self.cls, self.worth = event.id, event.dest, cls, worth
        self.compiled_rules, self.max_attempts = compiled_rules, compiled_rules.rules.max_attempts
        self.key, self.deadline_us = event.key if cls.in_order else "", received_us + event.time_left_us
        self.target_us = self.deadline_us - cls.deadline_us + cls.aim_us
        self.attempts_in_flight: dict[int, Call] = {}
        self.attempts, self.timeouts, self.done = event.attempts, 0, False
        self.held_serial = 0  # when it was held last
        self.recovered_untried = event.recovered_untried  # a restart has found it, and it was not tried yet
        self.lane_key: tuple[object, ...] = ()  # where it is held, if it may go
        self.in_doubt_since_us, self.in_doubt_zone = (
            -1,
            "",
        )  # first attempt that may have run: when sent, and its zone
        if event.in_doubt_age_us >= 0:  # made in a former life of this relay
            self.in_doubt_since_us, self.in_doubt_zone = (
                max(0, received_us - event.in_doubt_age_us),
                event.in_doubt_zone,
            )


class Destination:
    """A partner: its endpoints, the messages held for it, and the limit that its endpoints share."""

    def __init__(self, shared_limiter: CallLimiter, now_us: int) -> None:
        self.shared_limiter = shared_limiter
        self.traffic = TrafficRate(now_us)
        self.endpoints: dict[str, Endpoint] = {}
        self.held: dict[str, Message] = {}
        self.lanes: dict[tuple[object, ...], Lane] = {}  # those of them that may go
        self.waiting_for_key: dict[str, Message] = {}  # those whose turn it is and whose key rests
        self.recheck_at_us = 0  # when it is noted to be looked at again
        self._ready_cache: list[Endpoint] | None = None

    def clear_ready_cache(self) -> None:
        """Its endpoints, or how they are listed, have changed."""
        self._ready_cache = None

    def ready_endpoints(self) -> list[Endpoint]:
        """Endpoints that the directory lists as ready and that nobody has put out."""
        if self._ready_cache is None:
            self._ready_cache = [
                e for e in self.endpoints.values() if e.listing is Listing.READY and not e.disabled
            ]
        return self._ready_cache
