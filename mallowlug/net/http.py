"""One HTTP/1.1 client connection on a plain socket: it counts its bytes and repeats nothing by itself."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from mallowlug.core.model import Address
from mallowlug.net.responses import CorruptResponseError, ResponseHead, ResponseParser
from mallowlug.system import System, family_of

Headers = list[tuple[str, str]]
RESPONSE_TIMEOUT_S = (
    0.5  # s from an answer's first byte to its last: it is written in one go, or it has no end
)
READ_BYTES = 64 * 1024


class Connection:
    """A connection whose owner knows exactly how many bytes of its request are still here."""

    def __init__(self, sock: socket.socket, address: Address = ("localhost", 0)) -> None:
        self.sock, self.address, self.unsent = sock, address, 0
        # The loop gets the number: it names what it does not find, a socket by two system calls.
        self.fd = sock.fileno()
        self.write_started = False  # whether a byte of the present request has gone out
        self._response_deadline_s: float | None = None  # when the present answer has to be complete
        self._parser = ResponseParser()

    @classmethod
    async def open(cls, address: Address, system: System) -> Connection:
        """Connect; ``OSError`` where the other side refuses."""
        sock = system.stream(family_of(address))
        try:
            await asyncio.get_running_loop().sock_connect(sock, address)
        except BaseException:
            sock.close()
            raise
        return cls(sock, address)

    def request(self, method: str, target: str, headers: Headers, body: bytes = b"") -> bytes:
        """A request's bytes; ``ValueError`` where a header would break out of its line."""
        lines = [f"{name}: {value}\r\n" for name, value in headers]
        if method != "GET":
            lines.append(f"Content-Length: {len(body)}\r\n")
        host, port = self.address
        head = f"{method} {target} HTTP/1.1\r\nHost: {host}:{port}\r\n{''.join(lines)}\r\n".encode("ascii")
        if head.count(b"\n") != len(lines) + 3 or head.count(b"\r") != len(lines) + 3:
            raise ValueError("a header holds a line's end")
        return head + body

    async def send(self, data: bytes) -> None:
        """Hand every byte to the kernel; ``unsent`` is exact at every moment, also when this is cancelled.

        ``loop.sock_sendall`` will not do: cancelled after its last byte it looks as if it had not ended,
        and a call that may have run would be taken for one that never did.
        """
        loop, view = asyncio.get_running_loop(), memoryview(data)
        self.unsent, self.write_started = len(view), False
        self._parser.begin_response()
        self._response_deadline_s = None
        while view:
            try:
                sent = self.sock.send(view)
            except (BlockingIOError, InterruptedError):
                await self._wait_ready(loop.add_writer, loop.remove_writer)
                continue
            view, self.write_started = view[sent:], True
            self.unsent = len(view)

    async def _wait_ready(
        self, add_watcher: Callable[..., None], remove_watcher: Callable[..., object]
    ) -> None:
        """Wait for one side of the socket, by the loop's pair of calls for it."""
        ready = asyncio.Event()
        add_watcher(self.fd, ready.set)
        try:
            await ready.wait()
        finally:
            remove_watcher(self.fd)

    async def _read_more(self) -> None:
        """Take in what comes next; a broken or ended connection raises."""
        if data := await self._receive():
            self._parser.feed(data)
        else:
            self._parser.handle_eof()

    async def _receive(self) -> bytes:
        """What has come; cancelled, it has taken nothing from the kernel, so nothing that came is lost.

        A process that stood still finds its time-outs due and the answers there: the answers go first.
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
                if (
                    self._receive_queue_empty()
                ):  # what has come of an answer stays in the parser: it is not the question
                    raise CorruptResponseError("an answer without end") from None

    async def read_head(self) -> ResponseHead:
        """Status and headers of the final answer; from its first byte on it has to end soon.

        The wait for that byte is the caller's to bound; 1xx answers may come long before the final one.
        """
        parser, timed_interims = self._parser, -1  # begun: the 1xx answers ahead of the one that has begun
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
        """Whether the other side has begun to answer."""
        return bool(self._parser.head_bytes)

    @property
    def status_is_200(self) -> bool:
        """Whether the first line is whole and says 200, whatever became of the rest."""
        return self._parser.status_is_200

    async def read_body(self, max_bytes: int) -> bytes:
        """The rest of the answer, of which ``most`` bytes are bearable."""
        data = self._parser.take_body()
        while not self._parser.done:
            await self._read_more()
            data += self._parser.take_body()
            if len(data) > max_bytes:
                raise CorruptResponseError("the answer is too long")
        return data

    async def read_body_part(self) -> bytes:
        """The next part of an answer that takes its time: a watch. Its end is a ``ConnectionResetError``."""
        self._response_deadline_s = None
        while not (data := self._parser.take_body()):
            if self._parser.done:
                raise ConnectionResetError("the answer has ended")
            await self._read_more()
        return data

    def reusable(self) -> bool:
        """Whether both sides are done with the last call and keep the connection."""
        if not (self._parser.done and self._parser.keep_alive and self.no_unsolicited_data()):
            return False
        self.write_started = False
        return True

    def no_unsolicited_data(self) -> bool:
        """Whether nothing came unasked: neither bytes nor the other side's end."""
        return not self._parser.has_extra_data and self._receive_queue_empty()

    def _receive_queue_empty(self) -> bool:
        """Whether the kernel holds neither bytes nor the other side's end."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return True
        except OSError:
            return False
        return False

    def close(self) -> None:
        """Give the connection up, and with it a call that is out on it."""
        self.sock.close()


CONNECTION_ERRORS = (OSError, CorruptResponseError)
