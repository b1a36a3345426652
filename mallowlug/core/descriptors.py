"""Who may hold how many of the process's descriptors: counted here, and nowhere else.

Half are the clients'. What the process needs for itself is set aside before the calls to hosts get the rest,
so that neither idle clients nor many calls keep the watch, a notice or the journal from getting theirs.
"""

from __future__ import annotations

from dataclasses import dataclass

# Standard streams 3, the loop's own 3, journal and its compaction 2, a small file being written 1, watches of
# this address and the one before 2, posts of notices 3, the file at SIGHUP 1, one to spare.
OWN_DESCRIPTORS = 16
MAX_ACCEPT_BURST = 16  # connections that are accepted before any of them is counted
SOCKETS_PER_CONSOLE_CONNECTION = 16  # one descriptor in so many is for the console's callers
MIN_SOCKETS = 56  # with fewer the roles cannot be kept apart, and each has the least that it can work with


@dataclass(frozen=True, slots=True)
class DescriptorShares:
    """So many descriptors for each role."""

    clients: int  # over all listeners
    accept_burst: int
    listeners: int
    console_connections: int  # of the console; 0: there is none
    calls: int  # to hosts, idle connections included

    @property
    def total(self) -> int:
        """All that may be held at once."""
        return (
            OWN_DESCRIPTORS
            + self.clients
            + self.accept_burst
            + self.listeners
            + self.console_connections
            + self.calls
        )


def split_descriptors(sockets: int, listeners: int, console: bool) -> DescriptorShares:
    """The shares of a limit of ``sockets`` descriptors; within it from ``LEAST`` on."""
    clients, burst = sockets // 2, min(MAX_ACCEPT_BURST, max(1, sockets // 16))
    console_connections = 1 + sockets // SOCKETS_PER_CONSOLE_CONNECTION if console else 0  # and its listener
    calls = max(1, sockets - OWN_DESCRIPTORS - clients - burst - listeners - console_connections)
    return DescriptorShares(clients, burst, listeners, console_connections, calls)
