"""One service of a process: its engine, its connections to servers, and the source of its server list."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from fordtrestle.proxy.daemon.peers import PeerOptions, Peers
from fordtrestle.proxy.engine.clock import Clock
from fordtrestle.proxy.engine.driver import Driver, EngineOptions
from fordtrestle.proxy.engine.ports import Registry
from fordtrestle.proxy.http.connection_pool import ConnectionPool, ConnectionPoolOptions
from fordtrestle.proxy.membership.updates import UpdateListener
from fordtrestle.resources.quotas import Budget


class Source(Registry, Protocol):
    """The source of a service's server list."""

    def start(self) -> None:
        """Report the last known list, then its updates."""

    def close(self) -> None:
        """Stop: no update is reported afterwards."""


class Service:
    """One service with all its parts; a `ServiceControls` for the overload monitor.

    Attributes:
        driver: Its engine.
        pool: Its connections to servers.
        source: The source of its server list.
        peers: The other sidecars of its tier.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        engine: EngineOptions,
        pool: ConnectionPoolOptions,
        budget: Budget,
        source: Callable[[UpdateListener], Source],
        peers: PeerOptions | None = None,
        driver: Driver | None = None,
    ) -> None:
        """Create a service that is not started.

        Args:
            loop: The event loop.
            clock: The process' clock.
            engine: The options of its engine.
            pool: The options of its connections to servers.
            budget: The quota shares of its connections to servers.
            source: Creates the source of its server list, which calls the listener with each update.
            peers: The addresses of the other sidecars; None if there are none.
            driver: Its engine; None to create one with the options `engine`.
        """
        self._loop = loop
        self.driver = driver or Driver(loop, clock, engine)
        self.pool = ConnectionPool(loop, clock, pool, budget)
        self.source = source(self.driver.server_list)
        self.peers = Peers(peers or PeerOptions(), self.driver.peer_message)

    async def start(self) -> None:
        """Start the service; the last known list is applied before the first call.

        Raises:
            OSError: The address for messages can't be bound.
        """
        await self.peers.listen(self._loop)
        self.driver.connect(self.pool, self.source, self.peers)
        self.source.start()

    def shrink(self, idle_ms: float) -> None:
        """Close connections to servers that have been idle for at least `idle_ms`."""
        self.pool.shrink(idle_ms)

    def pressure(self, share: float) -> None:
        """Reject this share of the work, in the order of increasing priority weight."""
        self.driver.pressure(share)

    def allow_optional_work(self, allowed: bool) -> None:
        """Allow or forbid work that no request waits for."""
        self.driver.allows_optional_work = allowed

    def close(self) -> None:
        """Close its connections to servers, its source and its socket for messages."""
        self.pool.close()
        self.source.close()
        self.peers.close()
