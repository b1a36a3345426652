"""Descriptors by role: idle clients fill theirs; the watch, calls, notices and journal still get theirs."""

from __future__ import annotations

import asyncio
import os
import resource
import time

import pytest

from mallowlug.core.descriptors import LEAST, shares_of
from mallowlug.core.model import Call, EndpointList, Part, ResolvedEndpoint
from mossfront.interface import EndpointEntry, Listing, Verdict
from tests.calls import HostCalls, start_host
from tests.world import World, silent


@pytest.mark.parametrize("console", [False, True])
@pytest.mark.parametrize("sockets", [*range(LEAST, 300, 11), 512, 1024, 4096])
def test_the_shares_are_within_the_limit_and_nobody_has_none(sockets: int, console: bool) -> None:
    shares = shares_of(sockets, 1, console)
    assert shares.total <= sockets
    assert shares.clients == sockets // 2
    assert min(shares.calls, shares.burst) >= 1
    assert (shares.callers > 1) == console


@pytest.mark.parametrize("sockets", [8, 16, 40])
def test_under_a_limit_that_is_too_low_every_role_has_the_least_that_it_can_work_with(sockets: int) -> None:
    shares = shares_of(sockets, 1, True)
    assert shares.total > sockets
    assert min(shares.clients, shares.burst, shares.calls, shares.callers) >= 1


async def test_a_new_connection_takes_the_place_of_the_idle_one_that_is_due_first() -> None:
    """Each destination's connection is kept for the next call, until another needs its descriptor."""
    hosts = [await start_host() for _ in range(3)]
    calls = HostCalls(hosts[0].port)
    calls.hosts._most_open = 2
    rows = [
        ResolvedEndpoint(EndpointEntry(f"h{n}", n, "a", "banks", Listing.READY), ("127.0.0.1", host.port))
        for n, host in enumerate(hosts)
    ]
    calls.hosts.apply(EndpointList(2, True, tuple(rows)))
    for number in (0, 1, 2, 1):
        ref = f"m{number}-{time.monotonic_ns()}"
        calls.hosts.send(Call(f"h{number}", [Part(ref, 0, "", b"x", 60_000_000)], time.monotonic()))
        assert (await calls.outcome(ref)).verdict is Verdict.OK
        while calls.hosts.exchanges:
            await asyncio.sleep(0)
    assert {host: len(idle) for host, idle in calls.hosts._idle.items() if idle} == {"h1": 1, "h2": 1}
    assert [host.connections for host in hosts] == [1, 1, 1]
    calls.hosts.close()
    for host in hosts:
        host.stop()


async def test_no_more_calls_are_out_than_there_are_descriptors_for_them(world: World) -> None:
    """The settings allow more; beyond them a connect fails as if the host had refused it."""
    world.sockets = 64
    world.settings["domain"]["calls_out"] = 100
    host = await world.add("h1", silent)
    world.known = list(world.directory.hosts.values())  # one that is known may have many calls at once
    client = await world.run()
    assert world.process is not None
    resource.prlimit(world.process.pid, resource.RLIMIT_NOFILE, (64, 64))
    await client.insist("m0")
    for number in range(40):
        assert await client.hand_in(f"n{number}") == b"+OK"
    calls = shares_of(64, 1, False).calls
    await host.until(lambda: len(host.seen) >= calls - 3)  # a quarter of the slots is for others
    assert await (await world.client()).command(b"PING") == b"+PONG"
    for _ in range(50):  # in which the rest would go out
        assert await client.command(b"PING") == b"+PONG"
        await asyncio.sleep(0.01)
    assert host.connections <= calls


async def test_behind_a_crowd_of_idle_clients_everybody_else_still_has_a_descriptor(world: World) -> None:
    """They fill the process while the directory is down; at its return the relay hears, calls and tells."""
    world.sockets = 64
    host = await world.add("h1")
    hangs = await world.add("h2", silent, block=2)
    first = await world.run()
    await first.insist("m0")
    await first.insist("m1", dest=2)
    await hangs.call(0)
    assert world.process is not None
    world.directory.lose()
    resource.prlimit(world.process.pid, resource.RLIMIT_NOFILE, (64, 64))
    crowd = [await world.client() for _ in range(150)]
    for client in crowd[-20:]:
        assert await client.command(b"PING") == b"+PONG"
    asked = len(world.directory.seen)
    world.directory.down = False
    world.directory.change("h3", dial=f"127.0.0.1:{host.port}", block=3, **{"class": "lots"})
    await world.directory.until(lambda: len(world.directory.seen) > asked)
    newest = await world.client()
    assert await newest.hand_in("m2", d=400, dest=2) == b"+OK"
    await newest.insist("m3", dest=3)
    await host.until(lambda: any("m3" in request.ids for request in host.seen))
    await world.directory.notice("m2")
    assert len(os.listdir(f"/proc/{world.process.pid}/fd")) <= 64
    assert world.process.returncode is None
