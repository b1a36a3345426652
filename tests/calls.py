"""Helpers to make calls to one host through ``HttpPartners`` and to wait for their outcomes."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterable
from typing import Any

from mallowlug.core.model import Call, EndpointList, Part, PartOutcome, ResolvedEndpoint
from mallowlug.net.attribution import REUSE_REST_S, ReusePolicy
from mallowlug.partners.http_calls import Exchange, HttpPartners
from mallowlug.partners.pool import PoolLimits
from mallowlug.system import POSIX
from mossfront.interface import EndpointEntry, Kind, Listing
from tests.world import HttpServer, delivered, soon

POOL_LIMITS = PoolLimits(15_000_000, 10)
KIND = Kind("banks", separate_routes=True, batch_size=10)


class HostCalls:
    """``HttpPartners`` with one listed host; keeps the outcomes of the messages by id."""

    def __init__(
        self,
        port: int,
        connect_us: int = 10_000_000,
        limits: PoolLimits = POOL_LIMITS,
        rest_s: float = REUSE_REST_S,
    ) -> None:
        self.outcomes: dict[str, PartOutcome] = {}
        self.outcome_received = asyncio.Event()
        self.released: list[Part] = []
        callbacks: Any = {"settled": self._settled, "released": self.released.append}
        self.hosts = HttpPartners(
            [KIND], connect_us, limits, **callbacks, system=POSIX, reuse_policy=ReusePolicy(rest_s)
        )
        self.apply_listing(port)

    def apply_listing(self, port: int, listing: Listing = Listing.READY) -> None:
        """Apply an endpoint list with the one host in this state."""
        entry = EndpointEntry("h1", 1, "a", "banks", listing)
        self.hosts.apply(EndpointList(1, False, (ResolvedEndpoint(entry, ("127.0.0.1", port)),)))

    def apply_hosts(self, ports: Iterable[int]) -> None:
        """Apply an endpoint list with hosts ``h0``, ``h1`` and so on at these ports."""
        rows = tuple(
            ResolvedEndpoint(EndpointEntry(f"h{at}", at, "a", "banks", Listing.READY), ("127.0.0.1", port))
            for at, port in enumerate(ports)
        )
        self.hosts.apply(EndpointList(2, True, rows))

    def _settled(self, _call: Call, part: Part, outcome: PartOutcome) -> None:
        self.outcomes[part.id] = outcome
        self.outcome_received.set()

    def send(
        self, *refs: str, timeout_us: int = 60_000_000, body: bytes = b"x", host: str = "h1"
    ) -> Exchange:
        """Make one call; its default timeout exceeds every test's time limit, so no test passes by it."""
        call = Call(host, [Part(ref, 0, "", body, timeout_us) for ref in refs], time.monotonic())
        return self.hosts.send(call)

    async def outcome(self, ref: str) -> PartOutcome:
        """Wait for the outcome of a message's attempt."""
        while ref not in self.outcomes:
            self.outcome_received.clear()
            await soon(self.outcome_received.wait())
        return self.outcomes[ref]


async def start_host(reply: object = delivered) -> HttpServer:
    """Start a host that answers with ``reply``."""
    host = HttpServer(reply)  # type: ignore[arg-type]
    await host.start()
    return host
