"""Handles one client's request until its final response.

The router decides the next step, the sender sends, and the recorder records the results. This module decides
what a result means for the request: a retry, a response, or a rejection that guarantees it has not run.
"""

from __future__ import annotations

import asyncio

import aiohttp
from aiohttp import web

from fordtrestle.forward import connections
from fordtrestle.forward.results import (
    Answered,
    ConnectFailed,
    ConnectionBroken,
    DeadlineExceeded,
    NotSent,
    RejectedByServer,
    Revoked,
    Withdrawn,
)
from fordtrestle.ingress import responses
from fordtrestle.ingress.inbound_request import HandlerContext, InboundRequest
from fordtrestle.ingress.outcome_recorder import OutcomeRecorder
from fordtrestle.ingress.relay import (
    OK,
    RelayResult,
    StreamRelay,
    is_short,
    relay_complete,
    release_connection,
)
from fordtrestle.ingress.request_sender import RequestSender
from fordtrestle.ingress.send_log import CANCELLED
from fordtrestle.listener.client_connection import connection_of
from fordtrestle.routing.decisions import Reject, SendTo, UnknownRoute, WaitFor
from fordtrestle.routing.outlier_detection import FAILURE_STATUSES
from fordtrestle.routing.request_attempts import RequestAttempts
from fordtrestle.routing.route import Route


class RequestHandler:
    """Handler of a single request."""

    def __init__(self, context: HandlerContext, inbound: InboundRequest, request: web.BaseRequest) -> None:
        """Create a handler for a request that has not been sent.

        Args:
            context: The objects that all handlers share.
            inbound: The request.
            request: aiohttp's request, to whose connection a stream is written.
        """
        self._context = context
        self._inbound = inbound
        self._metadata = inbound.metadata
        self._request = request
        self._attempts = RequestAttempts()
        self._recorder = OutcomeRecorder(context.router, inbound.prompt, self._attempts)
        self._sender = RequestSender(context, inbound, self._attempts, self._recorder)

    async def run(self) -> web.StreamResponse:
        """Handle the request.

        Returns:
            The final response. A streaming response has already been written.
        """
        try:
            with self._context.router.track(self._metadata, self._attempts):
                return await self._run_steps()
        except asyncio.CancelledError:
            self._sender.record_incomplete(CANCELLED)
            raise
        finally:
            self._sender.release()

    async def _run_steps(self) -> web.StreamResponse:
        while True:
            response = await self._step()
            if response is not None:
                return response

    async def _step(self) -> web.StreamResponse | None:
        """Execute the router's next decision; return `None` if the router must decide again."""
        now = asyncio.get_running_loop().time()
        match self._context.router.next_step(self._metadata, self._attempts, now):
            case SendTo() as send:
                return await self._send(send)
            case WaitFor(until, rejection):
                if now < until and await self._context.wait_queue.wait():
                    return None
                return self._reject(rejection)
            case Reject() as rejection:
                return self._reject(rejection)
            case UnknownRoute():
                return self._replace_if_may_have_run(responses.unknown_route(self._inbound.request_id))

    async def _send(self, send: SendTo) -> web.StreamResponse | None:
        """Send the request and handle the result; return `None` if the router must decide again."""
        result = await self._sender.send(send)
        route, attempts, request_id = send.route, self._attempts, self._inbound.request_id
        match result:
            case Answered(response):
                return await self._on_answer(send, response)
            case RejectedByServer():
                can_retry = not attempts.has_exhausted_sends()
                return None if can_retry else self._reject_on_route(route, "the servers are full")
            case ConnectFailed():
                can_retry = not attempts.has_exhausted_connects()
                return None if can_retry else self._reject_on_route(route, "no server can be reached")
            case NotSent():
                return self._reject_on_route(route, "the time is up")
            case ConnectionBroken() | Withdrawn() | Revoked():
                return None
            case DeadlineExceeded():
                return responses.deadline_exceeded(request_id)

    async def _on_answer(self, send: SendTo, response: aiohttp.ClientResponse) -> web.StreamResponse | None:
        """Relay a response, or retry at another server first if the server failed the request."""
        if response.status in FAILURE_STATUSES and (retry := self._find_retry()):
            release_connection(response)
            return await self._send(retry)
        if is_short(response, send.route) and self._has_room_for(response):
            return await self._relay_complete(send, response)
        return await self._relay_stream(send, response)

    def _has_room_for(self, response: aiohttp.ClientResponse) -> bool:
        """Return whether a whole response may be held; otherwise it is relayed as its client reads it.

        It is held twice, as a body and in the client's connection, until the client has read it.
        """
        connection = connection_of(self._request)
        return connection is None or connection.reserve_answer(2 * (response.content_length or 0))

    def _find_retry(self) -> SendTo | None:
        """Return the retry of a request that a server ran and failed; `None` if there is none.

        This is decided before the failed response is discarded: if no other server can accept the request,
        the client receives the failed response.
        """
        now = asyncio.get_running_loop().time()
        decision = self._context.router.next_step(self._metadata, self._attempts, now)
        return decision if isinstance(decision, SendTo) else None

    async def _relay_complete(
        self, send: SendTo, response: aiohttp.ClientResponse
    ) -> web.StreamResponse | None:
        """Relay a short response; return `None` if it broke off and the router must decide again."""
        request_id = self._inbound.request_id
        result = await relay_complete(response, send.route, send.deadline)
        if isinstance(result, web.Response):
            return result
        self._sender.record_incomplete(result.name)
        if result is RelayResult.DEADLINE_EXCEEDED:
            return responses.deadline_exceeded(request_id)
        self._recorder.record_broken_body(send.server)
        return None

    async def _relay_stream(self, send: SendTo, response: aiohttp.ClientResponse) -> web.StreamResponse:
        """Relay a stream, which another server continues if it breaks off and is resumable.

        The handler is cancelled when the client disconnects and when this sidecar aborts open requests. In
        both cases the incomplete response must not look complete.
        """
        relay = StreamRelay(self._request, response, send.route)
        try:
            await relay.start()
            return await self._relay_parts(relay, response, send.deadline)
        except asyncio.CancelledError:
            relay.abort()  # the client disconnected, or this sidecar shuts down
            raise

    async def _relay_parts(
        self, relay: StreamRelay, response: aiohttp.ClientResponse, deadline: float
    ) -> web.StreamResponse:
        """Relay the parts of a stream from one server after another."""
        part: aiohttp.ClientResponse | None = response
        while part is not None:
            connections.probe_while_silent(part, relay.can_resume)
            result = await relay.relay_from(part, deadline)
            if result is RelayResult.COMPLETE:
                return await relay.finish()
            self._sender.record_incomplete(result.name)
            part = None
            if result is RelayResult.BROKEN:
                self._sender.record_broken_stream()
                part = await self._resume(relay, deadline)
        return relay.abort()

    async def _resume(self, relay: StreamRelay, deadline: float) -> aiohttp.ClientResponse | None:
        """Return a response that continues a stream; `None` if no other server may or can continue it."""
        if not relay.can_resume:
            return None
        loop, router = asyncio.get_running_loop(), self._context.router
        while send := router.resume(self._metadata, self._attempts, loop.time(), deadline):
            match await self._sender.send(send, relay.last_event_id):
                case Answered(response) if response.status == OK:
                    return response
                case Answered(response):
                    response.close()
                    return None
                case DeadlineExceeded() | NotSent():
                    return None
        return None

    def _reject_on_route(self, route: Route, reason: str) -> web.StreamResponse:
        return self._reject(Reject(route.latency_target_s, reason))

    def _reject(self, rejection: Reject) -> web.StreamResponse:
        request_id, rng = self._inbound.request_id, self._context.rng
        return self._replace_if_may_have_run(
            responses.rejected(request_id, rejection.retry_scale_s, rng, rejection.reason)
        )

    def _replace_if_may_have_run(self, response: web.Response) -> web.StreamResponse:
        """Return a response that guarantees that the request has not run, or 502 if it may have run."""
        if self._attempts.may_have_run:
            return responses.connection_broken(self._inbound.request_id)
        return response
