"""Clocks of a node that go wrong: the wall clock jumps and drifts, the loop's drifts and never goes back.

The loop's timers are due in the drifted time, and its selector waits for as long as that takes in real time:
a timer is late by what any loop's is (epoll waits in whole milliseconds), and by nothing for the drift.
"""

from __future__ import annotations

import asyncio
import selectors
import time
from collections.abc import Callable

DRIFT_MOST_PPM = 100_000  # parts per million, either way
JUMP_MOST_MS = 3_600_000


class ClockError(ValueError):
    """A jump or a drift that no clock takes; its text is one line."""


class Drift:
    """A clock that runs fast or slow by parts per million of another one, in seconds. Pure.

    It begins at that one's own time, and goes on from where it is when its drift changes.
    """

    def __init__(self) -> None:
        # One tuple, since other threads read the time, too: its time, the other's as it was so, its rate.
        self._state = (0.0, 0.0, 1.0)

    @property
    def rate(self) -> float:
        """Its seconds to one of the other clock."""
        return self._state[2]

    def at(self, real_s: float) -> float:
        """Its time as the other clock shows `real_s`; it never goes back while that one does not."""
        base, since, rate = self._state
        return base + (real_s - since) * rate

    def real_s(self, own_s: float) -> float:
        """So long does the other clock take for so many of its seconds."""
        return own_s / self.rate

    def change(self, ppm: float, real_s: float) -> None:
        """Run fast by `ppm` from now on; `ClockError` past `DRIFT_MOST_PPM`."""
        if not abs(ppm) <= DRIFT_MOST_PPM:
            raise ClockError(f"drift_ppm: {ppm:g} is not from {-DRIFT_MOST_PPM} to {DRIFT_MOST_PPM}")
        self._state = (self.at(real_s), real_s, 1.0 + ppm / 1e6)


class SkewedClock:
    """A node's clocks: `wall` is handed to the program, `loop` drives its event loop.

    Both drift alike, as they do where one crystal drives both. Only the wall clock jumps.
    """

    def __init__(
        self,
        wall: Callable[[], float] = time.time,
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        self._wall = wall
        self._monotonic = monotonic
        self._jumps_s = 0.0
        self._gained = Drift()  # since the clock was last put right
        self.loop = Drift()

    def wall(self) -> float:
        """Unix seconds, as this node has them."""
        now = self._monotonic()
        return self._wall() + self._jumps_s + self._gained.at(now) - now

    def time(self) -> float:
        """The loop's seconds."""
        return self.loop.at(self._monotonic())

    def jump(self, ms: float) -> None:
        """The wall clock is so much further on at once; `ClockError` past `JUMP_MOST_MS`."""
        if not abs(ms) <= JUMP_MOST_MS:
            raise ClockError(f"jump_ms: {ms:g} is not from {-JUMP_MOST_MS} to {JUMP_MOST_MS}")
        self._jumps_s += ms / 1000.0

    def drift(self, ppm: float) -> None:
        """Both run fast by so much from now on; `ClockError` past `DRIFT_MOST_PPM`."""
        now = self._monotonic()
        self._gained.change(ppm, now)
        self.loop.change(ppm, now)

    def put_right(self) -> None:
        """The wall clock is the machine's again. The loop's only drifts no more: it can't go back."""
        self.drift(0.0)
        self._jumps_s, self._gained = 0.0, Drift()


class SkewedLoop(asyncio.SelectorEventLoop):
    """A loop that lives in a clock's time."""

    def __init__(self, clock: SkewedClock) -> None:
        self._skewed = clock
        super().__init__(SkewedSelector(clock.loop))

    def time(self) -> float:
        """Its seconds, by the skewed clock."""
        return self._skewed.time()


class SkewedSelector(selectors.EpollSelector):
    """Waits for so many seconds of the drifted clock. A change of drift counts from the next wait on."""

    def __init__(self, drift: Drift) -> None:
        super().__init__()
        self._drift = drift

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """As any selector's, with `timeout` in drifted seconds."""
        return super().select(None if timeout is None else self._drift.real_s(timeout))


def skewed_loop(clock: SkewedClock) -> asyncio.AbstractEventLoop:
    """A new event loop in that clock's time."""
    return SkewedLoop(clock)
