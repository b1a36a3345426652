"""Simulated runs: the same test environment, judge and scenario files as on real sockets, from one seed."""

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
from mallowlug.rig.sim.guards import InvariantMonitor
from mallowlug.rig.sim.loop import START_S, SimLoop
from mallowlug.rig.sim.net import Link, Network
from mallowlug.rig.sim.process import InjectedFault, Kernel, LifetimeLog, Machine, SimProcess, SimRelay
from mallowlug.rig.sim.upgrade import Upgrade
from mallowlug.rig.world.httpd import AddressAllocator
from mallowlug.rig.world.scenario import EventTable, Scenario
from mossfront import interface as api


class SimBackend:
    """The simulation backend of the test environment."""

    def __init__(self, loop: SimLoop, scenario: Scenario) -> None:
        self.loop, self.scenario = loop, scenario
        self.net = loop.net = Network(loop, random.Random(f"net {scenario.seed}"))
        self.net.new_link, self.net.on_connect = self._draw_link, self._report_connect
        self.on_dial: Callable[[str, tuple[str, int]], None] | None = lambda _relay, _address: None
        self.kernel = Kernel(loop, self.net, scenario.strikes)
        self.addresses = AddressAllocator(self.net.allocate_address, itertools.count(1))
        self.relays: list[SimRelay] = []
        self.fleet_seeds: list[str] = []  # seed addresses of the relays' fleet
        self.writer: rec.RecordWriter | None = None
        self.net.max_sockets = lambda _lifetime: scenario.relays.sockets
        self.kernel.on_injected = self._record_fault

    def _draw_link(self) -> Link:
        table, draw = self.scenario.net, self.net.rng.uniform
        return Link(
            draw(*table.latency_ms) / 1000,
            draw(*table.jitter_ms) / 1000,
            draw(*table.bytes_per_s),
            self.net.rng.randint(*table.piece),
        )

    def _report_connect(self, place: str, address: tuple[str, int]) -> None:
        if self.on_dial is not None:
            self.on_dial(place, address)

    def _record_fault(self, fault: InjectedFault) -> None:
        assert self.writer is not None
        detail = f"{fault.relay} life {fault.lifetime} {fault.point}"
        self.writer.add(rec.Annotation(self.writer.now, "strike", detail))

    def now_us(self) -> int:
        """The simulated monotonic clock."""
        return round(self.loop.now_s * 1e6)

    def cpu_s(self) -> float:
        """Always 0: real CPU time would make the records of equal runs differ."""
        return 0.0

    def relay(
        self, name: str, folder: Path, writer: rec.RecordWriter, config: Callable[[], dict[str, Any]]
    ) -> SimRelay:
        """Create a relay on a machine of its own."""
        disk = SimDisk(random.Random(f"disk {name} {self.scenario.seed}"))
        self.writer = writer
        table = self.scenario.relays
        extras = Extras(
            durable=table.durable,
            active_destinations=table.awake,
            inactive_after_s=table.rest_s,
            fleet=self._fleet_plan(table.fleet),
        )
        relay = SimRelay(name, self.kernel, Machine(name, disk, extras), writer, config)
        relay.has_console = table.console
        self.relays.append(relay)
        return relay

    def _fleet_plan(self, on: bool) -> FleetPlan | None:
        """The fleet settings of a relay; the first two relays are the seeds, periods a fifth of the usual."""
        if not on:
            return None
        address = self.net.allocate_address()
        address_text = "{}:{}".format(*address)
        if len(self.relays) < 2:
            self.fleet_seeds.append(address_text)
        return FleetPlan("sim", address, address_text, tuple(self.fleet_seeds), period_s=0.2, settle_s=2.0)

    async def apply_event(self, relay: ManagedRelay, event: EventTable) -> None:
        """Inject a fault that real processes cannot be given; returns when it is over."""
        assert isinstance(relay, SimRelay)
        machine = relay.machine
        if event.what == "jump":
            machine.wall_offset_ns += int(event.size * 1e9) * (-1 if event.back else 1)
        elif event.what == "full":
            await self._fill_disk(relay, event.len_s)
        elif event.what == "power":
            relay.cut_power()
        elif event.what == "reload":
            relay.reload(event)
            if event.len_s:
                await asyncio.sleep(event.len_s)
                relay.write_config()
                relay.send_sighup(False)
        elif event.what == "upgrade":
            await Upgrade(relay, event).play()
        elif event.what == "stall":
            await self._suspend(relay, event.len_s)
        else:
            assert event.what == "apart"
            await self._partition(relay, event.len_s)

    async def _fill_disk(self, relay: SimRelay, len_s: float) -> None:
        """Fill the disk for a while; of overlapping times the last one frees it."""
        machine = relay.machine
        machine.full_reasons += 1
        if machine.full_reasons == 1:
            machine.disk.full = True
            relay.record_event("full")
        await asyncio.sleep(len_s)
        machine.full_reasons -= 1
        if not machine.full_reasons:
            machine.disk.full = False
            relay.record_event("room")

    async def _suspend(self, relay: SimRelay, len_s: float) -> None:
        process = relay.process
        assert isinstance(process, SimProcess)
        process.lifetime.suspended = True
        relay.record_event("deaf", "stands still")
        with contextlib.suppress(TimeoutError):  # the process may end first
            await asyncio.wait_for(process.wait(), len_s)
        relay.record_event("hears")
        self.loop.resume(process.lifetime)

    async def _partition(self, relay: SimRelay, len_s: float) -> None:
        relay.record_event("deaf", "cut off")
        for pair in ((relay.name, ""), ("", relay.name)):
            self.net.partition(*pair)
        await asyncio.sleep(len_s)
        relay.record_event("hears")
        for pair in ((relay.name, ""), ("", relay.name)):
            self.net.heal(*pair)


@dataclass(frozen=True, slots=True)
class SimulatedRun:
    """The results of a simulated run beside its record."""

    path: Path
    crashed: tuple[str, ...]
    bad_calls: int
    violations: tuple[str, ...]  # reported by the invariant monitors of the decision engines
    unhandled: tuple[str, ...]  # unhandled exceptions, of relays and environment
    leaks: tuple[str, ...]  # what an orderly shutdown left open
    injected: tuple[InjectedFault, ...]
    calls: tuple[tuple[int, int], ...]  # of relay 0, by process: system calls before it listened, and in all
    length_s: float  # simulated time
    logs: dict[str, list[str]]

    @property
    def complaints(self) -> list[str]:
        """What is wrong with the run beside broken rules."""
        found = [f"unhandled: {line}" for line in self.unhandled]
        found += [f"left open: {line}" for line in self.leaks]
        found += [f"crashed: {line}" for line in self.crashed]
        found += self.violations
        if self.bad_calls:
            found.append(f"{self.bad_calls} calls that the protocol does not know")
        return found


def monitored(engine: Any, violations: list[str]) -> Any:
    """A subclass of the engine with an invariant monitor on each step."""

    class MonitoredEngine(engine):  # type: ignore[misc]
        """The decision engine that a relay's core steps."""

        def __init__(self, settings: api.Settings, seed: int) -> None:
            super().__init__(settings, seed)
            self._monitor = InvariantMonitor(settings, violations.append)

        def step(self, now_us: int, events: Iterable[api.Event]) -> list[api.Action]:
            """Step the engine, then pass events and actions to the monitor."""
            received = list(events)
            actions: list[api.Action] = super().step(now_us, received)
            self._monitor.step(now_us, received, actions)
            return actions

    return MonitoredEngine


def simulate(scenario: Scenario, folder: Path, options: RunOptions | None = None) -> SimulatedRun:
    """Play a scenario in simulated time into ``folder``.

    The scenario and its seed alone decide what happens. The garbage collector is disabled during the run,
    since finalizers would run at arbitrary times.
    """
    loop = SimLoop()
    backend, violations, engine = SimBackend(loop, scenario), list[str](), vars(core)["DecisionEngine"]
    log, logger = LifetimeLog(loop), logging.getLogger("mallowlug")
    previous_level, collects = logger.level, gc.isenabled()
    logger.addHandler(log)
    logger.setLevel(logging.INFO)
    logger.propagate = False
    gc.disable()
    vars(core)["DecisionEngine"] = monitored(engine, violations)
    try:
        done = loop.run_main(play(scenario, folder, options, backend))
    finally:
        logger.removeHandler(log)
        logger.setLevel(previous_level)
        logger.propagate = True
        vars(core)["DecisionEngine"] = engine
        if collects:
            gc.enable()
    relays = backend.relays
    return SimulatedRun(
        path=done.path,
        crashed=tuple(crash for relay in relays for crash in relay.crashes),
        bad_calls=done.bad_calls,
        violations=tuple(violations),
        unhandled=tuple(loop.unhandled),
        leaks=tuple(f"{relay.name}: {item}" for relay in relays for item in relay.leaks),
        injected=tuple(backend.kernel.injected),
        calls=tuple((p.lifetime.calls_before_listen, p.lifetime.calls) for p in relays[0].processes),
        length_s=loop.now_s - START_S,
        logs=log.lines,
    )
