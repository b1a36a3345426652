"""Failures seen in simulation, reproduced with the decision engine alone."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable

from mossfront import interface as api
from mossfront.slow_start import Phase
from tests.checker import Checker
from tests.support import (
    KEYED,
    SAFE,
    SECOND,
    SETTINGS,
    UNSAFE,
    arrival,
    attempt_outcome,
    endpoint_update,
    entry,
    sends,
    settings,
)

Answer = Callable[[int, api.Send, int], tuple[api.Verdict, int] | None]
Feed = Callable[[int], list[api.Event]]
OK = api.Verdict.OK


def drive(checker: Checker, until_us: int, feed: Feed, answer: Answer) -> list[tuple[int, api.Send]]:
    """Run a relay against scripted answers: (verdict, after us) for each send; None: it times out."""
    log: list[tuple[int, api.Send]] = []
    due: list[tuple[int, api.Outcome]] = []
    for now_us in range(checker.now_us + 20_000, until_us, 20_000):
        events: list[api.Event] = [outcome for at_us, outcome in due if at_us <= now_us]
        due = [(at_us, outcome) for at_us, outcome in due if at_us > now_us]
        for send in sends(checker.step(now_us, [*events, api.TimerDue(), *feed(now_us)])):
            attempt = len(checker.messages[send.id].attempts) - 1
            result = answer(now_us, send, attempt)
            verdict, took_us = result or (api.Verdict.TIMEOUT, send.timeout_us)
            if took_us > send.timeout_us:
                verdict, took_us = api.Verdict.TIMEOUT, send.timeout_us
            due.append((now_us + took_us, attempt_outcome(send, verdict, attempt, took_us)))
            log.append((now_us, send))
    return log


def steady_load(gap_us: int, cls: api.MessageClass = SAFE, dests: tuple[int, ...] = (1,)) -> Feed:
    """A message for each destination every ``gap_us``."""
    return lambda now_us: [
        arrival(f"{cls.name}{dest}-{now_us}", cls, dest) for dest in dests if now_us % gap_us == 0
    ]


def test_few_calls_are_sent_at_a_limit_far_below_the_announced_rate() -> None:
    """Incident i2ed9dd: a lowered limit caused refusals for as long as it lasted."""
    checker = Checker(settings(rate_hints_given=True, max_held_messages=500))
    checker.step(0, [endpoint_update(entry("h1", rate_hint=20.0))])
    served: list[int] = []

    def three_a_second(now_us: int, _send: api.Send, _attempt: int) -> tuple[api.Verdict, int]:
        if not served or now_us - served[-1] > SECOND // 3:
            served.append(now_us)
            return OK, 100_000
        return api.Verdict.FULL, 40_000

    log = drive(checker, 20 * SECOND, steady_load(60_000, KEYED), three_a_second)
    calls = sum(at_us > 10 * SECOND for at_us, _ in log)
    taken = sum(at_us > 10 * SECOND for at_us in served)
    assert calls <= 1.5 * taken, "too many calls for each one that is served"
    assert taken >= 15


def test_scarce_call_slots_go_to_the_fast_destination() -> None:
    """Slow destinations just within the timeout must not take the call slots of the fast ones."""
    checker = Checker(settings(max_calls=4, max_held_messages=500))
    checker.step(0, [endpoint_update(entry("slow", dest=1), entry("quick", dest=2))])

    def answer(_now_us: int, send: api.Send, _attempt: int) -> tuple[api.Verdict, int]:
        return OK, 900_000 if send.host == "slow" else 60_000

    log = drive(checker, 12 * SECOND, steady_load(40_000, dests=(1, 2)), answer)
    quick = sum(send.host == "quick" and at_us > 4 * SECOND for at_us, send in log)
    assert quick >= 0.8 * 8 * 25, "nearly all of the quick destination's messages must be sent"


def test_failing_routes_of_a_destination_get_one_trial_call_at_a_time() -> None:
    """A failing connection occupies its slot until the connect timeout (incident ib87010)."""
    checker = Checker(settings(max_held_messages=500))
    checker.step(0, [endpoint_update(*(entry(f"h{n}", kind="split") for n in range(4)))])
    log = drive(checker, 12 * SECOND, steady_load(50_000), lambda *_: (api.Verdict.CONNECT_FAILED, SECOND))
    sent = sorted({at_us for at_us, _ in log if at_us > 6 * SECOND})  # messages of one call share a time
    assert sent, "trial calls must continue"
    assert all(later - at_us >= SECOND for at_us, later in itertools.pairwise(sent))


def test_a_brief_stall_is_not_treated_as_an_outage() -> None:
    """After a pause of hundreds of milliseconds answers are late, and the full rate resumes at once."""
    checker = Checker(settings(max_held_messages=500))
    checker.step(0, [endpoint_update(entry("h1"))])

    def answer(now_us: int, _send: api.Send, _attempt: int) -> tuple[api.Verdict, int]:
        pause = 5 * SECOND <= now_us % (6 * SECOND) < 5_400_000
        return OK, 400_000 if pause else 80_000

    log = drive(checker, 20 * SECOND, steady_load(100_000), answer)
    assert len(log) == len(checker.messages), "no message may be repeated"
    assert len([1 for at_us, _ in log if at_us > 18 * SECOND]) >= 17
    assert not [a for a in checker.actions if isinstance(a, api.Log | api.Fail | api.Refuse)]


def test_overdue_calls_stop_new_ones_before_any_timeout() -> None:
    checker = Checker(settings(max_held_messages=500))
    checker.step(0, [endpoint_update(entry("h1"), entry("h2", dest=2))])

    def answer(now_us: int, send: api.Send, _attempt: int) -> tuple[api.Verdict, int]:
        hung = send.host == "h1" and now_us > 4 * SECOND
        return OK, 60 * SECOND if hung else 80_000

    log = drive(checker, 4_800_000, steady_load(50_000, UNSAFE, (1, 2)), answer)
    after = [at_us for at_us, send in log if send.host == "h1" and at_us > 4_600_000]
    assert not after, "no further unsafe call may go there while some are overdue"


def test_a_connection_limit_beside_successes_is_no_outage() -> None:
    checker = Checker(settings(max_held_messages=500))
    checker.step(0, [endpoint_update(entry("h1"))])
    out: list[int] = []

    def two_at_once(now_us: int, _send: api.Send, _attempt: int) -> tuple[api.Verdict, int]:
        out[:] = [at_us for at_us in out if at_us > now_us]
        if len(out) >= 2:
            return api.Verdict.CONNECT_FAILED, 50_000
        out.append(now_us + 300_000)
        return OK, 300_000

    log = drive(checker, 20 * SECOND, steady_load(160_000), two_at_once)
    assert len({send.id for at_us, send in log if at_us > 10 * SECOND}) >= 55, "the call rate must not drop"
    assert checker.relay.endpoints["h1"].own_limiter.slow_start.cold_since_us < 0


def test_a_flooding_tenant_is_served_last() -> None:
    checker = Checker(settings(max_calls=1, max_held_messages=500))
    checker.step(0, [endpoint_update(entry("h1"))])

    def feed(now_us: int) -> list[api.Event]:
        flood: list[api.Event] = [arrival(f"f{now_us}", SAFE, tenant="small")]
        return flood + ([arrival(f"b{now_us}", SAFE, tenant="big")] if now_us % 200_000 == 0 else [])

    log = drive(checker, 10 * SECOND, feed, lambda *_: (OK, 100_000))
    served = {send.id for _, send in log}
    big = [name for name in checker.messages if name.startswith("b") and int(name[1:]) < 9 * SECOND]
    assert sum(name in served for name in big) >= 0.9 * len(big)


def test_connections_reset_while_idle_are_closed_earlier_and_not_held_against_the_endpoint() -> None:
    """Incident i3a3909: each call on a connection that was idle for half a second was reset at once."""
    checker = Checker(settings(max_held_messages=500, keepalive_us=10 * SECOND))
    checker.step(0, [endpoint_update(entry("h1"))])
    ended_us = [0]
    resets: list[int] = []

    def answer(now_us: int, _send: api.Send, _attempt: int) -> tuple[api.Verdict, int]:
        fresh = any(isinstance(a, api.CloseIdle) for a in checker.relay.actions)
        stale = not fresh and 0 < ended_us[0] < now_us - 500_000
        verdict, took_us = (api.Verdict.RESET, 20_000) if stale else (OK, 100_000)
        ended_us[0] = now_us + took_us
        resets.extend([now_us] if stale else [])
        return verdict, took_us

    log = drive(checker, 40 * SECOND, steady_load(800_000, UNSAFE), answer)
    assert 1 <= len(resets) <= 12
    assert len([at_us for at_us in resets if at_us > 20 * SECOND]) <= 4, (
        "most resets must be avoided once the idle limit is learned"
    )
    assert len(log) >= 45
    endpoint = checker.relay.endpoints["h1"]
    assert endpoint.quota == endpoint.max_quota and endpoint.own_limiter.slow_start.phase is Phase.HEALTHY


def test_an_endpoint_that_refuses_quickly_gets_few_calls() -> None:
    """One call in flight does not limit the rate: refusals after 20 ms would allow fifty calls a second."""
    checker = Checker(settings(max_held_messages=500))
    checker.step(0, [endpoint_update(entry("h1"))])
    log = drive(checker, 20 * SECOND, steady_load(100_000, KEYED), lambda *_: (api.Verdict.FULL, 20_000))
    assert 2 <= len([1 for at_us, _ in log if at_us > 10 * SECOND]) <= 10


def test_no_message_is_lost_when_all_destinations_fail_at_once() -> None:
    checker = Checker(settings(max_held_messages=500, max_attempts=8))
    checker.step(0, [endpoint_update(*(entry(f"h{n}", dest=n) for n in (1, 2, 3)))])

    def answer(now_us: int, _send: api.Send, _attempt: int) -> tuple[api.Verdict, int]:
        down = 2 * SECOND < now_us < 8 * SECOND
        return (api.Verdict.CONNECT_FAILED, 50_000) if down else (OK, 50_000)

    log = drive(checker, 24 * SECOND, steady_load(500_000, UNSAFE, (1, 2, 3)), answer)
    during = [at_us for at_us, _ in log if 4 * SECOND < at_us < 8 * SECOND]
    assert 3 <= len(during) <= 30, "each destination must get occasional trial calls"
    assert not [a for a in checker.actions if isinstance(a, api.Fail | api.Refuse)], (
        "no message may be given up"
    )


def failing_share(share: float, from_us: int, until_us: int) -> Answer:
    """In the interval, answer that share of the calls, drawn by a fixed seed, with an error at once."""
    rng = random.Random(7)

    def answer(now_us: int, _send: api.Send, _attempt: int) -> tuple[api.Verdict, int]:
        failing = from_us <= now_us < until_us and rng.random() < share
        return (api.Verdict.ERROR, 40_000) if failing else (OK, 120_000)

    return answer


def test_calls_continue_to_a_destination_that_mostly_returns_errors() -> None:
    """Four of five calls fail at once (second deployment, day rough-1): each further attempt may succeed."""
    checker = Checker(settings(max_held_messages=500, max_attempts=8))
    checker.step(0, [endpoint_update(entry("h1"), entry("h2"))])
    drive(checker, 30 * SECOND, steady_load(100_000), failing_share(0.8, 10 * SECOND, 30 * SECOND))
    asked = [case for case in checker.messages.values() if 16 * SECOND < case.deadline_us < 30 * SECOND]
    assert sum(case.finished and not case.answers for case in asked) >= 0.35 * len(asked), (
        "too few are delivered"
    )


def test_no_burst_when_the_errors_end() -> None:
    """Calls sent before the last error don't add load after it; calls sent after it are spaced."""
    # capacity: calls/s, slightly above the load.
    end_us, window_us, capacity = 18 * SECOND, SETTINGS.fall_us, 12.0
    checker = Checker(settings(max_held_messages=500, max_attempts=8, group_size=1))
    checker.step(0, [endpoint_update(entry("h1"))])
    log = drive(checker, 26 * SECOND, steady_load(100_000, KEYED), failing_share(0.9, 6 * SECOND, end_us))
    back = [at_us for at_us, _ in log if at_us >= end_us]
    assert len(back) > 10, "calls must resume"
    for start_us in back:
        cold_share = max(0.0, 1 - (start_us + window_us / 2 - end_us) / SETTINGS.warm_within_us)
        allowed = (
            SETTINGS.fall_multiple
            * capacity
            * (1 - (1 - SETTINGS.cold_from) * cold_share)
            * window_us
            / SECOND
        )
        assert sum(start_us <= at_us < start_us + window_us for at_us in back) <= allowed


def test_an_error_during_slow_start_does_not_raise_the_call_rate() -> None:
    """A single error among successes does not prove that the outage continues."""

    def calls_back(every: int) -> int:
        """Count the calls in the first 4 s after an outage, with every ``every``-th answered by an error."""
        checker, served = Checker(settings(max_held_messages=500, group_size=1)), itertools.count(1)
        checker.step(0, [endpoint_update(entry("h1"))])

        def answer(now_us: int, _send: api.Send, _attempt: int) -> tuple[api.Verdict, int]:
            if 6 * SECOND <= now_us < 12 * SECOND:
                return api.Verdict.RESET, 10_000
            return (OK if now_us < 12 * SECOND or next(served) % every else api.Verdict.ERROR), 60_000

        log = drive(checker, 20 * SECOND, steady_load(100_000, KEYED), answer)
        back = [at_us for at_us, _ in log if at_us >= 12 * SECOND]
        return sum(at_us < back[0] + 4 * SECOND for at_us in back)

    assert 0 < calls_back(6) <= 1.2 * calls_back(1000)
