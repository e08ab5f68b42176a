"""Idle connections to servers: which one is reused, and when one is closed."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from fordtrestle.proxy.engine.log import log
from fordtrestle.proxy.http.upstream_connection import UpstreamConnection, UpstreamServer

# Only the order on a connection ties a response to its request (RFC 9112, 9.3.2). A connection is reused only
# if nothing arrived for this long after its last response, since duplicate responses and noise may arrive
# some milliseconds late. This costs a busy sidecar one more connection to a server, not a handshake per
# request.
REUSE_DELAY_MS = 20.0
# For this long after a late duplicate response, each connection to that server carries only one request.
SINGLE_USE_MS = 30_000.0


class IdleConnections:
    """Keeps the idle connections: per server with the newest last, and all of them with the oldest first."""

    def __init__(self, release: Callable[[UpstreamConnection], None]) -> None:
        """Start without connections.

        Args:
            release: Releases the descriptor of a connection just before it is closed here.
        """
        self._oldest_first: dict[UpstreamConnection, None] = {}
        self._release = release

    def __len__(self) -> int:
        return len(self._oldest_first)

    def __iter__(self) -> Iterator[UpstreamConnection]:
        return iter(self._oldest_first)

    def add(self, connection: UpstreamConnection, now_ms: float) -> None:
        """Add a connection that has become idle."""
        connection.idle_since_ms = now_ms
        connection.server.idle.append(connection)
        self._oldest_first[connection] = None

    def discard(self, connection: UpstreamConnection) -> None:
        """Remove a closed connection if it was idle."""
        if self._oldest_first.pop(connection, self) is None:
            connection.server.idle.remove(connection)

    def take_newest(
        self, server: UpstreamServer, now_ms: float, max_idle_ms: float
    ) -> UpstreamConnection | None:
        """Take the newest connection to a server that can be reused.

        Connections that became idle less than `REUSE_DELAY_MS` ago are skipped and kept. Those that are too
        old, closed, or have unread bytes are closed: guards against a request on a connection that the server
        is closing, which would end in a reset.
        """
        too_recent: list[UpstreamConnection] = []
        reusable = None
        while server.idle:
            connection = server.idle.pop()
            self._oldest_first.pop(connection, None)
            idle_ms = now_ms - connection.idle_since_ms
            if idle_ms < REUSE_DELAY_MS:
                too_recent.append(connection)
                continue
            if idle_ms < max_idle_ms and connection.is_available():
                reusable = connection
                break
            connection.abort()
        if too_recent:
            self._put_back(server, too_recent)
        return reusable

    def _put_back(self, server: UpstreamServer, too_recent: list[UpstreamConnection]) -> None:
        """Put back the connections that were skipped, the newest last."""
        for connection in reversed(too_recent):
            # A duplicate response seen on another connection meanwhile forbids to reuse this one as well.
            if connection.idle_since_ms < server.reuse_from_ms:
                connection.abort()
                continue
            server.idle.append(connection)
            self._oldest_first[connection] = None

    def on_unsolicited_data(self, connection: UpstreamConnection, now_ms: float) -> None:
        """Handle data that a server sent after a complete response, without a request.

        Nothing on the wire ties it to a request. Data that arrives within `REUSE_DELAY_MS` can't be taken for
        the next response. Data that arrives later shows that data of this server could be: from then on its
        connections carry one request each, until `SINGLE_USE_MS` pass without another such case.
        """
        server = connection.server
        late_ms = now_ms - connection.idle_since_ms
        if late_ms >= REUSE_DELAY_MS:
            if now_ms >= server.reuse_from_ms:
                log(f"{server.name}: unsolicited data {late_ms:.0f} ms after a response: no reuse for now")
            server.reuse_from_ms = now_ms + SINGLE_USE_MS
            self.retire_all(server)

    def retire(self, connection: UpstreamConnection) -> None:
        """Close an idle connection and release its descriptor at once."""
        del self._oldest_first[connection]
        connection.server.idle.remove(connection)
        self._release(connection)
        connection.abort()

    def retire_all(self, server: UpstreamServer) -> None:
        """Close all idle connections to a server."""
        for connection in list(server.idle):
            self.retire(connection)

    def retire_oldest(self) -> bool:
        """Close the connection that has been idle for longest, to any server.

        Returns:
            Whether there was one.
        """
        if not self._oldest_first:
            return False
        self.retire(next(iter(self._oldest_first)))
        return True

    def retire_idle_since(self, until_ms: float) -> None:
        """Close the connections that became idle at `until_ms` or earlier."""
        while self._oldest_first:
            oldest = next(iter(self._oldest_first))
            if oldest.idle_since_ms > until_ms:
                return
            self.retire(oldest)
