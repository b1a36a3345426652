"""The console's listener: HTTP/1.1, one call to a connection, bounded in callers, bytes and time."""

from __future__ import annotations

import asyncio
import logging
from collections import OrderedDict
from http import HTTPStatus

import httptools

from mallowlug.console.calls import Operated, Said, answer
from mallowlug.core.model import Address
from mallowlug.system import System

LOG = logging.getLogger(__name__)
MOST_HEAD = 4096  # bytes of a call; none has a body
CALL_S = 5.0  # s from a caller's coming to the last byte of its call
LEAVE_S = 1.0  # s for a caller to take its answer; until then what it still sends is read and dropped
SWEEP_S = 0.25  # s between looks for callers past these bounds


class Caller(asyncio.Protocol):
    """One caller's connection: one call, one answer."""

    def __init__(self, console: Console) -> None:
        self._console, self._size = console, 0
        self._parser = httptools.HttpRequestParser(self)
        self._method, self._target, self._body = b"", b"", False  # the method once the call is whole
        self.transport: asyncio.Transport | None = None
        self.answered = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self._console.joined(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._console.left(self)

    def on_url(self, data: bytes) -> None:
        """Called by the parser; what follows the first call is not read."""
        if not self._method:
            self._target += data

    def on_body(self, _data: bytes) -> None:
        """Called by the parser."""
        self._body |= not self._method

    def on_message_complete(self) -> None:
        """Called by the parser."""
        self._method = self._method or self._parser.get_method()

    def data_received(self, data: bytes) -> None:
        if self.answered:  # it is leaving: closing with something unread would break its answer off
            return
        self._size += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.say(Said(400, "no other protocol is spoken here\n"))
        except httptools.HttpParserError:
            self.say(Said(400, "not a call\n"))
        if self._size > MOST_HEAD or self._body:
            self.say(Said(413, "a call has no body and a short head\n"))
        elif self._method:
            self.say(self._decide())

    def _decide(self) -> Said:
        try:
            return answer(self._method.decode("ascii"), self._target.decode("ascii"), self._console.relay)
        except UnicodeDecodeError:
            return Said(400, "not a call\n")
        except Exception:
            LOG.exception("console: a call broke")
            return Said(500, "the call broke; the log says where\n")

    def eof_received(self) -> bool:
        """A caller that has ended its side still gets its answer; one that said nothing is let go."""
        if not self.answered and self._size:
            self.say(Said(400, "half a call\n"))
        return False

    def say(self, said: Said) -> None:
        """The answer, once; then this side of the connection ends."""
        if self.answered or self.transport is None or self.transport.is_closing():
            return
        self.answered = True
        body = said.text.encode()
        head = (
            f"HTTP/1.1 {said.status} {HTTPStatus(said.status).phrase}\r\nContent-Type: {said.kind}\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        self.transport.write(head.encode("ascii") + body)
        self.transport.write_eof()
        self._console.leaves(self)


class Console:
    """Listens for callers: those who have to say what they want, and those who have their answer."""

    def __init__(self, relay: Operated, address: Address, most: int, system: System) -> None:
        self.relay, self._address, self._most, self._system = relay, address, most, system
        self._asking: OrderedDict[Caller, float] = OrderedDict()
        self._leaving: OrderedDict[Caller, float] = OrderedDict()
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.TimerHandle | None = None

    async def start(self) -> None:
        """Listen; ``OSError`` where the address cannot be had."""
        sock = self._system.listener(self._address)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: Caller(self), sock=sock, backlog=self._most)
        sock.listen(128)
        self._sweep()

    def joined(self, caller: Caller) -> None:
        """A new caller; over the bound the oldest goes, first of those who have their answer."""
        if len(self._asking) + len(self._leaving) >= self._most:
            oldest = next(iter(self._leaving or self._asking))
            self.left(oldest)
            if oldest.transport is not None:
                oldest.transport.abort()
        self._asking[caller] = asyncio.get_running_loop().time()

    def leaves(self, caller: Caller) -> None:
        """A caller has its answer."""
        self.left(caller)
        self._leaving[caller] = asyncio.get_running_loop().time()

    def left(self, caller: Caller) -> None:
        """A caller is gone."""
        self._asking.pop(caller, None)
        self._leaving.pop(caller, None)

    def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        self._sweeper = loop.call_later(SWEEP_S, self._sweep)
        for table, most_s in ((self._leaving, LEAVE_S), (self._asking, CALL_S)):
            while table and loop.time() - next(iter(table.values())) > most_s:
                caller = next(iter(table))
                if caller.answered:
                    self.left(caller)
                    if caller.transport is not None:
                        caller.transport.abort()
                else:
                    caller.say(Said(408, "a call has an end\n"))
                    if not caller.answered:  # closing already
                        self.left(caller)

    def close(self) -> None:
        """Stop listening."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        if self._server is not None:
            self._server.close()
        for caller in [*self._asking, *self._leaving]:
            if caller.transport is not None:
                caller.transport.close()
