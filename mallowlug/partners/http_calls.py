"""Calls to hosts: connections and their reuse, batches, time-outs, and what each answer proves.

Every part of a call is settled exactly once. Whether the last byte of a request went to the kernel decides
between "never ran" and "may have run", so nothing here writes a request twice.
"""

from __future__ import annotations

import asyncio
import logging
import math
import re
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from mallowlug.core.model import Call, EndpointList, Part, PartOutcome, ResolvedEndpoint
from mallowlug.core.ports import PartReleased, PartSettled
from mallowlug.core.reasons import Event, HostClose, Reasons
from mallowlug.net.answers import Answer, SpoiltError
from mallowlug.net.http import FAULTS, Connection, Headers
from mallowlug.system import System
from mossfront.interface import Kind, Listing, Verdict

LOG = logging.getLogger(__name__)
ONE, MANY = "/hook", "/hook/batch"
MOST_ANSWER = 64 * 1024  # bytes of an answer's body
MOST_WAIT_MS = 3_600_000  # ms: a longer wait is no host's intention and would shut a route for good
WAIT = re.compile(rb"[0-9]{1,12}(?:\.[0-9]*)?")
IDLE_SHARE = 0.9  # of the hosts' keep-alive: an older connection may be ended while a request is under way
ENDS = {
    "delivered": Verdict.OK,
    "failed": Verdict.ERROR,
    "refused": Verdict.FULL,
    "over": Verdict.NOT_SENT,
    "spent": Verdict.NOT_SENT,
}
OVER, DELIVERED = 410, 200
REPORTED = ("x0", "x1")


@dataclass(slots=True, eq=False)
class Exchange:
    """One call on its way: what of it has gone out, and on which connection."""

    call: Call
    connection: Connection | None = None
    task: asyncio.Task[None] | None = None
    sent: list[Part] = field(default_factory=list)  # what the request carries: parts may end before it
    until_s: float = 0.0  # the loop's time at which it ends, for all of its parts
    timer: asyncio.TimerHandle | None = None
    timers: dict[Part, asyncio.TimerHandle] = field(default_factory=dict)  # of parts that end before
    late: bool = False  # it was ended by its time
    left: list[Part] = field(default_factory=list)  # parts that ended while the call goes on for others

    @property
    def written(self) -> bool:
        """Whether the last byte is out, after which the host may have begun."""
        return self.connection is not None and self.connection.begun and self.connection.unsent == 0

    @property
    def answering(self) -> bool:
        """Whether the host has begun to answer."""
        return self.connection is not None and self.connection.answering


def request_of(connection: Connection, parts: list[Part], left_s: float) -> bytes:
    """The request for one message, or for several that share a call, for which the relay waits so long."""
    left = ("X-Remaining", f"{max(1, int(left_s * 1000))}m")
    if len(parts) == 1:
        headers: Headers = [("X-Txn", parts[0].id), left]
        if parts[0].key:
            headers.append(("Idempotency-Key", parts[0].key))
        return connection.request("POST", ONE, headers, parts[0].body)
    frames = [
        b"%s %s %d\r\n%s\r\n" % (p.id.encode(), (p.key or "-").encode(), len(p.body), p.body) for p in parts
    ]
    return connection.request("POST", MANY, [left], b"".join(frames))


def wait_of(answer: Answer) -> int:
    """The longest wait that an answer tells, in microseconds; 0 for none."""
    wait_us = 0
    for name, value in answer.headers:
        if name == b"x-retry-in-ms":
            if WAIT.fullmatch(value):
                wait_us = max(wait_us, int(min(float(value), MOST_WAIT_MS) * 1000))
            else:
                LOG.warning("hosts: unreadable wait %r", value[:40])
    return wait_us


def report_of(answer: Answer) -> dict[str, float]:
    """The load report that any answer may carry; values that are no figures are unknown."""
    report: dict[str, float] = {}
    for name, value in answer.headers:
        if name == b"x-pressure":
            for pair in value.decode("latin-1").split(","):
                field_name, _, text = pair.strip().partition("=")
                try:
                    figure = float(text)
                except ValueError:
                    continue
                if field_name in REPORTED and math.isfinite(figure) and figure >= 0:
                    report[field_name] = figure
    return report


def verdict_of(answer: Answer) -> Verdict:
    """What a status proves; one that the protocol does not know proves nothing."""
    if answer.status == 503 and any(n == b"x-no-slot" and v == b"1" for n, v in answer.headers):
        return Verdict.NOT_SENT
    table = {DELIVERED: Verdict.OK, 429: Verdict.FULL, 503: Verdict.FULL}
    unsent = dict.fromkeys((400, 404, 405, OVER, 413, 431, 504), Verdict.NOT_SENT)
    return (table | unsent).get(answer.status, Verdict.ERROR)


def told_of(answer: Answer, end: str | None, wait_us: int, report: dict[str, float]) -> PartOutcome:
    """What a whole answer says of a message: its own end in a batch, else the answer's."""
    if end is not None:
        return PartOutcome(ENDS[end], end in ("delivered", "over"), wait_us, report)
    return PartOutcome(verdict_of(answer), answer.status in (DELIVERED, OVER), wait_us, report)


def ends_of(body: bytes, parts: Sequence[Part]) -> dict[str, str]:
    """The end of each message of a batch; an answer with a word too many or too few is spoilt as a whole.

    Cut or garbled, it may still hold lines that look whole, and each that says "refused" would be believed.
    """
    lines = [line.split() for line in body.decode("latin-1").splitlines() if line.strip()]
    ends = {words[0]: words[1] for words in lines if len(words) == 2 and words[1] in ENDS}
    if len(ends) != len(lines) or ends.keys() != {part.id for part in parts}:
        raise SpoiltError("not the ends of this batch")
    return ends


class Hosts:
    """The hosts that the list names, the calls out to them, and connections kept between calls."""

    def __init__(
        self,
        kinds: Iterable[Kind],
        keepalive_us: int,
        connect_us: int,
        most_idle: int,
        *,
        settled: PartSettled,
        released: PartReleased,
        system: System,
        most_open: int = 1 << 16,
        reasons: Reasons | None = None,
    ) -> None:
        """``most_idle``, ``most_open``: connections kept between calls; and with those that carry one."""
        self._now_s, self._system = asyncio.get_running_loop().time, system
        self._kinds = {kind.name: kind for kind in kinds}
        self._idle_s, self._connect_s = keepalive_us / 1e6 * IDLE_SHARE, connect_us / 1e6
        self._most_open, self._reasons = most_open, reasons or Reasons()
        self._most_idle, self._settled, self._released = most_idle, settled, released
        self._listed: dict[str, ResolvedEndpoint] = {}
        self._idle: dict[str, list[tuple[Connection, asyncio.TimerHandle]]] = {}
        self._waits: dict[str, float] = {}  # by route: the loop's time until which it is to be left alone
        self.messages_written = 0
        self._out: set[str] = set()  # by hand, listed or not
        self.exchanges: dict[Exchange, None] = {}  # in order, so that what is given up goes in order too

    def apply(self, news: EndpointList) -> None:
        """Follow the list at once: what drains or goes gets no call that is still to be written."""
        now_s = self._now_s()  # hosts come and go all day: a wait that is over is forgotten
        self._waits = {route: until_s for route, until_s in self._waits.items() if until_s > now_s}
        if news.full:
            gone = self._listed.keys() - {listed.entry.host for listed in news.hosts}
            for host in gone:
                del self._listed[host]
                self.close_idle(host, HostClose.NO_MORE_CALLS)
        for listed in news.hosts:
            host = listed.entry.host
            known = self._listed.get(host)
            if listed.entry.listing is Listing.GONE:
                self._listed.pop(host, None)
            else:
                self._listed[host] = listed
            if listed.entry.listing is not Listing.READY or (known and known.address != listed.address):
                self.close_idle(host, HostClose.NO_MORE_CALLS)

    def set_kinds(self, kinds: Iterable[Kind]) -> None:
        """Go by these kinds from now on."""
        self._kinds = {kind.name: kind for kind in kinds}

    def set_disabled(self, host: str, out: bool) -> None:
        """A host is out by hand, or back: then as a new process, which no old connection reaches."""
        (self._out.add if out else self._out.discard)(host)
        self.close_idle(host, HostClose.NO_MORE_CALLS)

    def _serves(self, host: str) -> bool:
        """Whether the list and the staff let calls go there."""
        listed = self._listed.get(host)
        return listed is not None and listed.entry.listing is Listing.READY and host not in self._out

    def zone_of(self, host: str) -> str:
        """The zone of a host."""
        return self._listed[host].entry.zone if host in self._listed else ""

    def _route(self, host: str) -> str:
        """What shares waits with a host: its destination, unless its kind's endpoints are routes apart."""
        listed = self._listed.get(host)
        apart = listed is None or self._kind(listed).separate_routes
        return host if listed is None or apart else f"dest {listed.entry.dest}"

    def _kind(self, listed: ResolvedEndpoint) -> Kind:
        return self._kinds.get(listed.entry.kind, Kind(listed.entry.kind))

    def batch_size(self, host: str) -> int:
        """How many messages a call to the host may carry."""
        listed = self._listed.get(host)
        return 1 if listed is None else self._kind(listed).batch_size

    def remaining_waits(self) -> dict[str, int]:
        """By route: how long (us) it is still to be left alone."""
        left = {route: int((until_s - self._now_s()) * 1e6) for route, until_s in self._waits.items()}
        return {route: left_us for route, left_us in left.items() if left_us > 0}

    def restore_waits(self, waits: dict[str, int]) -> None:
        """Heed waits that a process before this one was told."""
        now_s = self._now_s()
        for route, left_us in waits.items():
            until_s = now_s + min(left_us, MOST_WAIT_MS * 1000) / 1e6
            self._waits[route] = max(self._waits.get(route, 0.0), until_s)

    def wait_left_us(self, host: str) -> int:
        """How long the host is still to be left alone."""
        return max(0, int((self._waits.get(self._route(host), 0.0) - self._now_s()) * 1e6))

    def barred(self, host: str) -> PartOutcome | None:
        """Why nothing may be written there now: decided before, a call must still obey newer news."""
        wait_us = self.wait_left_us(host)
        if wait_us or not self._serves(host):
            return PartOutcome(Verdict.NOT_SENT, retry_after_us=wait_us)
        return None

    @property
    def busy(self) -> bool:
        """Whether a call is out."""
        return bool(self.exchanges)

    def send(self, call: Call) -> Exchange:
        """Start one call; it ends at the longest limit of its parts, and each part at its own at the latest.

        Parts of the same limit end in one go, behind the call: one by one, by timers that were set some
        microseconds apart, one might be tried again while the call that carries it is still out.
        """
        loop, exchange = asyncio.get_running_loop(), Exchange(call)
        self.exchanges[exchange] = None
        start_s, most_us = call.sent_s, 0
        for part in call.parts:
            most_us = max(most_us, part.timeout_us)
        exchange.until_s = start_s + most_us / 1e6
        exchange.timer = loop.call_at(exchange.until_s, self._time_out, exchange)
        for part in call.parts:
            if part.timeout_us < most_us:
                end_s = start_s + part.timeout_us / 1e6
                exchange.timers[part] = loop.call_at(end_s, self._stop, exchange, part, Verdict.TIMEOUT)
        exchange.task = loop.create_task(self._run(exchange))
        return exchange

    def _time_out(self, exchange: Exchange) -> None:
        """The call's time is up: it is off the wire before any of its parts is told so.

        Also where an answer stands in the kernel, unread in this very turn of the loop: it may have come
        behind the time of the call's messages, and then it delivers none of them.
        """
        exchange.late = True
        if exchange.task is not None:
            exchange.task.cancel()

    def cancel(self, ref: str, attempt: int) -> None:
        """Call one attempt off."""
        for exchange in list(self.exchanges):
            for part in exchange.call.open:
                if (part.id, part.attempt) == (ref, attempt):
                    self._stop(exchange, part, Verdict.CANCELLED)

    def close_idle(self, host: str, reason: HostClose = HostClose.POLICY) -> None:
        """Close the connections to a host that carry no call."""
        for connection, timer in self._idle.pop(host, []):
            self._drop(host, connection, timer, reason)

    def close(self) -> None:
        """Give up everything, silently: what is out stays in the journal as it stands."""
        for exchange in list(self.exchanges):
            for part in exchange.call.open:
                self._settle(exchange, part, None)
            if exchange.task is not None:
                exchange.task.cancel()
        for host in list(self._idle):
            self.close_idle(host, HostClose.SHUTTING_DOWN)

    def _settle(self, exchange: Exchange, part: Part, told: PartOutcome | None) -> None:
        part.settled = True
        if part in exchange.timers:
            exchange.timers.pop(part).cancel()
        if told is not None:
            self._settled(exchange.call, part, told)

    def _stop(self, exchange: Exchange, part: Part, verdict: Verdict) -> None:
        """End one part before its answer; with the last one the connection is closed."""
        if part.settled:
            return
        connection = exchange.connection
        if verdict is Verdict.TIMEOUT and exchange.answering:
            verdict = Verdict.ERROR  # it answers without an end: no silence of a lost host
        last = len(exchange.call.open) == 1
        begun = connection is not None and connection.begun
        ran = exchange.written if last else begun  # others' bytes that follow may complete the call
        lasts = begun and not last
        told = PartOutcome(verdict if ran else Verdict.CONNECT_FAILED, call_continues=lasts)
        if lasts:
            exchange.left.append(part)
        self._settle(exchange, part, self._proved(exchange) or told)
        if last and exchange.task is not None:
            exchange.task.cancel()

    async def _run(self, exchange: Exchange) -> None:
        """Connect, write, read: every way out settles what is open and leaves no connection behind."""
        told, keep, host = PartOutcome(Verdict.RESET), False, exchange.call.host
        reason = HostClose.FAILED
        try:
            keep = await self._exchange(exchange)
            reason = HostClose.NOT_KEPT
        except SpoiltError as error:  # not a reset: the connection held, and the host has answered
            LOG.debug("hosts: %s: a spoilt answer: %s", host, str(error)[:80], extra={"host": host})
            told = PartOutcome(Verdict.ERROR)
        except (*FAULTS, TimeoutError) as error:
            LOG.debug("hosts: %s: %r", host, error, extra={"host": host})
        except Exception:
            LOG.exception("hosts: call to %s broke", host, extra={"host": host})
        finally:
            if not exchange.written:
                told = PartOutcome(Verdict.CONNECT_FAILED)
            elif exchange.late:  # it answers without an end: no silence of a lost host
                told = PartOutcome(Verdict.ERROR if exchange.answering else Verdict.TIMEOUT)
            if exchange.timer is not None:
                exchange.timer.cancel()
            if exchange.connection is not None and not keep:
                self._close(host, exchange.connection, reason)
            self.exchanges.pop(exchange, None)
            for part in exchange.call.open:
                self._settle(exchange, part, self._proved(exchange) or told)
            for part in exchange.left:
                self._released(part)

    @staticmethod
    def _proved(exchange: Exchange) -> PartOutcome | None:
        """A first line that says 200 is true for the one message of a call, however the answer went on."""
        connection = exchange.connection
        if len(exchange.sent) == 1 and exchange.written and connection and connection.says_delivered:
            return PartOutcome(Verdict.OK, complete=True)
        return None

    async def _exchange(self, exchange: Exchange) -> bool:
        """The call itself; whether its connection can serve again."""
        host = exchange.call.host
        connection = self._take(host) or await self._open(host)
        exchange.connection = connection
        # Connecting takes time, in which a wait or a drain may have been told: it binds this write too.
        barred, parts = self.barred(host), exchange.call.open
        if len(parts) > 1:  # the one that lasts longest first: who reckons a call's time by one takes that
            parts.sort(key=lambda part: -part.timeout_us)
        if barred is not None:
            for part in parts:
                self._settle(exchange, part, barred)
            return self._keep(host, connection)
        for part in list(parts):  # its window may have passed as well
            if part.start_within_us and self._now_s() > exchange.call.sent_s + part.start_within_us / 1e6:
                self._settle(exchange, part, PartOutcome(Verdict.NOT_SENT))
                parts.remove(part)
        if not parts:
            return self._keep(host, connection)
        exchange.sent = parts
        await connection.send(request_of(connection, parts, exchange.until_s - self._now_s()))
        self.messages_written += len(parts)
        answer = await connection.answer()
        wait_us, report = wait_of(answer), report_of(answer)
        if wait_us:
            route = self._route(host)
            until = self._now_s() + wait_us / 1e6
            self._waits[route] = max(self._waits.get(route, 0.0), until)
        if answer.status == DELIVERED and len(parts) == 1:
            self._tell(exchange, parts[0], PartOutcome(Verdict.OK, True, wait_us, report))
            parts = []
        # Any other answer counts when it is whole: a head that says "never ran" proves nothing if the
        # body shows that the answer is spoilt, for the request has run then.
        body = await connection.body(MOST_ANSWER)
        ends = ends_of(body, parts) if answer.status == DELIVERED and parts else {}
        for part in parts:
            self._tell(exchange, part, told_of(answer, ends.get(part.id), wait_us, report))
        return self._keep(host, connection)

    def _tell(self, exchange: Exchange, part: Part, told: PartOutcome) -> None:
        """Settle a part; where its own time ran out within the call, only a final end is still news."""
        if not part.settled or told.complete:
            self._settle(exchange, part, told)

    async def _open(self, host: str) -> Connection:
        listed = self._listed.get(host)
        if listed is None:
            raise ConnectionError("no longer listed")
        self._make_room()
        async with asyncio.timeout(self._connect_s):
            return await Connection.open(listed.address, self._system)

    def _take(self, host: str) -> Connection | None:
        """The idle connection that was used last, if the host has not ended it."""
        idle = self._idle.get(host, [])
        while idle:
            connection, timer = idle.pop()
            asyncio.get_running_loop().remove_reader(connection.fd)
            timer.cancel()
            if connection.quiet():
                return connection
            self._close(host, connection, HostClose.IDLE)
        return None

    def _make_room(self) -> None:
        """Close the idle connections that are due first, so that a new one finds a descriptor."""
        while any(self._idle.values()) and sum(map(len, self._idle.values())) + len(self.exchanges) > (
            self._most_open
        ):
            kept = [(host, idle) for host, idle in self._idle.items() if idle]
            host, first = min(kept, key=lambda item: item[1][0][1].when())
            self._drop(host, *first.pop(0), HostClose.DESCRIPTOR_NEEDED)

    def _keep(self, host: str, connection: Connection) -> bool:
        """Keep a connection for the next call, watched for the host's end, closed before its keep-alive."""
        if not self._serves(host) or not connection.reusable():
            return False
        if sum(map(len, self._idle.values())) >= self._most_idle:
            return False
        loop = asyncio.get_running_loop()
        timer = loop.call_later(self._idle_s, self._expire, host, connection)
        loop.add_reader(connection.fd, self._expire, host, connection)
        self._idle.setdefault(host, []).append((connection, timer))
        return True

    def _expire(self, host: str, connection: Connection) -> None:
        """An idle connection has stood too long, or the host has ended it."""
        for item in [item for item in self._idle.get(host, []) if item[0] is connection]:
            self._idle[host].remove(item)
            self._drop(host, *item, HostClose.IDLE)

    def _drop(self, host: str, connection: Connection, timer: asyncio.TimerHandle, reason: HostClose) -> None:
        """Close a connection that was kept."""
        asyncio.get_running_loop().remove_reader(connection.fd)
        timer.cancel()
        self._close(host, connection, reason)

    def _close(self, host: str, connection: Connection, reason: HostClose) -> None:
        self._reasons.counts[Event.HOST_CLOSE, reason] += 1
        LOG.debug("hosts: %s: closed: %s", host, reason, extra={"host": host})
        connection.close()
