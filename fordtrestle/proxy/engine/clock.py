"""The one clock of a process."""

from __future__ import annotations

import time
from collections.abc import Callable

from fordtrestle.proxy.engine.ports import Scheduler


class Clock:
    """Monotonic milliseconds plus a fixed offset to Unix time.

    The offset is taken once, so that times compare with the registry's (`since_ms`), and
    `now` goes on evenly however the wall clock jumps.
    """

    def __init__(self, loop: Scheduler, wall: Callable[[], float] = time.time) -> None:
        """Create a clock.

        Args:
            loop: Its `time` is monotonic, in seconds.
            wall: Returns Unix time in seconds.
        """
        self._time = loop.time
        self._wall = wall
        self._offset = wall() * 1000.0 - loop.time() * 1000.0

    def now(self) -> float:
        """Return the time in milliseconds; it never steps back."""
        return self._time() * 1000.0 + self._offset

    def at(self, now: float) -> float:
        """Return the loop's own time, in seconds, for a time of this clock in milliseconds."""
        return (now - self._offset) / 1000.0

    def wall(self) -> float:
        """Return the machine's Unix time in seconds: it may jump, either way."""
        return self._wall()
