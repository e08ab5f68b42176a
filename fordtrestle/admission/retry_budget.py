"""The retry budget: how many retries the fleet may send. Pure.

Source: Google SRE book, chapter 21, "Handling Overload" (retry budgets per client and per request).
"""

from __future__ import annotations

from collections import deque

from fordtrestle.admission.constants import BUDGET_MARGIN

MAX_REMEMBERED = 4096  # requests and retries that are remembered per callee; bounds the memory


class RetryBudget:
    """Bounds the retries to each callee to a ratio of its requests plus a share of the fleet's allowance.

    Each sidecar counts only its own requests and retries. The shares of all sidecars add up to no more than
    the fleet's budget, so that retries cannot multiply the load of a failing service.
    """

    def __init__(self, ratio: float, allowance: float, window_s: float) -> None:
        """Start with empty windows.

        Args:
            ratio: The allowed retries per request.
            allowance: Further retries per window, for the whole fleet.
            window_s: Length of the sliding window, in seconds.
        """
        self._ratio = ratio
        self._allowance = allowance
        self._window_s = window_s
        self._requests: dict[str, deque[float]] = {}
        self._retries: dict[str, deque[float]] = {}

    def record_request(self, callee: str, now: float) -> None:
        """Count a client's request; `now` is in seconds of a monotonic clock."""
        self._within_window(self._requests, callee, now).append(now)

    def try_acquire(self, callee: str, sidecars: int, now: float) -> bool:
        """Take one retry from the budget if it allows one.

        Args:
            callee: The service that the retry goes to.
            sidecars: How many sidecars share the allowance.
            now: The time in seconds of a monotonic clock.

        Returns:
            Whether the retry may be sent; only then is it counted.
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
