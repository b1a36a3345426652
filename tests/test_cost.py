"""The cost of a message, counted in a simulation: the same on every machine, changed only by the code.

``bench/`` measures times; these tests count function calls of the relay's own code and journal records.
"""

from __future__ import annotations

import sys
from collections import Counter
from pathlib import Path
from types import FrameType
from typing import Any

import pytest

from mallowlug.core.live_records import LiveRecords
from mallowlug.rig.judge import record as rec
from mallowlug.rig.sim.ground import simulate
from mallowlug.rig.world import scenario
from mossfront.engine import DecisionEngine
from tests.world import ROOT

PACKAGES = ("mossfront", "mallowlug/core", "mallowlug/fronts", "mallowlug/partners", "mallowlug/net")
# Function calls per message by package, a tenth above the number counted when the limits were set.
MAX_CALLS_PER_MESSAGE = {
    "mossfront": 213, "mallowlug/core": 67, "mallowlug/fronts": 30, "mallowlug/partners": 24,
    "mallowlug/net": 33,
}  # fmt: skip


def package_of(path: str) -> str:
    """The package that a file belongs to; empty for another one."""
    return next((package for package in PACKAGES if f"/{package}/" in path), "")


def count_calls(folder: Path) -> tuple[Counter[str], int]:
    """Count the function calls by package in 6 s of the calm scenario, and its messages."""
    found, packages = Counter[str](), dict[str, str]()

    def called(frame: FrameType, event: str, _arg: Any) -> None:
        if event == "call":
            path = frame.f_code.co_filename
            if path not in packages:
                packages[path] = package_of(path)
            found[packages[path]] += 1

    world = scenario.load(ROOT / "scenarios" / "calm.toml").model_copy(update={"length_s": 6.0})
    sys.setprofile(called)
    try:
        done = simulate(world, folder)
    finally:
        sys.setprofile(None)
    messages = sum(isinstance(event, rec.MessageSubmitted) for event in rec.read(done.path).events)
    return found, messages


def over_limit(found: Counter[str], messages: int) -> dict[str, float]:
    """The packages above their limit, with their calls per message."""
    costs = {package: found[package] / messages for package in PACKAGES}
    return {package: cost for package, cost in costs.items() if cost > MAX_CALLS_PER_MESSAGE[package]}


def test_function_calls_per_message_are_within_their_limits(tmp_path: Path) -> None:
    found, messages = count_calls(tmp_path)
    assert messages > 100
    assert over_limit(found, messages) == {}


def test_loop_over_all_held_messages_exceeds_the_limit(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    real = DecisionEngine._dispatch

    def slow(self: DecisionEngine) -> None:
        for message in self.messages.values():
            self._score(message)
        real(self)

    monkeypatch.setattr(DecisionEngine, "_dispatch", slow)
    assert "mossfront" in over_limit(*count_calls(tmp_path))


def test_delivered_message_has_three_records(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Accepted, attempted, completed: each is one write to the disk."""
    kinds, real = Counter[str](), LiveRecords.add

    def kept(self: LiveRecords, head: list[Any], raw: bytes) -> None:
        kinds[head[0]] += 1
        real(self, head, raw)

    monkeypatch.setattr(LiveRecords, "add", kept)
    world = scenario.load(ROOT / "scenarios" / "calm.toml").model_copy(update={"length_s": 3.0})
    done = simulate(world, tmp_path)
    messages = sum(isinstance(event, rec.MessageSubmitted) for event in rec.read(done.path).events)
    assert kinds["in"] == messages
    # The simulation ends while the last ones are in progress.
    assert messages - 2 <= kinds["over"] <= messages
    assert messages <= kinds["try"] <= 1.05 * messages
