"""The incident with real processes: fifty relays over loopback, endpoints down for nine seconds, kills."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from mallowlug.rig.judge import record as rec
from mallowlug.rig.judge.rules import judge
from mallowlug.rig.run.play import RunResult, play
from mallowlug.rig.world.scenario import load_without_simulation

SCENARIO = Path(__file__).parents[2] / "scenarios" / "throng.toml"


@pytest.fixture(scope="module")
def run(tmp_path_factory: pytest.TempPathFactory) -> tuple[RunResult, rec.Record]:
    """Play the scenario once for all tests."""
    done = asyncio.run(play(load_without_simulation(SCENARIO), tmp_path_factory.mktemp("throng") / "run"))
    return done, rec.read(done.path)


def test_fifty_relays_break_no_rule(run: tuple[RunResult, rec.Record]) -> None:
    done, record = run
    assert done.crashed == ()
    assert [str(breach) for breach in judge(record).breaches] == []


def test_no_returned_endpoint_collapses(run: tuple[RunResult, rec.Record]) -> None:
    """Stricter than the rule: calls of relays that had not observed the outage count, too."""
    collapsed = {
        event.host
        for event in run[1].events
        if isinstance(event, rec.HostStateChange) and event.state == "fell"
    }
    assert collapsed == set()
