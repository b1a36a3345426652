"""Leak detection: a relay's memory and descriptors after each hour of simulated time.

The same hour of traffic and faults is repeated; each ends with a quiet period longer than the lifetime of
any message, connection or failure state. What a relay then still holds is counted by type over all objects
reachable from its composition root, so that a leak shows its type.
"""

from __future__ import annotations

import asyncio
import gc
import sys
import types
from collections import Counter, deque
from collections.abc import Iterator, Sequence, Sized
from contextvars import Context
from dataclasses import dataclass, field
from pathlib import Path

from mallowlug.rig.run.play import Environment, RunOptions, sleep_until
from mallowlug.rig.sim.disk import SimDisk
from mallowlug.rig.sim.ground import SimulatedRun, simulate
from mallowlug.rig.sim.guards import InvariantMonitor
from mallowlug.rig.sim.loop import Lifetime, SimLoop
from mallowlug.rig.sim.net import Network
from mallowlug.rig.sim.process import SimProcess, SimRelay, SimSystem
from mallowlug.rig.world import draw
from mallowlug.rig.world.scenario import Scenario

EXCLUDED_TYPES = (  # objects of the simulation or the interpreter, not of a relay
    SimLoop, SimDisk, SimSystem, Network, Lifetime, InvariantMonitor, Context, types.ModuleType, type,
    types.FunctionType, types.BuiltinFunctionType, types.CodeType, types.FrameType,
)  # fmt: skip
QUIET_S = 60.0  # s without traffic or faults at the end of an hour
GROWTH_TOLERANCE = 0.02  # growth that is not a leak: tables keep capacity that they once needed
# Bytes per contained item.
BYTES_PER_ITEM: dict[type[Sized], int] = {bytearray: 1, list: 8, dict: 100, set: 40, deque: 8}
TYPES_SHOWN = 5  # types named in the report of a leak


class QuietPeriodError(ValueError):
    """The scenario's hour does not end with a quiet period."""


@dataclass(frozen=True, slots=True)
class Sample:
    """What one process of a relay holds at the end of an hour: descriptors, tasks, bytes, objects by type."""

    hour: int
    relay: str
    lifetime: int
    descriptors: int
    tasks: int
    size: int
    objects: Counter[str] = field(hash=False)


def roots_of(lifetime: Lifetime) -> list[object]:
    """Return the local variables of ``serve``, the composition root, at the point where it waits."""
    for task in lifetime.tasks:
        waiting: object = task.get_coro()
        while isinstance(waiting, types.CoroutineType):
            if waiting.cr_code.co_name == "serve" and waiting.cr_frame is not None:
                return list(waiting.cr_frame.f_locals.values())
            waiting = waiting.cr_await
    return []


def reachable(roots: Sequence[object]) -> Iterator[object]:
    """Yield every object reachable from the roots once; the search ends at excluded types."""
    seen: set[int] = set()
    pending = list(roots)
    while pending:
        item = pending.pop()
        if id(item) in seen or isinstance(item, EXCLUDED_TYPES):
            continue
        seen.add(id(item))
        yield item
        pending += gc.get_referents(item)


def size_of(item: object) -> int:
    """The size of one object in bytes. Containers count by length, as their spare capacity varies."""
    for kind, each in BYTES_PER_ITEM.items():
        if isinstance(item, kind):
            return len(item) * each
    return sys.getsizeof(item)


def sample(hour: int, relay: SimRelay) -> Sample:
    """Count what a relay's current process holds."""
    process = relay.process
    assert isinstance(process, SimProcess)
    lifetime, objects, size = process.lifetime, Counter[str](), 0
    for item in reachable(roots_of(lifetime)):
        objects[type(item).__qualname__] += 1
        size += size_of(item)
    files = relay.machine.disk.descriptor_count(lifetime)
    return Sample(
        hour, relay.name, lifetime.number, len(lifetime.sockets) + files, len(lifetime.tasks), size, objects
    )


def find_growth(samples: Sequence[Sample]) -> list[str]:
    """Report growth against the first hour of the same process."""
    problems, firsts = list[str](), dict[tuple[str, int], Sample]()
    for current in samples:
        first = firsts.setdefault((current.relay, current.lifetime), current)
        place = f"{current.relay} life {current.lifetime} hour {current.hour}"
        for name in ("descriptors", "tasks"):
            if (held := getattr(current, name)) > (before := getattr(first, name)):
                problems.append(f"{place}: {held} {name}, {before} in hour {first.hour}")
        if current.size > first.size * (1 + GROWTH_TOLERANCE):
            more = (current.objects - first.objects).most_common(TYPES_SHOWN)
            type_counts = ", ".join(f"{count} {name}" for name, count in more)
            problems.append(
                f"{place}: {current.size} bytes, {first.size} in hour {first.hour}; more: {type_counts}"
            )
    return problems


def repeat_hours(scenario: Scenario, hours: int) -> Scenario:
    """Repeat the scenario's hour ``hours`` times, with its events in each."""
    hour_s = scenario.length_s
    events = [
        event.model_copy(update={"at_s": hour * hour_s + event.at_s})
        for hour in range(hours)
        for event in scenario.events
    ]
    return scenario.model_copy(update={"length_s": hours * hour_s, "events": tuple(events)})


@dataclass(slots=True)
class HourlyResult:
    """The result of a run of several simulated hours."""

    done: SimulatedRun
    samples: list[Sample]

    @property
    def problems(self) -> list[str]:
        """Growth found between hours."""
        return find_growth(self.samples)


def run_hours(scenario: Scenario, hours: int, folder: Path, quiet_s: float = QUIET_S) -> HourlyResult:
    """Play an hour (the scenario's length) ``hours`` times and count objects at the end of each.

    Raises ``QuietPeriodError`` if the scenario leaves no time for the quiet period.
    """
    hour_s, samples = scenario.length_s, list[Sample]()
    if hour_s <= quiet_s:
        raise QuietPeriodError(f"{hour_s:g} s leave no room for a quiet period of {quiet_s:g} s")
    if late := [event for event in scenario.events if event.at_s + event.len_s > hour_s - quiet_s]:
        raise QuietPeriodError(
            f"{late[0].what} at {late[0].at_s} s is not over {quiet_s:g} s before the hour's end"
        )
    long = repeat_hours(scenario, hours)
    traffic = [arrival for arrival in draw.draw_arrivals(long) if arrival.at_s % hour_s < hour_s - quiet_s]

    async def count(world: Environment) -> None:
        start_s = asyncio.get_running_loop().time()
        for hour in range(1, hours + 1):
            await sleep_until(start_s + hour * hour_s - 1)
            samples.extend(sample(hour, relay) for relay in world.relays if isinstance(relay, SimRelay))

    done = simulate(long, folder, RunOptions(traffic=traffic, on_started=count))
    return HourlyResult(done, samples)
