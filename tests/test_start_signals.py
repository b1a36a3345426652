"""Signals at moments drawn over a relay's start, on real processes that the deploy file's line starts."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import time
import tomllib
from collections.abc import AsyncIterator
from copy import deepcopy
from pathlib import Path

import pytest

from tests.world import CLASSES, ROOT, Client, World, soon

SEED, MOMENTS, AT_ONCE = 69, 30, 6
LATEST_S = 1.0  # behind the start of the relay's program
NEW_CLASS = {**CLASSES[1], "name": "signalled"}


def run_line() -> str:
    """Return the deploy file's line, with the interpreter of the tests."""
    with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
        line = str(tomllib.load(file)["run"])
    assert ".venv/bin/python" in line
    return line.replace(".venv/bin/python", sys.executable)


async def program_began(process: asyncio.subprocess.Process) -> None:
    """Wait until the shell has made way for the relay's program."""

    async def replaced() -> None:
        while b"mallowlug" not in Path(f"/proc/{process.pid}/cmdline").read_bytes().split(b"\0"):
            await asyncio.sleep(0.001)

    await soon(replaced())


async def start(world: World) -> asyncio.subprocess.Process:
    """Start a relay as the platform does, and wait until its program has begun."""
    process = world.process = await asyncio.create_subprocess_exec(
        "/bin/sh", "-c", run_line(), cwd=ROOT, env=world.environment()
    )
    await program_began(process)
    return process


async def send_at(
    process: asyncio.subprocess.Process, number: signal.Signals, moments_s: list[float]
) -> None:
    """Send a signal at moments behind now."""
    began_s = time.monotonic()
    for moment_s in sorted(moments_s):
        await asyncio.sleep(max(0.0, began_s + moment_s - time.monotonic()))
        process.send_signal(number)


@pytest.fixture
async def worlds(world: World, tmp_path: Path) -> AsyncIterator[list[World]]:
    """Relays with folders of their own behind one directory; none is started."""
    others = []
    for number in range(MOMENTS):
        other = World(tmp_path / f"n{number}")
        other.folder.mkdir()
        other.state.mkdir()
        other.directory, other.hosts = world.directory, world.hosts
        other.settings["request_classes"] = deepcopy(CLASSES)
        others.append(other)
    yield others
    for other in others:
        if other.process is not None and other.process.returncode is None:
            await other.kill()


async def take_signalled_class(world: World, moments_s: list[float]) -> bytes:
    """Change the file and send SIGHUP during the start; return the answer to a message of the new class."""
    process = await start(world)
    delay_s, *later_s = sorted(moments_s)
    await asyncio.sleep(delay_s)
    world.settings["request_classes"].append(NEW_CLASS)
    world.environment()
    process.send_signal(signal.SIGHUP)
    await send_at(process, signal.SIGHUP, [at_s - delay_s for at_s in later_s])
    client: Client = await world.client()
    assert await client.command(b"PING") == b"+PONG"

    async def known() -> bytes:
        while (answer := await client.submit("m1", "signalled")).startswith(b"-ERR"):
            assert process.returncode is None
            await asyncio.sleep(0.01)
        return answer

    return await soon(known())


@pytest.mark.parametrize("series", [1, 3], ids=["alone", "in series"])
async def test_a_change_signalled_during_the_start_is_in_force_and_ends_no_relay(
    worlds: list[World], series: int
) -> None:
    """Review case 3: a SIGHUP ended a relay that was still importing its program."""
    rng = random.Random(SEED)
    drawn = [[rng.uniform(0, LATEST_S) for _ in range(series)] for _ in worlds]
    for first in range(0, MOMENTS, AT_ONCE):
        group = range(first, first + AT_ONCE)
        answers = await asyncio.gather(*(take_signalled_class(worlds[n], drawn[n]) for n in group))
        assert set(answers) <= {b"+OK", b"-BUSY 2000"}
        for number in group:
            process = worlds[number].process
            assert process is not None and process.returncode is None
            await worlds[number].kill()


async def holds_signals(process: asyncio.subprocess.Process) -> None:
    """Wait until a process holds SIGTERM back (Linux, proc(5))."""

    async def held() -> None:
        while True:
            status = Path(f"/proc/{process.pid}/status").read_text(encoding="ascii")
            blocked = int(status.split("SigBlk:")[1].split()[0], 16)
            if blocked & 1 << signal.SIGTERM - 1:
                return
            await asyncio.sleep(0.001)

    await soon(held())


async def test_a_termination_during_the_start_ends_the_relay_with_code_0(worlds: list[World]) -> None:
    """It takes nothing on then; the next process with its folder serves."""
    rng = random.Random(SEED)

    async def terminate(world: World) -> int:
        process = await start(world)
        await holds_signals(process)
        await send_at(process, signal.SIGTERM, [rng.uniform(0, LATEST_S / 3)])
        return await soon(process.wait())

    for first in range(0, MOMENTS, AT_ONCE):
        group = worlds[first : first + AT_ONCE]
        assert await asyncio.gather(*map(terminate, group)) == [0] * AT_ONCE
    client = await worlds[0].run()
    assert await client.submit("m1") in (b"+OK", b"-BUSY 2000")


async def test_a_command_can_be_interrupted(world: World) -> None:
    """Only the relay holds signals back, until it can handle them."""
    out = world.folder / "out"
    command = ("-m", "mallowlug", "rig", "run", "scenarios/calm.toml", "--out", str(out))
    process = await asyncio.create_subprocess_exec(
        sys.executable, *command, cwd=ROOT, stdout=asyncio.subprocess.DEVNULL
    )

    async def started() -> None:
        while not out.exists():
            assert process.returncode is None
            await asyncio.sleep(0.05)

    await soon(started())
    process.send_signal(signal.SIGTERM)
    assert await soon(process.wait()) != 0
