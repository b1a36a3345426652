"""The membership view: members, their lifetimes and states, the source of each, and changes. No I/O.

For one relay the higher lifetime number (``life``) wins, so an ended process lifetime never returns. Within
a lifetime the higher incarnation wins; only the process itself raises it. Within an incarnation suspect
overrides alive, and dead overrides both. A leave is final for its lifetime.
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
    """The latest update about one relay. ``since_us``: start of its state, by the local monotonic clock."""

    update: MemberUpdate
    since_us: int
    path: str  # own, probe, rumour or table: how it was received

    @property
    def is_live(self) -> bool:
        """Whether the member counts as live: alive, or only suspected."""
        return self.update.state in LIVE_STATES


@dataclass(frozen=True, slots=True)
class ViewEvent:
    """A change of the view, with the reporting relay and the path of the update."""

    change: Change
    relay: str
    life: int
    at_us: int
    by: str
    path: str


def digest_contribution(update: MemberUpdate) -> int:
    """Hash one member for the digest; 0 for a departed one, as each relay removes those at its own time."""
    if update.state not in LIVE_STATES:
        return 0
    text = f"{update.relay} {update.life} {update.mark} {update.incarnation} {update.state} {update.address}"
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=7).digest())


class View:
    """The members of the fleet as one relay knows them."""

    def __init__(self, own_update: MemberUpdate, now_us: int) -> None:
        self.own_id = own_update.relay
        self.members: dict[str, MemberEntry] = {}
        self._live_members: list[str] | None = None  # cached between changes: every probe reads it
        self.digest = 0  # XOR over the members: independent of update order
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
        """The update about this relay itself."""
        return self.members[self.own_id].update

    def live_members(self) -> list[str]:
        """Return the ids of all live members, this relay included."""
        if self._live_members is None:
            self._live_members = [relay for relay, member in self.members.items() if member.is_live]
        return self._live_members

    def supersedes(self, update: MemberUpdate) -> bool:
        """Return whether an update is newer than what is known about its relay."""
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
        """Apply an update if it supersedes the current one; return the event if members or states changed."""
        if not self.supersedes(update):
            return None
        former = self.members.get(update.relay)
        since_us = former.since_us if former is not None and former.update.state == update.state else now_us
        self._replace_entry(MemberEntry(update, since_us, path))
        change = classify_change(former.update if former is not None else None, update)
        return ViewEvent(change, update.relay, update.life, now_us, update.by, path) if change else None

    def remove_departed(self, before_us: int) -> None:
        """Remove members that departed before this time."""
        for relay, member in list(self.members.items()):
            if not member.is_live and member.since_us < before_us and relay != self.own_id:
                del self.members[relay]

    def updates(self) -> list[MemberUpdate]:
        """Return the updates of all members."""
        return [member.update for member in self.members.values()]


def classify_change(former: MemberUpdate | None, update: MemberUpdate) -> Change | None:
    """Classify the visible change from a former update to a new one; None if there is none."""
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
    """Encode the view as JSON for operators: by relay its update, ``since_us`` and path."""
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
