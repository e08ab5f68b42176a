"""The newest item of each key, and its reconciliation with another process's by digests of ranges.

Bounded: at most `MAX_ITEMS` keys. Items of what is gone stay as tombstones as long as an old message may
travel, those of servers that nobody hears any more for longer. Each process forgets them by its own clock,
and takes them back from nobody who has yet to forget them.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Iterator

from fordtrestle.dissemination.items import (
    CONTROL_KEY,
    MEMBER_PREFIX,
    SERVER_PREFIX,
    Availability,
    ControlView,
    EjectionRecord,
    Item,
    MemberRecord,
    Phase,
    ServerRecord,
    Version,
)
from fordtrestle.dissemination.messages import GossipMessage, RangeDigests, RangeVersions, Update, Want

RANGE_COUNT = 16
DIGEST_BYTES = 8
MAX_ITEMS = 20_000
TOMBSTONE_S = 120.0
UNRESPONSIVE_RETENTION_S = (
    600.0  # for servers that have fallen silent, or drain and never say that they are gone
)
EJECTION_RETENTION_S = 600.0  # so that the next one of that server is known to be newer


def range_of(key: str) -> int:
    """The range that a key falls into."""
    return hashlib.blake2b(key.encode(), digest_size=1).digest()[0] % RANGE_COUNT


def _fingerprint(item: Item) -> int:
    text = f"{item.key}@{item.version}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=DIGEST_BYTES).digest(), "big")


def is_tombstone(item: Item) -> bool:
    """Whether the item says that something is gone for good."""
    value = item.value
    if isinstance(value, ServerRecord):
        return value.phase is Phase.DEPARTED
    return isinstance(value, MemberRecord) and value.availability is Availability.DOWN


def retention_s(item: Item) -> float | None:
    """For how long an item is remembered that is followed by no newer one; nothing where for good."""
    if is_tombstone(item):
        return TOMBSTONE_S
    value = item.value
    if isinstance(value, EjectionRecord):
        return EJECTION_RETENTION_S
    if isinstance(value, ServerRecord) and (value.is_unresponsive or value.phase is Phase.DRAINING):
        return UNRESPONSIVE_RETENTION_S
    return None


class Catalog:
    """All items that one process holds."""

    def __init__(self) -> None:
        self._items: dict[str, Item] = {}
        self._digests = [0] * RANGE_COUNT  # XOR of the fingerprints of a range's items
        self._ends_at: dict[str, float] = {}  # of items that do not last for good
        self._forgotten: dict[str, tuple[Version, float]] = {}  # of what was forgotten, and until when

    def get(self, key: str) -> Item | None:
        """The newest item of a key."""
        return self._items.get(key)

    @property
    def control(self) -> ControlView | None:
        """What was decided, as far as it has come here."""
        item = self._items.get(CONTROL_KEY)
        return item.value if item and isinstance(item.value, ControlView) else None

    def servers(self) -> Iterator[tuple[ServerRecord, Version]]:
        """All servers that are known, those that are gone too."""
        for key, item in self._items.items():
            if key.startswith(SERVER_PREFIX) and isinstance(item.value, ServerRecord):
                yield item.value, item.version

    def members(self) -> Iterator[tuple[MemberRecord, Version]]:
        """All processes that are known, those that are down too."""
        for key, item in self._items.items():
            if key.startswith(MEMBER_PREFIX) and isinstance(item.value, MemberRecord):
                yield item.value, item.version

    def lacks(self, key: str, version: Version) -> bool:
        """Whether that version would be news: neither is as new a one held, nor was it forgotten."""
        known = self._items.get(key)
        if known:
            return known.version < version
        return key not in self._forgotten or version > self._forgotten[key][0]

    def merge(self, items: Iterable[Item], now: float) -> list[Item]:
        """Take in what is newer; those items."""
        fresh = []
        for item in items:
            if not self.lacks(item.key, item.version):
                continue
            known = self._items.get(item.key)
            if known is None and len(self._items) >= MAX_ITEMS:
                continue
            self._put(known, item, now)
            fresh.append(item)
        return fresh

    def expire(self, now: float) -> None:
        """Forget what is gone once no old message can contradict it any more."""
        for key, (_, until) in list(self._forgotten.items()):
            if now > until:
                del self._forgotten[key]
        for key, at in list(self._ends_at.items()):
            if now > at:
                item = self._items.pop(key)
                self._digests[range_of(key)] ^= _fingerprint(item)
                del self._ends_at[key]
                self._forgotten[key] = (item.version, now + TOMBSTONE_S)

    def digests(self) -> RangeDigests:
        """What tells another process whether it holds the same."""
        return RangeDigests(tuple(digest.to_bytes(DIGEST_BYTES, "big") for digest in self._digests))

    def answer(self, message: GossipMessage) -> list[GossipMessage]:
        """What to send back to a peer; updates are merged by `merge`, not here."""
        match message:
            case RangeDigests(theirs):
                return self._versions_where(theirs)
            case RangeVersions(ranges, versions):
                return self._difference(frozenset(ranges), dict(versions))
            case Want(keys):
                found = tuple(self._items[key] for key in keys if key in self._items)
                return [Update(found)] if found else []
        return []

    def _versions_where(self, theirs: tuple[bytes, ...]) -> list[GossipMessage]:
        ours = self.digests().digests
        differing = tuple(
            index for index, (one, other) in enumerate(zip(ours, theirs, strict=False)) if one != other
        )
        if not differing:
            return []
        versions = tuple(
            (key, item.version) for key, item in self._items.items() if range_of(key) in differing
        )
        return [RangeVersions(differing, versions)]

    def _difference(self, ranges: frozenset[int], theirs: dict[str, Version]) -> list[GossipMessage]:
        newer = tuple(
            item
            for key, item in self._items.items()
            if range_of(key) in ranges and item.version > theirs.get(key, ())
        )
        wanted = tuple(key for key, version in theirs.items() if self.lacks(key, version))
        answers: list[GossipMessage] = []
        if newer:
            answers.append(Update(newer))
        if wanted:
            answers.append(Want(wanted))
        return answers

    def _put(self, known: Item | None, item: Item, now: float) -> None:
        if known:
            self._digests[range_of(item.key)] ^= _fingerprint(known)
        self._digests[range_of(item.key)] ^= _fingerprint(item)
        self._items[item.key] = item
        lasts = retention_s(item)
        if lasts is None:
            self._ends_at.pop(item.key, None)
        else:
            self._ends_at[item.key] = now + lasts
