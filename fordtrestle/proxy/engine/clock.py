"""The clock that all parts of a process share."""

from __future__ import annotations

import time
from collections.abc import Callable

from fordtrestle.proxy.engine.ports import Scheduler


class Clock:
    """Returns Unix time in milliseconds that advances with the monotonic clock.

    The offset between the two clocks is taken once, at creation. Times are therefore comparable with the
    registry's (`since_ms`), and jumps of the wall clock do not affect `now`.
    """

    def __init__(self, loop: Scheduler, wall: Callable[[], float] = time.time) -> None:
        """Create a clock.

        Args:
            loop: Provides monotonic time in seconds.
            wall: Returns Unix time in seconds.
        """
        self._time = loop.time
        self._wall = wall
        self._offset = wall() * 1000.0 - loop.time() * 1000.0

    def now(self) -> float:
        """Return the time in milliseconds since the Unix epoch; it never steps back."""
        return self._time() * 1000.0 + self._offset

    def to_loop_time(self, now: float) -> float:
        """Convert a time of this clock, in milliseconds, to the loop's time, in seconds."""
        return (now - self._offset) / 1000.0

    def wall(self) -> float:
        """Return the machine's Unix time in seconds, which may jump in either direction."""
        return self._wall()
