"""The requests that come over one connection: parsed, and bounded in size. Pure: bytes in, calls out."""

from __future__ import annotations

from typing import Protocol

import httptools

from fordtrestle.proxy.http import requests, wire
from fordtrestle.proxy.http.errors import BadRequestError
from fordtrestle.proxy.http.requests import Message

# Of a request that is not complete: bytes of its head as they came, and bytes beside its body's content
# (chunk sizes, chunk extensions, trailers), some of which httptools keeps until they end. Twice the limit of
# a complete head, since blanks and line ends count here, too.
MAX_UNFINISHED_BYTES = 2 * wire.MAX_HEAD_BYTES


class RequestEvents(Protocol):
    """What a parser reports of the requests that it finds, in their order, while it is fed."""

    def on_request_begun(self) -> bool:
        """The first byte of a request has come; whether it is to be read at all."""

    def on_head(self, message: Message) -> None:
        """A head is complete, its body is not yet; raises `BadRequestError` if the request is rejected."""

    def on_request(self, message: Message, keep_alive: bool) -> None:
        """The last byte of a request has been read; whether its client keeps the connection."""


class RequestParser:
    """Parses what comes over one connection, and raises at the first thing that can't be read on from.

    The parser refers to its events, and these to the parser: `close` ends both, so that the memory is free
    without a run of the garbage collector.

    Attributes:
        message: The request that is not complete, if one is.
    """

    def __init__(self, events: RequestEvents) -> None:
        """Begin between requests; each is reported to `events`."""
        self._events = events
        self._parser = httptools.HttpRequestParser(self)
        self.message: Message | None = None
        self._head_bytes = 0
        # What is being read, and the end of what was before it, in which a split request line is found again.
        self._chunk = self._tail = b""
        self._framing_bytes = 0  # read of a message beside its body; 0 until that is known
        self._is_complete_in_chunk = False

    @property
    def unfinished_bytes(self) -> int:
        """Bytes held of the request that is not complete."""
        return 0 if self.message is None else self._head_bytes + len(self.message.body)

    def feed(self, data: bytes) -> None:
        """Parse bytes.

        Raises:
            BadRequestError: They are no HTTP/1.1 (RFC 9112), or the request in them is rejected; its text is
                empty where the status says it all.
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
        """Forget the request that is not complete: it is rejected."""
        self.message = None

    def close(self) -> None:
        """Nothing more comes."""
        self.message = None
        del self._parser, self._events

    def _limit_unfinished(self, message: Message, data: bytes) -> None:
        """Guards against half-sent requests without end: the parser counts only what is complete."""
        if not message.is_judged:
            self._head_bytes += len(data)
            if self._head_bytes > MAX_UNFINISHED_BYTES:
                raise BadRequestError(431, "")
            raw = self._tail + data
            if message.names_other_protocol(raw):
                raise BadRequestError(505, "")
            self._tail = raw[-2 * requests.TARGET_TAIL_BYTES :]
        elif not self._is_complete_in_chunk:  # else what else is in these bytes is not known
            self._framing_bytes += len(data)
            if self._framing_bytes - len(message.body) > MAX_UNFINISHED_BYTES:
                raise BadRequestError(400, "")  # chunk extensions or trailers without end (RFC 9112, 7.1)

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > wire.MAX_HEAD_BYTES:
            raise BadRequestError(431, "headers too large")  # RFC 6585, 5

    # --- called by httptools ---------------------------------------------------

    def on_message_begin(self) -> None:
        """A request begins."""
        if not self._events.on_request_begun():
            return
        self.message = Message()
        self._head_bytes = self._framing_bytes = 0
        self._tail = b""

    def on_url(self, target: bytes) -> None:
        """The target, at once or in parts."""
        if self.message is not None:
            self.message.target += target
            self._count_head(len(target))

    def on_header(self, name: bytes, value: bytes) -> None:
        """A field; trailers are counted and dropped, since the head was judged without (RFC 9110, 6.5.1)."""
        message = self.message
        if message is None:
            return
        self._count_head(len(name) + len(value))
        if not message.is_judged:
            message.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """The head is judged before its body has come: who sends 60 MB is answered at once."""
        message = self.message
        if message is None:
            return
        message.method = self._parser.get_method().decode("latin-1")
        raw = self._tail + self._chunk if self._tail else self._chunk
        # RFC 9110, 15.6.6: HTTP/1.x only, and none of the other protocols that httptools reads, too.
        if self._parser.get_http_version() not in ("1.0", "1.1") or message.names_other_protocol(raw):
            raise BadRequestError(505, "only HTTP/1.1")
        message.finish_head()
        self._events.on_head(message)

    def on_body(self, data: bytes) -> None:
        """A part of the body's content."""
        if self.message is not None:
            self.message.body += data
            if len(self.message.body) > wire.MAX_BODY_BYTES:
                raise BadRequestError(413, "body too large")  # RFC 9110, 15.5.14

    def on_message_complete(self) -> None:
        """The last byte of a request has been read."""
        message, self.message = self.message, None
        self._is_complete_in_chunk = True
        if message is not None:
            self._events.on_request(message, self._parser.should_keep_alive())
