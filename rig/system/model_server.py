"""A stand-in model server: batches, a prompt cache, streams of events, a report, heartbeats (PROTOCOL:
servers).

It knows no weights: a token takes its time, and what a prompt shares with one that was read is not read
again.
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
STEP_S = 0.01  # a token of each running request
STRIDE = 4  # tokens an event
CACHED_MOST = 200_000  # tokens of parts that are kept
BEAT_S = 1.0
REQUEST_ID = "X-Request-Id"


@dataclass(frozen=True, slots=True)
class Place:
    """Where a stand-in stands, and whom it tells."""

    instance: str
    service: str
    host: str
    port: int
    zone: str
    controls: tuple[str, ...]  # HOST:PORT, the nearest first
    slots: int = 16


@dataclass(slots=True)
class Run:
    """A request that a server has begun to work on; times in s of the monotonic clock."""

    request_id: str
    zone: str
    began: float
    ended: float | None = None
    whole: bool = False


class ModelServer:
    """One incarnation."""

    def __init__(self, place: Place, note: Callable[[Run], None] = lambda run: None) -> None:
        self._place = place
        self._note = note
        self._slots = asyncio.Semaphore(place.slots)
        self._cache: OrderedDict[str, int] = OrderedDict()
        self._sequence = 0
        self._running = 0
        self._runner: web.AppRunner | None = None
        self._beating: asyncio.Task[None] | None = None
        self.served = 0
        self.tokens_read = 0
        self.tokens_kept = 0

    async def start(self) -> None:
        """Serve and begin to tell of it. Raises `OSError`."""
        application = web.Application()
        application.add_routes([web.get("/v1/report", self._report), web.get("/health", self._health)])
        application.router.add_route("*", "/{path:.*}", self._serve)
        self._runner = web.AppRunner(application, access_log=None, handler_cancellation=True)
        await self._runner.setup()
        await web.TCPSite(self._runner, self._place.host, self._place.port).start()
        self._beating = asyncio.create_task(self._beat())

    async def crash(self) -> None:
        """End at once and say nothing."""
        if self._beating:
            self._beating.cancel()
        if self._runner:
            await self._runner.shutdown()
            self._runner._shutdown_timeout = 0.0
            await self._runner.cleanup()

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        request_id = request.headers.get(REQUEST_ID, "")
        if request.headers.get("X-Expect-Instance", self._place.instance) != self._place.instance:
            return web.Response(status=421, headers={REQUEST_ID: request_id})
        await request.read()
        async with self._slots:
            self._running += 1
            run = Run(request_id, self._place.zone, time.monotonic())
            self._note(run)
            try:
                answer = await self._stream(request, request_id)
                run.whole = True
                return answer
            finally:
                run.ended = time.monotonic()
                self._running -= 1

    async def _stream(self, request: web.Request, request_id: str) -> web.StreamResponse:
        await asyncio.sleep(self._read(request.headers.get("X-Prompt-Prefix", "")) / PREFILL_TOKENS_PER_S)
        tokens_out = int(request.headers.get("X-Token-Count", "0,40").partition(",")[2])
        answer = web.StreamResponse()
        answer.headers[REQUEST_ID] = request_id
        answer.headers["X-Response-Stamp"] = f"{self._place.instance}.{self.served}"
        answer.content_type = "text/event-stream"
        answer.enable_chunked_encoding()
        await answer.prepare(request)
        for number in range(max(1, tokens_out // STRIDE)):
            await asyncio.sleep(STRIDE * STEP_S)
            await answer.write(f"id: {number}\ndata: {'token ' * STRIDE}\n\n".encode())
        await answer.write_eof()
        self.served += 1
        return answer

    def _read(self, prefix: str) -> int:
        """How many tokens of a prompt have to be read: those behind the first part that is not kept."""
        missed = False
        tokens = 0
        for part in filter(None, prefix.split(",")):
            name, _, size = part.partition(":")
            missed = missed or name not in self._cache
            if missed:
                tokens += int(size)
                self._cache[name] = int(size)
            else:
                self.tokens_kept += int(size)
            self._cache.move_to_end(name)
        while sum(self._cache.values()) > CACHED_MOST:
            self._cache.popitem(last=False)
        self.tokens_read += tokens
        return tokens

    async def _report(self, request: web.Request) -> web.StreamResponse:
        return web.json_response(
            {
                "stage": "both",
                "models": [{"name": "m", "generation": 1, "adapters": []}],
                "running": self._running,
                "waiting": 0,
                "kv_used": 0,
                "kv_total": CACHED_MOST,
            }
        )

    async def _health(self, request: web.Request) -> web.StreamResponse:
        return web.Response(headers={"X-Instance-Id": self._place.instance})

    async def _beat(self) -> None:
        place = self._place
        timeout = aiohttp.ClientTimeout(total=1.0)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                self._sequence += 1
                body = {
                    "backend": place.service,
                    "address": f"{place.host}:{place.port}",
                    "zone": place.zone,
                    "generation": "v1",
                    "slots": place.slots,
                    "state": "ready",
                    "cold_remaining_ms": 0,
                    "sequence": self._sequence,
                }
                for control in place.controls:
                    url = f"http://{control}/v1/instances/{place.instance}/heartbeat"
                    with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
                        async with session.post(url, json=body) as answer:
                            if answer.status == 200:
                                break
                await asyncio.sleep(BEAT_S)
