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
from mallowlug.fleet.records import MemberUpdate
from mallowlug.fleet.swim import ProtocolTimes, Swim
from mallowlug.fleet.view import ViewEvent

SECOND = 1_000_000


@dataclass
class Link:
    """One direction between two relays."""

    loss: float = 0.0
    delay_us: tuple[int, int] = (100, 500)
    doubled: float = 0.0
    cut: bool = False


@dataclass
class Net:
    """Relays by id, each with the processes that it had; what is said goes by ``address``."""

    seed: int = 1
    times: ProtocolTimes = field(default_factory=ProtocolTimes)
    now_us: int = 10 * SECOND

    def __post_init__(self) -> None:
        self.rng = random.Random(f"net {self.seed}")
        self.sides: dict[str, Swim] = {}  # by address
        self.links: dict[tuple[str, str], Link] = {}
        self.plain = Link()
        self.events: list[tuple[str, ViewEvent]] = []  # with the address of who holds it
        self.sent, self.bytes = Counter[str](), Counter[str]()
        self.still: dict[str, int] = {}  # by address: it does nothing until then
        self._due: list[tuple[int, int, Callable[[], None]]] = []
        self._serial = count()

    def start(self, relay: str, *, life: int = 1, seeds: Iterable[str] = (), address: str = "") -> Swim:
        """A process of a relay; an older one at its address is gone."""
        address = address or f"{relay}:1"
        own_update = MemberUpdate(relay, life, self.rng.getrandbits(48), 0, "alive", address, "a", "1", relay)
        side = Swim(
            "test", own_update, seeds=list(seeds), times=self.times,
            rng=random.Random(f"{self.seed} {address} {life}"), now_us=self.now_us,
        )  # fmt: skip
        self.sides[address] = side
        self._wake(address, side)
        return side

    def fleet(self, size: int) -> list[Swim]:
        """So many relays, the first of which all others know."""
        return [self.start(f"r{at}", seeds=["r0:1"]) for at in range(size)]

    def kill(self, address: str) -> None:
        """The process is gone."""
        del self.sides[address]

    def cut(self, *groups: Iterable[str]) -> None:
        """Nothing passes between addresses of different groups."""
        sides = [set(group) for group in groups]
        for here in sides:
            for there in sides:
                if here is not there:
                    for one in here:
                        for other in there:
                            self.link(one, other).cut = True

    def link(self, one: str, other: str) -> Link:
        """One direction's own figures from now on."""
        plain = self.plain
        return self.links.setdefault((one, other), Link(plain.loss, plain.delay_us, plain.doubled, plain.cut))

    def heal(self) -> None:
        """All links are as at first."""
        self.links.clear()

    def after(self, wait_us: int, act: Callable[[], None]) -> None:
        """Something happens so much later."""
        heapq.heappush(self._due, (self.now_us + wait_us, next(self._serial), act))

    def run(self, for_s: float, until: Callable[[], bool] = lambda: False) -> float:
        """Let time pass, until something is so; how many seconds it took, ``inf`` where it never was."""
        start_us = self.now_us
        end_us = start_us + int(for_s * SECOND)
        looks_us = start_us
        while self._due and self._due[0][0] <= end_us:
            self.now_us, _, act = heapq.heappop(self._due)
            act()
            if self.now_us >= looks_us:
                looks_us = self.now_us + 20_000
                if until():
                    return (self.now_us - start_us) / SECOND
        self.now_us = end_us
        return (end_us - start_us) / SECOND if until() else float("inf")

    def _wake(self, address: str, side: Swim) -> None:
        if self.sides.get(address) is not side:
            return
        if (until := self.still.get(address, 0)) > self.now_us:
            self.after(until - self.now_us, lambda: self._wake(address, side))
            return
        due_us = side.tick(self.now_us)
        self._flush(address, side)
        self.after(due_us - self.now_us, lambda: self._wake(address, side))

    def _flush(self, address: str, side: Swim) -> None:
        out, side.outgoing = side.outgoing, []
        events, side.events = side.events, []
        self.events += [(address, event) for event in events]
        for target, frame in out:
            data = rec.encode(frame)
            assert len(data) <= rec.MAX_DATAGRAM_BYTES
            self.sent[address] += 1
            self.bytes[address] += len(data)
            link = self.links.get((address, target), self.plain)
            copies = 1 + (self.rng.random() < link.doubled)
            for _ in range(copies):
                if not link.cut and self.rng.random() >= link.loss:
                    self.after(self.rng.randint(*link.delay_us), partial(self._come, target, data))

    def _come(self, address: str, data: bytes) -> None:
        if (side := self.sides.get(address)) is None:
            return
        if (until := self.still.get(address, 0)) > self.now_us:
            self.after(until - self.now_us, lambda: self._come(address, data))
            return
        side.receive(self.now_us, rec.decode(data, "test"))
        self._flush(address, side)

    # What is asked of it

    def agree(self, addresses: Iterable[str] | None = None) -> bool:
        """Whether these (or all) hold the same view, and in it each other, alive."""
        sides = [self.sides[a] for a in addresses] if addresses is not None else list(self.sides.values())
        ids = {side.own_update.relay for side in sides}
        return len({side.view.digest for side in sides}) == 1 and all(
            {r for r, m in side.view.members.items() if m.update.state == "alive"} == ids for side in sides
        )

    def states(self, relay: str) -> Counter[str]:
        """How many hold a relay in each state."""
        held = [
            side.view.members.get(relay) for side in self.sides.values() if side.own_update.relay != relay
        ]
        return Counter(member.update.state if member is not None else "unknown" for member in held)
