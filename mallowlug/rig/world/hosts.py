"""Simulated partner endpoints: HTTP servers that answer calls as their ``HostModel`` decides."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from typing import Any

from mallowlug.rig.judge import record as rec
from mallowlug.rig.world.draw import HostPlan
from mallowlug.rig.world.host_model import HostModel, Job, KeyMemory, Refusal, call_work_s, first_uses
from mallowlug.rig.world.httpd import AddressAllocator, Connection, Request, Server
from mallowlug.rig.world.repeats import AnswerRepeater

NOT_HTTP = b"\x00\x13\xff not an answer \x80" * 8


class BadCallError(ValueError):
    """A call that violates the platform's protocol."""


@dataclass(frozen=True, slots=True)
class CallMessage:
    """One message in a call."""

    id: str
    key: str
    size: int


def parse_messages(request: Request, max_messages: int) -> list[CallMessage]:
    """Parse the messages of a call; raise ``BadCallError`` if it is malformed."""
    if request.method != "POST":
        raise BadCallError(f"method {request.method}")
    if request.target == "/hook":
        if not (ref := request.headers.get("x-txn", "")):
            raise BadCallError("no X-Txn")
        return [CallMessage(ref, request.headers.get("idempotency-key", ""), len(request.body))]
    if request.target != "/hook/batch":
        raise BadCallError(f"target {request.target}")
    items, rest = list[CallMessage](), request.body
    while rest:
        line, _, rest = rest.partition(b"\r\n")
        fields = line.split(b" ")
        if (
            len(fields) != 3
            or not fields[2].isdigit()
            or rest[int(fields[2]) : int(fields[2]) + 2] != b"\r\n"
        ):
            raise BadCallError("malformed batch")
        ref, key, size = fields[0].decode(), fields[1].decode(), int(fields[2])
        items.append(CallMessage(ref, "" if key == "-" else key, size))
        rest = rest[size + 2 :]
    if not items or len({item.id for item in items}) < len(items):
        raise BadCallError("batch is empty or contains duplicate message ids")
    if len(items) > max_messages:
        raise BadCallError(f"{len(items)} messages in a call, limit is {max_messages}")
    return items


@dataclass(slots=True, eq=False)
class CallInProgress:
    """A received call that has no answer yet."""

    number: int
    connection: Connection
    messages: list[CallMessage]
    job: Job
    new_connection: bool
    began_s: float


@dataclass(frozen=True, slots=True)
class ClassWork:
    """The work of a message class, and the scope and duration of its deduplication keys."""

    work_s: float
    window_s: float
    by_zone: bool = False


class HostContext:
    """State that all endpoints share: the record, submitted messages, call numbers, fault settings."""

    def __init__(
        self,
        writer: rec.RecordWriter,
        classes: dict[str, ClassWork],
        addresses: AddressAllocator | None = None,
    ) -> None:
        self.writer, self.addresses = writer, addresses or AddressAllocator()
        self.classes = classes  # by name
        self.submitted_classes: dict[str, str] = {}  # class name by message id
        self.last_call_number = 0
        # By class: share of slow messages, factor of their work.
        self.heavy_tails: dict[str, tuple[float, float]] = {}
        self.corrupt_share = 0.0  # share of answers that are corrupt
        self.repeater = AnswerRepeater()
        self.bad_calls = 0

    def record_bad_call(self, detail: str) -> None:
        """Record a call that violates the protocol."""
        self.bad_calls += 1
        self.writer.add(rec.Annotation(self.writer.now, "bad call", detail))

    def next_call_number(self) -> int:
        """Return a new call number."""
        self.last_call_number += 1
        return self.last_call_number


class Host(Server):
    """One endpoint and its connections."""

    def __init__(
        self, plan: HostPlan, context: HostContext, memory: KeyMemory, idle_s: float, seed: str
    ) -> None:
        super().__init__(context.addresses)
        self.plan, self.context, self.memory, self.idle_s = plan, context, memory, idle_s
        self.rng = random.Random(seed)
        self.model = HostModel(plan, self.rng)
        self.calls_in_progress: dict[Connection, CallInProgress] = {}
        # Last call of a connection, if it was answered with a Retry-After wait.
        self.retry_after_calls: dict[Connection, int] = {}
        self._queued_calls: dict[int, CallInProgress] = {}  # by call number: calls that wait for a server
        self._outage_number = 0  # outages so far; calls begun before an outage are not answered after it
        self._idle_timers: dict[Connection, asyncio.TimerHandle] = {}

    def connection_opened(self, connection: Connection) -> None:
        self._start_idle_timer(connection)

    def _start_idle_timer(self, connection: Connection) -> None:
        """Close an idle connection after ``idle_s``."""
        loop = asyncio.get_running_loop()
        self._idle_timers[connection] = loop.call_later(self.idle_s, connection.close)

    def connection_closed(self, connection: Connection) -> None:
        if timer := self._idle_timers.pop(connection, None):
            timer.cancel()
        if refused_call := self.retry_after_calls.pop(connection, None):
            self.context.writer.add(rec.ConnectionClosed(self.context.writer.now, refused_call))
        if call := self.calls_in_progress.pop(connection, None):
            by: Any = "host" if self.model.state in ("refuse", "fallen") else "relay"
            self.context.writer.add(rec.CallBroken(self.context.writer.now, call.number, by))

    def request_malformed(self, connection: Connection) -> None:
        self.context.record_bad_call(f"{self.plan.name}: malformed request")

    def request_overlapped(self, connection: Connection) -> None:
        if call := self.calls_in_progress.get(connection):
            self.context.writer.add(rec.CallOverlapped(self.context.writer.now, call.number))

    def answer_written(self, connection: Connection) -> None:
        self.context.repeater.answer_written(connection, self._record_repeat)

    def _record_repeat(self, connection: Connection) -> None:
        call = self.calls_in_progress.get(connection)
        number = call.number if call else 0
        event = rec.AnswerRepeated(self.context.writer.now, self.plan.name, connection.number, number)
        self.context.writer.add(event)

    def request_received(self, request: Request) -> None:
        """Accept or refuse a call; while the endpoint is silent, accept it and never answer."""
        connection, context = request.connection, self.context
        # The relay sent another call, so it has received the wait.
        self.retry_after_calls.pop(connection, None)
        if timer := self._idle_timers.pop(connection, None):
            timer.cancel()
        try:
            messages = parse_messages(request, self.plan.kind.batch)
            unknown = [item.id for item in messages if item.id not in context.submitted_classes]
            if unknown:
                raise BadCallError(f"no client submitted {unknown[0]}")
        except (BadCallError, UnicodeDecodeError) as error:
            context.record_bad_call(f"{self.plan.name}: {error}")
            connection.answer(400)
            self._start_idle_timer(connection)
            return
        now_s, number = self.now(), context.next_call_number()
        received_us = context.writer.now
        began_us = received_us - round((request.last_byte_s - request.first_byte_s) * 1e6)
        job = Job(number, len(messages), call_work_s([self._work_s(item) for item in messages], self.rng))
        call = CallInProgress(
            number, connection, messages, job, connection.requests == 1, request.first_byte_s
        )
        ids = [item.id for item in messages]
        context.writer.add(rec.Call(received_us, number, self.plan.name, ids, began_us, connection.number))
        self.calls_in_progress[connection] = call
        if self.model.collapses_on_arrival(len(messages), now_s):
            context.writer.add(rec.HostStateChange(context.writer.now, self.plan.name, "fell"))
            self._outage_number += 1
            self.stop_listening()
            return
        if self.model.state == "silent":
            self._record_execution(call)
            return
        outcome = self.model.offer(job, now_s)
        if isinstance(outcome, Refusal):
            self._schedule(self.plan.network_s, self._answer_refused, call, outcome)
        elif outcome is None:
            self._queued_calls[number] = call
        else:
            self._start_call(call, outcome)

    def _work_s(self, item: CallMessage) -> float:
        cls = self.context.submitted_classes[item.id]
        work_s, (share, factor) = (
            self.context.classes[cls].work_s,
            self.context.heavy_tails.get(cls, (0.0, 1.0)),
        )
        return work_s * (factor if self.rng.random() < share else 1.0)

    def _schedule(self, delay_s: float, then: Any, *args: object) -> None:
        """Run a callback after a delay, unless an outage begins first."""
        outage_number = self._outage_number

        def run() -> None:
            if outage_number == self._outage_number:
                then(*args)

        asyncio.get_running_loop().call_later(delay_s, run)

    def _start_call(self, call: CallInProgress, service_s: float) -> None:
        handshake_s = self.plan.handshake_s if call.new_connection else 0.0
        self._schedule(service_s + handshake_s + self.plan.network_s, self._finish_call, call)

    def _finish_call(self, call: CallInProgress) -> None:
        """Finish a call's work, whether or not the relay still waits for the answer."""
        next_job = self.model.finish_job(self.now())
        if next_job is not None:
            job, service_s = next_job
            self._start_call(self._queued_calls.pop(job.call), service_s)
        failed = self.rng.random() < self.plan.kind.error_rate
        self._record_execution(call)
        if self.calls_in_progress.get(call.connection) is not call or not call.connection.is_open:
            return
        del self.calls_in_progress[call.connection]
        if self.rng.random() < self.context.corrupt_share:
            self._answer_corrupt(call)
        elif failed:
            self._answer(call, 500, "error")
        else:
            self._answer(call, 200, "delivered")
        self._start_idle_timer(call.connection)

    def _record_execution(self, call: CallInProgress) -> None:
        """Record that a call's messages were executed; a remembered key has no second effect.

        The deduplication window applies when a call is sent, so it is checked at the time the call began,
        however late the call ends.
        """
        writer = self.context.writer
        keys = [self._deduplication_key(item) for item in call.messages]
        for item, effect in zip(call.messages, first_uses(self.memory, keys, call.began_s), strict=True):
            writer.add(rec.MessageProcessed(writer.now, call.number, self.plan.name, item.id, effect))

    def _deduplication_key(self, item: CallMessage) -> tuple[str, float]:
        """Return a message's deduplication key (empty: none), with its zone if scoped, and its window."""
        cls = self.context.classes[self.context.submitted_classes[item.id]]
        key = f"{self.plan.zone} {item.key}" if item.key and cls.by_zone else item.key
        return key, cls.window_s

    def _load_headers(self) -> dict[str, str]:
        report = self.model.load_report(self.now())
        return {} if report is None else {"X-Pressure": f"x0={report[0]:.3f},x1={report[1]:.3f}"}

    def _answer(self, call: CallInProgress, status: int, result: Any) -> None:
        body = b""
        if status == 200 and len(call.messages) > 1:
            body = b"".join(b"%s %s\r\n" % (item.id.encode(), result.encode()) for item in call.messages)
        results = {item.id: result for item in call.messages}
        self.context.writer.add(rec.CallAnswered(self.context.writer.now, call.number, results))
        call.connection.answer(status, self._load_headers(), body)

    def _answer_refused(self, call: CallInProgress, refusal: Refusal) -> None:
        if self.calls_in_progress.get(call.connection) is not call or not call.connection.is_open:
            return
        del self.calls_in_progress[call.connection]
        headers, wait_ms = self._load_headers(), round(refusal.wait_s * 1000)
        results: Any = {item.id: "refused" for item in call.messages}
        self.context.writer.add(
            rec.CallAnswered(self.context.writer.now, call.number, results, wait_ms * 1000)
        )
        if wait_ms:
            self.retry_after_calls[call.connection] = call.number
            call.connection.answer(429, headers | {"X-Retry-In-Ms": str(wait_ms)})
        else:
            call.connection.answer(503, headers)
        self._start_idle_timer(call.connection)

    def _answer_corrupt(self, call: CallInProgress) -> None:
        """Send a corrupt answer.

        Only variant 0 (a 200 status line) to a call with one message still states a valid result: delivered.
        """
        variant = self.rng.randrange(4)
        readable = variant == 0 and len(call.messages) == 1
        results: Any = {item.id: "delivered" if readable else "error" for item in call.messages}
        self.context.writer.add(rec.CallAnswered(self.context.writer.now, call.number, results, spoilt=True))
        call.connection.write_raw(
            (
                b"HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\n" + NOT_HTTP,
                NOT_HTTP,
                b"HTTP/1.1 503 X\r\nX-Pad: " + b"y" * 20_000,
                b"HTTP/1.1 5zz\r\n\r\n",
            )[variant]
        )

    def begin_outage(self, kind: str, slowdown: float, duration_s: float) -> bool:
        """Begin an outage (``refuse``, ``silent``, ``slow`` or ``shut``).

        Returns False if another outage is in progress.
        """
        if self.model.state != "up" or self.model.slowdown != 1.0:
            return False
        self.context.writer.add(rec.HostStateChange(self.context.writer.now, self.plan.name, "out"))
        if kind == "slow":
            self.model.slowdown = slowdown
            return True
        if kind == "refuse":
            self._outage_number += 1
            self.model.state = "refuse"
            self.stop_listening()
        elif kind == "silent":
            self._outage_number += 1
            self.model.state = "silent"
            for call in self.calls_in_progress.values():
                self._record_execution(call)
        else:
            self.model.state, self.model.reopens_s = "shut", self.now() + duration_s
        return True

    async def end_outage(self) -> None:
        """End the outage: the endpoint returns cold, and connections with unanswered calls are reset."""
        if self.model.state == "fallen":
            return
        refused, work_lost = self.model.state == "refuse", self.model.state in ("refuse", "silent")
        if work_lost:
            self._outage_number += 1
            self._queued_calls.clear()
            for connection in list(self.calls_in_progress):
                connection.reset()
        plan, writer = self.plan, self.context.writer
        self.model.end_outage(self.now(), work_lost)
        writer.add(
            rec.HostStateChange(writer.now, plan.name, "back", plan.cold_from, round(plan.warm_s * 1e6))
        )
        if refused:
            await self.listen()
