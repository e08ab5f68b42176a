"""How many requests ended well and how many failed, decayed with time. Pure."""

from __future__ import annotations

from dataclasses import dataclass

# After which half of what was counted is left: a server that has recovered is no outlier some seconds later.
HALF_LIFE_S = 5.0


@dataclass(slots=True)
class OutcomeCounts:
    """Exponentially decayed counts of outcomes.

    Attributes:
        good: Requests that ended well.
        bad: Requests that failed.
        as_of: The moment of these counts, in seconds of a monotonic clock.
    """

    good: float = 0.0
    bad: float = 0.0
    as_of: float = 0.0

    def add(self, good: float, bad: float, now: float) -> None:
        """Count outcomes."""
        self._decay(now)
        self.good += good
        self.bad += bad

    def decayed(self, now: float) -> OutcomeCounts:
        """Return these counts, with what is left of them now."""
        self._decay(now)
        return self

    @property
    def total(self) -> float:
        """All outcomes."""
        return self.good + self.bad

    @property
    def failure_share(self) -> float:
        """The failures' share of all outcomes; `total` must not be 0."""
        return self.bad / self.total

    def _decay(self, now: float) -> None:
        """Decay the counts; a clock that stands still, or an earlier moment, changes nothing."""
        remaining = 0.5 ** (max(0.0, now - self.as_of) / HALF_LIFE_S)
        self.good *= remaining
        self.bad *= remaining
        self.as_of = max(self.as_of, now)
