"""Adopts the connections of an early listener, and tracks the earliest arrival of their first requests."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Sequence

from aiohttp import web

# Requests that are read later than this after the adoption were sent after it: those sent before have been
# read by then.
ADOPTION_WINDOW_S = 0.5


class AdoptedConnections:
    """Adopted connections that have not sent a request yet.

    How long a client has waited is unknown. The arrival time of its first request is therefore the start of
    the early listener, so that no request is served after its deadline. Later requests arrive when read.
    """

    def __init__(self) -> None:
        """Create an empty set of connections."""
        self._handlers: set[web.RequestHandler] = set()
        self._waited_since = 0.0  # earliest possible start of the wait, in seconds of the loop's clock

    @property
    def waiting(self) -> frozenset[web.RequestHandler]:
        """The adopted connections whose first requests have not been read; empty after the window."""
        return frozenset(self._handlers)

    @property
    def is_empty(self) -> bool:
        """Whether no adopted connection still waits for its first request."""
        return not self._handlers

    async def adopt(
        self,
        connections: Sequence[socket.socket],
        waited_since: float,
        make_handler: Callable[[], web.RequestHandler],
    ) -> None:
        """Serve connections that were accepted from an early listener.

        Args:
            connections: The accepted connections.
            waited_since: The earliest time at which they may have connected, in seconds of the loop's clock.
            make_handler: Creates aiohttp's handler of a connection.
        """
        loop = asyncio.get_running_loop()
        self._waited_since = waited_since

        def make_adopted_handler() -> web.RequestHandler:
            """Create the handler of a connection, and register it before it reads any data."""
            handler = make_handler()
            self._handlers.add(handler)
            return handler

        for connection in connections:
            try:
                await loop.connect_accepted_socket(make_adopted_handler, connection)
            except OSError:
                connection.close()  # closed by its client; the others must still be served
        loop.call_later(ADOPTION_WINDOW_S, self._handlers.clear)

    def pop_arrival_time(self, handler: web.RequestHandler) -> float:
        """Return the earliest arrival of a request that was just read, in seconds of the loop's clock."""
        if handler in self._handlers:
            self._handlers.discard(handler)
            return self._waited_since
        return asyncio.get_running_loop().time()
