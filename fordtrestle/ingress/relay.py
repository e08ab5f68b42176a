"""Relays responses from servers to clients: short ones when complete, streams incrementally.

A response that breaks off never looks complete to its client. An event stream that ends inside an event has
broken off, however its connection or its body ended (PROTOCOL: requests).
"""

from __future__ import annotations

import asyncio
from enum import Enum, auto

import aiohttp
from aiohttp import web

from fordtrestle.forward.errors import EventTooLargeError
from fordtrestle.forward.events import EventSplitter, EventTracker
from fordtrestle.forward.headers import (
    EVENT_STREAM,
    end_to_end,
    has_framing,
    has_length_within,
    media_type_of,
)
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


def is_event_stream(response: aiohttp.ClientResponse, route: Route) -> bool:
    """Return whether a response consists of server-sent events, and so must not end inside one.

    A body without a media type is taken for events only if its route promises them and nothing else marks its
    end.
    """
    if response.status != OK:
        return False
    media_type = media_type_of(response.headers)
    if media_type:
        return media_type == EVENT_STREAM
    return route.route_type is RouteType.STREAMING and not has_framing(response.headers)


def release_connection(response: aiohttp.ClientResponse) -> None:
    """Keep the server's connection if the response was read completely, and close it otherwise."""
    if response.content.at_eof() and response.content.exception() is None:
        response.release()
    else:
        response.close()


async def relay_complete(
    response: aiohttp.ClientResponse, route: Route, deadline: float
) -> web.Response | RelayResult:
    """Read a response completely.

    Args:
        response: The server's response; its connection is released.
        route: The route of the request.
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
    if is_event_stream(response, route) and _ends_inside_event(body):
        return RelayResult.BROKEN
    headers = end_to_end(response.headers, response.headers.items())
    headers.pop("Content-Length", None)
    return web.Response(status=response.status, body=body, headers=headers)


def _ends_inside_event(body: bytes) -> bool:
    events = EventTracker()
    events.feed(body)
    return events.is_inside_event


class StreamRelay:
    """A streaming response to a client from one server or, if it is resumable, from several in turn.

    Attributes:
        response: The response to the client.
        can_resume: Whether another server may continue the stream where it broke off.
    """

    def __init__(self, request: web.BaseRequest, first: aiohttp.ClientResponse, route: Route) -> None:
        """Create the response to the client, without sending any of it.

        Args:
            request: The client's request.
            first: The response of the first server, which determines the status and the headers.
            route: The route of the request, which says whether another server may continue the stream.
        """
        self._request = request
        self._route = route
        self.can_resume = route.is_resumable and first.status == OK
        self._events: EventSplitter | EventTracker = EventSplitter() if self.can_resume else EventTracker()
        may_end_early = self.can_resume or is_event_stream(first, route)
        self.response = _make_stream_response(first, has_length=not may_end_early)

    @property
    def last_event_id(self) -> str:
        """The id of the last complete event; empty if there is none."""
        return self._events.last_id

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
                    await self._write(self._events.feed(chunk))
        except TimeoutError:
            return RelayResult.DEADLINE_EXCEEDED
        except _CONNECTION_ERRORS:
            return self._on_broken()
        finally:
            release_connection(response)
        if self._events.is_inside_event and is_event_stream(response, self._route):
            return self._on_broken()
        return RelayResult.COMPLETE

    async def finish(self) -> web.StreamResponse:
        """Write the remaining bytes, and mark the response as complete."""
        try:
            async with asyncio.timeout(CLIENT_WRITE_TIMEOUT_S):
                await self._write(self._events.take_incomplete())
                await self.response.write_eof()
        except (TimeoutError, OSError):
            self.abort()
        return self.response

    def abort(self) -> web.StreamResponse:
        """Abort the client's connection, so that the incomplete response does not look complete."""
        if self._request.transport is not None:
            self._request.transport.abort()
        return self.response

    def _on_broken(self) -> RelayResult:
        """Determine whose connection ended, because both raise the same errors; drop an incomplete event."""
        if self._is_client_gone():
            return RelayResult.CLIENT_GONE
        self._events.discard_incomplete()
        return RelayResult.BROKEN

    def _is_client_gone(self) -> bool:
        transport = self._request.transport
        return transport is None or transport.is_closing()

    async def _write(self, data: bytes) -> None:
        if data:
            await self.response.write(data)


def _make_stream_response(first: aiohttp.ClientResponse, has_length: bool) -> web.StreamResponse:
    """Create a response with the server's status and headers, and with its length if it is to have one."""
    response = web.StreamResponse(status=first.status)
    for name, value in end_to_end(first.headers, first.headers.items()).items():
        if name.lower() != "content-length":
            response.headers.add(name, value)
    if first.content_length is not None and has_length:
        response.content_length = first.content_length
    else:
        response.enable_chunked_encoding()
    return response
