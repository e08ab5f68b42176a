"""Queues requests until there is a configuration and a usable server, with limits on number and time."""

from __future__ import annotations

import asyncio

RECHECK_INTERVAL_S = 0.1  # some reasons to wait expire by time alone, without a notification
MAX_WAITING = 256


class WaitQueue:
    """The queue of all waiting requests of one sidecar."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self._changed = asyncio.Event()
        self._count = 0

    def wake_all(self) -> None:
        """Wake all waiting requests after a change that they may be waiting for."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait(self) -> bool:
        """Wait for a change, for at most `RECHECK_INTERVAL_S`.

        Returns:
            Whether the request was queued; false, without a wait, if the queue is full.
        """
        if self._count >= MAX_WAITING:
            return False
        self._count += 1
        try:
            async with asyncio.timeout(RECHECK_INTERVAL_S):
                await self._changed.wait()
        except TimeoutError:
            pass
        finally:
            self._count -= 1
        return True
