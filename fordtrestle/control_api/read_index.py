"""One read index for all watches that need one at a time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from fordtrestle.control_api.coordination_router import CallCommand
from fordtrestle.coordination.answers import IndexRead
from fordtrestle.coordination.commands import ReadIndex

READ_INDEX_TIMEOUT_S = 0.9  # for the primary and a majority to answer


@dataclass(frozen=True, slots=True)
class _Read:
    """All that was acknowledged before it began has a sequence up to this one."""

    began_at: float
    sequence: int


class SharedReadIndex:
    """Asks the primary how far acknowledged writes go: once at a time, however many wait for it."""

    def __init__(self, call: CallCommand, now: Callable[[], float]) -> None:
        """Begin with nothing read.

        Args:
            call: Has a command carried out by the primary.
            now: Gives s of the steady clock.
        """
        self._call = call
        self._now = now
        self._newest: _Read | None = None
        self._current: asyncio.Task[int | None] | None = None
        self._next: asyncio.Task[int | None] | None = None

    async def read(self) -> int | None:
        """The sequence of a read index that was begun after this call; None where there was no answer."""
        if self._next is None:
            self._next = asyncio.create_task(self._ask_after(self._current))
        return await asyncio.shield(self._next)

    def is_fresh(self, sequence: int, lag_s: float) -> bool:
        """Whether a state up to this sequence holds all that had been acknowledged so long ago.

        Guards against a process that was cut off or stood still: what it had heard by then may reach it late,
        and says nothing of when it was sent.
        """
        newest = self._newest
        return newest is not None and newest.sequence <= sequence and self._now() - newest.began_at <= lag_s

    async def _ask_after(self, current: asyncio.Task[int | None] | None) -> int | None:
        if current is not None:
            await asyncio.wait([current])
        self._current, self._next = self._next, None  # whoever comes from here on needs another one
        began_at = self._now()
        answer = await self._call(ReadIndex(), began_at + READ_INDEX_TIMEOUT_S)
        if not isinstance(answer, IndexRead):
            return None
        self._newest = _Read(began_at, answer.sequence)
        return answer.sequence
