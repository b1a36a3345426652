"""HTTP/1.1 client connection on a plain socket that counts unsent bytes and never retries."""

from __future__ import annotations

import asyncio
import itertools
import socket
from collections.abc import Callable

from mallowlug.core.model import Address
from mallowlug.net.attribution import Pending, check_request_may_continue
from mallowlug.net.responses import CorruptResponseError, ResponseHead, ResponseParser
from mallowlug.system import System, family_of

Headers = list[tuple[str, str]]
# From a response's first byte to its last: servers write it at once; a slower one counts as endless.
RESPONSE_TIMEOUT_S = 0.5
READ_BYTES = 64 * 1024
CONNECTION_NUMBERS = itertools.count(1)  # of this process, for log lines


class Connection:
    """A connection whose owner knows exactly how many bytes of its request are not sent yet."""

    def __init__(self, sock: socket.socket, address: Address = ("localhost", 0)) -> None:
        self.sock, self.address, self.unsent = sock, address, 0
        self.number = next(CONNECTION_NUMBERS)
        # Passed to the loop instead of the socket: looking up an unknown socket formats its name in an
        # exception, which costs two system calls.
        self.fd = sock.fileno()
        self.requests = 0  # begun on this connection
        self.write_started = False  # whether a byte of the current request was sent
        self._response_deadline_s: float | None = None  # when the current response must be complete
        self._parser = ResponseParser()

    @classmethod
    async def open(cls, address: Address, system: System) -> Connection:
        """Connect; raise ``OSError`` if that fails."""
        sock = system.stream(family_of(address))
        try:
            await asyncio.get_running_loop().sock_connect(sock, address)
        except BaseException:
            sock.close()
            raise
        return cls(sock, address)

    def request(self, method: str, target: str, headers: Headers, body: bytes = b"") -> bytes:
        """Encode a request; raise ``ValueError`` if a header contains a line break."""
        lines = [f"{name}: {value}\r\n" for name, value in headers]
        if method != "GET":
            lines.append(f"Content-Length: {len(body)}\r\n")
        host, port = self.address
        head = f"{method} {target} HTTP/1.1\r\nHost: {host}:{port}\r\n{''.join(lines)}\r\n".encode("ascii")
        if head.count(b"\n") != len(lines) + 3 or head.count(b"\r") != len(lines) + 3:
            raise ValueError("a header contains a line break")
        return head + body

    async def send(self, data: bytes) -> None:
        """Pass all bytes to the kernel; ``unsent`` is exact at any time, also after a cancellation.

        Raises ``UnsolicitedDataError`` or ``ConnectionResetError``, with the last byte unsent, if the server
        sends anything or closes before it. A connection that is used again must have been checked.

        ``loop.sock_sendall`` is not suitable: if cancelled after its last byte it looks incomplete, and a
        call that may have run would be taken for one that never ran.
        """
        view = memoryview(data)
        self.unsent, self.write_started = len(view), False
        self._parser.begin_response()
        self._response_deadline_s = None
        if not self.requests and (pending := self._peek()) is not Pending.NOTHING:
            check_request_may_continue(pending)
        self.requests += 1
        while view:
            try:
                sent = self.sock.send(view)
            except (BlockingIOError, InterruptedError):
                await self._wait_writable()
                check_request_may_continue(self._peek())
                continue
            view, self.write_started = view[sent:], True
            self.unsent = len(view)

    async def _wait_writable(self) -> None:
        """Wait until the socket can be written to, or something is received."""
        loop, ready = asyncio.get_running_loop(), asyncio.Event()
        loop.add_writer(self.fd, ready.set)
        loop.add_reader(self.fd, ready.set)
        try:
            await ready.wait()
        finally:
            loop.remove_writer(self.fd)
            loop.remove_reader(self.fd)

    async def _wait_ready(
        self, add_watcher: Callable[..., None], remove_watcher: Callable[..., object]
    ) -> None:
        """Wait until the socket is ready, using the loop's functions that add and remove a watcher."""
        ready = asyncio.Event()
        add_watcher(self.fd, ready.set)
        try:
            await ready.wait()
        finally:
            remove_watcher(self.fd)

    async def _read_more(self) -> None:
        """Receive and parse more data; raises if the connection is broken or closed."""
        if data := await self._receive():
            self._parser.feed(data)
        else:
            self._parser.handle_eof()

    async def _receive(self) -> bytes:
        """Receive data; a cancellation leaves it in the kernel, so that none is lost.

        After a pause of the process both timeouts and data may be due: data takes precedence.
        """
        loop = asyncio.get_running_loop()
        while True:
            try:
                return self.sock.recv(READ_BYTES)
            except (BlockingIOError, InterruptedError):
                pass
            if self._response_deadline_s is None:
                await self._wait_ready(loop.add_reader, loop.remove_reader)
                continue
            try:
                async with asyncio.timeout_at(self._response_deadline_s):
                    await self._wait_ready(loop.add_reader, loop.remove_reader)
            except TimeoutError:
                if self._receive_queue_empty():  # an incomplete response in the parser does not count
                    raise CorruptResponseError("response not complete in time") from None

    async def read_head(self) -> ResponseHead:
        """Read status and headers of the final response, which must be complete soon after its first byte.

        The caller limits the wait for that byte; 1xx responses may arrive long before the final one.
        """
        parser, timed_interims = self._parser, -1  # interim_count when the deadline was set
        while parser.head is None:
            await self._read_more()
            if not parser.head_bytes:
                self._response_deadline_s = None
            elif timed_interims != parser.interim_count:
                self._response_deadline_s, timed_interims = (
                    asyncio.get_running_loop().time() + RESPONSE_TIMEOUT_S,
                    parser.interim_count,
                )
        return parser.head

    @property
    def response_started(self) -> bool:
        """Whether part of a response has been received."""
        return bool(self._parser.head_bytes)

    @property
    def status_is_200(self) -> bool:
        """Whether the status line is complete and says 200, whatever follows it."""
        return self._parser.status_is_200

    async def read_body(self, max_bytes: int) -> bytes:
        """Read the rest of the response; raise ``CorruptResponseError`` beyond ``max_bytes``."""
        data = self._parser.take_body()
        while not self._parser.done:
            await self._read_more()
            data += self._parser.take_body()
            if len(data) > max_bytes:
                raise CorruptResponseError("response body too long")
        return data

    async def read_body_part(self) -> bytes:
        """Read the next data of a long-lived response such as a watch; no deadline applies.

        Raises ``ConnectionResetError`` at the end of the response.
        """
        self._response_deadline_s = None
        while not (data := self._parser.take_body()):
            if self._parser.done:
                raise ConnectionResetError("the response has ended")
            await self._read_more()
        return data

    def reusable(self) -> bool:
        """Whether the last call is complete and both sides keep the connection open."""
        parser = self._parser
        if not (parser.done and parser.keep_alive) or parser.has_extra_data:
            return False
        if self._peek() is not Pending.NOTHING:
            return False
        self.write_started = False
        return True

    def no_unsolicited_data(self) -> bool:
        """Whether neither unrequested data nor the server's end of stream was received."""
        return self.pending() is Pending.NOTHING

    def pending(self) -> Pending:
        """Return what was received beside the response to the last request."""
        return Pending.DATA if self._parser.has_extra_data else self._peek()

    def _receive_queue_empty(self) -> bool:
        """Whether the kernel holds neither data nor the server's end of stream."""
        return self._peek() is Pending.NOTHING

    def _peek(self) -> Pending:
        """Return what the kernel holds for this connection."""
        try:
            data = self.sock.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return Pending.NOTHING
        except OSError:
            return Pending.END
        return Pending.DATA if data else Pending.END

    def close(self) -> None:
        """Close the connection and abandon any call on it."""
        self.sock.close()


CONNECTION_ERRORS = (OSError, CorruptResponseError)
