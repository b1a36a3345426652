"""The fleet view in simulation: relays with partners and traffic, and faults between them."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path
from typing import Any

import pytest

from mallowlug.fleet.agent import Agent
from mallowlug.rig.judge import record as rec
from mallowlug.rig.judge.rules import judge
from mallowlug.rig.run.play import Environment, RunOptions
from mallowlug.rig.sim.faults import swarm
from mallowlug.rig.sim.ground import simulate
from mallowlug.rig.sim.loop import SimLoop
from mallowlug.rig.sim.net import Network
from mallowlug.rig.sim.sweep import run_scenario
from mallowlug.rig.world import scenario
from tests.world import ROOT

FLEET = scenario.load(ROOT / "scenarios" / "fleet.toml")
AT_S = 12.0  # when the views are compared: after the last fault


def views_after(tmp_path: Path, monkeypatch: pytest.MonkeyPatch, *rows: dict[str, Any]) -> dict[str, Agent]:
    """Run with these events; return each relay's fleet agent at ``AT_S``.

    Requires that all views are equal then, and that no rule is broken.
    """
    agents, found = dict[str, Agent](), dict[str, Agent]()
    real = Agent.open

    def opened(self: Agent) -> None:
        agents[self.swim.own_update.relay] = self
        real(self)

    async def look(_world: Environment) -> None:
        await asyncio.sleep(AT_S)
        found.update(agents)
        for name, agent in found.items():
            views[name] = agent.swim.view.digest, agent._group_size, frozenset(agent.swim.view.live_members())

    views: dict[str, Any] = {}
    monkeypatch.setattr(Agent, "open", opened)
    events = tuple(map(scenario.EventTable.model_validate, rows))
    done = simulate(FLEET.model_copy(update={"events": events}), tmp_path, RunOptions(on_started=look))
    assert done.complaints == [] and judge(rec.read(done.path)).breaches == ()
    assert len({digest for digest, _, _ in views.values()}) == 1, views
    assert {size for _, size, _ in views.values()} == {5}
    assert {here for _, _, here in views.values()} == {frozenset(f"n{at}" for at in range(5))}
    return found


def test_views_converge_after_a_partition_a_kill_a_suspension_and_an_upgrade(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    found = views_after(
        tmp_path, monkeypatch,
        {"at_s": 2.0, "what": "apart", "relay": 1, "len_s": 3.0},
        {"at_s": 3.0, "what": "kill", "relay": 2},
        {"at_s": 4.0, "what": "stall", "relay": 3, "len_s": 2.0},
        {"at_s": 6.0, "what": "upgrade", "relay": 4},
    )  # fmt: skip
    lives = {name: agent.swim.own_update.life for name, agent in found.items()}
    assert lives == {"n0": 1, "n1": 1, "n2": 2, "n3": 1, "n4": 2}


@pytest.mark.parametrize("seed", range(1, 6))
def test_relays_in_a_fleet_keep_all_rules(seed: int) -> None:
    result = run_scenario(swarm(FLEET, seed))
    assert (result.state, result.rules, result.complaints) == ("kept", (), ())


async def test_datagrams_may_be_lost_duplicated_or_late_and_queues_are_limited() -> None:
    def run(**faults: float) -> list[int]:
        loop = SimLoop()
        net = loop.net = Network(loop, random.Random(1))
        for name, value in faults.items():
            setattr(net.faults, name, value)
        one, other = net.datagram(("127.0.0.1", 1)), net.datagram(("127.0.0.1", 2))

        async def send() -> None:
            for number in range(300):
                one.sendto(bytes([number % 256]), other.local_address)
            await asyncio.sleep(5)

        loop.run_main(send())
        return [data[0] for data, _ in other.queue]

    plain = await asyncio.to_thread(run)
    assert plain == list(range(256))
    assert 100 < len(await asyncio.to_thread(run, loss=0.5)) < 200
    late = await asyncio.to_thread(run, max_delay_s=1.0)
    assert late != sorted(late)
    assert len(set(await asyncio.to_thread(run, duplication=1.0))) < 256
