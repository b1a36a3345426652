"""Model of a simulated endpoint: rate limit, queue, Retry-After waits, cold return, deduplication keys.

It does no I/O and reads no clock. Times are seconds of any monotonic clock that the caller uses.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Literal

from mallowlug.rig.judge import cold
from mallowlug.rig.world.draw import HostPlan

BURST_S = 0.5  # burst that a rate limit admits, in seconds of its rate
ITEM_COST = 0.15  # cost of each further message in a batch, as a share of its own work


class KeyMemory:
    """Idempotency keys that the endpoints of one destination remember."""

    def __init__(self) -> None:
        self._expires_s: dict[str, float] = {}

    def add_if_new(self, key: str, window_s: float, now_s: float) -> bool:
        """Return whether the key is new, and remember a new one for the window."""
        if self._expires_s.get(key, 0.0) > now_s:
            return False
        self._expires_s[key] = now_s + window_s
        if len(self._expires_s) > 50_000:
            self._expires_s = {known: until for known, until in self._expires_s.items() if until > now_s}
        return True


@dataclass(slots=True, eq=False)
class Job:
    """The work of one call; ``work_s`` is its duration at normal speed."""

    call: int
    size: int
    work_s: float


@dataclass(frozen=True, slots=True)
class Refusal:
    """A refused call, with a Retry-After wait in seconds (0: none)."""

    wait_s: float = 0.0


@dataclass(slots=True)
class HostModel:
    """One endpoint: ``offer`` accepts or refuses a call, ``finish_job`` frees its server for the next one."""

    plan: HostPlan
    rng: random.Random
    collapse_multiple: float = 1.5
    collapse_window_s: float = 3.0
    state: Literal["up", "refuse", "silent", "shut", "fallen"] = "up"
    slowdown: float = 1.0
    reopens_s: float = 0.0  # end of an outage of kind ``shut``
    running: int = 0
    queue: deque[Job] = field(default_factory=deque)
    tokens: float = 1.0
    tokens_updated_s: float = 0.0
    cold_return: cold.ColdReturn | None = None
    recent_arrivals: deque[tuple[int, float]] = field(default_factory=deque)

    def capacity_share(self, now_s: float) -> float:
        """Return the share of its full capacity that is available now."""
        return self.cold_return.share(now_s * 1e6) if self.cold_return else 1.0

    def end_outage(self, now_s: float, work_lost: bool) -> None:
        """End an outage: the endpoint is up and cold. ``work_lost``: running and queued calls are dropped."""
        plan = self.plan
        self.state, self.slowdown = "up", 1.0
        self.recent_arrivals.clear()
        if work_lost:
            self.running = 0
            self.queue.clear()
        self.cold_return = cold.ColdReturn(
            round(now_s * 1e6), plan.per_s, plan.cold_from, round(plan.warm_s * 1e6)
        )

    def collapses_on_arrival(self, size: int, now_s: float) -> bool:
        """Count an arrival; return whether it makes a cold endpoint collapse from overload."""
        if self.cold_return is None:
            return False
        if now_s * 1e6 > self.cold_return.at_us + self.cold_return.warm_us:
            self.cold_return = None
            return False
        self.recent_arrivals.append((round(now_s * 1e6), cold.call_weight(size, ITEM_COST)))
        overload = cold.first_overload(
            self.cold_return,
            list(self.recent_arrivals),
            self.collapse_multiple,
            round(self.collapse_window_s * 1e6),
        )
        if overload is None:
            return False
        self.state = "fallen"
        return True

    def _refusal(self, wait_s: float) -> Refusal:
        return Refusal(wait_s if self.rng.random() < self.plan.kind.tells_wait else 0.0)

    def _refill(self, now_s: float) -> None:
        rate = self.plan.per_s * self.capacity_share(now_s)
        self.tokens = min(max(1.0, rate * BURST_S), self.tokens + (now_s - self.tokens_updated_s) * rate)
        self.tokens_updated_s = now_s

    def offer(self, job: Job, now_s: float) -> Refusal | float | None:
        """Accept or refuse a call.

        Returns a refusal, the service time in seconds, or None if the call is queued.
        """
        if self.state == "shut":
            return self._refusal(max(0.05, self.reopens_s - now_s))
        if self.plan.kind.limited:
            self._refill(now_s)
            if self.tokens < 1.0:
                if self.plan.kind.refused_count:
                    self.tokens -= 1.0
                low, high = self.plan.kind.wait_ms
                rate = self.plan.per_s * self.capacity_share(now_s)
                return self._refusal(max(self.rng.uniform(low, high) / 1000, (1 - self.tokens) / rate))
            self.tokens -= 1.0
        if self.running < self.plan.servers:
            self.running += 1
            return self.service_time_s(job, now_s)
        if len(self.queue) >= self.plan.queue:
            return Refusal()
        self.queue.append(job)
        return None

    def service_time_s(self, job: Job, now_s: float) -> float:
        """Return a job's duration at this endpoint, which grows while the endpoint is slow or cold."""
        return (
            job.work_s * self.plan.service_time_factor * self.slowdown / max(0.05, self.capacity_share(now_s))
        )

    def finish_job(self, now_s: float) -> tuple[Job, float] | None:
        """Finish a job; return the next queued job and its service time, if there is one."""
        if not self.queue:
            self.running = max(0, self.running - 1)
            return None
        job = self.queue.popleft()
        return job, self.service_time_s(job, now_s)

    def load_report(self, now_s: float) -> tuple[float, float] | None:
        """Return the load report: share of the limit that is left, and the limit in calls per second."""
        if not self.plan.kind.limited:
            return None
        self._refill(now_s)
        rate = self.plan.per_s * self.capacity_share(now_s)
        noise = self.rng.uniform(0.95, 1.05)
        return min(1.0, max(0.0, self.tokens / max(1.0, rate * BURST_S))), rate * noise


def call_work_s(works: Sequence[float], rng: random.Random) -> float:
    """Return the work of a call: its longest message in full, ``ITEM_COST`` of each other.

    Each message is drawn from an exponential distribution.
    """
    drawn = sorted((rng.expovariate(1 / work) for work in works), reverse=True)
    return drawn[0] + ITEM_COST * sum(drawn[1:])


def first_uses(memory: KeyMemory, keys: Iterable[tuple[str, float]], now_s: float) -> list[bool]:
    """Return, for each (key, window), whether the message takes effect; an empty key always does."""
    return [not key or memory.add_if_new(key, window_s, now_s) for key, window_s in keys]
