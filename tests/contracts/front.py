"""Contract of front ends, whatever protocol they serve."""

from __future__ import annotations

import asyncio
import time
from typing import Protocol

import pytest

from mallowlug.core.model import Accepted, Answer, Failed, Refused, Submission
from mallowlug.core.ports import Front
from tests.world import soon


class StubCore:
    """A core that gives preset answers by message id and records the submissions."""

    def __init__(self) -> None:
        self.answers: dict[str, Answer] = {}
        self.seen: list[tuple[Submission, bytes]] = []
        self.refusal = Refused(777)

    def clock(self) -> int:
        """Wall time in microseconds."""
        return time.time_ns() // 1000

    def submit(self, submission: Submission, body: bytes) -> Answer:
        """Return the answer preset for the id, else ``Accepted``."""
        self.seen.append((submission, body))
        return self.answers.get(submission.id, Accepted())


class FrontPeer(Protocol):
    """A client of the front's protocol; answers are in the port's terms, ``None`` for a close."""

    async def submit(self, *refs: str) -> list[str | None]:
        """Submit messages at once; for each returns ``taken``, ``refused MS``, ``failed`` or None."""

    async def send_garbage(self) -> str | None:
        """Send data that is no request of the protocol."""

    async def send_partial_request(self) -> None:
        """Send a request without its last byte."""

    async def wait_closed(self) -> None:
        """Wait until the front has closed."""


class FrontContract:
    """Subclass, name it ``Test...`` and supply ``front`` and ``peer``."""

    def front(self, core: StubCore, port: int, max_connections: int) -> Front:
        """The front on a loopback port, with a limit on connections."""
        raise NotImplementedError

    async def peer(self, port: int) -> FrontPeer:
        """Connect a client."""
        raise NotImplementedError

    @pytest.fixture
    async def env(self, unused_tcp_port: int):  # type: ignore[no-untyped-def]
        """A stub core, its started front, and the port."""
        core = StubCore()
        front = self.front(core, unused_tcp_port, 8)
        await front.start()
        yield core, front, unused_tcp_port
        front.close()

    async def test_each_answer_of_the_core_is_distinct(self, env: tuple[StubCore, Front, int]) -> None:
        core, _, port = env
        core.answers = {"m2": Refused(1234), "m3": Failed("no such class")}
        peer = await self.peer(port)
        answers = [await peer.submit(ref) for ref in ("m1", "m2", "m3")]
        assert answers == [["taken"], ["refused 1234"], ["failed"]]
        assert [submission.id for submission, _ in core.seen] == ["m1", "m2", "m3"]

    async def test_answers_come_in_the_order_of_the_requests(self, env: tuple[StubCore, Front, int]) -> None:
        core, _, port = env
        core.answers = {f"m{n}": Refused(n) for n in range(0, 40, 3)}
        refs = [f"m{n}" for n in range(40)]
        answers = await (await self.peer(port)).submit(*refs)
        assert answers == [f"refused {n}" if n % 3 == 0 else "taken" for n in range(40)]

    async def test_malformed_data_never_reaches_the_core(self, env: tuple[StubCore, Front, int]) -> None:
        core, _, port = env
        assert await (await self.peer(port)).send_garbage() in ("failed", None)
        assert core.seen == []
        assert await (await self.peer(port)).submit("m1") == ["taken"]

    async def test_a_partial_request_times_out_and_never_reaches_the_core(
        self, env: tuple[StubCore, Front, int]
    ) -> None:
        core, _, port = env
        peer = await self.peer(port)
        await peer.send_partial_request()
        await soon(peer.wait_closed())
        assert core.seen == []

    async def test_at_the_connection_limit_a_new_one_is_served_and_an_old_one_closed(
        self, env: tuple[StubCore, Front, int]
    ) -> None:
        _, front, port = env
        for number in range(24):
            assert await (await self.peer(port)).submit(f"m{number}") == ["taken"]
            assert front.clients <= 8

    async def test_nothing_is_accepted_after_draining_clients(self, env: tuple[StubCore, Front, int]) -> None:
        core, front, port = env
        old = await self.peer(port)
        assert await old.submit("m1") == ["taken"]
        front.drain_clients()
        await soon(old.wait_closed())
        answers = await (await self.peer(port)).submit("m2")
        assert answers in (["refused 777"], [None])
        assert [submission.id for submission, _ in core.seen] == ["m1"]
        while front.clients:
            await asyncio.sleep(0.01)

    async def test_an_address_in_use_is_an_error(self, env: tuple[StubCore, Front, int]) -> None:
        core, _, port = env
        with pytest.raises(OSError):
            await self.front(core, port, 8).start()
