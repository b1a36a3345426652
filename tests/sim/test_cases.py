"""Difficult cases, each in a small scenario that shows that the fault is injected."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from mallowlug.cli.main import main
from mallowlug.rig.judge import record as rec
from mallowlug.rig.sim import exhaust
from mallowlug.rig.world.scenario import Scenario
from tests.sim.worlds import judged, seeded_fault, wall_clock_trusted

TWO: dict[str, Any] = exhaust.BASE_SCENARIO | {
    "length_s": 6.0, "message": [], "event": [], "load": {"rate_per_s": 30.0, "clumps": 0.0},
    "relays": {"count": 2, "back_s": 0.3, "slots_room": 10.0, "disk_mb": 1.0},
    "class": [{**cls, "deadline_s": 2.0} for cls in exhaust.BASE_SCENARIO["class"]],
    "kind": [{"name": "lots", "share": 1.0, "least_per_s": (60, 60)}],
}  # fmt: skip


def world(**more: Any) -> Scenario:
    """Two relays and thirty messages per second."""
    return Scenario.model_validate(TWO | more)


def kept(scenario: Scenario, folder: Path) -> rec.Record:
    """Run a scenario in which no rule may break and nothing else be wrong; return its record."""
    done, record, verdict = judged(scenario, folder)
    assert (verdict.state, verdict.breaches, done.complaints) == ("kept", (), [])
    return record


@pytest.mark.parametrize(
    "strikes",
    [
        [("write.try", 2, "within", 0)],  # between the records of one batch
        [("write.in", 3, "within", 0), ("truncate", 1, "within", 1)],  # in the replay's own write
        [
            ("write.in", 3, "after", 0),
            ("write.journal.new", 1, "within", 1),
        ],  # in the compaction after the replay
        [("replace", 1, "after", 0), ("unlink", 1, "before", 1)],
    ],
)
def test_kills_around_a_batch_a_replay_and_a_compaction(strikes: list[Any], tmp_path: Path) -> None:
    rows = [{"call": call, "at": at, "when": when, "life": life} for call, at, when, life in strikes]
    record = kept(exhaust.small_scenario(world(strike=rows).strikes), tmp_path)
    assert len([e for e in record.events if isinstance(e, rec.Annotation) and e.what == "strike"]) == len(
        strikes
    )


def test_a_clock_that_jumps_back_over_a_deadline_while_the_relay_is_down(tmp_path: Path) -> None:
    """Seeded fault: the wall clock is trusted at the next start, and final results come a minute late."""
    events = [
        {"at_s": 1.0, "what": "silent", "len_s": 5.0, "dest": 0},
        {"at_s": 2.0, "what": "kill"},
        {"at_s": 2.1, "what": "jump", "size": 60.0, "back": True},
    ]
    record = kept(world(event=events), tmp_path / "kept")
    assert any(isinstance(event, rec.Notice) for event in record.events)
    with seeded_fault(wall_clock_trusted):
        _, _, verdict = judged(world(event=events), tmp_path / "seeded_fault")
    assert {breach.rule for breach in verdict.breaches} == {"lost"}


def test_a_process_suspended_with_calls_pending_and_answers_unread(tmp_path: Path) -> None:
    record = kept(world(length_s=9.0, event=[{"at_s": 2.0, "what": "stall", "len_s": 5.0}]), tmp_path)
    deaf, hears = (
        next(e.at for e in record.events if isinstance(e, rec.ProcessEvent) and e.what == what)
        for what in ("deaf", "hears")
    )
    assert hears - deaf > 4_900_000
    assert any(deaf < e.at < hears for e in record.events if isinstance(e, rec.CallAnswered))


def test_a_disk_that_fills_up_during_a_drain(tmp_path: Path) -> None:
    events = [
        {"at_s": 2.0, "what": "silent", "len_s": 3.0, "dest": 0},
        {"at_s": 2.5, "what": "term"},
        {"at_s": 2.8, "what": "full", "len_s": 1.0},
    ]
    kept(world(event=events), tmp_path)


def test_faults_of_one_relay_do_not_affect_messages_of_another(tmp_path: Path) -> None:
    errors = ((9, "EIO"), (30, "short"), (44, "ENOSPC"))
    rows = [{"call": "write", "at": at, "what": what} for at, what in errors]
    events = [{"at_s": 1.5, "what": "kill"}, {"at_s": 3.0, "what": "stall", "len_s": 1.0}]
    record = kept(world(strike=rows, event=events), tmp_path)
    asked = {e.id for e in record.events if isinstance(e, rec.MessageSubmitted) and e.relay == "n1"}
    ends = [item for e in record.events if isinstance(e, rec.CallAnswered) for item in e.ends.items()]
    done = {ref for ref, end in ends if end == "delivered"}
    assert len(asked) > 50
    assert asked <= done


def test_simulation_only_faults_are_rejected_on_real_sockets(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "x.toml"
    text = 'name = "x"\nseed = 1\nlength_s = 2.0\n[load]\nrate_per_s = 1.0\n'
    text += '[[event]]\nat_s = 1.0\nwhat = "stall"\n'
    path.write_text(text, encoding="utf-8")
    assert main(["rig", "run", str(path), "--out", str(tmp_path / "out")]) == 2
    assert ":8: event.0.what: stall happens only in the simulation" in capsys.readouterr().err
    assert not (tmp_path / "out").exists()
    path.write_text(text + '[[strike]]\nat = 1\nunit = "step"\nwhat = "EIO"\n', encoding="utf-8")
    assert main(["sim", "run", str(path), "--out", str(tmp_path / "out")]) == 2
    assert "strike.0.what: EIO is a failure of the disk's calls" in capsys.readouterr().err
