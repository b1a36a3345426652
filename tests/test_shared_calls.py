"""Messages that travel in one call: one time-out for all, and nothing of it is out when one goes again."""

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
from tests.world import Request, World, enqueue, packed, settings_json, silent


def together(*ours: api.Arrival, cls: tuple[api.MessageClass, ...] = (KEYED, UNSAFE)) -> list[api.Send]:
    """What goes out in one call of three to an endpoint of which nothing is known."""
    relay = DecisionEngine(settings(classes=cls, may_duplicate=False), 1)
    relay.step(0, [endpoint_update(entry("h1", kind="split"))])
    return sends(relay.step(SECOND, [api.TimerDue(), *ours]))


def test_a_call_has_one_time_out_the_longest() -> None:
    """With one of its own, a message goes again while the call that carries it is out: a second copy."""
    alone = {send.id: send.timeout_us for ref in ("k", "u") for send in together(one(ref))}
    assert alone["k"] < alone["u"]
    sent = together(one("k"), one("u"))
    assert {send.id for send in sent} == {"u", "k"}
    assert {send.timeout_us for send in sent} == {alone["u"]}


def one(ref: str, left_us: int | None = None) -> api.Arrival:
    """A keyed message, or one that may not be repeated, by its first letter."""
    return arrival(ref, KEYED if ref.startswith("k") else UNSAFE, time_left_us=left_us)


def test_a_message_whose_time_is_up_before_the_calls_ends_by_itself() -> None:
    limits = {send.id: send.timeout_us for send in together(one("k1", 2 * SECOND), one("k2"))}
    assert limits["k1"] == 2 * SECOND < limits["k2"]


async def test_in_a_call_the_part_that_lasts_longest_goes_first_of_those_that_still_go() -> None:
    """A host that reckons a call's time by its first message must not take it for over before the others.

    Also where the longest is not let out, or has ended, before the call is written.
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


def test_what_is_not_let_out_in_one_step_does_not_stay_for_the_next() -> None:
    relay = DecisionEngine(settings(), 1)
    relay.step(0, [endpoint_update(entry("h1"), entry("h2", 2))])
    first = sends(relay.step(SECOND, [arrival("a")]))
    assert [send.id for send in first] == ["a"]
    again = sends(relay.step(2 * SECOND, [attempt_outcome(first[0]), arrival("b", dest=2)]))
    assert [send.id for send in again] == ["b"]


class Watched(HostCalls):
    """Notes, for each part that is settled, whether its call was off the wire by then."""

    def __init__(self, port: int) -> None:
        super().__init__(port)
        self.off: list[bool] = []

    def _settled(self, call: Call, part: Part, told: PartOutcome) -> None:
        out = [e.connection for e in self.hosts.exchanges if e.call is call and e.connection is not None]
        self.off.append(all(connection.sock.fileno() < 0 for connection in out))
        super()._settled(call, part, told)


async def test_a_call_that_times_out_is_off_the_wire_before_its_parts_are_told() -> None:
    host = await start_host(silent)
    calls = Watched(host.port)
    calls.send("m1", "m2", "m3", timeout_us=200_000)
    for ref in ("m1", "m2", "m3"):
        assert await calls.outcome(ref) == PartOutcome(Verdict.TIMEOUT)
    assert calls.off == [True, True, True]
    host.stop()


async def test_an_answer_read_only_behind_the_calls_time_delivers_nothing() -> None:
    """Time-out and answer in one turn of the loop, as the process stood still: who knows when it came?

    It may have been written behind the messages' time; then they are owed their end all the same.
    """
    host = await start_host(silent)
    calls = HostCalls(host.port)
    exchange = calls.send("m1", "m2", timeout_us=400_000)
    request = await host.call(0)
    request.answer(200, "m1 delivered\r\nm2 refused\r\n")
    while asyncio.get_running_loop().time() < exchange.until_s:
        time.sleep(0.01)  # this one thread is host and relay: it stands still with the answer written
    for ref in ("m1", "m2"):
        told = await calls.outcome(ref)
        assert (told.verdict, told.complete) == (Verdict.TIMEOUT, False)
    host.stop()


async def test_an_answer_without_end_is_given_up_with_its_time() -> None:
    begun = b"HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\nm"
    host = await start_host(lambda request: request.writer.write(begun))
    calls = HostCalls(host.port)
    calls.send("m1", "m2", timeout_us=200_000)
    assert await calls.outcome("m1") == PartOutcome(Verdict.ERROR)
    host.stop()


async def test_x_remaining_tells_what_is_left_once_the_connection_is_up() -> None:
    """Connecting took time, which the host must not count on any more."""
    host = await start_host(silent)
    calls = HostCalls(host.port)
    exchange = calls.send("m1", timeout_us=5_000_000)
    exchange.until_s -= 3.0  # as if the connection had come up three seconds late
    left = re.fullmatch(r"(\d+)m", (await host.call(0)).headers["x-remaining"])
    assert left is not None
    assert 0 < int(left[1]) <= 2000
    calls.hosts.close()
    host.stop()


async def test_no_second_copy_while_the_call_that_carried_the_first_is_out(world: World) -> None:
    """Two classes with time-outs of their own in one call to a host that hangs; a site allows no copies.

    Where the shorter one's time-out came by itself, its message went again beside the call that carried it.
    """
    world.settings = settings_json(may_duplicate=False)
    keyed, *others = world.settings["request_classes"]
    world.settings["request_classes"] = [keyed | {"aim_us": 80_000}, *others]  # a time-out of 250 ms
    open_then: list[tuple[list[str], int]] = []  # by request: its messages, and the connections

    def hang(request: Request) -> None:
        open_then.append((request.ids, len(host.writers)))

    host = await world.add("h1", hang, kind="banks")
    client = await world.run()
    both = (packed(*enqueue("k1", "keyed")), packed(*enqueue("u1", "unsafe", 1500)))
    client.writer.write(b"".join(both))  # in one piece: they come to one step
    await host.until(lambda: sum("k1" in request.ids for request in host.seen) > 1)
    first, again = open_then[0], next(told for told in open_then[1:] if "k1" in told[0])
    assert sorted(first[0]) == ["k1", "u1"]
    assert again[1] == 1, "the call that carried it first is still out"
