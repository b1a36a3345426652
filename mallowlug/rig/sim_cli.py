"""``mallowlug sim``: run scenarios in simulated time, sweep seeds, minimize failures."""

from __future__ import annotations

import os
import time
from pathlib import Path
from typing import Any

import click

from mallowlug.rig import cli as rig
from mallowlug.rig.sim import hours, shrink, sweep
from mallowlug.rig.sim.faults import swarm
from mallowlug.rig.sim.ground import simulate
from mallowlug.rig.world import scenario

SHOWN_BREACHES = 3  # breaches and complaints printed for each failed seed


class SeedRange(click.ParamType[range]):
    """A range of seeds, ``A-B``, or a single seed."""

    name = "A-B"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> range:
        """Return the range of seeds; a usage error if it is malformed or empty."""
        if isinstance(value, range):
            return value
        low, sign, high = value.partition("-")
        if not low.isdecimal() or (sign and not high.isdecimal()):
            self.fail(f"not A-B: {value!r}", param, ctx)
        result = range(int(low), int(high or low) + 1)
        if not result:
            self.fail(f"no seed in {value!r}", param, ctx)
        return result


def load_scenario(file: Path, seed: int | None, faults: bool) -> scenario.Scenario:
    """Load the scenario, with the faults of its seed if asked for."""
    selected = rig.with_overrides(scenario.load(file), seed, None)
    return swarm(selected, selected.seed) if faults else selected


scenario_argument = click.argument("file", metavar="SCENARIO", type=rig.FILE)
faults_option = click.option("--faults", is_flag=True, help="Add the faults that a sweep draws.")


@click.group("sim")
def group() -> None:
    """Relays and their environment in simulated time, with faults drawn from seeds.

    Exit codes: 0 all rules kept and every point reached; 1 a failure; 2 a file that cannot be read or used.
    """


@group.command("run")
@scenario_argument
@rig.out_option
@rig.seed_option
@rig.relays_option
@faults_option
@rig.reports_file_errors
def run(file: Path, out: Path | None, seed: int | None, relays: int | None, faults: bool) -> int:
    """Run a scenario, judge and report it, as ``rig run`` does."""
    selected = rig.with_overrides(load_scenario(file, seed, faults), None, relays)
    folder = rig.record_folder(out, selected.name)
    start_s = time.perf_counter()
    done = simulate(selected, folder)
    took_s = time.perf_counter() - start_s
    code = rig.judge_and_report(done.path, folder / "report.html")
    for name, lines in done.logs.items():
        (folder / f"{name}.log").write_text("\n".join(lines) + "\n", encoding="utf-8")
    print(f"{done.length_s:.1f} s simulated in {took_s:.1f} s\nrecord {done.path}")
    for complaint in done.complaints:
        print(complaint)
    return code or int(bool(done.complaints))


@group.command("sweep")
@scenario_argument
@click.option("--seeds", type=SeedRange(), required=True, help="A-B, or one.")
@click.option("--jobs", type=click.IntRange(1), default=os.cpu_count() or 1, help="Parallel processes.")
@click.option("--some-points", is_flag=True, help="Do not fail for points that none reached.")
@rig.reports_file_errors
def sweep_command(file: Path, seeds: range, jobs: int, some_points: bool) -> int:
    """Run every seed; print each failure with the command that replays it."""
    selected, total, start_s = scenario.load(file), sweep.SweepSummary(), time.perf_counter()

    def print_failure(result: sweep.Result) -> None:
        print(f"seed {result.seed}: {result.state}, {len(result.breaches)} breaches")
        for line in [*result.breaches[:SHOWN_BREACHES], *result.complaints[:SHOWN_BREACHES]]:
            print(f"    {line}")
        print(f"    mallowlug sim run {file} --seed {result.seed} --faults", flush=True)

    total.add(sweep.run_seeds(selected, seeds, jobs), print_failure)
    took_s, coverage = time.perf_counter() - start_s, total.coverage
    length = f"{total.messages} messages, {total.length_s:.0f} s simulated in {took_s:.0f} s"
    print(f"{total.seeds} seeds, {length}: {len(total.failed)} failed")
    injected = sum(coverage.points.values())
    print(
        f"{injected} faults at {len(coverage.points)} points, {len(coverage.pairs)} pairs of them in two runs"
    )
    print(", ".join(f"{point} {count}" for point, count in sorted(coverage.points.items())))
    if coverage.missed:
        print(f"not reached: {', '.join(coverage.missed)}")
    return int(bool(total.failed or (coverage.missed and not some_points)))


@group.command("hours")
@scenario_argument
@click.option("--hours", "count", type=click.IntRange(1), default=3, show_default=True)
@rig.out_option
@rig.seed_option
@faults_option
@rig.reports_file_errors
def hours_command(file: Path, count: int, out: Path | None, seed: int | None, faults: bool) -> int:
    """Repeat the scenario's hour and print what each relay holds at the end of each."""
    selected = load_scenario(file, seed, faults)
    try:
        result = hours.run_hours(selected, count, rig.record_folder(out, selected.name))
    except hours.QuietPeriodError as error:
        raise click.UsageError(str(error)) from None
    for held in result.samples:
        place = f"hour {held.hour} {held.relay} life {held.lifetime}"
        print(f"{place}: {held.descriptors} descriptors, {held.tasks} tasks, {held.size} bytes")
    problems = [*result.problems, *result.done.complaints]
    print("\n".join(problems) if problems else "no growth found")
    return int(bool(problems))


@group.command("shrink")
@scenario_argument
@click.option("--tries", type=click.IntRange(1), default=400, show_default=True, help="Max number of runs.")
@click.option("--out", type=rig.FILE, help="Folder for the small scenario, its record and story.")
@rig.seed_option
@faults_option
@rig.reports_file_errors
def shrink_command(file: Path, tries: int, out: Path | None, seed: int | None, faults: bool) -> int:
    """Minimize a failing scenario and write it with its story; exit code 1 if it fails."""
    selected = load_scenario(file, seed, faults)
    folder = rig.record_folder(out, f"{selected.name}-small")
    result = shrink.shrink(selected, tries, lambda line: print(line, flush=True))
    if result is None:
        print("the scenario does not fail")
        return 0
    path = shrink.write(result, folder)
    print(f"\n{path}\n")
    print("\n".join(result.story))
    return 1
