"""Keeps a SIGTERM that arrives while a process loads its libraries until the process can handle it.

Clients may already wait at the early listener. A process that ended at once would reset their connections.
Imports only what a process needs at the very start.
"""

from __future__ import annotations

import os
import signal
import time
from collections.abc import Callable
from types import FrameType

EXIT_DONE = 0  # being stopped during start-up is not a failure
MAX_KEPT_S = 2.5  # after which a process that still loads its libraries exits


class EarlySigterm:
    """The first SIGTERM during the start of this process.

    Attributes:
        received_at: When it was received, in seconds of the monotonic clock, which asyncio uses too; `None`
            if there was none.
        on_overdue: Called before the process exits because it did not finish loading in time.
    """

    def __init__(self) -> None:
        """Create a record of a signal that has not been received."""
        self.received_at: float | None = None
        self.on_overdue: Callable[[], None] = lambda: None

    def install(self) -> None:
        """Keep SIGTERM from now on, and exit after `MAX_KEPT_S`."""
        signal.signal(signal.SIGALRM, self._exit)
        signal.signal(signal.SIGTERM, self._receive)

    def release(self) -> None:
        """Do not exit after `MAX_KEPT_S`: the process handles the signal now."""
        signal.setitimer(signal.ITIMER_REAL, 0.0)

    def _receive(self, signal_number: int, frame: FrameType | None) -> None:
        if self.received_at is None:
            self.received_at = time.monotonic()
            signal.setitimer(signal.ITIMER_REAL, MAX_KEPT_S)

    def _exit(self, signal_number: int, frame: FrameType | None) -> None:
        try:
            self.on_overdue()
        finally:
            os._exit(EXIT_DONE)
