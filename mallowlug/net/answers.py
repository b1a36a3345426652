"""What the bytes of an HTTP/1.1 answer say (RFC 9112), without I/O: strictly, and within bounds.

The head is cut off here, so that it is known to the byte what belongs to an answer and what came behind it;
llhttp (by ``httptools``) checks the head's grammar and lengths and decodes chunks.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

import httptools

MOST_HEAD = 16 * 1024  # bytes of a status line and headers
MOST_INTERIM = 16  # 1xx answers ahead of the final one
END = b"\r\n\r\n"
VERSION = b"HTTP/1."
FIRST_LINE = re.compile(rb"HTTP/1\.[01] ([1-9][0-9]{2})(?: [^\r\n]*)?\r?\n")
BODILESS = (204, 304)  # RFC 9112, 6.3


class SpoiltError(Exception):
    """What came is no answer, or has no end; the request may have run."""


@dataclass(frozen=True, slots=True)
class Answer:
    """The head of a final answer; names of headers are in lower case."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]


class _Parsed:
    """What llhttp tells of one answer."""

    def __init__(self) -> None:
        self.headers: list[tuple[bytes, bytes]] = []
        self.body, self.done = bytearray(), False

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers.append((name.lower(), value))

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_message_complete(self) -> None:
        self.done = True


def persists(head: bytes, headers: tuple[tuple[bytes, bytes], ...]) -> bool:
    """Whether the other side keeps the connection (RFC 9112, 9.3)."""
    options = b",".join(value.lower() for name, value in headers if name == b"connection").split(b",")
    said = {option.strip() for option in options}
    return b"close" not in said and (head.startswith(b"HTTP/1.1") or b"keep-alive" in said)


class Answers:
    """The answers on one connection, one after the other; ``begin`` before each request."""

    def __init__(self) -> None:
        self.begin()

    def begin(self) -> None:
        """The next request goes out: what comes from now on answers it."""
        self.head: Answer | None = None  # the final one, once it is whole
        self.first = bytearray()  # what has come of a head that is not whole, or the final head
        self.interims = 0
        self.extra = False  # more came than belongs to the answer
        self.keep = False  # whether the connection may serve again once the answer is whole
        self._left: int | None = None  # bytes of the body to come; None: as chunks, or until the end
        self._parsed, self._whole = _Parsed(), False

    @property
    def done(self) -> bool:
        """Whether the whole answer is there."""
        return self._whole or self._parsed.done

    @property
    def says_delivered(self) -> bool:
        """Whether the final answer's first line is whole and says 200, whatever became of the rest."""
        found = FIRST_LINE.match(self.first)
        return found is not None and found[1] == b"200"

    def feed(self, data: bytes) -> None:
        """Take in what came; ``SpoiltError`` where it is no answer."""
        if self.head is None:
            self.first += data
            data = self._heads()
        if self.head is not None and data:
            self._take(data)

    def ended(self) -> None:
        """The other side has ended; ``ConnectionResetError`` where that cuts the answer off."""
        if self.head is None or self._left is not None or self._chunked:
            raise ConnectionResetError("closed before the answer's end")
        self._whole = True

    def body(self) -> bytes:
        """What has come of the body since this was asked last."""
        data = bytes(self._parsed.body)
        self._parsed.body.clear()
        return data

    def _heads(self) -> bytes:
        """Read 1xx heads and then the final one; what came behind it."""
        while True:
            if not (self.first.startswith(VERSION) or VERSION.startswith(self.first)):
                raise SpoiltError("no answer")
            if (end := self.first.find(END) + len(END)) < len(END):
                if len(self.first) > MOST_HEAD:
                    raise SpoiltError("a head without end")
                return b""
            line = FIRST_LINE.match(self.first)
            if line is None or end > MOST_HEAD:
                raise SpoiltError("not a status line")
            rest, status = bytes(self.first[end:]), int(line[1])
            del self.first[end:]
            if status >= 200:
                self._final(status)
                return rest
            self._read(httptools.HttpResponseParser(_Parsed()), bytes(self.first))
            self.interims += 1
            if status == 101 or self.interims > MOST_INTERIM:
                raise SpoiltError("1xx answers without end")
            self.first[:] = rest

    def _final(self, status: int) -> None:
        """The final head is whole: how its body ends, and whether the connection lasts."""
        self._parser = httptools.HttpResponseParser(self._parsed)
        self._read(self._parser, bytes(self.first))
        headers = tuple(self._parsed.headers)
        lengths = [value for name, value in headers if name == b"content-length"]
        self._chunked = any(name == b"transfer-encoding" for name, _ in headers)
        if lengths or status in BODILESS:
            self._left = int(lengths[0]) if status not in BODILESS else 0
        # Behind chunks nobody can tell what belongs to the answer: such a connection serves once.
        self.keep = self._left is not None and persists(bytes(self.first), headers)
        self._whole = self._left == 0
        self.head = Answer(status, headers)

    def _take(self, data: bytes) -> None:
        """Bytes behind the head."""
        if self.done or (self._left is not None and len(data) > self._left):
            self.extra = True
            data = data[: 0 if self.done else self._left]
        if not data:
            return
        if self._left is not None:
            self._left -= len(data)
        self._read(self._parser, data)

    @staticmethod
    def _read(parser: httptools.HttpResponseParser, data: bytes) -> None:
        try:
            parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            raise SpoiltError(str(error)) from error
