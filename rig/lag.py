"""Measures the lag of an event loop: results of a stand-in that lags itself are invalid."""

from __future__ import annotations

import asyncio
import math
from collections import deque

INTERVAL_S = 0.01
MAX_SAMPLES = 100_000  # the newest ones, which cover over a quarter of an hour


class LagWatch:
    """Wakes every 10 ms and records the delay of each wake-up in milliseconds."""

    def __init__(self) -> None:
        self._late_ms: deque[float] = deque(maxlen=MAX_SAMPLES)
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> LagWatch:
        """Start to measure the running loop."""
        self._arm()
        return self

    def stop(self) -> None:
        """Stop measuring; the samples are kept."""
        if self._timer is not None:
            self._timer.cancel()

    def clear(self) -> None:
        """Remove all samples."""
        self._late_ms.clear()

    def summary(self) -> dict[str, float]:
        """Return the number of samples, their 99th percentile and maximum in milliseconds; 0 for none."""
        ordered = sorted(self._late_ms)
        p99_ms = ordered[math.ceil(0.99 * len(ordered)) - 1] if ordered else 0.0
        return {"samples": len(ordered), "p99_ms": p99_ms, "most_ms": ordered[-1] if ordered else 0.0}

    def _arm(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_at(due := loop.time() + INTERVAL_S, self._wake, due)

    def _wake(self, due: float) -> None:
        self._late_ms.append(max(0.0, asyncio.get_running_loop().time() - due) * 1000.0)
        self._arm()
