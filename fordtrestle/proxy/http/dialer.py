"""Opens connections to servers, each for one exchange that waits for it."""

from __future__ import annotations

import asyncio
import errno
from typing import Protocol

from fordtrestle.balancer.model import Outcome
from fordtrestle.proxy.engine.log import log
from fordtrestle.proxy.engine.ports import AttemptResult
from fordtrestle.proxy.http.upstream_connection import UpstreamConnection, UpstreamExchange, UpstreamServer
from fordtrestle.resources.quotas import QuotaShare


class DialOwner(Protocol):
    """The owner of the connections that a dialer opens."""

    def make_connection(self, server: UpstreamServer) -> UpstreamConnection:
        """Create the protocol object of a new connection, which then owns its descriptor."""

    def on_connected(self, connection: UpstreamConnection, exchange: UpstreamExchange) -> None:
        """Start the exchange that waited for a connection that is now established."""

    def close_oldest(self) -> bool:
        """Close the connection that has been idle for longest; return whether there was one."""


class Dialer:
    """Opens connections within the quota of descriptors.

    Attributes:
        connect_timeout_s: The longest time to connect, in seconds.
        connecting: The server of each connect in progress.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, descriptors: QuotaShare, owner: DialOwner) -> None:
        """Create a dialer with no connect in progress.

        Args:
            loop: Runs the connects.
            descriptors: The quota share that each connection takes its descriptor from.
            owner: Owns the connections.
        """
        self._loop = loop
        self._descriptors = descriptors
        self._owner = owner
        self.connect_timeout_s = 0.0
        self.connecting: dict[asyncio.Task[None], UpstreamServer] = {}

    def dial(self, server: UpstreamServer, exchange: UpstreamExchange) -> None:
        """Open a connection for an exchange; if that fails the exchange ends."""
        if not self._take_descriptor():
            # Not the server's fault: nothing was sent to it.
            self._loop.call_soon(exchange.end, AttemptResult(Outcome.ABANDONED))
            return
        opened: list[UpstreamConnection] = []  # once it exists, it releases its descriptor itself
        task = self._loop.create_task(self._connect(server, exchange, opened))
        self.connecting[task] = server

        def on_ended(finished: asyncio.Task[None]) -> None:
            # A task that is cancelled before its first step never runs its own `finally`.
            self.connecting.pop(finished, None)
            if not opened:
                self._descriptors.release()

        task.add_done_callback(on_ended)
        exchange.on_connecting(task)

    def close(self) -> None:
        """Cancel all connects in progress."""
        for task in self.connecting:
            task.cancel()

    def _take_descriptor(self) -> bool:
        """Acquire a descriptor, if necessary by closing the connection idle for longest.

        Returns:
            Whether there is one.
        """
        if self._descriptors.acquire():
            return True
        return self._owner.close_oldest() and self._descriptors.acquire()

    async def _connect(
        self, server: UpstreamServer, exchange: UpstreamExchange, opened: list[UpstreamConnection]
    ) -> None:
        """Connect for an exchange; cancelled when the exchange is abandoned."""

        def make_connection() -> UpstreamConnection:
            opened.append(self._owner.make_connection(server))
            return opened[0]

        try:
            async with asyncio.timeout(self.connect_timeout_s):
                _, connection = await self._loop.create_connection(
                    make_connection, server.address.host, server.address.port
                )
        except OSError as error:  # includes a time-out
            is_out_of_descriptors = error.errno in (errno.EMFILE, errno.ENFILE)
            if is_out_of_descriptors:
                self._owner.close_oldest()  # so that the next attempt finds a descriptor
            exchange.end(
                AttemptResult(Outcome.ABANDONED if is_out_of_descriptors else Outcome.CONNECT_FAILED)
            )
            return
        except Exception as error:  # otherwise the exchange would never end
            log(f"connecting to {server.name} failed: {error!r}")
            exchange.end(AttemptResult(Outcome.CONNECT_FAILED))
            return
        if exchange.is_ended or not connection.is_available():
            # A full server may accept a connection and close it at once: nothing is written to it.
            connection.abort()
            exchange.end(AttemptResult(Outcome.CONNECT_FAILED))
            return
        self._owner.on_connected(connection, exchange)
