"""``mallowlug rig``: play a scenario, replay a record's traffic, check a record, report on it."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import tempfile
from collections import Counter
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, ParamSpec

import click

from mallowlug.rig.judge import record as rec
from mallowlug.rig.judge import tail as tails
from mallowlug.rig.judge.rules import Verdict, judge
from mallowlug.rig.judge.service import service_of
from mallowlug.rig.report.live import Live
from mallowlug.rig.run.play import RunOptions, RunResult, play
from mallowlug.rig.world import replay, scenario
from mallowlug.toml_check import FileMistakesError

P = ParamSpec("P")
CODES = {"kept": 0, "broken": 1, "unknown": 3}
SHOWN = 20  # breaches that are printed


def told(verdict: Verdict, record: rec.Record) -> int:
    """Print a verdict; the exit code."""
    service = service_of(record)
    print(
        f"service {service.total:.3f} (whole {service.whole:.3f}, worst 10 s {service.worst_window:.3f}, "
        f"worst class {service.worst_class:.3f}, worst member {service.worst_member:.3f}); "
        f"{service.asked} asked, {service.delivered} delivered, {service.attempts} attempts, "
        f"{service.refused} refused"
    )
    print("cases:", ", ".join(f"{rule} {count}" for rule, count in verdict.checked.items()))
    for breach in verdict.breaches[:SHOWN]:
        print(breach)
    if len(verdict.breaches) > SHOWN:
        print(f"and {len(verdict.breaches) - SHOWN} more")
    for reason in verdict.reasons[:SHOWN]:
        print(reason)
    print(f"rules: {verdict.state}, {len(verdict.breaches)} breaches")
    return CODES[verdict.state]


@contextlib.contextmanager
def shown(on: bool) -> Iterator[Callable[[rec.AnyEvent], None] | None]:
    """A live view in the terminal, where it is wanted."""
    if not on:
        yield None
        return
    from mallowlug.rig.report.view import view  # noqa: PLC0415

    live = Live()
    with view(live):
        yield live.see


def fresh(out: Path | None, name: str) -> Path:
    """A folder without a record in it: the one that is wanted, or a new one under ``rig-out``."""
    if out is None:
        base = Path("rig-out")
        base.mkdir(exist_ok=True)
        return Path(tempfile.mkdtemp(prefix=f"{name}-", dir=base))
    if (out / "record.jsonl").exists():
        raise rec.RecordError(f"{out}: holds a record already")
    return out


def varied(world: scenario.Scenario, seed: int | None, relays: int | None) -> scenario.Scenario:
    """The scenario with another seed and another number of relays, where they are named."""
    changed: dict[str, Any] = {} if seed is None else {"seed": seed}
    if relays is not None:
        changed["relays"] = world.relays.model_copy(update={"count": relays})
    return world.model_copy(update=changed)


def reported(path: Path, page: Path) -> int:
    """Judge a record, print what it says and write its page; the exit code."""
    from mallowlug.rig.report import page as report  # noqa: PLC0415

    record = rec.read(path)
    code = told(judge(record), record)
    report.write(record, page)
    return code


def usable(command: Callable[P, int]) -> Callable[P, int]:
    """A command whose files may be unusable: each mistake is told, and its exit code is 2."""

    @functools.wraps(command)
    def careful(*args: P.args, **kwargs: P.kwargs) -> int:
        try:
            return command(*args, **kwargs)
        except (FileMistakesError, rec.RecordError) as error:
            click.echo(str(error), err=True)
            return 2

    return careful


def played(
    world: scenario.Scenario,
    options: RunOptions,
    *,
    out: Path | None,
    live: bool,
    seed: int | None,
    relays: int | None,
) -> int:
    """Play, judge and report."""
    world = varied(world, seed, relays)
    folder = fresh(out, world.name)
    with shown(live) as watch:
        options.watch = watch
        done: RunResult = asyncio.run(play(world, folder, options))
    code = reported(done.path, folder / "report.html")
    print(f"record {done.path}\nreport {folder / 'report.html'}")
    for crash in done.crashed:
        print(f"crashed: {crash}")
    if done.bad_calls:
        print(f"calls that the protocol does not know: {done.bad_calls}")
    return code or int(bool(done.crashed or done.bad_calls))


FILE = click.Path(path_type=Path)
out_option = click.option("--out", type=FILE, help="Folder for record, report and logs; a new one if none.")
seed_option = click.option("--seed", type=click.IntRange(min=0), help="In place of the scenario's.")
relays_option = click.option("--relays", type=click.IntRange(1, 64), help="In place of the scenario's.")
live_option = click.option("--live", is_flag=True, help="Show the run while it goes on.")


@click.group("rig")
def group() -> None:
    """A world of stand-ins on loopback around real relays, and a judge of the six rules.

    Exit codes: 0 all rules kept, 1 a rule broken (or a relay crashed), 2 a file that cannot be read or used,
    3 unknown: the record is truncated or a message could not be judged.
    """


@group.command("run")
@click.argument("file", metavar="SCENARIO", type=FILE)
@out_option
@live_option
@seed_option
@relays_option
@usable
def run(file: Path, *, out: Path | None, live: bool, seed: int | None, relays: int | None) -> int:
    """Play a scenario and judge it."""
    return played(
        scenario.load_without_simulation(file), RunOptions(), out=out, live=live, seed=seed, relays=relays
    )


@group.command("replay")
@click.argument("record", type=FILE)
@click.option("--scenario", "file", type=FILE, help="The world, where it is not the record's own.")
@out_option
@live_option
@seed_option
@relays_option
@usable
def again(
    record: Path, file: Path | None, *, out: Path | None, live: bool, seed: int | None, relays: int | None
) -> int:
    """Play a record's traffic again, in its own world or another."""
    found = rec.read(record)
    world = scenario.load_without_simulation(file) if file else replay.scenario_from(found)
    options = RunOptions(traffic=replay.arrivals_from(found))
    return played(world, options, out=out, live=live, seed=seed, relays=relays)


@group.command("check")
@click.argument("file", type=FILE)
@usable
def check(file: Path) -> int:
    """Judge a record; of a scenario (.toml), name its mistakes."""
    if file.suffix == ".toml":
        found = scenario.load(file)
        print(f"{file}: in order; {found.length_s} s, {len(found.events)} events")
        return 0
    record = rec.read(file)
    return told(judge(record), record)


@group.command("report")
@click.argument("record", type=FILE)
@click.option("--out", type=FILE, help="The page; beside the record if none.")
@usable
def report(record: Path, out: Path | None) -> int:
    """Write a record's report as one HTML file."""
    from mallowlug.rig.report import page  # noqa: PLC0415

    path = out or record.with_suffix(".html")
    page.write(rec.read(record), path)
    print(path)
    return 0


@group.command("tail")
@click.argument("records", metavar="RECORD...", type=FILE, nargs=-1, required=True)
@usable
def tail(records: tuple[Path, ...]) -> int:
    """How long messages waited in each record: p50, p99 and p99.9 of accept and delivery, in ms."""
    for path in records:
        found = tails.tail_of(rec.read(path))
        shown = [" ".join(f"{value:.0f}" for value in row) for row in (found.accept_ms, found.deliver_ms)]
        sums = f"{found.delivered} of {found.messages} delivered, {found.carried} in {found.calls} calls"
        print(f"{path}: accept {shown[0]}; delivery {shown[1]}; {sums}, {found.connections} connections")
    return 0


@group.command("traffic")
@click.argument("record", type=FILE)
@click.option("--out", type=FILE, required=True)
@usable
def traffic(record: Path, out: Path) -> int:
    """Keep of a record what clients wanted, to replay it."""
    rec.save(replay.traffic_only(rec.read(record)), out)
    print(out)
    return 0


def seeds_of(text: str) -> range:
    """``7`` or ``1-50`` as seeds; ``click.BadParameter`` for anything else."""
    first, _, last = text.partition("-")
    if not first.isdigit() or not (last or first).isdigit() or int(last or first) < int(first):
        raise click.BadParameter(f"{text!r} is neither a seed nor a range such as 1-50")
    return range(int(first), int(last or first) + 1)


@group.command("soak")
@click.option("--seeds", "--seed", default="1-50", help="One seed, or first and last with a hyphen.")
@click.option("--relays", type=click.IntRange(1, 200), default=40)
@click.option("--length", type=click.FloatRange(24, 600), default=34.0, help="Seconds of traffic a seed.")
@click.option("--out", type=FILE, default=Path("rig-out/soak"), help="Where records of failed seeds go.")
@usable
def soak_command(seeds: str, relays: int, length: float, out: Path) -> int:
    """Play seeded worlds with faults around real relays, and judge each by all rules."""
    from mallowlug.rig.soak import run as soaks  # noqa: PLC0415

    failed, rules = 0, Counter[str]()
    try:
        for result in soaks.soak(seeds_of(seeds), relays, length, out):
            print(result, flush=True)
            for breach in result.breaches[:SHOWN]:
                print(f"  {breach}", flush=True)
            for reason in (*result.crashes, *result.reasons[:SHOWN]):
                print(f"  {reason}", flush=True)
            failed += result.failed
            rules.update({breach.rule for breach in result.breaches})
    except soaks.SoakError as error:
        raise click.BadParameter(str(error)) from error
    told = soaks.format_counts(rules) or "none"
    print(f"{failed} of {len(seeds_of(seeds))} seeds failed; seeds by broken rule: {told}")
    return int(failed > 0)
