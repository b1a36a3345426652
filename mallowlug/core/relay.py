"""The relay core: passes events to ``DecisionEngine.step`` and executes the actions that it returns.

It tracks every accepted message until its final result. Decisions are left to the decision engine, with two
exceptions: a message that cannot be stored is rejected at submission, and during shutdown no call is started
that might not finish in time.
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
from mallowlug.core.journal import Journal, JournalFullError
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
from mallowlug.core.reasons import UNKNOWN_OUTCOME, Event, RejectReason, ResultInDoubt
from mallowlug.core.recovered_state import Attempt, RecoveredMessage, StoredOutage
from mossfront import DecisionEngine
from mossfront import interface as api

LOG = logging.getLogger(__name__)
IDLE_CHECK_INTERVAL_S = 0.25  # between checks for destinations that may become inactive
FLUSH_RETRY_S = 0.1  # between attempts to write records that the disk did not take
MAX_HANDED_OVER_IDS = 512  # of the remembered ids, the most recent, which an upgrade hands over
# Ids of completed messages to remember, so that a request repeated by a client is not accepted as new.
MAX_REMEMBERED_IDS = 4096
# The client protocol's slack. A response this close to the deadline may have been written after it.
DEADLINE_SLACK_US = 50_000
UNKNOWN_AGE_US = 1 << 60  # age of an attempt of unknown age: beyond every deduplication window
DROPPED_CLASS_GRACE_S = 2.0  # how long messages of a removed class are still accepted, under its old rules
SUBMISSION_FIELDS = [field.name for field in fields(Submission)]


def rules_to_record(cls: api.MessageClass, max_attempts: int) -> dict[str, Any]:
    """Return a class's delivery rules in the form stored in the journal."""
    return {**asdict(cls), "effect": cls.effect.value, "most": max_attempts}


def rules_from_record(record: dict[str, Any]) -> api.DeliveryRules:
    """Parse rules stored by ``rules_to_record``; raises ``KeyError``, ``TypeError`` or ``ValueError``."""
    class_fields = {name: value for name, value in record.items() if name != "most"}
    cls = api.MessageClass(**{**class_fields, "effect": api.Effect(record["effect"])})
    return api.DeliveryRules(cls, int(record["most"]))


@dataclass(slots=True)
class HeldMessage:
    """An accepted message without a final result, and the number of its attempts."""

    submission: Submission
    body: bytes
    effect: api.Effect
    attempts: int = 0
    last_outcome: str = UNKNOWN_OUTCOME  # of its last attempt
    may_have_run: bool = False  # whether an attempt that has ended, or is of a former process, may have run


@dataclass(frozen=True, slots=True)
class UndeliveredResult:
    """The final result that the engine decided for a message that it gave up.

    ``recoverable``: a restart keeps to it, so a refusal may be told as it is.
    """

    notice: Notice
    recoverable: bool
    may_have_run: bool


class RelayCore:
    """The step loop between one relay's adapters and its decision engine."""

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
        self._held_messages: dict[str, HeldMessage] = {}  # by message id
        self._completed: OrderedDict[str, None] = OrderedDict()  # ids of completed messages, oldest first
        self._pending_events: list[api.Event] = []
        self._step_timer: asyncio.TimerHandle | None = None
        # The latest requested timer; it replaces the one before, as the engine requests another when needed.
        self._engine_timer: asyncio.TimerHandle | None = None
        self._next_step_s = 0.0  # earliest loop time of the next step
        self._step_time_s = 0.0  # loop time of the current step; the limits of its calls count from here
        self._shutdown_at_s: float | None = None  # while shutting down: loop time by which calls must end
        self._classes = {cls.name: cls for cls in settings.classes}
        journal.max_attempts = settings.max_attempts
        # Removed by a settings change, but still accepted for DROPPED_CLASS_GRACE_S.
        self._dropped_classes: dict[str, api.MessageClass] = {}
        self._rules_numbers: dict[str, int] = {}  # by class: the number of its rules in the journal
        self._rules_numbers = self._assign_rules_numbers(settings)
        self._flush_timer: asyncio.TimerHandle | None = None  # retries pending writes
        self._listings, self._disabled_hosts = listings, disabled_hosts
        # Handed-over state of endpoints that the engine does not know yet.
        self._learned_rows: dict[str, EndpointRow] = {}
        self.sent_by_former_core = 0  # messages written completely by the previous core of this process
        self._retired, self._list_seq = False, -1  # list version; -1: no list yet
        self.list_known = False  # whether an endpoint list is known, possibly an old one
        self._deactivation_timer: asyncio.TimerHandle | None = None  # next check for idle destinations

    def start(self, known_endpoints: EndpointList, handover: HandoverState | None = None) -> None:
        """Resume the unfinished messages of the previous run and apply the endpoint list known at the start.

        Called before any client is answered. ``handover``: the state that the previous process handed over
        in an upgrade, beside the journal.
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
            LOG.info("journal: %d unfinished messages recovered", count)
        self._journal.recovered.clear()
        self._journal.drop_expired_outages(now_us)
        for endpoint in known_endpoints.hosts:
            if endpoint.entry.host in self._journal.outages:
                self._activate_destination(endpoint.entry.dest)
        for host, outage in self._journal.outages.items():
            remaining_us, served_share = outage.until_us - now_us, outage.served_percent / 100
            self._pending_events.append(api.OutageRecord(host, remaining_us, outage.kind, served_share))
        if handover is not None:
            self._apply_handover(handover, now_us)
        self._step()

    def _apply_handover(self, handover: HandoverState, now_us: int) -> None:
        """Apply the state handed over by the previous process."""
        self._partners.restore_waits({route: until_us - now_us for route, until_us in handover.waits.items()})
        for message_id in handover.over:
            self._remember(message_id)
        self._learned_rows = {row[0]: row for row in handover.learned}
        updates = [event for event in self._pending_events if isinstance(event, api.EndpointUpdate)]
        self._post_learned_state(entry.host for event in updates for entry in event.entries)

    def _post_learned_state(self, hosts: Iterable[str]) -> None:
        """Pass handed-over state to the engine for endpoints it knows; for others it would be ignored."""
        now_us = self.clock()
        for host in hosts:
            if (row := self._learned_rows.pop(host, None)) is not None:
                _, wait_us, quota, send_rate, announced_rate, cold_us, spaced_us = row
                remaining = max(0, wait_us - now_us), quota, send_rate, announced_rate
                cold_for_us = max(0, now_us - cold_us) if cold_us >= 0 else -1
                self._post(api.EndpointSnapshot(host, *remaining, cold_for_us, max(0, spaced_us - now_us)))

    def handover_state(self) -> HandoverState:
        """Return the state that the next process needs beside the journal."""
        now_us = self.clock()
        learned = [
            (e.host, now_us + e.wait_us, e.quota, e.send_rate_per_s, e.announced_rate_per_s,
             now_us - e.cold_for_us if e.cold_for_us >= 0 else -1, now_us + e.next_call_in_us)
            for e in self._engine.endpoint_snapshots()
        ]  # fmt: skip
        waits = {route: now_us + left_us for route, left_us in self._partners.remaining_waits().items()}
        completed_ids = list(self._completed)[-MAX_HANDED_OVER_IDS:]
        return HandoverState(waits, learned, self._list_seq, self._listings.all_rows(), completed_ids)

    def retire(self) -> None:
        """Release everything for the next process; calls in progress are aborted.

        Open messages count as known from now on, so a repeated request is still answered as accepted.
        """
        self.close()
        self._completed.update(dict.fromkeys(self._held_messages))
        self._held_messages.clear()
        self._retired = True

    def knows(self, message_id: str) -> bool:
        """Whether a message is held or was completed recently."""
        return message_id in self._held_messages or message_id in self._completed

    @property
    def spools(self) -> Mapping[str, int]:
        """Bytes already adopted from each spool file, by file name."""
        return self._journal.spools

    def forget_spool(self, name: str) -> None:
        """Drop the position of a spool file that no longer exists."""
        self._journal.forget_spool(name)

    def pause(self, paused: bool) -> None:
        """Pause or resume the start of new calls."""
        self._post(api.DispatchPaused(paused))

    def flush_journal(self) -> bool:
        """Write and sync all pending journal records; False where the disk does not take them."""
        try:
            self._journal.flush_pending()
            self._journal.sync()
        except JournalFullError:
            return False
        return True

    def adopt(
        self, submission: Submission, body: bytes, rules: dict[str, Any], spool_position: tuple[str, int]
    ) -> None:
        """Take over a message that a spool has accepted already.

        ``rules``: the delivery rules it was accepted under. ``spool_position``: the spool's file name and the
        position after this message, journaled together with it.
        """
        if self.knows(submission.id):
            self._journal.record_spool_position(*spool_position)
            return
        rules_number = self._journal.rules_number(rules, self._rules_numbers.values())
        # Unreadable rules were written by another version.
        if (delivery_rules := self._delivery_rules(rules_number)) is None:
            self._journal.record_spool_position(*spool_position)
            self._notifier.send(Notice(submission.id, "dead"))
            return
        record_fields = {name: getattr(submission, name) for name in SUBMISSION_FIELDS}
        self._journal.adopt(submission.id, record_fields | {"rules": rules_number}, body, spool_position)
        self._schedule_flush()
        self._held_messages[submission.id] = HeldMessage(submission, body, delivery_rules.cls.effect)
        self._activate_destination(submission.dest)
        self._post(self._arrival(submission, self.clock(), rules=delivery_rules))

    def rules_record(self, name: str) -> dict[str, Any]:
        """Return a class's delivery rules in the form stored in the journal."""
        return rules_to_record(self._message_class(name), self._settings.max_attempts)

    def count_rejected(self, submission: Submission, answer: Refused | Failed) -> None:
        """Count a message that was rejected at submission."""
        self._metrics.count_end(submission.cls, "deferred" if isinstance(answer, Refused) else "errored")
        self._reasons.count(Event.REFUSAL, answer.reason, message_id=submission.id)

    def _assign_rules_numbers(self, settings: api.Settings) -> dict[str, int]:
        """Return each class's rules number in the journal; removed classes keep theirs."""
        numbers = dict(self._rules_numbers)
        for cls in settings.classes:
            numbers[cls.name] = self._journal.rules_number(
                rules_to_record(cls, settings.max_attempts), numbers.values()
            )
        return numbers

    def change_settings(self, settings: api.Settings) -> None:
        """Replace the settings; open messages keep the rules they were accepted under.

        Messages of a removed class are accepted for another ``DROPPED_CLASS_GRACE_S`` under its old rules, as
        clients may not have received the change yet.
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
        """Reject removed classes from now on, unless the settings have changed again."""
        if self._settings is settings:
            self._dropped_classes = {}

    def change_discovery(self, discovery: Address) -> None:
        """Use another address for discovery and notices from now on."""
        if self._retired:
            return
        self._directory.change_address(discovery)
        self._notifier.change_address(discovery)

    def shut_down(self, end_s: float) -> None:
        """Start only calls that end by ``end_s`` (loop time); other messages stay in the journal."""
        self._shutdown_at_s = end_s if self._shutdown_at_s is None else min(end_s, self._shutdown_at_s)

    def close(self) -> None:
        """Cancel the timers and close the adapters."""
        for timer in (self._step_timer, self._engine_timer, self._flush_timer, self._deactivation_timer):
            if timer is not None:
                timer.cancel()
        self._directory.close()
        self._notifier.close()
        self._partners.close()

    @property
    def busy(self) -> bool:
        """Whether a call is in progress."""
        return self._partners.busy

    @property
    def idle(self) -> bool:
        """Whether no call is in progress, no notice unconfirmed and no event pending."""
        return self._retired or (
            not self.busy and not self._notifier.unconfirmed and not self._pending_events
        )

    @property
    def refusal(self) -> Refused:
        """The refusal sent during shutdown, with the time to retry after."""
        return self.refusal_for(RejectReason.SHUTTING_DOWN)

    def refusal_for(self, reason: RejectReason) -> Refused:
        """Return a refusal for a reason, with the time to retry after."""
        return Refused(self._settings.max_retry_after_us // 1000, reason)

    def is_listed(self, host: str) -> bool:
        """Whether the current list contains an endpoint."""
        return self._listings.is_listed(host)

    def _set_host_disabled(self, host: str, disabled: bool) -> None:
        """Apply an operator's change: to calls at once, to the engine with its next step."""
        if self._retired:
            return
        self._partners.set_disabled(host, disabled)
        self._post(api.HostOverride(host, disabled))

    @property
    def gauges(self) -> Gauges:
        """The current values of the gauges, read at each scrape."""
        host_count, sent_count = (
            self._listings.host_count,
            self.sent_by_former_core + self._partners.messages_written,
        )
        inactive = (host for host in self._disabled_hosts.hosts if host not in self._engine.endpoints)
        avoided_count = self._engine.count_avoided() + sum(
            self._listings.is_listed(host) for host in inactive
        )
        return Gauges(
            sent_count,
            len(self._held_messages),
            host_count,
            min(host_count, avoided_count),
            self._engine.count_phases(),
        )

    def submit(self, submission: Submission, body: bytes) -> Answer:
        """Accept a message, or refuse or fail it; a rejected one is counted here and not kept."""
        answer = self.reject_reason(submission) or self._accept(submission, body)
        if not isinstance(answer, Accepted):
            self.count_rejected(submission, answer)
        return answer

    def reject_reason(self, submission: Submission) -> Answer | None:
        """Return a rejection for a message that the engine would drop or hold in vain; else None.

        An unlisted destination is refused, not failed: the list is seconds late, so the destination may be
        listed when the client retries. While there is no list, every destination is accepted.
        """
        if (cls := self._classes.get(submission.cls) or self._dropped_classes.get(submission.cls)) is None:
            return Failed(RejectReason.UNKNOWN_CLASS.value)
        if cls.effect is api.Effect.KEYED and not submission.key:
            return Failed(RejectReason.NO_KEY.value)
        if len(self._listings) and submission.dest not in self._listings:
            return self.refusal_for(RejectReason.UNKNOWN_DESTINATION)
        return None

    def _accept(self, submission: Submission, body: bytes) -> Answer:
        """Journal and accept a message, or refuse it and keep nothing.

        A known id is the same request repeated on a new connection; it has been accepted already.
        """
        if self.knows(submission.id):
            return Accepted()
        if len(self._held_messages) >= self._settings.max_held_messages:
            return self.refusal_for(RejectReason.BACKLOG_FULL)
        try:
            record_fields = {name: getattr(submission, name) for name in SUBMISSION_FIELDS}
            rules_number = self._rules_numbers[submission.cls]
            self._journal.accept(submission.id, record_fields | {"rules": rules_number}, body)
        except JournalFullError as error:
            LOG.warning("message refused, not journaled: %s", error, extra={"message_id": submission.id})
            return self.refusal_for(RejectReason.JOURNAL_FULL)
        self._held_messages[submission.id] = HeldMessage(
            submission, body, self._message_class(submission.cls).effect
        )
        self._activate_destination(submission.dest)
        rules = self._delivery_rules(rules_number) if submission.cls in self._dropped_classes else None
        self._post(self._arrival(submission, self.clock(), rules=rules))
        return Accepted()

    def _message_class(self, name: str) -> api.MessageClass:
        return self._classes.get(name) or self._dropped_classes[name]

    def _delivery_rules(self, rules_number: int) -> api.DeliveryRules | None:
        """Return the rules with a journal number; None where they are unknown or unreadable."""
        if (record := self._journal.rules.get(rules_number)) is None:
            return None
        try:
            return rules_from_record(record)
        except (KeyError, TypeError, ValueError) as error:
            LOG.error("journal: delivery rules %d are unreadable: %s", rules_number, error)
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
        """Pass a message recovered from the journal to the engine, or send its notice again.

        An attempt is in doubt unless the journal proves that it never ran; this includes attempts that were
        in progress when the previous process ended.
        """
        if message.notice is not None:
            self._notifier.send(Notice(message.id, *message.notice))
            return
        rules = self._delivery_rules(message.fields.pop("rules", 0))
        try:
            submission = Submission(**message.fields)
        except TypeError as error:
            LOG.error(
                "journal: message %s is unreadable: %s", message.id, error, extra={"message_id": message.id}
            )
            submission = None
        # Journals of older versions hold messages without a rules number.
        if rules is None and submission is not None and submission.cls in self._classes:
            rules = self._delivery_rules(self._rules_numbers[submission.cls])
        if submission is None or rules is None:  # written by another version or for other settings
            self._journal.record_end(message.id, "dead", 0)
            self._notifier.send(Notice(message.id, "dead"))
            return
        attempts = 1 + max((a.number for a in message.attempts), default=-1)
        in_doubt = [attempt for attempt in message.attempts if not attempt.never_ran]
        self._held_messages[message.id] = HeldMessage(
            submission, message.body, rules.cls.effect, attempts, may_have_run=bool(in_doubt)
        )
        self._activate_destination(submission.dest)
        extra_fields: dict[str, Any] = {
            "attempts": attempts,
            "rules": rules,
            "recovered_untried": not attempts,
        }
        if in_doubt:
            first = min(in_doubt, key=lambda attempt: attempt.at_us)
            # An attempt from the future: the clock was set back between two runs, so its age is unknown.
            age_us = now_us - first.at_us if first.at_us <= now_us else UNKNOWN_AGE_US
            extra_fields |= {"in_doubt_age_us": age_us, "in_doubt_zone": first.zone}
        self._pending_events.append(self._arrival(submission, now_us, **extra_fields))

    def _apply_list_update(self, update: EndpointList, kind: api.EndpointUpdateKind | None = None) -> None:
        """Apply a list update: to calls at once, to the engine with its next step."""
        active_update, self._list_seq = self._listings.apply(update, self._loop_time()), update.seq
        self.list_known |= kind is None or len(self._listings) > 0
        kind = kind or (api.EndpointUpdateKind.FULL if update.full else api.EndpointUpdateKind.CHANGES)
        self._publish_update(active_update, kind)

    def _publish_update(
        self, update: EndpointList, kind: api.EndpointUpdateKind, added_later: bool = False
    ) -> None:
        """Pass endpoints of active destinations to the partners and the engine."""
        self._partners.apply(update)
        self._post(api.EndpointUpdate(kind, tuple(listed.entry for listed in update.hosts), added_later))
        if self._learned_rows:
            self._post_learned_state(listed.entry.host for listed in update.hosts)

    def _activate_destination(self, dest: int) -> None:
        """Activate a destination that gets a message: pass on its endpoints if it was inactive."""
        for added_later, update in self._listings.activate(dest, self._loop_time()):
            self._publish_update(update, api.EndpointUpdateKind.REACTIVATED, added_later)
        if self._deactivation_timer is None and self._listings.over_limit:
            self._deactivation_timer = asyncio.get_running_loop().call_later(
                IDLE_CHECK_INTERVAL_S, self._deactivate_idle
            )

    def _deactivate_idle(self) -> None:
        """Ask the engine to deactivate idle destinations; it keeps those that still have state."""
        self._deactivation_timer = None
        for dest in self._listings.idle_destinations(self._loop_time()):
            self._post(api.DestinationIdle(dest))
        if self._listings.over_limit:
            self._deactivation_timer = asyncio.get_running_loop().call_later(
                IDLE_CHECK_INTERVAL_S, self._deactivate_idle
            )

    def _report_list_failure(self) -> None:
        """Report to the engine that the connection to the directory has failed."""
        self._post(api.EndpointUpdate(api.EndpointUpdateKind.FAILED))

    def _notice_confirmed(self, message_id: str) -> None:
        """Journal that the notice of a message was confirmed: the message is completed."""
        self._journal.record_completed(message_id)
        self._schedule_flush()

    def _part_settled(self, call: Call, part: Part, outcome: PartOutcome) -> None:
        """Handle the outcome of an attempt: journal what it proves, then report it to the engine."""
        complete = outcome.complete
        if not complete and (held := self._held_messages.get(part.id)) is not None:
            held.last_outcome = outcome.verdict.value
            held.may_have_run |= not outcome.verdict.never_ran
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
        if complete:  # also for a part that timed out before: the engine must not send the message again
            self._post(api.MessageWithdrawn(part.id))

    def _part_released(self, part: Part) -> None:
        """Report that an attempt settled before has no bytes on the wire any more."""
        self._post(api.CallEnded(part.id, part.attempt))

    def _complete_message(self, message_id: str, delivered: bool) -> None:
        """Complete a message, with a notice of failure where it may have been delivered after its deadline.

        The client's deadline counts from when it sent the message, but the relay counts from when it read it;
        an endpoint's response counts from when it was written. A response written after the deadline delivers
        nothing, so a final result is still required; a notice for a delivered message does no harm.
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
        """Remember the id of a completed message, and forget the oldest beyond ``MAX_REMEMBERED_IDS``."""
        self._completed[message_id] = None
        while len(self._completed) > MAX_REMEMBERED_IDS:
            self._completed.popitem(last=False)

    def _post(self, event: api.Event) -> None:
        """Queue an event for the engine's next step, which runs at least one round after the last."""
        if self._retired:
            return
        self._pending_events.append(event)
        if self._step_timer is None:
            loop = asyncio.get_running_loop()
            self._step_timer = loop.call_at(max(loop.time(), self._next_step_s), self._step)

    def _step(self) -> None:
        """Run one engine step with the queued events and execute its actions.

        An error here cannot be attributed to a single message, so it ends the process.
        """
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
            LOG.critical("the step loop failed", exc_info=True)
            self._on_crash(error)

    def _carry_out(self, actions: list[api.Action]) -> None:
        """Execute a step's actions: journal them all, sync once, then start calls and send notices."""
        sends: dict[str, list[api.Send]] = {}
        results: list[UndeliveredResult] = []
        for action in actions:
            match action:
                case api.Send():
                    sends.setdefault(action.host, []).append(action)
                case api.Refuse():
                    notice = Notice(action.id, "bounced", action.retry_after_us // 1000)
                    results += self._record_give_up(notice, action.reason)
                case api.Fail():
                    results += self._record_give_up(Notice(action.id, "dead"), action.reason)
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
                    LOG.error("probe requested by the decision engine, but endpoints are not probed")
        calls = [call for host, batch in sends.items() for call in self._build_calls(host, batch)]
        synced = self._sync_journal() if calls or results else True
        for result in results:
            self._report_undelivered(result, synced)
        for call in calls:
            if synced:
                self._partners.send(call)
            else:
                self._settle_not_sent(call)

    def _report_undelivered(self, result: UndeliveredResult, synced: bool) -> None:
        """Send the notice of a message that was given up; ``synced``: its result would outlast a power loss.

        Notices are sent at once and repeated until confirmed, even where the disk does not take them.
        """
        notice, message_id = result.notice, result.notice.message_id
        if not (result.recoverable and synced) and notice.result != "dead":
            notice = Notice(message_id, "dead")
            self._journal.replace_end_by_failure(message_id)
        if result.may_have_run:
            told = ResultInDoubt.REFUSED if notice.result == "bounced" else ResultInDoubt.FAILED
            self._reasons.count(Event.UNDELIVERED_IN_DOUBT, told, message_id=message_id)
        self._notifier.send(notice)

    def _flush_pending(self) -> None:
        """Retry pending writes until the disk takes them, as no later record may come to trigger them."""
        self._flush_timer = None
        self.clock.retry_save()
        try:
            self._journal.flush_pending()
        except JournalFullError as error:
            LOG.debug("journal: pending records not written: %s", error)
        self._schedule_flush()

    def _schedule_flush(self) -> None:
        """Schedule a retry where the journal or the clock has pending writes."""
        if self._flush_timer is None and (self._journal.has_pending or not self.clock.saved):
            self._flush_timer = asyncio.get_running_loop().call_later(FLUSH_RETRY_S, self._flush_pending)

    def _sync_journal(self) -> bool:
        """Sync a durable journal; False where that fails and the records may be lost."""
        try:
            self._journal.sync()
        except JournalFullError as error:
            LOG.error("journal: sync failed, calls are not sent: %s", error)
            return False
        return True

    def _record_give_up(self, notice: Notice, reason: api.GiveUpReason) -> list[UndeliveredResult]:
        """Journal the engine's final result and return it; none for a message completed already.

        Where the disk does not take the result, a restart may try the message again beside the client's retry
        that a refusal asks for. Then only a failure is reported, which asks for no retry. Safe messages may
        be repeated anyway.
        """
        if (held := self._held_messages.pop(notice.message_id, None)) is None:
            return []
        self._reasons.count(Event.REFUSAL, reason.value, message_id=notice.message_id)
        recoverable = self._journal.record_end(notice.message_id, notice.result, notice.wait_ms)
        self._metrics.count_end(held.submission.cls, "deferred" if notice.result == "bounced" else "errored")
        self._remember(notice.message_id)
        return [UndeliveredResult(notice, recoverable or held.effect is api.Effect.SAFE, held.may_have_run)]

    def _settle_not_sent(self, call: Call) -> None:
        """Settle all parts of a call that is not sent, as its attempts could not be journaled."""
        for part in call.parts:
            self._part_settled(call, part, PartOutcome(api.Verdict.NOT_SENT))

    def _build_calls(self, host: str, batch: list[api.Send]) -> Iterator[Call]:
        """Group one step's sends to a host into calls of at most the kind's batch size.

        Each call's attempts are journaled before any of its bytes is sent.
        """
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
                LOG.error("call not sent, its attempts could not be journaled: %s", error)
                self._settle_not_sent(call)
                continue
            yield call

    def _ends_before_shutdown(self, send: api.Send, end_s: float) -> bool:
        """Whether a call ends before the process does; else the message stays in the journal."""
        return self._step_time_s + send.timeout_us / 1e6 <= end_s
