"""The file in which a process that hands over tells its successor what binds it beside the journal.

A file that is missing, torn or absurd costs what it would have told, and no message. It is JSON, compressed
where it would be too long as it is: a list of a thousand hosts and what was learned of each have room.
"""

from __future__ import annotations

import logging
import zlib
from pathlib import Path

import msgspec

from mallowlug.core.handover import HandoverState
from mallowlug.core.reserved_space import LARGE_FOLDER
from mallowlug.system import Disk, swap

LOG = logging.getLogger(__name__)
FILE = "binds"
MOST_PLAIN = 16 << 20  # bytes of what a file may hold; one that claims more is absurd


def keep(folder: Path, disk: Disk, binds: HandoverState, most: int = LARGE_FOLDER.handover_bytes) -> bool:
    """Write it down in one piece; of what does not fit into ``most`` bytes the ids that are over go first,
    then the list, and the directory's is waited for.

    False where it is not kept: told waits would be forgotten, so nothing may be handed over then.
    """
    data = packed(binds, most)
    if len(data) > most:
        binds.over = []
        data = packed(binds, most)
    if len(data) > most:
        binds.seq, binds.rows = -1, {}
        data = packed(binds, most)
    if len(data) > most:
        binds.learned = []
        data = packed(binds, most)
    if len(data) > most:  # the file alone tells the successor what counts
        binds.config = ""
        data = packed(binds, most)
    try:
        return swap(disk, folder / FILE, data)
    except OSError as error:
        LOG.error("handover: what binds beside the journal was not kept: %s", error)
        return False


def packed(binds: HandoverState, most: int) -> bytes:
    """The file's bytes."""
    data = msgspec.json.encode(binds)
    return data if len(data) <= most else zlib.compress(data)


def unpacked(data: bytes) -> bytes:
    """The JSON in a file's bytes; ``zlib.error`` where there is none."""
    if data.startswith(b"{"):
        return data
    plain = zlib.decompressobj()
    found = plain.decompress(data, MOST_PLAIN)
    if not plain.eof:
        raise zlib.error("cut short, or far too long")
    return found


def take(folder: Path, disk: Disk) -> HandoverState | None:
    """What the one before has left."""
    try:
        return msgspec.json.decode(unpacked(disk.read(folder / FILE)), type=HandoverState)
    except FileNotFoundError:
        return None
    except (OSError, zlib.error, msgspec.MsgspecError) as error:
        LOG.error("handover: what binds beside the journal cannot be read: %s", error)
        return None


def drop(folder: Path, disk: Disk) -> None:
    """It is heeded: a life that comes later must not go by it."""
    disk.unlink(folder / FILE)
