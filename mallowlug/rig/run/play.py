"""A run: the world of a scenario around relays that are started as processes, in real time, into one
record.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any, Protocol

import msgspec

from mallowlug.rig.judge import record as rec
from mallowlug.rig.run.relays import PLAIN, RelayProcess
from mallowlug.rig.run.relays import Relay as RelayOver
from mallowlug.rig.world import draw
from mallowlug.rig.world.clients import RUDE, Clients, Relay
from mallowlug.rig.world.host_model import KeyMemory
from mallowlug.rig.world.hosts import Book, ClassWork, Host
from mallowlug.rig.world.httpd import Place
from mallowlug.rig.world.platform import Discovery, Platform
from mallowlug.rig.world.proxy import CLEAR, Fault, Proxy
from mallowlug.rig.world.scenario import FAULTS, HOSTS, SIMULATED, EventTable, Scenario

MOVED_S = 1.5  # s after which a directory that has moved closes what is open at its old address
GONE_S = 2.0  # s from an endpoint's drain to its end
DRIPPED_US = 400_000  # how late what drips may be: a client waits no longer
LOOK_S = 0.02  # s between looks at the event loop's lateness
TAIL_S = 1.5  # s beyond that in which a task may still end
BACK_S = 5.0  # s in which a call back is made again where nobody says yes
STARTED_AT_ONCE = 8  # relays at the run's begin
SETTLE_S = 0.6  # s after a message's time in which its end may still come


@dataclass(slots=True)
class Options:
    """How a run differs from its scenario's."""

    command: Sequence[str] = PLAIN
    environment: Callable[[int], dict[str, str]] = lambda _life: {}  # by number of the life
    traffic: list[draw.Arrival] | None = None  # in place of what the seed draws
    watch: Callable[[rec.AnyEvent], None] | None = None
    started: Callable[[World], Coroutine[Any, Any, None]] | None = None  # runs beside the events


class Ground(Protocol):
    """What a run stands on: the machine with its sockets and processes, or a simulation of them."""

    place: Place
    dialled: Callable[[str, tuple[str, int]], None] | None  # told of every connect; None: it can't be

    def now_us(self) -> int:
        """The record's clock, in microseconds from any start."""

    def cpu_s(self) -> float:
        """CPU time of the rig so far; 0 where it is no figure of the run."""

    def relay(
        self, name: str, folder: Path, writer: rec.RecordWriter, config: Callable[[], dict[str, Any]]
    ) -> RelayOver:
        """A relay that can be started."""

    async def strike(self, relay: RelayOver, event: EventTable) -> None:
        """Let something happen to a relay that only a simulation can do, for as long as it lasts."""


class Machine:
    """This machine: loopback sockets, processes, real time."""

    def __init__(self, options: Options) -> None:
        self.place, self._options = Place(), options
        # A closed port on a real machine tells nobody whom it has refused.
        self.dialled: Callable[[str, tuple[str, int]], None] | None = None
        self._cpu_s = time.process_time()

    now_us = staticmethod(rec.now_us)

    def cpu_s(self) -> float:
        """CPU time since the run began."""
        return time.process_time() - self._cpu_s

    def relay(
        self, name: str, folder: Path, writer: rec.RecordWriter, config: Callable[[], dict[str, Any]]
    ) -> RelayProcess:
        """A relay in a process of its own."""
        told = self._options
        return RelayProcess(name, folder, writer, config, command=told.command, environment=told.environment)

    async def strike(self, relay: RelayOver, event: EventTable) -> None:
        """Nothing of this can be done to a real process."""
        raise NotImplementedError(event.what)


class World:
    """Everything around the relays, and the relays."""

    def __init__(self, scenario: Scenario, folder: Path, options: Options, ground: Ground) -> None:
        self.scenario, self.folder, self.options, self.ground = scenario, folder, options, ground
        folder.mkdir(parents=True, exist_ok=True)
        self.path = folder / "record.jsonl"
        head = msgspec.structs.replace(draw.head_of(scenario), dials=ground.dialled is not None)
        self.writer = rec.RecordWriter(self.path, lambda _at: head, ground.now_us)
        if ground.dialled is not None:
            ground.dialled = self._dialled
        self.rng = random.Random(f"world {scenario.seed}")
        facts = {cls.name: cls for cls in draw.head_of(scenario).classes}
        self.classes = facts
        work = {
            cls.name: ClassWork(cls.work_ms / 1000, cls.window_s, cls.by_zone) for cls in scenario.classes
        }
        self.book = Book(self.writer, work, ground.place)
        self.platform = Platform(self.writer, scenario.directory.late_s, self.rng, ground.place)
        self.clients = Clients(self.writer, scenario.clients, self.rng)
        self.platform.ended = self.clients.ended
        self.clients.asked = self.book.asked.__setitem__
        self.writer.listeners.append(self._saw)
        if options.watch is not None:
            self.writer.listeners.append(options.watch)
        self.hosts: dict[str, Host] = {}
        self.memories: dict[int, KeyMemory] = {}  # by destination
        self.relays: list[RelayOver] = []
        self.doors: list[Relay] = []  # the relays as clients reach them
        self.proxies: dict[str, list[Proxy]] = {"hosts": [], "directory": [], "clients": []}
        self._proxy_of: dict[str, Proxy] = {}
        self._faces: dict[str, tuple[str, int]] = {}  # by relay: where its configuration finds the directory
        self._tasks: dict[asyncio.Task[None], None] = {}
        self._leaving: set[str] = set()  # endpoints that drain
        self.crashed: list[str] = []
        self._asked_s = 0.0  # loop's time at which the last message was written to a relay
        self.late_us = 0  # how late this process's event loop was at worst

    async def _lag(self) -> None:
        """Watch the event loop: what it does late it also times late."""
        loop = asyncio.get_running_loop()
        while True:
            due_s = loop.time() + LOOK_S
            await asyncio.sleep(LOOK_S)
            self.late_us = max(self.late_us, round((loop.time() - due_s) * 1e6))

    def _dialled(self, relay: str, address: tuple[str, int]) -> None:
        """Somebody connects; the directory and other relays' ports are no endpoints."""
        told = "{}:{}".format(*address)
        for host in self.hosts:
            if relay and self._dial(relay, host) == told:
                self.writer.add(rec.ConnectStarted(self.writer.now, relay, host))

    def _saw(self, event: rec.AnyEvent) -> None:
        if isinstance(event, rec.MessageSubmitted):
            self._asked_s = asyncio.get_running_loop().time()
        if isinstance(event, rec.CallAnswered):
            for ref, end in event.ends.items():
                if end == "delivered":
                    self.clients.delivered(ref)

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run something beside the rest; its errors end the run."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks[task] = None
        task.add_done_callback(lambda done: self._tasks.pop(done, None))
        return task

    async def start(self) -> None:
        """Bring up endpoints, directory and relays."""
        for plan in draw.hosts_of(self.scenario):
            await self._add(plan, late=False)
        self.platform.dial = self._dial
        for number in range(self.scenario.relays.count):
            await self._relay(f"n{number}")
        for first in range(0, len(self.relays), STARTED_AT_ONCE):
            await asyncio.gather(*map(self._up, self.relays[first : first + STARTED_AT_ONCE]))
        # From here on: before the first message nothing is timed that a rule is judged by.
        self.spawn(self._lag())
        for relay in self.relays:
            self.spawn(self._guard(relay))

    async def _add(self, plan: draw.HostPlan, late: bool = True) -> None:
        memory = self.memories.setdefault(plan.dest, KeyMemory())
        scenario = self.scenario
        host = Host(plan, self.book, memory, scenario.partners.idle_s, f"{scenario.seed} {plan.name}")
        host.model.fall_multiple, host.model.fall_s = scenario.rules.fall_multiple, scenario.rules.fall_s
        await host.listen()
        self.hosts[plan.name] = host
        if "hosts" in scenario.faulty_links:
            self._proxy_of[plan.name] = await self._proxy("hosts", lambda: host.address)
        fields = {"block": plan.dest, "site": plan.zone, "class": plan.kind.name}
        self.writer.add(
            rec.HostAdded(self.writer.now, plan.name, plan.dest, plan.zone, plan.kind.name, plan.per_s)
        )
        self.platform.put(plan.name, "ready", late, **fields)

    async def _proxy(self, link: str, target: Callable[[], tuple[str, int]]) -> Proxy:
        proxy = Proxy(target, self.ground.place)
        await proxy.listen()
        self.proxies[link].append(proxy)
        return proxy

    def _dial(self, _relay: str, host: str) -> str:
        if host not in self.hosts:
            return "127.0.0.1:1"
        address = self._proxy_of[host].address if host in self._proxy_of else self.hosts[host].address
        return "{}:{}".format(*address)

    async def _face(self, relay: str) -> Discovery:
        face = await self.platform.face(relay)
        self._faces[relay] = face.address
        if "directory" in self.scenario.faulty_links:
            self._faces[relay] = (await self._proxy("directory", lambda: face.address)).address
        return face

    async def _relay(self, name: str) -> None:
        face = await self._face(name)
        face.known = face.dialed(self.platform.listing.whole())
        told = self.scenario.relays
        limits = {"cores": 1.0, "memory_mb": 192, "sockets": told.sockets, "disk_mb": told.disk_mb}
        settings = draw.settings_of(self.scenario)

        def config() -> dict[str, Any]:
            return {
                "discovery": "{}:{}".format(*self._faces[name]),
                "seed": f"{self.rng.getrandbits(64):016x}",
                "limits": limits,
                "known": self.platform.faces[name].known,
                "settings": settings,
            }

        relay = self.ground.relay(name, self.folder / name, self.writer, config)
        self.relays.append(relay)
        address = relay.address
        if "clients" in self.scenario.faulty_links:
            address = (await self._proxy("clients", lambda: relay.address)).address
        self.doors.append(Relay(name, address))

    async def _up(self, relay: RelayOver) -> None:
        """Start a relay; one that ends before it answers has crashed, and is started again."""
        for _ in range(await relay.up(self.scenario.relays.back_s)):
            self.crashed.append(f"{relay.name} ended before it was ready")

    async def _guard(self, relay: RelayOver) -> None:
        """A relay that ends by itself has crashed; it is started again, as a supervisor would."""
        while True:
            process = relay.process
            assert process is not None
            await process.wait()
            async with relay.turn:
                if relay.process is not process:  # its end was ordered, and it has been started again
                    continue
                await relay.ended()
                self.crashed.append(f"{relay.name} ended with {process.returncode}")
                await asyncio.sleep(self.scenario.relays.back_s)
                await self._up(relay)

    async def traffic(self) -> None:
        """Hand every message in at its time, and wait until each has its end or its time is up."""
        arrivals = self.options.traffic
        if arrivals is None:
            arrivals = draw.arrivals_of(self.scenario)
        start_s, tasks = asyncio.get_running_loop().time(), []
        for arrival in arrivals:
            await sleep_until(start_s + arrival.at_s)
            door, cls = self.doors[arrival.relay % len(self.doors)], self.classes[arrival.cls]
            tasks.append(self.spawn(self.clients.message(door, arrival, cls)))
        longest_s = max(cls.deadline_us for cls in self.classes.values()) / 1e6 + SETTLE_S
        longest_s += self.scenario.relays.back_s + TAIL_S
        loop, pending = asyncio.get_running_loop(), set(tasks)
        self._asked_s = loop.time()
        # A link that was silent lets a message come long after it was due to, with all its time before it.
        while pending and (left_s := self._asked_s + longest_s - loop.time()) > 0:
            _, pending = await asyncio.wait(pending, timeout=left_s)

    async def events(self) -> None:
        """Let everything happen that the scenario names, each at its time."""
        start_s, tasks = asyncio.get_running_loop().time(), []
        for event in sorted(self.scenario.events, key=lambda item: item.at_s):
            await sleep_until(start_s + event.at_s)
            tasks.append(self.spawn(self._happen(event)))
        if tasks:
            await asyncio.gather(*tasks)

    async def _happen(self, event: EventTable) -> None:
        self.writer.add(rec.Annotation(self.writer.now, event.what, described(event)))
        if event.what in HOSTS:
            await self._strike(event)
        elif event.what in FAULTS:
            await self._fault(event)
        elif event.what == "out":
            await self._by_hand(event)
        elif event.what in SIMULATED:
            await self.ground.strike(self.relays[event.relay], event)
        else:
            await {
                "kill": self._restart, "term": self._restart, "wipe": self._restart, "hup": self._hup,
                "move": self._move, "heavy_tail": self._heavy, "garble": self._garble, "rude": self._rude,
                "crowd": self._crowd,
                "directory_out": self._blind, "drain": self._drain, "remove": self._drain,
                "replace": self._drain,
            }[event.what](event)  # fmt: skip

    async def _restart(self, event: EventTable) -> None:
        relay = self.relays[event.relay]
        async with relay.turn:
            await (relay.term() if event.what == "term" else relay.kill())
            if event.what == "wipe":
                relay.wipe()
            await asyncio.sleep(self.scenario.relays.back_s)
            await self._up(relay)

    async def _hup(self, event: EventTable) -> None:
        self.relays[event.relay].hup()

    async def _move(self, _event: EventTable) -> None:
        formers = [self.platform.faces[relay.name] for relay in self.relays]
        for relay in self.relays:
            await self._face(relay.name)
            relay.hup()
        await asyncio.sleep(MOVED_S)
        for face in formers:
            face.stop()

    async def _by_hand(self, event: EventTable) -> None:
        """Staff take endpoints out at one relay, restart them, and take them back: they return cold."""
        relay = self.relays[event.relay]
        able = [name for name, host in self.hosts.items() if host.model.state == "up"]
        names = self.rng.sample(able, min(event.count, len(able)))
        names = [name for name in names if await relay.by_hand(name, True)]
        for name in names:
            self.writer.add(rec.HostDisabled(self.writer.now, relay.name, name, True))
        await asyncio.sleep(event.len_s)
        for name in names:
            self.writer.add(rec.HostDisabled(self.writer.now, relay.name, name, False))
            last_s = asyncio.get_running_loop().time() + BACK_S
            while not await relay.by_hand(name, False) and asyncio.get_running_loop().time() < last_s:
                await asyncio.sleep(LOOK_S)

    async def _strike(self, event: EventTable) -> None:
        plans = [host.plan for host in self.hosts.values()]
        names = draw.struck(self.scenario, plans, event, self.rng)
        hosts = [self.hosts[name] for name in names]
        struck = [host for host in hosts if host.strike(event.what, event.size, event.len_s)]
        await asyncio.sleep(event.len_s)
        for host in struck:
            if host.plan.name in self.hosts:  # else it has gone meanwhile
                await host.recover()

    async def _heavy(self, event: EventTable) -> None:
        self.book.tails[event.cls] = (event.part, event.size)
        await asyncio.sleep(event.len_s)
        del self.book.tails[event.cls]

    async def _garble(self, event: EventTable) -> None:
        self.book.spoil = event.part
        await asyncio.sleep(event.len_s)
        self.book.spoil = 0.0

    async def _rude(self, event: EventTable) -> None:
        for number in range(event.count):
            door = self.doors[number % len(self.doors)]
            self.spawn(self.clients.rude(door, RUDE[number % len(RUDE)]))
            await asyncio.sleep(event.len_s / event.count)

    async def _crowd(self, event: EventTable) -> None:
        """Idle clients at every relay; a relay may close their connections whenever it likes."""
        idle = list[asyncio.StreamWriter]()
        for door in self.doors:
            for _ in range(event.count):
                with contextlib.suppress(OSError):
                    idle.append((await asyncio.open_connection(*door.address))[1])
        await asyncio.sleep(event.len_s)
        for writer in idle:
            writer.close()

    async def _blind(self, event: EventTable) -> None:
        self.platform.lose()
        await asyncio.sleep(event.len_s)
        self.platform.regain()

    async def _drain(self, event: EventTable) -> None:
        """Endpoints drain, then go; with ``replace`` new ones come at their addresses under new names."""
        spared = {plan.dest: plan.name for plan in (host.plan for host in self.hosts.values())}
        up = [name for name, host in self.hosts.items() if host.model.state == "up"]
        able = [name for name in up if name not in self._leaving]
        if event.what == "remove":  # the last endpoint of a destination stays
            able = [name for name in able if name not in spared.values()]
        names = self.rng.sample(able, min(event.count, len(able)))
        self._leaving.update(names)
        for name in names:
            self.platform.put(name, "draining")
        await asyncio.sleep(max(event.len_s, GONE_S) + self.scenario.directory.late_s[1])
        for name in names:
            self._leaving.discard(name)
            self.platform.put(name, "ready" if event.what == "drain" else "gone")
            if event.what == "drain":
                continue
            host = self.hosts.pop(name)
            host.model.state = "refuse"
            host.refuse()
            if event.what == "replace":
                await self._add(replace(host.plan, name=f"{name}'"))

    async def _fault(self, event: EventTable) -> None:
        fault = {
            "delay": Fault(delay_s=event.size / 1000),
            "cut": Fault(cut_after=event.after_bytes),
            "silence": Fault(silent=True),
            "drip": Fault(drip=True),
        }[event.what]
        for proxy in self.proxies[event.between]:
            proxy.set(fault)
        late_us = {"silence": -1, "delay": round(event.size * 1000), "drip": DRIPPED_US}.get(event.what, 0)
        if event.between != "directory" or event.what == "delay":  # else nothing is told: ``Reach`` says so
            self.writer.add(rec.LinkDelay(self.writer.now, event.between, late_us))
        shut = event.between == "directory" and event.what in ("silence", "cut")
        # A directory that has moved tells on at its old address for a while, over links that are as silent.
        muted = [*self.platform.faces.values(), *self.platform.formers] if shut else []
        for face in muted:
            face.mute(True)
        for relay in self.platform.faces if shut else ():
            self.writer.add(rec.ReachabilityChange(self.writer.now, relay, False))
        await asyncio.sleep(event.len_s)
        for proxy in self.proxies[event.between]:
            proxy.set(CLEAR)
        self.writer.add(rec.LinkDelay(self.writer.now, event.between, 0))
        for face in muted:
            face.mute(False)
        for relay in self.platform.faces if shut else ():
            self.writer.add(rec.ReachabilityChange(self.writer.now, relay, True))

    async def stop(self) -> None:
        """End everything and write the record's last line."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for relay in self.relays:
            await relay.kill()
        for proxy in (proxy for proxies in self.proxies.values() for proxy in proxies):
            proxy.close()
        self.platform.stop()
        for host in self.hosts.values():
            host.refuse()


def marks_of(folder: Path, start_us: int) -> list[rec.AnyEvent]:
    """What other processes have noted beside the record, timed by the same clock, in the run's time."""
    marks = list[rec.AnyEvent]()
    for path in sorted(folder.glob("*.marks")):
        for _, event in rec.read_lines(path):
            if isinstance(event, rec.Annotation):
                marks.append(rec.Annotation(event.at - start_us, event.what, event.detail))
    return marks


async def sleep_until(due_s: float) -> None:
    """Sleep until a time of the loop's clock; not at all where it has passed."""
    wait_s = due_s - asyncio.get_running_loop().time()
    if wait_s > 0:
        await asyncio.sleep(wait_s)


def described(event: EventTable) -> str:
    """An event's figures, as a reader wants them."""
    told = event.model_dump(exclude_defaults=True, exclude={"at_s", "what"})
    return " ".join(f"{name}={value}" for name, value in told.items())


@dataclass(frozen=True, slots=True)
class Done:
    """What a run leaves: the record's path, relays that crashed, and calls that the protocol does not
    know.
    """

    path: Path
    crashed: tuple[str, ...]
    bad_calls: int


async def play(
    scenario: Scenario, folder: Path, options: Options | None = None, ground: Ground | None = None
) -> Done:
    """Play a scenario into ``folder``; the record is whole whatever happens, unless this process is
    killed.
    """
    options = options or Options()
    world = World(scenario, folder, options, ground or Machine(options))
    try:
        await world.start()
        started = world.options.started
        beside = [world.spawn(started(world))] if started is not None else []
        await asyncio.gather(world.traffic(), world.events(), *beside)
    finally:
        await world.stop()
        others = marks_of(folder, world.writer.start_us)
        world.writer.close(world.ground.cpu_s(), world.late_us, others)
    return Done(world.path, tuple(world.crashed), world.book.bad_calls)
