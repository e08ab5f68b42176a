"""Detects overload of the process: takes readings, applies the rules, and performs their actions."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from typing import Protocol

from fordtrestle.proxy.daemon.resident_memory import ResidentMemory
from fordtrestle.proxy.engine.lag import LoopLagMeter
from fordtrestle.proxy.engine.log import log
from fordtrestle.proxy.engine.ports import Scheduler, TimerHandle
from fordtrestle.proxy.engine.pressure import Monitor, PressureAction, PressureChange, PressureRules
from fordtrestle.resources.quotas import Limits

CHECK_INTERVAL_S = 0.2  # memory and queues fill over seconds
POOL_IDLE_MS = 1000.0  # under pressure, connections to servers that were idle for longer are closed
MIN_LEVEL_CHANGE = 0.05  # smaller changes are not reported to the decision module


class ServerControls(Protocol):
    """The controls of an HTTP server that are used under pressure."""

    def shorten_idle_timeouts(self, on: bool) -> None:
        """Close idle connections after a shorter time, or after the usual one."""

    def pause(self) -> None:
        """Accept no connections for a moment."""

    @property
    def backlog(self) -> float:
        """The fill level of its queue of connections that are not yet accepted, from 0 to 1."""


class ServiceControls(Protocol):
    """The controls of a service that are used under pressure."""

    def shrink(self, idle_ms: float) -> None:
        """Close connections to servers that have been idle for at least `idle_ms`."""

    def pressure(self, share: float) -> None:
        """Reject this share of the work."""

    def allow_optional_work(self, allowed: bool) -> None:
        """Allow or forbid work that no request waits for."""


class OverloadMonitor:
    """Checks the process every 200 ms while it has open connections or calls; otherwise no timer is set.

    Attributes:
        pressure: The rules, which know which actions are on.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        limits: Limits,
        lag: LoopLagMeter,
        fronts: Iterable[ServerControls],
        services: Iterable[ServiceControls],
        memory_mb: int | None = None,
        cores: float = 1.0,
        resident: Callable[[], int] | None = None,
    ) -> None:
        """Create a monitor that does nothing until `wake` is called.

        Args:
            scheduler: Provides the time and the timer.
            limits: The quotas of the process.
            lag: Measures the lag of the event loop; started by `wake`, too.
            fronts: The HTTP servers.
            services: The services.
            memory_mb: Resident memory (2^20 bytes) at which the process would be killed; None if unbounded.
            cores: CPU cores that the process may use.
            resident: Returns the resident memory in bytes; None for that of this process.
        """
        self._scheduler = scheduler
        self._limits = limits
        self._lag = lag
        self._fronts = tuple(fronts)
        self._services = tuple(services)
        self._max_memory_bytes = None if memory_mb is None else memory_mb * 2**20
        self._cores = cores
        self._resident_memory = ResidentMemory() if self._max_memory_bytes and resident is None else None
        self._resident = resident or (self._resident_memory.read if self._resident_memory else int)
        self._timer: TimerHandle | None = None
        # The scheduler's time and the CPU time of this process at the last readings, in seconds.
        self._read_at_s = 0.0
        self._cpu_s = 0.0
        self._reported_level = 0.0
        self.pressure = PressureRules()

    def wake(self) -> None:
        """Start the periodic checks, unless they are running; called when something opens."""
        self._lag.wake()
        if self._timer is None:
            self._read_at_s, self._cpu_s = self._scheduler.time(), time.process_time()
            self._timer = self._scheduler.call_later(CHECK_INTERVAL_S, self._check)

    def close(self) -> None:
        """Stop the periodic checks."""
        if self._timer is not None:
            self._timer.cancel()
        if self._resident_memory is not None:
            self._resident_memory.close()

    def readings(self) -> dict[Monitor, float]:
        """Return the current reading of each monitor; the CPU's covers the time since the last readings."""
        now_s, cpu_s = self._scheduler.time(), time.process_time()
        elapsed_s, used_s = now_s - self._read_at_s, cpu_s - self._cpu_s
        self._read_at_s, self._cpu_s = now_s, cpu_s
        readings = {
            Monitor.DESCRIPTORS: self._limits.descriptors.utilization,
            Monitor.BUFFERED: _share(self._limits.buffered.used, self._limits.buffered.capacity),
            Monitor.CALLS: _share(self._limits.calls.used, self._limits.calls.capacity),
            Monitor.LAG: self._lag.mean_ms,
            Monitor.BACKLOG: max((front.backlog for front in self._fronts), default=0.0),
        }
        if elapsed_s > 0.0:
            readings[Monitor.CPU] = used_s / elapsed_s / self._cores
        if self._max_memory_bytes is not None:
            readings[Monitor.MEMORY] = _share(self._resident(), self._max_memory_bytes)
        return readings

    def _check(self) -> None:
        self._timer = None
        for change in self.pressure.update(self._scheduler.time() * 1000.0, self.readings()):
            log(_log_line(change))
            self._switch(change)
        self._act()
        self._limits.reclaim_excess()
        if self._limits.descriptors.used or self._limits.calls.used or self.is_under_pressure:
            self._timer = self._scheduler.call_later(CHECK_INTERVAL_S, self._check)

    @property
    def is_under_pressure(self) -> bool:
        """Whether any action is on."""
        return any(self.pressure.is_on(action) for action in PressureAction)

    def _switch(self, change: PressureChange) -> None:
        """Perform an action that takes effect once when it goes on, and is undone when it goes off."""
        if change.action is PressureAction.SHORTEN_IDLE:
            for front in self._fronts:
                front.shorten_idle_timeouts(change.is_on)
        elif change.action is PressureAction.STOP_OPTIONAL:
            for service in self._services:
                service.allow_optional_work(not change.is_on)

    def _act(self) -> None:
        """Perform the actions that are repeated at each check while they are on."""
        if self.pressure.is_on(PressureAction.SHRINK_POOLS):
            for service in self._services:
                service.shrink(POOL_IDLE_MS)
        if self.pressure.is_on(PressureAction.PAUSE_ACCEPTING):
            for front in self._fronts:
                front.pause()
        level = self.pressure.level(PressureAction.REFUSE_BY_WORTH)
        # A level that becomes or leaves 0 is reported however small the change is: otherwise the decision
        # module would go on rejecting work.
        has_switched = (level == 0.0) != (self._reported_level == 0.0)
        if has_switched or abs(level - self._reported_level) >= MIN_LEVEL_CHANGE:
            self._reported_level = level
            for service in self._services:
                service.pressure(level)


def _log_line(change: PressureChange) -> str:
    """Return the log line for an action that goes on or off."""
    if change.is_on:
        return f"pressure: {change.action.value}: {change.cause}"
    return (
        f"pressure: no more: {change.action.value}: {change.cause}, after {change.lasted_ms / 1000.0:.1f} s"
    )


def _share(used: float, capacity: float) -> float:
    return used / capacity if capacity > 0 else 0.0
