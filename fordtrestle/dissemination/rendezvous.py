"""Rendezvous hashing: who is responsible for a key, with no one asked.

Names are hashed once and then mixed in pairs, so that a large deployment can draw many pairs.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from functools import lru_cache

MAX_CACHED_NAMES = 65_536  # hashes that are kept
_MASK = 0xFFFFFFFFFFFFFFFF
# Odd multipliers of the 64-bit finalizer of MurmurHash3 (Appleby, public domain).
_FIRST, _SECOND = 0xFF51AFD7ED558CCD, 0xC4CEB9FE1A85EC53


@lru_cache(maxsize=MAX_CACHED_NAMES)
def _salt(name: str) -> int:
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big")


def weight(key: str, name: str) -> int:
    """How strongly a name draws a key; the same everywhere."""
    mixed = (_salt(key) * _FIRST & _MASK) ^ _salt(name)
    mixed = (mixed ^ mixed >> 33) * _FIRST & _MASK
    mixed = (mixed ^ mixed >> 33) * _SECOND & _MASK
    return mixed ^ mixed >> 33


def ranked(key: str, names: Iterable[str]) -> list[str]:
    """Names by how strongly they draw a key, the strongest first."""
    return sorted(names, key=lambda name: weight(key, name), reverse=True)
