"""Connections that waited at an early listener, and when their first requests arrived at the earliest."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Sequence

from aiohttp import web

# After which the first request of an adopted connection counts as having come just now: what was sent before
# the adoption has been read by then.
ADOPTION_WINDOW_S = 0.5


class AdoptedConnections:
    """Connections that have waited and sent no request yet since they were adopted.

    How long the client of one has waited is not known. Its first request is taken to have arrived when the
    early listener began, so that none is served after its deadline; every later one arrives as it is read.
    """

    def __init__(self) -> None:
        """Begin with none."""
        self._handlers: set[web.RequestHandler] = set()
        self._waited_since = 0.0  # s, loop clock: since when, at the longest

    @property
    def is_empty(self) -> bool:
        """Whether none is left that has waited."""
        return not self._handlers

    async def adopt(
        self,
        connections: Sequence[socket.socket],
        waited_since: float,
        make_handler: Callable[[], web.RequestHandler],
    ) -> None:
        """Serve connections that have waited.

        Args:
            connections: Accepted ones.
            waited_since: s, loop clock; since when they have waited at the longest.
            make_handler: Makes aiohttp's handler of a connection.
        """
        loop = asyncio.get_running_loop()
        self._waited_since = waited_since

        def make_adopted_handler() -> web.RequestHandler:
            """Make the handler of a connection, known as adopted before it reads anything."""
            handler = make_handler()
            self._handlers.add(handler)
            return handler

        for connection in connections:
            try:
                await loop.connect_accepted_socket(make_adopted_handler, connection)
            except OSError:
                connection.close()  # its client has ended it: the others are not to suffer
        loop.call_later(ADOPTION_WINDOW_S, self._handlers.clear)

    def pop_arrival_time(self, handler: web.RequestHandler) -> float:
        """When a request that was just read arrived at the earliest, s of the loop's clock."""
        if handler in self._handlers:
            self._handlers.discard(handler)
            return self._waited_since
        return asyncio.get_running_loop().time()
