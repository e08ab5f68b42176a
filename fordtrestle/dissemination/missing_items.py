"""Tracks items that peers have offered but that have not arrived: when to request them, and from whom. Pure.

This is the tree repair of Plumtree (Leitão, Pereira, Rodrigues 2007): an offer starts a timer, and an item
that the tree has not delivered when the timer expires is requested from one peer after the other.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from fordtrestle.dissemination.catalog import MAX_ITEMS
from fordtrestle.dissemination.items import Item, Version

WANT_DELAY_S = 0.15  # time for the tree to deliver an offered item before it is requested
WANT_RETRY_S = 0.5  # time for one peer to answer before the item is requested from the next
MAX_SOURCES = 8  # peers remembered per item: a few are enough to find one that answers


@dataclass(slots=True)
class _MissingItem:
    """A missing item: its newest offered version, when to request it next, and from which peers."""

    version: Version
    request_at: float
    sources: deque[str]
    requested_from: set[str] = field(default_factory=set)


class MissingItems:
    """Tracks up to `MAX_ITEMS` missing items. Times are seconds of a monotonic clock."""

    def __init__(self) -> None:
        self._by_key: dict[str, _MissingItem] = {}

    def add(self, key: str, version: Version, request_at: float, source: str) -> None:
        """Record that a peer holds a version that is missing here.

        An item is requested from one peer at a time, or each offer would deliver another copy. An item that
        has been requested keeps its timer, whatever `request_at` is, and `source` is tried once it expires.

        Args:
            key: the item's key.
            version: the version that the peer holds.
            request_at: when to request the item, unless it arrives before.
            source: the peer.
        """
        missing = self._by_key.get(key)
        if missing is None:
            if len(self._by_key) < MAX_ITEMS:
                self._by_key[key] = _MissingItem(version, request_at, deque([source], maxlen=MAX_SOURCES))
            return
        missing.version = max(missing.version, version)
        if source not in missing.requested_from and source not in missing.sources:
            missing.sources.append(source)
        if not missing.requested_from:
            missing.request_at = min(missing.request_at, request_at)

    def on_item(self, item: Item) -> None:
        """Forget an item that has arrived, unless a newer version was offered."""
        missing = self._by_key.get(item.key)
        if missing and missing.version <= item.version:
            del self._by_key[item.key]

    def due_at(self) -> float | None:
        """Return when `take_due` has to be called next; `None` if no item is missing."""
        return min((missing.request_at for missing in self._by_key.values()), default=None)

    def take_due(self, now: float) -> dict[str, list[str]]:
        """Return the keys to request now, by peer, and restart their timers.

        An item that has been requested from all its sources is forgotten; anti-entropy will find it.
        """
        keys_by_peer: dict[str, list[str]] = {}
        for key, missing in list(self._by_key.items()):
            if now < missing.request_at:
                continue
            if not missing.sources:
                del self._by_key[key]
                continue
            peer = missing.sources.popleft()
            missing.requested_from.add(peer)
            missing.request_at = now + WANT_RETRY_S
            keys_by_peer.setdefault(peer, []).append(key)
        return keys_by_peer
