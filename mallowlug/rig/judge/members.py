"""The judge of views: four rules over what relays were seen to hold, and what befell them meanwhile. No I/O.

It shares no code with the relay. ``SETTLE_US`` is wide: what views are is judged sharply, when loosely.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from mallowlug.rig.judge import record as rec

SETTLE_US = 25_000_000  # behind the last disturbance within which all that can hear one another hold the same
MOST_PARTS = 2.0  # of a limit, that all relays together may reckon for themselves


@dataclass(frozen=True, slots=True)
class Lapse:
    """A broken rule: which, when (us of the run), by whose view, and the figures that show it."""

    rule: str  # lives, parts, evicted or unequal
    at_us: int
    relay: str
    detail: str


@dataclass(slots=True)
class Books:
    """What is so now."""

    up: dict[str, int] = field(default_factory=dict)  # by relay: since when its process runs
    shut: set[tuple[str, str]] = field(default_factory=set)  # ways that are cut or bad
    seen: dict[str, rec.FleetView] = field(
        default_factory=dict
    )  # by relay: the last view it was seen to hold
    lives: dict[tuple[str, str], int] = field(default_factory=dict)  # by holder and member: highest life
    quiet_us: int = 0  # since when nothing was disturbed
    lapses: dict[tuple[str, str], Lapse] = field(default_factory=dict)  # the first of each rule and relay

    def take(self, event: rec.AnyEvent) -> None:
        """Keep the books, and look at each view as it was seen."""
        if isinstance(event, rec.ProcessEvent):
            self._process(event)
        elif isinstance(event, rec.DatagramPath):
            self.quiet_us = event.at
            (self.shut.discard if event.clear else self.shut.add)((event.one, event.other))
        elif isinstance(event, rec.FleetView) and event.relay in self.up:
            self.seen[event.relay] = event
            self._look(event)

    def _process(self, event: rec.ProcessEvent) -> None:
        if event.what == "start":
            self.up[event.relay] = event.at
        elif event.what in ("kill", "term", "exit"):
            self.up.pop(event.relay, None)
            self.seen.pop(event.relay, None)
            self.lives = {key: life for key, life in self.lives.items() if key[0] != event.relay}
        self.quiet_us = event.at

    def _lapse(self, rule: str, event: rec.FleetView, detail: str) -> None:
        self.lapses.setdefault((rule, event.relay), Lapse(rule, event.at, event.relay, detail))

    def _look(self, event: rec.FleetView) -> None:
        for member, (life, _) in event.members.items():
            key = event.relay, member
            if life < self.lives.get(key, 0):
                self._lapse("lives", event, f"{member} is back in life {life} behind {self.lives[key]}")
            self.lives[key] = max(life, self.lives.get(key, 0))
        total = sum(1 / held.group for held in self.seen.values())
        if total > MOST_PARTS + 1e-9:
            self._lapse("parts", event, f"{len(self.seen)} relays take {total:.2f} of each limit")
        if self.shut or event.at < self.quiet_us + SETTLE_US:
            return
        for member in self.up:
            if event.members.get(member, (0, "unknown"))[1] not in ("alive", "suspect"):
                state = event.members.get(member, (0, "unknown"))[1]
                self._lapse("evicted", event, f"{member} runs, and is held {state}")
        fresh = [held for held in self.seen.values() if held.at >= self.quiet_us + SETTLE_US]
        if len(fresh) == len(self.up) and len({held.digest for held in fresh}) > 1:
            self._lapse("unequal", event, f"{len({held.digest for held in fresh})} views at once")


def judged(events: Iterable[rec.AnyEvent]) -> list[Lapse]:
    """The first lapse of each rule and relay, in order of time."""
    books = Books()
    for event in events:
        books.take(event)
    return sorted(books.lapses.values(), key=lambda lapse: lapse.at_us)
