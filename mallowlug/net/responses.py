"""Strict, bounded parser of HTTP/1.1 responses (RFC 9112), without I/O.

The end of the head is found here, so that it is known to the byte what belongs to a response and what follows
it; llhttp (through ``httptools``) checks the grammar and the lengths of the head and decodes chunks.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

import httptools

MAX_HEAD_BYTES = 16 * 1024  # bytes of a status line and headers
MAX_INTERIM_RESPONSES = 16  # 1xx responses before the final one
HEAD_END = b"\r\n\r\n"
VERSION_PREFIX = b"HTTP/1."
STATUS_LINE = re.compile(rb"HTTP/1\.[01] ([1-9][0-9]{2})(?: [^\r\n]*)?\r?\n")
BODILESS_STATUSES = (204, 304)  # RFC 9112, 6.3


class CorruptResponseError(Exception):
    """The data received is not a valid or not a bounded response; the request may have run."""


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a final response; header names are in lower case."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]


class _ParserCallbacks:
    """Collects what llhttp reports about one response."""

    def __init__(self) -> None:
        self.headers: list[tuple[bytes, bytes]] = []
        self.body, self.complete = bytearray(), False

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers.append((name.lower(), value))

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_message_complete(self) -> None:
        self.complete = True


def keeps_connection(head: bytes, headers: tuple[tuple[bytes, bytes], ...]) -> bool:
    """Whether the server keeps the connection open (RFC 9112, 9.3)."""
    options = b",".join(value.lower() for name, value in headers if name == b"connection").split(b",")
    tokens = {option.strip() for option in options}
    return b"close" not in tokens and (head.startswith(b"HTTP/1.1") or b"keep-alive" in tokens)


class ResponseParser:
    """Parses the responses on one connection in turn; call ``begin_response`` before each request."""

    def __init__(self) -> None:
        self.begin_response()

    def begin_response(self) -> None:
        """Reset the parser for the next request's response."""
        self.head: ResponseHead | None = None  # the final head, once it is complete
        self.head_bytes = bytearray()  # an incomplete head so far, or the final head
        self.interim_count = 0
        self.has_extra_data = False  # data followed the response
        self.keep_alive = False  # the connection may be reused once the response is complete
        self._body_bytes_left: int | None = None  # None: chunked, or until the connection closes
        self._callbacks, self._complete = _ParserCallbacks(), False

    @property
    def done(self) -> bool:
        """Whether the response is complete."""
        return self._complete or self._callbacks.complete

    @property
    def status_is_200(self) -> bool:
        """Whether the status line of the final response is complete and says 200, whatever follows it."""
        status_line = STATUS_LINE.match(self.head_bytes)
        return status_line is not None and status_line[1] == b"200"

    def feed(self, data: bytes) -> None:
        """Parse received data; raise ``CorruptResponseError`` if it is not a valid response."""
        if self.head is None:
            self.head_bytes += data
            data = self._read_heads()
        if self.head is not None and data:
            self._read_body(data)

    def handle_eof(self) -> None:
        """Handle the server's end of stream; raise ``ConnectionResetError`` if the response is incomplete."""
        if self.head is None or self._body_bytes_left is not None or self._chunked:
            raise ConnectionResetError("connection closed before the end of the response")
        self._complete = True

    def take_body(self) -> bytes:
        """Return the body data received since the last call."""
        data = bytes(self._callbacks.body)
        self._callbacks.body.clear()
        return data

    def _read_heads(self) -> bytes:
        """Parse 1xx heads and then the final one; return the data after it."""
        while True:
            if not (self.head_bytes.startswith(VERSION_PREFIX) or VERSION_PREFIX.startswith(self.head_bytes)):
                raise CorruptResponseError("not an HTTP/1.x response")
            if (end := self.head_bytes.find(HEAD_END) + len(HEAD_END)) < len(HEAD_END):
                if len(self.head_bytes) > MAX_HEAD_BYTES:
                    raise CorruptResponseError("response head too long")
                return b""
            line = STATUS_LINE.match(self.head_bytes)
            if line is None or end > MAX_HEAD_BYTES:
                raise CorruptResponseError("invalid status line, or response head too long")
            following, status = bytes(self.head_bytes[end:]), int(line[1])
            del self.head_bytes[end:]
            if status >= 200:
                self._read_final_head(status)
                return following
            self._parse(httptools.HttpResponseParser(_ParserCallbacks()), bytes(self.head_bytes))
            self.interim_count += 1
            if status == 101 or self.interim_count > MAX_INTERIM_RESPONSES:
                raise CorruptResponseError("protocol switch, or too many 1xx responses")
            self.head_bytes[:] = following

    def _read_final_head(self, status: int) -> None:
        """Parse the complete final head: how the body ends and whether the connection may be reused."""
        self._parser = httptools.HttpResponseParser(self._callbacks)
        self._parse(self._parser, bytes(self.head_bytes))
        headers = tuple(self._callbacks.headers)
        lengths = [value for name, value in headers if name == b"content-length"]
        self._chunked = any(name == b"transfer-encoding" for name, _ in headers)
        if lengths or status in BODILESS_STATUSES:
            self._body_bytes_left = int(lengths[0]) if status not in BODILESS_STATUSES else 0
        # After a chunked body it is not known which data belongs to the response: no reuse.
        self.keep_alive = self._body_bytes_left is not None and keeps_connection(
            bytes(self.head_bytes), headers
        )
        self._complete = self._body_bytes_left == 0
        self.head = ResponseHead(status, headers)

    def _read_body(self, data: bytes) -> None:
        """Parse data that follows the head."""
        if self.done or (self._body_bytes_left is not None and len(data) > self._body_bytes_left):
            self.has_extra_data = True
            data = data[: 0 if self.done else self._body_bytes_left]
        if not data:
            return
        if self._body_bytes_left is not None:
            self._body_bytes_left -= len(data)
        self._parse(self._parser, data)

    @staticmethod
    def _parse(parser: httptools.HttpResponseParser, data: bytes) -> None:
        try:
            parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            raise CorruptResponseError(str(error)) from error
