"""The rule on destinations that return cold from an outage."""

from __future__ import annotations

from collections import defaultdict

from mallowlug.rig.judge import cold
from mallowlug.rig.judge import record as rec
from mallowlug.rig.judge.ledger import Ledger
from mallowlug.rig.judge.rule import Rule


class ColdReturnRule(Rule):
    """A destination that returns cold is not overloaded (``mallowlug/rig/judge/cold.py`` has the budget).

    A destination that collapses while it is cold was overloaded, whatever the budget says. It is a breach
    only if two thirds of the window's messages came from relays that saw a call fail or be refused there
    during the outage. A refused connection leaves no trace at a closed listener: if the record does not have
    every connect, a relay that had an unfinished message for the destination in the outage counts as having
    seen one.
    """

    name = "returns"

    def __init__(self, ledger: Ledger) -> None:
        super().__init__(ledger)
        self._outage_began: dict[str, int] = {}
        self._collapses: dict[str, list[int]] = defaultdict(list)
        self._outages: list[tuple[str, int, cold.ColdReturn]] = []  # route, start (us), return
        self._arrivals: dict[str, list[tuple[int, float, str]]] = defaultdict(list)
        self._connects: dict[str, list[tuple[int, str]]] = defaultdict(list)  # by route: time (us) and relay

    def observe(self, event: rec.AnyEvent) -> None:
        if isinstance(event, rec.HostStateChange) and event.host in self.ledger.hosts:
            route = self.ledger.route_of(event.host)
            if event.state == "fell":
                self._collapses[route].append(event.at)
            if event.state != "back":
                self._outage_began.setdefault(route, event.at)
            elif route in self._outage_began:
                per_s = sum(
                    h.per_s for h in self.ledger.hosts.values() if self.ledger.route_of(h.host) == route
                )
                back = cold.ColdReturn(event.at, per_s, event.cold_from, event.warm_us)
                self._outages.append((route, self._outage_began.pop(route), back))
        elif isinstance(event, rec.ConnectStarted) and event.host in self.ledger.hosts:
            self._connects[self.ledger.route_of(event.host)].append((event.at, event.relay))
        elif isinstance(event, rec.Call) and event.host in self.ledger.hosts:
            kind = self.ledger.kinds.get(self.ledger.hosts[event.host].kind)
            weight = cold.call_weight(len(event.ids), kind.item_cost if kind else 1.0)
            arrival = (event.at, weight, self.ledger.relay_of(event))
            self._arrivals[self.ledger.route_of(event.host)].append(arrival)

    def finish(self) -> None:
        for route, out_us, back in self._outages:
            self.checked += 1
            self._check_return(route, out_us, back)

    def _check_return(self, route: str, out_us: int, back: cold.ColdReturn) -> None:
        figures, arrivals = self.ledger.figures, self._arrivals[route]
        weights = [(at, weight) for at, weight, _ in arrivals]
        found = cold.first_overload(back, weights, figures.fall_multiple, figures.fall_us + figures.slack_us)
        window_us = figures.fall_us + figures.slack_us
        collapsed_us = min((at for at in self._collapses[route] if at >= back.at_us), default=-1)
        if 0 <= collapsed_us <= back.at_us + back.warm_us and (
            found is None or collapsed_us < found[0] + window_us
        ):
            start = max(back.at_us, collapsed_us - window_us)
            arrived = sum(weight for _, weight in cold.in_window(weights, start, collapsed_us + 1))
            found = start, arrived, back.budget(start, figures.fall_multiple, figures.fall_us)
        if found is None:
            return
        start, arrived, budget = found
        end = start + window_us
        informed_relays = self._informed_relays(route, out_us, back.at_us)
        by_relay = {relay: 0.0 for _, _, relay in arrivals}
        for at, weight, relay in arrivals:
            by_relay[relay] += weight * (start <= at < end)
        informed = sum(weight for relay, weight in by_relay.items() if relay in informed_relays)
        if 3 * informed >= 2 * arrived:
            top_relay = max(by_relay, key=lambda relay: by_relay[relay])
            detail = (
                f"{route} got {arrived:.1f} in a window for {budget:.1f}, {informed:.1f} from informed relays"
            )
            self.report(start, top_relay, [route], detail)

    def _informed_relays(self, route: str, out_us: int, back_us: int) -> set[str]:
        """Return the relays that saw, or must have seen, a call fail or be refused there in the outage."""
        informed_relays = {relay for at, relay in self._connects[route] if out_us <= at < back_us}
        destinations = {h.dest for h in self.ledger.hosts.values() if self.ledger.route_of(h.host) == route}
        for message in self.ledger.messages.values():
            attempts = [a for a in message.attempts if self.ledger.route_of(a.host) == route]
            failed = any(
                a.arrived_us < back_us and out_us <= (a.ended_us if a.ended_us >= 0 else back_us)
                and a.result != "delivered"
                for a in attempts
            )  # fmt: skip
            end_us = message.end_us if message.end_us >= 0 else self.ledger.end_us
            waited = message.accepted_us >= 0 and message.submitted.at < back_us and end_us > out_us
            waited = waited and not self.ledger.head.dials
            if failed or (waited and message.submitted.dest in destinations and not attempts):
                informed_relays.add(message.submitted.relay)
        return informed_relays
