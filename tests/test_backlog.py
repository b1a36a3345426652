"""The backlog index makes the same choices as an exhaustive scan, at a cost that does not grow."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import settings as runs
from hypothesis import strategies as st

from mossfront import DecisionEngine
from mossfront import interface as api
from mossfront.engine import MAX_FAILING_CALL_SHARE, REPEAT_RISK
from mossfront.state import Call, Destination, Message
from tests.support import (
    KEYED,
    ORDERED,
    SAFE,
    SECOND,
    SETTINGS,
    UNSAFE,
    ZONED,
    endpoint_update,
    entry,
    sends,
    settings,
)

CLASSES = (SAFE, KEYED, ZONED, UNSAFE, ORDERED)
STEP_US = 20_000


class ExhaustiveScan(DecisionEngine):
    """Reference implementation: every pass scores and sorts all held messages."""

    def _dispatch(self) -> None:
        ready: list[tuple[float, float, int, int, Message]] = []
        slots_short, checked = (
            self.calls_in_flight >= MAX_FAILING_CALL_SHARE * self.settings.max_calls,
            list(self.destinations_to_check),
        )
        for dest in [self.destinations[number] for number in checked]:
            if dest.held and (
                available := [e for e in dest.ready_endpoints() if self._has_capacity(dest, e)]
            ):
                has_failures = any(
                    g.consecutive_failures for e in dest.endpoints.values() for g in e.limiters
                )
                for m in filter(self._allowed_by_key_order, dest.held.values()):
                    risk = has_failures * (
                        REPEAT_RISK[m.cls.effect] + m.attempts / self.settings.max_attempts
                    )
                    slot_us = min(self._latency(m, e).mean_us for e in available) if slots_short else 1.0
                    ready.append((risk, -self._score(m) / slot_us, m.target_us, m.held_serial, m))
        new_calls_by_host: dict[str, Call] = {}
        for *_, message in sorted(ready):
            self._ensure_in_lane(message)
            if candidates := self._candidate_endpoints(message, new_calls_by_host):
                self._send(
                    message, min(candidates, key=lambda e: self._endpoint_cost(message, e)), new_calls_by_host
                )
        self._schedule_rechecks(checked)

    def _ensure_in_lane(self, message: Message) -> None:
        """Keep the index consistent: a message that waited for its key enters its lane."""
        if not message.lane_key:
            self._make_dispatchable(self.destinations[message.dest], message)

    def _expiring_by(self, dest: Destination, by_us: int) -> list[Message]:
        return sorted(
            (m for m in dest.held.values() if self._expiry_us(m) <= by_us),
            key=lambda m: (m.target_us, m.held_serial),
        )

    def _least_valuable(self) -> Message | None:
        held = [m for m in self.messages.values() if not m.done and not m.attempts_in_flight]
        return min(held, key=lambda m: (self._score(m), m.target_us, m.held_serial), default=None)


def drawn_outcome(seed: int, ref: str, attempt: int, host: str) -> tuple[api.Verdict, int, int]:
    """Draw an attempt's verdict, duration in us and Retry-After wait in us."""
    rng = random.Random(f"{seed} {ref} {attempt} {host}")
    verdict = rng.choices(list(api.Verdict)[:6], (60, 8, 14, 6, 6, 6))[0]
    wait_us = rng.choice((0, 300_000, 4 * SECOND)) if verdict is api.Verdict.FULL else 0
    return verdict, rng.randrange(20_000, 900_000), wait_us


def run_trace(engine: DecisionEngine, seed: int, rate: float) -> list[list[api.Action]]:
    """Run 6 s of traffic for five destinations and return every step's actions."""
    rng, log = random.Random(seed), list[list[api.Action]]()
    pending: list[tuple[int, api.Outcome]] = []
    attempts: dict[str, int] = {}
    hosts = [entry(f"h{n}", n % 5, ("plain", "split")[n % 2], zone="ab"[n % 3 > 0]) for n in range(9)]
    for now_us in range(0, 6 * SECOND, STEP_US):
        events: list[api.Event] = (
            [endpoint_update(*hosts)] if now_us == 0 else [o for at, o in pending if at <= now_us]
        )
        pending = [(at, o) for at, o in pending if at > now_us]
        while rng.random() < rate:
            cls, ref = rng.choice(CLASSES), f"{len(attempts)}"
            left_us = cls.deadline_us - rng.choice((0, 0, 0, SECOND))
            key = f"k{rng.randrange(4)}" if cls is ORDERED else ""
            attempts[ref] = 0
            dest, tenant = rng.choice((0, 0, 1, 2, 3, 4)), rng.choice(("big", "small"))
            events.append(api.Arrival(ref, dest, cls.name, left_us, tenant, key))
        actions = engine.step(now_us, [*events, api.TimerDue()])
        log.append(actions)
        for send in sends(actions):
            attempt, attempts[send.id] = attempts[send.id], attempts[send.id] + 1
            verdict, took_us, wait_us = drawn_outcome(seed, send.id, attempt, send.host)
            if took_us > send.timeout_us:
                verdict, took_us, wait_us = api.Verdict.TIMEOUT, send.timeout_us, 0
            done = verdict is api.Verdict.OK
            outcome = api.Outcome(send.id, attempt, send.host, verdict, took_us, done, wait_us)
            pending.append((now_us + took_us, outcome))
    return log


@runs(max_examples=25)
@given(
    st.integers(0, 1 << 32), st.sampled_from((0.3, 0.6, 0.85)), st.booleans(), st.integers(2, 10),
    st.sampled_from((12, 40, 400)), st.integers(1, 5),
)  # fmt: skip
def test_index_chooses_the_same_as_an_exhaustive_scan(
    seed: int, rate: float, halves: bool, slots: int, cap: int, attempts: int
) -> None:
    config = settings(worth_halves=halves, max_calls=slots, max_held_messages=cap, max_attempts=attempts)
    assert run_trace(DecisionEngine(config, seed), seed, rate) == run_trace(
        ExhaustiveScan(config, seed), seed, rate
    )


def test_comparison_detects_missing_breakpoints(monkeypatch: pytest.MonkeyPatch) -> None:
    """Without breakpoints only the ends of a lane are considered, and the comparison fails."""
    config = settings(worth_halves=True, max_calls=2, max_held_messages=400)
    monkeypatch.setattr("mossfront.engine.score_breakpoints", lambda *_args: ())
    pairs = ((DecisionEngine(config, seed), ExhaustiveScan(config, seed), seed) for seed in range(6))
    assert any(run_trace(one, seed, 0.85) != run_trace(other, seed, 0.85) for one, other, seed in pairs)


def scores_per_call(held: int) -> float:
    """Return how many messages are scored per call, with ``held`` messages for one destination."""
    long_class = replace(SAFE, aim_us=400 * SECOND, deadline_us=900 * SECOND)
    engine = DecisionEngine(replace(SETTINGS, classes=(long_class,), max_calls=4, max_held_messages=10**6), 1)
    scored = [0]
    score = engine._score

    def counted(message: Message, at_us: float | None = None) -> float:
        scored[0] += 1
        return score(message, at_us)

    engine._score = counted  # type: ignore[method-assign]
    arrivals = [api.Arrival(f"m{n}", 1, long_class.name, long_class.deadline_us - n) for n in range(held)]
    out = sends(engine.step(0, [endpoint_update(entry("h1"), entry("h2")), *arrivals]))
    scored[0], calls = 0, 0
    for now_us in range(100_000, 8_000_000, 100_000):
        ended = [api.Outcome(s.id, 0, s.host, api.Verdict.OK, 100_000, True) for s in out]
        out = sends(engine.step(now_us, [*ended, api.TimerDue()]))
        calls += len(out)
    assert calls > 100
    return scored[0] / calls


def test_scores_per_call_do_not_grow_with_the_backlog() -> None:
    """Scores are counted, not timed, to be the same on every machine; a scan scored every held message."""
    few, many = scores_per_call(200 + 400), scores_per_call(20_000)
    assert many <= 1.3 * few
    assert many <= 40
