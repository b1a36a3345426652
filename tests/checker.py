"""An independent check of the rules over the events that a relay received and the actions it returned.

It keeps its own state and reads none of the decision engine's. ``Checker.step`` passes a batch of events to
the engine and raises ``AssertionError`` with the rule's name at the first action that breaks one.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from mossfront import DecisionEngine
from mossfront import interface as api


@dataclass
class Attempt:
    """One attempt, from the checker's records."""

    host: str
    sent_us: int
    expires_us: int
    open: bool = True
    may_have_run: bool = True


@dataclass
class MessageState:
    """One message, from the checker's records."""

    event: api.Arrival
    cls: api.MessageClass
    deadline_us: int
    arrival_order: int
    attempts: list[Attempt] = field(default_factory=list)
    finished: bool = False
    answers: int = 0

    def in_doubt_attempts(self) -> list[Attempt]:
        """Return the attempts that are in flight or may have run."""
        return [a for a in self.attempts if a.open or a.may_have_run]


class Checker:
    """Runs a decision engine and checks each of its actions."""

    def __init__(self, settings: api.Settings, seed: int = 1) -> None:
        """Start an engine to be checked."""
        self.settings, self.relay, self.now_us = settings, DecisionEngine(settings, seed), 0
        self.classes = {cls.name: cls for cls in settings.classes}
        self.separate_routes = {kind.name: kind.separate_routes for kind in settings.kinds}
        self.batch_sizes = {kind.name: kind.batch_size for kind in settings.kinds}
        self.messages: dict[str, MessageState] = {}
        self.entries: dict[str, api.EndpointEntry] = {}
        self.listings: dict[str, tuple[api.Listing, int]] = {}
        self.blocked_until_us: dict[str, int] = {}
        self.key_paused_until_us: dict[str, int] = {}
        self.open_calls: list[tuple[str, list[Attempt]]] = []
        self.actions: list[api.Action] = []

    def route_name(self, host: str) -> str:
        """Return the name of the route whose waits apply to this host: the host or its destination."""
        entry = self.entries[host]
        return host if self.separate_routes.get(entry.kind, False) else f"dest {entry.dest}"

    def step(self, now_us: int, events: Sequence[api.Event] = ()) -> list[api.Action]:
        """Pass one batch to the engine and check its actions."""
        assert now_us >= self.now_us, "the clock only advances"
        self.now_us = now_us
        for event in events:
            self._record_event(event)
        actions = self.relay.step(now_us, events)
        new_calls: dict[str, list[Attempt]] = {}
        for action in actions:
            self._check_action(action, new_calls)
        self.open_calls = [(h, parts) for h, parts in self.open_calls if any(a.open for a in parts)]
        assert len(self.open_calls) <= self.settings.max_calls, "max_calls: too many calls in flight"
        for message in self.messages.values():
            slack = self.settings.answer_slack_us + self.settings.round_us
            assert message.finished or now_us <= message.deadline_us + slack, (
                f"lost message: {message.event.id}"
            )
        self.actions += actions
        return actions

    def _record_event(self, event: api.Event) -> None:
        if isinstance(event, api.EndpointUpdate) and event.kind is not api.EndpointUpdateKind.FAILED:
            named = {entry.host for entry in event.entries}
            if event.kind is not api.EndpointUpdateKind.CHANGES:
                for host in self.listings:
                    if host not in named and self.listings[host][0] is not api.Listing.GONE:
                        self.listings[host] = (api.Listing.GONE, self.now_us)
            for entry in event.entries:
                self.entries[entry.host] = entry
                if self.listings.get(entry.host, (None, 0))[0] is not entry.listing:
                    self.listings[entry.host] = (entry.listing, self.now_us)
        elif isinstance(event, api.Arrival):
            self.messages[event.id] = MessageState(
                event, self.classes[event.cls], self.now_us + event.time_left_us, len(self.messages)
            )
        elif isinstance(event, api.MessageWithdrawn) and event.id in self.messages:
            self.messages[event.id].finished = True
        elif isinstance(event, api.Outcome):
            self._record_outcome(event)

    def _record_outcome(self, event: api.Outcome) -> None:
        message = self.messages[event.id]
        attempt = message.attempts[event.attempt]
        attempt.open, attempt.may_have_run = False, not event.verdict.never_ran
        if event.complete:
            message.finished = True
        if event.retry_after_us:
            name = self.route_name(event.host)
            self.blocked_until_us[name] = max(
                self.blocked_until_us.get(name, 0), self.now_us + event.retry_after_us
            )
        in_doubt_verdicts = (api.Verdict.TIMEOUT, api.Verdict.RESET, api.Verdict.CANCELLED)
        if message.cls.in_order and message.event.key and event.verdict in in_doubt_verdicts:
            self.key_paused_until_us[message.event.key] = self.now_us + self.settings.order_pause_us

    def _check_action(self, action: api.Action, new_calls: dict[str, list[Attempt]]) -> None:
        if isinstance(action, api.Send):
            self._check_send(self.messages[action.id], action, new_calls)
        elif isinstance(action, api.Refuse | api.Fail):
            message = self.messages[action.id]
            assert not message.finished, f"duplicate final answer: {action.id}"
            message.finished, message.answers = True, message.answers + 1
            if isinstance(action, api.Refuse) and (in_doubt := message.in_doubt_attempts()):
                cls = message.cls
                keyed_all = cls.effect is api.Effect.KEYED and not cls.scope_is_zone
                key_lasts_us = min(a.sent_us for a in in_doubt) + cls.window_us
                assert cls.effect is api.Effect.SAFE or (keyed_all and key_lasts_us >= message.deadline_us), (
                    "refused a message that may have run"
                )
        elif isinstance(action, api.Cancel):
            assert self.settings.may_cancel, "cancel is not allowed here"
            assert action.attempt < len(self.messages[action.id].attempts), "cancelled an attempt never made"
        elif isinstance(action, api.Probe):
            assert self.settings.may_probe, "probes are not allowed here"
        elif isinstance(action, api.Subscribe):
            assert self.settings.must_subscribe, "subscribed where the list is pushed"
        elif isinstance(action, api.SetTimer):
            assert action.delay_us >= self.settings.round_us, "timer shorter than the round"

    def _check_send(
        self, message: MessageState, action: api.Send, new_calls: dict[str, list[Attempt]]
    ) -> None:
        cls, entry = message.cls, self.entries[action.host]
        assert not message.finished, f"sent after its final answer: {action.id}"
        assert entry.dest == message.event.dest, "sent to another destination"
        assert len(message.attempts) < self.settings.max_attempts, "too many attempts"
        assert 0 < action.timeout_us <= message.deadline_us - self.now_us, (
            "timeout beyond the message's deadline"
        )
        if not self.settings.may_duplicate:
            assert not any(a.open for a in message.attempts), "two attempts in flight"
        in_doubt = message.in_doubt_attempts()
        if in_doubt and cls.effect is api.Effect.UNSAFE:
            raise AssertionError("double effect: an unsafe message sent again")
        if in_doubt and cls.effect is api.Effect.KEYED:
            assert self.now_us - min(a.sent_us for a in in_doubt) <= cls.window_us, "double effect: too late"
            if cls.scope_is_zone:
                zones = {self.entries[a.host].zone for a in in_doubt}
                assert zones == {entry.zone}, "double effect: outside the key's zone"
        listing, since_us = self.listings[action.host]
        if listing is not api.Listing.READY:
            assert self.now_us <= since_us + self.settings.drain_grace_us, "drain: sent past the grace"
        assert self.now_us >= self.blocked_until_us.get(self.route_name(action.host), 0), (
            "wait: sent before its end"
        )
        self._check_order(message)
        attempt = Attempt(action.host, self.now_us, self.now_us + action.timeout_us)
        message.attempts.append(attempt)
        parts = new_calls.get(action.host)
        if parts is None or len(parts) >= self.batch_sizes.get(entry.kind, 1):
            parts = new_calls[action.host] = []
            self.open_calls.append((action.host, parts))
        parts.append(attempt)

    def _check_order(self, message: MessageState) -> None:
        key = message.event.key
        if not (message.cls.in_order and key):
            return
        for other in self.messages.values():
            if other.arrival_order < message.arrival_order and other.cls.in_order and other.event.key == key:
                assert other.finished, "order: an earlier message is unfinished"
                assert not any(a.open for a in other.attempts), "order: an earlier attempt is in flight"
        if not message.attempts:
            assert self.now_us >= self.key_paused_until_us.get(key, 0), "order: the key is still paused"
