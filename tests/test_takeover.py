"""A process that takes over applies the configuration in force, not the one that it read at its start.

Two real processes share a folder, and a reload happens between the second's start and its takeover.
`block_sighup_exchange` keeps each from learning of the other's SIGHUP, as a full disk does; the second can
then learn of the reload only from the handover state or the configuration file.
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
from tests.test_upgrade import Process, start_relay, start_second_process, wait_until_ready
from tests.world import CLASS_DEFAULTS, CLASSES, Client, World, http_request, silent, soon

NEW_CLASS: dict[str, Any] = {
    "name": "new",
    "effect": "unsafe",
    "key_scope": "all",
    "dedup_window_us": 0,
    **CLASS_DEFAULTS,
}


def block_sighup_exchange(world: World) -> None:
    """Make the file unwritable by which processes pass a SIGHUP on."""
    (world.state / "hup").mkdir()


async def start_waiting_process(world: World) -> tuple[Process, int]:
    """Stop the first process and start a second one that waits to take over."""
    assert world.process is not None
    os.kill(world.process.pid, signal.SIGSTOP)
    process, console = await start_second_process(world)
    await wait_until_ready(console, False)
    return process, console


def resume_first_process(world: World) -> None:
    """Resume the first process, which then receives pending signals."""
    assert world.process is not None
    os.kill(world.process.pid, signal.SIGCONT)


async def wait_for_metric(console: int, name: str = "conf_loaded_total") -> None:
    """Wait until a process has counted a loaded, or a rejected, file."""

    async def counted() -> None:
        while f"relay_{name} 1\n" not in (await http_request(console, "GET", "/metrics"))[1]:
            pass

    await soon(counted())


async def assert_result_at_new_address(world: World, client: Client, ref: str, cls: str = "unsafe") -> None:
    """Check that a failed message's result is sent to the discovery address in force."""
    world.hosts["h1"].default = lambda request: request.reset()
    assert await client.submit(ref, cls) == b"+OK"
    assert await world.directory.notice(ref) == {"ref": ref, "result": "dead"}


def truncate_config(world: World) -> None:
    """Truncate the configuration file without a signal."""
    path = world.folder / "config.json"
    path.write_text(path.read_text(encoding="utf-8")[:200], encoding="utf-8")


@pytest.mark.parametrize("broken", [False, True])
async def test_reload_before_the_takeover_applies_to_the_new_owner(world: World, broken: bool) -> None:
    """If the file is broken by the takeover, the former owner's settings and address are handed over."""
    client, console = await start_relay(world, "h1")
    host, old = world.hosts["h1"], world.directory
    host.default = silent
    await client.submit("m0", "unsafe")
    await host.call(0)  # an open call delays the handover
    block_sighup_exchange(world)
    process, second = await start_waiting_process(world)
    await world.move_directory()
    world.settings["request_classes"] = [*CLASSES, NEW_CLASS]
    await world.reload()
    resume_first_process(world)
    if broken:
        await wait_for_metric(console)
        truncate_config(world)
    await wait_until_ready(second)
    world.former_process, world.process = world.process, process  # type: ignore[assignment]
    world.other_processes.append(world.former_process)
    world.former_process.kill()
    await world.former_process.wait()
    await assert_result_at_new_address(world, await world.client(), "m1", "new")
    assert all(notice["ref"] != "m1" for notice in old.notices)


async def test_file_applies_when_nothing_was_handed_over(world: World) -> None:
    """The first process is killed while stopped: it neither reloaded the file nor handed anything over."""
    await start_relay(world, "h1")
    block_sighup_exchange(world)
    process, second = await start_waiting_process(world)
    await world.move_directory()
    world.settings["request_classes"] = [*CLASSES, NEW_CLASS]
    world.environment()
    assert world.process is not None
    world.process.kill()
    await world.process.wait()
    await wait_until_ready(second)
    world.process = process
    await assert_result_at_new_address(world, await world.client(), "m1", "new")


async def test_broken_file_without_a_handover_keeps_the_startup_config(world: World) -> None:
    await start_relay(world, "h1")
    block_sighup_exchange(world)
    process, second = await start_waiting_process(world)
    truncate_config(world)
    assert world.process is not None
    world.process.kill()
    await world.process.wait()
    await wait_until_ready(second)
    world.process = process
    await assert_result_at_new_address(world, await world.client(), "m1")


async def test_waiting_process_reloads_on_sighup_to_the_owner(world: World) -> None:
    """The first process reloads the file and is killed; then the file is truncated."""
    _, console = await start_relay(world, "h1")
    world.hosts["h1"].default = silent
    client = await world.client()
    await client.submit("m0", "unsafe")
    await world.hosts["h1"].call(0)
    process, second = await start_second_process(world)  # waits for the open call, 1.2 s at most
    await wait_until_ready(second, False)
    await world.move_directory()
    world.settings["request_classes"] = [*CLASSES, NEW_CLASS]
    await world.reload()
    await wait_for_metric(console)
    assert world.process is not None

    async def sighup_recorded() -> None:
        while not (world.state / "hup").exists():
            pass

    await soon(sighup_recorded())
    world.process.kill()
    await world.process.wait()
    await wait_until_ready(second)
    truncate_config(world)
    world.process = process
    await assert_result_at_new_address(world, await world.client(), "m1", "new")


async def test_reclaiming_process_applies_the_reload_of_the_dead_owner(world: World) -> None:
    """The new owner reloads on a SIGHUP that the former one cannot learn of, and is killed."""
    _, console = await start_relay(world, "h1")
    block_sighup_exchange(world)
    process, second = await start_second_process(world)
    await wait_until_ready(second)
    await world.move_directory()
    world.settings["request_classes"] = [*CLASSES, NEW_CLASS]
    world.environment()
    process.send_signal(signal.SIGHUP)
    await wait_for_metric(second)
    process.kill()
    await process.wait()

    async def owner_again() -> Client:
        while True:
            try:
                client = await world.client()
                if await client.submit("m0", "new") == b"+OK":
                    return client
            except OSError:  # a connection in the accept queue of the killed process
                pass

    client = await soon(owner_again())
    await wait_until_ready(console)
    await assert_result_at_new_address(world, client, "m1", "new")


async def test_overridden_discovery_is_handed_over_when_it_could_not_be_persisted(world: World) -> None:
    """Both processes have the old discovery address in their environment."""
    (world.state / config.OVERRIDDEN_FILE).mkdir()
    world.environment_variables["ROUTER_DISCOVERY"] = f"127.0.0.1:{world.directory.port}"
    _, console = await start_relay(world, "h1")
    await world.move_directory()
    await world.reload()
    await wait_for_metric(console)
    process, second = await start_second_process(world)
    await wait_until_ready(second)
    assert world.process is not None
    world.process.kill()
    await world.process.wait()
    world.process = process
    await assert_result_at_new_address(world, await world.client(), "m1")


def load_changed_config(folder: Path, monkeypatch: pytest.MonkeyPatch, **changes: Any) -> config.Config:
    """Write a configuration with these keys changed, and load it."""
    world = World(folder)
    for name, value in world.environment().items():
        monkeypatch.setenv(name, value)
    path = folder / "config.json"
    raw = json.loads(path.read_text(encoding="utf-8")) | {"discovery": "127.0.0.1:1"} | changes
    path.write_text(json.dumps(raw), encoding="utf-8")
    return config.load(POSIX)


def test_incomplete_file_is_accepted_only_if_unchanged_since_start(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("ROUTER_CONSOLE", "127.0.0.1:9")
    held = load_changed_config(tmp_path, monkeypatch, extra={"of": "a later version"})
    own = load_changed_config(tmp_path, monkeypatch)
    assert config.load_for_takeover(POSIX, own, held).file_json == own.file_json
    started = load_changed_config(tmp_path, monkeypatch, extra={"of": "another"})
    load_changed_config(tmp_path, monkeypatch)
    with pytest.raises(config.ConfigError, match="missing extra"):
        config.load_for_takeover(POSIX, started, held)


@pytest.mark.parametrize("text", ["", "[]", "{}", '{"settings": 1}', "nonsense", '{"discovery": "x"}'])
def test_corrupt_handed_over_config_is_rejected(
    text: str, monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    load_changed_config(tmp_path, monkeypatch)
    with pytest.raises(config.ConfigError):
        config.config_from_handover(POSIX, text, "127.0.0.1:1", "")


def test_config_is_handed_over_whole_or_omitted(tmp_path: Path) -> None:
    """The endpoint list is dropped first; the configuration only if it is too long by itself."""
    rng = random.Random(1)  # incompressible
    rows = {
        dest: [[rng.randbytes(512).hex(), "127.0.0.1", 80, "a", "k", "ready", 1.0, False]]
        for dest in range(1000)
    }
    assert handover_file.write(
        tmp_path, POSIX.disk, HandoverState(seq=7, rows=rows, config="x" * 9000, discovery="a:1")
    )
    found = handover_file.read(tmp_path, POSIX.disk)
    assert found is not None and (found.config, found.rows, found.seq) == ("x" * 9000, {}, -1)
    assert handover_file.write(
        tmp_path, POSIX.disk, HandoverState(waits={"h": 5}, config=rng.randbytes(200_000).hex())
    )
    found = handover_file.read(tmp_path, POSIX.disk)
    assert found is not None and (found.config, found.waits) == ("", {"h": 5})
