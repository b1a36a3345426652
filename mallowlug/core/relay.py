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
REST_S = 0.25  # s between looks for destinations that may sleep
OWED_S = 0.1  # s between attempts to write down what the disk did not take
REMEMBERED_ON = 512  # of them told to a successor
REMEMBERED = 4096  # ids that are over, so that a request that a client repeats is not taken for a new one
NEAR_US = 50_000  # us: the protocol's slack; so near its end an answer may have come behind a message's time
UNKNOWN_US = 1 << 60  # us: an attempt so old that no window covers it
DROPPED_S = 2.0  # s in which a class that is dropped is still taken on, by its rules
FIELDS = [field.name for field in fields(Submission)]


def told_of(cls: api.MessageClass, most: int) -> dict[str, Any]:
    """A set of rules as the journal keeps it."""
    return {**asdict(cls), "effect": cls.effect.value, "most": most}


def rules_of(told: dict[str, Any]) -> api.DeliveryRules:
    """What the journal has kept; ``KeyError``, ``TypeError`` or ``ValueError`` where it makes no sense."""
    fields_ = {name: value for name, value in told.items() if name != "most"}
    cls = api.MessageClass(**{**fields_, "effect": api.Effect(told["effect"])})
    return api.DeliveryRules(cls, int(told["most"]))


@dataclass(slots=True)
class HeldMessage:
    """A message that owes its end, and how many attempts it had."""

    handed: Submission
    body: bytes
    effect: api.Effect
    attempts: int = 0
    last_end: str = UNKNOWN_OUTCOME  # how its last attempt ended


class RelayCore:
    """One relay's loop of steps between its ports and the module."""

    def __init__(
        self,
        *,
        settings: api.Settings,
        seed: int,
        journal: Journal,
        plugs: Adapters,
        clock: Clock,
        listings: Listings,
        figures: Metrics,
        outs: DisabledHosts,
        crashed: Callable[[BaseException], None],
    ) -> None:
        self._set, self._journal, self._crashed, self._figures = settings, journal, crashed, figures
        self._reasons = figures.reasons
        self.clock, self._now_s = clock, asyncio.get_running_loop().time
        self._module = DecisionEngine(settings, seed)
        self._partners = plugs.partners(self._settled, self._released)
        self._directory = plugs.directory(self._listed, self._unlisted)
        self._ends = plugs.notifier(self._confirmed)
        self._held: dict[str, HeldMessage] = {}  # messages that owe their end to the module
        self._over: OrderedDict[str, None] = OrderedDict()
        self._inbox: list[api.Event] = []
        self._timer: asyncio.TimerHandle | None = None
        self._wake: asyncio.TimerHandle | None = None  # the last that was asked for; the module asks again
        self._next_s = 0.0  # when the next step is allowed
        self._stepped_s = 0.0  # the loop's time of the present step, from which its times count
        self._stop_s: float | None = None  # once shutting down: when the last call must have ended
        self._classes = {cls.name: cls for cls in settings.classes}
        journal.max_attempts = settings.max_attempts
        self._dropped: dict[str, api.MessageClass] = {}  # classes that clients may still name for a moment
        self._numbers: dict[str, int] = {}
        self._numbers = self._numbered(settings)
        self._chore: asyncio.TimerHandle | None = None  # when what is owed to the disk is tried again
        self._listings, self._outs = listings, outs
        self._learned: dict[
            str, EndpointRow
        ] = {}  # handed over, of endpoints that the module does not know yet
        self.sent_before = 0  # messages that a core before this one, in the same process, has written whole
        self._retired, self._seq = False, -1  # version of the list that is held
        self.listed = False  # whether a list is known, be it an old one
        self._rest: asyncio.TimerHandle | None = None  # when idle destinations are asked to sleep

    def start(self, known: EndpointList, binds: HandoverState | None = None) -> None:
        """Take up what the last life left, then follow the list; called before clients are answered.

        ``binds``: what a process that has handed over wrote down beside the journal.
        """
        self._ends.start()
        self._outs.changed = self._by_hand
        for host in self._outs.hosts:
            self._by_hand(host, True)
        self._listed(known, api.EndpointUpdateKind.CACHED)
        now_us = self.clock()
        for message in self._journal.recovered.values():
            self._resume(message, now_us)
        if count := len(self._journal.recovered):
            LOG.info("journal: %d unfinished messages taken up", count)
        self._journal.recovered.clear()
        self._journal.drop_expired_outages(now_us)
        for listed in known.hosts:
            if listed.entry.host in self._journal.outages:
                self._use(listed.entry.dest)
        for host, due in self._journal.outages.items():
            left_us, served = due.until_us - now_us, due.served_percent / 100
            self._inbox.append(api.OutageRecord(host, left_us, due.kind, served))
        if binds is not None:
            self._bind(binds, now_us)
        self._step()

    def _bind(self, binds: HandoverState, now_us: int) -> None:
        """Go on from where the process before this one stood."""
        self._partners.restore_waits({route: until_us - now_us for route, until_us in binds.waits.items()})
        for ref in binds.over:
            self._remember(ref)
        self._learned = {row[0]: row for row in binds.learned}
        rosters = [event for event in self._inbox if isinstance(event, api.EndpointUpdate)]
        self._go_on_from(entry.host for event in rosters for entry in event.entries)

    def _go_on_from(self, hosts: Iterable[str]) -> None:
        """Tell the module what was learned of endpoints that it knows; of others it would not hear."""
        now_us = self.clock()
        for host in hosts:
            if (row := self._learned.pop(host, None)) is not None:
                _, wait_us, quota, pace, rate, cold_us, spaced_us = row
                left = max(0, wait_us - now_us), quota, pace, rate
                cold = max(0, now_us - cold_us) if cold_us >= 0 else -1
                self._post(api.EndpointSnapshot(host, *left, cold, max(0, spaced_us - now_us)))

    def handover_state(self) -> HandoverState:
        """What binds a successor beside the journal."""
        now_us = self.clock()
        learned = [
            (e.host, now_us + e.wait_us, e.quota, e.send_rate_per_s, e.announced_rate_per_s,
             now_us - e.cold_for_us if e.cold_for_us >= 0 else -1, now_us + e.next_call_in_us)
            for e in self._module.learned()
        ]  # fmt: skip
        waits = {route: now_us + left_us for route, left_us in self._partners.remaining_waits().items()}
        over = list(self._over)[-REMEMBERED_ON:]
        return HandoverState(waits, learned, self._seq, self._listings.all_rows(), over)

    def retire(self) -> None:
        """Let go of everything for a successor; calls that are out end here."""
        self.close()
        self._over.update(dict.fromkeys(self._held))
        self._held.clear()
        self._retired = True

    def knows(self, ref: str) -> bool:
        """Whether a message is, or was not long ago, taken on."""
        return ref in self._held or ref in self._over

    @property
    def spools(self) -> Mapping[str, int]:
        """By a door's file: how far it is adopted."""
        return self._journal.spools

    def forget_spool(self, name: str) -> None:
        """A door's file is gone."""
        self._journal.forget_spool(name)

    def pause(self, on: bool) -> None:
        """Start no call, or start them again."""
        self._post(api.DispatchPaused(on))

    def flush_journal(self) -> bool:
        """Whether the disk has taken all that the journal owes it."""
        try:
            self._journal.flush_pending()
            self._journal.sync()
        except JournalFullError:
            return False
        return True

    def adopt(self, handed: Submission, body: bytes, rules: dict[str, Any], spool: tuple[str, int]) -> None:
        """Take on what a door has taken on already."""
        if self.knows(handed.id):
            self._journal.record_spool_position(*spool)
            return
        number = self._journal.rules_number(rules, self._numbers.values())
        if (own := self._rules(number)) is None:  # of another version
            self._journal.record_spool_position(*spool)
            self._ends.send(Notice(handed.id, "dead"))
            return
        fields = {name: getattr(handed, name) for name in FIELDS}
        self._journal.adopt(handed.id, fields | {"rules": number}, body, spool)
        self._tend()
        self._held[handed.id] = HeldMessage(handed, body, own.cls.effect)
        self._use(handed.dest)
        self._post(self._arrival(handed, self.clock(), rules=own))

    def rules_record(self, name: str) -> dict[str, Any]:
        """A class's rules as the journal keeps them."""
        return told_of(self._class(name), self._set.max_attempts)

    def count_rejected(self, handed: Submission, answer: Refused | Failed) -> None:
        """What is not taken on has ended at the door."""
        self._figures.ended(handed.cls, "deferred" if isinstance(answer, Refused) else "errored")
        self._reasons.count(Event.REFUSAL, answer.reason, message_id=handed.id)

    def _numbered(self, settings: api.Settings) -> dict[str, int]:
        """By class: the number of its rules in the journal; classes that are dropped keep theirs."""
        numbers = dict(self._numbers)
        for cls in settings.classes:
            numbers[cls.name] = self._journal.rules_number(
                told_of(cls, settings.max_attempts), numbers.values()
            )
        return numbers

    def change_settings(self, settings: api.Settings) -> None:
        """Other settings count from now on; what is open keeps its rules, and so does, for a moment, what
        clients who have not heard of the change yet bring of a class that is dropped.
        """
        if settings == self._set:
            return
        before, self._set = self._classes, settings
        self._journal.max_attempts = settings.max_attempts
        self._classes = {cls.name: cls for cls in settings.classes}
        self._dropped = {name: cls for name, cls in before.items() if name not in self._classes}
        if not self._retired:
            self._numbers = {name: self._numbers[name] for name in before}
            self._numbers = self._numbered(settings)
        self._figures.know(self._classes)
        if self._retired:
            return
        self._partners.set_kinds(settings.kinds)
        self._post(api.SettingsChanged(settings))
        asyncio.get_running_loop().call_later(DROPPED_S, self._drop, settings)

    def _drop(self, settings: api.Settings) -> None:
        """What clients bring of a class that these settings do not know is refused from now on."""
        if self._set is settings:
            self._dropped = {}

    def change_discovery(self, discovery: Address) -> None:
        """The platform is to be found at another address from now on."""
        if self._retired:
            return
        self._directory.change_address(discovery)
        self._ends.change_address(discovery)

    def shut_down(self, stop_s: float) -> None:
        """From now on only calls are started that end by then; the rest stays in the journal."""
        self._stop_s = stop_s if self._stop_s is None else min(stop_s, self._stop_s)

    def close(self) -> None:
        """Let go of everything."""
        for timer in (self._timer, self._wake, self._chore, self._rest):
            if timer is not None:
                timer.cancel()
        self._directory.close()
        self._ends.close()
        self._partners.close()

    @property
    def busy(self) -> bool:
        """Whether a call is out."""
        return self._partners.busy

    @property
    def idle(self) -> bool:
        """Whether no call is out and no notice is unconfirmed."""
        return self._retired or (not self.busy and not self._ends.unconfirmed and not self._inbox)

    @property
    def refusal(self) -> Refused:
        """A refusal at the door, with when to come back."""
        return self.refused(RejectReason.ENDING)

    def refused(self, reason: RejectReason) -> Refused:
        """A refusal for that reason."""
        return Refused(self._set.max_retry_after_us // 1000, reason)

    def lists(self, host: str) -> bool:
        """Whether the list as it is held names an endpoint."""
        return self._listings.lists(host)

    def _by_hand(self, host: str, out: bool) -> None:
        """A host is out or back: that binds calls at once and the module with its next step."""
        if self._retired:
            return
        self._partners.set_disabled(host, out)
        self._post(api.HostOverride(host, out))

    @property
    def gauges(self) -> Gauges:
        """What a scrape reads."""
        size, sent = self._listings.hosts, self.sent_before + self._partners.messages_written
        asleep = (host for host in self._outs.hosts if host not in self._module.endpoints)
        avoided = self._module.avoided() + sum(self._listings.lists(host) for host in asleep)
        return Gauges(sent, len(self._held), size, min(size, avoided), self._module.phases())

    def submit(self, handed: Submission, body: bytes) -> Answer:
        """Take a message on, or say why not; what is not taken on has ended here."""
        answer = self.reject_reason(handed) or self._take_on(handed, body)
        if not isinstance(answer, Accepted):
            self.count_rejected(handed, answer)
        return answer

    def reject_reason(self, handed: Submission) -> Answer | None:
        """Why there is no place for a message, which the module would drop unseen or hold in vain; else None.

        A destination that nobody lists is refused: the list is seconds late, so it may be known when the
        client comes again. Without any list all are known.
        """
        if (cls := self._classes.get(handed.cls) or self._dropped.get(handed.cls)) is None:
            return Failed(RejectReason.UNKNOWN_CLASS.value)
        if cls.effect is api.Effect.KEYED and not handed.key:
            return Failed(RejectReason.NO_KEY.value)
        if len(self._listings) and handed.dest not in self._listings:
            return self.refused(RejectReason.UNKNOWN_DESTINATION)
        return None

    def _take_on(self, handed: Submission, body: bytes) -> Answer:
        """Take a message on, journaled, or say why not; then nothing was kept.

        An id that is known is the same request once more, on a new connection: it is taken on already.
        """
        if self.knows(handed.id):
            return Accepted()
        if len(self._held) >= self._set.max_held_messages:
            return self.refused(RejectReason.FULL)
        try:
            fields = {name: getattr(handed, name) for name in FIELDS}
            number = self._numbers[handed.cls]
            self._journal.accept(handed.id, fields | {"rules": number}, body)
        except JournalFullError as error:
            LOG.warning("a message was refused: %s", error, extra={"message_id": handed.id})
            return self.refused(RejectReason.DISK)
        self._held[handed.id] = HeldMessage(handed, body, self._class(handed.cls).effect)
        self._use(handed.dest)
        rules = self._rules(number) if handed.cls in self._dropped else None
        self._post(self._arrival(handed, self.clock(), rules=rules))
        return Accepted()

    def _class(self, name: str) -> api.MessageClass:
        return self._classes.get(name) or self._dropped[name]

    def _rules(self, number: int) -> api.DeliveryRules | None:
        """The rules of that number; None where the journal does not know them."""
        if (told := self._journal.rules.get(number)) is None:
            return None
        try:
            return rules_of(told)
        except (KeyError, TypeError, ValueError) as error:
            LOG.error("journal: rules %d cannot be read: %s", number, error)
            return None

    def _arrival(self, handed: Submission, now_us: int, **former: Any) -> api.Arrival:
        left_us = handed.deadline_us - now_us
        return api.Arrival(
            handed.id,
            handed.dest,
            handed.cls,
            left_us,
            handed.tenant,
            handed.order,
            received_us=now_us,
            **former,
        )

    def _resume(self, message: RecoveredMessage, now_us: int) -> None:
        """Give a message of the last life back to the module, or send its notice once more.

        An attempt without a proof that it never ran may have run, also one that was out at the end.
        """
        if message.notice is not None:
            self._ends.send(Notice(message.id, *message.notice))
            return
        rules = self._rules(message.fields.pop("rules", 0))
        try:
            handed = Submission(**message.fields)
        except TypeError as error:
            LOG.error(
                "journal: message %s cannot be read: %s", message.id, error, extra={"message_id": message.id}
            )
            handed = None
        if rules is None and handed is not None and handed.cls in self._classes:  # of a version without rules
            rules = self._rules(self._numbers[handed.cls])
        if handed is None or rules is None:  # another version's or another site's
            self._journal.record_end(message.id, "dead", 0)
            self._ends.send(Notice(message.id, "dead"))
            return
        attempts = 1 + max((a.number for a in message.attempts), default=-1)
        self._held[message.id] = HeldMessage(handed, message.body, rules.cls.effect, attempts)
        self._use(handed.dest)
        former: dict[str, Any] = {"attempts": attempts, "rules": rules, "recovered_untried": not attempts}
        if risky := [a for a in message.attempts if not a.never_ran]:
            first = min(risky, key=lambda attempt: attempt.at_us)
            # One from the future: the clock was set back between two lives, and nobody knows how old it is.
            age_us = now_us - first.at_us if first.at_us <= now_us else UNKNOWN_US
            former |= {"in_doubt_age_us": age_us, "in_doubt_zone": first.zone}
        self._inbox.append(self._arrival(handed, now_us, **former))

    def _listed(self, news: EndpointList, kind: api.EndpointUpdateKind | None = None) -> None:
        """News of the list binds calls at once and the module with its next step."""
        heard, self._seq = self._listings.follow(news, self._now_s()), news.seq
        self.listed |= kind is None or len(self._listings) > 0
        kind = kind or (api.EndpointUpdateKind.FULL if news.full else api.EndpointUpdateKind.CHANGES)
        self._tell(heard, kind)

    def _tell(self, news: EndpointList, kind: api.EndpointUpdateKind, later: bool = False) -> None:
        self._partners.apply(news)
        self._post(api.EndpointUpdate(kind, tuple(listed.entry for listed in news.hosts), later))
        if self._learned:
            self._go_on_from(listed.entry.host for listed in news.hosts)

    def _use(self, dest: int) -> None:
        """A destination gets a message: where it slept, all sides hear of it first."""
        for later, news in self._listings.activate(dest, self._now_s()):
            self._tell(news, api.EndpointUpdateKind.REACTIVATED, later)
        if self._rest is None and self._listings.over_limit:
            self._rest = asyncio.get_running_loop().call_later(REST_S, self._rested)

    def _rested(self) -> None:
        """Ask the module to let go of what is not used."""
        self._rest = None
        for dest in self._listings.idle_destinations(self._now_s()):
            self._post(api.DestinationIdle(dest))
        if self._listings.over_limit:
            self._rest = asyncio.get_running_loop().call_later(REST_S, self._rested)

    def _unlisted(self) -> None:
        self._post(api.EndpointUpdate(api.EndpointUpdateKind.FAILED))

    def _confirmed(self, ref: str) -> None:
        self._journal.record_completed(ref)
        self._tend()

    def _settled(self, call: Call, part: Part, told: PartOutcome) -> None:
        """An attempt is over: journal what it proves, then tell the module."""
        complete = told.complete
        if not complete and (held := self._held.get(part.id)) is not None:
            held.last_end = told.verdict.value
        if complete:
            self._end(part.id, told.verdict is api.Verdict.OK)
        elif told.verdict.never_ran:
            self._journal.record_never_ran(part.id, part.attempt)
        self._post(
            api.Outcome(
                part.id,
                part.attempt,
                call.host,
                told.verdict,
                int((self._now_s() - call.sent_s) * 1e6),
                complete,
                told.retry_after_us,
                told.load_report.get("x0"),
                told.load_report.get("x1"),
                call_continues=told.call_continues,
            )
        )
        if complete:  # also for a part whose own time ran out before: the module must not send it again
            self._post(api.MessageWithdrawn(part.id))

    def _released(self, part: Part) -> None:
        """Nothing of an attempt that had its outcome before is on the wire any more."""
        self._post(api.CallEnded(part.id, part.attempt))

    def _end(self, ref: str, delivered: bool) -> None:
        """Nothing more is owed, unless that was so before, or nobody knows whether it came in time.

        A message's time counts from when its client sent it, here from when it was read; an answer counts
        from when it was written. One that was written behind the time delivers nothing, and the end is owed
        still; a notice for what is over does no harm.
        """
        if (held := self._held.pop(ref, None)) is None:
            return
        self._remember(ref)
        left_us = held.handed.deadline_us - self.clock()
        if delivered:
            self._figures.ended(held.handed.cls, "answered" if left_us >= 0 else "errored")
        if delivered and left_us < NEAR_US:
            self._journal.record_end(ref, "dead", 0)
            self._ends.send(Notice(ref, "dead"))
        else:
            self._journal.record_completed(ref)

    def _remember(self, ref: str) -> None:
        self._over[ref] = None
        while len(self._over) > REMEMBERED:
            self._over.popitem(last=False)

    def _post(self, event: api.Event) -> None:
        """Put an event before the module at its next step, one round after the last at the earliest."""
        if self._retired:
            return
        self._inbox.append(event)
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_at(max(loop.time(), self._next_s), self._step)

    def _step(self) -> None:
        """One batch through the module; an error here is no single message's and ends the process."""
        loop = asyncio.get_running_loop()
        if self._timer is not None:
            self._timer.cancel()
        self._stepped_s = loop.time()
        self._timer, self._next_s = None, self._stepped_s + self._set.round_us / 1e6
        events, self._inbox = self._inbox, []
        try:
            self._carry_out(self._module.step(self.clock(), events))
            self._tend()
        except Exception as error:
            LOG.critical("the step loop broke", exc_info=True)
            self._crashed(error)

    def _carry_out(self, actions: list[api.Action]) -> None:
        """Journal all that the step decided, then let it out: one sync serves the whole step."""
        sends: dict[str, list[api.Send]] = {}
        ends: list[tuple[Notice, bool]] = []  # with whether a later life knows of it
        for action in actions:
            match action:
                case api.Send():
                    sends.setdefault(action.host, []).append(action)
                case api.Refuse():
                    notice = Notice(action.id, "bounced", action.retry_after_us // 1000)
                    ends += self._given_up(notice, action.reason)
                case api.Fail():
                    ends += self._given_up(Notice(action.id, "dead"), action.reason)
                case api.CloseIdle():
                    self._partners.close_idle(action.host)
                case api.Cancel():
                    self._partners.cancel(action.id, action.attempt)
                case api.Subscribe():
                    self._directory.subscribe()
                case api.SetTimer():
                    loop = asyncio.get_running_loop()
                    if self._wake is not None:
                        self._wake.cancel()
                    self._wake = loop.call_later(action.delay_us / 1e6, self._post, api.TimerDue())
                case api.DestinationDeactivated():
                    self._partners.apply(self._listings.deactivate(action.dest))
                case api.OutageRecord():
                    percent = round(100 * action.served_share)
                    due = StoredOutage(self.clock() + action.valid_for_us, action.kind, percent)
                    self._journal.record_outage(action.host, due)
                case api.Log():
                    LOG.info("%s", action.line)
                case api.Probe():
                    LOG.error("a probe was asked for; endpoints are not probed")
        calls = [call for host, batch in sends.items() for call in self._calls(host, batch)]
        safe = self._synced() if calls or ends else True
        for notice, kept in ends:  # out at once, and again until it is confirmed, whatever the disk says
            told = notice if kept and safe else Notice(notice.message_id, "dead")
            if told.result != notice.result:
                self._journal.replace_end_by_failure(notice.message_id)
            self._ends.send(told)
        for call in calls:
            if safe:
                self._partners.send(call)
            else:
                self._not_made(call)

    def _settle(self) -> None:
        """Write down what is owed to the disk until it is taken: there may be no next record to bring it."""
        self._chore = None
        self.clock.retry_save()
        try:
            self._journal.flush_pending()
        except JournalFullError as error:
            LOG.debug("journal: still owed: %s", error)
        self._tend()

    def _tend(self) -> None:
        if self._chore is None and (self._journal.has_pending or not self.clock.saved):
            self._chore = asyncio.get_running_loop().call_later(OWED_S, self._settle)

    def _synced(self) -> bool:
        """Whether all that was journaled is as safe as the installation wants it."""
        try:
            self._journal.sync()
        except JournalFullError as error:
            LOG.error("calls were not made: %s", error)
            return False
        return True

    def _given_up(self, notice: Notice, reason: api.GiveUpReason) -> list[tuple[Notice, bool]]:
        """The module's final answer, journaled; none where the message is over already.

        Where the disk does not take it, a later life may try the message, beside the retry that a refusal
        invites: then only a failure is told, which promises nothing. What may be repeated is safe from that.
        """
        if (held := self._held.pop(notice.message_id, None)) is None:
            return []
        self._reasons.count(Event.REFUSAL, reason.value, message_id=notice.message_id)
        kept = self._journal.record_end(notice.message_id, notice.result, notice.wait_ms)
        self._figures.ended(held.handed.cls, "deferred" if notice.result == "bounced" else "errored")
        self._remember(notice.message_id)
        return [(notice, kept or held.effect is api.Effect.SAFE)]

    def _not_made(self, call: Call) -> None:
        """A call whose attempts could not be journaled is not made."""
        for part in call.parts:
            self._settled(call, part, PartOutcome(api.Verdict.NOT_SENT))

    def _calls(self, host: str, batch: list[api.Send]) -> Iterator[Call]:
        """Sends of one step to one host share calls up to the kind's bound, journaled before any byte."""
        rest = iter(batch)
        while chunk := list(islice(rest, self._partners.batch_size(host))):
            chunk = [send for send in chunk if send.id in self._held]
            if self._stop_s is not None:
                chunk = [send for send in chunk if self._can_end(send, self._stop_s)]
            parts, tries, now_us = [], [], self.clock()
            for send in chunk:
                held = self._held[send.id]
                number, held.attempts = held.attempts, held.attempts + 1
                if number:
                    self._reasons.count(Event.RETRY, held.last_end, message_id=send.id, host=host)
                parts.append(
                    Part(send.id, number, held.handed.key, held.body, send.timeout_us, send.start_within_us)
                )
                tries.append((send.id, Attempt(number, host, self._partners.zone_of(host), now_us)))
            if not parts:
                continue
            call = Call(host, parts, self._stepped_s)
            try:
                self._journal.record_attempts(tries)
            except JournalFullError as error:
                LOG.error("a call was not made: %s", error)
                self._not_made(call)
                continue
            yield call

    def _can_end(self, send: api.Send, stop_s: float) -> bool:
        """Whether the process lasts as long as the call may; else the journal keeps it for the next life."""
        return self._stepped_s + send.timeout_us / 1e6 <= stop_s
