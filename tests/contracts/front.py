"""What every front has to keep, whatever protocol it serves."""

from __future__ import annotations

import asyncio
import time
from typing import Protocol

import pytest

from mallowlug.core.model import Accepted, Answer, Failed, Refused, Submission
from mallowlug.core.ports import Front
from tests.world import soon


class StubCore:
    """A core that answers as it is told, by id, and remembers what reached it."""

    def __init__(self) -> None:
        self.answers: dict[str, Answer] = {}
        self.seen: list[tuple[Submission, bytes]] = []
        self.refusal = Refused(777)

    def clock(self) -> int:
        """Wall time in microseconds."""
        return time.time_ns() // 1000

    def submit(self, submission: Submission, body: bytes) -> Answer:
        """The answer that was set for the id, else taken."""
        self.seen.append((submission, body))
        return self.answers.get(submission.id, Accepted())


class FrontPeer(Protocol):
    """A client of the front's protocol; answers are told in the port's terms, ``None`` for a close."""

    async def submit(self, *refs: str) -> list[str | None]:
        """Hand messages in at once: for each ``taken``, ``refused MS``, ``failed`` or None."""

    async def send_garbage(self) -> str | None:
        """Send what is no request of the protocol."""

    async def send_partial_request(self) -> None:
        """Send a request without its last byte."""

    async def wait_closed(self) -> None:
        """Wait until the front has closed."""


class FrontContract:
    """Subclass, name it ``Test...`` and supply ``front`` and ``peer``."""

    def front(self, core: StubCore, port: int, max_connections: int) -> Front:
        """The front on a loopback port, with room for so many connections."""
        raise NotImplementedError

    async def peer(self, port: int) -> FrontPeer:
        """A client's connection."""
        raise NotImplementedError

    @pytest.fixture
    async def served(self, unused_tcp_port: int):  # type: ignore[no-untyped-def]
        """A core, its front, started, and the port."""
        core = StubCore()
        front = self.front(core, unused_tcp_port, 8)
        await front.start()
        yield core, front, unused_tcp_port
        front.close()

    async def test_each_answer_of_the_core_is_told_apart(self, served: tuple[StubCore, Front, int]) -> None:
        core, _, port = served
        core.answers = {"m2": Refused(1234), "m3": Failed("no such class")}
        peer = await self.peer(port)
        told = [await peer.submit(ref) for ref in ("m1", "m2", "m3")]
        assert told == [["taken"], ["refused 1234"], ["failed"]]
        assert [handed.id for handed, _ in core.seen] == ["m1", "m2", "m3"]

    async def test_answers_come_in_the_order_of_the_requests(
        self, served: tuple[StubCore, Front, int]
    ) -> None:
        core, _, port = served
        core.answers = {f"m{n}": Refused(n) for n in range(0, 40, 3)}
        refs = [f"m{n}" for n in range(40)]
        told = await (await self.peer(port)).submit(*refs)
        assert told == [f"refused {n}" if n % 3 == 0 else "taken" for n in range(40)]

    async def test_what_cannot_be_read_never_reaches_the_core(
        self, served: tuple[StubCore, Front, int]
    ) -> None:
        core, _, port = served
        assert await (await self.peer(port)).send_garbage() in ("failed", None)
        assert core.seen == []
        assert await (await self.peer(port)).submit("m1") == ["taken"]

    async def test_half_a_request_is_ended_and_never_reaches_the_core(
        self, served: tuple[StubCore, Front, int]
    ) -> None:
        core, _, port = served
        peer = await self.peer(port)
        await peer.send_partial_request()
        await soon(peer.wait_closed())
        assert core.seen == []

    async def test_over_its_bound_a_new_connection_is_served_and_an_old_one_goes(
        self, served: tuple[StubCore, Front, int]
    ) -> None:
        _, front, port = served
        for number in range(24):
            assert await (await self.peer(port)).submit(f"m{number}") == ["taken"]
            assert front.clients <= 8

    async def test_after_the_parting_nothing_is_taken_on(self, served: tuple[StubCore, Front, int]) -> None:
        core, front, port = served
        old = await self.peer(port)
        assert await old.submit("m1") == ["taken"]
        front.drain_clients()
        await soon(old.wait_closed())
        told = await (await self.peer(port)).submit("m2")
        assert told in (["refused 777"], [None])
        assert [handed.id for handed, _ in core.seen] == ["m1"]
        while front.clients:
            await asyncio.sleep(0.01)

    async def test_an_address_that_is_taken_is_an_error(self, served: tuple[StubCore, Front, int]) -> None:
        core, _, port = served
        with pytest.raises(OSError):
            await self.front(core, port, 8).start()
