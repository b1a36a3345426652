"""Descriptors by use: idle clients fill their share; the watch, calls, notices and journal keep theirs."""

from __future__ import annotations

import asyncio
import os
import resource
import time

import pytest

from mallowlug.core.descriptors import MIN_SOCKETS, split_descriptors
from mallowlug.core.model import Call, Part
from mallowlug.partners.pool import PoolLimits
from mossfront.interface import Verdict
from tests.calls import HostCalls, start_host
from tests.world import World, silent


@pytest.mark.parametrize("console", [False, True])
@pytest.mark.parametrize("sockets", [*range(MIN_SOCKETS, 300, 11), 512, 1024, 4096])
def test_shares_are_within_the_limit_and_never_empty(sockets: int, console: bool) -> None:
    shares = split_descriptors(sockets, 1, console)
    assert shares.total <= sockets
    assert shares.clients == sockets // 2
    assert min(shares.calls, shares.accept_burst) >= 1
    assert (shares.console_connections > 1) == console


@pytest.mark.parametrize("sockets", [8, 16, 40])
def test_every_use_keeps_its_minimum_below_the_lowest_limit(sockets: int) -> None:
    shares = split_descriptors(sockets, 1, True)
    assert shares.total > sockets
    assert min(shares.clients, shares.accept_burst, shares.calls, shares.console_connections) >= 1


async def test_new_connection_replaces_the_least_recently_used_idle_one() -> None:
    """Each destination's connection is kept for the next call until its descriptor is needed."""
    hosts = [await start_host() for _ in range(3)]
    calls = HostCalls(hosts[0].port, limits=PoolLimits(15_000_000, 10, max_open=2), rest_s=0.0)
    calls.apply_hosts(host.port for host in hosts)
    for number in (0, 1, 2, 1):
        ref = f"m{number}-{time.monotonic_ns()}"
        calls.hosts.send(Call(f"h{number}", [Part(ref, 0, "", b"x", 60_000_000)], time.monotonic()))
        assert (await calls.outcome(ref)).verdict is Verdict.OK
        while calls.hosts.exchanges:
            await asyncio.sleep(0)
    assert calls.hosts.pool.idle_by_host() == {"h1": 1, "h2": 1}
    assert [host.connections for host in hosts] == [1, 1, 1]
    calls.hosts.close()
    for host in hosts:
        host.stop()


async def test_calls_in_progress_are_limited_by_their_descriptors(world: World) -> None:
    """The settings allow more calls; beyond the descriptors a connect fails as if the host had refused it."""
    world.sockets = 64
    world.settings["domain"]["calls_out"] = 100
    host = await world.add("h1", silent)
    world.known_hosts = list(world.directory.hosts.values())  # a known host may have many calls at once
    client = await world.run()
    assert world.process is not None
    resource.prlimit(world.process.pid, resource.RLIMIT_NOFILE, (64, 64))
    await client.submit_until_accepted("m0")
    for number in range(40):
        assert await client.submit(f"n{number}") == b"+OK"
    calls = split_descriptors(64, 1, False).calls
    # A quarter of the slots is reserved for other hosts.
    await host.until(lambda: len(host.seen) >= calls - 3)
    assert await (await world.client()).command(b"PING") == b"+PONG"
    for _ in range(50):  # time in which the other calls would be sent
        assert await client.command(b"PING") == b"+PONG"
        await asyncio.sleep(0.01)
    assert host.connections <= calls


async def test_idle_clients_leave_descriptors_for_all_other_uses(world: World) -> None:
    """They connect while the directory is down; after its return the watch, calls and notices work."""
    world.sockets = 64
    host = await world.add("h1")
    hangs = await world.add("h2", silent, block=2)
    first = await world.run()
    await first.submit_until_accepted("m0")
    await first.submit_until_accepted("m1", dest=2)
    await hangs.call(0)
    assert world.process is not None
    world.directory.lose()
    resource.prlimit(world.process.pid, resource.RLIMIT_NOFILE, (64, 64))
    idle_clients = [await world.client() for _ in range(150)]
    for client in idle_clients[-20:]:
        assert await client.command(b"PING") == b"+PONG"
    asked = len(world.directory.seen)
    world.directory.down = False
    world.directory.change("h3", dial=f"127.0.0.1:{host.port}", block=3, **{"class": "lots"})
    await world.directory.until(lambda: len(world.directory.seen) > asked)
    newest = await world.client()
    assert await newest.submit("m2", d=400, dest=2) == b"+OK"
    await newest.submit_until_accepted("m3", dest=3)
    await host.until(lambda: any("m3" in request.ids for request in host.seen))
    await world.directory.notice("m2")
    assert len(os.listdir(f"/proc/{world.process.pid}/fd")) <= 64
    assert world.process.returncode is None
