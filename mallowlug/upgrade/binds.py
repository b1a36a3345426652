"""The file in which a process that hands over tells its successor what binds it beside the journal.

A file that is missing, torn or absurd costs what it would have told, and no message.
"""

from __future__ import annotations

import logging
from pathlib import Path

import msgspec

from mallowlug.core.binds import Binds
from mallowlug.system import Disk, swap

LOG = logging.getLogger(__name__)
FILE = "binds"
MOST_BYTES = 24 * 1024  # of the file; a longer list is left out, and the directory's is waited for


def keep(folder: Path, disk: Disk, binds: Binds) -> bool:
    """Write it down in one piece; of what does not fit the ids that are over go first, then the list.

    False where it is not kept: told waits would be forgotten, so nothing may be handed over then.
    """
    data = msgspec.json.encode(binds)
    if len(data) > MOST_BYTES:
        binds.over = []
        data = msgspec.json.encode(binds)
    if len(data) > MOST_BYTES:
        binds.seq, binds.rows = -1, {}
        data = msgspec.json.encode(binds)
    if len(data) > MOST_BYTES:
        binds.learned = []
        data = msgspec.json.encode(binds)
    if len(data) > MOST_BYTES:  # the file alone tells the successor what counts
        binds.config = ""
        data = msgspec.json.encode(binds)
    try:
        return swap(disk, folder / FILE, data)
    except OSError as error:
        LOG.error("handover: what binds beside the journal was not kept: %s", error)
        return False


def take(folder: Path, disk: Disk) -> Binds | None:
    """What the one before has left."""
    try:
        return msgspec.json.decode(disk.read(folder / FILE), type=Binds)
    except FileNotFoundError:
        return None
    except (OSError, msgspec.MsgspecError) as error:
        LOG.error("handover: what binds beside the journal cannot be read: %s", error)
        return None


def drop(folder: Path, disk: Disk) -> None:
    """It is heeded: a life that comes later must not go by it."""
    disk.unlink(folder / FILE)
