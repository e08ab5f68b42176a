"""The watch over one process: readings taken, pressure judged, and what it asks carried out."""

from __future__ import annotations

import io
import os
import time
from collections.abc import Callable, Iterable
from typing import Protocol

from fordtrestle.proxy.engine.lag import LoopLagMeter
from fordtrestle.proxy.engine.limits import Limits
from fordtrestle.proxy.engine.log import log
from fordtrestle.proxy.engine.ports import Scheduler, TimerHandle
from fordtrestle.proxy.engine.pressure import Monitor, PressureAction, PressureChange, PressureRules

LOOK_S = 0.2
POOL_IDLE_MS = 1000.0  # under pressure a connection to a server is idle for no longer
LEVEL_STEP = 0.05  # a change of less is not worth telling the module
PAGE = os.sysconf("SC_PAGE_SIZE")


class PressedFront(Protocol):
    """A front, seen as something to press."""

    def hurry(self, on: bool) -> None:
        """Close connections at rest sooner, or as usual."""

    def pause(self) -> None:
        """Accept nothing for a moment."""

    @property
    def backlog(self) -> float:
        """How full its queue of connections not yet accepted is, as a share."""


class PressedService(Protocol):
    """A service, seen as something to press."""

    def shrink(self, idle_ms: float) -> None:
        """Close connections to servers that have been idle for so long."""

    def pressure(self, share: float) -> None:
        """Refuse such a share of the work."""

    def optional(self, allowed: bool) -> None:
        """Whether work that no request waits for may be done."""


class Overload:
    """Looks every 200 ms while anything is held, and not at all else."""

    def __init__(
        self,
        scheduler: Scheduler,
        limits: Limits,
        lag: LoopLagMeter,
        fronts: Iterable[PressedFront],
        services: Iterable[PressedService],
        memory_mb: int | None = None,
        cores: float = 1.0,
        resident: Callable[[], int] | None = None,
    ) -> None:
        self._scheduler = scheduler
        self._limits = limits
        self._lag = lag
        self._fronts = tuple(fronts)
        self._services = tuple(services)
        self._memory = None if memory_mb is None else memory_mb * 2**20
        self._cores = cores
        self._statm = Resident() if self._memory and resident is None else None
        self._resident = resident or (self._statm.read if self._statm else int)
        self._next: TimerHandle | None = None
        self._looked_at = (0.0, 0.0)  # the time, and the CPU seconds then
        self._told_level = 0.0
        self.pressure = PressureRules()

    def wake(self) -> None:
        """Something is held from now on."""
        self._lag.wake()
        if self._next is None:
            self._looked_at = (self._scheduler.time(), time.process_time())
            self._next = self._scheduler.call_later(LOOK_S, self._look)

    def close(self) -> None:
        """Look no more."""
        if self._next is not None:
            self._next.cancel()
        if self._statm is not None:
            self._statm.close()

    def readings(self) -> dict[Monitor, float]:
        """What the monitors say now."""
        now, used = self._scheduler.time(), time.process_time()
        since, used_then = self._looked_at
        self._looked_at = (now, used)
        readings = {
            Monitor.DESCRIPTORS: self._limits.descriptors.utilization,
            Monitor.BUFFERED: _share(self._limits.buffered.used, self._limits.buffered.capacity),
            Monitor.CALLS: _share(self._limits.calls.used, self._limits.calls.capacity),
            Monitor.LAG: self._lag.mean_ms,
            Monitor.BACKLOG: max((front.backlog for front in self._fronts), default=0.0),
        }
        if now > since:
            readings[Monitor.CPU] = (used - used_then) / (now - since) / self._cores
        if self._memory is not None:
            readings[Monitor.MEMORY] = _share(self._resident(), self._memory)
        return readings

    def _look(self) -> None:
        self._next = None
        for change in self.pressure.update(self._scheduler.time() * 1000.0, self.readings()):
            log(_line(change))
            self._switch(change)
        self._press()
        self._limits.reclaim_excess()
        if self._limits.descriptors.used or self._limits.calls.used or self.pressing:
            self._next = self._scheduler.call_later(LOOK_S, self._look)

    @property
    def pressing(self) -> bool:
        """Whether any action is on."""
        return any(self.pressure.is_on(action) for action in PressureAction)

    def _switch(self, change: PressureChange) -> None:
        if change.action is PressureAction.SHORTEN_IDLE:
            for front in self._fronts:
                front.hurry(change.is_on)
        elif change.action is PressureAction.STOP_OPTIONAL:
            for service in self._services:
                service.optional(not change.is_on)

    def _press(self) -> None:
        """What goes on for as long as an action is on."""
        if self.pressure.is_on(PressureAction.SHRINK_POOLS):
            for service in self._services:
                service.shrink(POOL_IDLE_MS)
        if self.pressure.is_on(PressureAction.PAUSE_ACCEPTING):
            for front in self._fronts:
                front.pause()
        level = self.pressure.level(PressureAction.REFUSE_BY_WORTH)
        if abs(level - self._told_level) >= LEVEL_STEP or (level == 0.0) != (self._told_level == 0.0):
            self._told_level = level
            for service in self._services:
                service.pressure(level)


def _line(change: PressureChange) -> str:
    """What on-call staff read: once when an action goes on, and once when it is over."""
    if change.is_on:
        return f"pressure: {change.action.value}: {change.cause}"
    return (
        f"pressure: no more: {change.action.value}: {change.cause}, after {change.lasted_ms / 1000.0:.1f} s"
    )


def _share(held: float, capacity: float) -> float:
    return held / capacity if capacity > 0 else 0.0


class Resident:
    """Bytes of memory that are resident (proc(5), statm). The file stays open: guards against going blind
    just when no descriptor is to be had. Where there is no such file memory does not press.
    """

    def __init__(self, path: str = "/proc/self/statm") -> None:
        self._file: io.FileIO | None
        try:
            self._file = open(path, "rb", buffering=0)  # noqa: SIM115
        except OSError as error:
            log(f"resident memory is not watched: {path}: {error.strerror}")
            self._file = None

    def read(self) -> int:
        """The figure now; 0 where it can't be read."""
        if self._file is None:
            return 0
        try:
            self._file.seek(0)
            return int(self._file.read(200).split()[1]) * PAGE
        except (OSError, ValueError, IndexError):
            return 0

    def close(self) -> None:
        """Read no more."""
        if self._file is not None:
            self._file.close()
            self._file = None
