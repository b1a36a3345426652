"""The written model of a message's life: explored whole, and every record walks along it."""

from __future__ import annotations

from pathlib import Path

import pytest

from mallowlug.rig.judge import life
from mallowlug.rig.judge import record as rec
from mallowlug.rig.sim.faults import swarm
from mallowlug.rig.sim.ground import simulate
from mallowlug.rig.world import scenario
from tests.sim.worlds import SEEDED_FAULTS, seeded_fault
from tests.world import ROOT

SWARM = scenario.load(ROOT / "scenarios" / "swarm.toml")


def test_no_world_that_the_model_can_reach_repeats_what_may_not_be_repeated() -> None:
    worlds = life.explore(("keyed", "unsafe"), tries=2, kills=2)
    assert len(worlds) > 1000
    for world in worlds:
        for one in world.lives:
            assert one.out <= 2
            if one.effect == "unsafe":
                assert one.out + one.delivered + one.doubt <= 2
                assert not (one.end == "bounced" and one.out)
    assert any(one.delivered and one.end for world in worlds for one in world.lives)


@pytest.mark.parametrize(
    ("effect", "steps", "why"),
    [
        ("safe", ["taken", "try", "delivered"], ""),
        ("safe", ["taken", "try", "failed", "try", "delivered"], ""),
        ("unsafe", ["taken", "try", "refused", "try", "failed", "dead"], ""),
        ("unsafe", ["taken", "try", "dies", "dead"], ""),
        ("unsafe", ["taken", "try", "dies", "try"], "tried though an earlier try may have run"),
        ("unsafe", ["taken", "try", "failed", "bounced"], "refused though a try may have run"),
        ("unsafe", ["taken", "try", "delivered", "dies", "try"], "tried behind its delivery"),
        ("keyed", ["taken", "bounced", "try"], "tried behind its end"),
        ("keyed", ["taken", "bounced", "dies", "try"], "tried behind its end"),
        ("keyed", ["taken", "try", "delivered", "dies", "try"], ""),
        ("safe", ["taken", "bounced", "dead"], "dead behind bounced"),
        ("safe", ["taken", "delivered"], "delivered, and no try is out"),
    ],
)
def test_which_step_may_follow_which(effect: life.Effect, steps: list[life.Step], why: str) -> None:
    found: life.Life | str = life.Life(effect)
    for step in steps:
        assert isinstance(found, life.Life)
        found = life.after(found, step)
    assert found == why if why else isinstance(found, life.Life)


def walked(seed: int, folder: Path) -> list[str]:
    """What the model does not allow in a seed's record."""
    return life.walk(rec.read(simulate(swarm(SWARM, seed), folder).path))


def test_records_walk_along_the_model_and_a_planted_fault_does_not(tmp_path: Path) -> None:
    assert [walked(seed, tmp_path / str(seed)) for seed in (1, 2, 4)] == [[], [], []]
    with seeded_fault(SEEDED_FAULTS["failed_attempts_never_ran"]):
        found = [line for seed in range(1, 5) for line in walked(seed, tmp_path / f"planted-{seed}")]
    assert any("may have run" in line for line in found)
