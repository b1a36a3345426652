"""The real process on loopback sockets, as clients, hosts and the platform see it."""

from __future__ import annotations

import asyncio
import re

import pytest

from mallowlug.directory import discovery
from mallowlug.ends import notices
from mallowlug.net.attribution import REUSE_REST_S
from tests.world import Request, World, delivered, encode_command, enqueue, silent, soon

RESTED_S = 1.2 * REUSE_REST_S  # after an answer: its connection is reused, however late the answer is read


async def test_message_is_forwarded_unchanged(world: World) -> None:
    host = await world.add("h1")
    client = await world.run()
    body = bytes(range(256)) * 4
    assert await client.command(*enqueue("m1", "keyed", body=body)) == b"+OK"
    call = await host.call(0)
    assert (call.method, call.target, call.body) == ("POST", "/hook", body)
    assert call.headers["x-txn"] == "m1"
    assert call.headers["idempotency-key"] == "key-m1"
    assert 0 < int(re.fullmatch(r"(\d+)m", call.headers["x-remaining"])[1]) <= 30_000  # type: ignore[index]


async def test_rested_connections_are_reused(world: World) -> None:
    """A new connection for each message would cost the host work and the message time."""
    host = await world.add("h1")
    client = await world.run()
    for number in range(3):
        assert await client.submit(f"m{number}") == b"+OK"
        await host.call(number)
        await asyncio.sleep(RESTED_S)
    assert host.connections == 1


@pytest.mark.parametrize("on_new_connection", [True, False])
async def test_repeated_request_is_one_message(world: World, on_new_connection: bool) -> None:
    """A client repeats a request on a new connection if the old one closed while it was being sent."""
    host = await world.add("h1")
    client = await world.run()
    assert await client.submit("m1") == b"+OK"
    await host.call(0)
    again = await world.client() if on_new_connection else client
    assert await again.submit("m1") == b"+OK"
    assert await client.submit("m2") == b"+OK"
    assert [(await host.call(at)).ids for at in (0, 1)] == [["m1"], ["m2"]]


@pytest.mark.parametrize(
    "request_bytes",
    [
        encode_command(b"HELLO"),
        encode_command(b"ENQUEUE", b"0", b"m1"),
        encode_command(b"ENQUEUE", b"0", b"m 1", b"c=safe,d=100,dest=1", b""),
        encode_command(b"ENQUEUE", b"0", b"m1", b"c=nothing,d=100,dest=1", b""),
        encode_command(b"ENQUEUE", b"0", b"m1", b"c=safe,d=-5,dest=1", b""),
        encode_command(b"ENQUEUE", b"0", b"m1", b"c=safe,d=100", b""),
        encode_command(b"ENQUEUE", b"0", b"m1", b"c=safe,d=100,dest=x\r\ny", b""),
        encode_command(b"ENQUEUE", b"0", b"m1", b"nonsense", b""),
        encode_command(b"ENQUEUE", b"0", b"", b"c=safe,d=100,dest=1", b""),
        encode_command(b"ENQUEUE", b"0", b"m1", b"c=safe,d=soon,dest=1", b""),
        encode_command(b"ENQUEUE", b"0", b"m1", b"c=keyed,d=100,dest=1", b""),
        encode_command(b"ENQUEUE", b"0", b"m1", b"c=safe,d=100,dest=1", bytes(65537)),
        encode_command(b""),
    ],
)
async def test_malformed_request_gets_an_error_and_keeps_the_connection(
    world: World, request_bytes: bytes
) -> None:
    client = await world.run()
    assert (await client.send_raw(request_bytes)).startswith(b"-ERR")
    assert await client.command(b"PING") == b"+PONG"


@pytest.mark.parametrize(
    "frame",
    [
        b"n",
        b"nonsense\r\n",
        b"+word\r\n",
        b"*0\r\n",
        b"*-1\r\n",
        b"*1000000000\r\n",
        b"*" + b"9" * 70_000,
        b"*1\r\n:5\r\n",
        b"*1\r\n$x\r\n",
        b"*1\r\n$-5\r\n",
        b"*1\r\n$60000000\r\n",
        b"*1\r\n$3\r\nlonger\r\n",
        b"*2\r\n$9\r\nshort\r\n$1\r\na\r\n",
        b"*2\r\n*1\r\n$1\r\na\r\n$1\r\nb\r\n",
        b"*2\r\n*1000000000\r\n",
        encode_command(*(bytes(9000) for _ in range(9))),
        encode_command(b"PING") + b"*1000000000\r\n",
    ],
)
@pytest.mark.parametrize("whole", [True, False], ids=["one piece", "byte by byte"])
async def test_malformed_frame_closes_only_its_connection(world: World, frame: bytes, whole: bool) -> None:
    """Whatever its lengths say, and wherever in a request: the rest of the stream cannot be parsed."""
    other = await world.run()
    client = await world.client()
    for at in range(0, 1 if whole else min(len(frame), 40)):
        client.writer.write(frame if whole else frame[at : at + 1])
        await asyncio.sleep(0)
    client.writer.write(b"" if whole else frame[40:])
    received = await soon(ended(client.reader))
    assert received == b"" or received.splitlines()[-1].startswith(b"-ERR")
    assert await other.command(b"PING") == b"+PONG"


async def ended(reader: asyncio.StreamReader) -> bytes:
    """Return the bytes received until the connection ends; a reset (with unread bytes) is an end, too."""
    received = b""
    try:
        while data := await reader.read(4096):
            received += data
    except ConnectionError:
        pass
    return received


async def test_request_may_arrive_in_pieces(world: World) -> None:
    host = await world.add("h1")
    client = await world.run()
    data = encode_command(*enqueue("m1")) + encode_command(b"PING")
    for at in range(0, len(data), 7):
        client.writer.write(data[at : at + 7])
        await client.writer.drain()
    assert await soon(client.reader.readline()) == b"+OK\r\n"
    assert await soon(client.reader.readline()) == b"+PONG\r\n"
    await host.call(0)


async def test_message_beyond_the_backlog_limit_is_refused_with_a_wait(world: World) -> None:
    world.settings["allowed"]["open_cap"] = 1
    host = await world.add("h1", silent)
    client = await world.run()
    assert await client.submit("m1") == b"+OK"
    await host.call(0)
    assert await client.submit("m2") == b"-BUSY 2000"


async def test_full_disk_budget_refuses_new_messages_only(world: World) -> None:
    """More than ``disk_mb`` in the folder would end the process: new messages are refused before."""
    world.disk_mb = 0.1
    host = await world.add("h1", silent)
    client = await world.run()
    answers = [await client.command(*enqueue(f"m{n}", body=bytes(9000))) for n in range(12)]
    assert answers[0] == b"+OK"
    assert answers[-1] == b"-BUSY 2000"
    assert sum(path.stat().st_size for path in world.state.iterdir()) < 100_000
    (await host.call(0)).answer()
    host.default = delivered
    while await client.command(*enqueue("late", body=bytes(9000))) != b"+OK":
        await asyncio.sleep(0.02)
    await host.until(lambda: any("late" in request.ids for request in host.seen))


async def test_sends_of_one_step_share_a_call_with_individual_results(world: World) -> None:
    def mixed(request: Request) -> None:
        ends = {"m1": "delivered", "m2": "refused", "m3": "over", "m4": "failed", "m5": "spent"}
        request.answer(200, "".join(f"{ref} {ends[ref]}\r\n" for ref in request.ids))

    host = await world.add("h1", kind="banks")
    client = await world.run()
    host.script.append(mixed)
    refs = [f"m{number}" for number in range(1, 6)]
    kinds = {"m4": "unsafe"}
    client.writer.write(b"".join(encode_command(*enqueue(ref, kinds.get(ref, "safe"))) for ref in refs))
    assert [await soon(client.reader.readline()) for _ in refs] == [b"+OK\r\n"] * 5
    call = await host.call(0)
    assert call.target == "/hook/batch"
    assert sorted(call.ids) == refs
    assert b"m2 key-m2 5\r\nhello\r\n" in call.body
    assert (await world.directory.notice("m4"))["result"] == "dead"  # in doubt
    await host.until(lambda: {"m2", "m5"} <= {ref for r in host.seen[1:] for ref in r.ids})
    assert {ref for r in host.seen[1:] for ref in r.ids} == {"m2", "m5"}


async def test_truncated_batch_response_is_in_doubt(world: World) -> None:
    """A batch counts as delivered only once its whole response has arrived."""

    def cut(request: Request) -> None:
        request.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\nm1 delivered\r\n")
        request.writer.close()

    host = await world.add("h1", kind="banks")
    client = await world.run()
    host.script.append(cut)
    client.writer.write(encode_command(*enqueue("m1", "unsafe")) + encode_command(*enqueue("m2", "safe")))
    assert (await world.directory.notice("m1"))["result"] == "dead"
    assert (await host.call(1)).ids == ["m2"]


@pytest.mark.parametrize("status", [503, 504])
async def test_unsafe_message_that_never_ran_is_retried(world: World, status: int) -> None:
    host = await world.add("h1")
    client = await world.run()
    host.script.append(lambda request: request.answer(status))
    assert await client.submit("m1", "unsafe") == b"+OK"
    assert (await host.call(1)).ids == ["m1"]


async def test_completed_message_is_not_sent_again(world: World) -> None:
    host = await world.add("h1")
    client = await world.run()
    host.script.append(lambda request: request.answer(410))
    assert await client.submit("m1") == b"+OK"
    await world.wait_for_journal(b'"over"')
    client = await world.kill_and_restart()
    assert await client.submit("m2") == b"+OK"
    await host.until(lambda: host.seen[-1].ids == ["m2"])
    assert [request.ids for request in host.seen] == [["m1"], ["m2"]]
    assert world.directory.notices == []


@pytest.mark.parametrize("reply", [lambda r: r.answer(500), Request.reset, lambda r: r.writer.close()])
async def test_unsafe_message_in_doubt_is_not_repeated(world: World, reply: object) -> None:
    host = await world.add("h1")
    client = await world.run()
    host.script.append(reply)  # type: ignore[arg-type]
    assert await client.submit("m1", "unsafe") == b"+OK"
    assert await world.directory.notice("m1") == {"ref": "m1", "result": "dead"}
    assert len(host.seen) == 1


async def test_reset_on_a_reused_connection_is_in_doubt(world: World) -> None:
    """Idle before or not: once the last byte is sent, the host may have started."""
    host = await world.add("h1")
    client = await world.run()
    await client.submit("m1", "unsafe")
    await host.call(0)
    await asyncio.sleep(RESTED_S)
    host.script.append(Request.reset)
    await client.submit("m2", "unsafe")
    assert (await world.directory.notice("m2"))["result"] == "dead"
    assert [request.connection for request in host.seen] == [1, 1]


async def test_connection_closed_by_the_host_is_not_reused(world: World) -> None:
    host = await world.add("h1")
    client = await world.run()
    await client.submit("m1", "unsafe")
    (await host.call(0)).writer.close()
    await host.until(lambda: True)
    while host.writers:
        await asyncio.sleep(0.01)
    await client.submit("m2", "unsafe")
    assert (await host.call(1)).connection == 2


async def test_refused_connection_proves_that_the_attempt_never_ran(world: World) -> None:
    host = await world.add("h1", listens=False)
    client = await world.run()
    assert await client.submit("m1", "unsafe") == b"+OK"
    # Time for a refused first attempt; without one the test proves less, but is not wrong.
    await asyncio.sleep(0.05)
    await host.start()
    assert (await host.call(0)).ids == ["m1"]


async def test_unanswered_calls_end_at_the_message_deadline(world: World) -> None:
    """A keyed message in doubt fails; a safe one is refused with a time to retry after."""
    await world.add("h1", silent)
    client = await world.run()
    await client.submit("m1", "keyed", d=1500)
    await client.submit("m2", "safe", d=1500)
    assert await world.directory.notice("m1") == {"ref": "m1", "result": "dead"}
    received = await world.directory.notice("m2")
    assert (received["ref"], received["result"]) == ("m2", "bounced")
    assert 1000 <= received["wait_ms"] <= 2000, "random, so that not all clients retry together"


async def test_retry_after_wait_is_honoured(world: World) -> None:
    """It may come with any response, also with one that delivers."""
    host = await world.add("h1")
    client = await world.run()
    host.script.append(lambda request: request.answer(429, X_Retry_In_Ms="600"))
    host.script.append(lambda request: request.answer(200, X_Retry_In_Ms="600"))
    await client.submit("m1")
    first, second = await host.call(0), await host.call(1)
    assert second.at_s - first.at_s >= 0.6
    await client.submit("m2")
    assert (await host.call(2)).at_s - second.at_s >= 0.6


async def test_draining_host_gets_no_new_calls(world: World) -> None:
    draining, other = await world.add("h1"), await world.add("h2", site="b")
    client = await world.run()
    await client.submit("m1")
    await draining.call(0)
    world.directory.change("h1", health="DRAINING")
    while draining.writers:  # the relay has received it once it closes its idle connection
        await asyncio.sleep(0.01)
    await client.submit("m2")
    assert (await other.call(0)).ids == ["m2"]
    world.directory.change("h2", health="DELETED")
    while other.writers:
        await asyncio.sleep(0.01)
    await client.submit("m3", d=300)
    assert (await world.directory.notice("m3"))["result"] == "bounced"
    assert (len(draining.seen), len(other.seen)) == (1, 1)


@pytest.mark.parametrize("how", ["lose", "garble"])
async def test_broken_watch_is_reopened(world: World, how: str) -> None:
    world.list_unserved_destination(2)
    host = await world.add("h1")
    client = await world.run()
    await client.submit_until_accepted("m1")
    await host.call(0)
    getattr(world.directory, how)()
    await client.submit("m2", dest=2, d=400)  # notices are sent even while discovery is down
    assert (await world.directory.notice("m2"))["result"] == "bounced"
    await client.submit("m3")
    await host.call(1)  # the list held is still used
    world.directory.down = False
    late = await world.add("h2", block=2)
    await client.submit("m4", dest=2)
    assert (await late.call(0)).ids == ["m4"]
    asked = [request.target for request in world.directory.seen if request.method == "GET"]
    assert asked[0].endswith("from=0")
    assert not asked[-1].endswith("from=0")


async def test_notice_is_repeated_until_confirmed(world: World) -> None:
    client = await world.run()
    await world.directory.call(0)
    world.directory.script += [Request.reset, lambda request: request.answer(503)]
    await client.submit("m1", d=100)
    await world.directory.until(lambda: len(world.directory.seen) == 4)  # a watch and three posts
    assert (await world.directory.notice("m1"))["result"] == "bounced"
    posts = [request.body for request in world.directory.seen if request.method == "POST"]
    assert len(posts) == 3
    assert len(set(posts)) == 1


async def test_invalid_list_entries_are_skipped(world: World) -> None:
    world.directory.change("bad1", dial="nowhere")
    world.directory.change("bad2", dial="127.0.0.1:1", health="ODD")
    world.directory.change("bad3", dial="127.0.0.1:1", block="x")
    host = await world.add("h1")
    client = await world.run()
    await client.submit("m1")
    assert (await host.call(0)).ids == ["m1"]


@pytest.mark.parametrize("answer", [b"nonsense\r\n\r\n", b"HTTP/1.1 503 X\r\nX: " + b"y" * 70_000])
async def test_unreadable_response_is_in_doubt(world: World, answer: bytes) -> None:
    host = await world.add("h1")
    client = await world.run()
    host.script.append(lambda request: request.writer.write(answer))
    await client.submit("m1", "unsafe")
    assert (await world.directory.notice("m1"))["result"] == "dead"
    await client.submit("m2")
    await host.until(lambda: host.seen[-1].ids == ["m2"])


async def test_longest_idle_connection_is_closed_at_the_limit(world: World) -> None:
    """Descriptors are limited; closing the new connection would lose the request on its way."""
    world.sockets = 8  # of which half are for clients
    first = await world.run()
    others = [await world.client() for _ in range(3)]
    for client in (*others, first):
        assert await client.command(b"PING") == b"+PONG"
    newest = await world.client()
    assert await newest.submit("m1") == b"+OK"
    assert await soon(others[0].reader.read()) == b""
    for client in (*others[1:], first, newest):
        assert await client.command(b"PING") == b"+PONG"


async def test_hanging_notice_post_is_repeated_in_time(world: World) -> None:
    """A notice is overdue 300 ms after the deadline: one hanging connection must not use that up."""
    client = await world.run()
    await world.directory.call(0)
    world.directory.script.append(silent)
    await client.submit("m1", d=100)
    assert (await world.directory.notice("m1"))["result"] == "bounced"
    await client.submit("m2", d=100)
    await world.directory.notice("m2")
    assert [notice["ref"] for notice in world.directory.notices] == ["m1", "m2"]


async def test_silent_watch_is_reopened(world: World) -> None:
    """A network failure closes no connection, but list changes during it have to be applied."""
    world.directory.heartbeat = False
    await world.run()
    await world.directory.call(0)
    again = await world.directory.call(1)
    assert again.target == "/discovery/hosts?watch=1&from=1"


def test_timeouts_are_within_the_rules() -> None:
    """A notice is overdue after 300 ms, a list change after 6 s; a watch has a line every 2 s."""
    reopen_s = 0.65 + 0.5  # the engine's first retry gap at most, and a slow response
    assert notices.POST_TIMEOUT_S[0] + notices.RETRY_DELAY_S[0] < 0.3
    assert 2 < discovery.SILENCE_TIMEOUT_S < 6 - reopen_s
