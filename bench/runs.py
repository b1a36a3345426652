"""The runs: each starts what it measures anew, and ends by itself."""

from __future__ import annotations

import asyncio
import itertools
import statistics
import tempfile
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

from bench.process import Process, beside, free_port, relay_config, running
from bench.standins import Client, Directory, Sink, requests, serve
from mallowlug.config import address_of
from mallowlug.rig.run.relays import console_request

CLIENTS, WINDOW = 16, 8  # clients, and requests of each without an answer
BODY = 200  # bytes
SLOTS = 32
BEAT_S = 1.0
WITHIN_S = 300.0


@dataclass(frozen=True, slots=True)
class Cost:
    """What messages cost: CPU milliseconds each, how many a second, and the share that was delivered."""

    cpu_ms: float
    per_s: float
    delivered: float
    memory_kb: int
    accept_p50_ms: float
    accept_p99_ms: float


@dataclass(frozen=True, slots=True)
class World:
    """What stands around a process under test."""

    process: Process
    sink: Sink
    directory: Directory
    destinations: int


async def beats(directory: Directory) -> None:
    """Keep watches alive."""
    while True:
        await asyncio.sleep(BEAT_S)
        directory.beat()


async def churned(directory: Directory, per_s: float) -> None:
    """Replace endpoints at a rate."""
    for number in itertools.count():
        await asyncio.sleep(1 / per_s)
        directory.churn(number)


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
    """A relay with its world."""
    sink = Sink(work_s)
    sinks, sink_port = await serve(sink.asked)
    directory = Directory(destinations, endpoints, f"127.0.0.1:{sink_port}")
    faces, face_port = await serve(directory.asked)
    beat = asyncio.create_task(beats(directory))
    with tempfile.TemporaryDirectory(prefix="bench-") as name:
        port, environ = relay_config(Path(name), directory.whole(), face_port, SLOTS, held)
        command = ["-m", "mallowlug"]
        if console:
            environ = beside(environ)
        if profile is not None:
            command = ["-m", "bench.profiled", str(profile)]
        async with running(Path(name), port, command, environ) as process:
            yield World(process, sink, directory, destinations)
            if profile is not None:
                await process.end()
    beat.cancel()
    sinks.close()
    faces.close()


@dataclass(frozen=True, slots=True)
class Upgraded:
    """One upgrade under load: s to the yes, most s without a delivery, messages that met a close."""

    yes_s: float
    gap_s: float
    met: int


async def upgrades(count: int, per_s: float) -> tuple[list[Upgraded], int, int]:
    """Upgrade a relay so often while messages come; with how many were handed in and how many delivered."""
    sink = Sink(0.02)
    sinks, sink_port = await serve(sink.asked)
    directory = Directory(24, 1, f"127.0.0.1:{sink_port}")
    faces, face_port = await serve(directory.asked)
    beat = asyncio.create_task(beats(directory))
    with tempfile.TemporaryDirectory(prefix="bench-") as name:
        folder = Path(name)
        port, environ = relay_config(folder, directory.whole(), face_port, SLOTS, 5000)
        load = Load(port, sink, per_s)
        found = list[Upgraded]()
        async with AsyncExitStack() as stack:
            old = await stack.enter_async_context(running(folder, port, ["-m", "mallowlug"], beside(environ)))
            task = asyncio.create_task(load.run())
            for _ in range(count):
                told = beside(environ)
                console = address_of(told["ROUTER_CONSOLE"])
                load.fresh()
                began_s = asyncio.get_running_loop().time()
                new = await stack.enter_async_context(running(folder, port, ["-m", "mallowlug"], told))
                while await console_request(console, "GET", "/ready") != 200:
                    await asyncio.sleep(0.01)
                yes_s = asyncio.get_running_loop().time() - began_s
                await old.end()
                await asyncio.sleep(0.5)
                found.append(Upgraded(yes_s, load.gap_s, load.met))
                old = new
            load.stopped = True
            await task
            await sink.until(load.taken, 30.0)
    beat.cancel()
    sinks.close()
    faces.close()
    return found, load.taken, sink.delivered


class Load:
    """Clients that ask one thing at a time, and again on a new connection where the old one was closed."""

    def __init__(self, port: int, sink: Sink, per_s: float) -> None:
        self._port, self._sink, self._per_s = port, sink, per_s
        self.stopped, self.taken, self.met, self.gap_s = False, 0, 0, 0.0

    def fresh(self) -> None:
        """Count for the next upgrade."""
        self.met, self.gap_s = 0, 0.0

    async def run(self) -> None:
        """Until it is stopped."""
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
                if reader.at_eof():  # closed while it was idle, and the client has seen it
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
    """The bare hop."""
    sink = Sink(0.0)
    sinks, sink_port = await serve(sink.asked)
    with tempfile.TemporaryDirectory(prefix="bench-") as name:
        port = free_port()
        async with running(Path(name), port, ["-m", "bench.hop", str(port), str(sink_port)]) as process:
            yield World(process, sink, Directory(0, 0, ""), 24)
    sinks.close()


async def clients_of(world: World) -> list[Client]:
    """Clients, connected."""
    loop = asyncio.get_running_loop()
    made = [await loop.create_connection(Client, "127.0.0.1", world.process.port) for _ in range(CLIENTS)]
    return [client for _, client in made]


async def feed(world: World, count: int, held: int, prefix: str, per_s: float = 0.0) -> list[Client]:
    """Hand in so many messages, no more than ``held`` of them not delivered; the clients, closed."""
    loop, clients = asyncio.get_running_loop(), await clients_of(world)
    source = requests(prefix, world.destinations, BODY, 60_000)
    before, began_s = world.sink.delivered, loop.time()
    for number in range(count):
        client = clients[number % CLIENTS]
        await client.fewer_out(WINDOW - 1)
        if per_s and (early_s := began_s + number / per_s - loop.time()) > 0:
            await asyncio.sleep(early_s)
        if number - held >= world.sink.delivered - before:
            await world.sink.until(before + number - held + 1, WITHIN_S)
        client.hand_in(next(source))
    for client in clients:
        await client.fewer_out(0)
        client.close()
    return clients


async def cost(world: World, count: int, held: int, prefix: str = "m", per_s: float = 0.0) -> Cost:
    """What so many messages cost, with so many held."""
    loop = asyncio.get_running_loop()
    warm = world.sink.delivered + 10 * SLOTS
    await feed(world, 10 * SLOTS, SLOTS, f"w{prefix}")  # connections, records of what calls take
    await world.sink.until(warm, 10.0)
    before = world.sink.delivered
    began_s = loop.time()
    with world.process.used() as used:
        clients = await feed(world, count, held, prefix, per_s)
        await world.sink.until(before + count, 90.0)
    took = sorted(itertools.chain.from_iterable(client.took_s for client in clients))
    delivered = world.sink.delivered - before
    return Cost(
        cpu_ms=1e3 * used.cpu_s / count,
        per_s=count / (loop.time() - began_s),
        delivered=delivered / count,
        memory_kb=used.memory_kb,
        accept_p50_ms=1e3 * statistics.median(took),
        accept_p99_ms=1e3 * took[int(0.99 * (len(took) - 1))],
    )
