"""Races: signals, closed connections and deadlines that coincide with requests and calls."""

from __future__ import annotations

import asyncio
import signal

import pytest

from mallowlug.core.model import Call, EndpointList, Part
from mallowlug.fronts.resp2 import MAX_ERRORS, REQUEST_TIMEOUT_S
from mossfront import DecisionEngine
from mossfront import interface as api
from mossfront.interface import Verdict
from tests.calls import HostCalls, start_host
from tests.support import KEYED, SECOND, arrival, attempt_outcome, endpoint_update, entry, sends, settings
from tests.world import Request, World, encode_command, enqueue, silent, soon


@pytest.mark.parametrize("first", [signal.SIGHUP, signal.SIGTERM])
async def test_repeated_sigterm_with_sighup_around_it_still_shuts_down_cleanly(
    world: World, first: signal.Signals
) -> None:
    """A message accepted between the signals is answered, and delivered before or after the restart."""
    host = await world.add("h1")
    client = await world.run()
    await client.submit_until_accepted("m1")
    assert world.process is not None
    for number in (first, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
        world.process.send_signal(number)
    assert await client.submit("m2") == b"+OK"
    assert await soon(world.process.wait()) == 0
    await world.run()  # a call that did not finish in time is made by the next process
    await host.until(lambda: {"m1", "m2"} <= {ref for seen in host.seen for ref in seen.ids})


async def test_a_client_that_sends_during_a_shutdown_gets_every_answer_or_a_close_between_requests(
    world: World,
) -> None:
    """The process closes an open connection only between two requests: none is left without an answer."""
    await world.add("h1", silent)  # no call can finish
    client = await world.run()
    await client.submit_until_accepted("m0")
    assert world.process is not None
    world.process.terminate()
    answers, accepted = list[bytes](), 0
    for number in range(1, 100_000):
        try:
            answers.append(await client.submit(f"m{number}"))
        except ConnectionError:
            break
        if (
            answers[-1] == b""
        ):  # closed: a request in transit was not read and is repeated on a new connection
            break
        accepted += answers[-1] == b"+OK"
    assert all(answer == b"+OK" or answer.startswith(b"-BUSY") for answer in answers if answer)
    assert accepted > 0
    assert await soon(world.process.wait()) == 0


async def test_a_request_in_transit_at_the_close_is_answered_on_a_new_connection(world: World) -> None:
    """The process still listens while it drains its clients, so the repeated request gets an answer."""
    await world.add("h1", silent)
    client = await world.run()
    await client.submit_until_accepted("m0")
    assert world.process is not None
    world.process.terminate()
    while await soon(client.reader.read(64)) != b"":  # silent until it is closed
        pass
    again = await world.client()
    assert (await again.submit("m1")).startswith(b"-BUSY")
    assert await soon(world.process.wait()) == 0


async def test_messages_of_a_client_that_disconnects_before_the_answer_are_kept(world: World) -> None:
    """Of many requests sent before a disconnect, complete ones are accepted and the incomplete one is not."""
    host = await world.add("h1")
    other = await world.run()
    await other.submit_until_accepted("m0")
    gone = await world.client()
    whole = b"".join(encode_command(*enqueue(f"g{at}")) for at in range(20))
    gone.writer.write(whole + encode_command(*enqueue("half"))[:-9])
    await soon(gone.writer.drain())
    gone.writer.transport.abort()
    assert await other.submit("m1") == b"+OK"
    await host.until(lambda: "m1" in {ref for seen in host.seen for ref in seen.ids})
    assert "half" not in {ref for seen in host.seen for ref in seen.ids}


async def test_a_client_that_shuts_down_its_sending_side_still_gets_its_answer(world: World) -> None:
    await world.add("h1")
    client = await world.run()
    client.writer.write(encode_command(*enqueue("m1")))
    client.writer.write_eof()
    assert (await soon(client.reader.readline())).rstrip() in (b"+OK", b"-BUSY 2000")
    assert await soon(client.reader.read()) == b""


async def test_a_close_with_unread_data_does_not_discard_answers(world: World) -> None:
    """Far more was sent than is read before the close: a reset would discard answers in transit."""
    await world.add("h1")
    await world.run()
    client = await world.client()
    client.writer.write(encode_command(*enqueue("m1")) + 20_000 * encode_command(b"NONSENSE"))
    answers = (await soon(client.reader.read())).splitlines()  # raises where the connection is reset
    assert answers[0] in (b"+OK", b"-BUSY 2000")
    assert len(answers) == 1 + MAX_ERRORS and all(answer.startswith(b"-ERR") for answer in answers[1:])


async def test_a_request_after_the_shutdown_of_its_connection_is_not_accepted(world: World) -> None:
    """Its client gets no answer on that connection and repeats the request on another one."""
    host = await world.add("h1")
    client = await world.run()
    await client.submit_until_accepted("m0")
    assert world.process is not None
    world.process.terminate()
    assert await soon(client.reader.read()) == b""  # the relay's sending has ended
    client.writer.write(encode_command(*enqueue("m1")))
    client.writer.write_eof()
    again = await world.client()
    assert (await again.submit("m1")).startswith(b"-BUSY")
    assert await soon(world.process.wait()) == 0
    later = await world.run()
    await later.submit_until_accepted("m2")
    await host.until(lambda: "m2" in {ref for seen in host.seen for ref in seen.ids})
    assert "m1" not in {ref for seen in host.seen for ref in seen.ids}


async def test_a_client_that_sends_without_pause_does_not_time_out(world: World) -> None:
    """Each check finds part of a request in the buffer, but never of the same one."""
    await world.add("h1")
    await world.run()
    client, ping = await world.client(), encode_command(b"PING")
    loop = asyncio.get_running_loop()
    end_s, sent = loop.time() + 1.5 * REQUEST_TIMEOUT_S, 0
    client.writer.write(ping[:5])
    while loop.time() < end_s:
        client.writer.write(ping[5:] + ping[:5])
        assert await soon(client.reader.readline()) == b"+PONG\r\n"
        sent += 1
    assert sent > 1


def hold_new_connections(calls: HostCalls) -> asyncio.Event:
    """Withhold new connections from the relay until the returned event is set."""
    gate, opened = asyncio.Event(), calls.hosts._open

    async def late(name: str) -> object:
        connection = await opened(name)
        await gate.wait()
        return connection

    calls.hosts._open = late  # type: ignore[method-assign, assignment]
    return gate


async def test_a_connection_established_after_the_calls_time_limit_carries_nothing() -> None:
    """By then its message is final or was sent elsewhere."""
    host = await start_host()
    calls = HostCalls(host.port)
    gate = hold_new_connections(calls)
    calls.send("m1", timeout_us=100_000)
    assert (await calls.outcome("m1")).verdict is Verdict.CONNECT_FAILED
    gate.set()
    while calls.hosts.exchanges:
        await asyncio.sleep(0)
    assert host.seen == []
    host.stop()


async def test_a_call_that_connects_late_to_an_unlisted_host_is_not_sent() -> None:
    host = await start_host()
    calls = HostCalls(host.port)
    gate = hold_new_connections(calls)
    calls.send("m1")
    while not host.connections:
        await asyncio.sleep(0.01)
    calls.hosts.apply(gone := empty_list())
    gate.set()
    assert (await calls.outcome("m1")).verdict.never_ran
    assert (gone.full, host.seen) == (True, [])
    host.stop()


async def test_a_keyed_message_whose_window_passes_while_connecting_is_not_sent() -> None:
    """The repeat was decided in time, but a slow connection would carry it after the deduplication window."""
    host = await start_host()
    calls = HostCalls(host.port)
    gate = hold_new_connections(calls)
    parts = [
        Part("k1", 1, "key", b"x", 60_000_000, start_within_us=100_000),
        Part("m2", 0, "", b"x", 60_000_000),
    ]
    loop = asyncio.get_running_loop()
    exchange = calls.hosts.send(Call("h1", parts, loop.time()))
    while loop.time() <= exchange.call.sent_s + 0.1:
        await asyncio.sleep(0.01)
    gate.set()
    assert (await calls.outcome("k1")).verdict is Verdict.NOT_SENT
    assert (await host.call(0)).ids == ["m2"]
    host.stop()


def test_a_repeat_carries_the_end_of_its_deduplication_window() -> None:
    relay = DecisionEngine(settings(), 1)
    first = sends(relay.step(SECOND, [endpoint_update(entry("h1")), arrival("k", KEYED)]))
    assert [send.start_within_us for send in first] == [0]
    again = sends(relay.step(2 * SECOND, [attempt_outcome(first[0], api.Verdict.ERROR), api.TimerDue()]))
    assert [send.start_within_us for send in again] == [KEYED.window_us - SECOND - 5_000]


def empty_list() -> EndpointList:
    """A full list without hosts."""
    return EndpointList(2, True, ())


async def test_a_retry_after_wait_received_while_another_message_connects_applies_to_it(world: World) -> None:
    """The wait applies to all messages of the destination, also to one that is connecting as it arrives."""

    def reply_with_wait(request: Request) -> None:
        request.answer(429, X_Retry_In_Ms="60000")

    host = await world.add("h1", reply_with_wait)
    client = await world.run()
    both = encode_command(*enqueue("m1")) + encode_command(*enqueue("m2"))
    await client.submit_until_accepted("m0")
    await host.call(0)
    client.writer.write(both)
    for _ in range(2):
        assert await soon(client.reader.readline()) == b"+OK\r\n"
    assert (await world.directory.notice("m1"))["result"] == "bounced"
    assert [request.ids for request in host.seen] == [["m0"]]
