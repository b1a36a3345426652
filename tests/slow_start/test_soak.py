"""A short seeded soak: real relays, drawn outages and signals, checked against all rules."""

from __future__ import annotations

from pathlib import Path

import pytest
from click.testing import CliRunner

from mallowlug.rig.cli import group
from mallowlug.rig.soak.plan import soak_scenario
from mallowlug.rig.soak.run import MAX_RELAYS, SoakError, check_size, soak_seed

RELAYS, LENGTH_S = 12, 24.0


@pytest.mark.parametrize("seed", [2, 4, 5])  # all kinds of faults; outages only; many at the same time
def test_short_soak_breaks_no_rule(seed: int, tmp_path: Path) -> None:
    result = soak_seed(seed, RELAYS, LENGTH_S, tmp_path / "run")
    assert [str(breach) for breach in result.breaches] == []
    assert result.crashes == () and not result.failed
    assert not (tmp_path / "run").exists(), "the folder of a passed run is removed"


def test_recovered_messages_are_attempted_at_exhausted_limits(tmp_path: Path) -> None:
    """A crowd, reduced capacity, and a kill while a limit refuses calls; found in a soak of 40 relays."""
    result = soak_seed(3007, 40, 34.0, tmp_path / "run")
    assert [str(breach) for breach in result.breaches] == []


def test_seed_determines_scenario() -> None:
    scenarios = [soak_scenario(seed, RELAYS, LENGTH_S) for seed in range(100)]
    assert scenarios == [soak_scenario(seed, RELAYS, LENGTH_S) for seed in range(100)]
    event_kinds = {event.what for world in scenarios for event in world.events}
    assert event_kinds >= {"refuse", "silent", "shut", "kill", "term", "hup", "crowd", "garble", "rude"}


def test_oversized_soak_is_rejected() -> None:
    with pytest.raises(SoakError, match="relays, where 1 to"):
        check_size(MAX_RELAYS + 1)
    check_size(RELAYS)


def test_unreadable_seed_range_is_reported() -> None:
    answer = CliRunner().invoke(group, ["soak", "--seeds", "9-3"])
    assert answer.exit_code == 2 and "'9-3'" in answer.output
