"""Many of the protocol's sides in one process, in drawn time: links that lose, delay, double and are cut."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial
from itertools import count

from mallowlug.fleet import records as rec
from mallowlug.fleet.records import Rumour
from mallowlug.fleet.swim import Swim, Times
from mallowlug.fleet.view import Event

SECOND = 1_000_000


@dataclass
class Link:
    """One direction between two relays."""

    loss: float = 0.0
    delay_us: tuple[int, int] = (100, 500)
    duplication: float = 0.0
    cut: bool = False


@dataclass
class FleetNetwork:
    """Relays by id, each with the processes that it had; what is said goes by ``address``."""

    seed: int = 1
    times: Times = field(default_factory=Times)
    now_us: int = 10 * SECOND

    def __post_init__(self) -> None:
        self.rng = random.Random(f"net {self.seed}")
        self.instances: dict[str, Swim] = {}  # by address
        self.links: dict[tuple[str, str], Link] = {}
        self.default_link = Link()
        self.events: list[tuple[str, Event]] = []  # with the address of who holds it
        self.sent, self.bytes = Counter[str](), Counter[str]()
        self.suspended_until_us: dict[str, int] = {}  # by address: it does nothing until then
        self._events_due: list[tuple[int, int, Callable[[], None]]] = []
        self._serial = count()

    def start(self, relay: str, *, life: int = 1, seeds: Iterable[str] = (), address: str = "") -> Swim:
        """A process of a relay; an older one at its address is gone."""
        address = address or f"{relay}:1"
        me = Rumour(relay, life, self.rng.getrandbits(48), 0, "alive", address, "a", "1", relay)
        instance = Swim(
            "test", me, seeds=list(seeds), times=self.times,
            rng=random.Random(f"{self.seed} {address} {life}"), now_us=self.now_us,
        )  # fmt: skip
        self.instances[address] = instance
        self._run_timers(address, instance)
        return instance

    def fleet(self, size: int) -> list[Swim]:
        """So many relays, the first of which all others know."""
        return [self.start(f"r{at}", seeds=["r0:1"]) for at in range(size)]

    def kill(self, address: str) -> None:
        """The process is gone."""
        del self.instances[address]

    def cut(self, *groups: Iterable[str]) -> None:
        """Nothing passes between addresses of different groups."""
        sides = [set(group) for group in groups]
        for group in sides:
            for other_group in sides:
                if group is not other_group:
                    for one in group:
                        for other in other_group:
                            self.link(one, other).cut = True

    def link(self, one: str, other: str) -> Link:
        """One direction's own figures from now on."""
        plain = self.default_link
        return self.links.setdefault(
            (one, other), Link(plain.loss, plain.delay_us, plain.duplication, plain.cut)
        )

    def heal(self) -> None:
        """All links are as at first."""
        self.links.clear()

    def after(self, wait_us: int, act: Callable[[], None]) -> None:
        """Something happens so much later."""
        heapq.heappush(self._events_due, (self.now_us + wait_us, next(self._serial), act))

    def run(self, for_s: float, until: Callable[[], bool] = lambda: False) -> float:
        """Let time pass, until something is so; how many seconds it took, ``inf`` where it never was."""
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
        out, instance.out = instance.out, []
        events, instance.events = instance.events, []
        self.events += [(address, event) for event in events]
        for target, frame in out:
            data = rec.encoded(frame)
            assert len(data) <= rec.MOST_BYTES
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
        instance.receive(self.now_us, rec.decoded(data, "test"))
        self._send_pending(address, instance)

    # What is asked of it

    def agree(self, addresses: Iterable[str] | None = None) -> bool:
        """Whether these (or all) hold the same view, and in it each other, alive."""
        sides = (
            [self.instances[a] for a in addresses] if addresses is not None else list(self.instances.values())
        )
        ids = {instance.me.relay for instance in sides}
        return len({instance.view.digest for instance in sides}) == 1 and all(
            {r for r, m in instance.view.members.items() if m.said.state == "alive"} == ids
            for instance in sides
        )

    def states(self, relay: str) -> Counter[str]:
        """How many hold a relay in each state."""
        held = [
            instance.view.members.get(relay)
            for instance in self.instances.values()
            if instance.me.relay != relay
        ]
        return Counter(member.said.state if member is not None else "unknown" for member in held)
