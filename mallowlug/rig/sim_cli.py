"""``mallowlug sim``: play a scenario in simulated time, sweep seeds, make a failure small."""

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

SHOWN = 3  # breaches of a seed that a sweep prints


class Seeds(click.ParamType[range]):
    """``A-B`` or one number."""

    name = "A-B"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> range:
        """The seeds; a usage error where there is none."""
        if isinstance(value, range):
            return value
        low, sign, high = value.partition("-")
        if not low.isdecimal() or (sign and not high.isdecimal()):
            self.fail(f"not A-B: {value!r}", param, ctx)
        found = range(int(low), int(high or low) + 1)
        if not found:
            self.fail(f"no seed in {value!r}", param, ctx)
        return found


def world_of(file: Path, seed: int | None, faults: bool) -> scenario.Scenario:
    """The scenario that is asked for."""
    world = rig.with_overrides(scenario.load(file), seed, None)
    return swarm(world, world.seed) if faults else world


scenario_argument = click.argument("file", metavar="SCENARIO", type=rig.FILE)
faults_option = click.option("--faults", is_flag=True, help="With those that a sweep draws.")


@click.group("sim")
def group() -> None:
    """The same world and the same relays in simulated time, with faults drawn from seeds.

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
    """Play, judge and report, as ``rig run`` does."""
    world = rig.with_overrides(world_of(file, seed, faults), None, relays)
    folder = rig.record_folder(out, world.name)
    start_s = time.perf_counter()
    done = simulate(world, folder)
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
@click.option("--seeds", type=Seeds(), required=True, help="A-B, or one.")
@click.option("--jobs", type=click.IntRange(1), default=os.cpu_count() or 1, help="Processes side by side.")
@click.option("--some-points", is_flag=True, help="Do not fail for points that none reached.")
@rig.reports_file_errors
def swept(file: Path, seeds: range, jobs: int, some_points: bool) -> int:
    """Play every seed; each failure with the command that plays it again."""
    world, total, start_s = scenario.load(file), sweep.Sum(), time.perf_counter()

    def told(result: sweep.Result) -> None:
        print(f"seed {result.seed}: {result.state}, {len(result.breaches)} breaches")
        for line in [*result.breaches[:SHOWN], *result.complaints[:SHOWN]]:
            print(f"    {line}")
        print(f"    mallowlug sim run {file} --seed {result.seed} --faults", flush=True)

    total.add(sweep.results(world, seeds, jobs), told)
    took_s, cover = time.perf_counter() - start_s, total.coverage
    length = f"{total.messages} messages, {total.length_s:.0f} s simulated in {took_s:.0f} s"
    print(f"{total.seeds} seeds, {length}: {len(total.failed)} failed")
    strikes = sum(cover.points.values())
    print(f"{strikes} strikes at {len(cover.points)} points, {len(cover.pairs)} pairs of them in two lives")
    print(", ".join(f"{point} {count}" for point, count in sorted(cover.points.items())))
    if cover.missed:
        print(f"not reached: {', '.join(cover.missed)}")
    return int(bool(total.failed or (cover.missed and not some_points)))


@group.command("hours")
@scenario_argument
@click.option("--hours", "count", type=click.IntRange(1), default=3, show_default=True)
@rig.out_option
@rig.seed_option
@faults_option
@rig.reports_file_errors
def hourly(file: Path, count: int, out: Path | None, seed: int | None, faults: bool) -> int:
    """Play hour after hour and say what a relay holds at the end of each."""
    world = world_of(file, seed, faults)
    try:
        found = hours.played(world, count, rig.record_folder(out, world.name))
    except hours.LullError as error:
        raise click.UsageError(str(error)) from None
    for held in found.samples:
        place = f"hour {held.hour} {held.relay} life {held.life}"
        print(f"{place}: {held.descriptors} descriptors, {held.tasks} tasks, {held.size} bytes")
    problems = [*found.problems, *found.done.complaints]
    print("\n".join(problems) if problems else "all of it came back")
    return int(bool(problems))


@group.command("shrink")
@scenario_argument
@click.option("--tries", type=click.IntRange(1), default=400, show_default=True, help="Runs at most.")
@click.option("--out", type=rig.FILE, help="Folder for the small scenario, its record and story.")
@rig.seed_option
@faults_option
@rig.reports_file_errors
def shrunk(file: Path, tries: int, out: Path | None, seed: int | None, faults: bool) -> int:
    """Leave a small scenario and a story of what happened; 1 where there is a failure to tell of."""
    world = world_of(file, seed, faults)
    folder = rig.record_folder(out, f"{world.name}-small")
    found = shrink.shrink(world, tries, lambda line: print(line, flush=True))
    if found is None:
        print("nothing is wrong with it")
        return 0
    path = shrink.write(found, folder)
    print(f"\n{path}\n")
    print("\n".join(found.story))
    return 1
