"""Generates the intended send times of a schedule: lazily, in whole microseconds, reproducibly. Pure.

A shape is a sequence of pieces; within each, the rate is linear in time. The expected number of arrivals up
to a time then has a closed form, and its inverse gives the send times. Evenly spaced arrivals come at each
whole expected count. Those of an inhomogeneous Poisson process come at expected counts whose gaps are
exponential (time-rescaling theorem).
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from itertools import chain, cycle, pairwise, repeat

US_PER_S = 1_000_000
CONSTANT_PIECE_S = 3600.0  # arbitrary, since the piece of a constant rate is repeated without end
WAVE_PIECES = 64  # linear pieces per period of a sine; their mean is that of the sine

Draw = Callable[[], float]  # returns a uniform random number in [0, 1)


@dataclass(frozen=True, slots=True)
class Piece:
    """A rate that changes linearly from `from_per_s` to `to_per_s` within `length_s`.

    Raises:
        ValueError: A rate is negative or not finite, or the length is not above 0.
    """

    from_per_s: float
    to_per_s: float
    length_s: float

    def __post_init__(self) -> None:
        if not (0.0 <= self.from_per_s < math.inf and 0.0 <= self.to_per_s < math.inf):
            raise ValueError("a rate is a finite number of at least 0")
        if not 0.0 < self.length_s < math.inf:
            raise ValueError("a piece lasts for a finite time above 0")

    @property
    def expected_count(self) -> float:
        """The expected number of arrivals within the piece."""
        return (self.from_per_s + self.to_per_s) / 2.0 * self.length_s

    def time_of(self, count: float) -> float:
        """Return the time in seconds up to which `count` arrivals are expected.

        Args:
            count: The number of arrivals, from 0 to `expected_count`.
        """
        slope = (self.to_per_s - self.from_per_s) / self.length_s
        # This form of the root of the quadratic also holds if the slope or the first rate is 0.
        root = self.from_per_s + math.sqrt(max(0.0, self.from_per_s**2 + 2.0 * slope * count))
        return min(self.length_s, 2.0 * count / root) if root > 0.0 else 0.0


def constant(rate_per_s: float) -> Iterator[Piece]:
    """Return the pieces of a constant rate, without end."""
    return repeat(Piece(rate_per_s, rate_per_s, CONSTANT_PIECE_S))


def bursts(on_per_s: float, on_s: float, off_per_s: float, off_s: float) -> Iterator[Piece]:
    """Return the pieces of two alternating rates, without end; `on_per_s` comes first."""
    return cycle((Piece(on_per_s, on_per_s, on_s), Piece(off_per_s, off_per_s, off_s)))


def ramp(from_per_s: float, to_per_s: float, over_s: float) -> Iterator[Piece]:
    """Return the pieces of a linear change from one rate to another, which then continues without end."""
    return chain((Piece(from_per_s, to_per_s, over_s),), constant(to_per_s))


def wave(mean_per_s: float, swing_per_s: float, period_s: float) -> Iterator[Piece]:
    """Return the pieces of a sine around a mean, without end; it begins at the mean and rises.

    Raises:
        ValueError: `swing_per_s` is above `mean_per_s`, so that rates would become negative.
    """
    if swing_per_s > mean_per_s:
        raise ValueError("a wave swings by at most its mean rate, since rates can't be negative")
    points = [math.sin(2.0 * math.pi * i / WAVE_PIECES) for i in range(WAVE_PIECES + 1)]
    rates = [max(0.0, mean_per_s + swing_per_s * point) for point in points]
    length_s = period_s / WAVE_PIECES
    return cycle([Piece(before, after, length_s) for before, after in pairwise(rates)])


def steps(rates_per_s: Iterable[float], each_s: float) -> Iterator[Piece]:
    """Return the pieces of successive rates, each for `each_s` seconds; the last continues without end.

    Raises:
        ValueError: No rate is given.
    """
    rates = list(rates_per_s)
    if not rates:
        raise ValueError("steps need at least one rate")
    return chain((Piece(rate, rate, each_s) for rate in rates), constant(rates[-1]))


def pieces_until(pieces: Iterable[Piece], length_s: float) -> Iterator[Piece]:
    """Return the pieces up to a time, at which the last one is cut off."""
    remaining_s = length_s
    for piece in pieces:
        if piece.length_s >= remaining_s:
            if remaining_s > 0.0:
                rate = piece.from_per_s + (piece.to_per_s - piece.from_per_s) * remaining_s / piece.length_s
                yield Piece(piece.from_per_s, rate, remaining_s)
            return
        yield piece
        remaining_s -= piece.length_s


def even_counts() -> Iterator[float]:
    """Generate the expected counts of evenly spaced arrivals: each whole number, from 0."""
    count = 0.0
    while True:
        yield count
        count += 1.0


def poisson_counts(draw: Draw) -> Iterator[float]:
    """Generate the expected counts of the arrivals of a Poisson process, with one draw for each."""
    count = 0.0
    while True:
        count -= math.log1p(-draw())
        yield count


def send_times_us(pieces: Iterable[Piece], counts: Iterator[float], starts_us: int = 0) -> Iterator[int]:
    """Generate the intended send times of a schedule, in ascending order, up to the end of the last piece.

    Args:
        pieces: The rate over time.
        counts: The expected counts at which arrivals occur, without end.
        starts_us: When the first piece begins, in microseconds.

    Yields:
        Times in microseconds.
    """
    begin_s, count_before, count = 0.0, 0.0, next(counts)
    for piece in pieces:
        count_after = count_before + piece.expected_count
        while count < count_after:
            yield starts_us + int((begin_s + piece.time_of(count - count_before)) * US_PER_S)
            count = next(counts)
        count_before, begin_s = count_after, begin_s + piece.length_s


def merge_schedules(schedules: Iterable[Iterator[int]]) -> Iterator[int]:
    """Merge schedules into one, in order of time."""
    return heapq.merge(*schedules)
