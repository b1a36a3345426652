"""The directory's list in compact form; full state is created only for destinations in use.

A destination is active or inactive. An inactive one takes a few bytes here and is unknown to the decision
engine and the partners adapter; an active one is known to both. Up to a configured number stay active. Beyond
it, the least recently used are deactivated once the engine confirms that it holds no state for them. No I/O.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator

import msgspec

from mallowlug.core.model import EndpointList, ResolvedEndpoint
from mossfront.interface import EndpointEntry, Listing

MAX_IDLE_PER_CHECK = 16  # destinations returned by one ``idle_destinations`` call
# Host, address, port, zone, kind, listing, rate hint, whether it was added after the first list.
Row = tuple[str, str, int, str, str, str, float, bool]
ROWS_DECODER = msgspec.json.Decoder(list[Row])
pack = msgspec.json.Encoder().encode


def row_from_endpoint(endpoint: ResolvedEndpoint, added_later: bool) -> Row:
    """Encode an endpoint as a row; ``added_later``: after the first list, so it may be new and cold."""
    entry, (address, port) = endpoint.entry, endpoint.address
    return (
        entry.host,
        address,
        port,
        entry.zone,
        entry.kind,
        entry.listing.value,
        entry.rate_hint,
        added_later,
    )


def endpoint_from_row(row: Row, dest: int) -> ResolvedEndpoint:
    """Decode a row made by ``row_from_endpoint``."""
    host, address, port, zone, kind, listing, hint, _ = row
    return ResolvedEndpoint(EndpointEntry(host, dest, zone, kind, Listing(listing), hint), (address, port))


class Listings:
    """All listed destinations, and which of them are active."""

    def __init__(self, max_active: int, min_idle_s: float) -> None:
        self._max_active, self._min_idle_s = max_active, min_idle_s
        self._rows: dict[int, bytes] = {}  # by destination: its endpoints, encoded
        self.host_count = 0  # number of listed endpoints of all destinations
        # By destination, least recently used first: the time (s) of its last use or check.
        self._active: OrderedDict[int, float] = OrderedDict()

    def is_listed(self, host: str) -> bool:
        """Whether an endpoint is listed; a linear search, meant for operators' calls only."""
        packed_id = pack(host)
        rows = (
            row
            for packed in self._rows.values()
            if packed_id in packed
            for row in ROWS_DECODER.decode(packed)
        )
        return any(row[0] == host for row in rows)

    def all_rows(self) -> dict[int, list[Row]]:
        """Return all rows by destination, for a handover."""
        return {dest: ROWS_DECODER.decode(packed) for dest, packed in self._rows.items()}

    def __contains__(self, dest: int) -> bool:
        return dest in self._rows

    def __len__(self) -> int:
        return len(self._rows)

    @property
    def over_limit(self) -> bool:
        """Whether more destinations are active than may stay so without being used."""
        return len(self._active) > self._max_active

    def apply(self, update: EndpointList, now_s: float) -> EndpointList:
        """Apply an update and return the part of it that concerns active destinations.

        The part of a full list is a full list again: it has every listed endpoint of an active destination.
        """
        changed: dict[int, dict[str, ResolvedEndpoint]] = {}
        added_later = bool(self._rows)
        for endpoint in update.hosts:
            changed.setdefault(endpoint.entry.dest, {})[endpoint.entry.host] = endpoint
        if update.full:
            for dest in [dest for dest in self._rows if dest not in changed]:
                self.host_count -= len(ROWS_DECODER.decode(self._rows.pop(dest)))
        for dest, hosts in changed.items():
            self._apply_destination(dest, hosts, update.full, added_later)
        for dest in changed:
            if len(self._active) >= self._max_active:
                break
            self._active.setdefault(dest, now_s)
        active_hosts = tuple(listed for listed in update.hosts if listed.entry.dest in self._active)
        return EndpointList(update.seq, update.full, active_hosts)

    def _apply_destination(
        self, dest: int, hosts: dict[str, ResolvedEndpoint], full: bool, added_later: bool
    ) -> None:
        """Apply an update of one destination."""
        former = {row[0]: row for row in ROWS_DECODER.decode(self._rows[dest])} if dest in self._rows else {}
        rows = {} if full else dict(former)
        for host, endpoint in hosts.items():
            rows.pop(host, None)
            if endpoint.entry.listing is not Listing.GONE:
                rows[host] = row_from_endpoint(endpoint, former[host][-1] if host in former else added_later)
        self.host_count += len(rows) - len(former)
        if rows:
            self._rows[dest] = pack(list(rows.values()))
        else:
            self._rows.pop(dest, None)

    def activate(self, dest: int, now_s: float) -> Iterator[tuple[bool, EndpointList]]:
        """Mark a destination as used; where it was inactive, yield its endpoints.

        They come in up to two updates, each with whether its endpoints were added after the first list.
        """
        was_inactive = dest not in self._active
        self._active[dest] = now_s
        self._active.move_to_end(dest)
        if was_inactive and dest in self._rows:
            rows = ROWS_DECODER.decode(self._rows[dest])
            for added_later in (False, True):
                if endpoints := tuple(endpoint_from_row(row, dest) for row in rows if row[-1] is added_later):
                    yield added_later, EndpointList(0, False, endpoints)

    def idle_destinations(self, now_s: float) -> list[int]:
        """Return active destinations beyond the limit that have been idle for long enough.

        The engine decides whether it still holds state for them. Each counts as just used from now on, so
        that it is not returned again at once.
        """
        idle: list[int] = []
        while len(self._active) - len(idle) > self._max_active and len(idle) < MAX_IDLE_PER_CHECK:
            dest, used_s = next(iter(self._active.items()))
            if now_s - used_s < self._min_idle_s:
                break
            self._active[dest] = now_s
            self._active.move_to_end(dest)
            idle.append(dest)
        return idle

    def deactivate(self, dest: int) -> EndpointList:
        """Deactivate a destination; the returned update reports its endpoints as gone to the partners."""
        self._active.pop(dest, None)
        rows = ROWS_DECODER.decode(self._rows[dest]) if dest in self._rows else []
        gone = (endpoint_from_row((*row[:5], Listing.GONE.value, *row[6:]), dest) for row in rows)
        return EndpointList(0, False, tuple(gone))
