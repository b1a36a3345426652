"""Many seeds, each with faults of its own: played, judged, counted. Nothing stops at a breach."""

from __future__ import annotations

import shutil
import tempfile
import traceback
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path

from mallowlug.rig.judge import record as rec
from mallowlug.rig.judge.life import walk
from mallowlug.rig.judge.rules import judge
from mallowlug.rig.sim.faults import swarm
from mallowlug.rig.sim.ground import Simulated, simulate
from mallowlug.rig.world.scenario import SYNC_CALLS, SYSTEM_CALLS, Scenario

WHEN = ("before", "within", "after")
# At which a life can be killed.
POINTS = (*(f"{name}.{when}" for name in (*SYSTEM_CALLS, *SYNC_CALLS) for when in WHEN), "step")


@dataclass(frozen=True, slots=True)
class Result:
    """What one seed says."""

    seed: int
    state: str  # kept, broken, unknown, or error where the simulation itself failed
    breaches: tuple[str, ...] = ()
    rules: tuple[str, ...] = ()
    complaints: tuple[str, ...] = ()
    points: tuple[tuple[str, int, str], ...] = ()  # struck: relay, life, point
    messages: int = 0
    length_s: float = 0.0  # simulated
    calls: tuple[tuple[int, int], ...] = ()  # of relay 0, by life: until it listened, and in all

    @property
    def passed(self) -> bool:
        """Whether no rule broke and nothing else was wrong."""
        return self.state == "kept" and not self.complaints

    @property
    def signs(self) -> frozenset[str]:
        """What it failed by, for whoever looks for the same failure: rules, else the complaints' kinds."""
        kinds = {complaint.partition(":")[0] for complaint in self.complaints}
        return frozenset(self.rules) or frozenset(kinds) or frozenset({self.state} - {"kept"})


def result_of(seed: int, done: Simulated) -> Result:
    """Judge a run."""
    record = rec.read(done.path)
    verdict = judge(record)
    return Result(
        seed=seed,
        state=verdict.state,
        breaches=tuple(map(str, verdict.breaches)),
        rules=tuple(sorted({breach.rule for breach in verdict.breaches})),
        complaints=(
            *done.complaints,
            *(verdict.reasons if verdict.state == "unknown" else ()),
            *(f"model: {line}" for line in walk(record)),
        ),
        points=tuple((struck.relay, struck.life, struck.point) for struck in done.struck),
        messages=sum(isinstance(event, rec.Ask) for event in record.events),
        length_s=done.length_s,
        calls=done.calls,
    )


def played(scenario: Scenario, folder: Path | None = None) -> Result:
    """Play a scenario as it stands and judge it; its record is kept only where a folder is named."""
    where = folder or Path(tempfile.mkdtemp(prefix="sim-"))
    try:
        return result_of(scenario.seed, simulate(scenario, where))
    except Exception:
        return Result(scenario.seed, "error", complaints=(f"simulation: {traceback.format_exc()}",))
    finally:
        if folder is None:
            shutil.rmtree(where, ignore_errors=True)


def one(scenario: Scenario, seed: int) -> Result:
    """One seed of a sweep."""
    return played(swarm(scenario, seed))


def results(scenario: Scenario, seeds: Sequence[int], jobs: int) -> Iterator[Result]:
    """Every seed's result, in order of seeds; ``jobs`` processes work on them side by side."""
    if jobs == 1:
        yield from (one(scenario, seed) for seed in seeds)
        return
    with ProcessPoolExecutor(jobs) as pool:
        yield from pool.map(one, [scenario] * len(seeds), seeds, chunksize=4)


@dataclass(slots=True)
class Coverage:
    """Which points were reached how often, and which followed which in the next life that was struck."""

    points: Counter[str] = field(default_factory=Counter)
    pairs: Counter[tuple[str, str]] = field(default_factory=Counter)

    def add(self, result: Result) -> None:
        """Count one seed's strikes."""
        last: dict[str, str] = {}
        for relay, _, point in result.points:
            self.points[point] += 1
            if relay in last:
                self.pairs[last[relay], point] += 1
            last[relay] = point

    @property
    def missed(self) -> list[str]:
        """Points that no seed reached."""
        return [point for point in POINTS if not self.points[point]]


@dataclass(slots=True)
class Sum:
    """What a sweep says as a whole."""

    seeds: int = 0
    failed: list[Result] = field(default_factory=list)
    coverage: Coverage = field(default_factory=Coverage)
    messages: int = 0
    length_s: float = 0.0

    def add(self, found: Iterable[Result], told: Callable[[Result], None]) -> None:
        """Take results in as they come."""
        for result in found:
            self.seeds += 1
            self.messages += result.messages
            self.length_s += result.length_s
            self.coverage.add(result)
            if not result.passed:
                self.failed.append(result)
                told(result)
