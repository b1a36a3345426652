"""Runs a scenario: starts the simulated environment and the relays, and writes one record."""

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
from mallowlug.rig.run.relays import DEFAULT_COMMAND, ManagedRelay, RelayProcess
from mallowlug.rig.world import draw
from mallowlug.rig.world.clients import MALFORMED_REQUESTS, Clients, RelayTarget
from mallowlug.rig.world.host_model import KeyMemory
from mallowlug.rig.world.hosts import ClassWork, Host, HostContext
from mallowlug.rig.world.httpd import AddressAllocator
from mallowlug.rig.world.platform import DiscoveryServer, Platform
from mallowlug.rig.world.proxy import NO_FAULT, FaultProxy, LinkFault
from mallowlug.rig.world.repeats import RepeatFault
from mallowlug.rig.world.scenario import (
    LINK_FAULT_EVENTS,
    OUTAGE_EVENTS,
    SIMULATION_EVENTS,
    EventTable,
    Scenario,
)

MOVED_DIRECTORY_S = 1.5  # s after a directory move until connections at its old address are closed
DRAIN_S = 2.0  # min s from an endpoint's drain to its removal
DRIP_LATE_US = 400_000  # lateness allowed under a drip fault: clients wait no longer
POLL_S = 0.02  # s between polls
EXTRA_WAIT_S = 1.5  # further s in which a client task may finish
ENABLE_TIMEOUT_S = 5.0  # s for which enabling a host is retried if it is not confirmed
PARALLEL_STARTS = 8  # relays started concurrently at the beginning of a run
SETTLE_S = 0.6  # s after a message's deadline in which its final result may still arrive


@dataclass(slots=True)
class RunOptions:
    """Options of a run that are not part of its scenario."""

    command: Sequence[str] = DEFAULT_COMMAND
    environment: Callable[[int], dict[str, str]] = lambda _life: {}  # by number of the process start
    traffic: list[draw.Arrival] | None = None  # replaces the drawn traffic
    watch: Callable[[rec.AnyEvent], None] | None = None
    on_started: Callable[[Environment], Coroutine[Any, Any, None]] | None = None  # runs beside the events


class Backend(Protocol):
    """What a run executes on: real sockets and processes, or a simulation of them."""

    addresses: AddressAllocator
    # Called for every connect; None: connects cannot be observed.
    on_dial: Callable[[str, tuple[str, int]], None] | None

    def now_us(self) -> int:
        """Return the record's clock, in microseconds from an arbitrary start."""

    def cpu_s(self) -> float:
        """Return the CPU time of the rig so far; 0 if it is not measured."""

    def relay(
        self, name: str, folder: Path, writer: rec.RecordWriter, config: Callable[[], dict[str, Any]]
    ) -> ManagedRelay:
        """Create a relay that can be started."""

    async def apply_event(self, relay: ManagedRelay, event: EventTable) -> None:
        """Apply an event that only a simulation supports, and wait until it ends."""


class LocalBackend:
    """The local machine: loopback sockets, processes, real time."""

    def __init__(self, options: RunOptions) -> None:
        self.addresses, self._options = AddressAllocator(), options
        # A closed port on a real machine does not report which connections it refused.
        self.on_dial: Callable[[str, tuple[str, int]], None] | None = None
        self._cpu_s = time.process_time()

    now_us = staticmethod(rec.now_us)

    def cpu_s(self) -> float:
        """Return the CPU time since the run began."""
        return time.process_time() - self._cpu_s

    def relay(
        self, name: str, folder: Path, writer: rec.RecordWriter, config: Callable[[], dict[str, Any]]
    ) -> RelayProcess:
        """Create a relay that runs in its own process."""
        options = self._options
        return RelayProcess(
            name, folder, writer, config, command=options.command, environment=options.environment
        )

    async def apply_event(self, relay: ManagedRelay, event: EventTable) -> None:
        """Raise ``NotImplementedError``: real processes do not support these events."""
        raise NotImplementedError(event.what)


class Environment:
    """The relays and everything they talk to."""

    def __init__(self, scenario: Scenario, folder: Path, options: RunOptions, backend: Backend) -> None:
        self.scenario, self.folder, self.options, self.backend = scenario, folder, options, backend
        folder.mkdir(parents=True, exist_ok=True)
        self.path = folder / "record.jsonl"
        head = msgspec.structs.replace(draw.record_head(scenario), dials=backend.on_dial is not None)
        self.writer = rec.RecordWriter(self.path, lambda _at: head, backend.now_us)
        if backend.on_dial is not None:
            backend.on_dial = self._record_dial
        self.rng = random.Random(f"world {scenario.seed}")
        facts = {cls.name: cls for cls in draw.record_head(scenario).classes}
        self.classes = facts
        work = {
            cls.name: ClassWork(cls.work_ms / 1000, cls.window_s, cls.by_zone) for cls in scenario.classes
        }
        self.host_context = HostContext(self.writer, work, backend.addresses)
        self.platform = Platform(self.writer, scenario.directory.late_s, self.rng, backend.addresses)
        self.clients = Clients(self.writer, scenario.clients, self.rng)
        self.host_context.repeater.rng = random.Random(f"repeated answers {scenario.seed}")
        self.platform.repeater.rng = random.Random(f"repeated notices {scenario.seed}")
        self.platform.on_notice = self.clients.notice_received
        self.clients.on_submit = self.host_context.submitted_classes.__setitem__
        self.writer.listeners.append(self._handle_event)
        if options.watch is not None:
            self.writer.listeners.append(options.watch)
        self.hosts: dict[str, Host] = {}
        self.key_memories: dict[int, KeyMemory] = {}  # by destination
        self.relays: list[ManagedRelay] = []
        self.relay_targets: list[RelayTarget] = []  # the addresses at which clients reach the relays
        self.proxies: dict[str, list[FaultProxy]] = {"hosts": [], "directory": [], "clients": []}
        self._proxy_by_host: dict[str, FaultProxy] = {}
        self._directory_addresses: dict[str, tuple[str, int]] = {}  # by relay: address of its directory
        self._tasks: dict[asyncio.Task[None], None] = {}
        self._draining: set[str] = set()  # endpoints that are draining
        self.crashed: list[str] = []
        self._last_submit_s = 0.0  # loop time of the last submission to a relay
        self.max_lag_us = 0  # max lateness of this process's event loop

    async def _measure_lag(self) -> None:
        """Measure the lateness of the event loop, which delays the record's timestamps as well."""
        loop = asyncio.get_running_loop()
        while True:
            due_s = loop.time() + POLL_S
            await asyncio.sleep(POLL_S)
            self.max_lag_us = max(self.max_lag_us, round((loop.time() - due_s) * 1e6))

    def _record_dial(self, relay: str, address: tuple[str, int]) -> None:
        """Record a relay's connect to an endpoint; connects to other addresses are ignored."""
        dialled = "{}:{}".format(*address)
        for host in self.hosts:
            if relay and self._dial_address(relay, host) == dialled:
                self.writer.add(rec.ConnectStarted(self.writer.now, relay, host))

    def _handle_event(self, event: rec.AnyEvent) -> None:
        if isinstance(event, rec.MessageSubmitted):
            self._last_submit_s = asyncio.get_running_loop().time()
        if isinstance(event, rec.CallAnswered):
            for ref, end in event.ends.items():
                if end == "delivered":
                    self.clients.message_delivered(ref)

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run a coroutine as a task of this run."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks[task] = None
        task.add_done_callback(lambda done: self._tasks.pop(done, None))
        return task

    async def start(self) -> None:
        """Start endpoints, directory and relays."""
        for plan in draw.draw_hosts(self.scenario):
            await self._add_host(plan, late=False)
        self.platform.dial_address = self._dial_address
        for number in range(self.scenario.relays.count):
            await self._add_relay(f"n{number}")
        for first in range(0, len(self.relays), PARALLEL_STARTS):
            await asyncio.gather(*map(self._start_relay, self.relays[first : first + PARALLEL_STARTS]))
        # Started only now: no rule judges timings before the first message.
        self.spawn(self._measure_lag())
        for relay in self.relays:
            self.spawn(self._supervise(relay))

    async def _add_host(self, plan: draw.HostPlan, late: bool = True) -> None:
        memory = self.key_memories.setdefault(plan.dest, KeyMemory())
        scenario = self.scenario
        host = Host(plan, self.host_context, memory, scenario.partners.idle_s, f"{scenario.seed} {plan.name}")
        host.model.collapse_multiple, host.model.collapse_window_s = (
            scenario.rules.fall_multiple,
            scenario.rules.fall_s,
        )
        await host.listen()
        self.hosts[plan.name] = host
        if "hosts" in scenario.faulty_links:
            self._proxy_by_host[plan.name] = await self._add_proxy("hosts", lambda: host.address)
        fields = {"block": plan.dest, "site": plan.zone, "class": plan.kind.name}
        self.writer.add(
            rec.HostAdded(self.writer.now, plan.name, plan.dest, plan.zone, plan.kind.name, plan.per_s)
        )
        self.platform.set_state(plan.name, "ready", late, **fields)

    async def _add_proxy(self, link: str, target: Callable[[], tuple[str, int]]) -> FaultProxy:
        proxy = FaultProxy(target, self.backend.addresses)
        await proxy.listen()
        self.proxies[link].append(proxy)
        return proxy

    def _dial_address(self, _relay: str, host: str) -> str:
        if host not in self.hosts:
            return "127.0.0.1:1"
        address = (
            self._proxy_by_host[host].address if host in self._proxy_by_host else self.hosts[host].address
        )
        return "{}:{}".format(*address)

    async def _add_directory(self, relay: str) -> DiscoveryServer:
        server = await self.platform.add_server(relay)
        self._directory_addresses[relay] = server.address
        if "directory" in self.scenario.faulty_links:
            self._directory_addresses[relay] = (
                await self._add_proxy("directory", lambda: server.address)
            ).address
        return server

    async def _add_relay(self, name: str) -> None:
        server = await self._add_directory(name)
        server.last_sent = server.with_dial_addresses(self.platform.directory.snapshot())
        relay_limits = self.scenario.relays
        limits = {
            "cores": 1.0,
            "memory_mb": 192,
            "sockets": relay_limits.sockets,
            "disk_mb": relay_limits.disk_mb,
        }
        settings = draw.relay_settings(self.scenario)

        def config() -> dict[str, Any]:
            return {
                "discovery": "{}:{}".format(*self._directory_addresses[name]),
                "seed": f"{self.rng.getrandbits(64):016x}",
                "limits": limits,
                "known": self.platform.servers[name].last_sent,
                "settings": settings,
            }

        relay = self.backend.relay(name, self.folder / name, self.writer, config)
        self.relays.append(relay)
        address = relay.address
        if "clients" in self.scenario.faulty_links:
            address = (await self._add_proxy("clients", lambda: relay.address)).address
        self.relay_targets.append(RelayTarget(name, address))

    async def _start_relay(self, relay: ManagedRelay) -> None:
        """Start a relay; an exit before it answers counts as a crash, and it is restarted."""
        for _ in range(await relay.start_with_retries(self.scenario.relays.back_s)):
            self.crashed.append(f"{relay.name} ended before it was ready")

    async def _supervise(self, relay: ManagedRelay) -> None:
        """Restart a relay that exits unexpectedly, as a supervisor would, and record the crash."""
        while True:
            process = relay.process
            assert process is not None
            await process.wait()
            async with relay.lifecycle_lock:
                if relay.process is not process:  # stopped on purpose and restarted already
                    continue
                await relay.wait_for_exit()
                self.crashed.append(f"{relay.name} ended with {process.returncode}")
                await asyncio.sleep(self.scenario.relays.back_s)
                await self._start_relay(relay)

    async def traffic(self) -> None:
        """Submit every message at its time, and wait for each final result or a timeout."""
        arrivals = self.options.traffic
        if arrivals is None:
            arrivals = draw.draw_arrivals(self.scenario)
        start_s, tasks = asyncio.get_running_loop().time(), []
        for arrival in arrivals:
            await sleep_until(start_s + arrival.at_s)
            door, cls = self.relay_targets[arrival.relay % len(self.relay_targets)], self.classes[arrival.cls]
            retry_targets = self.relay_targets if self.scenario.clients.roam else ()
            tasks.append(self.spawn(self.clients.run_message(door, arrival, cls, retry_targets)))
        longest_s = max(cls.deadline_us for cls in self.classes.values()) / 1e6 + SETTLE_S
        longest_s += self.scenario.relays.back_s + EXTRA_WAIT_S
        loop, pending = asyncio.get_running_loop(), set(tasks)
        self._last_submit_s = loop.time()
        # After a silent link, a message can be submitted late and still have its whole deadline.
        while pending and (left_s := self._last_submit_s + longest_s - loop.time()) > 0:
            _, pending = await asyncio.wait(pending, timeout=left_s)

    async def events(self) -> None:
        """Run the scenario's events, each at its time."""
        start_s, tasks = asyncio.get_running_loop().time(), []
        for event in sorted(self.scenario.events, key=lambda item: item.at_s):
            await sleep_until(start_s + event.at_s)
            tasks.append(self.spawn(self._run_event(event)))
        if tasks:
            await asyncio.gather(*tasks)

    async def _run_event(self, event: EventTable) -> None:
        self.writer.add(rec.Annotation(self.writer.now, event.what, describe_event(event)))
        if event.what in OUTAGE_EVENTS:
            await self._host_outage(event)
        elif event.what in LINK_FAULT_EVENTS:
            await self._link_fault(event)
        elif event.what == "out":
            await self._disable_hosts(event)
        elif event.what in SIMULATION_EVENTS:
            await self.backend.apply_event(self.relays[event.relay], event)
        else:
            await {
                "kill": self._restart, "term": self._restart, "wipe": self._restart, "hup": self._reload,
                "move": self._move, "heavy_tail": self._heavy_tail, "garble": self._corrupt_answers,
                "rude": self._malformed_clients, "repeat": self._repeat_answers,
                "crowd": self._idle_clients,
                "directory_out": self._directory_outage, "drain": self._drain_hosts,
                "remove": self._drain_hosts,
                "replace": self._drain_hosts,
            }[event.what](event)  # fmt: skip

    async def _restart(self, event: EventTable) -> None:
        relay = self.relays[event.relay]
        async with relay.lifecycle_lock:
            await (relay.term() if event.what == "term" else relay.kill())
            if event.what == "wipe":
                relay.wipe()
            await asyncio.sleep(self.scenario.relays.back_s)
            await self._start_relay(relay)

    async def _reload(self, event: EventTable) -> None:
        self.relays[event.relay].hup()

    async def _move(self, _event: EventTable) -> None:
        previous = [self.platform.servers[relay.name] for relay in self.relays]
        for relay in self.relays:
            await self._add_directory(relay.name)
            relay.hup()
        await asyncio.sleep(MOVED_DIRECTORY_S)
        for server in previous:
            server.stop()

    async def _disable_hosts(self, event: EventTable) -> None:
        """Disable endpoints at one relay, restart them and enable them: they return cold."""
        relay = self.relays[event.relay]
        candidates = [name for name, host in self.hosts.items() if host.model.state == "up"]
        names = self.rng.sample(candidates, min(event.count, len(candidates)))
        names = [name for name in names if await relay.set_disabled(name, True)]
        for name in names:
            self.writer.add(rec.HostDisabled(self.writer.now, relay.name, name, True))
        await asyncio.sleep(event.len_s)
        for name in names:
            self.writer.add(rec.HostDisabled(self.writer.now, relay.name, name, False))
            last_s = asyncio.get_running_loop().time() + ENABLE_TIMEOUT_S
            while not await relay.set_disabled(name, False) and asyncio.get_running_loop().time() < last_s:
                await asyncio.sleep(POLL_S)

    async def _host_outage(self, event: EventTable) -> None:
        plans = [host.plan for host in self.hosts.values()]
        names = draw.draw_affected_hosts(self.scenario, plans, event, self.rng)
        hosts = [self.hosts[name] for name in names]
        affected = [host for host in hosts if host.begin_outage(event.what, event.size, event.len_s)]
        await asyncio.sleep(event.len_s)
        for host in affected:
            if host.plan.name in self.hosts:  # otherwise it was removed meanwhile
                await host.end_outage()

    async def _heavy_tail(self, event: EventTable) -> None:
        self.host_context.heavy_tails[event.cls] = (event.part, event.size)
        await asyncio.sleep(event.len_s)
        del self.host_context.heavy_tails[event.cls]

    async def _corrupt_answers(self, event: EventTable) -> None:
        self.host_context.corrupt_share = event.part
        await asyncio.sleep(event.len_s)
        self.host_context.corrupt_share = 0.0

    async def _repeat_answers(self, event: EventTable) -> None:
        repeater = self.host_context.repeater if event.between == "hosts" else self.platform.repeater
        low_ms, high_ms = event.after_ms
        repeater.fault = RepeatFault(event.part, (low_ms / 1000, high_ms / 1000), event.form)
        await asyncio.sleep(event.len_s)
        repeater.fault = None

    async def _malformed_clients(self, event: EventTable) -> None:
        for number in range(event.count):
            door = self.relay_targets[number % len(self.relay_targets)]
            self.spawn(
                self.clients.send_malformed(door, MALFORMED_REQUESTS[number % len(MALFORMED_REQUESTS)])
            )
            await asyncio.sleep(event.len_s / event.count)

    async def _idle_clients(self, event: EventTable) -> None:
        """Open idle client connections at every relay; a relay may close them at any time."""
        idle = list[asyncio.StreamWriter]()
        for door in self.relay_targets:
            for _ in range(event.count):
                with contextlib.suppress(OSError):
                    idle.append((await asyncio.open_connection(*door.address))[1])
        await asyncio.sleep(event.len_s)
        for writer in idle:
            writer.close()

    async def _directory_outage(self, event: EventTable) -> None:
        self.platform.go_down()
        await asyncio.sleep(event.len_s)
        self.platform.come_back()

    async def _drain_hosts(self, event: EventTable) -> None:
        """Drain endpoints, then restore (``drain``), remove or replace them."""
        last_hosts = {plan.dest: plan.name for plan in (host.plan for host in self.hosts.values())}
        up = [name for name, host in self.hosts.items() if host.model.state == "up"]
        candidates = [name for name in up if name not in self._draining]
        if event.what == "remove":  # keep one endpoint of each destination
            candidates = [name for name in candidates if name not in last_hosts.values()]
        names = self.rng.sample(candidates, min(event.count, len(candidates)))
        self._draining.update(names)
        for name in names:
            self.platform.set_state(name, "draining")
        await asyncio.sleep(max(event.len_s, DRAIN_S) + self.scenario.directory.late_s[1])
        for name in names:
            self._draining.discard(name)
            self.platform.set_state(name, "ready" if event.what == "drain" else "gone")
            if event.what == "drain":
                continue
            host = self.hosts.pop(name)
            host.model.state = "refuse"
            host.stop_listening()
            if event.what == "replace":
                await self._add_host(replace(host.plan, name=f"{name}'"))

    async def _link_fault(self, event: EventTable) -> None:
        fault = {
            "delay": LinkFault(delay_s=event.size / 1000),
            "cut": LinkFault(cut_after=event.after_bytes),
            "silence": LinkFault(silent=True),
            "drip": LinkFault(drip=True),
        }[event.what]
        for proxy in self.proxies[event.between]:
            proxy.set_fault(fault)
        late_us = {"silence": -1, "delay": round(event.size * 1000), "drip": DRIP_LATE_US}.get(event.what, 0)
        if event.between != "directory" or event.what == "delay":  # otherwise recorded as ``Reach``
            self.writer.add(rec.LinkDelay(self.writer.now, event.between, late_us))
        shut = event.between == "directory" and event.what in ("silence", "cut")
        # A moved directory serves its old address for a while, over links with the same fault.
        blocked = [*self.platform.servers.values(), *self.platform.former_servers] if shut else []
        for server in blocked:
            server.set_blocked(True)
        for relay in self.platform.servers if shut else ():
            self.writer.add(rec.ReachabilityChange(self.writer.now, relay, False))
        await asyncio.sleep(event.len_s)
        for proxy in self.proxies[event.between]:
            proxy.set_fault(NO_FAULT)
        self.writer.add(rec.LinkDelay(self.writer.now, event.between, 0))
        for server in blocked:
            server.set_blocked(False)
        for relay in self.platform.servers if shut else ():
            self.writer.add(rec.ReachabilityChange(self.writer.now, relay, True))

    async def stop(self) -> None:
        """Cancel all tasks and stop relays, proxies, directory and endpoints."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for relay in self.relays:
            await relay.kill()
        for proxy in (proxy for proxies in self.proxies.values() for proxy in proxies):
            proxy.close()
        self.platform.stop()
        for host in self.hosts.values():
            host.stop_listening()


def read_marks(folder: Path, start_us: int) -> list[rec.AnyEvent]:
    """Read the marks that other processes wrote, converted from the same clock to the run's time."""
    marks = list[rec.AnyEvent]()
    for path in sorted(folder.glob("*.marks")):
        for _, event in rec.read_lines(path):
            if isinstance(event, rec.Annotation):
                marks.append(rec.Annotation(event.at - start_us, event.what, event.detail))
    return marks


async def sleep_until(due_s: float) -> None:
    """Sleep until a time of the loop's clock; return at once if it has passed."""
    wait_s = due_s - asyncio.get_running_loop().time()
    if wait_s > 0:
        await asyncio.sleep(wait_s)


def describe_event(event: EventTable) -> str:
    """Format the non-default fields of an event."""
    fields = event.model_dump(exclude_defaults=True, exclude={"at_s", "what"})
    return " ".join(f"{name}={value}" for name, value in fields.items())


@dataclass(frozen=True, slots=True)
class RunResult:
    """The result of a run: path of the record, crashes of relays, and number of malformed calls."""

    path: Path
    crashed: tuple[str, ...]
    bad_calls: int


async def play(
    scenario: Scenario, folder: Path, options: RunOptions | None = None, backend: Backend | None = None
) -> RunResult:
    """Run a scenario in ``folder``; the record is complete unless this process is killed."""
    options = options or RunOptions()
    environment = Environment(scenario, folder, options, backend or LocalBackend(options))
    try:
        await environment.start()
        started = environment.options.on_started
        beside = [environment.spawn(started(environment))] if started is not None else []
        await asyncio.gather(environment.traffic(), environment.events(), *beside)
    finally:
        await environment.stop()
        others = read_marks(folder, environment.writer.start_us)
        environment.writer.close(environment.backend.cpu_s(), environment.max_lag_us, others)
    return RunResult(environment.path, tuple(environment.crashed), environment.host_context.bad_calls)
