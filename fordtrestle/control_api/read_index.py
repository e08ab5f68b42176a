"""Requests one read index for all watches that wait for one."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from fordtrestle.control_api.coordination_router import CallCommand
from fordtrestle.coordination.answers import IndexRead
from fordtrestle.coordination.commands import ReadIndex

READ_INDEX_TIMEOUT_S = 0.9  # for the answers of the primary and of a majority


@dataclass(frozen=True, slots=True)
class _CompletedRead:
    """A completed read: every write acknowledged before it began has this sequence or a lower one."""

    began_at: float
    sequence: int


class SharedReadIndex:
    """Asks the primary for the read index, with one request at a time for all callers.

    The read index is the highest sequence of a write that may have been acknowledged.
    """

    def __init__(self, call: CallCommand, now: Callable[[], float]) -> None:
        """Create a reader that has read nothing yet.

        Args:
            call: Has the primary execute a command.
            now: Returns the time, in seconds of the steady clock.
        """
        self._call = call
        self._now = now
        self._newest: _CompletedRead | None = None
        self._current: asyncio.Task[int | None] | None = None
        self._next: asyncio.Task[int | None] | None = None

    async def read(self) -> int | None:
        """Return the sequence of a read index requested after this call; None if there is no answer."""
        if self._next is None:
            self._next = asyncio.create_task(self._read_after(self._current))
        return await asyncio.shield(self._next)

    def is_fresh(self, sequence: int, lag_s: float) -> bool:
        """Whether a state up to this sequence holds all writes acknowledged more than `lag_s` seconds ago.

        Guards against a process that was partitioned or suspended: messages may reach it late, and they do
        not tell when they were sent.
        """
        newest = self._newest
        return newest is not None and newest.sequence <= sequence and self._now() - newest.began_at <= lag_s

    async def _read_after(self, current: asyncio.Task[int | None] | None) -> int | None:
        if current is not None:
            await asyncio.wait([current])
        self._current, self._next = self._next, None  # later callers need another read
        began_at = self._now()
        answer = await self._call(ReadIndex(), began_at + READ_INDEX_TIMEOUT_S)
        if not isinstance(answer, IndexRead):
            return None
        self._newest = _CompletedRead(began_at, answer.sequence)
        return answer.sequence
