"""A seed gives one record, byte for byte: twice in one process and under any hash seed."""

from __future__ import annotations

import hashlib
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from mallowlug.partners.http_calls import HttpPartners
from mallowlug.rig.sim.faults import swarm
from mallowlug.rig.sim.ground import simulate
from mallowlug.rig.world import scenario
from tests.world import ROOT

SWARM = scenario.load(ROOT / "scenarios" / "swarm.toml")
SEED = 40  # has kills, stalls, clock jumps, a full disk and corrupt responses
CHILD = """
import sys
from pathlib import Path
from tests.sim.test_determinism import digest
print(digest(int(sys.argv[1]), Path(sys.argv[2])))
"""


def digest(seed: int, folder: Path) -> str:
    """The hash of the record of one seed's run."""
    return hashlib.sha256(simulate(swarm(SWARM, seed), folder).path.read_bytes()).hexdigest()


def child(seed: int, folder: Path, hash_seed: str) -> str:
    """The same hash, computed in a separate process."""
    environment = os.environ | {"PYTHONHASHSEED": hash_seed, "PYTHONPATH": str(ROOT)}
    command = [sys.executable, "-c", CHILD, str(seed), str(folder)]
    completed = subprocess.run(command, cwd=ROOT, env=environment, capture_output=True, check=True, text=True)
    return completed.stdout.strip()


def test_a_seed_always_gives_the_same_record(tmp_path: Path) -> None:
    first = digest(SEED, tmp_path / "a")
    assert digest(SEED, tmp_path / "b") == first
    assert {child(SEED, tmp_path / name, name) for name in ("1", "77")} == {first}
    assert digest(SEED + 1, tmp_path / "c") != first


def test_an_order_by_address_is_detected(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Seeded fault: batches are ordered by object addresses, so that two runs of a seed differ."""
    send = HttpPartners.send
    garbage: list[Any] = []

    def shuffled(self: HttpPartners, call: Any) -> Any:
        garbage.append([object() for _ in range(len(garbage) % 7)])  # vary the memory layout between runs
        call.parts.sort(key=lambda part: hash((id(part), len(garbage))))
        return send(self, call)

    monkeypatch.setattr(HttpPartners, "send", shuffled)
    assert len({digest(SEED, tmp_path / str(number)) for number in range(3)}) > 1
