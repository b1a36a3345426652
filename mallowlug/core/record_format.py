"""The format of the journal's and the spool's records.

A record is a frame (mark, length, CRC-32) around one JSON line, its head, and a message's body. A reader
skips damaged bytes up to the next valid record; an incomplete record at the end is a torn tail.
"""

from __future__ import annotations

import logging
import struct
import zlib
from collections.abc import Iterator
from typing import Any

import msgspec

LOG = logging.getLogger(__name__)
MARK = b"\xa5mlg"
FRAME = struct.Struct("<4sII")  # mark, payload length, CRC-32 of the payload
BLOCK = 512  # bytes; disk usage is counted in whole blocks
MAX_RECORD_BYTES = 128 * 1024  # a greater length field can only be corruption


def encode_record(head: list[Any], body: bytes = b"") -> bytes:
    """Return a record's bytes, with its frame."""
    payload = msgspec.json.encode(head) + b"\n" + body
    return FRAME.pack(MARK, len(payload), zlib.crc32(payload)) + payload


def size_in_blocks(size: int) -> int:
    """Return a file's size as the deployment counts it: rounded up to whole blocks."""
    return -(-size // BLOCK) * BLOCK


def read_record(data: bytes, offset: int) -> tuple[bytes, int] | None:
    """Return the payload of the valid record at an offset and the offset after it; else None."""
    if offset + FRAME.size > len(data):
        return None
    mark, length, crc = FRAME.unpack_from(data, offset)
    end = offset + FRAME.size + length
    if mark != MARK or length > MAX_RECORD_BYTES or end > len(data):
        return None
    payload = data[offset + FRAME.size : end]
    return (payload, end) if zlib.crc32(payload) == crc else None


def scan_records(data: bytes) -> Iterator[tuple[bytes, int]]:
    """Yield each valid record's payload and end offset; damage is skipped up to the next valid record."""
    offset = 0
    while offset < len(data):
        record = read_record(data, offset)
        if record is None:
            damage_start = offset
            while (offset := data.find(MARK, offset + 1)) >= 0 and (
                record := read_record(data, offset)
            ) is None:
                pass
            if record is None:
                return  # a torn tail
            LOG.error("journal: %d damaged bytes at %d skipped", offset - damage_start, damage_start)
        yield record
        offset = record[1]
