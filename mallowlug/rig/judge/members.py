"""The judge of fleet views: four rules over the views that relays held and the faults they met. No I/O.

It shares no code with the relay. ``SETTLE_US`` is wide: the content of views is checked strictly, their
timing loosely.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from mallowlug.rig.judge import record as rec

# Time after the last disturbance within which all relays that can reach one another must hold equal views.
SETTLE_US = 25_000_000
MAX_QUOTA_SHARES = 2.0  # sum of the relays' shares of a limit, at most


@dataclass(frozen=True, slots=True)
class ViewBreach:
    """A breach of a rule: its time (us of the run), the relay whose view shows it, and the evidence."""

    rule: str  # lives, parts, evicted or unequal
    at_us: int
    relay: str
    detail: str


@dataclass(slots=True)
class FleetState:
    """Current state of the relays, and the first breach of each rule and relay."""

    up: dict[str, int] = field(default_factory=dict)  # by relay: since when (us) its process runs
    # Datagram paths (from, to) that are cut or faulty.
    blocked_paths: set[tuple[str, str]] = field(default_factory=set)
    views: dict[str, rec.FleetView] = field(default_factory=dict)  # by relay: its last observed view
    # By relay and member: the highest lifetime number.
    lifetimes: dict[tuple[str, str], int] = field(default_factory=dict)
    disturbed_us: int = 0  # time of the last process event or path change
    breaches: dict[tuple[str, str], ViewBreach] = field(default_factory=dict)  # by rule and relay: the first

    def apply(self, event: rec.AnyEvent) -> None:
        """Update the state, and check each view."""
        if isinstance(event, rec.ProcessEvent):
            self._process(event)
        elif isinstance(event, rec.DatagramPath):
            self.disturbed_us = event.at
            (self.blocked_paths.discard if event.clear else self.blocked_paths.add)((event.one, event.other))
        elif isinstance(event, rec.FleetView) and event.relay in self.up:
            self.views[event.relay] = event
            self._check_view(event)

    def _process(self, event: rec.ProcessEvent) -> None:
        if event.what == "start":
            self.up[event.relay] = event.at
        elif event.what in ("kill", "term", "exit"):
            self.up.pop(event.relay, None)
            self.views.pop(event.relay, None)
            self.lifetimes = {
                key: lifetime for key, lifetime in self.lifetimes.items() if key[0] != event.relay
            }
        self.disturbed_us = event.at

    def _report(self, rule: str, event: rec.FleetView, detail: str) -> None:
        self.breaches.setdefault((rule, event.relay), ViewBreach(rule, event.at, event.relay, detail))

    def _check_view(self, event: rec.FleetView) -> None:
        for member, (lifetime, _) in event.members.items():
            key = event.relay, member
            if lifetime < self.lifetimes.get(key, 0):
                self._report(
                    "lives", event, f"{member} is in lifetime {lifetime} after {self.lifetimes[key]}"
                )
            self.lifetimes[key] = max(lifetime, self.lifetimes.get(key, 0))
        total = sum(1 / view.group for view in self.views.values())
        if total > MAX_QUOTA_SHARES + 1e-9:
            self._report("parts", event, f"{len(self.views)} relays take {total:.2f} of each limit")
        if self.blocked_paths or event.at < self.disturbed_us + SETTLE_US:
            return
        for member in self.up:
            if event.members.get(member, (0, "unknown"))[1] not in ("alive", "suspect"):
                state = event.members.get(member, (0, "unknown"))[1]
                self._report("evicted", event, f"{member} runs, but the view has it {state}")
        fresh = [view for view in self.views.values() if view.at >= self.disturbed_us + SETTLE_US]
        if len(fresh) == len(self.up) and len({view.digest for view in fresh}) > 1:
            self._report("unequal", event, f"{len({view.digest for view in fresh})} different views at once")


def judge_views(events: Iterable[rec.AnyEvent]) -> list[ViewBreach]:
    """Return the first breach of each rule and relay, in order of time."""
    fleet = FleetState()
    for event in events:
        fleet.apply(event)
    return sorted(fleet.breaches.values(), key=lambda breach: breach.at_us)
