"""Calls that no route of the control endpoint serves: counted, and logged once a part of the API."""

from __future__ import annotations

import eliot
from aiohttp import web
from aiohttp.typedefs import Handler, Middleware

MAX_LOGGED_PATHS = 32  # a bound on memory and on the log: callers choose their paths
MAX_LOGGED_PATH_CHARACTERS = 40
LOGGED_SEGMENTS = 3  # with the empty one before the first slash: `/v1/locks` of `/v1/locks/NAME/start`


class UnroutedCalls:
    """Tells operators that callers expect something of this version that it does not serve.

    Attributes:
        count: How many such calls there were.
    """

    def __init__(self) -> None:
        self.count = 0
        self._logged: set[str] = set()

    @property
    def middleware(self) -> Middleware:
        """Notices the calls, and leaves their answers as they are."""

        @web.middleware
        async def notice(request: web.Request, handler: Handler) -> web.StreamResponse:
            if isinstance(request.match_info.http_exception, web.HTTPNotFound):
                self._record(request)
            return await handler(request)

        return notice

    def _record(self, request: web.Request) -> None:
        self.count += 1
        path = "/".join(request.path.split("/")[:LOGGED_SEGMENTS])[:MAX_LOGGED_PATH_CHARACTERS]
        if path not in self._logged and len(self._logged) < MAX_LOGGED_PATHS:
            self._logged.add(path)
            eliot.log_message("control:no-route", method=request.method, path=path)
