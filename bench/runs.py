"""Benchmark runs. Each starts fresh processes and stops by itself."""

from __future__ import annotations

import asyncio
import itertools
import statistics
import tempfile
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

from bench.process import Process, free_port, relay_config, running, sibling_environment
from bench.standins import Client, Directory, Sink, requests, serve
from mallowlug.config import address_of
from mallowlug.rig.run.relays import console_request

CLIENTS, WINDOW = 16, 8  # connections, and max unanswered requests on each
BODY = 200  # bytes
SLOTS = 32
BEAT_S = 1.0
WITHIN_S = 300.0


@dataclass(frozen=True, slots=True)
class Cost:
    """Cost of messages: CPU ms per message, messages a second, share delivered, memory and accept latency."""

    cpu_ms: float
    per_s: float
    delivered: float
    memory_kb: int
    accept_p50_ms: float
    accept_p99_ms: float


@dataclass(frozen=True, slots=True)
class World:
    """A process under test and the peers around it."""

    process: Process
    sink: Sink
    directory: Directory
    destinations: int


async def beats(directory: Directory) -> None:
    """Send heartbeats to all watches periodically."""
    while True:
        await asyncio.sleep(BEAT_S)
        directory.send_heartbeat()


async def churned(directory: Directory, per_s: float) -> None:
    """Replace ``per_s`` endpoints a second."""
    for number in itertools.count():
        await asyncio.sleep(1 / per_s)
        directory.replace_endpoint(number)


@asynccontextmanager
async def relay(
    destinations: int,
    *,
    console: bool = False,
    held: int = 25_000,
    endpoints: int = 1,
    work_s: float = 0.0,
    profile: Path | None = None,
) -> AsyncIterator[World]:
    """Run a relay with a sink and a discovery service. ``held``: the relay may hold this many messages."""
    sink = Sink(work_s)
    sink_server, sink_port = await serve(sink.handle_request)
    directory = Directory(destinations, endpoints, f"127.0.0.1:{sink_port}")
    discovery_server, discovery_port = await serve(directory.handle_request)
    heartbeats = asyncio.create_task(beats(directory))
    with tempfile.TemporaryDirectory(prefix="bench-") as name:
        port, environ = relay_config(Path(name), directory.full_list(), discovery_port, SLOTS, held)
        command = ["-m", "mallowlug"]
        if console:
            environ = sibling_environment(environ)
        if profile is not None:
            command = ["-m", "bench.profiled", str(profile)]
        async with running(Path(name), port, command, environ) as process:
            yield World(process, sink, directory, destinations)
            if profile is not None:
                await process.stop()
    heartbeats.cancel()
    sink_server.close()
    discovery_server.close()


@dataclass(frozen=True, slots=True)
class Upgraded:
    """One upgrade under load: s until ready, longest s without a delivery, requests that met a close."""

    yes_s: float
    gap_s: float
    met: int


async def upgrades(count: int, per_s: float) -> tuple[list[Upgraded], int, int]:
    """Upgrade a relay ``count`` times under load; return the upgrades, messages accepted and delivered."""
    sink = Sink(0.02)
    sink_server, sink_port = await serve(sink.handle_request)
    directory = Directory(24, 1, f"127.0.0.1:{sink_port}")
    discovery_server, discovery_port = await serve(directory.handle_request)
    heartbeats = asyncio.create_task(beats(directory))
    with tempfile.TemporaryDirectory(prefix="bench-") as name:
        folder = Path(name)
        port, environ = relay_config(folder, directory.full_list(), discovery_port, SLOTS, 5000)
        load = Load(port, sink, per_s)
        found = list[Upgraded]()
        async with AsyncExitStack() as stack:
            old = await stack.enter_async_context(
                running(folder, port, ["-m", "mallowlug"], sibling_environment(environ))
            )
            task = asyncio.create_task(load.run())
            for _ in range(count):
                environment = sibling_environment(environ)
                console = address_of(environment["ROUTER_CONSOLE"])
                load.fresh()
                began_s = asyncio.get_running_loop().time()
                new = await stack.enter_async_context(running(folder, port, ["-m", "mallowlug"], environment))
                while await console_request(console, "GET", "/ready") != 200:
                    await asyncio.sleep(0.01)
                yes_s = asyncio.get_running_loop().time() - began_s
                await old.stop()
                await asyncio.sleep(0.5)
                found.append(Upgraded(yes_s, load.gap_s, load.met))
                old = new
            load.stopped = True
            await task
            await sink.wait_delivered(load.taken, 30.0)
    heartbeats.cancel()
    sink_server.close()
    discovery_server.close()
    return found, load.taken, sink.delivered


class Load:
    """Clients with one request at a time, which retry on a new connection when theirs was closed."""

    def __init__(self, port: int, sink: Sink, per_s: float) -> None:
        self._port, self._sink, self._per_s = port, sink, per_s
        self.stopped, self.taken, self.met, self.gap_s = False, 0, 0, 0.0

    def fresh(self) -> None:
        """Reset the counts for the next upgrade."""
        self.met, self.gap_s = 0, 0.0

    async def run(self) -> None:
        """Send requests until ``stopped`` is set."""
        await asyncio.gather(self._watch(), *(self._client(number) for number in range(CLIENTS)))

    async def _watch(self) -> None:
        loop, last, since_s = asyncio.get_running_loop(), 0, asyncio.get_running_loop().time()
        while not self.stopped:
            await asyncio.sleep(0.01)
            if self._sink.delivered != last:
                last, since_s = self._sink.delivered, loop.time()
            self.gap_s = max(self.gap_s, loop.time() - since_s)

    async def _client(self, number: int) -> None:
        source = requests(chr(ord("a") + number), 24, BODY, 60_000)
        reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
        while not self.stopped:
            request = next(source)
            answer = b""
            while not answer:
                if reader.at_eof():  # closed while idle: not counted as met
                    writer.close()
                    reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
                try:
                    writer.write(request)
                    answer = await reader.readline()
                except OSError:
                    answer = b""
                if not answer:
                    self.met += 1
                    writer.close()
                    reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
            self.taken += answer == b"+OK\r\n"
            await asyncio.sleep(CLIENTS / self._per_s)
        writer.close()


@asynccontextmanager
async def hop() -> AsyncIterator[World]:
    """Run the baseline hop with a sink."""
    sink = Sink(0.0)
    sink_server, sink_port = await serve(sink.handle_request)
    with tempfile.TemporaryDirectory(prefix="bench-") as name:
        port = free_port()
        async with running(Path(name), port, ["-m", "bench.hop", str(port), str(sink_port)]) as process:
            yield World(process, sink, Directory(0, 0, ""), 24)
    sink_server.close()


async def clients_of(world: World) -> list[Client]:
    """Connect the clients."""
    loop = asyncio.get_running_loop()
    made = [await loop.create_connection(Client, "127.0.0.1", world.process.port) for _ in range(CLIENTS)]
    return [client for _, client in made]


async def feed(world: World, count: int, held: int, prefix: str, per_s: float = 0.0) -> list[Client]:
    """Submit ``count`` messages with at most ``held`` undelivered; return the closed clients."""
    loop, clients = asyncio.get_running_loop(), await clients_of(world)
    source = requests(prefix, world.destinations, BODY, 60_000)
    before, began_s = world.sink.delivered, loop.time()
    for number in range(count):
        client = clients[number % CLIENTS]
        await client.wait_pending(WINDOW - 1)
        if per_s and (early_s := began_s + number / per_s - loop.time()) > 0:
            await asyncio.sleep(early_s)
        if number - held >= world.sink.delivered - before:
            await world.sink.wait_delivered(before + number - held + 1, WITHIN_S)
        client.submit(next(source))
    for client in clients:
        await client.wait_pending(0)
        client.close()
    return clients


async def cost(world: World, count: int, held: int, prefix: str = "m", per_s: float = 0.0) -> Cost:
    """Measure the cost of ``count`` messages with at most ``held`` undelivered."""
    loop = asyncio.get_running_loop()
    warm = world.sink.delivered + 10 * SLOTS
    await feed(world, 10 * SLOTS, SLOTS, f"w{prefix}")  # warm up connections and call duration statistics
    await world.sink.wait_delivered(warm, 10.0)
    before = world.sink.delivered
    began_s = loop.time()
    with world.process.measure_usage() as used:
        clients = await feed(world, count, held, prefix, per_s)
        await world.sink.wait_delivered(before + count, 90.0)
    took = sorted(itertools.chain.from_iterable(client.latencies_s for client in clients))
    delivered = world.sink.delivered - before
    return Cost(
        cpu_ms=1e3 * used.cpu_s / count,
        per_s=count / (loop.time() - began_s),
        delivered=delivered / count,
        memory_kb=used.memory_kb,
        accept_p50_ms=1e3 * statistics.median(took),
        accept_p99_ms=1e3 * took[int(0.99 * (len(took) - 1))],
    )
