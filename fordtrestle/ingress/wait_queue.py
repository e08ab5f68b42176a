"""Requests that wait for a configuration or for a usable server, bounded in number and time."""

from __future__ import annotations

import asyncio

RECHECK_INTERVAL_S = 0.1  # some reasons to wait end by time alone, so that no event announces it
MAX_WAITING = 256


class WaitQueue:
    """All waiting requests of one sidecar."""

    def __init__(self) -> None:
        """Begin with nothing that waits."""
        self._changed = asyncio.Event()
        self._count = 0

    def wake_all(self) -> None:
        """Let all waiting requests look again: something has changed that they may wait for."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait(self) -> bool:
        """Wait until something may have changed.

        Returns:
            Whether the request could wait; where too many do, the call returns at once.
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
