"""Receives request bodies, within the limits of the configuration and of the account of client bytes."""

from __future__ import annotations

import asyncio

from aiohttp import web

from fordtrestle.ingress.errors import BodyTimeoutError, BodyTooLargeError, OverCapacityError
from fordtrestle.listener.errors import RequestRefusedError
from fordtrestle.listener.request_body import BodyParts, read_body_parts
from fordtrestle.routing.route import Limits

_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


async def receive_body(request: web.BaseRequest, limits: Limits) -> BodyParts:
    """Receive the complete body of a request.

    Args:
        request: The request, whose head has been received.
        limits: The limits of the configuration.

    Returns:
        The body, in parts.

    Raises:
        BodyTimeoutError: The body was not received in time.
        BodyTooLargeError: The body exceeds the limit of the configuration.
        OverCapacityError: The account of client bytes has no room for the body.
    """
    try:
        async with asyncio.timeout(limits.header_timeout_s):
            body = await _read(request, limits.max_body_bytes)
    except TimeoutError as error:
        raise BodyTimeoutError(f"body not received within {limits.header_timeout_s} s") from error
    except RequestRefusedError as error:
        raise OverCapacityError(str(error)) from error
    if body is not None:
        return body
    raise BodyTooLargeError(f"body exceeds the limit of {limits.max_body_bytes} bytes")


async def _read(request: web.BaseRequest, max_bytes: int) -> BodyParts | None:
    """Return the complete body; `None` if it is larger than `max_bytes`."""
    if request.headers.get("Expect", "").lower() == "100-continue" and request.transport:
        request.transport.write(_CONTINUE)
    return await read_body_parts(request, max_bytes) if request.can_read_body else ()
