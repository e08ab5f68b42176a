"""A priority queue of items, ordered by the time at which each is due. Pure."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

NEVER_NS = 2**62  # later than any time of the monotonic clock

Item = TypeVar("Item")


class DueQueue(Generic[Item]):
    """Priority queue by due time; items that are due at the same time leave in the order of insertion."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, Item]] = []
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._heap)

    def __iter__(self) -> Iterator[Item]:
        return (item for _, _, item in self._heap)

    @property
    def first_due_ns(self) -> int:
        """When the first item is due; `NEVER_NS` if the queue is empty."""
        return self._heap[0][0] if self._heap else NEVER_NS

    def push(self, due_ns: int, item: Item) -> None:
        """Add an item that is due at `due_ns`."""
        self._sequence += 1
        heapq.heappush(self._heap, (due_ns, self._sequence, item))

    def pop(self) -> Item:
        """Remove the first item and return it; `IndexError` if the queue is empty."""
        return heapq.heappop(self._heap)[2]

    def discard(self, is_unwanted: Callable[[Item], bool]) -> None:
        """Remove all items for which `is_unwanted` returns True."""
        self._heap = [entry for entry in self._heap if not is_unwanted(entry[2])]
        heapq.heapify(self._heap)
