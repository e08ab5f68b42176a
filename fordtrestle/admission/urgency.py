"""The urgency that a model server is told: short prompts first, as they stand among those of late. Pure.

Serving what takes least first keeps the mean wait of a queue shortest; a long prompt is only put behind, and
its server begins it at the latest when the queue runs out. What counts is the part that no other request
shares.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import deque

REMEMBERED = 200  # requests that a prompt is compared with
LEVELS = 3
FIRST = 3  # the most urgent level given, of 0 (highest) to 9; 5 is a server's own where none is said
LEAST = 20  # requests before which nothing is said


class Urgency:
    """The sizes of late, and where one stands among them."""

    def __init__(self) -> None:
        self._sizes: deque[int] = deque(maxlen=REMEMBERED)

    def level(self, size: int | None) -> int | None:
        """The value of `Priority` for a request whose own part has so many tokens.

        Nothing where it has none, or while there is little to compare it with.
        """
        if size is None:
            return None
        self._sizes.append(size)
        if len(self._sizes) < LEAST:
            return None
        smaller = bisect_left(sorted(self._sizes), size)
        return FIRST + min(LEVELS - 1, smaller * LEVELS // len(self._sizes))
