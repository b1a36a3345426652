"""The console's HTTP/1.1 server: one call per connection; connections, bytes and time are bounded."""

from __future__ import annotations

import asyncio
import logging
from collections import OrderedDict
from http import HTTPStatus

import httptools

from mallowlug.console.calls import Operations, Response, handle_call
from mallowlug.core.model import Address
from mallowlug.system import System

LOG = logging.getLogger(__name__)
MAX_CALL_BYTES = 4096  # request line and headers; no call has a body
CALL_TIMEOUT_S = 5.0  # from the accept of a connection to the last byte of its call
CLOSE_TIMEOUT_S = 1.0  # for the client to read the response; what it sends meanwhile is discarded
SWEEP_INTERVAL_S = 0.25  # between checks for connections past these timeouts


class ConsoleConnection(asyncio.Protocol):
    """One connection: one call, one response."""

    def __init__(self, console: Console) -> None:
        self._console, self._received_bytes = console, 0
        self._parser = httptools.HttpRequestParser(self)
        # The method is set once the call is complete.
        self._method, self._target, self._has_body = b"", b"", False
        self.transport: asyncio.Transport | None = None
        self.answered = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self._console.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._console.remove(self)

    def on_url(self, data: bytes) -> None:
        """Parser callback; the target of a call after the first is ignored."""
        if not self._method:
            self._target += data

    def on_body(self, _data: bytes) -> None:
        """Parser callback."""
        self._has_body |= not self._method

    def on_message_complete(self) -> None:
        """Parser callback."""
        self._method = self._method or self._parser.get_method()

    def data_received(self, data: bytes) -> None:
        if (
            self.answered
        ):  # discard: closing with unread data would reset the connection and lose the response
            return
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.respond(Response(400, "no other protocol is spoken here\n"))
        except httptools.HttpParserError:
            self.respond(Response(400, "not a call\n"))
        if self._received_bytes > MAX_CALL_BYTES or self._has_body:
            self.respond(Response(413, "a call has no body and a short head\n"))
        elif self._method:
            self.respond(self._handle_call())

    def _handle_call(self) -> Response:
        try:
            return handle_call(
                self._method.decode("ascii"), self._target.decode("ascii"), self._console.relay
            )
        except UnicodeDecodeError:
            return Response(400, "not a call\n")
        except Exception:
            LOG.exception("console: a call raised an exception")
            return Response(500, "the call broke; the log says where\n")

    def eof_received(self) -> bool:
        """Respond to an incomplete call; a connection without any data is closed silently."""
        if not self.answered and self._received_bytes:
            self.respond(Response(400, "half a call\n"))
        return False

    def respond(self, response: Response) -> None:
        """Send the response, at most once, and close the sending side."""
        if self.answered or self.transport is None or self.transport.is_closing():
            return
        self.answered = True
        body = response.text.encode()
        head = (
            f"HTTP/1.1 {response.status} {HTTPStatus(response.status).phrase}\r\n"
            f"Content-Type: {response.content_type}\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        self.transport.write(head.encode("ascii") + body)
        self.transport.write_eof()
        self._console.mark_answered(self)


class Console:
    """The server, with its connections that still have to send a call and those that have a response."""

    def __init__(self, relay: Operations, address: Address, max_connections: int, system: System) -> None:
        self.relay, self._address, self._max_connections, self._system = (
            relay,
            address,
            max_connections,
            system,
        )
        self._awaiting_call: OrderedDict[ConsoleConnection, float] = OrderedDict()
        self._awaiting_close: OrderedDict[ConsoleConnection, float] = OrderedDict()
        self._server: asyncio.Server | None = None
        self._sweep_timer: asyncio.TimerHandle | None = None

    async def start(self) -> None:
        """Start to listen; raises ``OSError`` if the address is not available."""
        sock = self._system.listener(self._address)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ConsoleConnection(self), sock=sock, backlog=self._max_connections
        )
        sock.listen(128)
        self._close_expired()

    def add(self, connection: ConsoleConnection) -> None:
        """Register a connection; over the limit, abort the oldest one, if possible one with its response."""
        if len(self._awaiting_call) + len(self._awaiting_close) >= self._max_connections:
            oldest = next(iter(self._awaiting_close or self._awaiting_call))
            self.remove(oldest)
            if oldest.transport is not None:
                oldest.transport.abort()
        self._awaiting_call[connection] = asyncio.get_running_loop().time()

    def mark_answered(self, connection: ConsoleConnection) -> None:
        """Start the close timeout of a connection whose response was sent."""
        self.remove(connection)
        self._awaiting_close[connection] = asyncio.get_running_loop().time()

    def remove(self, connection: ConsoleConnection) -> None:
        """Forget a connection."""
        self._awaiting_call.pop(connection, None)
        self._awaiting_close.pop(connection, None)

    def _close_expired(self) -> None:
        """Abort connections past the close timeout, and answer those past the call timeout with 408."""
        loop = asyncio.get_running_loop()
        self._sweep_timer = loop.call_later(SWEEP_INTERVAL_S, self._close_expired)
        for connections, timeout_s in (
            (self._awaiting_close, CLOSE_TIMEOUT_S),
            (self._awaiting_call, CALL_TIMEOUT_S),
        ):
            while connections and loop.time() - next(iter(connections.values())) > timeout_s:
                connection = next(iter(connections))
                if connection.answered:
                    self.remove(connection)
                    if connection.transport is not None:
                        connection.transport.abort()
                else:
                    connection.respond(Response(408, "a call has an end\n"))
                    if not connection.answered:  # it is closing already
                        self.remove(connection)

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        if self._server is not None:
            self._server.close()
        for connection in [*self._awaiting_call, *self._awaiting_close]:
            if connection.transport is not None:
                connection.transport.close()
