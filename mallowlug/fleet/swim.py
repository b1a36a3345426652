"""The protocol by which relays keep their view: SWIM with suspicion, Lifeguard's local health, and tables
that are exchanged where digests differ. No I/O: frames and times in, frames, events and the next time out.

After Das, Gupta, Motivala, "SWIM" (DSN 2002), and Dadgar, Phillips, Currey, "Lifeguard" (2017); the options
that were weighed are in ``docs/design-fleet-view.md``. Times are microseconds of the caller's clock.
"""

from __future__ import annotations

import math
import random
from collections.abc import Collection
from dataclasses import dataclass, field

import msgspec

from mallowlug.fleet import records as rec
from mallowlug.fleet.records import Frame, Rumour
from mallowlug.fleet.view import Event, View

MOST_HEALTH = 8  # of the factor by which one that finds itself slow gives others more time
MOST_PENDING = 64  # pings that others asked for, at once
MOST_EVENTS = 256  # that nobody has taken yet


@dataclass(frozen=True, slots=True)
class Times:
    """How often and how long; microseconds where not said otherwise."""

    period_us: int = 1_000_000  # between two probes of one relay
    answer_us: int = 300_000  # for an answer, before others are asked
    helpers: int = 3  # who are asked to ping one that did not answer
    suspicion: float = 4.0  # times the logarithm of the fleet's size: periods in which a suspect may answer
    slackest: float = 6.0  # times as long while nobody else suspects it
    spread: int = 3  # times the logarithm: frames that carry one rumour
    table_us: int = 1_000_000  # between two tables sent by one relay
    heal_us: int = 2_000_000  # between two pings to somebody who is gone, or to a seed
    remember_us: int = 600_000_000  # how long the gone are remembered
    late_us: int = 500_000  # by which a tick may be late before this relay thinks that it stood still


@dataclass(slots=True)
class Probe:
    """The one that is going on."""

    relay: str
    number: int
    ask_us: int  # when others are asked
    end_us: int
    asked: int = 0
    nacks: int = 0


@dataclass(slots=True)
class Suspicion:
    """How long a member may still answer."""

    since_us: int
    least_us: int
    most_us: int
    by: set[str] = field(default_factory=set)
    wanted: int = 1  # others whose word brings it down to the least

    @property
    def end_us(self) -> int:
        """When the member is held dead: the sooner, the more of the others suspect it too."""
        heard = max(0, len(self.by) - 1)
        part = math.log(heard + 1) / math.log(self.wanted + 1) if self.wanted > 0 else 1.0
        return self.since_us + max(self.least_us, int(self.most_us - part * (self.most_us - self.least_us)))


class Swim:
    """One relay's side. ``out`` and ``events`` are the caller's to take."""

    def __init__(
        self, fleet: str, me: Rumour, *, seeds: Collection[str], times: Times, rng: random.Random, now_us: int
    ) -> None:
        self.fleet, self.times, self._rng = fleet, times, rng
        self.view = View(me, now_us)
        self.seeds = [seed for seed in dict.fromkeys(seeds) if seed != me.address]
        self.out: list[tuple[str, Frame]] = []
        self.events: list[Event] = []
        self.health = 0  # 0: well; above it this relay doubts itself first
        self.clash: rec.Clash | None = None  # another process that lives under this id
        self._number = rng.getrandbits(32)
        self._turns: list[str] = []  # whom to probe, in a drawn order
        self._probe: Probe | None = None
        self._next_us = now_us  # of the next probe
        self._heal_us = now_us  # of the next ping to a seed or to one who is gone
        self._table_us = now_us  # before which no table is sent
        self._due_us = now_us  # when the next tick was asked for
        self._suspects: dict[str, Suspicion] = {}
        self._rumours: dict[str, tuple[Rumour, int]] = {}  # by relay: what is passed on, and how often it was
        self._helping: dict[int, tuple[str, int, int]] = {}  # by own number: who asked, its number, till when
        self._doubts: dict[str, tuple[Rumour, int]] = {}  # a new life elsewhere, while the old one may live
        self.heard: dict[str, tuple[int, int]] = {}  # by relay: its last digest, and when it came
        self._say(me)

    @property
    def me(self) -> Rumour:
        """What this relay says of itself."""
        return self.view.own

    # What comes in

    def receive(self, now_us: int, frame: Frame) -> None:
        """Take a frame in; one from this relay's own id is another process's, or an echo."""
        if frame.sender == self.me.relay:
            self._namesake(frame)
            return
        self.heard[frame.sender] = frame.digest, now_us
        for said in frame.rumours:
            self._hear(now_us, said, "rumour")
        body = frame.body
        match body:
            case rec.Ping():
                self._pinged(now_us, frame, body)
            case rec.Ack():
                self._acked(frame, body)
            case rec.Ask():
                self._asked(now_us, frame, body)
            case rec.Nack():
                if self._probe is not None and self._probe.number == body.number:
                    self._probe.nacks += 1
            case rec.Page():
                for said in body.rows:
                    self._hear(now_us, said, "table")
                if body.wanted:
                    self._send_table(now_us, frame.address, False)
            case rec.Clash():
                if body.relay == self.me.relay and body.mark != self.me.mark:
                    self.clash = body
        self._compare(now_us, frame)

    def _namesake(self, frame: Frame) -> None:
        if frame.mark != self.me.mark and frame.address != self.me.address:
            self.clash = rec.Clash(frame.sender, frame.mark, frame.address)

    def _pinged(self, now_us: int, frame: Frame, ping: rec.Ping) -> None:
        if not ping.relay or ping.relay == self.me.relay:
            self._send(frame.address, rec.Ack(ping.number, self.me.relay))
        held = self.view.members.get(frame.sender)
        unknown = held is None or not held.here or held.said.life < frame.life
        if unknown and now_us >= self._table_us:  # its table says who it is, and ours what it missed
            self._send_table(now_us, frame.address, True)

    def _acked(self, frame: Frame, ack: rec.Ack) -> None:
        probe = self._probe
        if probe is not None and ack.number == probe.number and ack.relay == probe.relay:
            self._probe = None
            self.health = max(0, self.health - 1)
        if (help_ := self._helping.pop(ack.number, None)) is not None:
            address, number, _ = help_
            self._send(address, rec.Ack(number, ack.relay))
        for relay, (said, _) in list(self._doubts.items()):
            held = self.view.members.get(relay)
            if ack.relay == relay and held is not None and frame.mark == held.said.mark:
                del self._doubts[relay]  # the old life answers: the other process is told, and not taken in
                self._send(said.address, rec.Clash(relay, frame.mark, frame.address))

    def _asked(self, now_us: int, frame: Frame, ask: rec.Ask) -> None:
        if len(self._helping) < MOST_PENDING:
            number = self._numbered()
            self._helping[number] = frame.address, ask.number, now_us + self.times.answer_us
            self._send(ask.address, rec.Ping(number, ask.relay))

    def _hear(self, now_us: int, said: Rumour, path: str) -> None:
        """One rumour: about this relay it may have to be answered, about others it may be news."""
        if said.relay == self.me.relay:
            self._about_me(now_us, said)
            return
        held = self.view.members.get(said.relay)
        if held is not None and self._elsewhere(held.said, said) and held.here:
            self._doubt(now_us, held.said, said)
            return
        if held is not None and msgspec.structs.replace(said, by=held.said.by) == held.said:
            self._confirm(said)
        self._hold(now_us, said, path)

    def _confirm(self, said: Rumour) -> None:
        """One more suspects whom this relay suspects: worth passing on while it shortens the time."""
        found = self._suspects.get(said.relay)
        if found is not None and said.by not in found.by:
            found.by.add(said.by)
            if len(found.by) <= found.wanted + 1:
                self._say(said)

    def _elsewhere(self, held: Rumour, said: Rumour) -> bool:
        """Whether a rumour tells of another process under a known id, at another place."""
        return said.mark != held.mark and said.address != held.address and said.life >= held.life

    def _doubt(self, now_us: int, held: Rumour, said: Rumour) -> None:
        """Two processes under one id, perhaps: the one that is known is asked before the other counts."""
        if said.relay not in self._doubts and len(self._doubts) < MOST_PENDING:
            self._doubts[said.relay] = said, now_us + 2 * self.times.answer_us * (self.health + 1)
            self._send(held.address, rec.Ping(self._numbered(), said.relay))

    def _about_me(self, now_us: int, said: Rumour) -> None:
        me = self.me
        if said.mark != me.mark:
            if said.life >= me.life and said.state in ("alive", "suspect") and said.address != me.address:
                self.clash = rec.Clash(said.relay, said.mark, said.address)
            elif said.life >= me.life:  # the folder is older than what others saw of this relay
                self._renew(now_us, life=said.life + 1)
        elif said.life > me.life:
            self._renew(now_us, life=said.life + 1)
        elif said.life == me.life and me.state == "alive" and said.state != "alive":
            if said.incarnation < me.incarnation:
                return
            self.health = min(MOST_HEALTH, self.health + 1)
            self._renew(now_us, incarnation=said.incarnation + 1)

    def _renew(self, now_us: int, life: int | None = None, incarnation: int = 0) -> None:
        """Say once more that this relay is alive, so that it counts over what was said of it."""
        if life is not None:
            self.clash = None
        life = self.me.life if life is None else life
        said = msgspec.structs.replace(self.me, life=life, incarnation=incarnation, state="alive")
        self.view.take(said, now_us, "own")
        self._say(said)

    def _hold(self, now_us: int, said: Rumour, path: str) -> None:
        former = self.view.members.get(said.relay)
        if not self.view.heeds(said):
            return
        event = self.view.take(said, now_us, path)
        self._say(said)
        if event is not None:
            self._tell(event)
        if said.state == "suspect":
            if former is None or former.said.state != "suspect" or said.life > former.said.life:
                self._suspect_from(now_us, said)
        else:
            self._suspects.pop(said.relay, None)

    def _suspect_from(self, now_us: int, said: Rumour) -> None:
        size = max(2, len(self.view.here()))
        least = int(self.times.suspicion * max(1.0, math.log10(size)) * self.times.period_us)
        wanted = min(self.times.helpers, size - 2)
        most = int(least * self.times.slackest) if wanted > 0 else least
        self._suspects[said.relay] = Suspicion(now_us, least, most, {said.by}, wanted)

    def _compare(self, now_us: int, frame: Frame) -> None:
        """Where digests differ, and rumours have had their time, tables are exchanged."""
        if frame.digest == self.view.digest or now_us < self._table_us or isinstance(frame.body, rec.Page):
            return
        if not self._rumours or len(self.view.members) == 1 or self._rng.random() < 0.1:
            self._send_table(now_us, frame.address, True)

    # What time brings

    def tick(self, now_us: int) -> int:
        """Do what is due; when the next tick is wanted."""
        if now_us - self._due_us > self.times.late_us:
            self._stood_still(now_us)
        self._help_ends(now_us)
        self._doubts_end(now_us)
        self._probing(now_us)
        for relay, suspicion in list(self._suspects.items()):
            if now_us >= suspicion.end_us:
                held = self.view.members[relay].said
                self._hold(now_us, msgspec.structs.replace(held, state="dead", by=self.me.relay), "probe")
        if now_us >= self._heal_us:
            self._heal(now_us)
        ends = [suspicion.end_us for suspicion in self._suspects.values()]
        probe = [self._probe.ask_us if not self._probe.asked else self._probe.end_us] if self._probe else []
        helps = [until_us for _, _, until_us in self._helping.values()]
        helps += [until_us for _, until_us in self._doubts.values()]
        self._due_us = max(now_us + 1000, min([self._next_us, self._heal_us, *ends, *probe, *helps]))
        return self._due_us

    def _stood_still(self, now_us: int) -> None:
        """This process did nothing for a while: what it waited for may lie unread, so nobody is blamed."""
        late_us = now_us - self._due_us
        self.health = min(MOST_HEALTH, self.health + 1)
        self._probe = None
        self._next_us = max(self._next_us, now_us + self.times.answer_us)
        for suspicion in self._suspects.values():
            suspicion.since_us += late_us
        self._renew(now_us, incarnation=self.me.incarnation + 1)  # it may be suspected, or dead, by now

    def _help_ends(self, now_us: int) -> None:
        for number, (address, asked, until_us) in list(self._helping.items()):
            if now_us >= until_us:
                del self._helping[number]
                self._send(address, rec.Nack(asked))

    def _doubts_end(self, now_us: int) -> None:
        for relay, (said, until_us) in list(self._doubts.items()):
            if now_us >= until_us:  # the old life did not answer: it is gone
                del self._doubts[relay]
                self._hold(now_us, said, "probe")

    def _probing(self, now_us: int) -> None:
        probe = self._probe
        if probe is not None and not probe.asked and now_us >= probe.ask_us:
            self._ask_others(probe)
        if probe is not None and now_us >= probe.end_us:
            self._missed(now_us, probe)
        if self._probe is None and now_us >= self._next_us:
            self._begin(now_us)

    def _begin(self, now_us: int) -> None:
        """The next member's turn; each has one before any has another."""
        self._next_us = now_us + int(self.times.period_us * self._rng.uniform(0.9, 1.1))
        while self._turns or len(self.view.here()) > 1:
            if not self._turns:
                self._turns = [relay for relay in self.view.here() if relay != self.me.relay]
                self._rng.shuffle(self._turns)
            relay = self._turns.pop()
            held = self.view.members.get(relay)
            if held is None or not held.here:
                continue
            slack, number = self.health + 1, self._numbered()
            answer_us, end_us = self.times.answer_us * slack, self.times.period_us * slack
            self._probe = Probe(relay, number, now_us + answer_us, now_us + end_us)
            about = [held.said] if held.said.state == "suspect" else []  # told first that it is suspected
            self._send(held.said.address, rec.Ping(number, relay), about)
            return

    def _ask_others(self, probe: Probe) -> None:
        held = self.view.members[probe.relay].said
        others = [r for r in self.view.here() if r not in (self.me.relay, probe.relay)]
        chosen = self._rng.sample(others, min(self.times.helpers, len(others)))
        probe.asked = max(1, len(chosen))
        for relay in chosen:
            self._send(self.view.members[relay].said.address, rec.Ask(probe.number, held.relay, held.address))

    def _missed(self, now_us: int, probe: Probe) -> None:
        """Nobody got an answer. Who heard not even those that it asked doubts itself too."""
        self._probe = None
        others = len(self.view.here()) > 2
        if others and probe.nacks < min(probe.asked, self.times.helpers):
            self.health = min(MOST_HEALTH, self.health + 1)
        held = self.view.members.get(probe.relay)
        if held is None or not held.here:
            return
        said = msgspec.structs.replace(held.said, state="suspect", by=self.me.relay)
        if held.said.state == "suspect":
            self._confirm(said)
        else:
            self._hold(now_us, said, "probe")

    def _heal(self, now_us: int) -> None:
        """Somebody who is gone, or a seed, is asked now and then: so a cut heals however long it was."""
        self._heal_us = now_us + int(self.times.heal_us * self._rng.uniform(0.7, 1.3))
        self.view.forget(now_us - self.times.remember_us)
        for relay in [relay for relay in self.heard if relay not in self.view.members]:
            del self.heard[relay]
        here = {self.view.members[relay].said.address for relay in self.view.here()}
        gone = [
            member.said.address for relay, member in self.view.members.items()
            if not member.here and relay != self.me.relay
        ]  # fmt: skip
        away = [seed for seed in self.seeds if seed not in here]
        for group in (gone, away):
            if group:
                self._send(self._rng.choice(group), rec.Ping(self._numbered()))

    # What goes out

    def leave(self) -> None:
        """Say that this relay goes, to a few at once; the last that it says."""
        said = msgspec.structs.replace(self.me, state="left", by=self.me.relay)
        self.view.take(said, self._due_us, "own")
        others = [relay for relay in self.view.here() if relay != self.me.relay]
        for relay in self._rng.sample(others, min(2 * self.times.helpers, len(others))):
            self._send(self.view.members[relay].said.address, rec.Page((said,)))

    def agreeing(self, group: Collection[str], now_us: int, fresh_us: int) -> int:
        """How many of a group hold this view, this relay with them, as far as was heard lately."""
        return sum(
            relay == self.me.relay
            or (relay in self.heard and self.heard[relay][0] == self.view.digest
                and now_us - self.heard[relay][1] <= fresh_us)
            for relay in group
        )  # fmt: skip

    def _numbered(self) -> int:
        self._number += 1
        return self._number

    def _say(self, said: Rumour) -> None:
        """Pass a rumour on; of one relay the newest alone."""
        self._rumours[said.relay] = said, 0

    def _tell(self, event: Event) -> None:
        self.events.append(event)
        del self.events[:-MOST_EVENTS]

    def _chosen(self) -> list[Rumour]:
        """Rumours for a frame, those first that were passed on least; each a bounded number of times."""
        most = self.times.spread * max(1, math.ceil(math.log2(len(self.view.members) + 1)))
        chosen = sorted(self._rumours.items(), key=lambda item: item[1][1])[: rec.MOST_RUMOURS - 1]
        for relay, (said, count) in chosen:
            if count + 1 >= most:
                del self._rumours[relay]
            else:
                self._rumours[relay] = said, count + 1
        return [said for _, (said, _) in chosen]

    def _send(self, address: str, body: rec.Body, about: Collection[Rumour] = ()) -> None:
        rumours = (*about, *(said for said in self._chosen() if said not in about))
        self.out.append((address, self._frame(body, rumours)))

    def _frame(self, body: rec.Body, rumours: tuple[Rumour, ...] = ()) -> Frame:
        me, digest = self.me, self.view.digest
        return Frame(rec.VERSION, self.fleet, me.relay, me.life, me.mark, me.address, digest, body, rumours)

    def _send_table(self, now_us: int, address: str, wanted: bool) -> None:
        """All that is held, page by page; an answer to one that was asked for asks for none."""
        if wanted:
            self._table_us = now_us + int(self.times.table_us * self._rng.uniform(0.8, 1.2))
        pages = rec.pages(self.view.rows())
        for at, rows in enumerate(pages, 1):
            self.out.append((address, self._frame(rec.Page(rows, wanted and at == len(pages)))))
