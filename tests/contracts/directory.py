"""Contract of directories: versions in order, one end per subscription, invalid data changes nothing."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

import pytest

from mallowlug.core.model import Address, EndpointList
from mallowlug.core.ports import Directory
from mossfront.interface import Listing
from tests.world import soon


class DirectoryPeer(Protocol):
    """A source of endpoint lists that speaks the directory's protocol."""

    address: Address

    def change(self, host: str, listing: Listing) -> None:
        """Add or change an endpoint, as a new version of the list."""

    def repeat_old(self) -> None:
        """Send a version that is older than the last, in which every endpoint is ready."""

    def garble(self) -> None:
        """Send invalid data."""

    def lose(self) -> None:
        """Break open subscriptions, and fail new ones until ``regain``."""

    def regain(self) -> None:
        """Serve again."""

    def stop(self) -> None:
        """Stop the source."""


class ListLog:
    """The lists that a directory delivered."""

    def __init__(self) -> None:
        self.lists: list[EndpointList] = []
        self.failures = 0
        self.changed = asyncio.Event()

    def on_list(self, update: EndpointList) -> None:
        """The core's callback for a list."""
        self.lists.append(update)
        self.changed.set()

    def on_end(self) -> None:
        """The core's callback for the end of a subscription."""
        self.failures += 1
        self.changed.set()

    async def until(self, enough: Callable[[], bool]) -> None:
        """Wait until the condition holds for the lists delivered."""
        while not enough():
            self.changed.clear()
            await soon(self.changed.wait())

    @property
    def view(self) -> dict[str, Listing]:
        """Listings by host after all updates."""
        view: dict[str, Listing] = {}
        for update in self.lists:
            view = {} if update.full else view
            view |= {listed.entry.host: listed.entry.listing for listed in update.hosts}
        return view


class DirectoryContract:
    """Subclass, name it ``Test...`` and supply ``directory`` and ``peer``."""

    def directory(self, address: Address, log: ListLog) -> Directory:
        """The directory, before any list."""
        raise NotImplementedError

    async def peer(self) -> DirectoryPeer:
        """A source with the one endpoint ``h1``, ready."""
        raise NotImplementedError

    @pytest.fixture
    async def env(self):  # type: ignore[no-untyped-def]
        """A directory that has delivered the first list, the log of its lists and its peer."""
        log, peer = ListLog(), await self.peer()
        directory = self.directory(peer.address, log)
        directory.subscribe()
        await log.until(lambda: log.view == {"h1": Listing.READY})
        yield directory, log, peer
        directory.close()
        peer.stop()

    async def test_changes_are_delivered_in_version_order(
        self, env: tuple[Directory, ListLog, DirectoryPeer]
    ) -> None:
        _, log, peer = env
        for number in range(2, 12):
            peer.change(f"h{number}", Listing.READY)
        peer.change("h1", Listing.DRAINING)
        await log.until(lambda: log.view.get("h1") is Listing.DRAINING)
        assert [update.seq for update in log.lists] == sorted(update.seq for update in log.lists)
        assert len(log.view) == 11

    async def test_an_older_version_does_not_undo_a_drain(
        self, env: tuple[Directory, ListLog, DirectoryPeer]
    ) -> None:
        _, log, peer = env
        peer.change("h1", Listing.DRAINING)
        await log.until(lambda: log.view["h1"] is Listing.DRAINING)
        peer.repeat_old()
        peer.change("h2", Listing.READY)
        await log.until(lambda: "h2" in log.view)
        assert log.view["h1"] is Listing.DRAINING

    @pytest.mark.parametrize("how", ["lose", "garble"])
    async def test_the_end_is_reported_once_and_it_restarts_only_on_subscribe(
        self, env: tuple[Directory, ListLog, DirectoryPeer], how: str
    ) -> None:
        directory, log, peer = env
        before = log.view
        getattr(peer, how)()
        await log.until(lambda: log.failures == 1)
        assert log.view == before
        peer.regain()
        peer.change("h2", Listing.READY)
        for _ in range(20):
            await asyncio.sleep(0)
        assert "h2" not in log.view
        directory.subscribe()
        await log.until(lambda: "h2" in log.view)
        assert log.failures == 1

    async def test_an_established_subscription_is_kept(
        self, env: tuple[Directory, ListLog, DirectoryPeer]
    ) -> None:
        directory, log, peer = env
        list_count = len(log.lists)
        directory.subscribe()
        peer.change("h2", Listing.READY)
        await log.until(lambda: "h2" in log.view)
        assert len(log.lists) == list_count + 1
        assert log.failures == 0

    async def test_an_address_change_loses_no_update(
        self, env: tuple[Directory, ListLog, DirectoryPeer]
    ) -> None:
        directory, log, peer = env
        other = await self.peer()
        for _ in range(3):
            other.change("h1", Listing.READY)
        other.change("h1", Listing.DRAINING)
        directory.change_address(other.address)
        await log.until(lambda: log.view["h1"] is Listing.DRAINING)
        peer.lose()
        other.change("h2", Listing.READY)
        await log.until(lambda: "h2" in log.view)
        assert log.failures == 0
        other.stop()

    async def test_nothing_is_delivered_after_close(
        self, env: tuple[Directory, ListLog, DirectoryPeer]
    ) -> None:
        directory, log, peer = env
        directory.close()
        list_count = len(log.lists)
        peer.change("h2", Listing.READY)
        peer.lose()
        for _ in range(20):
            await asyncio.sleep(0)
        assert (len(log.lists), log.failures) == (list_count, 0)
