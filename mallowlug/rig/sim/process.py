"""Relays in the simulation: the real program from its composition root down, one life after another.

A life ends as a process does: at once, wherever it is, with all its handles and descriptors; what it wrote
stays on its machine's disk. A system call can be the last thing that a life does, or fail.
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
from mallowlug.rig.sim.loop import LIFE, Killed, Life, SimLoop, vars_of
from mallowlug.rig.sim.net import Network, SimSocket, failure
from mallowlug.rig.world.scenario import EventTable, StrikeTable

EPOCH_NS = 1_750_000_000 * 10**9  # the wall clock's time when the simulation's monotonic clock shows 0
CONFIG, STATE = Path("/config.json"), Path("/state")
ERRNO = {"ENOSPC": 28, "EIO": 5}


class LifeLog(logging.Handler):
    """Each life's log lines, by simulated time."""

    def __init__(self, loop: SimLoop) -> None:
        super().__init__(logging.INFO)
        self._loop = loop
        self.lines: dict[str, list[str]] = {}  # by relay

    def emit(self, record: logging.LogRecord) -> None:
        if (life := LIFE.get()) is not None and life.alive:
            line = f"{self._loop.now_s:.6f} {life.number} {record.levelname} {record.getMessage()}"
            self.lines.setdefault(life.name, []).append(line)


@dataclass(slots=True)
class Machine:
    """What outlasts a relay's lives: its disk and its wall clock."""

    name: str
    disk: SimDisk
    extras: config.Extras
    wall_off_ns: int = 0
    boots: int = 1
    fills: int = 0  # reasons for which its disk takes nothing now
    console: tuple[str, int] | None = None  # of the life that is started next; None: it has none


class SimSystem:
    """The operating system that one life is given."""

    def __init__(self, loop: SimLoop, net: Network, machine: Machine) -> None:
        self._loop, self._net, self._machine = loop, net, machine
        self.environ: Mapping[str, str] = {"ROUTER_CONFIG": str(CONFIG), "ROUTER_STATE": str(STATE)}
        if machine.console is not None:
            self.environ = {**self.environ, "ROUTER_CONSOLE": "{}:{}".format(*machine.console)}
        self.disk = machine.disk

    def wall_ns(self) -> int:
        """The machine's wall clock, which may have jumped."""
        return EPOCH_NS + int(self._loop.now_s * 1e6) * 1000 + self._machine.wall_off_ns

    def boot(self) -> str:
        """What names this run of the machine."""
        return f"boot-{self._machine.boots}"

    def stream(self, family: int) -> socket.socket:
        """A simulated socket."""
        return cast(socket.socket, self._net.stream(family))

    def listener(self, address: tuple[str, int], shared: bool = False) -> socket.socket:
        """A simulated socket that listens."""
        life = LIFE.get()
        assert isinstance(life, SimLife)
        life.calls_to_listen = life.calls
        return cast(socket.socket, self._net.listener(address, shared))

    def datagram(self, address: tuple[str, int]) -> socket.socket:
        """A simulated UDP socket."""
        return cast(socket.socket, self._net.datagram(address))

    def steer(self, sock: socket.socket) -> bool:
        """New connections come to the later one of two sockets."""
        self._net.steer(cast(SimSocket, sock))
        return True


def name_of(call: str, data: bytes) -> str:
    """A system call's name for those who count what was struck: with what it writes."""
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
class Struck:
    """A strike that fell."""

    at_us: int
    relay: str
    life: int
    point: str


class Kernel:
    """Counts the system calls and steps of every life, and strikes where it was told to."""

    def __init__(self, loop: SimLoop, net: Network, strikes: Sequence[StrikeTable]) -> None:
        self.loop, self.net = loop, net
        self._strikes = strikes
        self.struck: list[Struck] = []
        self.told: Callable[[Struck], None] = lambda _struck: None

    def enter(self, life: SimLife, call: str, data: bytes) -> str:
        """A life makes a system call: how it is to end; ``Killed`` or ``OSError`` where it does not begin."""
        life.calls += 1
        if not life.strikes:
            return ""
        name = name_of(call, data)
        life.by_call.update({call, name})
        for strike in life.strikes:
            count = life.by_call[strike.call] if strike.call else life.calls
            if strike.unit == "call" and strike.call in ("", call, name) and strike.at == count:
                return self._strike(life, strike, name)
        return ""

    def _strike(self, life: SimLife, strike: StrikeTable, name: str) -> str:
        if strike.what == "kill":
            self._note(life, f"{name}.{strike.when}")
            if strike.when == "before":
                self.kill(life)
                raise Killed
            return strike.when
        self._note(life, f"{name}.{strike.what}")
        life.excused = True
        if strike.what == "short":
            return "short"
        raise failure(ERRNO[strike.what])

    def _note(self, life: SimLife, point: str) -> None:
        found = Struck(int(self.loop.now_s * 1e6), life.name, life.number, point)
        self.struck.append(found)
        self.told(found)

    def start(self, machine: Machine, number: int) -> SimProcess:
        """The next life of a machine's relay."""
        mine = [s for s in self._strikes if f"n{s.relay}" == machine.name and s.life == number]
        life = SimLife(machine, number, mine)
        life.enter, life.die = partial(self.enter, life), partial(self.kill, life)
        steps = {strike.at for strike in mine if strike.unit == "step"}
        if steps:
            life.before_step = lambda: self._step(life, steps)
        process = SimProcess(self, life)
        life.context = copy_context()
        life.context.run(LIFE.set, life)
        system = SimSystem(self.loop, self.net, machine)
        life.context.run(self.loop.create_task, self._main(life, system))
        return process

    def _step(self, life: SimLife, steps: set[int]) -> None:
        if life.steps in steps:
            self._note(life, "step")
            self.kill(life)

    async def _main(self, life: SimLife, system: SimSystem) -> None:
        """What ``mallowlug run`` does, and the end of the process behind it."""
        try:
            code = await serve(config.load(system), system, life.machine.extras)
        except config.ConfigError as error:
            logging.getLogger("mallowlug").critical("configuration: %s", error)
            code = 2
        except Exception:
            logging.getLogger("mallowlug").exception("the process broke")
            code = 1
        me = asyncio.current_task()
        rest = [task for task in life.tasks if task is not me]
        for task in rest:
            task.cancel()
        await asyncio.gather(*rest, return_exceptions=True)
        life.left = [f"socket {sock.state}" for sock in life.sockets.values() if sock.state == "listening"]
        life.left += [f"task {task.get_name()}" for task in life.tasks if task is not me and not task.done()]
        self.end(life, code)

    def kill(self, life: SimLife) -> None:
        """SIGKILL."""
        self.end(life, -signal.SIGKILL)

    def end(self, life: SimLife, code: int) -> None:
        """The process is gone; what it held the kernel closes."""
        if not life.alive:
            return
        life.alive = False
        self.loop.forget(life)
        self.net.vanish(life)
        life.machine.disk.release(life)
        for task in list(life.tasks):
            vars_of(task)._log_destroy_pending = False
            # Its coroutines are unwound now, in order, where nothing that they do has an effect any more;
            # left to the garbage collector they would be at any time. One that is running unwinds by itself.
            with contextlib.suppress(RuntimeError, ValueError, Killed):
                life.context.copy().run(vars_of(task.get_coro()).close)
        if not life.over.done():
            life.over.set_result(code)


class SimLife(Life):
    """A life with its machine and what is to strike it."""

    def __init__(self, machine: Machine, number: int, strikes: Sequence[StrikeTable]) -> None:
        super().__init__(machine.name, number)
        self.machine, self.strikes = machine, tuple(strikes)
        self.calls, self.by_call = 0, Counter[str]()
        self.calls_to_listen = 0  # system calls before it could take anything on
        self.context = copy_context()
        self.over: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self.left: list[str] = []  # what was not closed at an orderly end
        self.excused = False  # its disk failed: it may give up, and say so


class SimProcess(Process):
    """A life as its supervisor sees it."""

    def __init__(self, kernel: Kernel, life: SimLife) -> None:
        self._kernel, self.life = kernel, life
        self.console: tuple[str, int] | None = None

    @property
    def returncode(self) -> int | None:
        """Its exit code, negative for a signal; None while it runs."""
        return self.life.over.result() if self.life.over.done() else None

    async def wait(self) -> int:
        """Wait for its end; the exit code."""
        return await asyncio.shield(self.life.over)

    def send_signal(self, signal: int) -> None:
        """Signal it: its handler runs as its next step; without one SIGTERM ends it and SIGHUP is ignored."""
        life = self.life
        if signal in life.handlers:
            self._kernel.loop.call_soon(life.handlers[signal], context=life.context.copy())
        elif signal in (9, 15):
            self._kernel.end(life, -signal)

    def kill(self) -> None:
        """SIGKILL."""
        self._kernel.kill(self.life)


def edited(classes: list[dict[str, Any]], edit: str, number: int) -> None:
    """Change settings in a way that no rule depends on: one class more, or aims a little shorter."""
    if edit == "classes":
        classes.append(classes[0] | {"name": f"more-{number}"})
    for cls in classes if edit == "deadlines" else ():
        cls["aim_us"] = max(1, cls["aim_us"] * 9 // 10)


class SimRelay(ManagedRelay):
    """A relay over all its lives, on a machine of its own."""

    def __init__(
        self,
        name: str,
        kernel: Kernel,
        machine: Machine,
        writer: rec.Writer,
        config: Callable[[], dict[str, Any]],
    ) -> None:
        super().__init__(name, kernel.net.address(), writer, config)
        self.kernel, self.machine, self.staffed = kernel, machine, False  # staffed: its lives have a console
        self.processes: list[SimProcess] = []
        self.edits: list[str] = []  # what staff have changed in its settings: classes, deadlines

    def write_config(self) -> None:
        self.machine.disk.put(CONFIG, self.config_bytes())

    def config_bytes(self) -> bytes:
        raw = json.loads(super().config_bytes())
        for number, edit in enumerate(self.edits):
            edited(raw["settings"]["request_classes"], edit, number)
        return json.dumps(raw).encode()

    def reload(self, event: EventTable) -> None:
        """Staff put another file in place and tell one of its processes, as the event says."""
        if event.file in ("classes", "deadlines"):
            self.edits.append(event.file)
        whole = self.config_bytes()
        self.machine.disk.put(CONFIG, whole[: len(whole) // 2] if event.file == "broken" else whole)
        if not event.unsaid:
            self.signal_hup(event.back)

    def signal_hup(self, last: bool) -> None:
        """SIGHUP to the process that its supervisor goes by, or to the ``last`` one that was started."""
        process = self.processes[-1] if last and self.processes else self.process
        if process is not None and process.returncode is None:
            self.record_event("hup")
            process.send_signal(signal.SIGHUP)

    async def spawn(self) -> SimProcess:
        if self.staffed:
            self.machine.console = self.kernel.net.address()
        process = self.kernel.start(self.machine, self.starts)
        process.console = self.machine.console
        self.processes.append(process)
        return process

    @property
    def left(self) -> list[str]:
        """What its lives left open at an orderly end."""
        return [item for process in self.processes for item in process.life.left]

    @property
    def crashes(self) -> list[str]:
        """Lives that ended by themselves, and not by an order, a strike or a failing disk."""
        ends = [(process.life, process.returncode) for process in self.processes]
        return [f"{life.name} life {life.number} ended with {code}" for life, code in ends
                if code not in (0, -9, None) and not life.excused]  # fmt: skip

    async def kill(self) -> None:
        """SIGKILL, to all processes that it has."""
        for process in self.processes:
            if process is not self.process:
                process.kill()
        await super().kill()

    async def set_disabled(self, host: str, out: bool) -> bool:
        """At the console of any process that it has now."""
        alive = [p.console for p in self.processes if p.returncode is None and p.console is not None]
        if not alive:
            return False
        target = f"/hosts/{'disable' if out else 'enable'}?name={host}"
        return await console_request(self.kernel.net.rng.choice(alive), "POST", target) == 200

    def owner(self) -> Life | None:
        """Which life holds the lock of the folder's owner, as the kernel knows."""
        return self.machine.disk.holder(STATE / "owner")

    def delete_state(self) -> None:
        self.machine.disk.wipe()
        self.machine.boots += 1

    def cut_power(self) -> None:
        """The machine stops at once and comes back with its disk: what was synced, and perhaps more."""
        self.record_event("kill", "power")
        for process in self.processes:
            process.kill()
        self.machine.disk.crash()
        self.machine.boots += 1
