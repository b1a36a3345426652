"""Fleet membership with real processes and link faults. Safety is judged from the views and logs of the
relays; times are only checked against the one wide bound of all tests.
"""

from __future__ import annotations

import asyncio
import shutil
import signal
import subprocess
import sys
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import pytest_asyncio

from mallowlug.rig.judge import record as rec
from mallowlug.rig.judge.members import judge_views
from mallowlug.rig.world.fronts import DatagramPath
from tests.members.ground import FleetEnvironment, alive_members, views_agree
from tests.world import ROOT, http_request, soon

NAMES = ("n0", "n1", "n2", "n3", "n4")


@pytest_asyncio.fixture
async def ground(tmp_path: Path) -> AsyncIterator[FleetEnvironment]:
    """A fleet without relays; its record is judged after the test."""
    ground = FleetEnvironment(tmp_path)
    yield ground
    await ground.stop()
    assert judge_views(ground.record) == []
    assert sum(isinstance(event, rec.FleetView) for event in ground.record) > 0


async def start_five_relays(ground: FleetEnvironment) -> None:
    """Start five relays and wait until they settle; two are seeds of the others."""
    for name in NAMES:
        await ground.add(name, seed=name in NAMES[:2])
    await ground.wait_settled(*NAMES)


def states_held(tables: dict[str, Any], name: str) -> set[str]:
    """Return the states in which the other relays hold this one."""
    return {table["members"].get(name, {}).get("state", "") for own, table in tables.items() if own != name}


async def test_all_relays_learn_of_a_crash_and_of_the_restart(ground: FleetEnvironment) -> None:
    await start_five_relays(ground)
    await ground.nodes["n3"].kill()
    rest = [name for name in NAMES if name != "n3"]
    tables = await ground.wait_until(lambda found: states_held(found, "n3") == {"dead"}, *rest)
    assert all(row["members"]["n3"]["by"] for row in tables.values())  # the relay that reported the death
    await ground.start(ground.nodes["n3"])
    tables = await ground.wait_settled(*NAMES)
    assert {table["members"]["n3"]["life"] for table in tables.values()} == {2}


async def test_restart_before_detection_is_seen_as_a_new_lifetime(ground: FleetEnvironment) -> None:
    await start_five_relays(ground)
    await ground.nodes["n4"].kill()
    await ground.start(ground.nodes["n4"])

    def new(tables: dict[str, Any]) -> bool:
        return {table["members"]["n4"]["life"] for table in tables.values()} == {2} and views_agree(
            tables, NAMES
        )

    await ground.wait_until(new, *NAMES)
    assert "n4 (life 2) new life" in ground.log("n0")


async def test_relay_that_lost_its_state_folder_returns_with_a_new_lifetime(ground: FleetEnvironment) -> None:
    await start_five_relays(ground)
    node = ground.nodes["n2"]
    await node.kill()
    shutil.rmtree(node.state)
    node.state.mkdir()
    await ground.start(node)

    def above(tables: dict[str, Any]) -> bool:
        return views_agree(tables, NAMES) and all(t["members"]["n2"]["life"] >= 2 for t in tables.values())

    await ground.wait_until(above, *NAMES)


async def test_partition_heals_and_only_the_majority_shrinks_its_group(ground: FleetEnvironment) -> None:
    await start_five_relays(ground)
    await ground.wait_until(lambda tables: {t["group"] for t in tables.values()} == {5}, *NAMES)
    few, most = ["n0", "n3"], ["n1", "n2", "n4"]
    ground.proxies.partition(few, most)
    await ground.wait_settled(*most)
    await ground.wait_settled(*few)
    tables = await ground.wait_until(lambda found: {t["group"] for t in found.values()} == {3}, *most)
    minority = await ground.wait_until(lambda found: all(t["cut_off"] for t in found.values()), *few)
    assert {table["group"] for table in minority.values()} == {5}
    groups = [table["group"] for table in (*tables.values(), *minority.values())]
    assert sum(1 / group for group in groups) < 1.5
    ground.proxies.clear_all()
    await ground.wait_settled(*NAMES)
    await ground.wait_until(lambda found: {t["group"] for t in found.values()} == {5}, *NAMES)


async def test_two_relays_without_a_path_stay_alive_while_others_reach_both(ground: FleetEnvironment) -> None:
    await start_five_relays(ground)
    ground.proxies.set_path("n2", "n3", DatagramPath(cut=True))
    before = ground.proxies.dropped["n2", "n3"] + ground.proxies.dropped["n3", "n2"]

    async def tried() -> None:
        while ground.proxies.dropped["n2", "n3"] + ground.proxies.dropped["n3", "n2"] < before + 12:
            await asyncio.sleep(0.02)

    await soon(tried())
    await ground.wait_settled(*NAMES)
    assert not any(f"fleet: {name} (life 1) dead" in ground.log(other) for name in NAMES for other in NAMES)


async def test_one_way_cut_and_lossy_link_evict_no_relay(ground: FleetEnvironment) -> None:
    await start_five_relays(ground)
    ground.proxies.set_path("n1", "n4", DatagramPath(cut=True), both=False)
    ground.proxies.set_path(
        "n0", "n2", DatagramPath(loss_share=0.3, delay_s=0.02, jitter_s=0.02, duplicate_share=0.3)
    )
    base = ground.proxies.forwarded["n0", "n2"]

    async def used() -> None:
        while ground.proxies.forwarded["n0", "n2"] < base + 20:
            await asyncio.sleep(0.02)

    await soon(used())
    await ground.wait_settled(*NAMES)
    assert not any(") dead" in ground.log(name) for name in NAMES)


async def test_paused_relay_returns_in_the_same_lifetime(ground: FleetEnvironment) -> None:
    """Paused until declared dead, it refutes with a higher incarnation, and declares no relay dead itself."""
    await start_five_relays(ground)
    node = ground.nodes["n1"]
    node.signal(signal.SIGSTOP)
    rest = [name for name in NAMES if name != "n1"]
    await ground.wait_until(lambda found: states_held(found, "n1") == {"dead"}, *rest)
    node.signal(signal.SIGCONT)
    tables = await ground.wait_settled(*NAMES)
    rows = [table["members"]["n1"] for table in tables.values()]
    assert {row["life"] for row in rows} == {1} and min(row["incarnation"] for row in rows) > 0
    assert ") dead" not in ground.log("n1")


async def test_terminated_relay_leaves_and_the_group_shrinks_at_once(ground: FleetEnvironment) -> None:
    await start_five_relays(ground)
    node = ground.nodes["n4"]
    node.signal(signal.SIGTERM)
    assert node.process is not None
    assert await soon(node.process.wait()) == 0
    rest = [name for name in NAMES if name != "n4"]
    tables = await ground.wait_until(lambda found: states_held(found, "n4") == {"left"}, *rest)
    assert not any("n4 (life 1) dead" in ground.log(name) for name in rest)
    await ground.wait_until(lambda found: {t["group"] for t in found.values()} == {4}, *rest)
    assert all(alive_members(table) == set(rest) for table in tables.values())


async def test_join_during_a_crash_and_two_simultaneous_crashes(ground: FleetEnvironment) -> None:
    await start_five_relays(ground)
    await asyncio.gather(ground.nodes["n2"].kill(), ground.add("n5"))
    await ground.wait_settled("n0", "n1", "n3", "n4", "n5")
    await asyncio.gather(ground.nodes["n3"].kill(), ground.nodes["n4"].kill())
    await ground.wait_settled("n0", "n1", "n5")


async def test_duplicate_relay_id_is_reported_and_evicts_no_relay(ground: FleetEnvironment) -> None:
    await start_five_relays(ground)
    twin = await ground.add("twin")
    await twin.kill()
    path = twin.folder / "config.json"
    path.write_text(path.read_text(encoding="utf-8").replace('"twin"', '"n3"'), encoding="utf-8")
    shutil.rmtree(twin.state)
    twin.state.mkdir()
    await ground.start(twin)

    async def reported() -> None:
        while "fleet: another process uses id n3" not in ground.log("twin"):
            await asyncio.sleep(0.02)

    await soon(reported())
    await ground.wait_settled(*NAMES)
    tables = await ground.wait_settled(*NAMES)
    assert {table["members"]["n3"]["life"] for table in tables.values()} == {1}


async def test_metrics_and_foreign_datagrams(ground: FleetEnvironment) -> None:
    await start_five_relays(ground)
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        asyncio.DatagramProtocol, remote_addr=ground.nodes["n0"].listen
    )
    for data in (b"\x00" * 1400, b"\xc1", b"x" * 4000):
        transport.sendto(data)

    async def counted() -> str:
        while True:
            text = (await http_request(ground.nodes["n0"].console, "GET", "/metrics"))[1]
            if "relay_fleet_foreign_total 3\n" in text:
                return text
            await asyncio.sleep(0.02)

    text = await soon(counted())
    transport.close()
    assert "relay_fleet_members_alive 5\n" in text and "relay_fleet_cut_off 0\n" in text
    await ground.wait_settled(*NAMES)


async def test_operator_commands_show_members_and_reasons(ground: FleetEnvironment) -> None:
    for name in NAMES[:3]:
        await ground.add(name, seed=name == "n0")
    await ground.wait_settled(*NAMES[:3])
    await ground.nodes["n2"].kill()
    await ground.wait_until(lambda found: states_held(found, "n2") == {"dead"}, "n0", "n1")
    console = f"127.0.0.1:{ground.nodes['n0'].console}"

    async def run_command(*words: str) -> tuple[int, str]:
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "mallowlug", "fleet", *words, "--console", console,
            cwd=ROOT, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT,
        )  # fmt: skip
        text, _ = await soon(process.communicate())
        return process.returncode or 0, text.decode()

    code, text = await run_command("show")
    assert code == 0 and "n0: view" in text and "n2  dead" in text and "n1  alive" in text
    code, text = await run_command("why", "n2")
    assert code == 0 and "n2 is dead" in text and "said by n" in text
    assert (await run_command("watch", "--times", "1"))[0] == 0
    code, text = await run_command("why", "nobody")
    assert code == 1 and "not known here" in text
    ground.nodes["n0"].signal(signal.SIGKILL)
    await ground.nodes["n0"].kill()
    code, text = await run_command("show")
    assert code == 1 and "does not answer" in text


def test_fleet_package_is_not_imported_without_fleet_configuration() -> None:
    text = "import sys, mallowlug.compose; print([n for n in sys.modules if n.startswith('mallowlug.fleet')])"
    found = subprocess.run([sys.executable, "-c", text], cwd=ROOT, capture_output=True, text=True, check=True)
    assert found.stdout == "[]\n"
