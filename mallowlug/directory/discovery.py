"""Client of discovery, the platform's list of hosts, which it follows by a watch."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterator
from typing import Any

import msgspec

from mallowlug.core.model import Address, EndpointList, ResolvedEndpoint
from mallowlug.net.http import CONNECTION_ERRORS, Connection
from mallowlug.system import System
from mossfront.interface import EndpointEntry, Listing

LOG = logging.getLogger(__name__)
HOSTS_PATH = "/discovery/hosts"
FIRST_LINE_TIMEOUT_S = 2.5  # to the first line of a watch; the server ends a call that waits too long
# Silence after which a watch counts as broken, as by a network partition: an empty line is due every 2 s.
SILENCE_TIMEOUT_S = 2.5
LIST_TIMEOUT_S = 3.0  # from a list's first byte to its last: an endless list says no more than silence
SLICE_HOSTS = 500  # hosts of a list parsed before clients are served
TRUNCATED = "truncated"  # in msgspec's error for an incomplete JSON value
LISTINGS_BY_HEALTH = {"SERVING": Listing.READY, "DRAINING": Listing.DRAINING, "DELETED": Listing.GONE}


def parse_host(raw: Any) -> ResolvedEndpoint | None:
    """Parse a host entry; return None for an invalid one, so that the other hosts of the list still apply."""
    try:
        address, _, port = str(raw["dial"]).rpartition(":")
        entry = EndpointEntry(
            host=str(raw["host"]),
            dest=int(raw["block"]),
            zone=str(raw.get("site", "")),
            kind=str(raw.get("class", "")),
            listing=LISTINGS_BY_HEALTH[raw["health"]],
            rate_hint=float(raw.get("share", 1.0)),
        )
        if not address or not 0 < int(port) < 65536:
            raise ValueError(f"invalid address: {raw['dial']!r}")
        return ResolvedEndpoint(entry, (address, int(port)))
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        LOG.warning("discovery: invalid host entry skipped: %r", error)
        return None


def parse_in_slices(raw: Any) -> Iterator[EndpointList]:
    """Parse a list from discovery in slices; raise ``ValueError`` if it is invalid.

    Yields an empty placeholder after each slice but the last, and then the complete list.
    """
    try:
        seq, whole, items = int(raw["seq"]), bool(raw["whole"]), list(raw["hosts"])
    except (KeyError, TypeError) as error:
        raise ValueError(f"invalid host list: {error!r}") from None
    hosts: list[ResolvedEndpoint] = []
    for start in range(0, max(1, len(items)), SLICE_HOSTS):
        if start:
            yield EndpointList(seq, whole, ())
        hosts += filter(None, map(parse_host, items[start : start + SLICE_HOSTS]))
    yield EndpointList(seq, whole, tuple(hosts))


def parse_list(raw: Any) -> EndpointList:
    """Parse a list from discovery; raise ``ValueError`` if it is invalid."""
    *_, whole = parse_in_slices(raw)
    return whole


class DirectoryWatch:
    """Follows the host list by one watch at a time.

    The end of a watch is reported once, by ``on_end``; a new one starts only on ``subscribe``.
    """

    def __init__(
        self,
        address: Address,
        seq: int,
        on_list: Callable[[EndpointList], None],
        on_end: Callable[[], None],
        system: System,
        *,
        max_line_bytes: int,
        response_timeout_s: float = FIRST_LINE_TIMEOUT_S,
    ) -> None:
        self._max_line_bytes = max_line_bytes  # a complete list may be a single line
        self._response_timeout_s = response_timeout_s  # for the head of the response
        self._address, self._seq, self._on_list, self._on_end = address, seq, on_list, on_end
        self._system = system
        self._task: asyncio.Task[None] | None = None
        # The watch at the previous address, kept until the new one delivers.
        self._previous_task: asyncio.Task[None] | None = None
        self._established = False  # whether the current watch has delivered a list and is open

    def subscribe(self) -> None:
        """Start a watch; an established one is kept, and one that never delivered is replaced."""
        if self._task is not None and not self._task.done():
            if self._established:
                return
            self._task.cancel()
        self._start()

    def change_address(self, address: Address) -> None:
        """Watch at another address from the current version on, so that no change is lost.

        The old watch continues until the new one has delivered, as the new address may not be up yet.
        """
        if address == self._address:
            return
        self._address = address
        self._cancel(self._previous_task)
        if not self._established:  # a watch that never delivered is not kept
            self._cancel(self._task)
        self._previous_task = self._task
        self._start()

    def _start(self) -> None:
        self._established = False
        self._task = asyncio.create_task(self._run(self._address))

    @staticmethod
    def _cancel(task: asyncio.Task[None] | None) -> None:
        if task is not None:
            task.cancel()

    def close(self) -> None:
        """Stop watching."""
        self._cancel(self._task)
        self._cancel(self._previous_task)

    async def _run(self, address: Address) -> None:
        connection: Connection | None = None
        try:
            async with asyncio.timeout(self._response_timeout_s):
                connection = await Connection.open(address, self._system)
                target = f"{HOSTS_PATH}?watch=1&from={self._seq}"
                await connection.send(connection.request("GET", target, []))
                response = await connection.read_head()
            if response.status != 200:
                raise ConnectionError(f"status {response.status}")
            await self._follow_lines(connection)
        except (*CONNECTION_ERRORS, TimeoutError, ValueError) as error:
            LOG.info("discovery: watch at %s:%d ended: %r", *address, error)
        except Exception:
            LOG.exception("discovery: unexpected error in a watch")
        finally:
            if connection is not None:
                connection.close()
        if asyncio.current_task() is self._task:  # the end of a replaced watch is not reported
            self._established = False
            self._on_end()

    async def _follow_lines(self, connection: Connection) -> None:
        """Deliver each list in order until the watch ends, is silent for too long or sends invalid data."""
        line_bytes, list_bytes, silence_timeout_s, list_started_s = (
            bytearray(),
            bytearray(),
            FIRST_LINE_TIMEOUT_S,
            -1.0,
        )
        now_s = asyncio.get_running_loop().time
        while True:
            try:
                async with asyncio.timeout(silence_timeout_s):
                    data = await connection.read_body_part()
            except TimeoutError:
                if connection.no_unsolicited_data():
                    raise
                continue  # this process was paused, not the server, whose data is in the kernel
            *complete, rest = data.split(b"\n")
            for fragment in complete:
                line_bytes += fragment
                if line_bytes.strip():
                    list_bytes += line_bytes + b"\n"
                    # An indented list is decoded only at a line that can end it: one that closes an object.
                    single_line, news = len(list_bytes) == len(line_bytes) + 1, None
                    if single_line or line_bytes.rstrip().endswith(b"}"):
                        news = await self._parse(bytes(list_bytes))
                    if news is not None:
                        silence_timeout_s = SILENCE_TIMEOUT_S
                        self._deliver(news)
                        list_bytes.clear()
                elif list_bytes:  # empty lines (heartbeats) come between lists, never within one
                    raise ValueError("list truncated by an empty line")
                line_bytes.clear()
            line_bytes += rest
            if not (line_bytes or list_bytes):
                list_started_s = -1.0
            elif list_started_s < 0:
                list_started_s = now_s()
            if len(line_bytes) + len(list_bytes) > self._max_line_bytes or (
                list_started_s >= 0 and now_s() > list_started_s + LIST_TIMEOUT_S
            ):
                raise ValueError("list too long, or not complete in time")

    @staticmethod
    async def _parse(text: bytes) -> EndpointList | None:
        """Parse a list; return None if it is incomplete, and raise ``ValueError`` if it is invalid.

        A long list is parsed in slices, so that clients are served in between.
        """
        try:
            raw = msgspec.json.decode(text)
        except msgspec.MsgspecError as error:
            if TRUNCATED in str(error):
                return None
            raise ValueError(f"invalid JSON: {error}") from error
        parsed_slices = parse_in_slices(raw)
        news = next(parsed_slices)
        for later in parsed_slices:
            news = later
            await asyncio.sleep(0)
        return news

    def _deliver(self, news: EndpointList) -> None:
        if asyncio.current_task() is self._task:
            self._established = True
            self._cancel(self._previous_task)
            self._previous_task = None
        if news.seq < self._seq:  # older than the current one: applying it could undo a drain
            LOG.warning("discovery: list version %d ignored, version %d is current", news.seq, self._seq)
            news = EndpointList(self._seq, False, ())
        self._seq = news.seq
        self._on_list(news)
