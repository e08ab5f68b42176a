"""What is known of the caller of a request: until when it waits, and whether it is still connected.

A call must not be executed once its caller may have given it up: the caller may have sent it, or a newer one,
to another process meanwhile.
"""

from __future__ import annotations

import asyncio
import math
import select

from aiohttp import web
from aiohttp.typedefs import Handler

from fordtrestle.control_api.tracked_connection import TrackedConnection

# Callers try another process after one second without an answer; the rest is for the way to this process.
CALL_TIMEOUT_S = 0.95

_ARRIVED_AFTER = web.RequestKey("arrived_after", float)


@web.middleware
async def track_arrival(request: web.Request, handler: Handler) -> web.StreamResponse:
    """Record when a request arrived at the earliest, and when it was answered.

    The connection of a request whose arrival is unknown is closed, so that the caller's next one has a bound.
    """
    connection = _tracked_connection(request)
    if connection is None:
        return await handler(request)
    arrived_after = connection.arrivals.arrived_after
    request[_ARRIVED_AFTER] = -math.inf if arrived_after is None else arrived_after
    try:
        response = await handler(request)
    finally:
        connection.arrivals.on_answered()
    if arrived_after is None:
        response.force_close()
    return response


def deadline_of(request: web.Request) -> float:
    """Return until when the caller of a request waits, in seconds of the loop's clock.

    The time counts from the earliest moment at which the request may have arrived. A server that does not
    track its connections counts from now.
    """
    arrived_after: float = request.get(_ARRIVED_AFTER, asyncio.get_running_loop().time())
    return arrived_after + CALL_TIMEOUT_S


def is_connected(request: web.Request) -> bool:
    """Return whether the caller of a request has not closed its connection.

    The kernel is asked, since it may hold an end of the connection that the event loop has not read yet.
    """
    transport = request.transport
    if transport is None or transport.is_closing():
        return False
    connection = transport.get_extra_info("socket")
    if connection is None:
        return True
    poll = select.poll()
    poll.register(connection.fileno(), select.POLLRDHUP)
    return not poll.poll(0)


def _tracked_connection(request: web.Request) -> TrackedConnection | None:
    transport = request.transport
    protocol = transport.get_protocol() if transport else None
    return protocol if isinstance(protocol, TrackedConnection) else None
