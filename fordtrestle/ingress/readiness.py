"""The `readiness` endpoint, which reports whether this process serves requests."""

from __future__ import annotations

from collections.abc import Callable

from aiohttp import web


class Readiness:
    """Endpoint that returns 200 from when requests can be served until the shutdown, and 503 otherwise."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        """Create the endpoint; `is_ready` is called once per request."""
        self._is_ready = is_ready

    def application(self) -> web.Application:
        """Return the web application of the endpoint."""
        application = web.Application()
        application.add_routes([web.get("/v1/readiness", self._respond)])
        return application

    async def _respond(self, request: web.Request) -> web.StreamResponse:
        return web.json_response({}, status=200 if self._is_ready() else 503)
