"""The connection pool: attempts and probes, each assigned to a connection to its server.

Nothing here retries or picks a server: an attempt that meets a broken connection ends, and the decision
module is told how.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass

from fordtrestle.balancer.model import Outcome
from fordtrestle.proxy.engine.clock import Clock
from fordtrestle.proxy.engine.limits import Budget
from fordtrestle.proxy.engine.ports import AttemptResult, ServerList
from fordtrestle.proxy.http.dialer import Dialer
from fordtrestle.proxy.http.idle_connections import IdleConnections
from fordtrestle.proxy.http.response_buffers import ResponseBuffers
from fordtrestle.proxy.http.upstream_connection import (
    Done,
    UpstreamConnection,
    UpstreamExchange,
    UpstreamServer,
)
from fordtrestle.proxy.http.upstream_servers import UpstreamServers

# A server closes what has been idle for the time in the settings at the latest, by its own clock: what we
# write must be there before. A tenth covers transit, lag of the event loop and the sweep.
MAX_IDLE_SHARE = 0.9
SWEEP_INTERVAL_MS = 200.0  # between two looks for connections that have been idle for too long

PROBE_HEAD = b"GET %b HTTP/1.1\r\nHost: %b\r\n\r\n"


@dataclass(frozen=True, slots=True)
class ConnectionPoolOptions:
    """Settings of a connection pool.

    Attributes:
        connect_timeout_ms: Milliseconds that a connect may take.
        idle_close_ms: Milliseconds after which a server closes an idle connection.
        drain_grace_ms: Milliseconds after the news that a server leaves in which it may still be sent to.
        report_fields: The fields of load reports in responses; where there are none, neither are reports.
    """

    connect_timeout_ms: float
    idle_close_ms: float
    drain_grace_ms: float
    report_fields: tuple[str, ...]


class ConnectionPool:
    """Assigns attempts and probes to connections, and owns all connections to servers."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        options: ConnectionPoolOptions,
        budget: Budget,
    ) -> None:
        """Start without servers and connections.

        Args:
            loop: Runs connects and timers.
            clock: Gives the time in milliseconds.
            options: The settings.
            budget: The descriptors and bytes that the pool may hold.
        """
        self._loop = loop
        self._clock = clock
        self.budget = budget
        self._connections: set[UpstreamConnection] = set()
        self._idle = IdleConnections(self._release)
        self._directory = UpstreamServers(self._idle.retire_all)
        self._servers = self._directory.by_name  # the same map: it is read for each attempt
        self._dialer = Dialer(loop, budget.descriptors, self)
        self._buffers = ResponseBuffers(loop, budget.buffered)
        self._is_sweeping = False
        self.apply_options(options)
        budget.descriptors.reclaim = self._reclaim

    def apply_options(self, options: ConnectionPoolOptions) -> None:
        """Use other settings from now on; connections stay, as far as they may be idle for so long.

        Where the grace is shorter, servers that leave already have no more, nor what is being connected.
        """
        self._dialer.connect_timeout_s = options.connect_timeout_ms / 1000.0
        self._max_idle_ms = options.idle_close_ms * MAX_IDLE_SHARE
        self._directory.set_drain_grace(options.drain_grace_ms, self._dialer.connecting.values())
        self.report_fields = options.report_fields
        self._probe_target = b"/stats" if self.report_fields else b"/health/live"

    # --- called by the driver ------------------------------------------------

    def send(
        self, server: str, message: Callable[[float], bytes | None], expires_ms: float, done: Done
    ) -> UpstreamExchange:
        """Begin an attempt on an idle connection, the newest first, or on a new one.

        Args:
            server: The server's name.
            message: Makes the request's bytes, given the milliseconds left; None abandons the attempt.
            expires_ms: When the request's deadline is.
            done: Called once with the result, in a later turn of the loop.
        """
        return self._assign(server, UpstreamExchange(message, expires_ms, done, probe=False))

    def probe(self, server: str, done: Done) -> UpstreamExchange:
        """Ask a server for its health; `done` is called once with the result."""
        host = self._servers[server].name.encode() if server in self._servers else b""
        head = PROBE_HEAD % (self._probe_target, host)
        return self._assign(server, UpstreamExchange(lambda left: head, math.inf, done, probe=True))

    def update(self, now: float, is_complete: bool, update: ServerList) -> list[str]:
        """Apply one update of discovery; see `UpstreamServers.update`."""
        return self._directory.update(now, is_complete, update)

    def close_idle(self, server: str) -> None:
        """Close a server's idle connections, and only those."""
        known = self._servers.get(server)
        if known is not None:
            self._idle.retire_all(known)

    def close(self) -> None:
        """Stop all connects and close all connections."""
        self._dialer.close()
        for connection in list(self._connections):
            connection.abort()

    def shrink(self, idle_ms: float) -> None:
        """Close what has been idle for so long: others need its descriptor or memory."""
        self._idle.retire_idle_since(self._clock.now() - idle_ms)

    # --- called by connections: ConnectionOwner ------------------------------

    def on_idle(self, connection: UpstreamConnection) -> None:
        """A connection carries nothing now."""
        server, now_ms = connection.server, self._clock.now()
        if self._servers.get(server.name) is not server or now_ms < server.reuse_from_ms:
            connection.abort()
            return
        self._idle.add(connection, now_ms)
        if not self._is_sweeping:
            self._is_sweeping = True
            self._loop.call_later(SWEEP_INTERVAL_MS / 1000.0, self._sweep)

    def on_closed(self, connection: UpstreamConnection) -> None:
        """A connection is closed."""
        self._release(connection)
        self._idle.discard(connection)

    def on_unsolicited_data(self, connection: UpstreamConnection) -> None:
        """A server has sent what nobody asked for, behind a response that was complete."""
        self._idle.on_unsolicited_data(connection, self._clock.now())

    def reserve_buffer(self, connection: UpstreamConnection, size_bytes: int) -> bool:
        """A response of so many bytes has begun; whether there is memory for all of it now."""
        return self._buffers.reserve(connection, size_bytes)

    def release_buffer(self, connection: UpstreamConnection) -> None:
        """The response is held no more."""
        self._buffers.release(connection)

    # --- called by the dialer: DialOwner -------------------------------------

    def make_connection(self, server: UpstreamServer) -> UpstreamConnection:
        """Make the protocol of a connection that has come up."""
        connection = UpstreamConnection(self, server)
        self._connections.add(connection)
        return connection

    def on_connected(self, connection: UpstreamConnection, exchange: UpstreamExchange) -> None:
        """A connection stands ready for the exchange that waited for it."""
        message = exchange.message(exchange.expires_ms - self._clock.now())
        if message is None:  # its client has left meanwhile, or has its answer
            self.on_idle(connection)
            self._loop.call_soon(exchange.end, AttemptResult(Outcome.ABANDONED))
        else:
            self._send_on(connection, exchange, message)

    def close_oldest(self) -> bool:
        """Close the connection that has been idle for longest, of any server; whether there was one."""
        return self._idle.retire_oldest()

    # --- assignment ----------------------------------------------------------

    def _assign(self, name: str, exchange: UpstreamExchange) -> UpstreamExchange:
        """Give an exchange the newest idle connection that can be used again, or have one opened.

        The newest first: the older ones then stay idle, and are closed once they are not needed. The message
        is asked for before a connection is taken, since a client that has left needs none.
        """
        server = self._servers.get(name)
        if server is None:
            self._loop.call_soon(exchange.end, AttemptResult(Outcome.CONNECT_FAILED))
            return exchange
        now_ms = self._clock.now()
        message = exchange.message(exchange.expires_ms - now_ms)
        if message is None:  # its client has left
            self._loop.call_soon(exchange.end, AttemptResult(Outcome.ABANDONED))
            return exchange
        connection = self._idle.take_newest(server, now_ms, self._max_idle_ms)
        if connection is None:
            self._dialer.dial(server, exchange)
        else:
            self._send_on(connection, exchange, message)
        return exchange

    def _send_on(self, connection: UpstreamConnection, exchange: UpstreamExchange, message: bytes) -> None:
        """Write an attempt's first byte, but not to a server that has left for longer than the grace.

        The clock is read again: the drain's end may have passed while the connection came up.
        """
        now_ms = self._clock.now()
        if now_ms >= connection.server.closed_from_ms:
            connection.abort()
            self._loop.call_soon(exchange.end, AttemptResult(Outcome.CONNECT_FAILED))
            return
        connection.send_request(exchange, message)

    # --- limits --------------------------------------------------------------

    def _reclaim(self, count: int) -> None:
        """Close so many idle connections, if there are: others of the process hold less than is fair."""
        while count > 0 and self._idle.retire_oldest():
            count -= 1

    def _release(self, connection: UpstreamConnection) -> None:
        """Give back what a connection holds, once."""
        if connection in self._connections:
            self._connections.discard(connection)
            self._buffers.release(connection)
            self.budget.descriptors.release()

    def _sweep(self) -> None:
        """Close what has been idle for long, before the server does."""
        self.shrink(self._max_idle_ms)
        self._is_sweeping = bool(self._idle)
        if self._is_sweeping:
            self._loop.call_later(SWEEP_INTERVAL_MS / 1000.0, self._sweep)
