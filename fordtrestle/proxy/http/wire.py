"""HTTP/1.1 framing (RFC 9112) that both sides share: fields, responses and the parser of responses. Pure."""

from __future__ import annotations

from collections.abc import Iterable
from http import HTTPStatus

import httptools

from fordtrestle.proxy.http.errors import RemoteProtocolError

MAX_BODY_BYTES = 64 * 1024  # a body's content, of requests and responses
MAX_HEAD_BYTES = 16 * 1024  # names and values of a head's fields
# All bytes behind a head (RFC 9112, 7.1): a body in chunks of one byte each is six times as long.
MAX_FRAMED_BYTES = 8 * MAX_BODY_BYTES
REASON_PHRASES = {status.value: status.phrase for status in HTTPStatus}

Headers = list[tuple[bytes, bytes]]

CONNECTION_OPTIONS = frozenset((b"close", b"keep-alive", b""))  # that name no header
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
    """Take the fields that are for the other end, and not for this connection (RFC 9110, 7.6.1)."""
    kept, named = [], None
    for field in headers:
        name = field[0].lower()
        if name == b"connection":
            parts = {part.strip().lower() for part in field[1].split(b",")} - CONNECTION_OPTIONS
            named = parts if named is None else named | parts
        if name not in HOP_BY_HOP and name not in leave_out:
            kept.append(field)
    return [field for field in kept if field[0].lower() not in named] if named else kept


def encode_headers(headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    """Encode fields as lines."""
    return b"".join([b"%b: %b\r\n" % header for header in headers])


def encode_response(status: int, headers: Headers, body: bytes, close: bool) -> bytes:
    """Encode a complete response, to be written at once; `close` says that the connection ends with it."""
    return b"HTTP/1.1 %d %b\r\n%bContent-Length: %d\r\n%b\r\n%b" % (
        status,
        REASON_PHRASES.get(status, "").encode(),
        encode_headers(headers),
        len(body),
        b"Connection: close\r\n" if close else b"",
        body,
    )


class ResponseParser:
    """Parses the responses that come on one connection, one after the other.

    Attributes:
        status: The status code; 0 until the head is complete.
        headers: The fields, as they came.
        body: The body's content so far.
        is_complete: Whether the response is.
        keep_alive: Whether the server keeps the connection behind it.
        has_extra_bytes: Whether bytes came past a response: the connection can't be trusted.
        expected_bytes: The body's size once the head is complete; where it does not say, the most there may
            be.
    """

    def __init__(self) -> None:
        """Begin before the first response."""
        self._parser = httptools.HttpResponseParser(self)
        self.has_extra_bytes = False
        self.reset()

    def reset(self) -> None:
        """Make ready for the next response."""
        self._head_bytes = 0  # of interim answers, too: they may not go on for ever
        self._framed_bytes = 0
        self.body = bytearray()
        self.is_complete = False
        self.keep_alive = False
        self.expected_bytes = 0
        self._next_head()

    def _next_head(self) -> None:
        self.status = 0
        self.headers: Headers = []
        self._is_head_done = False

    def feed(self, data: bytes) -> None:
        """Parse bytes.

        Raises:
            RemoteProtocolError: They are no HTTP/1.1, or more than is allowed.
        """
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self.is_complete:
                raise RemoteProtocolError(str(error)) from error
            self.has_extra_bytes = True
        if not self._is_head_done:
            self._count(len(data))
        elif not self.is_complete:
            # Guards against trailers and chunk sizes without end, which the parser keeps until they have one.
            self._framed_bytes += len(data)
            if self._framed_bytes > MAX_FRAMED_BYTES:
                raise RemoteProtocolError("the body does not end")

    def close(self) -> None:
        """Nothing more comes; httptools refers back: without it the memory is free at once."""
        del self._parser

    def header(self, name: bytes) -> bytes | None:
        """Find a field's first value, without the blanks behind it (RFC 9110, 5.5)."""
        for key, value in self.headers:
            if key.lower() == name:
                return value.rstrip(b" \t")
        return None

    def _count(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > MAX_HEAD_BYTES:
            raise RemoteProtocolError("the head is too large")

    def on_message_begin(self) -> None:
        """Called by httptools: a response begins.

        Guards against a second response in the same bytes, which would go on into the headers, the status and
        the body of the first: nothing more is parsed.
        """
        if self.is_complete:
            raise RemoteProtocolError("more than one answer")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by httptools: a field; trailers are dropped, since the head was judged without them."""
        self._count(len(name) + len(value))
        if not self._is_head_done:
            self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Called by httptools: the head is complete.

        Guards against lengths that can't be taken in: such a response ends at its head, not after 64 KiB of
        it; and one that only the connection's end would bound (RFC 9112, 6.3) may be cut short.
        """
        self.status = self._parser.get_status_code()
        if self.status < 200:
            return
        self._is_head_done = True
        self.expected_bytes = MAX_BODY_BYTES
        length = self.header(b"content-length")
        if length is not None:
            if int(length) > MAX_BODY_BYTES:
                raise RemoteProtocolError("the body is too large")
            self.expected_bytes = int(length)
        elif self.status not in (204, 304) and self.header(b"transfer-encoding") is None:
            raise RemoteProtocolError("the body has no length")

    def on_body(self, data: bytes) -> None:
        """Called by httptools: a part of the body's content; what is too large ends the parse."""
        self.body += data
        if len(self.body) > MAX_BODY_BYTES:
            raise RemoteProtocolError("the body is too large")

    def on_message_complete(self) -> None:
        """Called by httptools: a response is complete; an interim one (RFC 9110, 15.2) is passed over."""
        if self.status < 200:
            self._next_head()
            return
        self.is_complete = True
        self.keep_alive = self._parser.should_keep_alive()
