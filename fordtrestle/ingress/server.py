"""The `front` endpoint, which receives clients' complete requests and passes them to their handlers."""

from __future__ import annotations

import asyncio
import contextlib
from enum import IntEnum
from typing import Any

from aiohttp import web

from fordtrestle.forward.headers import REQUEST_ID
from fordtrestle.ingress import responses
from fordtrestle.ingress.adopted_connections import AdoptedConnections
from fordtrestle.ingress.early_listener import EarlyListener
from fordtrestle.ingress.errors import (
    BodyTooLargeError,
    IngressError,
    OverCapacityError,
    ShuttingDownError,
)
from fordtrestle.ingress.inbound_request import HandlerContext, InboundRequest
from fordtrestle.ingress.request_body import receive_body
from fordtrestle.ingress.request_handler import RequestHandler
from fordtrestle.listener.client_connection import connection_of
from fordtrestle.listener.client_listener import ClientListener, ListenerOptions
from fordtrestle.listener.client_quotas import ListenerBudget
from fordtrestle.routing.drain_policy import DrainPolicy
from fordtrestle.routing.route import Limits
from fordtrestle.settings.records import Address

DRAIN_CHECK_INTERVAL_S = 0.05  # between two checks for open requests
FINAL_WRITE_TIMEOUT_S = 0.1  # for writing the last responses after open requests have been aborted


class _Request(web.BaseRequest):
    """A request whose body size is limited by the configuration instead of aiohttp's default."""


def _make_request(
    message: Any, payload: Any, protocol: Any, writer: Any, task: asyncio.Task[None]
) -> web.BaseRequest:
    return _Request(message, payload, protocol, writer, task, asyncio.get_running_loop(), client_max_size=0)


class IngressPhase(IntEnum):
    """The shutdown phase of an ingress server."""

    SERVING = 0
    CLOSING = 1  # each response closes its connection
    DRAINING = 2  # no further requests are accepted


class IngressServer:
    """HTTP server for clients.

    To shut it down gracefully, call `abort_requests_at`, `begin_closing`, `drain` and `close`, in this order;
    `docs/design/planned-ends.md` specifies the times between them.
    """

    def __init__(self, context: HandlerContext, budget: ListenerBudget, max_requests: int) -> None:
        """Create a server that does not listen yet.

        Args:
            context: The objects that all handlers share.
            budget: The quota shares of the connections.
            max_requests: The maximum number of open requests.
        """
        self._context = context
        self._max_requests = max_requests
        self._server = web.Server(
            self._handle,
            request_factory=_make_request,
            handler_cancellation=True,
        )
        options = ListenerOptions(lambda: self._limits.header_timeout_s)
        self._connections = ClientListener(self._server, budget, options)
        self._listener: ClientListener | None = None  # while it listens
        self._phase = IngressPhase.SERVING
        self._adopted = AdoptedConnections()
        # The connection of each open request, by the timeout that aborts the request.
        self._open_requests: dict[asyncio.Timeout, web.RequestHandler] = {}
        self._abort_at: float | None = None  # in seconds of the loop's clock

    async def listen(self, address: Address, early: EarlyListener | None = None) -> None:
        """Start to accept connections.

        Args:
            address: The address to listen on.
            early: The listener from the start of the process. If its address is the same, its socket is taken
                over and its waiting connections are served first; otherwise it is closed.

        Raises:
            OSError: The address cannot be bound.
        """
        self._listener = self._connections
        if early is not None and early.address == (address.host, address.port):
            waiting = early.accept_all()
            self._listener.listen_on(early.socket)
            await self._adopted.adopt(waiting, early.listening_since, self._listener.make_connection)
            return
        if early is not None:
            early.socket.close()
        self._listener.listen(address.host, address.port)

    @property
    def port(self) -> int:
        """The port that the server listens on."""
        assert self._listener is not None
        return self._listener.port

    @property
    def open_requests(self) -> int:
        """The number of requests without a complete response."""
        return len(self._open_requests)

    @property
    def is_draining(self) -> bool:
        """Whether the server accepts no further requests."""
        return self._phase is IngressPhase.DRAINING

    @property
    def drain_policy(self) -> DrainPolicy:
        """The policy that decides which requests are accepted."""
        return self._context.router.drain_policy

    def abort_requests_at(self, abort_at: float, began_at: float) -> None:
        """Schedule the abort of open requests, and accept only requests that can be completed by then.

        Args:
            abort_at: When open requests are aborted, in seconds of the loop's clock.
            began_at: When the shutdown began, in seconds of the loop's clock.
        """
        self._abort_at = abort_at
        self._context.router.drain_policy = DrainPolicy.draining(began_at, abort_at)
        for abort_timeout in self._open_requests:
            abort_timeout.reschedule(abort_at)

    def begin_closing(self) -> None:
        """Close each connection after its next response."""
        self._phase = IngressPhase.CLOSING

    async def drain(self) -> None:
        """Accept no further requests, close idle connections, and wait until no request is open.

        A request that arrives while its connection is being closed is not read, and may be retried. One that
        was read in the same iteration of the event loop is rejected, which guarantees that it has not run.
        So is one that was sent before this process could read it, while it loaded its libraries.
        """
        self._phase = IngressPhase.DRAINING
        if self._listener:
            self._listener.close()
        while True:
            busy_connections = {*self._open_requests.values(), *self._adopted.waiting}
            for connection in self._server.connections:
                if connection not in busy_connections:
                    connection.force_close()
            if not busy_connections:
                return
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)

    async def close(self) -> None:
        """Close all connections."""
        if self._listener:
            self._listener.close()
        # aiohttp treats 0 as "no timeout", and waits for at most twice the given time.
        await self._server.shutdown(FINAL_WRITE_TIMEOUT_S)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        abort_timeout = asyncio.timeout_at(self._abort_at)
        self._open_requests[abort_timeout] = request.protocol
        try:
            return await self._respond(request, abort_timeout)
        finally:
            del self._open_requests[abort_timeout]

    async def _respond(self, request: web.BaseRequest, abort_timeout: asyncio.Timeout) -> web.StreamResponse:
        """Handle a request and write its response before returning, unless the request is aborted.

        aiohttp would write the response only after this call. Its connection would then count as idle while
        the response is being written, and `drain` would close it.
        """
        response: web.StreamResponse | None = None
        try:
            async with abort_timeout:
                response = await self._serve(request)
                await self._write(request, response)
                return response
        except TimeoutError:
            if not abort_timeout.expired():
                raise
        if response is not None:
            if request.transport is not None:
                request.transport.abort()  # the incomplete response must not look complete
            return response
        response = responses.connection_broken(request.headers.get(REQUEST_ID, ""))
        await self._write(request, response)
        return response

    async def _write(self, request: web.BaseRequest, response: web.StreamResponse) -> None:
        """Write the parts of a response that have not been written yet."""
        if self._phase is not IngressPhase.SERVING and not response.prepared:
            response.force_close()
        with contextlib.suppress(ConnectionError):  # aiohttp detects it as well and closes the connection
            await response.prepare(request)
            await response.write_eof()

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Return the response to a request, or a rejection."""
        arrived_at = self._adopted.pop_arrival_time(request.protocol)
        try:
            return await self._receive_and_handle(request, arrived_at)
        except IngressError as error:
            request_id = request.headers.get(REQUEST_ID, "")
            return responses.rejection_for(error, request_id, self._context.rng)

    async def _receive_and_handle(self, request: web.BaseRequest, arrived_at: float) -> web.StreamResponse:
        """Receive the body within the limits of the active configuration, and handle the request.

        Raises:
            IngressError: The request is rejected and has not run.
        """
        limits = self._limits
        self._check_head(request, limits)
        body = await receive_body(request, limits)
        self._check_not_draining()  # again: the body may have become complete after the drain began
        inbound = InboundRequest.from_aiohttp(request, body, arrived_at)
        return await RequestHandler(self._context, inbound, request).run()

    @property
    def _limits(self) -> Limits:
        """The limits of the active configuration on requests."""
        table = self._context.router.view.table
        return table.limits if table else Limits()

    def _check_head(self, request: web.BaseRequest, limits: Limits) -> None:
        """Raise `IngressError` if a request must be rejected before its body is read."""
        self._check_not_draining()
        announced_bytes = request.content_length or 0
        if announced_bytes > limits.max_body_bytes:
            raise BodyTooLargeError(f"body of {announced_bytes} bytes, limit is {limits.max_body_bytes}")
        if self.open_requests > self._max_requests:
            raise OverCapacityError(f"{self.open_requests} open requests")
        connection = connection_of(request)
        if connection is not None and not connection.reserve_body(announced_bytes):
            raise OverCapacityError(f"no room for a body of {announced_bytes} bytes")

    def _check_not_draining(self) -> None:
        """Raise `ShuttingDownError` if the server is draining."""
        if self.is_draining:
            raise ShuttingDownError("the server is draining and accepts no further requests")
