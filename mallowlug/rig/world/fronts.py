"""Datagram proxies that inject faults between relays.

Each relay is reached through its own proxy, which identifies the sender by source address. Faults are set for
each pair and direction: cut, loss, delay, duplication and throttling.
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
    """Faults of one direction between two relays. Times are seconds."""

    cut: bool = False
    loss_share: float = 0.0
    delay_s: float = 0.0
    jitter_s: float = 0.0  # added to the delay, drawn for each datagram, so that they are reordered
    duplicate_share: float = 0.0
    max_per_s: float = 0.0  # datagrams per second, the excess is lost; 0: unlimited


CLEAR_PATH = DatagramPath()


class DatagramProxy(asyncio.DatagramProtocol):
    """The proxy whose address other relays use for one relay."""

    def __init__(self, proxies: DatagramProxies, relay: str, target: Address) -> None:
        self._proxies, self.relay, self.target = proxies, relay, target
        self.transport: asyncio.DatagramTransport | None = None
        self.address: Address = ("", 0)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # Asyncio's transport does not subclass DatagramTransport.
        self.transport = cast(asyncio.DatagramTransport, transport)
        self.address = transport.get_extra_info("sockname")

    def datagram_received(self, data: bytes, addr: Address) -> None:
        self._proxies.route(self, addr, data)

    def error_received(self, exc: Exception) -> None:
        """Ignore the error: the relay is down and the datagram is lost."""

    def forward(self, data: bytes) -> None:
        """Forward one datagram to the relay."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(data, self.target)


class DatagramProxies:
    """All datagram proxies, and the faults of each path."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(f"fronts {seed}")
        self.proxies: dict[str, DatagramProxy] = {}
        self._relay_by_source: dict[Address, str] = {}  # by source address
        self._paths: dict[tuple[str, str], DatagramPath] = {}
        self._next_allowed_s: dict[tuple[str, str], float] = {}
        # Called for every change of a path.
        self.on_path_change: Callable[[str, str, bool], None] = lambda _one, _other, _clear: None
        self.forwarded, self.dropped = Counter[tuple[str, str]](), Counter[tuple[str, str]]()

    async def add(self, relay: str, listen: Address, host: str = "127.0.0.1") -> Address:
        """Start a proxy for a relay that listens and sends at ``listen``; return the proxy address."""
        loop = asyncio.get_running_loop()
        proxy = DatagramProxy(self, relay, listen)
        await loop.create_datagram_endpoint(lambda: proxy, local_addr=(host, 0))
        self.proxies[relay], self._relay_by_source[listen] = proxy, relay
        return proxy.address

    def set_path(self, source: str, destination: str, path: DatagramPath, both: bool = True) -> None:
        """Set the faults from one relay to another; with ``both`` also in the other direction."""
        for pair in ((source, destination), (destination, source)) if both else ((source, destination),):
            self._paths[pair] = path
            self.on_path_change(*pair, path == CLEAR_PATH)

    def partition(self, *groups: list[str]) -> None:
        """Cut all paths between these groups."""
        for senders in groups:
            for receivers in groups:
                for sender in senders if senders is not receivers else ():
                    for receiver in receivers:
                        self.set_path(sender, receiver, DatagramPath(cut=True), both=False)

    def clear_all(self) -> None:
        """Remove all faults."""
        for pair in list(self._paths):
            self.on_path_change(*pair, True)
        self._paths.clear()

    def route(self, proxy: DatagramProxy, source: Address, data: bytes) -> None:
        """Forward, delay, duplicate or drop one datagram received by a proxy."""
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
        """Close all proxies."""
        for proxy in self.proxies.values():
            if proxy.transport is not None:
                proxy.transport.close()
