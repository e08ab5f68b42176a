"""The event loop of a process that has to know how long requests may have waited before it read them."""

from __future__ import annotations

import asyncio
import selectors
import time

from fordtrestle.control_api.arrival_times import PollTimes


class _RecordingSelector(selectors.DefaultSelector):
    """A selector that records when each poll begins."""

    def __init__(self) -> None:
        super().__init__()
        self.poll_times = PollTimes(time.monotonic())

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        self.poll_times.record(time.monotonic())
        return super().select(timeout)


class RecordingEventLoop(asyncio.SelectorEventLoop):
    """An event loop that records its polls.

    Attributes:
        poll_times: When the newest polls began, in seconds of this loop's clock.
    """

    def __init__(self) -> None:
        """Create a loop that does not run yet."""
        selector = _RecordingSelector()
        super().__init__(selector)
        self.poll_times = selector.poll_times
