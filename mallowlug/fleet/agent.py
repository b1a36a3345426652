"""One relay's place in the fleet: a datagram socket and a timer around the protocol; its life on disk."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Collection
from dataclasses import dataclass
from pathlib import Path
from typing import cast

import msgspec

from mallowlug.core.model import Address, parse_address
from mallowlug.fleet import records as rec
from mallowlug.fleet.quota_shares import Parts
from mallowlug.fleet.records import Rumour
from mallowlug.fleet.swim import Swim, Times
from mallowlug.fleet.view import Event, shown
from mallowlug.system import Disk, System, replace_file

LOG = logging.getLogger(__name__)
FILE = "fleet"  # in the lasting folder: the number of the last life
AGAIN_S = 1.0  # s before an address that cannot be had is tried again
FRESH = 5  # probe periods in which a digest that was heard counts as the member's present one


@dataclass(frozen=True, slots=True)
class Place:
    """What the operator file says of this relay's place. Times in seconds."""

    fleet: str
    listen: Address
    address: str  # host:port that others are told
    seeds: Collection[str]
    zone: str = ""
    period_s: float = 1.0
    settle_s: float = 30.0


def lived(folder: Path, disk: Disk) -> int:
    """The number of this life, which is kept for the next one: 1 more than the last that the folder knows.

    Where nothing can be read or kept it may have been used before; the others then say so, and it grows.
    """
    try:
        last = int(disk.read(folder / FILE).decode("ascii").split()[0])
    except (OSError, ValueError, IndexError):
        last = 0
    try:
        replace_file(disk, folder / FILE, f"{last + 1}\n".encode("ascii"))
    except OSError as error:
        LOG.error("fleet: life %d is not kept: %s", last + 1, error)
    return last + 1


class Agent(asyncio.DatagramProtocol):
    """Keeps the view for as long as this process owns the relay's messages."""

    def __init__(
        self,
        relay: str,
        place: Place,
        *,
        told: int,
        folder: Path,
        system: System,
        version: str,
        resized: Callable[[int], None],
    ) -> None:
        self._loop, self._system, self._place = asyncio.get_running_loop(), system, place
        life = lived(folder, system.disk)
        self._rng = random.Random(f"{relay} {life} {system.wall_ns()}")
        mark = self._rng.getrandbits(48)
        me = Rumour(relay, life, mark, 0, "alive", place.address, place.zone, version, relay)
        self._times = Times(period_us=int(place.period_s * 1e6), answer_us=int(place.period_s * 3e5))
        self.swim = Swim(
            place.fleet, me, seeds=place.seeds, times=self._times, rng=self._rng, now_us=self._now_us()
        )
        self.parts = Parts(int(place.settle_s * 1e6), told)
        self._resized, self._size = resized, told
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._opening: asyncio.Task[None] | None = None
        self._clash: rec.Clash | None = None
        self._halved = False
        self.sent = self.received = self.foreign = 0

    def _now_us(self) -> int:
        return int(self._loop.time() * 1e6)

    def open(self) -> None:
        """Begin, as soon as the address can be had."""
        self._opening = self._loop.create_task(self._open())

    async def _open(self) -> None:
        while True:
            try:
                sock = self._system.datagram(self._place.listen)
                break
            except OSError as error:
                LOG.error("fleet: %s:%d cannot be had yet: %s", *self._place.listen, error)
                await asyncio.sleep(AGAIN_S)
        await self._loop.create_datagram_endpoint(lambda: self, sock=sock)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.DatagramTransport, transport)  # asyncio's own is none by its class
        me = self.swim.me
        LOG.info("fleet: %s, life %d, at %s", me.relay, me.life, me.address)
        self._tick()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Anybody can send one: what is not this fleet's is counted and left out."""
        self.received += 1
        try:
            frame = rec.decoded(data, self._place.fleet)
        except rec.ForeignError as error:
            self.foreign += 1
            if self.foreign == 1:
                LOG.warning("fleet: a datagram from %s:%d was left out: %s", *addr, error)
            return
        self.swim.receive(self._now_us(), frame)
        self._flush()

    def error_received(self, exc: Exception) -> None:
        """Nobody is at an address; the probes find that out."""
        LOG.debug("fleet: %s", exc)

    def _tick(self) -> None:
        due_us = self.swim.tick(self._now_us())
        self._flush()
        self._reckon()
        self._timer = self._loop.call_later(max(0.001, (due_us - self._now_us()) / 1e6), self._tick)

    def _flush(self) -> None:
        out, self.swim.out = self.swim.out, []
        for address, frame in out:
            try:
                pair = parse_address(address)
            except ValueError as error:
                LOG.debug("fleet: %s", error)
                continue
            if self._transport is not None and not self._transport.is_closing():
                self._transport.sendto(rec.encoded(frame), pair)
                self.sent += 1
        events, self.swim.events = self.swim.events, []
        for event in events:
            self._note(event)
        if self.swim.clash != self._clash:
            self._clash = self.swim.clash
            if self._clash is not None:
                LOG.error("fleet: another process lives as %s, at %s", self._clash.relay, self._clash.address)

    def _note(self, event: Event) -> None:
        level = logging.WARNING if event.what in ("suspect", "dead") else logging.INFO
        by = (event.relay, event.life, event.what, event.by or event.relay, event.path)
        LOG.log(level, "fleet: %s (life %d) %s, by %s over %s", *by)

    def _reckon(self) -> None:
        """The group by which parts are reckoned, and whether this relay is cut off."""
        now_us, view = self._now_us(), self.swim.view
        states = {relay: str(member.said.state) for relay, member in view.members.items()}
        fresh_us = FRESH * self._times.period_us

        def agree(group: Collection[str]) -> int:
            return self.swim.agreeing(group, now_us, fresh_us)

        size = self.parts.update(now_us, states, agree)
        if size != self._size:
            LOG.info("fleet: parts are reckoned for %d relays, not %d", size, self._size)
            self._size = size
            self._resized(size)
        halved = 2 * len(view.here()) < len(self.parts.settled)
        if halved != self._halved:
            self._halved = halved
            LOG.warning("fleet: %s", "cut off: fewer than half are heard" if halved else "no longer cut off")

    def close(self, leaving: bool) -> None:
        """Stop; with ``leaving`` the others are told that this relay goes."""
        if leaving and self._transport is not None:
            self.swim.leave()
            self._flush()
        if self._opening is not None:
            self._opening.cancel()
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            self._transport.close()

    def members_json(self) -> str:
        """The view as JSON, for staff: own id, digest, group size, and the members with their causes."""
        swim, clash = self.swim, self.swim.clash
        head = {
            "relay": swim.me.relay, "digest": f"{swim.view.digest:014x}", "group": self._size,
            "health": swim.health, "now_us": self._now_us(), "cut_off": self._halved,
            "clash": clash.address if clash is not None else "",
        }  # fmt: skip
        text = msgspec.json.encode(head).decode()
        return f'{text[:-1]},"members":{shown(swim.view).decode()}}}\n'

    def metrics_text(self) -> str:
        """What a scrape reads of the fleet."""
        states = [member.said.state for member in self.swim.view.members.values()]
        names: tuple[rec.State, ...] = ("alive", "suspect", "dead", "left")
        plain: dict[str, int] = {f"members_{name}": states.count(name) for name in names}
        plain |= {"group": self._size, "health": self.swim.health, "cut_off": int(self._halved)}
        lines = [
            f"# TYPE relay_fleet_{name} gauge\nrelay_fleet_{name} {value}\n" for name, value in plain.items()
        ]
        counts = {"sent": self.sent, "received": self.received, "foreign": self.foreign}
        lines += [
            f"# TYPE relay_fleet_{name}_total counter\nrelay_fleet_{name}_total {value}\n"
            for name, value in counts.items()
        ]
        return "".join(lines)
