"""Digests over ranges of keys, which show two processes where their catalogs differ. Pure.

This is anti-entropy (Demers et al.: Epidemic Algorithms for Replicated Database Maintenance, 1987): a digest
of each range is sent, and only ranges that differ are compared key by key. A digest is the XOR of the
fingerprints of the items in its range, so adding or removing an item does not need the other items.
"""

from __future__ import annotations

import hashlib

from fordtrestle.dissemination.items import Item
from fordtrestle.dissemination.messages import RangeDigests

RANGE_COUNT = 16  # a changed item makes a sixteenth of the keys be compared; all digests take 128 bytes
DIGEST_BYTES = 8


def range_of(key: str) -> int:
    """Return the index of the range that contains a key."""
    return hashlib.blake2b(key.encode(), digest_size=1).digest()[0] % RANGE_COUNT


def _fingerprint(item: Item) -> int:
    text = f"{item.key}@{item.version}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=DIGEST_BYTES).digest(), "big")


class RangeDigestTable:
    """Maintains the digests of all items in a catalog."""

    def __init__(self) -> None:
        self._digests = [0] * RANGE_COUNT

    def add(self, item: Item) -> None:
        """Add an item to the digest of its range."""
        self._digests[range_of(item.key)] ^= _fingerprint(item)

    def remove(self, item: Item) -> None:
        """Remove an item that was added before; XOR is its own inverse."""
        self.add(item)

    def message(self) -> RangeDigests:
        """Return the message that carries the digests."""
        return RangeDigests(tuple(digest.to_bytes(DIGEST_BYTES, "big") for digest in self._digests))

    def differing_ranges(self, theirs: tuple[bytes, ...]) -> tuple[int, ...]:
        """Return the ranges whose digests differ from these; ranges that one side lacks are ignored."""
        pairs = zip(self.message().digests, theirs, strict=False)
        return tuple(index for index, (ours, other) in enumerate(pairs) if ours != other)
