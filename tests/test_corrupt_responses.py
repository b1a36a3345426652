"""Corrupt responses and extra data after a response: what they prove, and the connection's reuse."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import AsyncIterator

import pytest

from mallowlug.core.reasons import Event, HostClose
from mallowlug.net import http
from mossfront.interface import Verdict
from tests.calls import HostCalls, start_host
from tests.world import WAIT_LIMIT_S, Reply, Request, delivered

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine"
FULL = b"HTTP/1.1 503 X\r\nX-Retry-In-Ms: 100\r\nContent-Length: 4\r\n\r\nfull"
BATCH_BODY = b"m1 delivered\r\nm2 refused\r\n"
BATCH = b"HTTP/1.1 200 OK\r\nContent-Length: 26\r\n\r\n" + BATCH_BODY
NOISE = bytes(range(128, 256)) + b"\r\n\r\n"


def write_response(data: bytes, whole: bool, endless: bytes = b"") -> Reply:
    """Write a response in one piece or byte by byte, then ``endless`` repeatedly; stay connected."""

    async def pieces(writer: asyncio.StreamWriter) -> AsyncIterator[bytes]:
        for at in range(0, len(data), len(data) if whole else 1):
            yield data[at : at + len(data) if whole else at + 1]
        while endless and not writer.is_closing():
            yield endless

    async def write(writer: asyncio.StreamWriter) -> None:
        try:
            async for piece in pieces(writer):
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(0)
        except ConnectionError:
            pass  # the relay has closed the connection, as expected

    def reply(request: Request) -> None:
        TASKS.append(asyncio.create_task(write(request.writer)))

    return reply


TASKS: list[asyncio.Task[None]] = []
CORRUPT = {
    "noise": NOISE,
    "no status": b"HTTP/1.1 2x0 OK\r\nContent-Length: 0\r\n\r\n",
    "turned round": b"HTTP/1.1 OK 200\r\nContent-Length: 0\r\n\r\n",
    "another protocol": b"ICY 200 OK\r\nContent-Length: 0\r\n\r\n",
    "refusal with two lengths": b"HTTP/1.1 503 X\r\nContent-Length: 3\r\nContent-Length: 9\r\n\r\nfull",
    "refusal with a negative length": b"HTTP/1.1 429 X\r\nX-Retry-In-Ms: 9\r\nContent-Length: -1\r\n\r\n",
    "refusal with a broken chunk": b"HTTP/1.1 503 X\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\nzz\r\n",
    "over with a broken chunk": b"HTTP/1.1 410 X\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    "spent with a broken header": b"HTTP/1.1 504 X\r\nno colon here\r\nContent-Length: 0\r\n\r\n",
    "refusal of 3 GB": b"HTTP/1.1 503 X\r\nContent-Length: 3000000000\r\n\r\n" + bytes(70_000),
    "refusal without end": b"HTTP/1.1 503 X\r\nContent-Length: 9\r\n\r\nfull",
    "head without end": b"HTTP/1.1 503 X\r\nX-Pad: ",
}


@pytest.mark.parametrize("whole", [True, False], ids=["one piece", "byte by byte"])
@pytest.mark.parametrize("name", CORRUPT)
async def test_a_corrupt_response_may_have_run(name: str, whole: bool) -> None:
    """Whatever its head says: the request may have run, and taken for "never ran" it would be duplicated."""
    host = await start_host()
    calls = HostCalls(host.port)
    host.script.append(write_response(CORRUPT[name], whole or len(CORRUPT[name]) > 1000))
    calls.send("m1")
    assert (await calls.outcome("m1")).verdict is Verdict.ERROR
    assert calls.hosts.exchanges == {}
    calls.send("m2")
    assert (await calls.outcome("m2")).verdict is Verdict.OK
    assert host.connections == 2  # the first one is not reused
    host.stop()


@pytest.mark.parametrize("whole", [True, False], ids=["one piece", "byte by byte"])
@pytest.mark.parametrize(
    "rest",
    [
        b"no colon here\r\n\r\n",
        b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nfine",
        b"Content-Length: -1\r\n\r\n",
        b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"Content-Length: 400\r\n\r\nshort",
        b"X-Pad: " + 20_000 * b"p",
        NOISE,
    ],
)
async def test_a_status_line_with_200_proves_delivery_of_a_single_message(rest: bytes, whole: bool) -> None:
    host = await start_host()
    calls = HostCalls(host.port)
    host.script.append(write_response(b"HTTP/1.1 200 OK\r\n" + rest, whole or len(rest) > 1000))
    calls.send("m1")
    outcome = await calls.outcome("m1")
    assert (outcome.verdict, outcome.complete) == (Verdict.OK, True)
    while calls.hosts.exchanges:
        await asyncio.sleep(0.01)
    calls.send("m2")
    await calls.outcome("m2")
    assert host.connections == 2
    host.stop()


@pytest.mark.parametrize("head", [b"HTTP/1.1 200 OK\r\n", b"HTTP/1.1 503 X\r\n"])
@pytest.mark.parametrize("endless", [b"X-Pad: pppppppp\r\n", b"Content-Length: 3000000000\r\n\r\n"])
async def test_an_endless_response_frees_slot_and_connection(head: bytes, endless: bytes) -> None:
    host = await start_host()
    calls = HostCalls(host.port)
    host.script.append(write_response(head, True, endless))
    calls.send("m1")
    assert (await calls.outcome("m1")).verdict is (Verdict.OK if b"200" in head else Verdict.ERROR)
    while calls.hosts.exchanges or host.writers:
        await asyncio.sleep(0.01)
    host.stop()


@pytest.mark.parametrize("whole", [True, False], ids=["one piece", "byte by byte"])
@pytest.mark.parametrize(
    "data",
    [
        BATCH.replace(b" 26", b" 14") + b"",
        BATCH.replace(b" 26", b" 400"),
        BATCH.replace(b"Content-Length: 26", b"Content-Length: 26\r\nContent-Length: 3"),
        BATCH.replace(b"m2 refused", b"m9 refused"),
        BATCH.replace(b"m1 delivered", b"m2 delivered"),
        BATCH.replace(b"refused", b"refuted"),
        BATCH.replace(b"m1 delivered", b"\xff\xfe delivered"),
        BATCH.replace(b"HTTP/1.1 200", b"HTTP/1.1 2x0"),
        BATCH.replace(b"Content-Length: 26", b"Transfer-Encoding: chunked").replace(b"m1", b"zz\r\nm1"),
    ],
)
async def test_a_corrupt_batch_response_proves_nothing(data: bytes, whole: bool) -> None:
    """Neither its status line nor its intact lines count: the line of another message may be missing."""
    host = await start_host()
    calls = HostCalls(host.port)
    host.script.append(write_response(data, whole))
    calls.send("m1", "m2")
    for ref in ("m1", "m2"):
        outcome = await calls.outcome(ref)
        assert (outcome.verdict, outcome.complete) == (Verdict.ERROR, False)
    calls.send("m3")
    await calls.outcome("m3")
    assert host.connections == 2
    host.stop()


@pytest.mark.parametrize("whole", [True, False], ids=["one piece", "byte by byte"])
@pytest.mark.parametrize(
    "ahead", [b"", b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n"]
)
@pytest.mark.parametrize("behind", [b"", NOISE, OK])
@pytest.mark.parametrize("good", [OK, FULL])
async def test_extra_data_does_not_invalidate_a_response(
    good: bytes, behind: bytes, ahead: bytes, whole: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(http, "RESPONSE_TIMEOUT_S", WAIT_LIMIT_S)  # a slow machine may take long to write it
    host = await start_host()
    calls = HostCalls(host.port)
    host.script.append(write_response(ahead + good + behind, whole))
    calls.send("m1")
    outcome = await calls.outcome("m1")
    assert outcome.verdict is (Verdict.OK if good == OK else Verdict.FULL)
    assert outcome.retry_after_us == (0 if good == OK else 100_000)
    host.stop()


@pytest.mark.parametrize("behind", [NOISE, OK, BATCH])
async def test_extra_data_is_never_taken_for_the_next_response(behind: bytes) -> None:
    host = await start_host(lambda request: request.answer(500))
    calls = HostCalls(host.port)
    host.script.append(write_response(OK + behind, True))
    calls.send("m1")
    await calls.outcome("m1")
    while calls.hosts.exchanges:
        await asyncio.sleep(0.01)
    calls.send("m2")
    assert (await calls.outcome("m2")).verdict is Verdict.ERROR
    host.stop()


async def test_a_final_response_may_come_long_after_a_1xx() -> None:
    """Only a response that has started must be complete soon."""
    host = await start_host()
    calls = HostCalls(host.port)
    host.script.append(lambda request: request.writer.write(b"HTTP/1.1 102 Processing\r\n\r\n"))
    calls.send("m1")
    request = await host.call(0)
    await asyncio.sleep(1.1)  # longer than RESPONSE_TIMEOUT_S
    assert calls.outcomes == {}
    delivered(request)
    assert (await calls.outcome("m1")).verdict is Verdict.OK
    host.stop()


async def test_a_time_limit_within_a_response_is_no_timeout() -> None:
    """A timeout verdict would be attributed to the connection, and idle ones would be closed ever earlier."""
    host = await start_host()
    calls = HostCalls(host.port)
    host.script.append(write_response(b"HTTP/1.1 503 X\r\nX-Pad: ", True))
    call = calls.send("m1", "m2")
    while call.connection is None or not call.connection.response_started:
        await asyncio.sleep(0.01)
    calls.hosts._stop_part(call, call.call.parts[0], Verdict.TIMEOUT)
    assert calls.outcomes["m1"].verdict is Verdict.ERROR
    assert (await calls.outcome("m2")).verdict is Verdict.ERROR
    host.stop()


async def test_endless_1xx_responses_are_an_error() -> None:
    host = await start_host()
    calls = HostCalls(host.port)
    host.script.append(write_response(100 * b"HTTP/1.1 100 Continue\r\n\r\n", True))
    calls.send("m1")
    assert (await calls.outcome("m1")).verdict is Verdict.ERROR
    host.stop()


async def test_unsolicited_data_is_counted_and_logged_with_the_call_before_it(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO, "mallowlug")
    host = await start_host()
    calls = HostCalls(host.port)
    host.script.append(write_response(OK + OK, True))
    exchange = calls.send("m1")
    await calls.outcome("m1")
    while calls.hosts.exchanges:
        await asyncio.sleep(0.01)
    reason = HostClose.UNSOLICITED
    assert calls.hosts._reasons.total(Event.HOST_CLOSE)[reason] == 1
    assert exchange.connection is not None
    [line] = [record.getMessage() for record in caplog.records if reason in record.getMessage()]
    assert f"h1 connection {exchange.connection.number}:" in line and "(message m1 attempt 0)" in line
    host.stop()
