"""Detects stalls of this process: it was stopped, suspended, or had no processor time.

State from before a stall may have been replaced meanwhile. An event that is noticed right after a stall, such
as a signal, may have occurred at any time during it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

TICK_INTERVAL_S = 0.25
STALL_S = 1.0  # a longer time between two ticks is a stall
RECOVERY_S = 2.0  # after a stall, until links are up again and have delivered what was missed


class StallMonitor:
    """Ticks on the event loop, and records the newest gap between two ticks that is a stall.

    Times are seconds of the loop's clock.

    Attributes:
        on_tick: Called with the time of each tick.
    """

    def __init__(self) -> None:
        """Create a monitor that has not ticked yet."""
        self.on_tick: Callable[[float], None] = lambda now: None
        self._ticked_at = float("inf")
        self._stall_started_at = float("-inf")
        self._stall_ended_at = float("-inf")

    def start(self) -> None:
        """Tick from now on, until the event loop is closed."""
        loop = asyncio.get_running_loop()
        loop.call_later(TICK_INTERVAL_S, self.start)  # first, so that an error in `on_tick` ends no ticks
        now = loop.time()
        self.tick(now)
        self.on_tick(now)

    def tick(self, now: float) -> None:
        """Record that the process runs."""
        if now - self._ticked_at > STALL_S:
            self._stall_started_at, self._stall_ended_at = self._ticked_at, now
        self._ticked_at = now

    def has_recovered(self, now: float) -> bool:
        """Return whether there was no stall within the last `RECOVERY_S`."""
        return now - self._ticked_at <= STALL_S and now - self._stall_ended_at >= RECOVERY_S

    def earliest_arrival(self, now: float) -> float:
        """Return the earliest time at which an event that is noticed now may have occurred."""
        if now - self._ticked_at > STALL_S:
            return self._ticked_at
        if now - self._stall_ended_at <= TICK_INTERVAL_S:
            return self._stall_started_at
        return now
