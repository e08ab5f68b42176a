"""Items that were offered by peers and have not come: whom to ask for them, and when. Pure.

This is the part of Plumtree (Leitão, Pereira, Rodrigues 2007) that repairs the tree: an offer starts a timer,
and an item that the tree has not brought when it ends is asked for from one peer after the other.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from fordtrestle.dissemination.catalog import MAX_ITEMS
from fordtrestle.dissemination.items import Item, Version

WANT_DELAY_S = 0.15  # that the tree has to bring what was offered, before it is asked for
WANT_RETRY_S = 0.5  # that an answer may take before the next peer is asked
MAX_SOURCES = 8  # peers that are remembered of an item: a few are enough to find one that answers


@dataclass(slots=True)
class _MissingItem:
    """One item that has not come: the newest version offered, when to ask, whom, and who was asked."""

    version: Version
    ask_at: float
    sources: deque[str]
    asked: set[str] = field(default_factory=set)


class MissingItems:
    """All items that were offered and have not come, at most `MAX_ITEMS`. Times are s of a steady clock."""

    def __init__(self) -> None:
        self._by_key: dict[str, _MissingItem] = {}

    def add(self, key: str, version: Version, ask_at: float, source: str) -> None:
        """Remember that a peer holds a version that is missing here.

        Only one peer is asked at a time, or each offer would bring another copy: an item that has been asked
        for keeps its timer, whatever `ask_at` says, and `source` is asked when that ends.

        Args:
            key: the item's key.
            version: the version that the peer holds.
            ask_at: when to ask for it, unless it comes before.
            source: the peer.
        """
        missing = self._by_key.get(key)
        if missing is None:
            if len(self._by_key) < MAX_ITEMS:
                self._by_key[key] = _MissingItem(version, ask_at, deque([source], maxlen=MAX_SOURCES))
            return
        missing.version = max(missing.version, version)
        if source not in missing.asked and source not in missing.sources:
            missing.sources.append(source)
        if not missing.asked:
            missing.ask_at = min(missing.ask_at, ask_at)

    def on_item(self, item: Item) -> None:
        """Forget an item that has come, unless a newer version was offered."""
        missing = self._by_key.get(item.key)
        if missing and missing.version <= item.version:
            del self._by_key[item.key]

    def due_at(self) -> float | None:
        """Return when `take_due` has something to do; `None` where nothing is missing."""
        return min((missing.ask_at for missing in self._by_key.values()), default=None)

    def take_due(self, now: float) -> dict[str, list[str]]:
        """Return the keys to ask for now, by the peer to ask, and start their timers anew.

        An item whose sources have all been asked is forgotten: anti-entropy goes on looking for it.
        """
        keys_by_peer: dict[str, list[str]] = {}
        for key, missing in list(self._by_key.items()):
            if now < missing.ask_at:
                continue
            if not missing.sources:
                del self._by_key[key]
                continue
            peer = missing.sources.popleft()
            missing.asked.add(peer)
            missing.ask_at = now + WANT_RETRY_S
            keys_by_peer.setdefault(peer, []).append(key)
        return keys_by_peer
