"""The client side of HTTP/1.1: encodes requests, and parses the responses on a connection. Pure.

Requests have the headers of the platform's protocol (docs/PROTOCOL): a new id for each attempt, the class in
a header and in the path, the budget with its unit, and for a keyed class the same key in each attempt.
"""

from __future__ import annotations

from dataclasses import dataclass

import httptools

from fordtrestle.load.errors import ResponseError

MAX_RESPONSE_BODY_BYTES = 2 * 1024 * 1024  # bodies are counted, not stored
MAX_RESPONSE_HEAD_BYTES = 64 * 1024  # bounds what a malformed response makes the parser read
MAX_RETRY_AFTER_S = 1e9  # a longer wait can't be meant and is ignored
FILLER = b"0123456789abcde\n"
METHODS = {"pure": b"GET", "keyed": b"POST", "unsafe": b"POST"}
FIRST_FINAL_STATUS = 200  # lower statuses are interim responses (RFC 9110, 15.2)
STATUSES_WITHOUT_BODY = (204, 304)


def filler(size: int) -> bytes:
    """Return a request body of `size` bytes."""
    return (FILLER * (size // len(FILLER) + 1))[:size]


@dataclass(frozen=True, slots=True)
class RequestHead:
    """The part of the request head that all requests of a class share."""

    class_name: str
    semantics: str
    path: str
    host: str

    def encode(self) -> bytes:
        """Return the first lines of a request."""
        return b"%b %b HTTP/1.1\r\nHost: %b\r\nX-Call-Class: %b\r\n" % (
            METHODS[self.semantics],
            self.path.encode(),
            self.host.encode(),
            self.class_name.encode(),
        )


def encode_budget(budget_us: int) -> bytes:
    """Return the value of X-Budget: in whole milliseconds (`m`) if possible, else in microseconds (`u`)."""
    return b"%dm" % (budget_us // 1000) if budget_us % 1000 == 0 else b"%du" % budget_us


class RequestTemplate:
    """The bytes that all attempts of a request share."""

    __slots__ = ("_after_budget", "_before_id")

    def __init__(self, head: bytes, semantics: str, tenant: str, key: str, token: str, size: int) -> None:
        """Encode the shared bytes.

        Args:
            head: The encoded `RequestHead` of the class.
            semantics: The semantics of the class.
            tenant: The value of X-Caller; empty for none.
            key: The user in the cookie; empty for none.
            token: The idempotency key, which only a keyed class sends.
            size: The size of the body in bytes; a pure class sends none.
        """
        self._before_id = head
        lines = [f"X-Caller: {tenant}\r\n" if tenant else "", f"Cookie: user={key}\r\n" if key else ""]
        if semantics == "keyed":
            lines.append(f"Idempotency-Key: {token}\r\n")
        if semantics != "pure":
            lines.append(f"Content-Length: {size}\r\n")
        self._after_budget = (
            "".join(lines).encode() + b"\r\n" + (filler(size) if semantics != "pure" else b"")
        )

    def encode_attempt(self, call_id: str, budget_us: int, is_marked: bool) -> bytes:
        """Return the bytes of one attempt; a marked one carries X-Again, which says that it is a retry."""
        return b"%bX-Call-Id: %b\r\nX-Budget: %b\r\n%b%b" % (
            self._before_id,
            call_id.encode(),
            encode_budget(budget_us),
            b"X-Again: 1\r\n" if is_marked else b"",
            self._after_budget,
        )


class ResponseReader:
    """Parses the responses on one connection, one after the other.

    Attributes:
        status: The status of the current response; 0 if it is not known yet.
        has_received: Whether any byte was received since `begin`.
        is_complete: Whether the current response is complete.
        can_keep_alive: Whether the connection can carry another request after the current response.
        retry_after_s: The value of Retry-After in seconds; None if it is absent, a date, or out of range.
    """

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self.begin()

    def begin(self) -> None:
        """Prepare for the response to a new request."""
        self._has_length = self._has_head = False
        self._head_bytes = self._body_bytes = 0
        self.status = 0
        self.has_received = self.is_complete = self.can_keep_alive = False
        self.retry_after_s: float | None = None

    def feed(self, data: bytes) -> None:
        """Parse received bytes.

        Raises:
            ResponseError: The bytes are not one valid response, or the response is too large.
        """
        self.has_received = True
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            raise ResponseError(str(error)) from None
        if not self._has_head:
            self._head_bytes += len(data)
        if self._head_bytes > MAX_RESPONSE_HEAD_BYTES or self._body_bytes > MAX_RESPONSE_BODY_BYTES:
            raise ResponseError("the head or the body of the response is too large")

    def on_connection_closed(self) -> bool:
        """Return whether the response is complete; one without a length ends with the connection."""
        self.is_complete = self.is_complete or (self._has_head and not self._has_length)
        return self.is_complete

    def close(self) -> None:
        """Drop the parser, which refers back to the reader; without the cycle all memory is freed at once."""
        del self._parser

    # --- called by the parser --------------------------------------------------

    def on_message_begin(self) -> None:
        """Reject a second response to the same request, which would be taken for that to the next request."""
        if self.is_complete:
            raise ResponseError("more than one response to a request")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handle the headers that determine the length of the body, and Retry-After."""
        name = name.lower()
        if name in (b"content-length", b"transfer-encoding"):
            self._has_length = True
        elif name == b"retry-after":
            try:
                seconds = float(value)
            except ValueError:
                return  # a date, which the platform's clients neither send nor read
            self.retry_after_s = seconds if 0.0 <= seconds < MAX_RETRY_AFTER_S else None

    def on_headers_complete(self) -> None:
        """Store the status, unless the response is an interim one."""
        status = self._parser.get_status_code()
        if status >= FIRST_FINAL_STATUS:
            self.status, self._has_head = status, True
            self._has_length = self._has_length or status in STATUSES_WITHOUT_BODY

    def on_body(self, data: bytes) -> None:
        """Count the bytes of the body."""
        self._body_bytes += len(data)

    def on_message_complete(self) -> None:
        """Mark the response complete, unless it is an interim one."""
        if self._has_head:
            self.is_complete = True
            self.can_keep_alive = self._parser.should_keep_alive()
