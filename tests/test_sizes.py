"""Every list of relays or hosts holds more than 1024 entries; beyond a size limit an error is reported."""

from __future__ import annotations

import random
from pathlib import Path

import pytest

from mallowlug.core.disabled_hosts import DisabledHosts
from mallowlug.core.handover import EndpointRow, HandoverState
from mallowlug.core.listings import Listings
from mallowlug.core.model import EndpointList, ResolvedEndpoint
from mallowlug.core.reserved_space import LARGE_FOLDER, SMALL_FOLDER, reserved_space
from mallowlug.fleet import records
from mallowlug.operator.model import OperatorFile
from mallowlug.system import POSIX
from mallowlug.upgrade import handover_file
from mossfront import DecisionEngine
from mossfront import interface as api
from tests.support import SAFE, arrival, endpoint_update, sends, settings

HOST_COUNT = 1024
RNG = random.Random(7)
HOSTS = [f"s-{RNG.randrange(1 << 32):08x}" for _ in range(HOST_COUNT + 1)]


def fleet_table(seeds: int) -> dict[str, object]:
    addresses = [f"10.1.{n // 256}.{n % 256}:7101" for n in range(seeds)]
    return {"fleet": {"name": "r1", "listen": "10.0.0.1:7101", "seeds": addresses}}


@pytest.mark.parametrize("seeds", [257, HOST_COUNT, HOST_COUNT + 1])
def test_operator_file_accepts_more_than_1024_seeds(seeds: int) -> None:
    table = OperatorFile.model_validate(fleet_table(seeds)).fleet
    assert table is not None and len(table.plan().seeds) == seeds


def test_too_many_seeds_are_an_error_that_names_the_key() -> None:
    with pytest.raises(ValueError, match=r"fleet\.seeds[\s\S]*at most 4096"):
        OperatorFile.model_validate(fleet_table(4097))


def test_fleet_table_can_hold_all_members() -> None:
    assert records.MAX_PAGES * records.MAX_ROWS_PER_PAGE > HOST_COUNT


def handover_of(hosts: list[str]) -> HandoverState:
    """The state handed over for these hosts, with learned state of each."""
    rows = {
        n: [[host, f"10.{n % 200}.9.{RNG.randrange(250)}", 6379, "floor-2", "banks", "ready", 1.0, True]]
        for n, host in enumerate(hosts)
    }
    learned: list[EndpointRow] = [
        (host, RNG.randrange(10**15), RNG.random(), RNG.random(), RNG.random(), -1, RNG.randrange(10**15))
        for host in hosts
    ]
    return HandoverState({}, learned, 41, rows, [f"{RNG.randrange(1 << 64):016x}" for _ in range(512)])


@pytest.mark.parametrize("count", [HOST_COUNT, HOST_COUNT + 1])
def test_handover_file_can_hold_all_hosts(count: int, tmp_path: Path) -> None:
    handover = handover_of(HOSTS[:count])
    assert handover_file.write(tmp_path, POSIX.disk, handover)
    assert (tmp_path / handover_file.FILE).stat().st_size <= LARGE_FOLDER.handover_bytes
    stored = handover_file.read(tmp_path, POSIX.disk)
    assert stored is not None
    assert (stored.seq, len(stored.rows), len(stored.learned)) == (41, count, count)


def test_reserved_space_leaves_most_of_a_folder_to_the_journal() -> None:
    """Each file exists twice while it is rewritten, and a spool has three files of 32 kB."""
    for room in (LARGE_FOLDER, SMALL_FOLDER):
        assert 2 * room.handover_bytes + 2 * room.disabled_hosts_bytes + 3 * 32 * 1024 <= room.total_bytes
    assert reserved_space(3_000_000) == LARGE_FOLDER and LARGE_FOLDER.total_bytes <= 3_000_000 // 7
    assert reserved_space(1_000_000) == SMALL_FOLDER and SMALL_FOLDER.total_bytes <= 1_000_000 // 5


def test_more_than_1024_hosts_can_be_disabled_and_excess_is_rejected(tmp_path: Path) -> None:
    disabled_hosts = DisabledHosts(tmp_path, POSIX.disk)
    for host in HOSTS:
        assert disabled_hosts.disable(host) == ""
    assert len(DisabledHosts(tmp_path, POSIX.disk).hosts) == HOST_COUNT + 1
    long_ids = [f"{number:0>120}" for number in range(LARGE_FOLDER.disabled_hosts_bytes // 120)]
    replies = [disabled_hosts.disable(host) for host in long_ids]
    assert replies[0] == "" and replies[-1] == "too many hosts are out already"
    stored = DisabledHosts(tmp_path, POSIX.disk).hosts
    assert set(HOSTS) <= set(stored) and len(stored) == len(HOSTS) + replies.count("")


def test_list_of_all_hosts_is_kept_and_each_gets_a_call() -> None:
    listings, relay = (
        Listings(HOST_COUNT, 60.0),
        DecisionEngine(settings(max_calls=4 * HOST_COUNT, max_held_messages=4 * HOST_COUNT), 1),
    )
    entries = [api.EndpointEntry(host, n, "a", "plain", api.Listing.READY) for n, host in enumerate(HOSTS)]
    rows = (ResolvedEndpoint(entry, ("10.1.0.1", 6379)) for entry in entries)
    listings.apply(EndpointList(1, True, tuple(rows)), 0.0)
    assert listings.host_count == len(listings) == HOST_COUNT + 1
    messages = [arrival(f"m{n}", SAFE, n) for n in range(len(HOSTS))]
    assert {send.host for send in sends(relay.step(0, [endpoint_update(*entries), *messages]))} == set(HOSTS)
