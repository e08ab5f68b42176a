"""Bytes held for clients: unfinished requests, calls, and responses that their clients do not read."""

from __future__ import annotations

from dataclasses import dataclass

from fordtrestle.proxy.http.call import OpenConnection
from fordtrestle.proxy.http.server_resources import ServerResources

# A client that takes nothing of what is written to it for this long is aborted.
STALL_TIMEOUT_MS = 3000.0
# One that reads on, but has not read all in this time, is aborted, too: guards against reading byte by byte.
UNSENT_TIMEOUT_MS = 10_000.0
# Clients let go of to find room for one: bounds the work that one request may cause.
MAX_ABORTS = 8


@dataclass(slots=True)
class StalledClient:
    """A client that does not read.

    Attributes:
        acknowledged_bytes: What its kernel had when it last took some.
        progress_ms: When that was.
        stalled_ms: Since when anything is unsent.
    """

    acknowledged_bytes: int
    progress_ms: float
    stalled_ms: float


class ClientBuffers:
    """Accounts for the bytes held by clients' connections, and says who is let go of where they run short.

    Attributes:
        stalled: Whose client does not read, the longest first.
        unfinished: Of whom half of a request is held, the oldest first.
    """

    def __init__(self, server: ServerResources) -> None:
        """Start without bytes; from now on others of the process may reclaim bytes here."""
        self._server = server
        self.stalled: dict[OpenConnection, StalledClient] = {}
        self.unfinished: dict[OpenConnection, None] = {}
        server.budget.buffered.reclaim = self._reclaim

    def on_stalled(self, connection: OpenConnection) -> None:
        """Its client does not read; who has not for longest stands first."""
        now_ms = self._server.clock.now()
        self.stalled[connection] = StalledClient(connection.acknowledged_bytes, now_ms, now_ms)

    def on_unstalled(self, connection: OpenConnection) -> None:
        """It has read all of it."""
        self.stalled.pop(connection, None)

    def forget(self, connection: OpenConnection) -> None:
        """It is closed."""
        self.stalled.pop(connection, None)
        self.unfinished.pop(connection, None)

    def abort_stalled(self, now_ms: float) -> None:
        """Abort the connections of clients that do not read, or not to the end."""
        for connection, stalled in list(self.stalled.items()):
            acknowledged_bytes = connection.acknowledged_bytes
            if acknowledged_bytes > stalled.acknowledged_bytes:
                stalled.acknowledged_bytes, stalled.progress_ms = acknowledged_bytes, now_ms
            has_stopped = now_ms - stalled.progress_ms >= STALL_TIMEOUT_MS
            if has_stopped or now_ms - stalled.stalled_ms >= UNSENT_TIMEOUT_MS:
                connection.abort()

    def set_buffered(self, connection: OpenConnection, size_bytes: int, is_unfinished: bool = False) -> bool:
        """Account for what a connection holds now.

        Args:
            connection: The connection.
            size_bytes: All that it holds.
            is_unfinished: Whether half of a request is among it.

        Returns:
            Whether there is room for that; if not, the account is as it was.
        """
        if is_unfinished:
            self.unfinished[connection] = None
        else:
            self.unfinished.pop(connection, None)
        more = size_bytes - connection.buffered_bytes
        if more <= 0:
            self._server.budget.buffered.release(-more)
        elif not self.take(more):
            return False
        # It may have been let go of itself meanwhile: then no more than that is taken.
        connection.buffered_bytes += more
        return True

    def take(self, count: int) -> bool:
        """Take so many bytes into account; whether there is room.

        In shortage, who has not read for longest is aborted, then who has sent half of a request and no more
        for longest is rejected.
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
        """Let go of so many bytes, as far as there are: others of the process hold less than is fair."""
        until = self._server.budget.buffered.used - count
        while self._server.budget.buffered.used > until and self._release_one():
            pass

    def _release_one(self) -> bool:
        """Let go of what one client holds; whether there was one.

        It is who has not read for longest, or else of whom half of a request is held for longest.
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
