"""Membership protocol of the relays: SWIM with suspicion, Lifeguard's local health, and exchange of full
member tables when digests differ. No I/O: takes frames and times; yields frames, events and the next tick.

After Das, Gupta, Motivala, "SWIM" (DSN 2002), and Dadgar, Phillips, Currey, "Lifeguard" (2017); the
alternatives considered are in ``docs/design-fleet-view.md``. Times are microseconds of the caller's clock.
"""

from __future__ import annotations

import math
import random
from collections.abc import Collection
from dataclasses import dataclass, field

import msgspec

from mallowlug.fleet import records as rec
from mallowlug.fleet.records import Frame, MemberUpdate
from mallowlug.fleet.view import View, ViewEvent

MAX_HEALTH = 8  # max local health score; timeouts are multiplied by score + 1
MAX_PENDING = 64  # max concurrent indirect pings, and max pending claims
MAX_EVENTS = 256  # max events kept until the caller takes them


@dataclass(frozen=True, slots=True)
class ProtocolTimes:
    """Intervals, timeouts and multipliers of the protocol."""

    probe_interval_us: int = 1_000_000  # between two probes sent by one relay
    ack_timeout_us: int = 300_000  # before indirect probes are requested
    indirect_probes: int = 3  # members asked to ping one that did not answer
    suspicion_multiplier: float = 4.0  # x log10(fleet size): min suspicion time in probe intervals
    max_suspicion_factor: float = 6.0  # max / min suspicion time; the max applies without confirmations
    retransmit_multiplier: int = 3  # x log2(members + 1): frames that carry one update
    table_interval_us: int = 1_000_000  # between two table exchanges started by one relay
    reconnect_interval_us: int = 2_000_000  # between pings to departed members and absent seeds
    retain_departed_us: int = 600_000_000  # how long departed members are kept
    max_tick_delay_us: int = 500_000  # a tick later than this means that the process was paused


@dataclass(slots=True)
class Probe:
    """The probe in progress."""

    relay: str
    number: int
    indirect_at_us: int  # when indirect probes are requested
    end_us: int
    indirect_count: int = 0
    nacks: int = 0


@dataclass(slots=True)
class Suspicion:
    """A suspected member and the time that it has to refute."""

    since_us: int
    min_us: int
    max_us: int
    suspecting_relays: set[str] = field(default_factory=set)
    confirmations_needed: int = 1  # by other relays, to shorten the time to the minimum

    @property
    def end_us(self) -> int:
        """When the member is declared dead: earlier with each other relay that confirms the suspicion."""
        confirmations = max(0, len(self.suspecting_relays) - 1)
        fraction = (
            math.log(confirmations + 1) / math.log(self.confirmations_needed + 1)
            if self.confirmations_needed > 0
            else 1.0
        )
        return self.since_us + max(self.min_us, int(self.max_us - fraction * (self.max_us - self.min_us)))


class Swim:
    """Protocol state of one relay. The caller takes the contents of ``outgoing`` and ``events``."""

    def __init__(
        self,
        fleet: str,
        own_update: MemberUpdate,
        *,
        seeds: Collection[str],
        times: ProtocolTimes,
        rng: random.Random,
        now_us: int,
    ) -> None:
        self.fleet, self.times, self._rng = fleet, times, rng
        self.view = View(own_update, now_us)
        self.seeds = [seed for seed in dict.fromkeys(seeds) if seed != own_update.address]
        self.outgoing: list[tuple[str, Frame]] = []
        self.events: list[ViewEvent] = []
        self.local_health = 0  # 0: healthy; a higher score lengthens this relay's timeouts
        self.clash: rec.Clash | None = None  # another live process that uses this relay's id
        self._last_sequence_number = rng.getrandbits(32)
        self._probe_order: list[str] = []  # remaining members of this round, shuffled
        self._probe: Probe | None = None
        self._next_probe_us = now_us  # earliest start of the next probe
        self._reconnect_at_us = now_us  # next ping to a departed member and an absent seed
        self._table_allowed_us = now_us  # no table exchange is started before
        self._next_tick_us = now_us  # when the next tick was requested
        self._suspicions: dict[str, Suspicion] = {}
        self._gossip_queue: dict[str, tuple[MemberUpdate, int]] = {}  # by relay: update, times sent
        # By own sequence number: the requester's address, its sequence number, expiry.
        self._indirect_requests: dict[int, tuple[str, int, int]] = {}
        # By relay: update about another process that claims a known id, expiry.
        self._pending_claims: dict[str, tuple[MemberUpdate, int]] = {}
        self.last_digests: dict[str, tuple[int, int]] = {}  # by relay: its last digest, when received
        self._queue_update(own_update)

    @property
    def own_update(self) -> MemberUpdate:
        """The update that describes this relay."""
        return self.view.own_update

    # Incoming frames

    def receive(self, now_us: int, frame: Frame) -> None:
        """Process a frame. One with this relay's own id comes from another process or is an echo."""
        if frame.sender == self.own_update.relay:
            self._detect_duplicate_id(frame)
            return
        self.last_digests[frame.sender] = frame.digest, now_us
        for update in frame.rumours:
            self._handle_update(now_us, update, "rumour")
        body = frame.body
        match body:
            case rec.Ping():
                self._handle_ping(now_us, frame, body)
            case rec.Ack():
                self._handle_ack(frame, body)
            case rec.Ask():
                self._handle_ask(now_us, frame, body)
            case rec.Nack():
                if self._probe is not None and self._probe.number == body.number:
                    self._probe.nacks += 1
            case rec.Page():
                for update in body.rows:
                    self._handle_update(now_us, update, "table")
                if body.wanted:
                    self._send_table(now_us, frame.address, False)
            case rec.Clash():
                if body.relay == self.own_update.relay and body.mark != self.own_update.mark:
                    self.clash = body
        self._compare_digests(now_us, frame)

    def _detect_duplicate_id(self, frame: Frame) -> None:
        if frame.mark != self.own_update.mark and frame.address != self.own_update.address:
            self.clash = rec.Clash(frame.sender, frame.mark, frame.address)

    def _handle_ping(self, now_us: int, frame: Frame, ping: rec.Ping) -> None:
        if not ping.relay or ping.relay == self.own_update.relay:
            self._send(frame.address, rec.Ack(ping.number, self.own_update.relay))
        entry = self.view.members.get(frame.sender)
        unknown = entry is None or not entry.is_live or entry.update.life < frame.life
        if unknown and now_us >= self._table_allowed_us:  # exchange tables: each side lacks information
            self._send_table(now_us, frame.address, True)

    def _handle_ack(self, frame: Frame, ack: rec.Ack) -> None:
        probe = self._probe
        if probe is not None and ack.number == probe.number and ack.relay == probe.relay:
            self._probe = None
            self.local_health = max(0, self.local_health - 1)
        if (request := self._indirect_requests.pop(ack.number, None)) is not None:
            address, number, _ = request
            self._send(address, rec.Ack(number, ack.relay))
        for relay, (update, _) in list(self._pending_claims.items()):
            entry = self.view.members.get(relay)
            if ack.relay == relay and entry is not None and frame.mark == entry.update.mark:
                del self._pending_claims[relay]  # the known process is alive: reject the claim
                self._send(update.address, rec.Clash(relay, frame.mark, frame.address))

    def _handle_ask(self, now_us: int, frame: Frame, ask: rec.Ask) -> None:
        if len(self._indirect_requests) < MAX_PENDING:
            number = self._next_sequence_number()
            self._indirect_requests[number] = frame.address, ask.number, now_us + self.times.ack_timeout_us
            self._send(ask.address, rec.Ping(number, ask.relay))

    def _handle_update(self, now_us: int, update: MemberUpdate, path: str) -> None:
        """Process an update: refute it if about this relay, verify a claim to a known id, or apply it."""
        if update.relay == self.own_update.relay:
            self._refute(now_us, update)
            return
        entry = self.view.members.get(update.relay)
        if entry is not None and self._is_other_process(entry.update, update) and entry.is_live:
            self._verify_claim(now_us, entry.update, update)
            return
        if entry is not None and msgspec.structs.replace(update, by=entry.update.by) == entry.update:
            self._confirm_suspicion(update)
        self._apply_update(now_us, update, path)

    def _confirm_suspicion(self, update: MemberUpdate) -> None:
        """Count another relay's suspicion, and gossip it while it still shortens the suspicion time."""
        suspicion = self._suspicions.get(update.relay)
        if suspicion is not None and update.by not in suspicion.suspecting_relays:
            suspicion.suspecting_relays.add(update.by)
            if len(suspicion.suspecting_relays) <= suspicion.confirmations_needed + 1:
                self._queue_update(update)

    def _is_other_process(self, current: MemberUpdate, update: MemberUpdate) -> bool:
        """Return whether an update describes another process with a known id, at another address."""
        return (
            update.mark != current.mark and update.address != current.address and update.life >= current.life
        )

    def _verify_claim(self, now_us: int, current: MemberUpdate, update: MemberUpdate) -> None:
        """Ping the known process of an id before another process with the same id is accepted."""
        if update.relay not in self._pending_claims and len(self._pending_claims) < MAX_PENDING:
            self._pending_claims[update.relay] = (
                update,
                now_us + 2 * self.times.ack_timeout_us * (self.local_health + 1),
            )
            self._send(current.address, rec.Ping(self._next_sequence_number(), update.relay))

    def _refute(self, now_us: int, update: MemberUpdate) -> None:
        """Detect a duplicate id, or supersede a wrong update about this relay."""
        own = self.own_update
        if update.mark != own.mark:
            if (
                update.life >= own.life
                and update.state in ("alive", "suspect")
                and update.address != own.address
            ):
                self.clash = rec.Clash(update.relay, update.mark, update.address)
            elif update.life >= own.life:  # the state folder is older than what others saw of this relay
                self._reassert_alive(now_us, life=update.life + 1)
        elif update.life > own.life:
            self._reassert_alive(now_us, life=update.life + 1)
        elif update.life == own.life and own.state == "alive" and update.state != "alive":
            if update.incarnation < own.incarnation:
                return
            self.local_health = min(MAX_HEALTH, self.local_health + 1)
            self._reassert_alive(now_us, incarnation=update.incarnation + 1)

    def _reassert_alive(self, now_us: int, life: int | None = None, incarnation: int = 0) -> None:
        """Announce this relay as alive, with a lifetime or incarnation that supersedes other reports."""
        if life is not None:
            self.clash = None
        life = self.own_update.life if life is None else life
        update = msgspec.structs.replace(self.own_update, life=life, incarnation=incarnation, state="alive")
        self.view.apply(update, now_us, "own")
        self._queue_update(update)

    def _apply_update(self, now_us: int, update: MemberUpdate, path: str) -> None:
        """Apply an update that supersedes the current one, gossip it, and start or end a suspicion."""
        former = self.view.members.get(update.relay)
        if not self.view.supersedes(update):
            return
        event = self.view.apply(update, now_us, path)
        self._queue_update(update)
        if event is not None:
            self._record_event(event)
        if update.state == "suspect":
            if former is None or former.update.state != "suspect" or update.life > former.update.life:
                self._start_suspicion(now_us, update)
        else:
            self._suspicions.pop(update.relay, None)

    def _start_suspicion(self, now_us: int, update: MemberUpdate) -> None:
        size = max(2, len(self.view.live_members()))
        min_us = int(
            self.times.suspicion_multiplier * max(1.0, math.log10(size)) * self.times.probe_interval_us
        )
        confirmations_needed = min(self.times.indirect_probes, size - 2)
        max_us = int(min_us * self.times.max_suspicion_factor) if confirmations_needed > 0 else min_us
        self._suspicions[update.relay] = Suspicion(now_us, min_us, max_us, {update.by}, confirmations_needed)

    def _compare_digests(self, now_us: int, frame: Frame) -> None:
        """Exchange tables if digests differ, but rarely (0.1) while queued updates are spreading."""
        if (
            frame.digest == self.view.digest
            or now_us < self._table_allowed_us
            or isinstance(frame.body, rec.Page)
        ):
            return
        if not self._gossip_queue or len(self.view.members) == 1 or self._rng.random() < 0.1:
            self._send_table(now_us, frame.address, True)

    # Timers

    def tick(self, now_us: int) -> int:
        """Do what is due and return the time of the next tick."""
        if now_us - self._next_tick_us > self.times.max_tick_delay_us:
            self._detect_pause(now_us)
        self._expire_indirect_requests(now_us)
        self._expire_claims(now_us)
        self._advance_probe(now_us)
        for relay, suspicion in list(self._suspicions.items()):
            if now_us >= suspicion.end_us:
                current = self.view.members[relay].update
                self._apply_update(
                    now_us, msgspec.structs.replace(current, state="dead", by=self.own_update.relay), "probe"
                )
        if now_us >= self._reconnect_at_us:
            self._contact_absent(now_us)
        ends = [suspicion.end_us for suspicion in self._suspicions.values()]
        probe = (
            [self._probe.indirect_at_us if not self._probe.indirect_count else self._probe.end_us]
            if self._probe
            else []
        )
        expiries = [until_us for _, _, until_us in self._indirect_requests.values()]
        expiries += [until_us for _, until_us in self._pending_claims.values()]
        self._next_tick_us = max(
            now_us + 1000, min([self._next_probe_us, self._reconnect_at_us, *ends, *probe, *expiries])
        )
        return self._next_tick_us

    def _detect_pause(self, now_us: int) -> None:
        """Handle a pause of this process: answers may wait unread, so no member is blamed for the delay."""
        late_us = now_us - self._next_tick_us
        self.local_health = min(MAX_HEALTH, self.local_health + 1)
        self._probe = None
        self._next_probe_us = max(self._next_probe_us, now_us + self.times.ack_timeout_us)
        for suspicion in self._suspicions.values():
            suspicion.since_us += late_us
        # By now others may suspect this relay or hold it dead.
        self._reassert_alive(now_us, incarnation=self.own_update.incarnation + 1)

    def _expire_indirect_requests(self, now_us: int) -> None:
        for number, (address, request_number, until_us) in list(self._indirect_requests.items()):
            if now_us >= until_us:
                del self._indirect_requests[number]
                self._send(address, rec.Nack(request_number))

    def _expire_claims(self, now_us: int) -> None:
        for relay, (update, until_us) in list(self._pending_claims.items()):
            if now_us >= until_us:  # the known process did not answer: accept the claim
                del self._pending_claims[relay]
                self._apply_update(now_us, update, "probe")

    def _advance_probe(self, now_us: int) -> None:
        probe = self._probe
        if probe is not None and not probe.indirect_count and now_us >= probe.indirect_at_us:
            self._probe_indirectly(probe)
        if probe is not None and now_us >= probe.end_us:
            self._fail_probe(now_us, probe)
        if self._probe is None and now_us >= self._next_probe_us:
            self._start_probe(now_us)

    def _start_probe(self, now_us: int) -> None:
        """Probe the next member; each is probed once per round, in random order."""
        self._next_probe_us = now_us + int(self.times.probe_interval_us * self._rng.uniform(0.9, 1.1))
        while self._probe_order or len(self.view.live_members()) > 1:
            if not self._probe_order:
                self._probe_order = [
                    relay for relay in self.view.live_members() if relay != self.own_update.relay
                ]
                self._rng.shuffle(self._probe_order)
            relay = self._probe_order.pop()
            entry = self.view.members.get(relay)
            if entry is None or not entry.is_live:
                continue
            time_factor, number = self.local_health + 1, self._next_sequence_number()
            answer_us, end_us = (
                self.times.ack_timeout_us * time_factor,
                self.times.probe_interval_us * time_factor,
            )
            self._probe = Probe(relay, number, now_us + answer_us, now_us + end_us)
            # A suspected member that receives the suspicion can refute it at once.
            required_updates = [entry.update] if entry.update.state == "suspect" else []
            self._send(entry.update.address, rec.Ping(number, relay), required_updates)
            return

    def _probe_indirectly(self, probe: Probe) -> None:
        target = self.view.members[probe.relay].update
        others = [r for r in self.view.live_members() if r not in (self.own_update.relay, probe.relay)]
        chosen = self._rng.sample(others, min(self.times.indirect_probes, len(others)))
        probe.indirect_count = max(1, len(chosen))
        for relay in chosen:
            self._send(
                self.view.members[relay].update.address, rec.Ask(probe.number, target.relay, target.address)
            )

    def _fail_probe(self, now_us: int, probe: Probe) -> None:
        """Suspect the member after a failed probe.

        Missing nacks from the helpers mean that this relay may be at fault: its health score rises.
        """
        self._probe = None
        others = len(self.view.live_members()) > 2
        if others and probe.nacks < min(probe.indirect_count, self.times.indirect_probes):
            self.local_health = min(MAX_HEALTH, self.local_health + 1)
        entry = self.view.members.get(probe.relay)
        if entry is None or not entry.is_live:
            return
        update = msgspec.structs.replace(entry.update, state="suspect", by=self.own_update.relay)
        if entry.update.state == "suspect":
            self._confirm_suspicion(update)
        else:
            self._apply_update(now_us, update, "probe")

    def _contact_absent(self, now_us: int) -> None:
        """Ping a departed member and an absent seed, so that a partition of any length heals."""
        self._reconnect_at_us = now_us + int(self.times.reconnect_interval_us * self._rng.uniform(0.7, 1.3))
        self.view.remove_departed(now_us - self.times.retain_departed_us)
        for relay in [relay for relay in self.last_digests if relay not in self.view.members]:
            del self.last_digests[relay]
        live_addresses = {self.view.members[relay].update.address for relay in self.view.live_members()}
        departed_addresses = [
            member.update.address for relay, member in self.view.members.items()
            if not member.is_live and relay != self.own_update.relay
        ]  # fmt: skip
        absent_seeds = [seed for seed in self.seeds if seed not in live_addresses]
        for addresses in (departed_addresses, absent_seeds):
            if addresses:
                self._send(self._rng.choice(addresses), rec.Ping(self._next_sequence_number()))

    # Outgoing frames

    def leave(self) -> None:
        """Announce that this relay leaves, directly to several members; its last message."""
        update = msgspec.structs.replace(self.own_update, state="left", by=self.own_update.relay)
        self.view.apply(update, self._next_tick_us, "own")
        others = [relay for relay in self.view.live_members() if relay != self.own_update.relay]
        for relay in self._rng.sample(others, min(2 * self.times.indirect_probes, len(others))):
            self._send(self.view.members[relay].update.address, rec.Page((update,)))

    def count_agreeing(self, group: Collection[str], now_us: int, fresh_us: int) -> int:
        """Count the members of a group, this relay included, whose recent digest equals its own."""
        return sum(
            relay == self.own_update.relay
            or (relay in self.last_digests and self.last_digests[relay][0] == self.view.digest
                and now_us - self.last_digests[relay][1] <= fresh_us)
            for relay in group
        )  # fmt: skip

    def _next_sequence_number(self) -> int:
        self._last_sequence_number += 1
        return self._last_sequence_number

    def _queue_update(self, update: MemberUpdate) -> None:
        """Queue an update for gossip; it replaces an older one about the same relay."""
        self._gossip_queue[update.relay] = update, 0

    def _record_event(self, event: ViewEvent) -> None:
        self.events.append(event)
        del self.events[:-MAX_EVENTS]

    def _select_updates(self) -> list[MemberUpdate]:
        """Select updates for a frame, the least sent first; each is sent a bounded number of times."""
        max_transmissions = self.times.retransmit_multiplier * max(
            1, math.ceil(math.log2(len(self.view.members) + 1))
        )
        chosen = sorted(self._gossip_queue.items(), key=lambda item: item[1][1])[
            : rec.MAX_UPDATES_PER_FRAME - 1
        ]
        for relay, (update, count) in chosen:
            if count + 1 >= max_transmissions:
                del self._gossip_queue[relay]
            else:
                self._gossip_queue[relay] = update, count + 1
        return [update for _, (update, _) in chosen]

    def _send(self, address: str, body: rec.Body, required_updates: Collection[MemberUpdate] = ()) -> None:
        updates = (
            *required_updates,
            *(update for update in self._select_updates() if update not in required_updates),
        )
        self.outgoing.append((address, self._frame(body, updates)))

    def _frame(self, body: rec.Body, rumours: tuple[MemberUpdate, ...] = ()) -> Frame:
        own, digest = self.own_update, self.view.digest
        return Frame(
            rec.VERSION, self.fleet, own.relay, own.life, own.mark, own.address, digest, body, rumours
        )

    def _send_table(self, now_us: int, address: str, request_table: bool) -> None:
        """Send the member table in pages. ``request_table``: ask for the receiver's; False in a response."""
        if request_table:
            self._table_allowed_us = now_us + int(self.times.table_interval_us * self._rng.uniform(0.8, 1.2))
        pages = rec.split_into_pages(self.view.updates())
        for number, rows in enumerate(pages, 1):
            self.outgoing.append(
                (address, self._frame(rec.Page(rows, request_table and number == len(pages))))
            )
