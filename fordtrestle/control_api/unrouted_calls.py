"""Counts calls that match no route of the control endpoint, and logs them once per part of the API."""

from __future__ import annotations

import eliot
from aiohttp import web
from aiohttp.typedefs import Handler, Middleware

MAX_LOGGED_PATHS = 32  # bounds memory and log: paths are chosen by callers
MAX_LOGGED_PATH_CHARACTERS = 40
LOGGED_SEGMENTS = 3  # including the empty one before the first slash: `/v1/locks` of `/v1/locks/NAME/start`


class UnroutedCalls:
    """Reports calls that this version does not serve, so that operators learn what callers expect.

    Attributes:
        count: The number of such calls.
    """

    def __init__(self) -> None:
        self.count = 0
        self._logged: set[str] = set()

    @property
    def middleware(self) -> Middleware:
        """The middleware that records such calls and leaves their responses unchanged."""

        @web.middleware
        async def record(request: web.Request, handler: Handler) -> web.StreamResponse:
            if isinstance(request.match_info.http_exception, web.HTTPNotFound):
                self._record(request)
            return await handler(request)

        return record

    def _record(self, request: web.Request) -> None:
        self.count += 1
        path = "/".join(request.path.split("/")[:LOGGED_SEGMENTS])[:MAX_LOGGED_PATH_CHARACTERS]
        if path not in self._logged and len(self._logged) < MAX_LOGGED_PATHS:
            self._logged.add(path)
            eliot.log_message("control:no-route", method=request.method, path=path)
