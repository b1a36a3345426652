"""Stand-ins for clients: RESP2 over kept connections, with the habits that the BRIEF tells, and rude ones.

One message is one task: it is handed in, and after a refusal handed in again, under a new id, up to so many
times and after a wait. What a relay that died did not take on, or left unanswered, comes again as well.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from mallowlug.rig.judge import record as rec
from mallowlug.rig.world.draw import Arrival
from mallowlug.rig.world.scenario import ClientsTable

RUDE_S = 3.0  # s within which a rude client is owed an error or a close
HUNG_S = (0.52, 1.9)  # s until what a relay left unanswered comes again


def packed(*words: bytes) -> bytes:
    """A RESP2 command: an array of bulk strings."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)


@dataclass(slots=True, eq=False)
class Link:
    """One connection to a relay."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    used: int = 0

    def close(self) -> None:
        """Give it up."""
        self.writer.close()


@dataclass(frozen=True, slots=True)
class Heard:
    """A relay's answer to one request."""

    what: Any
    wait_us: int = 0
    fresh: bool = False


def heard_of(line: bytes) -> Heard:
    """An answer line in the record's words."""
    if line[:1] in (b"+", b"$"):
        return Heard("taken")
    if line.startswith(b"-BUSY"):
        words = line.split()
        wait_ms = int(words[1]) if len(words) > 1 and words[1].isdigit() else 0
        return Heard("refused", wait_ms * 1000)
    return Heard("failed")


@dataclass(slots=True)
class Relay:
    """One relay as clients see it."""

    name: str
    address: tuple[str, int]
    idle: list[Link] = field(default_factory=list)


class Clients:
    """All clients of a run."""

    def __init__(self, writer: rec.RecordWriter, habits: ClientsTable, rng: random.Random) -> None:
        self._writer, self._habits, self._rng = writer, habits, rng
        self._ends: dict[str, asyncio.Future[rec.Notice | None]] = {}  # by id: what was taken on and is open
        self.asked: Callable[[str, str], None] = lambda _ref, _cls: None
        self.ids = 0

    def ended(self, notice: rec.Notice) -> None:
        """The platform tells a client that its message was not delivered."""
        if (end := self._ends.pop(notice.id, None)) and not end.done():
            end.set_result(notice)

    def delivered(self, ref: str) -> None:
        """A message was delivered: nobody waits for its end."""
        if (end := self._ends.pop(ref, None)) and not end.done():
            end.set_result(None)

    @property
    def open(self) -> int:
        """Messages that are taken on and have no end yet."""
        return len(self._ends)

    async def message(self, relay: Relay, arrival: Arrival, cls: rec.ClassSpec) -> None:
        """One message from its first try to its end."""
        start_us, first, key = self._writer.now, "", ""
        if cls.effect == "keyed":
            key = f"{self._rng.getrandbits(64):016x}"
        again = False
        for turn in range(self._habits.retries + 1):
            left_us = start_us + cls.deadline_us - self._writer.now
            if left_us <= 0:
                return
            ref = f"{self._rng.getrandbits(64):016x}"
            marks = ",r=1" if turn and self._habits.marks and not again else ""
            marks += ",again=1" if again else ""
            ask = rec.MessageSubmitted(
                0, ref, relay.name, arrival.dest, arrival.cls, arrival.member, left_us, key, arrival.order,
                first, arrival.size,
            )  # fmt: skip
            heard = await self._hand_in(relay, ask, marks)
            if heard is None:  # nobody there: nothing was asked, so this is no turn of its own
                await asyncio.sleep(self._rng.uniform(*HUNG_S))
                again = True
                continue
            first, wait_us, again = first or ref, heard.wait_us, heard.what in ("silent", "cut")
            if heard.what == "failed":
                return
            if heard.what == "taken":
                notice = await self._end(ref)
                if notice is None or notice.result != "bounced":
                    return
                wait_us = notice.wait_us
            await asyncio.sleep(self._pause_s(wait_us, again))

    def _pause_s(self, wait_us: int, again: bool) -> float:
        if again:
            return self._rng.uniform(*HUNG_S)
        own_s = self._rng.uniform(*self._habits.backoff_s)
        honoured = wait_us and self._rng.random() < self._habits.honour
        return max(own_s, wait_us / 1e6) if honoured else own_s

    async def _end(self, ref: str) -> rec.Notice | None:
        end = self._ends.get(ref)
        return None if end is None else await end

    async def _hand_in(self, relay: Relay, ask: rec.MessageSubmitted, marks: str) -> Heard | None:
        """One try; None where the relay takes no connection."""
        names = f"c={ask.cls},t={ask.member},d={ask.left_us // 1000},dest={ask.dest}{marks}"
        names += f",k={ask.key}" if ask.key else ""
        order, ref = ask.order or "0" * 16, ask.id
        request = packed(b"ENQUEUE", order.encode(), ref.encode(), names.encode(), b"x" * ask.size)
        self.asked(ref, ask.cls)
        # Registered before the bytes go: a message's end may overtake the answer.
        self._ends[ref] = asyncio.get_running_loop().create_future()
        heard = await self._answer(relay, request, ask)
        if heard is not None and heard.what == "cut" and not heard.fresh:
            # A kept connection that the relay closed just then: once more on a new one.
            relay.idle.clear()
            heard = await self._answer(relay, request, ask) or heard
        if heard is not None:
            self._writer.add(rec.ClientOutcome(self._writer.now, ref, heard.what, heard.wait_us, heard.fresh))
        if heard is None or heard.what != "taken":
            self._ends.pop(ref, None)
        return heard

    @staticmethod
    async def _link(relay: Relay) -> Link:
        """A kept connection that the relay has not ended, else a new one; ``OSError`` where there is none."""
        while relay.idle:
            link = relay.idle.pop()
            if not link.reader.at_eof() and not link.writer.is_closing():
                return link
            link.close()
        return Link(*await asyncio.open_connection(*relay.address))

    async def _answer(self, relay: Relay, request: bytes, ask: rec.MessageSubmitted) -> Heard | None:
        """Write one request and read its answer; the connection is kept only after a whole one."""
        try:
            link = await self._link(relay)
        except OSError:
            return None
        fresh, link.used = link.used == 0, link.used + 1
        link.writer.write(request)
        self._writer.add(msgspec.structs.replace(ask, at=self._writer.now))
        try:
            async with asyncio.timeout(self._habits.answer_s):
                await link.writer.drain()
                line = await link.reader.readuntil(b"\r\n")
        except TimeoutError:
            link.close()
            return Heard("silent")
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            link.close()
            return Heard("cut", fresh=fresh)
        relay.idle.append(link)
        return heard_of(line)

    async def rude(self, relay: Relay, what: str) -> None:
        """One client that sends nonsense and reads what it is told."""
        ref = b"rude-%d" % self._rng.getrandbits(32)
        names = b"c=%s,t=nobody,d=1000,k=1,dest=1"
        data = {
            "noise": b"\x00\x01\x02 nonsense\r\n",
            "endless line": b"x" * 100_000,
            "negative": b"*-5\r\n",
            "huge": b"*5\r\n$60000000\r\n",
            "half": packed(b"ENQUEUE", b"0" * 16, ref, names % b"any", b"x")[:-9],
            "unknown class": packed(b"ENQUEUE", b"0" * 16, ref, names % b"no-such-class", b"x"),
            "no id": packed(b"ENQUEUE", b"0" * 16, b"", names % b"any", b"x"),
            "deadline": packed(b"ENQUEUE", b"0" * 16, ref, b"c=any,t=x,d=soon,dest=1", b"x"),
            "silent": b"",
        }[what]
        end: Any = "none"
        try:
            reader, writer = await asyncio.open_connection(*relay.address)
        except OSError:
            return
        try:
            writer.write(data)
            async with asyncio.timeout(RUDE_S):
                line = await reader.readline()
            end = "close" if not line else "error" if line.startswith(b"-") else "taken"
        except TimeoutError:
            pass
        except OSError:
            end = "close"
        writer.close()
        self._writer.add(rec.MalformedClient(self._writer.now, relay.name, what, end))


RUDE = ("noise", "endless line", "negative", "huge", "half", "unknown class", "no id", "deadline", "silent")
