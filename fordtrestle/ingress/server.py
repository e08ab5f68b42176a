"""The `front` endpoint: takes clients' requests whole and hands them on; the `readiness` endpoint beside
it.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

from aiohttp import web

from fordtrestle.forward.headers import REQUEST_ID, end_to_end
from fordtrestle.ingress import answers
from fordtrestle.ingress.early_listener import EarlyListener
from fordtrestle.ingress.exchange import Exchange, Inbound, Shared
from fordtrestle.routing.drain_policy import DrainPolicy
from fordtrestle.routing.prompt_headers import read_prompt
from fordtrestle.routing.route import Limits
from fordtrestle.settings.records import Address

HEAD_MOST = 64 * 1024  # bytes of a line or field; what the configuration allows lies below
IDLE_S = 60.0  # that an unused connection is kept at least: longer than any client rests
BACKLOG = 1024
BYTES_PER_MB = 1_000_000
WAITED_S = 0.5  # after which the first request on a connection that had waited has come just now
LOOK_S = 0.05  # between looks at what is still open
LAST_ANSWER_S = 0.1  # for the last answers to leave, once what is open is cut
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class _Request(web.BaseRequest):
    """A request whose body is bounded by the configuration, not by aiohttp's default."""


def _make_request(
    message: Any, payload: Any, protocol: Any, writer: Any, task: asyncio.Task[None]
) -> web.BaseRequest:
    return _Request(message, payload, protocol, writer, task, asyncio.get_running_loop(), client_max_size=0)


@dataclass(frozen=True, slots=True)
class Bounds:
    """What a front holds at most: requests, and bytes of their bodies."""

    requests: int
    body_bytes: int

    @classmethod
    def of(cls, max_fds: int, memory_mb: float) -> Bounds:
        """Half of the descriptors, as a request has one here and one at a server; a quarter of the memory.

        Bodies are held until their answers, for second sends.
        """
        return cls(max(1, max_fds // 2), int(memory_mb * BYTES_PER_MB / 4))


class Phase(IntEnum):
    """How far the end of a front has come."""

    SERVING = 0
    CLOSING = 1  # each answer ends its connection
    LEFT = 2  # no further request is taken


class Front:
    """Serves clients until it is closed."""

    def __init__(self, shared: Shared, bounds: Bounds) -> None:
        self._shared = shared
        self._bounds = bounds
        self._body_bytes = 0  # held now
        self._server = web.Server(
            self._handle,
            request_factory=_make_request,
            handler_cancellation=True,
            access_log=None,
            auto_decompress=False,
            keepalive_timeout=IDLE_S,
            lingering_time=1.0,
            max_line_size=HEAD_MOST,
            max_field_size=HEAD_MOST,
        )
        self._listener: asyncio.Server | None = None
        self._phase = Phase.SERVING
        self._waited: set[web.RequestHandler] = set()  # connections that have, and sent nothing yet
        self._waited_since = 0.0  # s, loop clock: since when, at the longest
        self._open: dict[asyncio.Timeout, web.RequestHandler] = {}  # the connection of each open request
        self._cut_at: float | None = None  # s, loop clock: when open requests are given up

    async def listen(self, address: Address, early: EarlyListener | None = None) -> None:
        """Take connections, those first that wait at an early listener of this address. Raises `OSError`."""
        loop = asyncio.get_running_loop()
        if early is not None and early.address == (address.host, address.port):
            waiting = early.accept_all()
            self._listener = await loop.create_server(self._server, sock=early.socket, backlog=BACKLOG)
            await self._adopt(waiting, early.since)
            return
        if early is not None:
            early.socket.close()
        self._listener = await loop.create_server(self._server, address.host, address.port, backlog=BACKLOG)

    async def _adopt(self, connections: Sequence[socket.socket], since: float) -> None:
        """Serve connections that have waited, since that time (s, loop clock) at the longest."""
        loop = asyncio.get_running_loop()
        self._waited_since = since
        for connection in connections:
            try:
                await loop.connect_accepted_socket(self._make_waited, connection)
            except OSError:
                connection.close()  # its client has ended it: the others are not to suffer
        loop.call_later(WAITED_S, self._waited.clear)

    def _make_waited(self) -> web.RequestHandler:
        """The handler of a connection that has waited, known as such before it reads anything."""
        handler = self._server()
        self._waited.add(handler)
        return handler

    @property
    def port(self) -> int:
        """The port that is listened at."""
        assert self._listener is not None
        return int(self._listener.sockets[0].getsockname()[1])

    @property
    def open_requests(self) -> int:
        """Requests that have no whole answer yet."""
        return len(self._open)

    @property
    def has_left(self) -> bool:
        """Whether no further request is taken."""
        return self._phase is Phase.LEFT

    @property
    def drain_policy(self) -> DrainPolicy:
        """Which requests are taken."""
        return self._shared.router.drain_policy

    def cut_at(self, at: float, began: float) -> None:
        """Give up at that time (s, loop clock) what is open then, and take what can be finished by then."""
        self._cut_at = at
        self._shared.router.drain_policy = DrainPolicy.draining(began, at)
        for bound in self._open:
            bound.reschedule(at)

    def send_away(self) -> None:
        """Let each answer end its connection."""
        self._phase = Phase.CLOSING

    async def leave(self) -> None:
        """Take no further request, end the connections that rest, and wait until nothing is open.

        A request that crosses the end of its connection is not read and may be sent again; one that was read
        in the same turn is refused with a promise.
        """
        self._phase = Phase.LEFT
        if self._listener:
            self._listener.close()
        while True:
            busy = set(self._open.values())
            for connection in self._server.connections:
                if connection not in busy:
                    connection.force_close()
            if not busy:
                return
            await asyncio.sleep(LOOK_S)

    async def close(self) -> None:
        """End all connections."""
        if self._listener:
            self._listener.close()
        # aiohttp takes 0 for "without limit", and waits twice as long at the most.
        await self._server.shutdown(LAST_ANSWER_S)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        bound = asyncio.timeout_at(self._cut_at)
        self._open[bound] = request.protocol
        try:
            return await self._answer(request, bound)
        finally:
            del self._open[bound]

    async def _answer(self, request: web.BaseRequest, bound: asyncio.Timeout) -> web.StreamResponse:
        """The answer, which has left by the end unless the front gives it up before."""
        response: web.StreamResponse | None = None
        try:
            async with bound:
                response = await self._serve(request)
                await self._write(request, response)
                return response
        except TimeoutError:
            if not bound.expired():
                raise
        if response is not None:
            if request.transport is not None:
                request.transport.abort()  # it is not whole and must not look so
            return response
        response = answers.broken(request.headers.get(REQUEST_ID, ""))
        await self._write(request, response)
        return response

    async def _write(self, request: web.BaseRequest, response: web.StreamResponse) -> None:
        """Send what has not left of an answer; its connection is not at rest before."""
        if self._phase is not Phase.SERVING and not response.prepared:
            response.force_close()
        with contextlib.suppress(ConnectionError):  # aiohttp sees it again, and ends the connection
            await response.prepare(request)
            await response.write_eof()

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        arrived = self._arrival(request)
        request_id = request.headers.get(REQUEST_ID, "")
        table = self._shared.router.view.table
        limits = table.limits if table else Limits()
        if self.has_left:
            return answers.ending(request_id, self._shared.rng)
        told = request.content_length or 0
        if told > limits.max_body_bytes:
            return answers.too_large(request_id)
        room = self._bounds.body_bytes - self._body_bytes
        if self.open_requests > self._bounds.requests or told > room:
            return answers.no_room(request_id, self._shared.rng)
        held = told
        self._body_bytes += held
        try:
            body = await self._body(request, limits, room)
            if isinstance(body, web.Response):
                return body
            self._body_bytes += len(body) - held
            held = len(body)
            if self.has_left:
                return answers.ending(request_id, self._shared.rng)
            return await self._exchange(request, body, arrived)
        finally:
            self._body_bytes -= held

    def _arrival(self, request: web.BaseRequest) -> float:
        """When a request arrived at the earliest: the first of a connection may have waited till now."""
        if request.protocol in self._waited:
            self._waited.discard(request.protocol)
            return self._waited_since
        return asyncio.get_running_loop().time()

    async def _body(self, request: web.BaseRequest, limits: Limits, room: int) -> bytes | web.Response:
        """The whole body, or the answer to one that is too late, too large or without room."""
        request_id = request.headers.get(REQUEST_ID, "")
        try:
            async with asyncio.timeout(limits.header_timeout_s):
                body = await _read(request, min(limits.max_body_bytes, room))
        except TimeoutError:
            return answers.body_late(request_id)
        if body is not None:
            return body
        if room < limits.max_body_bytes:
            return answers.no_room(request_id, self._shared.rng)
        return answers.too_large(request_id)

    async def _exchange(self, request: web.BaseRequest, body: bytes, arrived: float) -> web.StreamResponse:
        request_id = request.headers.get(REQUEST_ID, "")
        inbound = Inbound(
            method=request.method,
            host=request.headers.get("Host", ""),
            target=request.raw_path,
            headers=end_to_end(request.headers, request.headers.items()),
            body=body,
            request_id=request_id,
            prompt=read_prompt(
                request.headers.get("X-Token-Count", ""), request.headers.get("X-Prompt-Prefix", "")
            ),
            arrived=arrived,
        )
        return await Exchange(self._shared, inbound, request).run()


async def _read(request: web.BaseRequest, most: int) -> bytes | None:
    """The whole body; nothing where it is larger than allowed."""
    if request.headers.get("Expect", "").lower() == "100-continue" and request.transport:
        request.transport.write(_CONTINUE)
    if not request.can_read_body:
        return b""
    parts, size = [], 0
    async for part in request.content.iter_any():
        size += len(part)
        if size > most:
            return None
        parts.append(part)
    return b"".join(parts)


class Readiness:
    """The `readiness` endpoint: 200 once requests can be served, and until the process leaves."""

    def __init__(self, ready: Callable[[], bool]) -> None:
        self._ready = ready

    def application(self) -> web.Application:
        """The routes of the endpoint."""
        application = web.Application()
        application.add_routes([web.get("/v1/readiness", self._answer)])
        return application

    async def _answer(self, request: web.Request) -> web.StreamResponse:
        return web.json_response({}, status=200 if self._ready() else 503)
