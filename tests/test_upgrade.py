"""Upgrades on real processes: a second process beside the first, on one folder, under its clients' hands."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import sys
import zlib
from collections import Counter
from pathlib import Path
from unittest.mock import Mock

import pytest

from mallowlug.core.handover import HandoverState
from mallowlug.core.reserved_space import ROOMY
from mallowlug.system import POSIX, PosixDisk
from mallowlug.upgrade import handover_file
from mallowlug.upgrade.locks import Lock, Succession
from mallowlug.upgrade.spool import Adoption
from tests.world import ROOT, Client, World, delivered, free_port, http_request, silent, soon

Process = asyncio.subprocess.Process


async def beside(world: World) -> tuple[Process, int]:
    """One more process of the relay on the same folder and addresses, but for its console."""
    console = free_port()
    environment = world.environment() | {"ROUTER_CONSOLE": f"127.0.0.1:{console}"}
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "mallowlug", cwd=ROOT, env=environment
    )
    world.other_processes.append(process)
    return process, console


async def until_ready(console: int, yes: bool = True) -> None:
    """Wait for the console's yes, or its no."""

    async def reached() -> None:
        while True:
            try:
                if ((await http_request(console, "GET", "/ready"))[0] == 200) is yes:
                    return
            except (OSError, IndexError):
                pass
            await asyncio.sleep(0.01)

    await soon(reached())


async def served(world: World, *hosts: str) -> tuple[Client, int]:
    """A relay with a console and hosts that it knows from its start."""
    for host in hosts:
        await world.add(host)
    world.known_hosts = list(world.directory.hosts.values())
    console = world.open_console()
    client = await world.run()
    await until_ready(console)
    return client, console


async def follow(world: World) -> int:
    """An upgrade up to the yes of the new process; its console."""
    former = world.process
    process, console = await beside(world)
    await until_ready(console)
    world.process = process
    assert former is not None
    world.former_process = former
    world.other_processes.append(former)
    return console


async def part(world: World) -> None:
    """The former process is told to end, and does."""
    world.former_process.terminate()
    assert await soon(world.former_process.wait()) == 0


def ids(world: World) -> Counter[str]:
    """How often each message came to any host."""
    return Counter(ref for host in world.hosts.values() for request in host.seen for ref in request.ids)


async def test_upgrades_under_load_lose_nothing_and_repeat_nothing(world: World) -> None:
    """Three upgrades one after the other; clients keep their connections until these are closed."""
    await served(world, "h1", "h2")
    stop, sent, met = asyncio.Event(), list[str](), list[str]()

    async def load(name: str, client: Client) -> None:
        number = 0
        while not stop.is_set():
            ref = f"{name}-{number}"
            number += 1
            try:
                answer = await client.submit(ref, "unsafe")
            except OSError:
                answer = b""
            if not answer:  # the connection was closed between two requests: once more, on a new one
                met.append(ref)
                client = await world.client()
                answer = await client.submit(ref, "unsafe")
            assert answer == b"+OK"
            sent.append(ref)
            await asyncio.sleep(0.01)

    tasks = [asyncio.create_task(load(f"c{n}", await world.client())) for n in range(3)]
    for _ in range(3):
        await follow(world)
        await part(world)
    stop.set()
    await asyncio.gather(*tasks)

    async def all_there() -> None:  # the last one may come to either host
        while not ids(world).keys() >= set(sent):
            await asyncio.sleep(0.01)

    await soon(all_there())
    assert set(ids(world).values()) == {1}
    assert world.directory.notices == []
    assert len(sent) > 100
    assert len(met) <= 3 * 3 * 2  # each of three connections may be closed once by each process

    async def tidy() -> None:
        while {path.name for path in world.state.iterdir()} - {"journal", "clock", "owner", "next"}:
            await asyncio.sleep(0.01)

    await soon(tidy())


async def test_a_call_that_is_out_ends_before_the_messages_pass_on(world: World) -> None:
    client, _ = await served(world, "h1")
    host = world.hosts["h1"]
    host.default = silent
    await client.submit("u1", "unsafe")
    call = await host.call(0)
    process, console = await beside(world)
    await asyncio.sleep(0)
    call.answer()
    await until_ready(console)
    await client.submit("u2", "unsafe")  # the old process passes it on
    await host.call(1)
    assert ids(world) == {"u1": 1, "u2": 1}
    assert world.directory.notices == []
    assert process.returncode is None


async def test_a_call_that_outlasts_the_handover_may_have_run(world: World) -> None:
    """The unsafe one is failed and not repeated; the safe one is."""
    client, _ = await served(world, "h1")
    host = world.hosts["h1"]
    host.default = silent
    await client.submit("u1", "unsafe")
    await host.call(0)
    await client.submit("s1", "safe")
    await host.call(1)
    host.default = delivered
    await follow(world)
    assert await world.directory.notice("u1") == {"ref": "u1", "result": "dead"}
    await host.until(lambda: ids(world)["s1"] == 2)
    assert ids(world)["u1"] == 1


async def test_what_a_former_clients_connection_brings_is_delivered_by_the_new_process(world: World) -> None:
    client, _ = await served(world, "h1")
    await follow(world)
    for number in range(5):
        assert await client.submit(f"m{number}", "unsafe") == b"+OK"
    assert await client.submit("m0", "unsafe") == b"+OK"  # the same once more
    assert await client.submit("x1", "nobody") == b"-ERR unknown class"
    await world.hosts["h1"].until(lambda: len(ids(world)) == 5)
    assert set(ids(world).values()) == {1}
    await part(world)


async def test_a_new_process_that_dies_in_line_changes_nothing(world: World) -> None:
    client, console = await served(world, "h1")
    host = world.hosts["h1"]
    for number in range(3):
        process, _ = await beside(world)
        os.kill(process.pid, signal.SIGSTOP)  # before it can take over
        process.kill()
        await process.wait()
        await client.submit(f"m{number}", "unsafe")
        await host.call(number)
    await until_ready(console)
    assert set(ids(world).values()) == {1}


async def test_the_old_process_takes_the_messages_back_when_the_new_one_dies(world: World) -> None:
    world.list_unserved_destination(2)
    client, console = await served(world, "h1")
    assert await client.submit("held", "unsafe", dest=2) == b"+OK"
    await follow(world)
    assert await client.submit("spooled", "unsafe", dest=2) == b"+OK"
    assert world.process is not None
    world.process.kill()
    await world.process.wait()
    await client.submit("after", "unsafe")
    await world.hosts["h1"].until(lambda: ids(world)["after"] == 1)
    await until_ready(console)
    late = await world.add("h2", block=2)
    await late.until(lambda: ids(world).keys() == {"held", "spooled", "after"})
    assert set(ids(world).values()) == {1}
    again, third = await beside(world)  # and the next upgrade goes as any
    await until_ready(third)
    assert await (await world.client()).submit("last") == b"+OK"
    await world.hosts["h1"].until(lambda: ids(world)["last"] == 1)
    assert again.returncode is None


@pytest.mark.parametrize("before", [True, False])
async def test_the_old_process_may_be_killed_at_any_time(world: World, before: bool) -> None:
    """Before the handover, or as a door whose messages are in its file."""
    world.list_unserved_destination(2)
    client, _ = await served(world, "h1")
    assert await client.submit("m1", "unsafe", dest=2) == b"+OK"
    process, console = await beside(world)
    assert world.process is not None
    if before:
        world.process.kill()
        await until_ready(console)
    else:
        await until_ready(console)
        os.kill(process.pid, signal.SIGSTOP)  # the owner does not read now
        assert await client.submit("m2", "unsafe", dest=2) == b"+OK"
        world.process.kill()
        await world.process.wait()
        os.kill(process.pid, signal.SIGCONT)
    late = await world.add("h2", block=2)
    await late.until(lambda: len(ids(world)) == (1 if before else 2))
    await http_request(console, "GET", "/ready")
    assert set(ids(world).values()) == {1}


async def test_a_door_and_the_owner_killed_together_lose_and_repeat_nothing(world: World) -> None:
    """The next life reads journal and spool; what was adopted is not adopted again."""
    world.list_unserved_destination(2)
    client, _ = await served(world, "h1")
    await follow(world)
    assert await client.submit("adopted", "unsafe") == b"+OK"
    await world.hosts["h1"].call(0)
    await world.wait_for_journal(b'"over"')
    assert world.process is not None
    os.kill(world.process.pid, signal.SIGSTOP)
    assert await client.submit("not-yet", "unsafe") == b"+OK"
    for process in (world.process, world.former_process):
        process.kill()
        await process.wait()
    await world.run()
    await world.hosts["h1"].until(lambda: ids(world)["not-yet"] == 1)
    assert ids(world) == {"adopted": 1, "not-yet": 1}


async def test_told_waits_and_drains_bind_the_new_process(world: World) -> None:
    """Its configuration knows an old list; what the old process heard last counts."""
    client, _ = await served(world, "h1", "h2")
    known = list(world.known_hosts)
    for name in ("h1", "h2"):
        world.hosts[name].default = lambda request: request.answer(429, X_Retry_In_Ms="60000")
    world.directory.change("h3", dial="127.0.0.1:1", health="DRAINING")
    for number in range(2):
        await client.submit(f"m{number}")
    await world.hosts["h1"].call(0)
    await world.hosts["h2"].call(0)
    await world.wait_for_journal(b'"not"')
    world.known_hosts = known
    world.directory.down = True
    await follow(world)
    await part(world)
    assert await (await world.client()).submit("m9", d=500) == b"+OK"
    assert (await world.directory.notice("m9"))["result"] == "bounced"
    for host in (world.hosts["h1"], world.hosts["h2"]):  # but for what crossed the first answer
        assert all(request.at_s - host.seen[0].at_s < 0.1 for request in host.seen)


async def test_a_host_put_out_at_either_process_is_out_at_both(world: World) -> None:
    client, console = await served(world, "h1", "h2")
    process, second = await beside(world)
    os.kill(process.pid, signal.SIGCONT)
    assert (await http_request(console, "POST", "/hosts/disable?name=h1"))[0] == 200
    await until_ready(second)
    assert (await http_request(console, "POST", "/hosts/disable?name=h2"))[0] == 200  # told to the door
    assert (await http_request(second, "POST", "/hosts/enable?name=h1"))[0] == 200

    async def heard() -> None:
        while (world.state / "out").read_bytes() != b'"h2"\n':
            await asyncio.sleep(0.01)

    await soon(heard())
    await asyncio.sleep(0.1)  # the door's word has 1 s, and takes 20 ms
    for number in range(4):
        await client.submit(f"m{number}")
        await world.hosts["h1"].call(number)
    assert world.hosts["h2"].seen == []


async def test_a_sighup_at_the_door_counts_at_the_owner(world: World) -> None:
    client, _ = await served(world, "h1")
    second = await follow(world)
    new = {**world.settings["request_classes"][1], "name": "new"}
    world.settings["request_classes"] = [*world.settings["request_classes"], new]
    world.environment()
    world.former_process.send_signal(signal.SIGHUP)
    direct = await world.client()

    async def known(client: Client, name: str) -> None:
        number = 0
        while await client.submit(f"{name}{number}", "new") != b"+OK":
            number += 1
            await asyncio.sleep(0.02)

    await soon(known(client, "door"))
    await soon(known(direct, "owner"))
    text = (await http_request(second, "GET", "/metrics"))[1]
    assert "relay_conf_loaded_total 0\n" in text  # it was not this process that got the signal


async def test_a_sighup_while_it_waits_in_line_counts_once_it_serves(world: World) -> None:
    """Two of them close together, the first for a file that is cut off."""
    await served(world, "h1")
    assert world.process is not None
    os.kill(world.process.pid, signal.SIGSTOP)  # it does not hand over meanwhile
    process, console = await beside(world)

    async def counted(name: str) -> None:
        while f"relay_{name} 1\n" not in (await http_request(console, "GET", "/metrics"))[1]:
            await asyncio.sleep(0.01)

    await until_ready(console, False)  # it listens, and says no
    whole = (world.folder / "config.json").read_text(encoding="utf-8")
    (world.folder / "config.json").write_text(whole[: len(whole) // 2], encoding="utf-8")
    process.send_signal(signal.SIGHUP)
    await soon(counted("conf_invalid_total"))
    new = {**world.settings["request_classes"][1], "name": "new"}
    world.settings["request_classes"] = [*world.settings["request_classes"], new]
    world.environment()
    process.send_signal(signal.SIGHUP)
    await soon(counted("conf_loaded_total"))
    os.kill(world.process.pid, signal.SIGCONT)
    await until_ready(console)
    world.process.kill()
    await world.process.wait()
    assert await (await world.client()).submit("m1", "new") == b"+OK"


async def test_a_process_in_line_is_not_ready_and_ends_at_once_when_told(world: World) -> None:
    _, console = await served(world, "h1")
    first, one = await beside(world)
    second, two = await beside(world)
    ready: list[int] = []

    async def watch(port: int) -> None:
        await until_ready(port)
        ready.append(port)

    watching = [asyncio.create_task(watch(port)) for port in (one, two)]
    await asyncio.wait(watching, return_when=asyncio.FIRST_COMPLETED)
    await soon(asyncio.gather(*watching))  # the third follows the second
    assert len(ready) == 2
    assert (await http_request(console, "GET", "/metrics"))[0] == 200
    assert world.process is not None and world.process.returncode is None
    for process in (first, second):
        assert process.returncode is None


def test_the_line_lets_nobody_take_back_what_somebody_waits_for(tmp_path: Path) -> None:
    first, second, third = (Succession(tmp_path, POSIX.disk) for _ in range(3))
    assert first.step_up() and not first.wanted()
    assert not second.step_up() and not third.step_up()
    assert first.wanted()
    first.hand_over()
    assert not first.take_back() and first.wanted()
    assert second.step_up() and not second.wanted()
    assert not third.step_up() and second.wanted()
    third.leave()
    assert not second.wanted() and not first.take_back()
    second.leave()  # it dies
    assert first.take_back() and first.owns


def test_a_door_that_looks_is_not_taken_for_one_that_waits(tmp_path: Path) -> None:
    """The owner looks in the middle of the door's look; it handed over to nobody once, every few seconds."""
    seen = list[bool]()

    class Between(PosixDisk):
        """Whose calls the owner looks between."""

        @staticmethod
        def lock(fd: int) -> bool:
            held = PosixDisk.lock(fd)
            seen.append(second.wanted())
            return held

    second, first = Succession(tmp_path, POSIX.disk), Succession(tmp_path, Between())
    assert second.step_up()
    assert not first.take_back()
    assert seen and not any(seen)
    second.leave()
    assert first.take_back()


def test_what_a_living_door_has_begun_is_not_tidied_away(tmp_path: Path) -> None:
    """The door was told that its file is gone, and refused a message, once in some runs."""
    living, dead = tmp_path / "new.door.1", tmp_path / "new.door.2"
    lock = Lock(living, POSIX.disk)
    assert lock.take()
    dead.touch()
    Adoption(tmp_path, POSIX.disk).tidy()
    assert living.exists() and not dead.exists()
    lock.free()


class Unreadable(PosixDisk):
    """A machine without descriptors."""

    @staticmethod
    def open(path: Path, flags: int) -> int:
        raise OSError(24, "Too many open files")

    @staticmethod
    def names(folder: Path) -> list[str]:
        raise OSError(24, "Too many open files")


def test_without_a_descriptor_the_owner_serves_on(tmp_path: Path, caplog: pytest.LogCaptureFixture) -> None:
    """Crowds of clients use descriptors up; the looks go on many times a second, and are told once."""
    line = Succession(tmp_path, Unreadable())
    assert [line.wanted() for _ in range(50)] == [False] * 50
    assert not line.step_up() and not line.take_back()
    assert caplog.text.count("Too many open files") == 1
    assert Adoption(tmp_path, Unreadable()).look(Mock())


def test_a_file_of_what_binds_is_bounded_and_may_be_absurd(tmp_path: Path) -> None:
    rng = random.Random(1)  # ids that nothing makes shorter: a kilobyte each
    rows = {
        dest: [[rng.randbytes(512).hex(), "127.0.0.1", 80, "a", "k", "ready", 1.0, False]]
        for dest in range(1000)
    }
    many = HandoverState(
        {"h1": 5}, [("h1", 5, 1.0, 2.0, 3.0, -1, 0)], 7, rows, [f"id-{n}" for n in range(512)]
    )
    assert handover_file.keep(tmp_path, POSIX.disk, many)
    assert (tmp_path / "binds").stat().st_size <= ROOMY.binds
    kept = handover_file.take(tmp_path, POSIX.disk)
    assert kept is not None
    assert (kept.waits, kept.seq, kept.rows, kept.over) == ({"h1": 5}, -1, {}, [])
    bomb = zlib.compress(b" " * (handover_file.MOST_PLAIN + 1))
    for data in (b"", b"{", b"[]", b'{"waits": 5}', b"\xff" * 100, zlib.compress(b"{}")[:-3], bomb):
        (tmp_path / "binds").write_bytes(data)
        assert handover_file.take(tmp_path, POSIX.disk) is None
    handover_file.drop(tmp_path, POSIX.disk)
    handover_file.drop(tmp_path, POSIX.disk)
    assert handover_file.take(tmp_path, POSIX.disk) is None


async def test_a_console_that_is_busy_does_not_stop_an_upgrade(world: World) -> None:
    """Callers that say nothing sit at both consoles."""
    _, console = await served(world, "h1")
    idle = [await asyncio.open_connection("127.0.0.1", console) for _ in range(100)]
    await follow(world)
    await part(world)
    for _, writer in idle:
        writer.close()
