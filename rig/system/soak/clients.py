"""Simulated clients that use persistent connections and the directory."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import Mapping
from dataclasses import dataclass, replace

import aiohttp

from rig.system.deployment import REGIONS, Deployment
from rig.system.soak.record import (
    DEADLINE_S,
    ClientRequest,
    DirectoryAnswer,
    Record,
    RequestKind,
)
from rig.system.soak.route_changes import RouteRule

HOST = "assistant.example"
HOME_REGIONS = (REGIONS[0], REGIONS[1])
KINDS = (
    RequestKind("chat", "/chat/", 280, home_regions=HOME_REGIONS),
    RequestKind("note", "/note/", 24, resumable=True),
    RequestKind("order", "/order/", 4, streaming=False),
    RequestKind("long", "/long/", 900),
)
CHAT, NOTE, ORDER, _ = KINDS
DRAFT = replace(CHAT, name="draft", tokens_out=100)  # of the route of chats


@dataclass(frozen=True, slots=True)
class RequestMix:
    """The kinds of requests that clients send, and their relative frequencies."""

    kinds: tuple[RequestKind, ...]
    weights: tuple[int, ...]


STANDARD_MIX = RequestMix(KINDS, (4, 4, 4, 1))
# Even a slow server needs less than the grace time for each of them.
SHORT_STREAMS_MIX = RequestMix((DRAFT, NOTE, ORDER), (4, 2, 2))
READ_TIMEOUT_S = DEADLINE_S + 1.0
EVENT_START, EVENT_END = b"id: ", b"\n\n"
CONNECT_TIMEOUT_S = 1.0
RESOLVE_TIMEOUT_S = 1.0
STALE_ANSWER_SHARE = 0.3  # of the clients; these use a directory answer for three times its TTL
CONNECTION_REUSE_SHARE = 0.5  # of the clients; these keep connections to fronts no longer returned
RETRY_DELAY_S = 0.2  # after a failure
MAX_SENDS = 4  # of a request that is refused, by clients that send it again with its id

Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter, str]


def standing_rules() -> tuple[RouteRule, ...]:
    """Return the rules of a configuration that never changes them."""
    return tuple(
        RouteRule(
            kind.path,
            "streaming" if kind.streaming else "unsafe",
            kind.resumable,
            2 if kind.resumable else 1,
        )
        for kind in KINDS
    )


class Client:
    """A client with one connection at a time."""

    def __init__(
        self,
        deployment: Deployment,
        region: str,
        record: Record,
        rng: random.Random,
        always_keeps_connection: bool = False,
        mix: RequestMix = STANDARD_MIX,
        repeats_ids: bool = False,
    ) -> None:
        self._deployment = deployment
        self._region = region
        self._record = record
        self._rng = rng
        self._mix = mix
        self._max_sends = MAX_SENDS if repeats_ids else 1
        self._fronts: list[str] = []
        self._resolve_at = 0.0
        self._failed_fronts: set[str] = set()
        self._connection: Connection | None = None
        self._retry_after_s = 0.0  # of the last response
        self._uses_stale_answers = rng.random() < STALE_ANSWER_SHARE
        self._keeps_connection = rng.random() < CONNECTION_REUSE_SHARE or always_keeps_connection

    async def run(self, session: aiohttp.ClientSession, until: float, rate_s: float) -> None:
        """Send requests one after another at a rate (1/s) until a time (s, monotonic clock)."""
        try:
            while time.monotonic() < until:
                await asyncio.sleep(self._rng.expovariate(rate_s))
                await self._resolve(session)
                if not await self._request():
                    await asyncio.sleep(RETRY_DELAY_S)
        finally:
            self._drop()

    async def _resolve(self, session: aiohttp.ClientSession) -> None:
        if time.monotonic() < self._resolve_at:
            return
        for region in sorted(REGIONS, key=lambda other: other != self._region):
            directory = self._deployment.machine("control", region).address("directory")
            query = {"name": HOST, "region": self._region, "zone": f"{self._region}-1"}
            with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
                async with (
                    asyncio.timeout(RESOLVE_TIMEOUT_S),
                    session.get(f"http://{directory}/v1/resolve", params=query) as response,
                ):
                    if response.status == 200:
                        result = await response.json()
                        now = time.monotonic()
                        self._record.directory_answers.append(
                            DirectoryAnswer(now, self._region, tuple(result["addresses"]))
                        )
                        self._fronts, self._failed_fronts = result["addresses"], set()
                        self._resolve_at = now + result["ttl_s"] * (3 if self._uses_stale_answers else 1)
                        return

    async def _connect(self) -> Connection | None:
        """Return the open connection or a new one, or None if no front accepts a connection."""
        if self._connection:
            reader, _, front = self._connection
            if not reader.at_eof() and (self._keeps_connection or front in self._fronts):
                return self._connection
            self._drop()
        usable = [front for front in self._fronts if front not in self._failed_fronts]
        if not usable:
            self._resolve_at = 0.0
            return None
        front = self._rng.choice(usable)
        host, _, port = front.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError):
            self._failed_fronts.add(front)
            return None
        self._connection = (reader, writer, front)
        return self._connection

    async def _request(self) -> bool:
        """Send one request, and again with its id while it is refused, if the client does that.

        Returns:
            Whether the last response is complete and has status 200.
        """
        (kind,) = self._rng.choices(self._mix.kinds, self._mix.weights)
        request_id, unique_part = f"{self._rng.getrandbits(64):016x}", f"{self._rng.getrandbits(32):08x}"
        prefix = f"{self._rng.randrange(8):08x}:700,{unique_part}:200"
        for _ in range(self._max_sends):
            request = await self._send(kind, request_id, prefix)
            if request is None:
                return False
            if not request.is_refused:
                return request.is_served
            await asyncio.sleep(self._retry_after_s)
        return False

    async def _send(self, kind: RequestKind, request_id: str, prefix: str) -> ClientRequest | None:
        """Send a request once, and record it with its response; return `None` without a connection."""
        connection = await self._connect()
        if connection is None:
            return None
        reader, writer, front = connection
        request = ClientRequest(request_id, kind, self._region, front, 0.0)
        lines = [
            f"POST {request.path} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Request-Id: {request.request_id}",
            "X-Model: m",
            f"X-Token-Count: 900,{kind.tokens_out}",
            f"X-Prompt-Prefix: {prefix}",
            f"X-Deadline-Ms: {DEADLINE_S * 1000:.0f}",
            "Content-Length: 5",
        ]
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                writer.write("\r\n".join([*lines, "", "hello"]).encode())
                request.sent = time.monotonic()
                self._record.requests.append(request)
                is_reusable = await self._read(reader, request)
        except (OSError, EOFError, TimeoutError, ValueError):
            is_reusable = False
        request.ended = time.monotonic()
        if not is_reusable:
            self._drop()
        return request

    async def _read(self, reader: asyncio.StreamReader, request: ClientRequest) -> bool:
        """Read a response.

        Returns:
            Whether the connection may be used again.
        """
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
        request.status = int(head.split(" ", 2)[1])
        fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
        request.answered_id = fields.get("x-request-id", "")
        self._retry_after_s = float(fields.get("retry-after", 0.0))
        body = await _read_body(reader, fields)
        request.is_complete = True
        request.events = body.count(EVENT_START) - (not body.endswith(EVENT_END))
        return fields.get("connection") != "close"

    def _drop(self) -> None:
        if self._connection:
            self._connection[1].close()
            self._connection = None


async def _read_body(reader: asyncio.StreamReader, fields: Mapping[str, str]) -> bytes:
    """Read the body of a response with these header fields."""
    if fields.get("transfer-encoding") != "chunked":
        return await reader.readexactly(int(fields.get("content-length", "0")))
    body = b""
    while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readexactly(2)
    return body
