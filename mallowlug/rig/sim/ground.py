"""A run on simulated ground: the same world, judge and scenario files as on real sockets, from one seed."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import itertools
import logging
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from mallowlug.config import Extras, FleetPlan
from mallowlug.core import relay as core
from mallowlug.rig.judge import record as rec
from mallowlug.rig.run.play import RunOptions, play
from mallowlug.rig.run.relays import ManagedRelay
from mallowlug.rig.sim.disk import SimDisk
from mallowlug.rig.sim.guards import Watch
from mallowlug.rig.sim.loop import START_S, SimLoop
from mallowlug.rig.sim.net import Link, Network
from mallowlug.rig.sim.process import Kernel, LifeLog, Machine, SimProcess, SimRelay, Struck
from mallowlug.rig.sim.upgrade import Upgrade
from mallowlug.rig.world.httpd import AddressAllocator
from mallowlug.rig.world.scenario import EventTable, Scenario
from mossfront import interface as api


class SimGround:
    """The simulation as the world sees it."""

    def __init__(self, loop: SimLoop, scenario: Scenario) -> None:
        self.loop, self.scenario = loop, scenario
        self.net = loop.net = Network(loop, random.Random(f"net {scenario.seed}"))
        self.net.links, self.net.dialled = self._link, self._dialled
        self.on_dial: Callable[[str, tuple[str, int]], None] | None = lambda _relay, _address: None
        self.kernel = Kernel(loop, self.net, scenario.strikes)
        self.addresses = AddressAllocator(self.net.address, itertools.count(1))
        self.relays: list[SimRelay] = []
        self.seeds: list[str] = []  # of their fleet
        self.writer: rec.Writer | None = None
        self.net.most_sockets = lambda _life: scenario.relays.sockets
        self.kernel.told = self._struck

    def _link(self) -> Link:
        told, draw = self.scenario.net, self.net.rng.uniform
        return Link(
            draw(*told.latency_ms) / 1000,
            draw(*told.jitter_ms) / 1000,
            draw(*told.bytes_per_s),
            self.net.rng.randint(*told.piece),
        )

    def _dialled(self, place: str, address: tuple[str, int]) -> None:
        if self.on_dial is not None:
            self.on_dial(place, address)

    def _struck(self, struck: Struck) -> None:
        assert self.writer is not None
        detail = f"{struck.relay} life {struck.life} {struck.point}"
        self.writer.add(rec.Mark(self.writer.now, "strike", detail))

    def now_us(self) -> int:
        """The simulated monotonic clock."""
        return round(self.loop.now_s * 1e6)

    def cpu_s(self) -> float:
        """No figure of a simulated run: it would differ from run to run."""
        return 0.0

    def relay(
        self, name: str, folder: Path, writer: rec.Writer, config: Callable[[], dict[str, Any]]
    ) -> SimRelay:
        """A relay on a machine of its own."""
        disk = SimDisk(random.Random(f"disk {name} {self.scenario.seed}"))
        self.writer = writer
        told = self.scenario.relays
        extras = Extras(
            durable=told.durable,
            active_destinations=told.awake,
            inactive_after_s=told.rest_s,
            fleet=self._place(told.fleet),
        )
        relay = SimRelay(name, self.kernel, Machine(name, disk, extras), writer, config)
        relay.staffed = told.console
        self.relays.append(relay)
        return relay

    def _place(self, on: bool) -> FleetPlan | None:
        """A relay's place in the fleet: the first two are everybody's seeds, and times a fifth of usual."""
        if not on:
            return None
        address = self.net.address()
        told = "{}:{}".format(*address)
        if len(self.relays) < 2:
            self.seeds.append(told)
        return FleetPlan("sim", address, told, tuple(self.seeds), period_s=0.2, settle_s=2.0)

    async def apply_event(self, relay: ManagedRelay, event: EventTable) -> None:
        """What a real process can't be made to suffer, for as long as it lasts."""
        assert isinstance(relay, SimRelay)
        machine = relay.machine
        if event.what == "jump":
            machine.wall_off_ns += int(event.size * 1e9) * (-1 if event.back else 1)
        elif event.what == "full":
            await self._fill(relay, event.len_s)
        elif event.what == "power":
            relay.cut_power()
        elif event.what == "reload":
            relay.reload(event)
            if event.len_s:
                await asyncio.sleep(event.len_s)
                relay.write_config()
                relay.signal_hup(False)
        elif event.what == "upgrade":
            await Upgrade(relay, event).play()
        elif event.what == "stall":
            await self._stall(relay, event.len_s)
        else:
            assert event.what == "apart"
            await self._part(relay, event.len_s)

    async def _fill(self, relay: SimRelay, len_s: float) -> None:
        """Its disk takes nothing; of two such times that overlap the last one makes room."""
        machine = relay.machine
        machine.fills += 1
        if machine.fills == 1:
            machine.disk.full = True
            relay.record_event("full")
        await asyncio.sleep(len_s)
        machine.fills -= 1
        if not machine.fills:
            machine.disk.full = False
            relay.record_event("room")

    async def _stall(self, relay: SimRelay, len_s: float) -> None:
        process = relay.process
        assert isinstance(process, SimProcess)
        process.life.still = True
        relay.record_event("deaf", "stands still")
        with contextlib.suppress(TimeoutError):  # its end may come first
            await asyncio.wait_for(process.wait(), len_s)
        relay.record_event("hears")
        self.loop.go_on(process.life)

    async def _part(self, relay: SimRelay, len_s: float) -> None:
        relay.record_event("deaf", "cut off")
        for pair in ((relay.name, ""), ("", relay.name)):
            self.net.part(*pair)
        await asyncio.sleep(len_s)
        relay.record_event("hears")
        for pair in ((relay.name, ""), ("", relay.name)):
            self.net.heal(*pair)


@dataclass(frozen=True, slots=True)
class Simulated:
    """What a simulated run leaves beside its record."""

    path: Path
    crashed: tuple[str, ...]
    bad_calls: int
    lapses: tuple[str, ...]  # of the modules' own guards
    unhandled: tuple[str, ...]  # exceptions that nobody handled, anywhere
    left: tuple[str, ...]  # what an orderly end left open
    struck: tuple[Struck, ...]
    calls: tuple[tuple[int, int], ...]  # of relay 0, by life: system calls until it listened, and in all
    length_s: float  # simulated
    logs: dict[str, list[str]]

    @property
    def complaints(self) -> list[str]:
        """What is wrong with the run beside broken rules."""
        found = [f"unhandled: {line}" for line in self.unhandled]
        found += [f"left open: {line}" for line in self.left]
        found += [f"crashed: {line}" for line in self.crashed]
        found += self.lapses
        if self.bad_calls:
            found.append(f"{self.bad_calls} calls that the protocol does not know")
        return found


def watched(module: Any, lapses: list[str]) -> Any:
    """The module with a watch on each of its steps."""

    class Module(module):  # type: ignore[misc]
        """What a relay's core steps."""

        def __init__(self, settings: api.Settings, seed: int) -> None:
            super().__init__(settings, seed)
            self._watch = Watch(settings, lapses.append)

        def step(self, now_us: int, events: Iterable[api.Event]) -> list[api.Action]:
            """As the module does."""
            told = list(events)
            actions: list[api.Action] = super().step(now_us, told)
            self._watch.step(now_us, told, actions)
            return actions

    return Module


def simulate(scenario: Scenario, folder: Path, options: RunOptions | None = None) -> Simulated:
    """Play a scenario in simulated time into ``folder``.

    Only the scenario and its seed decide what happens. The garbage collector is off meanwhile: finalizers
    would run at any time.
    """
    loop = SimLoop()
    ground, lapses, module = SimGround(loop, scenario), list[str](), vars(core)["DecisionEngine"]
    log, logger = LifeLog(loop), logging.getLogger("mallowlug")
    former, collects = logger.level, gc.isenabled()
    logger.addHandler(log)
    logger.setLevel(logging.INFO)
    logger.propagate = False
    gc.disable()
    vars(core)["DecisionEngine"] = watched(module, lapses)
    try:
        done = loop.complete(play(scenario, folder, options, ground))
    finally:
        logger.removeHandler(log)
        logger.setLevel(former)
        logger.propagate = True
        vars(core)["DecisionEngine"] = module
        if collects:
            gc.enable()
    relays = ground.relays
    return Simulated(
        path=done.path,
        crashed=tuple(crash for relay in relays for crash in relay.crashes),
        bad_calls=done.bad_calls,
        lapses=tuple(lapses),
        unhandled=tuple(loop.unhandled),
        left=tuple(f"{relay.name}: {item}" for relay in relays for item in relay.left),
        struck=tuple(ground.kernel.struck),
        calls=tuple((p.life.calls_to_listen, p.life.calls) for p in relays[0].processes),
        length_s=loop.now_s - START_S,
        logs=log.lines,
    )
