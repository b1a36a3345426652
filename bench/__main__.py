"""``python -m bench``: what a message, a destination and a start cost, as tables, with the machine's noise.

Every figure is a ratio within one run or stands beside its spread; nothing here is a test.
"""

from __future__ import annotations

import asyncio
import json
import pstats
import statistics
from collections import Counter
from collections.abc import Coroutine, Iterable, Sequence
from dataclasses import asdict
from pathlib import Path
from typing import Any

import click
from rich.console import Console
from rich.table import Table

from bench import members, runs, tails
from mallowlug.rig.world import scenario

PLACES = (  # by part of a file's path: the stage that its time counts for
    ("mallowlug/fronts", "front"), ("mallowlug/core/journal", "journal"), ("mallowlug/core", "core"),
    ("mallowlug/partners", "calls"), ("mallowlug/net", "http"), ("httptools", "http"), ("h11", "http"),
    ("mossfront", "decisions"), ("json", "journal"), ("asyncio", "event loop"), ("selectors", "event loop"),
    ("mallowlug", "other parts"),
)  # fmt: skip
BUILT_IN = {"send": "kernel", "recv": "kernel", "recv_into": "kernel", "write": "kernel", "poll": "waiting",
            "control": "kernel", "register": "kernel", "unregister": "kernel",
            "modify": "kernel"}  # fmt: skip
rounds_option = click.option("--rounds", default=5, show_default=True, help="Runs of each, in turn.")
count_option = click.option("--messages", default=4000, show_default=True, help="Messages in each run.")
out_option = click.option("--out", type=click.Path(path_type=Path), help="Keep the figures as JSON.")


def spread(values: Sequence[float]) -> str:
    """Median, least and most."""
    return f"{statistics.median(values):.3g} ({min(values):.3g} to {max(values):.3g})"


def shown(title: str, heads: Sequence[str], rows: Iterable[Sequence[object]]) -> None:
    """A table on the terminal."""
    table = Table(*heads, title=title)
    for row in rows:
        table.add_row(*map(str, row))
    Console().print(table)


def kept(out: Path | None, figures: Any) -> None:
    """The raw figures, where asked for."""
    if out is not None:
        out.write_text(json.dumps(figures, indent=1), encoding="utf-8")


def run(main: Coroutine[Any, Any, Any]) -> Any:
    """Run it to its end."""
    return asyncio.run(main)


@click.group()
def group() -> None:
    """Benchmarks of the real relay on loopback, each bounded in count and time."""


@group.command("cost")
@rounds_option
@count_option
@out_option
def cost(rounds: int, messages: int, out: Path | None) -> None:
    """CPU of a message at 24 destinations, beside a bare hop in the same run."""

    async def main() -> dict[str, list[runs.Cost]]:
        found: dict[str, list[runs.Cost]] = {"bare hop": [], "relay": []}
        for _ in range(rounds):
            async with runs.hop() as world:
                found["bare hop"].append(await runs.cost(world, messages, 200))
            async with runs.relay(24) as world:
                found["relay"].append(await runs.cost(world, messages, 200))
        return found

    found: dict[str, list[runs.Cost]] = run(main())
    shown(
        f"{messages} messages, {rounds} rounds: median (least to most)",
        ("", "CPU ms a message", "messages/s", "delivered", "accept p99 ms"),
        [
            (name, *(spread([getattr(cost, field) for cost in costs]) for field in
                     ("cpu_ms", "per_s", "delivered", "accept_p99_ms")))
            for name, costs in found.items()
        ],
    )  # fmt: skip
    ratios = [one.cpu_ms / bare.cpu_ms for bare, one in zip(found["bare hop"], found["relay"], strict=True)]
    print(f"times the bare hop: {spread(ratios)}")
    kept(out, {name: [asdict(cost) for cost in costs] for name, costs in found.items()})


@group.command("backlog")
@click.option("--held", default="200,2000,20000", show_default=True, help="How many are held.")
@rounds_option
@count_option
@out_option
def backlog(held: str, rounds: int, messages: int, out: Path | None) -> None:
    """CPU of a message by how many are held; the relay is kept that full."""
    levels = [int(level) for level in held.split(",")]

    async def main() -> dict[int, list[runs.Cost]]:
        found: dict[int, list[runs.Cost]] = {level: [] for level in levels}
        for _ in range(rounds):
            for level in levels:
                async with runs.relay(24) as world:
                    found[level].append(await runs.cost(world, messages + level, level))
        return found

    found: dict[int, list[runs.Cost]] = run(main())
    first = [cost.cpu_ms for cost in found[levels[0]]]
    rows = []
    for level, costs in found.items():
        ratios = [cost.cpu_ms / least for cost, least in zip(costs, first, strict=True)]
        rows.append((level, spread([c.cpu_ms for c in costs]), spread(ratios),
                     spread([c.delivered for c in costs])))  # fmt: skip
    shown("by what is held", ("held", "CPU ms a message", f"times {levels[0]} held", "delivered"), rows)
    kept(out, {level: [asdict(cost) for cost in costs] for level, costs in found.items()})


@group.command("upgrades")
@click.option("--count", default=20, show_default=True, help="Upgrades, one after the other.")
@click.option("--per-s", default=150.0, show_default=True, help="Messages a second meanwhile.")
@out_option
def upgrades(count: int, per_s: float, out: Path | None) -> None:
    """Upgrades under load: how long until the yes, the longest gap, connections that were met closed."""
    found, taken, delivered = run(runs.upgrades(count, per_s))
    shown(
        f"{count} upgrades, {taken} messages taken on, {delivered} delivered",
        ("s to the yes", "longest s without a delivery", "messages that met a closed connection"),
        [(spread([one.yes_s for one in found]), spread([one.gap_s for one in found]),
          spread([one.met for one in found]))],
    )  # fmt: skip
    kept(out, [asdict(one) for one in found])


@group.command("console")
@rounds_option
@count_option
@out_option
def console(rounds: int, messages: int, out: Path | None) -> None:
    """Start, memory and CPU of a message without and with a console, in turn."""

    async def main() -> dict[str, list[tuple[float, int, float]]]:
        found: dict[str, list[tuple[float, int, float]]] = {"without": [], "with": []}
        for _ in range(rounds):
            for name, told in found.items():
                async with runs.relay(24, console=name == "with") as world:
                    memory_kb, start_s = world.process.memory_kb, world.process.start_cpu_s
                    cost = await runs.cost(world, messages, 200)
                    told.append((start_s, memory_kb, cost.cpu_ms))
        return found

    found: dict[str, list[tuple[float, int, float]]] = run(main())
    pairs = list(zip(found["with"], found["without"], strict=True))
    ratios = [spread([a[at] / b[at] for a, b in pairs]) for at in range(3)]
    shown("with a console, times without one", ("CPU to start", "memory at start", "CPU a message"), [ratios])
    kept(out, found)


@group.command("destinations")
@click.option("--counts", default="24,1000,10000,50000", show_default=True)
@click.option("--churn", default=50.0, show_default=True, help="Changes a second in the second half.")
@rounds_option
@out_option
def destinations(counts: str, churn: float, rounds: int, out: Path | None) -> None:
    """Start, memory and accept times by how many destinations of two endpoints are listed."""
    levels = [int(level) for level in counts.split(",")]

    async def one(level: int) -> dict[str, float]:
        async with runs.relay(level, endpoints=2) as world:
            memory_kb = world.process.memory_kb
            calm = await runs.cost(world, 2000, 100, "c", per_s=300)
            task = asyncio.create_task(runs.churned(world.directory, churn / 2))  # each is two changes
            busy = await runs.cost(world, 2000, 100, "b", per_s=300)
            task.cancel()
            return {"start_s": world.process.start_s, "start_cpu_s": world.process.start_cpu_s,
                    "memory_kb": memory_kb, "calm_ms": calm.accept_p99_ms, "churn_ms": busy.accept_p99_ms,
                    "cpu_ms": calm.cpu_ms, "delivered": min(calm.delivered, busy.delivered)}  # fmt: skip

    async def main() -> dict[int, list[dict[str, float]]]:
        return {level: [await one(level) for _ in range(rounds)] for level in levels}

    found: dict[int, list[dict[str, float]]] = run(main())
    least_kb = statistics.median(each["memory_kb"] for each in found[levels[0]])
    rows = []
    for level, each in found.items():
        extra = [1024 * (one["memory_kb"] - least_kb) / max(1, level - levels[0]) for one in each]
        ratios = [one["churn_ms"] / one["calm_ms"] for one in each]
        rows.append((level, *(spread([one[name] for one in each]) for name in ("start_s", "start_cpu_s")),
                     spread(extra), spread([one["cpu_ms"] for one in each]),
                     spread([one["calm_ms"] for one in each]), spread(ratios)))  # fmt: skip
    heads = ("destinations", "start s", "its CPU s", "bytes for each more", "CPU ms a message",
             "accept p99 ms", "times that with churn")  # fmt: skip
    shown("by destinations of two endpoints", heads, rows)
    kept(out, found)


@group.command("burst")
@click.option("--messages", default=20_000, show_default=True)
@rounds_option
@out_option
def burst(messages: int, rounds: int, out: Path | None) -> None:
    """A burst that is handed in as fast as it is taken, with 60 s to deliver it."""

    async def main() -> list[runs.Cost]:
        found = []
        for _ in range(rounds):
            async with runs.relay(24) as world:
                found.append(await runs.cost(world, messages, messages))
        return found

    found: list[runs.Cost] = run(main())
    names = ("cpu_ms", "per_s", "delivered", "memory_kb")
    shown(f"a burst of {messages}", names, [[spread([getattr(c, name) for c in found]) for name in names]])
    kept(out, [asdict(cost) for cost in found])


def ranged(rows: Sequence[Sequence[float]], at: int) -> str:
    """One quantile over seeds: median, least and most, in ms."""
    values = sorted(row[at] for row in rows)
    return f"{statistics.median(values):.3g} ({values[0]:.3g} to {values[-1]:.3g})"


@group.command("tails")
@click.option("--seeds", default=5, show_default=True, help="Seeds from 1 on, the same for each way.")
@click.option("--load", "loads", multiple=True, type=float, default=(1.0, 1.3), show_default=True)
@click.option("--jobs", default=4, show_default=True, type=click.IntRange(1))
@click.option("--world", default="scenarios/tails.toml", show_default=True, type=click.Path(path_type=Path))
def tails_of_batches(seeds: int, loads: tuple[float, ...], jobs: int, world: Path) -> None:
    """p50, p99 and p99.9 with batches and without, in simulated time, at slow partners."""
    print("ms from when the client wanted it out: median over seeds (least to most)")
    for name, load, on, found in tails.play_all(scenario.load(world), loads, range(1, seeds + 1), jobs):
        accept = [run.tail.accept_ms for run in found]
        deliver = [run.tail.deliver_ms for run in found]
        print(f"{name}, load {load}, {'batches' if on else 'one message a call'}:")
        print(f"  delivery p50 {ranged(deliver, 0)}, p99 {ranged(deliver, 1)}, p99.9 {ranged(deliver, 2)}")
        print(f"  accept p99.9 {ranged(accept, 2)}; worth {spread([run.service for run in found])}")
        calls = spread([run.tail.calls / run.tail.messages for run in found])
        print(f"  calls a message {calls}; rules kept in {sum(run.kept for run in found)} of {len(found)}")


def stage_of(path: str, function: str) -> str:
    """The stage that a function's own time counts for."""
    if path == "~":
        return next((stage for name, stage in BUILT_IN.items() if f"'{name}' of" in function), "built in")
    return next((stage for part, stage in PLACES if part in path), "library")


@group.command("stages")
@count_option
@click.option("--held", default=200, show_default=True)
@click.option("--top", default=25, show_default=True, help="Functions to name.")
@click.option("--stats", type=click.Path(path_type=Path), default=Path("bench.pstats"), show_default=True)
def stages(messages: int, held: int, top: int, stats: Path) -> None:
    """Where a message's time goes, by stage, under a profiler: shares hold, absolute times do not."""

    async def main() -> None:
        async with runs.relay(24, profile=stats.resolve()) as world:
            await runs.cost(world, messages, held)

    run(main())
    profile = pstats.Stats(str(stats))
    own, calls = Counter[str](), Counter[str]()
    raw: dict[tuple[str, int, str], tuple[int, int, float, float, Any]] = vars(profile)["stats"]
    for (path, _, function), (_, count, own_s, _, _) in raw.items():
        own[stage_of(path, function)] += own_s  # type: ignore[assignment]
        calls[stage_of(path, function)] += count
    total = sum(own.values()) - own.pop("waiting", 0)
    rows = [(stage, f"{1e3 * own_s / messages:.3f}", f"{own_s / total:.0%}", f"{calls[stage] / messages:.1f}")
            for stage, own_s in own.most_common()]  # fmt: skip
    shown("by stage", ("stage", "own ms a message", "share", "calls a message"), rows)
    best = sorted(raw.items(), key=lambda item: -item[1][2])[:top]
    shown("by function", ("function", "own ms a message", "calls a message"),
          [(f"{Path(path).name}:{line} {name}", f"{1e3 * v[2] / messages:.3f}", f"{v[1] / messages:.1f}")
           for (path, line, name), v in best])  # fmt: skip


@group.command("members")
@click.option("--sizes", default="10,50,200", show_default=True, help="Relays, one row for each size.")
@click.option("--seeds", default=5, show_default=True, help="Fleets of each size.")
@click.option("--jobs", default=2, show_default=True, help="Processes side by side.")
@out_option
def member_views(sizes: str, seeds: int, jobs: int, out: Path | None) -> None:
    """The view of the fleet in drawn time: how soon it settles, sees a crash, heals; what it costs."""
    wanted = [int(size) for size in sizes.split(",")]
    found = members.run_all(wanted, range(1, seeds + 1), jobs)
    rows = []
    for name in members.NAMES:
        each = [[float(getattr(one, name)) for one in found if one.size == size] for size in wanted]
        rows.append([name, *map(spread, each)])
    shown(f"views of the fleet, {seeds} seeds: median (least to most)", ["", *map(str, wanted)], rows)
    kept(out, [asdict(one) for one in found])


if __name__ == "__main__":
    group()
