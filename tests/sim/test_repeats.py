"""Incident 35a76f in simulated time: hosts and a platform that write answers twice, beside other faults."""

from __future__ import annotations

import pytest

from mallowlug.rig.sim import sweep
from mallowlug.rig.world import scenario
from tests.world import ROOT

SCENARIO = ROOT / "scenarios" / "repeats-swarm.toml"
UNTRIED_SEED = 1234  # SIGTERM twice, links cut and slow, the directory out: older than the incident
FOUND_BY = (1, 2, 4, 5, 6, 7, 9)  # each broke a rule on the faulty release


@pytest.mark.parametrize("seed", FOUND_BY)
def test_repeated_answer_is_not_attributed_to_the_next_call(seed: int) -> None:
    result = sweep.run_seed(scenario.load(SCENARIO), seed)
    assert (result.breaches, result.complaints) == ((), ())


def test_recovered_messages_are_attempted_behind_two_terminations() -> None:
    result = sweep.run_seed(scenario.load(ROOT / "scenarios" / "swarm.toml"), UNTRIED_SEED)
    assert result.breaches == ()
