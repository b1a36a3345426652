"""An invariant monitor of the decision engine, step by step, beside the judge of whole runs.

A wait or a drain is enforced twice: the engine does not send there, and the partners' adapter does not write
what was decided before. Either alone may keep the rule over a whole run, so the judge cannot detect that the
other one is missing. The monitor sees only events and actions, so it checks the engine's own guards. No I/O.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from mossfront import interface as api

# Verdicts that prove that an attempt had no effect; listed anew, as the engine's list is under test.
NO_EFFECT = frozenset((api.Verdict.FULL, api.Verdict.CONNECT_FAILED, api.Verdict.NOT_SENT))
OVERDUE_US = 300_000  # us after the first step past a deadline by which the message must have a final result
MAX_REPORTS = 20  # violations reported for one engine


@dataclass(slots=True)
class MonitoredMessage:
    """The state of one message as the engine's events and actions show it."""

    cls: api.MessageClass
    due_us: int
    key: str
    attempts: int  # attempts so far
    in_doubt_us: int = -1  # start of the first in-doubt attempt; -1: none
    in_doubt_zone: str = ""
    # By attempt without an outcome: its host and start.
    pending_attempts: dict[int, tuple[str, int]] = field(default_factory=dict)
    finished: bool = False
    # First step past its deadline without a result: the process may have been suspended before it.
    overdue_since_us: int = -1


class InvariantMonitor:
    """Checks one engine's actions against the events that it received; ``report`` gets each violation."""

    def __init__(self, settings: api.Settings, report: Callable[[str], None]) -> None:
        self._settings, self._report, self._reports_left = settings, report, MAX_REPORTS
        self._classes = {cls.name: cls for cls in settings.classes}
        self._entries: dict[str, api.EndpointEntry] = {}
        self._waits: dict[str, int] = {}  # wait end by route
        self._disabled: set[str] = set()
        self._messages: dict[str, MonitoredMessage] = {}
        self._key_queues: dict[str, list[str]] = {}  # by ordering key: message ids in order of arrival

    def step(self, now_us: int, events: Iterable[api.Event], actions: Iterable[api.Action]) -> None:
        """Apply the events of a step, then check its actions."""
        for event in events:
            self._apply_event(now_us, event)
        done = list(actions)
        # A step's actions leave together, so its final results are applied before the sends that they allow.
        for action in done:
            if isinstance(action, api.Refuse | api.Fail) and action.id in self._messages:
                self._messages[action.id].finished = True
        for action in done:
            if isinstance(action, api.Send):
                self._check_send(now_us, action)
        for ref, message in list(self._messages.items()):
            if message.finished and not message.pending_attempts:
                self._forget(ref, message)
            elif not message.finished and now_us > message.due_us:
                if message.overdue_since_us < 0:
                    message.overdue_since_us = now_us
                elif now_us > message.overdue_since_us + OVERDUE_US:
                    self._violation(
                        "lost",
                        f"{ref} has no final result {(now_us - message.due_us) // 1000} ms past its deadline",
                    )
                    message.finished = True

    def _violation(self, rule: str, line: str) -> None:
        self._reports_left -= 1
        if self._reports_left >= 0:
            self._report(f"guard: {rule}: {line}")

    def _route(self, host: str) -> str:
        entry = self._entries.get(host)
        kinds = {kind.name: kind for kind in self._settings.kinds}
        separate = entry is None or entry.kind not in kinds or kinds[entry.kind].separate_routes
        return host if entry is None or separate else f"dest {entry.dest}"

    def _apply_event(self, now_us: int, event: api.Event) -> None:
        match event:
            case api.EndpointUpdate():
                self._apply_update(now_us, event)
            case api.Arrival():
                self._apply_arrival(now_us, event)
            case api.Outcome():
                self._apply_outcome(now_us, event)
            case api.CallEnded() if event.id in self._messages:
                self._messages[event.id].pending_attempts.pop(event.attempt, None)
            case api.MessageWithdrawn() if event.id in self._messages:
                self._messages[event.id].finished = True
            case api.EndpointSnapshot():
                self._record_wait(event.host, now_us + event.wait_us)
            case api.HostOverride():
                (self._disabled.add if event.disabled else self._disabled.discard)(event.host)
            case api.SettingsChanged():
                self._settings = event.settings
                self._classes |= {cls.name: cls for cls in event.settings.classes}

    def _apply_update(self, now_us: int, event: api.EndpointUpdate) -> None:
        self._waits = {route: until_us for route, until_us in self._waits.items() if until_us > now_us}
        if event.kind is api.EndpointUpdateKind.FULL:
            self._entries.clear()
        for entry in event.entries:
            if entry.listing is api.Listing.GONE:
                self._entries.pop(entry.host, None)
            else:
                self._entries[entry.host] = entry

    def _apply_arrival(self, now_us: int, event: api.Arrival) -> None:
        cls = event.rules.cls if event.rules is not None else self._classes.get(event.cls)
        if cls is None or event.id in self._messages:
            return
        received_us = now_us if event.received_us < 0 else event.received_us
        in_doubt_us = received_us - event.in_doubt_age_us if event.in_doubt_age_us >= 0 else -1
        key = event.key if cls.in_order else ""
        self._messages[event.id] = MonitoredMessage(
            cls, received_us + event.time_left_us, key, event.attempts, in_doubt_us, event.in_doubt_zone
        )
        if key:
            self._key_queues.setdefault(key, []).append(event.id)

    def _record_wait(self, host: str, until_us: int) -> None:
        route = self._route(host)
        self._waits[route] = max(self._waits.get(route, 0), until_us)

    def _apply_outcome(self, now_us: int, event: api.Outcome) -> None:
        if event.retry_after_us > 0:
            self._record_wait(event.host, now_us + event.retry_after_us)
        if (message := self._messages.get(event.id)) is None or event.attempt not in message.pending_attempts:
            return
        host, since_us = message.pending_attempts[event.attempt]
        if not event.call_continues:
            del message.pending_attempts[event.attempt]
        if event.verdict is api.Verdict.OK:
            message.finished = True
        elif event.verdict not in NO_EFFECT and not 0 <= message.in_doubt_us <= since_us:
            entry = self._entries.get(host)
            message.in_doubt_us, message.in_doubt_zone = (
                since_us,
                entry.zone if entry else message.in_doubt_zone,
            )

    def _check_send(self, now_us: int, action: api.Send) -> None:
        ref, host = action.id, action.host
        entry, message = self._entries.get(host), self._messages.get(ref)
        left_us = self._waits.get(self._route(host), 0) - now_us
        if left_us > 0:
            self._violation("waits", f"{ref} sent to {host} {left_us // 1000} ms before its wait is over")
        if entry is None or entry.listing is not api.Listing.READY:
            self._violation("drains", f"{ref} sent to {host}, which is not listed as ready")
        if host in self._disabled:
            self._violation("drains", f"{ref} sent to {host}, which an operator has disabled")
        if message is None:
            return
        if message.finished:
            self._violation("twice", f"{ref} sent again after its final result")
        self._check_repeat(now_us, ref, message, entry)
        self._check_order(ref, message)
        message.pending_attempts[message.attempts] = host, now_us
        message.attempts += 1

    def _check_repeat(
        self, now_us: int, ref: str, message: MonitoredMessage, entry: api.EndpointEntry | None
    ) -> None:
        """Check that the class allows another attempt after the in-doubt ones."""
        cls = message.cls
        if cls.effect is api.Effect.UNSAFE and (message.in_doubt_us >= 0 or message.pending_attempts):
            self._violation("twice", f"{ref} is unsafe, and an attempt is in doubt or pending")
        elif cls.effect is api.Effect.KEYED and message.in_doubt_us >= 0:
            if now_us > message.in_doubt_us + cls.window_us:
                self._violation("twice", f"{ref} sent again after its deduplication window")
            elif cls.scope_is_zone and entry is not None and entry.zone != message.in_doubt_zone:
                self._violation(
                    "twice", f"{ref} sent again to zone {entry.zone}, not {message.in_doubt_zone}"
                )

    def _check_order(self, ref: str, message: MonitoredMessage) -> None:
        """Check that no earlier message of the same ordering key is unfinished."""
        for other in self._key_queues.get(message.key, ()) if message.key else ():
            if other == ref:
                return
            if (before := self._messages[other]).pending_attempts or not before.finished:
                self._violation("order", f"{ref} sent while {other} before it is unfinished")
                return

    def _forget(self, ref: str, message: MonitoredMessage) -> None:
        del self._messages[ref]
        if message.key:
            queue = self._key_queues[message.key]
            queue.remove(ref)
            if not queue:
                del self._key_queues[message.key]
