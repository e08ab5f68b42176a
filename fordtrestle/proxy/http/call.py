"""One call of a client: its request as read, its encoding for a server, and its final answer."""

from __future__ import annotations

from typing import Protocol

from fordtrestle.proxy.engine.open_requests import OpenRequest
from fordtrestle.proxy.engine.ports import UpstreamResponse
from fordtrestle.proxy.http import requests
from fordtrestle.proxy.http.errors import BadRequestError
from fordtrestle.proxy.http.requests import Message, RequestNames
from fordtrestle.proxy.http.tracked_connection import TrackedConnection
from fordtrestle.proxy.http.wire import Headers


class OpenConnection(TrackedConnection, Protocol):
    """A connection that has received data, as its calls and the server see it.

    Attributes:
        buffered_bytes: The bytes that are charged to it in the server's quota.
    """

    buffered_bytes: int

    @property
    def acknowledged_bytes(self) -> int:
        """The bytes of responses that the client's kernel has acknowledged."""

    def has_disconnected(self) -> bool:
        """Return whether its client has closed or reset it."""

    def on_response(self) -> None:
        """Handle that a call has its response."""

    def on_call_over(self, call: ClientCall) -> None:
        """Handle that a request is answered and has no attempt in flight."""

    def reject(self, status: int, text: str = "") -> None:
        """Answer a request that reading can't continue from, after the requests before it."""

    def end_after_last(self) -> None:
        """Stop reading requests: the connection ends with the response to the last one read."""


class ClientCall:
    """One request on a connection, and its response once there is one.

    Attributes:
        connection: The connection that it arrived on.
        keep_alive: Whether the connection stays open after its response.
        request: The request in the engine, while it is in flight there.
        response: Status, fields and body, once they are final.
        traffic_class: The index of its class in the settings.
        tenant: The index of its tenant in the settings.
        key: A number that all requests of the same user share; None without a user.
        work: Its expected cost, in seconds of a server's work; None if unknown.
        again: Whether its client retries it.
        mutates: Whether its client says that it changes something.
        budget: Milliseconds from its last byte to its deadline.
        names: The names that its head was validated against.
        call_id: Its id, unique among the requests in flight; empty if it is not for servers.
        asks_for_counts: Whether it asks for the counts of this process.
        size_bytes: The size of its encoded head and body, which are kept for as long as it may be sent.
        charged_bytes: The bytes charged to the server's quota while it is in flight; 0 otherwise.
    """

    __slots__ = (
        "_body",
        "_head",
        "again",
        "asks_for_counts",
        "budget",
        "call_id",
        "charged_bytes",
        "connection",
        "keep_alive",
        "key",
        "mutates",
        "names",
        "request",
        "response",
        "size_bytes",
        "tenant",
        "traffic_class",
        "work",
    )

    def __init__(self, connection: OpenConnection) -> None:
        """Create a call before anything of its request is known."""
        self.connection = connection
        self.keep_alive = True
        self.request: OpenRequest | None = None
        self.response: tuple[int, Headers, bytes] | None = None
        self.traffic_class = self.tenant = 0
        self.key: int | None = None
        self.work: float | None = None
        self.again = self.mutates = False
        self.budget = 0.0
        self.names: RequestNames | None = None
        self.call_id = ""
        self.asks_for_counts = False
        self.size_bytes = 0
        self.charged_bytes = 0
        self._head = b""
        self._body = b""

    def read_head(self, message: Message, names: RequestNames) -> None:
        """Read the head of a request for servers.

        Raises:
            BadRequestError: A field is missing or malformed, or names something that is not in `names`.
        """
        request_class = requests.resolve_class(message, names)
        self.names = names
        self.traffic_class = request_class.traffic_class
        self.budget = requests.parse_budget(message.require("x-budget"))
        self.call_id = message.require("x-call-id")
        if requests.IDENTITY.fullmatch(self.call_id) is None:
            raise BadRequestError(400, "X-Call-Id: not an identity")
        if names.tenants:
            tenant = names.tenants.get(message.require("x-caller"))
            if tenant is None:
                raise BadRequestError(400, "X-Caller: not known")
            self.tenant = tenant
        user = requests.find_cookie(message.text("cookie") or "", "user")
        self.key = None if user is None else requests.stable_number(user)
        cost = message.text("x-call-cost")
        self.work = None if cost is None else requests.parse_cost(cost)
        self.again = message.text("x-again") == "1"
        self.mutates = "Mutates=1" in (message.text("x-call-info") or "").split(",")
        self._head = b"%b %b HTTP/1.1\r\n%b" % (
            message.method.encode(),
            message.target,
            message.encode_forwarded_fields(),
        )

    def set_body(self, message: Message) -> None:
        """Set the body and complete the head with its length."""
        self._body = bytes(message.body)
        # Guards against a body without a length (RFC 9112, 6.3): a server would read it as the next request.
        if message.method != "GET" or self._body:
            self._head += b"Content-Length: %d\r\n" % len(self._body)
        self.size_bytes = len(self._head) + len(self._body)

    @property
    def body_size(self) -> int:
        """The size of its body in bytes."""
        return len(self._body)

    def wire(self, left: float) -> bytes | None:
        """Encode the request for a server that has `left` ms to answer; None if its client disconnected."""
        if self.connection.has_disconnected():
            return None
        return b"%bX-Budget: %du\r\n\r\n%b" % (self._head, max(0.0, left) * 1000.0, self._body)

    def served(self, answer: UpstreamResponse) -> None:
        """Respond with the response of a server, its body unchanged."""
        self._finish(200, answer.headers, answer.body)

    def refused(self, retry_after: float) -> None:
        """Respond 503, with a Retry-After field if `retry_after` (ms) is above 0 (RFC 9110, 10.2.3)."""
        wait = [(b"Retry-After", b"%.3f" % (retry_after / 1000.0))] if retry_after > 0.0 else []
        self._finish(503, wait, b"")

    def failed(self, late: bool) -> None:
        """Respond 504 if it is too late for another attempt, else 502."""
        self._finish(504 if late else 502, [], b"")

    def on_finished(self) -> None:
        """Handle that no attempt is in flight any more: its id may be used again."""
        self.request = None
        self.connection.on_call_over(self)

    def _finish(self, status: int, headers: Headers, body: bytes) -> None:
        if self.response is None:
            self.response = (status, headers, body)
            self.connection.on_response()
