"""The shutdown of a process: named steps with time limits, within the platform's grace period.

The platform sends SIGKILL when the grace period after SIGTERM is over. A step that exceeds its limit is
cancelled and logged. If anything hangs, a watchdog thread ends the process before the platform does.
"""

from __future__ import annotations

import asyncio
import os
import threading
from collections.abc import Awaitable

import eliot

EXIT_MARGIN_S = 0.5  # the process exits this long before the end of the grace period
# After a stall that may have used up the grace period: time to answer open requests, in case it has not.
MIN_SHUTDOWN_S = 1.0
MIN_STEP_S = 0.02  # minimum time limit of a step, even if the budget is used up
MS_PER_S = 1000.0
EXIT_DONE = 0


class ShutdownBudget:
    """Tracks the time that a process has to shut down.

    Attributes:
        started_at: When the shutdown started, in seconds, loop clock.
        exit_at: When the process has to exit, in seconds, loop clock.
    """

    def __init__(self, grace_s: float, started_at: float | None = None) -> None:
        """Start the grace period.

        Args:
            grace_s: The platform's grace period, in seconds.
            started_at: The earliest time at which it may have begun, in seconds of the loop's clock; `None`
                if it begins now.
        """
        self._loop = asyncio.get_running_loop()
        now = self._loop.time()
        self.started_at = now if started_at is None else started_at
        duration_s = max(MIN_STEP_S, grace_s - EXIT_MARGIN_S)
        self.exit_at = max(self.started_at + duration_s, now + min(duration_s, MIN_SHUTDOWN_S))

    def remaining_s(self) -> float:
        """Return the time until the process has to exit, in seconds."""
        return max(0.0, self.exit_at - self._loop.time())

    def start_watchdog(self) -> None:
        """Exit when the budget is used up, even if the loop or a thread that it waits for hangs."""
        watchdog = threading.Timer(self.remaining_s(), os._exit, (EXIT_DONE,))
        watchdog.daemon = True
        watchdog.start()

    async def run_step(self, name: str, work: Awaitable[object], max_s: float) -> bool:
        """Run one step and log it; an exception in it does not prevent further steps.

        Args:
            name: The name of the step in the log.
            work: The step.
            max_s: The time limit in seconds, within the remaining budget.

        Returns:
            Whether the step completed.
        """
        started_at = self._loop.time()
        fault = ""
        try:
            async with asyncio.timeout(max(MIN_STEP_S, min(max_s, self.remaining_s()))):
                await work
        except TimeoutError:
            fault = "cut"
        except Exception as error:
            fault = repr(error)
        took_ms = round(MS_PER_S * (self._loop.time() - started_at))
        eliot.log_message("shutdown:step", step=name, took_ms=took_ms, fault=fault)
        return not fault
