"""A simulated fleet: many protocol instances in one process and in simulated time, over faulty links."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial
from itertools import count

from mallowlug.fleet import records as rec
from mallowlug.fleet.records import MemberUpdate
from mallowlug.fleet.swim import ProtocolTimes, Swim
from mallowlug.fleet.view import ViewEvent

SECOND = 1_000_000


@dataclass
class Link:
    """One direction between two relays: loss, delay, duplication and partition."""

    loss: float = 0.0
    delay_us: tuple[int, int] = (100, 500)
    duplication: float = 0.0
    cut: bool = False


@dataclass
class FleetNetwork:
    """The simulated network; protocol instances are known by their address."""

    seed: int = 1
    times: ProtocolTimes = field(default_factory=ProtocolTimes)
    now_us: int = 10 * SECOND

    def __post_init__(self) -> None:
        self.rng = random.Random(f"net {self.seed}")
        self.instances: dict[str, Swim] = {}  # by address
        self.links: dict[tuple[str, str], Link] = {}
        self.default_link = Link()
        self.events: list[tuple[str, ViewEvent]] = []  # with the address of the instance that saw it
        self.sent, self.bytes = Counter[str](), Counter[str]()
        self.suspended_until_us: dict[str, int] = {}  # by address: suspended until this time
        self._events_due: list[tuple[int, int, Callable[[], None]]] = []
        self._serial = count()

    def start(self, relay: str, *, life: int = 1, seeds: Iterable[str] = (), address: str = "") -> Swim:
        """Start a process of a relay; it replaces an older one at its address."""
        address = address or f"{relay}:1"
        own_update = MemberUpdate(relay, life, self.rng.getrandbits(48), 0, "alive", address, "a", "1", relay)
        instance = Swim(
            "test", own_update, seeds=list(seeds), times=self.times,
            rng=random.Random(f"{self.seed} {address} {life}"), now_us=self.now_us,
        )  # fmt: skip
        self.instances[address] = instance
        self._run_timers(address, instance)
        return instance

    def fleet(self, size: int) -> list[Swim]:
        """Start ``size`` relays; all know the first one."""
        return [self.start(f"r{at}", seeds=["r0:1"]) for at in range(size)]

    def kill(self, address: str) -> None:
        """Kill the process at an address."""
        del self.instances[address]

    def cut(self, *groups: Iterable[str]) -> None:
        """Partition the network: nothing passes between addresses of different groups."""
        sides = [set(group) for group in groups]
        for group in sides:
            for other_group in sides:
                if group is not other_group:
                    for one in group:
                        for other in other_group:
                            self.link(one, other).cut = True

    def link(self, one: str, other: str) -> Link:
        """Return one direction's own link, created as a copy of the default one."""
        plain = self.default_link
        return self.links.setdefault(
            (one, other), Link(plain.loss, plain.delay_us, plain.duplication, plain.cut)
        )

    def heal(self) -> None:
        """Reset all links to the default."""
        self.links.clear()

    def after(self, wait_us: int, act: Callable[[], None]) -> None:
        """Schedule an action ``wait_us`` from now."""
        heapq.heappush(self._events_due, (self.now_us + wait_us, next(self._serial), act))

    def run(self, for_s: float, until: Callable[[], bool] = lambda: False) -> float:
        """Advance time until a condition holds; return the seconds taken, ``inf`` if it never held."""
        start_us = self.now_us
        end_us = start_us + int(for_s * SECOND)
        next_check_us = start_us
        while self._events_due and self._events_due[0][0] <= end_us:
            self.now_us, _, act = heapq.heappop(self._events_due)
            act()
            if self.now_us >= next_check_us:
                next_check_us = self.now_us + 20_000
                if until():
                    return (self.now_us - start_us) / SECOND
        self.now_us = end_us
        return (end_us - start_us) / SECOND if until() else float("inf")

    def _run_timers(self, address: str, instance: Swim) -> None:
        if self.instances.get(address) is not instance:
            return
        if (until := self.suspended_until_us.get(address, 0)) > self.now_us:
            self.after(until - self.now_us, lambda: self._run_timers(address, instance))
            return
        due_us = instance.tick(self.now_us)
        self._send_pending(address, instance)
        self.after(due_us - self.now_us, lambda: self._run_timers(address, instance))

    def _send_pending(self, address: str, instance: Swim) -> None:
        out, instance.outgoing = instance.outgoing, []
        events, instance.events = instance.events, []
        self.events += [(address, event) for event in events]
        for target, frame in out:
            data = rec.encode(frame)
            assert len(data) <= rec.MAX_DATAGRAM_BYTES
            self.sent[address] += 1
            self.bytes[address] += len(data)
            link = self.links.get((address, target), self.default_link)
            copies = 1 + (self.rng.random() < link.duplication)
            for _ in range(copies):
                if not link.cut and self.rng.random() >= link.loss:
                    self.after(self.rng.randint(*link.delay_us), partial(self._receive, target, data))

    def _receive(self, address: str, data: bytes) -> None:
        if (instance := self.instances.get(address)) is None:
            return
        if (until := self.suspended_until_us.get(address, 0)) > self.now_us:
            self.after(until - self.now_us, lambda: self._receive(address, data))
            return
        instance.receive(self.now_us, rec.decode(data, "test"))
        self._send_pending(address, instance)

    # Queries

    def agree(self, addresses: Iterable[str] | None = None) -> bool:
        """Whether these (or all) instances have the same view, with each of them alive in it."""
        sides = (
            [self.instances[a] for a in addresses] if addresses is not None else list(self.instances.values())
        )
        ids = {instance.own_update.relay for instance in sides}
        return len({instance.view.digest for instance in sides}) == 1 and all(
            {r for r, m in instance.view.members.items() if m.update.state == "alive"} == ids
            for instance in sides
        )

    def states(self, relay: str) -> Counter[str]:
        """Count the other instances by the state in which they see a relay."""
        held = [
            instance.view.members.get(relay)
            for instance in self.instances.values()
            if instance.own_update.relay != relay
        ]
        return Counter(member.update.state if member is not None else "unknown" for member in held)
