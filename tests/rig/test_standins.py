"""Tests of the simulated services against independent libraries, so that both sides cannot share a fault."""

from __future__ import annotations

import asyncio
import http.client
import json
import random
from collections.abc import AsyncIterator, Callable
from pathlib import Path
from typing import Any

import hiredis
import pytest

from mallowlug.rig.judge import record as rec
from mallowlug.rig.world import draw
from mallowlug.rig.world.clients import Clients, RelayTarget, encode_command, parse_answer
from mallowlug.rig.world.host_model import KeyMemory
from mallowlug.rig.world.hosts import BadCallError, ClassWork, Host, HostContext, parse_messages
from mallowlug.rig.world.httpd import Request
from mallowlug.rig.world.platform import DiscoveryServer, Platform
from mallowlug.rig.world.scenario import ClientsTable, KindTable, Scenario
from tests.world import soon

SCENARIO = Scenario.model_validate({"name": "s", "seed": 1, "length_s": 1.0, "load": {"rate_per_s": 5.0}})
KIND = KindTable(name="banks", share=1.0, batch=3, error_rate=0.0, handshake_ms=(0, 0))


class Harness:
    """A record with its events so far, and a factory of endpoints."""

    def __init__(self, folder: Path) -> None:
        self.writer = rec.RecordWriter(folder / "record", lambda _at: draw.record_head(SCENARIO))
        self.events: list[rec.AnyEvent] = []
        self.writer.listeners.append(self.events.append)
        classes = {"c": ClassWork(0.001, 25.0), "zoned": ClassWork(0.001, 25.0, by_zone=True)}
        self.book = HostContext(self.writer, classes)
        self.memory = KeyMemory()

    async def host(self, kind: KindTable = KIND, name: str = "h", zone: str = "a") -> Host:
        """Start a fast endpoint."""
        plan = draw.HostPlan(
            name, 1, zone, kind, per_s=4.0, capacity_per_s=1000.0, servers=2, queue=2,
            service_time_factor=1.0, network_s=0.0, handshake_s=0.0, cold_from=0.25, warm_s=10.0,
        )  # fmt: skip
        host = Host(plan, self.book, self.memory, 15.0, "seed")
        await host.listen()
        return host

    def ask(self, *refs: str, cls: str = "c") -> None:
        """Register submitted messages."""
        for ref in refs:
            self.book.submitted_classes[ref] = cls

    def of(self, kind: type) -> list[Any]:
        """Return the events of a type."""
        return [event for event in self.events if isinstance(event, kind)]


@pytest.fixture
async def world(tmp_path: Path) -> AsyncIterator[Harness]:
    """Provide a harness with an empty record."""
    yield Harness(tmp_path)


async def call(
    host: Host, *refs: str, key: str = "k", connection: http.client.HTTPConnection | None = None
) -> tuple[int, dict[str, str], str]:
    """Make one call with the standard library's client; return status, headers and body."""

    def run() -> tuple[int, dict[str, str], str]:
        client = connection or http.client.HTTPConnection(*host.address, timeout=20)
        if len(refs) == 1:
            client.request("POST", "/hook", b"body", {"X-Txn": refs[0], "Idempotency-Key": key})
        else:
            body = b"".join(b"%s - 4\r\nbody\r\n" % ref.encode() for ref in refs)
            client.request("POST", "/hook/batch", body)
        answer = client.getresponse()
        told = (answer.status, {n.lower(): v for n, v in answer.getheaders()}, answer.read().decode())
        if connection is None:
            client.close()
        return told

    return await soon(asyncio.get_running_loop().run_in_executor(None, run))


async def test_a_call_is_delivered_and_recorded_from_first_byte_to_answer(world: Harness) -> None:
    host = await world.host()
    world.ask("m1")
    assert (await call(host, "m1"))[0] == 200
    [came], [ran], [answer] = world.of(rec.Call), world.of(rec.MessageProcessed), world.of(rec.CallAnswered)
    assert (came.ids, came.host, ran.effect, answer.ends) == (["m1"], "h", True, {"m1": "delivered"})
    assert came.began <= came.at <= ran.at <= answer.at
    host.stop_listening()


async def test_a_batch_answer_states_each_result(world: Harness) -> None:
    host = await world.host()
    world.ask("m1", "m2", "m3")
    status, _, body = await call(host, "m1", "m2", "m3")
    assert (status, body) == (200, "m1 delivered\r\nm2 delivered\r\nm3 delivered\r\n")
    host.stop_listening()


async def test_a_connection_serves_one_call_after_the_other(world: Harness) -> None:
    host = await world.host()
    world.ask("m1", "m2")
    client = http.client.HTTPConnection(*host.address, timeout=20)
    for ref in ("m1", "m2"):
        assert (await call(host, ref, connection=client))[0] == 200
    assert len({came.connection for came in world.of(rec.Call)}) == 1
    client.close()
    host.stop_listening()


async def test_a_key_that_is_remembered_has_no_effect_again(world: Harness) -> None:
    first, second = await world.host(), await world.host()
    world.ask("m1", "m2", "m3")
    await call(first, "m1", key="k1")
    await call(second, "m2", key="k1")
    await call(second, "m3", key="k2")
    assert [ran.effect for ran in world.of(rec.MessageProcessed)] == [True, False, True]
    first.stop_listening()
    second.stop_listening()


@pytest.mark.parametrize(("cls", "effects"), [("c", [True, False]), ("zoned", [True, True])])
async def test_a_key_is_remembered_by_the_whole_destination_or_by_its_zone(
    world: Harness, cls: str, effects: list[bool]
) -> None:
    hosts = [await world.host(), await world.host(name="i", zone="b")]
    world.ask("m0", "m1", cls=cls)
    for host, ref in zip(hosts, ("m0", "m1"), strict=True):
        await call(host, ref)
    assert [event.effect for event in world.of(rec.MessageProcessed)] == effects


async def test_over_its_limit_an_endpoint_refuses_with_a_wait(world: Harness) -> None:
    kind = KIND.model_copy(update={"limited": True, "tells_wait": 1.0, "wait_ms": (100, 100)})
    host = await world.host(kind)
    host.model.tokens_updated_s = host.now()
    world.ask(*(f"m{n}" for n in range(4)))
    assert (await call(host, "m0"))[0] == 200
    assert (await call(host, "m1"))[0] in (200, 429)
    told = [await call(host, ref) for ref in ("m2", "m3")]
    assert told[-1][0] == 429
    wait_ms = int(told[-1][1]["x-retry-in-ms"])
    assert wait_ms >= 100
    assert world.of(rec.CallAnswered)[-1].wait_us == wait_ms * 1000
    assert told[-1][1]["x-pressure"].startswith("x0=0.")
    host.stop_listening()


async def test_while_shut_the_wait_lasts_until_it_reopens(world: Harness) -> None:
    kind = KIND.model_copy(update={"tells_wait": 1.0})
    host = await world.host(kind)
    world.ask("m1")
    host.begin_outage("shut", 1.0, 60.0)
    status, headers, _ = await call(host, "m1")
    assert status == 429
    assert 59_000 <= int(headers["x-retry-in-ms"]) <= 60_000
    host.stop_listening()


async def test_an_endpoint_that_refuses_connections_returns_cold(world: Harness) -> None:
    host = await world.host()
    host.begin_outage("refuse", 1.0, 1.0)
    with pytest.raises(OSError):
        await call(host, "m1")
    await host.end_outage()
    world.ask("m1")
    assert (await call(host, "m1"))[0] == 200
    assert [(life.state, life.cold_from) for life in world.of(rec.HostStateChange)] == [
        ("out", 1.0),
        ("back", 0.25),
    ]
    host.stop_listening()


async def test_a_silent_endpoint_runs_the_call_and_resets_it_on_return(world: Harness) -> None:
    host = await world.host()
    world.ask("m1")
    host.begin_outage("silent", 1.0, 1.0)
    pending = asyncio.create_task(call(host, "m1"))
    while not world.of(rec.MessageProcessed):
        await asyncio.sleep(0.01)
    await host.end_outage()
    with pytest.raises(ConnectionError):
        await pending
    assert world.of(rec.CallAnswered) == []
    assert [gone.call for gone in world.of(rec.CallBroken)] == [1]


async def test_overloaded_while_cold_an_endpoint_collapses(world: Harness) -> None:
    host = await world.host()
    host.begin_outage("refuse", 1.0, 1.0)
    await host.end_outage()
    world.ask(*(f"m{n}" for n in range(40)))
    with pytest.raises((ConnectionError, http.client.HTTPException)):
        for number in range(40):
            await call(host, f"m{number}")
    assert world.of(rec.HostStateChange)[-1].state == "fell"
    with pytest.raises(OSError):
        await call(host, "m39")


async def test_a_call_with_an_unsubmitted_message_is_a_bad_call(world: Harness) -> None:
    host = await world.host()
    assert (await call(host, "m9"))[0] == 400
    assert world.book.bad_calls == 1
    host.stop_listening()


@pytest.mark.parametrize(
    ("target", "headers", "body"),
    [
        ("/hook", {}, b"x"),
        ("/other", {"x-txn": "m1"}, b"x"),
        ("/hook/batch", {}, b""),
        ("/hook/batch", {}, b"m1 - 4\r\nbo\r\n"),
        ("/hook/batch", {}, b"m1 4\r\nbody\r\n"),
        ("/hook/batch", {}, b"m1 - 4\r\nbody\r\nm1 - 4\r\nbody\r\n"),
        ("/hook/batch", {}, b"".join(b"m%d - 1\r\nx\r\n" % n for n in range(4))),
    ],
)
def test_calls_that_violate_the_protocol_are_rejected(
    target: str, headers: dict[str, str], body: bytes
) -> None:
    request = Request(None, "POST", target, headers, body, 0.0, 0.0)  # type: ignore[arg-type]
    with pytest.raises(BadCallError):
        parse_messages(request, 3)


async def get(server: DiscoveryServer, target: str) -> tuple[int, list[Any]]:
    """Return a complete answer, or a watch's first line, read by the standard library's client."""

    def run() -> tuple[int, list[Any]]:
        client = http.client.HTTPConnection(*server.address, timeout=20)
        client.request("GET", target)
        answer = client.getresponse()
        lines = [json.loads(answer.readline())] if answer.status == 200 else []
        client.close()
        return answer.status, lines

    return await soon(asyncio.get_running_loop().run_in_executor(None, run))


async def test_discovery_serves_the_list_and_its_changes(world: Harness) -> None:
    platform = Platform(world.writer, (0.0, 0.0), random.Random(1))
    platform.dial_address = lambda relay, host: f"{relay}.{host}:1"
    server = await platform.add_server("n0")
    platform.set_state("h1", "ready", delayed=False, block=3)
    status, [news] = await get(server, "/discovery/hosts")
    assert (status, news["whole"], news["seq"]) == (200, True, 1)
    assert [(e["host"], e["block"], e["dial"], e["health"]) for e in news["hosts"]] == [
        ("h1", 3, "n0.h1:1", "SERVING")
    ]
    platform.set_state("h1", "draining", delayed=False)
    status, [news] = await get(server, "/discovery/hosts?watch=1&from=1")
    assert [(e["host"], e["block"], e["health"]) for e in news["hosts"]] == [("h1", 3, "DRAINING")]
    assert world.of(rec.StateAnnounced)[-1].state == "draining"
    platform.go_down()
    assert (await get(server, "/discovery/hosts?watch=1&from=1"))[0] == 503
    platform.stop()


async def post(server: DiscoveryServer, body: bytes) -> int:
    """Post notices."""

    def run() -> int:
        client = http.client.HTTPConnection(*server.address, timeout=20)
        client.request("POST", "/v1/notices", body)
        return client.getresponse().status

    return await soon(asyncio.get_running_loop().run_in_executor(None, run))


async def test_notices_are_accepted_while_discovery_is_down(world: Harness) -> None:
    platform = Platform(world.writer, (0.0, 0.0), random.Random(1))
    heard: list[rec.Notice] = []
    platform.on_notice = heard.append
    server = await platform.add_server("n0")
    platform.go_down()
    body = b'{"ref":"m1","result":"dead"}\n{"ref":"m2","result":"bounced","wait_ms":500}\n'
    assert await post(server, body) == 204
    assert [(n.id, n.result, n.wait_us) for n in heard] == [("m1", "dead", 0), ("m2", "bounced", 500_000)]
    assert await post(server, b'{"ref":"m1","result":"lost"}\n') == 400
    assert await post(server, b"nonsense") == 400
    assert len(heard) == 2
    platform.stop()


def test_commands_are_encoded_as_by_an_independent_library() -> None:
    words = (b"ENQUEUE", b"0" * 16, b"m1", b"c=x,d=1", bytes(range(256)))
    assert encode_command(*words) == hiredis.pack_command(words)  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("line", "what", "wait_us"),
    [
        (b"+OK\r\n", "taken", 0),
        (b"-BUSY 250\r\n", "refused", 250_000),
        (b"-BUSY\r\n", "refused", 0),
        (b"-ERR no\r\n", "failed", 0),
        (b":1\r\n", "failed", 0),
    ],
)
def test_answers_are_parsed_into_the_records_terms(line: bytes, what: str, wait_us: int) -> None:
    assert (parse_answer(line).result, parse_answer(line).wait_us) == (what, wait_us)


class Scripted:
    """A relay with scripted answers that reads requests with hiredis."""

    def __init__(self, *answers: bytes | None) -> None:
        self.answers, self.seen = list(answers), list[list[bytes]]()
        self.connections = 0

    async def start(self) -> RelayTarget:
        """Listen; return the address for clients."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return RelayTarget("n0", self.server.sockets[0].getsockname())

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        parser = hiredis.Reader()
        while data := await reader.read(4096):
            parser.feed(data)
            while (words := parser.gets()) is not False:
                self.seen.append(words)
                answer = self.answers.pop(0) if self.answers else b"+OK\r\n"
                if answer is None:
                    writer.close()
                    return
                writer.write(answer)


async def submit_until(
    world: Harness, script: Scripted, until: Callable[[], bool], **settings: Any
) -> Clients:
    """Submit one message with these client settings; wait until the condition holds."""
    known: dict[str, Any] = {"retries": 2, "backoff_s": (0.01, 0.01), "honour": 1.0}
    clients = Clients(world.writer, ClientsTable(**(known | settings)), random.Random(1))
    relay = await script.start()
    cls = draw.record_head(SCENARIO).classes[0]
    arrival = draw.Arrival(0.0, 0, 7, cls.name, "m", "", 5)
    task = asyncio.create_task(clients.run_message(relay, arrival, cls))

    async def wait() -> None:
        while not until():
            await asyncio.sleep(0.01)

    await soon(wait())
    task.cancel()
    script.server.close()
    return clients


async def test_a_refused_message_is_resubmitted_with_a_new_id_after_its_wait(world: Harness) -> None:
    script = Scripted(b"-BUSY 120\r\n", b"-BUSY\r\n")
    await submit_until(world, script, lambda: len(world.of(rec.ClientOutcome)) == 3, marks=True)
    first, second, third = world.of(rec.MessageSubmitted)
    assert len({first.id, second.id, third.id}) == 3
    assert (first.first, second.first, third.first) == ("", first.id, first.id)
    assert first.key == second.key == third.key != ""
    assert second.at - first.at >= 120_000
    assert [b"r=1" in words[3] for words in script.seen] == [False, True, True]
    assert [said.what for said in world.of(rec.ClientOutcome)] == ["refused", "refused", "taken"]
    assert second.left_us < first.left_us


async def test_a_request_on_a_closed_idle_connection_is_resent(world: Harness) -> None:
    script = Scripted(b"-BUSY\r\n", None)
    await submit_until(world, script, lambda: len(world.of(rec.ClientOutcome)) == 2)
    assert [said.what for said in world.of(rec.ClientOutcome)] == ["refused", "taken"]
    assert [words[2] for words in script.seen[1:]] == [script.seen[1][2]] * 2  # resent with the same id
    assert script.connections == 2


async def test_a_message_to_a_silent_relay_is_resubmitted(world: Harness) -> None:
    script = Scripted(b"")
    await submit_until(world, script, lambda: len(world.of(rec.ClientOutcome)) == 2, answer_s=0.1)
    assert [said.what for said in world.of(rec.ClientOutcome)] == ["silent", "taken"]
    assert b"again=1" in script.seen[1][3]


async def test_a_dead_notice_is_the_final_result(world: Harness) -> None:
    script = Scripted()
    clients = await submit_until(world, script, lambda: len(world.of(rec.ClientOutcome)) == 1)
    assert clients.pending_count == 1
    clients.notice_received(rec.Notice(0, "n0", world.of(rec.MessageSubmitted)[0].id, "dead"))
    assert clients.pending_count == 0
