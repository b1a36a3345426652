"""Incident 35a76f: answers that arrive twice, on real processes, judged by all rules."""

from __future__ import annotations

import asyncio
from pathlib import Path

from mallowlug.rig.judge import record as rec
from mallowlug.rig.judge.rules import judge
from mallowlug.rig.run.play import play
from mallowlug.rig.soak.run import soak_seed
from mallowlug.rig.world.scenario import load_without_simulation
from tests.world import ROOT

SOAK_SEED, SOAK_RELAYS, SOAK_LENGTH_S = 1, 12, 24.0  # broken on the faulty release
SCENARIO = ROOT / "scenarios" / "repeats.toml"


def test_repeated_answer_is_not_attributed_to_the_next_call(tmp_path: Path) -> None:
    done = asyncio.run(play(load_without_simulation(SCENARIO), tmp_path / "run"))
    record = rec.read(done.path)
    assert any(isinstance(event, rec.AnswerRepeated) for event in record.events)
    assert done.crashed == ()
    assert [str(breach) for breach in judge(record).breaches] == []


def test_soak_with_repeated_answers_breaks_no_rule(tmp_path: Path) -> None:
    result = soak_seed(SOAK_SEED, SOAK_RELAYS, SOAK_LENGTH_S, tmp_path / "run", repeats=True)
    assert [str(breach) for breach in result.breaches] == []
    assert result.crashes == ()
