"""Contract of partner transports: each part is settled once, and what its verdict proves."""

from __future__ import annotations

import asyncio
import time
from typing import Protocol

import pytest

from mallowlug.core.model import Address, Call, EndpointList, Part, PartOutcome, ResolvedEndpoint
from mallowlug.core.ports import Partners, PartSettled
from mossfront.interface import EndpointEntry, Kind, Listing, Verdict
from tests.world import soon

KIND = Kind("banks", separate_routes=True, batch_size=4)
LIMIT_US = 20_000_000


class PartnerPeer(Protocol):
    """An endpoint that speaks the transport's protocol and answers by script."""

    address: Address

    def script_replies(self, *replies: str) -> None:
        """Set the replies to the next calls: ``delivered``, ``refused``, ``wait`` (refused for 60 s),
        ``error``, ``silent``, ``reset`` or ``partly`` (delivered, refused in turn); then ``delivered``."""

    @property
    def calls(self) -> list[list[str]]:
        """The message ids of every completely received call."""

    async def wait_for_calls(self, number: int) -> None:
        """Wait until that many calls were received."""

    def stop(self) -> None:
        """Refuse new connections and break the open ones."""


class OutcomeLog:
    """The outcomes that a transport settled."""

    def __init__(self) -> None:
        self.outcomes: list[tuple[str, PartOutcome]] = []
        self.changed = asyncio.Event()

    def settled(self, _call: Call, part: Part, outcome: PartOutcome) -> None:
        """The core's callback."""
        self.outcomes.append((part.id, outcome))
        self.changed.set()

    def of_message(self, ref: str) -> list[PartOutcome]:
        """All outcomes of a message."""
        return [outcome for message_id, outcome in self.outcomes if message_id == ref]

    async def first_of_message(self, ref: str) -> PartOutcome:
        """Wait for the first outcome of a message."""
        while not self.of_message(ref):
            self.changed.clear()
            await soon(self.changed.wait())
        return self.of_message(ref)[0]


class PartnersContract:
    """Subclass, name it ``Test...`` and supply ``partners`` and ``peer``."""

    def partners(self, settled: PartSettled) -> Partners:
        """The transport, with ``KIND`` as the one kind."""
        raise NotImplementedError

    async def peer(self) -> PartnerPeer:
        """An endpoint that is up."""
        raise NotImplementedError

    @pytest.fixture
    async def env(self):  # type: ignore[no-untyped-def]
        """The transport, the log of outcomes and one listed endpoint ``h1``."""
        log, peer = OutcomeLog(), await self.peer()
        partners = self.partners(log.settled)
        listed(partners, peer.address)
        yield partners, log, peer
        partners.close()
        peer.stop()

    @pytest.mark.parametrize(
        ("reply", "verdict", "complete"),
        [
            ("delivered", Verdict.OK, True),
            ("refused", Verdict.FULL, False),
            ("error", Verdict.ERROR, False),
            ("reset", Verdict.RESET, False),
        ],
    )
    async def test_each_response_proves_its_verdict(
        self, env: tuple[Partners, OutcomeLog, PartnerPeer], reply: str, verdict: Verdict, complete: bool
    ) -> None:
        partners, log, peer = env
        peer.script_replies(reply)
        partners.send(call("m1"))
        outcome = await log.first_of_message("m1")
        assert (outcome.verdict, outcome.complete) == (verdict, complete)
        assert peer.calls == [["m1"]]

    async def test_each_part_of_a_call_has_its_own_outcome(
        self, env: tuple[Partners, OutcomeLog, PartnerPeer]
    ) -> None:
        partners, log, peer = env
        peer.script_replies("partly")
        partners.send(call("m1", "m2", "m3"))
        verdicts = [(await log.first_of_message(ref)).verdict for ref in ("m1", "m2", "m3")]
        assert verdicts == [Verdict.OK, Verdict.FULL, Verdict.OK]
        assert partners.batch_size("h1") == 4

    async def test_a_refused_connection_never_ran(
        self, env: tuple[Partners, OutcomeLog, PartnerPeer]
    ) -> None:
        partners, log, peer = env
        peer.stop()
        partners.send(call("m1"))
        assert (await log.first_of_message("m1")).verdict is Verdict.CONNECT_FAILED

    async def test_silence_ends_at_the_parts_time_limit_and_may_have_run(
        self, env: tuple[Partners, OutcomeLog, PartnerPeer]
    ) -> None:
        partners, log, peer = env
        peer.script_replies("silent")
        sent = call("m1")
        sent.parts[0].timeout_us = 300_000
        partners.send(sent)
        assert (await log.first_of_message("m1")).verdict is Verdict.TIMEOUT
        assert not (await log.first_of_message("m1")).verdict.never_ran

    async def test_a_part_is_settled_by_the_first_cancel_only(
        self, env: tuple[Partners, OutcomeLog, PartnerPeer]
    ) -> None:
        partners, log, peer = env
        peer.script_replies("silent")
        partners.send(call("m1"))
        await peer.wait_for_calls(1)
        for _ in range(3):
            partners.cancel("m1", 0)
        partners.cancel("nobody", 0)
        assert [outcome.verdict for outcome in log.of_message("m1")] == [Verdict.CANCELLED]
        partners.send(call("m2"))
        await log.first_of_message("m2")
        assert len(log.of_message("m1")) == 1
        assert len(log.outcomes) == 2

    async def test_a_retry_after_wait_applies_from_its_response_on(
        self, env: tuple[Partners, OutcomeLog, PartnerPeer]
    ) -> None:
        partners, log, peer = env
        peer.script_replies("wait")
        partners.send(call("m1"))
        first = await log.first_of_message("m1")
        assert first.verdict is Verdict.FULL
        assert first.retry_after_us == 60_000_000
        partners.send(call("m2"))
        later = await log.first_of_message("m2")
        assert later.verdict is Verdict.NOT_SENT
        assert 0 < later.retry_after_us <= 60_000_000
        assert peer.calls == [["m1"]]

    @pytest.mark.parametrize("listing", [Listing.DRAINING, Listing.GONE])
    async def test_a_list_applies_to_calls_that_were_decided_before(
        self, env: tuple[Partners, OutcomeLog, PartnerPeer], listing: Listing
    ) -> None:
        partners, log, peer = env
        partners.send(call("m1"))
        listed(partners, peer.address, listing)
        assert (await log.first_of_message("m1")).verdict.never_ran
        assert peer.calls == []

    async def test_a_call_to_an_unlisted_host_never_ran(
        self, env: tuple[Partners, OutcomeLog, PartnerPeer]
    ) -> None:
        partners, log, _ = env
        partners.send(Call("h9", [Part("m1", 0, "", b"x", LIMIT_US)], time.monotonic()))
        assert (await log.first_of_message("m1")).verdict.never_ran
        assert partners.zone_of("h9") == ""

    async def test_close_settles_nothing(self, env: tuple[Partners, OutcomeLog, PartnerPeer]) -> None:
        partners, log, peer = env
        peer.script_replies("silent")
        partners.send(call("m1"))
        await peer.wait_for_calls(1)
        assert partners.busy
        partners.close()
        while partners.busy:
            await asyncio.sleep(0.01)
        assert log.outcomes == []


def call(*refs: str) -> Call:
    """Make a call to ``h1``."""
    return Call("h1", [Part(ref, 0, f"key-{ref}", b"x", LIMIT_US) for ref in refs], time.monotonic())


def listed(partners: Partners, address: Address, listing: Listing = Listing.READY) -> None:
    """List the endpoint ``h1``."""
    partners.apply(
        EndpointList(1, False, (ResolvedEndpoint(EndpointEntry("h1", 1, "a", "banks", listing), address),))
    )
