"""Draws the class, tenant, key and size of each request by weights. Pure; random draws are passed in."""

from __future__ import annotations

import math
from array import array
from bisect import bisect_right
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from itertools import accumulate
from typing import NamedTuple

from fordtrestle.load.arrivals import Draw

MAX_KEYS = 1_000_000  # distinct keys; each takes eight bytes for its weight
MAX_BODY_BYTES = 64 * 1024  # the maximum in the trace format and in a load file
# Fibonacci hashing (2**64 / golden ratio); odd, so that different ranks have different products.
KEY_MULTIPLIER = 0x9E3779B97F4A7C15
KEY_MASK = 0xFFFFFFFFFFFFFFFF  # 64 bits, which are 16 hexadecimal digits


class Request(NamedTuple):
    """One intended request; the tenant or the key is empty if the request has none."""

    at_us: int  # intended send time, in microseconds from the start
    class_name: str
    tenant: str
    key: str
    budget_us: int
    size: int  # of the body, in bytes


class WeightedChoice:
    """Draws indexes, from 0, with probabilities in proportion to their weights.

    Raises:
        ValueError: No weight is above 0, or the sum of the weights is not finite.
    """

    def __init__(self, weights: Iterable[float]) -> None:
        sums = array("d", accumulate(weights))
        if not sums or not 0.0 < sums[-1] < math.inf:
            raise ValueError("at least one share above 0 is needed, and their sum must be finite")
        self._sums = sums

    def pick(self, draw: Draw) -> int:
        """Return a random index; takes one draw."""
        return min(bisect_right(self._sums, draw() * self._sums[-1]), len(self._sums) - 1)


def zipf_choice(count: int, exponent: float) -> WeightedChoice:
    """Return a choice by Zipf's law: the n-th of `count` ranks has the weight n to the power of `-exponent`.

    Raises:
        ValueError: `count` is not within 1 to `MAX_KEYS`.
    """
    if not 1 <= count <= MAX_KEYS:
        raise ValueError(f"expected 1 to {MAX_KEYS} keys, not {count}")
    return WeightedChoice(rank**-exponent for rank in range(1, count + 1))


def key_text(rank: int) -> str:
    """Return the key of a rank, as 16 hexadecimal digits."""
    return f"{(rank + 1) * KEY_MULTIPLIER & KEY_MASK:016x}"


@dataclass(frozen=True, slots=True)
class ClassWeight:
    """A class of requests as the mix draws it.

    Attributes:
        name: The name of the class.
        share: Its weight among all classes.
        budget_us: The budget of each request, in microseconds.
        has_body: Whether requests have a body; without one their size is 0, whatever size is drawn.
    """

    name: str
    share: float
    budget_us: int
    has_body: bool


class Mix:
    """Draws the class, tenant, size and key of requests; each request takes the same number of draws."""

    def __init__(
        self,
        classes: Sequence[ClassWeight],
        tenants: Sequence[tuple[str, float]],
        sizes: Sequence[tuple[int, float]] = ((0, 1.0),),
        keys: WeightedChoice | None = None,
        keyed_share: float = 1.0,
    ) -> None:
        """Set the weights.

        Args:
            classes: All classes.
            tenants: The name and the share of each tenant.
            sizes: The size in bytes and the share of each body size.
            keys: Chooses the rank of a key; None if no request has a key.
            keyed_share: The share of requests that have a key, from 0 to 1.

        Raises:
            ValueError: The classes, tenants or sizes have no share above 0.
        """
        self._classes = classes
        self._tenants = [name for name, _ in tenants]
        self._sizes = [size for size, _ in sizes]
        self._class_choice = WeightedChoice(each.share for each in classes)
        self._tenant_choice = WeightedChoice(share for _, share in tenants)
        self._size_choice = WeightedChoice(share for _, share in sizes)
        self._key_choice = keys
        self._keyed_share = keyed_share

    def requests(self, times_us: Iterable[int], draw: Draw) -> Iterator[Request]:
        """Generate a request for each send time."""
        for at_us in times_us:
            traffic_class = self._classes[self._class_choice.pick(draw)]
            tenant = self._tenants[self._tenant_choice.pick(draw)]
            size = self._sizes[self._size_choice.pick(draw)]
            key = self._key(draw)
            yield Request(
                at_us,
                traffic_class.name,
                tenant,
                key,
                traffic_class.budget_us,
                size if traffic_class.has_body else 0,
            )

    def _key(self, draw: Draw) -> str:
        if self._key_choice is None:
            return ""
        # Both are drawn for each request, so that a lower share does not change the remaining keys.
        is_keyed = draw() < self._keyed_share
        rank = self._key_choice.pick(draw)
        return key_text(rank) if is_keyed else ""
