"""Digests over ranges of keys, by which two processes find out where their catalogs differ. Pure.

This is anti-entropy (Demers et al.: Epidemic Algorithms for Replicated Database Maintenance, 1987): a digest
of each range travels, and only what lies in ranges that differ is compared key by key. A digest is the XOR of
the fingerprints of the items in its range, so that an item is taken in or out without a look at the others.
"""

from __future__ import annotations

import hashlib

from fordtrestle.dissemination.items import Item
from fordtrestle.dissemination.messages import RangeDigests

RANGE_COUNT = 16  # a change costs a look at a sixteenth of the keys, for digests of 128 bytes
DIGEST_BYTES = 8


def range_of(key: str) -> int:
    """Return the range that a key falls into."""
    return hashlib.blake2b(key.encode(), digest_size=1).digest()[0] % RANGE_COUNT


def _fingerprint(item: Item) -> int:
    text = f"{item.key}@{item.version}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=DIGEST_BYTES).digest(), "big")


class RangeDigestTable:
    """The digests of all items that one process holds."""

    def __init__(self) -> None:
        self._digests = [0] * RANGE_COUNT

    def add(self, item: Item) -> None:
        """Count an item in."""
        self._digests[range_of(item.key)] ^= _fingerprint(item)

    def remove(self, item: Item) -> None:
        """Count an item out that was counted in; with XOR that is the same step."""
        self.add(item)

    def message(self) -> RangeDigests:
        """Return the digests as they travel."""
        return RangeDigests(tuple(digest.to_bytes(DIGEST_BYTES, "big") for digest in self._digests))

    def differing_ranges(self, theirs: tuple[bytes, ...]) -> tuple[int, ...]:
        """Return the ranges whose digests are others than these; ranges that have none here are left out."""
        pairs = zip(self.message().digests, theirs, strict=False)
        return tuple(index for index, (ours, other) in enumerate(pairs) if ours != other)
