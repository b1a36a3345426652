"""No list of relays or of hosts ends under 1,024: what a bound of bytes holds, and what it says beyond."""

from __future__ import annotations

import random
from pathlib import Path

import pytest

from mallowlug.core.disabled_hosts import DisabledHosts
from mallowlug.core.handover import EndpointRow, HandoverState
from mallowlug.core.listings import Listings
from mallowlug.core.model import EndpointList, ResolvedEndpoint
from mallowlug.core.reserved_space import ROOMY, SMALL, reserved_space
from mallowlug.fleet import records
from mallowlug.operator.model import OperatorFile
from mallowlug.system import POSIX
from mallowlug.upgrade import handover_file
from mossfront import DecisionEngine
from mossfront import interface as api
from tests.support import SAFE, arrival, endpoint_update, sends, settings

MANY = 1024
RNG = random.Random(7)
HOSTS = [f"s-{RNG.randrange(1 << 32):08x}" for _ in range(MANY + 1)]


def fleet(seeds: int) -> dict[str, object]:
    addresses = [f"10.1.{n // 256}.{n % 256}:7101" for n in range(seeds)]
    return {"fleet": {"name": "r1", "listen": "10.0.0.1:7101", "seeds": addresses}}


@pytest.mark.parametrize("seeds", [257, MANY, MANY + 1])
def test_the_operator_file_takes_so_many_seeds(seeds: int) -> None:
    table = OperatorFile.model_validate(fleet(seeds)).fleet
    assert table is not None and len(table.plan().seeds) == seeds


def test_far_too_many_seeds_are_an_error_that_names_the_key() -> None:
    with pytest.raises(ValueError, match=r"fleet\.seeds[\s\S]*at most 4096"):
        OperatorFile.model_validate(fleet(4097))


def test_a_table_of_the_fleet_has_room_for_all_members() -> None:
    assert records.MOST_PAGES * records.MOST_ROWS > MANY


def handed_over(hosts: list[str]) -> HandoverState:
    """What a process tells its successor of so many hosts, and of what it has learned of each."""
    rows = {
        n: [[host, f"10.{n % 200}.9.{RNG.randrange(250)}", 6379, "floor-2", "banks", "ready", 1.0, True]]
        for n, host in enumerate(hosts)
    }
    learned: list[EndpointRow] = [
        (host, RNG.randrange(10**15), RNG.random(), RNG.random(), RNG.random(), -1, RNG.randrange(10**15))
        for host in hosts
    ]
    return HandoverState({}, learned, 41, rows, [f"{RNG.randrange(1 << 64):016x}" for _ in range(512)])


@pytest.mark.parametrize("count", [MANY, MANY + 1])
def test_a_successor_is_told_of_so_many_hosts(count: int, tmp_path: Path) -> None:
    binds = handed_over(HOSTS[:count])
    assert handover_file.keep(tmp_path, POSIX.disk, binds)
    assert (tmp_path / handover_file.FILE).stat().st_size <= ROOMY.binds
    kept = handover_file.take(tmp_path, POSIX.disk)
    assert kept is not None
    assert (kept.seq, len(kept.rows), len(kept.learned)) == (41, count, count)


def test_what_is_set_aside_leaves_a_small_folder_to_the_journal() -> None:
    """Each file stands twice while it is written anew, and a door has three of 32 kB."""
    for room in (ROOMY, SMALL):
        assert 2 * room.binds + 2 * room.outs + 3 * 32 * 1024 <= room.total
    assert reserved_space(3_000_000) == ROOMY and ROOMY.total <= 3_000_000 // 7
    assert reserved_space(1_000_000) == SMALL and SMALL.total <= 1_000_000 // 5


def test_so_many_hosts_can_be_out_by_hand_and_one_too_many_is_told(tmp_path: Path) -> None:
    outs = DisabledHosts(tmp_path, POSIX.disk)
    for host in HOSTS:
        assert outs.disable(host) == ""
    assert len(DisabledHosts(tmp_path, POSIX.disk).hosts) == MANY + 1
    long = [f"{number:0>120}" for number in range(ROOMY.outs // 120)]
    said = [outs.disable(host) for host in long]
    assert said[0] == "" and said[-1] == "too many hosts are out already"
    kept = DisabledHosts(tmp_path, POSIX.disk).hosts
    assert set(HOSTS) <= set(kept) and len(kept) == len(HOSTS) + said.count("")


def test_a_list_of_so_many_hosts_is_kept_and_each_is_sent_to() -> None:
    listings, relay = (
        Listings(MANY, 60.0),
        DecisionEngine(settings(max_calls=4 * MANY, max_held_messages=4 * MANY), 1),
    )
    entries = [api.EndpointEntry(host, n, "a", "plain", api.Listing.READY) for n, host in enumerate(HOSTS)]
    rows = (ResolvedEndpoint(entry, ("10.1.0.1", 6379)) for entry in entries)
    listings.follow(EndpointList(1, True, tuple(rows)), 0.0)
    assert listings.hosts == len(listings) == MANY + 1
    messages = [arrival(f"m{n}", SAFE, n) for n in range(len(HOSTS))]
    assert {send.host for send in sends(relay.step(0, [endpoint_update(*entries), *messages]))} == set(HOSTS)
