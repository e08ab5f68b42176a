"""Counts successful and failed requests, with exponential decay. Pure."""

from __future__ import annotations

from dataclasses import dataclass

# Half-life of the counts: short, so that a server that has recovered stops being an outlier within seconds.
HALF_LIFE_S = 5.0


@dataclass(slots=True)
class OutcomeCounts:
    """Exponentially decayed counts of outcomes.

    Attributes:
        good: Requests that succeeded.
        bad: Requests that failed.
        as_of: When the counts were last decayed, in seconds of a monotonic clock.
    """

    good: float = 0.0
    bad: float = 0.0
    as_of: float = 0.0

    def add(self, good: float, bad: float, now: float) -> None:
        """Add outcomes to the counts."""
        self._decay(now)
        self.good += good
        self.bad += bad

    def decayed(self, now: float) -> OutcomeCounts:
        """Decay the counts up to `now`, in place, and return them."""
        self._decay(now)
        return self

    @property
    def total(self) -> float:
        """The number of all outcomes."""
        return self.good + self.bad

    @property
    def failure_share(self) -> float:
        """The share of failures in all outcomes; `total` must not be 0."""
        return self.bad / self.total

    def _decay(self, now: float) -> None:
        """Decay the counts up to `now`; a time that is not later than `as_of` changes nothing."""
        remaining = 0.5 ** (max(0.0, now - self.as_of) / HALF_LIFE_S)
        self.good *= remaining
        self.bad *= remaining
        self.as_of = max(self.as_of, now)
