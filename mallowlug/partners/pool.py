"""Idle connections to hosts, kept open between calls."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from mallowlug.core.reasons import HostClose
from mallowlug.net.attribution import Pending, ReusePolicy
from mallowlug.net.http import Connection

# Fraction of the hosts' keep-alive time: a connection idle for longer may be closed by the host while a
# request is being sent.
IDLE_TIMEOUT_FRACTION = 0.9
CLOSE_REASONS = {
    Pending.NOTHING: HostClose.IDLE,
    Pending.DATA: HostClose.UNSOLICITED,
    Pending.END: HostClose.IDLE,
}
CloseConnection = Callable[[str, Connection, HostClose], None]


@dataclass(frozen=True, slots=True)
class PoolLimits:
    """How long (us) hosts keep idle connections, and how many the relay keeps idle and has open in all."""

    keepalive_us: int
    max_idle: int
    max_open: int = 1 << 16


@dataclass(frozen=True, slots=True, eq=False)
class IdleConnection:
    """A connection that waits for its next call, from when on it may carry one, and its closing timer."""

    connection: Connection
    reusable_from_s: float
    timer: asyncio.TimerHandle


class ConnectionPool:
    """Keeps connections until they are taken, time out, are ended by the host or receive data.

    A connection is taken only once the reuse policy allows it; the caller opens a new one rather than wait.
    """

    def __init__(self, limits: PoolLimits, close: CloseConnection, policy: ReusePolicy) -> None:
        self._limits, self._close, self._policy = limits, close, policy
        self.idle_timeout_s = limits.keepalive_us / 1e6 * IDLE_TIMEOUT_FRACTION
        self._idle: dict[str, list[IdleConnection]] = {}  # by host, the most recently used one last

    def idle_by_host(self) -> dict[str, int]:
        """Return the number of idle connections of each host that has any."""
        return {host: len(idle) for host, idle in self._idle.items() if idle}

    def take(self, host: str) -> Connection | None:
        """Take the most recently used one of the rested connections on which nothing has arrived."""
        idle = self._idle.get(host)
        if not idle:
            return None
        now_s = asyncio.get_running_loop().time()
        for at in range(len(idle) - 1, -1, -1):
            if (kept := idle[at]).reusable_from_s > now_s:
                continue
            del idle[at]
            self._stop_watching(kept)
            pending = kept.connection.pending()
            if pending is Pending.NOTHING:
                return kept.connection
            self._close(host, kept.connection, CLOSE_REASONS[pending])
            if pending is Pending.DATA:  # the host is distrusted now, and its idle connections are closed
                break
        return None

    def keep(self, host: str, connection: Connection) -> bool:
        """Keep a connection until it times out or its host ends it; return whether it is kept."""
        if not connection.reusable() or sum(map(len, self._idle.values())) >= self._limits.max_idle:
            return False
        loop = asyncio.get_running_loop()
        reusable_from_s = self._policy.reusable_from_s(host, loop.time())
        if reusable_from_s is None:
            return False
        timer = loop.call_later(self.idle_timeout_s, self._discard, host, connection)
        loop.add_reader(connection.fd, self._discard, host, connection)
        self._idle.setdefault(host, []).append(IdleConnection(connection, reusable_from_s, timer))
        return True

    def make_room(self, calls_in_progress: int) -> None:
        """Close the idle connections that expire first, so that a new one gets a file descriptor."""
        while (
            idle := sum(map(len, self._idle.values()))
        ) and idle + calls_in_progress > self._limits.max_open:
            oldest = {host: kept[0].timer.when() for host, kept in self._idle.items() if kept}
            host = min(oldest, key=oldest.__getitem__)
            self._close_kept(host, self._idle[host].pop(0), HostClose.DESCRIPTOR_NEEDED)

    def distrust(self, host: str) -> None:
        """Reuse no connection to a host that sent unsolicited data.

        Its idle connections are closed, and those of all hosts where none is trusted any more.
        """
        if self._policy.note_unsolicited(host, asyncio.get_running_loop().time()):
            self.close_all(HostClose.DISTRUSTED)
        else:
            self.close_host(host, HostClose.DISTRUSTED)

    def close_host(self, host: str, reason: HostClose) -> None:
        """Close the idle connections to a host."""
        for kept in self._idle.pop(host, []):
            self._close_kept(host, kept, reason)

    def close_all(self, reason: HostClose) -> None:
        """Close all idle connections."""
        for host in list(self._idle):
            self.close_host(host, reason)

    def _discard(self, host: str, connection: Connection) -> None:
        """Close an idle connection that has timed out or on which something has arrived."""
        for kept in [kept for kept in self._idle.get(host, []) if kept.connection is connection]:
            self._idle[host].remove(kept)
            self._close_kept(host, kept, CLOSE_REASONS[connection.pending()])

    def _close_kept(self, host: str, kept: IdleConnection, reason: HostClose) -> None:
        self._stop_watching(kept)
        self._close(host, kept.connection, reason)

    @staticmethod
    def _stop_watching(kept: IdleConnection) -> None:
        asyncio.get_running_loop().remove_reader(kept.connection.fd)
        kept.timer.cancel()
