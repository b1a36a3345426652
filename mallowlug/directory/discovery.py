"""Discovery, the platform's list of hosts: one watch at a time."""

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
FIRST_LINE_TIMEOUT_S = (
    2.5  # s for the first line of a watch; a call that waits too long is ended by the other side
)
SILENCE_TIMEOUT_S = (
    2.5  # s of silence that break a watch: a cut network is silent, and an empty line is due every 2 s
)
LIST_TIMEOUT_S = 3.0  # s from a list's first byte to its last: one without end tells nothing, as silence does
SLICE_HOSTS = 500  # hosts of a line that are read before clients have their turn
TRUNCATED = "truncated"  # in msgspec's word for what is no whole value yet
LISTINGS_BY_HEALTH = {"SERVING": Listing.READY, "DRAINING": Listing.DRAINING, "DELETED": Listing.GONE}


def parse_host(raw: Any) -> ResolvedEndpoint | None:
    """One host; one that cannot be read is left out, for the others' sake."""
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
            raise ValueError(f"no address: {raw['dial']!r}")
        return ResolvedEndpoint(entry, (address, int(port)))
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        LOG.warning("discovery: a host that cannot be read was left out: %r", error)
        return None


def parse_in_slices(raw: Any) -> Iterator[EndpointList]:
    """A list in discovery's form, as far as it is read, then whole; ``ValueError`` where it is none."""
    try:
        seq, whole, items = int(raw["seq"]), bool(raw["whole"]), list(raw["hosts"])
    except (KeyError, TypeError) as error:
        raise ValueError(f"not a list of hosts: {error!r}") from None
    hosts: list[ResolvedEndpoint] = []
    for start in range(0, max(1, len(items)), SLICE_HOSTS):
        if start:
            yield EndpointList(seq, whole, ())
        hosts += filter(None, map(parse_host, items[start : start + SLICE_HOSTS]))
    yield EndpointList(seq, whole, tuple(hosts))


def parse_list(raw: Any) -> EndpointList:
    """A list in discovery's form; ``ValueError`` where it is none."""
    *_, whole = parse_in_slices(raw)
    return whole


class DirectoryWatch:
    """One watch on the list at a time; it tells its end once and comes back only when asked to."""

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
        self._max_line_bytes = max_line_bytes  # bytes: a whole list comes in one line
        self._response_timeout_s = response_timeout_s  # s until the answer's head
        self._address, self._seq, self._on_list, self._on_end = address, seq, on_list, on_end
        self._system = system
        self._task: asyncio.Task[None] | None = None
        self._previous_task: asyncio.Task[None] | None = (
            None  # at the address before, until the new one speaks
        )
        self._established = False  # whether the present watch has spoken and lasts

    def subscribe(self) -> None:
        """Start a watch; one that never answered is given up for it, one that works is kept."""
        if self._task is not None and not self._task.done():
            if self._established:
                return
            self._task.cancel()
        self._start()

    def change_address(self, address: Address) -> None:
        """Watch at another address from the version that is held, so that no change is lost.

        The old watch tells on until the new one has spoken: the new address may not be up yet.
        """
        if address == self._address:
            return
        self._address = address
        self._cancel(self._previous_task)
        if not self._established:  # it never spoke, and will not be waited for
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
            LOG.exception("discovery: watch broke")
        finally:
            if connection is not None:
                connection.close()
        if asyncio.current_task() is self._task:  # the end of a watch that was left is no news
            self._established = False
            self._on_end()

    async def _follow_lines(self, connection: Connection) -> None:
        """Tell each line in order until the watch ends, falls silent or makes no sense."""
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
                continue  # this process stood still, not the other side: what it said meanwhile is here
            *complete, rest = data.split(b"\n")
            for fragment in complete:
                line_bytes += fragment
                if line_bytes.strip():
                    list_bytes += line_bytes + b"\n"
                    # Of an indented list not every line need be looked at: the last one ends an object.
                    single_line, news = len(list_bytes) == len(line_bytes) + 1, None
                    if single_line or line_bytes.rstrip().endswith(b"}"):
                        news = await self._parse(bytes(list_bytes))
                    if news is not None:
                        silence_timeout_s = SILENCE_TIMEOUT_S
                        self._deliver(news)
                        list_bytes.clear()
                elif list_bytes:  # an empty line is due between lists, and never stands within one
                    raise ValueError("a list cut short")
                line_bytes.clear()
            line_bytes += rest
            if not (line_bytes or list_bytes):
                list_started_s = -1.0
            elif list_started_s < 0:
                list_started_s = now_s()
            if len(line_bytes) + len(list_bytes) > self._max_line_bytes or (
                list_started_s >= 0 and now_s() > list_started_s + LIST_TIMEOUT_S
            ):
                raise ValueError("a list without end")

    @staticmethod
    async def _parse(text: bytes) -> EndpointList | None:
        """A list's news, None where more of it has to come; a long one is read in slices, so that no client
        waits for it.
        """
        try:
            raw = msgspec.json.decode(text)
        except msgspec.MsgspecError as error:
            if TRUNCATED in str(error):
                return None
            raise ValueError(f"not JSON: {error}") from error
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
        if news.seq < self._seq:  # older than what is held: applied, it would undo a drain
            LOG.warning("discovery: version %d after %d left out", news.seq, self._seq)
            news = EndpointList(self._seq, False, ())
        self._seq = news.seq
        self._on_list(news)
