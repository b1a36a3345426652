"""A small HTTP/1.1 server on h11 that timestamps the first and last byte of each request."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import secrets
import socket
import struct
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import h11

MAX_BODY_BYTES = 4 << 20


@dataclass(slots=True, eq=False)
class Request:
    """One complete request; times are seconds of the event loop's monotonic clock."""

    connection: Connection
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    first_byte_s: float
    last_byte_s: float


class Connection(asyncio.Protocol):
    """A connection that serves one request at a time, in order."""

    def __init__(self, server: Server) -> None:
        self.number, self.server = next(server.connection_numbers), server
        self.transport: asyncio.Transport | None = None
        self.requests = 0  # complete requests so far
        self._parser = h11.Connection(h11.SERVER)
        self._first_byte_s: float | None = None
        self._head: h11.Request | None = None
        self._body = bytearray()
        self.streaming = False
        self.last_answers = b"", b""  # the last answer and the one before it
        self._unanswered = False  # whether a complete request waits for its answer
        self._overlap_reported = False  # whether more data came before that answer

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.server.connections[self] = None
        self.server.connection_opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.connections.pop(self, None)
        self.server.connection_closed(self)

    def data_received(self, data: bytes) -> None:
        if self._first_byte_s is None:
            self._first_byte_s = self.server.now()
        try:
            self._parser.receive_data(data)
            self._read_events()
            self._report_overlap()
        except h11.RemoteProtocolError:
            self.server.request_malformed(self)
            self.close()

    def _report_overlap(self) -> None:
        """Report, once, a request that begins before the one ahead of it is answered."""
        overlaps = self._unanswered and not self.streaming and bool(self._parser.trailing_data[0])
        if overlaps and not self._overlap_reported:
            self._overlap_reported = True
            self.server.request_overlapped(self)

    def _read_events(self) -> None:
        while True:
            event = self._parser.next_event()
            if isinstance(event, h11.Request):
                self._head = event
            elif isinstance(event, h11.Data):
                self._body += event.data
                if len(self._body) > MAX_BODY_BYTES:
                    raise h11.RemoteProtocolError("request body too large")
            elif isinstance(event, h11.EndOfMessage):
                self._finish_request()
            else:  # NEED_DATA, PAUSED or ConnectionClosed
                return

    def _finish_request(self) -> None:
        assert self._head is not None
        now_s = self.server.now()
        self.requests += 1
        request = Request(
            self,
            self._head.method.decode(),
            self._head.target.decode(),
            {name.decode(): value.decode("latin-1") for name, value in self._head.headers},
            bytes(self._body),
            # Unknown if the request arrived in one piece with the one before it.
            now_s if self._first_byte_s is None else self._first_byte_s,
            now_s,
        )
        self._body.clear()
        self._first_byte_s, self._unanswered = None, True
        self.server.request_received(request)

    @property
    def is_open(self) -> bool:
        """Whether data can still be written."""
        return self.transport is not None and not self.transport.is_closing()

    def answer(self, status: int, headers: dict[str, str] | None = None, body: bytes = b"") -> None:
        """Write a complete response; the connection is then ready for the next request."""
        header_list = [*(headers or {}).items()]
        if status != 204:
            header_list.append(("Content-Length", str(len(body))))
        data = self._parser.send(h11.Response(status_code=status, headers=header_list, reason=b"X")) or b""
        if body:
            data += self._parser.send(h11.Data(data=body)) or b""
        data += self._parser.send(h11.EndOfMessage()) or b""
        self.write_raw(data)
        self._unanswered = self._overlap_reported = False
        self.last_answers = data, self.last_answers[0]
        self.server.answer_written(self)
        if self._parser.our_state is h11.DONE:
            self._parser.start_next_cycle()
            self._read_events()
        else:
            self.close()

    def start_stream(self) -> None:
        """Begin a chunked response; ``send_chunk`` adds to it."""
        self.streaming = True
        headers = [("Transfer-Encoding", "chunked")]
        self.write_raw(self._parser.send(h11.Response(status_code=200, headers=headers, reason=b"OK")) or b"")

    def send_chunk(self, data: bytes) -> None:
        """Write one chunk of a chunked response."""
        if self.is_open:
            self.write_raw(self._parser.send(h11.Data(data=data)) or b"")

    def write_raw(self, data: bytes) -> None:
        """Write bytes without HTTP framing."""
        if self.is_open:
            assert self.transport is not None
            self.transport.write(data)

    def close(self) -> None:
        """Close gracefully."""
        if self.transport is not None:
            self.transport.close()

    def reset(self) -> None:
        """Reset the connection (TCP RST)."""
        if self.transport is None:
            return
        with contextlib.suppress(OSError):  # closed already
            sock = self.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.transport.abort()


def random_loopback() -> str:
    """Return a random loopback address.

    On 127.0.0.1 an outgoing connection could take the port while a server is not listening.
    """
    return "127." + ".".join(str(secrets.randbelow(253) + 1) for _ in range(3))


@dataclass(slots=True)
class AddressAllocator:
    """Allocates the addresses of a run's servers (port 0: any free port) and their connection numbers."""

    allocate: Callable[[], tuple[str, int]] = lambda: (random_loopback(), 0)
    connection_numbers: Iterator[int] = field(default_factory=lambda: itertools.count(1))


class Server:
    """An HTTP server on its own address; subclasses handle the requests."""

    def __init__(self, addresses: AddressAllocator) -> None:
        self.now = asyncio.get_running_loop().time
        self.address, self.connection_numbers = addresses.allocate(), addresses.connection_numbers
        self.connections: dict[Connection, None] = {}  # ordered, so that resets happen in a fixed order
        self._listener: asyncio.Server | None = None

    async def listen(self) -> None:
        """Listen on a free port the first time, and on the same port after that."""
        loop, (host, port) = asyncio.get_running_loop(), self.address
        self._listener = await loop.create_server(lambda: Connection(self), host, port, backlog=512)
        self.address = self._listener.sockets[0].getsockname()[:2]

    def stop_listening(self) -> None:
        """Stop accepting connections and reset the open ones."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for connection in list(self.connections):
            connection.reset()

    def connection_opened(self, connection: Connection) -> None:
        """Handle a new connection."""

    def connection_closed(self, connection: Connection) -> None:
        """Handle a closed connection."""

    def request_malformed(self, connection: Connection) -> None:
        """Handle input that is not a valid HTTP request."""

    def request_received(self, request: Request) -> None:
        """Handle a complete request."""
        raise NotImplementedError

    def request_overlapped(self, connection: Connection) -> None:
        """Handle a request that begins before the one ahead of it on the connection is answered."""

    def answer_written(self, connection: Connection) -> None:
        """Handle the end of an answer."""
