"""Tests of the fault proxy: each fault has its effect, and bytes are never reordered."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest

from mallowlug.rig.world.proxy import NO_FAULT, FaultProxy, LinkFault
from tests.world import soon

DATA = bytes(range(256)) * 40


class Target:
    """The target of the proxy: it stores received bytes and can answer."""

    def __init__(self) -> None:
        self.got = bytearray()
        self.ended: list[str] = []
        self.writers: list[asyncio.StreamWriter] = []
        self.changed = asyncio.Condition()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        try:
            while data := await reader.read(1000):
                async with self.changed:
                    self.got += data
                    self.changed.notify_all()
            self.ended.append("end")
        except ConnectionError:
            self.ended.append("reset")
        async with self.changed:
            self.changed.notify_all()
        writer.close()

    async def until(self, size: int) -> None:
        """Wait until this many bytes have arrived."""
        async with self.changed:
            await soon(self.changed.wait_for(lambda: len(self.got) >= size))


@pytest.fixture
async def line() -> AsyncIterator[tuple[FaultProxy, Target, asyncio.StreamReader, asyncio.StreamWriter]]:
    """Provide a connection through a proxy."""
    target = Target()
    server = await asyncio.start_server(target.serve, "127.0.0.1", 0)
    proxy = FaultProxy(lambda: server.sockets[0].getsockname()[:2])
    await proxy.listen()
    reader, writer = await asyncio.open_connection(*proxy.address)
    yield proxy, target, reader, writer
    writer.close()
    proxy.close()
    server.close()


Line = tuple[FaultProxy, Target, asyncio.StreamReader, asyncio.StreamWriter]


FAULTS = [NO_FAULT, LinkFault(delay_s=0.05), LinkFault(drip=True), LinkFault(delay_s=0.02, drip=True)]


@pytest.mark.parametrize("fault", FAULTS)
async def test_bytes_come_in_order_whatever_the_fault(line: Line, fault: LinkFault) -> None:
    proxy, target, _, writer = line
    proxy.set_fault(fault)
    data = DATA if not fault.drip else DATA[:300]
    for at in range(0, len(data), 100):
        writer.write(data[at : at + 100])
        await writer.drain()
    await target.until(len(data))
    assert bytes(target.got) == data


async def test_a_delay_that_gets_shorter_lets_nothing_overtake(line: Line) -> None:
    proxy, target, _, writer = line
    proxy.set_fault(LinkFault(delay_s=0.3))
    writer.write(b"first")
    await asyncio.sleep(0.05)
    proxy.set_fault(NO_FAULT)
    writer.write(b"second")
    await target.until(11)
    assert bytes(target.got) == b"firstsecond"


async def test_a_delay_delays(line: Line) -> None:
    proxy, target, _, writer = line
    loop = asyncio.get_running_loop()
    proxy.set_fault(LinkFault(delay_s=0.2))
    start_s = loop.time()
    writer.write(b"x")
    await target.until(1)
    assert loop.time() - start_s >= 0.2


async def test_a_cut_passes_its_byte_count_and_resets_both_sides(line: Line) -> None:
    proxy, target, reader, writer = line
    proxy.set_fault(LinkFault(cut_after=150))
    writer.write(DATA[:1000])
    with pytest.raises(ConnectionError):
        while await soon(reader.read(100)):
            pass
        raise ConnectionResetError
    await target.until(150)
    async with target.changed:
        await soon(target.changed.wait_for(lambda: bool(target.ended)))
    assert bytes(target.got) == DATA[:150]
    assert target.ended == ["reset"]


async def test_silence_delays_all_bytes_and_loses_none(line: Line) -> None:
    proxy, target, reader, writer = line
    writer.write(b"before")
    await target.until(6)
    proxy.set_fault(LinkFault(silent=True))
    writer.write(b"after")
    target.writers[0].write(b"answer")
    await asyncio.sleep(0.1)
    assert bytes(target.got) == b"before"
    # New connections are accepted and stay silent.
    _, late_writer = await asyncio.open_connection(*proxy.address)
    late_writer.write(b"late")
    await asyncio.sleep(0.1)
    assert bytes(target.got) == b"before"
    proxy.set_fault(NO_FAULT)
    await target.until(15)
    assert bytes(target.got) in (b"beforeafterlate", b"beforelateafter")  # two connections have no order
    assert await soon(reader.readexactly(6)) == b"answer"
    late_writer.close()


async def test_end_of_stream_arrives_after_the_bytes(line: Line) -> None:
    proxy, target, _, writer = line
    proxy.set_fault(LinkFault(delay_s=0.05))
    writer.write(b"bye")
    writer.write_eof()
    async with target.changed:
        await soon(target.changed.wait_for(lambda: target.ended == ["end"]))
    assert bytes(target.got) == b"bye"


async def test_an_unreachable_target_resets_the_client() -> None:
    proxy = FaultProxy(lambda: ("127.0.0.1", 1))
    await proxy.listen()
    reader, writer = await asyncio.open_connection(*proxy.address)
    with pytest.raises(ConnectionError):
        writer.write(b"x")
        if not await soon(reader.read(1)):
            raise ConnectionResetError
    writer.close()
    proxy.close()
