"""Starts, signals and kills the relays under test, each a process with its own folder."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import sys
from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any, Protocol

from mallowlug.rig.judge import record as rec
from mallowlug.rig.world.httpd import random_loopback

ROOT = Path(__file__).resolve().parents[3]
MAX_STARTS = 5
READY_S = 30.0  # s within which a relay must answer PING
TERM_TIMEOUT_S = 3.7  # s from SIGTERM to SIGKILL
PING = b"*1\r\n$4\r\nPING\r\n"
DEFAULT_COMMAND = (sys.executable, "-m", "mallowlug")


class RelayError(Exception):
    """A relay did not become ready."""


def free_address() -> tuple[str, int]:
    """Return a free address, which a relay keeps over all restarts."""
    with socket.socket() as sock:
        sock.bind((random_loopback(), 0))
        found: tuple[str, int] = sock.getsockname()
        return found


async def console_request(console: tuple[str, int], method: str, target: str) -> int:
    """Send a console request; return its status, or 0 if there is no answer within a second."""
    with contextlib.suppress(OSError, TimeoutError, IndexError, ValueError):
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(*console)
            writer.write(f"{method} {target} HTTP/1.1\r\nHost: console\r\n\r\n".encode())
            answer = await reader.read()
            writer.close()
            return int(answer.split(b" ", 2)[1])
    return 0


class Process(Protocol):
    """The interface of a running process; ``asyncio.subprocess.Process`` implements it."""

    @property
    def returncode(self) -> int | None:
        """The exit code, negative for a signal; None while it runs."""

    async def wait(self) -> int:
        """Wait for its exit; return the exit code."""

    def send_signal(self, signal: int) -> None:
        """Send a signal."""

    def kill(self) -> None:
        """Send SIGKILL."""


class ManagedRelay(ABC):
    """One relay over all its restarts: its current process, and how to start, signal and stop it."""

    def __init__(
        self,
        name: str,
        address: tuple[str, int],
        writer: rec.RecordWriter,
        config: Callable[[], dict[str, Any]],
    ) -> None:
        self.name, self.address, self._writer, self._config = name, address, writer, config
        self.starts = 0
        self.process: Process | None = None
        # Held to start or stop it: otherwise two processes could be started.
        self.lifecycle_lock = asyncio.Lock()

    def record_event(self, what: Any, detail: str = "") -> None:
        """Record an event of the process."""
        self._writer.add(rec.ProcessEvent(self._writer.now, self.name, what, detail))

    def config_bytes(self) -> bytes:
        """Return the current contents of the configuration file."""
        config = self._config() | {"name": self.name, "listen": "{}:{}".format(*self.address)}
        return json.dumps(config).encode()

    @abstractmethod
    def write_config(self) -> None:
        """Write the configuration file where the relay reads it."""

    @abstractmethod
    async def spawn(self) -> Process:
        """Start a new process."""

    async def set_disabled(self, host: str, out: bool) -> bool:
        """Disable or enable a host at the relay's console; return whether it confirmed."""
        raise NotImplementedError(host)

    @abstractmethod
    def delete_state(self) -> None:
        """Delete the state folder, as with the loss of a machine."""

    async def start(self) -> None:
        """Start it and wait until it answers; raise ``RelayError`` if it does not."""
        self.write_config()
        self.record_event("start")
        self.process = await self.spawn()
        self.starts += 1
        if not await self._ready(self.process):
            raise RelayError(f"{self.name} did not become ready; see its log")

    async def start_with_retries(self, pause_s: float) -> int:
        """Start it, and restart it if it exits before it answers; return the number of such exits.

        Raises ``RelayError`` if it hangs, or has exited ``MAX_STARTS`` times.
        """
        for ended in range(MAX_STARTS):
            try:
                await self.start()
                return ended
            except RelayError:
                if self.process is None or self.process.returncode is None:
                    raise
                await self.wait_for_exit()
                await asyncio.sleep(pause_s)
        raise RelayError(f"{self.name} exited {MAX_STARTS} times before it answered")

    async def _ready(self, process: Process) -> bool:
        loop = asyncio.get_running_loop()
        last_s = loop.time() + READY_S
        while loop.time() < last_s and process.returncode is None:
            try:
                reader, writer = await asyncio.open_connection(*self.address)
                writer.write(PING)
                async with asyncio.timeout(1.0):
                    answer = await reader.readline()
                writer.close()
                if answer == b"+PONG\r\n":
                    self.record_event("ready")
                    return True
            except (OSError, TimeoutError):
                await asyncio.sleep(0.02)
        return False

    async def wait_for_exit(self) -> int:
        """Wait for the process to exit and record it."""
        assert self.process is not None
        code = await self.process.wait()
        self.record_event("exit", str(code))
        return code

    async def kill(self) -> None:
        """Send SIGKILL and wait for the exit."""
        await self._stop(signal.SIGKILL, "kill")

    async def _stop(self, number: signal.Signals, what: str) -> None:
        if self.process is None or self.process.returncode is not None:
            return
        self.record_event(what)
        self.process.send_signal(number)
        try:
            async with asyncio.timeout(TERM_TIMEOUT_S):
                await self.process.wait()
        except TimeoutError:
            self.process.kill()
        await self.wait_for_exit()

    async def term(self) -> None:
        """Send SIGTERM, and SIGKILL after ``TERM_TIMEOUT_S``."""
        await self._stop(signal.SIGTERM, "term")

    def hup(self) -> None:
        """Rewrite the configuration file and send SIGHUP."""
        if self.process is not None and self.process.returncode is None:
            self.write_config()
            self.record_event("hup")
            self.process.send_signal(signal.SIGHUP)

    def wipe(self) -> None:
        """Delete the state folder, as with the loss of a machine."""
        self.delete_state()
        self.record_event("wiped")


class RelayProcess(ManagedRelay):
    """A relay in a local process, with a state folder that survives restarts."""

    def __init__(
        self,
        name: str,
        folder: Path,
        writer: rec.RecordWriter,
        config: Callable[[], dict[str, Any]],
        *,
        command: Sequence[str] = DEFAULT_COMMAND,
        environment: Callable[[int], dict[str, str]] = lambda _life: {},
    ) -> None:
        super().__init__(name, free_address(), writer, config)
        self.folder, self.command, self._environment = folder, tuple(command), environment
        self.state = folder / "state"
        self.state.mkdir(parents=True)

    def write_config(self) -> None:
        (self.folder / "config.json").write_bytes(self.config_bytes())

    async def spawn(self) -> Process:
        settings = {"ROUTER_CONFIG": str(self.folder / "config.json"), "ROUTER_STATE": str(self.state)}
        extra = self._environment(self.starts)
        with (self.folder / "log").open("ab") as log:
            return await asyncio.create_subprocess_exec(
                *self.command, cwd=ROOT, env=os.environ | settings | extra, stderr=log, stdout=log
            )

    def delete_state(self) -> None:
        shutil.rmtree(self.state)
        self.state.mkdir()
