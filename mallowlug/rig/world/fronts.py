"""Fault points for datagrams between relays: each relay is reached through a front of its own, which knows by
the source who sends, and treats each pair and direction as it is told: cut, loss, delay, doubled, throttled.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Way:
    """How one direction between two relays carries datagrams. Times in seconds."""

    cut: bool = False
    loss: float = 0.0
    delay_s: float = 0.0
    jitter_s: float = 0.0  # above the delay, drawn anew for each: so they come out of order
    doubled: float = 0.0
    per_s: float = 0.0  # datagrams a second, what is beyond is lost; 0: no bound


CLEAR = Way()


class Front(asyncio.DatagramProtocol):
    """What others are told as one relay's address."""

    def __init__(self, fronts: Fronts, relay: str, target: Address) -> None:
        self._fronts, self.relay, self.target = fronts, relay, target
        self.transport: asyncio.DatagramTransport | None = None
        self.address: Address = ("", 0)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)  # asyncio's own is none by its class
        self.address = transport.get_extra_info("sockname")

    def datagram_received(self, data: bytes, addr: Address) -> None:
        self._fronts.carry(self, addr, data)

    def error_received(self, exc: Exception) -> None:
        """The relay behind it is gone: what was sent is lost."""

    def pass_on(self, data: bytes) -> None:
        """Let one datagram through."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(data, self.target)


class Fronts:
    """All fronts, and what befalls each way."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(f"fronts {seed}")
        self.fronts: dict[str, Front] = {}
        self._who: dict[Address, str] = {}  # by the address a relay sends from
        self._ways: dict[tuple[str, str], Way] = {}
        self._free_s: dict[tuple[str, str], float] = {}
        self.told: Callable[[str, str, bool], None] = lambda _one, _other, _clear: None  # of every change
        self.carried, self.dropped = Counter[tuple[str, str]](), Counter[tuple[str, str]]()

    async def add(self, relay: str, listen: Address, host: str = "127.0.0.1") -> Address:
        """A front for a relay that listens and sends at ``listen``; its address."""
        loop = asyncio.get_running_loop()
        front = Front(self, relay, listen)
        await loop.create_datagram_endpoint(lambda: front, local_addr=(host, 0))
        self.fronts[relay], self._who[listen] = front, relay
        return front.address

    def way(self, one: str, other: str, way: Way, both: bool = True) -> None:
        """From now on one relay's datagrams to another go so; with ``both`` the other's to it too."""
        for pair in ((one, other), (other, one)) if both else ((one, other),):
            self._ways[pair] = way
            self.told(*pair, way == CLEAR)

    def apart(self, *groups: list[str]) -> None:
        """Nothing passes between these groups."""
        for here in groups:
            for there in groups:
                for one in here if here is not there else ():
                    for other in there:
                        self.way(one, other, Way(cut=True), both=False)

    def heal(self) -> None:
        """All ways are clear."""
        for pair in list(self._ways):
            self.told(*pair, True)
        self._ways.clear()

    def carry(self, front: Front, source: Address, data: bytes) -> None:
        """One datagram has come to a relay's front."""
        pair = self._who.get(source, "?"), front.relay
        way, loop = self._ways.get(pair, CLEAR), asyncio.get_running_loop()
        if way.cut or self._rng.random() < way.loss or self._beyond(pair, way, loop.time()):
            self.dropped[pair] += 1
            return
        for _ in range(1 + (self._rng.random() < way.doubled)):
            self.carried[pair] += 1
            late_s = way.delay_s + self._rng.random() * way.jitter_s
            if late_s:
                loop.call_later(late_s, front.pass_on, data)
            else:
                front.pass_on(data)

    def _beyond(self, pair: tuple[str, str], way: Way, now_s: float) -> bool:
        if not way.per_s:
            return False
        if now_s < self._free_s.get(pair, 0.0):
            return True
        self._free_s[pair] = now_s + 1.0 / way.per_s
        return False

    def close(self) -> None:
        """Let go of all."""
        for front in self.fronts.values():
            if front.transport is not None:
                front.transport.close()
