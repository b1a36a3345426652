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
class DatagramPath:
    """How one direction between two relays carries datagrams. Times in seconds."""

    cut: bool = False
    loss_share: float = 0.0
    delay_s: float = 0.0
    jitter_s: float = 0.0  # above the delay, drawn anew for each: so they come out of order
    duplicate_share: float = 0.0
    max_per_s: float = 0.0  # datagrams a second, what is beyond is lost; 0: no bound


CLEAR_PATH = DatagramPath()


class DatagramProxy(asyncio.DatagramProtocol):
    """What others are told as one relay's address."""

    def __init__(self, proxies: DatagramProxies, relay: str, target: Address) -> None:
        self._proxies, self.relay, self.target = proxies, relay, target
        self.transport: asyncio.DatagramTransport | None = None
        self.address: Address = ("", 0)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)  # asyncio's own is none by its class
        self.address = transport.get_extra_info("sockname")

    def datagram_received(self, data: bytes, addr: Address) -> None:
        self._proxies.route(self, addr, data)

    def error_received(self, exc: Exception) -> None:
        """The relay behind it is gone: what was sent is lost."""

    def forward(self, data: bytes) -> None:
        """Let one datagram through."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(data, self.target)


class DatagramProxies:
    """All fronts, and what befalls each way."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(f"fronts {seed}")
        self.proxies: dict[str, DatagramProxy] = {}
        self._relay_by_source: dict[Address, str] = {}  # by the address a relay sends from
        self._paths: dict[tuple[str, str], DatagramPath] = {}
        self._next_allowed_s: dict[tuple[str, str], float] = {}
        self.on_path_change: Callable[[str, str, bool], None] = lambda _one, _other, _clear: (
            None
        )  # of every change
        self.forwarded, self.dropped = Counter[tuple[str, str]](), Counter[tuple[str, str]]()

    async def add(self, relay: str, listen: Address, host: str = "127.0.0.1") -> Address:
        """A front for a relay that listens and sends at ``listen``; its address."""
        loop = asyncio.get_running_loop()
        proxy = DatagramProxy(self, relay, listen)
        await loop.create_datagram_endpoint(lambda: proxy, local_addr=(host, 0))
        self.proxies[relay], self._relay_by_source[listen] = proxy, relay
        return proxy.address

    def set_path(self, source: str, destination: str, path: DatagramPath, both: bool = True) -> None:
        """From now on one relay's datagrams to another go so; with ``both`` the other's to it too."""
        for pair in ((source, destination), (destination, source)) if both else ((source, destination),):
            self._paths[pair] = path
            self.on_path_change(*pair, path == CLEAR_PATH)

    def partition(self, *groups: list[str]) -> None:
        """Nothing passes between these groups."""
        for here in groups:
            for there in groups:
                for one in here if here is not there else ():
                    for other in there:
                        self.set_path(one, other, DatagramPath(cut=True), both=False)

    def clear_all(self) -> None:
        """All ways are clear."""
        for pair in list(self._paths):
            self.on_path_change(*pair, True)
        self._paths.clear()

    def route(self, proxy: DatagramProxy, source: Address, data: bytes) -> None:
        """One datagram has come to a relay's front."""
        pair = self._relay_by_source.get(source, "?"), proxy.relay
        path, loop = self._paths.get(pair, CLEAR_PATH), asyncio.get_running_loop()
        if path.cut or self._rng.random() < path.loss_share or self._exceeds_rate(pair, path, loop.time()):
            self.dropped[pair] += 1
            return
        for _ in range(1 + (self._rng.random() < path.duplicate_share)):
            self.forwarded[pair] += 1
            late_s = path.delay_s + self._rng.random() * path.jitter_s
            if late_s:
                loop.call_later(late_s, proxy.forward, data)
            else:
                proxy.forward(data)

    def _exceeds_rate(self, pair: tuple[str, str], path: DatagramPath, now_s: float) -> bool:
        if not path.max_per_s:
            return False
        if now_s < self._next_allowed_s.get(pair, 0.0):
            return True
        self._next_allowed_s[pair] = now_s + 1.0 / path.max_per_s
        return False

    def close(self) -> None:
        """Let go of all."""
        for proxy in self.proxies.values():
            if proxy.transport is not None:
                proxy.transport.close()
