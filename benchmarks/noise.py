"""Detects time that the machine takes from running processes, with a control process beside a measurement.

The control process only reads the clock, on a core of its own, and so detects each gap in which it did not
run. On a virtual machine whose host takes cores away, no program can do better. A run during which the
control was interrupted for long measures the machine rather than the program, and is void.
"""

from __future__ import annotations

import multiprocessing
import os
import time
from dataclasses import asdict, dataclass
from multiprocessing.connection import Connection as Pipe
from typing import Any

GAP_NS = 100_000  # between two readings of the clock; shorter gaps are its own work
LONG_NS = 500_000
ANSWER_TIMEOUT_S = 10.0
BATCH = 256  # readings between two checks for a command


@dataclass(slots=True)
class Noise:
    """Gaps that the control detected: the longest one, and shares of its time spent in gaps."""

    length_s: float = 0.0
    longest_ms: float = 0.0
    away_share: float = 0.0  # in gaps of over 0.1 ms
    long_share: float = 0.0  # in gaps of over 0.5 ms

    def summary(self) -> dict[str, float]:
        """Return the figures as JSON values."""
        return asdict(self)


class Gaps:
    """Sums the gaps between readings of a clock in nanoseconds."""

    def __init__(self, now: int) -> None:
        self._began = self._last = now
        self._longest = self._away = self._long = 0

    def read(self, now: int) -> None:
        """Add a reading."""
        gap = now - self._last
        self._last = now
        if gap > GAP_NS:
            self._longest = max(self._longest, gap)
            self._away += gap
            if gap > LONG_NS:
                self._long += gap

    def summary(self) -> Noise:
        """Return the gaps so far."""
        total = max(1, self._last - self._began)
        return Noise(total / 1e9, self._longest / 1e6, self._away / total, self._long / total)


def watch(control: Pipe, core: int | None) -> None:
    """Run the control process: read the clock until a command arrives, send the gaps, and start again."""
    if core is not None:
        os.sched_setaffinity(0, {core})
    clock = time.monotonic_ns
    while True:
        gaps = Gaps(clock())
        control.send(None)
        while not control.poll(0):
            for _ in range(BATCH):
                gaps.read(clock())
        try:
            if control.recv() is None:
                return
        except EOFError:
            return
        control.send(gaps.summary())
        # Waits for the command to watch again, without reading the clock.
        try:
            if control.recv() is None:
                return
        except EOFError:
            return


class Control:
    """Owner's handle of the control process, used as a context manager around each measurement."""

    def __init__(self, core: int | None = None) -> None:
        context = multiprocessing.get_context("spawn")
        self._control, theirs = context.Pipe()
        self._process: Any = context.Process(target=watch, args=(theirs, core), daemon=True)
        self._process.start()
        theirs.close()
        self._watching = True
        self._answer()

    def __enter__(self) -> Control:
        if not self._watching:
            self._control.send("watch")
            self._answer()
            self._watching = True
        return self

    def __exit__(self, *_: object) -> None:
        self.read()

    def read(self) -> Noise:
        """Stop watching and return the gaps since the start; the last result if it is not watching."""
        if self._watching:
            self._control.send("read")
            self.noise: Noise = self._answer()
            self._watching = False
        return self.noise

    def stop(self) -> None:
        """End the process."""
        self._control.close()
        self._process.join(ANSWER_TIMEOUT_S)
        if self._process.is_alive():
            self._process.kill()
            self._process.join()

    def _answer(self) -> Any:
        if not self._control.poll(ANSWER_TIMEOUT_S):
            raise TimeoutError("the noise control process did not answer")
        return self._control.recv()


def spare_core() -> int | None:
    """Reserve one core for a control process, besides the one of `reserve_core`.

    Call it once; this process no longer runs on that core.

    Returns:
        The core, or None if there are too few.
    """
    cores = sorted(os.sched_getaffinity(0))
    if len(cores) < 4:
        return None
    os.sched_setaffinity(0, cores[:-1])
    return cores[-1]


def stolen() -> tuple[int, int]:
    """Return the ticks that the host of this virtual machine stole, and all ticks, summed over all cores."""
    with open("/proc/stat", encoding="ascii") as file:
        ticks = [int(word) for word in file.readline().split()[1:9]]
    return ticks[7], sum(ticks)


def stolen_share(before: tuple[int, int], after: tuple[int, int]) -> float:
    """Return the stolen share of the ticks between two readings."""
    return (after[0] - before[0]) / max(1, after[1] - before[1])
