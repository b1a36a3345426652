"""Exhaustive kills in a small scenario: every kill point, every pair, and every third kill during a replay.

The scenario has a few messages of every effect class, with retries, a notice and a compaction. A first run
without faults counts the system calls of each process; each call is then killed before, within and after, so
nothing is left to chance: there is no other point at which the process can stop on its way to disk or
network.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from typing import Any

from mallowlug.rig.sim.sweep import WHEN, Result, run_scenario
from mallowlug.rig.world.scenario import Scenario, StrikeTable

FAST_CLASS: dict[str, Any] = {"work_ms": 15.0, "aim_s": 0.5, "deadline_s": 1.0, "share": 1.0}
MESSAGES = (  # an endpoint of destination 1 is silent: messages to it end by notices
    ("unsafe", 1, ""), ("safe", 0, ""), ("keyed", 0, ""), ("line", 0, "a"), ("unsafe", 0, ""),
    ("line", 0, "a"), ("keyed", 1, ""), ("safe", 0, ""),
)  # fmt: skip
BASE_SCENARIO: dict[str, Any] = {
    "name": "small",
    "seed": 1,
    "length_s": 0.4,
    "load": {"rate_per_s": 20.0, "clumps": 0.0},
    # Bodies of 14 kB in a budget of 0.1 MB make the journal compact.
    "relays": {"count": 1, "back_s": 0.05, "slots_room": 20.0, "disk_mb": 0.1},
    "partners": {"destinations": 2, "endpoints": (1, 1), "warm_s": (0.3, 0.3), "zones": ("a",)},
    "clients": {"retries": 1, "backoff_s": (0.1, 0.2)},
    "directory": {"late_s": (0.0, 0.0)},
    "class": [
        {"name": "safe", "effect": "safe", **FAST_CLASS},
        {"name": "keyed", "effect": "keyed", "window_s": 25.0, "by_zone": True, **FAST_CLASS},
        {"name": "unsafe", "effect": "unsafe", **FAST_CLASS},
        {"name": "line", "effect": "safe", "in_order": True, **FAST_CLASS},
    ],
    "kind": [{"name": "banks", "share": 1.0, "batch": 3, "limited": True, "least_per_s": (3, 3),
              "headroom": (0.1, 0.1), "error_rate": 0.2, "wait_ms": (300, 400), "tells_wait": 1.0}],
    "message": [
        {"at_s": 0.02 + 0.04 * number, "cls": cls, "dest": dest, "member": "parqueos-centro", "order": order,
         "size": 14_000}
        for number, (cls, dest, order) in enumerate(MESSAGES)
    ],
    "event": [{"at_s": 0.01, "what": "silent", "len_s": 0.39, "dest": 1}],
}  # fmt: skip

Strikes = tuple[StrikeTable, ...]


def strike(lifetime: int, at: int, when: str) -> StrikeTable:
    """A kill at a system call of a process."""
    return StrikeTable.model_validate({"life": lifetime, "at": at, "when": when})


def small_scenario(strikes: Sequence[StrikeTable] = ()) -> Scenario:
    """The small scenario with these kills."""
    return Scenario.model_validate(BASE_SCENARIO).model_copy(update={"strikes": tuple(strikes)})


@dataclass(slots=True)
class Exploration:
    """The number of cases by number of kills, and the failed cases."""

    cases: Counter[int] = field(default_factory=Counter)
    failed: list[tuple[Strikes, Result]] = field(default_factory=list)

    def add(self, strikes: Strikes, result: Result) -> None:
        """Count a case."""
        self.cases[len(strikes)] += 1
        if not result.passed:
            self.failed.append((strikes, result))


def kills_at_calls(strikes: Strikes, calls: int) -> Iterator[Strikes]:
    """Every kill at the first ``calls`` system calls of the process that follows these kills."""
    for at in range(1, calls + 1):
        for when in WHEN:
            yield (*strikes, strike(len(strikes), at, when))


def calls_of(result: Result, lifetime: int) -> tuple[int, int]:
    """System calls of a process: before it listened, and in all; (0, 0) if there was no such process."""
    return result.calls[lifetime] if lifetime < len(result.calls) else (0, 0)


def run_case(strikes: Strikes) -> Result:
    """Run a case."""
    return run_scenario(small_scenario(strikes))


def kills_after(strikes: Strikes) -> Iterator[Strikes]:
    """Every kill of the process that follows these kills."""
    return kills_at_calls(strikes, calls_of(run_case(strikes), len(strikes))[1])


def second_kills(first: Strikes) -> list[tuple[Strikes, Result]]:
    """Run every second kill after a first one, and every third kill within the replay that follows."""
    found = [(pair, run_case(pair)) for pair in kills_after(first)]
    thirds = [
        third for pair, result in found for third in kills_at_calls(pair, calls_of(result, len(pair))[0])
    ]
    return found + [(third, run_case(third)) for third in thirds]


def explore(jobs: int, depth: int, max_firsts: int = 0) -> Exploration:
    """Run every single kill; with ``depth`` 2 also every pair and third kill.

    ``max_firsts``: for how many of the first kills, spread evenly, pairs and thirds are run; 0: for all.
    """
    found, firsts = Exploration(), list(kills_after(()))
    with ProcessPoolExecutor(jobs) as pool:
        for strikes, result in zip(firsts, pool.map(run_case, firsts, chunksize=4), strict=True):
            found.add(strikes, result)
        if depth > 1:
            step = max(1, len(firsts) // max_firsts) if max_firsts else 1
            for results in pool.map(second_kills, firsts[::step]):
                for strikes, result in results:
                    found.add(strikes, result)
    return found
