"""Rendezvous hashing: who is responsible for a key, with no one asked."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable


def weight(key: str, name: str) -> int:
    """How strongly a name draws a key; the same everywhere."""
    return int.from_bytes(hashlib.blake2b(f"{key}|{name}".encode(), digest_size=8).digest(), "big")


def ranked(key: str, names: Iterable[str]) -> list[str]:
    """Names by how strongly they draw a key, the strongest first."""
    return sorted(names, key=lambda name: weight(key, name), reverse=True)
