"""Relays responses from servers to clients: short ones when complete, streams incrementally.

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

MAX_BUFFERED_BYTES = 1024 * 1024  # largest response that is read completely before it is relayed
CLIENT_WRITE_TIMEOUT_S = 10.0  # how long the head or the end may wait for a client that does not read
OK = 200
_CONNECTION_ERRORS = (aiohttp.ClientError, OSError, EOFError, EventTooLargeError)


class RelayResult(Enum):
    """How one server's part of a response ended."""

    COMPLETE = auto()
    BROKEN = auto()  # the server's connection ended, or it sent invalid data
    DEADLINE_EXCEEDED = auto()
    CLIENT_GONE = auto()  # the client's connection has ended


def is_short(response: aiohttp.ClientResponse, route: Route) -> bool:
    """Return whether a response is read completely before it is relayed."""
    return route.route_type is not RouteType.STREAMING and has_length_within(
        response.headers, MAX_BUFFERED_BYTES
    )


def release_connection(response: aiohttp.ClientResponse) -> None:
    """Keep the server's connection if the response was read completely, and close it otherwise."""
    if response.content.at_eof() and response.content.exception() is None:
        response.release()
    else:
        response.close()


async def relay_complete(response: aiohttp.ClientResponse, deadline: float) -> web.Response | RelayResult:
    """Read a response completely.

    Args:
        response: The server's response; its connection is released.
        deadline: The deadline, in seconds of the loop's clock.

    Returns:
        The response to the client, or the reason why the server's response is incomplete.
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
    """A streaming response to a client from one server or, if it is resumable, from several in turn."""

    def __init__(self, request: web.BaseRequest, first: aiohttp.ClientResponse, is_resumable: bool) -> None:
        """Create the response to the client, without sending any of it.

        Args:
            request: The client's request.
            first: The response of the first server, which determines the status and the headers.
            is_resumable: Whether the route allows another server to continue the stream.
        """
        self._request = request
        self._splitter = EventSplitter() if is_resumable and first.status == OK else None
        self.response = _make_stream_response(first, is_resumable=self._splitter is not None)

    @property
    def can_resume(self) -> bool:
        """Whether another server may continue the stream where it broke off."""
        return self._splitter is not None

    @property
    def last_event_id(self) -> str:
        """The id of the last complete event; empty if there is none."""
        return self._splitter.last_id if self._splitter else ""

    async def start(self) -> None:
        """Send the head of the response.

        If the client does not read it in time, its connection is aborted, and later writes fail.
        """
        try:
            async with asyncio.timeout(CLIENT_WRITE_TIMEOUT_S):
                await self.response.prepare(self._request)
        except TimeoutError:
            self.abort()

    async def relay_from(self, response: aiohttp.ClientResponse, deadline: float) -> RelayResult:
        """Relay a server's response until it ends.

        Args:
            response: The server's response; its connection is released.
            deadline: The deadline, in seconds of the loop's clock.

        Returns:
            How the server's part of the response ended.
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
        """Write the remaining bytes, and mark the response as complete."""
        try:
            async with asyncio.timeout(CLIENT_WRITE_TIMEOUT_S):
                await self._write(self._splitter.take_incomplete() if self._splitter else b"")
                await self.response.write_eof()
        except (TimeoutError, OSError):
            self.abort()
        return self.response

    def abort(self) -> web.StreamResponse:
        """Abort the client's connection, so that the incomplete response does not look complete."""
        if self._request.transport is not None:
            self._request.transport.abort()
        return self.response

    def _on_connection_error(self) -> RelayResult:
        """Determine whose connection ended, because both raise the same errors; drop an incomplete event."""
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
    """Create a response with the server's status and headers, and without a length if it is resumable."""
    response = web.StreamResponse(status=first.status)
    for name, value in end_to_end(first.headers, first.headers.items()).items():
        if name.lower() != "content-length":
            response.headers.add(name, value)
    if first.content_length is not None and not is_resumable:
        response.content_length = first.content_length
    else:
        response.enable_chunked_encoding()
    return response
