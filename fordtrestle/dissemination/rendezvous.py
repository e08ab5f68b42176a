"""Rendezvous hashing (Thaler, Ravishankar 1998): assigns keys to names without coordination. Pure.

Each pair of a key and a name has a weight that is the same in all processes, and the name with the highest
weight owns the key. When a name is removed, only its own keys move. Names are hashed once and the hashes are
mixed for each pair, since a large deployment compares many pairs.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from functools import lru_cache

MAX_CACHED_NAMES = 65_536  # bounds the memory of the hash cache
_MASK = 0xFFFFFFFFFFFFFFFF
# Odd multipliers of the 64-bit finalizer of MurmurHash3 (Appleby, public domain).
_FIRST_MULTIPLIER, _SECOND_MULTIPLIER = 0xFF51AFD7ED558CCD, 0xC4CEB9FE1A85EC53


@lru_cache(maxsize=MAX_CACHED_NAMES)
def _hash(name: str) -> int:
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big")


def weight(key: str, name: str) -> int:
    """Return the 64-bit weight of a pair of a key and a name; the same in all processes."""
    mixed = (_hash(key) * _FIRST_MULTIPLIER & _MASK) ^ _hash(name)
    mixed = (mixed ^ mixed >> 33) * _FIRST_MULTIPLIER & _MASK
    mixed = (mixed ^ mixed >> 33) * _SECOND_MULTIPLIER & _MASK
    return mixed ^ mixed >> 33


def ranked(key: str, names: Iterable[str]) -> list[str]:
    """Return names by their weight for a key, the highest first."""
    return sorted(names, key=lambda name: weight(key, name), reverse=True)
