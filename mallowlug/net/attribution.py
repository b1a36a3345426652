"""Response attribution: which received data may be taken for the response to which request. No I/O.

HTTP/1.1 has no request ids. On a connection with several requests, responses belong to them by their order
alone (RFC 9112, 9.3), so one response too many, from a server or a middlebox, gives every later request the
response of another one. Neither status, length nor headers show it: a repeated response equals the first.

- On a connection with a single request, sent before any data was received, the first complete response is
  proved to be the response to that request. All other data is unsolicited.
- A further request is sent only on a connection that has rested since its last response and received nothing
  meanwhile, to a server that has not sent unsolicited data lately. That bounds the time, and proves nothing
  for a response that is repeated later than the rest.
"""

from __future__ import annotations

from enum import Enum

# Longer than a response may take to be repeated (2 s) and a process may be held up (0.15 s).
REUSE_REST_S = 2.2
DISTRUST_S = 600.0  # from unsolicited data until connections to its server are reused again
WIDESPREAD_SERVERS = 2  # distrusted at the same time: the network is at fault, and none is trusted


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


class ReusePolicy:
    """Decides when a connection may carry a further request; times are seconds of one monotonic clock."""

    def __init__(self, rest_s: float = REUSE_REST_S) -> None:
        self._rest_s = rest_s
        self._distrusted_until_s: dict[str, float] = {}  # by server

    def reusable_from_s(self, server: str, answered_s: float) -> float | None:
        """Return from when on a connection may be reused whose last response was complete at ``answered_s``.

        None if it may not be reused at all.
        """
        if self._distrusted_until_s and self._distrusts(server, answered_s):
            return None
        return answered_s + self._rest_s

    def note_unsolicited(self, server: str, now_s: float) -> bool:
        """Note that a server sent data that no request asked for; return whether none is trusted now."""
        active = {name: until_s for name, until_s in self._distrusted_until_s.items() if until_s > now_s}
        self._distrusted_until_s = active | {server: now_s + DISTRUST_S}
        return len(self._distrusted_until_s) >= WIDESPREAD_SERVERS

    def _distrusts(self, server: str, now_s: float) -> bool:
        active = [name for name, until_s in self._distrusted_until_s.items() if until_s > now_s]
        return server in active or len(active) >= WIDESPREAD_SERVERS
