"""A change counts as told 6 s after the directory had it and could be reached, whatever the calls came to."""

from __future__ import annotations

import asyncio
import itertools
import random

import pytest

from mallowlug.directory.discovery import FIRST_S, QUIET_S
from mossfront import DecisionEngine
from mossfront import interface as api
from mossfront.engine import LISTED_US
from tests.support import SECOND, endpoint_update, entry, settings
from tests.world import Request, World, delivered

SIZES = [1, 6, 30, 230, 1024]
TICK_US = 20_000
ANSWER_US = 2 * SECOND  # what a crowded directory may take for an answer, after which it fails the call
# How long a call that fails takes: refused, or answered 503; reset; waited for in vain; given up by us.
ENDS_US = (5_000, 400_000, ANSWER_US, int(FIRST_S * 1e6))


class Asking:
    """One relay of a group that must ask: feed it ends, and it says when it asks."""

    def __init__(self, size: int, seed: int) -> None:
        self.relay = DecisionEngine(
            settings(group_size=size, must_subscribe=True, ask_within_us=10 * SECOND), seed
        )
        self.now_us = 0

    def step(self, now_us: int, *events: api.Event) -> bool:
        """Whether it asks now."""
        self.now_us = now_us
        return any(isinstance(action, api.Subscribe) for action in self.relay.step(now_us, events))

    def first_us(self) -> int:
        """When it asks first, with a list that it knew."""
        return (
            0
            if self.step(0, endpoint_update(entry("h1"), kind=api.EndpointUpdateKind.CACHED))
            else self.next_us()
        )

    def next_us(self) -> int:
        """Go on until it asks; when that is."""
        while not self.step(self.now_us + TICK_US, api.TimerDue()):
            assert self.now_us < 10**9, "it never asks again"
        return self.now_us


@pytest.mark.parametrize("size", SIZES)
def test_between_the_beginnings_of_two_asks_the_directory_cannot_be_back_for_long(size: int) -> None:
    """Failed, refused, reset, waited for in vain: alone and in every order, in a group of any size."""
    rng = random.Random(size)
    for seed in range(20):
        asking = Asking(size, seed)
        begun_us = asking.first_us()
        assert begun_us <= LISTED_US - ANSWER_US
        for took_us in rng.choices(ENDS_US, k=12):
            asking.step(begun_us + took_us, api.EndpointUpdate(api.EndpointUpdateKind.FAILED))
            again_us = asking.next_us()
            assert again_us - begun_us <= LISTED_US - ANSWER_US + TICK_US
            begun_us = again_us


@pytest.mark.parametrize("size", SIZES)
def test_a_watch_that_falls_silent_is_opened_anew_in_time(size: int) -> None:
    """Found after ``QUIET_S``; what it misses counts as told 6 s after it fell silent."""
    for seed in range(20):
        asking = Asking(size, seed)
        begun_us = asking.first_us()
        asking.step(begun_us + SECOND, endpoint_update(entry("h1")))
        silent_us = begun_us + 60 * SECOND
        found_us = silent_us + int(QUIET_S * 1e6)
        asking.step(found_us, api.EndpointUpdate(api.EndpointUpdateKind.FAILED))
        assert asking.next_us() + ANSWER_US // 2 <= silent_us + LISTED_US


def returned(relays: int, capacity: int, seed: int) -> tuple[list[float], int]:
    """A directory back from 20 s of 503: when (s) each relay has heard of it, and the calls that it got.

    It works through calls in turn, and turns away at once what would wait for longer than a second.
    """
    rng, group = random.Random(seed), [Asking(relays, n) for n in range(relays)]
    inbox: dict[int, api.Event] = {
        n: endpoint_update(entry("h1"), kind=api.EndpointUpdateKind.CACHED) for n in range(relays)
    }
    heard, calls, free_us, back_us = dict[int, float](), 0, 0, 20 * SECOND
    due: dict[int, list[tuple[int, api.Event]]] = {}
    for now_us in range(0, back_us + 12 * SECOND, TICK_US):
        for number, event in due.pop(now_us, []):
            inbox[number] = event
        for number in rng.sample(range(relays), relays):
            if not group[number].step(now_us, inbox.pop(number, api.TimerDue())):
                continue
            calls += now_us >= back_us
            answer: tuple[int, api.Event] = (number, api.EndpointUpdate(api.EndpointUpdateKind.FAILED))
            at_us = now_us + TICK_US
            if now_us >= back_us and (free_us := max(free_us, now_us)) <= now_us + SECOND:
                free_us += SECOND // capacity
                answer, at_us = (number, endpoint_update(entry("h1"))), free_us + TICK_US
                heard[number] = (free_us - back_us) / 1e6
            due.setdefault(at_us - at_us % TICK_US, []).append(answer)
    return sorted(heard.values()), calls


@pytest.mark.parametrize("relays", [30, 230])
def test_at_its_return_a_group_has_heard_in_time_and_is_no_crowd(relays: int) -> None:
    """It can take a call of each in 4 s: all have heard within 6 s, by little more than one call each."""
    heard, calls = returned(relays, relays // 4, 1)
    assert len(heard) == relays
    assert heard[-1] <= LISTED_US / 1e6
    assert calls <= 1.5 * relays


def test_a_directory_that_cannot_take_all_in_time_is_kept_at_work_and_not_jammed() -> None:
    """One that needs 8 s for a call of each: not all can hear in time, but nearly all of its time is used."""
    heard, _ = returned(230, 230 // 8, 1)
    in_time = sum(at_s <= LISTED_US / 1e6 for at_s in heard)
    assert in_time >= 0.9 * (LISTED_US / 1e6) * (230 // 8)
    assert len(heard) == 230


async def test_a_drain_is_heard_in_time_however_the_calls_before_have_failed(world: World) -> None:
    """Over sockets, in a group of 230: 503, a reset, silence, a refused connection, then it is back."""
    world.settings |= {"group_size": 230}
    directory = world.directory
    host = await world.add("h1")
    first = await world.run()
    await first.insist("m0")
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
    back_s, directory.default = loop.time(), usual
    await directory.until(lambda: directory._watches)
    assert loop.time() - back_s <= LISTED_US / 1e6
    assert all(later - sooner <= 4.5 for sooner, later in itertools.pairwise(asked))
    seen = len(host.seen)
    other = await world.add("h2", delivered)
    await first.insist("m1")
    await other.call(0)
    assert len(host.seen) == seen
