"""``mallowlug sim``: play a scenario in simulated time, sweep seeds, make a failure small.

Exit codes: 0 all rules kept and every point reached; 1 a failure; 2 a file that cannot be read or used.
"""

from __future__ import annotations

import argparse
import os
import sys
import time
from collections.abc import Sequence
from pathlib import Path

from mallowlug.rig import cli as rig
from mallowlug.rig.judge import record as rec
from mallowlug.rig.sim import hours, shrink, sweep
from mallowlug.rig.sim.faults import swarm
from mallowlug.rig.sim.ground import simulate
from mallowlug.rig.world import scenario
from mallowlug.toml_check import FileMistakesError

SHOWN = 3  # breaches of a seed that a sweep prints


def seeds_of(text: str) -> range:
    """``A-B`` or one number."""
    low, sign, high = text.partition("-")
    if not low.isdecimal() or (sign and not high.isdecimal()):
        raise argparse.ArgumentTypeError(f"not A-B: {text!r}")
    found = range(int(low), int(high or low) + 1)
    if not found:
        raise argparse.ArgumentTypeError(f"no seed in {text!r}")
    return found


def parser() -> argparse.ArgumentParser:
    """The simulation's commands."""
    top = argparse.ArgumentParser(prog="mallowlug sim", description="Whole relays in simulated time.")
    commands = top.add_subparsers(dest="command", required=True)
    run = commands.add_parser("run", help="play a scenario and judge it")
    run.add_argument("--out", type=Path, help="folder for record, report and logs; a new one if none")
    run.add_argument("--relays", type=int, help="in place of the scenario's")
    swept = commands.add_parser("sweep", help="play many seeds, each with faults of its own")
    swept.add_argument("--seeds", type=seeds_of, required=True, help="A-B")
    swept.add_argument("--jobs", type=int, default=os.cpu_count() or 1)
    swept.add_argument("--some-points", action="store_true", help="do not fail for points that none reached")
    hourly = commands.add_parser("hours", help="memory and descriptors after each of many hours")
    hourly.add_argument("--hours", type=int, default=3)
    hourly.add_argument("--out", type=Path, help="folder for record, report and logs; a new one if none")
    small = commands.add_parser("shrink", help="take away all that a failure does not need")
    small.add_argument("--out", type=Path, help="folder for the small scenario, its record and story")
    small.add_argument("--tries", type=int, default=400, help="runs at most")
    for command in (run, swept, hourly, small):
        command.add_argument("scenario", type=Path)
    for command in (run, hourly, small):
        command.add_argument("--seed", type=int, help="in place of the scenario's")
        command.add_argument("--faults", action="store_true", help="with those that a sweep draws")
    return top


def world_of(args: argparse.Namespace) -> scenario.Scenario:
    """The scenario that is asked for."""
    world = scenario.load(args.scenario)
    world = rig.varied(world, args.seed, None)
    return swarm(world, world.seed) if args.faults else world


def run(args: argparse.Namespace) -> int:
    """Play, judge and report, as ``rig run`` does."""
    world = rig.varied(world_of(args), None, args.relays)
    folder = rig.fresh(args.out, world.name)
    start_s = time.perf_counter()
    done = simulate(world, folder)
    took_s = time.perf_counter() - start_s
    code = rig.reported(done.path, folder / "report.html")
    for name, lines in done.logs.items():
        (folder / f"{name}.log").write_text("\n".join(lines) + "\n", encoding="utf-8")
    print(f"{done.length_s:.1f} s simulated in {took_s:.1f} s\nrecord {done.path}")
    for complaint in done.complaints:
        print(complaint)
    return code or int(bool(done.complaints))


def swept(args: argparse.Namespace) -> int:
    """Play every seed; each failure with the command that plays it again."""
    world, total, start_s = scenario.load(args.scenario), sweep.Sum(), time.perf_counter()

    def told(result: sweep.Result) -> None:
        print(f"seed {result.seed}: {result.state}, {len(result.breaches)} breaches")
        for line in [*result.breaches[:SHOWN], *result.complaints[:SHOWN]]:
            print(f"    {line}")
        print(f"    mallowlug sim run {args.scenario} --seed {result.seed} --faults", flush=True)

    total.add(sweep.results(world, args.seeds, args.jobs), told)
    took_s, cover = time.perf_counter() - start_s, total.coverage
    length = f"{total.messages} messages, {total.length_s:.0f} s simulated in {took_s:.0f} s"
    print(f"{total.seeds} seeds, {length}: {len(total.failed)} failed")
    strikes = sum(cover.points.values())
    print(f"{strikes} strikes at {len(cover.points)} points, {len(cover.pairs)} pairs of them in two lives")
    print(", ".join(f"{point} {count}" for point, count in sorted(cover.points.items())))
    if cover.missed:
        print(f"not reached: {', '.join(cover.missed)}")
    return int(bool(total.failed or (cover.missed and not args.some_points)))


def hourly(args: argparse.Namespace) -> int:
    """Play hour after hour and say what a relay holds at the end of each."""
    world = world_of(args)
    found = hours.played(world, args.hours, rig.fresh(args.out, world.name))
    for held in found.samples:
        place = f"hour {held.hour} {held.relay} life {held.life}"
        print(f"{place}: {held.descriptors} descriptors, {held.tasks} tasks, {held.size} bytes")
    problems = [*found.problems, *found.done.complaints]
    print("\n".join(problems) if problems else "all of it came back")
    return int(bool(problems))


def shrunk(args: argparse.Namespace) -> int:
    """Leave a small scenario and a story of what happened; 1 where there is a failure to tell of."""
    world = world_of(args)
    folder = rig.fresh(args.out, f"{world.name}-small")
    found = shrink.shrink(world, args.tries, lambda line: print(line, flush=True))
    if found is None:
        print("nothing is wrong with it")
        return 0
    path = shrink.write(found, folder)
    print(f"\n{path}\n")
    print("\n".join(found.story))
    return 1


def main(argv: Sequence[str] | None = None) -> int:
    """Run one command; its exit code."""
    args = parser().parse_args(argv)
    try:
        return {"run": run, "sweep": swept, "hours": hourly, "shrink": shrunk}[args.command](args)
    except (FileMistakesError, hours.LullError, rec.RecordError) as error:
        print(error, file=sys.stderr)
        return 2
