"""The one clock of a process."""

from __future__ import annotations

import time
from collections.abc import Callable

from fordtrestle.proxy.engine.ports import Scheduler


class Clock:
    """Monotonic milliseconds plus one fixed offset to Unix time, so that `since_ms` compares.

    `wall`: Unix seconds. The offset is read from it once: `now` goes on evenly, however `wall` jumps.
    """

    def __init__(self, loop: Scheduler, wall: Callable[[], float] = time.time) -> None:
        self._time = loop.time
        self._wall = wall
        self._offset = wall() * 1000.0 - loop.time() * 1000.0

    def now(self) -> float:
        """The time in milliseconds; it never steps back."""
        return self._time() * 1000.0 + self._offset

    def at(self, now: float) -> float:
        """The loop's own time for a time of this clock."""
        return (now - self._offset) / 1000.0

    def wall(self) -> float:
        """Unix seconds as the machine tells them now: they may jump, either way."""
        return self._wall()
