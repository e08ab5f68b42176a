"""Clients that do not keep to the protocol: they read nothing, send ahead, or never finish what they send."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable
from dataclasses import dataclass

from rig.system.traffic import HOST

# Small, so that what a client does not read stays with the process that sent it.
RECEIVE_BUFFER_BYTES = 4096
CONNECT_TIMEOUT_S = 2.0
MAX_CONCURRENT_CONNECTS = 32
CHUNK_BYTES = 50_000

MakePayload = Callable[[int], bytes]
"""Returns what the client of a number sends; from 0."""


@dataclass(frozen=True, slots=True)
class Crowd:
    """A number of clients that do the same.

    Attributes:
        name: What they do.
        connections: How many connections they open.
        payload: What each sends as fast as it is taken; the connection then stays open.
    """

    name: str
    connections: int
    payload: MakePayload


def request(method: str, path: str, body: bytes = b"", request_id: str = "", **headers: str) -> bytes:
    """Return the bytes of a request."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", "X-Deadline-Ms: 10000"]
    if request_id:
        lines.append(f"X-Request-Id: {request_id}")
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    if method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def silent(number: int) -> bytes:
    """Send nothing."""
    return b""


def unfinished_head(size_bytes: int = 30) -> MakePayload:
    """Send a head of a size, in bytes, that does not end."""
    head = b"POST /answer/1 HTTP/1.1\r\nHost: x\r\n"
    field = b"X-Field-%d: " + b"h" * 8000 + b"\r\n"
    parts = [head]
    while sum(map(len, parts)) < size_bytes:
        parts.append(field % len(parts))
    unfinished = b"".join(parts)[: max(size_bytes, len(head))]
    return lambda number: unfinished


def sent_ahead(one: MakePayload, count: int) -> MakePayload:
    """Send the first client's request `count` times without reading the answers."""
    payload = one(0) * count  # one object for all clients
    return lambda number: payload


def chunked_body(path: str, size_bytes: int, *, is_complete: bool) -> MakePayload:
    """Send a body of a size, in bytes, in chunks and without a length."""
    chunk = b"%x\r\n%s\r\n" % (CHUNK_BYTES, b"z" * CHUNK_BYTES)
    chunks = chunk * (size_bytes // CHUNK_BYTES) + (b"0\r\n\r\n" if is_complete else b"")

    def payload(number: int) -> bytes:
        head = request("GET", path, request_id=f"chunked-{number}").replace(b"GET", b"POST", 1)
        return head.removesuffix(b"\r\n") + b"Transfer-Encoding: chunked\r\n\r\n" + chunks

    return payload


def unfinished_body(path: str, size_bytes: int) -> MakePayload:
    """Announce a body that is one byte longer than what is sent, in bytes."""
    whole = request("POST", path, b"z" * (size_bytes + 1))
    return lambda number: whole[:-1]


class MisbehavingClients:
    """The open connections of a crowd, within an `async with` block.

    Attributes:
        ended: How many connections were refused or ended by the other side, as far as their client noticed.
    """

    def __init__(self, crowd: Crowd, address: str) -> None:
        """Create a crowd that opens its connections to `address`, HOST:PORT, when the block is entered."""
        self._crowd = crowd
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._connecting = asyncio.Semaphore(MAX_CONCURRENT_CONNECTS)
        self._tasks: list[asyncio.Task[None]] = []
        self.ended = 0

    async def __aenter__(self) -> MisbehavingClients:
        self._tasks = [asyncio.create_task(self._run(number)) for number in range(self._crowd.connections)]
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run(self, number: int) -> None:
        with socket.socket() as sock:
            sock.setblocking(False)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            with contextlib.suppress(OSError, TimeoutError):
                await self._send(sock, self._crowd.payload(number))
                await asyncio.Event().wait()  # the connection stays open
            self.ended += 1
            await asyncio.Event().wait()  # a connection that failed stays open too

    async def _send(self, sock: socket.socket, payload: bytes) -> None:
        loop = asyncio.get_running_loop()
        async with self._connecting, asyncio.timeout(CONNECT_TIMEOUT_S):
            await loop.sock_connect(sock, self._address)
        await loop.sock_sendall(sock, payload)
