"""What a message costs, counted in simulated time: the same on every machine; what grows has been changed.

Times are ``bench/``'s; here are function calls of the relay's own code, records and bytes of its journal.
"""

from __future__ import annotations

import sys
from collections import Counter
from pathlib import Path
from types import FrameType
from typing import Any

import pytest

from mallowlug.core.journal import Journal
from mallowlug.rig.judge import record as rec
from mallowlug.rig.sim.ground import simulate
from mallowlug.rig.world import scenario
from mossfront.engine import DecisionEngine
from tests.world import ROOT

PACKAGES = ("mossfront", "mallowlug/core", "mallowlug/fronts", "mallowlug/partners", "mallowlug/net")
# Function calls a message by room, with a tenth of room above what was counted when the bound was set.
MAX_CALLS_PER_MESSAGE = {
    "mossfront": 213, "mallowlug/core": 67, "mallowlug/fronts": 30, "mallowlug/partners": 24,
    "mallowlug/net": 33,
}  # fmt: skip


def package_of(path: str) -> str:
    """The room of the relay that a file belongs to; empty for none."""
    return next((room for room in PACKAGES if f"/{room}/" in path), "")


def count_calls(folder: Path) -> tuple[Counter[str], int]:
    """Function calls by room on a calm day of 6 s, and how many messages it had."""
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
    messages = sum(isinstance(event, rec.Ask) for event in rec.read(done.path).events)
    return found, messages


def over_limit(found: Counter[str], messages: int) -> dict[str, float]:
    """The rooms that cost more than their bound, with their calls a message."""
    costs = {room: found[room] / messages for room in PACKAGES}
    return {room: cost for room, cost in costs.items() if cost > MAX_CALLS_PER_MESSAGE[room]}


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
    """Taken on, tried, over: each is a write to the disk."""
    kinds, real = Counter[str](), Journal._track_record

    def kept(self: Journal, head: list[Any], raw: bytes) -> None:
        kinds[head[0]] += 1
        real(self, head, raw)

    monkeypatch.setattr(Journal, "_track_record", kept)
    world = scenario.load(ROOT / "scenarios" / "calm.toml").model_copy(update={"length_s": 3.0})
    done = simulate(world, tmp_path)
    messages = sum(isinstance(event, rec.Ask) for event in rec.read(done.path).events)
    assert kinds["in"] == messages
    assert messages - 2 <= kinds["over"] <= messages  # the world ends while the last ones are out
    assert messages <= kinds["try"] <= 1.05 * messages
