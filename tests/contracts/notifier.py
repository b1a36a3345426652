"""Contract of notifiers: a notice is pending until it is confirmed, and confirmed once."""

from __future__ import annotations

import asyncio
from typing import Protocol

import pytest

from mallowlug.core.model import Address, Notice
from mallowlug.core.ports import Notifier
from tests.world import soon

REPEAT_S = 0.1


class NotifierPeer(Protocol):
    """The platform, in the notifier's protocol."""

    address: Address

    def script_replies(self, *replies: str) -> None:
        """Set the replies to the next posts: ``confirm``, ``fail``, ``reset``, ``hang``; then ``confirm``.

        ``repeat`` confirms, and does so again after ``REPEAT_S`` on the same connection.
        """

    @property
    def received(self) -> list[tuple[str, str, int]]:
        """Every notice received, as message id, result and wait in ms."""

    async def wait_for_calls(self, number: int) -> None:
        """Wait until that many posts were received."""

    def stop(self) -> None:
        """Stop the platform."""


class Confirmed:
    """The ids of confirmed notices, in order."""

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
    """Subclass, name it ``Test...`` and supply ``notifier`` and ``peer``."""

    def notifier(self, address: Address, confirmed: Confirmed) -> Notifier:
        """The port's implementation, not started."""
        raise NotImplementedError

    async def peer(self) -> NotifierPeer:
        """A platform that is up."""
        raise NotImplementedError

    @pytest.fixture
    async def env(self):  # type: ignore[no-untyped-def]
        """A started notifier, the confirmed ids, and the platform."""
        confirmed, peer = Confirmed(), await self.peer()
        notifier = self.notifier(peer.address, confirmed)
        notifier.start()
        yield notifier, confirmed, peer
        notifier.close()
        peer.stop()

    async def test_a_notice_is_sent_unchanged(self, env: tuple[Notifier, Confirmed, NotifierPeer]) -> None:
        notifier, confirmed, peer = env
        notifier.send(Notice("m1", "dead"))
        notifier.send(Notice("m2", "bounced", 1500))
        await confirmed.all("m1", "m2")
        assert sorted(peer.received) == [("m1", "dead", 0), ("m2", "bounced", 1500)]
        assert notifier.unconfirmed == 0

    @pytest.mark.parametrize("how", ["fail", "reset", "hang"])
    async def test_a_notice_is_pending_until_it_is_confirmed_once(
        self, env: tuple[Notifier, Confirmed, NotifierPeer], how: str
    ) -> None:
        notifier, confirmed, peer = env
        peer.script_replies(how, how)
        notifier.send(Notice("m1", "dead"))
        await peer.wait_for_calls(2)
        assert (notifier.unconfirmed, confirmed.refs) == (1, [])
        await confirmed.all("m1")
        assert (notifier.unconfirmed, confirmed.refs) == (0, ["m1"])
        assert set(peer.received) == {("m1", "dead", 0)}

    async def test_a_post_that_hangs_delays_no_other(
        self, env: tuple[Notifier, Confirmed, NotifierPeer]
    ) -> None:
        notifier, confirmed, peer = env
        peer.script_replies("hang")
        notifier.send(Notice("m1", "dead"))
        await peer.wait_for_calls(1)
        notifier.send(Notice("m2", "dead"))
        await confirmed.all("m2")
        await confirmed.all("m1")
        assert sorted(confirmed.refs) == ["m1", "m2"]

    async def test_a_repeated_confirmation_confirms_no_other_notice(
        self, env: tuple[Notifier, Confirmed, NotifierPeer]
    ) -> None:
        """More notices than a notifier has connections, the last of them in a post that hangs."""
        notifier, confirmed, peer = env
        refs = [f"m{number}" for number in range(8)]
        peer.script_replies(*["repeat"] * len(refs), "hang")
        for ref in refs:
            notifier.send(Notice(ref, "dead"))
            await confirmed.all(ref)
        notifier.send(Notice("last", "dead"))
        await confirmed.all("last")
        assert peer.received.count(("last", "dead", 0)) == 2

    async def test_pending_notices_follow_an_address_change(
        self, env: tuple[Notifier, Confirmed, NotifierPeer]
    ) -> None:
        notifier, confirmed, peer = env
        peer.script_replies(*["fail"] * 1000)
        notifier.send(Notice("m1", "dead"))
        await peer.wait_for_calls(1)
        other = await self.peer()
        notifier.change_address(other.address)
        await confirmed.all("m1")
        assert other.received == [("m1", "dead", 0)]
        other.stop()

    async def test_after_close_nothing_is_confirmed(
        self, env: tuple[Notifier, Confirmed, NotifierPeer]
    ) -> None:
        notifier, confirmed, peer = env
        peer.script_replies(*["hang"] * 10)
        notifier.send(Notice("m1", "dead"))
        await peer.wait_for_calls(1)
        notifier.close()
        for _ in range(20):
            await asyncio.sleep(0)
        assert (notifier.unconfirmed, confirmed.refs) == (1, [])
