"""What relays say to each other: typed records, each datagram one of them, bounded in size and number.

Unknown fields are passed over, so that a later version may say more; a record that is no record, of another
fleet or of another version of the protocol is left out with its reason. No I/O.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Annotated, Literal

import msgspec

VERSION = 1  # of the protocol; one that differs in this cannot be understood
MAX_DATAGRAM_BYTES = 1400  # of a datagram: within an Ethernet frame behind any usual tunnel
MAX_UPDATES_PER_FRAME = 12  # in a frame beside what it is about
MAX_ROWS_PER_PAGE, MAX_PAGE_BYTES = 16, 1000  # members on one page of a table, and their bytes
MAX_PAGES = 128  # of a table

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
Text = Annotated[str, msgspec.Meta(max_length=64)]
Count = Annotated[int, msgspec.Meta(ge=0, le=2**62)]
State = Literal["alive", "suspect", "dead", "left"]


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True):
    """What is said of one member. ``by``: who found it out; times are no part of it, as clocks differ."""

    relay: Name
    life: Count  # grows with each start of the relay, by its folder
    mark: Count  # drawn at the life's start: tells two processes of one id and life apart
    incarnation: Count  # grows where the member answers a false suspicion
    state: State
    address: Text  # host:port at which it is reached
    zone: Text = ""
    version: Text = ""  # of the program
    by: Text = ""


class Ping(msgspec.Struct, frozen=True, tag="ping"):
    """Are you there? ``relay``: who is meant; empty where only an address is known."""

    number: Count
    relay: Text = ""


class Ack(msgspec.Struct, frozen=True, tag="ack"):
    """I am; ``relay``: who that is, since one may answer for another who was asked about."""

    number: Count
    relay: Name


class Ask(msgspec.Struct, frozen=True, tag="ask"):
    """Ping this member for me, and tell me, either way."""

    number: Count
    relay: Name
    address: Text


class Nack(msgspec.Struct, frozen=True, tag="nack"):
    """It has not answered me so far; so who asked is heard at least."""

    number: Count


class Page(msgspec.Struct, frozen=True, tag="page"):
    """A part of the sender's table. ``wanted``: the receiver's is asked for."""

    rows: Annotated[tuple[MemberUpdate, ...], msgspec.Meta(max_length=MAX_ROWS_PER_PAGE)]
    wanted: bool = False


class Clash(msgspec.Struct, frozen=True, tag="clash"):
    """Your id is another process's that lives: with that mark, at that address."""

    relay: Name
    mark: Count
    address: Text


Body = Ping | Ack | Ask | Nack | Page | Clash


class Frame(msgspec.Struct, frozen=True):
    """One datagram. ``address``: where the sender is reached, whatever the datagram's own source says."""

    version: int
    fleet: Name
    sender: Name
    life: Count
    mark: Count
    address: Text
    digest: Count  # of the sender's view
    body: Body
    rumours: Annotated[tuple[MemberUpdate, ...], msgspec.Meta(max_length=MAX_UPDATES_PER_FRAME)] = ()


class ForeignDatagramError(ValueError):
    """A datagram that is not this fleet's: its reason."""


def split_into_pages(rows: Sequence[MemberUpdate]) -> list[tuple[MemberUpdate, ...]]:
    """A table in parts that fit a datagram each, beside the frame around them."""
    result: list[list[MemberUpdate]] = [[]]
    page_bytes = 0
    for row in rows:
        row_bytes = len(ENCODER.encode(row))
        if result[-1] and (page_bytes + row_bytes > MAX_PAGE_BYTES or len(result[-1]) == MAX_ROWS_PER_PAGE):
            result.append([])
            page_bytes = 0
        result[-1].append(row)
        page_bytes += row_bytes
    return [tuple(page) for page in result[:MAX_PAGES]]


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Frame)


def encode(frame: Frame) -> bytes:
    """A datagram of at most ``MOST_BYTES``; what does not fit of its rumours is left out, the last first."""
    data = ENCODER.encode(frame)
    while len(data) > MAX_DATAGRAM_BYTES and frame.rumours:
        frame = msgspec.structs.replace(frame, rumours=frame.rumours[: len(frame.rumours) // 2])
        data = ENCODER.encode(frame)
    return data


def decode(data: bytes, fleet: str) -> Frame:
    """A datagram's frame; ``ForeignError`` for whatever is none of this fleet's."""
    if len(data) > MAX_DATAGRAM_BYTES:
        raise ForeignDatagramError(f"{len(data)} bytes")
    try:
        frame = DECODER.decode(data)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        raise ForeignDatagramError(f"no frame: {error}") from None
    if frame.version != VERSION:
        raise ForeignDatagramError(f"version {frame.version}, not {VERSION}")
    if frame.fleet != fleet:
        raise ForeignDatagramError(f"of fleet {frame.fleet!r}")
    return frame
