"""The view of the fleet over real processes, with faults between them. Safety is judged from what each one
tells and logs; times only against the one wide bound of all tests.
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
from mallowlug.rig.judge.members import judged
from mallowlug.rig.world.fronts import DatagramPath
from tests.members.ground import Ground, agreed, alive
from tests.world import ROOT, http_request, soon

NAMES = ("n0", "n1", "n2", "n3", "n4")


@pytest_asyncio.fixture
async def ground(tmp_path: Path) -> AsyncIterator[Ground]:
    """Fault points, and no relay yet."""
    ground = Ground(tmp_path)
    yield ground
    await ground.stop()
    assert judged(ground.record) == []
    assert sum(isinstance(event, rec.Held) for event in ground.record) > 0


async def five(ground: Ground) -> None:
    """Five relays that have settled; two are everybody's seeds."""
    for name in NAMES:
        await ground.add(name, seed=name in NAMES[:2])
    await ground.settled(*NAMES)


def held(tables: dict[str, Any], name: str) -> set[str]:
    """In which states others hold a relay."""
    return {table["members"].get(name, {}).get("state", "") for own, table in tables.items() if own != name}


async def test_a_crash_is_known_by_all_and_its_next_life_too(ground: Ground) -> None:
    await five(ground)
    await ground.nodes["n3"].kill()
    rest = [name for name in NAMES if name != "n3"]
    tables = await ground.until(lambda found: held(found, "n3") == {"dead"}, *rest)
    assert all(row["members"]["n3"]["by"] for row in tables.values())  # who said so
    await ground.start(ground.nodes["n3"])
    tables = await ground.settled(*NAMES)
    assert {table["members"]["n3"]["life"] for table in tables.values()} == {2}


async def test_a_return_faster_than_any_detection_is_heard_as_a_new_life(ground: Ground) -> None:
    await five(ground)
    await ground.nodes["n4"].kill()
    await ground.start(ground.nodes["n4"])

    def new(tables: dict[str, Any]) -> bool:
        return {table["members"]["n4"]["life"] for table in tables.values()} == {2} and agreed(tables, NAMES)

    await ground.until(new, *NAMES)
    assert "n4 (life 2) new life" in ground.log("n0")


async def test_a_relay_that_lost_its_folder_comes_back_in_a_life_of_its_own(ground: Ground) -> None:
    await five(ground)
    node = ground.nodes["n2"]
    await node.kill()
    shutil.rmtree(node.state)
    node.state.mkdir()
    await ground.start(node)

    def above(tables: dict[str, Any]) -> bool:
        return agreed(tables, NAMES) and all(t["members"]["n2"]["life"] >= 2 for t in tables.values())

    await ground.until(above, *NAMES)


async def test_a_cut_heals_and_parts_grow_on_the_side_of_the_majority_alone(ground: Ground) -> None:
    await five(ground)
    await ground.until(lambda tables: {t["group"] for t in tables.values()} == {5}, *NAMES)
    few, most = ["n0", "n3"], ["n1", "n2", "n4"]
    ground.fronts.partition(few, most)
    await ground.settled(*most)
    await ground.settled(*few)
    tables = await ground.until(lambda found: {t["group"] for t in found.values()} == {3}, *most)
    minority = await ground.until(lambda found: all(t["cut_off"] for t in found.values()), *few)
    assert {table["group"] for table in minority.values()} == {5}
    groups = [table["group"] for table in (*tables.values(), *minority.values())]
    assert sum(1 / group for group in groups) < 1.5
    ground.fronts.clear_all()
    await ground.settled(*NAMES)
    await ground.until(lambda found: {t["group"] for t in found.values()} == {5}, *NAMES)


async def test_two_that_cannot_hear_each_other_live_on_while_others_hear_both(ground: Ground) -> None:
    await five(ground)
    ground.fronts.set_path("n2", "n3", DatagramPath(cut=True))
    before = ground.fronts.dropped["n2", "n3"] + ground.fronts.dropped["n3", "n2"]

    async def tried() -> None:
        while ground.fronts.dropped["n2", "n3"] + ground.fronts.dropped["n3", "n2"] < before + 12:
            await asyncio.sleep(0.02)

    await soon(tried())
    await ground.settled(*NAMES)
    assert not any(f"fleet: {name} (life 1) dead" in ground.log(other) for name in NAMES for other in NAMES)


async def test_a_one_way_cut_and_a_bad_link_evict_nobody(ground: Ground) -> None:
    await five(ground)
    ground.fronts.set_path("n1", "n4", DatagramPath(cut=True), both=False)
    ground.fronts.set_path(
        "n0", "n2", DatagramPath(loss_share=0.3, delay_s=0.02, jitter_s=0.02, duplicate_share=0.3)
    )
    base = ground.fronts.forwarded["n0", "n2"]

    async def used() -> None:
        while ground.fronts.forwarded["n0", "n2"] < base + 20:
            await asyncio.sleep(0.02)

    await soon(used())
    await ground.settled(*NAMES)
    assert not any(") dead" in ground.log(name) for name in NAMES)


async def test_one_that_stood_still_is_back_in_the_same_life(ground: Ground) -> None:
    """Long enough to be held dead; it answers with a higher incarnation, and evicts nobody itself."""
    await five(ground)
    node = ground.nodes["n1"]
    node.signal(signal.SIGSTOP)
    rest = [name for name in NAMES if name != "n1"]
    await ground.until(lambda found: held(found, "n1") == {"dead"}, *rest)
    node.signal(signal.SIGCONT)
    tables = await ground.settled(*NAMES)
    rows = [table["members"]["n1"] for table in tables.values()]
    assert {row["life"] for row in rows} == {1} and min(row["incarnation"] for row in rows) > 0
    assert ") dead" not in ground.log("n1")


async def test_one_that_is_told_to_end_has_left_and_parts_grow_at_once(ground: Ground) -> None:
    await five(ground)
    node = ground.nodes["n4"]
    node.signal(signal.SIGTERM)
    assert node.process is not None
    assert await soon(node.process.wait()) == 0
    rest = [name for name in NAMES if name != "n4"]
    tables = await ground.until(lambda found: held(found, "n4") == {"left"}, *rest)
    assert not any("n4 (life 1) dead" in ground.log(name) for name in rest)
    await ground.until(lambda found: {t["group"] for t in found.values()} == {4}, *rest)
    assert all(alive(table) == set(rest) for table in tables.values())


async def test_one_joins_while_another_dies_and_a_third_die_at_once(ground: Ground) -> None:
    await five(ground)
    await asyncio.gather(ground.nodes["n2"].kill(), ground.add("n5"))
    await ground.settled("n0", "n1", "n3", "n4", "n5")
    await asyncio.gather(ground.nodes["n3"].kill(), ground.nodes["n4"].kill())
    await ground.settled("n0", "n1", "n5")


async def test_two_processes_with_one_id_are_told_and_evict_nobody(ground: Ground) -> None:
    await five(ground)
    twin = await ground.add("twin")
    await twin.kill()
    path = twin.folder / "config.json"
    path.write_text(path.read_text(encoding="utf-8").replace('"twin"', '"n3"'), encoding="utf-8")
    shutil.rmtree(twin.state)
    twin.state.mkdir()
    await ground.start(twin)

    async def told() -> None:
        while "fleet: another process lives as n3" not in ground.log("twin"):
            await asyncio.sleep(0.02)

    await soon(told())
    await ground.settled(*NAMES)
    tables = await ground.settled(*NAMES)
    assert {table["members"]["n3"]["life"] for table in tables.values()} == {1}


async def test_figures_and_foreign_datagrams(ground: Ground) -> None:
    await five(ground)
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
    await ground.settled(*NAMES)


async def test_staff_ask_by_command_who_is_there_and_why(ground: Ground) -> None:
    for name in NAMES[:3]:
        await ground.add(name, seed=name == "n0")
    await ground.settled(*NAMES[:3])
    await ground.nodes["n2"].kill()
    await ground.until(lambda found: held(found, "n2") == {"dead"}, "n0", "n1")
    console = f"127.0.0.1:{ground.nodes['n0'].console}"

    async def said(*words: str) -> tuple[int, str]:
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "mallowlug", "fleet", *words, "--console", console,
            cwd=ROOT, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT,
        )  # fmt: skip
        text, _ = await soon(process.communicate())
        return process.returncode or 0, text.decode()

    code, text = await said("show")
    assert code == 0 and "n0: view" in text and "n2  dead" in text and "n1  alive" in text
    code, text = await said("why", "n2")
    assert code == 0 and "n2 is dead" in text and "said by n" in text
    assert (await said("watch", "--times", "1"))[0] == 0
    code, text = await said("why", "nobody")
    assert code == 1 and "not known here" in text
    ground.nodes["n0"].signal(signal.SIGKILL)
    await ground.nodes["n0"].kill()
    code, text = await said("show")
    assert code == 1 and "does not answer" in text


def test_without_the_table_nothing_of_it_is_imported() -> None:
    text = "import sys, mallowlug.compose; print([n for n in sys.modules if n.startswith('mallowlug.fleet')])"
    found = subprocess.run([sys.executable, "-c", text], cwd=ROOT, capture_output=True, text=True, check=True)
    assert found.stdout == "[]\n"
