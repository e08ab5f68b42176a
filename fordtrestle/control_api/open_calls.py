"""Tracks calls in flight, so that the endpoint answers them and accepts no others before it closes."""

from __future__ import annotations

import asyncio

from aiohttp import web
from aiohttp.typedefs import Handler, Middleware

from fordtrestle.control_api.responses import RETRY_AFTER_S, reply


class OpenCalls:
    """Counts the calls in flight.

    Guards against closing the endpoint while calls are in flight: their callers would get no answer, and
    aiohttp logs an exception if a handler ends just as its connection is closed.
    """

    def __init__(self) -> None:
        self._count = 0
        self._is_closing = False
        self._all_answered = asyncio.Event()

    @property
    def middleware(self) -> Middleware:
        """The middleware that counts each call while it is handled, or rejects it while closing."""

        @web.middleware
        async def count(request: web.Request, handler: Handler) -> web.StreamResponse:
            if self._is_closing:
                return _reject()
            self._count += 1
            try:
                return await handler(request)
            finally:
                self._count -= 1
                if self._count == 0:
                    self._all_answered.set()

        return count

    async def close(self) -> None:
        """Reject new calls and wait for those in flight."""
        self._is_closing = True
        while self._count:
            self._all_answered.clear()
            await self._all_answered.wait()


def _reject() -> web.Response:
    response = reply(503, "this process ends: send it to another", Retry_After=str(RETRY_AFTER_S))
    response.force_close()
    return response
