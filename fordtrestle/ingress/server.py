"""The `front` endpoint: takes clients' requests whole and hands them on; the `readiness` endpoint beside
it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from aiohttp import web

from fordtrestle.forward.headers import REQUEST_ID, end_to_end
from fordtrestle.ingress import answers
from fordtrestle.ingress.exchange import Decisions, Exchange, Inbound
from fordtrestle.routing.pick import read_prompt
from fordtrestle.routing.table import Limits
from fordtrestle.settings.boot import Address

HEAD_MOST = 64 * 1024  # bytes of a line or field; what the configuration allows lies below
IDLE_S = 60.0  # that an unused connection is kept at least: longer than any client rests
BACKLOG = 1024
BYTES_PER_MB = 1_000_000
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


class Front:
    """Serves clients until it is closed."""

    def __init__(self, decisions: Decisions, bounds: Bounds) -> None:
        self._decisions = decisions
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
        self.leaving = False
        self.open_requests = 0
        self.last_request_at = 0.0  # s, loop clock

    async def listen(self, address: Address) -> None:
        """Take connections. Raises `OSError`."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(self._server, address.host, address.port, backlog=BACKLOG)

    @property
    def port(self) -> int:
        """The port that is listened at."""
        assert self._listener is not None
        return int(self._listener.sockets[0].getsockname()[1])

    def stop_listening(self) -> None:
        """Take no more connections.

        Those that rest stay open until `close`: aiohttp's `pre_shutdown` would end the task that reads them
        and leave them open, so that what a client still sends there would be read and never answered.
        """
        if self._listener:
            self._listener.close()

    async def close(self) -> None:
        """End all connections."""
        await self._server.shutdown(0.0)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self.open_requests += 1
        self.last_request_at = asyncio.get_running_loop().time()
        try:
            response = await self._serve(request)
        finally:
            self.open_requests -= 1
        if self.leaving and not response.prepared:
            response.force_close()
        return response

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        arrived = asyncio.get_running_loop().time()
        request_id = request.headers.get(REQUEST_ID, "")
        table = self._decisions.view.table
        limits = table.limits if table else Limits()
        told = request.content_length or 0
        if told > limits.max_body_bytes:
            return answers.too_large(request_id)
        room = self._bounds.body_bytes - self._body_bytes
        if self.open_requests > self._bounds.requests or told > room:
            return answers.no_room(request_id, self._decisions.rng)
        held = told
        self._body_bytes += held
        try:
            body = await self._body(request, limits, room)
            if isinstance(body, web.Response):
                return body
            self._body_bytes += len(body) - held
            held = len(body)
            return await self._exchange(request, body, arrived)
        finally:
            self._body_bytes -= held

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
            return answers.no_room(request_id, self._decisions.rng)
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
        return await Exchange(self._decisions, inbound, request).run()


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
