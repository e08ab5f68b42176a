"""The stores that have announced themselves: which are live, and which wait for a place as witnesses."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from fordtrestle.replication.epochs import Store, is_same_core
from fordtrestle.replication.messages import Announce

LIVENESS_TIMEOUT_S = 1.0  # a store not heard for longer is not live
REPLACEMENT_TIMEOUT_S = 2.0  # a witness silent for longer may lose its place to a new store
PEER_RETENTION_S = 60.0  # a store not heard for so long is forgotten until it announces itself
MAX_FOREIGN_STORES = 64  # stores of other cores that are told of


@dataclass(frozen=True, slots=True)
class _Peer:
    announced: Announce
    heard_at: float

    @property
    def store(self) -> Store:
        return self.announced.store


class PeerTable:
    """All stores that are known by their own word. Times are s of a steady clock."""

    def __init__(self) -> None:
        self._peers: dict[str, _Peer] = {}
        self._disconnected: set[str] = set()  # of those known
        self._foreign: set[str] = set()

    def is_newly_foreign(self, message: Announce, core: str) -> bool:
        """Whether this store of another core is met for the first time."""
        store_id = message.store.id
        if not self.is_foreign(message, core) or store_id in self._foreign:
            return False
        if len(self._foreign) < MAX_FOREIGN_STORES:
            self._foreign.add(store_id)
            return True
        return False

    @staticmethod
    def is_foreign(message: Announce, core: str) -> bool:
        """Whether a store belongs to another core than this one; those that belong to none may join any."""
        return bool(core and message.core and not is_same_core(core, message.core))

    def on_announce(self, message: Announce, now: float) -> None:
        """A store has announced itself: another one that was in its machine is no more."""
        self._disconnected.discard(message.store.id)
        self._peers[message.store.id] = _Peer(message, now)
        for store_id, peer in list(self._peers.items()):
            replaced = peer.store.address == message.store.address and store_id != message.store.id
            if replaced or now - peer.heard_at > PEER_RETENTION_S:
                del self._peers[store_id]
                self._disconnected.discard(store_id)

    def mark_disconnected(self, store_id: str) -> None:
        """A store's link has ended and does not come back: it is not live until it announces itself again."""
        self._disconnected.add(store_id)

    def ids(self) -> set[str]:
        """All stores that are known."""
        return set(self._peers)

    def live(self, now: float) -> set[str]:
        """The stores that were heard of late."""
        heard = {
            store_id for store_id, peer in self._peers.items() if now - peer.heard_at <= LIVENESS_TIMEOUT_S
        }
        return heard - self._disconnected

    def leaving(self) -> frozenset[str]:
        """The stores that have said that they are about to end."""
        return frozenset(store_id for store_id, peer in self._peers.items() if peer.announced.is_leaving)

    def announced(self, now: float) -> list[Announce]:
        """The last word of each live store."""
        live = self.live(now)
        return [peer.announced for store_id, peer in self._peers.items() if store_id in live]

    def joining(self, known: Iterable[str], now: float) -> list[Store]:
        """Live stores that count for the quorum, mean to stay and are not among those known."""
        others = self.live(now).difference(known)
        return [
            peer.store
            for store_id, peer in self._peers.items()
            if peer.announced.counts_for_quorum and not peer.announced.is_leaving and store_id in others
        ]

    def giving_up(self, witnesses: Iterable[str], since: float, now: float) -> list[str]:
        """The witnesses whose places may be given away: first those that have said nothing for so long, the
        longest silent first, then those that are about to end. Those never heard count from `since`.
        """
        heard = {store_id: self._heard_at(store_id, since) for store_id in witnesses}
        silent = sorted((at, store_id) for store_id, at in heard.items() if now - at > REPLACEMENT_TIMEOUT_S)
        first = [store_id for _, store_id in silent]
        leaving = self.leaving()
        return first + sorted(store_id for store_id in heard if store_id in leaving and store_id not in first)

    def _heard_at(self, store_id: str, since: float) -> float:
        peer = self._peers.get(store_id)
        return peer.heard_at if peer else since
