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

from mallowlug.fleet.records import Rumour, State

Change = Literal["joined", "suspect", "back", "left", "dead", "new life", "moved"]
STRENGTH: dict[State, int] = {"alive": 0, "suspect": 1, "dead": 2, "left": 3}
HERE: tuple[State, ...] = ("alive", "suspect")


@dataclass(frozen=True, slots=True)
class Member:
    """One relay as it is held; ``since_us`` by the holder's monotonic clock."""

    said: Rumour
    since_us: int
    path: str  # own, probe, rumour or table: how it was heard

    @property
    def here(self) -> bool:
        """Whether it counts as there: alive, or only suspected."""
        return self.said.state in HERE


@dataclass(frozen=True, slots=True)
class Event:
    """A change of the view, with its cause."""

    what: Change
    relay: str
    life: int
    at_us: int
    by: str
    path: str


def mark_of(said: Rumour) -> int:
    """What one member adds to a digest; who is gone adds nothing, as each holder forgets them by itself."""
    if said.state not in HERE:
        return 0
    text = f"{said.relay} {said.life} {said.mark} {said.incarnation} {said.state} {said.address}"
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=7).digest())


class View:
    """Who is there, as one relay holds it."""

    def __init__(self, me: Rumour, now_us: int) -> None:
        self.me = me.relay
        self.members: dict[str, Member] = {}
        self._here: list[str] | None = None  # found once between two changes: it is asked for at every probe
        self.digest = 0  # equal where views are equal, whatever the order in which they came about
        self._put(Member(me, now_us, "own"))

    def _put(self, member: Member) -> None:
        former = self.members.get(member.said.relay)
        if former is not None:
            self.digest ^= mark_of(former.said)
        self.digest ^= mark_of(member.said)
        self.members[member.said.relay] = member
        self._here = None

    @property
    def own(self) -> Rumour:
        """What is said of this relay itself."""
        return self.members[self.me].said

    def here(self) -> list[str]:
        """The ids of all who count as there, this relay with them."""
        if self._here is None:
            self._here = [relay for relay, member in self.members.items() if member.here]
        return self._here

    def heeds(self, said: Rumour) -> bool:
        """Whether a rumour says more than is held."""
        if (member := self.members.get(said.relay)) is None:
            return True
        held = member.said
        if said.life != held.life:
            return said.life > held.life
        if held.state == "left" or said.mark != held.mark:
            return False
        if said.incarnation != held.incarnation:
            return said.incarnation > held.incarnation
        return STRENGTH[said.state] > STRENGTH[held.state]

    def take(self, said: Rumour, now_us: int, path: str) -> Event | None:
        """Hold what a rumour says, if it says more; the event, where that is a change to whoever asks."""
        if not self.heeds(said):
            return None
        former = self.members.get(said.relay)
        kept = former.since_us if former is not None and former.said.state == said.state else now_us
        self._put(Member(said, kept, path))
        what = change_of(former.said if former is not None else None, said)
        return Event(what, said.relay, said.life, now_us, said.by, path) if what else None

    def forget(self, before_us: int) -> None:
        """Let go of who has been gone for long."""
        for relay, member in list(self.members.items()):
            if not member.here and member.since_us < before_us and relay != self.me:
                del self.members[relay]

    def rows(self) -> list[Rumour]:
        """The whole table."""
        return [member.said for member in self.members.values()]


def change_of(former: Rumour | None, said: Rumour) -> Change | None:
    """What a rumour changes for those who ask who is there; None for nothing."""
    if former is None:
        return "joined" if said.state in HERE else None
    if said.life > former.life:
        return "new life" if said.state in HERE else "dead" if said.state == "dead" else "left"
    if said.state == former.state:
        return "moved" if said.address != former.address else None
    if said.state == "alive":
        return "back"
    return said.state


def shown(view: View, names: Iterable[str] | None = None) -> bytes:
    """The table as JSON, for staff: by relay what is held, since when (us) and why."""
    rows = {
        relay: {
            **msgspec.to_builtins(msgspec.structs.asdict(member.said)),
            "since_us": member.since_us,
            "path": member.path,
        }
        for relay, member in sorted(view.members.items())
        if names is None or relay in names
    }
    return msgspec.json.encode(rows)
