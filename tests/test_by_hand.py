"""Hosts out by hand: nothing new goes there, whatever happens, until one call brings them back, cold."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from mallowlug.core.disabled_hosts import DisabledHosts
from mallowlug.core.model import PartOutcome
from mallowlug.system import POSIX, PosixDisk
from mossfront import interface as api
from mossfront.engine import DecisionEngine
from tests.calls import HostCalls, start_host
from tests.support import SAFE, SECOND, arrival, attempt_outcome, endpoint_update, entry, sends, settings
from tests.world import World, called, silent, soon

OUT, BACK = "/hosts/disable?name=", "/hosts/enable?name="


async def by_hand(console: int, target: str) -> int:
    """The status of one call."""
    return (await called(console, "POST", target))[0]


async def staffed(world: World, *hosts: str) -> int:
    """Hosts of one destination that the relay knows from its start; the console's port."""
    for host in hosts:
        await world.add(host)
    world.known = list(world.directory.hosts.values())
    return world.open_console()


def seen(world: World, host: str) -> list[str]:
    """The messages that came to a host."""
    return [ref for request in world.hosts[host].seen for ref in request.ids]


async def test_nothing_new_goes_to_a_host_that_is_out_until_it_is_back(world: World) -> None:
    console = await staffed(world, "h1", "h2")
    client = await world.run()
    assert await by_hand(console, OUT + "h1") == 200
    for number in range(12):
        await client.hand_in(f"m{number}")
        await world.hosts["h2"].call(number)
    assert seen(world, "h1") == []
    assert await by_hand(console, OUT + "h2") == 200
    assert await by_hand(console, BACK + "h1") == 200
    await client.hand_in("last")
    assert (await world.hosts["h1"].call(0)).ids == ["last"]
    assert len(seen(world, "h2")) == 12


async def test_out_twice_is_out_over_kill_and_list_and_one_call_undoes_both(world: World) -> None:
    console = await staffed(world, "h1")
    await world.run()
    assert [await by_hand(console, OUT + "h1") for _ in range(2)] == [200, 200]
    client = await world.again()
    world.directory.change("h1", health="DELETED")
    world.directory.change("h1", health="SERVING")
    await client.insist("m1")
    world.directory.change("h2", dial="127.0.0.1:1", block=2)
    await client.insist("m2", dest=2)  # a later line of the watch has been read
    assert seen(world, "h1") == []
    assert await by_hand(console, BACK + "h1") == 200
    assert (await world.hosts["h1"].call(0)).ids == ["m1"]


async def test_messages_of_the_only_host_are_given_up_with_their_time_and_at_once(world: World) -> None:
    console = await staffed(world, "h1")
    client = await world.run()
    await by_hand(console, OUT + "h1")
    assert await client.hand_in("m1", d=300) == b"+OK"
    assert (await world.directory.notice("m1"))["result"] == "bounced"
    assert seen(world, "h1") == []


async def test_a_host_that_is_out_is_told_as_avoided_while_it_is_listed(world: World) -> None:
    console = await staffed(world, "h1", "h2")
    await world.run()
    await by_hand(console, OUT + "h1")

    async def told(line: str) -> None:
        while line not in (await called(console, "GET", "/metrics"))[1]:
            await asyncio.sleep(0.01)

    await soon(told("relay_cluster_unhealthy 1\n"))
    world.directory.change("h1", health="DELETED")
    await soon(told("relay_cluster_unhealthy 0\n"))
    assert "relay_cluster_size 1\n" in (await called(console, "GET", "/metrics"))[1]


async def test_a_call_that_is_out_ends_as_it_would(world: World) -> None:
    console = await staffed(world, "h1")
    world.hosts["h1"].default = silent
    client = await world.run()
    await client.hand_in("m1", "unsafe")
    call = await world.hosts["h1"].call(0)
    assert await by_hand(console, OUT + "h1") == 200
    call.answer(500)
    assert (await world.directory.notice("m1"))["result"] == "dead"


async def test_an_unknown_id_is_owed_a_no_and_one_that_is_out_is_never_unknown(world: World) -> None:
    console = await staffed(world, "h1")
    await world.run()
    for target in (OUT, BACK):
        assert await by_hand(console, target + "h9") == 404
        assert await by_hand(console, target + "h") == 404  # a part of an id
    assert await by_hand(console, BACK + "h1") == 200  # not out: nothing to undo
    await by_hand(console, OUT + "h1")
    world.directory.change("h1", health="DELETED")
    assert await by_hand(console, OUT + "h1") == 200
    assert await by_hand(console, BACK + "h1") == 200

    async def unknown() -> None:
        while await by_hand(console, OUT + "h1") != 404:
            await by_hand(console, BACK + "h1")
            await asyncio.sleep(0.01)

    await soon(unknown())


async def test_a_ban_between_decision_and_write_binds_the_write() -> None:
    host = await start_host()
    calls = HostCalls(host.port)
    calls.send("m1")
    calls.hosts.set_disabled("h1", True)
    assert await calls.outcome("m1") == PartOutcome(api.Verdict.NOT_SENT)
    assert host.seen == []
    host.stop()


@pytest.mark.parametrize(
    ("data", "want"),
    [
        (b'"h1"\n"h2"\n', ["h1", "h2"]),
        (b'"h1"\n"h2', ["h1"]),
        (b'"h1"\n{}\n\xff\xfe\n5\n""\n"h2"\n', ["h1", "h2"]),
        (b'"' + b"x" * 5000 + b'"\n"h1"', ["h1"]),
        (b"", []),
        (b"\x00" * 512, []),
    ],
)
def test_what_can_be_read_of_a_damaged_file_counts(tmp_path: Path, data: bytes, want: list[str]) -> None:
    (tmp_path / "out").write_bytes(data)
    outs = DisabledHosts(tmp_path, POSIX.disk)
    assert list(outs.hosts) == want
    assert outs.disable("h3") == ""
    assert list(DisabledHosts(tmp_path, POSIX.disk).hosts) == [*want, "h3"]


class FullDisk(PosixDisk):
    """A disk that takes nothing."""

    @staticmethod
    def write(fd: int, data: object, /) -> int:
        raise OSError(28, "No space left on device")


def test_there_is_no_yes_for_what_was_not_kept(tmp_path: Path) -> None:
    kept = DisabledHosts(tmp_path, POSIX.disk)
    kept.disable("h1")
    full, heard = DisabledHosts(tmp_path, FullDisk()), list[str]()
    full.changed = lambda host, _out: heard.append(host)
    assert "No space" in full.disable("h2")
    assert "No space" in full.enable("h1")
    assert (list(full.hosts), heard) == (["h1"], [])
    assert list(DisabledHosts(tmp_path, POSIX.disk).hosts) == ["h1"]


def test_the_file_is_bounded_and_a_host_can_always_come_back(tmp_path: Path) -> None:
    outs = DisabledHosts(tmp_path, POSIX.disk)
    number = 0
    while not (why := outs.disable(f"host-{number:08}")):
        number += 1
    assert "too many" in why and number > 1024
    assert (tmp_path / "out").stat().st_size <= 32 * 1024
    assert outs.enable("host-00000000") == ""
    assert outs.disable("again") == ""


def test_back_means_cold_and_what_was_learned_of_the_old_process_is_gone() -> None:
    """Its quota begins at one call and its calls are spaced as at a return from an outage."""
    relay = DecisionEngine(settings(max_calls=40), 1)
    relay.step(0, [endpoint_update(entry("h1"))])
    relay.step(SECOND, [arrival(f"a{n}") for n in range(10)])
    before = relay.endpoints["h1"]
    relay.step(2 * SECOND, [api.HostOverride("h1", True), *(arrival(f"b{n}") for n in range(10))])
    assert before.quota > 1 and not relay.dests[1].ready()
    assert relay.avoided() == 1
    found = sends(relay.step(3 * SECOND, [api.HostOverride("h1", False)]))
    after = relay.endpoints["h1"]
    assert len(found) <= 1 and after is not before and after.own.slow.cold_since_us == 3 * SECOND
    assert after.own.slow.needs_credit(3 * SECOND)
    assert relay.avoided() == 0
    came = 0
    now = 3 * SECOND
    while now < 6 * SECOND:  # what comes at once after a return is far less than before it
        now += 5_000
        new = [arrival(f"c{now}")] if now % 300_000 == 0 else []
        for send in (found := sends(relay.step(now, [api.TimerDue(), *new]))):
            came += 1
            relay.step(now, [attempt_outcome(send, attempt=0)])
    assert 0 < came < 20


def test_calls_that_were_out_are_settled_with_the_old_process() -> None:
    relay = DecisionEngine(settings(), 1)
    relay.step(0, [endpoint_update(entry("h1"))])
    (send,) = sends(relay.step(SECOND, [arrival("a", SAFE)]))
    relay.step(2 * SECOND, [api.HostOverride("h1", True)])
    relay.step(3 * SECOND, [api.HostOverride("h1", False)])
    relay.step(4 * SECOND, [attempt_outcome(send)])
    assert relay.endpoints["h1"].calls == [] and relay.calls_out == 0 and not relay.messages


@pytest.mark.parametrize(
    "kind", [api.EndpointUpdateKind.FULL, api.EndpointUpdateKind.CHANGES, api.EndpointUpdateKind.REACTIVATED]
)
def test_the_list_never_brings_a_host_back(kind: api.EndpointUpdateKind) -> None:
    """Not a whole list, nor a change of its address, nor a destination that wakes."""
    relay = DecisionEngine(settings(), 1)
    relay.step(0, [api.HostOverride("h1", True), endpoint_update(entry("h1"))])
    relay.step(
        SECOND, [endpoint_update(entry("h1", listing=api.Listing.GONE), kind=api.EndpointUpdateKind.CHANGES)]
    )
    relay.step(40 * SECOND, [endpoint_update()])  # long enough to be forgotten
    relay.step(41 * SECOND, [endpoint_update(entry("h1", dest=2), kind=kind)])
    assert sends(relay.step(42 * SECOND, [arrival("a", dest=2)])) == []
    assert sends(relay.step(43 * SECOND, [api.HostOverride("h1", False)])) or sends(
        relay.step(60 * SECOND, [api.TimerDue(), arrival("b", dest=2)])
    )
