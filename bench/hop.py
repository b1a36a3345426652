"""Baseline hop: RESP2 in, one HTTP call out, no journal and no decisions; costs only event loop and kernel.

Runs as a separate process: ``python -m bench.hop LISTEN_PORT SINK_PORT``. Does not validate its input.
"""

from __future__ import annotations

import asyncio
import sys
from collections import deque

from bench.standins import ConnectionProtocol

CONNECTIONS = 16  # to the sink, as many as the relay uses
CRLF = b"\r\n"


class SinkConnection(ConnectionProtocol):
    """A connection to the sink: one call at a time."""

    def __init__(self, hop: Hop) -> None:
        self._hop = hop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._hop.release(self)

    def call(self, body: bytes) -> None:
        """Send one call."""
        self.transport.write(b"POST /hook HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))

    def data_received(self, data: bytes) -> None:
        if data.endswith(b"\r\n\r\n"):
            self._hop.release(self)


class ClientConnection(ConnectionProtocol):
    """A client's connection; requests are assumed to be well-formed."""

    def __init__(self, hop: Hop) -> None:
        self._hop, self._buffer = hop, bytearray()

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        while (request := self._next_request()) is not None:
            if len(request) == 1:
                self.transport.write(b"+PONG\r\n")
                continue
            self._hop.submit(request[-1])
            self.transport.write(b"+OK\r\n")

    def _next_request(self) -> list[bytes] | None:
        """Take the next complete request from the buffer; None if there is none."""
        if (end := self._buffer.find(CRLF)) < 0:
            return None
        count, at, parts = int(self._buffer[1:end]), end + 2, list[bytes]()
        for _ in range(count):
            if (end := self._buffer.find(CRLF, at)) < 0:
                return None
            start, size = end + 2, int(self._buffer[at + 1 : end])
            if len(self._buffer) < start + size + 2:
                return None
            parts.append(bytes(self._buffer[start : start + size]))
            at = start + size + 2
        del self._buffer[:at]
        return parts


class Hop:
    """Forwards messages in order, each on the next idle connection."""

    def __init__(self) -> None:
        self._waiting_messages, self._idle_connections = deque[bytes](), deque[SinkConnection]()

    def submit(self, body: bytes) -> None:
        """Send a message, or queue it if no connection is idle."""
        if self._idle_connections:
            self._idle_connections.popleft().call(body)
        else:
            self._waiting_messages.append(body)

    def release(self, connection: SinkConnection) -> None:
        """Reuse a connection whose call has been answered."""
        if self._waiting_messages:
            connection.call(self._waiting_messages.popleft())
        else:
            self._idle_connections.append(connection)


async def main(listen: int, sink: int) -> None:
    """Serve until it is killed."""
    loop, hop = asyncio.get_running_loop(), Hop()
    for _ in range(CONNECTIONS):
        await loop.create_connection(lambda: SinkConnection(hop), "127.0.0.1", sink)
    server = await loop.create_server(lambda: ClientConnection(hop), "127.0.0.1", listen)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]), int(sys.argv[2])))
