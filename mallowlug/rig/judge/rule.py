"""Base of the judge's rules: ``Breach`` and ``Rule``."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from mallowlug.rig.judge import record as rec
from mallowlug.rig.judge.ledger import Ledger


@dataclass(frozen=True, slots=True)
class Breach:
    """One breach of a rule: its time (us of the run), the relay, the message ids and the evidence."""

    rule: str
    at_us: int
    relay: str
    ids: tuple[str, ...]
    detail: str

    def __str__(self) -> str:
        ids = ", ".join(self.ids[:4]) + (" ..." if len(self.ids) > 4 else "")
        return f"{self.at_us / 1e6:9.3f} s  {self.rule}: {self.relay}: {ids}: {self.detail}"


class Rule:
    """One rule: observes each event after the ledger has applied it, and reports breaches.

    ``checked`` counts the cases in which the rule could have been broken; ``undecided`` has reasons why the
    record does not show whether it was kept.
    """

    name = ""

    def __init__(self, ledger: Ledger) -> None:
        self.ledger, self.checked = ledger, 0
        self.breaches: list[Breach] = []
        self.undecided: list[str] = []

    def observe(self, event: rec.AnyEvent) -> None:
        """Process an event."""

    def finish(self) -> None:
        """Check what only the end of the record shows."""

    def report(self, at_us: int, relay: str, ids: Iterable[str], detail: str) -> None:
        """Record a breach of this rule."""
        self.breaches.append(Breach(self.name, at_us, relay, tuple(ids), detail))
