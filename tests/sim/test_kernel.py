"""The simulated kernel behaves as TCP and POSIX allow, seen through asyncio's streams and by properties."""

from __future__ import annotations

import asyncio
import errno
import random
import socket
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mallowlug.rig.sim.disk import SimDisk
from mallowlug.rig.sim.loop import SimLoop, StuckError
from mallowlug.rig.sim.net import WINDOW, Link, Network
from mallowlug.system import APPEND, TRUNCATE

AT = ("127.1.0.1", 7000)
OLD, NEW = Path("/state/journal"), Path("/state/journal.new")


def run(main: Coroutine[Any, Any, Any], link: Link | None = None, seed: int = 1) -> tuple[Any, SimLoop]:
    """Run a coroutine on a simulated kernel."""
    loop = SimLoop()
    loop.net = Network(loop, random.Random(seed))
    if link is not None:
        loop.net.new_link = lambda: link
    return loop.run_main(main), loop


@given(
    data=st.binary(min_size=1, max_size=400_000),
    link=st.builds(
        Link,
        latency_s=st.floats(0, 0.1),
        jitter_s=st.floats(0, 0.1),
        bytes_per_s=st.sampled_from([0.0, 1e6]),
        max_segment=st.sampled_from([0, 3000]),
    ),
    seed=st.integers(0, 9),
)
def test_bytes_arrive_once_complete_and_in_order(data: bytes, link: Link, seed: int) -> None:
    async def main() -> bytes:
        got = asyncio.get_running_loop().create_future()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            got.set_result(await reader.read(-1))
            writer.close()

        server = await asyncio.start_server(serve, *AT)
        _, writer = await asyncio.open_connection(*AT)
        writer.write(data)
        await writer.drain()
        writer.write_eof()
        found: bytes = await got
        server.close()
        return found

    found, loop = run(main(), link, seed)
    assert found == data
    assert loop.unhandled == []


def test_a_sender_waits_for_a_reader_that_does_not_read() -> None:
    async def main() -> int:
        net = asyncio.get_running_loop().net  # type: ignore[attr-defined]
        net.listener(AT)
        sock = net.stream()
        await asyncio.get_running_loop().sock_connect(sock, AT)
        sent = sock.send(b"x" * 2 * WINDOW)
        with pytest.raises(BlockingIOError):
            sock.send(b"x")
        return int(sent)

    assert run(main())[0] == WINDOW


@pytest.mark.parametrize("how", ["linger", "unread", "end"])
def test_how_the_peer_sees_a_close(how: str) -> None:
    async def main() -> Any:
        loop = asyncio.get_running_loop()
        net = loop.net  # type: ignore[attr-defined]
        listener, sock = net.listener(AT), net.stream()
        await loop.sock_connect(sock, AT)
        conn, _ = listener.accept()
        conn.send(b"last words")
        sock.send(b"unread" if how == "unread" else b"")
        await asyncio.sleep(1)
        if how == "linger":
            conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"")
        conn.close()
        await asyncio.sleep(1)
        assert sock.recv(100) == b"last words"  # bytes received before a reset may still be read
        return sock.recv(100)

    if how == "end":
        assert run(main())[0] == b""
    else:
        with pytest.raises(ConnectionResetError):
            run(main())


def test_a_connect_is_refused_without_a_listener_and_waits_during_a_partition() -> None:
    async def main() -> float:
        loop = asyncio.get_running_loop()
        net = loop.net  # type: ignore[attr-defined]
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(*AT)
        net.listener(AT)
        net.partition("", "")
        loop.call_later(5, net.heal, "", "")
        start_s = loop.time()
        await loop.sock_connect(net.stream(), AT)
        return loop.time() - start_s

    assert 5 <= run(main())[0] < 6


def test_a_loop_without_any_future_event_raises() -> None:
    async def main() -> None:
        await asyncio.get_running_loop().create_future()

    with pytest.raises(StuckError):
        run(main())


@given(seed=st.integers(0, 200))
def test_the_loss_of_a_machine_leaves_the_old_file_or_the_new_one(seed: int) -> None:
    """Between a rename and the directory sync either file may be there, with at least its synced bytes."""
    disk = SimDisk(random.Random(seed))
    fd = disk.open(OLD, APPEND)
    disk.write(fd, b"old")
    disk.sync(fd)
    disk.sync_folder(Path("/"))
    disk.write(fd, b" and more")
    new = disk.open(NEW, APPEND | TRUNCATE)
    disk.write(new, b"new")
    disk.sync(new)
    disk.replace(NEW, OLD)
    disk.crash()
    assert disk.read(OLD) in [b"old and more"[:size] for size in range(3, 13)] + [b"new"]


def test_without_a_sync_the_loss_of_a_machine_may_lose_all_data() -> None:
    def left(seed: int) -> bytes:
        disk = SimDisk(random.Random(seed))
        fd = disk.open(OLD, APPEND)
        disk.write(fd, b"unsynced")
        disk.crash()
        return disk.read(OLD) if OLD in disk.files else b""

    assert {left(seed) for seed in range(60)} >= {b"", b"unsynced"}


def test_a_full_disk_accepts_the_rest_of_a_block_and_then_nothing() -> None:
    disk = SimDisk(random.Random(1))
    fd = disk.open(OLD, APPEND)
    disk.write(fd, b"x" * 500)
    disk.full = True
    assert disk.write(fd, b"y" * 100) == 12
    with pytest.raises(OSError, match="No space") as caught:
        disk.write(fd, b"z")
    assert caught.value.errno == errno.ENOSPC
    disk.full = False
    assert disk.write(fd, b"z") == 1
