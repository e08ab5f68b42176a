"""The connection pool: assigns attempts and probes to connections to their servers.

Nothing here retries or picks a server: an attempt on a broken connection ends, and its outcome is reported to
the decision module.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass

from fordtrestle.balancer.model import Outcome
from fordtrestle.proxy.engine.clock import Clock
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
from fordtrestle.resources.quotas import Budget

# A server closes a connection after the idle time in the settings, by its own clock, and our bytes must
# arrive before that. The remaining tenth covers transit, lag of the event loop and the sweep interval.
MAX_IDLE_SHARE = 0.9
SWEEP_INTERVAL_MS = 200.0  # between two searches for connections that have been idle for too long

PROBE_HEAD = b"GET %b HTTP/1.1\r\nHost: %b\r\n\r\n"


@dataclass(frozen=True, slots=True)
class ConnectionPoolOptions:
    """Settings of a connection pool.

    Attributes:
        connect_timeout_ms: The longest time to connect, in milliseconds.
        idle_close_ms: The time after which a server closes an idle connection, in milliseconds.
        drain_grace_ms: How long requests may still be sent to a server after the update by which it leaves,
            in milliseconds.
        report_fields: The fields of load reports in responses; empty if servers send no reports.
    """

    connect_timeout_ms: float
    idle_close_ms: float
    drain_grace_ms: float
    report_fields: tuple[str, ...]


class ConnectionPool:
    """Assigns attempts and probes to connections and owns all connections to servers."""

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
            budget: The quota shares for the pool's descriptors and buffered bytes.
        """
        self._loop = loop
        self._clock = clock
        self.budget = budget
        self._connections: set[UpstreamConnection] = set()
        self._idle = IdleConnections(self._release)
        self._directory = UpstreamServers(self._idle.retire_all)
        self._servers = self._directory.by_name  # the same mapping, read for each attempt
        self._dialer = Dialer(loop, budget.descriptors, self)
        self._buffers = ResponseBuffers(loop, budget.buffered)
        self._is_sweeping = False
        self.apply_options(options)
        budget.descriptors.reclaim = self._reclaim

    def apply_options(self, options: ConnectionPoolOptions) -> None:
        """Apply new settings; connections stay open unless they exceed the new idle time.

        A shorter grace also applies to servers that are already leaving and to connects in progress.
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
        """Start an attempt on the newest idle connection or on a new one.

        Args:
            server: The server's name.
            message: Returns the encoded request, given the milliseconds left; None abandons the attempt.
            expires_ms: When the attempt times out, in the clock's milliseconds.
            done: Called once with the result, in a later iteration of the loop.
        """
        return self._assign(server, UpstreamExchange(message, expires_ms, done, is_probe=False))

    def probe(self, server: str, done: Done) -> UpstreamExchange:
        """Probe the health of a server; `done` is called once with the result."""
        host = self._servers[server].name.encode() if server in self._servers else b""
        head = PROBE_HEAD % (self._probe_target, host)
        return self._assign(server, UpstreamExchange(lambda left: head, math.inf, done, is_probe=True))

    def update(self, now: float, is_complete: bool, update: ServerList) -> list[str]:
        """Apply one update of discovery; see `UpstreamServers.update`."""
        return self._directory.update(now, is_complete, update)

    def close_idle(self, server: str) -> None:
        """Close the idle connections to a server; those in use stay open."""
        known = self._servers.get(server)
        if known is not None:
            self._idle.retire_all(known)

    def close(self) -> None:
        """Cancel all connects and close all connections."""
        self._dialer.close()
        for connection in list(self._connections):
            connection.abort()

    def shrink(self, idle_ms: float) -> None:
        """Close connections that have been idle for `idle_ms`, to free their descriptors and memory."""
        self._idle.retire_idle_since(self._clock.now() - idle_ms)

    # --- called by connections: ConnectionOwner ------------------------------

    def on_idle(self, connection: UpstreamConnection) -> None:
        """Keep a connection that has become idle, or close it if it must not be reused."""
        server, now_ms = connection.server, self._clock.now()
        if self._servers.get(server.name) is not server or now_ms < server.reuse_from_ms:
            connection.abort()
            return
        self._idle.add(connection, now_ms)
        if not self._is_sweeping:
            self._is_sweeping = True
            self._loop.call_later(SWEEP_INTERVAL_MS / 1000.0, self._sweep)

    def on_closed(self, connection: UpstreamConnection) -> None:
        """Release what a closed connection used."""
        self._release(connection)
        self._idle.discard(connection)

    def on_unsolicited_data(self, connection: UpstreamConnection) -> None:
        """Handle data that a server sent after a complete response, without a request."""
        self._idle.on_unsolicited_data(connection, self._clock.now())

    def reserve_buffer(self, connection: UpstreamConnection, size_bytes: int) -> bool:
        """Reserve memory for all of a response that has started; return whether it is granted now."""
        return self._buffers.reserve(connection, size_bytes)

    def release_buffer(self, connection: UpstreamConnection) -> None:
        """Release the memory of a response that is no longer buffered."""
        self._buffers.release(connection)

    # --- called by the dialer: DialOwner -------------------------------------

    def make_connection(self, server: UpstreamServer) -> UpstreamConnection:
        """Create the protocol object of a new connection."""
        connection = UpstreamConnection(self, server)
        self._connections.add(connection)
        return connection

    def on_connected(self, connection: UpstreamConnection, exchange: UpstreamExchange) -> None:
        """Start the exchange that waited for a connection that is now established."""
        message = exchange.message(exchange.expires_ms - self._clock.now())
        if message is None:  # meanwhile its client disconnected or got its answer
            self.on_idle(connection)
            self._loop.call_soon(exchange.end, AttemptResult(Outcome.ABANDONED))
        else:
            self._send_on(connection, exchange, message)

    def close_oldest(self) -> bool:
        """Close the connection to any server that has been idle for longest; return whether there was one."""
        return self._idle.retire_oldest()

    # --- assignment ----------------------------------------------------------

    def _assign(self, name: str, exchange: UpstreamExchange) -> UpstreamExchange:
        """Assign the newest reusable idle connection to an exchange, or open a new one.

        Using the newest lets older connections stay idle and be closed once they are not needed. The message
        is encoded before a connection is taken, since a client that has disconnected needs none.
        """
        server = self._servers.get(name)
        if server is None:
            self._loop.call_soon(exchange.end, AttemptResult(Outcome.CONNECT_FAILED))
            return exchange
        now_ms = self._clock.now()
        message = exchange.message(exchange.expires_ms - now_ms)
        if message is None:  # its client has disconnected
            self._loop.call_soon(exchange.end, AttemptResult(Outcome.ABANDONED))
            return exchange
        connection = self._idle.take_newest(server, now_ms, self._max_idle_ms)
        if connection is None:
            self._dialer.dial(server, exchange)
        else:
            self._send_on(connection, exchange, message)
        return exchange

    def _send_on(self, connection: UpstreamConnection, exchange: UpstreamExchange, message: bytes) -> None:
        """Write the request of an attempt, unless its server's drain grace has ended.

        The clock is read again because the grace may have ended while the connection was established.
        """
        now_ms = self._clock.now()
        if now_ms >= connection.server.closed_from_ms:
            connection.abort()
            self._loop.call_soon(exchange.end, AttemptResult(Outcome.CONNECT_FAILED))
            return
        connection.send_request(exchange, message)

    # --- limits --------------------------------------------------------------

    def _reclaim(self, count: int) -> None:
        """Close up to `count` idle connections for parts of the process below their fair share."""
        while count > 0 and self._idle.retire_oldest():
            count -= 1

    def _release(self, connection: UpstreamConnection) -> None:
        """Release the descriptor and memory of a connection, once."""
        if connection in self._connections:
            self._connections.discard(connection)
            self._buffers.release(connection)
            self.budget.descriptors.release()

    def _sweep(self) -> None:
        """Close connections that have been idle for too long, before the server does."""
        self.shrink(self._max_idle_ms)
        self._is_sweeping = bool(self._idle)
        if self._is_sweeping:
            self._loop.call_later(SWEEP_INTERVAL_MS / 1000.0, self._sweep)
