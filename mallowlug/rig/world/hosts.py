"""Stand-ins for partners' endpoints: they speak the platform's calls and fare as their models say."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from typing import Any

from mallowlug.rig.judge import record as rec
from mallowlug.rig.world.draw import HostPlan
from mallowlug.rig.world.host_model import HostModel, Job, KeyMemory, Refusal, effects, work_of
from mallowlug.rig.world.httpd import Connection, Place, Request, Server

NOISE = b"\x00\x13\xff not an answer \x80" * 8


class BadCallError(ValueError):
    """A call that the platform's protocol does not know."""


@dataclass(frozen=True, slots=True)
class Item:
    """One message in a call."""

    id: str
    key: str
    size: int


def items_of(request: Request, most: int) -> list[Item]:
    """The messages in a call; ``BadCallError`` where it cannot be read."""
    if request.method != "POST":
        raise BadCallError(f"method {request.method}")
    if request.target == "/hook":
        if not (ref := request.headers.get("x-txn", "")):
            raise BadCallError("no X-Txn")
        return [Item(ref, request.headers.get("idempotency-key", ""), len(request.body))]
    if request.target != "/hook/batch":
        raise BadCallError(f"target {request.target}")
    items, rest = list[Item](), request.body
    while rest:
        line, _, rest = rest.partition(b"\r\n")
        words = line.split(b" ")
        if len(words) != 3 or not words[2].isdigit() or rest[int(words[2]) : int(words[2]) + 2] != b"\r\n":
            raise BadCallError("a batch that cannot be read")
        ref, key, size = words[0].decode(), words[1].decode(), int(words[2])
        items.append(Item(ref, "" if key == "-" else key, size))
        rest = rest[size + 2 :]
    if not items or len({item.id for item in items}) < len(items):
        raise BadCallError("a batch that is empty or names a message twice")
    if len(items) > most:
        raise BadCallError(f"{len(items)} messages in a call for {most}")
    return items


@dataclass(slots=True, eq=False)
class Out:
    """A call that has come and has no answer yet."""

    number: int
    connection: Connection
    items: list[Item]
    job: Job
    fresh: bool
    began_s: float


@dataclass(frozen=True, slots=True)
class ClassWork:
    """What a class of message takes at an endpoint, and where and for how long its keys are remembered."""

    work_s: float
    window_s: float
    by_zone: bool = False


class Book:
    """What all endpoints share: the record, the messages that were asked for, numbers, spoilt answers."""

    def __init__(
        self, writer: rec.RecordWriter, classes: dict[str, ClassWork], place: Place | None = None
    ) -> None:
        self.writer, self.place = writer, place or Place()
        self.classes = classes  # by name
        self.asked: dict[str, str] = {}  # by id: its class
        self.number = 0
        self.tails: dict[str, tuple[float, float]] = {}  # by class: share, and factor of the work
        self.spoil = 0.0  # share of answers that come spoilt
        self.bad_calls = 0

    def bad_call(self, detail: str) -> None:
        """Note a call that the protocol does not know."""
        self.bad_calls += 1
        self.writer.add(rec.Annotation(self.writer.now, "bad call", detail))

    def next(self) -> int:
        """A number for a call."""
        self.number += 1
        return self.number


class Host(Server):
    """One endpoint."""

    def __init__(self, plan: HostPlan, book: Book, memory: KeyMemory, idle_s: float, seed: str) -> None:
        super().__init__(book.place)
        self.plan, self.book, self.memory, self.idle_s = plan, book, memory, idle_s
        self.rng = random.Random(seed)
        self.model = HostModel(plan, self.rng)
        self.out: dict[Connection, Out] = {}
        self.told: dict[Connection, int] = {}  # by connection: its last call, if that was told to wait
        self._line: dict[int, Out] = {}  # by number: calls that wait for a server
        self._life = 0  # outages so far: what was begun before one is not answered after it
        self._idle: dict[Connection, asyncio.TimerHandle] = {}

    def joined(self, connection: Connection) -> None:
        self._rest(connection)

    def _rest(self, connection: Connection) -> None:
        """A connection is idle: it is closed after its time."""
        loop = asyncio.get_running_loop()
        self._idle[connection] = loop.call_later(self.idle_s, connection.close)

    def left(self, connection: Connection) -> None:
        if timer := self._idle.pop(connection, None):
            timer.cancel()
        if told := self.told.pop(connection, None):
            self.book.writer.add(rec.ConnectionClosed(self.book.writer.now, told))
        if out := self.out.pop(connection, None):
            by: Any = "host" if self.model.state in ("refuse", "fallen") else "relay"
            self.book.writer.add(rec.CallBroken(self.book.writer.now, out.number, by))

    def unreadable(self, connection: Connection) -> None:
        self.book.bad_call(f"{self.plan.name}: no request")

    def asked(self, request: Request) -> None:
        """A call has come: it is taken in, refused, or taken and never answered."""
        connection, book = request.connection, self.book
        self.told.pop(connection, None)  # whoever calls on has heard
        if timer := self._idle.pop(connection, None):
            timer.cancel()
        try:
            items = items_of(request, self.plan.kind.batch)
            unknown = [item.id for item in items if item.id not in book.asked]
            if unknown:
                raise BadCallError(f"nobody handed in {unknown[0]}")
        except (BadCallError, UnicodeDecodeError) as error:
            book.bad_call(f"{self.plan.name}: {error}")
            connection.answer(400)
            self._rest(connection)
            return
        now_s, number = self.now(), book.next()
        came_us = book.writer.now
        began_us = came_us - round((request.came_s - request.began_s) * 1e6)
        job = Job(number, len(items), work_of([self._work_s(item) for item in items], self.rng))
        out = Out(number, connection, items, job, connection.requests == 1, request.began_s)
        ids = [item.id for item in items]
        book.writer.add(rec.Call(came_us, number, self.plan.name, ids, began_us, connection.number))
        self.out[connection] = out
        if self.model.falls(len(items), now_s):
            book.writer.add(rec.HostStateChange(book.writer.now, self.plan.name, "fell"))
            self._life += 1
            self.refuse()
            return
        if self.model.state == "silent":
            self._ran(out)
            return
        offered = self.model.offer(job, now_s)
        if isinstance(offered, Refusal):
            self._later(self.plan.network_s, self._refused, out, offered)
        elif offered is None:
            self._line[number] = out
        else:
            self._start(out, offered)

    def _work_s(self, item: Item) -> float:
        cls = self.book.asked[item.id]
        work_s, (share, factor) = self.book.classes[cls].work_s, self.book.tails.get(cls, (0.0, 1.0))
        return work_s * (factor if self.rng.random() < share else 1.0)

    def _later(self, delay_s: float, then: Any, *args: object) -> None:
        """Do something later, unless an outage comes first."""
        life = self._life

        def run() -> None:
            if life == self._life:
                then(*args)

        asyncio.get_running_loop().call_later(delay_s, run)

    def _start(self, out: Out, takes_s: float) -> None:
        handshake_s = self.plan.handshake_s if out.fresh else 0.0
        self._later(takes_s + handshake_s + self.plan.network_s, self._done, out)

    def _done(self, out: Out) -> None:
        """A call's work is done, whether or not anybody still waits for it."""
        following = self.model.done(self.now())
        if following is not None:
            job, takes_s = following
            self._start(self._line.pop(job.call), takes_s)
        failed = self.rng.random() < self.plan.kind.error_rate
        self._ran(out)
        if self.out.get(out.connection) is not out or not out.connection.open:
            return
        del self.out[out.connection]
        if self.rng.random() < self.book.spoil:
            self._spoilt(out)
        elif failed:
            self._answer(out, 500, "error")
        else:
            self._answer(out, 200, "delivered")
        self._rest(out.connection)

    def _ran(self, out: Out) -> None:
        """Its messages have run; a key that is remembered has no effect again.

        The window binds when a call is sent, so a key counts by when its call began, however late it ends.
        """
        writer = self.book.writer
        keys = [self._remembered(item) for item in out.items]
        for item, effect in zip(out.items, effects(self.memory, keys, out.began_s), strict=True):
            writer.add(rec.MessageProcessed(writer.now, out.number, self.plan.name, item.id, effect))

    def _remembered(self, item: Item) -> tuple[str, float]:
        """The key of a message as its destination remembers it (empty: none), and for how long."""
        cls = self.book.classes[self.book.asked[item.id]]
        key = f"{self.plan.zone} {item.key}" if item.key and cls.by_zone else item.key
        return key, cls.window_s

    def _headers(self) -> dict[str, str]:
        report = self.model.report(self.now())
        return {} if report is None else {"X-Pressure": f"x0={report[0]:.3f},x1={report[1]:.3f}"}

    def _answer(self, out: Out, status: int, end: Any) -> None:
        body = b""
        if status == 200 and len(out.items) > 1:
            body = b"".join(b"%s %s\r\n" % (item.id.encode(), end.encode()) for item in out.items)
        ends = {item.id: end for item in out.items}
        self.book.writer.add(rec.CallAnswered(self.book.writer.now, out.number, ends))
        out.connection.answer(status, self._headers(), body)

    def _refused(self, out: Out, refusal: Refusal) -> None:
        if self.out.get(out.connection) is not out or not out.connection.open:
            return
        del self.out[out.connection]
        headers, wait_ms = self._headers(), round(refusal.wait_s * 1000)
        ends: Any = {item.id: "refused" for item in out.items}
        self.book.writer.add(rec.CallAnswered(self.book.writer.now, out.number, ends, wait_ms * 1000))
        if wait_ms:
            self.told[out.connection] = out.number
            out.connection.answer(429, headers | {"X-Retry-In-Ms": str(wait_ms)})
        else:
            out.connection.answer(503, headers)
        self._rest(out.connection)

    def _spoilt(self, out: Out) -> None:
        """An answer that cannot be believed, but for a first line with 200 to a call with one message."""
        how = self.rng.randrange(4)
        true = how == 0 and len(out.items) == 1
        ends: Any = {item.id: "delivered" if true else "error" for item in out.items}
        self.book.writer.add(rec.CallAnswered(self.book.writer.now, out.number, ends, spoilt=True))
        out.connection.raw(
            (
                b"HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\n" + NOISE,
                NOISE,
                b"HTTP/1.1 503 X\r\nX-Pad: " + b"y" * 20_000,
                b"HTTP/1.1 5zz\r\n\r\n",
            )[how]
        )

    def strike(self, what: str, size: float, len_s: float) -> bool:
        """An outage begins: ``refuse``, ``silent``, ``slow`` or ``shut``; not where there is one already."""
        if self.model.state != "up" or self.model.slow != 1.0:
            return False
        self.book.writer.add(rec.HostStateChange(self.book.writer.now, self.plan.name, "out"))
        if what == "slow":
            self.model.slow = size
            return True
        if what == "refuse":
            self._life += 1
            self.model.state = "refuse"
            self.refuse()
        elif what == "silent":
            self._life += 1
            self.model.state = "silent"
            for out in self.out.values():
                self._ran(out)
        else:
            self.model.state, self.model.opens_s = "shut", self.now() + len_s
        return True

    async def recover(self) -> None:
        """The outage is over: it comes back cold, and what hung on it is broken off."""
        if self.model.state == "fallen":
            return
        refused, emptied = self.model.state == "refuse", self.model.state in ("refuse", "silent")
        if emptied:
            self._life += 1
            self._line.clear()
            for connection in list(self.out):
                connection.reset()
        plan, writer = self.plan, self.book.writer
        self.model.returned(self.now(), emptied)
        writer.add(
            rec.HostStateChange(writer.now, plan.name, "back", plan.cold_from, round(plan.warm_s * 1e6))
        )
        if refused:
            await self.listen()
