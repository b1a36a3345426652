"""What every directory has to keep: order of versions, one end, nothing from what cannot be read."""

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
    """A source of endpoints in the directory's protocol."""

    address: Address

    def change(self, host: str, listing: Listing) -> None:
        """An endpoint is new or differs: a version of its own."""

    def repeat_old(self) -> None:
        """Tell a version that is older than the last, in which every endpoint is ready."""

    def garble(self) -> None:
        """Tell what cannot be read."""

    def lose(self) -> None:
        """Break what followers hold, and fail new ones until ``regain``."""

    def regain(self) -> None:
        """Serve again."""

    def stop(self) -> None:
        """Be gone."""


class ListLog:
    """What a directory told."""

    def __init__(self) -> None:
        self.lists: list[EndpointList] = []
        self.failures = 0
        self.changed = asyncio.Event()

    def on_list(self, news: EndpointList) -> None:
        """The core's callback for news."""
        self.lists.append(news)
        self.changed.set()

    def on_end(self) -> None:
        """The core's callback for the end of what was subscribed to."""
        self.failures += 1
        self.changed.set()

    async def until(self, enough: Callable[[], bool]) -> None:
        """Wait until what was told is enough."""
        while not enough():
            self.changed.clear()
            await soon(self.changed.wait())

    @property
    def view(self) -> dict[str, Listing]:
        """The list as the news adds up."""
        view: dict[str, Listing] = {}
        for news in self.lists:
            view = {} if news.full else view
            view |= {listed.entry.host: listed.entry.listing for listed in news.hosts}
        return view


class DirectoryContract:
    """Subclass, name it ``Test...`` and supply ``directory`` and ``peer``."""

    def directory(self, address: Address, news: ListLog) -> Directory:
        """The directory, which holds nothing yet."""
        raise NotImplementedError

    async def peer(self) -> DirectoryPeer:
        """A source with the one endpoint ``h1``, ready."""
        raise NotImplementedError

    @pytest.fixture
    async def rig(self):  # type: ignore[no-untyped-def]
        """A directory that has told the first list, its news and its peer."""
        news, peer = ListLog(), await self.peer()
        directory = self.directory(peer.address, news)
        directory.subscribe()
        await news.until(lambda: news.view == {"h1": Listing.READY})
        yield directory, news, peer
        directory.close()
        peer.stop()

    async def test_changes_are_told_in_the_order_of_versions(
        self, rig: tuple[Directory, ListLog, DirectoryPeer]
    ) -> None:
        _, news, peer = rig
        for number in range(2, 12):
            peer.change(f"h{number}", Listing.READY)
        peer.change("h1", Listing.DRAINING)
        await news.until(lambda: news.view.get("h1") is Listing.DRAINING)
        assert [told.seq for told in news.lists] == sorted(told.seq for told in news.lists)
        assert len(news.view) == 11

    async def test_an_old_version_undoes_no_drain(
        self, rig: tuple[Directory, ListLog, DirectoryPeer]
    ) -> None:
        _, news, peer = rig
        peer.change("h1", Listing.DRAINING)
        await news.until(lambda: news.view["h1"] is Listing.DRAINING)
        peer.repeat_old()
        peer.change("h2", Listing.READY)
        await news.until(lambda: "h2" in news.view)
        assert news.view["h1"] is Listing.DRAINING

    @pytest.mark.parametrize("how", ["lose", "garble"])
    async def test_its_end_is_told_once_and_it_begins_anew_only_when_asked_to(
        self, rig: tuple[Directory, ListLog, DirectoryPeer], how: str
    ) -> None:
        directory, news, peer = rig
        before = news.view
        getattr(peer, how)()
        await news.until(lambda: news.failures == 1)
        assert news.view == before
        peer.regain()
        peer.change("h2", Listing.READY)
        for _ in range(20):
            await asyncio.sleep(0)
        assert "h2" not in news.view
        directory.subscribe()
        await news.until(lambda: "h2" in news.view)
        assert news.failures == 1

    async def test_one_that_works_is_kept(self, rig: tuple[Directory, ListLog, DirectoryPeer]) -> None:
        directory, news, peer = rig
        told = len(news.lists)
        directory.subscribe()
        peer.change("h2", Listing.READY)
        await news.until(lambda: "h2" in news.view)
        assert len(news.lists) == told + 1
        assert news.failures == 0

    async def test_a_move_loses_no_change(self, rig: tuple[Directory, ListLog, DirectoryPeer]) -> None:
        directory, news, peer = rig
        other = await self.peer()
        for _ in range(3):
            other.change("h1", Listing.READY)
        other.change("h1", Listing.DRAINING)
        directory.change_address(other.address)
        await news.until(lambda: news.view["h1"] is Listing.DRAINING)
        peer.lose()
        other.change("h2", Listing.READY)
        await news.until(lambda: "h2" in news.view)
        assert news.failures == 0
        other.stop()

    async def test_after_close_nothing_is_told(self, rig: tuple[Directory, ListLog, DirectoryPeer]) -> None:
        directory, news, peer = rig
        directory.close()
        told = len(news.lists)
        peer.change("h2", Listing.READY)
        peer.lose()
        for _ in range(20):
            await asyncio.sleep(0)
        assert (len(news.lists), news.failures) == (told, 0)
