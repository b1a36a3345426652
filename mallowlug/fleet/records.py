"""Wire format of the fleet protocol: typed records, one frame per datagram, bounded in size. No I/O.

Unknown fields are ignored, so that later versions can add fields. A malformed datagram, or one of another
fleet or protocol version, is rejected with a reason.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Annotated, Literal

import msgspec

VERSION = 1  # of the protocol; versions are not compatible with each other
MAX_DATAGRAM_BYTES = 1400  # fits an Ethernet frame with the overhead of any usual tunnel
MAX_UPDATES_PER_FRAME = 12  # gossip beside the body
MAX_ROWS_PER_PAGE, MAX_PAGE_BYTES = 16, 1000  # of the member table
MAX_PAGES = 128  # of one member table

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
Text = Annotated[str, msgspec.Meta(max_length=64)]
Count = Annotated[int, msgspec.Meta(ge=0, le=2**62)]
State = Literal["alive", "suspect", "dead", "left"]


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Gossip update about one member. ``by``: the relay that detected it. No times, as clocks differ."""

    relay: Name
    life: Count  # lifetime number: grows with each start, kept in the state folder
    mark: Count  # random, drawn at start: distinguishes two processes of one id and lifetime
    incarnation: Count  # raised by the member to refute a false suspicion
    state: State
    address: Text  # host:port
    zone: Text = ""
    version: Text = ""  # of the program
    by: Text = ""


class Ping(msgspec.Struct, frozen=True, tag="ping"):
    """Probe. ``relay``: the intended receiver; empty if only the address is known."""

    number: Count
    relay: Text = ""


class Ack(msgspec.Struct, frozen=True, tag="ack"):
    """Answer to a ping. ``relay``: the member that answered; a helper relays it after an indirect probe."""

    number: Count
    relay: Name


class Ask(msgspec.Struct, frozen=True, tag="ask"):
    """Request for an indirect probe of a member, answered by an ack or a nack."""

    number: Count
    relay: Name
    address: Text


class Nack(msgspec.Struct, frozen=True, tag="nack"):
    """The indirect probe has no answer yet; shows the requester that the helper hears it."""

    number: Count


class Page(msgspec.Struct, frozen=True, tag="page"):
    """One page of the sender's member table. ``wanted``: requests the receiver's table."""

    rows: Annotated[tuple[MemberUpdate, ...], msgspec.Meta(max_length=MAX_ROWS_PER_PAGE)]
    wanted: bool = False


class Clash(msgspec.Struct, frozen=True, tag="clash"):
    """Reports that another live process uses the receiver's id, with its mark and address."""

    relay: Name
    mark: Count
    address: Text


Body = Ping | Ack | Ask | Nack | Page | Clash


class Frame(msgspec.Struct, frozen=True):
    """One datagram. ``address``: the sender's advertised address; the source address is not used."""

    version: int
    fleet: Name
    sender: Name
    life: Count
    mark: Count
    address: Text
    digest: Count  # of the sender's view of the fleet
    body: Body
    rumours: Annotated[tuple[MemberUpdate, ...], msgspec.Meta(max_length=MAX_UPDATES_PER_FRAME)] = ()


class ForeignDatagramError(ValueError):
    """The datagram does not belong to this fleet; the text is the reason."""


def split_into_pages(rows: Sequence[MemberUpdate]) -> list[tuple[MemberUpdate, ...]]:
    """Split a table into pages that each fit a datagram with the frame around them."""
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
    """Encode a frame in at most ``MAX_DATAGRAM_BYTES``; drops updates from the end until it fits."""
    data = ENCODER.encode(frame)
    while len(data) > MAX_DATAGRAM_BYTES and frame.rumours:
        frame = msgspec.structs.replace(frame, rumours=frame.rumours[: len(frame.rumours) // 2])
        data = ENCODER.encode(frame)
    return data


def decode(data: bytes, fleet: str) -> Frame:
    """Decode a datagram; raise ``ForeignDatagramError`` if it does not belong to this fleet."""
    if len(data) > MAX_DATAGRAM_BYTES:
        raise ForeignDatagramError(f"datagram of {len(data)} bytes is too long")
    try:
        frame = DECODER.decode(data)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        raise ForeignDatagramError(f"malformed frame: {error}") from None
    if frame.version != VERSION:
        raise ForeignDatagramError(f"protocol version {frame.version}, expected {VERSION}")
    if frame.fleet != fleet:
        raise ForeignDatagramError(f"frame of another fleet, {frame.fleet!r}")
    return frame
