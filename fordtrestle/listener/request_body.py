"""Reads whole bodies of requests. What is held of them is accounted for by their connection."""

from __future__ import annotations

from aiohttp import web

from fordtrestle.listener.errors import RequestRefusedError

BodyParts = tuple[bytes, ...]
"""A body in the parts in which it arrived. A copy in one piece would take its size once more."""


async def read_body_parts(request: web.BaseRequest, max_bytes: int) -> BodyParts | None:
    """Read the body of a request.

    Args:
        request: The request, whose head has been received.
        max_bytes: The largest body that is read.

    Returns:
        The body; `None` if it is larger than `max_bytes`.

    Raises:
        RequestRefusedError: The account of the process has no room for it.
    """
    parts: list[bytes] = []
    size_bytes = 0
    try:
        async for part in request.content.iter_any():
            size_bytes += len(part)
            if size_bytes > max_bytes:
                return None
            parts.append(part)
    except RequestRefusedError:
        parts.clear()  # the error refers to this frame until the connection ends
        raise
    return tuple(parts)
