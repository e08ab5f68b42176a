"""HTTP/1.1 framing (RFC 9112) shared by client and server connections. Pure."""

from __future__ import annotations

from collections.abc import Iterable
from http import HTTPStatus

import httptools

from fordtrestle.proxy.http.errors import RemoteProtocolError

MAX_BODY_BYTES = 64 * 1024  # the largest body of a request or response, without its framing
MAX_HEAD_BYTES = 16 * 1024  # the largest sum of all names and values of a head
# The most bytes after a head (RFC 9112, 7.1); a body in chunks of one byte takes six times its size.
MAX_FRAMED_BYTES = 8 * MAX_BODY_BYTES
REASON_PHRASES = {status.value: status.phrase for status in HTTPStatus}

Headers = list[tuple[bytes, bytes]]

CONNECTION_OPTIONS = frozenset((b"close", b"keep-alive", b""))  # options that name no header
# Headers that concern one connection, or framing that is written anew for each connection.
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
    """Return the end-to-end fields, without those for this connection (RFC 9110, 7.6.1)."""
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
    """Encode fields as header lines."""
    return b"".join([b"%b: %b\r\n" % header for header in headers])


def encode_response(status: int, headers: Headers, body: bytes, close: bool) -> bytes:
    """Encode a complete response; `close` announces that the connection ends with it."""
    return b"HTTP/1.1 %d %b\r\n%bContent-Length: %d\r\n%b\r\n%b" % (
        status,
        REASON_PHRASES.get(status, "").encode(),
        encode_headers(headers),
        len(body),
        b"Connection: close\r\n" if close else b"",
        body,
    )


class ResponseParser:
    """Parses the responses on one connection, one after the other.

    Attributes:
        status: The status code; 0 until the head is complete.
        headers: The fields, as received.
        body: The body so far.
        is_complete: Whether the response is complete.
        keep_alive: Whether the server keeps the connection open after it.
        has_extra_bytes: Whether bytes followed a response, so that the connection can't be trusted.
        expected_bytes: The size of the body once the head is complete; the largest allowed size if the head
            does not give it.
    """

    def __init__(self) -> None:
        """Start before the first response."""
        self._parser = httptools.HttpResponseParser(self)
        self.has_extra_bytes = False
        self.reset()

    def reset(self) -> None:
        """Prepare for the next response."""
        self._head_bytes = 0  # includes interim responses, so that they can't be endless
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
            RemoteProtocolError: The bytes are not HTTP/1.1, or exceed a limit.
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
            # Guards against endless trailers and chunk sizes, which the parser buffers until they end.
            self._framed_bytes += len(data)
            if self._framed_bytes > MAX_FRAMED_BYTES:
                raise RemoteProtocolError("the body with its framing is too large")

    def close(self) -> None:
        """Release the httptools parser, whose reference back would delay freeing the memory."""
        del self._parser

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a field without trailing white space (RFC 9110, 5.5); None if missing."""
        for key, value in self.headers:
            if key.lower() == name:
                return value.rstrip(b" \t")
        return None

    def _count(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > MAX_HEAD_BYTES:
            raise RemoteProtocolError("the head is too large")

    def on_message_begin(self) -> None:
        """Handle the start of a response; called by httptools.

        Stops parsing at a second response in the same bytes, which would otherwise overwrite the headers, the
        status and the body of the first one.
        """
        if self.is_complete:
            raise RemoteProtocolError("more than one response")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a field; called by httptools. Trailers are dropped, as the head is complete without them."""
        self._count(len(name) + len(value))
        if not self._is_head_done:
            self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Check the length of a response at the end of its head; called by httptools.

        A body that is too large is rejected at its head, not after 64 KiB of it. A body without a length,
        which only the end of the connection would delimit (RFC 9112, 6.3), is rejected as it may be
        truncated.
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
        """Append a part of the body; called by httptools. A body that is too large ends parsing."""
        self.body += data
        if len(self.body) > MAX_BODY_BYTES:
            raise RemoteProtocolError("the body is too large")

    def on_message_complete(self) -> None:
        """Complete a response; called by httptools. Interim responses (RFC 9110, 15.2) are skipped."""
        if self.status < 200:
            self._next_head()
            return
        self.is_complete = True
        self.keep_alive = self._parser.should_keep_alive()
