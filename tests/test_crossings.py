"""Moments in which two things cross: a signal, a connection's end, a deadline at the wrong instant."""

from __future__ import annotations

import asyncio
import signal

import pytest

from mallowlug.core.model import Call, EndpointList, Part
from mallowlug.fronts.resp2 import MOST_ERRORS, REQUEST_S
from mossfront import DecisionEngine
from mossfront import interface as api
from mossfront.interface import Verdict
from tests.calls import HostCalls, start_host
from tests.support import KEYED, SECOND, arrival, attempt_outcome, endpoint_update, entry, sends, settings
from tests.world import Request, World, enqueue, packed, silent, soon


@pytest.mark.parametrize("first", [signal.SIGHUP, signal.SIGTERM])
async def test_sigterm_twice_and_with_sighup_around_it_still_ends_in_order(
    world: World, first: signal.Signals
) -> None:
    """What is taken on between the signals gets its answer, its call and its end in one life or the next."""
    host = await world.add("h1")
    client = await world.run()
    await client.insist("m1")
    assert world.process is not None
    for number in (first, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
        world.process.send_signal(number)
    assert await client.hand_in("m2") == b"+OK"
    assert await soon(world.process.wait()) == 0
    await world.run()  # a call that could not end before the process is made by the next one
    await host.until(lambda: {"m1", "m2"} <= {ref for seen in host.seen for ref in seen.ids})


async def test_a_client_that_goes_on_sending_through_a_shutdown_has_every_answer_or_a_close_between(
    world: World,
) -> None:
    """On an open connection, until the process closes it between two requests: none is cut with no answer."""
    await world.add("h1", silent)  # no call can end
    client = await world.run()
    await client.insist("m0")
    assert world.process is not None
    world.process.terminate()
    answers, taken = list[bytes](), 0
    for number in range(1, 100_000):
        try:
            answers.append(await client.hand_in(f"m{number}"))
        except ConnectionError:
            break
        if answers[-1] == b"":  # closed: what crossed it was not read, and comes once more on a new one
            break
        taken += answers[-1] == b"+OK"
    assert all(answer == b"+OK" or answer.startswith(b"-BUSY") for answer in answers if answer)
    assert taken > 0
    assert await soon(world.process.wait()) == 0


async def test_what_crossed_the_close_is_answered_on_a_new_connection(world: World) -> None:
    """The process still listens as it parts from its clients: the request comes again and has its answer."""
    await world.add("h1", silent)
    client = await world.run()
    await client.insist("m0")
    assert world.process is not None
    world.process.terminate()
    while await soon(client.reader.read(64)) != b"":  # silent until it is closed
        pass
    again = await world.client()
    assert (await again.hand_in("m1")).startswith(b"-BUSY")
    assert await soon(world.process.wait()) == 0


async def test_a_client_gone_before_its_answer_does_not_take_its_message_along(world: World) -> None:
    """Much sent at once and then gone: whole requests are taken on, half a one is not, others are served."""
    host = await world.add("h1")
    other = await world.run()
    await other.insist("m0")
    gone = await world.client()
    whole = b"".join(packed(*enqueue(f"g{at}")) for at in range(20))
    gone.writer.write(whole + packed(*enqueue("half"))[:-9])
    await soon(gone.writer.drain())
    gone.writer.transport.abort()
    assert await other.hand_in("m1") == b"+OK"
    await host.until(lambda: "m1" in {ref for seen in host.seen for ref in seen.ids})
    assert "half" not in {ref for seen in host.seen for ref in seen.ids}


async def test_a_client_that_ends_its_sending_still_has_its_answer(world: World) -> None:
    await world.add("h1")
    client = await world.run()
    client.writer.write(packed(*enqueue("m1")))
    client.writer.write_eof()
    assert (await soon(client.reader.readline())).rstrip() in (b"+OK", b"-BUSY 2000")
    assert await soon(client.reader.read()) == b""


async def test_a_close_over_unread_bytes_does_not_take_answers_back(world: World) -> None:
    """Far more was sent than is read before the close: a reset would go past what the client has not read."""
    await world.add("h1")
    await world.run()
    client = await world.client()
    client.writer.write(packed(*enqueue("m1")) + 20_000 * packed(b"NONSENSE"))
    answers = (await soon(client.reader.read())).splitlines()  # raises where the connection is reset
    assert answers[0] in (b"+OK", b"-BUSY 2000")
    assert len(answers) == 1 + MOST_ERRORS and all(answer.startswith(b"-ERR") for answer in answers[1:])


async def test_a_request_behind_the_shutdown_of_its_connection_is_not_taken_on(world: World) -> None:
    """Its client has no answer on that connection, and sends it once more on another one."""
    host = await world.add("h1")
    client = await world.run()
    await client.insist("m0")
    assert world.process is not None
    world.process.terminate()
    assert await soon(client.reader.read()) == b""  # the relay's sending has ended
    client.writer.write(packed(*enqueue("m1")))
    client.writer.write_eof()
    again = await world.client()
    assert (await again.hand_in("m1")).startswith(b"-BUSY")
    assert await soon(world.process.wait()) == 0
    later = await world.run()
    await later.insist("m2")
    await host.until(lambda: "m2" in {ref for seen in host.seen for ref in seen.ids})
    assert "m1" not in {ref for seen in host.seen for ref in seen.ids}


async def test_who_sends_without_a_pause_is_not_cut_for_a_request_without_end(world: World) -> None:
    """At every look a part of the next request stands there, and never the same one."""
    await world.add("h1")
    await world.run()
    client, ping = await world.client(), packed(b"PING")
    loop = asyncio.get_running_loop()
    end_s, sent = loop.time() + 1.5 * REQUEST_S, 0
    client.writer.write(ping[:5])
    while loop.time() < end_s:
        client.writer.write(ping[5:] + ping[:5])
        assert await soon(client.reader.readline()) == b"+PONG\r\n"
        sent += 1
    assert sent > 1


def gated(calls: HostCalls) -> asyncio.Event:
    """Connections come up, but are not the relay's to use until the gate is set."""
    gate, opened = asyncio.Event(), calls.hosts._open

    async def late(name: str) -> object:
        connection = await opened(name)
        await gate.wait()
        return connection

    calls.hosts._open = late  # type: ignore[method-assign, assignment]
    return gate


async def test_a_connection_that_is_up_only_after_the_calls_time_carries_nothing() -> None:
    """It came up late: its message has had its end, or gone elsewhere."""
    host = await start_host()
    calls = HostCalls(host.port)
    gate = gated(calls)
    calls.send("m1", timeout_us=100_000)
    assert (await calls.outcome("m1")).verdict is Verdict.CONNECT_FAILED
    gate.set()
    while calls.hosts.exchanges:
        await asyncio.sleep(0)
    assert host.seen == []
    host.stop()


async def test_a_call_that_comes_up_late_to_a_host_that_went_is_not_made() -> None:
    host = await start_host()
    calls = HostCalls(host.port)
    gate = gated(calls)
    calls.send("m1")
    while not host.connections:
        await asyncio.sleep(0.01)
    calls.hosts.apply(gone := calls_gone())
    gate.set()
    assert (await calls.outcome("m1")).verdict.never_ran
    assert (gone.full, host.seen) == (True, [])
    host.stop()


async def test_a_keyed_message_whose_window_passes_while_it_connects_is_not_written() -> None:
    """The repeat was chosen in time; a connection that comes up late would carry it behind its window."""
    host = await start_host()
    calls = HostCalls(host.port)
    gate = gated(calls)
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


def test_a_repeat_says_by_when_its_key_is_known() -> None:
    relay = DecisionEngine(settings(), 1)
    first = sends(relay.step(SECOND, [endpoint_update(entry("h1")), arrival("k", KEYED)]))
    assert [send.start_within_us for send in first] == [0]
    again = sends(relay.step(2 * SECOND, [attempt_outcome(first[0], api.Verdict.ERROR), api.TimerDue()]))
    assert [send.start_within_us for send in again] == [KEYED.window_us - SECOND - 5_000]


def calls_gone() -> EndpointList:
    """A whole list that names nobody."""
    return EndpointList(2, True, ())


async def test_a_wait_told_while_another_message_connects_binds_its_write(world: World) -> None:
    """Every other message of the destination, also one whose connection is being opened as the wait comes."""

    def told_to_wait(request: Request) -> None:
        request.answer(429, X_Retry_In_Ms="60000")

    host = await world.add("h1", told_to_wait)
    client = await world.run()
    both = packed(*enqueue("m1")) + packed(*enqueue("m2"))
    await client.insist("m0")
    await host.call(0)
    client.writer.write(both)
    for _ in range(2):
        assert await soon(client.reader.readline()) == b"+OK\r\n"
    assert (await world.directory.notice("m1"))["result"] == "bounced"
    assert [request.ids for request in host.seen] == [["m0"]]
