"""Requests that wait for a configuration or for a server that may take them, bounded in number and time."""

from __future__ import annotations

import asyncio

STEP_S = 0.1  # after which a request looks again at the latest: some reasons to wait end by time alone
WAITING_MOST = 256


class Waiting:
    """All waiting requests of one sidecar."""

    def __init__(self) -> None:
        self._news = asyncio.Event()
        self._count = 0

    def wake(self) -> None:
        """Something has changed that requests may wait for."""
        self._news.set()
        self._news = asyncio.Event()

    async def wait(self) -> bool:
        """Wait until it is worth looking again; whether there was room to wait."""
        if self._count >= WAITING_MOST:
            return False
        self._count += 1
        try:
            async with asyncio.timeout(STEP_S):
                await self._news.wait()
        except TimeoutError:
            pass
        finally:
            self._count -= 1
        return True
