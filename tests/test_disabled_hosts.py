"""Hosts disabled by an operator get no new calls until one call enables them; then they are cold."""

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
from tests.world import World, http_request, silent, soon

DISABLE, ENABLE = "/hosts/disable?name=", "/hosts/enable?name="


async def post(console: int, target: str) -> int:
    """Make one call to the console and return its status."""
    return (await http_request(console, "POST", target))[0]


async def console_with_hosts(world: World, *hosts: str) -> int:
    """Add hosts of one destination that the relay knows at its start; returns the console's port."""
    for host in hosts:
        await world.add(host)
    world.known_hosts = list(world.directory.hosts.values())
    return world.open_console()


def messages_at(world: World, host: str) -> list[str]:
    """The ids of the messages received by a host."""
    return [ref for request in world.hosts[host].seen for ref in request.ids]


async def test_disabled_host_gets_no_new_calls_until_enabled(world: World) -> None:
    console = await console_with_hosts(world, "h1", "h2")
    client = await world.run()
    assert await post(console, DISABLE + "h1") == 200
    for number in range(12):
        await client.submit(f"m{number}")
        await world.hosts["h2"].call(number)
    assert messages_at(world, "h1") == []
    assert await post(console, DISABLE + "h2") == 200
    assert await post(console, ENABLE + "h1") == 200
    await client.submit("last")
    assert (await world.hosts["h1"].call(0)).ids == ["last"]
    assert len(messages_at(world, "h2")) == 12


async def test_host_disabled_twice_stays_so_over_restart_and_list_until_enabled_once(world: World) -> None:
    console = await console_with_hosts(world, "h1")
    await world.run()
    assert [await post(console, DISABLE + "h1") for _ in range(2)] == [200, 200]
    client = await world.kill_and_restart()
    world.directory.change("h1", health="DELETED")
    world.directory.change("h1", health="SERVING")
    await client.submit_until_accepted("m1")
    world.directory.change("h2", dial="127.0.0.1:1", block=2)
    await client.submit_until_accepted("m2", dest=2)  # a later line of the watch has been read
    assert messages_at(world, "h1") == []
    assert await post(console, ENABLE + "h1") == 200
    assert (await world.hosts["h1"].call(0)).ids == ["m1"]


async def test_messages_for_a_disabled_only_host_are_given_up_at_their_deadline(world: World) -> None:
    console = await console_with_hosts(world, "h1")
    client = await world.run()
    await post(console, DISABLE + "h1")
    assert await client.submit("m1", d=300) == b"+OK"
    assert (await world.directory.notice("m1"))["result"] == "bounced"
    assert messages_at(world, "h1") == []


async def test_disabled_host_counts_as_unhealthy_while_listed(world: World) -> None:
    console = await console_with_hosts(world, "h1", "h2")
    await world.run()
    await post(console, DISABLE + "h1")

    async def reported(line: str) -> None:
        while line not in (await http_request(console, "GET", "/metrics"))[1]:
            await asyncio.sleep(0.01)

    await soon(reported("relay_cluster_unhealthy 1\n"))
    world.directory.change("h1", health="DELETED")
    await soon(reported("relay_cluster_unhealthy 0\n"))
    assert "relay_cluster_size 1\n" in (await http_request(console, "GET", "/metrics"))[1]


async def test_call_in_progress_to_a_disabled_host_ends_normally(world: World) -> None:
    console = await console_with_hosts(world, "h1")
    world.hosts["h1"].default = silent
    client = await world.run()
    await client.submit("m1", "unsafe")
    call = await world.hosts["h1"].call(0)
    assert await post(console, DISABLE + "h1") == 200
    call.answer(500)
    assert (await world.directory.notice("m1"))["result"] == "dead"


async def test_unknown_id_is_rejected_and_a_disabled_one_is_never_unknown(world: World) -> None:
    console = await console_with_hosts(world, "h1")
    await world.run()
    for target in (DISABLE, ENABLE):
        assert await post(console, target + "h9") == 404
        assert await post(console, target + "h") == 404  # only the start of an id
    assert await post(console, ENABLE + "h1") == 200  # not disabled: nothing to do
    await post(console, DISABLE + "h1")
    world.directory.change("h1", health="DELETED")
    assert await post(console, DISABLE + "h1") == 200
    assert await post(console, ENABLE + "h1") == 200

    async def unknown() -> None:
        while await post(console, DISABLE + "h1") != 404:
            await post(console, ENABLE + "h1")
            await asyncio.sleep(0.01)

    await soon(unknown())


async def test_host_disabled_after_the_decision_gets_no_bytes() -> None:
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
def test_valid_lines_of_a_damaged_file_are_used(tmp_path: Path, data: bytes, want: list[str]) -> None:
    (tmp_path / "out").write_bytes(data)
    disabled_hosts = DisabledHosts(tmp_path, POSIX.disk)
    assert list(disabled_hosts.hosts) == want
    assert disabled_hosts.disable("h3") == ""
    assert list(DisabledHosts(tmp_path, POSIX.disk).hosts) == [*want, "h3"]


class FullDisk(PosixDisk):
    """A disk whose writes fail."""

    @staticmethod
    def write(fd: int, data: object, /) -> int:
        raise OSError(28, "No space left on device")


def test_change_that_cannot_be_stored_is_rejected(tmp_path: Path) -> None:
    stored = DisabledHosts(tmp_path, POSIX.disk)
    stored.disable("h1")
    full, changes = DisabledHosts(tmp_path, FullDisk()), list[str]()
    full.on_change = lambda host, _disabled: changes.append(host)
    assert "No space" in full.disable("h2")
    assert "No space" in full.enable("h1")
    assert (list(full.hosts), changes) == (["h1"], [])
    assert list(DisabledHosts(tmp_path, POSIX.disk).hosts) == ["h1"]


def test_file_is_bounded_and_a_host_can_always_be_enabled(tmp_path: Path) -> None:
    disabled_hosts = DisabledHosts(tmp_path, POSIX.disk)
    number = 0
    while not (why := disabled_hosts.disable(f"host-{number:08}")):
        number += 1
    assert "too many" in why and number > 1024
    assert (tmp_path / "out").stat().st_size <= 32 * 1024
    assert disabled_hosts.enable("host-00000000") == ""
    assert disabled_hosts.disable("again") == ""


def test_enabled_host_is_cold_and_its_former_state_is_discarded() -> None:
    """Its quota starts at one call and its calls are spaced as after an outage."""
    relay = DecisionEngine(settings(max_calls=40), 1)
    relay.step(0, [endpoint_update(entry("h1"))])
    relay.step(SECOND, [arrival(f"a{n}") for n in range(10)])
    before = relay.endpoints["h1"]
    relay.step(2 * SECOND, [api.HostOverride("h1", True), *(arrival(f"b{n}") for n in range(10))])
    assert before.quota > 1 and not relay.destinations[1].ready_endpoints()
    assert relay.count_avoided() == 1
    found = sends(relay.step(3 * SECOND, [api.HostOverride("h1", False)]))
    after = relay.endpoints["h1"]
    assert (
        len(found) <= 1 and after is not before and after.own_limiter.slow_start.cold_since_us == 3 * SECOND
    )
    assert after.own_limiter.slow_start.needs_credit(3 * SECOND)
    assert relay.count_avoided() == 0
    came = 0
    now = 3 * SECOND
    while now < 6 * SECOND:  # far fewer calls than before it was disabled
        now += 5_000
        new = [arrival(f"c{now}")] if now % 300_000 == 0 else []
        for send in (found := sends(relay.step(now, [api.TimerDue(), *new]))):
            came += 1
            relay.step(now, [attempt_outcome(send, attempt=0)])
    assert 0 < came < 20


def test_calls_in_progress_are_settled_against_the_former_state() -> None:
    relay = DecisionEngine(settings(), 1)
    relay.step(0, [endpoint_update(entry("h1"))])
    (send,) = sends(relay.step(SECOND, [arrival("a", SAFE)]))
    relay.step(2 * SECOND, [api.HostOverride("h1", True)])
    relay.step(3 * SECOND, [api.HostOverride("h1", False)])
    relay.step(4 * SECOND, [attempt_outcome(send)])
    assert relay.endpoints["h1"].calls == [] and relay.calls_in_flight == 0 and not relay.messages


@pytest.mark.parametrize(
    "kind", [api.EndpointUpdateKind.FULL, api.EndpointUpdateKind.CHANGES, api.EndpointUpdateKind.REACTIVATED]
)
def test_list_updates_never_enable_a_host(kind: api.EndpointUpdateKind) -> None:
    """Neither a full list, nor a change of its destination, nor a reactivation."""
    relay = DecisionEngine(settings(), 1)
    relay.step(0, [api.HostOverride("h1", True), endpoint_update(entry("h1"))])
    relay.step(
        SECOND, [endpoint_update(entry("h1", listing=api.Listing.GONE), kind=api.EndpointUpdateKind.CHANGES)]
    )
    relay.step(40 * SECOND, [endpoint_update()])  # long enough for the engine to forget the host
    relay.step(41 * SECOND, [endpoint_update(entry("h1", dest=2), kind=kind)])
    assert sends(relay.step(42 * SECOND, [arrival("a", dest=2)])) == []
    assert sends(relay.step(43 * SECOND, [api.HostOverride("h1", False)])) or sends(
        relay.step(60 * SECOND, [api.TimerDue(), arrival("b", dest=2)])
    )
