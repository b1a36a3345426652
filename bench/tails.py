"""Effect of batches on tail latency, over seeds, in simulated time to exclude the machine's noise."""

from __future__ import annotations

import tempfile
from collections.abc import Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from mallowlug.rig.judge import record as rec
from mallowlug.rig.judge.rules import judge
from mallowlug.rig.judge.service import service_of
from mallowlug.rig.judge.tail import Latency, latency_of
from mallowlug.rig.sim.ground import simulate
from mallowlug.rig.world.scenario import EventTable, Scenario

# By name: share of each class's messages that are slow, and the factor on their service time.
SERVICE_TIMES = {"as drawn": (0.0, 1.0), "heavy tail": (0.05, 8.0), "one in a hundred stalls": (0.01, 25.0)}


@dataclass(frozen=True, slots=True)
class Played:
    """Results of one run, and whether the judge found all six rules kept."""

    tail: Latency
    service: float
    kept: bool


def variant(world: Scenario, batches: bool, load: float, service: str) -> Scenario:
    """Return the scenario with ``load`` times the traffic at the same partners, with or without batches.

    A partner's rate is drawn as a multiple of its traffic (headroom), so headroom is divided by ``load``.
    """
    part, size = SERVICE_TIMES[service]
    kinds = tuple(
        kind.model_copy(update={
            "batch": kind.batch if batches else 1,
            "headroom": (kind.headroom[0] / load, kind.headroom[1] / load),
        })
        for kind in world.kinds
    )  # fmt: skip
    slow = [
        EventTable.model_validate({
            "at_s": 0.0, "what": "heavy_tail", "cls": cls.name, "part": part, "size": size,
            "len_s": world.length_s,
        })
        for cls in world.classes if part
    ]  # fmt: skip
    traffic = world.load.model_copy(update={"rate_per_s": world.load.rate_per_s * load})
    return world.model_copy(update={"kinds": kinds, "load": traffic, "events": (*world.events, *slow)})


def play(world: Scenario) -> Played:
    """Run a scenario in simulated time and judge it."""
    with tempfile.TemporaryDirectory(prefix="tails-") as folder:
        record = rec.read(simulate(world, Path(folder)).path)
    return Played(latency_of(record), service_of(record).total, judge(record).state == "kept")


def play_all(
    world: Scenario, loads: Sequence[float], seeds: Sequence[int], jobs: int
) -> Iterator[tuple[str, float, bool, list[Played]]]:
    """Yield service times, load, whether batches are on, and one run for each seed."""
    cases = [(name, load, on) for name in SERVICE_TIMES for load in loads for on in (False, True)]
    with ProcessPoolExecutor(jobs) as pool:
        found = pool.map(play, [
            variant(world, on, load, name).model_copy(update={"seed": seed})
            for name, load, on in cases for seed in seeds
        ])  # fmt: skip
        for name, load, on in cases:
            yield name, load, on, [next(found) for _ in seeds]
