"""Rendezvous hashing (Thaler, Ravishankar 1998): who is responsible for a key, without asking anyone. Pure.

Each pair of a key and a name has a weight that is the same everywhere, and the heaviest name gets the key.
When a name goes, only its own keys move. Names are hashed once and then mixed in pairs, since a large
deployment compares many pairs.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from functools import lru_cache

MAX_CACHED_NAMES = 65_536  # hashes that are kept: a bound on memory
_MASK = 0xFFFFFFFFFFFFFFFF
# Odd multipliers of the 64-bit finalizer of MurmurHash3 (Appleby, public domain).
_FIRST_MULTIPLIER, _SECOND_MULTIPLIER = 0xFF51AFD7ED558CCD, 0xC4CEB9FE1A85EC53


@lru_cache(maxsize=MAX_CACHED_NAMES)
def _hash(name: str) -> int:
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big")


def weight(key: str, name: str) -> int:
    """Return how strongly a name draws a key, as 64 bits; the same in all processes."""
    mixed = (_hash(key) * _FIRST_MULTIPLIER & _MASK) ^ _hash(name)
    mixed = (mixed ^ mixed >> 33) * _FIRST_MULTIPLIER & _MASK
    mixed = (mixed ^ mixed >> 33) * _SECOND_MULTIPLIER & _MASK
    return mixed ^ mixed >> 33


def ranked(key: str, names: Iterable[str]) -> list[str]:
    """Return names by how strongly they draw a key, the strongest first."""
    return sorted(names, key=lambda name: weight(key, name), reverse=True)
