"""What the bytes of an HTTP/1.1 answer say (RFC 9112), without I/O: strictly, and within bounds.

The head is cut off here, so that it is known to the byte what belongs to an answer and what came behind it;
llhttp (by ``httptools``) checks the head's grammar and lengths and decodes chunks.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

import httptools

MAX_HEAD_BYTES = 16 * 1024  # bytes of a status line and headers
MAX_INTERIM_RESPONSES = 16  # 1xx answers ahead of the final one
HEAD_END = b"\r\n\r\n"
VERSION_PREFIX = b"HTTP/1."
STATUS_LINE = re.compile(rb"HTTP/1\.[01] ([1-9][0-9]{2})(?: [^\r\n]*)?\r?\n")
BODILESS_STATUSES = (204, 304)  # RFC 9112, 6.3


class CorruptResponseError(Exception):
    """What came is no answer, or has no end; the request may have run."""


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """The head of a final answer; names of headers are in lower case."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]


class _ParserCallbacks:
    """What llhttp tells of one answer."""

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
    """Whether the other side keeps the connection (RFC 9112, 9.3)."""
    options = b",".join(value.lower() for name, value in headers if name == b"connection").split(b",")
    tokens = {option.strip() for option in options}
    return b"close" not in tokens and (head.startswith(b"HTTP/1.1") or b"keep-alive" in tokens)


class ResponseParser:
    """The answers on one connection, one after the other; ``begin`` before each request."""

    def __init__(self) -> None:
        self.begin_response()

    def begin_response(self) -> None:
        """The next request goes out: what comes from now on answers it."""
        self.head: ResponseHead | None = None  # the final one, once it is whole
        self.head_bytes = bytearray()  # what has come of a head that is not whole, or the final head
        self.interim_count = 0
        self.has_extra_data = False  # more came than belongs to the answer
        self.keep_alive = False  # whether the connection may serve again once the answer is whole
        self._body_bytes_left: int | None = (
            None  # bytes of the body to come; None: as chunks, or until the end
        )
        self._callbacks, self._complete = _ParserCallbacks(), False

    @property
    def done(self) -> bool:
        """Whether the whole answer is there."""
        return self._complete or self._callbacks.complete

    @property
    def status_is_200(self) -> bool:
        """Whether the final answer's first line is whole and says 200, whatever became of the rest."""
        status_line = STATUS_LINE.match(self.head_bytes)
        return status_line is not None and status_line[1] == b"200"

    def feed(self, data: bytes) -> None:
        """Take in what came; ``SpoiltError`` where it is no answer."""
        if self.head is None:
            self.head_bytes += data
            data = self._read_heads()
        if self.head is not None and data:
            self._read_body(data)

    def handle_eof(self) -> None:
        """The other side has ended; ``ConnectionResetError`` where that cuts the answer off."""
        if self.head is None or self._body_bytes_left is not None or self._chunked:
            raise ConnectionResetError("closed before the answer's end")
        self._complete = True

    def take_body(self) -> bytes:
        """What has come of the body since this was asked last."""
        data = bytes(self._callbacks.body)
        self._callbacks.body.clear()
        return data

    def _read_heads(self) -> bytes:
        """Read 1xx heads and then the final one; what came behind it."""
        while True:
            if not (self.head_bytes.startswith(VERSION_PREFIX) or VERSION_PREFIX.startswith(self.head_bytes)):
                raise CorruptResponseError("no answer")
            if (end := self.head_bytes.find(HEAD_END) + len(HEAD_END)) < len(HEAD_END):
                if len(self.head_bytes) > MAX_HEAD_BYTES:
                    raise CorruptResponseError("a head without end")
                return b""
            line = STATUS_LINE.match(self.head_bytes)
            if line is None or end > MAX_HEAD_BYTES:
                raise CorruptResponseError("not a status line")
            following, status = bytes(self.head_bytes[end:]), int(line[1])
            del self.head_bytes[end:]
            if status >= 200:
                self._read_final_head(status)
                return following
            self._parse(httptools.HttpResponseParser(_ParserCallbacks()), bytes(self.head_bytes))
            self.interim_count += 1
            if status == 101 or self.interim_count > MAX_INTERIM_RESPONSES:
                raise CorruptResponseError("1xx answers without end")
            self.head_bytes[:] = following

    def _read_final_head(self, status: int) -> None:
        """The final head is whole: how its body ends, and whether the connection lasts."""
        self._parser = httptools.HttpResponseParser(self._callbacks)
        self._parse(self._parser, bytes(self.head_bytes))
        headers = tuple(self._callbacks.headers)
        lengths = [value for name, value in headers if name == b"content-length"]
        self._chunked = any(name == b"transfer-encoding" for name, _ in headers)
        if lengths or status in BODILESS_STATUSES:
            self._body_bytes_left = int(lengths[0]) if status not in BODILESS_STATUSES else 0
        # Behind chunks nobody can tell what belongs to the answer: such a connection serves once.
        self.keep_alive = self._body_bytes_left is not None and keeps_connection(
            bytes(self.head_bytes), headers
        )
        self._complete = self._body_bytes_left == 0
        self.head = ResponseHead(status, headers)

    def _read_body(self, data: bytes) -> None:
        """Bytes behind the head."""
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
