"""Whether a relay comes back to where it was: its memory and descriptors after each hour of simulated time.

An hour's traffic and troubles are played again and again; each hour ends in a lull that is longer than any
message, connection or memory of a failure lasts. What a relay then still holds is counted over all that can
be reached from its composition root, by type, so that a leak names itself.
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
from mallowlug.rig.sim.ground import Simulated, simulate
from mallowlug.rig.sim.guards import Watch
from mallowlug.rig.sim.loop import Life, SimLoop
from mallowlug.rig.sim.net import Network
from mallowlug.rig.sim.process import SimProcess, SimRelay, SimSystem
from mallowlug.rig.world import draw
from mallowlug.rig.world.scenario import Scenario

OUTSIDE = (  # what belongs to the simulation or to the interpreter, and not to a relay
    SimLoop, SimDisk, SimSystem, Network, Life, Watch, Context, types.ModuleType, type, types.FunctionType,
    types.BuiltinFunctionType, types.CodeType, types.FrameType,
)  # fmt: skip
LULL_S = 60.0  # s at an hour's end without traffic or troubles
SPARE = 0.02  # growth that is no leak: tables keep room for what they once held
# Bytes for each that is in it.
EACH: dict[type[Sized], int] = {bytearray: 1, list: 8, dict: 100, set: 40, deque: 8}
SHOWN = 5  # types that a leak is told by


class LullError(ValueError):
    """A scenario whose hour does not end quietly."""


@dataclass(frozen=True, slots=True)
class Sample:
    """What one relay's life holds at the end of an hour: descriptors, tasks, bytes, objects by type."""

    hour: int
    relay: str
    life: int
    descriptors: int
    tasks: int
    size: int
    objects: Counter[str] = field(hash=False)


def roots_of(life: Life) -> list[object]:
    """The composition root's own values: the locals of ``serve`` as it waits."""
    for task in life.tasks:
        waiting: object = task.get_coro()
        while isinstance(waiting, types.CoroutineType):
            if waiting.cr_code.co_name == "serve" and waiting.cr_frame is not None:
                return list(waiting.cr_frame.f_locals.values())
            waiting = waiting.cr_await
    return []


def reached(roots: Sequence[object]) -> Iterator[object]:
    """Every object that hangs on these, each once; what is outside a relay ends the search."""
    seen: set[int] = set()
    front = list(roots)
    while front:
        found = front.pop()
        if id(found) in seen or isinstance(found, OUTSIDE):
            continue
        seen.add(id(found))
        yield found
        front += gc.get_referents(found)


def size_of(found: object) -> int:
    """Bytes of an object alone. What grows in leaps counts by what is in it: spare room comes and goes."""
    for kind, each in EACH.items():
        if isinstance(found, kind):
            return len(found) * each
    return sys.getsizeof(found)


def sample(hour: int, relay: SimRelay) -> Sample:
    """Count what a relay holds now."""
    process = relay.process
    assert isinstance(process, SimProcess)
    life, objects, size = process.life, Counter[str](), 0
    for found in reached(roots_of(life)):
        objects[type(found).__qualname__] += 1
        size += size_of(found)
    files = relay.machine.disk.opened_by(life)
    return Sample(hour, relay.name, life.number, len(life.sockets) + files, len(life.tasks), size, objects)


def grown(samples: Sequence[Sample]) -> list[str]:
    """What did not come back, against the same life's first full hour."""
    problems, firsts = list[str](), dict[tuple[str, int], Sample]()
    for now in samples:
        first = firsts.setdefault((now.relay, now.life), now)
        place = f"{now.relay} life {now.life} hour {now.hour}"
        for name in ("descriptors", "tasks"):
            if (held := getattr(now, name)) > (before := getattr(first, name)):
                problems.append(f"{place}: {held} {name}, {before} in hour {first.hour}")
        if now.size > first.size * (1 + SPARE):
            more = (now.objects - first.objects).most_common(SHOWN)
            told = ", ".join(f"{count} {name}" for name, count in more)
            problems.append(f"{place}: {now.size} bytes, {first.size} in hour {first.hour}; more: {told}")
    return problems


def repeated(scenario: Scenario, hours: int) -> Scenario:
    """The scenario's hour so many times; its last ``LULL_S`` are without traffic, and events end before."""
    hour_s = scenario.length_s
    events = [
        event.model_copy(update={"at_s": hour * hour_s + event.at_s})
        for hour in range(hours)
        for event in scenario.events
    ]
    return scenario.model_copy(update={"length_s": hours * hour_s, "events": tuple(events)})


@dataclass(slots=True)
class Hours:
    """What hours of simulated time say."""

    done: Simulated
    samples: list[Sample]

    @property
    def problems(self) -> list[str]:
        """What did not come back."""
        return grown(self.samples)


def played(scenario: Scenario, hours: int, folder: Path, lull_s: float = LULL_S) -> Hours:
    """Play an hour (the scenario's length) again and again, and count at each one's end.

    ``LullError`` where the scenario leaves no room for its lull.
    """
    hour_s, samples = scenario.length_s, list[Sample]()
    if hour_s <= lull_s:
        raise LullError(f"{hour_s:g} s leave no room for a lull of {lull_s:g} s")
    if late := [event for event in scenario.events if event.at_s + event.len_s > hour_s - lull_s]:
        raise LullError(f"{late[0].what} at {late[0].at_s} s is not over {lull_s:g} s before the hour's end")
    long = repeated(scenario, hours)
    traffic = [arrival for arrival in draw.draw_arrivals(long) if arrival.at_s % hour_s < hour_s - lull_s]

    async def count(world: Environment) -> None:
        start_s = asyncio.get_running_loop().time()
        for hour in range(1, hours + 1):
            await sleep_until(start_s + hour * hour_s - 1)
            samples.extend(sample(hour, relay) for relay in world.relays if isinstance(relay, SimRelay))

    done = simulate(long, folder, RunOptions(traffic=traffic, on_started=count))
    return Hours(done, samples)
