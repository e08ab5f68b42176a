"""Passes a server's answer on: short ones whole, streams as they come. What breaks off never looks
complete.
"""

from __future__ import annotations

import asyncio

import aiohttp
from aiohttp import web

from fordtrestle.forward.client import has_whole_length
from fordtrestle.forward.headers import end_to_end
from fordtrestle.ingress import answers
from fordtrestle.routing.table import Route, RouteType

WHOLE_MOST = 1024 * 1024  # bytes of an answer that is read whole before it is passed on
WRITE_S = 10.0  # that a client may leave its connection full
_BROKEN = (aiohttp.ClientError, OSError, EOFError)


async def relay(
    request: web.BaseRequest,
    response: aiohttp.ClientResponse,
    request_id: str,
    deadline: float,
    route: Route,
) -> web.StreamResponse:
    """Pass an answer on and give the server's connection back, or end it where the answer is not whole."""
    try:
        if route.type is not RouteType.STREAMING and has_whole_length(response.headers, WHOLE_MOST):
            return await _relay_whole(response, request_id, deadline)
        return await _relay_stream(request, response, deadline)
    finally:
        response.close() if not response.content.at_eof() else response.release()


async def _relay_whole(
    response: aiohttp.ClientResponse, request_id: str, deadline: float
) -> web.StreamResponse:
    try:
        async with asyncio.timeout_at(deadline):
            body = await response.read()
    except TimeoutError:
        return answers.overdue(request_id)
    except _BROKEN:
        return answers.broken(request_id)
    headers = end_to_end(response.headers, response.headers.items())
    headers.pop("Content-Length", None)
    return web.Response(status=response.status, body=body, headers=headers)


async def _relay_stream(
    request: web.BaseRequest, response: aiohttp.ClientResponse, deadline: float
) -> web.StreamResponse:
    answer = web.StreamResponse(status=response.status)
    for name, value in end_to_end(response.headers, response.headers.items()).items():
        if name.lower() != "content-length":
            answer.headers.add(name, value)
    if response.content_length is not None:
        answer.content_length = response.content_length
    else:
        answer.enable_chunked_encoding()
    await answer.prepare(request)
    try:
        async with asyncio.timeout_at(deadline) as limit:
            async for chunk in response.content.iter_any():
                await answer.write(chunk)
            limit.reschedule(asyncio.get_running_loop().time() + WRITE_S)
            await answer.write_eof()
    except (TimeoutError, *_BROKEN):
        _cut(request)
    return answer


def _cut(request: web.BaseRequest) -> None:
    """End the client's connection: its answer is not whole and must not look so."""
    if request.transport is not None:
        request.transport.abort()
