"""The view as a value: members with their lives and states, why each is held so, and what changed. No I/O.

Of one relay the higher life counts, whatever is said of a lower one: a dead life never comes back. Of one
life the higher incarnation counts, which its process alone raises; of one incarnation suspect is stronger
than alive, and dead stronger than either. A leave is the last word of a life.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Literal

import msgspec

from mallowlug.fleet.records import MemberUpdate, State

Change = Literal["joined", "suspect", "back", "left", "dead", "new life", "moved"]
STATE_PRECEDENCE: dict[State, int] = {"alive": 0, "suspect": 1, "dead": 2, "left": 3}
LIVE_STATES: tuple[State, ...] = ("alive", "suspect")


@dataclass(frozen=True, slots=True)
class MemberEntry:
    """One relay as it is held; ``since_us`` by the holder's monotonic clock."""

    update: MemberUpdate
    since_us: int
    path: str  # own, probe, rumour or table: how it was heard

    @property
    def is_live(self) -> bool:
        """Whether it counts as there: alive, or only suspected."""
        return self.update.state in LIVE_STATES


@dataclass(frozen=True, slots=True)
class ViewEvent:
    """A change of the view, with its cause."""

    change: Change
    relay: str
    life: int
    at_us: int
    by: str
    path: str


def digest_contribution(update: MemberUpdate) -> int:
    """What one member adds to a digest; who is gone adds nothing, as each holder forgets them by itself."""
    if update.state not in LIVE_STATES:
        return 0
    text = f"{update.relay} {update.life} {update.mark} {update.incarnation} {update.state} {update.address}"
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=7).digest())


class View:
    """Who is there, as one relay holds it."""

    def __init__(self, own_update: MemberUpdate, now_us: int) -> None:
        self.own_id = own_update.relay
        self.members: dict[str, MemberEntry] = {}
        self._live_members: list[str] | None = (
            None  # found once between two changes: it is asked for at every probe
        )
        self.digest = 0  # equal where views are equal, whatever the order in which they came about
        self._replace_entry(MemberEntry(own_update, now_us, "own"))

    def _replace_entry(self, member: MemberEntry) -> None:
        former = self.members.get(member.update.relay)
        if former is not None:
            self.digest ^= digest_contribution(former.update)
        self.digest ^= digest_contribution(member.update)
        self.members[member.update.relay] = member
        self._live_members = None

    @property
    def own_update(self) -> MemberUpdate:
        """What is said of this relay itself."""
        return self.members[self.own_id].update

    def live_members(self) -> list[str]:
        """The ids of all who count as there, this relay with them."""
        if self._live_members is None:
            self._live_members = [relay for relay, member in self.members.items() if member.is_live]
        return self._live_members

    def supersedes(self, update: MemberUpdate) -> bool:
        """Whether a rumour says more than is held."""
        if (member := self.members.get(update.relay)) is None:
            return True
        current = member.update
        if update.life != current.life:
            return update.life > current.life
        if current.state == "left" or update.mark != current.mark:
            return False
        if update.incarnation != current.incarnation:
            return update.incarnation > current.incarnation
        return STATE_PRECEDENCE[update.state] > STATE_PRECEDENCE[current.state]

    def apply(self, update: MemberUpdate, now_us: int, path: str) -> ViewEvent | None:
        """Hold what a rumour says, if it says more; the event, where that is a change to whoever asks."""
        if not self.supersedes(update):
            return None
        former = self.members.get(update.relay)
        since_us = former.since_us if former is not None and former.update.state == update.state else now_us
        self._replace_entry(MemberEntry(update, since_us, path))
        change = classify_change(former.update if former is not None else None, update)
        return ViewEvent(change, update.relay, update.life, now_us, update.by, path) if change else None

    def remove_departed(self, before_us: int) -> None:
        """Let go of who has been gone for long."""
        for relay, member in list(self.members.items()):
            if not member.is_live and member.since_us < before_us and relay != self.own_id:
                del self.members[relay]

    def updates(self) -> list[MemberUpdate]:
        """The whole table."""
        return [member.update for member in self.members.values()]


def classify_change(former: MemberUpdate | None, update: MemberUpdate) -> Change | None:
    """What a rumour changes for those who ask who is there; None for nothing."""
    if former is None:
        return "joined" if update.state in LIVE_STATES else None
    if update.life > former.life:
        return "new life" if update.state in LIVE_STATES else "dead" if update.state == "dead" else "left"
    if update.state == former.state:
        return "moved" if update.address != former.address else None
    if update.state == "alive":
        return "back"
    return update.state


def view_json(view: View, relays: Iterable[str] | None = None) -> bytes:
    """The table as JSON, for staff: by relay what is held, since when (us) and why."""
    rows = {
        relay: {
            **msgspec.to_builtins(msgspec.structs.asdict(member.update)),
            "since_us": member.since_us,
            "path": member.path,
        }
        for relay, member in sorted(view.members.items())
        if relays is None or relay in relays
    }
    return msgspec.json.encode(rows)
