"""Lists pushed to a local agent, whose updates count as received at once; lists that arrive in pieces."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from types import SimpleNamespace

from mallowlug.compose import MIN_ANSWER_S, watch_answer_timeout_s
from mallowlug.config import parse_config
from mallowlug.directory.discovery import FIRST_LINE_TIMEOUT_S, DirectoryWatch
from mallowlug.system import POSIX
from mossfront import DecisionEngine
from mossfront import interface as api
from tests.support import SECOND, endpoint_update, entry, settings
from tests.world import HttpServer, Request, World, delivered, silent, soon

GRACE_US = 300_000
LARGE = 200


def subscribes(relay: DecisionEngine, now_us: int, *events: api.Event) -> bool:
    """Whether a step subscribes to the list."""
    return any(isinstance(action, api.Subscribe) for action in relay.step(now_us, events))


def engine_in_large_group(pushed: bool) -> DecisionEngine:
    """Return the decision engine of one of 200 relays."""
    group = settings(group_size=LARGE, drain_grace_us=GRACE_US, ask_within_us=SECOND)
    return DecisionEngine(replace(group, must_subscribe=True, list_is_pushed=pushed), 3)


def test_a_local_agent_is_subscribed_to_at_once_in_a_group_of_any_size() -> None:
    """From the start of a new process, what the agent has counts as received."""
    cached = endpoint_update(entry("h1"), kind=api.EndpointUpdateKind.CACHED)
    assert subscribes(engine_in_large_group(True), 0, cached)
    # One directory for all relays: subscriptions are spread over time.
    assert not subscribes(engine_in_large_group(False), 0, cached)


def test_a_watch_that_ended_is_reopened_within_half_a_drain_grace_period() -> None:
    relay, now_us = engine_in_large_group(True), 0
    subscribes(relay, 0, endpoint_update(entry("h1"), kind=api.EndpointUpdateKind.CACHED))
    for _ in range(6):  # also while discovery stays down: its return counts as known at once
        subscribes(relay, now_us, api.EndpointUpdate(api.EndpointUpdateKind.FAILED))
        assert relay.subscribe_at_us - now_us <= GRACE_US // 2
        now_us = relay.subscribe_at_us
        assert subscribes(relay, now_us, api.TimerDue())


async def test_an_unanswered_subscription_times_out(world: World) -> None:
    """The agent is silent while discovery is down; a hanging subscription would outlast its return."""
    agent = HttpServer(silent)
    await agent.start()
    failed = asyncio.Event()
    watch = DirectoryWatch(
        ("127.0.0.1", agent.port),
        0,
        lambda _news: None,
        failed.set,
        POSIX,
        max_line_bytes=1 << 20,
        response_timeout_s=0.05,
    )
    watch.subscribe()
    await agent.call(0)
    await asyncio.wait_for(failed.wait(), FIRST_LINE_TIMEOUT_S)
    watch.close()
    agent.stop()
    world.settings |= {"discovery": "push"}
    world.environment()
    assert configured_timeout_s(world, GRACE_US) == GRACE_US / 4e6
    assert configured_timeout_s(world, 0) == MIN_ANSWER_S
    world.settings |= {"discovery": "ask"}
    assert configured_timeout_s(world, GRACE_US) == FIRST_LINE_TIMEOUT_S


def configured_timeout_s(world: World, grace_us: int) -> float:
    """Return how long (s) a relay with these settings waits for a response."""
    rules = world.settings["rules"] | {"drain_grace_us": grace_us}
    raw = {
        "name": "n0", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "limits": {}, "seed": 1,
        "settings": world.settings | {"rules": rules},
    }  # fmt: skip

    machine = SimpleNamespace(environ={"ROUTER_STATE": str(world.state)}, disk=POSIX.disk)
    return watch_answer_timeout_s(parse_config(machine, raw))


async def send_in_pieces(world: World, *pieces: bytes) -> None:
    """Send the relay a list in pieces."""
    for request in world.directory._watches:
        for piece in pieces:
            world.directory.send_chunk(request, piece)
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
    await send_in_pieces(world, *(line.encode() + b"\n" for line in row.splitlines()))
    await client.submit_until_accepted("m1")
    await host.call(0)
    assert world.directory.connections == 1
    host.stop()


async def test_a_truncated_list_ends_its_watch_at_the_next_empty_line(world: World) -> None:
    """Data after a truncated list is not trusted, and must not be taken for the list's end."""
    await world.run()
    await world.directory.until(lambda: world.directory._watches)
    watches = len(world.directory.seen)
    await send_in_pieces(world, b'{"seq": 9, "whole": false, "hosts": [\n', b"\n")
    await world.directory.until(lambda: len(world.directory.seen) > watches)


async def test_an_endless_list_ends_its_watch(world: World) -> None:
    await world.run()
    await world.directory.until(lambda: world.directory._watches)
    watches = len(world.directory.seen)
    world.directory.heartbeat = False
    trickle = asyncio.create_task(send_endless_list(world))
    await world.directory.until(lambda: len(world.directory.seen) > watches)
    trickle.cancel()


async def send_endless_list(world: World) -> None:
    """Send a list byte by byte without end."""
    request: Request = world.directory._watches[0]
    world.directory.send_chunk(request, b'{"seq": 9, "hosts": [')
    while not request.writer.transport.is_closing():
        world.directory.send_chunk(request, b" ")
        await asyncio.sleep(0.1)
