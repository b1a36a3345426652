"""The incident of report 4e6e9b with 48 real processes: shut destinations announce when they will open."""

from __future__ import annotations

import asyncio
from pathlib import Path

from mallowlug.rig.judge import record as rec
from mallowlug.rig.judge.rules import judge
from mallowlug.rig.run.play import play
from mallowlug.rig.world.scenario import load_without_simulation

SCENARIO = Path(__file__).parents[2] / "scenarios" / "shut-destinations.toml"
SEEDS = (21, 22, 23)  # each broke the rule on the faulty release


def test_common_retry_after_time_breaks_no_rule(tmp_path: Path) -> None:
    breaches = list[str]()
    for seed in SEEDS:
        scenario = load_without_simulation(SCENARIO).model_copy(update={"seed": seed})
        done = asyncio.run(play(scenario, tmp_path / str(seed)))
        assert done.crashed == ()
        breaches += [f"seed {seed}: {breach}" for breach in judge(rec.read(done.path)).breaches]
    assert breaches == []
