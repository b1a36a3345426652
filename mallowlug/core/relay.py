"""The relay: feeds ``DecisionEngine.step`` with what happens and carries out what it decides.

It owns which message owes which end. It decides nothing that the module can decide: it refuses at the door
what it cannot keep, and while it shuts down it starts no call that could not end.
"""

from __future__ import annotations

import asyncio
import logging
from collections import OrderedDict
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import asdict, dataclass, fields
from itertools import islice
from typing import Any

from mallowlug.core.clock import Clock
from mallowlug.core.disabled_hosts import DisabledHosts
from mallowlug.core.handover import EndpointRow, HandoverState
from mallowlug.core.journal import Attempt, Journal, JournalFullError, RecoveredMessage, StoredOutage
from mallowlug.core.listings import Listings
from mallowlug.core.metrics import Gauges, Metrics
from mallowlug.core.model import (
    Accepted,
    Address,
    Answer,
    Call,
    EndpointList,
    Failed,
    Notice,
    Part,
    PartOutcome,
    Refused,
    Submission,
)
from mallowlug.core.ports import Adapters
from mallowlug.core.reasons import UNKNOWN_OUTCOME, Event, RejectReason
from mossfront import DecisionEngine
from mossfront import interface as api

LOG = logging.getLogger(__name__)
IDLE_CHECK_INTERVAL_S = 0.25  # s between looks for destinations that may sleep
FLUSH_RETRY_S = 0.1  # s between attempts to write down what the disk did not take
MAX_HANDED_OVER_IDS = 512  # of them told to a successor
MAX_REMEMBERED_IDS = (
    4096  # ids that are over, so that a request that a client repeats is not taken for a new one
)
DEADLINE_SLACK_US = (
    50_000  # us: the protocol's slack; so near its end an answer may have come behind a message's time
)
UNKNOWN_AGE_US = 1 << 60  # us: an attempt so old that no window covers it
DROPPED_CLASS_GRACE_S = 2.0  # s in which a class that is dropped is still taken on, by its rules
SUBMISSION_FIELDS = [field.name for field in fields(Submission)]


def rules_to_record(cls: api.MessageClass, max_attempts: int) -> dict[str, Any]:
    """A set of rules as the journal keeps it."""
    return {**asdict(cls), "effect": cls.effect.value, "most": max_attempts}


def rules_from_record(record: dict[str, Any]) -> api.DeliveryRules:
    """What the journal has kept; ``KeyError``, ``TypeError`` or ``ValueError`` where it makes no sense."""
    class_fields = {name: value for name, value in record.items() if name != "most"}
    cls = api.MessageClass(**{**class_fields, "effect": api.Effect(record["effect"])})
    return api.DeliveryRules(cls, int(record["most"]))


@dataclass(slots=True)
class HeldMessage:
    """A message that owes its end, and how many attempts it had."""

    submission: Submission
    body: bytes
    effect: api.Effect
    attempts: int = 0
    last_outcome: str = UNKNOWN_OUTCOME  # how its last attempt ended


class RelayCore:
    """One relay's loop of steps between its ports and the module."""

    def __init__(
        self,
        *,
        settings: api.Settings,
        seed: int,
        journal: Journal,
        adapters: Adapters,
        clock: Clock,
        listings: Listings,
        metrics: Metrics,
        disabled_hosts: DisabledHosts,
        on_crash: Callable[[BaseException], None],
    ) -> None:
        self._settings, self._journal, self._on_crash, self._metrics = settings, journal, on_crash, metrics
        self._reasons = metrics.reasons
        self.clock, self._loop_time = clock, asyncio.get_running_loop().time
        self._engine = DecisionEngine(settings, seed)
        self._partners = adapters.partners(self._part_settled, self._part_released)
        self._directory = adapters.directory(self._apply_list_update, self._report_list_failure)
        self._notifier = adapters.notifier(self._notice_confirmed)
        self._held_messages: dict[str, HeldMessage] = {}  # messages that owe their end to the module
        self._completed: OrderedDict[str, None] = OrderedDict()
        self._pending_events: list[api.Event] = []
        self._step_timer: asyncio.TimerHandle | None = None
        self._engine_timer: asyncio.TimerHandle | None = (
            None  # the last that was asked for; the module asks again
        )
        self._next_step_s = 0.0  # when the next step is allowed
        self._step_time_s = 0.0  # the loop's time of the present step, from which its times count
        self._shutdown_at_s: float | None = None  # once shutting down: when the last call must have ended
        self._classes = {cls.name: cls for cls in settings.classes}
        journal.max_attempts = settings.max_attempts
        self._dropped_classes: dict[
            str, api.MessageClass
        ] = {}  # classes that clients may still name for a moment
        self._rules_numbers: dict[str, int] = {}
        self._rules_numbers = self._assign_rules_numbers(settings)
        self._flush_timer: asyncio.TimerHandle | None = None  # when what is owed to the disk is tried again
        self._listings, self._disabled_hosts = listings, disabled_hosts
        self._learned_rows: dict[
            str, EndpointRow
        ] = {}  # handed over, of endpoints that the module does not know yet
        self.sent_by_former_core = (
            0  # messages that a core before this one, in the same process, has written whole
        )
        self._retired, self._list_seq = False, -1  # version of the list that is held
        self.list_known = False  # whether a list is known, be it an old one
        self._deactivation_timer: asyncio.TimerHandle | None = (
            None  # when idle destinations are asked to sleep
        )

    def start(self, known_endpoints: EndpointList, handover: HandoverState | None = None) -> None:
        """Take up what the last life left, then follow the list; called before clients are answered.

        ``binds``: what a process that has handed over wrote down beside the journal.
        """
        self._notifier.start()
        self._disabled_hosts.on_change = self._set_host_disabled
        for host in self._disabled_hosts.hosts:
            self._set_host_disabled(host, True)
        self._apply_list_update(known_endpoints, api.EndpointUpdateKind.CACHED)
        now_us = self.clock()
        for message in self._journal.recovered.values():
            self._resume(message, now_us)
        if count := len(self._journal.recovered):
            LOG.info("journal: %d unfinished messages taken up", count)
        self._journal.recovered.clear()
        self._journal.drop_expired_outages(now_us)
        for listed in known_endpoints.hosts:
            if listed.entry.host in self._journal.outages:
                self._activate_destination(listed.entry.dest)
        for host, outage in self._journal.outages.items():
            left_us, served_share = outage.until_us - now_us, outage.served_percent / 100
            self._pending_events.append(api.OutageRecord(host, left_us, outage.kind, served_share))
        if handover is not None:
            self._apply_handover(handover, now_us)
        self._step()

    def _apply_handover(self, handover: HandoverState, now_us: int) -> None:
        """Go on from where the process before this one stood."""
        self._partners.restore_waits({route: until_us - now_us for route, until_us in handover.waits.items()})
        for message_id in handover.over:
            self._remember(message_id)
        self._learned_rows = {row[0]: row for row in handover.learned}
        updates = [event for event in self._pending_events if isinstance(event, api.EndpointUpdate)]
        self._post_learned_state(entry.host for event in updates for entry in event.entries)

    def _post_learned_state(self, hosts: Iterable[str]) -> None:
        """Tell the module what was learned of endpoints that it knows; of others it would not hear."""
        now_us = self.clock()
        for host in hosts:
            if (row := self._learned_rows.pop(host, None)) is not None:
                _, wait_us, quota, send_rate, announced_rate, cold_us, spaced_us = row
                remaining = max(0, wait_us - now_us), quota, send_rate, announced_rate
                cold_for_us = max(0, now_us - cold_us) if cold_us >= 0 else -1
                self._post(api.EndpointSnapshot(host, *remaining, cold_for_us, max(0, spaced_us - now_us)))

    def handover_state(self) -> HandoverState:
        """What binds a successor beside the journal."""
        now_us = self.clock()
        learned = [
            (e.host, now_us + e.wait_us, e.quota, e.pace, e.rate,
             now_us - e.cold_for_us if e.cold_for_us >= 0 else -1, now_us + e.next_call_in_us)
            for e in self._engine.learned()
        ]  # fmt: skip
        waits = {route: now_us + left_us for route, left_us in self._partners.remaining_waits().items()}
        completed_ids = list(self._completed)[-MAX_HANDED_OVER_IDS:]
        return HandoverState(waits, learned, self._list_seq, self._listings.all_rows(), completed_ids)

    def retire(self) -> None:
        """Let go of everything for a successor; calls that are out end here."""
        self.close()
        self._completed.update(dict.fromkeys(self._held_messages))
        self._held_messages.clear()
        self._retired = True

    def knows(self, message_id: str) -> bool:
        """Whether a message is, or was not long ago, taken on."""
        return message_id in self._held_messages or message_id in self._completed

    @property
    def spools(self) -> Mapping[str, int]:
        """By a door's file: how far it is adopted."""
        return self._journal.spools

    def forget_spool(self, name: str) -> None:
        """A door's file is gone."""
        self._journal.forget_spool(name)

    def pause(self, paused: bool) -> None:
        """Start no call, or start them again."""
        self._post(api.DispatchPaused(paused))

    def flush_journal(self) -> bool:
        """Whether the disk has taken all that the journal owes it."""
        try:
            self._journal.flush_pending()
            self._journal.sync()
        except JournalFullError:
            return False
        return True

    def adopt(
        self, submission: Submission, body: bytes, rules: dict[str, Any], spool_position: tuple[str, int]
    ) -> None:
        """Take on what a door has taken on already."""
        if self.knows(submission.id):
            self._journal.record_spool_position(*spool_position)
            return
        number = self._journal.rules_number(rules, self._rules_numbers.values())
        if (delivery_rules := self._delivery_rules(number)) is None:  # of another version
            self._journal.record_spool_position(*spool_position)
            self._notifier.send(Notice(submission.id, "dead"))
            return
        record_fields = {name: getattr(submission, name) for name in SUBMISSION_FIELDS}
        self._journal.adopt(submission.id, record_fields | {"rules": number}, body, spool_position)
        self._schedule_flush()
        self._held_messages[submission.id] = HeldMessage(submission, body, delivery_rules.cls.effect)
        self._activate_destination(submission.dest)
        self._post(self._arrival(submission, self.clock(), rules=delivery_rules))

    def rules_record(self, name: str) -> dict[str, Any]:
        """A class's rules as the journal keeps them."""
        return rules_to_record(self._message_class(name), self._settings.max_attempts)

    def count_rejected(self, submission: Submission, answer: Refused | Failed) -> None:
        """What is not taken on has ended at the door."""
        self._metrics.count_end(submission.cls, "deferred" if isinstance(answer, Refused) else "errored")
        self._reasons.count(Event.REFUSAL, answer.reason, message_id=submission.id)

    def _assign_rules_numbers(self, settings: api.Settings) -> dict[str, int]:
        """By class: the number of its rules in the journal; classes that are dropped keep theirs."""
        numbers = dict(self._rules_numbers)
        for cls in settings.classes:
            numbers[cls.name] = self._journal.rules_number(
                rules_to_record(cls, settings.max_attempts), numbers.values()
            )
        return numbers

    def change_settings(self, settings: api.Settings) -> None:
        """Other settings count from now on; what is open keeps its rules, and so does, for a moment, what
        clients who have not heard of the change yet bring of a class that is dropped.
        """
        if settings == self._settings:
            return
        former_classes, self._settings = self._classes, settings
        self._journal.max_attempts = settings.max_attempts
        self._classes = {cls.name: cls for cls in settings.classes}
        self._dropped_classes = {
            name: cls for name, cls in former_classes.items() if name not in self._classes
        }
        if not self._retired:
            self._rules_numbers = {name: self._rules_numbers[name] for name in former_classes}
            self._rules_numbers = self._assign_rules_numbers(settings)
        self._metrics.add_groups(self._classes)
        if self._retired:
            return
        self._partners.set_kinds(settings.kinds)
        self._post(api.SettingsChanged(settings))
        asyncio.get_running_loop().call_later(DROPPED_CLASS_GRACE_S, self._forget_dropped_classes, settings)

    def _forget_dropped_classes(self, settings: api.Settings) -> None:
        """What clients bring of a class that these settings do not know is refused from now on."""
        if self._settings is settings:
            self._dropped_classes = {}

    def change_discovery(self, discovery: Address) -> None:
        """The platform is to be found at another address from now on."""
        if self._retired:
            return
        self._directory.change_address(discovery)
        self._notifier.change_address(discovery)

    def shut_down(self, stop_s: float) -> None:
        """From now on only calls are started that end by then; the rest stays in the journal."""
        self._shutdown_at_s = stop_s if self._shutdown_at_s is None else min(stop_s, self._shutdown_at_s)

    def close(self) -> None:
        """Let go of everything."""
        for timer in (self._step_timer, self._engine_timer, self._flush_timer, self._deactivation_timer):
            if timer is not None:
                timer.cancel()
        self._directory.close()
        self._notifier.close()
        self._partners.close()

    @property
    def busy(self) -> bool:
        """Whether a call is out."""
        return self._partners.busy

    @property
    def idle(self) -> bool:
        """Whether no call is out and no notice is unconfirmed."""
        return self._retired or (
            not self.busy and not self._notifier.unconfirmed and not self._pending_events
        )

    @property
    def refusal(self) -> Refused:
        """A refusal at the door, with when to come back."""
        return self.refusal_for(RejectReason.SHUTTING_DOWN)

    def refusal_for(self, reason: RejectReason) -> Refused:
        """A refusal for that reason."""
        return Refused(self._settings.max_retry_after_us // 1000, reason)

    def is_listed(self, host: str) -> bool:
        """Whether the list as it is held names an endpoint."""
        return self._listings.is_listed(host)

    def _set_host_disabled(self, host: str, disabled: bool) -> None:
        """A host is out or back: that binds calls at once and the module with its next step."""
        if self._retired:
            return
        self._partners.set_disabled(host, disabled)
        self._post(api.HostOverride(host, disabled))

    @property
    def gauges(self) -> Gauges:
        """What a scrape reads."""
        listed_hosts, sent = self._listings.hosts, self.sent_by_former_core + self._partners.messages_written
        inactive = (host for host in self._disabled_hosts.hosts if host not in self._engine.endpoints)
        avoided = self._engine.avoided() + sum(self._listings.is_listed(host) for host in inactive)
        return Gauges(
            sent, len(self._held_messages), listed_hosts, min(listed_hosts, avoided), self._engine.phases()
        )

    def submit(self, submission: Submission, body: bytes) -> Answer:
        """Take a message on, or say why not; what is not taken on has ended here."""
        answer = self.reject_reason(submission) or self._accept(submission, body)
        if not isinstance(answer, Accepted):
            self.count_rejected(submission, answer)
        return answer

    def reject_reason(self, submission: Submission) -> Answer | None:
        """Why there is no place for a message, which the module would drop unseen or hold in vain; else None.

        A destination that nobody lists is refused: the list is seconds late, so it may be known when the
        client comes again. Without any list all are known.
        """
        if (cls := self._classes.get(submission.cls) or self._dropped_classes.get(submission.cls)) is None:
            return Failed(RejectReason.UNKNOWN_CLASS.value)
        if cls.effect is api.Effect.KEYED and not submission.key:
            return Failed(RejectReason.NO_KEY.value)
        if len(self._listings) and submission.dest not in self._listings:
            return self.refusal_for(RejectReason.UNKNOWN_DESTINATION)
        return None

    def _accept(self, submission: Submission, body: bytes) -> Answer:
        """Take a message on, journaled, or say why not; then nothing was kept.

        An id that is known is the same request once more, on a new connection: it is taken on already.
        """
        if self.knows(submission.id):
            return Accepted()
        if len(self._held_messages) >= self._settings.max_held_messages:
            return self.refusal_for(RejectReason.BACKLOG_FULL)
        try:
            record_fields = {name: getattr(submission, name) for name in SUBMISSION_FIELDS}
            number = self._rules_numbers[submission.cls]
            self._journal.accept(submission.id, record_fields | {"rules": number}, body)
        except JournalFullError as error:
            LOG.warning("a message was refused: %s", error, extra={"message_id": submission.id})
            return self.refusal_for(RejectReason.JOURNAL_FULL)
        self._held_messages[submission.id] = HeldMessage(
            submission, body, self._message_class(submission.cls).effect
        )
        self._activate_destination(submission.dest)
        rules = self._delivery_rules(number) if submission.cls in self._dropped_classes else None
        self._post(self._arrival(submission, self.clock(), rules=rules))
        return Accepted()

    def _message_class(self, name: str) -> api.MessageClass:
        return self._classes.get(name) or self._dropped_classes[name]

    def _delivery_rules(self, number: int) -> api.DeliveryRules | None:
        """The rules of that number; None where the journal does not know them."""
        if (record := self._journal.rules.get(number)) is None:
            return None
        try:
            return rules_from_record(record)
        except (KeyError, TypeError, ValueError) as error:
            LOG.error("journal: rules %d cannot be read: %s", number, error)
            return None

    def _arrival(self, submission: Submission, now_us: int, **extra_fields: Any) -> api.Arrival:
        remaining_us = submission.deadline_us - now_us
        return api.Arrival(
            submission.id,
            submission.dest,
            submission.cls,
            remaining_us,
            submission.tenant,
            submission.order,
            received_us=now_us,
            **extra_fields,
        )

    def _resume(self, message: RecoveredMessage, now_us: int) -> None:
        """Give a message of the last life back to the module, or send its notice once more.

        An attempt without a proof that it never ran may have run, also one that was out at the end.
        """
        if message.notice is not None:
            self._notifier.send(Notice(message.id, *message.notice))
            return
        rules = self._delivery_rules(message.fields.pop("rules", 0))
        try:
            submission = Submission(**message.fields)
        except TypeError as error:
            LOG.error(
                "journal: message %s cannot be read: %s", message.id, error, extra={"message_id": message.id}
            )
            submission = None
        if (
            rules is None and submission is not None and submission.cls in self._classes
        ):  # of a version without rules
            rules = self._delivery_rules(self._rules_numbers[submission.cls])
        if submission is None or rules is None:  # another version's or another site's
            self._journal.record_end(message.id, "dead", 0)
            self._notifier.send(Notice(message.id, "dead"))
            return
        attempts = 1 + max((a.number for a in message.attempts), default=-1)
        self._held_messages[message.id] = HeldMessage(submission, message.body, rules.cls.effect, attempts)
        self._activate_destination(submission.dest)
        extra_fields: dict[str, Any] = {
            "attempts": attempts,
            "rules": rules,
            "recovered_untried": not attempts,
        }
        if in_doubt := [a for a in message.attempts if not a.never_ran]:
            first = min(in_doubt, key=lambda attempt: attempt.at_us)
            # One from the future: the clock was set back between two lives, and nobody knows how old it is.
            age_us = now_us - first.at_us if first.at_us <= now_us else UNKNOWN_AGE_US
            extra_fields |= {"in_doubt_age_us": age_us, "in_doubt_zone": first.zone}
        self._pending_events.append(self._arrival(submission, now_us, **extra_fields))

    def _apply_list_update(self, update: EndpointList, kind: api.EndpointUpdateKind | None = None) -> None:
        """News of the list binds calls at once and the module with its next step."""
        active_update, self._list_seq = self._listings.apply(update, self._loop_time()), update.seq
        self.list_known |= kind is None or len(self._listings) > 0
        kind = kind or (api.EndpointUpdateKind.FULL if update.full else api.EndpointUpdateKind.CHANGES)
        self._publish_update(active_update, kind)

    def _publish_update(
        self, update: EndpointList, kind: api.EndpointUpdateKind, added_later: bool = False
    ) -> None:
        self._partners.apply(update)
        self._post(api.EndpointUpdate(kind, tuple(listed.entry for listed in update.hosts), added_later))
        if self._learned_rows:
            self._post_learned_state(listed.entry.host for listed in update.hosts)

    def _activate_destination(self, dest: int) -> None:
        """A destination gets a message: where it slept, all sides hear of it first."""
        for added_later, update in self._listings.activate(dest, self._loop_time()):
            self._publish_update(update, api.EndpointUpdateKind.REACTIVATED, added_later)
        if self._deactivation_timer is None and self._listings.over_limit:
            self._deactivation_timer = asyncio.get_running_loop().call_later(
                IDLE_CHECK_INTERVAL_S, self._deactivate_idle
            )

    def _deactivate_idle(self) -> None:
        """Ask the module to let go of what is not used."""
        self._deactivation_timer = None
        for dest in self._listings.idle_destinations(self._loop_time()):
            self._post(api.DestinationIdle(dest))
        if self._listings.over_limit:
            self._deactivation_timer = asyncio.get_running_loop().call_later(
                IDLE_CHECK_INTERVAL_S, self._deactivate_idle
            )

    def _report_list_failure(self) -> None:
        self._post(api.EndpointUpdate(api.EndpointUpdateKind.FAILED))

    def _notice_confirmed(self, message_id: str) -> None:
        self._journal.record_completed(message_id)
        self._schedule_flush()

    def _part_settled(self, call: Call, part: Part, outcome: PartOutcome) -> None:
        """An attempt is over: journal what it proves, then tell the module."""
        complete = outcome.complete
        if not complete and (held := self._held_messages.get(part.id)) is not None:
            held.last_outcome = outcome.verdict.value
        if complete:
            self._complete_message(part.id, outcome.verdict is api.Verdict.OK)
        elif outcome.verdict.never_ran:
            self._journal.record_never_ran(part.id, part.attempt)
        self._post(
            api.Outcome(
                part.id,
                part.attempt,
                call.host,
                outcome.verdict,
                int((self._loop_time() - call.sent_s) * 1e6),
                complete,
                outcome.retry_after_us,
                outcome.load_report.get("x0"),
                outcome.load_report.get("x1"),
                call_continues=outcome.call_continues,
            )
        )
        if complete:  # also for a part whose own time ran out before: the module must not send it again
            self._post(api.MessageWithdrawn(part.id))

    def _part_released(self, part: Part) -> None:
        """Nothing of an attempt that had its outcome before is on the wire any more."""
        self._post(api.CallEnded(part.id, part.attempt))

    def _complete_message(self, message_id: str, delivered: bool) -> None:
        """Nothing more is owed, unless that was so before, or nobody knows whether it came in time.

        A message's time counts from when its client sent it, here from when it was read; an answer counts
        from when it was written. One that was written behind the time delivers nothing, and the end is owed
        still; a notice for what is over does no harm.
        """
        if (held := self._held_messages.pop(message_id, None)) is None:
            return
        self._remember(message_id)
        remaining_us = held.submission.deadline_us - self.clock()
        if delivered:
            self._metrics.count_end(held.submission.cls, "answered" if remaining_us >= 0 else "errored")
        if delivered and remaining_us < DEADLINE_SLACK_US:
            self._journal.record_end(message_id, "dead", 0)
            self._notifier.send(Notice(message_id, "dead"))
        else:
            self._journal.record_completed(message_id)

    def _remember(self, message_id: str) -> None:
        self._completed[message_id] = None
        while len(self._completed) > MAX_REMEMBERED_IDS:
            self._completed.popitem(last=False)

    def _post(self, event: api.Event) -> None:
        """Put an event before the module at its next step, one round after the last at the earliest."""
        if self._retired:
            return
        self._pending_events.append(event)
        if self._step_timer is None:
            loop = asyncio.get_running_loop()
            self._step_timer = loop.call_at(max(loop.time(), self._next_step_s), self._step)

    def _step(self) -> None:
        """One batch through the module; an error here is no single message's and ends the process."""
        loop = asyncio.get_running_loop()
        if self._step_timer is not None:
            self._step_timer.cancel()
        self._step_time_s = loop.time()
        self._step_timer, self._next_step_s = None, self._step_time_s + self._settings.round_us / 1e6
        events, self._pending_events = self._pending_events, []
        try:
            self._carry_out(self._engine.step(self.clock(), events))
            self._schedule_flush()
        except Exception as error:
            LOG.critical("the step loop broke", exc_info=True)
            self._on_crash(error)

    def _carry_out(self, actions: list[api.Action]) -> None:
        """Journal all that the step decided, then let it out: one sync serves the whole step."""
        sends: dict[str, list[api.Send]] = {}
        notices: list[tuple[Notice, bool]] = []  # with whether a later life knows of it
        for action in actions:
            match action:
                case api.Send():
                    sends.setdefault(action.host, []).append(action)
                case api.Refuse():
                    notice = Notice(action.id, "bounced", action.retry_after_us // 1000)
                    notices += self._record_give_up(notice, action.reason)
                case api.Fail():
                    notices += self._record_give_up(Notice(action.id, "dead"), action.reason)
                case api.CloseIdle():
                    self._partners.close_idle(action.host)
                case api.Cancel():
                    self._partners.cancel(action.id, action.attempt)
                case api.Subscribe():
                    self._directory.subscribe()
                case api.SetTimer():
                    loop = asyncio.get_running_loop()
                    if self._engine_timer is not None:
                        self._engine_timer.cancel()
                    self._engine_timer = loop.call_later(action.delay_us / 1e6, self._post, api.TimerDue())
                case api.DestinationDeactivated():
                    self._partners.apply(self._listings.deactivate(action.dest))
                case api.OutageRecord():
                    percent = round(100 * action.served_share)
                    outage = StoredOutage(self.clock() + action.valid_for_us, action.kind, percent)
                    self._journal.record_outage(action.host, outage)
                case api.Log():
                    LOG.info("%s", action.line)
                case api.Probe():
                    LOG.error("a probe was asked for; endpoints are not probed")
        calls = [call for host, batch in sends.items() for call in self._build_calls(host, batch)]
        synced = self._sync_journal() if calls or notices else True
        for (
            notice,
            recoverable,
        ) in notices:  # out at once, and again until it is confirmed, whatever the disk says
            final_notice = notice if recoverable and synced else Notice(notice.message_id, "dead")
            if final_notice.result != notice.result:
                self._journal.replace_end_by_failure(notice.message_id)
            self._notifier.send(final_notice)
        for call in calls:
            if synced:
                self._partners.send(call)
            else:
                self._settle_not_sent(call)

    def _flush_pending(self) -> None:
        """Write down what is owed to the disk until it is taken: there may be no next record to bring it."""
        self._flush_timer = None
        self.clock.retry_save()
        try:
            self._journal.flush_pending()
        except JournalFullError as error:
            LOG.debug("journal: still owed: %s", error)
        self._schedule_flush()

    def _schedule_flush(self) -> None:
        if self._flush_timer is None and (self._journal.has_pending or not self.clock.saved):
            self._flush_timer = asyncio.get_running_loop().call_later(FLUSH_RETRY_S, self._flush_pending)

    def _sync_journal(self) -> bool:
        """Whether all that was journaled is as safe as the installation wants it."""
        try:
            self._journal.sync()
        except JournalFullError as error:
            LOG.error("calls were not made: %s", error)
            return False
        return True

    def _record_give_up(self, notice: Notice, reason: api.GiveUpReason) -> list[tuple[Notice, bool]]:
        """The module's final answer, journaled; none where the message is over already.

        Where the disk does not take it, a later life may try the message, beside the retry that a refusal
        invites: then only a failure is told, which promises nothing. What may be repeated is safe from that.
        """
        if (held := self._held_messages.pop(notice.message_id, None)) is None:
            return []
        self._reasons.count(Event.REFUSAL, reason.value, message_id=notice.message_id)
        recoverable = self._journal.record_end(notice.message_id, notice.result, notice.wait_ms)
        self._metrics.count_end(held.submission.cls, "deferred" if notice.result == "bounced" else "errored")
        self._remember(notice.message_id)
        return [(notice, recoverable or held.effect is api.Effect.SAFE)]

    def _settle_not_sent(self, call: Call) -> None:
        """A call whose attempts could not be journaled is not made."""
        for part in call.parts:
            self._part_settled(call, part, PartOutcome(api.Verdict.NOT_SENT))

    def _build_calls(self, host: str, batch: list[api.Send]) -> Iterator[Call]:
        """Sends of one step to one host share calls up to the kind's bound, journaled before any byte."""
        remaining = iter(batch)
        while chunk := list(islice(remaining, self._partners.batch_size(host))):
            chunk = [send for send in chunk if send.id in self._held_messages]
            if self._shutdown_at_s is not None:
                chunk = [send for send in chunk if self._ends_before_shutdown(send, self._shutdown_at_s)]
            parts, attempts, now_us = [], [], self.clock()
            for send in chunk:
                held = self._held_messages[send.id]
                attempt_number, held.attempts = held.attempts, held.attempts + 1
                if attempt_number:
                    self._reasons.count(Event.RETRY, held.last_outcome, message_id=send.id, host=host)
                parts.append(
                    Part(
                        send.id,
                        attempt_number,
                        held.submission.key,
                        held.body,
                        send.timeout_us,
                        send.start_within_us,
                    )
                )
                attempts.append(
                    (send.id, Attempt(attempt_number, host, self._partners.zone_of(host), now_us))
                )
            if not parts:
                continue
            call = Call(host, parts, self._step_time_s)
            try:
                self._journal.record_attempts(attempts)
            except JournalFullError as error:
                LOG.error("a call was not made: %s", error)
                self._settle_not_sent(call)
                continue
            yield call

    def _ends_before_shutdown(self, send: api.Send, stop_s: float) -> bool:
        """Whether the process lasts as long as the call may; else the journal keeps it for the next life."""
        return self._step_time_s + send.timeout_us / 1e6 <= stop_s
