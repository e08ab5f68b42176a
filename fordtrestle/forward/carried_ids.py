"""The ids of the requests that a connection has carried. Pure.

A surplus response may be the copy of an earlier one. It contains the id of that request, also when the
request is under way again on the same connection (PROTOCOL: servers). So the id of a response proves which
send it belongs to only on a connection that has carried the id once.
"""

from __future__ import annotations

from array import array

MAX_CARRIED_IDS = 256  # of one connection, which is closed then; bounds the memory of a connection to 2 KiB


class CarriedIds:
    """A bounded set of request ids, kept as hashes: two ids with the same hash count as one."""

    __slots__ = ("_hashes",)

    def __init__(self) -> None:
        """Create an empty set."""
        self._hashes = array("q")

    def add(self, request_id: str) -> None:
        """Add an id."""
        self._hashes.append(hash(request_id))

    def __contains__(self, request_id: str) -> bool:
        return hash(request_id) in self._hashes

    @property
    def is_full(self) -> bool:
        """Whether no further id may be added."""
        return len(self._hashes) >= MAX_CARRIED_IDS
