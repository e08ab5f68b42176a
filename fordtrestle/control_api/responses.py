"""Reads request bodies within a time limit and builds JSON responses, for all calls of the endpoint."""

from __future__ import annotations

import asyncio
from typing import Any

from aiohttp import web

from fordtrestle.dissemination.items import MAX_DOCUMENT_BYTES
from fordtrestle.listener.request_body import read_body_parts

# Time limit for the whole body of a request to arrive.
BODY_TIMEOUT_S = 5.0

# The value of the header field `Retry-After`: about the duration of an election.
RETRY_AFTER_S = 0.3


def reply(status: int, *errors: str, **headers: str) -> web.Response:
    """Build a JSON response.

    Args:
        status: The HTTP status.
        errors: The error messages, one per line.
        headers: Header fields; underscores in their names stand for hyphens.
    """
    body: dict[str, Any] = {"errors": list(errors)} if errors else {}
    header_fields = {name.replace("_", "-"): value for name, value in headers.items()}
    return web.json_response(body, status=status, headers=header_fields)


async def read_body(request: web.Request) -> bytes:
    """Read the whole body of a request.

    Raises:
        TimeoutError: The body did not arrive in time.
        RequestRefusedError: The account of the process has no room for it.
        aiohttp.web.HTTPRequestEntityTooLarge: The body is longer than a configuration may be.
    """
    async with asyncio.timeout(BODY_TIMEOUT_S):
        parts = await read_body_parts(request, MAX_DOCUMENT_BYTES)
    if parts is None:
        raise web.HTTPRequestEntityTooLarge(MAX_DOCUMENT_BYTES, request.content_length or 0)
    return b"".join(parts)
