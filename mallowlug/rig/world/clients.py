"""Simulated clients that speak RESP2 over persistent connections, and malformed clients.

Each message is one task. After a refusal it is submitted again under a new id, after a wait and a limited
number of times. Messages that a stopped relay did not accept or left unanswered are resubmitted too.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

import msgspec

from mallowlug.rig.judge import record as rec
from mallowlug.rig.world.draw import Arrival
from mallowlug.rig.world.scenario import ClientsTable

MALFORMED_TIMEOUT_S = 3.0  # s within which a relay must answer a malformed client with an error or a close
RESUBMIT_DELAY_S = (0.52, 1.9)  # s until an unanswered message is resubmitted


def encode_command(*arguments: bytes) -> bytes:
    """Encode a RESP2 command: an array of bulk strings."""
    return b"*%d\r\n" % len(arguments) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in arguments)


@dataclass(slots=True, eq=False)
class ClientConnection:
    """One connection to a relay."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    requests_sent: int = 0

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


@dataclass(frozen=True, slots=True)
class ClientOutcome:
    """The outcome of one submission, as the client sees it."""

    result: Any
    wait_us: int = 0
    new_connection: bool = False


def parse_answer(line: bytes) -> ClientOutcome:
    """Convert an answer line to the record's terms."""
    if line[:1] in (b"+", b"$"):
        return ClientOutcome("taken")
    if line.startswith(b"-BUSY"):
        fields = line.split()
        wait_ms = int(fields[1]) if len(fields) > 1 and fields[1].isdigit() else 0
        return ClientOutcome("refused", wait_ms * 1000)
    return ClientOutcome("failed")


@dataclass(slots=True)
class RelayTarget:
    """A relay's address and its idle connections."""

    name: str
    address: tuple[str, int]
    idle_connections: list[ClientConnection] = field(default_factory=list)


class Clients:
    """All clients of a run."""

    def __init__(self, writer: rec.RecordWriter, settings: ClientsTable, rng: random.Random) -> None:
        self._writer, self._settings, self._rng = writer, settings, rng
        # By id: submitted messages without a final result.
        self._results: dict[str, asyncio.Future[rec.Notice | None]] = {}
        self.on_submit: Callable[[str, str], None] = lambda _ref, _cls: None
        self.ids = 0

    def notice_received(self, notice: rec.Notice) -> None:
        """Handle a notice that a message was not delivered."""
        if (result := self._results.pop(notice.id, None)) and not result.done():
            result.set_result(notice)

    def message_delivered(self, ref: str) -> None:
        """Handle a delivery: the client stops waiting for a notice."""
        if (result := self._results.pop(ref, None)) and not result.done():
            result.set_result(None)

    @property
    def pending_count(self) -> int:
        """The number of messages without a final result."""
        return len(self._results)

    async def run_message(
        self,
        relay: RelayTarget,
        arrival: Arrival,
        cls: rec.ClassSpec,
        retry_targets: Sequence[RelayTarget] = (),
    ) -> None:
        """Submit one message, with retries, until its final result.

        ``retry_targets``: the relays that a retry may go to; empty: ``relay`` alone.
        """
        start_us, first_id, key = self._writer.now, "", ""
        if cls.effect == "keyed":
            key = f"{self._rng.getrandbits(64):016x}"
        resubmitted = False
        for attempt in range(self._settings.retries + 1):
            left_us = start_us + cls.deadline_us - self._writer.now
            if left_us <= 0:
                return
            ref = f"{self._rng.getrandbits(64):016x}"
            marks = ",r=1" if attempt and self._settings.marks and not resubmitted else ""
            marks += ",again=1" if resubmitted else ""
            submission = rec.MessageSubmitted(
                0, ref, relay.name, arrival.dest, arrival.cls, arrival.member, left_us, key, arrival.order,
                first_id, arrival.size,
            )  # fmt: skip
            outcome = await self._submit(relay, submission, marks)
            if outcome is None:  # no connection: nothing was submitted
                await asyncio.sleep(self._rng.uniform(*RESUBMIT_DELAY_S))
                resubmitted = True
                continue
            first_id, wait_us, resubmitted = (
                first_id or ref,
                outcome.wait_us,
                outcome.result in ("silent", "cut"),
            )
            if outcome.result == "failed":
                return
            if outcome.result == "taken":
                notice = await self._wait_for_result(ref)
                if notice is None or notice.result != "bounced":
                    return
                wait_us = notice.wait_us
            await asyncio.sleep(self._retry_delay_s(wait_us, resubmitted))
            if retry_targets:
                relay = self._rng.choice(retry_targets)

    def _retry_delay_s(self, wait_us: int, resubmitted: bool) -> float:
        if resubmitted:
            return self._rng.uniform(*RESUBMIT_DELAY_S)
        backoff_s = self._rng.uniform(*self._settings.backoff_s)
        honoured = wait_us and self._rng.random() < self._settings.honour
        return max(backoff_s, wait_us / 1e6) if honoured else backoff_s

    async def _wait_for_result(self, ref: str) -> rec.Notice | None:
        result = self._results.get(ref)
        return None if result is None else await result

    async def _submit(
        self, relay: RelayTarget, submission: rec.MessageSubmitted, marks: str
    ) -> ClientOutcome | None:
        """Submit once; None if the relay accepts no connection."""
        attributes = (
            f"c={submission.cls},t={submission.member},d={submission.left_us // 1000}"
            f",dest={submission.dest}{marks}"
        )
        attributes += f",k={submission.key}" if submission.key else ""
        order, ref = submission.order or "0" * 16, submission.id
        request = encode_command(
            b"ENQUEUE", order.encode(), ref.encode(), attributes.encode(), b"x" * submission.size
        )
        self.on_submit(ref, submission.cls)
        # Registered before sending: the final result may arrive before the answer.
        self._results[ref] = asyncio.get_running_loop().create_future()
        outcome = await self._exchange(relay, request, submission)
        if outcome is not None and outcome.result == "cut" and not outcome.new_connection:
            # The relay closed an idle connection at that moment: try once more on a new one.
            relay.idle_connections.clear()
            outcome = await self._exchange(relay, request, submission) or outcome
        if outcome is not None:
            self._writer.add(
                rec.ClientOutcome(
                    self._writer.now, ref, outcome.result, outcome.wait_us, outcome.new_connection
                )
            )
        if outcome is None or outcome.result != "taken":
            self._results.pop(ref, None)
        return outcome

    @staticmethod
    async def _connect(relay: RelayTarget) -> ClientConnection:
        """Return an idle connection that is still open, or a new one; raise ``OSError`` if that fails."""
        while relay.idle_connections:
            connection = relay.idle_connections.pop()
            if not connection.reader.at_eof() and not connection.writer.is_closing():
                return connection
            connection.close()
        return ClientConnection(*await asyncio.open_connection(*relay.address))

    async def _exchange(
        self, relay: RelayTarget, request: bytes, submission: rec.MessageSubmitted
    ) -> ClientOutcome | None:
        """Send one request and read its answer; reuse the connection only after a complete answer."""
        try:
            connection = await self._connect(relay)
        except OSError:
            return None
        new_connection, connection.requests_sent = connection.requests_sent == 0, connection.requests_sent + 1
        connection.writer.write(request)
        self._writer.add(msgspec.structs.replace(submission, at=self._writer.now))
        try:
            async with asyncio.timeout(self._settings.answer_s):
                await connection.writer.drain()
                line = await connection.reader.readuntil(b"\r\n")
        except TimeoutError:
            connection.close()
            return ClientOutcome("silent")
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            connection.close()
            return ClientOutcome("cut", new_connection=new_connection)
        relay.idle_connections.append(connection)
        return parse_answer(line)

    async def send_malformed(self, relay: RelayTarget, kind: str) -> None:
        """Send malformed input and record how the relay reacts."""
        ref = b"rude-%d" % self._rng.getrandbits(32)
        attributes = b"c=%s,t=nobody,d=1000,k=1,dest=1"
        data = {
            "noise": b"\x00\x01\x02 nonsense\r\n",
            "endless line": b"x" * 100_000,
            "negative": b"*-5\r\n",
            "huge": b"*5\r\n$60000000\r\n",
            "half": encode_command(b"ENQUEUE", b"0" * 16, ref, attributes % b"any", b"x")[:-9],
            "unknown class": encode_command(b"ENQUEUE", b"0" * 16, ref, attributes % b"no-such-class", b"x"),
            "no id": encode_command(b"ENQUEUE", b"0" * 16, b"", attributes % b"any", b"x"),
            "deadline": encode_command(b"ENQUEUE", b"0" * 16, ref, b"c=any,t=x,d=soon,dest=1", b"x"),
            "silent": b"",
        }[kind]
        reaction: Any = "none"
        try:
            reader, writer = await asyncio.open_connection(*relay.address)
        except OSError:
            return
        try:
            writer.write(data)
            async with asyncio.timeout(MALFORMED_TIMEOUT_S):
                line = await reader.readline()
            reaction = "close" if not line else "error" if line.startswith(b"-") else "taken"
        except TimeoutError:
            pass
        except OSError:
            reaction = "close"
        writer.close()
        self._writer.add(rec.MalformedClient(self._writer.now, relay.name, kind, reaction))


MALFORMED_REQUESTS = (
    "noise",
    "endless line",
    "negative",
    "huge",
    "half",
    "unknown class",
    "no id",
    "deadline",
    "silent",
)
