"""How late the event loop runs. Pure: the scheduler and the clock are handed in."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable

from fordtrestle.proxy.engine.ports import Scheduler

SAMPLE_INTERVAL_S = 0.1  # short beside a request's deadline, and ten wake-ups a second cost next to nothing
SAMPLE_COUNT = 10  # of which the mean is taken: the last second


class LoopLagMeter:
    """Samples the event loop's lag with a timer that is due each 100 ms while the process is busy.

    What is read in a turn of the loop may have waited in the kernel for as long as the loop runs late at that
    moment, so its sender has waited so long, too. While the process is idle there is no timer and no wake-up.

    Attributes:
        due_ms: When the next sample is due, by `now`'s clock; infinite while there is no timer.
    """

    def __init__(self, scheduler: Scheduler, now: Callable[[], float], busy: Callable[[], bool]) -> None:
        """Create a meter that is idle.

        Args:
            scheduler: What the timer is set on.
            now: Returns the time in milliseconds.
            busy: Returns whether the process has anything open, that is, whether sampling goes on.
        """
        self._scheduler = scheduler
        self._now = now
        self._busy = busy
        self.due_ms = math.inf
        self._samples_ms: deque[float] = deque([0.0] * SAMPLE_COUNT, SAMPLE_COUNT)

    def wake(self) -> None:
        """Start sampling, unless it goes on already: the process is busy from now on."""
        if self.due_ms == math.inf:
            self._start()

    @property
    def now_ms(self) -> float:
        """How late the loop runs at this moment: 0 except in its first turn after a stall."""
        return max(0.0, self._now() - self.due_ms)

    @property
    def mean_ms(self) -> float:
        """How late it ran on average over the last second of samples."""
        return sum(self._samples_ms) / SAMPLE_COUNT

    def _start(self) -> None:
        self.due_ms = self._now() + SAMPLE_INTERVAL_S * 1000.0
        self._scheduler.call_later(SAMPLE_INTERVAL_S, self._sample)

    def _sample(self) -> None:
        lag_ms = self.now_ms
        self._samples_ms.append(lag_ms)
        if lag_ms < SAMPLE_INTERVAL_S * 1000.0:
            self._continue()
        else:
            self._measure_next_turn()

    def _measure_next_turn(self) -> None:
        # Guards against a stall that counts for nothing: a process that was stopped in its sleep sees its
        # timers before its sockets (EINTR, signal(7)), which are read in the next turn.
        self._scheduler.call_later(0.0, self._after_stall, self._now())

    def _after_stall(self, sampled_at_ms: float) -> None:
        """The turn after a late sample is over."""
        lag_ms = self._now() - sampled_at_ms
        if lag_ms < SAMPLE_INTERVAL_S * 1000.0:
            self._continue()
            return
        # It stalled once more during that turn: what is read in the next one has waited for that, too.
        self.due_ms = sampled_at_ms
        self._samples_ms.append(lag_ms)
        self._measure_next_turn()

    def _continue(self) -> None:
        self.due_ms = math.inf
        if self._busy():
            self._start()
        else:
            # No further sample would replace these: a lag that is over must not be shown for as long as it
            # is idle.
            self._samples_ms.extend([0.0] * SAMPLE_COUNT)
