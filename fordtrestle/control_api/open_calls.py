"""Calls that are being answered: the endpoint is closed once they are, and takes no others meanwhile."""

from __future__ import annotations

import asyncio

from aiohttp import web
from aiohttp.typedefs import Handler, Middleware

from fordtrestle.control_api.responses import RETRY_AFTER_S, reply


class OpenCalls:
    """Counts the calls under way.

    Guards against an endpoint that is closed over them: callers would get no answer, and aiohttp logs an
    exception where a handler ends just as it is cut.
    """

    def __init__(self) -> None:
        self._count = 0
        self._is_closing = False
        self._none_left = asyncio.Event()

    @property
    def middleware(self) -> Middleware:
        """Counts a call while it is handled, or refuses it."""

        @web.middleware
        async def count(request: web.Request, handler: Handler) -> web.StreamResponse:
            if self._is_closing:
                return _refuse()
            self._count += 1
            try:
                return await handler(request)
            finally:
                self._count -= 1
                if self._count == 0:
                    self._none_left.set()

        return count

    async def close(self) -> None:
        """Refuse calls from now on, and wait for those that are open."""
        self._is_closing = True
        while self._count:
            self._none_left.clear()
            await self._none_left.wait()


def _refuse() -> web.Response:
    response = reply(503, "this process ends: send it to another", Retry_After=str(RETRY_AFTER_S))
    response.force_close()
    return response
