"""Descriptors of clients' connections: where each is taken from, and which connection is evicted for one.

Which connection is worth least is decided by `engine/connection_table.py`; the reasons are in
`docs/design/limits.md`.
"""

from __future__ import annotations

from collections.abc import Callable

from fordtrestle.proxy.engine.connection_table import EvictionClass, TableEntry
from fordtrestle.proxy.engine.limits import QuotaShare
from fordtrestle.proxy.http.accept import PendingConnection
from fordtrestle.proxy.http.server_resources import ServerResources
from fordtrestle.proxy.http.tracked_connection import TrackedConnection

# Connections evicted to find a descriptor for one. More than one, since what the first frees may be owed to
# another part of the process; bounded, so that one newcomer can't clear the table.
MAX_EVICTIONS = 8


class Evictor:
    """Finds descriptors for connections, and evicts those that are worth least where there is none free.

    Attributes:
        shares: From which part of the limits the descriptor of each connection is taken: that of the
            clients, or the reserve of those at the limit.
    """

    def __init__(self, server: ServerResources) -> None:
        """Start without connections; from now on others of the process may reclaim descriptors here."""
        self._server = server
        self.shares: dict[TrackedConnection, QuotaShare] = {}
        server.budget.descriptors.reclaim = self._reclaim

    def take_descriptor(self, certain: bool, urgent: bool) -> QuotaShare | None:
        """Take the descriptor of a connection about to be accepted.

        Args:
            certain: Whether one is known to wait; only then is anybody evicted.
            urgent: Whether one has waited for long: then anybody may be.

        Returns:
            The part that it was taken from: that of the clients; or the reserve, and the connection can only
            be answered 503; or None, and there is no descriptor.
        """
        descriptors, reserve = self._server.budget.descriptors, self._server.reserve
        if not certain:
            return descriptors if descriptors.acquire_free() else None
        if descriptors.acquire() or self._evict_one(urgent):
            return descriptors
        if reserve.acquire_free() or (urgent and self._evict_at_limit() and reserve.acquire_free()):
            return reserve
        return None

    def claim_descriptor(self, connection: TrackedConnection) -> bool:
        """Move a connection at the limit, which has sent a complete request, to the clients' descriptors.

        It has asked: a pending connection that has not is worth less, however new.

        Returns:
            Whether the connection has a descriptor of the clients' now.
        """
        if self.shares.get(connection) is not self._server.reserve:
            return True
        if not self._server.budget.descriptors.acquire() and not self._evict_one(urgent=True):
            return False
        self._server.reserve.release()
        self.shares[connection] = self._server.budget.descriptors
        return True

    def release(self, connection: TrackedConnection) -> bool:
        """Give back a connection's descriptor, once; whether it had one."""
        part = self.shares.pop(connection, None)
        if part is None:
            return False
        part.release()
        return True

    def evict(self, entry: TableEntry[TrackedConnection]) -> None:
        """Close a connection; its entry and its descriptor are free at once."""
        connection = entry.owner
        self._server.on_closed(connection)
        connection.abort()

    def on_descriptors_exhausted(self) -> None:
        """The system grants none, whatever the accounting says: the next connection finds one free."""
        entry = self._server.table.victim(self._server.clock.now(), is_evictable, urgent=True)
        if entry is not None:
            self.evict(entry)

    def _evict_one(self, urgent: bool = False) -> bool:
        """Evict another, whose descriptor is taken over; whether there was one."""
        return self._evict_until(self._server.budget.descriptors.acquire, MAX_EVICTIONS, urgent)

    def _reclaim(self, count: int) -> None:
        """Evict so many, as far as they may be: others of the process hold less than is fair."""
        descriptors = self._server.budget.descriptors
        until = descriptors.used - count
        self._evict_until(lambda: descriptors.used <= until, count + MAX_EVICTIONS)

    def _evict_until(self, is_enough: Callable[[], bool], most: int, urgent: bool = False) -> bool:
        """Evict one by one, so many at the most, until there is enough; whether there is.

        One at the limit that lingers was answered and is ended. It frees no descriptor of the clients', so
        it is not counted: else those would shield everybody behind them.
        """
        server = self._server
        looks = 2  # those looked at in vain stand last in the second
        while most and looks:
            entry = server.table.victim(server.clock.now(), self._is_worth_evicting, urgent)
            if entry is None:
                looks -= 1
                continue
            if (
                entry.eviction_class is not EvictionClass.REJECTED
                or self.shares.get(entry.owner) is not server.reserve
            ):
                most -= 1
            self.evict(entry)
            if is_enough():
                return True
        return False

    def _evict_at_limit(self) -> bool:
        """Evict one at the limit that has sent nothing, for one that has; whether there was one."""

        def is_pending(connection: TrackedConnection) -> bool:
            return connection.is_evictable and self._is_pending_at_limit(connection)

        entry = self._server.table.victim(self._server.clock.now(), is_pending, urgent=True)
        if entry is not None:
            self.evict(entry)
        return entry is not None

    def _is_worth_evicting(self, connection: TrackedConnection) -> bool:
        """Guards against cutting a newcomer at the limit, which may be about to ask, for no descriptor."""
        return connection.is_evictable and not self._is_pending_at_limit(connection)

    def _is_pending_at_limit(self, connection: TrackedConnection) -> bool:
        is_pending = isinstance(connection, PendingConnection)
        return is_pending and self.shares.get(connection) is self._server.reserve


def is_evictable(connection: TrackedConnection) -> bool:
    """Whether a connection may be closed for another's sake."""
    return connection.is_evictable
