"""The clients' side: a RESP2 server that takes messages on or says why not; it never stays silent."""

from __future__ import annotations

import asyncio
import logging
import re
import socket
from collections import OrderedDict

from mallowlug.core.model import Accepted, Address, Answer, Refused, Submission
from mallowlug.core.ports import Intake
from mallowlug.core.reasons import ClientClose, Event, Reasons
from mallowlug.system import System

LOG = logging.getLogger(__name__)
MOST_BODY = 64 * 1024
MOST_REQUEST = MOST_BODY + 4096  # bytes of one request's strings
MOST_PARTS = 16  # strings of one request
MOST_COUNT = 16  # bytes of a count or a length with its sign
READ = 32 * 1024  # bytes taken from one connection before the others have their turn
MOST_TURN = 32  # requests of one connection before the others have their turn
MOST_ERRORS = 8  # requests of one connection that make no sense, before it is closed
SILENT_S = 2.05  # s in which a new connection has to say something
REQUEST_S = 0.8  # s from a request's first byte to its last: its client waits for 0.4 s
LINGER_S = 0.4  # s in which a lingering close waits for the client's end: so long it waits for an answer
SWEEP_S = 0.1  # s between looks for connections past these bounds
COUNT = re.compile(rb"[*$][0-9]{1,8}")
TOKEN = re.compile(rb"[!-~]{1,128}")  # what can stand in a header and in a batch's line
NUMBER = re.compile(rb"[0-9]{1,12}")
LONGEST_MS = 24 * 3600 * 1000


class BadRequestError(ValueError):
    """A whole request that cannot be taken on."""


def token(raw: bytes, name: str) -> str:
    """A short printable word."""
    if not TOKEN.fullmatch(raw):
        raise BadRequestError(f"{name} is unreadable")
    return raw.decode("ascii")


def number(pairs: dict[bytes, bytes], name: bytes) -> int:
    """A whole number that has to be there."""
    text = pairs.get(name, b"")
    if not NUMBER.fullmatch(text):
        raise BadRequestError(f"{name.decode()} is no whole number")
    return int(text)


def handed_of(args: list[bytes], now_us: int) -> tuple[Submission, bytes]:
    """The message in an ENQUEUE request; its time counts from ``now_us``."""
    if len(args) != 5:
        raise BadRequestError("ENQUEUE takes a key, an id, a list and a body")
    _, order, ref, names, body = args
    if len(body) > MOST_BODY:
        raise BadRequestError("the body is too long")
    pairs: dict[bytes, bytes] = {}
    for pair in names.split(b","):
        name, sign, value = pair.partition(b"=")
        if not sign:
            raise BadRequestError("the list holds no name=value pair")
        pairs[name.strip()] = value
    left_ms = min(number(pairs, b"d"), LONGEST_MS)
    handed = Submission(
        id=token(ref, "the id"),
        dest=number(pairs, b"dest"),
        cls=token(pairs.get(b"c", b""), "c"),
        deadline_us=now_us + left_ms * 1000,
        tenant=token(pairs[b"t"], "t") if pairs.get(b"t") else "",
        order="" if not order.strip(b"0") else token(order, "the key"),
        key=token(pairs[b"k"], "k") if pairs.get(b"k") else "",
    )
    return handed, body


class FrameError(ValueError):
    """The stream cannot be read on: where the next request begins is not known."""


class Requests:
    """Cuts requests out of a client's stream: arrays of bulk strings, strictly and within bounds.

    A parser made for a server's answers will not do: it makes room for whatever count it is told, nested ones
    too, and does not look at what stands behind a string, so that a wrong length passes as a shorter body.
    """

    def __init__(self) -> None:
        self._buffer, self._at = bytearray(), 0  # what has come, and how much of it is read
        self._strings: list[bytes] = []
        self._missing, self._size, self._total = 0, -1, 0  # strings to come; length of the next; sum so far

    def feed(self, data: bytes | memoryview) -> None:
        """Add what has come."""
        self._buffer += data

    @property
    def begun(self) -> bool:
        """Whether a part of a request has come."""
        return len(self._buffer) > self._at or self._missing > 0

    def next(self) -> list[bytes] | None:
        """The next whole request; None where more has to come."""
        buffer = self._buffer
        while True:
            if self._missing and self._size >= 0:
                end = self._at + self._size
                if len(buffer) < end + 2:
                    return None
                if buffer[end : end + 2] != b"\r\n":
                    raise FrameError("a string is longer than its length")
                self._strings.append(bytes(buffer[self._at : end]))
                self._at, self._missing, self._size = end + 2, self._missing - 1, -1
                if not self._missing:
                    del buffer[: self._at]  # once for a request, not for each of its parts
                    request, self._strings, self._total, self._at = self._strings, [], 0, 0
                    return request
            elif not self._count():
                return None

    def _count(self) -> bool:
        """Read how many strings come, or how long the next one is; False where that is not there yet."""
        sign, buffer, at = b"$" if self._missing else b"*", self._buffer, self._at
        if len(buffer) > at and not buffer.startswith(sign, at):
            raise FrameError(f"expected '{sign.decode()}'")
        end = buffer.find(b"\r\n", at, at + MOST_COUNT)
        if end < 0:
            if len(buffer) - at >= MOST_COUNT:
                raise FrameError("a count without end")
            return False
        line = bytes(buffer[at:end])
        if not COUNT.fullmatch(line):
            raise FrameError("not a count")
        self._at, number = end + 2, int(line[1:])
        if self._missing:
            self._size, self._total = number, self._total + number
        else:
            self._missing = number
        if self._total > MOST_REQUEST or not 0 < self._missing <= MOST_PARTS:
            raise FrameError("invalid length")
        return True


class Client(asyncio.BufferedProtocol):
    """One client's connection: requests in order, one answer each.

    It ends by a lingering close (RFC 9112, 9.6): the answers go out, then the sending ends, then what the
    client still sends is read and thrown away until its own end. A plain close over unread bytes resets the
    connection, and the reset takes back answers that the client has not read yet.
    """

    def __init__(self, server: Server) -> None:
        self._server, self._requests = server, Requests()
        self._transport: asyncio.Transport | None = None
        self._errors, self._unread = 0, False  # unread: the client does not take its answers
        self._turn: asyncio.Handle | None = None
        self.ending = False
        self._ended, self._lingers = False, False  # the client's sending has ended; ours has
        self._why_closed: ClientClose | None = None  # as decided here

    @property
    def begun(self) -> bool:
        """Whether a request is under way."""
        return self._requests.begun

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._server.joined(self)

    def connection_lost(self, exc: Exception | None) -> None:
        if self._turn is not None:
            self._turn.cancel()
        self._server.left(self)
        by_client = ClientClose.BY_CLIENT if exc is None else ClientClose.CONNECTION_ERROR
        self._server.reasons.count(Event.CLIENT_CLOSE, self._why_closed or by_client)

    def pause_writing(self) -> None:
        """A client that does not read its answers is not read either: buffers stay bounded."""
        self._unread = True
        if self._transport is not None and not self._transport.is_closing():
            self._transport.pause_reading()

    def resume_writing(self) -> None:
        self._unread = False
        self._go_on()

    def get_buffer(self, sizehint: int) -> memoryview:
        """One buffer serves all connections, as each read is taken over at once."""
        return self._server.buffer

    def buffer_updated(self, nbytes: int) -> None:
        if self._lingers:  # it comes again on another connection: taken on here, it would have no answer
            return
        self._requests.feed(self._server.buffer[:nbytes])
        self._serve()

    def eof_received(self) -> bool:
        """Whether to stay open: whole requests that came before the end still get their answers."""
        self.ending = self._ended = True
        return self._turn is not None

    def _serve(self) -> None:
        """Answer whole requests, only so many a turn: hundreds at once must not hold up the others."""
        transport, self._turn, answers, more = self._transport, None, list[bytes](), True
        if transport is None or transport.is_closing() or self._lingers:
            return
        try:
            while more and len(answers) < MOST_TURN and self._errors < MOST_ERRORS:
                if more := (request := self._requests.next()) is not None:
                    answers.append(self._server.answer(request or []))
                    self._errors += answers[-1].startswith(b"-ERR")
        except FrameError as error:
            answers.append(b"-ERR Protocol error: %s\r\n" % str(error).encode())
            self._errors = MOST_ERRORS
        except Exception:
            LOG.exception("clients: a connection broke")
            answers.append(b"-ERR internal error\r\n")
            self._errors = MOST_ERRORS
        transport.write(b"".join(answers))
        leaves = self.ending or (self._server.parting and not more)
        if self._errors >= MOST_ERRORS or (leaves and not self.begun):
            self.drop(self._why_it_ends())
            return
        self._server.heard(self, bool(answers))
        if more:
            transport.pause_reading()
            self._go_on()
        elif not self._unread:
            transport.resume_reading()

    def _why_it_ends(self) -> ClientClose:
        """Why nothing more is read behind the answers so far."""
        if self._errors >= MOST_ERRORS:
            return ClientClose.ERRORS
        if self._ended:
            return ClientClose.BY_CLIENT
        return ClientClose.SHUTTING_DOWN if self.ending else ClientClose.HANDED_OVER

    def _go_on(self) -> None:
        """Serve the rest in a later turn."""
        if self._turn is None and not self._unread:
            self._turn = asyncio.get_running_loop().call_soon(self._serve)

    def end(self) -> None:
        """Close between requests: now, or once the request that is coming in has its answer.

        What stands in the kernel already is no crossing: the loop's next look at its sockets reads it.
        """
        self.ending = True
        loop = asyncio.get_running_loop()
        loop.call_soon(loop.call_soon, self._end_between)  # the second one runs behind that look

    def _end_between(self) -> None:
        if not self.begun:
            self.drop(ClientClose.SHUTTING_DOWN)

    def drop(self, reason: ClientClose, answer: bytes = b"") -> None:
        """End the connection by a lingering close; one that lingers already is broken off."""
        self._why_closed = self._why_closed or reason
        transport = self._transport
        if transport is None:
            return
        if self._lingers or transport.is_closing():
            transport.abort()
            return
        transport.write(answer)
        if self._ended:
            transport.close()
            return
        self._lingers = True
        self._server.lingers(self)
        try:
            transport.write_eof()
        except OSError:  # the connection is broken already
            transport.abort()
            return
        transport.resume_reading()

    def cut(self) -> None:
        """Close at once, as its descriptor is needed."""
        self._why_closed = self._why_closed or ClientClose.DESCRIPTOR_NEEDED
        if self._transport is not None:
            (self._transport.abort if self._lingers else self._transport.close)()


class Server:
    """Listens for clients and answers their requests.

    Every connection stands in one of four tables, each in order of time: those that have said nothing, those
    with a part of a request, those that wait between requests, and those in a lingering close.
    """

    def __init__(
        self,
        core: Intake,
        address: Address,
        most: int,
        system: System,
        shared: bool = False,
        *,
        burst: int = 16,
        reasons: Reasons | None = None,
    ) -> None:
        self.core, self._address, self.most, self._system = core, address, most, system
        self.reasons = reasons or Reasons()
        self._burst = burst  # connections taken on before any of them is served
        self._shared = shared  # whether another process of this relay may listen beside this one
        self._sock: socket.socket | None = None
        self.parting = False
        self.buffer = memoryview(bytearray(READ))
        self.silent: OrderedDict[Client, float] = OrderedDict()  # by when they connected
        self.asking: OrderedDict[Client, float] = OrderedDict()  # by when their request began
        self.idle: OrderedDict[Client, float] = OrderedDict()  # by when they were heard of last
        self.lingering: OrderedDict[Client, float] = OrderedDict()  # by when their close began
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.TimerHandle | None = None
        self.refusing = False

    @property
    def clients(self) -> int:
        """How many connections there are."""
        return sum(map(len, self._tables))

    @property
    def _tables(self) -> tuple[OrderedDict[Client, float], ...]:
        return self.silent, self.asking, self.idle, self.lingering

    async def start(self) -> None:
        """Begin to listen; the journal must have been replayed by then."""
        loop = asyncio.get_running_loop()
        # The loop takes on as many connections in one turn as its backlog has room for, before any is counted
        # here: a burst would use up the descriptors. The kernel's own backlog stays long.
        sock = self._sock = self._system.listener(self._address, self._shared)
        self._server = await loop.create_server(lambda: Client(self), sock=sock, backlog=self._burst)
        sock.listen(512)
        self._sweep()

    def prevail(self) -> bool:
        """Beside a process that listens at this address too: every new connection comes here from now on."""
        return self._sock is not None and self._system.steer(self._sock)

    def part(self) -> None:
        """Close each connection behind its next answer: its client has nothing on the way then."""
        self.parting = True

    def shut(self) -> None:
        """Stop listening; open connections go on."""
        if self._server is not None:
            self._server.close()

    def joined(self, client: Client) -> None:
        """A new connection; over the bound another one goes, for descriptors are bounded."""
        if self.clients >= self.most:
            self._make_room()
        self.silent[client] = asyncio.get_running_loop().time()
        client.ending |= self.refusing

    def _make_room(self) -> None:
        """Close the one that was silent longest: a request that crosses the close has failed.

        A lingering close ends first: nobody waits for it. A new connection that has said nothing yet must
        not go before others: in a crowd its request is on its way. One with a request under way goes last.
        """
        tables = (self.lingering,) if self.lingering else (self.silent, self.idle)
        oldest = [next(iter(table.items())) for table in tables if table]
        victim, _ = min(oldest or [next(iter(self.asking.items()))], key=lambda item: item[1])
        self.left(victim)
        victim.cut()

    def lingers(self, client: Client) -> None:
        """Its close has begun."""
        self.left(client)
        self.lingering[client] = asyncio.get_running_loop().time()

    def heard(self, client: Client, answered: bool) -> None:
        """A connection has brought something: put it where it belongs.

        A request's time counts from its first byte, however it trickles, and anew behind one that was
        answered: who sends without a pause has a part of the next request here at every look.
        """
        now_s = asyncio.get_running_loop().time()
        if client.begun:
            if answered or client not in self.asking:
                self.left(client)
                self.asking[client] = now_s
            return
        self.left(client)
        self.idle[client] = now_s

    def left(self, client: Client) -> None:
        """A connection is gone, or counts as gone."""
        for table in self._tables:
            table.pop(client, None)

    def _sweep(self) -> None:
        """Close connections that say nothing and requests that do not end."""
        loop = asyncio.get_running_loop()
        self._sweeper = loop.call_later(SWEEP_S, self._sweep)
        for table, most_s, reason, answer in (
            (self.silent, SILENT_S, ClientClose.NO_REQUEST, b""),
            (self.asking, REQUEST_S, ClientClose.UNFINISHED, b"-ERR a request without end\r\n"),
            (self.lingering, LINGER_S, ClientClose.LINGERED, b""),
        ):
            while table and loop.time() - next(iter(table.values())) > most_s:
                client = next(iter(table))
                self.left(client)
                client.drop(reason, answer)

    def drain_clients(self) -> None:
        """Close every connection between requests; new ones get answers and are closed behind them."""
        self.refusing = True
        for client in [*self.silent, *self.asking, *self.idle]:
            client.end()

    def close(self) -> None:
        """Stop listening."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        if self._server is not None:
            self._server.close()

    def answer(self, request: list[bytes]) -> bytes:
        """The answer to one whole request."""
        command = request[0].upper()
        if command == b"PING":
            return b"+PONG\r\n"
        if command != b"ENQUEUE":
            return b"-ERR unknown command\r\n"
        try:
            handed, body = handed_of(request, self.core.clock())
        except ValueError as error:
            return b"-ERR %s\r\n" % str(error).encode()
        if self.refusing:
            refusal = self.core.refusal
            self.reasons.count(Event.REFUSAL, refusal.reason, message_id=handed.id)
            return said(refusal)
        return said(self.core.submit(handed, body))


def said(answer: Answer) -> bytes:
    """The core's answer in a client's words."""
    if isinstance(answer, Accepted):
        return b"+OK\r\n"
    if isinstance(answer, Refused):
        return b"-BUSY %d\r\n" % answer.wait_ms
    return b"-ERR %s\r\n" % answer.reason.encode()
