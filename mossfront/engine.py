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

from mossfront.backlog import Lane, Lanes, score_breakpoints, required_zone, add_to_lane, remove_from_lane
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
from mossfront.outages import OUTAGE_FAILURE_RATIO, OutageTracking
from mossfront.slow_start import RECENT_US, Budget, Phase
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

MAX_CALL_SHARE, MAX_FAILING_CALL_SHARE = (
    0.75,
    0.5,
)  # of slots: calls to one healthy, one failing or slow destination
FORGET_GONE_HOST_US = (
    20_000_000  # us after which a host that is gone is forgotten, if nothing binds it any more
)
FORGET_INTERVAL_US = 1_000_000  # us between looks for such hosts
MIN_QUOTA_SHARE = 0.02  # of the starting quota: what a server that never answers keeps (the notes' 2%)
NEWEST_CALL_WEIGHT = 0.15  # of the newest call in ratios and latencies: about seven calls of memory
EVIDENCE_DECAY_US = 10_000_000  # us in which evidence fades to a third: ratios, own demand, a slowed pace
HIGH_FAILURE_RATIO, LOW_FAILURE_RATIO = (
    0.3,
    0.1,
)  # failure ratio: above, the quota steps down; below, it steps up
QUOTA_DECREASE_FACTOR, QUOTA_INCREASE_SHARE = (
    0.7,
    0.1,
)  # quota factor for a step down; share of the start for a step up
MIN_RETRY_PAUSE_US, MAX_RETRY_PAUSE_US = (
    200_000,
    3_000_000,
)  # us between trials where this relay's part is large
RATE_BURST_US = 400_000  # us of its rate that a paced limit may take at once
OVERDUE_SPREADS = (
    4.0  # spreads over the mean: a call older than this is overdue (about 1 in 50 if exponential)
)
TIMEOUT_OVERDUE_MULTIPLE = 2.5  # time-out of a call that may be repeated, in times of the overdue age
UNUSED_LIMIT_FACTOR = (
    2.0  # the least pace of one that is served is the first guess while more than one in so many is left
)
REFUSED_RATE_FACTOR, SERVED_RATE_FACTOR, UNLIMITED_RATE_FACTOR = (
    0.8,
    1.03,
    2.0,
)  # pace factors: refused, served, no limit named
RATE_GROWTH_US = 6_000_000  # us in which the pace of one alone grows by a factor of e by itself
INITIAL_EQUAL_SHARES, MIN_EQUAL_SHARES, MAX_EQUAL_SHARES = (
    1.0,
    0.5,
    2.0,
)  # equal parts of a told rate: at first, least, by demand
UNREPORTED_EQUAL_SHARES = (
    2.0  # at first where nothing tells what the others use, times the root of the group's size
)
TARGET_SHARE_LEFT, SHARE_LEFT_GAIN_PER_S, MAX_REPORT_INTERVAL_US = (
    0.5,
    2.0,
    1_500_000,
)  # share left that keeps a pace; 1/s; longest step, us
IDLE_AGE_LOSS_FACTOR, IDLE_AGE_GROWTH_FACTOR = (
    0.5,
    1.005,
)  # factors of the trusted idle age: a reused connection cut; any other end
SUBSCRIBE_RETRY_US, SUBSCRIBE_SPREAD_PER_RELAY_US = (
    500_000,
    100_000,
)  # us before a failed ask is repeated, at first; for each relay
LIST_CHANGE_KNOWN_US = (
    6_000_000  # us after which a change counts as told, once the directory has it and can be reached
)
EXTRA_MESSAGE_WEIGHT = 0.2  # weight of a further message within a call
MAX_LIMIT_REFUSALS = 1  # refusals in a row that are the limit's, where a report says that it is used up
FAR_FUTURE_US = 1 << 62
URGENCY_HORIZON_US, WORTH_WEIGHT = (
    1_500_000,
    0.2,
)  # us ahead in which waiting loses worth; weight of the worth beside

# Whether it is no find of a restart, risk; cost, aim, serial, ..., slot_us.
DispatchQueue = list[tuple[tuple[bool, float], float, int, int, Message, Lane, float]]
REPEAT_RISK = {effect: float(order) for order, effect in enumerate(Effect)}  # by what a repeat does


class DecisionEngine(OutageTracking):
    """One sender. Feed it batches of events in order of time; carry out what it returns."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.rng, self.now_us, self.actions = settings, random.Random(seed), 0, list[Action]()
        self.compiled_rules, self.dispatch_paused = dict[DeliveryRules, CompiledRules](), False
        self.tenant_usage: dict[str, tuple[float, DecayingCounter]] = {}
        self.all_held_lanes: Lanes = {}  # over all destinations, by class and worth
        self.messages, self.endpoints = dict[str, Message](), dict[str, Endpoint]()
        self.destinations, self.disabled_hosts = (
            dict[int, Destination](),
            set[str](),
        )  # out: hosts that staff leave out
        self.key_queues = dict[str, list[Message]]()  # by key: messages in order of arrival
        self.key_free_at_us = dict[str, int]()  # by key: when an attempt that may still run has died down
        self.attempts_on_wire = dict[
            tuple[str, int], str
        ]()  # attempts whose call is on the wire still, and their keys
        self.class_latency: dict[str, LatencyStats] = {}  # by class: latency over all endpoints
        self.arrivals = DecayingCounter(EVIDENCE_DECAY_US)
        # Calls lost on connections that had been idle, and on others; the idle age that is trusted.
        self.idle_connection_losses, self.fresh_connection_losses = (
            DecayingCounter(EVIDENCE_DECAY_US, 1 - NEWEST_CALL_WEIGHT),
            DecayingCounter(EVIDENCE_DECAY_US, 1 - NEWEST_CALL_WEIGHT),
        )
        # Crowd: no connection.
        self.trusted_idle_us, self.connect_refusals = (
            float(settings.keepalive_us),
            DecayingCounter(EVIDENCE_DECAY_US),
        )
        # Failed, refused again.
        self.trial_failures = (
            DecayingCounter(EVIDENCE_DECAY_US, 1 - NEWEST_CALL_WEIGHT),
            DecayingCounter(EVIDENCE_DECAY_US, 1 - NEWEST_CALL_WEIGHT),
        )
        self.open_messages, self.calls_in_flight, self.timer_due_us, self.last_serial = 0, 0, -1, 0
        self.new_calls = list[Call]()  # in this step, and not let out yet
        self._apply_settings(settings)
        # Next ask; its gap; when the last one was made; from one to the next, at most.
        self.subscribe_at_us, self.subscribe_gap_us = (
            (0 if settings.must_subscribe else -1),
            self.min_subscribe_gap_us,
        )
        self.last_subscribe_us, self.max_subscribe_gap_us = (
            -LIST_CHANGE_KNOWN_US,
            LIST_CHANGE_KNOWN_US * 2 // 3,
        )
        self.next_forget_us = 0  # when to look next for what is gone
        self.destinations_to_check: dict[int, None] = {}  # destinations that an event or a due time touched
        self.recheck_queue: list[tuple[int, int]] = []  # heap: when to look at a destination again
        self.expiry_queue: list[tuple[int, int, Message]] = []  # heap: when to answer a held message
        # Heap: when a message that a restart found earns credit, and at which destination.
        self.recovered_credit_queue: list[tuple[int, int]] = []

    def _apply_settings(self, settings: Settings) -> None:
        """Go by these settings; what came under others, and what was learned, stays as it is."""
        self.settings = settings
        self.kinds = {kind.name: kind for kind in settings.kinds}
        rules_by_name = {cls.name: DeliveryRules(cls, settings.max_attempts) for cls in settings.classes}
        self.rules_by_class = {name: self._compile_rules(rule) for name, rule in rules_by_name.items()}
        known_usage, self.total_quota_per_s = self.tenant_usage, sum(t.quota_per_s for t in settings.tenants)
        new_counters = (DecayingCounter(EVIDENCE_DECAY_US) for _ in settings.tenants)
        self.tenant_usage = {
            t.name: (t.quota_per_s, known_usage[t.name][1] if t.name in known_usage else counter)
            for t, counter in zip(settings.tenants, new_counters, strict=True)
        }
        self.budget = Budget(
            settings.group_size, settings.fall_multiple, settings.fall_us,
            settings.cold_from, settings.warm_within_us,
        )  # fmt: skip
        # The more share a limit, the less often each hears of it: paces move the slower.
        self.group_size_root = settings.group_size**0.5
        # A group's asks wait for each other: all at once are all late, and those given up are worked off too.
        self.subscribe_spread_us = max(
            0, SUBSCRIBE_SPREAD_PER_RELAY_US * settings.group_size - SUBSCRIBE_RETRY_US
        )
        self.min_subscribe_gap_us = SUBSCRIBE_RETRY_US
        if settings.list_is_pushed:
            # Nobody else asks the agent, and what it has counts as told whether a watch is open or not: with
            # an ask that gets no answer for as long (``directory``), half of a drain's grace may go by.
            self.subscribe_spread_us, self.min_subscribe_gap_us = (
                0,
                max(settings.round_us, settings.drain_grace_us // 4),
            )

    def _compile_rules(self, rules: DeliveryRules) -> CompiledRules:
        """What follows from a set of rules; one for all messages that came under it."""
        if (compiled := self.compiled_rules.get(rules)) is None:
            self.last_serial += 1
            rules_in_use = (
                {m.compiled_rules.rules for m in self.messages.values()}
                if len(self.compiled_rules) > 64
                else None
            )
            if rules_in_use is not None:  # settings that change all day must not grow the process
                self.compiled_rules = {
                    rule: compiled_entry
                    for rule, compiled_entry in self.compiled_rules.items()
                    if rule in rules_in_use
                }
            compiled = CompiledRules(
                rules,
                self.last_serial,
                score_breakpoints(rules.cls, self.settings.worth_halves, URGENCY_HORIZON_US),
            )
            self.compiled_rules[rules] = compiled
        return compiled

    def step(self, now_us: int, events: Iterable[Event]) -> list[Action]:
        """Take in every event of the batch, then answer and dispatch once."""
        self.now_us, self.actions = now_us, []
        idle_destinations: list[int] = []
        for event in events:
            if isinstance(event, EndpointUpdate):
                self._update_endpoints(event)
            elif isinstance(event, Arrival):
                self._accept_message(event)
            elif isinstance(event, Outcome):
                self._settle_attempt(event)
            elif isinstance(event, MessageWithdrawn) and event.id in self.messages:
                self._close_message(self.messages[event.id])
            elif isinstance(event, CallEnded):
                self._release_key(event)
            elif isinstance(event, TimerDue) and self.timer_due_us <= now_us + self.settings.round_us:
                self.timer_due_us = -1  # it has come, be it a little early: no other would
            elif isinstance(event, DestinationIdle):
                idle_destinations.append(event.dest)
            elif isinstance(event, EndpointSnapshot) and event.host in self.endpoints:
                self._resume_from_snapshot(self.endpoints[event.host], event)
            elif isinstance(event, DispatchPaused):
                self.dispatch_paused = event.paused
            elif isinstance(event, SettingsChanged):
                self._apply_settings(event.settings)
            elif isinstance(event, HostOverride):
                self._override_host(event.host, event.disabled)
            elif isinstance(event, OutageRecord) and event.host in self.endpoints:
                self._restore_outage_record(self.endpoints[event.host], event)
        while self.recheck_queue and self.recheck_queue[0][0] <= now_us:
            recheck_at_us, number = heapq.heappop(self.recheck_queue)
            if (destination := self.destinations.get(number)) and destination.recheck_at_us == recheck_at_us:
                self.destinations_to_check[number], destination.recheck_at_us = None, 0
        while self.recovered_credit_queue and self.recovered_credit_queue[0][0] <= now_us:
            self._credit_recovered(heapq.heappop(self.recovered_credit_queue)[1])
        self._expire_held()
        if (
            self.calls_in_flight < self.settings.max_calls and not self.dispatch_paused
        ):  # else what is held is looked at later
            self._dispatch()
            self._emit_sends()
        for number in idle_destinations:  # last: what has come for it meanwhile binds it
            self._deactivate_destination(number)
        if (
            0 <= self.subscribe_at_us <= now_us
        ):  # a directory that only answers; an unanswered ask is made again
            self.actions.append(Subscribe())
            self.last_subscribe_us = now_us
            self.subscribe_at_us = now_us + max(2_000_000, self.settings.ask_within_us // 2)
        times = [
            heap[0][0]
            for heap in (self.recheck_queue, self.expiry_queue, self.recovered_credit_queue)
            if heap
        ]
        times += [self.subscribe_at_us] * (self.subscribe_at_us >= 0)
        if times and (self.timer_due_us <= now_us or min(times) < self.timer_due_us):
            self.timer_due_us = max(min(times), now_us + self.settings.round_us)
            self.actions.append(SetTimer(self.timer_due_us - now_us))
        return self.actions

    def _update_endpoints(self, event: EndpointUpdate) -> None:
        """Follow the directory; where it must be asked, a failed or broken watch is asked for again."""
        if event.kind is EndpointUpdateKind.FAILED:
            if self.settings.must_subscribe:
                gap_us = (
                    self.subscribe_gap_us * self.rng.uniform(0.7, 1.3)
                    + self.subscribe_spread_us * self.rng.random()
                )
                # It may be back this very moment, whatever has become of the call before: the next one begins
                # within two thirds of the time in which a change counts as told, the rest is for its answer.
                max_gap_us = max(
                    self.last_subscribe_us + self.max_subscribe_gap_us - self.now_us,
                    self.max_subscribe_gap_us // 3,
                )
                if gap_us > max_gap_us:
                    gap_us = max_gap_us * self.rng.uniform(0.75, 1.0)
                self.subscribe_at_us = self.now_us + int(gap_us)
                max_gap_us = max(
                    self.min_subscribe_gap_us, self.settings.ask_within_us // 4, 2 * self.subscribe_spread_us
                )
                self.subscribe_gap_us = (
                    self.min_subscribe_gap_us
                    if self.settings.list_is_pushed
                    else min(2 * self.subscribe_gap_us, max_gap_us)
                )
            return
        if event.kind in (EndpointUpdateKind.CHANGES, EndpointUpdateKind.FULL):
            self.subscribe_at_us, self.subscribe_gap_us = -1, self.min_subscribe_gap_us
        elif self.subscribe_at_us == 0:  # the first list, perhaps an old one: many may have started just now
            self.subscribe_at_us = self.now_us + int(
                min(self.subscribe_spread_us, self.max_subscribe_gap_us) * self.rng.random()
            )
        listed_hosts = {entry.host for entry in event.entries}
        is_full_list = event.kind in (EndpointUpdateKind.FULL, EndpointUpdateKind.CACHED)
        for host, endpoint in self.endpoints.items() if is_full_list else ():
            if host not in listed_hosts:
                endpoint.update_listing(Listing.GONE, self.now_us)
                self.destinations[endpoint.dest].clear_ready_cache()
        initial_quota = max(1, int(MAX_CALL_SHARE * self.settings.max_calls))
        # Until an answer tells of a limit: what the members may ask of all, spread evenly.
        new_destinations = {entry.dest for entry in event.entries if entry.dest not in self.destinations}
        even_rate = (
            self.total_quota_per_s
            * self._equal_share(MAX_EQUAL_SHARES)
            / max(1, len(self.destinations) + len(new_destinations))
        )
        added_later = event.added_later or (
            bool(self.endpoints) and event.kind is not EndpointUpdateKind.REACTIVATED
        )
        for entry in event.entries:
            dest = self.destinations.setdefault(
                entry.dest, Destination(CallLimiter(EVIDENCE_DECAY_US), self.now_us)
            )
            current, kind = self.endpoints.get(entry.host), self.kinds.get(entry.kind, Kind(entry.kind))
            if current is None or (current.dest, current.kind) != (entry.dest, kind):
                if current is not None:  # the host moved: calls out are settled with the old endpoint
                    del self.destinations[current.dest].endpoints[entry.host]
                    self.destinations[current.dest].clear_ready_cache()
                # One that comes later may be new and cold: its quota grows from one call with its successes.
                current = self._add_endpoint(entry, kind, 1 if added_later else initial_quota, even_rate)
            elif current.listing is Listing.GONE and entry.listing is Listing.READY:
                # All hear of it in one moment, and nobody knows what it did meanwhile.
                self._suspect_endpoint(current, "listed again", confirms=False)
            current.update_listing(entry.listing, self.now_us)
            dest.clear_ready_cache()
            self.destinations_to_check[entry.dest] = None
            if self.settings.rate_hints_given and entry.listing is Listing.READY:
                self._apply_announced_rate(
                    current.rate_limiter, entry.rate_hint / (1.5 if self.settings.rate_hints_rough else 1.0)
                )
        if event.kind is not EndpointUpdateKind.REACTIVATED and self.now_us >= self.next_forget_us:
            self._forget_gone_hosts()

    def _add_endpoint(self, entry: EndpointEntry, kind: Kind, quota: int, send_rate: float) -> Endpoint:
        """An endpoint of which nothing is known yet."""
        dest = self.destinations[entry.dest]
        endpoint = Endpoint(
            entry,
            kind,
            dest.shared_limiter,
            CallLimiter(EVIDENCE_DECAY_US),
            DecayingCounter(EVIDENCE_DECAY_US, 1 - NEWEST_CALL_WEIGHT),
        )
        endpoint.max_quota, endpoint.quota, endpoint.disabled = (
            max(1, int(MAX_CALL_SHARE * self.settings.max_calls)),
            quota,
            entry.host in self.disabled_hosts,
        )
        if endpoint.rate_limiter.send_rate == math.inf and send_rate:
            endpoint.rate_limiter.send_rate, endpoint.rate_limiter.send_rate_at_us = send_rate, self.now_us
        self.endpoints[entry.host] = dest.endpoints[entry.host] = endpoint
        return endpoint

    def _override_host(self, host: str, disabled: bool) -> None:
        """Nothing new goes to what is out. What is back is a new process: cold, nothing is known of it."""
        was_disabled, old_endpoint = host in self.disabled_hosts, self.endpoints.get(host)
        (self.disabled_hosts.add if disabled else self.disabled_hosts.discard)(host)
        if old_endpoint is None or was_disabled == disabled:
            return
        old_endpoint.disabled = disabled
        if not disabled:  # calls out are settled with the old endpoint
            entry = EndpointEntry(
                host, old_endpoint.dest, old_endpoint.zone, old_endpoint.kind.name, old_endpoint.listing
            )
            new_endpoint = self._add_endpoint(
                entry,
                old_endpoint.kind,
                1,
                old_endpoint.rate_limiter.send_rate
                if old_endpoint.rate_limiter.send_rate < math.inf
                else 0.0,
            )
            new_endpoint.gone_since_us, new_endpoint.rate_limiter.announced_rate = (
                old_endpoint.gone_since_us,
                old_endpoint.rate_limiter.announced_rate,
            )
            new_endpoint.own_limiter.slow_start.begin_cold(self.now_us, self.budget, self.rng.random())
            self._record_outage(
                new_endpoint, self.settings.warm_within_us + self.settings.fall_us, OutageRecordKind.RECOVERY
            )
        self.destinations[old_endpoint.dest].clear_ready_cache()
        self.destinations_to_check[old_endpoint.dest] = None

    def endpoint_snapshots(self) -> list[EndpointSnapshot]:
        """What a successor may go on from."""
        return [
            EndpointSnapshot(
                e.host, max(0, e.rate_limiter.retry_after_until_us - self.now_us), e.quota,
                self._send_rate(e.rate_limiter) if e.rate_limiter.send_rate < math.inf else 0.0,
                e.rate_limiter.announced_rate,
                (
                    self.now_us - e.own_limiter.slow_start.cold_since_us
                    if e.own_limiter.slow_start.phase is Phase.SLOW_START else -1
                ),
                e.own_limiter.slow_start.credit_available_in_us(self.now_us, self.budget),
            )
            for e in self.endpoints.values() if e.listing is not Listing.GONE
        ]  # fmt: skip

    def _resume_from_snapshot(self, endpoint: Endpoint, snapshot: EndpointSnapshot) -> None:
        """The process before this one had come so far here."""
        limiter = endpoint.rate_limiter
        limiter.retry_after_until_us = max(limiter.retry_after_until_us, self.now_us + snapshot.wait_us)
        endpoint.quota = max(MIN_QUOTA_SHARE * endpoint.max_quota, min(endpoint.max_quota, snapshot.quota))
        limiter.announced_rate = snapshot.rate
        if snapshot.pace:
            limiter.send_rate, limiter.send_rate_at_us = snapshot.pace, self.now_us
        if (
            snapshot.cold_for_us >= 0
        ):  # its budget goes on from where it was, and no second trial begins it anew
            endpoint.own_limiter.slow_start.resume(
                self.now_us, self.budget, snapshot.cold_for_us, snapshot.next_call_in_us
            )
            endpoint.own_limiter.consecutive_failures, endpoint.own_limiter.pause_until_us = 0, self.now_us

    def _forget_gone_hosts(self) -> None:
        """Let go of hosts that are gone and of destinations that nothing speaks of: ids are ever new.

        What binds stays: open calls, a wait, the pause or cold return of a host that may be listed again.
        """
        self.next_forget_us = self.now_us + FORGET_INTERVAL_US
        for host, endpoint in [pair for pair in self.endpoints.items() if pair[1].listing is Listing.GONE]:
            expired = (
                self.now_us - endpoint.gone_since_us > FORGET_GONE_HOST_US
                and self.now_us > self._restricted_until_us(endpoint)
            )
            if expired and not endpoint.calls:
                del self.endpoints[host], self.destinations[endpoint.dest].endpoints[host]
        if any(not dest.endpoints and not dest.held for dest in self.destinations.values()):
            destinations_in_use = {message.dest for message in self.messages.values()}
            for number, dest in list(self.destinations.items()):
                if not dest.endpoints and not dest.held and number not in destinations_in_use:
                    del self.destinations[number]
                    self.destinations_to_check.pop(number, None)

    def _deactivate_destination(self, number: int) -> None:
        """Forget an idle destination, unless something of it still binds; an outage does until it is over."""
        if (dest := self.destinations.get(number)) is not None:
            if self._in_use(number, dest):
                return
            for host in dest.endpoints:
                del self.endpoints[host]
            del self.destinations[number]
            self.destinations_to_check.pop(number, None)
        self.actions.append(DestinationDeactivated(number))

    def count_avoided(self) -> int:
        """Listed endpoints that nothing new is sent to now: out by hand, draining, or paused by an outage."""
        listed_endpoints = [e for e in self.endpoints.values() if e.listing is not Listing.GONE]
        return sum(
            e.disabled or e.listing is Listing.DRAINING or self._is_failing(e) for e in listed_endpoints
        )

    def count_phases(self) -> dict[str, int]:
        """Listed endpoints by what they are taken to be."""
        counts = dict.fromkeys((phase.value for phase in Phase), 0)
        for endpoint in self.endpoints.values():
            if endpoint.listing is not Listing.GONE:
                counts[endpoint.slow_start.phase.value] += 1
        return counts

    def _restricted_until_us(self, endpoint: Endpoint) -> int:
        """When no wait, pause or cold return binds there any more."""
        return max(
            max(g.blocked_until_us, g.slow_start.cold_since_us + self.settings.warm_within_us)
            for g in endpoint.limiters
        )

    def _in_use(self, number: int, dest: Destination) -> bool:
        """Whether a message, a call, a wait, a pause, an outage or a cold return there still binds."""
        for endpoint in dest.endpoints.values():
            has_failures = any(g.consecutive_failures for g in endpoint.limiters)
            if (
                endpoint.calls
                or has_failures
                or self.now_us <= max(self._restricted_until_us(endpoint), endpoint.outage_record_until_us)
            ):
                return True
        # A call may be out at an endpoint that has moved: its message is all that is left of it here.
        return bool(self.attempts_on_wire) or any(
            message.dest == number for message in self.messages.values()
        )

    def _apply_announced_rate(
        self, limiter: CallLimiter, rate: float | None, share_left: float | None = None
    ) -> None:
        """A rate told for all relays bounds the pace; the share of it that is left shows what others use.

        All that share the limit are told alike. So each moves its pace from its equal part by the same factor
        for the same news, and the sum of them settles where some of the limit is left.
        """
        if not (rate and 0 < rate < math.inf):
            if not limiter.announced_rate:  # an answer that names no limit: there may be none
                limiter.send_rate = self._send_rate(limiter) * UNLIMITED_RATE_FACTOR
            return
        if share_left is not None and not 0 <= share_left <= 1:
            share_left = None
        if (
            not limiter.announced_rate
        ):  # where nothing tells what the others use, one that is busy may take more
            equal_shares = (
                self._initial_equal_shares(share_left)
                if share_left is not None
                else UNREPORTED_EQUAL_SHARES * self.group_size_root
            )
            limiter.send_rate, limiter.send_rate_at_us = rate * self._equal_share(equal_shares), self.now_us
        limiter.announced_rate = rate
        if share_left is not None and (rate, share_left) != limiter.last_report:  # fresh news only
            interval_s = (
                min(self.now_us - limiter.last_report_us, MAX_REPORT_INTERVAL_US) / 1e6
                if limiter.last_report_us > 0
                else 0.0
            )
            send_rate = self._send_rate(limiter) * math.exp(
                SHARE_LEFT_GAIN_PER_S / self.group_size_root * (share_left - TARGET_SHARE_LEFT) * interval_s
            )
            min_rate = rate * self._equal_share(
                MIN_EQUAL_SHARES if limiter.consecutive_failures else self._initial_equal_shares(share_left)
            )
            limiter.send_rate = min(rate, max(min_rate, send_rate))
            limiter.last_report, limiter.last_report_us = (rate, share_left), self.now_us

    def _initial_equal_shares(self, share_left: float) -> float:
        """Equal parts of a limit that one which is served begins with; of two relays, one may have it all."""
        size = self.settings.group_size
        return max(
            MIN_EQUAL_SHARES,
            INITIAL_EQUAL_SHARES * size / max(1, size - 1) * min(1.0, UNUSED_LIMIT_FACTOR * share_left),
        )

    def _equal_share(self, count: float) -> float:
        """So many equal parts of what the group shares, and at most the whole."""
        return min(1.0, count / self.settings.group_size)

    def _accept_message(self, event: Arrival) -> None:
        compiled_rules = (
            self._compile_rules(event.rules) if event.rules else self.rules_by_class.get(event.cls)
        )
        if compiled_rules is None or event.id in self.messages:
            return
        worth = compiled_rules.rules.cls.worth
        self.arrivals.add(False, self.now_us)
        if (
            event.tenant in self.tenant_usage
        ):  # beyond its part of this relay's own traffic it is worth little
            quota, usage = self.tenant_usage[event.tenant]
            usage.add(False, self.now_us)
            fair_rate = self.arrivals.rate_per_s(self.now_us) * quota / max(quota, self.total_quota_per_s)
            fair_rate = max(fair_rate, quota / self.settings.group_size)
            if self.rng.random() * usage.rate_per_s(self.now_us) > fair_rate + 2e6 / EVIDENCE_DECAY_US:
                worth *= self.settings.over_share_worth
        message = self.messages[event.id] = Message(event, compiled_rules, self.now_us, worth)
        self.open_messages += 1
        dest = self.destinations.setdefault(
            event.dest, Destination(CallLimiter(EVIDENCE_DECAY_US), self.now_us)
        )
        ready = dest.ready_endpoints()
        for limiter in (limiters := {id(e.rate_limiter): e.rate_limiter for e in ready}).values():
            limiter.demand.add(False, self.now_us, 1 / len(limiters))
        if event.recovered_untried:
            # All relays may have been restarted together; what they found came over a while, and does again.
            credit_at_us = self.now_us + int(self.rng.random() * message.cls.deadline_us)
            if credit_at_us < message.deadline_us:
                heapq.heappush(self.recovered_credit_queue, (credit_at_us, event.dest))
        elif not event.attempts:  # what was tried before a restart was reckoned with before it
            dest.traffic.add(False, self.now_us)
            self._add_credit(dest, ready)
        if message.key:
            self.key_queues.setdefault(message.key, []).append(message)
            if message.in_doubt_since_us >= 0:  # a try of a former life may still run
                self.key_free_at_us[message.key] = self.now_us + self.settings.order_pause_us
        self._hold(message)

    def _hold(self, message: Message) -> None:
        """Keep it for the dispatch, and note when it has to be answered."""
        dest = self.destinations[message.dest]
        dest.held[message.id], self.destinations_to_check[message.dest] = message, None
        self.last_serial += 1
        message.held_serial = self.last_serial
        self.all_held_lanes.setdefault(self._held_lane_key(message), Lane()).add(message)
        self._make_dispatchable(dest, message)
        self._schedule_expiry(message)

    _held_lane_key = staticmethod(
        lambda message: (message.compiled_rules.number, message.worth, message.recovered_untried)
    )

    def _schedule_expiry(self, message: Message) -> None:
        """Look at a held message again when its time is over."""
        self.last_serial += 1
        heapq.heappush(self.expiry_queue, (self._expiry_us(message), self.last_serial, message))
        if (
            len(self.expiry_queue) > 2 * len(self.messages) + 64
        ):  # most messages are over long before their time is
            self.expiry_queue = [item for item in self.expiry_queue if not item[2].done]
            heapq.heapify(self.expiry_queue)

    def _make_dispatchable(self, dest: Destination, message: Message) -> None:
        """Put a held message where the dispatch finds it, once order by key lets it go."""
        if self._allowed_by_key_order(message):
            dest.waiting_for_key.pop(message.id, None)
            add_to_lane(dest.lanes, message)
        elif self.key_queues[message.key][0] is message:
            dest.waiting_for_key[message.id] = message

    def _remove_from_backlog(self, message: Message) -> None:
        """It is on its way, or over."""
        dest = self.destinations[message.dest]
        if dest.held.pop(message.id, None) is None:
            return
        lane = self.all_held_lanes[self._held_lane_key(message)]
        lane.remove(message)
        if not lane.entries:
            del self.all_held_lanes[self._held_lane_key(message)]
        dest.waiting_for_key.pop(message.id, None)
        if message.lane_key:
            remove_from_lane(dest.lanes, message)

    def _expiry_us(self, message: Message) -> int:
        """When its time or window covers no further call."""
        cls, in_doubt = message.cls, message.in_doubt_since_us >= 0
        if message.attempts >= message.max_attempts or (in_doubt and cls.effect is Effect.UNSAFE):
            return self.now_us
        expiry_us = message.deadline_us - int(
            max(4 * self.settings.round_us, self._latency(message).mean_us / 2)
        )
        return (
            min(expiry_us, self._key_known_until_us(message))
            if in_doubt and cls.effect is Effect.KEYED
            else expiry_us
        )

    def _key_known_until_us(self, message: Message) -> int:
        """Until when the key of a message that may have run is known, so that a repeat is dropped."""
        return message.in_doubt_since_us + message.cls.window_us - self.settings.round_us

    def _settle_attempt(self, event: Outcome) -> None:
        """Settle one attempt: its call, the endpoint's figures, then the message."""
        message = self.messages.get(event.id)
        if message is None or (call := message.attempts_in_flight.pop(event.attempt, None)) is None:
            return
        endpoint, verdict = call.endpoint, event.verdict
        self.destinations_to_check[message.dest] = None
        endpoint.rate_limiter.retry_after_until_us = max(
            endpoint.rate_limiter.retry_after_until_us,
            self.now_us + event.retry_after_us * (event.retry_after_us > 0),
        )
        call.pending_count -= 1
        if call.pending_count == 0:
            endpoint.calls.remove(call)
            endpoint.last_call_ended_us = self.now_us
            self.calls_in_flight -= 1
            self._apply_announced_rate(endpoint.rate_limiter, event.limit_per_s, event.limit_remaining)
            if verdict not in (Verdict.CANCELLED, Verdict.NOT_SENT):
                self._learn_from_call(call, message, event)
            # Many relays' idle connections fill a small table: close one that will hardly serve again.
            # What has never served, or keeps failing, is down, and its table is not full.
            own_limiter, refused = endpoint.own_limiter, verdict is Verdict.CONNECT_FAILED
            self.connect_refusals.add(
                refused and own_limiter.last_success_us >= 0 and own_limiter.consecutive_failures < 2,
                self.now_us,
            )
            rarely_called = (
                self._own_share_per_s(endpoint, endpoint.own_limiter) * self.settings.keepalive_us < 1e6
            )
            if not endpoint.calls and (
                rarely_called or self.connect_refusals.hit_share(self.now_us) > LOW_FAILURE_RATIO
            ):
                self.actions.append(CloseIdle(endpoint.host))
                endpoint.last_call_ended_us = 0
        if not verdict.never_ran and verdict is not Verdict.OK:
            if message.in_doubt_since_us < 0 or call.sent_us < message.in_doubt_since_us:
                message.in_doubt_since_us, message.in_doubt_zone = call.sent_us, endpoint.zone
            message.timeouts += verdict is Verdict.TIMEOUT
            if message.key and event.call_continues:
                self.attempts_on_wire[event.id, event.attempt] = message.key
            if (
                message.key in self.attempts_on_wire.values()
            ):  # an earlier attempt's call may be on the wire still
                self.key_free_at_us[message.key] = FAR_FUTURE_US
            elif message.key and verdict is not Verdict.ERROR:
                self.key_free_at_us[message.key] = self.now_us + self.settings.order_pause_us
        if event.complete or message.done:
            if verdict is Verdict.OK:
                self.destinations[message.dest].traffic.count_served()
            self._close_message(message)
        elif (
            not message.attempts_in_flight
        ):  # held again; what may not be repeated is answered after the whole batch
            self._hold(message)

    def _release_key(self, event: CallEnded) -> None:
        """The last byte of an attempt is accounted for: from now its key only rests."""
        key = self.attempts_on_wire.pop((event.id, event.attempt), "")
        if key and key not in self.attempts_on_wire.values():
            self.key_free_at_us[key] = self.now_us + self.settings.order_pause_us
            self.destinations_to_check.update(
                {next_message.dest: None for next_message in self.key_queues.get(key, [])[:1]}
            )

    def _learn_from_call(self, call: Call, message: Message, event: Outcome) -> None:
        """What the end of a call says of its connection, its class there, its endpoint and its limit."""
        endpoint, verdict, class_name = call.endpoint, event.verdict, message.cls.name
        usual_latency_us, failed = self._latency(message, endpoint).mean_us, verdict is not Verdict.OK
        connection_lost = verdict in (Verdict.RESET, Verdict.TIMEOUT)
        (self.idle_connection_losses if call.connection_idle_us else self.fresh_connection_losses).add(
            connection_lost, self.now_us
        )
        self.trusted_idle_us = min(IDLE_AGE_GROWTH_FACTOR * self.trusted_idle_us, self.settings.keepalive_us)
        if (
            connection_lost
            and call.connection_idle_us
            and self.idle_connection_losses.hit_share(self.now_us)
            > 2 * self.fresh_connection_losses.hit_share(self.now_us)
        ):
            # Calls on connections that were idle are lost far more often: something cuts them. Close sooner.
            self.trusted_idle_us = max(
                IDLE_AGE_LOSS_FACTOR * self.trusted_idle_us,
                min(self.trusted_idle_us, 0.8 * call.connection_idle_us),
            )
            if verdict is Verdict.RESET and event.elapsed_us < usual_latency_us / 2:
                # Most likely no failure of the endpoint; but one that goes down cuts idle connections too.
                self._suspect_outage(endpoint, endpoint.own_limiter, call, message, event)
                self._after_failure(endpoint, endpoint.own_limiter, event)
                return
        for latency_table in (
            (endpoint.latency_by_class, self.class_latency) if not failed else (endpoint.latency_by_class,)
        ):
            stats = latency_table.setdefault(
                class_name, self._new_latency_stats(usual_latency_us if failed else event.elapsed_us)
            )
            if not failed:
                stats.learn(event.elapsed_us, NEWEST_CALL_WEIGHT)
        self._adjust_quota(endpoint, failed)
        if verdict is not Verdict.FULL:
            endpoint.latency_by_class[class_name].failures.add(failed, self.now_us)
        if failed:
            limiter = endpoint.rate_limiter if verdict is Verdict.FULL else endpoint.own_limiter
            self._record_failure(endpoint, limiter, call, message, event)
            self._after_failure(endpoint, limiter, event)
            return
        for limiter in endpoint.limiters:
            if limiter.consecutive_failures:
                self.trial_failures[limiter.last_was_refusal].add(False, self.now_us)
            limiter.consecutive_failures = 0
            change = limiter.slow_start.on_success(self.now_us, call.sent_us, self.budget)
            self._log_phase_change(endpoint, change, message)
            if change and change.after is Phase.SLOW_START:
                self._record_outage(
                    endpoint, self.settings.warm_within_us + self.settings.fall_us, OutageRecordKind.RECOVERY
                )
            elif endpoint.outage_record_until_us > self.now_us and all(
                g.slow_start.phase is Phase.HEALTHY for g in endpoint.limiters
            ):
                self._record_outage(endpoint, 0, OutageRecordKind.RECOVERY)
        endpoint.rate_limiter.served.add(False, self.now_us)
        endpoint.rate_limiter.send_rate = self._send_rate(endpoint.rate_limiter) * SERVED_RATE_FACTOR

    def _adjust_quota(self, endpoint: Endpoint, failed: bool) -> None:
        """The notes' rule: average the failure ratio and step the quota by its marks."""
        endpoint.failure_ratio.add(failed, self.now_us)
        if failed and endpoint.failure_ratio.hit_share(self.now_us) > HIGH_FAILURE_RATIO:
            endpoint.quota = max(MIN_QUOTA_SHARE * endpoint.max_quota, endpoint.quota * QUOTA_DECREASE_FACTOR)
        elif not failed or endpoint.failure_ratio.hit_share(self.now_us) < LOW_FAILURE_RATIO:
            endpoint.quota = min(
                endpoint.max_quota, endpoint.quota + QUOTA_INCREASE_SHARE * endpoint.max_quota
            )

    def _has_overdue_call(self, endpoint: Endpoint) -> bool:
        """Whether a call is overdue and no answer came since: a hang, seen before its time-outs."""
        last_success_us = endpoint.rate_limiter.last_success_us
        for call in endpoint.calls:
            if self.now_us - call.sent_us > call.overdue_after_us >= last_success_us - call.sent_us:
                return True
        return False

    def _is_failing(self, endpoint: Endpoint) -> bool:
        for limiter in endpoint.limiters:
            if limiter.consecutive_failures > 1:
                return True
            if (
                limiter.consecutive_failures
                and self.trial_failures[limiter.last_was_refusal].hit_share(self.now_us)
                > OUTAGE_FAILURE_RATIO
            ):
                return True
        return False

    def _record_failure(
        self, endpoint: Endpoint, limiter: CallLimiter, call: Call, message: Message, event: Outcome
    ) -> None:
        """A strike, a pause before the next trial, and what it says of an outage."""
        verdict, refused = event.verdict, event.verdict is Verdict.FULL
        recently_served = self.now_us - limiter.last_success_us < RECENT_US
        if (
            not refused
            or not self._limit_used_up(limiter, event)
            or limiter.consecutive_failures >= MAX_LIMIT_REFUSALS
        ):
            self._suspect_outage(endpoint, limiter, call, message, event)
        if (
            recently_served and verdict is Verdict.CONNECT_FAILED
        ):  # a connection limit: the quota shrinks, no strike
            limiter.pause_until_us = max(limiter.pause_until_us, self.now_us + MIN_RETRY_PAUSE_US)
            return
        if limiter.consecutive_failures and call.sent_us > limiter.last_failure_us:
            self.trial_failures[refused].add(True, self.now_us)
        if call.sent_us > limiter.last_failure_us or not limiter.consecutive_failures:
            limiter.consecutive_failures, limiter.last_failure_us, limiter.last_was_refusal = (
                limiter.consecutive_failures + 1,
                self.now_us,
                refused,
            )
            if refused:  # a told rate may hold no more, or others use it up: fall to half of what is served
                min_rate = min(
                    1e6 / MAX_RETRY_PAUSE_US,
                    MIN_EQUAL_SHARES * limiter.announced_rate * self._equal_share(1) or math.inf,
                )
                send_rate = REFUSED_RATE_FACTOR * min(
                    self._send_rate(limiter), self._own_share_per_s(endpoint, limiter)
                )
                limiter.send_rate = max(send_rate, 0.5 * limiter.served.rate_per_s(self.now_us), min_rate)
        if verdict is Verdict.ERROR:  # it answers: the next may be served, and at once
            return
        retry_pause_us = min(
            MIN_RETRY_PAUSE_US * 2.0 ** min(limiter.consecutive_failures - 1, 10), MAX_RETRY_PAUSE_US
        )
        if limiter.slow_start.needs_credit(self.now_us):
            # Credit spreads the calls of all relays. Behind a told wait, which ends for all, it is alone.
            if limiter.retry_after_until_us <= self.now_us:
                pause_us = int(retry_pause_us * self.rng.uniform(0.3, 1.3))
                limiter.pause_until_us = max(limiter.pause_until_us, self.now_us + pause_us)
                limiter.slow_start.pause(limiter.pause_until_us)
            return
        wait_end_us = max(self.now_us, limiter.retry_after_until_us)
        if refused and limiter.last_report_us > 0:
            # What a limit refuses uses it up too: all that come back at their waits' ends keep it used up. At
            # its lowered pace, and no two alike, each comes back late enough for the group to fit.
            limiter.pause_until_us = max(
                limiter.pause_until_us, wait_end_us + int(2e6 / limiter.send_rate * self.rng.random())
            )
        if not refused or limiter.consecutive_failures > 1 or not recently_served:
            limiter.pause_until_us = max(
                limiter.pause_until_us, wait_end_us + int(retry_pause_us * self.rng.uniform(0.3, 1.3))
            )
        else:  # all that were told to wait would come back at once
            limiter.pause_until_us = max(
                limiter.pause_until_us, wait_end_us + int((wait_end_us - self.now_us) * self.rng.random())
            )

    def _send_rate(self, limiter: CallLimiter) -> float:
        """This relay's pace at a limit; it grows with time, and faster with successes."""
        growth_us = RATE_GROWTH_US * self.group_size_root if limiter.last_report_us > 0 else EVIDENCE_DECAY_US
        grown_rate = limiter.send_rate * math.exp(
            min(50.0, (self.now_us - limiter.send_rate_at_us) / growth_us)
        )
        limiter.send_rate, limiter.send_rate_at_us = (
            min(grown_rate, limiter.announced_rate or math.inf),
            self.now_us,
        )
        return limiter.send_rate

    def _own_share_per_s(self, endpoint: Endpoint, limiter: CallLimiter) -> float:
        """This relay's part of the calls a second there: an equal one, or by its own demand."""
        rate_limiter = endpoint.rate_limiter
        share_per_s = max(
            rate_limiter.announced_rate * self._equal_share(1),
            rate_limiter.demand.rate_per_s(self.now_us),
            1e-3,
        )
        if rate_limiter.announced_rate:  # what all ask for together may be far more than there is
            share_per_s = min(share_per_s, rate_limiter.announced_rate * self._equal_share(MAX_EQUAL_SHARES))
        return share_per_s / (
            1 if limiter is rate_limiter else max(1, len(self.destinations[endpoint.dest].ready_endpoints()))
        )

    def _expiry_reason(self, message: Message) -> GiveUpReason:
        """Why no further call is made for a message whose end has come."""
        if message.attempts >= message.max_attempts:
            return GiveUpReason.NO_ATTEMPTS_LEFT
        if message.in_doubt_since_us < 0 or message.cls.effect is Effect.SAFE:
            return GiveUpReason.NO_TIME
        if message.cls.effect is Effect.UNSAFE:
            return GiveUpReason.NOT_REPEATABLE
        return (
            GiveUpReason.KEY_EXPIRED
            if self._key_known_until_us(message) <= self.now_us
            else GiveUpReason.NO_TIME
        )

    def _give_up(self, message: Message, reason: GiveUpReason) -> None:
        """Answer for good: a refusal where a retry is harmless, else a failure."""
        keyed_anywhere = message.cls.effect is Effect.KEYED and not message.cls.scope_is_zone
        harmless = message.cls.effect is Effect.SAFE or message.in_doubt_since_us < 0 or keyed_anywhere
        # One figure for all would bring their clients back together.
        wait_us = int(
            self.settings.max_retry_after_us * self.settings.advise_retry * self.rng.uniform(0.5, 1.0)
        )
        answer = Refuse(message.id, wait_us, reason) if harmless else Fail(message.id, reason)
        self.actions.append(answer)
        self._close_message(message)

    def _close_message(self, message: Message) -> None:
        """The message is over; it stays known while attempts are out."""
        self.open_messages -= not message.done
        message.done = True
        self._remove_from_backlog(message)
        if message.attempts_in_flight:
            return
        self.messages.pop(message.id, None)
        if key_queue := self.key_queues.get(message.key):
            key_queue.remove(message)
            for next_message in key_queue[:1]:
                self.destinations_to_check[next_message.dest] = None
                if next_message.id in self.destinations[next_message.dest].held and not next_message.lane_key:
                    self._make_dispatchable(self.destinations[next_message.dest], next_message)
            if not key_queue:
                del self.key_queues[message.key]
        if len(self.key_free_at_us) > 2 * len(self.key_queues) + 64:
            self.key_free_at_us = {
                key: at_us for key, at_us in self.key_free_at_us.items() if at_us > self.now_us
            }

    def _latency(self, message: Message, endpoint: Endpoint | None = None) -> LatencyStats:
        """What a call takes there, else anywhere, else a guess: a quarter of the aim, spread as wide."""
        endpoint_stats = endpoint.latency_by_class.get(message.cls.name) if endpoint else None
        return (
            endpoint_stats
            or self.class_latency.get(message.cls.name)
            or self._new_latency_stats(message.cls.aim_us / 4)
        )

    _new_latency_stats = staticmethod(
        lambda guess_us: LatencyStats(guess_us, DecayingCounter(EVIDENCE_DECAY_US, 1 - NEWEST_CALL_WEIGHT))
    )

    def _expire_held(self) -> None:
        """Answer held messages whose time or window covers no call, and the least worthy over the bound."""
        while self.expiry_queue and self.expiry_queue[0][0] <= self.now_us:
            message = heapq.heappop(self.expiry_queue)[2]
            # What a call takes may have changed since.
            if not message.done and message.id in self.destinations[message.dest].held:
                if self._expiry_us(message) > self.now_us:
                    self._schedule_expiry(message)
                else:
                    self._give_up(message, self._expiry_reason(message))
        for dest in [self.destinations[number] for number in self.destinations_to_check]:
            wait_end_us = (
                min([e.rate_limiter.retry_after_until_us for e in dest.ready_endpoints()], default=0)
                if dest.held
                else 0
            )
            if wait_end_us > self.now_us:  # told to wait past the message's time: answer now
                for message in self._expiring_by(dest, wait_end_us):
                    self._give_up(message, GiveUpReason.WAIT_EXCEEDS_DEADLINE)
        for _ in range(self.open_messages - max(1, self.settings.max_held_messages - 1)):
            if least_valuable := self._least_valuable():
                self._give_up(least_valuable, GiveUpReason.BACKLOG_FULL)

    def _least_valuable(self) -> Message | None:
        """The least worthy of all that is held."""
        # What a restart has found untried was taken on before, and is given up last.
        lanes = [lane for lane in self.all_held_lanes.values() if not lane.entries[0][2].recovered_untried]
        lanes = lanes or list(self.all_held_lanes.values())
        return (
            min(lane.lowest_cost(*self._delivery_time(lane), self._score) for lane in lanes)[-1]
            if lanes
            else None
        )

    def _expiring_by(self, dest: Destination, by_us: int) -> list[Message]:
        """What is held there and whose time is over by then; of a lane that never ran the oldest go first."""
        without_turn = (
            [m for m in dest.held.values() if not m.lane_key] if self.key_queues else []
        )  # without a turn
        expiring = [m for m in without_turn if self._expiry_us(m) <= by_us]
        for lane in dest.lanes.values():
            in_doubt = lane.entries[0][2].in_doubt_since_us >= 0
            for _, _, message in lane.entries:
                if self._expiry_us(message) <= by_us:
                    expiring.append(message)
                elif not in_doubt:  # the others have more time
                    break
        return sorted(expiring, key=lambda m: (m.target_us, m.held_serial))

    def _delivery_time(self, lane: Lane) -> tuple[float, tuple[int, ...]]:
        """When a lane's messages would be delivered if sent now, and where their score may bend."""
        message = lane.entries[0][2]
        return self.now_us + self._latency(message).mean_us, message.compiled_rules.score_breakpoints

    def _worth_at(self, message: Message, at_us: float) -> float:
        """What the message earns if delivered at that time."""
        if at_us >= message.deadline_us:
            return 0.0
        if (late_us := at_us - message.target_us) <= 0:
            return message.worth
        cls = message.cls
        if self.settings.worth_halves:
            return message.worth * max(cls.late_worth, math.pow(0.5, late_us / max(1, cls.aim_us)))
        return message.worth * (1 - (1 - cls.late_worth) * late_us / max(1, cls.deadline_us - cls.aim_us))

    def _score(self, message: Message, at_us: float | None = None) -> float:
        """Worth lost by waiting a while longer, and a part of the worth itself, if it is there then."""
        if at_us is None:
            at_us = self.now_us + self._latency(message).mean_us
        worth_now = self._worth_at(message, at_us)
        return worth_now - self._worth_at(message, at_us + URGENCY_HORIZON_US) + WORTH_WEIGHT * worth_now

    def _dispatch(self) -> None:
        """One pass over what is held at the destinations to look at, best first."""
        queue: DispatchQueue = []
        slots_short, checked = (
            self.calls_in_flight >= MAX_FAILING_CALL_SHARE * self.settings.max_calls,
            list(self.destinations_to_check),
        )
        for dest in [self.destinations[number] for number in checked]:
            for message in list(dest.waiting_for_key.values()):
                self._make_dispatchable(dest, message)
            if dest.lanes and (
                available := [e for e in dest.ready_endpoints() if self._has_capacity(dest, e)]
            ):
                has_failures = any(
                    g.consecutive_failures for e in dest.endpoints.values() for g in e.limiters
                )
                slots_us = dict[str, float]()  # by class: alike for all that are held here
                for lane in dest.lanes.values():
                    message = lane.entries[0][2]
                    # Trials of what fails cost least with what may be repeated, and take turns. With slots
                    # short, worth counts by time in a slot, or crawling destinations take them all.
                    attempts_used = message.attempts / message.max_attempts
                    risk = has_failures * (REPEAT_RISK[message.cls.effect] + attempts_used)
                    if (slot_us := slots_us.get(message.cls.name)) is None:
                        slot_us = (
                            min(self._latency(message, e).mean_us for e in available) if slots_short else 1.0
                        )
                        slots_us[message.cls.name] = slot_us
                    self._queue_best(queue, lane, (not message.recovered_untried, risk), slot_us)
        new_calls_by_host: dict[str, Call] = {}
        while queue:
            priority, _, _, _, message, lane, slot_us = heapq.heappop(queue)
            if candidates := self._candidate_endpoints(
                message, new_calls_by_host
            ):  # else there is none for any other of its lane
                self._send(
                    message, min(candidates, key=lambda e: self._endpoint_cost(message, e)), new_calls_by_host
                )
                if lane.entries:
                    self._queue_best(queue, lane, priority, slot_us)
        self._schedule_rechecks(checked)

    def _emit_sends(self) -> None:
        """What travels together has one time-out, the longest; only a message's own end may come before it.

        With one of its own, a message would be tried again while the call that carries it is still out.
        """
        for call in self.new_calls:
            longest_timeout_us = max(limit_us for _, limit_us in call.unsent)
            for message, _ in call.unsent:
                timeout_us = min(longest_timeout_us, max(1, message.deadline_us - self.now_us))
                start_within_us = 0
                if (
                    message.cls.effect is Effect.KEYED and message.in_doubt_since_us >= 0
                ):  # it may connect for long
                    start_within_us = max(1, self._key_known_until_us(message) - self.now_us)
                self.actions.append(Send(message.id, call.endpoint.host, timeout_us, start_within_us))
            call.unsent.clear()
        self.new_calls.clear()

    def _schedule_rechecks(self, checked: list[int]) -> None:
        """When to look at these destinations again, where something is held."""
        if (
            self.calls_in_flight < self.settings.max_calls
        ):  # else what is held waits for a slot and is looked at again
            self.destinations_to_check = {}
        for number in checked:
            if (dest := self.destinations[number]).held:
                times = [e.unblocked_at_us(self.now_us, self.budget) for e in dest.ready_endpoints()]
                times += [self.key_free_at_us.get(m.key, 0) for m in dest.waiting_for_key.values()]
                next_time_us = min((at_us for at_us in times if at_us > self.now_us), default=0)
                if (
                    next_time_us and not self.now_us < dest.recheck_at_us <= next_time_us
                ):  # one that is noted brings us here again
                    dest.recheck_at_us = next_time_us
                    heapq.heappush(self.recheck_queue, (next_time_us, number))

    def _queue_best(
        self, queue: DispatchQueue, lane: Lane, priority: tuple[bool, float], slot_us: float
    ) -> None:
        """A lane's best message, before all that are worse; of what a restart found whose time ends first."""
        if (first_entry := lane.entries[0])[2].recovered_untried:
            heapq.heappush(queue, (priority, float(first_entry[2].deadline_us), *first_entry, lane, slot_us))
            return
        delivery_us, breakpoints_us = self._delivery_time(lane)
        cost, target_us, held_serial, message = lane.lowest_cost(
            delivery_us, breakpoints_us, lambda m: -self._score(m, delivery_us)
        )
        heapq.heappush(queue, (priority, cost / slot_us, target_us, held_serial, message, lane, slot_us))

    def _candidate_endpoints(self, message: Message, new_calls_by_host: dict[str, Call]) -> list[Endpoint]:
        """Endpoints that take the message now: in a call of this pass, else in one more."""
        dest, zone = self.destinations[message.dest], required_zone(message)
        candidates = [e for e in dest.ready_endpoints() if zone is None or e.zone == zone]
        joinable = [
            e
            for e in candidates
            if e.host in new_calls_by_host
            and new_calls_by_host[e.host].message_count < new_calls_by_host[e.host].max_messages
        ]
        # Sends of one step to one endpoint share a call as far as its kind allows, whatever is meant here.
        candidates = [
            e
            for e in candidates
            if e.host not in new_calls_by_host or new_calls_by_host[e.host].message_count >= e.kind.batch_size
        ]
        return joinable or [e for e in candidates if self._has_capacity(dest, e)]

    def _allowed_by_key_order(self, message: Message) -> bool:
        """Whether order by key lets the message go now; the one that has the turn may be repeated at once."""
        is_first = not message.key or self.key_queues[message.key][0] is message
        return is_first and (message.attempts > 0 or self.now_us >= self.key_free_at_us.get(message.key, 0))

    def _has_capacity(self, dest: Destination, endpoint: Endpoint) -> bool:
        """Whether one more call to the endpoint is within slots, cap, quota, wait, pace and suspicion."""
        if self.calls_in_flight >= self.settings.max_calls or len(endpoint.calls) >= max(
            1, int(endpoint.quota)
        ):
            return False
        if self.now_us < endpoint.unblocked_at_us(self.now_us, self.budget):
            return False
        others = dest.endpoints.values()
        if self._has_overdue_call(endpoint) or (
            self._is_failing(endpoint) and any(e.calls for e in others if self._is_failing(e))
        ):
            return False
        calls_in_flight = 0
        for other in others:
            calls_in_flight += len(other.calls)
        if calls_in_flight < max(
            1, int(MAX_FAILING_CALL_SHARE * self.settings.max_calls)
        ):  # within the lower cap nobody asks which one binds
            return True
        any_failing = any(
            e.failure_ratio.hit_share(self.now_us) > HIGH_FAILURE_RATIO
            or self._is_failing(e)
            or self._has_overdue_call(e)
            for e in others
        )
        return not any_failing and calls_in_flight < max(1, int(MAX_CALL_SHARE * self.settings.max_calls))

    def _endpoint_cost(self, message: Message, endpoint: Endpoint) -> float:
        """Time to be served there, with its failures and its fee turned into time."""
        stats, fee = self._latency(message, endpoint), self.settings.zone_fees.get(endpoint.zone, 0.0)
        failure_share = max(
            stats.failures.hit_share(self.now_us), endpoint.failure_ratio.hit_share(self.now_us)
        )
        return (
            stats.mean_us * (len(endpoint.calls) + 1) / max(0.1, 1 - failure_share)
            + fee * message.cls.deadline_us
        )

    def _send(self, message: Message, endpoint: Endpoint, new_calls_by_host: dict[str, Call]) -> None:
        stats, timeout_us = self._latency(message, endpoint), message.deadline_us - self.now_us
        overdue_after_us = stats.mean_us + OVERDUE_SPREADS * max(stats.spread_us, stats.mean_us / 2)
        if message.cls.effect is not Effect.UNSAFE:  # one that times out is lost: it runs on
            timeout_us = min(
                timeout_us, int(TIMEOUT_OVERDUE_MULTIPLE * overdue_after_us) << min(message.timeouts, 8)
            )
        if (call := new_calls_by_host.get(endpoint.host)) is None or call.message_count >= call.max_messages:
            if (
                connection_idle_us := self.now_us - (endpoint.last_call_ended_us or self.now_us)
            ) > self.trusted_idle_us:
                self.actions.append(CloseIdle(endpoint.host))
                connection_idle_us = 0
            call = new_calls_by_host[endpoint.host] = Call(
                endpoint, self.now_us, overdue_after_us, connection_idle_us
            )
            for limiter in endpoint.limiters:
                if endpoint.kind.batch_size > 1 and limiter.slow_start.phase is not Phase.HEALTHY:
                    traffic = self._endpoint_traffic(self.destinations[endpoint.dest], limiter)
                    weight = limiter.slow_start.max_call_weight(self.now_us, self.budget, traffic)
                    call.max_messages = int(min(call.max_messages, 1 + (weight - 1) / EXTRA_MESSAGE_WEIGHT))
            endpoint.calls.append(call)
            self.new_calls.append(call)
            self.calls_in_flight += 1
            rate_limiter = endpoint.rate_limiter
            rate_limited = not rate_limiter.slow_start.needs_credit(self.now_us)  # else credit is the pace
            if rate_limited and (send_rate := self._send_rate(rate_limiter)) < math.inf:
                gap_us = int(1e6 / send_rate * self.rng.uniform(0.5, 1.5))  # not back together
                rate_limiter.pause_until_us = (
                    max(rate_limiter.pause_until_us, self.now_us - RATE_BURST_US) + gap_us
                )
        is_first = call.message_count == 0
        # What travels with others weighs a part of a call.
        endpoint.slow_start.spend(
            self.now_us, self.budget, 1.0 if is_first else EXTRA_MESSAGE_WEIGHT, first=is_first
        )
        self._remove_from_backlog(message)  # before its tries and what they may have done say another lane
        message.recovered_untried = False
        call.message_count, call.pending_count = call.message_count + 1, call.pending_count + 1
        message.attempts_in_flight[message.attempts], message.attempts = call, message.attempts + 1
        call.unsent.append((message, max(1, timeout_us)))
