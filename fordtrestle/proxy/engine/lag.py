"""How late the loop runs. Pure: the scheduler tells the time."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable

from fordtrestle.proxy.engine.ports import Scheduler

BEAT_S = 0.1
MEAN_OF = 10  # beats: the last second


class LagMeter:
    """A beat that is due each 100 ms while anything is going on, and how late it comes.

    What is read in a turn of the loop may have waited for as long as the loop runs late at that moment:
    so long its sender has waited, too. While nothing goes on there is no beat, and no wake-up.
    """

    def __init__(self, scheduler: Scheduler, now: Callable[[], float], busy: Callable[[], bool]) -> None:
        self._scheduler = scheduler
        self._now = now  # milliseconds
        self._busy = busy
        self.due_ms = math.inf  # when the next beat is due
        self._late: deque[float] = deque([0.0] * MEAN_OF, MEAN_OF)

    def wake(self) -> None:
        """Something goes on from now on."""
        if self.due_ms == math.inf:
            self._start()

    @property
    def now_ms(self) -> float:
        """How late the loop runs at this moment: 0 but in its first turn after a stall."""
        return max(0.0, self._now() - self.due_ms)

    @property
    def mean_ms(self) -> float:
        """How late it ran over the last second of beats: one stall alone is a part of that."""
        return sum(self._late) / MEAN_OF

    def _start(self) -> None:
        self.due_ms = self._now() + BEAT_S * 1000.0
        self._scheduler.call_later(BEAT_S, self._beat)

    def _beat(self) -> None:
        late_ms = self.now_ms
        self._late.append(late_ms)
        if late_ms < BEAT_S * 1000.0:
            self._go_on()
        else:
            self._look_again()

    def _look_again(self) -> None:
        # Guards against a stop that counts for nothing: a process that was stopped as it slept sees its
        # timers before its sockets (EINTR, signal(7)), which are read in the next turn.
        self._scheduler.call_later(0.0, self._after_stall, self._now())

    def _after_stall(self, beat_ms: float) -> None:
        """The turn after a late beat is over."""
        late_ms = self._now() - beat_ms
        if late_ms < BEAT_S * 1000.0:
            self._go_on()
            return
        # It stood still once more, amid that turn: what is read in the next has waited for that, too.
        self.due_ms = beat_ms
        self._late.append(late_ms)
        self._look_again()

    def _go_on(self) -> None:
        self.due_ms = math.inf
        if self._busy():
            self._start()
        else:
            self._late.extend([0.0] * MEAN_OF)  # what was is over, and no beat would tell so
