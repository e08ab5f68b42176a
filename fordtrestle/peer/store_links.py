"""Tracks where the processes of other stores listen, and which stores have lost their links. Pure."""

from __future__ import annotations

from collections.abc import Collection

from fordtrestle.replication.peer_table import PEER_RETENTION_S

# Time without a link, which is redialled at once, before the process of a store is considered to have ended.
LINK_LOST_TIMEOUT_S = 0.3


class StoreLinks:
    """Tracks the stores that have announced themselves. Times are seconds of a monotonic clock."""

    def __init__(self) -> None:
        self._addresses: dict[str, str] = {}  # HOST:PORT of the process, by store
        self._unlinked_since: dict[str, float] = {}  # by store

    def on_announce(self, store_id: str, address: str) -> None:
        """Record where a store's process listens."""
        self._addresses[store_id] = address

    def address_of(self, store_id: str) -> str | None:
        """Return where a store's process listens; `None` if it has not announced itself."""
        return self._addresses.get(store_id)

    def find_lost(self, linked: Collection[str], now: float) -> list[str]:
        """Return the stores that have had no link for `LINK_LOST_TIMEOUT_S`.

        A closed link is the fastest sign that a process has ended, since its machine closes its sockets. A
        store is returned on each call until a link is up again, and forgotten after `PEER_RETENTION_S`.

        Args:
            linked: the linked addresses (HOST:PORT).
            now: the current time, in seconds of a monotonic clock.
        """
        lost = []
        for store_id, address in list(self._addresses.items()):
            if address in linked:
                self._unlinked_since.pop(store_id, None)
                continue
            unlinked_s = now - self._unlinked_since.setdefault(store_id, now)
            if unlinked_s >= LINK_LOST_TIMEOUT_S:
                lost.append(store_id)
            if unlinked_s >= PEER_RETENTION_S:
                del self._addresses[store_id], self._unlinked_since[store_id]
        return lost
