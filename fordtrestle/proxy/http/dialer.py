"""Opening connections to servers, each for one exchange that waits for it."""

from __future__ import annotations

import asyncio
import errno
from typing import Protocol

from fordtrestle.balancer.model import Outcome
from fordtrestle.proxy.engine.limits import QuotaShare
from fordtrestle.proxy.engine.log import log
from fordtrestle.proxy.engine.ports import AttemptResult
from fordtrestle.proxy.http.upstream_connection import UpstreamConnection, UpstreamExchange, UpstreamServer


class DialOwner(Protocol):
    """What connections are opened for."""

    def make_connection(self, server: UpstreamServer) -> UpstreamConnection:
        """Make the protocol of a connection that has come up; from then on it owns its descriptor."""

    def on_connected(self, connection: UpstreamConnection, exchange: UpstreamExchange) -> None:
        """A connection stands ready for the exchange that waited for it."""

    def close_oldest(self) -> bool:
        """Close the connection that has been idle for longest; whether there was one."""


class Dialer:
    """Opens connections within the limit of descriptors.

    Attributes:
        connect_timeout_s: Seconds that a connect may take.
        connecting: The server that each running connect is for.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, descriptors: QuotaShare, owner: DialOwner) -> None:
        """Open nothing yet.

        Args:
            loop: Runs the connects.
            descriptors: Where each connection takes its descriptor from.
            owner: Whose connections they are.
        """
        self._loop = loop
        self._descriptors = descriptors
        self._owner = owner
        self.connect_timeout_s = 0.0
        self.connecting: dict[asyncio.Task[None], UpstreamServer] = {}

    def dial(self, server: UpstreamServer, exchange: UpstreamExchange) -> None:
        """Open a connection for an exchange; the exchange ends if that fails."""
        if not self._take_descriptor():
            # Not the server's fault: it was never asked.
            self._loop.call_soon(exchange.end, AttemptResult(Outcome.ABANDONED))
            return
        made: list[UpstreamConnection] = []  # once it is there it gives its descriptor back itself
        task = self._loop.create_task(self._connect(server, exchange, made))
        self.connecting[task] = server

        def on_ended(ended: asyncio.Task[None]) -> None:
            # Here, since a task that is cancelled before its first step never enters its own `finally`.
            self.connecting.pop(ended, None)
            if not made:
                self._descriptors.release()

        task.add_done_callback(on_ended)
        exchange.on_connecting(task)

    def close(self) -> None:
        """Stop all connects."""
        for task in self.connecting:
            task.cancel()

    def _take_descriptor(self) -> bool:
        """Take a descriptor, if need be that of the connection idle for longest; whether there is one."""
        if self._descriptors.acquire():
            return True
        return self._owner.close_oldest() and self._descriptors.acquire()

    async def _connect(
        self, server: UpstreamServer, exchange: UpstreamExchange, made: list[UpstreamConnection]
    ) -> None:
        """Connect for an exchange; it is cancelled when the exchange is abandoned."""

        def make_connection() -> UpstreamConnection:
            made.append(self._owner.make_connection(server))
            return made[0]

        try:
            async with asyncio.timeout(self.connect_timeout_s):
                _, connection = await self._loop.create_connection(
                    make_connection, server.address.host, server.address.port
                )
        except OSError as error:  # a time-out is one, too
            is_short = error.errno in (errno.EMFILE, errno.ENFILE)
            if is_short:
                self._owner.close_oldest()  # the next attempt finds a descriptor
            exchange.end(AttemptResult(Outcome.ABANDONED if is_short else Outcome.CONNECT_FAILED))
            return
        except Exception as error:  # guards against an exchange that nothing ever ends
            log(f"a connection to {server.name}: {error!r}")
            exchange.end(AttemptResult(Outcome.CONNECT_FAILED))
            return
        if exchange.ended or not connection.is_available():
            # A full server may accept a connection and close it at once: nothing is written there.
            connection.abort()
            exchange.end(AttemptResult(Outcome.CONNECT_FAILED))
            return
        self._owner.on_connected(connection, exchange)
