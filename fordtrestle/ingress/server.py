"""The `front` endpoint: takes clients' requests to their ends, and hands them to their handlers."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass
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
from fordtrestle.ingress.request_body import BodyMemory, receive_body
from fordtrestle.ingress.request_handler import RequestHandler
from fordtrestle.routing.drain_policy import DrainPolicy
from fordtrestle.routing.route import Limits
from fordtrestle.settings.records import Address

MAX_HEAD_BYTES = 64 * 1024  # of a line and of a field; what the configuration allows lies below
KEEP_ALIVE_S = 60.0  # for which an unused connection is kept: longer than any client leaves one unused
LINGER_S = 1.0  # for which aiohttp reads on a body that was rejected, so that its client sees the response
BACKLOG = 1024  # connections that wait to be accepted
BYTES_PER_MB = 1_000_000
DRAIN_CHECK_INTERVAL_S = 0.05  # between checks whether requests are still open
FINAL_WRITE_TIMEOUT_S = 0.1  # for the last responses to leave, once what is open is given up


class _Request(web.BaseRequest):
    """A request whose body is limited by the configuration, not by aiohttp's default."""


def _make_request(
    message: Any, payload: Any, protocol: Any, writer: Any, task: asyncio.Task[None]
) -> web.BaseRequest:
    return _Request(message, payload, protocol, writer, task, asyncio.get_running_loop(), client_max_size=0)


@dataclass(frozen=True, slots=True)
class IngressLimits:
    """What a sidecar holds at most.

    Attributes:
        max_requests: Open requests.
        max_body_bytes: Bytes of their bodies together.
    """

    max_requests: int
    max_body_bytes: int

    @classmethod
    def for_machine(cls, max_fds: int, memory_mb: float) -> IngressLimits:
        """Half of the descriptors, as a request has one here and one at a server; a quarter of the memory.

        Args:
            max_fds: File descriptors that the process may open.
            memory_mb: Its memory, in megabytes.
        """
        return cls(max(1, max_fds // 2), int(memory_mb * BYTES_PER_MB / 4))


class IngressPhase(IntEnum):
    """How far the shutdown of an ingress server has come."""

    SERVING = 0
    CLOSING = 1  # each response ends its connection
    DRAINING = 2  # no further request is taken


class IngressServer:
    """Serves clients until it is closed.

    It shuts down by `abort_requests_at`, `begin_closing`, `drain` and `close`, in this order;
    `docs/design/planned-ends.md` has the times between them.
    """

    def __init__(self, context: HandlerContext, limits: IngressLimits) -> None:
        """Make a server that does not listen yet.

        Args:
            context: What the handlers of all requests share.
            limits: What is held at most.
        """
        self._context = context
        self._max_requests = limits.max_requests
        self._bodies = BodyMemory(limits.max_body_bytes)
        self._server = web.Server(
            self._handle,
            request_factory=_make_request,
            handler_cancellation=True,
            access_log=None,
            auto_decompress=False,
            keepalive_timeout=KEEP_ALIVE_S,
            lingering_time=LINGER_S,
            max_line_size=MAX_HEAD_BYTES,
            max_field_size=MAX_HEAD_BYTES,
        )
        self._listener: asyncio.Server | None = None
        self._phase = IngressPhase.SERVING
        self._adopted = AdoptedConnections()
        # The connection of each open request, by the timeout that aborts the request.
        self._open_requests: dict[asyncio.Timeout, web.RequestHandler] = {}
        self._abort_at: float | None = None  # s, loop clock

    async def listen(self, address: Address, early: EarlyListener | None = None) -> None:
        """Accept connections.

        Args:
            address: Where.
            early: A listener from before; connections that wait there are served first, if the address is
                the same, and it is closed if not.

        Raises:
            OSError: The address cannot be had.
        """
        loop = asyncio.get_running_loop()
        if early is not None and early.address == (address.host, address.port):
            waiting = early.accept_all()
            self._listener = await loop.create_server(self._server, sock=early.socket, backlog=BACKLOG)
            await self._adopted.adopt(waiting, early.listening_since, self._server)
            return
        if early is not None:
            early.socket.close()
        self._listener = await loop.create_server(self._server, address.host, address.port, backlog=BACKLOG)

    @property
    def port(self) -> int:
        """The port that is listened at."""
        assert self._listener is not None
        return int(self._listener.sockets[0].getsockname()[1])

    @property
    def open_requests(self) -> int:
        """How many requests have no complete response yet."""
        return len(self._open_requests)

    @property
    def is_draining(self) -> bool:
        """Whether no further request is taken."""
        return self._phase is IngressPhase.DRAINING

    @property
    def drain_policy(self) -> DrainPolicy:
        """Which requests are taken."""
        return self._context.router.drain_policy

    def abort_requests_at(self, abort_at: float, began_at: float) -> None:
        """Give up what is open at a time, and take only requests that can be finished by then.

        Args:
            abort_at: s, loop clock.
            began_at: When the shutdown began, s, loop clock.
        """
        self._abort_at = abort_at
        self._context.router.drain_policy = DrainPolicy.draining(began_at, abort_at)
        for abort_timeout in self._open_requests:
            abort_timeout.reschedule(abort_at)

    def begin_closing(self) -> None:
        """Let each response end its connection."""
        self._phase = IngressPhase.CLOSING

    async def drain(self) -> None:
        """Take no further request, end the unused connections, and wait until nothing is open.

        A request that crosses the end of its connection is not read and may be sent again; one that was read
        in the same turn of the loop is rejected with the promise that it has not run.
        """
        self._phase = IngressPhase.DRAINING
        if self._listener:
            self._listener.close()
        while True:
            busy_connections = set(self._open_requests.values())
            for connection in self._server.connections:
                if connection not in busy_connections:
                    connection.force_close()
            if not busy_connections:
                return
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)

    async def close(self) -> None:
        """End all connections."""
        if self._listener:
            self._listener.close()
        # aiohttp takes 0 for "without limit", and waits twice as long at the most.
        await self._server.shutdown(FINAL_WRITE_TIMEOUT_S)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        abort_timeout = asyncio.timeout_at(self._abort_at)
        self._open_requests[abort_timeout] = request.protocol
        try:
            return await self._respond(request, abort_timeout)
        finally:
            del self._open_requests[abort_timeout]

    async def _respond(self, request: web.BaseRequest, abort_timeout: asyncio.Timeout) -> web.StreamResponse:
        """The response, which has left by the end unless it was given up before.

        aiohttp would write it after this call: its connection would then count as unused while the response
        is still leaving, and `drain` would end it.
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
                request.transport.abort()  # it is not complete and must not look so
            return response
        response = responses.connection_broken(request.headers.get(REQUEST_ID, ""))
        await self._write(request, response)
        return response

    async def _write(self, request: web.BaseRequest, response: web.StreamResponse) -> None:
        """Send what has not left of a response."""
        if self._phase is not IngressPhase.SERVING and not response.prepared:
            response.force_close()
        with contextlib.suppress(ConnectionError):  # aiohttp sees it again, and ends the connection
            await response.prepare(request)
            await response.write_eof()

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """The response to one request, or the rejection of it."""
        arrived_at = self._adopted.pop_arrival_time(request.protocol)
        try:
            return await self._receive_and_handle(request, arrived_at)
        except IngressError as error:
            request_id = request.headers.get(REQUEST_ID, "")
            return responses.rejection_for(error, request_id, self._context.rng)

    async def _receive_and_handle(self, request: web.BaseRequest, arrived_at: float) -> web.StreamResponse:
        """Receive the body, within the limits of the configuration in force, and let it be handled.

        Raises:
            IngressError: It is rejected, and has not run.
        """
        table = self._context.router.view.table
        limits = table.limits if table else Limits()
        announced_bytes = request.content_length or 0
        available_bytes = self._bodies.available_bytes
        self._check_head(announced_bytes, available_bytes, limits)
        with self._bodies.reserve(announced_bytes) as reservation:
            body = await receive_body(request, limits, available_bytes)
            reservation.resize(len(body))
            self._check_not_draining()  # again: the body may have been complete only after the drain began
            inbound = InboundRequest.from_aiohttp(request, body, arrived_at)
            return await RequestHandler(self._context, inbound, request).run()

    def _check_head(self, announced_bytes: int, available_bytes: int, limits: Limits) -> None:
        """Reject a request by its head alone, before any of its body is read. Raises `IngressError`."""
        self._check_not_draining()
        if announced_bytes > limits.max_body_bytes:
            raise BodyTooLargeError(f"{announced_bytes} bytes, of {limits.max_body_bytes}")
        if self.open_requests > self._max_requests or announced_bytes > available_bytes:
            raise OverCapacityError(
                f"{self.open_requests} open; {announced_bytes} of {available_bytes} bytes"
            )

    def _check_not_draining(self) -> None:
        """Raise `ShuttingDownError` once no further request is taken."""
        if self.is_draining:
            raise ShuttingDownError("no further request is taken")
