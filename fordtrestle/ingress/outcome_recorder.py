"""What the results of sends prove of a request, of its servers and of their service.

`docs/design/admission.md` has the table. Only a rejection counts as load: a server that is absent says
nothing about the load of the others, and must not make this sidecar reject requests.
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
    SendResult,
)
from fordtrestle.routing.common import Prompt
from fordtrestle.routing.decisions import SendTo
from fordtrestle.routing.outlier_detection import FAILURE_STATUSES
from fordtrestle.routing.request_attempts import RequestAttempts
from fordtrestle.routing.router import Router
from fordtrestle.routing.server import Server

OVERLOAD_STATUSES = (429, 503)  # of a rejection: the server is full


class OutcomeRecorder:
    """Records the results of one request's sends."""

    def __init__(self, router: Router, prompt: Prompt, attempts: RequestAttempts) -> None:
        """Begin with a request that has not been sent.

        Args:
            router: Holds what is known of servers and services.
            prompt: The request's.
            attempts: The request's attempts, which are counted here.
        """
        self._router = router
        self._prompt = prompt
        self._attempts = attempts

    def record(self, send: SendTo, result: SendResult, elapsed_s: float, now: float) -> None:
        """Record the result of one send.

        Args:
            send: The decision that it was sent by.
            result: What came of it.
            elapsed_s: The time from the send to the result.
            now: s, loop clock.
        """
        server = send.server
        if not isinstance(result, ConnectFailed | NotSent):
            is_rejected = isinstance(result, RejectedByServer)
            self._attempts.record_send(server.instance, rejected=is_rejected)
        match result:
            case Answered(response):
                self._on_answer(send, response.status, elapsed_s, now)
            case RejectedByServer(status):
                self._on_rejection(send, status, now)
            case ConnectFailed():
                self._on_connect_failure(server, now)
            case ConnectionBroken():
                self._on_broken_connection(server, now)
            case DeadlineExceeded():
                self._on_deadline_exceeded(server, now - elapsed_s)

    def record_outcome(self, server: Server, failed: bool) -> None:
        """Record whether a server failed a request that it took; it may be ejected for it."""
        if self._router.record_outcome(server, failed, asyncio.get_running_loop().time()):
            eliot.log_message("servers:ejected", instance=server.instance)

    def record_broken_body(self, server: Server) -> None:
        """Record that an answer broke off in its body: the server's head had counted as a success."""
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
            send.server.is_misdirected = True  # another incarnation is at its address

    def _on_connect_failure(self, server: Server, now: float) -> None:
        server.on_connection_failure(now)
        self._attempts.connect_failures += 1

    def _on_broken_connection(self, server: Server, now: float) -> None:
        server.on_connection_failure(now)
        self.record_outcome(server, failed=True)
        self._attempts.may_have_run = True

    def _on_deadline_exceeded(self, server: Server, sent_at: float) -> None:
        """Only silence counts: one that answers others meanwhile may have got a request that takes long."""
        if server.has_not_answered_since(sent_at):
            self.record_outcome(server, failed=True)
        self._attempts.may_have_run = True
