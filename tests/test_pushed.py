"""Lists pushed to an agent beside the relay, whose news counts as told; lists that come in pieces."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from types import SimpleNamespace

from mallowlug.compose import LEAST_ANSWER_S, answer_s
from mallowlug.config import config_of
from mallowlug.directory.discovery import FIRST_S, Watch
from mallowlug.system import POSIX
from mossfront import DecisionEngine
from mossfront import interface as api
from tests.support import SECOND, endpoint_update, entry, settings
from tests.world import HttpServer, Request, World, delivered, silent, soon

GRACE_US = 300_000
LARGE = 200


def asks(relay: DecisionEngine, now_us: int, *events: api.Event) -> bool:
    """Whether a step asks for the list."""
    return any(isinstance(action, api.Subscribe) for action in relay.step(now_us, events))


def large(pushed: bool) -> DecisionEngine:
    """One of 200 relays."""
    group = settings(group_size=LARGE, drain_grace_us=GRACE_US, ask_within_us=SECOND)
    return DecisionEngine(replace(group, must_subscribe=True, list_is_pushed=pushed), 3)


def test_an_agent_is_asked_at_once_however_large_the_group() -> None:
    """From the first moment of a new process what the agent has counts as told."""
    cached = endpoint_update(entry("h1"), kind=api.EndpointUpdateKind.CACHED)
    assert asks(large(True), 0, cached)
    assert not asks(large(False), 0, cached)  # one directory for all: their asks are spread


def test_a_watch_that_ended_is_opened_anew_well_within_a_drains_grace_each_time() -> None:
    relay, now_us = large(True), 0
    asks(relay, 0, endpoint_update(entry("h1"), kind=api.EndpointUpdateKind.CACHED))
    for _ in range(6):  # also while discovery stays down: its return is told at once
        asks(relay, now_us, api.EndpointUpdate(api.EndpointUpdateKind.FAILED))
        assert relay.ask_us - now_us <= GRACE_US // 2
        now_us = relay.ask_us
        assert asks(relay, now_us, api.TimerDue())


async def test_an_ask_that_an_agent_leaves_unanswered_is_given_up_for_the_next(world: World) -> None:
    """Silent while discovery is down: an ask that hung on would outlast its return."""
    agent = HttpServer(silent)
    await agent.start()
    failed = asyncio.Event()
    watch = Watch(
        ("127.0.0.1", agent.port), 0, lambda _news: None, failed.set, POSIX, most_line=1 << 20, answer_s=0.05
    )
    watch.subscribe()
    await agent.call(0)
    await asyncio.wait_for(failed.wait(), FIRST_S)
    watch.close()
    agent.stop()
    world.settings |= {"discovery": "push"}
    world.environment()
    assert told_s(world, GRACE_US) == GRACE_US / 4e6
    assert told_s(world, 0) == LEAST_ANSWER_S
    world.settings |= {"discovery": "ask"}
    assert told_s(world, GRACE_US) == FIRST_S


def told_s(world: World, grace_us: int) -> float:
    """How long the relay of such settings waits for an answer."""
    rules = world.settings["rules"] | {"drain_grace_us": grace_us}
    raw = {
        "name": "n0", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "limits": {}, "seed": 1,
        "settings": world.settings | {"rules": rules},
    }  # fmt: skip

    machine = SimpleNamespace(environ={"ROUTER_STATE": str(world.state)}, disk=POSIX.disk)
    return answer_s(config_of(machine, raw))


async def indented(world: World, *pieces: bytes) -> None:
    """Tell the relay a list in pieces."""
    for request in world.directory._watches:
        for piece in pieces:
            world.directory.raw(request, piece)
            await soon(request.writer.drain())


async def test_a_list_indented_over_many_lines_is_one_list(world: World) -> None:
    host = HttpServer(delivered)
    await host.start()
    client = await world.run()
    row = f"""{{
  "seq": 9,
  "whole": true,
  "hosts": [
    {{
      "host": "h7", "dial": "127.0.0.1:{host.port}", "site": "a", "class": "lots", "block": 1,
      "health": "SERVING",
      "share": 1.0
    }}
  ]
}}
"""
    await world.directory.until(lambda: world.directory._watches)
    await indented(world, *(line.encode() + b"\n" for line in row.splitlines()))
    await client.insist("m1")
    await host.call(0)
    assert world.directory.connections == 1
    host.stop()


async def test_a_list_cut_short_ends_its_watch_at_the_next_empty_line(world: World) -> None:
    """Behind half a list nothing is to be believed, and whatever follows must not pass for its end."""
    await world.run()
    await world.directory.until(lambda: world.directory._watches)
    watches = len(world.directory.seen)
    await indented(world, b'{"seq": 9, "whole": false, "hosts": [\n', b"\n")
    await world.directory.until(lambda: len(world.directory.seen) > watches)


async def test_a_list_that_trickles_without_end_ends_its_watch(world: World) -> None:
    await world.run()
    await world.directory.until(lambda: world.directory._watches)
    watches = len(world.directory.seen)
    world.directory.heartbeat = False
    trickle = asyncio.create_task(endless(world))
    await world.directory.until(lambda: len(world.directory.seen) > watches)
    trickle.cancel()


async def endless(world: World) -> None:
    """A list whose bytes come one by one and have no end."""
    request: Request = world.directory._watches[0]
    world.directory.raw(request, b'{"seq": 9, "hosts": [')
    while not request.writer.transport.is_closing():
        world.directory.raw(request, b" ")
        await asyncio.sleep(0.1)
