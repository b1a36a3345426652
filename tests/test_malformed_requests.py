"""Malformed clients: each gets an error or a close, and other clients are still served."""

from __future__ import annotations

import asyncio
import os
from collections.abc import AsyncIterator

import pytest

from mallowlug.fronts.resp2 import RequestParser
from tests.world import World, encode_command, enqueue, silent, soon


async def test_a_connection_without_a_request_is_closed(world: World) -> None:
    """Hundreds of them would exhaust the descriptors; a connection that has sent a request may stay."""
    usual = await world.run()
    unused = await world.client()
    assert await soon(unused.reader.read()) == b""
    assert await usual.command(b"PING") == b"+PONG"


@pytest.mark.parametrize("before", [b"", encode_command(b"PING")])
@pytest.mark.parametrize("half", [b"*", b"*5\r\n$7\r\nENQ", encode_command(*enqueue("m1"))[:-1]])
async def test_an_incomplete_request_gets_an_error(world: World, before: bytes, half: bytes) -> None:
    usual = await world.run()
    client = await world.client()
    client.writer.write(before + half)
    assert (await soon(client.reader.read())).splitlines()[-1].startswith(b"-ERR")
    assert await usual.command(b"PING") == b"+PONG"


async def test_slow_data_does_not_extend_the_request_timeout(world: World) -> None:
    await world.run()
    client = await world.client()
    client.writer.write(b"*5\r\n$60000\r\n")

    async def trickle() -> None:
        while True:
            client.writer.write(b"x")
            await asyncio.sleep(0.05)

    task = asyncio.create_task(trickle())
    assert (await soon(client.reader.readline())).startswith(b"-ERR")
    task.cancel()


async def test_hundreds_of_bad_commands_delay_no_other_client_and_close_the_connection(world: World) -> None:
    usual = await world.run()
    client = await world.client()
    client.writer.write(500 * encode_command(b"NONSENSE"))
    assert await usual.command(b"PING") == b"+PONG"
    answers = [line async for line in lines(client.reader)]
    assert 0 < len(answers) < 20
    assert all(line.startswith(b"-ERR") for line in answers)


async def lines(reader: asyncio.StreamReader) -> AsyncIterator[bytes]:
    """Yield lines up to the end of the stream; a reset is a failure, even with unread data."""
    while line := await soon(reader.readline()):
        yield line


async def test_hundreds_of_good_commands_are_all_answered(world: World) -> None:
    """They are served in turns, and a client that then closes its sending side still gets every answer."""
    await world.run()
    client = await world.client()
    client.writer.write(300 * encode_command(b"PING"))
    client.writer.write_eof()
    assert await soon(client.reader.read()) == 300 * b"+PONG\r\n"


async def test_a_destination_without_listed_hosts_is_refused(world: World) -> None:
    """If accepted, it would be held in vain, and every destination number ever named would be kept."""
    host = await world.add("h1")
    client = await world.run()
    await client.submit_until_accepted("m1")
    await host.call(0)
    assert await client.submit("m2", dest=4711) == b"-BUSY 2000"
    assert await client.submit("m3") == b"+OK"


async def test_a_body_with_a_wrong_length_is_not_accepted(world: World) -> None:
    """Otherwise a truncated body would be accepted and delivered."""
    host = await world.add("h1")
    usual = await world.run()
    for wrong in (b"$3\r\nhello\r\n", b"$8\r\nhello\r\n" + encode_command(b"PING")):
        client = await world.client()
        client.writer.write(encode_command(*enqueue("m1")).replace(b"$5\r\nhello\r\n", wrong))
        assert (await soon(client.reader.readline())).startswith(b"-ERR")
    await usual.submit_until_accepted("m2")
    assert (await host.call(0)).ids == ["m2"]
    assert len(host.seen) == 1


async def test_a_repeated_id_of_an_open_message_is_no_second_message(world: World) -> None:
    host = await world.add("h1", silent)
    client = await world.run()
    await client.submit_until_accepted("m1")
    await host.call(0)
    assert await (await world.client()).submit("m1", d=5) == b"+OK"
    await client.submit("m2", d=60)
    await world.directory.notice("m2")
    assert [notice["ref"] for notice in world.directory.notices] == ["m2"]


async def test_descriptors_stay_within_the_limit_under_a_burst(world: World) -> None:
    """Half of them are for clients, however many connect at once and whatever they have sent."""
    world.sockets = 64
    await world.run()
    malformed = [await world.client() for _ in range(150)]
    for number, client in enumerate(malformed):
        client.writer.write(b"" if number % 2 else b"*5\r\n$7\r\nENQ")
    middle = await world.client()
    assert await middle.command(b"PING") == b"+PONG"
    assert world.process is not None
    assert len(os.listdir(f"/proc/{world.process.pid}/fd")) <= 64
    newest = await world.client()
    assert await newest.command(b"PING") == b"+PONG"


async def test_at_the_connection_limit_a_new_connection_is_not_closed_first(world: World) -> None:
    """Its request is in transit, while connections that were served before are idle."""
    world.sockets = 64  # half of which are for clients
    others = [await world.run(), *[await world.client() for _ in range(31)]]
    for client in others:
        assert await client.command(b"PING") == b"+PONG"
    fresh = [await world.client() for _ in range(3)]
    for client in fresh:
        assert await client.command(b"PING") == b"+PONG"
    for client in others[:3]:
        assert await soon(client.reader.read()) == b""


@pytest.mark.parametrize("size", [1, 2, 3, 7, 1000])
def test_requests_are_parsed_alike_however_they_are_split(size: int) -> None:
    wanted = [list(enqueue("m1", body=b"\r\n*1\r\n$")), [b""], list(enqueue("m2", body=bytes(3000)))]
    data = b"".join(encode_command(*request) for request in wanted)
    requests, found = RequestParser(), []
    for at in range(0, len(data), size):
        requests.feed(data[at : at + size])
        while (request := requests.next_request()) is not None:
            found.append(request)
    assert found == wanted
    assert not requests.in_progress
