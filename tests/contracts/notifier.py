"""What every way of telling ends has to keep: owed until confirmed, confirmed once."""

from __future__ import annotations

import asyncio
from typing import Protocol

import pytest

from mallowlug.core.model import Address, Notice
from mallowlug.core.ports import Notifier
from tests.world import soon


class NotifierPeer(Protocol):
    """The platform in the protocol of the ends."""

    address: Address

    def script_replies(self, *replies: str) -> None:
        """How the next deliveries fare: ``confirm``, ``fail``, ``reset``, ``hang``; then ``confirm``."""

    @property
    def received(self) -> list[tuple[str, str, int]]:
        """Every end that came, as reference, result and wait in ms."""

    async def wait_for_calls(self, number: int) -> None:
        """Wait until so many deliveries have come."""

    def stop(self) -> None:
        """Be gone."""


class Confirmed:
    """What was confirmed, in order."""

    def __init__(self) -> None:
        self.refs: list[str] = []
        self.changed = asyncio.Event()

    def __call__(self, ref: str) -> None:
        """The core's callback."""
        self.refs.append(ref)
        self.changed.set()

    async def all(self, *refs: str) -> None:
        """Wait until all of them are confirmed."""
        while not set(refs) <= set(self.refs):
            self.changed.clear()
            await soon(self.changed.wait())


class NotifierContract:
    """Subclass, name it ``Test...`` and supply ``ends`` and ``peer``."""

    def notifier(self, address: Address, confirmed: Confirmed) -> Notifier:
        """The port's implementation, not started."""
        raise NotImplementedError

    async def peer(self) -> NotifierPeer:
        """A platform that is up."""
        raise NotImplementedError

    @pytest.fixture
    async def rig(self):  # type: ignore[no-untyped-def]
        """Ends that were started, what was confirmed, and the platform."""
        confirmed, peer = Confirmed(), await self.peer()
        ends = self.notifier(peer.address, confirmed)
        ends.start()
        yield ends, confirmed, peer
        ends.close()
        peer.stop()

    async def test_an_end_is_told_as_it_is(self, rig: tuple[Notifier, Confirmed, NotifierPeer]) -> None:
        ends, confirmed, peer = rig
        ends.send(Notice("m1", "dead"))
        ends.send(Notice("m2", "bounced", 1500))
        await confirmed.all("m1", "m2")
        assert sorted(peer.received) == [("m1", "dead", 0), ("m2", "bounced", 1500)]
        assert ends.unconfirmed == 0

    @pytest.mark.parametrize("how", ["fail", "reset", "hang"])
    async def test_it_is_owed_until_it_is_confirmed_and_confirmed_once(
        self, rig: tuple[Notifier, Confirmed, NotifierPeer], how: str
    ) -> None:
        ends, confirmed, peer = rig
        peer.script_replies(how, how)
        ends.send(Notice("m1", "dead"))
        await peer.wait_for_calls(2)
        assert (ends.unconfirmed, confirmed.refs) == (1, [])
        await confirmed.all("m1")
        assert (ends.unconfirmed, confirmed.refs) == (0, ["m1"])
        assert set(peer.received) == {("m1", "dead", 0)}

    async def test_a_delivery_that_hangs_holds_up_no_other(
        self, rig: tuple[Notifier, Confirmed, NotifierPeer]
    ) -> None:
        ends, confirmed, peer = rig
        peer.script_replies("hang")
        ends.send(Notice("m1", "dead"))
        await peer.wait_for_calls(1)
        ends.send(Notice("m2", "dead"))
        await confirmed.all("m2")
        await confirmed.all("m1")
        assert sorted(confirmed.refs) == ["m1", "m2"]

    async def test_what_is_owed_moves_with_the_address(
        self, rig: tuple[Notifier, Confirmed, NotifierPeer]
    ) -> None:
        ends, confirmed, peer = rig
        peer.script_replies(*["fail"] * 1000)
        ends.send(Notice("m1", "dead"))
        await peer.wait_for_calls(1)
        other = await self.peer()
        ends.change_address(other.address)
        await confirmed.all("m1")
        assert other.received == [("m1", "dead", 0)]
        other.stop()

    async def test_after_close_nothing_is_confirmed(
        self, rig: tuple[Notifier, Confirmed, NotifierPeer]
    ) -> None:
        ends, confirmed, peer = rig
        peer.script_replies(*["hang"] * 10)
        ends.send(Notice("m1", "dead"))
        await peer.wait_for_calls(1)
        ends.close()
        for _ in range(20):
            await asyncio.sleep(0)
        assert (ends.unconfirmed, confirmed.refs) == (1, [])
