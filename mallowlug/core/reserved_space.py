"""Disk space of the state folder that is reserved for operators' calls and upgrades.

It is reserved only where there is a console. Each file exists twice while it is rewritten, and a spool has
three files of 32 kB. In a large folder, each file has space for a list of over a thousand hosts; in a small
one the journal needs the space more.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ReservedSpace:
    """The reserved bytes in total, and the size limits of two of the files."""

    total_bytes: int
    handover_bytes: int  # of the handover file
    disabled_hosts_bytes: int  # of the file of disabled hosts


LARGE_FOLDER_BYTES = 3_000_000  # the deployment's usual folder size
LARGE_FOLDER = ReservedSpace(384 * 1024, 96 * 1024, 32 * 1024)
SMALL_FOLDER = ReservedSpace(192 * 1024, 24 * 1024, 2 * 1024)


def reserved_space(disk_bytes: int) -> ReservedSpace:
    """Return the reserved space for a folder of this size."""
    return LARGE_FOLDER if disk_bytes >= LARGE_FOLDER_BYTES else SMALL_FOLDER
