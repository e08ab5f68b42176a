"""Relates the steady clock of another process to that of this one, by readings that it sends. Pure.

A reading is taken before it is received. So the other clock shows at least its newest reading plus the time
since this process received it: a bound that holds however long the reading was on its way.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_DRIFT = 1e-3  # by which two steady clocks may differ in rate: twice the most that NTP corrects


@dataclass(frozen=True, slots=True)
class ClockReading:
    """The steady clock of the sender.

    Attributes:
        clock: Identifies the clock: each process has one of its own.
        time_s: What it shows, in seconds.
    """

    clock: str
    time_s: float


class RemoteClock:
    """A lower bound of what the steady clock of another process shows. Local times are seconds, too."""

    def __init__(self, reading: ClockReading, now: float) -> None:
        """Start with the first reading of a clock, which was received at this local time."""
        self.clock = reading.clock
        self._offset_s = reading.time_s - now
        self._measured_at = now

    def on_reading(self, reading: ClockReading, now: float) -> None:
        """Take a reading of the same clock into account; one that was long on its way changes nothing."""
        offset_s = reading.time_s - now
        if offset_s >= self._offset_at(now):
            self._offset_s, self._measured_at = offset_s, now

    def earliest(self, local_time: float) -> float:
        """Return the earliest time that the other clock may show at a local time."""
        return local_time + self._offset_at(local_time)

    def _offset_at(self, local_time: float) -> float:
        return self._offset_s - MAX_DRIFT * abs(local_time - self._measured_at)
