"""Passes a server's response on: short ones complete, streams as they come.

A response that breaks off never looks complete to its client.
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

MAX_BUFFERED_BYTES = 1024 * 1024  # of a response that is read to its end before any of it is passed on
CLIENT_WRITE_TIMEOUT_S = 10.0  # for which a client may leave its connection full once all has come
OK = 200
_CONNECTION_ERRORS = (aiohttp.ClientError, OSError, EOFError, EventTooLargeError)


class RelayResult(Enum):
    """How a server's part of a response ended."""

    COMPLETE = auto()
    BROKEN = auto()  # the server's connection ended, or what came was no answer
    DEADLINE_EXCEEDED = auto()
    CLIENT_GONE = auto()  # the client's connection has ended


def is_short(response: aiohttp.ClientResponse, route: Route) -> bool:
    """Whether a response is read to its end before any of it is passed on."""
    return route.route_type is not RouteType.STREAMING and has_length_within(
        response.headers, MAX_BUFFERED_BYTES
    )


def release_connection(response: aiohttp.ClientResponse) -> None:
    """Keep the server's connection where the response was read to its end, and end it where it was not."""
    if response.content.at_eof() and response.content.exception() is None:
        response.release()
    else:
        response.close()


async def relay_complete(response: aiohttp.ClientResponse, deadline: float) -> web.Response | RelayResult:
    """Read a response to its end.

    Args:
        response: The server's; its connection is released.
        deadline: s, loop clock.

    Returns:
        The client's response, or why the server's is not complete.
    """
    try:
        async with asyncio.timeout_at(deadline):
            body = await response.read()
    except TimeoutError:
        return RelayResult.DEADLINE_EXCEEDED
    except _CONNECTION_ERRORS:
        return RelayResult.BROKEN
    finally:
        release_connection(response)
    headers = end_to_end(response.headers, response.headers.items())
    headers.pop("Content-Length", None)
    return web.Response(status=response.status, body=body, headers=headers)


class StreamRelay:
    """One response to a client, fed by one server or, where it may be resumed, by several in turn."""

    def __init__(self, request: web.BaseRequest, first: aiohttp.ClientResponse, is_resumable: bool) -> None:
        """Make the client's response; nothing is sent yet.

        Args:
            request: The client's.
            first: The response of the first server; its status and headers are the client's.
            is_resumable: Whether the route lets another server continue the stream.
        """
        self._request = request
        self._splitter = EventSplitter() if is_resumable and first.status == OK else None
        self.response = _make_stream_response(first, is_resumable=self._splitter is not None)

    @property
    def can_resume(self) -> bool:
        """Whether another server may continue where this one broke off."""
        return self._splitter is not None

    @property
    def last_event_id(self) -> str:
        """The id of the last event that was passed on; empty where none was."""
        return self._splitter.last_id if self._splitter else ""

    async def start(self) -> None:
        """Send the head.

        Where the client takes none in time, what follows finds its connection ended.
        """
        try:
            async with asyncio.timeout(CLIENT_WRITE_TIMEOUT_S):
                await self.response.prepare(self._request)
        except TimeoutError:
            self.abort()

    async def relay_from(self, response: aiohttp.ClientResponse, deadline: float) -> RelayResult:
        """Pass on what comes from a server until its part has ended.

        Args:
            response: The server's; its connection is released.
            deadline: s, loop clock.
        """
        try:
            async with asyncio.timeout_at(deadline):
                async for chunk in response.content.iter_any():
                    await self._write(self._splitter.feed(chunk) if self._splitter else chunk)
        except TimeoutError:
            return RelayResult.DEADLINE_EXCEEDED
        except _CONNECTION_ERRORS:
            return self._on_connection_error()
        finally:
            release_connection(response)
        return RelayResult.COMPLETE

    async def finish(self) -> web.StreamResponse:
        """End the response as complete."""
        try:
            async with asyncio.timeout(CLIENT_WRITE_TIMEOUT_S):
                await self._write(self._splitter.take_incomplete() if self._splitter else b"")
                await self.response.write_eof()
        except (TimeoutError, OSError):
            self.abort()
        return self.response

    def abort(self) -> web.StreamResponse:
        """End the client's connection: its response is not complete and must not look so."""
        if self._request.transport is not None:
            self._request.transport.abort()
        return self.response

    def _on_connection_error(self) -> RelayResult:
        """Whose connection ended; both raise the same errors."""
        if self._is_client_gone():
            return RelayResult.CLIENT_GONE
        if self._splitter:
            self._splitter.discard_incomplete()
        return RelayResult.BROKEN

    def _is_client_gone(self) -> bool:
        transport = self._request.transport
        return transport is None or transport.is_closing()

    async def _write(self, data: bytes) -> None:
        if data:
            await self.response.write(data)


def _make_stream_response(first: aiohttp.ClientResponse, is_resumable: bool) -> web.StreamResponse:
    """A response with the server's status and headers; of a resumable one the length is not known."""
    response = web.StreamResponse(status=first.status)
    for name, value in end_to_end(first.headers, first.headers.items()).items():
        if name.lower() != "content-length":
            response.headers.add(name, value)
    if first.content_length is not None and not is_resumable:
        response.content_length = first.content_length
    else:
        response.enable_chunked_encoding()
    return response
