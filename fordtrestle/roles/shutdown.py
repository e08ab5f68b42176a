"""The shutdown of a process: named steps out of the platform's grace period, each with a time limit.

SIGKILL follows SIGTERM after the grace period. A step that takes longer than it may is cut, and logged;
whatever hangs, a thread of its own ends the process before the platform does.
"""

from __future__ import annotations

import asyncio
import os
import threading
from collections.abc import Awaitable

import eliot

EXIT_MARGIN_S = 0.5  # before the end of the grace period, by which the process has exited
MIN_STEP_S = 0.02  # that each step has, however late it is
MS_PER_S = 1000.0
EXIT_DONE = 0


class ShutdownBudget:
    """The time that a process has to shut down.

    Attributes:
        began_at: When the shutdown began, s, loop clock.
        exit_at: When it has to have exited, s, loop clock.
    """

    def __init__(self, grace_s: float) -> None:
        """Begin to count now.

        Args:
            grace_s: The platform's grace period.
        """
        self._loop = asyncio.get_running_loop()
        self.began_at = self._loop.time()
        self.exit_at = self.began_at + max(MIN_STEP_S, grace_s - EXIT_MARGIN_S)

    def remaining_s(self) -> float:
        """The time until the process has to have exited."""
        return max(0.0, self.exit_at - self._loop.time())

    def start_watchdog(self) -> None:
        """Exit once the time is over, also where the loop or a thread that it waits for hangs."""
        watchdog = threading.Timer(self.remaining_s(), os._exit, (EXIT_DONE,))
        watchdog.daemon = True
        watchdog.start()

    async def run_step(self, name: str, work: Awaitable[object], max_s: float) -> bool:
        """Do one step, and log it. What it raises ends nothing else.

        Args:
            name: Shown in the log.
            work: The step.
            max_s: What it may take, within what remains.

        Returns:
            Whether it was done.
        """
        began_at = self._loop.time()
        fault = ""
        try:
            async with asyncio.timeout(max(MIN_STEP_S, min(max_s, self.remaining_s()))):
                await work
        except TimeoutError:
            fault = "cut"
        except Exception as error:
            fault = repr(error)
        took_ms = round(MS_PER_S * (self._loop.time() - began_at))
        eliot.log_message("shutdown:step", step=name, took_ms=took_ms, fault=fault)
        return not fault
