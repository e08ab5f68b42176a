"""Carries one client's request to its final response.

The router decides, the sender sends, the recorder keeps what results prove; here it is decided what a result
means for the request: another server, a response, or a promise that nothing has run.
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
from fordtrestle.routing.decisions import Reject, SendTo, UnknownRoute, WaitFor
from fordtrestle.routing.outlier_detection import FAILURE_STATUSES
from fordtrestle.routing.request_attempts import RequestAttempts
from fordtrestle.routing.route import Route


class RequestHandler:
    """Handles one request; used once."""

    def __init__(self, context: HandlerContext, inbound: InboundRequest, request: web.BaseRequest) -> None:
        """Begin with a request that has not been sent.

        Args:
            context: What all requests share.
            inbound: The request.
            request: aiohttp's, whose connection a stream is written to.
        """
        self._context = context
        self._inbound = inbound
        self._metadata = inbound.metadata
        self._request = request
        self._attempts = RequestAttempts()
        self._recorder = OutcomeRecorder(context.router, inbound.prompt, self._attempts)
        self._sender = RequestSender(context, inbound, self._recorder)

    async def run(self) -> web.StreamResponse:
        """Handle the request.

        Returns:
            The final response. A stream has been written already.
        """
        try:
            while True:
                response = await self._step()
                if response is not None:
                    return response
        finally:
            self._sender.release()

    async def _step(self) -> web.StreamResponse | None:
        """Do what the router decides now; `None` where it has to decide again."""
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
                return self._unless_may_have_run(responses.unknown_route(self._inbound.request_id))

    async def _send(self, send: SendTo) -> web.StreamResponse | None:
        """Send, and do what the result asks for; `None` where the router has to decide again."""
        result = await self._sender.send(send)
        route, attempts, request_id = send.route, self._attempts, self._inbound.request_id
        match result:
            case Answered(response):
                return await self._on_answer(send, response)
            case RejectedByServer():
                can_retry = attempts.can_retry_rejected(route)
                return None if can_retry else self._reject_on_route(route, "the servers are full")
            case ConnectFailed():
                can_retry = not attempts.has_exhausted_connects()
                return None if can_retry else self._reject_on_route(route, "no server can be reached")
            case NotSent():
                return self._reject_on_route(route, "the time is up")
            case ConnectionBroken():
                return None if attempts.can_run_again(route) else responses.connection_broken(request_id)
            case DeadlineExceeded():
                return responses.deadline_exceeded(request_id)

    async def _on_answer(self, send: SendTo, response: aiohttp.ClientResponse) -> web.StreamResponse | None:
        """Pass an answer on; one that is a failure of the server's own goes to another server first."""
        if response.status in FAILURE_STATUSES and (retry := self._find_retry(send.route)):
            release_connection(response)
            return await self._send(retry)
        if is_short(response, send.route):
            return await self._relay_complete(send, response)
        return await self._relay_stream(send, response)

    def _find_retry(self, route: Route) -> SendTo | None:
        """Where a request that a server ran and failed is sent, if it may run once more.

        It is asked before the failure is given up: where no other server can take the request, the failure
        is the client's answer.
        """
        if not self._attempts.can_run_again(route):
            return None
        now = asyncio.get_running_loop().time()
        decision = self._context.router.next_step(self._metadata, self._attempts, now)
        return decision if isinstance(decision, SendTo) else None

    async def _relay_complete(
        self, send: SendTo, response: aiohttp.ClientResponse
    ) -> web.StreamResponse | None:
        """A short answer; `None` where it broke off and another server may be asked."""
        request_id = self._inbound.request_id
        result = await relay_complete(response, send.deadline)
        if isinstance(result, web.Response):
            return result
        if result is RelayResult.DEADLINE_EXCEEDED:
            return responses.deadline_exceeded(request_id)
        self._recorder.record_broken_body(send.server)
        can_retry = self._attempts.can_run_again(send.route)
        return None if can_retry else responses.connection_broken(request_id)

    async def _relay_stream(self, send: SendTo, response: aiohttp.ClientResponse) -> web.StreamResponse:
        """Pass a stream on; where it breaks off and may be resumed, another server continues it.

        The handler is cancelled where the client has gone and where this sidecar gives up what is open: what
        was relayed must not look complete then.
        """
        relay = StreamRelay(self._request, response, send.route.is_resumable)
        try:
            await relay.start()
            return await self._relay_parts(relay, response, send.deadline)
        except asyncio.CancelledError:
            relay.abort()  # the client has gone, or this sidecar ends
            raise

    async def _relay_parts(
        self, relay: StreamRelay, response: aiohttp.ClientResponse, deadline: float
    ) -> web.StreamResponse:
        """Relay one server's part after the other."""
        part: aiohttp.ClientResponse | None = response
        while part is not None:
            connections.probe_while_silent(part, relay.can_resume)
            result = await relay.relay_from(part, deadline)
            if result is RelayResult.COMPLETE:
                return await relay.finish()
            part = None
            if result is RelayResult.BROKEN:
                self._sender.record_broken_stream()
                part = await self._resume(relay, deadline)
        return relay.abort()

    async def _resume(self, relay: StreamRelay, deadline: float) -> aiohttp.ClientResponse | None:
        """The rest of a stream from another server; `None` where none may or can give it."""
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
        return self._unless_may_have_run(
            responses.rejected(request_id, rejection.retry_scale_s, rng, rejection.reason)
        )

    def _unless_may_have_run(self, response: web.Response) -> web.StreamResponse:
        """A response that promises that nothing has run; 502 in its place where something may have."""
        if self._attempts.may_have_run:
            return responses.connection_broken(self._inbound.request_id)
        return response
