"""The `readiness` endpoint: whether this process serves requests."""

from __future__ import annotations

from collections.abc import Callable

from aiohttp import web


class Readiness:
    """Responds 200 once requests can be served and until the process shuts down, and 503 otherwise."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        """Make the endpoint; `is_ready` is called once a request."""
        self._is_ready = is_ready

    def application(self) -> web.Application:
        """The routes of the endpoint."""
        application = web.Application()
        application.add_routes([web.get("/v1/readiness", self._respond)])
        return application

    async def _respond(self, request: web.Request) -> web.StreamResponse:
        return web.json_response({}, status=200 if self._is_ready() else 503)
