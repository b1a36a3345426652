"""``mallowlug rig``: run a scenario, replay a record's traffic, check a record, report on it."""

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
from mallowlug.rig.report.live import LiveState
from mallowlug.rig.run.play import RunOptions, RunResult, play
from mallowlug.rig.world import replay, scenario
from mallowlug.toml_check import FileMistakesError

P = ParamSpec("P")
EXIT_CODES = {"kept": 0, "broken": 1, "unknown": 3}
MAX_SHOWN = 20  # breaches and reasons that are printed


def print_verdict(verdict: Verdict, record: rec.Record) -> int:
    """Print a verdict and return its exit code."""
    service = service_of(record)
    print(
        f"service {service.total:.3f} (whole {service.whole:.3f}, worst 10 s {service.worst_window:.3f}, "
        f"worst class {service.worst_class:.3f}, worst member {service.worst_member:.3f}); "
        f"{service.asked} asked, {service.delivered} delivered, {service.attempts} attempts, "
        f"{service.refused} refused"
    )
    print("cases:", ", ".join(f"{rule} {count}" for rule, count in verdict.checked.items()))
    for breach in verdict.breaches[:MAX_SHOWN]:
        print(breach)
    if len(verdict.breaches) > MAX_SHOWN:
        print(f"and {len(verdict.breaches) - MAX_SHOWN} more")
    for reason in verdict.reasons[:MAX_SHOWN]:
        print(reason)
    print(f"rules: {verdict.state}, {len(verdict.breaches)} breaches")
    return EXIT_CODES[verdict.state]


@contextlib.contextmanager
def live_view(on: bool) -> Iterator[Callable[[rec.AnyEvent], None] | None]:
    """Show a live view in the terminal if ``on``; yields its event listener, or None."""
    if not on:
        yield None
        return
    from mallowlug.rig.report.view import view  # noqa: PLC0415

    live_state = LiveState()
    with view(live_state):
        yield live_state.apply


def record_folder(out: Path | None, name: str) -> Path:
    """Return a folder for a new record: ``out``, or a new one under ``rig-out``.

    Raises ``RecordError`` if ``out`` has a record already.
    """
    if out is None:
        base = Path("rig-out")
        base.mkdir(exist_ok=True)
        return Path(tempfile.mkdtemp(prefix=f"{name}-", dir=base))
    if (out / "record.jsonl").exists():
        raise rec.RecordError(f"{out}: contains a record already")
    return out


def with_overrides(world: scenario.Scenario, seed: int | None, relays: int | None) -> scenario.Scenario:
    """Return the scenario with the given seed and number of relays in place of its own."""
    changed: dict[str, Any] = {} if seed is None else {"seed": seed}
    if relays is not None:
        changed["relays"] = world.relays.model_copy(update={"count": relays})
    return world.model_copy(update=changed)


def judge_and_report(path: Path, page: Path) -> int:
    """Judge a record, print the verdict and write the report; return the exit code."""
    from mallowlug.rig.report import page as report  # noqa: PLC0415

    record = rec.read(path)
    code = print_verdict(judge(record), record)
    report.write(record, page)
    return code


def reports_file_errors(command: Callable[P, int]) -> Callable[P, int]:
    """Make a command report invalid files on stderr and return the exit code 2 for them."""

    @functools.wraps(command)
    def wrapper(*args: P.args, **kwargs: P.kwargs) -> int:
        try:
            return command(*args, **kwargs)
        except (FileMistakesError, rec.RecordError) as error:
            click.echo(str(error), err=True)
            return 2

    return wrapper


def run_and_judge(
    world: scenario.Scenario,
    options: RunOptions,
    *,
    out: Path | None,
    live: bool,
    seed: int | None,
    relays: int | None,
) -> int:
    """Run a scenario, judge it and write the report; return the exit code."""
    world = with_overrides(world, seed, relays)
    folder = record_folder(out, world.name)
    with live_view(live) as watch:
        options.watch = watch
        done: RunResult = asyncio.run(play(world, folder, options))
    code = judge_and_report(done.path, folder / "report.html")
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
    """Real relays in a simulated environment on loopback, and a judge of the six rules.

    Exit codes: 0 all rules kept, 1 a rule broken (or a relay crashed), 2 a file that cannot be read or used,
    3 unknown: the record is truncated or a message could not be judged.
    """


@group.command("run")
@click.argument("file", metavar="SCENARIO", type=FILE)
@out_option
@live_option
@seed_option
@relays_option
@reports_file_errors
def run(file: Path, *, out: Path | None, live: bool, seed: int | None, relays: int | None) -> int:
    """Run a scenario and judge it."""
    return run_and_judge(
        scenario.load_without_simulation(file), RunOptions(), out=out, live=live, seed=seed, relays=relays
    )


@group.command("replay")
@click.argument("record", type=FILE)
@click.option("--scenario", "file", type=FILE, help="The scenario, if it is not the record's own.")
@out_option
@live_option
@seed_option
@relays_option
@reports_file_errors
def replay_command(
    record: Path, file: Path | None, *, out: Path | None, live: bool, seed: int | None, relays: int | None
) -> int:
    """Replay a record's traffic in its own scenario or another."""
    found = rec.read(record)
    world = scenario.load_without_simulation(file) if file else replay.scenario_from(found)
    options = RunOptions(traffic=replay.arrivals_from(found))
    return run_and_judge(world, options, out=out, live=live, seed=seed, relays=relays)


@group.command("check")
@click.argument("file", type=FILE)
@reports_file_errors
def check(file: Path) -> int:
    """Judge a record, or report the mistakes of a scenario (.toml)."""
    if file.suffix == ".toml":
        found = scenario.load(file)
        print(f"{file}: valid; {found.length_s} s, {len(found.events)} events")
        return 0
    record = rec.read(file)
    return print_verdict(judge(record), record)


@group.command("report")
@click.argument("record", type=FILE)
@click.option("--out", type=FILE, help="The HTML file; beside the record if none.")
@reports_file_errors
def report(record: Path, out: Path | None) -> int:
    """Write a record's report as one HTML file."""
    from mallowlug.rig.report import page  # noqa: PLC0415

    path = out or record.with_suffix(".html")
    page.write(rec.read(record), path)
    print(path)
    return 0


@group.command("tail")
@click.argument("records", metavar="RECORD...", type=FILE, nargs=-1, required=True)
@reports_file_errors
def tail(records: tuple[Path, ...]) -> int:
    """Print the latency of each record: p50, p99 and p99.9 of accept and delivery, in ms."""
    for path in records:
        found = tails.latency_of(rec.read(path))
        shown = [" ".join(f"{value:.0f}" for value in row) for row in (found.accept_ms, found.deliver_ms)]
        sums = f"{found.delivered} of {found.messages} delivered, {found.carried} in {found.calls} calls"
        print(f"{path}: accept {shown[0]}; delivery {shown[1]}; {sums}, {found.connections} connections")
    return 0


@group.command("traffic")
@click.argument("record", type=FILE)
@click.option("--out", type=FILE, required=True)
@reports_file_errors
def traffic(record: Path, out: Path) -> int:
    """Extract the client traffic of a record, for replay."""
    rec.save(replay.traffic_only(rec.read(record)), out)
    print(out)
    return 0


def seeds_of(text: str) -> range:
    """Parse ``7`` or ``1-50`` as seeds; raises ``click.BadParameter`` for anything else."""
    first, _, last = text.partition("-")
    if not first.isdigit() or not (last or first).isdigit() or int(last or first) < int(first):
        raise click.BadParameter(f"{text!r} is neither a seed nor a range such as 1-50")
    return range(int(first), int(last or first) + 1)


@group.command("soak")
@click.option("--seeds", "--seed", default="1-50", help="One seed, or first and last with a hyphen.")
@click.option("--relays", type=click.IntRange(1, 200), default=40)
@click.option("--length", type=click.FloatRange(24, 600), default=34.0, help="Seconds of traffic a seed.")
@click.option("--out", type=FILE, default=Path("rig-out/soak"), help="Where records of failed seeds go.")
@click.option("--repeats", is_flag=True, help="Hosts and platform write answers twice, as the seed draws it.")
@reports_file_errors
def soak_command(seeds: str, *, relays: int, length: float, out: Path, repeats: bool) -> int:
    """Run real relays in seeded environments with faults, and judge each run by all rules."""
    from mallowlug.rig.soak import run as soaks  # noqa: PLC0415

    failed, rules = 0, Counter[str]()
    try:
        for result in soaks.soak(seeds_of(seeds), relays, length, out, repeats):
            print(result, flush=True)
            for breach in result.breaches[:MAX_SHOWN]:
                print(f"  {breach}", flush=True)
            for reason in (*result.crashes, *result.reasons[:MAX_SHOWN]):
                print(f"  {reason}", flush=True)
            failed += result.failed
            rules.update({breach.rule for breach in result.breaches})
    except soaks.SoakError as error:
        raise click.BadParameter(str(error)) from error
    counts = soaks.format_counts(rules) or "none"
    print(f"{failed} of {len(seeds_of(seeds))} seeds failed; seeds by broken rule: {counts}")
    return int(failed > 0)
