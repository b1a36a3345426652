"""What is held is found by an index: the same choices as by looking at all, at a cost that does not grow."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import settings as runs
from hypothesis import strategies as st

from mossfront import DecisionEngine
from mossfront import interface as api
from mossfront.engine import RISKS, SICK_SHARE
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


class Plain(DecisionEngine):
    """The reference: every pass scores all that is held and sorts it."""

    def _dispatch(self) -> None:
        ready: list[tuple[float, float, int, int, Message]] = []
        short, looked = self.calls_out >= SICK_SHARE * self.set.max_calls, list(self.look)
        for dest in [self.dests[number] for number in looked]:
            if dest.held and (rooms := [e for e in dest.ready() if self._room(dest, e)]):
                ill = any(g.strikes for e in dest.endpoints.values() for g in e.guards)
                for m in filter(self._has_turn, dest.held.values()):
                    risk = ill * (RISKS[m.cls.effect] + m.attempts / self.set.max_attempts)
                    slot_us = min(self._record(m, e).mean_us for e in rooms) if short else 1.0
                    ready.append((risk, -self._score(m) / slot_us, m.aim_us, m.serial, m))
        opened: dict[str, Call] = {}
        for *_, message in sorted(ready):
            self._enter_anyway(message)
            if spots := self._spots(message, opened):
                self._send(message, min(spots, key=lambda e: self._cost(message, e)), opened)
        self._due_again(looked)

    def _enter_anyway(self, message: Message) -> None:
        """The index's own books stay in order: what rested enters with its turn."""
        if not message.lane:
            self._enter(self.dests[message.dest], message)

    def _ending(self, dest: Destination, start_us: int) -> list[Message]:
        return sorted(
            (m for m in dest.held.values() if self._end_us(m) <= start_us), key=lambda m: (m.aim_us, m.serial)
        )

    def _worst(self) -> Message | None:
        held = [m for m in self.messages.values() if not m.done and not m.out]
        return min(held, key=lambda m: (self._score(m), m.aim_us, m.serial), default=None)


def answer_of(seed: int, ref: str, attempt: int, host: str) -> tuple[api.Verdict, int, int]:
    """What an attempt comes to: verdict, how long it takes, and the wait that is told."""
    rng = random.Random(f"{seed} {ref} {attempt} {host}")
    verdict = rng.choices(list(api.Verdict)[:6], (60, 8, 14, 6, 6, 6))[0]
    wait_us = rng.choice((0, 300_000, 4 * SECOND)) if verdict is api.Verdict.FULL else 0
    return verdict, rng.randrange(20_000, 900_000), wait_us


def played(relay: DecisionEngine, seed: int, rate: float) -> list[list[api.Action]]:
    """A day of 6 s over five destinations: every step's actions."""
    rng, log = random.Random(seed), list[list[api.Action]]()
    due: list[tuple[int, api.Outcome]] = []
    tries: dict[str, int] = {}
    hosts = [entry(f"h{n}", n % 5, ("plain", "split")[n % 2], zone="ab"[n % 3 > 0]) for n in range(9)]
    for now_us in range(0, 6 * SECOND, STEP_US):
        events: list[api.Event] = (
            [endpoint_update(*hosts)] if now_us == 0 else [o for at, o in due if at <= now_us]
        )
        due = [(at, o) for at, o in due if at > now_us]
        while rng.random() < rate:
            cls, ref = rng.choice(CLASSES), f"{len(tries)}"
            left_us = cls.deadline_us - rng.choice((0, 0, 0, SECOND))
            key = f"k{rng.randrange(4)}" if cls is ORDERED else ""
            tries[ref] = 0
            dest, tenant = rng.choice((0, 0, 1, 2, 3, 4)), rng.choice(("big", "small"))
            events.append(api.Arrival(ref, dest, cls.name, left_us, tenant, key))
        actions = relay.step(now_us, [*events, api.TimerDue()])
        log.append(actions)
        for send in sends(actions):
            attempt, tries[send.id] = tries[send.id], tries[send.id] + 1
            verdict, took_us, wait_us = answer_of(seed, send.id, attempt, send.host)
            if took_us > send.timeout_us:
                verdict, took_us, wait_us = api.Verdict.TIMEOUT, send.timeout_us, 0
            done = verdict is api.Verdict.OK
            told = api.Outcome(send.id, attempt, send.host, verdict, took_us, done, wait_us)
            due.append((now_us + took_us, told))
    return log


@runs(max_examples=25)
@given(
    st.integers(0, 1 << 32), st.sampled_from((0.3, 0.6, 0.85)), st.booleans(), st.integers(2, 10),
    st.sampled_from((12, 40, 400)), st.integers(1, 5),
)  # fmt: skip
def test_the_same_is_chosen_as_by_looking_at_all(
    seed: int, rate: float, halves: bool, slots: int, cap: int, attempts: int
) -> None:
    told = settings(worth_halves=halves, max_calls=slots, max_held_messages=cap, max_attempts=attempts)
    assert played(DecisionEngine(told, seed), seed, rate) == played(Plain(told, seed), seed, rate)


def test_a_wrong_bend_is_noticed(monkeypatch: pytest.MonkeyPatch) -> None:
    """The comparison can fail: without the bends only a lane's ends are looked at."""
    told = settings(worth_halves=True, max_calls=2, max_held_messages=400)
    monkeypatch.setattr("mossfront.engine.bends", lambda *_args: ())
    pairs = ((DecisionEngine(told, seed), Plain(told, seed), seed) for seed in range(6))
    assert any(played(one, seed, 0.85) != played(other, seed, 0.85) for one, other, seed in pairs)


def scores_per_call(held: int) -> float:
    """How many messages are scored for each call, with so many held for one destination."""
    long = replace(SAFE, aim_us=400 * SECOND, deadline_us=900 * SECOND)
    relay = DecisionEngine(replace(SETTINGS, classes=(long,), max_calls=4, max_held_messages=10**6), 1)
    scored = [0]
    real = relay._score

    def counted(message: Message, at_us: float | None = None) -> float:
        scored[0] += 1
        return real(message, at_us)

    relay._score = counted  # type: ignore[method-assign]
    arrivals = [api.Arrival(f"m{n}", 1, long.name, long.deadline_us - n) for n in range(held)]
    out = sends(relay.step(0, [endpoint_update(entry("h1"), entry("h2")), *arrivals]))
    scored[0], calls = 0, 0
    for now_us in range(100_000, 8_000_000, 100_000):
        ended = [api.Outcome(s.id, 0, s.host, api.Verdict.OK, 100_000, True) for s in out]
        out = sends(relay.step(now_us, [*ended, api.TimerDue()]))
        calls += len(out)
    assert calls > 100
    return scored[0] / calls


def test_a_call_costs_as_many_scores_with_20000_held_as_with_200() -> None:
    """Counted, not timed: the same on every machine. By looking at all it was one for each that is held."""
    few, many = scores_per_call(200 + 400), scores_per_call(20_000)
    assert many <= 1.3 * few
    assert many <= 40
