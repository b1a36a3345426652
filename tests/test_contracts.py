"""The adapters, tested against the contracts of their ports."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from mallowlug.core.model import Address
from mallowlug.core.ports import Directory, Front, Notifier, Partners, PartSettled
from mallowlug.directory.discovery import DirectoryWatch
from mallowlug.ends.notices import HttpNotifier
from mallowlug.fronts.resp2 import Resp2Server
from mallowlug.partners.http_calls import HttpPartners
from mallowlug.partners.pool import PoolLimits
from mallowlug.system import POSIX
from mossfront.interface import Listing
from tests import world
from tests.contracts.directory import DirectoryContract, ListLog
from tests.contracts.front import FrontContract, StubCore
from tests.contracts.notifier import REPEAT_S, Confirmed, NotifierContract
from tests.contracts.partners import KIND, PartnersContract
from tests.world import HttpServer, Reply, Request, delivered, encode_command, enqueue, silent, soon


class Resp2Peer:
    """A RESP2 client."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    async def _read_answer(self) -> str | None:
        try:
            line = (await soon(self.reader.readline())).rstrip()
        except ConnectionError:
            return None
        if line.startswith(b"-BUSY"):
            return "refused " + line[6:].decode()
        return {b"+": "taken", b"-": "failed"}.get(line[:1])

    async def submit(self, *refs: str) -> list[str | None]:
        self.writer.write(b"".join(encode_command(*enqueue(ref)) for ref in refs))
        return [await self._read_answer() for _ in refs]

    async def send_garbage(self) -> str | None:
        self.writer.write(b"GET / HTTP/1.1\r\n\r\n")
        return await self._read_answer()

    async def send_partial_request(self) -> None:
        self.writer.write(encode_command(*enqueue("m1"))[:-1])

    async def wait_closed(self) -> None:
        while await self.reader.read(1024):
            pass


class TestResp2(FrontContract):
    def front(self, core: StubCore, port: int, max_connections: int) -> Front:
        return Resp2Server(core, ("127.0.0.1", port), max_connections, POSIX)

    async def peer(self, port: int) -> Resp2Peer:
        return Resp2Peer(*await asyncio.open_connection("127.0.0.1", port))


def partly(request: Request) -> None:
    """Deliver every second message of a batch, refuse the others."""
    results = ("delivered", "refused")
    request.answer(200, "".join(f"{ref} {results[index % 2]}\r\n" for index, ref in enumerate(request.ids)))


class HttpPeer:
    """A scripted HTTP/1.1 server with the interface that the contracts use."""

    def __init__(self, server: HttpServer, replies: dict[str, Reply]) -> None:
        self.server, self._replies = server, replies
        self.address = ("127.0.0.1", server.port)

    def script_replies(self, *replies: str) -> None:
        self.server.script.extend(self._replies[reply] for reply in replies)

    @property
    def calls(self) -> list[list[str]]:
        return [request.ids for request in self.server.seen]

    @property
    def received(self) -> list[tuple[str, str, int]]:
        lines = [json.loads(line) for request in self.server.seen for line in request.body.splitlines()]
        return [(line["ref"], line["result"], line.get("wait_ms", 0)) for line in lines]

    async def wait_for_calls(self, number: int) -> None:
        await self.server.until(lambda: len(self.server.seen) >= number)

    def stop(self) -> None:
        self.server.stop()


class TestHttpCalls(PartnersContract):
    def partners(self, settled: PartSettled) -> Partners:
        callbacks: Any = {"settled": settled, "released": lambda _part: None}
        return HttpPartners([KIND], 10_000_000, PoolLimits(15_000_000, 10), **callbacks, system=POSIX)

    async def peer(self) -> HttpPeer:
        server = HttpServer(delivered)
        await server.start()
        return HttpPeer(
            server,
            {
                "delivered": delivered,
                "refused": lambda request: request.answer(503),
                "wait": lambda request: request.answer(429, X_Retry_In_Ms="60000"),
                "error": lambda request: request.answer(500),
                "silent": silent,
                "reset": Request.reset,
                "partly": partly,
            },
        )


STATES = {Listing.READY: "SERVING", Listing.DRAINING: "DRAINING", Listing.GONE: "DELETED"}


class DiscoveryPeer:
    """The scripted directory with the interface that the contract uses."""

    def __init__(self, server: world.Directory) -> None:
        self._server = server
        self.address = ("127.0.0.1", server.port)

    def change(self, host: str, listing: Listing) -> None:
        self._server.change(host, dial="127.0.0.1:1", health=STATES[listing])

    def repeat_old(self) -> None:
        old = [entry | {"health": "SERVING"} for entry in self._server.hosts.values()]
        line = json.dumps({"seq": self._server.seq - 1, "whole": True, "hosts": old}).encode() + b"\n"
        for request in self._server._watches:
            self._server.send_chunk(request, line)

    def garble(self) -> None:
        self._server.garble()

    def lose(self) -> None:
        self._server.lose()

    def regain(self) -> None:
        self._server.down = False

    def stop(self) -> None:
        self._server.stop()


class TestDiscovery(DirectoryContract):
    def directory(self, address: Address, news: ListLog) -> Directory:
        return DirectoryWatch(address, 0, news.on_list, news.on_end, POSIX, max_line_bytes=1 << 20)

    async def peer(self) -> DiscoveryPeer:
        server = world.Directory()
        await server.start()
        server.change("h1", dial="127.0.0.1:1")
        return DiscoveryPeer(server)


def confirm_twice(request: Request) -> None:
    """Confirm a post, and once more ``REPEAT_S`` later."""
    request.answer(204)
    asyncio.get_running_loop().call_later(REPEAT_S, request.answer, 204)


class TestHttpNotifier(NotifierContract):
    def notifier(self, address: Address, confirmed: Confirmed) -> Notifier:
        return HttpNotifier(address, confirmed, POSIX)

    async def peer(self) -> HttpPeer:
        server = HttpServer(lambda request: request.answer(204))
        await server.start()
        return HttpPeer(
            server,
            {
                "confirm": lambda request: request.answer(204),
                "repeat": confirm_twice,
                "fail": lambda request: request.answer(503),
                "reset": Request.reset,
                "hang": silent,
            },
        )
