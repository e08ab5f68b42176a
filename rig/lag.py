"""How late a loop runs: a stand-in that is late itself measures nothing."""

from __future__ import annotations

import asyncio
import math
from collections import deque

EVERY_S = 0.01
SAMPLES_MOST = 100_000  # the newest ones; over a quarter of an hour


class LagWatch:
    """Wakes every 10 ms and notes by how much each wake-up is late, in milliseconds."""

    def __init__(self) -> None:
        self._late_ms: deque[float] = deque(maxlen=SAMPLES_MOST)
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> LagWatch:
        """Watch the loop that runs, from now on."""
        self._arm()
        return self

    def stop(self) -> None:
        """Watch no more; what was seen stays."""
        if self._timer is not None:
            self._timer.cancel()

    def clear(self) -> None:
        """Forget what was seen."""
        self._late_ms.clear()

    def summary(self) -> dict[str, float]:
        """The samples, and their 99th percentile and most in milliseconds; 0 where there are none."""
        ordered = sorted(self._late_ms)
        p99_ms = ordered[math.ceil(0.99 * len(ordered)) - 1] if ordered else 0.0
        return {"samples": len(ordered), "p99_ms": p99_ms, "most_ms": ordered[-1] if ordered else 0.0}

    def _arm(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_at(due := loop.time() + EVERY_S, self._wake, due)

    def _wake(self, due: float) -> None:
        self._late_ms.append(max(0.0, asyncio.get_running_loop().time() - due) * 1000.0)
        self._arm()
