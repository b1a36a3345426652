"""Lightweight peers for benchmarks: a sink for calls, a directory with churn, and pipelining clients.

They share no code with the relay and check no rules; the rig and the simulation do that.
"""

from __future__ import annotations

import asyncio
import json
from collections import deque
from collections.abc import Callable, Iterator
from typing import Any

HEADER_END, CONTENT_LENGTH = b"\r\n\r\n", b"content-length:"
OK = b"HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n"
NO_CONTENT = b"HTTP/1.1 204 X\r\n\r\n"
RequestHandler = Callable[["Peer", bytes, bytes], None]


class ConnectionProtocol(asyncio.Protocol):
    """A protocol that keeps its transport."""

    transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport


class Peer(ConnectionProtocol):
    """One server connection: splits the stream into requests."""

    def __init__(self, handler: RequestHandler) -> None:
        self._handler, self._buffer = handler, bytearray()

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        while (end := self._buffer.find(HEADER_END)) >= 0:
            head = bytes(self._buffer[:end])
            at = head.lower().find(CONTENT_LENGTH)
            size = int(head[at + len(CONTENT_LENGTH) :].split(b"\r\n", 1)[0]) if at >= 0 else 0
            if len(self._buffer) < end + 4 + size:
                return
            body = bytes(self._buffer[end + 4 : end + 4 + size])
            del self._buffer[: end + 4 + size]
            self._handler(self, head, body)


async def serve(handler: RequestHandler) -> tuple[asyncio.Server, int]:
    """Start a server on a free port; return it and its port."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: Peer(handler), "127.0.0.1", 0, backlog=1024)
    return server, server.sockets[0].getsockname()[1]


class Sink:
    """Accepts every call, responds after ``work_s``, and counts the deliveries."""

    def __init__(self, work_s: float) -> None:
        self.work_s, self.delivered = work_s, 0
        self._delivery_target: tuple[int, asyncio.Event] = (1 << 60, asyncio.Event())

    def handle_request(self, peer: Peer, head: bytes, body: bytes) -> None:
        """Respond to one call after the work time."""
        if self.work_s:
            asyncio.get_running_loop().call_later(self.work_s, self._respond, peer)
        else:
            self._respond(peer)

    def _respond(self, peer: Peer) -> None:
        if not peer.transport.is_closing():
            peer.transport.write(OK)
            self.delivered += 1
            if self.delivered >= self._delivery_target[0]:
                self._delivery_target[1].set()

    async def wait_delivered(self, count: int, within_s: float) -> bool:
        """Wait until ``count`` calls were delivered; return False on timeout."""
        self._delivery_target = (count, asyncio.Event())
        if self.delivered >= count:
            return True
        try:
            async with asyncio.timeout(within_s):
                await self._delivery_target[1].wait()
        except TimeoutError:
            return False
        return True


class Directory:
    """Discovery service: sends endpoint changes to each watch, and counts notices."""

    def __init__(self, destinations: int, endpoints: int, dial: str) -> None:
        self.seq, self.notices = 1, 0
        self._watches: list[Peer] = []
        self.hosts: list[dict[str, Any]] = [
            {"host": f"h{d}-{e}", "dial": dial, "site": f"z{e}", "class": "lots", "block": d,
             "health": "SERVING", "share": 1.0, "born_ms": 0}
            for d in range(destinations) for e in range(endpoints)
        ]  # fmt: skip

    def full_list(self) -> dict[str, Any]:
        """Return the current full list."""
        return {"seq": self.seq, "whole": True, "hosts": self.hosts}

    def handle_request(self, peer: Peer, head: bytes, body: bytes) -> None:
        """Handle a watch request or a POST of notices."""
        if head.startswith(b"POST"):
            self.notices += body.count(b"\n") + (not body.endswith(b"\n"))
            peer.transport.write(NO_CONTENT)
            return
        peer.transport.write(b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n")
        self._watches.append(peer)
        self._send(peer, {"seq": self.seq, "whole": False, "hosts": []})

    @staticmethod
    def _send(peer: Peer, news: dict[str, Any]) -> None:
        data = json.dumps(news).encode() + b"\n"
        if not peer.transport.is_closing():
            peer.transport.write(b"%x\r\n%s\r\n" % (len(data), data))

    def send_heartbeat(self) -> None:
        """Send an empty line to each watch, so that the relay does not consider it broken."""
        for peer in self._watches:
            if not peer.transport.is_closing():
                peer.transport.write(b"1\r\n\n\r\n")

    def replace_endpoint(self, number: int) -> None:
        """Replace one endpoint by another with a new id, sent as two changes."""
        at = number % len(self.hosts)
        former, self.seq = self.hosts[at], self.seq + 1
        self.hosts[at] = new = former | {"host": f"{former['host'].partition('+')[0]}+{number}"}
        news = {"seq": self.seq, "whole": False, "hosts": [former | {"health": "DELETED"}, new]}
        for peer in self._watches:
            self._send(peer, news)


class Client(ConnectionProtocol):
    """A pipelining client that counts answers and measures latencies from when a request is written."""

    def __init__(self) -> None:
        self._buffer, self._pending_since_s = bytearray(), deque[float]()
        self.accepted, self.refused, self.latencies_s = 0, 0, list[float]()
        self.answered = asyncio.Event()

    def data_received(self, data: bytes) -> None:
        now_s = asyncio.get_running_loop().time()
        self._buffer += data
        *lines, rest = bytes(self._buffer).split(b"\r\n")
        self._buffer = bytearray(rest)
        for line in lines:
            self.latencies_s.append(now_s - self._pending_since_s.popleft())
            self.accepted += line.startswith(b"+OK")
            self.refused += not line.startswith(b"+OK")
        self.answered.set()

    def submit(self, data: bytes) -> None:
        """Send one request."""
        self._pending_since_s.append(asyncio.get_running_loop().time())
        self.transport.write(data)

    async def wait_pending(self, max_pending: int) -> None:
        """Wait until at most ``max_pending`` requests are unanswered."""
        while len(self._pending_since_s) > max_pending:
            self.answered.clear()
            await self.answered.wait()

    def close(self) -> None:
        """Close the connection."""
        self.transport.close()


def requests(prefix: str, destinations: int, size: int, deadline_ms: int) -> Iterator[bytes]:
    """Yield ENQUEUE requests without end, for all destinations in turn."""
    number, body = 0, b"b" * size
    while True:
        ref = prefix.encode() + b"%0*x" % (16 - len(prefix), number)
        names = f"c=keyed,t=acme,d={deadline_ms},k={number:016x},dest={number % destinations}".encode()
        parts = (b"ENQUEUE", b"0" * 16, ref, names, body)
        yield b"*5\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(part), part) for part in parts)
        number += 1
