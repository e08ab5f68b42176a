"""The newest item of each key, and its reconciliation with another process's catalog. Pure.

A replicated table without a primary: of two versions of a key the newer one wins everywhere, in whatever
order they come (Demers et al.: Epidemic Algorithms for Replicated Database Maintenance, 1987).

The table is bounded: at most `MAX_ITEMS` keys. Items of what has departed stay as tombstones as long as an
old message may travel, those of servers that nobody hears any more for longer. Each process forgets them by
its own clock, so one may still hold what another has forgotten: that is not taken back, or the two would go
on giving it to each other for ever.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

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
from fordtrestle.dissemination.range_digests import RangeDigestTable, range_of

MAX_ITEMS = 20_000
TOMBSTONE_S = 120.0  # as long as an old message may travel, also by way of a process that was partitioned
# For servers whose heartbeats have stopped, or that drain and never say that they have departed.
UNRESPONSIVE_RETENTION_S = 600.0
EJECTION_RETENTION_S = 600.0  # so that the next ejection of that server is known to be newer


def is_tombstone(item: Item) -> bool:
    """Return whether the item says that a server has departed, or a member is down."""
    value = item.value
    if isinstance(value, ServerRecord):
        return value.phase is Phase.DEPARTED
    return isinstance(value, MemberRecord) and value.availability is Availability.DOWN


def retention_s(item: Item) -> float | None:
    """Return for how many s an item is remembered that no newer one follows; `None` where for good."""
    if is_tombstone(item):
        return TOMBSTONE_S
    value = item.value
    if isinstance(value, EjectionRecord):
        return EJECTION_RETENTION_S
    if isinstance(value, ServerRecord) and (value.is_unresponsive or value.phase is Phase.DRAINING):
        return UNRESPONSIVE_RETENTION_S
    return None


@dataclass(frozen=True, slots=True)
class _ForgottenItem:
    """The last version of a key that has expired, and until when it is not taken back."""

    version: Version
    until: float


class Catalog:
    """All items that one process holds. Times are s of a steady clock, which the caller hands in."""

    def __init__(self) -> None:
        self._items: dict[str, Item] = {}
        self._digests = RangeDigestTable()
        self._expires_at: dict[str, float] = {}  # by key, of items that are not kept for good
        self._forgotten: dict[str, _ForgottenItem] = {}  # by key

    def get(self, key: str) -> Item | None:
        """Return the newest item of a key."""
        return self._items.get(key)

    @property
    def control(self) -> ControlView | None:
        """The control state, as far as it has come here."""
        item = self._items.get(CONTROL_KEY)
        return item.value if item and isinstance(item.value, ControlView) else None

    def servers(self) -> Iterator[tuple[ServerRecord, Version]]:
        """Yield all servers that are known, also those that have departed."""
        for key, item in self._items.items():
            if key.startswith(SERVER_PREFIX) and isinstance(item.value, ServerRecord):
                yield item.value, item.version

    def members(self) -> Iterator[tuple[MemberRecord, Version]]:
        """Yield all processes that are known, also those that are down."""
        for key, item in self._items.items():
            if key.startswith(MEMBER_PREFIX) and isinstance(item.value, MemberRecord):
                yield item.value, item.version

    def lacks(self, key: str, version: Version) -> bool:
        """Return whether that version would be new here: neither known, nor forgotten after it expired."""
        known = self._items.get(key)
        if known:
            return known.version < version
        return key not in self._forgotten or version > self._forgotten[key].version

    def merge(self, items: Iterable[Item], now: float) -> list[Item]:
        """Take in the items that are newer than those known.

        Returns:
            Those items. New keys are left out while the catalog is full.
        """
        new_items = []
        for item in items:
            if not self.lacks(item.key, item.version):
                continue
            known = self._items.get(item.key)
            if known is None and len(self._items) >= MAX_ITEMS:
                continue
            self._put(known, item, now)
            new_items.append(item)
        return new_items

    def expire(self, now: float) -> None:
        """Forget items whose retention has ended, and after `TOMBSTONE_S` more that they were forgotten."""
        for key, forgotten in list(self._forgotten.items()):
            if now > forgotten.until:
                del self._forgotten[key]
        for key, at in list(self._expires_at.items()):
            if now > at:
                item = self._items.pop(key)
                self._digests.remove(item)
                del self._expires_at[key]
                self._forgotten[key] = _ForgottenItem(item.version, now + TOMBSTONE_S)

    def digests(self) -> RangeDigests:
        """Return the message by which another process finds out whether it holds the same."""
        return self._digests.message()

    def answer(self, message: GossipMessage) -> list[GossipMessage]:
        """Return what to send back to a peer; updates are merged by `merge`, not here."""
        match message:
            case RangeDigests(theirs):
                return self._versions_where_different(theirs)
            case RangeVersions(ranges, versions):
                return self._difference(frozenset(ranges), dict(versions))
            case Want(keys):
                found = tuple(self._items[key] for key in keys if key in self._items)
                return [Update(found)] if found else []
        return []

    def _versions_where_different(self, theirs: tuple[bytes, ...]) -> list[GossipMessage]:
        """Return the versions of all items in ranges whose digests are others there."""
        ranges = self._digests.differing_ranges(theirs)
        if not ranges:
            return []
        versions = tuple((key, item.version) for key, item in self._items.items() if range_of(key) in ranges)
        return [RangeVersions(ranges, versions)]

    def _difference(self, ranges: frozenset[int], theirs: dict[str, Version]) -> list[GossipMessage]:
        """Return what is newer here than there, and a request for what is newer there."""
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
        """Hold an item in the place of the one that is known."""
        if known:
            self._digests.remove(known)
        self._digests.add(item)
        self._items[item.key] = item
        retention = retention_s(item)
        if retention is None:
            self._expires_at.pop(item.key, None)
        else:
            self._expires_at[item.key] = now + retention
