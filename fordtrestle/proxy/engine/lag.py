"""Measures how late the event loop runs. Pure: the scheduler and the clock are injected."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable

from fordtrestle.proxy.engine.ports import Scheduler

SAMPLE_INTERVAL_S = 0.1  # short compared with a request's deadline; 10 wake-ups a second cost next to nothing
SAMPLE_COUNT = 10  # the mean covers the last second


class LoopLagMeter:
    """Samples the event loop's lag with a timer that is due every 100 ms while the process is busy.

    Data that is read in an iteration of the loop may have waited in the kernel for as long as the loop runs
    late at that moment, so its sender has waited for that time as well. While the process is idle there is no
    timer and no wake-up.

    Attributes:
        due_ms: When the next sample is due, in `now`'s milliseconds; infinite while there is no timer.
    """

    def __init__(self, scheduler: Scheduler, now: Callable[[], float], busy: Callable[[], bool]) -> None:
        """Create an idle meter.

        Args:
            scheduler: Runs the timer.
            now: Returns the time in milliseconds.
            busy: Returns whether the process has any work in flight and sampling continues.
        """
        self._scheduler = scheduler
        self._now = now
        self._busy = busy
        self.due_ms = math.inf
        self._samples_ms: deque[float] = deque([0.0] * SAMPLE_COUNT, SAMPLE_COUNT)

    def wake(self) -> None:
        """Start sampling, unless it has started already, because the process becomes busy."""
        if self.due_ms == math.inf:
            self._start()

    @property
    def now_ms(self) -> float:
        """The current lag of the loop in milliseconds: 0 except in its first iteration after a stall."""
        return max(0.0, self._now() - self.due_ms)

    @property
    def mean_ms(self) -> float:
        """The mean lag over the last second of samples, in milliseconds."""
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
        # Guards against ignoring a stall: a process that was stopped while it slept handles its timers before
        # its sockets (EINTR, signal(7)), which are read in the next iteration.
        self._scheduler.call_later(0.0, self._after_stall, self._now())

    def _after_stall(self, sampled_at_ms: float) -> None:
        """Continue after the iteration that followed a late sample."""
        lag_ms = self._now() - sampled_at_ms
        if lag_ms < SAMPLE_INTERVAL_S * 1000.0:
            self._continue()
            return
        # The loop stalled again during that iteration: data read in the next one has waited for that as well.
        self.due_ms = sampled_at_ms
        self._samples_ms.append(lag_ms)
        self._measure_next_turn()

    def _continue(self) -> None:
        self.due_ms = math.inf
        if self._busy():
            self._start()
        else:
            # No further sample replaces these while the process is idle, and a lag that is over must not be
            # reported.
            self._samples_ms.extend([0.0] * SAMPLE_COUNT)
