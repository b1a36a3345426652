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

    def __init__(self, memory_us: int, keep: float = 1.0) -> None:
        self.memory_us, self.keep = memory_us, keep
        self.hits, self.total, self.at_us = 0.0, 0.0, 0

    def add(self, hit: bool, now_us: int, weight: float = 1.0) -> None:
        """Take in an event; what came before fades."""
        fade = self.keep * math.exp((self.at_us - now_us) / self.memory_us)
        self.hits, self.total, self.at_us = self.hits * fade + hit, self.total * fade + weight, now_us

    def share(self, now_us: int) -> float:
        """The share that counts; one event that does not is taken as known from the start."""
        fade = math.exp((self.at_us - now_us) / self.memory_us)
        return self.hits * fade / (self.total * fade + 1)

    def rate(self, now_us: int) -> float:
        """Events a second, where all are kept: right in the sum over relays, however few each one sees."""
        return self.total * math.exp((self.at_us - now_us) / self.memory_us) * 1e6 / self.memory_us


class TrafficRate(DecayingCounter):
    """How many new messages a second come, right also in the first seconds of a count."""

    MEMORY_US = 30_000_000

    def __init__(self, now_us: int) -> None:
        super().__init__(self.MEMORY_US)
        self._since_us = now_us

    def served(self) -> None:
        """One of the messages was delivered."""
        self.hits += 1

    @property
    def served_share(self) -> float:
        """The share that was delivered, one that is still out or has just failed left out of account."""
        return min(1.0, (self.hits + 1) / max(1.0, self.total))

    def per_s(self, now_us: int) -> float:
        """The rate so far; a count that has just begun takes a second at least."""
        age_us = max(1_000_000, now_us - self._since_us)
        return self.rate(now_us) / -math.expm1(-age_us / self.MEMORY_US)


class LatencyStats:
    """How a class of message fares, at an endpoint or anywhere: answer times, and failures of its own."""

    def __init__(self, guess_us: float, bad: DecayingCounter) -> None:
        self.mean_us, self.spread_us, self.bad = guess_us, guess_us, bad

    def learn(self, took_us: float, weight: float) -> None:
        """Move mean and spread towards the newest answer."""
        self.spread_us += weight * (abs(took_us - self.mean_us) - self.spread_us)
        self.mean_us += weight * (took_us - self.mean_us)


class CallLimiter:
    """What bounds calls to an endpoint, or to all that share a limit: failures, pauses, pace, slow start."""

    def __init__(self, memory_us: int) -> None:
        self.strikes, self.strike_us, self.refused = 0, 0, False  # failures in a row; of the last
        self.slow = SlowStart()
        self.wait_us, self.next_us = 0, NEVER_US  # told to wait until; own pause until
        self.rate, self.pace, self.pace_us = 0.0, math.inf, 0  # calls/s: told for all (0: not); own pace
        self.told, self.told_us = (0.0, 0.0), NEVER_US  # rate and share left as told last; when
        # Own messages that came, own successes.
        self.demand, self.served = DecayingCounter(memory_us), DecayingCounter(memory_us)

    @property
    def ok_us(self) -> int:
        """When a call was served last."""
        return self.slow.last_success_us

    @property
    def pause_us(self) -> int:
        """When neither a told wait nor an own pause holds back a call any more."""
        return self.wait_us if self.wait_us > self.next_us else self.next_us


class Endpoint:
    """One address: its calls in flight, quota, failure ratio and records by class."""

    def __init__(
        self, entry: EndpointEntry, kind: Kind, shared: CallLimiter, own: CallLimiter, ratio: DecayingCounter
    ) -> None:
        self.host, self.dest, self.zone, self.kind = entry.host, entry.dest, entry.zone, kind
        self.listing, self.ratio, self.own, self.out = entry.listing, ratio, own, False  # out: by hand
        self.limit = own if kind.separate_routes else shared
        self.guards = (own,) if kind.separate_routes else (own, shared)
        for guard in self.guards:
            guard.slow.batched = kind.batch_size > 1
        self.calls: list[Call] = []
        self.records: dict[str, LatencyStats] = {}
        self.quota, self.start = 0.0, 0.0  # calls in flight allowed now, and at most
        self.used_us = 0  # when a call last ended (0: no connection is left)
        self.gone_us = 0  # when it was heard that it is gone
        self.care_us = 0  # until when a later life was told to take care
        self.care_kind = OutageRecordKind.OUTAGE

    @property
    def slow(self) -> SlowStart:
        """The slow start whose credit a call needs: that of the shared limit goes before the own one."""
        shared = self.limit.slow
        return self.own.slow if shared.phase is Phase.HEALTHY else shared

    def clear_us(self, now_us: int, budget: Budget) -> int:
        """When nothing here holds back a call any more, if no new message comes."""
        clear_us, limited = NEVER_US, False
        for guard in self.guards:
            clear_us = max(clear_us, guard.wait_us, guard.next_us)
            limited = limited or guard.slow.phase is not Phase.HEALTHY
        return max(clear_us, self.slow.next_call_us(now_us, budget)) if limited else clear_us

    def follow(self, listing: Listing, now_us: int) -> None:
        """Follow the directory."""
        if listing is Listing.GONE and self.listing is not listing:
            self.gone_us = now_us
        self.listing = listing


class Call:
    """One call out: a slot, an endpoint and the messages that share its fate."""

    def __init__(self, endpoint: Endpoint, now_us: int, overdue_us: float, idle_us: int) -> None:
        self.endpoint, self.sent_us, self.overdue_us, self.idle_us = endpoint, now_us, overdue_us, idle_us
        self.messages, self.open, self.most = 0, 0, endpoint.kind.batch_size  # most: that it may carry
        self.carried: list[tuple[Message, int]] = []  # until it is let out, with the time-out (us) of each


class CompiledRules:
    """One set of rules with what follows from it; messages of equal rules share it."""

    def __init__(self, rules: DeliveryRules, number: int, bends: tuple[int, ...]) -> None:
        self.rules, self.number, self.bends = rules, number, bends


class Message:
    """A message taken in and what is known of its attempts."""

    def __init__(self, event: Arrival, manner: CompiledRules, now_us: int, worth: float) -> None:
        cls, reckoned_us = manner.rules.cls, now_us if event.received_us < 0 else event.received_us
        self.id, self.dest, self.cls, self.worth = event.id, event.dest, cls, worth
        self.manner, self.most = manner, manner.rules.max_attempts
        self.key, self.deadline_us = event.key if cls.in_order else "", reckoned_us + event.time_left_us
        self.aim_us = self.deadline_us - cls.deadline_us + cls.aim_us
        self.out: dict[int, Call] = {}
        self.attempts, self.timeouts, self.done = event.attempts, 0, False
        self.serial = 0  # when it was held last
        self.first = event.recovered_untried  # a restart has found it, and it was not tried yet
        self.lane: tuple[object, ...] = ()  # where it is held, if it may go
        self.risky_us, self.risky_zone = -1, ""  # first attempt that may have run: when sent, and its zone
        if event.in_doubt_age_us >= 0:  # made in a former life of this relay
            self.risky_us, self.risky_zone = max(0, reckoned_us - event.in_doubt_age_us), event.in_doubt_zone


class Destination:
    """A partner: its endpoints, the messages held for it, and the limit that its endpoints share."""

    def __init__(self, limit: CallLimiter, now_us: int) -> None:
        self.limit = limit
        self.traffic = TrafficRate(now_us)
        self.endpoints: dict[str, Endpoint] = {}
        self.held: dict[str, Message] = {}
        self.lanes: dict[tuple[object, ...], Lane] = {}  # those of them that may go
        self.resting: dict[str, Message] = {}  # those whose turn it is and whose key rests
        self.due_us = 0  # when it is noted to be looked at again
        self._ready: list[Endpoint] | None = None

    def listed_anew(self) -> None:
        """Its endpoints, or how they are listed, have changed."""
        self._ready = None

    def ready(self) -> list[Endpoint]:
        """Endpoints that the directory lists as ready and that nobody has put out."""
        if self._ready is None:
            self._ready = [e for e in self.endpoints.values() if e.listing is Listing.READY and not e.out]
        return self._ready
