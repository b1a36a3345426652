"""Forty simulated relays: an outage that only some observed, and most processes killed at once."""

from __future__ import annotations

import pytest

from mallowlug.rig.sim import sweep
from mallowlug.rig.world import scenario
from mossfront.engine import DecisionEngine
from mossfront.slow_start import Budget
from tests.world import ROOT

VAST = ROOT / "scenarios" / "vast.toml"


def test_forty_relays_keep_the_rules() -> None:
    result = sweep.run_scenario(scenario.load(VAST))
    assert (result.breaches, result.complaints) == ((), ())
    assert result.messages > 1_500


def test_forty_relays_that_each_use_the_whole_budget_overload_returning_hosts(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Seeded fault: relays do not share a cold destination's capacity, each takes all of it."""
    monkeypatch.setattr(Budget, "credit_per_message", lambda *_: 1e6)
    monkeypatch.setattr(DecisionEngine, "_restore_outage_record", lambda *_: None)
    result = sweep.run_scenario(scenario.load(VAST))
    assert result.rules == ("returns",)
