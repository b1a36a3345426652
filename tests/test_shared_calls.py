"""Messages in one call: one time-out for all, and none is retried while the call is in flight."""

from __future__ import annotations

import asyncio
import re
import time

from mallowlug.core.model import Call, Part, PartOutcome
from mossfront import DecisionEngine
from mossfront import interface as api
from mossfront.interface import Verdict
from tests.calls import HostCalls, start_host
from tests.support import (
    KEYED,
    SECOND,
    UNSAFE,
    arrival,
    attempt_outcome,
    endpoint_update,
    entry,
    sends,
    settings,
)
from tests.world import Request, World, encode_command, enqueue, settings_json, silent


def sends_in_one_call(
    *arrivals: api.Arrival, cls: tuple[api.MessageClass, ...] = (KEYED, UNSAFE)
) -> list[api.Send]:
    """Return the sends of one call to an endpoint without history."""
    relay = DecisionEngine(settings(classes=cls, may_duplicate=False), 1)
    relay.step(0, [endpoint_update(entry("h1", kind="split"))])
    return sends(relay.step(SECOND, [api.TimerDue(), *arrivals]))


def test_a_call_has_one_time_out_for_all_messages() -> None:
    """With its own time-out a message is retried while its call is in flight, and so duplicated."""
    alone = {send.id: send.timeout_us for ref in ("k", "u") for send in sends_in_one_call(one_arrival(ref))}
    assert alone["k"] < alone["u"]
    sent = sends_in_one_call(one_arrival("k"), one_arrival("u"))
    assert {send.id for send in sent} == {"u", "k"}
    assert {send.timeout_us for send in sent} == {alone["u"]}


def one_arrival(ref: str, left_us: int | None = None) -> api.Arrival:
    """Return a keyed message for an id that starts with k, else an unsafe one."""
    return arrival(ref, KEYED if ref.startswith("k") else UNSAFE, time_left_us=left_us)


def test_a_message_with_an_earlier_deadline_times_out_alone() -> None:
    limits = {
        send.id: send.timeout_us
        for send in sends_in_one_call(one_arrival("k1", 2 * SECOND), one_arrival("k2"))
    }
    assert limits["k1"] == 2 * SECOND < limits["k2"]


async def test_the_pending_part_with_the_longest_time_out_is_written_first() -> None:
    """A host that derives a call's time from its first message must not end it before the others expire.

    A part that is settled before the call is written is left out, even if its time-out is the longest.
    """
    host = await start_host(silent)
    calls = HostCalls(host.port)
    limits = {"m1": 20_000_000, "m2": 50_000_000, "m3": 30_000_000, "m4": 60_000_000}
    parts = [Part(ref, 0, "", b"x", limit_us) for ref, limit_us in limits.items()]
    parts[3].settled = True
    calls.hosts.send(Call("h1", parts, time.monotonic()))
    assert (await host.call(0)).ids == ["m2", "m3", "m1"]
    calls.hosts.close()
    host.stop()


def test_sends_of_one_step_are_not_repeated_in_the_next() -> None:
    relay = DecisionEngine(settings(), 1)
    relay.step(0, [endpoint_update(entry("h1"), entry("h2", 2))])
    first = sends(relay.step(SECOND, [arrival("a")]))
    assert [send.id for send in first] == ["a"]
    again = sends(relay.step(2 * SECOND, [attempt_outcome(first[0]), arrival("b", dest=2)]))
    assert [send.id for send in again] == ["b"]


class WireStateCalls(HostCalls):
    """Records for each settled part whether its call was already off the wire."""

    def __init__(self, port: int) -> None:
        super().__init__(port)
        self.off_wire: list[bool] = []

    def _settled(self, call: Call, part: Part, outcome: PartOutcome) -> None:
        out = [e.connection for e in self.hosts.exchanges if e.call is call and e.connection is not None]
        self.off_wire.append(all(connection.sock.fileno() < 0 for connection in out))
        super()._settled(call, part, outcome)


async def test_a_timed_out_call_is_off_the_wire_before_its_parts_are_settled() -> None:
    host = await start_host(silent)
    calls = WireStateCalls(host.port)
    calls.send("m1", "m2", "m3", timeout_us=200_000)
    for ref in ("m1", "m2", "m3"):
        assert await calls.outcome(ref) == PartOutcome(Verdict.TIMEOUT)
    assert calls.off_wire == [True, True, True]
    host.stop()


async def test_a_response_read_after_the_time_out_delivers_nothing() -> None:
    """A blocked process sees the time-out and the response in one iteration of the event loop.

    The response may have been written after the messages' time-out, so it must not count as a delivery.
    """
    host = await start_host(silent)
    calls = HostCalls(host.port)
    exchange = calls.send("m1", "m2", timeout_us=400_000)
    request = await host.call(0)
    request.answer(200, "m1 delivered\r\nm2 refused\r\n")
    while asyncio.get_running_loop().time() < exchange.end_s:
        time.sleep(0.01)  # host and relay share this thread: it blocks with the response written
    for ref in ("m1", "m2"):
        outcome = await calls.outcome(ref)
        assert (outcome.verdict, outcome.complete) == (Verdict.TIMEOUT, False)
    host.stop()


async def test_an_incomplete_response_ends_at_the_time_out() -> None:
    begun = b"HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\nm"
    host = await start_host(lambda request: request.writer.write(begun))
    calls = HostCalls(host.port)
    calls.send("m1", "m2", timeout_us=200_000)
    assert await calls.outcome("m1") == PartOutcome(Verdict.ERROR)
    host.stop()


async def test_x_remaining_is_the_time_left_after_connecting() -> None:
    """Time spent on connecting is no longer available to the host."""
    host = await start_host(silent)
    calls = HostCalls(host.port)
    exchange = calls.send("m1", timeout_us=5_000_000)
    exchange.end_s -= 3.0  # as if the connection had come up three seconds late
    left = re.fullmatch(r"(\d+)m", (await host.call(0)).headers["x-remaining"])
    assert left is not None
    assert 0 < int(left[1]) <= 2000
    calls.hosts.close()
    host.stop()


async def test_no_retry_while_the_first_call_is_in_flight(world: World) -> None:
    """Two classes with different time-outs share a call to a host that hangs, and no duplicates are allowed.

    When the shorter time-out applied alone, its message was retried while the first call was in flight.
    """
    world.settings = settings_json(may_duplicate=False)
    keyed, *others = world.settings["request_classes"]
    world.settings["request_classes"] = [keyed | {"aim_us": 80_000}, *others]  # a time-out of 250 ms
    requests: list[tuple[list[str], int]] = []  # by request: its message ids, and the open connections

    def hang(request: Request) -> None:
        requests.append((request.ids, len(host.writers)))

    host = await world.add("h1", hang, kind="banks")
    client = await world.run()
    both = (encode_command(*enqueue("k1", "keyed")), encode_command(*enqueue("u1", "unsafe", 1500)))
    client.writer.write(b"".join(both))  # in one write: both arrive in one step
    await host.until(lambda: sum("k1" in request.ids for request in host.seen) > 1)
    first, retry = requests[0], next(request for request in requests[1:] if "k1" in request[0])
    assert sorted(first[0]) == ["k1", "u1"]
    assert retry[1] == 1, "the first call is still in flight"
