"""The view of the fleet in drawn time: the protocol's own code, links of 100 to 500 us, times as shipped."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, fields
from itertools import product

from mallowlug.rig.sim.members import SECOND, Link, Net

# s at rest that are counted; of a cut into halves; of faults that evict nobody.
IDLE_S, PARTITION_S, OBSERVATION_S = 30.0, 60.0, 120.0


@dataclass(frozen=True, slots=True)
class Run:
    """One fleet. Times in seconds (``inf``: never within the time given), rates for one relay."""

    size: int
    seed: int
    settled_s: float  # from a start of all at once
    bytes_per_s: float
    datagrams_per_s: float
    suspected_s: float  # from a crash to the first suspicion
    dead_s: float  # from a crash until all hold it dead
    healed_s: float  # from a heal until all views are equal again
    false_deaths_slow: int  # with a tenth standing still for 0.3 s in each second
    false_deaths_lossy: int  # with a fifth of all datagrams lost


NAMES = [field.name for field in fields(Run) if field.name not in ("size", "seed")]


def false_deaths(net: Net) -> int:
    """How often somebody who lives was held dead."""
    living = {side.own_update.relay for side in net.sides.values()}
    return sum(event.change == "dead" and event.relay in living for _, event in net.events)


def pause_periodically(net: Net, size: int) -> None:
    """A tenth of all stand still for 0.3 s of each second."""
    for at in range(0, size, 10):
        net.still[f"r{at}:1"] = net.now_us + 300_000
    net.after(SECOND, lambda: pause_periodically(net, size))


def run_fleet(size_and_seed: tuple[int, int]) -> Run:
    """Play one fleet through all of it."""
    size, seed = size_and_seed
    net = Net(seed)
    net.fleet(size)
    settled_s = net.run(300, net.agree)
    net.run(IDLE_S)  # what the start still passes on is no rest
    sent, bytes_sent = sum(net.sent.values()), sum(net.bytes.values())
    net.run(IDLE_S)
    sent, bytes_sent = sum(net.sent.values()) - sent, sum(net.bytes.values()) - bytes_sent
    killed = f"r{size // 2}"
    net.kill(f"{killed}:1")
    suspected_s = net.run(120, lambda: net.states(killed)["alive"] < size - 1)
    dead_s = suspected_s + net.run(300, lambda: net.states(killed)["dead"] == size - 1)
    sides = list(net.sides)
    net.cut(sides[::2], sides[1::2])
    net.run(PARTITION_S)
    net.heal()
    healed_s = net.run(300, net.agree)
    slow, lossy = Net(seed), Net(seed)
    lossy.plain = Link(loss=0.2)
    for other in (slow, lossy):
        other.fleet(size)
        other.run(300, other.agree)
        other.events.clear()
    pause_periodically(slow, size)
    for other in (slow, lossy):
        other.run(OBSERVATION_S)
    relay_seconds = size * IDLE_S
    return Run(
        size, seed, settled_s, bytes_sent / relay_seconds, sent / relay_seconds,
        suspected_s, dead_s, healed_s,
        false_deaths(slow), false_deaths(lossy),
    )  # fmt: skip


def run_all(sizes: Sequence[int], seeds: Iterable[int], jobs: int = 2) -> list[Run]:
    """Every size with every seed; ``jobs`` processes work on them side by side."""
    with ProcessPoolExecutor(jobs) as pool:
        return list(pool.map(run_fleet, product(sizes, seeds)))
