"""One request while it is open, and each of its attempts."""

from __future__ import annotations

from fordtrestle.load.client import Connection
from fordtrestle.load.mix import Request
from fordtrestle.load.wire import RequestTemplate


class RequestState:
    """One request with all its attempts. Times are in nanoseconds of the monotonic clock.

    Attributes:
        at_us: Its intended time from the start, in microseconds.
        class_index: Its class.
        tenant_index: Its tenant.
        template: The bytes that its attempts share.
        message: The bytes of its first attempt.
        budget_ns: How long its client waits.
        due_ns: Its intended time; set when it is sent.
        limit_ns: When it is given up: its budget and the grace after `due_ns`.
        lag_ns: How long after `due_ns` it was sent.
        last_sent_ns: When its last attempt was sent.
        status: The HTTP status of its last response; 0: none.
        attempts: Attempts that were sent.
        attempts_out: Attempts that are waited for.
        is_waiting: Whether a retry is planned.
        is_over: Whether its outcome is recorded.
    """

    __slots__ = (
        *("at_us", "attempts", "attempts_out", "budget_ns", "class_index", "due_ns", "is_over", "is_waiting"),
        *("lag_ns", "last_sent_ns", "limit_ns", "message", "status", "template", "tenant_index"),
    )

    def __init__(
        self, request: Request, class_index: int, tenant_index: int, template: RequestTemplate, message: bytes
    ) -> None:
        self.at_us = request.at_us
        self.class_index = class_index
        self.tenant_index = tenant_index
        self.template = template
        self.message = message
        self.budget_ns = request.budget_us * 1000
        self.due_ns = self.limit_ns = 0
        self.lag_ns = 0
        self.last_sent_ns = 0
        self.status = 0
        self.attempts = 0
        self.attempts_out = 0
        self.is_waiting = False
        self.is_over = False


class Attempt:
    """One attempt of a request.

    Attributes:
        request: The request.
        message: Its bytes.
        sent_ns: When it was sent.
        connection: The connection that it was sent on; None: none came up.
        is_resent: Whether it was sent once more after it had crossed a connection's close.
        is_given_up: Whether a retry has taken its place while its response is still listened for.
        has_ended: Whether nothing more can come of it.
    """

    __slots__ = ("connection", "has_ended", "is_given_up", "is_resent", "message", "request", "sent_ns")

    def __init__(self, request: RequestState, message: bytes, sent_ns: int) -> None:
        self.request = request
        self.message = message
        self.sent_ns = sent_ns
        self.connection: Connection | None = None
        self.is_resent = False
        self.is_given_up = False
        self.has_ended = False
