"""Clients that keep their connections until the process behind them is gone, and ask the directory."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import time

import aiohttp

from rig.system.deployment import REGIONS, Deployment
from rig.system.soak.record import Asked, Kind, Named, Read, Record

HOST = "assistant.example"
HOMES = (REGIONS[0], REGIONS[1])
KINDS = (
    Kind("chat", "/chat/", 280, homes=HOMES),
    Kind("note", "/note/", 24, resumable=True),
    Kind("order", "/order/", 4, streaming=False),
    Kind("long", "/long/", 900),
)
WEIGHTS = (4, 4, 4, 1)
TRY_S = 15.0
CONNECT_S = 1.0
RESOLVE_S = 1.0
PATIENT = 0.3  # of clients, that keep an answer for three times its life
CLINGING = 0.5  # of clients, that use their connection for as long as it is open, whoever is named
PAUSE_S = 0.2  # after a failure

Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter, str]


def configuration(generation: int) -> dict[str, object]:
    """One route a kind, one service."""
    routes = [
        {
            "name": kind.name,
            "authority": HOST,
            "path_prefix": kind.path,
            "route_type": "streaming" if kind.streaming else "unsafe",
            "timeout_ms": 15_000,
            "target_latency_ms": 800,
            "priority": 0,
            "backend": "models",
            "max_attempts": 2 if kind.resumable else 1,
            "sticky": kind.streaming,
            "resumable": kind.resumable,
            "gap_aim_ms": 400,
            "home_regions": list(kind.homes),
        }
        for kind in KINDS
    ]
    return {"generation": generation, "routes": routes, "services": [{"name": "models"}], "limits": {}}


class Client:
    """One client with one connection at a time."""

    def __init__(self, deployment: Deployment, region: str, record: Record, rng: random.Random) -> None:
        self._deployment = deployment
        self._region = region
        self._record = record
        self._rng = rng
        self._fronts: list[str] = []
        self._asks_at = 0.0
        self._failed: set[str] = set()
        self._connection: Connection | None = None
        self._patient = rng.random() < PATIENT
        self._clinging = rng.random() < CLINGING

    async def run(self, session: aiohttp.ClientSession, until: float, rate_s: float) -> None:
        """Send one request after the other until a time (s, monotonic clock)."""
        try:
            while time.monotonic() < until:
                await asyncio.sleep(self._rng.expovariate(rate_s))
                await self._resolve(session)
                if not await self._request():
                    await asyncio.sleep(PAUSE_S)
        finally:
            self._drop()

    async def _resolve(self, session: aiohttp.ClientSession) -> None:
        if time.monotonic() < self._asks_at:
            return
        for region in sorted(REGIONS, key=lambda other: other != self._region):
            directory = self._deployment.machine("control", region).address("directory")
            query = {"name": HOST, "region": self._region, "zone": f"{self._region}-1"}
            with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
                async with (
                    asyncio.timeout(RESOLVE_S),
                    session.get(f"http://{directory}/v1/resolve", params=query) as answer,
                ):
                    if answer.status == 200:
                        told = await answer.json()
                        now = time.monotonic()
                        self._record.named.append(Named(now, self._region, tuple(told["addresses"])))
                        self._fronts, self._failed = told["addresses"], set()
                        self._asks_at = now + told["ttl_s"] * (3 if self._patient else 1)
                        return

    async def _connected(self) -> Connection | None:
        """The open connection, or a new one; nothing where none can be had."""
        if self._connection:
            reader, _, front = self._connection
            if not reader.at_eof() and (self._clinging or front in self._fronts):
                return self._connection
            self._drop()
        usable = [front for front in self._fronts if front not in self._failed]
        if not usable:
            self._asks_at = 0.0
            return None
        front = self._rng.choice(usable)
        host, _, port = front.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_S):
                reader, writer = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError):
            self._failed.add(front)
            return None
        self._connection = (reader, writer, front)
        return self._connection

    async def _request(self) -> bool:
        """Send one request and read its answer; whether it came whole."""
        connection = await self._connected()
        if connection is None:
            return False
        reader, writer, front = connection
        (kind,) = self._rng.choices(KINDS, WEIGHTS)
        asked = Asked(f"{self._rng.getrandbits(64):016x}", kind, self._region, front, 0.0)
        own = f"{self._rng.getrandbits(32):08x}"
        lines = [
            f"POST {kind.path}x HTTP/1.1",
            f"Host: {HOST}",
            f"X-Request-Id: {asked.request_id}",
            "X-Model: m",
            f"X-Token-Count: 900,{kind.tokens_out}",
            f"X-Prompt-Prefix: {self._rng.randrange(8):08x}:700,{own}:200",
            f"X-Deadline-Ms: {TRY_S * 1000:.0f}",
            "Content-Length: 5",
        ]
        try:
            async with asyncio.timeout(TRY_S + 1.0):
                writer.write("\r\n".join([*lines, "", "hello"]).encode())
                asked.sent = time.monotonic()
                self._record.asked.append(asked)
                keep = await self._read(reader, asked)
        except (OSError, EOFError, TimeoutError, ValueError):
            keep = False
        asked.ended = time.monotonic()
        if not keep:
            self._drop()
        return asked.whole and asked.status == 200

    async def _read(self, reader: asyncio.StreamReader, asked: Asked) -> bool:
        """Read an answer; whether the connection may be used again."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
        asked.status = int(head.split(" ", 2)[1])
        fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
        if fields.get("transfer-encoding") == "chunked":
            while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
                await reader.readexactly(size + 2)
            await reader.readexactly(2)
        else:
            await reader.readexactly(int(fields.get("content-length", "0")))
        asked.whole = True
        return fields.get("connection") != "close"

    def _drop(self) -> None:
        if self._connection:
            self._connection[1].close()
            self._connection = None


class Operator:
    """Changes the configuration and reads it back."""

    def __init__(self, deployment: Deployment, record: Record, rng: random.Random) -> None:
        self._deployment = deployment
        self._record = record
        self._rng = rng
        self._turn = asyncio.Lock()
        self.acknowledged = 0

    def _url(self, path: str) -> str:
        return f"http://{self._rng.choice(self._deployment.of_role('control')).address('control')}{path}"

    async def change(self, session: aiohttp.ClientSession, until: float) -> None:
        """Put the next configuration, at any control process, until it is acknowledged."""
        async with self._turn:
            generation = self.acknowledged + 1
            body = json.dumps(configuration(generation))
            headers = {"X-Base-Version": str(self.acknowledged), "Content-Type": "application/json"}
            while time.monotonic() < until:
                with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
                    url = self._url("/v1/config/put")
                    async with session.post(url, data=body, headers=headers) as answer:
                        if answer.status == 200:
                            self.acknowledged = generation
                            self._record.changes += 1
                            return
                await asyncio.sleep(PAUSE_S)

    async def evacuate(self, session: aiohttp.ClientSession, zone: str, for_s: float, until: float) -> None:
        """Empty a zone, and take it back after a while."""
        await self._order(session, f"/v1/evacuations/{zone}/start", until)
        await asyncio.sleep(for_s)
        await self._order(session, f"/v1/evacuations/{zone}/finish", until + TRY_S)

    async def _order(self, session: aiohttp.ClientSession, path: str, until: float) -> None:
        while time.monotonic() < until:
            with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
                async with session.post(self._url(path)) as answer:
                    if answer.status < 300:
                        return
            await asyncio.sleep(PAUSE_S)

    async def read(self, session: aiohttp.ClientSession, until: float) -> None:
        """Read the configuration again and again."""
        while time.monotonic() < until:
            before = self.acknowledged
            with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
                async with session.get(self._url("/v1/config/get")) as answer:
                    if answer.status == 200:
                        generation = (await answer.json())["generation"]
                        self._record.reads.append(Read(time.monotonic(), generation, before))
            await asyncio.sleep(PAUSE_S)
