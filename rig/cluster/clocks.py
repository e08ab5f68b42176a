"""Faulty clocks of a node: the wall clock jumps and drifts; the loop's clock drifts and never goes back.

The loop's timers are due in drifted time, and its selector converts each wait into real time. So a timer is
late by as much as any loop's timer (epoll waits in whole milliseconds); the drift adds nothing to that.
"""

from __future__ import annotations

import asyncio
import selectors
import time
from collections.abc import Callable

MAX_DRIFT_PPM = 100_000  # in either direction
MAX_JUMP_MS = 3_600_000


class ClockError(ValueError):
    """A jump or a drift beyond the limits. The text is one line."""


class Drift:
    """Clock that runs fast or slow against a reference clock by parts per million. Pure.

    It starts at the reference clock's time and continues from its own time when its drift changes.
    """

    def __init__(self) -> None:
        # Own time, the reference time at that moment, and the rate; one tuple, since other threads read it.
        self._state = (0.0, 0.0, 1.0)

    @property
    def rate(self) -> float:
        """Its seconds per second of the reference clock."""
        return self._state[2]

    def at(self, real_s: float) -> float:
        """Return its time when the reference clock shows `real_s`; monotonic if the reference clock is."""
        own_s, reference_s, rate = self._state
        return own_s + (real_s - reference_s) * rate

    def real_s(self, own_s: float) -> float:
        """Convert a duration of this clock, in seconds, into one of the reference clock."""
        return own_s / self.rate

    def change(self, ppm: float, real_s: float) -> None:
        """Run fast by `ppm` from now on.

        Args:
            ppm: The drift, in parts per million; negative to run slow.
            real_s: The reference clock's time now.

        Raises:
            ClockError: The drift is beyond `MAX_DRIFT_PPM`.
        """
        if not abs(ppm) <= MAX_DRIFT_PPM:
            raise ClockError(f"drift_ppm: {ppm:g} is not from {-MAX_DRIFT_PPM} to {MAX_DRIFT_PPM}")
        self._state = (self.at(real_s), real_s, 1.0 + ppm / 1e6)


class SkewedClock:
    """Clocks of a node: `wall` is passed to the program, `loop` drives its event loop.

    Both drift by the same rate, as if one crystal drove both. Only the wall clock jumps.
    """

    def __init__(
        self,
        wall: Callable[[], float] = time.time,
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        self._wall = wall
        self._monotonic = monotonic
        self._jumps_s = 0.0
        self._gained = Drift()  # since the clock was last reset
        self.loop = Drift()

    def wall(self) -> float:
        """Return the node's Unix time, in seconds."""
        now = self._monotonic()
        return self._wall() + self._jumps_s + self._gained.at(now) - now

    def time(self) -> float:
        """Return the loop's time, in seconds."""
        return self.loop.at(self._monotonic())

    def jump(self, ms: float) -> None:
        """Move the wall clock by `ms` at once; `ClockError` beyond `MAX_JUMP_MS`."""
        if not abs(ms) <= MAX_JUMP_MS:
            raise ClockError(f"jump_ms: {ms:g} is not from {-MAX_JUMP_MS} to {MAX_JUMP_MS}")
        self._jumps_s += ms / 1000.0

    def drift(self, ppm: float) -> None:
        """Run both clocks fast by `ppm` from now on; `ClockError` beyond `MAX_DRIFT_PPM`."""
        now = self._monotonic()
        self._gained.change(ppm, now)
        self.loop.change(ppm, now)

    def reset_to_real_time(self) -> None:
        """Set the wall clock to the machine's. The loop's clock only stops drifting: it can't go back."""
        self.drift(0.0)
        self._jumps_s, self._gained = 0.0, Drift()


class SkewedLoop(asyncio.SelectorEventLoop):
    """Event loop that runs on a skewed clock's time."""

    def __init__(self, clock: SkewedClock) -> None:
        self._skewed = clock
        super().__init__(SkewedSelector(clock.loop))

    def time(self) -> float:
        """Return the loop's time by the skewed clock, in seconds."""
        return self._skewed.time()


class SkewedSelector(selectors.EpollSelector):
    """Selector whose timeouts are seconds of a drifting clock.

    A change of drift applies from the next wait on.
    """

    def __init__(self, drift: Drift) -> None:
        super().__init__()
        self._drift = drift

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait as any selector does, with `timeout` in drifted seconds."""
        return super().select(None if timeout is None else self._drift.real_s(timeout))


def skewed_loop(clock: SkewedClock) -> asyncio.AbstractEventLoop:
    """Create an event loop that runs on a skewed clock's time."""
    return SkewedLoop(clock)
