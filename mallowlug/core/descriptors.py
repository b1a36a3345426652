"""The split of the process's file descriptors between its uses; this is the only place that decides it.

Half go to clients. The process's own descriptors are set aside before calls to hosts get the rest, so that
neither idle clients nor many calls can starve the directory watch, a notice or the journal.
"""

from __future__ import annotations

from dataclasses import dataclass

# Standard streams 3, the event loop 3, journal and its compaction 2, a small file being written 1, watches of
# the current and the previous discovery address 2, posts of notices 3, the configuration read at SIGHUP 1,
# spare 1.
OWN_DESCRIPTORS = 16
MAX_ACCEPT_BURST = 16  # connections that may be accepted before they are counted
SOCKETS_PER_CONSOLE_CONNECTION = 16  # one descriptor in this many is for console connections
MIN_SOCKETS = 56  # with fewer, the shares exceed the limit, as each use gets its minimum


@dataclass(frozen=True, slots=True)
class DescriptorShares:
    """The number of descriptors for each use."""

    clients: int  # of all listeners together
    accept_burst: int
    listeners: int
    console_connections: int  # with its listener; 0: there is no console
    calls: int  # to hosts, idle connections included

    @property
    def total(self) -> int:
        """The most descriptors that may be open at once."""
        return (
            OWN_DESCRIPTORS
            + self.clients
            + self.accept_burst
            + self.listeners
            + self.console_connections
            + self.calls
        )


def split_descriptors(sockets: int, listeners: int, console: bool) -> DescriptorShares:
    """Split a limit of ``sockets`` descriptors; the total is within it from ``MIN_SOCKETS`` on."""
    clients, burst = sockets // 2, min(MAX_ACCEPT_BURST, max(1, sockets // 16))
    console_connections = 1 + sockets // SOCKETS_PER_CONSOLE_CONNECTION if console else 0  # with its listener
    calls = max(1, sockets - OWN_DESCRIPTORS - clients - burst - listeners - console_connections)
    return DescriptorShares(clients, burst, listeners, console_connections, calls)
