"""One HTTP/1.1 client connection on a plain socket: it counts its bytes and repeats nothing by itself."""

from __future__ import annotations

import asyncio
import re
import socket
from collections.abc import Callable

import h11

from mallowlug.core.model import Address
from mallowlug.system import System, family_of

Headers = list[tuple[str, str]]
MOST_HEAD = 16 * 1024  # bytes of a status line and headers
MOST_INTERIM = 16  # 1xx answers ahead of the final one
MOST_LINE = 1024  # bytes of the first line
ANSWER_S = 0.5  # s from an answer's first byte to its last: it is written in one go, or it has no end
READ = 64 * 1024
DELIVERED_LINE = re.compile(rb"HTTP/1\.[01] 200(?: [^\r\n]*)?\r?\n")


class SpoiltError(Exception):
    """What came is no answer, or has no end; the request may have run."""


class Connection:
    """A connection whose owner knows exactly how many bytes of its request are still here."""

    def __init__(self, sock: socket.socket, address: Address = ("localhost", 0)) -> None:
        self.sock, self.address, self.unsent = sock, address, 0
        self.begun = False  # whether a byte of the present request has gone out
        self._first = bytearray()  # the beginning of the present answer, as it came
        self._end_s: float | None = None  # when the present answer has to be complete
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MOST_HEAD)

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
        """A request's bytes."""
        host, port = self.address
        headers = [("Host", f"{host}:{port}"), *headers]
        if method != "GET":
            headers.append(("Content-Length", str(len(body))))
        parts = [
            self._http.send(h11.Request(method=method, target=target, headers=headers)),
            self._http.send(h11.Data(data=body)) if body else b"",
            self._http.send(h11.EndOfMessage()),
        ]
        return b"".join(part or b"" for part in parts)

    async def send(self, data: bytes) -> None:
        """Hand every byte to the kernel; ``unsent`` is exact at every moment, also when this is cancelled.

        ``loop.sock_sendall`` will not do: cancelled after its last byte it looks as if it had not ended,
        and a call that may have run would be taken for one that never did.
        """
        loop, view = asyncio.get_running_loop(), memoryview(data)
        self.unsent, self.begun = len(view), False
        self._first.clear()
        while view:
            try:
                sent = self.sock.send(view)
            except (BlockingIOError, InterruptedError):
                await self._ready(loop.add_writer, loop.remove_writer)
                continue
            view, self.begun = view[sent:], True
            self.unsent = len(view)

    async def _ready(self, add: Callable[..., None], remove: Callable[..., object]) -> None:
        """Wait for one side of the socket, by the loop's pair of calls for it."""
        ready = asyncio.Event()
        add(self.sock, ready.set)
        try:
            await ready.wait()
        finally:
            remove(self.sock)

    async def event(self) -> h11.Event | type[h11.PAUSED]:
        """The next part of the answer; a broken or ended connection raises."""
        try:
            while (event := self._http.next_event()) is h11.NEED_DATA:
                data = await self._receive()
                if len(self._first) < MOST_LINE:
                    self._first += data[:MOST_LINE]
                self._http.receive_data(data)
        except h11.RemoteProtocolError as error:
            if self._http.trailing_data[1]:  # the other side has ended
                raise ConnectionResetError(str(error)) from error
            raise SpoiltError(str(error)) from error
        if isinstance(event, h11.ConnectionClosed):
            raise ConnectionResetError("closed before an answer")
        return event  # type: ignore[return-value]

    async def _receive(self) -> bytes:
        """What has come; cancelled, it has taken nothing from the kernel, so nothing that came is lost.

        A process that stood still finds its time-outs due and the answers there: the answers go first.
        """
        loop = asyncio.get_running_loop()
        while True:
            try:
                return self.sock.recv(READ)
            except (BlockingIOError, InterruptedError):
                pass
            try:
                async with asyncio.timeout_at(self._end_s):
                    await self._ready(loop.add_reader, loop.remove_reader)
            except TimeoutError:
                if self._empty():  # what has come of an answer stays in the parser: it is not the question
                    raise SpoiltError("an answer without end") from None

    async def answer(self) -> h11.Response:
        """Status and headers of the final answer; from its first byte on it has to end soon.

        The wait for that byte is the caller's to bound; 1xx answers may come long before the final one.
        """
        for _ in range(MOST_INTERIM):
            self._end_s = None
            if not self._first:
                self._first += await self._receive()
                self._http.receive_data(bytes(self._first))
            self._end_s = asyncio.get_running_loop().time() + ANSWER_S
            event = await self.event()
            if isinstance(event, h11.Response):
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise SpoiltError(f"no answer but {event!r}")
            self._first[:] = self._http.trailing_data[0]
        raise SpoiltError("1xx answers without end")

    @property
    def answering(self) -> bool:
        """Whether the other side has begun to answer."""
        return bool(self._first)

    @property
    def says_delivered(self) -> bool:
        """Whether the first line is whole and says 200, whatever became of the rest."""
        return DELIVERED_LINE.match(self._first) is not None

    async def body(self, most: int) -> bytes:
        """The rest of the answer, of which ``most`` bytes are bearable."""
        data = bytearray()
        while isinstance(event := await self.event(), h11.Data):
            data += event.data
            if len(data) > most:
                raise SpoiltError("the answer is too long")
        return bytes(data)

    def stream(self) -> None:
        """From here on the answer may take its time: a watch has no end."""
        self._end_s = None

    def reusable(self) -> bool:
        """Whether both sides are done with the last call and keep the connection."""
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
            self.begun = False
        return self._http.our_state is h11.IDLE and self._http.their_state is h11.IDLE and self.quiet()

    def quiet(self) -> bool:
        """Whether nothing came unasked: neither bytes nor the other side's end."""
        return not self._http.trailing_data[0] and self._empty()

    def _empty(self) -> bool:
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


FAULTS = (OSError, SpoiltError)
