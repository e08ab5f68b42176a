"""Simulated model server with batches, a prompt cache, event streams, a report and heartbeats (PROTOCOL:
servers).

No model is run: each token takes a fixed time, and the prefix that a prompt shares with an earlier one is not
processed again.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
import time
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

import aiohttp
from aiohttp import web

from rig.system.refusal_copies import RefusalCopies
from rig.system.server_faults import NO_FAULTS, REFUSAL_COPIES, DrawnFault, Fault, FaultSource

SERVICE = "models"  # that the routes lead to
PREFILL_TOKENS_PER_S = 40_000.0
TOKEN_INTERVAL_S = 0.01  # between two tokens of a running request, unless a server has another interval
TOKENS_PER_EVENT = 4
MAX_CACHED_TOKENS = 200_000  # of prompt parts
HEARTBEAT_INTERVAL_S = 1.0
MAX_SHORT_TOKENS = 4  # a response of at most this many tokens has a length instead of being a stream
DUPLICATE_DELAY_SHARE = 0.05  # delay of a second answer, as a share of the time drawn with the fault
CRASHED, FROZEN = "CRASHED", "FROZEN"  # faults of the runs that are open at that moment
REQUEST_ID = "X-Request-Id"
LAST_EVENT_ID = "Last-Event-Id"
EVENT_STREAM = "text/event-stream"
EVENTS_BEFORE_BREAK_PER_S = 1.0  # of the time that a request is held before its server breaks off


@dataclass(frozen=True, slots=True)
class ServerSettings:
    """Identity, address and speed of a simulated server, and the control processes that it reports to."""

    instance: str
    service: str
    host: str
    port: int
    zone: str
    controls: tuple[str, ...]  # HOST:PORT, nearest first
    slots: int = 16
    token_interval_s: float = TOKEN_INTERVAL_S


def event_count(tokens_out: int) -> int:
    """Return the number of events in a response with this many tokens."""
    return max(1, tokens_out // TOKENS_PER_EVENT)


def _event(number: int) -> bytes:
    return f"id: {number}\ndata: {'token ' * TOKENS_PER_EVENT}\n\n".encode()


def _first_event(request: web.Request) -> int:
    """Return the number of the event at which a response begins: a stream may be resumed."""
    return int(request.headers.get(LAST_EVENT_ID) or -1) + 1


@dataclass(slots=True)
class Run:
    """A request that a server has begun to process. Times are s of the monotonic clock.

    Attributes:
        request_id: The id of the request.
        zone: The zone of the server.
        service: The service of the server.
        began: When the server began to process it.
        ended: When it stopped.
        is_complete: Whether the response was written completely.
        fault: What the server did to the request instead of serving it at once; empty if it served it.
    """

    request_id: str
    zone: str
    began: float
    service: str = SERVICE
    ended: float | None = None
    is_complete: bool = False
    fault: str = ""


class ModelServer:
    """One incarnation of a simulated model server."""

    def __init__(
        self,
        settings: ServerSettings,
        on_run: Callable[[Run], None] = lambda run: None,
        faults: FaultSource = NO_FAULTS,
    ) -> None:
        self._settings = settings
        self._on_run = on_run
        self._faults = faults
        self._thawed = asyncio.Event()
        self._thawed.set()
        self._runs: dict[int, Run] = {}  # open ones by id()
        self._busy_transports: set[asyncio.Transport | None] = set()  # on which a response is written
        self._refusal_copies = RefusalCopies(REQUEST_ID)
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
        self._mark_open_runs(CRASHED)
        self._thawed.set()
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
        fault = "" if self._thawed.is_set() else FROZEN
        await self._thawed.wait()
        self._refusal_copies.on_request(request.transport)
        drawn = self._faults.draw()
        if drawn is not None and drawn.fault in REFUSAL_COPIES:
            return self._refusal_copies.refuse(request, request_id, drawn)
        match drawn:
            case DrawnFault(Fault.REJECT):
                return web.Response(status=503, headers={REQUEST_ID: request_id, "X-Not-Executed": "1"})
            case DrawnFault(Fault.RESET_UNREAD):
                return _end_connection(request, is_reset=True)
        async with self._slots:
            return await self._run(request, request_id, drawn, fault)

    async def _run(
        self, request: web.Request, request_id: str, drawn: DrawnFault | None, fault: str
    ) -> web.StreamResponse:
        """Process a request, and record the run; `fault` is what the server had before it began."""
        self._running += 1
        run = Run(request_id, self._settings.zone, time.monotonic(), self._settings.service, fault=fault)
        self._on_run(run)
        self._runs[id(run)] = run
        try:
            response = await self._respond(request, request_id, run, drawn)
            run.is_complete = not run.fault
            return response
        finally:
            run.ended = time.monotonic()
            self._running -= 1
            del self._runs[id(run)]

    async def _respond(
        self, request: web.Request, request_id: str, run: Run, drawn: DrawnFault | None
    ) -> web.StreamResponse:
        """Answer a request, or do to it what was drawn."""
        if drawn is None:
            return await self._stream(request, request_id)
        if drawn.fault is Fault.DUPLICATE:
            return await self._answer_twice(request, request_id, drawn)
        run.fault = drawn.fault.name
        await asyncio.sleep(drawn.hold_s)
        await self._thawed.wait()
        match drawn.fault:
            case Fault.FAIL:
                return web.Response(status=500, headers={REQUEST_ID: request_id})
            case Fault.RESET | Fault.CLOSE:
                return _end_connection(request, is_reset=drawn.fault is Fault.RESET)
            case Fault.BREAK_OFF:
                return await self._break_off(request, request_id)
            case Fault.BREAK_OFF_UNFRAMED:
                return self._break_off_unframed(request, request_id, drawn)
        return await self._stream(request, request_id)

    async def _answer_twice(
        self, request: web.Request, request_id: str, drawn: DrawnFault
    ) -> web.StreamResponse:
        """Answer a request at once, and again after a while."""
        response = await self._stream(request, request_id)
        delay_s = drawn.hold_s * DUPLICATE_DELAY_SHARE
        asyncio.get_running_loop().call_later(delay_s, self._send_duplicate, request, request_id)
        return response

    def _send_duplicate(self, request: web.Request, request_id: str) -> None:
        """Send one more response, unless a response is being written on the connection."""
        transport = request.transport
        if transport is not None and not transport.is_closing() and transport not in self._busy_transports:
            transport.write(self._duplicate(request_id))

    async def _break_off(self, request: web.Request, request_id: str) -> web.StreamResponse:
        """Answer the beginning of a stream, and close the connection."""
        response = web.StreamResponse(headers=self._headers(request_id))
        response.enable_chunked_encoding()
        await response.prepare(request)
        await response.write(b"id: 0\ndata: tok")
        return _end_connection(request, is_reset=False)

    def _break_off_unframed(
        self, request: web.Request, request_id: str, drawn: DrawnFault
    ) -> web.StreamResponse:
        """Answer some events without a length and half of another, and close the connection in order."""
        transport = request.transport
        if transport is not None:
            first = _first_event(request)
            broken = first + int(drawn.hold_s * EVENTS_BEFORE_BREAK_PER_S)
            events = b"".join(_event(number) for number in range(first, broken))
            half_event = _event(broken)[: len(_event(broken)) // 2]
            head = self._head(request_id, f"Content-Type: {EVENT_STREAM}\r\nConnection: close\r\n")
            transport.write(head + events + half_event)
            transport.close()
        return web.Response(status=500)

    def _duplicate(self, request_id: str) -> bytes:
        """Return the bytes of one more response to a request."""
        return self._head(request_id, "Content-Length: 9\r\n") + b"duplicate"

    def _head(self, request_id: str, fields: str) -> bytes:
        """Return the head of a successful response with further fields, each of which ends its line."""
        headers = "".join(f"{name}: {value}\r\n" for name, value in self._headers(request_id).items())
        return f"HTTP/1.1 200 OK\r\n{headers}{fields}\r\n".encode()

    def _headers(self, request_id: str) -> dict[str, str]:
        return {REQUEST_ID: request_id, "X-Response-Stamp": f"{self._settings.instance}.{self.served}"}

    async def _stream(self, request: web.Request, request_id: str) -> web.StreamResponse:
        await asyncio.sleep(self._prefill(request.headers.get("X-Prompt-Prefix", "")) / PREFILL_TOKENS_PER_S)
        tokens_out = int(request.headers.get("X-Token-Count", "0,40").partition(",")[2])
        response = web.StreamResponse(headers=self._headers(request_id))
        response.content_type = EVENT_STREAM
        events = [_event(number) for number in range(_first_event(request), event_count(tokens_out))]
        if tokens_out <= MAX_SHORT_TOKENS:
            response.content_length = sum(map(len, events))
        else:
            response.enable_chunked_encoding()
        transport = request.transport
        self._busy_transports.add(transport)
        try:
            await response.prepare(request)
            for event in events:
                await asyncio.sleep(TOKENS_PER_EVENT * self._settings.token_interval_s)
                await self._thawed.wait()
                await response.write(event)
            await response.write_eof()
        finally:
            self._busy_transports.discard(transport)
        self.served += 1
        return response

    def freeze(self) -> None:
        """Stop answering, as a stopped process does: the kernel still accepts connections."""
        self._mark_open_runs(FROZEN)
        self._thawed.clear()

    def thaw(self) -> None:
        """Continue."""
        self._thawed.set()

    def _mark_open_runs(self, fault: str) -> None:
        for run in self._runs.values():
            run.fault = fault

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
                await self._thawed.wait()
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


def _end_connection(request: web.Request, is_reset: bool) -> web.StreamResponse:
    """End the connection of a request without an answer or within it; return a response that is not sent."""
    transport = request.transport
    if transport is not None:
        sock = transport.get_extra_info("socket")
        if is_reset and sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        transport.abort()
    return web.Response(status=500)
