"""Stores the newest item of each key, and reconciles it with the catalogs of other processes. Pure.

This is a replicated table without a primary: the newer of two versions of a key wins everywhere, in whatever
order they arrive (Demers et al.: Epidemic Algorithms for Replicated Database Maintenance, 1987).

The table is bounded to `MAX_ITEMS` keys. Items of departed servers and members stay as tombstones for as long
as an old message may be in flight, and items of unresponsive servers stay for longer. Each process expires
them by its own clock, so one process may still hold an item that another has expired. The latter does not
accept it again, or the two would keep sending it to each other for ever.
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
TOMBSTONE_S = 120.0  # as long as an old message may be in flight, also through a process that was partitioned
# For servers whose heartbeats have stopped, or that drain and never report that they have departed.
UNRESPONSIVE_RETENTION_S = 600.0
EJECTION_RETENTION_S = 600.0  # so that the next ejection of that server gets a newer version


def is_tombstone(item: Item) -> bool:
    """Return whether the item records that a server has departed, or that a member is down."""
    value = item.value
    if isinstance(value, ServerRecord):
        return value.phase is Phase.DEPARTED
    return isinstance(value, MemberRecord) and value.availability is Availability.DOWN


def retention_s(item: Item) -> float | None:
    """Return how long the newest item of a key is kept, in seconds; `None` if it never expires."""
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
    """The last version of an expired key, and until when that version is not accepted again."""

    version: Version
    rejected_until: float


class Catalog:
    """Holds all items of one process. Times are seconds of a monotonic clock, passed in by the caller."""

    def __init__(self) -> None:
        self._items: dict[str, Item] = {}
        self._digests = RangeDigestTable()
        self._expires_at: dict[str, float] = {}  # by key, only for items that expire
        self._forgotten: dict[str, _ForgottenItem] = {}  # by key

    def get(self, key: str) -> Item | None:
        """Return the newest item of a key; `None` if there is none."""
        return self._items.get(key)

    @property
    def control(self) -> ControlView | None:
        """The newest control state that this process has received; `None` if it has received none."""
        item = self._items.get(CONTROL_KEY)
        return item.value if item and isinstance(item.value, ControlView) else None

    def servers(self) -> Iterator[tuple[ServerRecord, Version]]:
        """Yield all known servers with their versions, including those that have departed."""
        for key, item in self._items.items():
            if key.startswith(SERVER_PREFIX) and isinstance(item.value, ServerRecord):
                yield item.value, item.version

    def members(self) -> Iterator[tuple[MemberRecord, Version]]:
        """Yield all known members with their versions, including those that are down."""
        for key, item in self._items.items():
            if key.startswith(MEMBER_PREFIX) and isinstance(item.value, MemberRecord):
                yield item.value, item.version

    def lacks(self, key: str, version: Version) -> bool:
        """Return whether a version would be new here: neither it nor a newer one is known or has expired."""
        known = self._items.get(key)
        if known:
            return known.version < version
        return key not in self._forgotten or version > self._forgotten[key].version

    def merge(self, items: Iterable[Item], now: float) -> list[Item]:
        """Store the items that are newer than the known ones.

        Returns:
            The items that were stored. Items with new keys are dropped while the catalog is full.
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
        """Drop items whose retention has ended, and `TOMBSTONE_S` later the record that they expired."""
        for key, forgotten in list(self._forgotten.items()):
            if now > forgotten.rejected_until:
                del self._forgotten[key]
        for key, expires_at in list(self._expires_at.items()):
            if now > expires_at:
                item = self._items.pop(key)
                self._digests.remove(item)
                del self._expires_at[key]
                self._forgotten[key] = _ForgottenItem(item.version, now + TOMBSTONE_S)

    def digests(self) -> RangeDigests:
        """Return the digests that let another process detect differences from its own catalog."""
        return self._digests.message()

    def answer(self, message: GossipMessage) -> list[GossipMessage]:
        """Return the replies to a peer's message; updates are merged by `merge`, not here."""
        match message:
            case RangeDigests(theirs):
                return self._versions_where_different(theirs)
            case RangeVersions(ranges, versions):
                return self._difference(frozenset(ranges), dict(versions))
            case Want(keys):
                items = tuple(self._items[key] for key in keys if key in self._items)
                return [Update(items)] if items else []
        return []

    def _versions_where_different(self, theirs: tuple[bytes, ...]) -> list[GossipMessage]:
        """Return the versions of all items in the ranges whose digests differ."""
        ranges = self._digests.differing_ranges(theirs)
        if not ranges:
            return []
        versions = tuple((key, item.version) for key, item in self._items.items() if range_of(key) in ranges)
        return [RangeVersions(ranges, versions)]

    def _difference(self, ranges: frozenset[int], theirs: dict[str, Version]) -> list[GossipMessage]:
        """Return the items that are newer here, and a request for the items that are newer at the peer."""
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
        """Store an item in place of the known one, if there is one."""
        if known:
            self._digests.remove(known)
        self._digests.add(item)
        self._items[item.key] = item
        retention = retention_s(item)
        if retention is None:
            self._expires_at.pop(item.key, None)
        else:
            self._expires_at[item.key] = now + retention
