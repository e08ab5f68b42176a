"""Records what the results of sends prove about a request, its servers and their service.

`docs/design/admission.md` contains the table. Only a rejection indicates load: an absent server provides no
information about the load of the others, and must not cause this sidecar to reject requests.
"""

from __future__ import annotations

import asyncio

import eliot

from fordtrestle.forward.headers import MISDIRECTED_STATUS
from fordtrestle.forward.results import (
    Answered,
    ConnectFailed,
    ConnectionBroken,
    DeadlineExceeded,
    NotSent,
    RejectedByServer,
    Revoked,
    SendResult,
    Withdrawn,
)
from fordtrestle.routing.common import Prompt
from fordtrestle.routing.decisions import SendTo
from fordtrestle.routing.outlier_detection import FAILURE_STATUSES
from fordtrestle.routing.request_attempts import RequestAttempts
from fordtrestle.routing.router import Router
from fordtrestle.routing.server import Server

OVERLOAD_STATUSES = (429, 503)  # rejections with these statuses indicate an overloaded server


class OutcomeRecorder:
    """Records the results of one request's sends."""

    def __init__(self, router: Router, prompt: Prompt, attempts: RequestAttempts) -> None:
        """Create a recorder for a request that has not been sent.

        Args:
            router: Holds the state of servers and services.
            prompt: The description of the request's prompt.
            attempts: The attempts of the request, which this recorder updates.
        """
        self._router = router
        self._prompt = prompt
        self._attempts = attempts

    def record(self, send: SendTo, result: SendResult, elapsed_s: float, now: float) -> None:
        """Record the result of one send.

        Args:
            send: The decision to send the request.
            result: The result.
            elapsed_s: The time from the send to the result, in seconds.
            now: Seconds of the loop's clock.
        """
        server = send.server
        if not isinstance(result, ConnectFailed | NotSent | Withdrawn):
            is_rejected = isinstance(result, RejectedByServer)
            self._attempts.record_send(server.instance, rejected=is_rejected)
        match result:
            case Answered(response):
                self._on_answer(send, response.status, elapsed_s, now)
            case RejectedByServer(status):
                self._on_rejection(send, status, now)
            case ConnectFailed():
                self._on_connect_failure(server, now)
            case Withdrawn():
                self._attempts.withdrawals += 1
            case ConnectionBroken():
                self._on_broken_connection(server, now)
            case Revoked():
                self._attempts.may_have_run = True
            case DeadlineExceeded():
                self._on_deadline_exceeded(server, now - elapsed_s)

    def record_outcome(self, server: Server, failed: bool) -> None:
        """Record whether a server failed a request that it accepted, which may eject the server."""
        if self._router.record_outcome(server, failed, asyncio.get_running_loop().time()):
            eliot.log_message("servers:ejected", instance=server.instance)

    def record_broken_body(self, server: Server) -> None:
        """Record that the body of a response broke off, after its head was recorded as a success."""
        self.record_outcome(server, failed=True)
        self._attempts.may_have_run = True

    def _on_answer(self, send: SendTo, status: int, elapsed_s: float, now: float) -> None:
        server, router = send.server, self._router
        server.on_answer(now)
        failed = status in FAILURE_STATUSES
        self._attempts.may_have_run |= failed
        self.record_outcome(server, failed)
        router.admission.record_accepted(send.callee, now)
        target_s = send.route.latency_target_s
        router.selector.on_answer(send.callee, server, self._prompt, elapsed_s, target_s, now)

    def _on_rejection(self, send: SendTo, status: int, now: float) -> None:
        send.server.on_answer(now)
        if status in OVERLOAD_STATUSES:
            self._router.admission.record_rejected(send.callee, now)
        elif status == MISDIRECTED_STATUS:
            send.server.is_misdirected = True  # its address belongs to another incarnation

    def _on_connect_failure(self, server: Server, now: float) -> None:
        server.on_connection_failure(now)
        self._attempts.connect_failures += 1

    def _on_broken_connection(self, server: Server, now: float) -> None:
        server.on_connection_failure(now)
        self.record_outcome(server, failed=True)
        self._attempts.may_have_run = True

    def _on_deadline_exceeded(self, server: Server, sent_at: float) -> None:
        """Record a failure only if the server was silent: otherwise the request may just take long."""
        if server.has_not_answered_since(sent_at):
            self.record_outcome(server, failed=True)
        self._attempts.may_have_run = True
