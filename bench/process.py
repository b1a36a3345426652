"""Starts a process under test on one core and measures its resource usage."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import sys
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import psutil

ROOT = Path(__file__).resolve().parent.parent
READY_TIMEOUT_S = 60.0
PING = b"*1\r\n$4\r\nPING\r\n"
TIMES = {"aim_us": 30_000_000, "deadline_us": 60_000_000, "worth": 1.0, "late_worth": 0.5, "stream": False}


def settings(slots: int, held: int) -> dict[str, Any]:
    """Return relay settings with one keyed class and limits that do not constrain the run."""
    return {
        "allowed": {"cancel": True, "connect_timeout_us": 1_000_000, "keepalive_us": 60_000_000,
                    "max_retry_after_us": 2_000_000, "may_duplicate": True, "most_tries": 6, "open_cap": held,
                    "probes": False, "retry_after": True},
        "discovery": "ask",
        "domain": {"batch_by_kind": [1], "calls_out": slots, "decay": "line", "kind_apart": [True],
                   "toll": [0, 0]},
        "group_size": 1, "machine_types": ["lots"], "over_share_worth": 0.1, "round_us": 5000,
        "weights": "off", "zones": ["z0", "z1"],
        "request_classes": [{"name": "keyed", "effect": "keyed", "key_scope": "all",
                             "dedup_window_us": 60_000_000, **TIMES}],
        "rules": {"ask_within_us": 10_000_000, "cold_from": 0.3, "drain_grace_us": 500_000,
                  "fall_multiple": 1.5, "fall_us": 3_000_000, "grace_to_answer_us": 20_000,
                  "warm_within_us": 10_000_000},
        "accounts": [{"name": "acme", "quota_per_s": 1000.0, "share": 1.0}],
    }  # fmt: skip


def free_port() -> int:
    """Return a free port for a process to bind."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


@dataclass(slots=True)
class ResourceUsage:
    """CPU seconds used by the process, and its memory at the end (USS, kB)."""

    cpu_s: float = 0.0
    memory_kb: int = 0


class Process:
    """A running process under test."""

    def __init__(self, process: asyncio.subprocess.Process, port: int, log: Path) -> None:
        self.port, self.log, self._process = port, log, process
        self._ps = psutil.Process(process.pid)
        self.start_s = 0.0  # from start to the first answer
        self.start_cpu_s = 0.0

    @property
    def cpu_s(self) -> float:
        """CPU seconds since the start."""
        times = self._ps.cpu_times()
        return float(times.user + times.system)

    @property
    def memory_kb(self) -> int:
        """Current memory (USS, kB)."""
        return int(self._ps.memory_full_info().uss // 1024)

    @contextmanager
    def measure_usage(self) -> Iterator[ResourceUsage]:
        """Measure usage within the block; the result is filled in at its end."""
        found, before_s = ResourceUsage(), self.cpu_s
        yield found
        found.cpu_s, found.memory_kb = self.cpu_s - before_s, self.memory_kb

    async def wait_ready(self) -> None:
        """Wait until it answers PING; raise ``RuntimeError`` if it exits or does not answer in time."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        while loop.time() < began_s + READY_TIMEOUT_S and self._process.returncode is None:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(PING)
                async with asyncio.timeout(READY_TIMEOUT_S):
                    if await reader.readline() == b"+PONG\r\n":
                        self.start_s, self.start_cpu_s = loop.time() - began_s, self.cpu_s
                        writer.close()
                        return
            except (OSError, TimeoutError):
                await asyncio.sleep(0.005)
        raise RuntimeError(f"process did not become ready; see {self.log}")

    async def stop(self, kill: bool = False) -> None:
        """Stop the process and wait for its exit."""
        if self._process.returncode is None:
            (self._process.kill if kill else self._process.terminate)()
        await self._process.wait()


@asynccontextmanager
async def running(
    folder: Path, port: int, command: list[str], environ: dict[str, str] | None = None
) -> AsyncIterator[Process]:
    """Run a process pinned to the last core; kill it at the end of the block."""
    core = max(os.sched_getaffinity(0))
    with (folder / "log").open("ab") as log:
        process = await asyncio.create_subprocess_exec(
            sys.executable, *command, cwd=ROOT, env=os.environ | (environ or {}), stdout=log, stderr=log
        )
    found = Process(process, port, folder / "log")
    psutil.Process(process.pid).cpu_affinity([core])
    try:
        await found.wait_ready()
        yield found
    finally:
        await found.stop(kill=True)


def sibling_environment(environ: dict[str, str]) -> dict[str, str]:
    """Return the environment for another process of the same relay, with a console port of its own."""
    return environ | {"ROUTER_CONSOLE": f"127.0.0.1:{free_port()}"}


def relay_config(
    folder: Path, known: dict[str, Any], discovery: int, slots: int, held: int
) -> tuple[int, dict[str, str]]:
    """Write the relay's configuration and create its state folder; return port and environment."""
    port, state = free_port(), folder / "state"
    state.mkdir(parents=True, exist_ok=True)
    config = {
        "name": "bench", "listen": f"127.0.0.1:{port}", "discovery": f"127.0.0.1:{discovery}", "seed": "1",
        "limits": {"cores": 1.0, "memory_mb": 2048, "sockets": 1024, "disk_mb": 400}, "known": known,
        "settings": settings(slots, held),
    }  # fmt: skip
    (folder / "config.json").write_text(json.dumps(config), encoding="utf-8")
    return port, {"ROUTER_CONFIG": str(folder / "config.json"), "ROUTER_STATE": str(state)}
