"""Runs soak seeds in sequence, within limits on processes and memory, and summarizes the verdicts."""

from __future__ import annotations

import asyncio
import os
import shutil
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path

from mallowlug.rig.judge import record as rec
from mallowlug.rig.judge.rule import Breach
from mallowlug.rig.judge.rules import judge
from mallowlug.rig.judge.service import service_of
from mallowlug.rig.run.play import RunOptions, play
from mallowlug.rig.soak.plan import soak_scenario

MAX_RELAYS = 200
RELAY_BYTES = 40 * 2**20  # memory estimate of a relay
MEMORY_SHARE = 0.5  # share of the machine's memory for all relays


class SoakError(ValueError):
    """The run would need more relays than this machine supports."""


@dataclass(frozen=True, slots=True)
class SeedResult:
    """The result of a seed."""

    seed: int
    state: str
    served: float
    breaches: tuple[Breach, ...]
    crashes: tuple[str, ...]
    returns: int
    reasons: tuple[str, ...]

    @property
    def failed(self) -> bool:
        """Whether a rule was broken or a process crashed."""
        return self.state == "broken" or bool(self.crashes)

    def __str__(self) -> str:
        broken = format_counts(Counter(breach.rule for breach in self.breaches)) or "no breach"
        crashes = f", {len(self.crashes)} crashes" if self.crashes else ""
        figures = f"served {self.served:.3f}, {self.returns} returns"
        return f"seed {self.seed}: {self.state}, {broken}{crashes}; {figures}"


def format_counts(rules: Counter[str]) -> str:
    """Format broken rules with their counts; empty for none."""
    return ", ".join(f"{rule} {count}" for rule, count in sorted(rules.items()))


def check_size(relays: int) -> None:
    """Raise ``SoakError`` if this machine cannot run that many relays."""
    memory = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
    maximum = min(MAX_RELAYS, int(memory * MEMORY_SHARE / RELAY_BYTES))
    if not 1 <= relays <= maximum:
        raise SoakError(f"{relays} relays, where 1 to {maximum} fit this machine")


def soak_seed(seed: int, relays: int, length_s: float, folder: Path, repeats: bool = False) -> SeedResult:
    """Run and judge one seed; delete its folder unless it failed."""
    check_size(relays)
    done = asyncio.run(play(soak_scenario(seed, relays, length_s, repeats), folder, RunOptions()))
    record = rec.read(done.path)
    verdict = judge(record)
    result = SeedResult(
        seed, verdict.state, service_of(record).whole, verdict.breaches, done.crashed,
        verdict.checked["returns"], verdict.reasons,
    )  # fmt: skip
    if not result.failed:
        shutil.rmtree(folder)
    return result


def soak(
    seeds: Iterable[int], relays: int, length_s: float, out: Path, repeats: bool = False
) -> Iterator[SeedResult]:
    """Run seeds in sequence; failed ones keep their records under ``out``."""
    check_size(relays)
    for seed in seeds:
        yield soak_seed(seed, relays, length_s, out / f"seed-{seed}", repeats)
