"""Passes a server's answer on: short ones whole, streams as they come. What breaks off never looks
complete.
"""

from __future__ import annotations

import asyncio
from enum import Enum, auto

import aiohttp
from aiohttp import web

from fordtrestle.forward.errors import EventTooLargeError
from fordtrestle.forward.events import EventSplitter
from fordtrestle.forward.headers import end_to_end, has_length_within
from fordtrestle.routing.route import Route, RouteType

WHOLE_MOST = 1024 * 1024  # bytes of an answer that is read whole before it is passed on
WRITE_S = 10.0  # that a client may leave its connection full once all has come
OK = 200
_BROKEN = (aiohttp.ClientError, OSError, EOFError, EventTooLargeError)


def is_short(response: aiohttp.ClientResponse, route: Route) -> bool:
    """Whether an answer is read whole before any of it is passed on."""
    return route.route_type is not RouteType.STREAMING and has_length_within(response.headers, WHOLE_MOST)


def give_back(response: aiohttp.ClientResponse) -> None:
    """Keep the server's connection where the whole answer was read, and end it where it was not."""
    if response.content.at_eof() and response.content.exception() is None:
        response.release()
    else:
        response.close()


class End(Enum):
    """How a server's part of a stream ended."""

    COMPLETE = auto()
    BROKEN = auto()  # the server's connection ended or what came was no answer
    OVERDUE = auto()
    GONE = auto()  # the client's connection has ended


async def relay_whole(response: aiohttp.ClientResponse, deadline: float) -> web.Response | End:
    """The server's answer, or how it ended where it is not whole by `deadline` (s, loop clock)."""
    try:
        async with asyncio.timeout_at(deadline):
            body = await response.read()
    except TimeoutError:
        return End.OVERDUE
    except _BROKEN:
        return End.BROKEN
    finally:
        give_back(response)
    headers = end_to_end(response.headers, response.headers.items())
    headers.pop("Content-Length", None)
    return web.Response(status=response.status, body=body, headers=headers)


class StreamRelay:
    """One answer to a client, fed by one server or, where it may be resumed, by several in turn."""

    def __init__(self, request: web.BaseRequest, first: aiohttp.ClientResponse, resumable: bool) -> None:
        self._request = request
        self._splitter = EventSplitter() if resumable and first.status == OK else None
        self.answer = web.StreamResponse(status=first.status)
        for name, value in end_to_end(first.headers, first.headers.items()).items():
            if name.lower() != "content-length":
                self.answer.headers.add(name, value)
        if first.content_length is not None and self._splitter is None:
            self.answer.content_length = first.content_length
        else:
            self.answer.enable_chunked_encoding()

    @property
    def can_resume(self) -> bool:
        """Whether another server may go on where this one broke off."""
        return self._splitter is not None

    @property
    def last_event_id(self) -> str:
        """The id of the last event that was passed on; empty where none was."""
        return self._splitter.last_id if self._splitter else ""

    async def begin(self) -> None:
        """Send the head; where the client takes none in time, what follows finds its connection ended."""
        try:
            async with asyncio.timeout(WRITE_S):
                await self.answer.prepare(self._request)
        except TimeoutError:
            self.cut()

    async def feed(self, response: aiohttp.ClientResponse, deadline: float) -> End:
        """Pass on what comes from a server until its part has ended."""
        try:
            async with asyncio.timeout_at(deadline):
                async for chunk in response.content.iter_any():
                    await self._write(self._splitter.feed(chunk) if self._splitter else chunk)
        except TimeoutError:
            return End.OVERDUE
        except _BROKEN:
            if self._is_gone():
                return End.GONE
            if self._splitter:
                self._splitter.discard_incomplete()
            return End.BROKEN
        finally:
            give_back(response)
        return End.COMPLETE

    async def finish(self) -> web.StreamResponse:
        """End the answer as complete."""
        try:
            async with asyncio.timeout(WRITE_S):
                await self._write(self._splitter.take_incomplete() if self._splitter else b"")
                await self.answer.write_eof()
        except (TimeoutError, OSError):
            self.cut()
        return self.answer

    def cut(self) -> web.StreamResponse:
        """End the client's connection: its answer is not whole and must not look so."""
        if self._request.transport is not None:
            self._request.transport.abort()
        return self.answer

    def _is_gone(self) -> bool:
        transport = self._request.transport
        return transport is None or transport.is_closing()

    async def _write(self, data: bytes) -> None:
        if data:
            await self.answer.write(data)
