"""A client's retry of a refused message repeats no effect, at whichever relay it arrives.

Relays share nothing: the one that gets the retry knows neither the key's age nor the attempts of the first
one, and may hold the message until its deadline.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field, replace

import pytest

from mossfront import interface as api
from mossfront.engine import DecisionEngine
from mossfront.interface import Verdict
from tests.checker import Checker
from tests.support import KEYED, SECOND, arrival, attempt_outcome, endpoint_update, entry, sends, settings

# Endpoints remember its key for longer than any message of the class lasts.
LASTING = replace(KEYED, name="lasting", window_us=2 * KEYED.deadline_us)
CLASSES = (KEYED, LASTING)
FAR_WAIT_US = 3600 * SECOND


def final_answers(actions: list[api.Action]) -> list[type[api.Action]]:
    """Return the types of the final answers among actions."""
    return [type(action) for action in actions if isinstance(action, api.Refuse | api.Fail)]


def in_doubt_checker(cls: api.MessageClass, verdict: Verdict, **changes: object) -> tuple[Checker, api.Send]:
    """Return an engine whose first attempt of a message ended with ``verdict``, and its second attempt."""
    checker = Checker(settings(classes=CLASSES, **changes))
    [first] = sends(checker.step(0, [endpoint_update(entry("h1")), arrival("m1", cls)]))
    [second] = sends(checker.step(SECOND, [attempt_outcome(first, verdict)]))
    return checker, second


def told_to_wait(cls: api.MessageClass) -> list[api.Action]:
    """The second attempt is refused, with a wait beyond the message's time (review case 1)."""
    checker, second = in_doubt_checker(cls, Verdict.ERROR)
    refusal = attempt_outcome(second, Verdict.FULL, attempt=1, retry_after_us=FAR_WAIT_US)
    return checker.step(SECOND + 50_000, [refusal])


def no_time_left(cls: api.MessageClass) -> list[api.Action]:
    """No call ends before the deadline or, where that is earlier, before the key is forgotten."""
    checker, second = in_doubt_checker(cls, Verdict.ERROR)
    end_us = min(cls.window_us, cls.deadline_us)
    return checker.step(end_us, [attempt_outcome(second, Verdict.TIMEOUT, attempt=1)])


def no_attempts_left(cls: api.MessageClass) -> list[api.Action]:
    """The last attempt that the settings allow has ended."""
    checker, second = in_doubt_checker(cls, Verdict.ERROR, max_attempts=2)
    return checker.step(SECOND + 50_000, [attempt_outcome(second, Verdict.ERROR, attempt=1)])


def backlog_full(cls: api.MessageClass) -> list[api.Action]:
    """The message is held behind a wait, and there is no room left."""
    checker, second = in_doubt_checker(cls, Verdict.ERROR, max_held_messages=2)
    refusal = attempt_outcome(second, Verdict.FULL, attempt=1, retry_after_us=SECOND)
    actions = checker.step(SECOND + 50_000, [refusal])
    actions += checker.step(SECOND + 60_000, [arrival(f"n{number}", LASTING) for number in range(8)])
    return [action for action in actions if getattr(action, "id", "") == "m1"]


def recovered_by_a_restart(cls: api.MessageClass) -> list[api.Action]:
    """The attempt was made by the process before a restart; its endpoint names a wait beyond the time."""
    engine = DecisionEngine(settings(classes=CLASSES), 1)
    recovered = replace(
        arrival("m1", cls, time_left_us=cls.deadline_us - SECOND), attempts=1, in_doubt_age_us=SECOND
    )
    [again] = sends(engine.step(20 * SECOND, [endpoint_update(entry("h1")), recovered]))
    refusal = attempt_outcome(again, Verdict.FULL, attempt=1, retry_after_us=FAR_WAIT_US)
    return engine.step(20 * SECOND + 50_000, [refusal])


GIVE_UPS = (told_to_wait, no_time_left, no_attempts_left, backlog_full, recovered_by_a_restart)


@pytest.mark.parametrize("give_up", GIVE_UPS)
def test_a_message_in_doubt_fails_where_its_key_is_forgotten_before_its_deadline(
    give_up: Callable[[api.MessageClass], list[api.Action]],
) -> None:
    """Review case 1: refused, it was handed in again and ran a second time once its key was forgotten."""
    assert final_answers(give_up(KEYED)) == [api.Fail]


@pytest.mark.parametrize("give_up", GIVE_UPS)
def test_a_message_in_doubt_is_refused_where_its_key_outlasts_its_deadline(
    give_up: Callable[[api.MessageClass], list[api.Action]],
) -> None:
    """Any relay that gets the retry gives it up before the endpoints forget the key."""
    assert final_answers(give_up(LASTING)) == [api.Refuse]


def test_a_keyed_message_that_never_ran_is_refused() -> None:
    checker = Checker(settings(classes=CLASSES))
    [first] = sends(checker.step(0, [endpoint_update(entry("h1")), arrival("m1", KEYED)]))
    refusal = attempt_outcome(first, Verdict.FULL, retry_after_us=FAR_WAIT_US)
    assert final_answers(checker.step(50_000, [refusal])) == [api.Refuse]


@dataclass
class Partner:
    """One destination that drops repeated keys for a window, fails now and then, and shuts for some time."""

    rng: random.Random
    window_us: int
    shut_from_us: int
    reopens_us: int
    first_run_us: dict[str, int] = field(default_factory=dict)
    runs: Counter[str] = field(default_factory=Counter)

    def call(self, key: str, now_us: int, timeout_us: int) -> tuple[Verdict, int, int]:
        """Handle a call; return its verdict, its duration (us) and the wait that it is told (us)."""
        if self.shut_from_us <= now_us < self.reopens_us:
            told = self.rng.random() < 0.9
            return Verdict.FULL, 5_000, (self.reopens_us - now_us) * told
        if self.rng.random() < 0.1:
            return Verdict.CONNECT_FAILED, 5_000, 0
        verdict = self.rng.choice((Verdict.OK, Verdict.ERROR, Verdict.RESET, Verdict.TIMEOUT))
        if verdict is Verdict.OK or self.rng.random() < 0.7:
            self._run(key, now_us)
        took_us = timeout_us if verdict is Verdict.TIMEOUT else min(timeout_us, 60_000)
        return verdict, took_us, 0

    def _run(self, key: str, now_us: int) -> None:
        if now_us <= self.first_run_us.get(key, -self.window_us - 1) + self.window_us:
            return
        self.first_run_us[key] = now_us
        self.runs[key] += 1


@dataclass(frozen=True)
class Submission:
    """One message as a client hands it in; ``first_us`` is when it did so for the first time."""

    id: str
    key: str
    first_us: int


class RetryWorld:
    """Clients that retry what is refused, and relays without shared state that are restarted now and then."""

    RELAYS, MESSAGES, RETRIES = 3, 60, 3

    def __init__(self, seed: int, cls: api.MessageClass) -> None:
        """Draw a world; the destination is shut for longer than the shortest key window."""
        self.rng, self.cls = random.Random(seed), cls
        shut_us = self.rng.randrange(2 * SECOND, 8 * SECOND)
        length_us = self.rng.randrange(5 * SECOND, 15 * SECOND)
        self.partner = Partner(self.rng, cls.window_us, shut_us, shut_us + length_us)
        self.settings = settings(classes=(cls,), max_attempts=8, group_size=self.RELAYS)
        self.queue: list[tuple[int, int, Callable[[int], None]]] = []
        self.serial, self.engines = 0, [DecisionEngine(self.settings, seed + n) for n in range(self.RELAYS)]
        self.open: list[dict[str, Submission]] = [{} for _ in range(self.RELAYS)]
        self.attempts: Counter[str] = Counter()
        # By message: when each attempt was sent that is not known to have never run, as in a journal.
        self.in_doubt: defaultdict[str, dict[int, int]] = defaultdict(dict)
        self.answers: Counter[str] = Counter()
        self.refused_in_doubt = 0

    def run(self) -> None:
        """Hand in all messages and play until each has its final answer."""
        for relay in range(self.RELAYS):
            self._step(relay, 0, endpoint_update(entry("h1")))
        for number in range(self.MESSAGES):
            at_us = self.rng.randrange(12 * SECOND)
            self._at(at_us, self._hand_in, Submission(f"m{number}", f"k{number}", at_us), 0)
        for _ in range(2):
            self._at(self.rng.randrange(SECOND, 16 * SECOND), self._restart)
        while self.queue:
            at_us, _, action = heapq.heappop(self.queue)
            action(at_us)

    def _at(self, at_us: int, action: Callable[..., None], *arguments: object) -> None:
        self.serial += 1
        heapq.heappush(self.queue, (at_us, self.serial, lambda now_us: action(now_us, *arguments)))

    def _hand_in(self, now_us: int, submission: Submission, retries: int) -> None:
        relay = self.rng.randrange(self.RELAYS)
        again = replace(submission, id=f"{submission.key}-{retries}")
        time_left_us = submission.first_us + self.cls.deadline_us - now_us
        if time_left_us <= 0:
            return
        self.open[relay][again.id] = again
        self._step(relay, now_us, arrival(again.id, self.cls, time_left_us=time_left_us))

    def _restart(self, now_us: int) -> None:
        """Restart a relay: it knows its open messages and their attempts, as from its journal."""
        relay = self.rng.randrange(self.RELAYS)
        self.engines[relay] = DecisionEngine(self.settings, self.serial)
        recovered: list[api.Event] = [endpoint_update(entry("h1"))]
        for message_id, submission in self.open[relay].items():
            time_left_us = submission.first_us + self.cls.deadline_us - now_us
            sent_us = self.in_doubt[message_id].values()
            recovered.append(
                replace(
                    arrival(message_id, self.cls, time_left_us=time_left_us),
                    attempts=self.attempts[message_id],
                    in_doubt_age_us=now_us - min(sent_us) if sent_us else -1,
                )
            )
        self._step(relay, now_us, *recovered)

    def _step(self, relay: int, now_us: int, *events: api.Event) -> None:
        engine = self.engines[relay]
        for action in engine.step(now_us, events):
            if isinstance(action, api.Send):
                self._call(relay, engine, now_us, action)
            elif isinstance(action, api.Refuse | api.Fail):
                self._answered(relay, now_us, action)
            elif isinstance(action, api.SetTimer):
                self._at(now_us + action.delay_us, self._deliver, relay, engine, api.TimerDue())

    def _deliver(self, now_us: int, relay: int, engine: DecisionEngine, event: api.Event) -> None:
        """Pass an event to the engine that it belongs to, unless a restart has replaced it."""
        if self.engines[relay] is not engine:
            return
        if isinstance(event, api.Outcome):
            if event.complete:
                self.open[relay].pop(event.id, None)
                self.answers[event.id] += 1
            if event.verdict.never_ran:
                del self.in_doubt[event.id][event.attempt]
        self._step(relay, now_us, event)

    def _call(self, relay: int, engine: DecisionEngine, now_us: int, send: api.Send) -> None:
        number = self.attempts[send.id]
        self.attempts[send.id] += 1
        self.in_doubt[send.id][number] = now_us
        key = self.open[relay][send.id].key
        verdict, took_us, wait_us = self.partner.call(key, now_us, send.timeout_us)
        outcome = attempt_outcome(send, verdict, number, took_us, wait_us)
        self._at(now_us + took_us, self._deliver, relay, engine, outcome)

    def _answered(self, relay: int, now_us: int, answer: api.Refuse | api.Fail) -> None:
        submission = self.open[relay].pop(answer.id)
        self.answers[answer.id] += 1
        retries = int(answer.id.rsplit("-", 1)[1]) + 1
        if isinstance(answer, api.Fail):
            return
        self.refused_in_doubt += bool(self.in_doubt[answer.id])
        if retries <= self.RETRIES:
            wait_us = max(answer.retry_after_us, self.rng.randrange(300_000, 1_500_000))
            self._at(now_us + wait_us, self._hand_in, submission, retries)


WORLD_SEEDS = range(40)


@pytest.mark.parametrize("cls", CLASSES, ids=lambda cls: cls.name)
def test_no_key_runs_twice_whichever_relay_gets_the_retry(cls: api.MessageClass) -> None:
    """The retry may also reach the same relay, restarted."""
    refused_in_doubt = 0
    for seed in WORLD_SEEDS:
        world = RetryWorld(seed, cls)
        world.run()
        assert {key: count for key, count in world.partner.runs.items() if count > 1} == {}, seed
        assert set(world.answers.values()) == {1}, f"seed {seed}: each message gets one final answer"
        refused_in_doubt += world.refused_in_doubt
    assert refused_in_doubt > 0, "where a retry is harmless, it is asked for"
