"""Idle connections to servers: which one is used again, and when one is closed."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from fordtrestle.proxy.engine.log import log
from fordtrestle.proxy.http.upstream_connection import UpstreamConnection, UpstreamServer

# Nothing on the wire ties a response to its request but the order on its connection (RFC 9112, 9.3.2). A
# connection is used again only once nothing came for this long behind its last response: second copies and
# noise may come some milliseconds late. It costs a busy sidecar one connection more to a server, and not a
# handshake a request.
REUSE_DELAY_MS = 20.0
# For this long after a late second response, each connection of that server carries one request only.
SINGLE_USE_MS = 30_000.0


class IdleConnections:
    """Keeps the connections that carry nothing: each server's newest last, all of them oldest first."""

    def __init__(self, release: Callable[[UpstreamConnection], None]) -> None:
        """Start without connections.

        Args:
            release: Gives back the descriptor of a connection just before it is closed here.
        """
        self._oldest_first: dict[UpstreamConnection, None] = {}
        self._release = release

    def __len__(self) -> int:
        return len(self._oldest_first)

    def __iter__(self) -> Iterator[UpstreamConnection]:
        return iter(self._oldest_first)

    def add(self, connection: UpstreamConnection, now_ms: float) -> None:
        """Keep a connection that carries nothing from now on."""
        connection.idle_since_ms = now_ms
        connection.server.idle.append(connection)
        self._oldest_first[connection] = None

    def discard(self, connection: UpstreamConnection) -> None:
        """Forget a connection that was closed, if it was idle."""
        if self._oldest_first.pop(connection, self) is None:
            connection.server.idle.remove(connection)

    def take_newest(
        self, server: UpstreamServer, now_ms: float, max_idle_ms: float
    ) -> UpstreamConnection | None:
        """Take the newest connection to a server that can be used again.

        What became idle less than `REUSE_DELAY_MS` ago is passed over and stays. What is too old, closed, or
        has something unread is closed: guards against a request on a connection that the server is closing,
        which would end in a reset.
        """
        passed_over: list[UpstreamConnection] = []
        found = None
        while server.idle:
            connection = server.idle.pop()
            self._oldest_first.pop(connection, None)
            idle_ms = now_ms - connection.idle_since_ms
            if idle_ms < REUSE_DELAY_MS:
                passed_over.append(connection)
                continue
            if idle_ms < max_idle_ms and connection.is_available():
                found = connection
                break
            connection.abort()
        if passed_over:
            self._put_back(server, passed_over)
        return found

    def _put_back(self, server: UpstreamServer, passed_over: list[UpstreamConnection]) -> None:
        """Keep what was passed over, the newest last."""
        for connection in reversed(passed_over):
            # A second response that was seen on another connection meanwhile holds for this one, too.
            if connection.idle_since_ms < server.reuse_from_ms:
                connection.abort()
                continue
            server.idle.append(connection)
            self._oldest_first[connection] = None

    def on_unsolicited_data(self, connection: UpstreamConnection, now_ms: float) -> None:
        """A server has sent what nobody asked for, behind a response that was complete.

        Nothing on the wire ties it to a request. What came within `REUSE_DELAY_MS` can't be taken for the
        next response; what came later is the sign that this server's can: from then on its connections
        carry one request each, until nothing of the kind was seen for `SINGLE_USE_MS`.
        """
        server = connection.server
        late_ms = now_ms - connection.idle_since_ms
        if late_ms >= REUSE_DELAY_MS:
            if now_ms >= server.reuse_from_ms:
                log(f"{server.name}: a second answer, {late_ms:.0f} ms late: no reuse")
            server.reuse_from_ms = now_ms + SINGLE_USE_MS
            self.retire_all(server)

    def retire(self, connection: UpstreamConnection) -> None:
        """Close an idle connection; its descriptor is free at once."""
        del self._oldest_first[connection]
        connection.server.idle.remove(connection)
        self._release(connection)
        connection.abort()

    def retire_all(self, server: UpstreamServer) -> None:
        """Close all idle connections of a server, and only those."""
        for connection in list(server.idle):
            self.retire(connection)

    def retire_oldest(self) -> bool:
        """Close the connection that has been idle for longest, of any server.

        Returns:
            Whether there was one.
        """
        if not self._oldest_first:
            return False
        self.retire(next(iter(self._oldest_first)))
        return True

    def retire_idle_since(self, until_ms: float) -> None:
        """Close what has been idle since `until_ms` or earlier."""
        while self._oldest_first:
            oldest = next(iter(self._oldest_first))
            if oldest.idle_since_ms > until_ms:
                return
            self.retire(oldest)
