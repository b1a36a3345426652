"""Simulated relays: the real program from its composition root down, one process lifetime after another.

A simulated process ends like a real one: at once, at any point, with all its handles and descriptors; what it
wrote stays on the disk of its machine. Faults can end a process at any system call or make the call fail.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import signal
import socket
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from contextvars import copy_context
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any, cast

from mallowlug import config
from mallowlug.compose import serve
from mallowlug.rig.judge import record as rec
from mallowlug.rig.run.relays import ManagedRelay, Process, console_request
from mallowlug.rig.sim.disk import SimDisk
from mallowlug.rig.sim.loop import CURRENT_LIFETIME, Killed, Lifetime, SimLoop, untyped
from mallowlug.rig.sim.net import Network, SimSocket, os_error
from mallowlug.rig.world.scenario import EventTable, StrikeTable

EPOCH_NS = 1_750_000_000 * 10**9  # wall clock time at 0 of the simulated monotonic clock
CONFIG, STATE = Path("/config.json"), Path("/state")
ERRNO = {"ENOSPC": 28, "EIO": 5}


class LifetimeLog(logging.Handler):
    """Collects the log lines of each relay, with simulated time and process number."""

    def __init__(self, loop: SimLoop) -> None:
        super().__init__(logging.INFO)
        self._loop = loop
        self.lines: dict[str, list[str]] = {}  # by relay name

    def emit(self, record: logging.LogRecord) -> None:
        if (lifetime := CURRENT_LIFETIME.get()) is not None and lifetime.alive:
            line = f"{self._loop.now_s:.6f} {lifetime.number} {record.levelname} {record.getMessage()}"
            self.lines.setdefault(lifetime.name, []).append(line)


@dataclass(slots=True)
class Machine:
    """What a relay's restarts keep: its disk, its wall clock and its optional settings."""

    name: str
    disk: SimDisk
    extras: config.Extras
    wall_offset_ns: int = 0
    boot_count: int = 1
    full_reasons: int = 0  # number of active faults that fill the disk
    console: tuple[str, int] | None = None  # console address of the next process; None: no console


class SimSystem:
    """The operating system interface that one process gets."""

    def __init__(self, loop: SimLoop, net: Network, machine: Machine) -> None:
        self._loop, self._net, self._machine = loop, net, machine
        self.environ: Mapping[str, str] = {"ROUTER_CONFIG": str(CONFIG), "ROUTER_STATE": str(STATE)}
        if machine.console is not None:
            self.environ = {**self.environ, "ROUTER_CONSOLE": "{}:{}".format(*machine.console)}
        self.disk = machine.disk

    def wall_ns(self) -> int:
        """The machine's wall clock in ns, with its injected jumps."""
        return EPOCH_NS + int(self._loop.now_s * 1e6) * 1000 + self._machine.wall_offset_ns

    def boot(self) -> str:
        """The boot id of the machine."""
        return f"boot-{self._machine.boot_count}"

    def stream(self, family: int) -> socket.socket:
        """Create a simulated socket."""
        return cast(socket.socket, self._net.stream(family))

    def listener(self, address: tuple[str, int], shared: bool = False) -> socket.socket:
        """Create a simulated listening socket; note how many system calls came before it."""
        lifetime = CURRENT_LIFETIME.get()
        assert isinstance(lifetime, SimLifetime)
        lifetime.calls_before_listen = lifetime.calls
        return cast(socket.socket, self._net.listener(address, shared))

    def datagram(self, address: tuple[str, int]) -> socket.socket:
        """Create a simulated UDP socket."""
        return cast(socket.socket, self._net.datagram(address))

    def steer(self, sock: socket.socket) -> bool:
        """Direct new connections to the later one of two listening sockets."""
        self._net.steer(cast(SimSocket, sock))
        return True


def call_name(call: str, data: bytes) -> str:
    """The name of a system call in fault points; writes and sends also name what they write."""
    if call == "write":
        head = data.partition(b'["')[2].partition(b'"')[0] or data
        return f"write.{head.decode('latin-1')}"
    if call != "send":
        return call
    for start, name in ((b"POST /hook", "call"), (b"POST /v1", "notice"), (b"GET ", "watch")):
        if data.startswith(start):
            return f"send.{name}"
    return "send.answer"


@dataclass(slots=True)
class InjectedFault:
    """An injected fault: when, in which process of which relay, and at which point."""

    at_us: int
    relay: str
    lifetime: int
    point: str


class Kernel:
    """Counts the system calls and loop steps of every process and injects the configured faults."""

    def __init__(self, loop: SimLoop, net: Network, strikes: Sequence[StrikeTable]) -> None:
        self.loop, self.net = loop, net
        self._strikes = strikes
        self.injected: list[InjectedFault] = []
        self.on_injected: Callable[[InjectedFault], None] = lambda _fault: None

    def intercept_call(self, lifetime: SimLifetime, call: str, data: bytes) -> str:
        """Return the outcome of a system call; raise ``Killed`` or ``OSError`` if a fault prevents it."""
        lifetime.calls += 1
        if not lifetime.strikes:
            return ""
        name = call_name(call, data)
        lifetime.call_counts.update({call, name})
        for strike in lifetime.strikes:
            count = lifetime.call_counts[strike.call] if strike.call else lifetime.calls
            if strike.unit == "call" and strike.call in ("", call, name) and strike.at == count:
                return self._inject(lifetime, strike, name)
        return ""

    def _inject(self, lifetime: SimLifetime, strike: StrikeTable, name: str) -> str:
        if strike.what == "kill":
            self._record_injection(lifetime, f"{name}.{strike.when}")
            if strike.when == "before":
                self.kill(lifetime)
                raise Killed
            return strike.when
        self._record_injection(lifetime, f"{name}.{strike.what}")
        lifetime.disk_failed = True
        if strike.what == "short":
            return "short"
        raise os_error(ERRNO[strike.what])

    def _record_injection(self, lifetime: SimLifetime, point: str) -> None:
        fault = InjectedFault(int(self.loop.now_s * 1e6), lifetime.name, lifetime.number, point)
        self.injected.append(fault)
        self.on_injected(fault)

    def start(self, machine: Machine, number: int) -> SimProcess:
        """Start the next process of a machine's relay."""
        own_strikes = [s for s in self._strikes if f"n{s.relay}" == machine.name and s.life == number]
        lifetime = SimLifetime(machine, number, own_strikes)
        lifetime.intercept_call, lifetime.terminate = (
            partial(self.intercept_call, lifetime),
            partial(self.kill, lifetime),
        )
        steps = {strike.at for strike in own_strikes if strike.unit == "step"}
        if steps:
            lifetime.before_step = lambda: self._check_step(lifetime, steps)
        process = SimProcess(self, lifetime)
        lifetime.context = copy_context()
        lifetime.context.run(CURRENT_LIFETIME.set, lifetime)
        system = SimSystem(self.loop, self.net, machine)
        lifetime.context.run(self.loop.create_task, self._run_program(lifetime, system))
        return process

    def _check_step(self, lifetime: SimLifetime, steps: set[int]) -> None:
        if lifetime.steps in steps:
            self._record_injection(lifetime, "step")
            self.kill(lifetime)

    async def _run_program(self, lifetime: SimLifetime, system: SimSystem) -> None:
        """Run the program as ``mallowlug run`` does, then end the process with its exit code."""
        try:
            code = await serve(config.load(system), system, lifetime.machine.extras)
        except config.ConfigError as error:
            logging.getLogger("mallowlug").critical("configuration: %s", error)
            code = 2
        except Exception:
            logging.getLogger("mallowlug").exception("unhandled exception")
            code = 1
        current = asyncio.current_task()
        others = [task for task in lifetime.tasks if task is not current]
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)
        lifetime.leaks = [
            f"socket {sock.state}" for sock in lifetime.sockets.values() if sock.state == "listening"
        ]
        lifetime.leaks += [
            f"task {task.get_name()}" for task in lifetime.tasks if task is not current and not task.done()
        ]
        self.end(lifetime, code)

    def kill(self, lifetime: SimLifetime) -> None:
        """Kill the process (SIGKILL)."""
        self.end(lifetime, -signal.SIGKILL)

    def end(self, lifetime: SimLifetime, code: int) -> None:
        """End a process; the kernel closes its sockets and descriptors."""
        if not lifetime.alive:
            return
        lifetime.alive = False
        self.loop.cancel_handles_of(lifetime)
        self.net.close_sockets_of(lifetime)
        lifetime.machine.disk.close_descriptors_of(lifetime)
        for task in list(lifetime.tasks):
            untyped(task)._log_destroy_pending = False
            # Close its coroutines now, in order: nothing that they do has an effect any more, and the garbage
            # collector would close them at an arbitrary time. The running one unwinds by itself.
            with contextlib.suppress(RuntimeError, ValueError, Killed):
                lifetime.context.copy().run(untyped(task.get_coro()).close)
        if not lifetime.exit_future.done():
            lifetime.exit_future.set_result(code)


class SimLifetime(Lifetime):
    """A process lifetime with its machine and the faults configured for it."""

    def __init__(self, machine: Machine, number: int, strikes: Sequence[StrikeTable]) -> None:
        super().__init__(machine.name, number)
        self.machine, self.strikes = machine, tuple(strikes)
        self.calls, self.call_counts = 0, Counter[str]()
        self.calls_before_listen = 0  # system calls before it listened and could accept a message
        self.context = copy_context()
        self.exit_future: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self.leaks: list[str] = []  # tasks and listening sockets left open by an orderly shutdown
        self.disk_failed = False  # a disk fault was injected: the process may exit with an error


class SimProcess(Process):
    """A process as its supervisor sees it."""

    def __init__(self, kernel: Kernel, lifetime: SimLifetime) -> None:
        self._kernel, self.lifetime = kernel, lifetime
        self.console: tuple[str, int] | None = None

    @property
    def returncode(self) -> int | None:
        """The exit code, negative for a signal; None while the process runs."""
        return self.lifetime.exit_future.result() if self.lifetime.exit_future.done() else None

    async def wait(self) -> int:
        """Wait for the process to end; return its exit code."""
        return await asyncio.shield(self.lifetime.exit_future)

    def send_signal(self, signal: int) -> None:
        """Send a signal: its handler runs as the next step. Without one, SIGTERM ends the process."""
        lifetime = self.lifetime
        if signal in lifetime.handlers:
            self._kernel.loop.call_soon(lifetime.handlers[signal], context=lifetime.context.copy())
        elif signal in (9, 15):
            self._kernel.end(lifetime, -signal)

    def kill(self) -> None:
        """Kill the process (SIGKILL)."""
        self._kernel.kill(self.lifetime)


def edit_classes(classes: list[dict[str, Any]], edit: str, number: int) -> None:
    """Make a settings change that no rule depends on: an additional class, or target times cut by a tenth."""
    if edit == "classes":
        classes.append(classes[0] | {"name": f"more-{number}"})
    for cls in classes if edit == "deadlines" else ():
        cls["aim_us"] = max(1, cls["aim_us"] * 9 // 10)


class SimRelay(ManagedRelay):
    """A relay across its restarts, on a machine of its own."""

    def __init__(
        self,
        name: str,
        kernel: Kernel,
        machine: Machine,
        writer: rec.RecordWriter,
        config: Callable[[], dict[str, Any]],
    ) -> None:
        super().__init__(name, kernel.net.allocate_address(), writer, config)
        self.kernel, self.machine, self.has_console = kernel, machine, False
        self.processes: list[SimProcess] = []
        self.config_edits: list[str] = []  # changes made by operators: "classes" or "deadlines"

    def write_config(self) -> None:
        self.machine.disk.install_file(CONFIG, self.config_bytes())

    def config_bytes(self) -> bytes:
        raw = json.loads(super().config_bytes())
        for number, edit in enumerate(self.config_edits):
            edit_classes(raw["settings"]["request_classes"], edit, number)
        return json.dumps(raw).encode()

    def reload(self, event: EventTable) -> None:
        """Replace the settings file as the event says, and send SIGHUP unless ``event.unsaid``."""
        if event.file in ("classes", "deadlines"):
            self.config_edits.append(event.file)
        content = self.config_bytes()
        self.machine.disk.install_file(
            CONFIG, content[: len(content) // 2] if event.file == "broken" else content
        )
        if not event.unsaid:
            self.send_sighup(event.back)

    def send_sighup(self, last: bool) -> None:
        """Send SIGHUP to the current process, or to the one started ``last``."""
        process = self.processes[-1] if last and self.processes else self.process
        if process is not None and process.returncode is None:
            self.record_event("hup")
            process.send_signal(signal.SIGHUP)

    async def spawn(self) -> SimProcess:
        if self.has_console:
            self.machine.console = self.kernel.net.allocate_address()
        process = self.kernel.start(self.machine, self.starts)
        process.console = self.machine.console
        self.processes.append(process)
        return process

    @property
    def leaks(self) -> list[str]:
        """What its processes left open at an orderly shutdown."""
        return [item for process in self.processes for item in process.lifetime.leaks]

    @property
    def crashes(self) -> list[str]:
        """Processes that ended by themselves without an order, an injected kill or a disk fault."""
        ends = [(process.lifetime, process.returncode) for process in self.processes]
        return [f"{lifetime.name} life {lifetime.number} ended with {code}" for lifetime, code in ends
                if code not in (0, -9, None) and not lifetime.disk_failed]  # fmt: skip

    async def kill(self) -> None:
        """Kill all processes of the relay (SIGKILL)."""
        for process in self.processes:
            if process is not self.process:
                process.kill()
        await super().kill()

    async def set_disabled(self, host: str, out: bool) -> bool:
        """Disable (``out``) or enable a host at the console of any running process, drawn at random."""
        alive = [p.console for p in self.processes if p.returncode is None and p.console is not None]
        if not alive:
            return False
        target = f"/hosts/{'disable' if out else 'enable'}?name={host}"
        return await console_request(self.kernel.net.rng.choice(alive), "POST", target) == 200

    def owning_lifetime(self) -> Lifetime | None:
        """The process that holds the lock on the state folder's ``owner`` file."""
        return self.machine.disk.lock_holder(STATE / "owner")

    def delete_state(self) -> None:
        self.machine.disk.wipe()
        self.machine.boot_count += 1

    def cut_power(self) -> None:
        """Cut the machine's power and restart it; synced data survives, unsynced data perhaps."""
        self.record_event("kill", "power")
        for process in self.processes:
            process.kill()
        self.machine.disk.crash()
        self.machine.boot_count += 1
