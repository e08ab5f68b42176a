"""HTTP exchanges over loopback sockets, recorded as transcripts for approval tests."""

from __future__ import annotations

import asyncio
import functools
import re

from aiohttp import web

TEST_TIMEOUT_S = 30.0
_VARYING_HEADERS = re.compile(r"^(Date|Server): .*\r\n", re.MULTILINE)


def loopback(test):
    """Run an async test in an event loop of its own, with a timeout of `TEST_TIMEOUT_S`."""

    @functools.wraps(test)
    def run(*args, **kwargs):
        asyncio.run(asyncio.wait_for(test(*args, **kwargs), TEST_TIMEOUT_S))

    return run


async def until(condition):
    """Yield to other tasks until a condition holds."""
    while not condition():
        await asyncio.sleep(0)


async def serve(application: web.Application) -> tuple[web.AppRunner, int]:
    """Serve an application on a free loopback port, and return its runner and the port."""
    runner = web.AppRunner(application, access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    return runner, runner.addresses[0][1]


def request(method: str, target: str, body: bytes | str = b"", **headers: str) -> bytes:
    """Return the bytes of a request."""
    body = body.encode() if isinstance(body, str) else body
    lines = [f"{method} {target} HTTP/1.1", "Host: ficu95.example"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


class Client:
    """A client connection that records a transcript of the bytes that it sends and receives."""

    def __init__(self, port: int) -> None:
        self._port = port
        self.transcript: list[str] = []

    async def __aenter__(self) -> Client:
        self._reader, self._writer = await asyncio.open_connection("127.0.0.1", self._port)
        return self

    async def __aexit__(self, *_: object) -> None:
        self._writer.close()

    async def send(self, data: bytes) -> None:
        self.transcript.append("> " + data.decode("latin-1"))
        self._writer.write(data)
        await self._writer.drain()

    async def answer(self, bodiless: bool = False) -> str:
        """Read one answer, or the part of it that arrived before the connection ended.

        Args:
            bodiless: Whether the answer has no body, as one to a HEAD request.
        """
        head = b""
        try:
            head = await self._reader.readuntil(b"\r\n\r\n")
            text = head.decode("latin-1")
            length = re.search(r"(?i)content-length: (\d+)", text)
            if bodiless:
                body = b""
            elif re.search(r"(?i)transfer-encoding: chunked", text):
                body = await self._reader.readuntil(b"0\r\n\r\n")
            else:
                body = await self._reader.readexactly(int(length.group(1)) if length else 0)
        except asyncio.IncompleteReadError as error:
            body = error.partial + b"(the connection ends)"
        except ConnectionError:
            body = b"(the connection ends)"
        text = _VARYING_HEADERS.sub("", (head + body).decode("latin-1"))
        self.transcript.append("< " + text)
        return text

    async def exchange(self, data: bytes) -> str:
        await self.send(data)
        return await self.answer(bodiless=data.startswith(b"HEAD "))


def approved(*clients: Client) -> str:
    """Return the transcripts of connections, one after the other."""
    return "\n----\n".join("\n".join(client.transcript).replace("\r\n", "\n") for client in clients)
