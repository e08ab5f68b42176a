"""The other stores, as they have announced themselves: which are live, and which wait for a slot. Pure."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from fordtrestle.replication.epochs import Store, is_same_core
from fordtrestle.replication.messages import Announce

LIVENESS_TIMEOUT_S = 1.0  # a store not heard for longer is not live
REPLACEMENT_TIMEOUT_S = 2.0  # a witness not heard for longer may lose its slot to another store
PEER_RETENTION_S = 60.0  # a store not heard for so long is forgotten until it announces itself
MAX_FOREIGN_STORES = 64  # of other cores, that are reported: a bound on memory


@dataclass(frozen=True, slots=True)
class _Peer:
    announced: Announce
    heard_at: float

    @property
    def store(self) -> Store:
        return self.announced.store


class PeerTable:
    """All stores that have announced themselves. Times are s of a steady clock."""

    def __init__(self) -> None:
        self._peers: dict[str, _Peer] = {}
        self._disconnected: set[str] = set()  # of the peers
        self._foreign: set[str] = set()  # ids of stores of other cores

    def is_newly_foreign(self, message: Announce, core: str) -> bool:
        """Whether a store of another core is seen for the first time, as far as these are counted."""
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
        """Take note of a store; another one that was in its machine is forgotten, as its disk was lost."""
        self._disconnected.discard(message.store.id)
        self._peers[message.store.id] = _Peer(message, now)
        for store_id, peer in list(self._peers.items()):
            replaced = peer.store.address == message.store.address and store_id != message.store.id
            if replaced or now - peer.heard_at > PEER_RETENTION_S:
                del self._peers[store_id]
                self._disconnected.discard(store_id)

    def mark_disconnected(self, store_id: str) -> None:
        """Take a store for not live until it announces itself again: the connection to it has ended."""
        self._disconnected.add(store_id)

    def ids(self) -> set[str]:
        """The ids of all stores that are known."""
        return set(self._peers)

    def live(self, now: float) -> set[str]:
        """The ids of the stores that were heard lately and are connected."""
        heard = {
            store_id for store_id, peer in self._peers.items() if now - peer.heard_at <= LIVENESS_TIMEOUT_S
        }
        return heard - self._disconnected

    def leaving(self) -> frozenset[str]:
        """The ids of the stores that have said that they shut down."""
        return frozenset(store_id for store_id, peer in self._peers.items() if peer.announced.is_leaving)

    def announced(self, now: float) -> list[Announce]:
        """The last announcement of each live store."""
        live = self.live(now)
        return [peer.announced for store_id, peer in self._peers.items() if store_id in live]

    def joining(self, known: Iterable[str], now: float) -> list[Store]:
        """Live stores that may become witnesses, stay, and are not among those known."""
        others = self.live(now).difference(known)
        return [
            peer.store
            for store_id, peer in self._peers.items()
            if peer.announced.counts_for_quorum and not peer.announced.is_leaving and store_id in others
        ]

    def giving_up(self, witnesses: Iterable[str], since: float, now: float) -> list[str]:
        """The witnesses whose slots may be given away, in this order.

        First those that were not heard for too long, the longest silence first, then those that shut down.

        Args:
            witnesses: Ids of the witnesses.
            since: From when on those that were never heard count as not heard.
            now: The time.
        """
        heard_at = {store_id: self._heard_at(store_id, since) for store_id in witnesses}
        unheard = sorted(
            (at, store_id) for store_id, at in heard_at.items() if now - at > REPLACEMENT_TIMEOUT_S
        )
        first = [store_id for _, store_id in unheard]
        leaving = self.leaving()
        return first + sorted(
            store_id for store_id in heard_at if store_id in leaving and store_id not in first
        )

    def _heard_at(self, store_id: str, since: float) -> float:
        peer = self._peers.get(store_id)
        return peer.heard_at if peer else since
