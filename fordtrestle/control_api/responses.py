"""What all calls of the control endpoint share: bodies that are read in time, answers in JSON."""

from __future__ import annotations

import asyncio
from typing import Any

from aiohttp import web

# For the body of a call to arrive in full.
BODY_TIMEOUT_S = 5.0

# What callers are asked to wait for, in the header field `Retry-After`: about as long as an election takes.
RETRY_AFTER_S = 0.3


def reply(status: int, *errors: str, **headers: str) -> web.Response:
    """An answer in JSON.

    Args:
        status: The HTTP status.
        errors: All that is wrong with the call, a line each.
        headers: Header fields; underscores in their names stand for hyphens.
    """
    body: dict[str, Any] = {"errors": list(errors)} if errors else {}
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    return web.json_response(body, status=status, headers=named)


async def read_body(request: web.Request) -> bytes:
    """Read the whole body.

    Raises:
        TimeoutError: It did not come in time.
        aiohttp.web.HTTPRequestEntityTooLarge: It is longer than a configuration may be.
    """
    async with asyncio.timeout(BODY_TIMEOUT_S):
        return await request.read()
