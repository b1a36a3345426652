"""Repeated answers and overlapping calls at the simulated hosts, and what the seeds draw of them."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path

import pytest

from mallowlug.rig.judge import record as rec
from mallowlug.rig.soak.plan import soak_scenario
from mallowlug.rig.world.repeats import RepeatFault, RepeatForm, draw_repeats, repeated_bytes
from tests.rig.test_standins import Harness
from tests.world import soon

FIRST = b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nab"
SECOND = b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"


def request(ref: str) -> bytes:
    """A call with one message."""
    return b"POST /hook HTTP/1.1\r\nHost: h\r\nX-Txn: %s\r\nContent-Length: 1\r\n\r\nx" % ref.encode()


@pytest.mark.parametrize(
    ("form", "data"),
    [("whole", SECOND), ("half", SECOND[: len(SECOND) // 2]), ("head", SECOND), ("previous", FIRST)],
)
def test_each_form_repeats_its_part_of_an_answer(form: RepeatForm, data: bytes) -> None:
    assert repeated_bytes(form, SECOND, FIRST) == data


async def test_a_host_repeats_its_answer_and_records_it(tmp_path: Path) -> None:
    harness = Harness(tmp_path)
    harness.ask("m1")
    harness.book.repeater.fault = RepeatFault(1.0, (0.001, 0.002))
    host = await harness.host()
    reader, writer = await asyncio.open_connection(*host.address)
    writer.write(request("m1"))
    first = await soon(reader.readuntil(b"\r\n\r\n"))
    assert await soon(reader.readuntil(b"\r\n\r\n")) == first
    assert [event.server for event in harness.of(rec.AnswerRepeated)] == ["h"]
    writer.close()
    host.stop_listening()


async def test_a_call_before_the_answer_ahead_of_it_is_recorded_once(tmp_path: Path) -> None:
    harness = Harness(tmp_path)
    harness.ask("m1", "m2")
    host = await harness.host()
    host.model.state = "silent"
    _, writer = await asyncio.open_connection(*host.address)
    writer.write(request("m1"))
    while not host.calls_in_progress:
        await asyncio.sleep(0.01)
    writer.write(request("m2")[:20])
    while not harness.of(rec.CallOverlapped):
        await asyncio.sleep(0.01)
    writer.write(request("m2")[20:])
    [connection] = host.connections
    while len(connection._parser.trailing_data[0]) < len(request("m2")):
        await asyncio.sleep(0.01)
    assert len(harness.of(rec.CallOverlapped)) == 1
    writer.close()
    host.stop_listening()


def test_seeds_draw_every_form_and_delays_from_milliseconds_to_seconds() -> None:
    drawn = [event for seed in range(200) for event in draw_repeats(random.Random(seed), 30.0)]
    assert {event["form"] for event in drawn} == {"whole", "half", "head", "previous"}
    assert {event["between"] for event in drawn} == {"hosts", "directory"}
    assert min(event["after_ms"][0] for event in drawn) < 2
    assert max(event["after_ms"][1] for event in drawn) > 1000
    assert all(0.01 <= event["part"] <= 0.3 for event in drawn)


def test_a_soak_repeats_answers_only_if_asked_for() -> None:
    plain, repeating = soak_scenario(3007, 12, 34.0), soak_scenario(3007, 12, 34.0, repeats=True)
    added = [event for event in repeating.events if event.what == "repeat"]
    assert added and [event for event in repeating.events if event not in added] == list(plain.events)
