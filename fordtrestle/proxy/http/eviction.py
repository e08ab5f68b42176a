"""Provides descriptors for client connections, by evicting other connections if necessary.

The order of eviction is decided by `resources/connection_table.py`; `docs/design/limits.md` has the reasons.
"""

from __future__ import annotations

from collections.abc import Callable

from fordtrestle.proxy.http.accept import PendingConnection
from fordtrestle.proxy.http.server_resources import ServerResources
from fordtrestle.proxy.http.tracked_connection import TrackedConnection
from fordtrestle.resources.connection_table import EvictionClass, TableEntry
from fordtrestle.resources.quotas import QuotaShare

# The most connections evicted to find a descriptor for one. More than one, since the first descriptor that is
# freed may be due to another part of the process; bounded, so that one new connection can't clear the table.
MAX_EVICTIONS = 8


class Evictor:
    """Provides descriptors for connections and evicts connections if none is free.

    Attributes:
        shares: The quota share that the descriptor of each connection was taken from: that of the clients, or
            the reserve for connections at the limit.
    """

    def __init__(self, server: ServerResources) -> None:
        """Start without connections; other parts of the process may reclaim descriptors from now on."""
        self._server = server
        self.shares: dict[TrackedConnection, QuotaShare] = {}
        server.budget.descriptors.reclaim = self._reclaim

    def take_descriptor(self, is_waiting: bool, urgent: bool) -> QuotaShare | None:
        """Take the descriptor of a connection about to be accepted.

        Args:
            is_waiting: Whether a connection is known to wait; only then is another evicted for it.
            urgent: Whether it has waited for so long that pending connections may be evicted as well.

        Returns:
            The share that the descriptor was taken from: that of the clients; or the reserve, in which case
            the connection can only be answered with 503; or None if there is no descriptor.
        """
        descriptors, reserve = self._server.budget.descriptors, self._server.reserve
        if not is_waiting:
            return descriptors if descriptors.acquire_free() else None
        if descriptors.acquire() or self._evict_one(urgent):
            return descriptors
        if reserve.acquire_free() or (urgent and self._evict_at_limit() and reserve.acquire_free()):
            return reserve
        return None

    def claim_descriptor(self, connection: TrackedConnection) -> bool:
        """Move a connection at the limit that sent a complete request to the clients' share.

        For its request, any pending connection may be evicted, however new, since that has sent none.

        Returns:
            Whether the connection now has a descriptor of the clients' share.
        """
        if self.shares.get(connection) is not self._server.reserve:
            return True
        if not self._server.budget.descriptors.acquire() and not self._evict_one(urgent=True):
            return False
        self._server.reserve.release()
        self.shares[connection] = self._server.budget.descriptors
        return True

    def release(self, connection: TrackedConnection) -> bool:
        """Release the descriptor of a connection, once; return whether it had one."""
        share = self.shares.pop(connection, None)
        if share is None:
            return False
        share.release()
        return True

    def evict(self, entry: TableEntry[TrackedConnection]) -> None:
        """Close a connection and release its table entry and descriptor at once."""
        connection = entry.owner
        self._server.on_closed(connection)
        connection.abort()

    def on_descriptors_exhausted(self) -> None:
        """Evict a connection, as the system grants no descriptor, so that the next one finds one free."""
        entry = self._server.table.victim(self._server.clock.now(), is_evictable, urgent=True)
        if entry is not None:
            self.evict(entry)

    def _evict_one(self, urgent: bool = False) -> bool:
        """Evict connections until a descriptor of the clients' share is acquired; return whether it was."""
        return self._evict_until(self._server.budget.descriptors.acquire, MAX_EVICTIONS, urgent)

    def _reclaim(self, count: int) -> None:
        """Evict up to `count` connections for other parts of the process that are below their fair share."""
        descriptors = self._server.budget.descriptors
        target = descriptors.used - count
        self._evict_until(lambda: descriptors.used <= target, count + MAX_EVICTIONS)

    def _evict_until(self, is_enough: Callable[[], bool], max_evictions: int, urgent: bool = False) -> bool:
        """Evict connections one by one until `is_enough`, or up to `max_evictions`; return whether it is.

        A lingering connection at the limit has been answered and ended. Its eviction frees no descriptor of
        the clients' share, so it is not counted: otherwise such connections would shield all those behind
        them.
        """
        server = self._server
        passes_left = 2  # in the second, those that can't be evicted come last
        while max_evictions and passes_left:
            entry = server.table.victim(server.clock.now(), self._frees_client_descriptor, urgent)
            if entry is None:
                passes_left -= 1
                continue
            if (
                entry.eviction_class is not EvictionClass.REJECTED
                or self.shares.get(entry.owner) is not server.reserve
            ):
                max_evictions -= 1
            self.evict(entry)
            if is_enough():
                return True
        return False

    def _evict_at_limit(self) -> bool:
        """Evict a connection at the limit that has sent nothing; return whether there was one."""

        def is_pending(connection: TrackedConnection) -> bool:
            return connection.is_evictable and self._is_pending_at_limit(connection)

        entry = self._server.table.victim(self._server.clock.now(), is_pending, urgent=True)
        if entry is not None:
            self.evict(entry)
        return entry is not None

    def _frees_client_descriptor(self, connection: TrackedConnection) -> bool:
        """Return whether evicting a connection can free a descriptor of the clients' share.

        Guards against evicting a pending connection at the limit, which may be about to send a request,
        without gaining a descriptor.
        """
        return connection.is_evictable and not self._is_pending_at_limit(connection)

    def _is_pending_at_limit(self, connection: TrackedConnection) -> bool:
        is_pending = isinstance(connection, PendingConnection)
        return is_pending and self.shares.get(connection) is self._server.reserve


def is_evictable(connection: TrackedConnection) -> bool:
    """Return whether a connection may be closed to free its descriptor for another one."""
    return connection.is_evictable
