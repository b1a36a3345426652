"""Generated sequences of valid events, checked against the rules; actions are the same in every process."""

from __future__ import annotations

import os
import subprocess
import sys

from hypothesis import HealthCheck, given
from hypothesis import settings as profile
from hypothesis import strategies as st

from mossfront import interface as api
from mossfront.engine import DecisionEngine
from tests.checker import Checker
from tests.support import (
    KEYED,
    ORDERED,
    SAFE,
    SECOND,
    UNSAFE,
    ZONED,
    arrival,
    endpoint_update,
    entry,
    sends,
    settings,
)

VERDICTS = list(api.Verdict)
CLASSES = (SAFE, KEYED, ZONED, UNSAFE, ORDERED)
LISTINGS = st.sampled_from(list(api.Listing))
HOSTS = [(f"h{n}", n % 3, "split" if n % 3 == 2 else "plain", "ab"[n // 3 % 2]) for n in range(9)]

Step = tuple[
    int,
    list[tuple[api.MessageClass, int, str]],
    list[tuple[api.Verdict, int]],
    tuple[int, api.Listing] | None,
    bool,
]
STEP = st.tuples(
    st.integers(5_000, 1_500_000),  # us since the last batch
    st.lists(st.tuples(st.sampled_from(CLASSES), st.integers(0, 2), st.sampled_from("kq")), max_size=6),
    st.lists(st.tuples(st.sampled_from(VERDICTS), st.sampled_from([0, 0, 300_000, 40_000_000])), max_size=6),
    st.one_of(st.none(), st.tuples(st.integers(0, 8), LISTINGS)),
    st.booleans(),
)


def play(config: api.Settings, script: list[Step], seed: int) -> list[api.Action]:
    """Turn a script into events as an adapter could report them and run it until all messages are final."""
    checker = Checker(config, seed)
    entries = [entry(host, dest, kind, zone=zone, rate_hint=5.0) for host, dest, kind, zone in HOSTS]
    checker.step(0, [endpoint_update(*entries, kind=api.EndpointUpdateKind.CACHED)])
    out: list[tuple[api.Send, int]] = []
    now_us, serial = 0, 0

    def take(actions: list[api.Action]) -> None:
        for send in sends(actions):
            out.append((send, sum(1 for a in checker.messages[send.id].attempts) - 1))

    def expired(until_us: int) -> list[api.Event]:
        """Return the timeouts due by now; every attempt gets exactly one outcome."""
        events: list[api.Event] = []
        for send, attempt in list(out):
            if checker.messages[send.id].attempts[attempt].expires_us <= until_us:
                out.remove((send, attempt))
                events.append(api.Outcome(send.id, attempt, send.host, api.Verdict.TIMEOUT, send.timeout_us))
        return events

    for gap_us, new, ends, change, withdraw in script:
        target_us = now_us + gap_us
        while now_us < target_us:  # small steps, as timers and timeouts would cause
            now_us = min(target_us, now_us + 20_000)
            take(checker.step(now_us, [*expired(now_us), api.TimerDue()]))
        events: list[api.Event] = []
        for verdict, wait_us in ends:
            if out:
                send, attempt = out.pop(0)
                done = verdict is api.Verdict.OK
                wait = wait_us if verdict is api.Verdict.FULL else 0
                events.append(api.Outcome(send.id, attempt, send.host, verdict, 90_000, done, wait))
        if change is not None:
            host, dest, kind, zone = HOSTS[change[0]]
            news = entry(host, dest, kind, change[1], zone, 5.0)
            events.append(endpoint_update(news, kind=api.EndpointUpdateKind.CHANGES))
        for cls, dest, key in new:
            serial += 1
            events.append(arrival(f"m{serial}", cls, dest, key=key, tenant="small"))
        if withdraw and serial:
            events.append(api.MessageWithdrawn(f"m{(serial + 1) // 2}"))
        take(checker.step(now_us, events))
    while now_us < 200 * SECOND and not all(case.finished for case in checker.messages.values()):
        now_us += 20_000
        take(checker.step(now_us, [*expired(now_us), api.TimerDue()]))
    assert all(case.finished for case in checker.messages.values())
    return checker.actions


@profile(
    max_examples=40,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(st.lists(STEP, min_size=1, max_size=12), st.booleans(), st.booleans(), st.integers(1, 4))
def test_no_valid_event_sequence_violates_a_rule(
    script: list[Step], must_subscribe: bool, hints_given: bool, slots: int
) -> None:
    config = settings(
        must_subscribe=must_subscribe,
        ask_within_us=10 * SECOND,
        rate_hints_given=hints_given,
        max_calls=slots,
        may_probe=hints_given,
        may_duplicate=must_subscribe,
    )
    play(config, script, 7)


SCRIPT: list[Step] = [
    (
        300_000,
        [(cls, dest, "k") for cls in CLASSES for dest in range(2)],
        [(verdict, 0) for verdict in VERDICTS],
        (dest, api.Listing.READY),
        False,
    )
    for dest in range(3)
]

HASHED = """
from tests.test_sequences import SCRIPT, play
from tests.support import settings
for seed in (3, 4):
    print(play(settings(), SCRIPT, seed))
"""


def test_the_same_actions_whatever_the_hash_seed() -> None:
    outputs = set()
    for seed in ("0", "1", "77"):
        env = {**os.environ, "PYTHONHASHSEED": seed}
        done = subprocess.run(
            [sys.executable, "-c", HASHED], env=env, capture_output=True, text=True, check=True
        )
        outputs.add(done.stdout)
    assert len(outputs) == 1
    assert "Send(" in outputs.pop()


def test_a_timer_that_fires_a_microsecond_early_is_set_again() -> None:
    """The clocks of process and loop differ: a held message was answered only with the next event."""
    relay = DecisionEngine(settings(), seed=1)
    relay.step(0, [endpoint_update(entry("h1", listing=api.Listing.DRAINING)), arrival("m1")])
    [end_us] = [at_us for at_us, *_ in relay.expiry_queue]
    early = relay.step(end_us - 1, [api.TimerDue()])
    [wake] = [action for action in early if isinstance(action, api.SetTimer)]
    late = relay.step(end_us - 1 + wake.delay_us, [api.TimerDue()])
    assert [action.id for action in late if isinstance(action, api.Refuse)] == ["m1"]
