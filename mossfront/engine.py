"""Every decision of the relay. Its types, events and actions are in ``mossfront/interface.py``, what it
remembers in ``mossfront/state.py``, and what failures tell it in ``mossfront/outages.py``.

The ordinary path is fetches-per-server of the FRNOG 25 BIND9 notes: each endpoint has a quota of calls in
flight that shrinks while its failure ratio is high and regrows while it is low; a message over quota is held.
A step takes in a batch, answers what is out of time, then dispatches once, at destinations touched or due.
"""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Iterable

from mossfront.backlog import Lane, Lanes, bends, bound_zone, put, take
from mossfront.interface import (
    Action,
    Arrival,
    CallEnded,
    CloseIdle,
    DeliveryRules,
    DestinationDeactivated,
    DestinationIdle,
    DispatchPaused,
    Effect,
    EndpointEntry,
    EndpointSnapshot,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    Fail,
    GiveUpReason,
    HostOverride,
    Kind,
    Listing,
    MessageWithdrawn,
    OutageRecord,
    OutageRecordKind,
    Outcome,
    Refuse,
    Send,
    SetTimer,
    Settings,
    SettingsChanged,
    Subscribe,
    TimerDue,
    Verdict,
)
from mossfront.outages import OUTAGE_MARK, Outages
from mossfront.slow_start import RECENT_SUCCESS_US, Budget, Phase
from mossfront.state import (
    Call,
    CallLimiter,
    CompiledRules,
    DecayingCounter,
    Destination,
    Endpoint,
    LatencyStats,
    Message,
)

CAP_SHARE, SICK_SHARE = 0.75, 0.5  # of slots: calls to one healthy, one failing or slow destination
FORGET_US = 20_000_000  # us after which a host that is gone is forgotten, if nothing binds it any more
FORGET_EACH_US = 1_000_000  # us between looks for such hosts
FLOOR_SHARE = 0.02  # of the starting quota: what a server that never answers keeps (the notes' 2%)
WEIGHT = 0.15  # of the newest call in ratios and latencies: about seven calls of memory
MEMORY_US = 10_000_000  # us in which evidence fades to a third: ratios, own demand, a slowed pace
HIGH_MARK, LOW_MARK = 0.3, 0.1  # failure ratio: above, the quota steps down; below, it steps up
STEP_DOWN, STEP_UP = 0.7, 0.1  # quota factor for a step down; share of the start for a step up
RETRY_US, RETRY_MAX_US = 200_000, 3_000_000  # us between trials where this relay's part is large
BURST_US = 400_000  # us of its rate that a paced limit may take at once
LATE_SPREADS = 4.0  # spreads over the mean: a call older than this is overdue (about 1 in 50 if exponential)
LIMIT_OVERDUES = 2.5  # time-out of a call that may be repeated, in times of the overdue age
ROOM = 2.0  # the least pace of one that is served is the first guess while more than one in so many is left
PACE_DOWN, PACE_UP, UNTOLD_UP = 0.8, 1.03, 2.0  # pace factors: refused, served, no limit named
PACE_US = 6_000_000  # us in which the pace of one alone grows by a factor of e by itself
FIRST_PARTS, LEAST_PART, MOST_PARTS = 1.0, 0.5, 2.0  # equal parts of a told rate: at first, least, by demand
BUSY_PARTS = 2.0  # at first where nothing tells what the others use, times the root of the group's size
LEFT_AIM, TOLD_GAIN, TOLD_US = 0.5, 2.0, 1_500_000  # share left that keeps a pace; 1/s; longest step, us
STALE_DOWN, STALE_UP = 0.5, 1.005  # factors of the trusted idle age: a reused connection cut; any other end
ASK_GAP_US, ASK_EACH_US = 500_000, 100_000  # us before a failed ask is repeated, at first; for each relay
LISTED_US = 6_000_000  # us after which a change counts as told, once the directory has it and can be reached
FURTHER_WEIGHT = 0.2  # weight of a further message within a call
LIMIT_STRIKES = 1  # refusals in a row that are the limit's, where a report says that it is used up
NEVER_US = 1 << 62
URGENCY_US, KEEP_WORTH = 1_500_000, 0.2  # us ahead in which waiting loses worth; weight of the worth beside

# Whether it is no find of a restart, risk; cost, aim, serial, ..., slot_us.
Front = list[tuple[tuple[bool, float], float, int, int, Message, Lane, float]]
RISKS = {effect: float(order) for order, effect in enumerate(Effect)}  # by what a repeat does


class DecisionEngine(Outages):
    """One sender. Feed it batches of events in order of time; carry out what it returns."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.set, self.rng, self.now, self.actions = settings, random.Random(seed), 0, list[Action]()
        self.manners, self.paused = dict[DeliveryRules, CompiledRules](), False
        self.shares: dict[str, tuple[float, DecayingCounter]] = {}
        self.all_held: Lanes = {}  # over all destinations, by class and worth
        self.messages, self.endpoints = dict[str, Message](), dict[str, Endpoint]()
        self.dests, self.out = dict[int, Destination](), set[str]()  # out: hosts that staff leave out
        self.turns = dict[str, list[Message]]()  # by key: messages in order of arrival
        self.rests = dict[str, int]()  # by key: when an attempt that may still run has died down
        self.wired = dict[tuple[str, int], str]()  # attempts whose call is on the wire still, and their keys
        self.norms: dict[str, LatencyStats] = {}  # by class: latency over all endpoints
        self.arrivals = DecayingCounter(MEMORY_US)
        # Calls lost on connections that had been idle, and on others; the idle age that is trusted.
        self.cut, self.kept = DecayingCounter(MEMORY_US, 1 - WEIGHT), DecayingCounter(MEMORY_US, 1 - WEIGHT)
        # Crowd: no connection.
        self.stale_us, self.crowd = float(settings.keepalive_us), DecayingCounter(MEMORY_US)
        # Failed, refused again.
        self.trials = DecayingCounter(MEMORY_US, 1 - WEIGHT), DecayingCounter(MEMORY_US, 1 - WEIGHT)
        self.open, self.calls_out, self.wake_us, self.serial = 0, 0, -1, 0
        self.made = list[Call]()  # in this step, and not let out yet
        self._change(settings)
        # Next ask; its gap; when the last one was made; from one to the next, at most.
        self.ask_us, self.ask_gap_us = (0 if settings.must_subscribe else -1), self.ask_least_us
        self.asked_us, self.ask_most_us = -LISTED_US, LISTED_US * 2 // 3
        self.forget_us = 0  # when to look next for what is gone
        self.look: dict[int, None] = {}  # destinations that an event or a due time touched
        self.due: list[tuple[int, int]] = []  # heap: when to look at a destination again
        self.ends: list[tuple[int, int, Message]] = []  # heap: when to answer a held message
        # Heap: when a message that a restart found earns credit, and at which destination.
        self.found: list[tuple[int, int]] = []

    def _change(self, settings: Settings) -> None:
        """Go by these settings; what came under others, and what was learned, stays as it is."""
        self.set = settings
        self.kinds = {kind.name: kind for kind in settings.kinds}
        rules = {cls.name: DeliveryRules(cls, settings.max_attempts) for cls in settings.classes}
        self.classes = {name: self._manner(rule) for name, rule in rules.items()}
        known, self.quotas = self.shares, sum(t.quota_per_s for t in settings.tenants)
        fresh = (DecayingCounter(MEMORY_US) for _ in settings.tenants)
        self.shares = {
            t.name: (t.quota_per_s, known[t.name][1] if t.name in known else tally)
            for t, tally in zip(settings.tenants, fresh, strict=True)
        }
        self.budget = Budget(
            settings.group_size, settings.fall_multiple, settings.fall_us,
            settings.cold_from, settings.warm_within_us,
        )  # fmt: skip
        # The more share a limit, the less often each hears of it: paces move the slower.
        self.slow = settings.group_size**0.5
        # A group's asks wait for each other: all at once are all late, and those given up are worked off too.
        self.crowded_us = max(0, ASK_EACH_US * settings.group_size - ASK_GAP_US)
        self.ask_least_us = ASK_GAP_US
        if settings.list_is_pushed:
            # Nobody else asks the agent, and what it has counts as told whether a watch is open or not: with
            # an ask that gets no answer for as long (``directory``), half of a drain's grace may go by.
            self.crowded_us, self.ask_least_us = (
                0,
                max(settings.round_us, settings.drain_grace_us // 4),
            )

    def _manner(self, rules: DeliveryRules) -> CompiledRules:
        """What follows from a set of rules; one for all messages that came under it."""
        if (found := self.manners.get(rules)) is None:
            self.serial += 1
            used = {m.manner.rules for m in self.messages.values()} if len(self.manners) > 64 else None
            if used is not None:  # settings that change all day must not grow the process
                self.manners = {rule: manner for rule, manner in self.manners.items() if rule in used}
            found = CompiledRules(rules, self.serial, bends(rules.cls, self.set.worth_halves, URGENCY_US))
            self.manners[rules] = found
        return found

    def step(self, now_us: int, events: Iterable[Event]) -> list[Action]:
        """Take in every event of the batch, then answer and dispatch once."""
        self.now, self.actions = now_us, []
        idle: list[int] = []
        for event in events:
            if isinstance(event, EndpointUpdate):
                self._roster(event)
            elif isinstance(event, Arrival):
                self._arrive(event)
            elif isinstance(event, Outcome):
                self._outcome(event)
            elif isinstance(event, MessageWithdrawn) and event.id in self.messages:
                self._close(self.messages[event.id])
            elif isinstance(event, CallEnded):
                self._release(event)
            elif isinstance(event, TimerDue) and self.wake_us <= now_us + self.set.round_us:
                self.wake_us = -1  # it has come, be it a little early: no other would
            elif isinstance(event, DestinationIdle):
                idle.append(event.dest)
            elif isinstance(event, EndpointSnapshot) and event.host in self.endpoints:
                self._go_on_from(self.endpoints[event.host], event)
            elif isinstance(event, DispatchPaused):
                self.paused = event.paused
            elif isinstance(event, SettingsChanged):
                self._change(event.settings)
            elif isinstance(event, HostOverride):
                self._by_hand(event.host, event.disabled)
            elif isinstance(event, OutageRecord) and event.host in self.endpoints:
                self._beware(self.endpoints[event.host], event)
        while self.due and self.due[0][0] <= now_us:
            at_us, number = heapq.heappop(self.due)
            if (due := self.dests.get(number)) and due.due_us == at_us:
                self.look[number], due.due_us = None, 0
        while self.found and self.found[0][0] <= now_us:
            self._credit_found(heapq.heappop(self.found)[1])
        self._expire()
        if self.calls_out < self.set.max_calls and not self.paused:  # else what is held is looked at later
            self._dispatch()
            self._let_out()
        for number in idle:  # last: what has come for it meanwhile binds it
            self._let_go(number)
        if 0 <= self.ask_us <= now_us:  # a directory that only answers; an unanswered ask is made again
            self.actions.append(Subscribe())
            self.asked_us = now_us
            self.ask_us = now_us + max(2_000_000, self.set.ask_within_us // 2)
        times = [heap[0][0] for heap in (self.due, self.ends, self.found) if heap]
        times += [self.ask_us] * (self.ask_us >= 0)
        if times and (self.wake_us <= now_us or min(times) < self.wake_us):
            self.wake_us = max(min(times), now_us + self.set.round_us)
            self.actions.append(SetTimer(self.wake_us - now_us))
        return self.actions

    def _roster(self, event: EndpointUpdate) -> None:
        """Follow the directory; where it must be asked, a failed or broken watch is asked for again."""
        if event.kind is EndpointUpdateKind.FAILED:
            if self.set.must_subscribe:
                gap_us = self.ask_gap_us * self.rng.uniform(0.7, 1.3) + self.crowded_us * self.rng.random()
                # It may be back this very moment, whatever has become of the call before: the next one begins
                # within two thirds of the time in which a change counts as told, the rest is for its answer.
                most_us = max(self.asked_us + self.ask_most_us - self.now, self.ask_most_us // 3)
                if gap_us > most_us:
                    gap_us = most_us * self.rng.uniform(0.75, 1.0)
                self.ask_us = self.now + int(gap_us)
                most_us = max(self.ask_least_us, self.set.ask_within_us // 4, 2 * self.crowded_us)
                self.ask_gap_us = (
                    self.ask_least_us if self.set.list_is_pushed else min(2 * self.ask_gap_us, most_us)
                )
            return
        if event.kind in (EndpointUpdateKind.CHANGES, EndpointUpdateKind.FULL):
            self.ask_us, self.ask_gap_us = -1, self.ask_least_us
        elif self.ask_us == 0:  # the first list, perhaps an old one: many may have started just now
            self.ask_us = self.now + int(min(self.crowded_us, self.ask_most_us) * self.rng.random())
        named = {entry.host for entry in event.entries}
        whole = event.kind in (EndpointUpdateKind.FULL, EndpointUpdateKind.CACHED)
        for host, endpoint in self.endpoints.items() if whole else ():
            if host not in named:
                endpoint.follow(Listing.GONE, self.now)
                self.dests[endpoint.dest].listed_anew()
        start = max(1, int(CAP_SHARE * self.set.max_calls))
        # Until an answer tells of a limit: what the members may ask of all, spread evenly.
        fresh = {entry.dest for entry in event.entries if entry.dest not in self.dests}
        even = self.quotas * self._equal(MOST_PARTS) / max(1, len(self.dests) + len(fresh))
        later = event.added_later or (
            bool(self.endpoints) and event.kind is not EndpointUpdateKind.REACTIVATED
        )
        for entry in event.entries:
            dest = self.dests.setdefault(entry.dest, Destination(CallLimiter(MEMORY_US), self.now))
            known, kind = self.endpoints.get(entry.host), self.kinds.get(entry.kind, Kind(entry.kind))
            if known is None or (known.dest, known.kind) != (entry.dest, kind):
                if known is not None:  # the host moved: calls out are settled with the old endpoint
                    del self.dests[known.dest].endpoints[entry.host]
                    self.dests[known.dest].listed_anew()
                # One that comes later may be new and cold: its quota grows from one call with its successes.
                known = self._enlist(entry, kind, 1 if later else start, even)
            elif known.listing is Listing.GONE and entry.listing is Listing.READY:
                # All hear of it in one moment, and nobody knows what it did meanwhile.
                self._doubt(known, "listed again", confirms=False)
            known.follow(entry.listing, self.now)
            dest.listed_anew()
            self.look[entry.dest] = None
            if self.set.rate_hints_given and entry.listing is Listing.READY:
                self._told(known.limit, entry.rate_hint / (1.5 if self.set.rate_hints_rough else 1.0))
        if event.kind is not EndpointUpdateKind.REACTIVATED and self.now >= self.forget_us:
            self._forget()

    def _enlist(self, entry: EndpointEntry, kind: Kind, quota: int, pace: float) -> Endpoint:
        """An endpoint of which nothing is known yet."""
        dest = self.dests[entry.dest]
        new = Endpoint(
            entry, kind, dest.limit, CallLimiter(MEMORY_US), DecayingCounter(MEMORY_US, 1 - WEIGHT)
        )
        new.start, new.quota, new.out = (
            max(1, int(CAP_SHARE * self.set.max_calls)),
            quota,
            entry.host in self.out,
        )
        if new.limit.pace == math.inf and pace:
            new.limit.pace, new.limit.pace_us = pace, self.now
        self.endpoints[entry.host] = dest.endpoints[entry.host] = new
        return new

    def _by_hand(self, host: str, out: bool) -> None:
        """Nothing new goes to what is out. What is back is a new process: cold, nothing is known of it."""
        was, old = host in self.out, self.endpoints.get(host)
        (self.out.add if out else self.out.discard)(host)
        if old is None or was == out:
            return
        old.out = out
        if not out:  # calls out are settled with the old endpoint
            entry = EndpointEntry(host, old.dest, old.zone, old.kind.name, old.listing)
            new = self._enlist(entry, old.kind, 1, old.limit.pace if old.limit.pace < math.inf else 0.0)
            new.gone_us, new.limit.rate = old.gone_us, old.limit.rate
            new.own.slow.begin_cold(self.now, self.budget, self.rng.random())
            self._care(new, self.set.warm_within_us + self.set.fall_us, OutageRecordKind.RECOVERY)
        self.dests[old.dest].listed_anew()
        self.look[old.dest] = None

    def learned(self) -> list[EndpointSnapshot]:
        """What a successor may go on from."""
        return [
            EndpointSnapshot(
                e.host, max(0, e.limit.wait_us - self.now), e.quota,
                self._pace(e.limit) if e.limit.pace < math.inf else 0.0, e.limit.rate,
                self.now - e.own.slow.cold_since_us if e.own.slow.phase is Phase.SLOW_START else -1,
                e.own.slow.credit_available_in_us(self.now, self.budget),
            )
            for e in self.endpoints.values() if e.listing is not Listing.GONE
        ]  # fmt: skip

    def _go_on_from(self, endpoint: Endpoint, event: EndpointSnapshot) -> None:
        """The process before this one had come so far here."""
        limit = endpoint.limit
        limit.wait_us = max(limit.wait_us, self.now + event.wait_us)
        endpoint.quota = max(FLOOR_SHARE * endpoint.start, min(endpoint.start, event.quota))
        limit.rate = event.announced_rate_per_s
        if event.send_rate_per_s:
            limit.pace, limit.pace_us = event.send_rate_per_s, self.now
        if event.cold_for_us >= 0:  # its budget goes on from where it was, and no second trial begins it anew
            endpoint.own.slow.resume(self.now, self.budget, event.cold_for_us, event.next_call_in_us)
            endpoint.own.strikes, endpoint.own.next_us = 0, self.now

    def _forget(self) -> None:
        """Let go of hosts that are gone and of destinations that nothing speaks of: ids are ever new.

        What binds stays: open calls, a wait, the pause or cold return of a host that may be listed again.
        """
        self.forget_us = self.now + FORGET_EACH_US
        for host, endpoint in [pair for pair in self.endpoints.items() if pair[1].listing is Listing.GONE]:
            over = self.now - endpoint.gone_us > FORGET_US and self.now > self._until_us(endpoint)
            if over and not endpoint.calls:
                del self.endpoints[host], self.dests[endpoint.dest].endpoints[host]
        if any(not dest.endpoints and not dest.held for dest in self.dests.values()):
            used = {message.dest for message in self.messages.values()}
            for number, dest in list(self.dests.items()):
                if not dest.endpoints and not dest.held and number not in used:
                    del self.dests[number]
                    self.look.pop(number, None)

    def _let_go(self, number: int) -> None:
        """Forget an idle destination, unless something of it still binds; an outage does until it is over."""
        if (dest := self.dests.get(number)) is not None:
            if self._bound(number, dest):
                return
            for host in dest.endpoints:
                del self.endpoints[host]
            del self.dests[number]
            self.look.pop(number, None)
        self.actions.append(DestinationDeactivated(number))

    def avoided(self) -> int:
        """Listed endpoints that nothing new is sent to now: out by hand, draining, or paused by an outage."""
        listed = [e for e in self.endpoints.values() if e.listing is not Listing.GONE]
        return sum(e.out or e.listing is Listing.DRAINING or self._ill(e) for e in listed)

    def phases(self) -> dict[str, int]:
        """Listed endpoints by what they are taken to be."""
        counts = dict.fromkeys((phase.value for phase in Phase), 0)
        for endpoint in self.endpoints.values():
            if endpoint.listing is not Listing.GONE:
                counts[endpoint.slow.phase.value] += 1
        return counts

    def _until_us(self, endpoint: Endpoint) -> int:
        """When no wait, pause or cold return binds there any more."""
        return max(max(g.pause_us, g.slow.cold_since_us + self.set.warm_within_us) for g in endpoint.guards)

    def _bound(self, number: int, dest: Destination) -> bool:
        """Whether a message, a call, a wait, a pause, an outage or a cold return there still binds."""
        for endpoint in dest.endpoints.values():
            struck = any(g.strikes for g in endpoint.guards)
            if endpoint.calls or struck or self.now <= max(self._until_us(endpoint), endpoint.care_us):
                return True
        # A call may be out at an endpoint that has moved: its message is all that is left of it here.
        return bool(self.wired) or any(message.dest == number for message in self.messages.values())

    def _told(self, limit: CallLimiter, rate: float | None, left: float | None = None) -> None:
        """A rate told for all relays bounds the pace; the share of it that is left shows what others use.

        All that share the limit are told alike. So each moves its pace from its equal part by the same factor
        for the same news, and the sum of them settles where some of the limit is left.
        """
        if not (rate and 0 < rate < math.inf):
            if not limit.rate:  # an answer that names no limit: there may be none
                limit.pace = self._pace(limit) * UNTOLD_UP
            return
        if left is not None and not 0 <= left <= 1:
            left = None
        if not limit.rate:  # where nothing tells what the others use, one that is busy may take more
            parts = self._first(left) if left is not None else BUSY_PARTS * self.slow
            limit.pace, limit.pace_us = rate * self._equal(parts), self.now
        limit.rate = rate
        if left is not None and (rate, left) != limit.told:  # fresh news only
            age_s = min(self.now - limit.told_us, TOLD_US) / 1e6 if limit.told_us > 0 else 0.0
            pace = self._pace(limit) * math.exp(TOLD_GAIN / self.slow * (left - LEFT_AIM) * age_s)
            least = rate * self._equal(LEAST_PART if limit.strikes else self._first(left))
            limit.pace = min(rate, max(least, pace))
            limit.told, limit.told_us = (rate, left), self.now

    def _first(self, left: float) -> float:
        """Equal parts of a limit that one which is served begins with; of two relays, one may have it all."""
        size = self.set.group_size
        return max(LEAST_PART, FIRST_PARTS * size / max(1, size - 1) * min(1.0, ROOM * left))

    def _equal(self, parts: float) -> float:
        """So many equal parts of what the group shares, and at most the whole."""
        return min(1.0, parts / self.set.group_size)

    def _arrive(self, event: Arrival) -> None:
        manner = self._manner(event.rules) if event.rules else self.classes.get(event.cls)
        if manner is None or event.id in self.messages:
            return
        worth = manner.rules.cls.worth
        self.arrivals.add(False, self.now)
        if event.tenant in self.shares:  # beyond its part of this relay's own traffic it is worth little
            quota, own = self.shares[event.tenant]
            own.add(False, self.now)
            part = self.arrivals.rate(self.now) * quota / max(quota, self.quotas)
            part = max(part, quota / self.set.group_size)
            if self.rng.random() * own.rate(self.now) > part + 2e6 / MEMORY_US:
                worth *= self.set.over_share_worth
        message = self.messages[event.id] = Message(event, manner, self.now, worth)
        self.open += 1
        dest = self.dests.setdefault(event.dest, Destination(CallLimiter(MEMORY_US), self.now))
        ready = dest.ready()
        for limit in (limits := {id(e.limit): e.limit for e in ready}).values():
            limit.demand.add(False, self.now, 1 / len(limits))
        if event.recovered_untried:
            # All relays may have been restarted together; what they found came over a while, and does again.
            at_us = self.now + int(self.rng.random() * message.cls.deadline_us)
            if at_us < message.deadline_us:
                heapq.heappush(self.found, (at_us, event.dest))
        elif not event.attempts:  # what was tried before a restart was reckoned with before it
            dest.traffic.add(False, self.now)
            self._credit(dest, ready)
        if message.key:
            self.turns.setdefault(message.key, []).append(message)
            if message.risky_us >= 0:  # a try of a former life may still run
                self.rests[message.key] = self.now + self.set.order_pause_us
        self._hold(message)

    def _hold(self, message: Message) -> None:
        """Keep it for the dispatch, and note when it has to be answered."""
        dest = self.dests[message.dest]
        dest.held[message.id], self.look[message.dest] = message, None
        self.serial += 1
        message.serial = self.serial
        self.all_held.setdefault(self._alike(message), Lane()).add(message)
        self._enter(dest, message)
        self._await_end(message)

    _alike = staticmethod(lambda message: (message.manner.number, message.worth, message.first))

    def _await_end(self, message: Message) -> None:
        """Look at a held message again when its time is over."""
        self.serial += 1
        heapq.heappush(self.ends, (self._end_us(message), self.serial, message))
        if len(self.ends) > 2 * len(self.messages) + 64:  # most messages are over long before their time is
            self.ends = [item for item in self.ends if not item[2].done]
            heapq.heapify(self.ends)

    def _enter(self, dest: Destination, message: Message) -> None:
        """Put a held message where the dispatch finds it, once order by key lets it go."""
        if self._has_turn(message):
            dest.resting.pop(message.id, None)
            put(dest.lanes, message)
        elif self.turns[message.key][0] is message:
            dest.resting[message.id] = message

    def _unhold(self, message: Message) -> None:
        """It is on its way, or over."""
        dest = self.dests[message.dest]
        if dest.held.pop(message.id, None) is None:
            return
        alike = self.all_held[self._alike(message)]
        alike.remove(message)
        if not alike.entries:
            del self.all_held[self._alike(message)]
        dest.resting.pop(message.id, None)
        if message.lane:
            take(dest.lanes, message)

    def _end_us(self, message: Message) -> int:
        """When its time or window covers no further call."""
        cls, risky = message.cls, message.risky_us >= 0
        if message.attempts >= message.most or (risky and cls.effect is Effect.UNSAFE):
            return self.now
        end = message.deadline_us - int(max(4 * self.set.round_us, self._record(message).mean_us / 2))
        return min(end, self._known_us(message)) if risky and cls.effect is Effect.KEYED else end

    def _known_us(self, message: Message) -> int:
        """Until when the key of a message that may have run is known, so that a repeat is dropped."""
        return message.risky_us + message.cls.window_us - self.set.round_us

    def _outcome(self, event: Outcome) -> None:
        """Settle one attempt: its call, the endpoint's figures, then the message."""
        message = self.messages.get(event.id)
        if message is None or (call := message.out.pop(event.attempt, None)) is None:
            return
        endpoint, verdict = call.endpoint, event.verdict
        self.look[message.dest] = None
        endpoint.limit.wait_us = max(
            endpoint.limit.wait_us, self.now + event.retry_after_us * (event.retry_after_us > 0)
        )
        call.open -= 1
        if call.open == 0:
            endpoint.calls.remove(call)
            endpoint.used_us = self.now
            self.calls_out -= 1
            self._told(endpoint.limit, event.limit_per_s, event.limit_remaining)
            if verdict not in (Verdict.CANCELLED, Verdict.NOT_SENT):
                self._learn(call, message, event)
            # Many relays' idle connections fill a small table: close one that will hardly serve again.
            # What has never served, or keeps failing, is down, and its table is not full.
            own, refused = endpoint.own, verdict is Verdict.CONNECT_FAILED
            self.crowd.add(refused and own.ok_us >= 0 and own.strikes < 2, self.now)
            rare = self._part(endpoint, endpoint.own) * self.set.keepalive_us < 1e6
            if not endpoint.calls and (rare or self.crowd.share(self.now) > LOW_MARK):
                self.actions.append(CloseIdle(endpoint.host))
                endpoint.used_us = 0
        if not verdict.never_ran and verdict is not Verdict.OK:
            if message.risky_us < 0 or call.sent_us < message.risky_us:
                message.risky_us, message.risky_zone = call.sent_us, endpoint.zone
            message.timeouts += verdict is Verdict.TIMEOUT
            if message.key and event.call_continues:
                self.wired[event.id, event.attempt] = message.key
            if message.key in self.wired.values():  # an earlier attempt's call may be on the wire still
                self.rests[message.key] = NEVER_US
            elif message.key and verdict is not Verdict.ERROR:
                self.rests[message.key] = self.now + self.set.order_pause_us
        if event.complete or message.done:
            if verdict is Verdict.OK:
                self.dests[message.dest].traffic.served()
            self._close(message)
        elif not message.out:  # held again; what may not be repeated is answered after the whole batch
            self._hold(message)

    def _release(self, event: CallEnded) -> None:
        """The last byte of an attempt is accounted for: from now its key only rests."""
        key = self.wired.pop((event.id, event.attempt), "")
        if key and key not in self.wired.values():
            self.rests[key] = self.now + self.set.order_pause_us
            self.look.update({other.dest: None for other in self.turns.get(key, [])[:1]})

    def _learn(self, call: Call, message: Message, event: Outcome) -> None:
        """What the end of a call says of its connection, its class there, its endpoint and its limit."""
        endpoint, verdict, name = call.endpoint, event.verdict, message.cls.name
        usual_us, failed = self._record(message, endpoint).mean_us, verdict is not Verdict.OK
        lost = verdict in (Verdict.RESET, Verdict.TIMEOUT)
        (self.cut if call.idle_us else self.kept).add(lost, self.now)
        self.stale_us = min(STALE_UP * self.stale_us, self.set.keepalive_us)
        if lost and call.idle_us and self.cut.share(self.now) > 2 * self.kept.share(self.now):
            # Calls on connections that were idle are lost far more often: something cuts them. Close sooner.
            self.stale_us = max(STALE_DOWN * self.stale_us, min(self.stale_us, 0.8 * call.idle_us))
            if verdict is Verdict.RESET and event.elapsed_us < usual_us / 2:
                # Most likely no failure of the endpoint; but one that goes down cuts idle connections too.
                self._suspect_outage(endpoint, endpoint.own, call, message, event)
                self._follow_up(endpoint, endpoint.own, event)
                return
        for table in (endpoint.records, self.norms) if not failed else (endpoint.records,):
            record = table.setdefault(name, self._fresh(usual_us if failed else event.elapsed_us))
            if not failed:
                record.learn(event.elapsed_us, WEIGHT)
        self._judge(endpoint, failed)
        if verdict is not Verdict.FULL:
            endpoint.records[name].bad.add(failed, self.now)
        if failed:
            guard = endpoint.limit if verdict is Verdict.FULL else endpoint.own
            self._fail(endpoint, guard, call, message, event)
            self._follow_up(endpoint, guard, event)
            return
        for guard in endpoint.guards:
            if guard.strikes:
                self.trials[guard.refused].add(False, self.now)
            guard.strikes = 0
            change = guard.slow.on_success(self.now, call.sent_us, self.budget)
            self._report(endpoint, change, message)
            if change and change.after is Phase.SLOW_START:
                self._care(endpoint, self.set.warm_within_us + self.set.fall_us, OutageRecordKind.RECOVERY)
            elif endpoint.care_us > self.now and all(g.slow.phase is Phase.HEALTHY for g in endpoint.guards):
                self._care(endpoint, 0, OutageRecordKind.RECOVERY)
        endpoint.limit.served.add(False, self.now)
        endpoint.limit.pace = self._pace(endpoint.limit) * PACE_UP

    def _judge(self, endpoint: Endpoint, failed: bool) -> None:
        """The notes' rule: average the failure ratio and step the quota by its marks."""
        endpoint.ratio.add(failed, self.now)
        if failed and endpoint.ratio.share(self.now) > HIGH_MARK:
            endpoint.quota = max(FLOOR_SHARE * endpoint.start, endpoint.quota * STEP_DOWN)
        elif not failed or endpoint.ratio.share(self.now) < LOW_MARK:
            endpoint.quota = min(endpoint.start, endpoint.quota + STEP_UP * endpoint.start)

    def _suspect(self, endpoint: Endpoint) -> bool:
        """Whether a call is overdue and no answer came since: a hang, seen before its time-outs."""
        ok_us = endpoint.limit.ok_us
        for call in endpoint.calls:
            if self.now - call.sent_us > call.overdue_us >= ok_us - call.sent_us:
                return True
        return False

    def _ill(self, endpoint: Endpoint) -> bool:
        for guard in endpoint.guards:
            if guard.strikes > 1:
                return True
            if guard.strikes and self.trials[guard.refused].share(self.now) > OUTAGE_MARK:
                return True
        return False

    def _fail(
        self, endpoint: Endpoint, guard: CallLimiter, call: Call, message: Message, event: Outcome
    ) -> None:
        """A strike, a pause before the next trial, and what it says of an outage."""
        verdict, refused = event.verdict, event.verdict is Verdict.FULL
        beside = self.now - guard.ok_us < RECENT_SUCCESS_US
        if not refused or not self._limit_used_up(guard, event) or guard.strikes >= LIMIT_STRIKES:
            self._suspect_outage(endpoint, guard, call, message, event)
        if beside and verdict is Verdict.CONNECT_FAILED:  # a connection limit: the quota shrinks, no strike
            guard.next_us = max(guard.next_us, self.now + RETRY_US)
            return
        if guard.strikes and call.sent_us > guard.strike_us:
            self.trials[refused].add(True, self.now)
        if call.sent_us > guard.strike_us or not guard.strikes:
            guard.strikes, guard.strike_us, guard.refused = guard.strikes + 1, self.now, refused
            if refused:  # a told rate may hold no more, or others use it up: fall to half of what is served
                least = min(1e6 / RETRY_MAX_US, LEAST_PART * guard.rate * self._equal(1) or math.inf)
                pace = PACE_DOWN * min(self._pace(guard), self._part(endpoint, guard))
                guard.pace = max(pace, 0.5 * guard.served.rate(self.now), least)
        if verdict is Verdict.ERROR:  # it answers: the next may be served, and at once
            return
        gap_us = min(RETRY_US * 2.0 ** min(guard.strikes - 1, 10), RETRY_MAX_US)
        if guard.slow.needs_credit(self.now):
            # Credit spreads the calls of all relays. Behind a told wait, which ends for all, it is alone.
            if guard.wait_us <= self.now:
                pause_us = int(gap_us * self.rng.uniform(0.3, 1.3))
                guard.next_us = max(guard.next_us, self.now + pause_us)
                guard.slow.pause(guard.next_us)
            return
        start_us = max(self.now, guard.wait_us)
        if refused and guard.told_us > 0:
            # What a limit refuses uses it up too: all that come back at their waits' ends keep it used up. At
            # its lowered pace, and no two alike, each comes back late enough for the group to fit.
            guard.next_us = max(guard.next_us, start_us + int(2e6 / guard.pace * self.rng.random()))
        if not refused or guard.strikes > 1 or not beside:
            guard.next_us = max(guard.next_us, start_us + int(gap_us * self.rng.uniform(0.3, 1.3)))
        else:  # all that were told to wait would come back at once
            guard.next_us = max(guard.next_us, start_us + int((start_us - self.now) * self.rng.random()))

    def _pace(self, limit: CallLimiter) -> float:
        """This relay's pace at a limit; it grows with time, and faster with successes."""
        in_us = PACE_US * self.slow if limit.told_us > 0 else MEMORY_US
        grown = limit.pace * math.exp(min(50.0, (self.now - limit.pace_us) / in_us))
        limit.pace, limit.pace_us = min(grown, limit.rate or math.inf), self.now
        return limit.pace

    def _part(self, endpoint: Endpoint, guard: CallLimiter) -> float:
        """This relay's part of the calls a second there: an equal one, or by its own demand."""
        limit = endpoint.limit
        part = max(limit.rate * self._equal(1), limit.demand.rate(self.now), 1e-3)
        if limit.rate:  # what all ask for together may be far more than there is
            part = min(part, limit.rate * self._equal(MOST_PARTS))
        return part / (1 if guard is limit else max(1, len(self.dests[endpoint.dest].ready())))

    def _why_over(self, message: Message) -> GiveUpReason:
        """Why no further call is made for a message whose end has come."""
        if message.attempts >= message.most:
            return GiveUpReason.NO_ATTEMPTS_LEFT
        if message.risky_us < 0 or message.cls.effect is Effect.SAFE:
            return GiveUpReason.NO_TIME
        if message.cls.effect is Effect.UNSAFE:
            return GiveUpReason.NOT_REPEATABLE
        return GiveUpReason.KEY_EXPIRED if self._known_us(message) <= self.now else GiveUpReason.NO_TIME

    def _give_up(self, message: Message, reason: GiveUpReason) -> None:
        """Answer for good: a refusal where a retry is harmless, else a failure."""
        keyed_anywhere = message.cls.effect is Effect.KEYED and not message.cls.scope_is_zone
        harmless = message.cls.effect is Effect.SAFE or message.risky_us < 0 or keyed_anywhere
        # One figure for all would bring their clients back together.
        wait_us = int(self.set.max_retry_after_us * self.set.advise_retry * self.rng.uniform(0.5, 1.0))
        answer = Refuse(message.id, wait_us, reason) if harmless else Fail(message.id, reason)
        self.actions.append(answer)
        self._close(message)

    def _close(self, message: Message) -> None:
        """The message is over; it stays known while attempts are out."""
        self.open -= not message.done
        message.done = True
        self._unhold(message)
        if message.out:
            return
        self.messages.pop(message.id, None)
        if queue := self.turns.get(message.key):
            queue.remove(message)
            for other in queue[:1]:
                self.look[other.dest] = None
                if other.id in self.dests[other.dest].held and not other.lane:
                    self._enter(self.dests[other.dest], other)
            if not queue:
                del self.turns[message.key]
        if len(self.rests) > 2 * len(self.turns) + 64:
            self.rests = {key: at_us for key, at_us in self.rests.items() if at_us > self.now}

    def _record(self, message: Message, endpoint: Endpoint | None = None) -> LatencyStats:
        """What a call takes there, else anywhere, else a guess: a quarter of the aim, spread as wide."""
        here = endpoint.records.get(message.cls.name) if endpoint else None
        return here or self.norms.get(message.cls.name) or self._fresh(message.cls.aim_us / 4)

    _fresh = staticmethod(lambda guess_us: LatencyStats(guess_us, DecayingCounter(MEMORY_US, 1 - WEIGHT)))

    def _expire(self) -> None:
        """Answer held messages whose time or window covers no call, and the least worthy over the bound."""
        while self.ends and self.ends[0][0] <= self.now:
            message = heapq.heappop(self.ends)[2]
            # What a call takes may have changed since.
            if not message.done and message.id in self.dests[message.dest].held:
                if self._end_us(message) > self.now:
                    self._await_end(message)
                else:
                    self._give_up(message, self._why_over(message))
        for dest in [self.dests[number] for number in self.look]:
            start = min([e.limit.wait_us for e in dest.ready()], default=0) if dest.held else 0
            if start > self.now:  # told to wait past the message's time: answer now
                for message in self._ending(dest, start):
                    self._give_up(message, GiveUpReason.WAIT_EXCEEDS_DEADLINE)
        for _ in range(self.open - max(1, self.set.max_held_messages - 1)):
            if worst := self._worst():
                self._give_up(worst, GiveUpReason.BACKLOG_FULL)

    def _worst(self) -> Message | None:
        """The least worthy of all that is held."""
        # What a restart has found untried was taken on before, and is given up last.
        lanes = [lane for lane in self.all_held.values() if not lane.entries[0][2].first]
        lanes = lanes or list(self.all_held.values())
        return min(lane.least(*self._when(lane), self._score) for lane in lanes)[-1] if lanes else None

    def _ending(self, dest: Destination, start_us: int) -> list[Message]:
        """What is held there and whose time is over by then; of a lane that never ran the oldest go first."""
        apart = [m for m in dest.held.values() if not m.lane] if self.turns else []  # without a turn
        found = [m for m in apart if self._end_us(m) <= start_us]
        for lane in dest.lanes.values():
            risky = lane.entries[0][2].risky_us >= 0
            for _, _, message in lane.entries:
                if self._end_us(message) <= start_us:
                    found.append(message)
                elif not risky:  # the others have more time
                    break
        return sorted(found, key=lambda m: (m.aim_us, m.serial))

    def _when(self, lane: Lane) -> tuple[float, tuple[int, ...]]:
        """When a lane's messages would be delivered if sent now, and where their score may bend."""
        message = lane.entries[0][2]
        return self.now + self._record(message).mean_us, message.manner.bends

    def _worth(self, message: Message, at_us: float) -> float:
        """What the message earns if delivered at that time."""
        if at_us >= message.deadline_us:
            return 0.0
        if (late_us := at_us - message.aim_us) <= 0:
            return message.worth
        cls = message.cls
        if self.set.worth_halves:
            return message.worth * max(cls.late_worth, math.pow(0.5, late_us / max(1, cls.aim_us)))
        return message.worth * (1 - (1 - cls.late_worth) * late_us / max(1, cls.deadline_us - cls.aim_us))

    def _score(self, message: Message, at_us: float | None = None) -> float:
        """Worth lost by waiting a while longer, and a part of the worth itself, if it is there then."""
        if at_us is None:
            at_us = self.now + self._record(message).mean_us
        now = self._worth(message, at_us)
        return now - self._worth(message, at_us + URGENCY_US) + KEEP_WORTH * now

    def _dispatch(self) -> None:
        """One pass over what is held at the destinations to look at, best first."""
        front: Front = []
        short, looked = self.calls_out >= SICK_SHARE * self.set.max_calls, list(self.look)
        for dest in [self.dests[number] for number in looked]:
            for message in list(dest.resting.values()):
                self._enter(dest, message)
            if dest.lanes and (rooms := [e for e in dest.ready() if self._room(dest, e)]):
                ill = any(g.strikes for e in dest.endpoints.values() for g in e.guards)
                slots_us = dict[str, float]()  # by class: alike for all that are held here
                for lane in dest.lanes.values():
                    message = lane.entries[0][2]
                    # Trials of what fails cost least with what may be repeated, and take turns. With slots
                    # short, worth counts by time in a slot, or crawling destinations take them all.
                    turn = message.attempts / message.most
                    risk = ill * (RISKS[message.cls.effect] + turn)
                    if (slot_us := slots_us.get(message.cls.name)) is None:
                        slot_us = min(self._record(message, e).mean_us for e in rooms) if short else 1.0
                        slots_us[message.cls.name] = slot_us
                    self._offer(front, lane, (not message.first, risk), slot_us)
        opened: dict[str, Call] = {}
        while front:
            order, _, _, _, message, lane, slot_us = heapq.heappop(front)
            if spots := self._spots(message, opened):  # else there is none for any other of its lane
                self._send(message, min(spots, key=lambda e: self._cost(message, e)), opened)
                if lane.entries:
                    self._offer(front, lane, order, slot_us)
        self._due_again(looked)

    def _let_out(self) -> None:
        """What travels together has one time-out, the longest; only a message's own end may come before it.

        With one of its own, a message would be tried again while the call that carries it is still out.
        """
        for call in self.made:
            longest_us = max(limit_us for _, limit_us in call.carried)
            for message, _ in call.carried:
                limit_us = min(longest_us, max(1, message.deadline_us - self.now))
                by_us = 0
                if message.cls.effect is Effect.KEYED and message.risky_us >= 0:  # it may connect for long
                    by_us = max(1, self._known_us(message) - self.now)
                self.actions.append(Send(message.id, call.endpoint.host, limit_us, by_us))
            call.carried.clear()
        self.made.clear()

    def _due_again(self, looked: list[int]) -> None:
        """When to look at these destinations again, where something is held."""
        if self.calls_out < self.set.max_calls:  # else what is held waits for a slot and is looked at again
            self.look = {}
        for number in looked:
            if (dest := self.dests[number]).held:
                times = [e.clear_us(self.now, self.budget) for e in dest.ready()]
                times += [self.rests.get(m.key, 0) for m in dest.resting.values()]
                later = min((at_us for at_us in times if at_us > self.now), default=0)
                if later and not self.now < dest.due_us <= later:  # one that is noted brings us here again
                    dest.due_us = later
                    heapq.heappush(self.due, (later, number))

    def _offer(self, front: Front, lane: Lane, order: tuple[bool, float], slot_us: float) -> None:
        """A lane's best message, before all that are worse; of what a restart found whose time ends first."""
        if (first := lane.entries[0])[2].first:
            heapq.heappush(front, (order, float(first[2].deadline_us), *first, lane, slot_us))
            return
        at_us, late_us = self._when(lane)
        cost, aim_us, serial, message = lane.least(at_us, late_us, lambda m: -self._score(m, at_us))
        heapq.heappush(front, (order, cost / slot_us, aim_us, serial, message, lane, slot_us))

    def _spots(self, message: Message, opened: dict[str, Call]) -> list[Endpoint]:
        """Endpoints that take the message now: in a call of this pass, else in one more."""
        dest, zone = self.dests[message.dest], bound_zone(message)
        spots = [e for e in dest.ready() if zone is None or e.zone == zone]
        shared = [e for e in spots if e.host in opened and opened[e.host].messages < opened[e.host].most]
        # Sends of one step to one endpoint share a call as far as its kind allows, whatever is meant here.
        spots = [e for e in spots if e.host not in opened or opened[e.host].messages >= e.kind.batch_size]
        return shared or [e for e in spots if self._room(dest, e)]

    def _has_turn(self, message: Message) -> bool:
        """Whether order by key lets the message go now; the one that has the turn may be repeated at once."""
        first = not message.key or self.turns[message.key][0] is message
        return first and (message.attempts > 0 or self.now >= self.rests.get(message.key, 0))

    def _room(self, dest: Destination, endpoint: Endpoint) -> bool:
        """Whether one more call to the endpoint is within slots, cap, quota, wait, pace and suspicion."""
        if self.calls_out >= self.set.max_calls or len(endpoint.calls) >= max(1, int(endpoint.quota)):
            return False
        if self.now < endpoint.clear_us(self.now, self.budget):
            return False
        others = dest.endpoints.values()
        if self._suspect(endpoint) or (self._ill(endpoint) and any(e.calls for e in others if self._ill(e))):
            return False
        out = 0
        for other in others:
            out += len(other.calls)
        if out < max(
            1, int(SICK_SHARE * self.set.max_calls)
        ):  # within the lower cap nobody asks which one binds
            return True
        sick = any(e.ratio.share(self.now) > HIGH_MARK or self._ill(e) or self._suspect(e) for e in others)
        return not sick and out < max(1, int(CAP_SHARE * self.set.max_calls))

    def _cost(self, message: Message, endpoint: Endpoint) -> float:
        """Time to be served there, with its failures and its fee turned into time."""
        record, fee = self._record(message, endpoint), self.set.zone_fees.get(endpoint.zone, 0.0)
        bad = max(record.bad.share(self.now), endpoint.ratio.share(self.now))
        return record.mean_us * (len(endpoint.calls) + 1) / max(0.1, 1 - bad) + fee * message.cls.deadline_us

    def _send(self, message: Message, endpoint: Endpoint, opened: dict[str, Call]) -> None:
        record, limit_us = self._record(message, endpoint), message.deadline_us - self.now
        overdue = record.mean_us + LATE_SPREADS * max(record.spread_us, record.mean_us / 2)
        if message.cls.effect is not Effect.UNSAFE:  # one that times out is lost: it runs on
            limit_us = min(limit_us, int(LIMIT_OVERDUES * overdue) << min(message.timeouts, 8))
        if (call := opened.get(endpoint.host)) is None or call.messages >= call.most:
            if (idle_us := self.now - (endpoint.used_us or self.now)) > self.stale_us:
                self.actions.append(CloseIdle(endpoint.host))
                idle_us = 0
            call = opened[endpoint.host] = Call(endpoint, self.now, overdue, idle_us)
            for guard in endpoint.guards:
                if endpoint.kind.batch_size > 1 and guard.slow.phase is not Phase.HEALTHY:
                    load = self._load(self.dests[endpoint.dest], guard)
                    weight = guard.slow.max_call_weight(self.now, self.budget, load)
                    call.most = int(min(call.most, 1 + (weight - 1) / FURTHER_WEIGHT))
            endpoint.calls.append(call)
            self.made.append(call)
            self.calls_out += 1
            limit = endpoint.limit
            paced = not limit.slow.needs_credit(self.now)  # else credit is the pace
            if paced and (pace := self._pace(limit)) < math.inf:
                gap_us = int(1e6 / pace * self.rng.uniform(0.5, 1.5))  # not back together
                limit.next_us = max(limit.next_us, self.now - BURST_US) + gap_us
        first = call.messages == 0
        # What travels with others weighs a part of a call.
        endpoint.slow.spend(self.now, self.budget, 1.0 if first else FURTHER_WEIGHT, first=first)
        self._unhold(message)  # before its tries and what they may have done say another lane
        message.first = False
        call.messages, call.open = call.messages + 1, call.open + 1
        message.out[message.attempts], message.attempts = call, message.attempts + 1
        call.carried.append((message, max(1, limit_us)))
