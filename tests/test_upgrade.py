"""Upgrades on real processes: a second process takes over the state folder while clients are connected."""

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
from mallowlug.core.model import Accepted, Submission
from mallowlug.core.reserved_space import LARGE_FOLDER
from mallowlug.system import POSIX, PosixDisk
from mallowlug.upgrade import handover_file
from mallowlug.upgrade.locks import Lock, OwnershipLocks
from mallowlug.upgrade.spool import SpoolReader, SpoolWriter, read_spooled_message
from tests.world import ROOT, Client, World, delivered, free_port, http_request, silent, soon

Process = asyncio.subprocess.Process


async def start_second_process(world: World) -> tuple[Process, int]:
    """Start another process of the relay with the same folder and addresses, but its own console port."""
    console = free_port()
    environment = world.environment() | {"ROUTER_CONSOLE": f"127.0.0.1:{console}"}
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "mallowlug", cwd=ROOT, env=environment
    )
    world.other_processes.append(process)
    return process, console


async def wait_until_ready(console: int, ready: bool = True) -> None:
    """Wait until the console reports ready, or not ready."""

    async def reached() -> None:
        while True:
            try:
                if ((await http_request(console, "GET", "/ready"))[0] == 200) is ready:
                    return
            except (OSError, IndexError):
                pass
            await asyncio.sleep(0.01)

    await soon(reached())


async def start_relay(world: World, *hosts: str) -> tuple[Client, int]:
    """Start a relay with a console and with configured hosts; return a client and the console port."""
    for host in hosts:
        await world.add(host)
    world.known_hosts = list(world.directory.hosts.values())
    console = world.open_console()
    client = await world.run()
    await wait_until_ready(console)
    return client, console


async def upgrade(world: World) -> int:
    """Upgrade until the new process is ready; return its console port."""
    former = world.process
    process, console = await start_second_process(world)
    await wait_until_ready(console)
    world.process = process
    assert former is not None
    world.former_process = former
    world.other_processes.append(former)
    return console


async def stop_former(world: World) -> None:
    """Stop the former process by SIGTERM and check its exit code."""
    world.former_process.terminate()
    assert await soon(world.former_process.wait()) == 0


def call_counts(world: World) -> Counter[str]:
    """Count the calls of each message at all hosts."""
    return Counter(ref for host in world.hosts.values() for request in host.seen for ref in request.ids)


async def test_repeated_upgrades_under_load_deliver_each_message_once(world: World) -> None:
    """Three upgrades in a row; clients keep their connections until the relay closes them."""
    await start_relay(world, "h1", "h2")
    stop, sent, retried = asyncio.Event(), list[str](), list[str]()

    async def load(name: str, client: Client) -> None:
        number = 0
        while not stop.is_set():
            ref = f"{name}-{number}"
            number += 1
            try:
                answer = await client.submit(ref, "unsafe")
            except OSError:
                answer = b""
            if not answer:  # closed between two requests: repeat on a new connection
                retried.append(ref)
                client = await world.client()
                answer = await client.submit(ref, "unsafe")
            assert answer == b"+OK"
            sent.append(ref)
            await asyncio.sleep(0.01)

    tasks = [asyncio.create_task(load(f"c{n}", await world.client())) for n in range(3)]
    for _ in range(3):
        await upgrade(world)
        await stop_former(world)
    stop.set()
    await asyncio.gather(*tasks)

    async def all_delivered() -> None:  # the last message may be sent to either host
        while not call_counts(world).keys() >= set(sent):
            await asyncio.sleep(0.01)

    await soon(all_delivered())
    assert set(call_counts(world).values()) == {1}
    assert world.directory.notices == []
    assert len(sent) > 100
    assert len(retried) <= 3 * 3 * 2  # each of three connections may be closed once by each process

    async def files_removed() -> None:
        while {path.name for path in world.state.iterdir()} - {"journal", "clock", "owner", "next"}:
            await asyncio.sleep(0.01)

    await soon(files_removed())


async def test_handover_waits_for_open_calls(world: World) -> None:
    client, _ = await start_relay(world, "h1")
    host = world.hosts["h1"]
    host.default = silent
    await client.submit("u1", "unsafe")
    call = await host.call(0)
    process, console = await start_second_process(world)
    await asyncio.sleep(0)
    call.answer()
    await wait_until_ready(console)
    await client.submit("u2", "unsafe")  # the former process spools it
    await host.call(1)
    assert call_counts(world) == {"u1": 1, "u2": 1}
    assert world.directory.notices == []
    assert process.returncode is None


async def test_call_open_past_the_handover_is_in_doubt(world: World) -> None:
    """The in-doubt unsafe message fails and is not retried; the safe one is retried."""
    client, _ = await start_relay(world, "h1")
    host = world.hosts["h1"]
    host.default = silent
    await client.submit("u1", "unsafe")
    await host.call(0)
    await client.submit("s1", "safe")
    await host.call(1)
    host.default = delivered
    await upgrade(world)
    assert await world.directory.notice("u1") == {"ref": "u1", "result": "dead"}
    await host.until(lambda: call_counts(world)["s1"] == 2)
    assert call_counts(world)["u1"] == 1


async def test_messages_from_connections_of_the_former_process_are_delivered(world: World) -> None:
    client, _ = await start_relay(world, "h1")
    await upgrade(world)
    for number in range(5):
        assert await client.submit(f"m{number}", "unsafe") == b"+OK"
    assert await client.submit("m0", "unsafe") == b"+OK"  # a duplicate
    assert await client.submit("x1", "nobody") == b"-ERR unknown class"
    await world.hosts["h1"].until(lambda: len(call_counts(world)) == 5)
    assert set(call_counts(world).values()) == {1}
    await stop_former(world)


async def test_waiting_process_killed_leaves_the_owner_serving(world: World) -> None:
    client, console = await start_relay(world, "h1")
    host = world.hosts["h1"]
    for number in range(3):
        process, _ = await start_second_process(world)
        os.kill(process.pid, signal.SIGSTOP)  # before it can take over
        process.kill()
        await process.wait()
        await client.submit(f"m{number}", "unsafe")
        await host.call(number)
    await wait_until_ready(console)
    assert set(call_counts(world).values()) == {1}


async def test_former_owner_reclaims_ownership_when_the_new_owner_dies(world: World) -> None:
    world.list_unserved_destination(2)
    client, console = await start_relay(world, "h1")
    assert await client.submit("held", "unsafe", dest=2) == b"+OK"
    await upgrade(world)
    assert await client.submit("spooled", "unsafe", dest=2) == b"+OK"
    assert world.process is not None
    world.process.kill()
    await world.process.wait()
    await client.submit("after", "unsafe")
    await world.hosts["h1"].until(lambda: call_counts(world)["after"] == 1)
    await wait_until_ready(console)
    new_host = await world.add("h2", block=2)
    await new_host.until(lambda: call_counts(world).keys() == {"held", "spooled", "after"})
    assert set(call_counts(world).values()) == {1}
    again, third = await start_second_process(world)  # the next upgrade works, too
    await wait_until_ready(third)
    assert await (await world.client()).submit("last") == b"+OK"
    await world.hosts["h1"].until(lambda: call_counts(world)["last"] == 1)
    assert again.returncode is None


@pytest.mark.parametrize("before", [True, False])
async def test_former_process_killed_before_or_after_the_handover(world: World, before: bool) -> None:
    """It is killed before the handover, or after it with messages in its spool file."""
    world.list_unserved_destination(2)
    client, _ = await start_relay(world, "h1")
    assert await client.submit("m1", "unsafe", dest=2) == b"+OK"
    process, console = await start_second_process(world)
    assert world.process is not None
    if before:
        world.process.kill()
        await wait_until_ready(console)
    else:
        await wait_until_ready(console)
        os.kill(process.pid, signal.SIGSTOP)  # the owner does not read the spool now
        assert await client.submit("m2", "unsafe", dest=2) == b"+OK"
        world.process.kill()
        await world.process.wait()
        os.kill(process.pid, signal.SIGCONT)
    new_host = await world.add("h2", block=2)
    await new_host.until(lambda: len(call_counts(world)) == (1 if before else 2))
    await http_request(console, "GET", "/ready")
    assert set(call_counts(world).values()) == {1}


async def test_spooler_and_owner_killed_together(world: World) -> None:
    """A restart reads journal and spool file, and does not adopt a message again."""
    world.list_unserved_destination(2)
    client, _ = await start_relay(world, "h1")
    await upgrade(world)
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
    await world.hosts["h1"].until(lambda: call_counts(world)["not-yet"] == 1)
    assert call_counts(world) == {"adopted": 1, "not-yet": 1}


async def test_retry_after_waits_and_drains_are_handed_over(world: World) -> None:
    """The new process applies the former owner's state, not the older list in its configuration."""
    client, _ = await start_relay(world, "h1", "h2")
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
    await upgrade(world)
    await stop_former(world)
    assert await (await world.client()).submit("m9", d=500) == b"+OK"
    assert (await world.directory.notice("m9"))["result"] == "bounced"
    for host in (world.hosts["h1"], world.hosts["h2"]):  # only calls that crossed the first answer
        assert all(request.at_s - host.seen[0].at_s < 0.1 for request in host.seen)


async def test_disabled_hosts_are_shared_by_both_processes(world: World) -> None:
    client, console = await start_relay(world, "h1", "h2")
    process, second = await start_second_process(world)
    os.kill(process.pid, signal.SIGCONT)
    assert (await http_request(console, "POST", "/hosts/disable?name=h1"))[0] == 200
    await wait_until_ready(second)
    assert (await http_request(console, "POST", "/hosts/disable?name=h2"))[
        0
    ] == 200  # sent to the spooling process
    assert (await http_request(second, "POST", "/hosts/enable?name=h1"))[0] == 200

    async def applied() -> None:
        while (world.state / "out").read_bytes() != b'"h2"\n':
            await asyncio.sleep(0.01)

    await soon(applied())
    await asyncio.sleep(0.1)  # the rules allow 1 s; the owner polls every 20 ms
    for number in range(4):
        await client.submit(f"m{number}")
        await world.hosts["h1"].call(number)
    assert world.hosts["h2"].seen == []


async def test_sighup_to_the_spooler_reloads_the_owner(world: World) -> None:
    client, _ = await start_relay(world, "h1")
    second = await upgrade(world)
    new = {**world.settings["request_classes"][1], "name": "new"}
    world.settings["request_classes"] = [*world.settings["request_classes"], new]
    world.environment()
    world.former_process.send_signal(signal.SIGHUP)
    direct = await world.client()

    async def class_known(client: Client, name: str) -> None:
        number = 0
        while await client.submit(f"{name}{number}", "new") != b"+OK":
            number += 1
            await asyncio.sleep(0.02)

    await soon(class_known(client, "door"))
    await soon(class_known(direct, "owner"))
    text = (await http_request(second, "GET", "/metrics"))[1]
    assert "relay_conf_loaded_total 0\n" in text  # the other process received the signal


async def test_sighup_to_a_waiting_process_applies_after_the_takeover(world: World) -> None:
    """Two in short succession, the first with a truncated file."""
    await start_relay(world, "h1")
    assert world.process is not None
    os.kill(world.process.pid, signal.SIGSTOP)  # it cannot hand over meanwhile
    process, console = await start_second_process(world)

    async def counted(name: str) -> None:
        while f"relay_{name} 1\n" not in (await http_request(console, "GET", "/metrics"))[1]:
            await asyncio.sleep(0.01)

    await wait_until_ready(console, False)  # it listens and reports not ready
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
    await wait_until_ready(console)
    world.process.kill()
    await world.process.wait()
    assert await (await world.client()).submit("m1", "new") == b"+OK"


async def test_waiting_processes_become_ready_one_after_the_other(world: World) -> None:
    _, console = await start_relay(world, "h1")
    first, one = await start_second_process(world)
    second, two = await start_second_process(world)
    ready: list[int] = []

    async def watch(port: int) -> None:
        await wait_until_ready(port)
        ready.append(port)

    watching = [asyncio.create_task(watch(port)) for port in (one, two)]
    await asyncio.wait(watching, return_when=asyncio.FIRST_COMPLETED)
    await soon(asyncio.gather(*watching))  # the third process takes over from the second
    assert len(ready) == 2
    assert (await http_request(console, "GET", "/metrics"))[0] == 200
    assert world.process is not None and world.process.returncode is None
    for process in (first, second):
        assert process.returncode is None


def test_ownership_is_not_reclaimed_while_a_successor_waits(tmp_path: Path) -> None:
    first, second, third = (OwnershipLocks(tmp_path, POSIX.disk) for _ in range(3))
    assert first.try_become_owner() and not first.has_successor()
    assert not second.try_become_owner() and not third.try_become_owner()
    assert first.has_successor()
    first.release_ownership()
    assert not first.try_reclaim() and first.has_successor()
    assert second.try_become_owner() and not second.has_successor()
    assert not third.try_become_owner() and second.has_successor()
    third.release_all()
    assert not second.has_successor() and not first.try_reclaim()
    second.release_all()  # as if it was killed
    assert first.try_reclaim() and first.owns


def test_reclaim_attempt_is_not_mistaken_for_a_waiting_successor(tmp_path: Path) -> None:
    """The owner checks for a successor while the former owner tries to reclaim.

    It once took the attempt for a waiting successor and handed over to no process, every few seconds.
    """
    seen = list[bool]()

    class Between(PosixDisk):
        """A disk that lets the owner check for a successor after each lock attempt."""

        @staticmethod
        def lock(fd: int) -> bool:
            held = PosixDisk.lock(fd)
            seen.append(second.has_successor())
            return held

    second, first = OwnershipLocks(tmp_path, POSIX.disk), OwnershipLocks(tmp_path, Between())
    assert second.try_become_owner()
    assert not first.try_reclaim()
    assert seen and not any(seen)
    second.release_all()
    assert first.try_reclaim()


def test_unfinished_file_of_a_live_spooler_is_kept(tmp_path: Path) -> None:
    """Clean-up once removed the new file of a live spooling process, which then refused a message."""
    locked, unlocked = tmp_path / "new.door.1", tmp_path / "new.door.2"
    lock = Lock(locked, POSIX.disk)
    assert lock.acquire()
    unlocked.touch()
    SpoolReader(tmp_path, POSIX.disk).remove_unfinished_files()
    assert locked.exists() and not unlocked.exists()
    lock.release()


class CleanupBeforeLockDisk(PosixDisk):
    """A disk on which the owner's clean-up runs once between a new file's creation and its lock."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.cleaned = folder, False

    def lock(self, fd: int) -> bool:  # type: ignore[override]
        if not self.cleaned:
            self.cleaned = True
            SpoolReader(self.folder, POSIX.disk).remove_unfinished_files()
        return PosixDisk.lock(fd)


def test_message_is_accepted_though_cleanup_removed_its_new_spool_file(tmp_path: Path) -> None:
    disk = CleanupBeforeLockDisk(tmp_path)
    core = Mock()
    core.clock.return_value, core.knows.return_value, core.reject_reason.return_value = 1, False, None
    core.rules_record.return_value = {}
    writer = SpoolWriter(tmp_path, disk, core)
    submission = Submission("m1", 1, "safe", 10)
    assert isinstance(writer.submit(submission, b"x"), Accepted)
    assert disk.cleaned
    [spooled] = tmp_path.glob("door.*")
    message = read_spooled_message(spooled.read_bytes(), 0)
    assert message is not None and message.submission == submission


class NoDescriptorsDisk(PosixDisk):
    """A disk on which no descriptor is free."""

    @staticmethod
    def open(path: Path, flags: int) -> int:
        raise OSError(24, "Too many open files")

    @staticmethod
    def names(folder: Path) -> list[str]:
        raise OSError(24, "Too many open files")


def test_owner_keeps_serving_without_descriptors(tmp_path: Path, caplog: pytest.LogCaptureFixture) -> None:
    """Many clients can use up all descriptors; the locks are polled on, and the failure is logged once."""
    line = OwnershipLocks(tmp_path, NoDescriptorsDisk())
    assert [line.has_successor() for _ in range(50)] == [False] * 50
    assert not line.try_become_owner() and not line.try_reclaim()
    assert caplog.text.count("Too many open files") == 1
    assert SpoolReader(tmp_path, NoDescriptorsDisk()).adopt_spooled(Mock())


def test_handover_file_is_bounded_and_corrupt_files_are_ignored(tmp_path: Path) -> None:
    rng = random.Random(1)  # incompressible ids of 1 kB each
    rows = {
        dest: [[rng.randbytes(512).hex(), "127.0.0.1", 80, "a", "k", "ready", 1.0, False]]
        for dest in range(1000)
    }
    many = HandoverState(
        {"h1": 5}, [("h1", 5, 1.0, 2.0, 3.0, -1, 0)], 7, rows, [f"id-{n}" for n in range(512)]
    )
    assert handover_file.write(tmp_path, POSIX.disk, many)
    assert (tmp_path / "binds").stat().st_size <= LARGE_FOLDER.handover_bytes
    kept = handover_file.read(tmp_path, POSIX.disk)
    assert kept is not None
    assert (kept.waits, kept.seq, kept.rows, kept.over) == ({"h1": 5}, -1, {}, [])
    bomb = zlib.compress(b" " * (handover_file.MAX_DECOMPRESSED_BYTES + 1))
    for data in (b"", b"{", b"[]", b'{"waits": 5}', b"\xff" * 100, zlib.compress(b"{}")[:-3], bomb):
        (tmp_path / "binds").write_bytes(data)
        assert handover_file.read(tmp_path, POSIX.disk) is None
    handover_file.delete(tmp_path, POSIX.disk)
    handover_file.delete(tmp_path, POSIX.disk)
    assert handover_file.read(tmp_path, POSIX.disk) is None


async def test_upgrade_with_all_console_connections_occupied(world: World) -> None:
    """Idle connections occupy the consoles of both processes."""
    _, console = await start_relay(world, "h1")
    idle = [await asyncio.open_connection("127.0.0.1", console) for _ in range(100)]
    await upgrade(world)
    await stop_former(world)
    for _, writer in idle:
        writer.close()
