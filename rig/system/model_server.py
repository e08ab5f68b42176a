"""Simulated model server with batches, a prompt cache, event streams, a report and heartbeats (PROTOCOL:
servers).

No model is run: each token takes a fixed time, and the prefix that a prompt shares with an earlier one is not
processed again.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

import aiohttp
from aiohttp import web

PREFILL_TOKENS_PER_S = 40_000.0
TOKEN_INTERVAL_S = 0.01  # between two tokens of a running request
TOKENS_PER_EVENT = 4
MAX_CACHED_TOKENS = 200_000  # of prompt parts
HEARTBEAT_INTERVAL_S = 1.0
REQUEST_ID = "X-Request-Id"


@dataclass(frozen=True, slots=True)
class ServerSettings:
    """Identity and address of a simulated server, and the control processes that receive its heartbeats."""

    instance: str
    service: str
    host: str
    port: int
    zone: str
    controls: tuple[str, ...]  # HOST:PORT, nearest first
    slots: int = 16


@dataclass(slots=True)
class Run:
    """A request that a server has begun to process. Times are s of the monotonic clock."""

    request_id: str
    zone: str
    began: float
    ended: float | None = None
    is_complete: bool = False


class ModelServer:
    """One incarnation of a simulated model server."""

    def __init__(self, settings: ServerSettings, on_run: Callable[[Run], None] = lambda run: None) -> None:
        self._settings = settings
        self._on_run = on_run
        self._slots = asyncio.Semaphore(settings.slots)
        self._cache: OrderedDict[str, int] = OrderedDict()
        self._sequence = 0
        self._running = 0
        self._runner: web.AppRunner | None = None
        self._heartbeat_task: asyncio.Task[None] | None = None
        self.served = 0
        self.prefilled_tokens = 0
        self.cached_tokens = 0

    async def start(self) -> None:
        """Start serving and sending heartbeats.

        Raises:
            OSError: The address cannot be bound.
        """
        application = web.Application()
        application.add_routes([web.get("/v1/report", self._report), web.get("/health", self._health)])
        application.router.add_route("*", "/{path:.*}", self._serve)
        self._runner = web.AppRunner(application, access_log=None, handler_cancellation=True)
        await self._runner.setup()
        await web.TCPSite(self._runner, self._settings.host, self._settings.port).start()
        self._heartbeat_task = asyncio.create_task(self._send_heartbeats())

    async def crash(self) -> None:
        """Stop at once without telling the control processes."""
        if self._heartbeat_task:
            self._heartbeat_task.cancel()
        if self._runner:
            await self._runner.shutdown()
            self._runner._shutdown_timeout = 0.0
            await self._runner.cleanup()

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        request_id = request.headers.get(REQUEST_ID, "")
        if request.headers.get("X-Expect-Instance", self._settings.instance) != self._settings.instance:
            return web.Response(status=421, headers={REQUEST_ID: request_id})
        await request.read()
        async with self._slots:
            self._running += 1
            run = Run(request_id, self._settings.zone, time.monotonic())
            self._on_run(run)
            try:
                response = await self._stream(request, request_id)
                run.is_complete = True
                return response
            finally:
                run.ended = time.monotonic()
                self._running -= 1

    async def _stream(self, request: web.Request, request_id: str) -> web.StreamResponse:
        await asyncio.sleep(self._prefill(request.headers.get("X-Prompt-Prefix", "")) / PREFILL_TOKENS_PER_S)
        tokens_out = int(request.headers.get("X-Token-Count", "0,40").partition(",")[2])
        response = web.StreamResponse()
        response.headers[REQUEST_ID] = request_id
        response.headers["X-Response-Stamp"] = f"{self._settings.instance}.{self.served}"
        response.content_type = "text/event-stream"
        response.enable_chunked_encoding()
        await response.prepare(request)
        for number in range(max(1, tokens_out // TOKENS_PER_EVENT)):
            await asyncio.sleep(TOKENS_PER_EVENT * TOKEN_INTERVAL_S)
            await response.write(f"id: {number}\ndata: {'token ' * TOKENS_PER_EVENT}\n\n".encode())
        await response.write_eof()
        self.served += 1
        return response

    def _prefill(self, prefix: str) -> int:
        """Return how many tokens of a prompt must be processed, and cache its parts.

        All tokens from the first uncached part on count, whether later parts are cached or not.
        """
        has_missed = False
        tokens = 0
        for part in filter(None, prefix.split(",")):
            name, _, size = part.partition(":")
            has_missed = has_missed or name not in self._cache
            if has_missed:
                tokens += int(size)
                self._cache[name] = int(size)
            else:
                self.cached_tokens += int(size)
            self._cache.move_to_end(name)
        while sum(self._cache.values()) > MAX_CACHED_TOKENS:
            self._cache.popitem(last=False)
        self.prefilled_tokens += tokens
        return tokens

    async def _report(self, request: web.Request) -> web.StreamResponse:
        return web.json_response(
            {
                "stage": "both",
                "models": [{"name": "m", "generation": 1, "adapters": []}],
                "running": self._running,
                "waiting": 0,
                "kv_used": 0,
                "kv_total": MAX_CACHED_TOKENS,
            }
        )

    async def _health(self, request: web.Request) -> web.StreamResponse:
        return web.Response(headers={"X-Instance-Id": self._settings.instance})

    async def _send_heartbeats(self) -> None:
        settings = self._settings
        timeout = aiohttp.ClientTimeout(total=1.0)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                self._sequence += 1
                body = {
                    "backend": settings.service,
                    "address": f"{settings.host}:{settings.port}",
                    "zone": settings.zone,
                    "generation": "v1",
                    "slots": settings.slots,
                    "state": "ready",
                    "cold_remaining_ms": 0,
                    "sequence": self._sequence,
                }
                for control in settings.controls:
                    url = f"http://{control}/v1/instances/{settings.instance}/heartbeat"
                    with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
                        async with session.post(url, json=body) as response:
                            if response.status == 200:
                                break
                await asyncio.sleep(HEARTBEAT_INTERVAL_S)
