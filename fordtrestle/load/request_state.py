"""The state of a request while it is open, and of each of its attempts."""

from __future__ import annotations

from fordtrestle.load.client import Connection
from fordtrestle.load.mix import Request
from fordtrestle.load.wire import RequestTemplate


class RequestState:
    """Tracks one request over all its attempts. Times are in nanoseconds of the monotonic clock.

    Attributes:
        at_us: The intended send time, in microseconds from the start.
        class_index: The index of its class.
        tenant_index: The index of its tenant.
        template: The bytes that its attempts share.
        message: The bytes of its first attempt.
        budget_ns: How long its client waits, from `due_ns`.
        due_ns: The intended send time; set when it is sent.
        deadline_ns: When it is given up: `due_ns` plus its budget and the grace period.
        lag_ns: The time from `due_ns` to the send of its first attempt.
        last_sent_ns: When its last attempt was sent.
        status: The HTTP status of its last response; 0 without one.
        attempts: The number of attempts sent.
        attempts_in_flight: The number of attempts in flight, without those that were given up.
        is_retry_planned: Whether a retry is planned.
        is_finished: Whether its outcome is recorded.
    """

    __slots__ = (
        *(
            "at_us",
            "attempts",
            "attempts_in_flight",
            "budget_ns",
            "class_index",
            "due_ns",
            "is_finished",
            "is_retry_planned",
        ),
        *("lag_ns", "last_sent_ns", "deadline_ns", "message", "status", "template", "tenant_index"),
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
        self.due_ns = self.deadline_ns = 0
        self.lag_ns = 0
        self.last_sent_ns = 0
        self.status = 0
        self.attempts = 0
        self.attempts_in_flight = 0
        self.is_retry_planned = False
        self.is_finished = False


class Attempt:
    """Tracks one attempt of a request.

    Attributes:
        request: The request.
        message: The bytes of the attempt.
        sent_ns: When it was sent, in nanoseconds of the monotonic clock.
        connection: The connection that it was sent on; None if none was opened.
        is_resent: Whether it was sent a second time because the server closed the connection meanwhile.
        is_given_up: Whether a retry has replaced it, while its response would still be accepted.
        has_ended: Whether it has its response, or can no longer get one.
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
