"""RESP2 server for clients: accepts messages or answers why it does not; every request gets an answer."""

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
MAX_BODY_BYTES = 64 * 1024
MAX_REQUEST_BYTES = MAX_BODY_BYTES + 4096  # sum of the lengths of a request's bulk strings
MAX_ARGUMENTS = 16  # bulk strings in a request
MAX_LENGTH_LINE_BYTES = 16  # an array count or a string length, with its type byte and CRLF
READ_BUFFER_BYTES = 32 * 1024  # read from one connection before others are served
MAX_REQUESTS_PER_TURN = 32  # answered on one connection before others are served
MAX_ERRORS = 8  # invalid requests on a connection before it is closed
FIRST_REQUEST_TIMEOUT_S = 2.05  # from connecting to the first byte
REQUEST_TIMEOUT_S = 0.8  # from the first byte of a request to its last; the client waits 0.4 s
# How long a lingering close waits for the client's end of stream: as long as a client waits for an answer.
LINGER_TIMEOUT_S = 0.4
SWEEP_INTERVAL_S = 0.1  # between checks for connections that exceed these timeouts
LENGTH_LINE = re.compile(rb"[*$][0-9]{1,8}")
TOKEN = re.compile(rb"[!-~]{1,128}")  # valid both in an HTTP header and in a line of a batch
NUMBER = re.compile(rb"[0-9]{1,12}")
MAX_TIME_LEFT_MS = 24 * 3600 * 1000


class BadRequestError(ValueError):
    """A complete request that is invalid and cannot be accepted."""


def parse_token(raw: bytes, name: str) -> str:
    """Decode a printable ASCII word; raise ``BadRequestError``, naming it as ``name``, if it is none."""
    if not TOKEN.fullmatch(raw):
        raise BadRequestError(f"{name} is unreadable")
    return raw.decode("ascii")


def parse_number(fields: dict[bytes, bytes], name: bytes) -> int:
    """Read a required non-negative integer field; raise ``BadRequestError`` if it is missing or invalid."""
    text = fields.get(name, b"")
    if not NUMBER.fullmatch(text):
        raise BadRequestError(f"{name.decode()} is no whole number")
    return int(text)


def parse_submission(args: list[bytes], now_us: int) -> tuple[Submission, bytes]:
    """Parse an ENQUEUE request into a submission and its body; the deadline counts from ``now_us``.

    Raises ``BadRequestError`` if an argument or a field is missing or invalid.
    """
    if len(args) != 5:
        raise BadRequestError("ENQUEUE takes a key, an id, a list and a body")
    _, order, message_id, field_list, body = args
    if len(body) > MAX_BODY_BYTES:
        raise BadRequestError("the body is too long")
    fields: dict[bytes, bytes] = {}
    for item in field_list.split(b","):
        name, sign, value = item.partition(b"=")
        if not sign:
            raise BadRequestError("the list holds no name=value pair")
        fields[name.strip()] = value
    time_left_ms = min(parse_number(fields, b"d"), MAX_TIME_LEFT_MS)
    submission = Submission(
        id=parse_token(message_id, "the id"),
        dest=parse_number(fields, b"dest"),
        cls=parse_token(fields.get(b"c", b""), "c"),
        deadline_us=now_us + time_left_ms * 1000,
        tenant=parse_token(fields[b"t"], "t") if fields.get(b"t") else "",
        order="" if not order.strip(b"0") else parse_token(order, "the key"),
        key=parse_token(fields[b"k"], "k") if fields.get(b"k") else "",
    )
    return submission, body


class FrameError(ValueError):
    """The stream violates RESP2 framing, so the start of the next request is unknown."""


class RequestParser:
    """Incremental parser of a client's stream: arrays of bulk strings, checked strictly and bounded.

    A parser for server responses is not suitable: it allocates whatever count is announced, nested arrays
    included, and does not check the bytes after a string, so that a wrong length passes as a shorter body.
    """

    def __init__(self) -> None:
        self._buffer, self._position = bytearray(), 0  # received data; how much of it is parsed
        self._arguments: list[bytes] = []
        # Strings still expected; length of the next (-1: unknown); sum of the lengths so far.
        self._arguments_left, self._argument_length, self._total_length = 0, -1, 0

    def feed(self, data: bytes | memoryview) -> None:
        """Append received data."""
        self._buffer += data

    @property
    def in_progress(self) -> bool:
        """Whether part of a request has been received."""
        return len(self._buffer) > self._position or self._arguments_left > 0

    def next_request(self) -> list[bytes] | None:
        """Return the next complete request, or None if more data is needed; raise ``FrameError``."""
        buffer = self._buffer
        while True:
            if self._arguments_left and self._argument_length >= 0:
                end = self._position + self._argument_length
                if len(buffer) < end + 2:
                    return None
                if buffer[end : end + 2] != b"\r\n":
                    raise FrameError("a string is longer than its length")
                self._arguments.append(bytes(buffer[self._position : end]))
                self._position, self._arguments_left, self._argument_length = (
                    end + 2,
                    self._arguments_left - 1,
                    -1,
                )
                if not self._arguments_left:
                    del buffer[: self._position]  # once per request, not once per argument
                    request, self._arguments, self._total_length, self._position = self._arguments, [], 0, 0
                    return request
            elif not self._read_length():
                return None

    def _read_length(self) -> bool:
        """Read the array count or the length of the next string; return False if the line is incomplete."""
        sign, buffer, start = b"$" if self._arguments_left else b"*", self._buffer, self._position
        if len(buffer) > start and not buffer.startswith(sign, start):
            raise FrameError(f"expected '{sign.decode()}'")
        end = buffer.find(b"\r\n", start, start + MAX_LENGTH_LINE_BYTES)
        if end < 0:
            if len(buffer) - start >= MAX_LENGTH_LINE_BYTES:
                raise FrameError("a count without end")
            return False
        line = bytes(buffer[start:end])
        if not LENGTH_LINE.fullmatch(line):
            raise FrameError("not a count")
        self._position, length = end + 2, int(line[1:])
        if self._arguments_left:
            self._argument_length, self._total_length = length, self._total_length + length
        else:
            self._arguments_left = length
        if self._total_length > MAX_REQUEST_BYTES or not 0 < self._arguments_left <= MAX_ARGUMENTS:
            raise FrameError("invalid length")
        return True


class ClientConnection(asyncio.BufferedProtocol):
    """A client's connection: requests are answered in order, one answer each.

    It ends by a lingering close (RFC 9112, 9.6): write the answers, shut down the sending side, then read and
    discard what the client still sends until its end of stream. A plain close with unread bytes resets the
    connection, and the reset discards answers that the client has not read yet.
    """

    def __init__(self, server: Resp2Server) -> None:
        self._server, self._parser = server, RequestParser()
        self._transport: asyncio.Transport | None = None
        self._error_count, self._writing_paused = 0, False  # paused: the client does not read its answers
        self._scheduled_turn: asyncio.Handle | None = None
        self.closing = False
        self._client_eof, self._lingering = False, False  # end of stream: received; sent
        self._close_reason: ClientClose | None = None  # None: not closed by this side

    @property
    def request_in_progress(self) -> bool:
        """Whether part of a request has been received."""
        return self._parser.in_progress

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._server.connection_opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        if self._scheduled_turn is not None:
            self._scheduled_turn.cancel()
        self._server.forget(self)
        by_client = ClientClose.BY_CLIENT if exc is None else ClientClose.CONNECTION_ERROR
        self._server.reasons.count(Event.CLIENT_CLOSE, self._close_reason or by_client)

    def pause_writing(self) -> None:
        """Stop reading from a client that does not read its answers, so that buffers stay bounded."""
        self._writing_paused = True
        if self._transport is not None and not self._transport.is_closing():
            self._transport.pause_reading()

    def resume_writing(self) -> None:
        self._writing_paused = False
        self._schedule_turn()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer shared by all connections: each read is copied out at once."""
        return self._server.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        if self._lingering:  # could not be answered any more; the client sends it again on another connection
            return
        self._parser.feed(self._server.read_buffer[:nbytes])
        self._serve_requests()

    def eof_received(self) -> bool:
        """Return whether to stay open: complete requests received before the end are still answered."""
        self.closing = self._client_eof = True
        return self._scheduled_turn is not None

    def _serve_requests(self) -> None:
        """Answer complete requests, a bounded number per turn so that other connections are not delayed."""
        transport, self._scheduled_turn, answers, more_requests = self._transport, None, list[bytes](), True
        if transport is None or transport.is_closing() or self._lingering:
            return
        try:
            while more_requests and len(answers) < MAX_REQUESTS_PER_TURN and self._error_count < MAX_ERRORS:
                if more_requests := (request := self._parser.next_request()) is not None:
                    answers.append(self._server.handle_request(request or []))
                    self._error_count += answers[-1].startswith(b"-ERR")
        except FrameError as error:
            answers.append(b"-ERR Protocol error: %s\r\n" % str(error).encode())
            self._error_count = MAX_ERRORS
        except Exception:
            LOG.exception("clients: unexpected error while serving a connection")
            answers.append(b"-ERR internal error\r\n")
            self._error_count = MAX_ERRORS
        transport.write(b"".join(answers))
        should_close = self.closing or (self._server.closing_after_answer and not more_requests)
        if self._error_count >= MAX_ERRORS or (should_close and not self.request_in_progress):
            self.close_lingering(self._reason_to_close())
            return
        self._server.update_table(self, bool(answers))
        if more_requests:
            transport.pause_reading()
            self._schedule_turn()
        elif not self._writing_paused:
            transport.resume_reading()

    def _reason_to_close(self) -> ClientClose:
        """Return why the connection closes after the answers written so far."""
        if self._error_count >= MAX_ERRORS:
            return ClientClose.ERRORS
        if self._client_eof:
            return ClientClose.BY_CLIENT
        return ClientClose.SHUTTING_DOWN if self.closing else ClientClose.HANDED_OVER

    def _schedule_turn(self) -> None:
        """Serve the remaining requests in a later turn of the event loop."""
        if self._scheduled_turn is None and not self._writing_paused:
            self._scheduled_turn = asyncio.get_running_loop().call_soon(self._serve_requests)

    def close_after_request(self) -> None:
        """Close between requests: now, or once the request being received is answered.

        Data that is already in the kernel is still served: the close waits for the loop's next poll.
        """
        self.closing = True
        loop = asyncio.get_running_loop()
        loop.call_soon(loop.call_soon, self._close_if_between_requests)  # the inner one runs after that poll

    def _close_if_between_requests(self) -> None:
        if not self.request_in_progress:
            self.close_lingering(ClientClose.SHUTTING_DOWN)

    def close_lingering(self, reason: ClientClose, answer: bytes = b"") -> None:
        """Write ``answer`` and start a lingering close; abort a connection that is closing already."""
        self._close_reason = self._close_reason or reason
        transport = self._transport
        if transport is None:
            return
        if self._lingering or transport.is_closing():
            transport.abort()
            return
        transport.write(answer)
        if self._client_eof:
            transport.close()
            return
        self._lingering = True
        self._server.lingering_started(self)
        try:
            transport.write_eof()
        except OSError:  # the connection is broken already
            transport.abort()
            return
        transport.resume_reading()

    def close_now(self) -> None:
        """Close at once because the file descriptor is needed."""
        self._close_reason = self._close_reason or ClientClose.DESCRIPTOR_NEEDED
        if self._transport is not None:
            (self._transport.abort if self._lingering else self._transport.close)()


class Resp2Server:
    """Listens for clients and answers their requests.

    Every connection is in one of four tables, each ordered by time: ``unused`` (nothing received yet),
    ``receiving`` (part of a request received), ``idle`` (between requests) and ``lingering`` (closing).
    """

    def __init__(
        self,
        intake: Intake,
        address: Address,
        max_connections: int,
        system: System,
        shared: bool = False,
        *,
        accept_backlog: int = 16,
        reasons: Reasons | None = None,
    ) -> None:
        self.intake, self._address, self.max_connections, self._system = (
            intake,
            address,
            max_connections,
            system,
        )
        self.reasons = reasons or Reasons()
        self._accept_backlog = accept_backlog  # accepted in one turn of the loop
        self._shared = shared  # another process of this relay may listen on the same address
        self._sock: socket.socket | None = None
        self.closing_after_answer = False
        self.read_buffer = memoryview(bytearray(READ_BUFFER_BYTES))
        self.unused: OrderedDict[ClientConnection, float] = OrderedDict()  # time of connecting
        self.receiving: OrderedDict[ClientConnection, float] = OrderedDict()  # start of the request
        self.idle: OrderedDict[ClientConnection, float] = OrderedDict()  # time of the last request
        self.lingering: OrderedDict[ClientConnection, float] = OrderedDict()  # start of the close
        self._server: asyncio.Server | None = None
        self._sweep_timer: asyncio.TimerHandle | None = None
        self.draining = False

    @property
    def clients(self) -> int:
        """Number of open connections."""
        return sum(map(len, self._tables))

    @property
    def _tables(self) -> tuple[OrderedDict[ClientConnection, float], ...]:
        return self.unused, self.receiving, self.idle, self.lingering

    async def start(self) -> None:
        """Start listening; the journal must have been replayed before."""
        loop = asyncio.get_running_loop()
        # The loop accepts up to ``backlog`` connections in one turn before any of them is counted here, so a
        # burst could exhaust the descriptors. The kernel's own backlog stays long.
        sock = self._sock = self._system.listener(self._address, self._shared)
        self._server = await loop.create_server(
            lambda: ClientConnection(self), sock=sock, backlog=self._accept_backlog
        )
        sock.listen(512)
        self._sweep()

    def steer_connections_here(self) -> bool:
        """Route all new connections here if another process listens on the same address; False on failure."""
        return self._sock is not None and self._system.steer(self._sock)

    def close_after_next_answer(self) -> None:
        """Close each connection after its next answer, when its client has no request in transit."""
        self.closing_after_answer = True

    def stop_listening(self) -> None:
        """Stop listening; open connections continue."""
        if self._server is not None:
            self._server.close()

    def connection_opened(self, client: ClientConnection) -> None:
        """Register a new connection; at the limit another one is closed, as descriptors are bounded."""
        if self.clients >= self.max_connections:
            self._evict_connection()
        self.unused[client] = asyncio.get_running_loop().time()
        client.closing |= self.draining

    def _evict_connection(self) -> None:
        """Close the connection that has been silent longest: a request in transit would fail.

        A lingering connection goes first, as no client waits for it. A new connection without a request gets
        no lower priority than idle ones: under load its request is in transit. One that is receiving a
        request goes last.
        """
        tables = (self.lingering,) if self.lingering else (self.unused, self.idle)
        oldest = [next(iter(table.items())) for table in tables if table]
        victim, _ = min(oldest or [next(iter(self.receiving.items()))], key=lambda item: item[1])
        self.forget(victim)
        victim.close_now()

    def lingering_started(self, client: ClientConnection) -> None:
        """Record that the connection's lingering close has started."""
        self.forget(client)
        self.lingering[client] = asyncio.get_running_loop().time()

    def update_table(self, client: ClientConnection, answered: bool) -> None:
        """Move a connection that has received data to the table of its state.

        The time of a request counts from its first byte, however slowly the rest arrives, and restarts after
        an answered one: a client that sends without pause always has part of the next request here.
        """
        now_s = asyncio.get_running_loop().time()
        if client.request_in_progress:
            if answered or client not in self.receiving:
                self.forget(client)
                self.receiving[client] = now_s
            return
        self.forget(client)
        self.idle[client] = now_s

    def forget(self, client: ClientConnection) -> None:
        """Remove a connection from its table."""
        for table in self._tables:
            table.pop(client, None)

    def _sweep(self) -> None:
        """Close connections that exceed the timeout of their state."""
        loop = asyncio.get_running_loop()
        self._sweep_timer = loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        for table, timeout_s, reason, answer in (
            (self.unused, FIRST_REQUEST_TIMEOUT_S, ClientClose.NO_REQUEST, b""),
            (self.receiving, REQUEST_TIMEOUT_S, ClientClose.UNFINISHED, b"-ERR a request without end\r\n"),
            (self.lingering, LINGER_TIMEOUT_S, ClientClose.LINGERED, b""),
        ):
            while table and loop.time() - next(iter(table.values())) > timeout_s:
                client = next(iter(table))
                self.forget(client)
                client.close_lingering(reason, answer)

    def drain_clients(self) -> None:
        """Close every connection between requests; a new one is answered with a refusal and then closed."""
        self.draining = True
        for client in [*self.unused, *self.receiving, *self.idle]:
            client.close_after_request()

    def close(self) -> None:
        """Stop listening and stop checking timeouts."""
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        if self._server is not None:
            self._server.close()

    def handle_request(self, request: list[bytes]) -> bytes:
        """Return the answer to a complete request."""
        command = request[0].upper()
        if command == b"PING":
            return b"+PONG\r\n"
        if command != b"ENQUEUE":
            return b"-ERR unknown command\r\n"
        try:
            submission, body = parse_submission(request, self.intake.clock())
        except ValueError as error:
            return b"-ERR %s\r\n" % str(error).encode()
        if self.draining:
            refusal = self.intake.refusal
            self.reasons.count(Event.REFUSAL, refusal.reason, message_id=submission.id)
            return encode_answer(refusal)
        return encode_answer(self.intake.submit(submission, body))


def encode_answer(answer: Answer) -> bytes:
    """Encode the core's answer as a RESP2 reply."""
    if isinstance(answer, Accepted):
        return b"+OK\r\n"
    if isinstance(answer, Refused):
        return b"-BUSY %d\r\n" % answer.wait_ms
    return b"-ERR %s\r\n" % answer.reason.encode()
