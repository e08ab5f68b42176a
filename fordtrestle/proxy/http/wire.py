"""HTTP/1.1 framing that both sides share: answers, header hygiene and the parser of answers. Pure."""

from __future__ import annotations

from collections.abc import Iterable
from http import HTTPStatus

import httptools

MAX_BODY = 64 * 1024
MAX_HEAD = 16 * 1024
MAX_FRAMED = 8 * MAX_BODY  # bytes behind a head: a body in chunks of one byte each is six times as long
REASONS = {status.value: status.phrase for status in HTTPStatus}

Headers = list[tuple[bytes, bytes]]

CONNECTION_WORDS = frozenset((b"close", b"keep-alive", b""))  # that name no header
# Headers of one connection, or of the framing that each side writes anew.
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)


def end_to_end(headers: Headers, leave_out: frozenset[bytes] = frozenset()) -> Headers:
    """The headers that are for the other end, not for this connection (RFC 9110, 7.6.1)."""
    kept, named = [], None
    for field in headers:
        name = field[0].lower()
        if name == b"connection":
            parts = {part.strip().lower() for part in field[1].split(b",")} - CONNECTION_WORDS
            named = parts if named is None else named | parts
        if name not in HOP_BY_HOP and name not in leave_out:
            kept.append(field)
    return [field for field in kept if field[0].lower() not in named] if named else kept


def lines(headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    """Headers as they stand on the wire."""
    return b"".join([b"%b: %b\r\n" % header for header in headers])


def answer(status: int, headers: Headers, body: bytes, close: bool) -> bytes:
    """A whole answer, ready to be written at once."""
    return b"HTTP/1.1 %d %b\r\n%bContent-Length: %d\r\n%b\r\n%b" % (
        status,
        REASONS.get(status, "").encode(),
        lines(headers),
        len(body),
        b"Connection: close\r\n" if close else b"",
        body,
    )


class BadAnswer(Exception):
    """What came is not HTTP, is cut short, or is larger than allowed."""


class AnswerParser:
    """The answers that come on one connection, one after the other."""

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self.extra = False  # bytes past the answer: the connection can't be trusted
        self.reset()

    def reset(self) -> None:
        """Make ready for the next answer."""
        self._head = 0  # of interim answers, too: they may not go on for ever
        self._framed = 0
        self.body = bytearray()
        self.complete = False
        self.keep_alive = False
        # Bytes of the body once the head is whole; where it does not tell, the most there may be.
        self.expected = 0
        self._next_head()

    def _next_head(self) -> None:
        self.status = 0
        self.headers: Headers = []
        self._head_done = False

    def feed(self, data: bytes) -> None:
        """Take in bytes; `BadAnswer` if they are none of HTTP's."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self.complete:
                raise BadAnswer(str(error)) from error
            self.extra = True
        if not self._head_done:
            self._count(len(data))
        elif not self.complete:
            # Guards against trailers and chunk sizes without end, which the parser keeps until they have one.
            self._framed += len(data)
            if self._framed > MAX_FRAMED:
                raise BadAnswer("the body does not end")

    def close(self) -> None:
        """No more comes; the parser refers back: without it the memory is free at once."""
        del self._parser

    def header(self, name: bytes) -> bytes | None:
        """A header's first value, without what is blank behind it (RFC 9110, 5.5)."""
        for key, value in self.headers:
            if key.lower() == name:
                return value.rstrip(b" \t")
        return None

    def _count(self, size: int) -> None:
        self._head += size
        if self._head > MAX_HEAD:
            raise BadAnswer("the head is too large")

    def on_message_begin(self) -> None:
        """Called by the parser. Guards against a second answer in the same bytes, which would
        go on into the headers, the status and the body of the first: nothing more is parsed.
        """
        if self.complete:
            raise BadAnswer("more than one answer")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser; trailers are counted and dropped, since the head was judged without."""
        self._count(len(name) + len(value))
        if not self._head_done:
            self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Called by the parser. Guards against lengths that can't be taken in: such an answer ends
        at its head, not after 64 KiB of it; and one that only its end would bound may be cut short.
        """
        self.status = self._parser.get_status_code()
        if self.status < 200:
            return
        self._head_done = True
        self.expected = MAX_BODY
        length = self.header(b"content-length")
        if length is not None:
            if int(length) > MAX_BODY:
                raise BadAnswer("the body is too large")
            self.expected = int(length)
        elif self.status not in (204, 304) and self.header(b"transfer-encoding") is None:
            raise BadAnswer("the body has no length")

    def on_body(self, data: bytes) -> None:
        """Called by the parser; what is too large ends the parse."""
        self.body += data
        if len(self.body) > MAX_BODY:
            raise BadAnswer("the body is too large")

    def on_message_complete(self) -> None:
        """Called by the parser; an interim answer (1xx) is passed over."""
        if self.status < 200:
            self._next_head()
            return
        self.complete = True
        self.keep_alive = self._parser.should_keep_alive()
