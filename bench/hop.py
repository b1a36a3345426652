"""The bare hop: RESP2 in, one HTTP call out, nothing kept, nothing decided: what loop and kernel cost.

Run as a process of its own: ``python -m bench.hop LISTEN_PORT SINK_PORT``. It trusts both sides.
"""

from __future__ import annotations

import asyncio
import sys
from collections import deque

from bench.standins import Wired

CONNECTIONS = 16  # to the sink, as many as the relay's slots keep busy
ENDS = b"\r\n"


class Out(Wired):
    """A connection to the sink: one call at a time."""

    def __init__(self, hop: Hop) -> None:
        self._hop = hop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._hop.free(self)

    def call(self, body: bytes) -> None:
        """One call."""
        self.transport.write(b"POST /hook HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))

    def data_received(self, data: bytes) -> None:
        if data.endswith(b"\r\n\r\n"):
            self._hop.free(self)


class In(Wired):
    """A client's connection; what it sends is well-formed."""

    def __init__(self, hop: Hop) -> None:
        self._hop, self._buffer = hop, bytearray()

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        while (request := self._next()) is not None:
            if len(request) == 1:
                self.transport.write(b"+PONG\r\n")
                continue
            self._hop.hand(request[-1])
            self.transport.write(b"+OK\r\n")

    def _next(self) -> list[bytes] | None:
        """The next whole request."""
        if (end := self._buffer.find(ENDS)) < 0:
            return None
        count, at, parts = int(self._buffer[1:end]), end + 2, list[bytes]()
        for _ in range(count):
            if (end := self._buffer.find(ENDS, at)) < 0:
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
        self._waiting, self._free = deque[bytes](), deque[Out]()

    def hand(self, body: bytes) -> None:
        """A message has come."""
        if self._free:
            self._free.popleft().call(body)
        else:
            self._waiting.append(body)

    def free(self, out: Out) -> None:
        """A connection has its answer."""
        if self._waiting:
            out.call(self._waiting.popleft())
        else:
            self._free.append(out)


async def main(listen: int, sink: int) -> None:
    """Serve until it is killed."""
    loop, hop = asyncio.get_running_loop(), Hop()
    for _ in range(CONNECTIONS):
        await loop.create_connection(lambda: Out(hop), "127.0.0.1", sink)
    server = await loop.create_server(lambda: In(hop), "127.0.0.1", listen)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]), int(sys.argv[2])))
