"""What a run looks like while it goes on: counts kept from its events. No I/O."""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field

from mallowlug.rig.judge import record as rec

LAST = 6  # lines of what happened


@dataclass(slots=True)
class Live:
    """The present state of a run, as far as the sockets show it."""

    now_us: int = 0
    relays: dict[str, str] = field(default_factory=dict)
    counts: Counter[str] = field(default_factory=Counter)
    open: dict[str, int] = field(default_factory=dict)  # by relay: messages taken on that have no end
    out: Counter[str] = field(default_factory=Counter)  # by endpoint: calls in flight
    life: dict[str, str] = field(default_factory=dict)
    happened: deque[tuple[int, str]] = field(default_factory=lambda: deque(maxlen=LAST))
    _asks: dict[str, rec.MessageSubmitted] = field(default_factory=dict)
    _taken: set[str] = field(default_factory=set)
    _calls: dict[int, str] = field(default_factory=dict)

    def see(self, event: rec.AnyEvent) -> None:
        """Take an event in."""
        self.now_us = max(self.now_us, event.at)
        match event:
            case rec.ProcessEvent():
                self.relays[event.relay] = event.what
                if event.what in ("kill", "term", "hup", "exit"):
                    self.happened.append((event.at, f"{event.relay}: {event.what} {event.detail}"))
            case rec.MessageSubmitted():
                self.counts["asked"] += 1
                self._asks[event.id] = event
            case rec.ClientOutcome():
                self.counts[event.what] += 1
                ask = self._asks.get(event.id)
                if event.what == "taken" and ask is not None:
                    self._taken.add(event.id)
                    self.open[ask.relay] = self.open.get(ask.relay, 0) + 1
            case rec.Call():
                self.counts["calls"] += 1
                self._calls[event.call] = event.host
                self.out[event.host] += 1
            case rec.CallAnswered():
                self._settled(event.call)
                for ref, end in event.ends.items():
                    self.counts[f"calls {end}"] += 1
                    if end == "delivered":
                        self._over(ref)
            case rec.CallBroken():
                self._settled(event.call)
            case rec.Notice():
                self.counts[event.result] += 1
                self._over(event.id)
            case rec.HostStateChange():
                self.life[event.host] = event.state
                self.happened.append((event.at, f"{event.host}: {event.state}"))
            case rec.Annotation():
                self.happened.append((event.at, f"{event.what} {event.detail}"))

    def _settled(self, call: int) -> None:
        if host := self._calls.pop(call, ""):
            self.out[host] -= 1

    def _over(self, ref: str) -> None:
        ask = self._asks.pop(ref, None)
        if ask is not None and ref in self._taken:
            self._taken.discard(ref)
            self.open[ask.relay] -= 1
