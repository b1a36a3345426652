"""Timing of subscriptions to the directory, by which updates must arrive in time.

A change counts as received 6 s after the directory has it and is reachable, however the calls to it fare.
"""

from __future__ import annotations

import asyncio
import itertools
import random

import pytest

from mallowlug.directory.discovery import FIRST_LINE_TIMEOUT_S, SILENCE_TIMEOUT_S
from mossfront import DecisionEngine
from mossfront import interface as api
from mossfront.engine import LIST_CHANGE_KNOWN_US
from tests.support import SECOND, endpoint_update, entry, settings
from tests.world import Request, World, delivered

SIZES = [1, 6, 30, 230, 1024]
TICK_US = 20_000
MAX_RESPONSE_US = 2 * SECOND  # an overloaded directory fails a call after this time
# Duration of a failed call: refused or answered by 503; reset; failed by the directory; timed out here.
FAILURE_DURATIONS_US = (5_000, 400_000, MAX_RESPONSE_US, int(FIRST_LINE_TIMEOUT_S * 1e6))


class Subscriber:
    """A relay of a group that must subscribe: takes the results of its calls, reports when it subscribes."""

    def __init__(self, size: int, seed: int) -> None:
        self.relay = DecisionEngine(
            settings(group_size=size, must_subscribe=True, ask_within_us=10 * SECOND), seed
        )
        self.now_us = 0

    def step(self, now_us: int, *events: api.Event) -> bool:
        """Whether it subscribes now."""
        self.now_us = now_us
        return any(isinstance(action, api.Subscribe) for action in self.relay.step(now_us, events))

    def first_subscription_us(self) -> int:
        """Return when it subscribes first, given a cached list."""
        return (
            0
            if self.step(0, endpoint_update(entry("h1"), kind=api.EndpointUpdateKind.CACHED))
            else self.next_subscription_us()
        )

    def next_subscription_us(self) -> int:
        """Run until it subscribes; return when."""
        while not self.step(self.now_us + TICK_US, api.TimerDue()):
            assert self.now_us < 10**9, "it never subscribes again"
        return self.now_us


@pytest.mark.parametrize("size", SIZES)
def test_subscription_attempts_start_at_bounded_intervals(size: int) -> None:
    """Calls fail in every way and order, in groups of any size; the directory's return is noticed in time."""
    rng = random.Random(size)
    for seed in range(20):
        subscriber = Subscriber(size, seed)
        started_us = subscriber.first_subscription_us()
        assert started_us <= LIST_CHANGE_KNOWN_US - MAX_RESPONSE_US
        for took_us in rng.choices(FAILURE_DURATIONS_US, k=12):
            subscriber.step(started_us + took_us, api.EndpointUpdate(api.EndpointUpdateKind.FAILED))
            again_us = subscriber.next_subscription_us()
            assert again_us - started_us <= LIST_CHANGE_KNOWN_US - MAX_RESPONSE_US + TICK_US
            started_us = again_us


@pytest.mark.parametrize("size", SIZES)
def test_a_silent_watch_is_reopened_in_time(size: int) -> None:
    """Detected after ``SILENCE_TIMEOUT_S``; missed changes count as received 6 s after the silence began."""
    for seed in range(20):
        subscriber = Subscriber(size, seed)
        started_us = subscriber.first_subscription_us()
        subscriber.step(started_us + SECOND, endpoint_update(entry("h1")))
        silent_us = started_us + 60 * SECOND
        detected_us = silent_us + int(SILENCE_TIMEOUT_S * 1e6)
        subscriber.step(detected_us, api.EndpointUpdate(api.EndpointUpdateKind.FAILED))
        assert subscriber.next_subscription_us() + MAX_RESPONSE_US // 2 <= silent_us + LIST_CHANGE_KNOWN_US


def simulate_directory_return(relays: int, capacity: int, seed: int) -> tuple[list[float], int]:
    """Simulate a directory that returns after 20 s of 503.

    Returns when (s) each relay received the list, and how many calls the directory got. It serves calls in
    turn, and rejects at once those that would wait for longer than a second.
    """
    rng, group = random.Random(seed), [Subscriber(relays, n) for n in range(relays)]
    inbox: dict[int, api.Event] = {
        n: endpoint_update(entry("h1"), kind=api.EndpointUpdateKind.CACHED) for n in range(relays)
    }
    received_s, calls, free_us, return_us = dict[int, float](), 0, 0, 20 * SECOND
    due: dict[int, list[tuple[int, api.Event]]] = {}
    for now_us in range(0, return_us + 12 * SECOND, TICK_US):
        for number, event in due.pop(now_us, []):
            inbox[number] = event
        for number in rng.sample(range(relays), relays):
            if not group[number].step(now_us, inbox.pop(number, api.TimerDue())):
                continue
            calls += now_us >= return_us
            answer: tuple[int, api.Event] = (number, api.EndpointUpdate(api.EndpointUpdateKind.FAILED))
            at_us = now_us + TICK_US
            if now_us >= return_us and (free_us := max(free_us, now_us)) <= now_us + SECOND:
                free_us += SECOND // capacity
                answer, at_us = (number, endpoint_update(entry("h1"))), free_us + TICK_US
                received_s[number] = (free_us - return_us) / 1e6
            due.setdefault(at_us - at_us % TICK_US, []).append(answer)
    return sorted(received_s.values()), calls


@pytest.mark.parametrize("relays", [30, 230])
def test_after_its_return_the_directory_reaches_a_group_in_time_without_a_rush(relays: int) -> None:
    """It can serve a call of each relay in 4 s: all get the list within 6 s, with few extra calls."""
    received_s, calls = simulate_directory_return(relays, relays // 4, 1)
    assert len(received_s) == relays
    assert received_s[-1] <= LIST_CHANGE_KNOWN_US / 1e6
    assert calls <= 1.5 * relays


def test_a_directory_too_slow_for_the_group_is_kept_busy_and_not_overloaded() -> None:
    """It needs 8 s for a call of each relay: not all are served in time, but it is nearly always busy."""
    received_s, _ = simulate_directory_return(230, 230 // 8, 1)
    in_time = sum(at_s <= LIST_CHANGE_KNOWN_US / 1e6 for at_s in received_s)
    assert in_time >= 0.9 * (LIST_CHANGE_KNOWN_US / 1e6) * (230 // 8)
    assert len(received_s) == 230


async def test_a_drain_is_received_in_time_however_earlier_calls_failed(world: World) -> None:
    """Over sockets, in a group of 230: 503, a reset and silence, then the directory returns."""
    world.settings |= {"group_size": 230}
    directory = world.directory
    host = await world.add("h1")
    first = await world.run()
    await first.submit_until_accepted("m0")
    await host.call(0)
    loop = asyncio.get_running_loop()
    usual, asked = directory.default, list[float]()

    def failing(how: str) -> None:
        def reply(request: Request) -> None:
            if request.method == "POST":
                usual(request)
                return
            asked.append(loop.time())
            if how == "503":
                request.answer(503)
            elif how == "reset":
                request.reset()

        directory.default = reply

    failing("503")
    for request in directory._watches:
        request.reset()
    directory._watches.clear()
    for how in ("reset", "silent", "503"):
        before = len(asked)
        await directory.until(lambda: len(asked) > before)  # noqa: B023
        failing(how)
    await directory.until(lambda: len(asked) >= 4)
    directory.change("h1", health="DRAINING")
    return_s, directory.default = loop.time(), usual
    await directory.until(lambda: directory._watches)
    assert loop.time() - return_s <= LIST_CHANGE_KNOWN_US / 1e6
    assert all(later - sooner <= 4.5 for sooner, later in itertools.pairwise(asked))
    seen = len(host.seen)
    other = await world.add("h2", delivered)
    await first.submit_until_accepted("m1")
    await other.call(0)
    assert len(host.seen) == seen
