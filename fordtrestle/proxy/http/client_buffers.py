"""Accounts for bytes buffered for clients: incomplete requests, calls and unread responses."""

from __future__ import annotations

from dataclasses import dataclass

from fordtrestle.proxy.http.call import OpenConnection
from fordtrestle.proxy.http.server_resources import ServerResources

# The connection of a client that acknowledges none of the bytes written to it for this long is aborted.
STALL_TIMEOUT_MS = 3000.0
# So is one whose client reads, but has not read everything in this time: guards against reading byte by byte.
UNSENT_TIMEOUT_MS = 10_000.0
# The most clients whose bytes are freed to make room for one: bounds the work that one request can cause.
MAX_ABORTS = 8


@dataclass(slots=True)
class StalledClient:
    """The progress of a client that does not read its responses.

    Attributes:
        acknowledged_bytes: The bytes that it had acknowledged when it last made progress.
        progress_ms: When it last made progress.
        stalled_ms: When it stalled; bytes have been unsent since then.
    """

    acknowledged_bytes: int
    progress_ms: float
    stalled_ms: float


class ClientBuffers:
    """Accounts for the bytes of client connections and chooses whose bytes are freed in a shortage.

    Attributes:
        stalled: The connections whose client does not read, the longest stalled first.
        unfinished: The connections with an incomplete request, the oldest first.
    """

    def __init__(self, server: ServerResources) -> None:
        """Start without bytes; other parts of the process may reclaim bytes here from now on."""
        self._server = server
        self.stalled: dict[OpenConnection, StalledClient] = {}
        self.unfinished: dict[OpenConnection, None] = {}
        server.budget.buffered.reclaim = self._reclaim

    def on_stalled(self, connection: OpenConnection) -> None:
        """Record that the client of a connection does not read."""
        now_ms = self._server.clock.now()
        self.stalled[connection] = StalledClient(connection.acknowledged_bytes, now_ms, now_ms)

    def on_unstalled(self, connection: OpenConnection) -> None:
        """Record that the client of a connection has read everything."""
        self.stalled.pop(connection, None)

    def forget(self, connection: OpenConnection) -> None:
        """Forget a closed connection."""
        self.stalled.pop(connection, None)
        self.unfinished.pop(connection, None)

    def abort_stalled(self, now_ms: float) -> None:
        """Abort the connections of clients that do not read, or do not read everything in time."""
        for connection, stalled in list(self.stalled.items()):
            acknowledged_bytes = connection.acknowledged_bytes
            if acknowledged_bytes > stalled.acknowledged_bytes:
                stalled.acknowledged_bytes, stalled.progress_ms = acknowledged_bytes, now_ms
            has_stopped = now_ms - stalled.progress_ms >= STALL_TIMEOUT_MS
            if has_stopped or now_ms - stalled.stalled_ms >= UNSENT_TIMEOUT_MS:
                connection.abort()

    def set_buffered(self, connection: OpenConnection, size_bytes: int, is_unfinished: bool = False) -> bool:
        """Account for the bytes that a connection buffers now.

        Args:
            connection: The connection.
            size_bytes: All bytes that it buffers.
            is_unfinished: Whether they include an incomplete request.

        Returns:
            Whether the quota allows them; if not, the accounting is unchanged.
        """
        if is_unfinished:
            self.unfinished[connection] = None
        else:
            self.unfinished.pop(connection, None)
        growth = size_bytes - connection.buffered_bytes
        if growth <= 0:
            self._server.budget.buffered.release(-growth)
        elif not self.acquire(growth):
            return False
        # Its own bytes may have been released meanwhile to make room: only the growth is accounted for then.
        connection.buffered_bytes += growth
        return True

    def acquire(self, count: int) -> bool:
        """Acquire `count` bytes of the quota.

        In a shortage the connection whose client has not read for longest is aborted; if there is none, the
        one with the oldest incomplete request is rejected.

        Returns:
            Whether the quota has room for them.
        """
        if self._server.budget.buffered.acquire(count):
            return True
        for _ in range(MAX_ABORTS):
            if not self._release_one():
                return False
            if self._server.budget.buffered.acquire(count):
                return True
        return False

    def _reclaim(self, count: int) -> None:
        """Free up to `count` bytes for other parts of the process that are below their fair share."""
        target = self._server.budget.buffered.used - count
        while self._server.budget.buffered.used > target and self._release_one():
            pass

    def _release_one(self) -> bool:
        """Free the bytes of one client.

        It is the one that has not read for longest or, if there is none, the one with the oldest incomplete
        request.

        Returns:
            Whether there was one.
        """
        connection = next(iter(self.stalled), None)
        if connection is not None:
            del self.stalled[connection]
            self.set_buffered(connection, 0)
            connection.abort()
            return True
        connection = next(iter(self.unfinished), None)
        if connection is None:
            return False
        self.set_buffered(connection, 0)
        connection.reject(503)
        return True
