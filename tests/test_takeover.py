"""A process that takes over goes by what is in force then, not by what it read when it started.

Two real processes on one folder, and a reload between the second's start and its take-over. `deaf` lets
neither hear of the other's SIGHUP, as on a full disk: only what is handed over, or the file, can tell.
"""

from __future__ import annotations

import json
import os
import random
import signal
from pathlib import Path
from typing import Any

import pytest

from mallowlug import config
from mallowlug.core.handover import HandoverState
from mallowlug.system import POSIX
from mallowlug.upgrade import handover_file
from tests.test_upgrade import Process, beside, served, until_ready
from tests.world import CLASS_DEFAULTS, CLASSES, Client, World, http_request, silent, soon

NEW: dict[str, Any] = {
    "name": "new",
    "effect": "unsafe",
    "key_scope": "all",
    "dedup_window_us": 0,
    **CLASS_DEFAULTS,
}


def deaf(world: World) -> None:
    """Nothing can be written where processes tell each other of a SIGHUP."""
    (world.state / "hup").mkdir()


async def in_line(world: World) -> tuple[Process, int]:
    """A second process that waits, as the first one stands still."""
    assert world.process is not None
    os.kill(world.process.pid, signal.SIGSTOP)
    process, console = await beside(world)
    await until_ready(console, False)
    return process, console


def go_on(world: World) -> None:
    """The first process goes on; signals that came meanwhile are there at once."""
    assert world.process is not None
    os.kill(world.process.pid, signal.SIGCONT)


async def loaded(console: int, name: str = "conf_loaded_total") -> None:
    """Wait until a process has taken a file, or turned it down."""

    async def counted() -> None:
        while f"relay_{name} 1\n" not in (await http_request(console, "GET", "/metrics"))[1]:
            pass

    await soon(counted())


async def ends_at_the_new_address(world: World, client: Client, ref: str, cls: str = "unsafe") -> None:
    """An unsafe message whose call breaks has its end told at the address that is in force."""
    world.hosts["h1"].default = lambda request: request.reset()
    assert await client.submit(ref, cls) == b"+OK"
    assert await world.directory.notice(ref) == {"ref": ref, "result": "dead"}


def break_file(world: World) -> None:
    """The file is cut off in the middle; nobody is told."""
    path = world.folder / "config.json"
    path.write_text(path.read_text(encoding="utf-8")[:200], encoding="utf-8")


@pytest.mark.parametrize("broken", [False, True])
async def test_a_reload_in_between_counts_by_address_and_by_settings(world: World, broken: bool) -> None:
    """Where the file is broken by then, the former process's settings go over, and its address."""
    client, console = await served(world, "h1")
    host, old = world.hosts["h1"], world.directory
    host.default = silent
    await client.submit("m0", "unsafe")
    await host.call(0)  # it is out, so the first process does not hand over at once
    deaf(world)
    process, second = await in_line(world)
    await world.move_directory()
    world.settings["request_classes"] = [*CLASSES, NEW]
    await world.reload()
    go_on(world)
    if broken:
        await loaded(console)
        break_file(world)
    await until_ready(second)
    world.former_process, world.process = world.process, process  # type: ignore[assignment]
    world.other_processes.append(world.former_process)
    world.former_process.kill()
    await world.former_process.wait()
    await ends_at_the_new_address(world, await world.client(), "m1", "new")
    assert all(notice["ref"] != "m1" for notice in old.notices)


async def test_where_nothing_was_handed_over_the_file_counts(world: World) -> None:
    """The first process is killed as it stands still: it never heard of the file, nor told of it."""
    await served(world, "h1")
    deaf(world)
    process, second = await in_line(world)
    await world.move_directory()
    world.settings["request_classes"] = [*CLASSES, NEW]
    world.environment()
    assert world.process is not None
    world.process.kill()
    await world.process.wait()
    await until_ready(second)
    world.process = process
    await ends_at_the_new_address(world, await world.client(), "m1", "new")


async def test_a_file_broken_with_nobody_left_to_ask_leaves_it_as_it_started(world: World) -> None:
    await served(world, "h1")
    deaf(world)
    process, second = await in_line(world)
    break_file(world)
    assert world.process is not None
    world.process.kill()
    await world.process.wait()
    await until_ready(second)
    world.process = process
    await ends_at_the_new_address(world, await world.client(), "m1")


async def test_a_process_in_line_hears_of_a_file_that_is_broken_later(world: World) -> None:
    """The first process took it, and is killed; the file is cut off meanwhile."""
    _, console = await served(world, "h1")
    world.hosts["h1"].default = silent
    client = await world.client()
    await client.submit("m0", "unsafe")
    await world.hosts["h1"].call(0)
    process, second = await beside(world)  # it waits for that call, 1.2 s at most
    await until_ready(second, False)
    await world.move_directory()
    world.settings["request_classes"] = [*CLASSES, NEW]
    await world.reload()
    await loaded(console)
    assert world.process is not None

    async def heard() -> None:
        while not (world.state / "hup").exists():
            pass

    await soon(heard())
    world.process.kill()
    await world.process.wait()
    await until_ready(second)
    break_file(world)
    world.process = process
    await ends_at_the_new_address(world, await world.client(), "m1", "new")


async def test_the_way_back_counts_what_the_later_process_was_told(world: World) -> None:
    """It got a SIGHUP as the owner, which the first, a door, could not hear of, and is killed."""
    _, console = await served(world, "h1")
    deaf(world)
    process, second = await beside(world)
    await until_ready(second)
    await world.move_directory()
    world.settings["request_classes"] = [*CLASSES, NEW]
    world.environment()
    process.send_signal(signal.SIGHUP)
    await loaded(second)
    process.kill()
    await process.wait()

    async def owner_again() -> Client:
        while True:
            try:
                client = await world.client()
                if await client.submit("m0", "new") == b"+OK":
                    return client
            except OSError:  # a connection that the process that is gone had not taken yet
                pass

    client = await soon(owner_again())
    await until_ready(console)
    await ends_at_the_new_address(world, client, "m1", "new")


async def test_what_a_reload_put_aside_passes_on_though_the_disk_did_not_take_it(world: World) -> None:
    """Both were started with the address that was left, in their environment."""
    (world.state / config.OVERRULED).mkdir()
    world.environment_variables["ROUTER_DISCOVERY"] = f"127.0.0.1:{world.directory.port}"
    _, console = await served(world, "h1")
    await world.move_directory()
    await world.reload()
    await loaded(console)
    process, second = await beside(world)
    await until_ready(second)
    assert world.process is not None
    world.process.kill()
    await world.process.wait()
    world.process = process
    await ends_at_the_new_address(world, await world.client(), "m1")


def configured(folder: Path, monkeypatch: pytest.MonkeyPatch, **changes: Any) -> config.Config:
    """A world's file with these keys changed, read."""
    world = World(folder)
    for name, value in world.environment().items():
        monkeypatch.setenv(name, value)
    path = folder / "config.json"
    raw = json.loads(path.read_text(encoding="utf-8")) | {"discovery": "127.0.0.1:1"} | changes
    path.write_text(json.dumps(raw), encoding="utf-8")
    return config.load(POSIX)


def test_a_file_that_lacks_what_is_in_force_counts_only_if_this_process_started_with_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("ROUTER_CONSOLE", "127.0.0.1:9")
    held = configured(tmp_path, monkeypatch, extra={"of": "a later version"})
    own = configured(tmp_path, monkeypatch)
    assert config.load_again(POSIX, own, held).told == own.told
    started = configured(tmp_path, monkeypatch, extra={"of": "another"})
    configured(tmp_path, monkeypatch)
    with pytest.raises(config.ConfigError, match="missing extra"):
        config.load_again(POSIX, started, held)


@pytest.mark.parametrize("text", ["", "[]", "{}", '{"settings": 1}', "nonsense", '{"discovery": "x"}'])
def test_what_was_handed_over_may_be_absurd(
    text: str, monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    configured(tmp_path, monkeypatch)
    with pytest.raises(config.ConfigError):
        config.in_force(POSIX, text, "127.0.0.1:1", "")


def test_what_is_in_force_goes_over_whole_or_not_at_all(tmp_path: Path) -> None:
    """The list is left out before it; only where it alone is too long the file has to do."""
    rng = random.Random(1)  # what nothing makes shorter
    rows = {
        dest: [[rng.randbytes(512).hex(), "127.0.0.1", 80, "a", "k", "ready", 1.0, False]]
        for dest in range(1000)
    }
    assert handover_file.keep(
        tmp_path, POSIX.disk, HandoverState(seq=7, rows=rows, config="x" * 9000, discovery="a:1")
    )
    found = handover_file.take(tmp_path, POSIX.disk)
    assert found is not None and (found.config, found.rows, found.seq) == ("x" * 9000, {}, -1)
    assert handover_file.keep(
        tmp_path, POSIX.disk, HandoverState(waits={"h": 5}, config=rng.randbytes(200_000).hex())
    )
    found = handover_file.take(tmp_path, POSIX.disk)
    assert found is not None and (found.config, found.waits) == ("", {"h": 5})
