"""The bare hop: RESP2 in, one HTTP call out, nothing kept, nothing decided: what loop and kernel cost.

Run as a process of its own: ``python -m bench.hop LISTEN_PORT SINK_PORT``. It trusts both sides.
"""

from __future__ import annotations

import asyncio
import sys
from collections import deque

from bench.standins import Wired

CONNECTIONS = 16  # to the sink, as many as the relay's slots keep busy
CRLF = b"\r\n"


class SinkConnection(Wired):
    """A connection to the sink: one call at a time."""

    def __init__(self, hop: Hop) -> None:
        self._hop = hop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._hop.release(self)

    def call(self, body: bytes) -> None:
        """One call."""
        self.transport.write(b"POST /hook HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))

    def data_received(self, data: bytes) -> None:
        if data.endswith(b"\r\n\r\n"):
            self._hop.release(self)


class ClientConnection(Wired):
    """A client's connection; what it sends is well-formed."""

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
        """The next whole request."""
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
    """Messages wait for a free connection, in order."""

    def __init__(self) -> None:
        self._waiting_messages, self._idle_connections = deque[bytes](), deque[SinkConnection]()

    def submit(self, body: bytes) -> None:
        """A message has come."""
        if self._idle_connections:
            self._idle_connections.popleft().call(body)
        else:
            self._waiting_messages.append(body)

    def release(self, connection: SinkConnection) -> None:
        """A connection has its answer."""
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
