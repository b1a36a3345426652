"""Runs many seeds, each with its own faults, and counts the results; a broken rule does not stop it."""

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
from mallowlug.rig.judge.life import find_violations
from mallowlug.rig.judge.rules import judge
from mallowlug.rig.sim.faults import swarm
from mallowlug.rig.sim.ground import SimulatedRun, simulate
from mallowlug.rig.world.scenario import SYNC_CALLS, SYSTEM_CALLS, Scenario

WHEN = ("before", "within", "after")
# Points at which a process can be killed.
POINTS = (*(f"{name}.{when}" for name in (*SYSTEM_CALLS, *SYNC_CALLS) for when in WHEN), "step")


@dataclass(frozen=True, slots=True)
class Result:
    """The result of one seed."""

    seed: int
    state: str  # kept, broken, unknown, or error where the simulation itself failed
    breaches: tuple[str, ...] = ()
    rules: tuple[str, ...] = ()
    complaints: tuple[str, ...] = ()
    points: tuple[tuple[str, int, str], ...] = ()  # injected faults: relay, process, point
    messages: int = 0
    length_s: float = 0.0  # simulated time
    calls: tuple[tuple[int, int], ...] = ()  # of relay 0, by process: before it listened, and in all

    @property
    def passed(self) -> bool:
        """Whether all rules were kept and there are no complaints."""
        return self.state == "kept" and not self.complaints

    @property
    def failure_signature(self) -> frozenset[str]:
        """Identifies the failure when searching for the same one: broken rules, else kinds of complaints."""
        kinds = {complaint.partition(":")[0] for complaint in self.complaints}
        return frozenset(self.rules) or frozenset(kinds) or frozenset({self.state} - {"kept"})


def judge_run(seed: int, done: SimulatedRun) -> Result:
    """Judge a simulated run."""
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
            *(f"model: {line}" for line in find_violations(record)),
        ),
        points=tuple((fault.relay, fault.lifetime, fault.point) for fault in done.injected),
        messages=sum(isinstance(event, rec.MessageSubmitted) for event in record.events),
        length_s=done.length_s,
        calls=done.calls,
    )


def run_scenario(scenario: Scenario, folder: Path | None = None) -> Result:
    """Run a scenario unchanged and judge it; its record is kept only if a folder is given."""
    where = folder or Path(tempfile.mkdtemp(prefix="sim-"))
    try:
        return judge_run(scenario.seed, simulate(scenario, where))
    except Exception:
        return Result(scenario.seed, "error", complaints=(f"simulation: {traceback.format_exc()}",))
    finally:
        if folder is None:
            shutil.rmtree(where, ignore_errors=True)


def run_seed(scenario: Scenario, seed: int) -> Result:
    """Run one seed of a sweep."""
    return run_scenario(swarm(scenario, seed))


def run_seeds(scenario: Scenario, seeds: Sequence[int], jobs: int) -> Iterator[Result]:
    """Yield the result of every seed in order; ``jobs`` processes work in parallel."""
    if jobs == 1:
        yield from (run_seed(scenario, seed) for seed in seeds)
        return
    with ProcessPoolExecutor(jobs) as pool:
        yield from pool.map(run_seed, [scenario] * len(seeds), seeds, chunksize=4)


@dataclass(slots=True)
class Coverage:
    """How often each fault point was hit, and which pairs were hit one after the other in one relay."""

    points: Counter[str] = field(default_factory=Counter)
    pairs: Counter[tuple[str, str]] = field(default_factory=Counter)

    def add(self, result: Result) -> None:
        """Count the injected faults of one seed."""
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
class SweepSummary:
    """The totals of a sweep."""

    seeds: int = 0
    failed: list[Result] = field(default_factory=list)
    coverage: Coverage = field(default_factory=Coverage)
    messages: int = 0
    length_s: float = 0.0

    def add(self, results: Iterable[Result], on_failure: Callable[[Result], None]) -> None:
        """Add results as they arrive; ``on_failure`` gets each failed one."""
        for result in results:
            self.seeds += 1
            self.messages += result.messages
            self.length_s += result.length_s
            self.coverage.add(result)
            if not result.passed:
                self.failed.append(result)
                on_failure(result)
