"""The end of a process: named steps out of the platform's grace, each with a deadline, and one for all.

SIGKILL follows SIGTERM after the grace. A step that takes longer than it may is cut, and told; whatever
hangs, a thread of its own ends the process before the platform does.
"""

from __future__ import annotations

import asyncio
import os
import threading
from collections.abc import Awaitable

import eliot

MARGIN_S = 0.5  # of the grace, that the process is gone before
LEAST_S = 0.02  # that each step has, however late it is
MS_PER_S = 1000.0
EXIT_DONE = 0


class Ending:
    """The time that is left from now, when the process was told to end."""

    def __init__(self, grace_s: float) -> None:
        self._loop = asyncio.get_running_loop()
        self.began = self._loop.time()
        self.last = self.began + max(LEAST_S, grace_s - MARGIN_S)  # s, loop clock: the process is gone

    def left_s(self) -> float:
        """The time until the process has to be gone."""
        return max(0.0, self.last - self._loop.time())

    def exit_at_last(self) -> None:
        """End the process once its time is over, also where its loop or a thread of it hangs."""
        last_resort = threading.Timer(self.left_s(), os._exit, (EXIT_DONE,))
        last_resort.daemon = True
        last_resort.start()

    async def step(self, name: str, work: Awaitable[object], most_s: float) -> bool:
        """Do one step within `most_s` and what is left; whether it was done. Its fault ends nothing else."""
        began = self._loop.time()
        fault = ""
        try:
            async with asyncio.timeout(max(LEAST_S, min(most_s, self.left_s()))):
                await work
        except TimeoutError:
            fault = "cut"
        except Exception as error:
            fault = repr(error)
        took_ms = round(MS_PER_S * (self._loop.time() - began))
        eliot.log_message("ending:step", step=name, took_ms=took_ms, fault=fault)
        return not fault
