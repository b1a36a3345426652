"""What the judge's rules have in common: a breach, and a class that sees events and speaks at the end."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from mallowlug.rig.judge import record as rec
from mallowlug.rig.judge.ledger import Books


@dataclass(frozen=True, slots=True)
class Breach:
    """One broken rule: when (us of the run), by which relay, which messages, and the figures that show it."""

    rule: str
    at_us: int
    relay: str
    ids: tuple[str, ...]
    detail: str

    def __str__(self) -> str:
        ids = ", ".join(self.ids[:4]) + (" ..." if len(self.ids) > 4 else "")
        return f"{self.at_us / 1e6:9.3f} s  {self.rule}: {self.relay}: {ids}: {self.detail}"


class Rule:
    """One rule: sees each event after the books have it, and speaks at the end."""

    name = ""

    def __init__(self, books: Books) -> None:
        self.books, self.checked = books, 0
        self.breaches: list[Breach] = []
        self.undecided: list[str] = []

    def see(self, event: rec.AnyEvent) -> None:
        """Take an event in."""

    def close(self) -> None:
        """The record has ended."""

    def broken(self, at_us: int, relay: str, ids: Iterable[str], detail: str) -> None:
        """Note a breach."""
        self.breaches.append(Breach(self.name, at_us, relay, tuple(ids), detail))
