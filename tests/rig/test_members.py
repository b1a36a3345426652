"""The judge of fleet views: records that break each rule, and near misses that are no breach."""

from __future__ import annotations

from typing import Any

import pytest

from mallowlug.rig.judge import record as rec
from mallowlug.rig.judge.members import SETTLE_US, judge_views

STARTS = [rec.ProcessEvent(0, name, "start", "") for name in ("a", "b", "c")]
HERE = {"a": (1, "alive"), "b": (1, "alive"), "c": (1, "alive")}
LATE = SETTLE_US + 10


def held(at: int, relay: str = "a", digest: str = "x", group: int = 3, **members: Any) -> rec.FleetView:
    """A relay's view: all three members alive, with the given changes."""
    return rec.FleetView(at, relay, digest, group, HERE | members)


def all_hold(at: int, **more: Any) -> list[rec.AnyEvent]:
    """Equal views of all three relays."""
    return [held(at + number, name, **more) for number, name in enumerate("abc")]


@pytest.mark.parametrize(
    ("rule", "events"),
    [
        ("lives", [held(1, b=(2, "alive")), held(2, b=(1, "alive"))]),
        ("parts", [held(1, "a", group=1), held(2, "b", group=1), held(3, "c", group=1)]),
        ("evicted", [held(LATE, b=(1, "dead"))]),
        ("evicted", [rec.FleetView(LATE, "a", "x", 3, {"a": (1, "alive"), "b": (1, "alive")})]),
        ("unequal", [*all_hold(LATE), held(LATE + 5, "c", "y")]),
    ],
)
def test_a_breach_is_reported(rule: str, events: list[rec.AnyEvent]) -> None:
    assert {breach.rule for breach in judge_views([*STARTS, *events])} == {rule}


@pytest.mark.parametrize(
    "events",
    [
        all_hold(LATE),
        [held(1, b=(1, "dead")), held(2, "b", "y")],  # the views have not had time to settle
        [rec.DatagramPath(5, "a", "b", False), held(LATE, b=(1, "dead"))],  # its datagrams do not arrive
        [rec.DatagramPath(5, "a", "b", False), rec.DatagramPath(9 + LATE, "a", "b", True),
         held(2 * LATE - 12, b=(1, "dead"))],
        [rec.ProcessEvent(5, "b", "kill", ""), held(2 * LATE, b=(1, "dead"))],
        [held(1, b=(2, "alive")), rec.ProcessEvent(2, "a", "kill", ""), rec.ProcessEvent(3, "a", "start", ""),
         held(4, b=(1, "alive"))],
        [held(1, "a", group=1), held(2, "b", group=1), rec.ProcessEvent(3, "a", "kill", ""),
         held(4, "c", group=1)],
    ],
)  # fmt: skip
def test_near_misses_are_no_breach(events: list[rec.AnyEvent]) -> None:
    assert judge_views([*STARTS, *events]) == []
