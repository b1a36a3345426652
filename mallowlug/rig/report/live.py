"""State of a running run for the live view: counts of its events. No I/O."""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field

from mallowlug.rig.judge import record as rec

MAX_RECENT = 6  # recent events that are shown


@dataclass(slots=True)
class LiveState:
    """The present state of a run, as far as the sockets show it."""

    now_us: int = 0
    relays: dict[str, str] = field(default_factory=dict)
    counts: Counter[str] = field(default_factory=Counter)
    # By relay: accepted messages without a final result.
    open_messages: dict[str, int] = field(default_factory=dict)
    calls_in_flight: Counter[str] = field(default_factory=Counter)  # by endpoint
    endpoint_states: dict[str, str] = field(default_factory=dict)
    recent: deque[tuple[int, str]] = field(default_factory=lambda: deque(maxlen=MAX_RECENT))
    _submitted: dict[str, rec.MessageSubmitted] = field(default_factory=dict)
    _accepted: set[str] = field(default_factory=set)
    _calls: dict[int, str] = field(default_factory=dict)

    def apply(self, event: rec.AnyEvent) -> None:
        """Update the state with an event."""
        self.now_us = max(self.now_us, event.at)
        match event:
            case rec.ProcessEvent():
                self.relays[event.relay] = event.what
                if event.what in ("kill", "term", "hup", "exit"):
                    self.recent.append((event.at, f"{event.relay}: {event.what} {event.detail}"))
            case rec.MessageSubmitted():
                self.counts["asked"] += 1
                self._submitted[event.id] = event
            case rec.ClientOutcome():
                self.counts[event.what] += 1
                submitted = self._submitted.get(event.id)
                if event.what == "taken" and submitted is not None:
                    self._accepted.add(event.id)
                    self.open_messages[submitted.relay] = self.open_messages.get(submitted.relay, 0) + 1
            case rec.Call():
                self.counts["calls"] += 1
                self._calls[event.call] = event.host
                self.calls_in_flight[event.host] += 1
            case rec.CallAnswered():
                self._end_call(event.call)
                for ref, end in event.ends.items():
                    self.counts[f"calls {end}"] += 1
                    if end == "delivered":
                        self._end_message(ref)
            case rec.CallBroken():
                self._end_call(event.call)
            case rec.Notice():
                self.counts[event.result] += 1
                self._end_message(event.id)
            case rec.HostStateChange():
                self.endpoint_states[event.host] = event.state
                self.recent.append((event.at, f"{event.host}: {event.state}"))
            case rec.Annotation():
                self.recent.append((event.at, f"{event.what} {event.detail}"))

    def _end_call(self, call: int) -> None:
        if host := self._calls.pop(call, ""):
            self.calls_in_flight[host] -= 1

    def _end_message(self, ref: str) -> None:
        submitted = self._submitted.pop(ref, None)
        if submitted is not None and ref in self._accepted:
            self._accepted.discard(ref)
            self.open_messages[submitted.relay] -= 1
