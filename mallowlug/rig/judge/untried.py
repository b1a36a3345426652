"""The acceptance term on messages that a restart recovers before their first attempt."""

from __future__ import annotations

from collections import defaultdict

from mallowlug.rig.judge import record as rec
from mallowlug.rig.judge.ledger import Ledger, Message
from mallowlug.rig.judge.rule import Rule

MIN_RECOVERED = 20  # messages; the share of fewer recovered ones in a run shows nothing


class UntriedRule(Rule):
    """At most half of the recovered messages without an attempt are given up without a call.

    This is a term of acceptance over the whole run, not one of the six rules. A message counts if the time
    left when the relay is ready again still allows a call after others that wait as well (its class's target
    time), and if some relay delivered a message at its destination before its deadline: otherwise no relay
    could have.
    Exempt are messages for which, before their deadline, an endpoint of the destination was in an outage, so
    that sending slowly was required there; the relay's disk was full, so that no attempt could be recorded;
    or the relay was unreachable or paused.
    """

    name = "untried"

    def __init__(self, ledger: Ledger) -> None:
        super().__init__(ledger)
        self._recovered: dict[str, int] = {}  # by message: when the relay was ready again
        # By destination its outages, by relay its windows with a full disk: [start, end], end -1 if open.
        self._impaired: dict[int | str, list[list[int]]] = defaultdict(list)

    def observe(self, event: rec.AnyEvent) -> None:
        if isinstance(event, rec.HostStateChange) and event.host in self.ledger.hosts:
            self._track_window(self.ledger.hosts[event.host].dest, event.at, event.state == "back")
        elif isinstance(event, rec.ProcessEvent) and event.what in ("full", "room"):
            self._track_window(event.relay, event.at, event.what == "room")
        if (
            not isinstance(event, rec.ProcessEvent)
            or event.what != "ready"
            or not self.ledger.process_ends[event.relay]
        ):
            return
        ended_us = self.ledger.process_ends[event.relay][-1]
        for ref, message in self.ledger.messages.items():
            if (
                message.submitted.relay != event.relay
                or message.exempt
                or not 0 <= message.accepted_us < ended_us
            ):
                continue
            # The result may precede the ready event: a message can be given up as soon as it is recovered.
            if not 0 <= message.end_us < ended_us and all(a.arrived_us >= ended_us for a in message.attempts):
                self._recovered[ref] = event.at

    def _track_window(self, key: int | str, at_us: int, over: bool) -> None:
        """Open a window, or close the open one."""
        if not over:
            self._impaired[key].append([at_us, -1])
        elif self._impaired[key]:
            self._impaired[key][-1][1] = at_us

    def _excused(self, message: Message, start_us: int, end_us: int) -> bool:
        """Return whether an outage or the relay's state prevented an attempt between two times."""
        relay = message.submitted.relay
        windows = [*self._impaired[message.submitted.dest], *self._impaired[relay]]
        windows += self.ledger.unresponsive[relay] + self.ledger.cut_off[relay]
        return any(start <= end_us and (end < 0 or start_us <= end) for start, end in windows)

    def finish(self) -> None:
        delivered: dict[int, list[int]] = defaultdict(list)
        for message in self.ledger.messages.values():
            if message.delivered_us >= 0:
                delivered[message.submitted.dest].append(message.delivered_us)
        given_up: list[tuple[int, Message]] = []
        for ref, ready_us in self._recovered.items():
            message = self.ledger.messages[ref]
            until_us = message.submitted.at + message.submitted.left_us
            if until_us - ready_us < (message.cls.aim_us if message.cls is not None else 0):
                continue
            if not message.attempts:
                deliverable = any(ready_us <= at <= until_us for at in delivered[message.submitted.dest])
                # Without a final result it was lost with its machine, or the run ended.
                if message.end_us < 0 or not deliverable or self._excused(message, ready_us, until_us):
                    continue
                given_up.append((message.end_us, message))
            self.checked += 1
        if self.checked >= MIN_RECOVERED and 2 * len(given_up) > self.checked:
            at_us, last = given_up[-1]
            ids = [message.submitted.id for _, message in given_up]
            self.report(
                at_us, last.submitted.relay, ids, f"{len(given_up)} of {self.checked} given up without a call"
            )
