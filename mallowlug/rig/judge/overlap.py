"""The protocol's term that a connection carries one call at a time."""

from __future__ import annotations

from mallowlug.rig.judge import record as rec
from mallowlug.rig.judge.ledger import Ledger
from mallowlug.rig.judge.rule import Rule


class OverlapRule(Rule):
    """No call begins on a connection before the call ahead of it is answered.

    A relay that does so has taken something else for that call's answer. Each call is reported once.
    """

    name = "overlap"

    def __init__(self, ledger: Ledger) -> None:
        super().__init__(ledger)
        self._last_calls: dict[int, rec.Call] = {}  # by connection
        self._reported: set[int] = set()  # numbers of the calls that were overtaken

    def observe(self, event: rec.AnyEvent) -> None:
        if isinstance(event, rec.CallOverlapped) and event.call in self.ledger.call_of:
            self._report_overtaken(event.at, self.ledger.call_of[event.call])
        elif isinstance(event, rec.Call) and event.connection:
            self.checked += 1
            last = self._last_calls.get(event.connection)
            if last is not None and not self._ended_before(last, event.began):
                self._report_overtaken(event.began, last)
            self._last_calls[event.connection] = event

    def _ended_before(self, call: rec.Call, at_us: int) -> bool:
        return all(0 <= attempt.ended_us <= at_us for _, attempt in self.ledger.calls[call.call])

    def _report_overtaken(self, at_us: int, call: rec.Call) -> None:
        if call.call not in self._reported:
            self._reported.add(call.call)
            detail = f"its call at {call.host} had no answer when the next one began on its connection"
            self.report(at_us, self.ledger.relay_of(call), call.ids, detail)
