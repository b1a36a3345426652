"""The message state model: explored completely, and records checked against it."""

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


def test_no_reachable_state_repeats_an_unsafe_message() -> None:
    states = life.explore(("keyed", "unsafe"), attempts=2, kills=2)
    assert len(states) > 1000
    for state in states:
        for message in state.messages:
            assert message.open_attempts <= 2
            if message.effect == "unsafe":
                assert message.open_attempts + message.delivered + message.in_doubt <= 2
                assert not (message.notice == "bounced" and message.open_attempts)
    assert any(message.delivered and message.notice for state in states for message in state.messages)


@pytest.mark.parametrize(
    ("effect", "steps", "why"),
    [
        ("safe", ["taken", "try", "delivered"], ""),
        ("safe", ["taken", "try", "failed", "try", "delivered"], ""),
        ("unsafe", ["taken", "try", "refused", "try", "failed", "dead"], ""),
        ("unsafe", ["taken", "try", "dies", "dead"], ""),
        ("unsafe", ["taken", "try", "dies", "try"], "attempted though an earlier attempt may have run"),
        ("unsafe", ["taken", "try", "failed", "bounced"], "refused though an attempt may have run"),
        ("unsafe", ["taken", "try", "delivered", "dies", "try"], "attempted after its delivery"),
        ("keyed", ["taken", "bounced", "try"], "attempted after its final result"),
        ("keyed", ["taken", "bounced", "dies", "try"], "attempted after its final result"),
        ("keyed", ["taken", "try", "delivered", "dies", "try"], ""),
        ("safe", ["taken", "bounced", "dead"], "dead after bounced"),
        ("safe", ["taken", "delivered"], "delivered without an open attempt"),
    ],
)
def test_which_step_may_follow_which(effect: life.Effect, steps: list[life.Step], why: str) -> None:
    state: life.MessageState | str = life.MessageState(effect)
    for step in steps:
        assert isinstance(state, life.MessageState)
        state = life.next_state(state, step)
    assert state == why if why else isinstance(state, life.MessageState)


def violations_of(seed: int, folder: Path) -> list[str]:
    """Return the violations of the model in a seed's record."""
    return life.find_violations(rec.read(simulate(swarm(SWARM, seed), folder).path))


def test_records_follow_the_model_and_a_seeded_fault_does_not(tmp_path: Path) -> None:
    assert [violations_of(seed, tmp_path / str(seed)) for seed in (1, 2, 4)] == [[], [], []]
    with seeded_fault(SEEDED_FAULTS["failed_attempts_never_ran"]):
        lines = [line for seed in range(1, 5) for line in violations_of(seed, tmp_path / f"planted-{seed}")]
    assert any("may have run" in line for line in lines)
