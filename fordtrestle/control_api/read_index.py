"""One read index for all watches that need one at a time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from fordtrestle.control_api.coordination_router import CallCommand
from fordtrestle.coordination.answers import IndexRead
from fordtrestle.coordination.commands import ReadIndex

READ_INDEX_TIMEOUT_S = 0.9  # for the primary and a majority to answer


class SharedReadIndex:
    """Asks the primary how far acknowledged writes go: once at a time, however many wait for it."""

    def __init__(self, call: CallCommand, now: Callable[[], float]) -> None:
        self._call = call
        self._now = now
        self._current: asyncio.Task[int | None] | None = None
        self._next: asyncio.Task[int | None] | None = None

    async def read(self) -> int | None:
        """The sequence of a read index that was begun after this call; None where there was no answer."""
        if self._next is None:
            self._next = asyncio.create_task(self._ask_after(self._current))
        return await asyncio.shield(self._next)

    async def _ask_after(self, current: asyncio.Task[int | None] | None) -> int | None:
        if current is not None:
            await asyncio.wait([current])
        self._current, self._next = self._next, None  # whoever comes from here on needs another one
        answer = await self._call(ReadIndex(), self._now() + READ_INDEX_TIMEOUT_S)
        return answer.sequence if isinstance(answer, IndexRead) else None
