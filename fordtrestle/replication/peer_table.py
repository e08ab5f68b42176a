"""Table of the other stores, from their announcements: which are live, leaving or joining. Pure."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from fordtrestle.replication.epochs import Store, is_same_core
from fordtrestle.replication.messages import Announce

LIVENESS_TIMEOUT_S = 1.0  # a store that has not been heard for longer is not live
REPLACEMENT_TIMEOUT_S = 2.0  # a witness that has not been heard for longer may lose its slot
PEER_RETENTION_S = 60.0  # a store that has not been heard for longer is removed
MAX_FOREIGN_STORES = 64  # stores of other cores that are reported; bounds memory


@dataclass(frozen=True, slots=True)
class _Peer:
    announced: Announce
    last_heard_at: float

    @property
    def store(self) -> Store:
        return self.announced.store


class PeerTable:
    """The stores that have announced themselves. Times are in seconds of a monotonic clock."""

    def __init__(self) -> None:
        self._peers: dict[str, _Peer] = {}
        self._disconnected: set[str] = set()  # ids of peers
        self._foreign: set[str] = set()  # ids of stores of other cores

    def mark_foreign(self, message: Announce, core: str) -> bool:
        """Record a store of another core, up to `MAX_FOREIGN_STORES`; return whether it is a new one."""
        store_id = message.store.id
        if not self.is_foreign(message, core) or store_id in self._foreign:
            return False
        if len(self._foreign) < MAX_FOREIGN_STORES:
            self._foreign.add(store_id)
            return True
        return False

    @staticmethod
    def is_foreign(message: Announce, core: str) -> bool:
        """Return whether a store belongs to another core; a store without a core may join any core."""
        return bool(core and message.core and not is_same_core(core, message.core))

    def on_announce(self, message: Announce, now: float) -> None:
        """Record a store, and remove any other store of the same machine: the disk of that one was lost."""
        self._disconnected.discard(message.store.id)
        self._peers[message.store.id] = _Peer(message, now)
        for store_id, peer in list(self._peers.items()):
            replaced = peer.store.address == message.store.address and store_id != message.store.id
            if replaced or now - peer.last_heard_at > PEER_RETENTION_S:
                del self._peers[store_id]
                self._disconnected.discard(store_id)

    def mark_disconnected(self, store_id: str) -> None:
        """Treat a store as not live until it announces itself again: its connection has ended."""
        self._disconnected.add(store_id)

    def ids(self) -> set[str]:
        """Return the ids of all known stores."""
        return set(self._peers)

    def live(self, now: float) -> set[str]:
        """Return the ids of the stores that were heard within `LIVENESS_TIMEOUT_S` and are connected."""
        heard = {
            store_id
            for store_id, peer in self._peers.items()
            if now - peer.last_heard_at <= LIVENESS_TIMEOUT_S
        }
        return heard - self._disconnected

    def leaving(self) -> frozenset[str]:
        """Return the ids of the stores that have announced that they are shutting down."""
        return frozenset(store_id for store_id, peer in self._peers.items() if peer.announced.is_leaving)

    def live_announcements(self, now: float) -> list[Announce]:
        """Return the latest announcement of each live store."""
        live = self.live(now)
        return [peer.announced for store_id, peer in self._peers.items() if store_id in live]

    def joining(self, known: Iterable[str], now: float) -> list[Store]:
        """Return the live stores, other than those known, that may become witnesses and are not leaving."""
        others = self.live(now).difference(known)
        return [
            peer.store
            for store_id, peer in self._peers.items()
            if peer.announced.counts_for_quorum and not peer.announced.is_leaving and store_id in others
        ]

    def replaceable(self, witnesses: Iterable[str], since: float, now: float) -> list[str]:
        """Return the ids of the witnesses whose slots may be reassigned, in order of preference.

        Witnesses that have not been heard for `REPLACEMENT_TIMEOUT_S` come first, the longest silent one
        foremost, then those that are shutting down.

        Args:
            witnesses: Ids of the witnesses.
            since: When a witness that was never heard is assumed to have been heard last.
            now: The current time.
        """
        heard_at = {store_id: self._last_heard_at(store_id, since) for store_id in witnesses}
        unheard = sorted(
            (at, store_id) for store_id, at in heard_at.items() if now - at > REPLACEMENT_TIMEOUT_S
        )
        first = [store_id for _, store_id in unheard]
        leaving = self.leaving()
        return first + sorted(
            store_id for store_id in heard_at if store_id in leaving and store_id not in first
        )

    def _last_heard_at(self, store_id: str, since: float) -> float:
        peer = self._peers.get(store_id)
        return peer.last_heard_at if peer else since
