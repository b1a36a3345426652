"""Fleet membership in simulated time: the real protocol code, link delays of 100 to 500 us, default times."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, fields
from itertools import product

from mallowlug.rig.sim.members import SECOND, FleetNetwork, Link

# Seconds: idle traffic measured; partition into halves; observation for false deaths under faults.
IDLE_S, PARTITION_S, OBSERVATION_S = 30.0, 60.0, 120.0


@dataclass(frozen=True, slots=True)
class Run:
    """Results for one fleet. Times in seconds (``inf``: not within the time limit), rates per relay."""

    size: int
    seed: int
    settled_s: float  # from a simultaneous start of all relays until all views agree
    bytes_per_s: float
    datagrams_per_s: float
    suspected_s: float  # from a crash to the first suspicion
    dead_s: float  # from a crash until all hold it dead
    healed_s: float  # from a heal until all views are equal again
    false_deaths_slow: int  # with a tenth of the relays paused for 0.3 s of each second
    false_deaths_lossy: int  # with a fifth of all datagrams lost


NAMES = [field.name for field in fields(Run) if field.name not in ("size", "seed")]


def false_deaths(net: FleetNetwork) -> int:
    """Count how often a running relay was declared dead."""
    living = {side.own_update.relay for side in net.instances.values()}
    return sum(event.change == "dead" and event.relay in living for _, event in net.events)


def pause_periodically(net: FleetNetwork, size: int) -> None:
    """Pause a tenth of the relays for 0.3 s of each second."""
    for at in range(0, size, 10):
        net.suspended_until_us[f"r{at}:1"] = net.now_us + 300_000
    net.after(SECOND, lambda: pause_periodically(net, size))


def run_fleet(size_and_seed: tuple[int, int]) -> Run:
    """Run one fleet through start, idle time, crash, partition, pauses and loss."""
    size, seed = size_and_seed
    net = FleetNetwork(seed)
    net.fleet(size)
    settled_s = net.run(300, net.agree)
    net.run(IDLE_S)  # wait until the gossip of the start has ended
    sent, bytes_sent = sum(net.sent.values()), sum(net.bytes.values())
    net.run(IDLE_S)
    sent, bytes_sent = sum(net.sent.values()) - sent, sum(net.bytes.values()) - bytes_sent
    killed = f"r{size // 2}"
    net.kill(f"{killed}:1")
    suspected_s = net.run(120, lambda: net.states(killed)["alive"] < size - 1)
    dead_s = suspected_s + net.run(300, lambda: net.states(killed)["dead"] == size - 1)
    sides = list(net.instances)
    net.cut(sides[::2], sides[1::2])
    net.run(PARTITION_S)
    net.heal()
    healed_s = net.run(300, net.agree)
    slow, lossy = FleetNetwork(seed), FleetNetwork(seed)
    lossy.default_link = Link(loss=0.2)
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
    """Run every size with every seed in ``jobs`` parallel processes."""
    with ProcessPoolExecutor(jobs) as pool:
        return list(pool.map(run_fleet, product(sizes, seeds)))
