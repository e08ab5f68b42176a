"""What the machine itself keeps from running: a control beside a measurement, not a part of it.

A process that only reads the clock, on a core of its own, sees each moment in which it was kept off. On a
virtual machine whose host takes cores away, that is what no program on it can be better than; a run beside
which the control was kept off for long tells of the machine, and is void.
"""

from __future__ import annotations

import multiprocessing
import os
import time
from dataclasses import asdict, dataclass
from multiprocessing.connection import Connection as Pipe
from typing import Any

GAP_NS = 100_000  # between two readings of the clock: shorter ones are its own work
LONG_NS = 500_000
ANSWER_S = 10.0
BATCH = 256  # readings between two looks at the owner


@dataclass(slots=True)
class Noise:
    """What the control saw: the longest gap in milliseconds, and shares of its time spent in gaps."""

    length_s: float = 0.0
    longest_ms: float = 0.0
    away_share: float = 0.0  # in gaps of over 0.1 ms
    long_share: float = 0.0  # in gaps of over 0.5 ms

    def summary(self) -> dict[str, float]:
        """The figures, for JSON."""
        return asdict(self)


class Gaps:
    """Adds up the gaps between readings of a clock in nanoseconds."""

    def __init__(self, now: int) -> None:
        self._began = self._last = now
        self._longest = self._away = self._long = 0

    def read(self, now: int) -> None:
        """One more reading."""
        gap = now - self._last
        self._last = now
        if gap > GAP_NS:
            self._longest = max(self._longest, gap)
            self._away += gap
            if gap > LONG_NS:
                self._long += gap

    def summary(self) -> Noise:
        """What they come to."""
        whole = max(1, self._last - self._began)
        return Noise(whole / 1e9, self._longest / 1e6, self._away / whole, self._long / whole)


def watch(control: Pipe, core: int | None) -> None:
    """The control's whole work: read the clock until it is asked, answer, begin anew."""
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
        # Waits, without a look at the clock, until it is to watch again.
        try:
            if control.recv() is None:
                return
        except EOFError:
            return


class Control:
    """The control as its owner sees it; use it as a context, around each measurement."""

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
        """What it saw since it began; it rests from here on. The last reading where it rests already."""
        if self._watching:
            self._control.send("read")
            self.noise: Noise = self._answer()
            self._watching = False
        return self.noise

    def stop(self) -> None:
        """End it."""
        self._control.close()
        self._process.join(ANSWER_S)
        if self._process.is_alive():
            self._process.kill()
            self._process.join()

    def _answer(self) -> Any:
        if not self._control.poll(ANSWER_S):
            raise TimeoutError("the control of noise gave no answer")
        return self._control.recv()


def spare_core() -> int | None:
    """One more core than what `reserve_core` took, for a control; this process keeps off it.

    None where there are too few. To be asked once.
    """
    cores = sorted(os.sched_getaffinity(0))
    if len(cores) < 4:
        return None
    os.sched_setaffinity(0, cores[:-1])
    return cores[-1]


def stolen() -> tuple[int, int]:
    """Ticks that the host of this virtual machine gave to others, and all ticks; of all cores."""
    with open("/proc/stat", encoding="ascii") as file:
        ticks = [int(word) for word in file.readline().split()[1:9]]
    return ticks[7], sum(ticks)


def stolen_share(before: tuple[int, int], after: tuple[int, int]) -> float:
    """The share that was taken away between two readings."""
    return (after[0] - before[0]) / max(1, after[1] - before[1])
