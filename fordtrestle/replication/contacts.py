"""The stores that have announced themselves: which are live, and which wait for a place as witnesses."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from fordtrestle.replication.epochs import Store, is_same_core
from fordtrestle.replication.messages import Announce

HEARD_S = 1.0  # a store not heard for longer is not live
REPLACE_S = 2.0  # a witness silent for longer may lose its place to a new store
FORGET_S = 60.0  # a store not heard for so long is forgotten until it announces itself
STRANGERS_MOST = 64  # stores of other cores that are told of


@dataclass(frozen=True, slots=True)
class _Contact:
    announced: Announce
    heard: float

    @property
    def store(self) -> Store:
        return self.announced.store


class Contacts:
    """All stores that are known by their own word. Times are s of a steady clock."""

    def __init__(self) -> None:
        self._contacts: dict[str, _Contact] = {}
        self._unlinked: set[str] = set()  # of those known
        self._strangers: set[str] = set()

    def is_new_stranger(self, message: Announce, core: str) -> bool:
        """Whether this store of another core is met for the first time."""
        store_id = message.store.id
        if not self.is_stranger(message, core) or store_id in self._strangers:
            return False
        if len(self._strangers) < STRANGERS_MOST:
            self._strangers.add(store_id)
            return True
        return False

    @staticmethod
    def is_stranger(message: Announce, core: str) -> bool:
        """Whether a store belongs to another core than this one; those that belong to none may join any."""
        return bool(core and message.core and not is_same_core(core, message.core))

    def meet(self, message: Announce, now: float) -> None:
        """A store has announced itself: another one that was in its machine is no more."""
        self._unlinked.discard(message.store.id)
        self._contacts[message.store.id] = _Contact(message, now)
        for store_id, contact in list(self._contacts.items()):
            replaced = contact.store.address == message.store.address and store_id != message.store.id
            if replaced or now - contact.heard > FORGET_S:
                del self._contacts[store_id]
                self._unlinked.discard(store_id)

    def lose(self, store_id: str) -> None:
        """A store's link has ended and does not come back: it is not live until it announces itself again."""
        self._unlinked.add(store_id)

    def ids(self) -> set[str]:
        """All stores that are known."""
        return set(self._contacts)

    def live(self, now: float) -> set[str]:
        """The stores that were heard of late."""
        heard = {store_id for store_id, contact in self._contacts.items() if now - contact.heard <= HEARD_S}
        return heard - self._unlinked

    def leaving(self) -> frozenset[str]:
        """The stores that have said that they are about to end."""
        return frozenset(
            store_id for store_id, contact in self._contacts.items() if contact.announced.leaving
        )

    def announced(self, now: float) -> list[Announce]:
        """The last word of each live store."""
        live = self.live(now)
        return [contact.announced for store_id, contact in self._contacts.items() if store_id in live]

    def newcomers(self, known: Iterable[str], now: float) -> list[Store]:
        """Live stores that count for the quorum, mean to stay and are not among those known."""
        others = self.live(now).difference(known)
        return [
            contact.store
            for store_id, contact in self._contacts.items()
            if contact.announced.counts and not contact.announced.leaving and store_id in others
        ]

    def giving_up(self, witnesses: Iterable[str], since: float, now: float) -> list[str]:
        """The witnesses whose places may be given away: first those that have said nothing for so long, the
        longest silent first, then those that are about to end. Those never heard count from `since`.
        """
        heard = {store_id: self._heard(store_id, since) for store_id in witnesses}
        silent = sorted((at, store_id) for store_id, at in heard.items() if now - at > REPLACE_S)
        first = [store_id for _, store_id in silent]
        leaving = self.leaving()
        return first + sorted(store_id for store_id in heard if store_id in leaving and store_id not in first)

    def _heard(self, store_id: str, since: float) -> float:
        contact = self._contacts.get(store_id)
        return contact.heard if contact else since
