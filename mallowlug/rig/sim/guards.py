"""A watch on what the module decides, step by step, beside the judge of what came of it.

A wait or a drain is heeded twice: the module sends nothing there, and the partners' adapter writes nothing
that was decided before. Either alone may keep the rule over a whole run, so the judge cannot tell that the
other is gone. This watch sees events and actions alone, so it speaks of the module's own guards. No I/O.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from mossfront import interface as api

# Verdicts that prove that an attempt had no effect, in words of its own: the module's are under test.
NO_EFFECT = frozenset((api.Verdict.FULL, api.Verdict.CONNECT_FAILED, api.Verdict.NOT_SENT))
OVERDUE_US = 300_000  # behind the first step after a message's time within which its end has to be decided
MOST_TOLD = 20  # of one module's lapses


@dataclass(slots=True)
class Watched:
    """One message as the module was told of it."""

    cls: api.MessageClass
    due_us: int
    key: str
    tries: int  # made so far
    risky_us: int = -1  # when the first attempt that may have run was made; -1: none
    risky_zone: str = ""
    out: dict[int, tuple[str, int]] = field(default_factory=dict)  # by attempt without outcome: host, since
    over: bool = False
    late_us: int = -1  # the first step behind its time without an end: it may have stood still until then


class Watch:
    """What binds one module, from the events that it got. ``tell`` gets each lapse: its rule and a line."""

    def __init__(self, settings: api.Settings, tell: Callable[[str], None]) -> None:
        self._set, self._tell, self._left = settings, tell, MOST_TOLD
        self._classes = {cls.name: cls for cls in settings.classes}
        self._entries: dict[str, api.EndpointEntry] = {}
        self._waits: dict[str, int] = {}  # by route
        self._by_hand: set[str] = set()
        self._messages: dict[str, Watched] = {}
        self._lines: dict[str, list[str]] = {}  # by key: messages in the order in which they came

    def step(self, now_us: int, events: Iterable[api.Event], actions: Iterable[api.Action]) -> None:
        """Take in what one step was told, then look at what it did."""
        for event in events:
            self._event(now_us, event)
        done = list(actions)
        for action in done:  # all of a step leave at once, so ends come before what they let go
            if isinstance(action, api.Refuse | api.Fail) and action.id in self._messages:
                self._messages[action.id].over = True
        for action in done:
            if isinstance(action, api.Send):
                self._send(now_us, action)
        for ref, message in list(self._messages.items()):
            if message.over and not message.out:
                self._forget(ref, message)
            elif not message.over and now_us > message.due_us:
                if message.late_us < 0:
                    message.late_us = now_us
                elif now_us > message.late_us + OVERDUE_US:
                    self._lapse("lost", f"{ref} has no end {(now_us - message.due_us) // 1000} ms late")
                    message.over = True

    def _lapse(self, rule: str, line: str) -> None:
        self._left -= 1
        if self._left >= 0:
            self._tell(f"guard: {rule}: {line}")

    def _route(self, host: str) -> str:
        entry = self._entries.get(host)
        kinds = {kind.name: kind for kind in self._set.kinds}
        apart = entry is None or entry.kind not in kinds or kinds[entry.kind].separate_routes
        return host if entry is None or apart else f"dest {entry.dest}"

    def _event(self, now_us: int, event: api.Event) -> None:
        match event:
            case api.EndpointUpdate():
                self._roster(now_us, event)
            case api.Arrival():
                self._arrival(now_us, event)
            case api.Outcome():
                self._outcome(now_us, event)
            case api.CallEnded() if event.id in self._messages:
                self._messages[event.id].out.pop(event.attempt, None)
            case api.MessageWithdrawn() if event.id in self._messages:
                self._messages[event.id].over = True
            case api.EndpointSnapshot():
                self._wait(event.host, now_us + event.wait_us)
            case api.HostOverride():
                (self._by_hand.add if event.disabled else self._by_hand.discard)(event.host)
            case api.SettingsChanged():
                self._set = event.settings
                self._classes |= {cls.name: cls for cls in event.settings.classes}

    def _roster(self, now_us: int, event: api.EndpointUpdate) -> None:
        self._waits = {route: until_us for route, until_us in self._waits.items() if until_us > now_us}
        if event.kind is api.EndpointUpdateKind.FULL:
            self._entries.clear()
        for entry in event.entries:
            if entry.listing is api.Listing.GONE:
                self._entries.pop(entry.host, None)
            else:
                self._entries[entry.host] = entry

    def _arrival(self, now_us: int, event: api.Arrival) -> None:
        cls = event.rules.cls if event.rules is not None else self._classes.get(event.cls)
        if cls is None or event.id in self._messages:
            return
        reckoned_us = now_us if event.received_us < 0 else event.received_us
        risky_us = reckoned_us - event.in_doubt_age_us if event.in_doubt_age_us >= 0 else -1
        key = event.key if cls.in_order else ""
        self._messages[event.id] = Watched(
            cls, reckoned_us + event.time_left_us, key, event.attempts, risky_us, event.in_doubt_zone
        )
        if key:
            self._lines.setdefault(key, []).append(event.id)

    def _wait(self, host: str, until_us: int) -> None:
        route = self._route(host)
        self._waits[route] = max(self._waits.get(route, 0), until_us)

    def _outcome(self, now_us: int, event: api.Outcome) -> None:
        if event.retry_after_us > 0:
            self._wait(event.host, now_us + event.retry_after_us)
        if (message := self._messages.get(event.id)) is None or event.attempt not in message.out:
            return
        host, since_us = message.out[event.attempt]
        if not event.call_continues:
            del message.out[event.attempt]
        if event.verdict is api.Verdict.OK:
            message.over = True
        elif event.verdict not in NO_EFFECT and not 0 <= message.risky_us <= since_us:
            entry = self._entries.get(host)
            message.risky_us, message.risky_zone = since_us, entry.zone if entry else message.risky_zone

    def _send(self, now_us: int, action: api.Send) -> None:
        ref, host = action.id, action.host
        entry, message = self._entries.get(host), self._messages.get(ref)
        left_us = self._waits.get(self._route(host), 0) - now_us
        if left_us > 0:
            self._lapse("waits", f"{ref} sent to {host} {left_us // 1000} ms before its wait is over")
        if entry is None or entry.listing is not api.Listing.READY:
            self._lapse("drains", f"{ref} sent to {host}, which is not listed as ready")
        if host in self._by_hand:
            self._lapse("drains", f"{ref} sent to {host}, which is out by hand")
        if message is None:
            return
        if message.over:
            self._lapse("twice", f"{ref} sent again, though it is over")
        self._repeat(now_us, ref, message, entry)
        self._turn(ref, message)
        message.out[message.tries] = host, now_us
        message.tries += 1

    def _repeat(self, now_us: int, ref: str, message: Watched, entry: api.EndpointEntry | None) -> None:
        """Whether the class allows one more attempt behind those that may have run."""
        cls = message.cls
        if cls.effect is api.Effect.UNSAFE and (message.risky_us >= 0 or message.out):
            self._lapse("twice", f"{ref} is unsafe, and an attempt may have run or is out")
        elif cls.effect is api.Effect.KEYED and message.risky_us >= 0:
            if now_us > message.risky_us + cls.window_us:
                self._lapse("twice", f"{ref} sent again behind its window")
            elif cls.scope_is_zone and entry is not None and entry.zone != message.risky_zone:
                self._lapse("twice", f"{ref} sent again to zone {entry.zone}, not {message.risky_zone}")

    def _turn(self, ref: str, message: Watched) -> None:
        """Whether nothing before it in its key is unfinished."""
        for other in self._lines.get(message.key, ()) if message.key else ():
            if other == ref:
                return
            if (before := self._messages[other]).out or not before.over:
                self._lapse("order", f"{ref} sent while {other} before it is unfinished")
                return

    def _forget(self, ref: str, message: Watched) -> None:
        del self._messages[ref]
        if message.key:
            line = self._lines[message.key]
            line.remove(ref)
            if not line:
                del self._lines[message.key]
