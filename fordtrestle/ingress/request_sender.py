"""Sends a request to one server at a time, and tracks it as in flight there."""

from __future__ import annotations

import asyncio
from functools import partial

from multidict import CIMultiDict

from fordtrestle.forward import connections
from fordtrestle.forward.client import OutboundRequest
from fordtrestle.forward.headers import LAST_EVENT_ID, PRIORITY, headers_for_server, update_deadline
from fordtrestle.forward.results import Answered, ConnectionBroken, Revoked, SendResult
from fordtrestle.forward.server_connection import local_port
from fordtrestle.ingress.inbound_request import HandlerContext, InboundRequest
from fordtrestle.ingress.outcome_recorder import OutcomeRecorder
from fordtrestle.ingress.send_log import Attempt, Proof, SentRequest, proof_of
from fordtrestle.routing.decisions import SendTo
from fordtrestle.routing.request_attempts import RequestAttempts


class RequestSender:
    """Sender of a single request; the caller must call `release` at the end, also after an error."""

    def __init__(
        self,
        context: HandlerContext,
        inbound: InboundRequest,
        attempts: RequestAttempts,
        recorder: OutcomeRecorder,
    ) -> None:
        """Create a sender for a request that has not been sent.

        Args:
            context: The objects that all handlers share.
            inbound: The request.
            attempts: The attempts of the request, which the recorder updates.
            recorder: Records the results.
        """
        self._router = context.router
        self._forwarder = context.forwarder
        self._inbound = inbound
        self._attempts = attempts
        self._recorder = recorder
        self._send_log = context.send_log
        self._priority = context.priority_assigner.assign(inbound.prompt.own_tokens)
        self._attempt_count = 0
        self._last_proof: Proof | None = None  # what the result of the last attempt proves
        self._current: SendTo | None = None  # the send that is in flight
        self._sent_at = 0.0  # in seconds of the loop's clock
        self._port: int | None = None  # this process's port of the current send's connection
        self._is_answered = False  # whether the head of the current server's response was received
        self._is_revoked = False  # whether the current send's connection was reset by this sidecar

    async def send(self, send: SendTo, last_event_id: str = "") -> SendResult:
        """Send the request to one server, and record the result.

        Args:
            send: The server and the deadline.
            last_event_id: The id of the event after which a stream continues; empty at its start.

        Returns:
            The result. The request remains in flight until the next send or `release`.
        """
        loop = asyncio.get_running_loop()
        server = send.server
        outbound = self._make_outbound(send, last_event_id)
        self.release()
        self._mark_in_flight(send)
        self._sent_at = loop.time()
        self._port = None
        self._is_answered = False
        self._is_revoked = False
        self._log_attempt(send)
        tokens = self._inbound.prompt.own_tokens or 0
        server.prefill_tokens += tokens
        try:
            result = await self._forwarder.send(
                server.record.address, outbound, send.deadline, partial(self._is_allowed, send)
            )
        except asyncio.CancelledError:
            self._send_log.record_cancelled(self._make_sent(send, self._elapsed_s()))
            raise
        finally:
            self._attempts.on_forbidden = None
            server.prefill_tokens -= tokens
        if self._is_revoked and isinstance(result, ConnectionBroken):
            result = Revoked()
        self._is_answered = isinstance(result, Answered)
        elapsed_s = self._elapsed_s()
        self._last_proof = proof_of(result)
        self._recorder.record(send, result, elapsed_s, loop.time())
        self._send_log.record_result(self._make_sent(send, elapsed_s), result)
        return result

    def record_incomplete(self, end: str) -> None:
        """Log that the current server's response, if it has begun, ended early; `end` says how."""
        if self._current is not None and self._is_answered:
            self._send_log.record_incomplete(self._make_sent(self._current, self._elapsed_s()), end)

    def record_broken_stream(self) -> None:
        """Record that the response of the current server broke off."""
        if self._current is not None:
            self._recorder.record_outcome(self._current.server, failed=True)

    def release(self) -> None:
        """Stop counting the request as in flight."""
        if self._current is not None:
            self._current.server.in_flight -= 1
            self._current = None

    def _is_allowed(
        self, send: SendTo, headers: CIMultiDict[str], transport: asyncio.Transport | None
    ) -> bool:
        """Return whether a send that has a connection is still allowed, and update its deadline.

        From then on until its response begins, the send is revoked once it is no longer allowed.
        """
        now = asyncio.get_running_loop().time()
        self._port = local_port(transport)
        update_deadline(headers, send.deadline - now)
        waited_s = now - self._sent_at
        if not self._router.still_allows(send, self._inbound.metadata, self._attempts, waited_s, now):
            return False
        if transport is not None:
            self._attempts.on_forbidden = partial(self._revoke, transport)
        return True

    def _revoke(self, transport: asyncio.Transport) -> None:
        """Reset the connection of the current send: its server may not have begun the run yet.

        Most servers drop a request whose connection ends (PROTOCOL: servers).
        """
        self._is_revoked = True
        connections.reset(transport)

    def _log_attempt(self, send: SendTo) -> None:
        self._attempt_count += 1
        inbound = self._inbound
        attempt = Attempt(inbound.request_id, inbound.client, self._attempt_count, self._last_proof)
        self._send_log.record_attempt(attempt, send)

    def _make_sent(self, send: SendTo, elapsed_s: float) -> SentRequest:
        return SentRequest(self._inbound.request_id, send, elapsed_s, self._port)

    def _mark_in_flight(self, send: SendTo) -> None:
        send.server.in_flight += 1
        self._current = send

    def _elapsed_s(self) -> float:
        """Return the time since the current send, in seconds."""
        return asyncio.get_running_loop().time() - self._sent_at

    def _make_outbound(self, send: SendTo, last_event_id: str) -> OutboundRequest:
        inbound = self._inbound
        remaining_s = send.deadline - asyncio.get_running_loop().time()
        headers = headers_for_server(inbound.headers, send.server.instance, remaining_s)
        if last_event_id:
            headers[LAST_EVENT_ID] = last_event_id
        if self._priority is not None:
            headers[PRIORITY] = str(self._priority)
        return OutboundRequest(inbound.method, inbound.target, headers, inbound.body, inbound.request_id)
