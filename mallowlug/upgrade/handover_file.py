"""The file that carries the handover state, which is not in the journal, from an owner to its successor.

A missing, truncated or invalid file loses this state but no message. The content is JSON, compressed with
zlib if it would exceed the size limit: a list of a thousand hosts with what was learned of each fits.
"""

from __future__ import annotations

import logging
import zlib
from pathlib import Path

import msgspec

from mallowlug.core.handover import HandoverState
from mallowlug.core.reserved_space import LARGE_FOLDER
from mallowlug.system import Disk, replace_file

LOG = logging.getLogger(__name__)
FILE = "binds"
MAX_DECOMPRESSED_BYTES = 16 << 20  # a file that decompresses to more is invalid


def write(
    folder: Path, disk: Disk, state: HandoverState, max_bytes: int = LARGE_FOLDER.handover_bytes
) -> bool:
    """Write the state atomically; return whether it was written.

    If it exceeds ``max_bytes``, parts of it are dropped in this order: the ids of finished messages, the
    endpoint list (the successor then waits for the directory's list), what was learned of endpoints, and the
    configuration. ``state`` itself is changed.

    If the result is False, ownership must not be handed over: Retry-After waits would be forgotten.
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
    if len(data) > max_bytes:  # the successor then reads the configuration file alone
        state.config = ""
        data = encode_state(state, max_bytes)
    try:
        return replace_file(disk, folder / FILE, data)
    except OSError as error:
        LOG.error("handover: cannot write the handover file: %s", error)
        return False


def encode_state(state: HandoverState, max_bytes: int) -> bytes:
    """Encode the state as JSON, compressed if it is longer than ``max_bytes``."""
    data = msgspec.json.encode(state)
    return data if len(data) <= max_bytes else zlib.compress(data)


def decompress(data: bytes) -> bytes:
    """Return the JSON content of a plain or compressed file.

    Raises ``zlib.error`` if the data is neither, is truncated, or is too large.
    """
    if data.startswith(b"{"):
        return data
    decompressor = zlib.decompressobj()
    content = decompressor.decompress(data, MAX_DECOMPRESSED_BYTES)
    if not decompressor.eof:
        raise zlib.error("truncated, or too large when decompressed")
    return content


def read(folder: Path, disk: Disk) -> HandoverState | None:
    """Read the state that the former owner left; None if there is none or it cannot be read."""
    try:
        return msgspec.json.decode(decompress(disk.read(folder / FILE)), type=HandoverState)
    except FileNotFoundError:
        return None
    except (OSError, zlib.error, msgspec.MsgspecError) as error:
        LOG.error("handover: cannot read the handover file: %s", error)
        return None


def delete(folder: Path, disk: Disk) -> None:
    """Remove the file once it is applied, so that no later restart applies it again."""
    disk.unlink(folder / FILE)
