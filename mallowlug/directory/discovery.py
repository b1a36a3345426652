"""Discovery, the platform's list of hosts: one watch at a time."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterator
from typing import Any

import msgspec

from mallowlug.core.model import Address, EndpointList, ResolvedEndpoint
from mallowlug.net.http import FAULTS, Connection
from mallowlug.system import System
from mossfront.interface import EndpointEntry, Listing

LOG = logging.getLogger(__name__)
HOSTS = "/discovery/hosts"
FIRST_S = 2.5  # s for the first line of a watch; a call that waits too long is ended by the other side
QUIET_S = 2.5  # s of silence that break a watch: a cut network is silent, and an empty line is due every 2 s
LINE_S = 3.0  # s from a list's first byte to its last: one without end tells nothing, as silence does
SLICE = 500  # hosts of a line that are read before clients have their turn
CUT = "truncated"  # in msgspec's word for what is no whole value yet
STATES = {"SERVING": Listing.READY, "DRAINING": Listing.DRAINING, "DELETED": Listing.GONE}


def read_host(raw: Any) -> ResolvedEndpoint | None:
    """One host; one that cannot be read is left out, for the others' sake."""
    try:
        address, _, port = str(raw["dial"]).rpartition(":")
        entry = EndpointEntry(
            host=str(raw["host"]),
            dest=int(raw["block"]),
            zone=str(raw.get("site", "")),
            kind=str(raw.get("class", "")),
            listing=STATES[raw["health"]],
            rate_hint=float(raw.get("share", 1.0)),
        )
        if not address or not 0 < int(port) < 65536:
            raise ValueError(f"no address: {raw['dial']!r}")
        return ResolvedEndpoint(entry, (address, int(port)))
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        LOG.warning("discovery: a host that cannot be read was left out: %r", error)
        return None


def slices(raw: Any) -> Iterator[EndpointList]:
    """A list in discovery's form, as far as it is read, then whole; ``ValueError`` where it is none."""
    try:
        seq, whole, items = int(raw["seq"]), bool(raw["whole"]), list(raw["hosts"])
    except (KeyError, TypeError) as error:
        raise ValueError(f"not a list of hosts: {error!r}") from None
    hosts: list[ResolvedEndpoint] = []
    for start in range(0, max(1, len(items)), SLICE):
        if start:
            yield EndpointList(seq, whole, ())
        hosts += filter(None, map(read_host, items[start : start + SLICE]))
    yield EndpointList(seq, whole, tuple(hosts))


def read_list(raw: Any) -> EndpointList:
    """A list in discovery's form; ``ValueError`` where it is none."""
    *_, whole = slices(raw)
    return whole


class Watch:
    """One watch on the list at a time; it tells its end once and comes back only when asked to."""

    def __init__(
        self,
        address: Address,
        seq: int,
        told: Callable[[EndpointList], None],
        failed: Callable[[], None],
        system: System,
        *,
        most_line: int,
        answer_s: float = FIRST_S,
    ) -> None:
        self._most_line = most_line  # bytes: a whole list comes in one line
        self._answer_s = answer_s  # s until the answer's head
        self._address, self._seq, self._told, self._failed = address, seq, told, failed
        self._system = system
        self._task: asyncio.Task[None] | None = None
        self._former: asyncio.Task[None] | None = None  # at the address before, until the new one speaks
        self._answered = False  # whether the present watch has spoken and lasts

    def subscribe(self) -> None:
        """Start a watch; one that never answered is given up for it, one that works is kept."""
        if self._task is not None and not self._task.done():
            if self._answered:
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
        self._leave(self._former)
        if not self._answered:  # it never spoke, and will not be waited for
            self._leave(self._task)
        self._former = self._task
        self._start()

    def _start(self) -> None:
        self._answered = False
        self._task = asyncio.create_task(self._run(self._address))

    @staticmethod
    def _leave(task: asyncio.Task[None] | None) -> None:
        if task is not None:
            task.cancel()

    def close(self) -> None:
        """Stop watching."""
        self._leave(self._task)
        self._leave(self._former)

    async def _run(self, address: Address) -> None:
        connection: Connection | None = None
        try:
            async with asyncio.timeout(self._answer_s):
                connection = await Connection.open(address, self._system)
                target = f"{HOSTS}?watch=1&from={self._seq}"
                await connection.send(connection.request("GET", target, []))
                answer = await connection.answer()
            if answer.status != 200:
                raise ConnectionError(f"status {answer.status}")
            await self._lines(connection)
        except (*FAULTS, TimeoutError, ValueError) as error:
            LOG.info("discovery: watch at %s:%d ended: %r", *address, error)
        except Exception:
            LOG.exception("discovery: watch broke")
        finally:
            if connection is not None:
                connection.close()
        if asyncio.current_task() is self._task:  # the end of a watch that was left is no news
            self._answered = False
            self._failed()

    async def _lines(self, connection: Connection) -> None:
        """Tell each line in order until the watch ends, falls silent or makes no sense."""
        line, value, quiet_s, begun_s = bytearray(), bytearray(), FIRST_S, -1.0
        now_s = asyncio.get_running_loop().time
        while True:
            try:
                async with asyncio.timeout(quiet_s):
                    data = await connection.part()
            except TimeoutError:
                if connection.quiet():
                    raise
                continue  # this process stood still, not the other side: what it said meanwhile is here
            *ends, rest = data.split(b"\n")
            for end in ends:
                line += end
                if line.strip():
                    value += line + b"\n"
                    # Of an indented list not every line need be looked at: the last one ends an object.
                    alone, news = len(value) == len(line) + 1, None
                    if alone or line.rstrip().endswith(b"}"):
                        news = await self._read(bytes(value))
                    if news is not None:
                        quiet_s = QUIET_S
                        self._line(news)
                        value.clear()
                elif value:  # an empty line is due between lists, and never stands within one
                    raise ValueError("a list cut short")
                line.clear()
            line += rest
            if not (line or value):
                begun_s = -1.0
            elif begun_s < 0:
                begun_s = now_s()
            if len(line) + len(value) > self._most_line or (begun_s >= 0 and now_s() > begun_s + LINE_S):
                raise ValueError("a list without end")

    @staticmethod
    async def _read(line: bytes) -> EndpointList | None:
        """A list's news, None where more of it has to come; a long one is read in slices, so that no client
        waits for it.
        """
        try:
            raw = msgspec.json.decode(line)
        except msgspec.MsgspecError as error:
            if CUT in str(error):
                return None
            raise ValueError(f"not JSON: {error}") from error
        reading = slices(raw)
        news = next(reading)
        for further in reading:
            news = further
            await asyncio.sleep(0)
        return news

    def _line(self, news: EndpointList) -> None:
        if asyncio.current_task() is self._task:
            self._answered = True
            self._leave(self._former)
            self._former = None
        if news.seq < self._seq:  # older than what is held: applied, it would undo a drain
            LOG.warning("discovery: version %d after %d left out", news.seq, self._seq)
            news = EndpointList(self._seq, False, ())
        self._seq = news.seq
        self._told(news)
