"""A relay's memory and descriptors do not grow from hour to hour; a leak is reported by type."""

from __future__ import annotations

from pathlib import Path

import pytest

from mallowlug.core import relay
from mallowlug.rig.sim import hours
from mallowlug.rig.world.scenario import Scenario
from mossfront import engine

HOUR = Scenario.model_validate(
    {
        "name": "short-hours", "seed": 3, "length_s": 60.0, "load": {"rate_per_s": 15.0},
        "relays": {"count": 1}, "partners": {"destinations": 3, "endpoints": (1, 2)},
        "class": [
            {"name": name, "share": 0.5, "effect": effect, "work_ms": 40.0, "aim_s": 1.0, "deadline_s": 4.0,
             "window_s": 4.0}
            for name, effect in (("status", "safe"), ("postings", "keyed"))
        ],
        "event": [
            {"at_s": 3.0, "what": "refuse", "len_s": 2.0, "part": 0.4},
            {"at_s": 4.0, "what": "replace", "len_s": 2.0, "count": 2},
            {"at_s": 6.0, "what": "rude", "len_s": 2.0, "count": 9},
            {"at_s": 8.0, "what": "garble", "len_s": 2.0, "part": 0.3},
        ],
    }
)  # fmt: skip


def test_memory_and_descriptors_do_not_grow(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    # Few enough remembered ids of completed messages that every hour ends with the same number.
    monkeypatch.setattr(relay, "MAX_REMEMBERED_IDS", 50)
    found = hours.run_hours(HOUR, 4, tmp_path, quiet_s=45.0)
    assert found.done.complaints == []
    assert found.problems == []
    assert [held.hour for held in found.samples] == [1, 2, 3, 4]
    assert all(held.size > 10_000 and held.objects["Destination"] == 3 for held in found.samples)


def test_a_leak_is_reported_by_type(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Seeded fault: removed hosts are never forgotten."""
    monkeypatch.setattr(engine.DecisionEngine, "_forget_gone_hosts", lambda self: None)
    problems = hours.run_hours(HOUR, 4, tmp_path, quiet_s=45.0).problems
    assert problems
    assert "DecayingCounter" in problems[-1]


def test_an_hour_without_a_quiet_period_is_refused(tmp_path: Path) -> None:
    with pytest.raises(hours.QuietPeriodError, match="replace at"):
        hours.run_hours(HOUR, 2, tmp_path, quiet_s=55.0)
