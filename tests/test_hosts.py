"""Calls on a single connection: what each outcome proves."""

from __future__ import annotations

import asyncio
import socket
import struct

import pytest

from mallowlug.core.model import PartOutcome
from mallowlug.net.http import Connection
from mallowlug.net.responses import ResponseHead, ResponseParser
from mallowlug.partners.verdicts import parse_load_report, parse_retry_after_us, verdict_of
from mossfront.interface import Listing, Verdict
from tests.calls import HostCalls, start_host
from tests.world import delivered, silent, soon


async def test_a_drain_between_decision_and_write_prevents_the_write() -> None:
    """The directory may report a drain while the call is connecting: the request must not be sent then."""
    host = await start_host()
    calls = HostCalls(host.port)
    calls.send("m1")
    calls.apply_listing(host.port, Listing.DRAINING)
    assert await calls.outcome("m1") == PartOutcome(Verdict.NOT_SENT)
    assert host.seen == []
    host.stop()


async def test_a_retry_after_wait_between_decision_and_write_prevents_the_write() -> None:
    host = await start_host(lambda request: request.answer(429, X_Retry_In_Ms="60000"))
    calls = HostCalls(host.port)
    calls.send("m1")
    await calls.outcome("m1")
    calls.send("m2")
    outcome = await calls.outcome("m2")
    assert outcome.verdict is Verdict.NOT_SENT
    assert 0 < outcome.retry_after_us <= 60_000_000
    assert len(host.seen) == 1
    host.stop()


async def test_a_refused_connection_never_ran() -> None:
    with socket.socket() as sock:  # bound and not listening
        sock.bind(("127.0.0.1", 0))
        calls = HostCalls(sock.getsockname()[1])
        calls.send("m1")
        assert (await calls.outcome("m1")).verdict is Verdict.CONNECT_FAILED


async def test_a_connection_that_times_out_never_ran() -> None:
    """A listener with a full backlog accepts no connection, like an unreachable machine."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        sock.listen(0)
        fillers = [socket.socket() for _ in range(4)]
        for filler in fillers:
            filler.setblocking(False)
            filler.connect_ex(sock.getsockname())
        calls = HostCalls(sock.getsockname()[1], connect_us=300_000)
        calls.send("m1")
        assert (await calls.outcome("m1")).verdict is Verdict.CONNECT_FAILED
        for filler in fillers:
            filler.close()


async def test_a_reset_before_the_last_byte_never_ran() -> None:
    """A host that stops reading and resets the connection can't have processed an incomplete request."""
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.bind(("127.0.0.1", 0))
        sock.listen(1)
        sock.setblocking(False)
        calls = HostCalls(sock.getsockname()[1])
        call = calls.send(*(f"m{n}" for n in range(64)), body=bytes(65536))
        loop = asyncio.get_running_loop()
        peer, _ = await soon(loop.sock_accept(sock))
        while call.connection is None or not call.connection.write_started:
            await asyncio.sleep(0.01)
        assert not call.written
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        peer.close()
        assert (await calls.outcome("m0")).verdict is Verdict.CONNECT_FAILED


async def test_a_time_limit_before_the_last_byte_never_ran() -> None:
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.bind(("127.0.0.1", 0))
        sock.listen(1)
        calls = HostCalls(sock.getsockname()[1])
        call = calls.send("m1", timeout_us=200_000, body=bytes(16 << 20))
        assert (await calls.outcome("m1")).verdict is Verdict.CONNECT_FAILED
        assert call.connection is not None
        assert call.connection.write_started


async def test_a_time_limit_after_the_last_byte_may_have_run_and_closes() -> None:
    host = await start_host(silent)
    calls = HostCalls(host.port)
    calls.send("m1", timeout_us=300_000)
    assert (await calls.outcome("m1")).verdict is Verdict.TIMEOUT
    while host.writers:
        await asyncio.sleep(0.01)
    assert calls.hosts.exchanges == {}
    host.stop()


async def test_a_cancelled_call_is_settled_and_closed() -> None:
    host = await start_host(silent)
    calls = HostCalls(host.port)
    calls.send("m1")
    await host.call(0)
    calls.hosts.cancel("m1", 0)
    assert (await calls.outcome("m1")).verdict is Verdict.CANCELLED
    while host.writers:
        await asyncio.sleep(0.01)
    host.stop()


async def test_a_message_delivered_after_its_own_time_limit_is_final() -> None:
    """A part with a longer limit keeps the shared call open: its response still settles the message."""
    host = await start_host(silent)
    calls = HostCalls(host.port)
    call = calls.send("m1", "m2")
    request = await host.call(0)
    calls.hosts._stop_part(call, call.call.parts[0], Verdict.TIMEOUT)
    assert calls.outcomes["m1"] == PartOutcome(Verdict.TIMEOUT, call_continues=True)
    delivered(request)
    assert (await calls.outcome("m2")).verdict is Verdict.OK
    assert calls.outcomes["m1"] == PartOutcome(Verdict.OK, complete=True)
    assert [part.id for part in calls.released] == ["m1"]  # only now has its call ended
    host.stop()


async def test_idle_connections_are_closed_on_demand_and_by_timeout() -> None:
    host = await start_host()
    calls = HostCalls(host.port)
    calls.send("m1")
    await calls.outcome("m1")
    while host.writers:
        calls.hosts.close_idle("h1")
        await asyncio.sleep(0.01)
    calls.hosts.pool.idle_timeout_s = 0.05
    calls.send("m2")
    await calls.outcome("m2")
    while host.writers:
        await asyncio.sleep(0.01)
    assert host.connections == 2
    host.stop()


async def test_unsent_bytes_are_exact_when_a_write_is_cancelled() -> None:
    left, right = socket.socketpair()
    left.setblocking(False)
    connection = Connection(left)
    task = asyncio.create_task(connection.send(bytes(8 << 20)))
    while not connection.write_started:
        await asyncio.sleep(0)
    task.cancel()
    await asyncio.wait([task])
    right.setblocking(False)
    received = 0
    left.shutdown(socket.SHUT_WR)
    while data := await soon(asyncio.get_running_loop().sock_recv(right, 1 << 20)):
        received += len(data)
    assert received + connection.unsent == 8 << 20
    left.close()
    right.close()


def response_head(status: int, *headers: tuple[str, str]) -> ResponseHead:
    """Parse the head of a response from its bytes."""
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers)
    answers = ResponseParser()
    answers.feed(f"HTTP/1.1 {status} X\r\n{lines}Content-Length: 0\r\n\r\n".encode())
    assert answers.head is not None
    return answers.head


@pytest.mark.parametrize(
    ("status", "headers", "verdict"),
    [
        (200, [], Verdict.OK),
        (429, [("X-Retry-In-Ms", "5")], Verdict.FULL),
        (503, [], Verdict.FULL),
        (503, [("X-No-Slot", "1")], Verdict.NOT_SENT),
        (504, [], Verdict.NOT_SENT),
        (410, [], Verdict.NOT_SENT),
        (413, [], Verdict.NOT_SENT),
        (400, [], Verdict.NOT_SENT),
        (500, [], Verdict.ERROR),
        (302, [], Verdict.ERROR),
    ],
)
def test_what_each_status_proves(status: int, headers: list[tuple[str, str]], verdict: Verdict) -> None:
    assert verdict_of(response_head(status, *headers)) is verdict


@pytest.mark.parametrize(
    ("wait", "pressure", "wait_us", "report"),
    [
        ("250", "x0=0.4,x1=25", 250_000, {"x0": 0.4, "x1": 25.0}),
        ("soon", "x0=much, x1=2", 0, {"x1": 2.0}),
        ("-5", "", 0, {}),
        ("inf", "=", 0, {}),
        ("nan", "x0=nan,x1=inf", 0, {}),
        ("1e9", "x0=-1,x1=-inf,x2=7", 0, {}),
        ("99999999999", "x0=0.5" + 2000 * ",x9=1", 3_600_000_000, {"x0": 0.5}),
    ],
)
def test_waits_and_reports(wait: str, pressure: str, wait_us: int, report: dict[str, float]) -> None:
    answer = response_head(200, ("X-Retry-In-Ms", wait), ("X-Pressure", pressure))
    assert (parse_retry_after_us(answer), parse_load_report(answer)) == (wait_us, report)


def test_the_longest_of_several_retry_delays_applies() -> None:
    waits = [("X-Retry-In-Ms", str(number)) for number in (10, 300, "x", 20)]
    assert parse_retry_after_us(response_head(429, *waits)) == 300_000
