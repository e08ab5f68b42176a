"""Parses the requests of one connection and limits their size. Pure: bytes in, method calls out."""

from __future__ import annotations

from typing import Protocol

import httptools

from fordtrestle.proxy.http import requests, wire
from fordtrestle.proxy.http.errors import BadRequestError
from fordtrestle.proxy.http.requests import Message

# The most bytes of an incomplete request's head, and of its body's framing (chunk sizes, chunk extensions,
# trailers), some of which httptools buffers until they end. Twice the limit of a complete head, since white
# space and line ends count here as well.
MAX_UNFINISHED_BYTES = 2 * wire.MAX_HEAD_BYTES


class RequestEvents(Protocol):
    """Events of the requests that a parser finds, reported in order while it is fed."""

    def on_request_begun(self) -> bool:
        """Handle the first byte of a request; return whether the request is to be read."""

    def on_head(self, message: Message) -> None:
        """Handle a complete head before its body.

        Raises:
            BadRequestError: The request is rejected.
        """

    def on_request(self, message: Message, keep_alive: bool) -> None:
        """Handle a complete request; `keep_alive` says whether its client keeps the connection open."""


class RequestParser:
    """Parses the bytes of one connection, and raises at the first error that parsing can't continue from.

    The parser and its events refer to each other: `close` breaks this reference cycle, so that memory is
    freed without the garbage collector.

    Attributes:
        message: The incomplete request; None between requests.
    """

    def __init__(self, events: RequestEvents) -> None:
        """Start between requests; each is reported to `events`."""
        self._events = events
        self._parser = httptools.HttpRequestParser(self)
        self.message: Message | None = None
        self._head_bytes = 0
        # The bytes being parsed and the end of those before them, to find a request line that was split.
        self._chunk = self._tail = b""
        self._framing_bytes = 0  # bytes read of a validated request, including its body
        self._is_complete_in_chunk = False

    @property
    def unfinished_bytes(self) -> int:
        """The bytes buffered of the incomplete request."""
        return 0 if self.message is None else self._head_bytes + len(self.message.body)

    def feed(self, data: bytes) -> None:
        """Parse bytes.

        Raises:
            BadRequestError: The bytes are not HTTP/1.1 (RFC 9112), or their request is rejected. The text is
                empty if the status says enough.
        """
        self._chunk, self._is_complete_in_chunk = data, False
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            cause = error.__context__
            if isinstance(cause, BadRequestError):
                raise BadRequestError(cause.status, str(cause)) from error
            raise BadRequestError(400, "") from error
        finally:
            self._chunk = b""
        if self.message is not None:
            self._limit_unfinished(self.message, data)

    def drop_message(self) -> None:
        """Drop the incomplete request, as it is rejected."""
        self.message = None

    def close(self) -> None:
        """Release the parser and its events."""
        self.message = None
        del self._parser, self._events

    def _limit_unfinished(self, message: Message, data: bytes) -> None:
        """Limit an incomplete request, whose parts httptools does not report until they are complete."""
        if not message.is_validated:
            self._head_bytes += len(data)
            if self._head_bytes > MAX_UNFINISHED_BYTES:
                raise BadRequestError(431, "")
            raw = self._tail + data
            if message.names_other_protocol(raw):
                raise BadRequestError(505, "")
            self._tail = raw[-2 * requests.TARGET_TAIL_BYTES :]
        elif not self._is_complete_in_chunk:  # otherwise the bytes of the framing are unknown
            self._framing_bytes += len(data)
            if self._framing_bytes - len(message.body) > MAX_UNFINISHED_BYTES:
                raise BadRequestError(400, "")  # endless chunk extensions or trailers (RFC 9112, 7.1)

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > wire.MAX_HEAD_BYTES:
            raise BadRequestError(431, "headers too large")  # RFC 6585, 5

    # --- called by httptools ---------------------------------------------------

    def on_message_begin(self) -> None:
        """Start a request."""
        if not self._events.on_request_begun():
            return
        self.message = Message()
        self._head_bytes = self._framing_bytes = 0
        self._tail = b""

    def on_url(self, target: bytes) -> None:
        """Append to the target, which arrives in one or more parts."""
        if self.message is not None:
            self.message.target += target
            self._count_head(len(target))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a field.

        Trailers are counted but dropped, because the head was validated without them (RFC 9110, 6.5.1).
        """
        message = self.message
        if message is None:
            return
        self._count_head(len(name) + len(value))
        if not message.is_validated:
            message.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Validate the head before its body arrives: a client that sends 60 MB is answered at once."""
        message = self.message
        if message is None:
            return
        message.method = self._parser.get_method().decode("latin-1")
        raw = self._tail + self._chunk if self._tail else self._chunk
        # RFC 9110, 15.6.6: only HTTP/1.x, none of the other protocols that httptools accepts.
        if self._parser.get_http_version() not in ("1.0", "1.1") or message.names_other_protocol(raw):
            raise BadRequestError(505, "only HTTP/1.1")
        message.finish_head()
        self._events.on_head(message)

    def on_body(self, data: bytes) -> None:
        """Append a part of the body."""
        if self.message is not None:
            self.message.body += data
            if len(self.message.body) > wire.MAX_BODY_BYTES:
                raise BadRequestError(413, "body too large")  # RFC 9110, 15.5.14

    def on_message_complete(self) -> None:
        """Report the complete request."""
        message, self.message = self.message, None
        self._is_complete_in_chunk = True
        if message is not None:
            self._events.on_request(message, self._parser.should_keep_alive())
