"""Runs the fleet protocol of one relay: datagram socket, timer, and the lifetime number on disk."""

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
from mallowlug.fleet.quota_shares import QuotaShares
from mallowlug.fleet.records import MemberUpdate
from mallowlug.fleet.swim import ProtocolTimes, Swim
from mallowlug.fleet.view import ViewEvent, view_json
from mallowlug.system import Disk, System, replace_file

LOG = logging.getLogger(__name__)
LIFETIME_FILE = "fleet"  # in the state folder: the last lifetime number
BIND_RETRY_S = 1.0  # before binding to an unavailable address is retried
DIGEST_FRESH_INTERVALS = 5  # a received digest counts as current for this many probe intervals


@dataclass(frozen=True, slots=True)
class FleetConfig:
    """Fleet settings from the operator file. Times in seconds."""

    fleet: str
    listen: Address
    advertised_address: str  # host:port that is announced to other relays
    seeds: Collection[str]
    zone: str = ""
    probe_interval_s: float = 1.0
    settle_s: float = 30.0


def next_lifetime_number(folder: Path, disk: Disk) -> int:
    """Return the lifetime number of this process, 1 more than the stored one, and store it.

    If the file cannot be read or written, the number may have been used before; other relays then report the
    higher one, and this relay raises its own.
    """
    try:
        last = int(disk.read(folder / LIFETIME_FILE).decode("ascii").split()[0])
    except (OSError, ValueError, IndexError):
        last = 0
    try:
        replace_file(disk, folder / LIFETIME_FILE, f"{last + 1}\n".encode("ascii"))
    except OSError as error:
        LOG.error("fleet: cannot store lifetime number %d: %s", last + 1, error)
    return last + 1


class Agent(asyncio.DatagramProtocol):
    """Maintains the view while this process owns the relay's messages."""

    def __init__(
        self,
        relay: str,
        fleet_config: FleetConfig,
        *,
        configured_size: int,
        folder: Path,
        system: System,
        version: str,
        on_group_size_changed: Callable[[int], None],
    ) -> None:
        self._loop, self._system, self._fleet_config = asyncio.get_running_loop(), system, fleet_config
        life = next_lifetime_number(folder, system.disk)
        self._rng = random.Random(f"{relay} {life} {system.wall_ns()}")
        mark = self._rng.getrandbits(48)
        own_update = MemberUpdate(
            relay, life, mark, 0, "alive", fleet_config.advertised_address, fleet_config.zone, version, relay
        )
        self._times = ProtocolTimes(
            probe_interval_us=int(fleet_config.probe_interval_s * 1e6),
            ack_timeout_us=int(fleet_config.probe_interval_s * 3e5),
        )
        self.swim = Swim(
            fleet_config.fleet,
            own_update,
            seeds=fleet_config.seeds,
            times=self._times,
            rng=self._rng,
            now_us=self._now_us(),
        )
        self.quota_shares = QuotaShares(int(fleet_config.settle_s * 1e6), configured_size)
        self._on_group_size_changed, self._group_size = on_group_size_changed, configured_size
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._opening: asyncio.Task[None] | None = None
        self._reported_clash: rec.Clash | None = None
        self._cut_off = False
        self.datagrams_sent = self.datagrams_received = self.foreign_datagrams = 0

    def _now_us(self) -> int:
        return int(self._loop.time() * 1e6)

    def open(self) -> None:
        """Start the protocol once the address can be bound."""
        self._opening = self._loop.create_task(self._open())

    async def _open(self) -> None:
        while True:
            try:
                sock = self._system.datagram(self._fleet_config.listen)
                break
            except OSError as error:
                LOG.error("fleet: cannot bind to %s:%d, will retry: %s", *self._fleet_config.listen, error)
                await asyncio.sleep(BIND_RETRY_S)
        await self._loop.create_datagram_endpoint(lambda: self, sock=sock)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.DatagramTransport, transport)  # asyncio's transport is not a subclass
        own = self.swim.own_update
        LOG.info("fleet: started as %s (life %d) at %s", own.relay, own.life, own.address)
        self._tick()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Process a datagram. Any host can send one: those of other fleets are counted and ignored."""
        self.datagrams_received += 1
        try:
            frame = rec.decode(data, self._fleet_config.fleet)
        except rec.ForeignDatagramError as error:
            self.foreign_datagrams += 1
            if self.foreign_datagrams == 1:
                LOG.warning(
                    "fleet: ignored a foreign datagram from %s:%d (only the first is logged): %s",
                    *addr,
                    error,
                )
            return
        self.swim.receive(self._now_us(), frame)
        self._flush()

    def error_received(self, exc: Exception) -> None:
        """Log a socket error such as an unreachable address; probes detect the missing member."""
        LOG.debug("fleet: %s", exc)

    def _tick(self) -> None:
        due_us = self.swim.tick(self._now_us())
        self._flush()
        self._update_group()
        self._timer = self._loop.call_later(max(0.001, (due_us - self._now_us()) / 1e6), self._tick)

    def _flush(self) -> None:
        outgoing, self.swim.outgoing = self.swim.outgoing, []
        for address, frame in outgoing:
            try:
                destination = parse_address(address)
            except ValueError as error:
                LOG.debug("fleet: %s", error)
                continue
            if self._transport is not None and not self._transport.is_closing():
                self._transport.sendto(rec.encode(frame), destination)
                self.datagrams_sent += 1
        events, self.swim.events = self.swim.events, []
        for event in events:
            self._log_event(event)
        if self.swim.clash != self._reported_clash:
            self._reported_clash = self.swim.clash
            if self._reported_clash is not None:
                LOG.error(
                    "fleet: another process uses id %s, at %s",
                    self._reported_clash.relay,
                    self._reported_clash.address,
                )

    def _log_event(self, event: ViewEvent) -> None:
        level = logging.WARNING if event.change in ("suspect", "dead") else logging.INFO
        values = (event.relay, event.life, event.change, event.by or event.relay, event.path)
        LOG.log(level, "fleet: %s (life %d) %s, by %s over %s", *values)

    def _update_group(self) -> None:
        """Update the group size for quota shares, and whether this relay is cut off."""
        now_us, view = self._now_us(), self.swim.view
        states = {relay: str(member.update.state) for relay, member in view.members.items()}
        fresh_us = DIGEST_FRESH_INTERVALS * self._times.probe_interval_us

        def count_agreeing(group: Collection[str]) -> int:
            return self.swim.count_agreeing(group, now_us, fresh_us)

        size = self.quota_shares.update(now_us, states, count_agreeing)
        if size != self._group_size:
            LOG.info("fleet: group size for quota shares is now %d relays, was %d", size, self._group_size)
            self._group_size = size
            self._on_group_size_changed(size)
        cut_off = 2 * len(view.live_members()) < len(self.quota_shares.settled_group)
        if cut_off != self._cut_off:
            self._cut_off = cut_off
            LOG.warning(
                "fleet: %s",
                "cut off: fewer than half of the group are live" if cut_off else "no longer cut off",
            )

    def close(self, leaving: bool) -> None:
        """Stop. With ``leaving``, announce to other relays that this relay leaves."""
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
        """Return the view as JSON for operators: own id, digest, group size and members."""
        swim, clash = self.swim, self.swim.clash
        head = {
            "relay": swim.own_update.relay, "digest": f"{swim.view.digest:014x}", "group": self._group_size,
            "health": swim.local_health, "now_us": self._now_us(), "cut_off": self._cut_off,
            "clash": clash.address if clash is not None else "",
        }  # fmt: skip
        text = msgspec.json.encode(head).decode()
        return f'{text[:-1]},"members":{view_json(swim.view).decode()}}}\n'

    def metrics_text(self) -> str:
        """Return the fleet metrics in the Prometheus text format."""
        states = [member.update.state for member in self.swim.view.members.values()]
        state_names: tuple[rec.State, ...] = ("alive", "suspect", "dead", "left")
        gauges: dict[str, int] = {f"members_{name}": states.count(name) for name in state_names}
        gauges |= {"group": self._group_size, "health": self.swim.local_health, "cut_off": int(self._cut_off)}
        lines = [
            f"# TYPE relay_fleet_{name} gauge\nrelay_fleet_{name} {value}\n" for name, value in gauges.items()
        ]
        counters = {
            "sent": self.datagrams_sent,
            "received": self.datagrams_received,
            "foreign": self.foreign_datagrams,
        }
        lines += [
            f"# TYPE relay_fleet_{name}_total counter\nrelay_fleet_{name}_total {value}\n"
            for name, value in counters.items()
        ]
        return "".join(lines)
