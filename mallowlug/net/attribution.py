"""Response attribution: which received data may be taken for the response to which request. No I/O.

HTTP/1.1 has no request ids. On a connection with several requests, responses belong to them by their order
alone (RFC 9112, 9.3), so one response too many, from a server or a middlebox, gives every later request the
response of another one. Neither status, length nor headers show it: a repeated response equals the first.

- On a connection with a single request, sent before any data was received, the first complete response is
  proved to be the response to that request. All other data is unsolicited.
"""

from __future__ import annotations

from enum import Enum


class Pending(Enum):
    """What the peer has sent that was not read as part of a response."""

    NOTHING = "nothing"
    DATA = "data"  # that no request asked for
    END = "end of stream, or a reset"


class UnsolicitedDataError(ConnectionError):
    """Data was received before the last byte of the request was sent, so it cannot be the response to it."""


def check_request_may_continue(pending: Pending) -> None:
    """Check what was received before the last byte of a request is sent.

    Raises ``UnsolicitedDataError`` or, at the end of the stream, ``ConnectionResetError``; the rest of the
    request must not be sent, and so the server does not execute it.
    """
    if pending is Pending.DATA:
        raise UnsolicitedDataError("data received before the end of the request")
    if pending is Pending.END:
        raise ConnectionResetError("connection closed before the end of the request")
