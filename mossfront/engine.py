"""The relay's decisions; their types are in ``mossfront/interface.py``.

The state is in ``mossfront/state.py``, the interpretation of failures in ``mossfront/outages.py``.

The normal case follows fetches-per-server of the FRNOG 25 BIND9 notes: each endpoint has a quota of calls in
flight that shrinks while its failure ratio is high and grows back while it is low. Messages over the quota
are held. A step processes a batch of events, answers messages that have run out of time, then dispatches
once, at the destinations that an event touched or that are due for a recheck.
"""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Iterable

from mossfront.backlog import Lane, Lanes, score_breakpoints, add_to_lane, remove_from_lane
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
from mossfront.repeats import expiry_reason, is_client_retry_harmless, key_known_until_us, required_zone
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

# Largest share of the call slots for one destination: while it is healthy; while it is failing or slow.
MAX_CALL_SHARE, MAX_FAILING_CALL_SHARE = 0.75, 0.5
FORGET_GONE_HOST_US = 20_000_000  # us after which a host that left the list is forgotten, if unused
FORGET_INTERVAL_US = 1_000_000  # us between searches for such hosts
MIN_QUOTA_SHARE = 0.02  # of the maximum quota: kept by a server that never answers (2% in the BIND9 notes)
NEWEST_CALL_WEIGHT = 0.15  # of the newest call in ratios and latencies: a memory of about seven calls
EVIDENCE_DECAY_US = 10_000_000  # us in which failure ratios, demand and a reduced send rate decay to 1/e
HIGH_FAILURE_RATIO, LOW_FAILURE_RATIO = 0.3, 0.1  # above: the quota decreases; below: it increases
QUOTA_DECREASE_FACTOR, QUOTA_INCREASE_SHARE = 0.7, 0.1  # factor; share of the maximum quota
# us between trial calls to a failing endpoint, where this relay's share of the traffic is large.
MIN_RETRY_PAUSE_US, MAX_RETRY_PAUSE_US = 200_000, 3_000_000
RATE_BURST_US = 400_000  # us worth of its send rate that a rate-limited endpoint may be sent at once
# A call older than the mean latency plus this many spreads is overdue: about 1 in 50 if exponential.
OVERDUE_SPREADS = 4.0
TIMEOUT_OVERDUE_MULTIPLE = 2.5  # time-out of a repeatable call, as a multiple of its overdue age
# While more than 1/UNUSED_LIMIT_FACTOR of a limit is left, a relay that is served keeps at least its
# initial send rate.
UNUSED_LIMIT_FACTOR = 2.0
# Factors of the send rate: after a refusal; after a success; after an answer that announces no limit.
REFUSED_RATE_FACTOR, SERVED_RATE_FACTOR, UNLIMITED_RATE_FACTOR = 0.8, 1.03, 2.0
RATE_GROWTH_US = 6_000_000  # us in which the send rate of a relay without peers grows by a factor of e
# Send rate in equal shares of an announced limit: at first, at least, and at most by own demand.
INITIAL_EQUAL_SHARES, MIN_EQUAL_SHARES, MAX_EQUAL_SHARES = 1.0, 0.5, 2.0
# Initial equal shares, times the square root of the group size, where the share left is not reported.
UNREPORTED_EQUAL_SHARES = 2.0
MIN_SLOT_US = 1.0  # shortest expected time of a call in its slot, in us
# Range of an announced limit, in calls/s: from one call in eleven days to more than any endpoint serves.
MIN_ANNOUNCED_RATE_PER_S, MAX_ANNOUNCED_RATE_PER_S = 1e-6, 1e9
# Share left of a limit at which the send rate stays; gain in 1/s; longest interval between reports, us.
TARGET_SHARE_LEFT, SHARE_LEFT_GAIN_PER_S, MAX_REPORT_INTERVAL_US = 0.5, 2.0, 1_500_000
# Factors of the trusted idle age: when a reused connection is lost; at the end of any call.
IDLE_AGE_LOSS_FACTOR, IDLE_AGE_GROWTH_FACTOR = 0.5, 1.005
# us before a failed subscription is first retried; us for each relay over which a group spreads retries.
SUBSCRIBE_RETRY_US, SUBSCRIBE_SPREAD_PER_RELAY_US = 500_000, 100_000
# us after which a relay is held to know a list change, once the directory has it and can be reached.
LIST_CHANGE_KNOWN_US = 6_000_000
EXTRA_MESSAGE_WEIGHT = 0.2  # weight of each message after the first in a call, in calls
MAX_LIMIT_REFUSALS = 1  # consecutive refusals put down to a limit that is reported as used up
FAR_FUTURE_US = 1 << 62
# us of waiting whose loss of worth counts in a message's score; weight of the worth itself beside it.
URGENCY_HORIZON_US, WORTH_WEIGHT = 1_500_000, 0.2

# Heap of the best message of each lane: priority (False for a message that a restart recovered untried,
# which goes first; risk of a repeat), cost, target time in us, held serial, message, its lane, slot time.
DispatchQueue = list[tuple[tuple[bool, float], float, int, int, Message, Lane, float]]
# The later an effect stands in the enum, the worse a repeat.
REPEAT_RISK = {effect: float(order) for order, effect in enumerate(Effect)}


class DecisionEngine(OutageTracking):
    """Decides for one relay what is sent where and when, without I/O or a clock of its own.

    The caller passes batches of events in order of time to ``step`` and carries out the returned actions.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.rng, self.now_us, self.actions = settings, random.Random(seed), 0, list[Action]()
        self.compiled_rules, self.dispatch_paused = dict[DeliveryRules, CompiledRules](), False
        self.tenant_usage: dict[str, tuple[float, DecayingCounter]] = {}
        # Held messages of all destinations, by rules, worth and whether a restart recovered them untried.
        self.all_held_lanes: Lanes = {}
        self.messages, self.endpoints = dict[str, Message](), dict[str, Endpoint]()
        # Destinations by number; hosts that an operator disabled.
        self.destinations, self.disabled_hosts = dict[int, Destination](), set[str]()
        self.key_queues = dict[str, list[Message]]()  # by ordering key: messages in order of arrival
        # By ordering key: when an earlier attempt that may still run is taken to have ended.
        self.key_free_at_us = dict[str, int]()
        # By message id and attempt, for settled attempts whose call is still on the wire: the ordering key.
        self.attempts_on_wire = dict[tuple[str, int], str]()
        self.class_latency: dict[str, LatencyStats] = {}  # by class: latency over all endpoints
        self.arrivals = DecayingCounter(EVIDENCE_DECAY_US)
        # Calls lost on connections that had been idle, and on others.
        self.idle_connection_losses, self.fresh_connection_losses = (
            DecayingCounter(EVIDENCE_DECAY_US, 1 - NEWEST_CALL_WEIGHT),
            DecayingCounter(EVIDENCE_DECAY_US, 1 - NEWEST_CALL_WEIGHT),
        )
        # Idle age up to which a connection is reused; share of calls refused a connection by a live endpoint.
        self.trusted_idle_us, self.connect_refusals = (
            float(settings.keepalive_us),
            DecayingCounter(EVIDENCE_DECAY_US),
        )
        # Share of trial calls that fail: after a failure, and after a refusal.
        self.trial_failures = (
            DecayingCounter(EVIDENCE_DECAY_US, 1 - NEWEST_CALL_WEIGHT),
            DecayingCounter(EVIDENCE_DECAY_US, 1 - NEWEST_CALL_WEIGHT),
        )
        self.open_messages, self.calls_in_flight, self.timer_due_us, self.last_serial = 0, 0, -1, 0
        self.new_calls = list[Call]()  # calls of this step whose sends are not emitted yet
        self._apply_settings(settings)
        # When to subscribe to the directory next (-1: not planned); the gap after a failure.
        self.subscribe_at_us, self.subscribe_gap_us = (
            (0 if settings.must_subscribe else -1),
            self.min_subscribe_gap_us,
        )
        # When the last subscription was sent; longest time from one to the next.
        self.last_subscribe_us, self.max_subscribe_gap_us = (
            -LIST_CHANGE_KNOWN_US,
            LIST_CHANGE_KNOWN_US * 2 // 3,
        )
        self.next_forget_us = 0  # when to search next for hosts to forget
        # Destinations that an event or a due recheck touched, in that order.
        self.destinations_to_check: dict[int, None] = {}
        self.recheck_queue: list[tuple[int, int]] = []  # heap: time of the recheck, destination
        self.expiry_queue: list[tuple[int, int, Message]] = []  # heap: expiry time, serial, held message
        # Heap: when a message that a restart recovered untried earns credit, and its destination.
        self.recovered_credit_queue: list[tuple[int, int]] = []

    def _apply_settings(self, settings: Settings) -> None:
        """Apply new settings; messages accepted under earlier ones and all learned state stay as they are."""
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
        # The more relays share a limit, the fewer reports each receives: send rates change more slowly.
        self.group_size_root = settings.group_size**0.5
        # The directory serves a group's subscriptions one by one, abandoned ones included: if all relays
        # subscribe at once, all are answered late.
        self.subscribe_spread_us = max(
            0, SUBSCRIBE_SPREAD_PER_RELAY_US * settings.group_size - SUBSCRIBE_RETRY_US
        )
        self.min_subscribe_gap_us = SUBSCRIBE_RETRY_US
        if settings.list_is_pushed:
            # No other relay asks this relay's agent. A list that the agent has counts as received even when
            # no watch is open, and a subscription without an answer (``directory``) takes as long again: half
            # of a drain's grace may go by.
            self.subscribe_spread_us, self.min_subscribe_gap_us = (
                0,
                max(settings.round_us, settings.drain_grace_us // 4),
            )

    def _compile_rules(self, rules: DeliveryRules) -> CompiledRules:
        """Return the compiled form of a set of rules, shared by all messages accepted under them."""
        if (compiled := self.compiled_rules.get(rules)) is None:
            self.last_serial += 1
            rules_in_use = (
                {m.compiled_rules.rules for m in self.messages.values()}
                if len(self.compiled_rules) > 64
                else None
            )
            if rules_in_use is not None:  # frequent settings changes must not grow memory
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
        """Process every event of the batch, then answer expired messages and dispatch once."""
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
                self.timer_due_us = -1  # also if a little early, as no other timer will fire
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
        # Otherwise held messages are checked in a later step.
        if self.calls_in_flight < self.settings.max_calls and not self.dispatch_paused:
            self._dispatch()
            self._emit_sends()
        for number in idle_destinations:  # last: events of this step may have put it to use again
            self._deactivate_destination(number)
        # A directory that must be asked; an unanswered subscription is repeated.
        if 0 <= self.subscribe_at_us <= now_us:
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
        """Apply a directory update; after a failed or broken watch, schedule the next subscription."""
        if event.kind is EndpointUpdateKind.FAILED:
            if self.settings.must_subscribe:
                gap_us = (
                    self.subscribe_gap_us * self.rng.uniform(0.7, 1.3)
                    + self.subscribe_spread_us * self.rng.random()
                )
                # The directory may be reachable again right now, however the last call ended. So the next one
                # starts within two thirds of LIST_CHANGE_KNOWN_US; the rest is for its answer.
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
        elif self.subscribe_at_us == 0:  # first list, perhaps outdated: many relays may be starting now
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
        # Send rate until an answer announces a limit: the tenants' total quota, spread evenly.
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
                if current is not None:  # the host moved: calls in flight settle on the old endpoint
                    del self.destinations[current.dest].endpoints[entry.host]
                    self.destinations[current.dest].clear_ready_cache()
                # An endpoint added later may be a new, cold process: its quota starts at one call and grows
                # with its successes.
                current = self._add_endpoint(entry, kind, 1 if added_later else initial_quota, even_rate)
            elif current.listing is Listing.GONE and entry.listing is Listing.READY:
                # All relays receive this at the same moment, and none knows its state in the meantime.
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
        """Add an endpoint without history; ``quota`` in calls, ``send_rate`` in calls/s (0: unlimited)."""
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
        """Stop sending to a host that an operator disables; treat a re-enabled one as a new, cold process."""
        was_disabled, old_endpoint = host in self.disabled_hosts, self.endpoints.get(host)
        (self.disabled_hosts.add if disabled else self.disabled_hosts.discard)(host)
        if old_endpoint is None or was_disabled == disabled:
            return
        old_endpoint.disabled = disabled
        if not disabled:  # calls in flight settle on the old endpoint
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
        """Return what is known of each listed endpoint, for the process that takes over."""
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
        """Continue from the state that the previous process had reached for an endpoint."""
        limiter = endpoint.rate_limiter
        limiter.retry_after_until_us = max(limiter.retry_after_until_us, self.now_us + snapshot.wait_us)
        endpoint.quota = max(MIN_QUOTA_SHARE * endpoint.max_quota, min(endpoint.max_quota, snapshot.quota))
        limiter.announced_rate = snapshot.announced_rate_per_s
        if snapshot.send_rate_per_s:
            limiter.send_rate, limiter.send_rate_at_us = snapshot.send_rate_per_s, self.now_us
        # A slow start goes on from where it was, without a new trial call.
        if snapshot.cold_for_us >= 0:
            endpoint.own_limiter.slow_start.resume(
                self.now_us, self.budget, snapshot.cold_for_us, snapshot.next_call_in_us
            )
            endpoint.own_limiter.consecutive_failures, endpoint.own_limiter.pause_until_us = 0, self.now_us

    def _forget_gone_hosts(self) -> None:
        """Forget hosts that left the list and unused destinations: ids are always new, so tables would grow.

        A host with calls in flight, a wait, a pause or a slow start stays, as it may be listed again.
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
        """Forget an idle destination unless it is still in use; an outage keeps it until it is over."""
        if (dest := self.destinations.get(number)) is not None:
            if self._in_use(number, dest):
                return
            for host in dest.endpoints:
                del self.endpoints[host]
            del self.destinations[number]
            self.destinations_to_check.pop(number, None)
        self.actions.append(DestinationDeactivated(number))

    def count_avoided(self) -> int:
        """Count the listed endpoints that are avoided: disabled by an operator, draining or failing."""
        listed_endpoints = [e for e in self.endpoints.values() if e.listing is not Listing.GONE]
        return sum(
            e.disabled or e.listing is Listing.DRAINING or self._is_failing(e) for e in listed_endpoints
        )

    def count_phases(self) -> dict[str, int]:
        """Count the listed endpoints by phase of their slow start."""
        counts = dict.fromkeys((phase.value for phase in Phase), 0)
        for endpoint in self.endpoints.values():
            if endpoint.listing is not Listing.GONE:
                counts[endpoint.slow_start.phase.value] += 1
        return counts

    def _restricted_until_us(self, endpoint: Endpoint) -> int:
        """Return when the endpoint's last wait, pause or slow start is over, by the step clock."""
        return max(
            max(g.blocked_until_us, g.slow_start.cold_since_us + self.settings.warm_within_us)
            for g in endpoint.limiters
        )

    def _in_use(self, number: int, dest: Destination) -> bool:
        """Return whether the destination has a message, call, wait, pause, outage record or slow start."""
        for endpoint in dest.endpoints.values():
            has_failures = any(g.consecutive_failures for g in endpoint.limiters)
            if (
                endpoint.calls
                or has_failures
                or self.now_us <= max(self._restricted_until_us(endpoint), endpoint.outage_record_until_us)
            ):
                return True
        # A call may be in flight at an endpoint that has moved: only its message still refers to it.
        return bool(self.attempts_on_wire) or any(
            message.dest == number for message in self.messages.values()
        )

    def _apply_announced_rate(
        self, limiter: CallLimiter, rate: float | None, share_left: float | None = None
    ) -> None:
        """Bound the send rate by a limit announced for all relays, and steer it by the share left of it.

        ``rate`` is in calls/s; one out of range is taken for none. All relays that share the limit receive
        the same reports. Each changes its send rate from its equal share by the same factor for the same
        report, so that their sum settles where some of the limit is left.
        """
        if not (rate and MIN_ANNOUNCED_RATE_PER_S <= rate <= MAX_ANNOUNCED_RATE_PER_S):
            if not limiter.announced_rate:  # no limit announced: there may be none
                limiter.send_rate = self._send_rate(limiter) * UNLIMITED_RATE_FACTOR
            return
        if share_left is not None and not 0 <= share_left <= 1:
            share_left = None
        # Without a report of what the others use, a busy relay may take more than its equal share.
        if not limiter.announced_rate:
            equal_shares = (
                self._initial_equal_shares(share_left)
                if share_left is not None
                else UNREPORTED_EQUAL_SHARES * self.group_size_root
            )
            limiter.send_rate, limiter.send_rate_at_us = rate * self._equal_share(equal_shares), self.now_us
        limiter.announced_rate = rate
        if share_left is not None and (rate, share_left) != limiter.last_report:  # new reports only
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
        """Return the equal shares of a limit that a relay starts with; one of two may use all of it."""
        size = self.settings.group_size
        return max(
            MIN_EQUAL_SHARES,
            INITIAL_EQUAL_SHARES * size / max(1, size - 1) * min(1.0, UNUSED_LIMIT_FACTOR * share_left),
        )

    def _equal_share(self, count: float) -> float:
        """Return ``count`` equal shares of what the group shares, as a fraction of at most 1."""
        return min(1.0, count / self.settings.group_size)

    def _accept_message(self, event: Arrival) -> None:
        """Register a new or recovered message, reduce its worth if its tenant is over quota, and hold it."""
        compiled_rules = (
            self._compile_rules(event.rules) if event.rules else self.rules_by_class.get(event.cls)
        )
        if compiled_rules is None or event.id in self.messages:
            return
        worth = compiled_rules.rules.cls.worth
        self.arrivals.add(False, self.now_us)
        # Beyond the tenant's share of this relay's traffic, a message is worth less.
        if event.tenant in self.tenant_usage:
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
            # All relays may have restarted together. The recovered messages had arrived over some time, so
            # their credit is spread over time again.
            credit_at_us = self.now_us + int(self.rng.random() * message.cls.deadline_us)
            if credit_at_us < message.deadline_us:
                heapq.heappush(self.recovered_credit_queue, (credit_at_us, event.dest))
        elif not event.attempts:  # a message tried before a restart earned its credit then
            dest.traffic.add(False, self.now_us)
            self._add_credit(dest, ready)
        if message.key:
            self.key_queues.setdefault(message.key, []).append(message)
            if message.in_doubt_since_us >= 0:  # an attempt from before the restart may still run
                self.key_free_at_us[message.key] = self.now_us + self.settings.order_pause_us
        self._hold(message)

    def _hold(self, message: Message) -> None:
        """Hold a message for dispatch and schedule its expiry."""
        dest = self.destinations[message.dest]
        dest.held[message.id], self.destinations_to_check[message.dest] = message, None
        self.last_serial += 1
        message.held_serial = self.last_serial
        self.all_held_lanes.setdefault(self._held_lane_key(message), Lane()).add(message)
        self._make_dispatchable(dest, message)
        self._schedule_expiry(message)

    # Key of ``all_held_lanes``: messages that differ in score by their target time only.
    _held_lane_key = staticmethod(
        lambda message: (message.compiled_rules.number, message.worth, message.recovered_untried)
    )

    def _schedule_expiry(self, message: Message) -> None:
        """Queue a held message to be checked at its expiry time."""
        self.last_serial += 1
        heapq.heappush(self.expiry_queue, (self._expiry_us(message), self.last_serial, message))
        # Most messages are done long before they expire: drop them to bound the queue.
        if len(self.expiry_queue) > 2 * len(self.messages) + 64:
            self.expiry_queue = [item for item in self.expiry_queue if not item[2].done]
            heapq.heapify(self.expiry_queue)

    def _make_dispatchable(self, dest: Destination, message: Message) -> None:
        """Add a held message to its lane if key order allows it; else the first of its key waits."""
        if self._allowed_by_key_order(message):
            dest.waiting_for_key.pop(message.id, None)
            add_to_lane(dest.lanes, message)
        elif self.key_queues[message.key][0] is message:
            dest.waiting_for_key[message.id] = message

    def _remove_from_backlog(self, message: Message) -> None:
        """Remove a message from the backlog, since it is being sent or done."""
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
        """Return when too little is left of the deadline or key window for a further call."""
        cls, in_doubt = message.cls, message.in_doubt_since_us >= 0
        if message.attempts >= message.max_attempts or (in_doubt and cls.effect is Effect.UNSAFE):
            return self.now_us
        expiry_us = message.deadline_us - int(
            max(4 * self.settings.round_us, self._latency(message).mean_us / 2)
        )
        return (
            min(expiry_us, key_known_until_us(message, self.settings.round_us))
            if in_doubt and cls.effect is Effect.KEYED
            else expiry_us
        )

    def _settle_attempt(self, event: Outcome) -> None:
        """Settle one attempt: its call, the endpoint's statistics, then the message."""
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
            # Idle connections of many relays fill a small connection table: close one that is unlikely to be
            # reused. An endpoint that never served or keeps failing is down; its table is not full.
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
            # The call of an earlier attempt may still be on the wire.
            if message.key in self.attempts_on_wire.values():
                self.key_free_at_us[message.key] = FAR_FUTURE_US
            elif message.key and verdict is not Verdict.ERROR:
                self.key_free_at_us[message.key] = self.now_us + self.settings.order_pause_us
        if event.complete or message.done:
            if verdict is Verdict.OK:
                self.destinations[message.dest].traffic.count_served()
            self._close_message(message)
        # Hold it again; one that may not be repeated is answered after the whole batch.
        elif not message.attempts_in_flight:
            self._hold(message)

    def _release_key(self, event: CallEnded) -> None:
        """Start the pause of an ordering key once no earlier attempt of it is on the wire."""
        key = self.attempts_on_wire.pop((event.id, event.attempt), "")
        if key and key not in self.attempts_on_wire.values():
            self.key_free_at_us[key] = self.now_us + self.settings.order_pause_us
            self.destinations_to_check.update(
                {next_message.dest: None for next_message in self.key_queues.get(key, [])[:1]}
            )

    def _learn_from_call(self, call: Call, message: Message, event: Outcome) -> None:
        """Update the statistics of connection, class, endpoint and limit from the end of a call."""
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
            # Calls on idle connections are lost far more often than others: something drops idle
            # connections, so close them sooner.
            self.trusted_idle_us = max(
                IDLE_AGE_LOSS_FACTOR * self.trusted_idle_us,
                min(self.trusted_idle_us, 0.8 * call.connection_idle_us),
            )
            if verdict is Verdict.RESET and event.elapsed_us < usual_latency_us / 2:
                # Probably no failure of the endpoint, but one that goes down resets idle connections, too.
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
        """Update the failure ratio and step the quota at its thresholds, as the BIND9 notes do."""
        endpoint.failure_ratio.add(failed, self.now_us)
        if failed and endpoint.failure_ratio.hit_share(self.now_us) > HIGH_FAILURE_RATIO:
            endpoint.quota = max(MIN_QUOTA_SHARE * endpoint.max_quota, endpoint.quota * QUOTA_DECREASE_FACTOR)
        elif not failed or endpoint.failure_ratio.hit_share(self.now_us) < LOW_FAILURE_RATIO:
            endpoint.quota = min(
                endpoint.max_quota, endpoint.quota + QUOTA_INCREASE_SHARE * endpoint.max_quota
            )

    def _has_overdue_call(self, endpoint: Endpoint) -> bool:
        """Return whether a call is overdue without a success since: a hang, noticed before the time-out."""
        last_success_us = endpoint.rate_limiter.last_success_us
        for call in endpoint.calls:
            if self.now_us - call.sent_us > call.overdue_after_us >= last_success_us - call.sent_us:
                return True
        return False

    def _is_failing(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint failed repeatedly, or once while trial calls mostly fail."""
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
        """Count a failure, pause before the next trial call, and report a possible outage."""
        verdict, refused = event.verdict, event.verdict is Verdict.FULL
        recently_served = self.now_us - limiter.last_success_us < RECENT_SUCCESS_US
        if (
            not refused
            or not self._limit_used_up(limiter, event)
            or limiter.consecutive_failures >= MAX_LIMIT_REFUSALS
        ):
            self._suspect_outage(endpoint, limiter, call, message, event)
        # A connection limit: the quota shrinks, and it is not counted as a failure.
        if recently_served and verdict is Verdict.CONNECT_FAILED:
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
            # The announced rate may be outdated or used up by others: drop to half of the served rate.
            if refused:
                min_rate = min(
                    1e6 / MAX_RETRY_PAUSE_US,
                    MIN_EQUAL_SHARES * limiter.announced_rate * self._equal_share(1) or math.inf,
                )
                send_rate = REFUSED_RATE_FACTOR * min(
                    self._send_rate(limiter), self._own_share_per_s(endpoint, limiter)
                )
                limiter.send_rate = max(send_rate, 0.5 * limiter.served.rate_per_s(self.now_us), min_rate)
        if verdict is Verdict.ERROR:  # it answers: the next call may succeed, without a pause
            return
        retry_pause_us = min(
            MIN_RETRY_PAUSE_US * 2.0 ** min(limiter.consecutive_failures - 1, 10), MAX_RETRY_PAUSE_US
        )
        if limiter.slow_start.needs_credit(self.now_us):
            # Credit spreads the calls of all relays. After a Retry-After wait, which ends for all relays at
            # once, it alone does.
            if limiter.retry_after_until_us <= self.now_us:
                pause_us = int(retry_pause_us * self.rng.uniform(0.3, 1.3))
                limiter.pause_until_us = max(limiter.pause_until_us, self.now_us + pause_us)
                limiter.slow_start.pause(limiter.pause_until_us)
            return
        wait_end_us = max(self.now_us, limiter.retry_after_until_us)
        if refused and limiter.last_report_us > 0:
            # Refused calls use up the limit, too: if all relays return when their waits end, they keep it
            # used up. With a random pause at the reduced send rate the group fits into the limit.
            limiter.pause_until_us = max(
                limiter.pause_until_us, wait_end_us + int(2e6 / limiter.send_rate * self.rng.random())
            )
        if not refused or limiter.consecutive_failures > 1 or not recently_served:
            limiter.pause_until_us = max(
                limiter.pause_until_us, wait_end_us + int(retry_pause_us * self.rng.uniform(0.3, 1.3))
            )
        else:  # without a random pause, all relays would return when the wait ends
            limiter.pause_until_us = max(
                limiter.pause_until_us, wait_end_us + int((wait_end_us - self.now_us) * self.rng.random())
            )

    def _send_rate(self, limiter: CallLimiter) -> float:
        """Return this relay's send rate in calls/s, after its growth over time since the last update."""
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
        """Return this relay's share of the calls/s there: the equal share, or more by its own demand."""
        rate_limiter = endpoint.rate_limiter
        share_per_s = max(
            rate_limiter.announced_rate * self._equal_share(1),
            rate_limiter.demand.rate_per_s(self.now_us),
            1e-3,
        )
        if rate_limiter.announced_rate:  # the total demand may be far above the limit
            share_per_s = min(share_per_s, rate_limiter.announced_rate * self._equal_share(MAX_EQUAL_SHARES))
        return share_per_s / (
            1 if limiter is rate_limiter else max(1, len(self.destinations[endpoint.dest].ready_endpoints()))
        )

    def _give_up(self, message: Message, reason: GiveUpReason) -> None:
        """Give the final answer: a refusal where the client may safely retry, else a failure."""
        # The same wait for all would bring all clients back at once.
        wait_us = int(
            self.settings.max_retry_after_us * self.settings.advise_retry * self.rng.uniform(0.5, 1.0)
        )
        harmless = is_client_retry_harmless(message, self.settings.round_us)
        answer = Refuse(message.id, wait_us, reason) if harmless else Fail(message.id, reason)
        self.actions.append(answer)
        self._close_message(message)

    def _close_message(self, message: Message) -> None:
        """Close a message; it is forgotten once no attempt is in flight."""
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
        """Return latency statistics of the class at the endpoint, else anywhere, else a guess.

        The guess for mean and spread is a quarter of the class's target time.
        """
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
        """Answer held messages that have expired, and the least valuable ones over the backlog bound."""
        while self.expiry_queue and self.expiry_queue[0][0] <= self.now_us:
            message = heapq.heappop(self.expiry_queue)[2]
            # The latency on which the expiry time depends may have changed since it was queued.
            if not message.done and message.id in self.destinations[message.dest].held:
                if self._expiry_us(message) > self.now_us:
                    self._schedule_expiry(message)
                else:
                    self._give_up(message, expiry_reason(message, self.now_us, self.settings.round_us))
        for dest in [self.destinations[number] for number in self.destinations_to_check]:
            wait_end_us = (
                min([e.rate_limiter.retry_after_until_us for e in dest.ready_endpoints()], default=0)
                if dest.held
                else 0
            )
            if wait_end_us > self.now_us:  # a wait beyond a message's expiry: answer it now
                for message in self._expiring_by(dest, wait_end_us):
                    self._give_up(message, GiveUpReason.WAIT_EXCEEDS_DEADLINE)
        for _ in range(self.open_messages - max(1, self.settings.max_held_messages - 1)):
            if least_valuable := self._least_valuable():
                self._give_up(least_valuable, GiveUpReason.BACKLOG_FULL)

    def _least_valuable(self) -> Message | None:
        """Return the held message with the lowest score."""
        # Messages that a restart recovered untried were accepted earlier and are given up last.
        lanes = [lane for lane in self.all_held_lanes.values() if not lane.entries[0][2].recovered_untried]
        lanes = lanes or list(self.all_held_lanes.values())
        return (
            min(lane.lowest_cost(*self._delivery_time(lane), self._score) for lane in lanes)[-1]
            if lanes
            else None
        )

    def _expiring_by(self, dest: Destination, by_us: int) -> list[Message]:
        """Return the held messages that expire by then; lanes not in doubt are scanned from their oldest."""
        # Messages behind another one of their ordering key are in no lane.
        without_turn = [m for m in dest.held.values() if not m.lane_key] if self.key_queues else []
        expiring = [m for m in without_turn if self._expiry_us(m) <= by_us]
        for lane in dest.lanes.values():
            in_doubt = lane.entries[0][2].in_doubt_since_us >= 0
            for _, _, message in lane.entries:
                if self._expiry_us(message) <= by_us:
                    expiring.append(message)
                elif not in_doubt:  # the rest of the lane expires later
                    break
        return sorted(expiring, key=lambda m: (m.target_us, m.held_serial))

    def _delivery_time(self, lane: Lane) -> tuple[float, tuple[int, ...]]:
        """Return when a lane's messages would be delivered if sent now, and their score breakpoints."""
        message = lane.entries[0][2]
        return self.now_us + self._latency(message).mean_us, message.compiled_rules.score_breakpoints

    def _worth_at(self, message: Message, at_us: float) -> float:
        """Return the worth of the message if it is delivered at that time."""
        if at_us >= message.deadline_us:
            return 0.0
        if (late_us := at_us - message.target_us) <= 0:
            return message.worth
        cls = message.cls
        if self.settings.worth_halves:
            return message.worth * max(cls.late_worth, math.pow(0.5, late_us / max(1, cls.aim_us)))
        return message.worth * (1 - (1 - cls.late_worth) * late_us / max(1, cls.deadline_us - cls.aim_us))

    def _score(self, message: Message, at_us: float | None = None) -> float:
        """Return the worth lost by waiting URGENCY_HORIZON_US longer, plus a part of the worth itself.

        ``at_us`` is the time of delivery if sent now; by default it is estimated.
        """
        if at_us is None:
            at_us = self.now_us + self._latency(message).mean_us
        worth_now = self._worth_at(message, at_us)
        return worth_now - self._worth_at(message, at_us + URGENCY_HORIZON_US) + WORTH_WEIGHT * worth_now

    def _dispatch(self) -> None:
        """Send held messages of the destinations to check, best first, in one pass."""
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
                slots_us = dict[str, float]()  # by class: expected time in a slot at this destination
                for lane in dest.lanes.values():
                    message = lane.entries[0][2]
                    # Trial calls to failing endpoints cost least with repeatable messages, and messages take
                    # turns in them. If slots are short, worth is divided by the time in a slot: otherwise
                    # slow destinations would take all slots.
                    attempts_used = message.attempts / message.max_attempts
                    risk = has_failures * (REPEAT_RISK[message.cls.effect] + attempts_used)
                    if (slot_us := slots_us.get(message.cls.name)) is None:
                        slot_us = MIN_SLOT_US
                        if slots_short:
                            fastest_us = min(self._latency(message, e).mean_us for e in available)
                            slot_us = max(slot_us, fastest_us)
                        slots_us[message.cls.name] = slot_us
                    self._queue_best(queue, lane, (not message.recovered_untried, risk), slot_us)
        new_calls_by_host: dict[str, Call] = {}
        while queue:
            priority, _, _, _, message, lane, slot_us = heapq.heappop(queue)
            # Without a candidate for this message there is none for the rest of its lane.
            if candidates := self._candidate_endpoints(message, new_calls_by_host):
                self._send(
                    message, min(candidates, key=lambda e: self._endpoint_cost(message, e)), new_calls_by_host
                )
                if lane.entries:
                    self._queue_best(queue, lane, priority, slot_us)
        self._schedule_rechecks(checked)

    def _emit_sends(self) -> None:
        """Emit the sends of new calls, with the longest time-out of a call's messages for all of them.

        Only a message's own deadline may shorten it. With a time-out of its own, a message would be retried
        while the call that carries it is still in flight.
        """
        for call in self.new_calls:
            longest_timeout_us = max(limit_us for _, limit_us in call.unsent)
            for message, _ in call.unsent:
                timeout_us = min(longest_timeout_us, max(1, message.deadline_us - self.now_us))
                start_within_us = 0
                # Connecting may take long: the call must start while the key of the first attempt is known.
                if message.cls.effect is Effect.KEYED and message.in_doubt_since_us >= 0:
                    known_until_us = key_known_until_us(message, self.settings.round_us)
                    start_within_us = max(1, known_until_us - self.now_us)
                self.actions.append(Send(message.id, call.endpoint.host, timeout_us, start_within_us))
            call.unsent.clear()
        self.new_calls.clear()

    def _schedule_rechecks(self, checked: list[int]) -> None:
        """Schedule the next check of these destinations where messages are held."""
        # Without a free slot, held messages stay marked and are checked again in the next step.
        if self.calls_in_flight < self.settings.max_calls:
            self.destinations_to_check = {}
        for number in checked:
            if (dest := self.destinations[number]).held:
                times = [e.unblocked_at_us(self.now_us, self.budget) for e in dest.ready_endpoints()]
                times += [self.key_free_at_us.get(m.key, 0) for m in dest.waiting_for_key.values()]
                next_time_us = min((at_us for at_us in times if at_us > self.now_us), default=0)
                # An earlier recheck that is already queued leads here again.
                if next_time_us and not self.now_us < dest.recheck_at_us <= next_time_us:
                    dest.recheck_at_us = next_time_us
                    heapq.heappush(self.recheck_queue, (next_time_us, number))

    def _queue_best(
        self, queue: DispatchQueue, lane: Lane, priority: tuple[bool, float], slot_us: float
    ) -> None:
        """Queue a lane's best message; of those recovered untried, the one with the earliest deadline."""
        if (first_entry := lane.entries[0])[2].recovered_untried:
            heapq.heappush(queue, (priority, float(first_entry[2].deadline_us), *first_entry, lane, slot_us))
            return
        delivery_us, breakpoints_us = self._delivery_time(lane)
        cost, target_us, held_serial, message = lane.lowest_cost(
            delivery_us, breakpoints_us, lambda m: -self._score(m, delivery_us)
        )
        heapq.heappush(queue, (priority, cost / slot_us, target_us, held_serial, message, lane, slot_us))

    def _candidate_endpoints(self, message: Message, new_calls_by_host: dict[str, Call]) -> list[Endpoint]:
        """Return the endpoints that can take the message now: in a call of this pass, else in a new one."""
        dest, zone = self.destinations[message.dest], required_zone(message)
        candidates = [e for e in dest.ready_endpoints() if zone is None or e.zone == zone]
        joinable = [
            e
            for e in candidates
            if e.host in new_calls_by_host
            and new_calls_by_host[e.host].message_count < new_calls_by_host[e.host].max_messages
        ]
        # Sends of one step to one endpoint share a call up to the batch size of its kind, even if this
        # engine intends separate calls.
        candidates = [
            e
            for e in candidates
            if e.host not in new_calls_by_host or new_calls_by_host[e.host].message_count >= e.kind.batch_size
        ]
        return joinable or [e for e in candidates if self._has_capacity(dest, e)]

    def _allowed_by_key_order(self, message: Message) -> bool:
        """Return whether key order allows a send now; the first of its key may be retried without a pause."""
        is_first = not message.key or self.key_queues[message.key][0] is message
        return is_first and (message.attempts > 0 or self.now_us >= self.key_free_at_us.get(message.key, 0))

    def _has_capacity(self, dest: Destination, endpoint: Endpoint) -> bool:
        """Return whether slots, quota, waits, rate, failures and the destination's share allow a call."""
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
        # Below the lower of the two bounds, either allows the call.
        if calls_in_flight < max(1, int(MAX_FAILING_CALL_SHARE * self.settings.max_calls)):
            return True
        any_failing = any(
            e.failure_ratio.hit_share(self.now_us) > HIGH_FAILURE_RATIO
            or self._is_failing(e)
            or self._has_overdue_call(e)
            for e in others
        )
        return not any_failing and calls_in_flight < max(1, int(MAX_CALL_SHARE * self.settings.max_calls))

    def _endpoint_cost(self, message: Message, endpoint: Endpoint) -> float:
        """Return the expected time to be served there in us, with failures and zone fee converted to time."""
        stats, fee = self._latency(message, endpoint), self.settings.zone_fees.get(endpoint.zone, 0.0)
        failure_share = max(
            stats.failures.hit_share(self.now_us), endpoint.failure_ratio.hit_share(self.now_us)
        )
        return (
            stats.mean_us * (len(endpoint.calls) + 1) / max(0.1, 1 - failure_share)
            + fee * message.cls.deadline_us
        )

    def _send(self, message: Message, endpoint: Endpoint, new_calls_by_host: dict[str, Call]) -> None:
        """Add the message to the endpoint's call of this pass, or to a new call."""
        stats, timeout_us = self._latency(message, endpoint), message.deadline_us - self.now_us
        overdue_after_us = stats.mean_us + OVERDUE_SPREADS * max(stats.spread_us, stats.mean_us / 2)
        if message.cls.effect is not Effect.UNSAFE:  # unsafe ones are lost by a time-out
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
            # Where calls need credit, the credit paces them.
            rate_limited = not rate_limiter.slow_start.needs_credit(self.now_us)
            if rate_limited and (send_rate := self._send_rate(rate_limiter)) < math.inf:
                gap_us = int(1e6 / send_rate * self.rng.uniform(0.5, 1.5))  # keeps relays apart
                rate_limiter.pause_until_us = (
                    max(rate_limiter.pause_until_us, self.now_us - RATE_BURST_US) + gap_us
                )
        is_first = call.message_count == 0
        # Messages after the first weigh only a part of a call.
        endpoint.slow_start.spend(
            self.now_us, self.budget, 1.0 if is_first else EXTRA_MESSAGE_WEIGHT, first=is_first
        )
        self._remove_from_backlog(message)  # before changes to the message that would change its lane
        message.recovered_untried = False
        call.message_count, call.pending_count = call.message_count + 1, call.pending_count + 1
        message.attempts_in_flight[message.attempts], message.attempts = call, message.attempts + 1
        call.unsent.append((message, max(1, timeout_us)))
