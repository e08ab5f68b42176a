"""The retry budget: how many attempts beyond a request's first the fleet may send. Pure.

Source: Google SRE book, chapter 21, "Handling Overload" (retry budgets a client and a request).
"""

from __future__ import annotations

from collections import deque

from fordtrestle.admission.constants import BUDGET_MARGIN

MAX_REMEMBERED = 4096  # requests and retries remembered a callee: a bound on memory


class RetryBudget:
    """Bounds the retries of each callee to a ratio of its requests plus a part of the fleet's allowance.

    Each sidecar counts its own requests and retries alone. Their parts add up to no more than the fleet's
    budget, so that retries can't multiply the load of a service that fails.
    """

    def __init__(self, ratio: float, allowance: float, window_s: float) -> None:
        """Begin with empty windows.

        Args:
            ratio: Retries allowed for each request.
            allowance: Retries a window that the whole fleet may send besides.
            window_s: Length of the sliding window, in seconds.
        """
        self._ratio = ratio
        self._allowance = allowance
        self._window_s = window_s
        self._requests: dict[str, deque[float]] = {}
        self._retries: dict[str, deque[float]] = {}

    def record_request(self, callee: str, now: float) -> None:
        """Count a client's request; `now` in seconds of a monotonic clock."""
        self._within_window(self._requests, callee, now).append(now)

    def try_acquire(self, callee: str, sidecars: int, now: float) -> bool:
        """Take one retry out of the budget.

        Args:
            callee: The service that the retry goes to.
            sidecars: How many sidecars share the allowance.
            now: Seconds of a monotonic clock.

        Returns:
            Whether the budget had room; only then the retry is counted.
        """
        requests = len(self._within_window(self._requests, callee, now))
        retries = self._within_window(self._retries, callee, now)
        budget = BUDGET_MARGIN * (self._ratio * requests + self._allowance / max(1, sidecars))
        if len(retries) + 1 > budget:
            return False
        retries.append(now)
        return True

    def _within_window(self, table: dict[str, deque[float]], callee: str, now: float) -> deque[float]:
        times = table.setdefault(callee, deque(maxlen=MAX_REMEMBERED))
        while times and times[0] <= now - self._window_s:
            times.popleft()
        return times
