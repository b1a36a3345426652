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
from mallowlug.core.reserved_space import ROOMY
from mallowlug.system import Disk, replace_file

LOG = logging.getLogger(__name__)
FILE = "binds"
MAX_DECOMPRESSED_BYTES = 16 << 20  # bytes of what a file may hold; one that claims more is absurd


def write(folder: Path, disk: Disk, state: HandoverState, max_bytes: int = ROOMY.binds) -> bool:
    """Write it down in one piece; of what does not fit into ``most`` bytes the ids that are over go first,
    then the list, and the directory's is waited for.

    False where it is not kept: told waits would be forgotten, so nothing may be handed over then.
    """
    data = encode_state(state, max_bytes)
    if len(data) > max_bytes:
        state.over = []
        data = encode_state(state, max_bytes)
    if len(data) > max_bytes:
        state.seq, state.rows = -1, {}
        data = encode_state(state, max_bytes)
    if len(data) > max_bytes:
        state.learned = []
        data = encode_state(state, max_bytes)
    if len(data) > max_bytes:  # the file alone tells the successor what counts
        state.config = ""
        data = encode_state(state, max_bytes)
    try:
        return replace_file(disk, folder / FILE, data)
    except OSError as error:
        LOG.error("handover: what binds beside the journal was not kept: %s", error)
        return False


def encode_state(state: HandoverState, max_bytes: int) -> bytes:
    """The file's bytes."""
    data = msgspec.json.encode(state)
    return data if len(data) <= max_bytes else zlib.compress(data)


def decompress(data: bytes) -> bytes:
    """The JSON in a file's bytes; ``zlib.error`` where there is none."""
    if data.startswith(b"{"):
        return data
    decompressor = zlib.decompressobj()
    content = decompressor.decompress(data, MAX_DECOMPRESSED_BYTES)
    if not decompressor.eof:
        raise zlib.error("cut short, or far too long")
    return content


def read(folder: Path, disk: Disk) -> HandoverState | None:
    """What the one before has left."""
    try:
        return msgspec.json.decode(decompress(disk.read(folder / FILE)), type=HandoverState)
    except FileNotFoundError:
        return None
    except (OSError, zlib.error, msgspec.MsgspecError) as error:
        LOG.error("handover: what binds beside the journal cannot be read: %s", error)
        return None


def delete(folder: Path, disk: Disk) -> None:
    """It is heeded: a life that comes later must not go by it."""
    disk.unlink(folder / FILE)
