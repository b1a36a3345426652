"""How much of the lasting folder is set aside where there is a console: for staff's calls and for upgrades.

Each file stands twice while it is written anew; a door has three of 32 kB. Where the folder has room, a list
of over a thousand hosts fits into each file; in a small one the journal needs the bytes more.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ReservedSpace:
    """Bytes: in all, of the file that is handed over, of the hosts that are out by hand."""

    total_bytes: int
    handover_bytes: int
    disabled_hosts_bytes: int


LARGE_FOLDER_BYTES = 3_000_000  # of a folder that is roomy: the deployment's usual one
LARGE_FOLDER = ReservedSpace(384 * 1024, 96 * 1024, 32 * 1024)
SMALL_FOLDER = ReservedSpace(192 * 1024, 24 * 1024, 2 * 1024)


def reserved_space(disk_bytes: int) -> ReservedSpace:
    """The part of a folder of so many bytes."""
    return LARGE_FOLDER if disk_bytes >= LARGE_FOLDER_BYTES else SMALL_FOLDER
