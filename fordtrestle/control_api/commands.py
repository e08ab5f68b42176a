"""Executes operators' commands on the primary.

Writes are serialized: each is evaluated on the newest committed state, and only while its caller is still
connected. No command is acknowledged, rejected or answered with a document before a majority of witnesses,
asked after the call arrived, has confirmed that this store is primary. Otherwise a store that was deposed and
has not noticed it yet would answer from a stale state.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass
from functools import partial

from fordtrestle.control_api.evaluation import evaluate
from fordtrestle.control_api.leadership_confirmation import confirm_leadership
from fordtrestle.control_api.requests import (
    CommandResult,
    CommandStatus,
    ConfigRequest,
    EvacuationRequest,
    IsCallerWaiting,
)
from fordtrestle.peer.replicator import Replicator
from fordtrestle.replication.node import PendingWrite
from fordtrestle.replication.state import Change, ConfigChange, ControlState, Evacuation

# Time limit for a write to reach all replicas. It leaves room for one epoch change, which takes about 2 s.
COMMIT_TIMEOUT_S = 5.0

# Commands that run or wait at a time, each with its body in memory. Further callers are asked to retry.
MAX_WAITING_COMMANDS = 64

# Total length of the request and the stored document up to which a request is evaluated on the event loop.
# Longer ones are evaluated in a thread: they would block the loop for longer than a primary may go without
# sending heartbeats.
MAX_INLINE_BYTES = 64 * 1024


@dataclass(frozen=True, slots=True)
class _CommittedState:
    """A state that all replicas hold, and the newest write in it."""

    state: ControlState
    write: PendingWrite


class CommandHandler:
    """Executes operators' commands while this store is the primary."""

    def __init__(self, replicator: Replicator) -> None:
        self._replicator = replicator
        self._node = replicator.node
        self._write_lock = asyncio.Lock()
        self._waiting = 0  # commands that hold the write lock or wait for it

    async def change_config(self, request: ConfigRequest) -> CommandResult:
        """Replace the configuration, or change named rows of it.

        Args:
            request: The operator's call.

        Returns:
            `DONE` once the change is on all replicas, also if it was there already; `STALE` or `INVALID` once
            a majority has confirmed that this store was primary when it rejected the request; `NOT_PRIMARY`;
            or `UNKNOWN` if the caller has to send the request again.
        """
        return await self._serialized(request.is_caller_waiting, partial(self._change_config, request))

    async def evacuate(self, request: EvacuationRequest) -> CommandResult:
        """Evacuate a zone, or end its evacuation.

        Args:
            request: The operator's call.

        Returns:
            `DONE` once the change is on all replicas, also if it was there already; `NOT_PRIMARY`; or
            `UNKNOWN` if the caller has to send the request again.
        """
        return await self._serialized(request.is_caller_waiting, partial(self._evacuate, request))

    async def read_config(self) -> CommandResult:
        """Return the newest configuration, once a majority has confirmed that this store is primary.

        The state is read only after the confirmation. A store that is still primary then holds every write
        that any store acknowledged before the call arrived, and a deposed primary learns that it was deposed.

        Returns:
            `DONE` with the document, `NOT_PRIMARY`, or `UNKNOWN` if the caller has to ask again.
        """
        if not self._node.is_primary:
            return CommandResult(CommandStatus.NOT_PRIMARY)
        if not await self._confirm_leadership():
            return self._failure()
        committed = await self._committed_state()
        if committed is None:
            return self._failure()
        return CommandResult(CommandStatus.DONE, document=committed.state.document)

    async def _change_config(self, request: ConfigRequest, committed: _CommittedState) -> CommandResult:
        outcome = await self._evaluate(request, committed.state)
        if isinstance(outcome, ConfigChange):
            # A caller that has disconnected may have sent this request and a newer one to another process.
            return await self._write(outcome, committed) if request.is_caller_waiting() else self._failure()
        return outcome if await self._confirm_leadership() else self._failure()

    @staticmethod
    async def _evaluate(request: ConfigRequest, state: ControlState) -> CommandResult | ConfigChange:
        if len(request.body) + len(state.document) > MAX_INLINE_BYTES:
            return await asyncio.to_thread(evaluate, request, state)
        return evaluate(request, state)

    async def _evacuate(self, request: EvacuationRequest, committed: _CommittedState) -> CommandResult:
        if not await self._confirm_leadership():
            return self._failure()
        if (request.zone in committed.state.evacuated) == request.active:
            return CommandResult(CommandStatus.DONE)
        if not request.is_caller_waiting() or self._replicator.now() >= request.deadline:
            return self._failure()
        return await self._write(Evacuation(request.zone, request.active), committed)

    async def _serialized(
        self,
        is_caller_waiting: IsCallerWaiting,
        execute: Callable[[_CommittedState], Awaitable[CommandResult]],
    ) -> CommandResult:
        """Execute a command on the newest state once all earlier commands are finished.

        A command is not executed if its caller disconnects while it waits: the caller may have sent it to
        another process, followed by a newer command.
        """
        if not self._node.is_primary:
            return CommandResult(CommandStatus.NOT_PRIMARY)
        if self._waiting >= MAX_WAITING_COMMANDS:
            return CommandResult(CommandStatus.UNKNOWN)
        try:
            async with self._hold_write_lock():
                committed = await self._committed_state() if is_caller_waiting() else None
                return await execute(committed) if committed else self._failure()
        except TimeoutError:
            return CommandResult(CommandStatus.UNKNOWN)

    @contextlib.asynccontextmanager
    async def _hold_write_lock(self) -> AsyncIterator[None]:
        """Hold the write lock.

        Raises:
            TimeoutError: The lock was not free in time.
        """
        self._waiting += 1
        try:
            async with asyncio.timeout(COMMIT_TIMEOUT_S):
                await self._write_lock.acquire()
            try:
                yield
            finally:
                self._write_lock.release()
        finally:
            self._waiting -= 1

    async def _committed_state(self) -> _CommittedState | None:
        """Return the newest state once all of it is on all replicas, or None if that takes too long.

        Applications may write in the meantime. Their writes change nothing that operators' commands are
        evaluated on.
        """
        node = self._node
        await self._replicator.wait_until(lambda: node.is_ready or not node.is_primary, COMMIT_TIMEOUT_S)
        committed = _CommittedState(node.durable.state, node.newest_write)
        await self._wait_for_commit(committed.write)
        return committed if node.is_ready and node.has_committed(committed.write) else None

    async def _confirm_leadership(self) -> bool:
        return await confirm_leadership(self._replicator)

    async def _write(self, change: Change, evaluated_on: _CommittedState) -> CommandResult:
        """Write a change, unless another store may have written after the state it was evaluated on.

        While a long document is evaluated in a thread, this store may be deposed and become primary again,
        with writes that another primary made in between.
        """
        node = self._node
        if not node.is_current(evaluated_on.write):
            return self._failure()
        write = node.propose(change, self._replicator.now())
        if write is None:
            return self._failure()
        self._replicator.pump()
        await self._wait_for_commit(write)
        return CommandResult(CommandStatus.DONE) if node.has_committed(write) else self._failure()

    async def _wait_for_commit(self, write: PendingWrite) -> None:
        """Wait until a write is on all replicas, another store decides its outcome, or the wait times out."""
        node = self._node
        await self._replicator.wait_until(
            lambda: node.has_committed(write) or not node.is_current(write), COMMIT_TIMEOUT_S
        )

    def _failure(self) -> CommandResult:
        """Return the result of a command that this store could not complete."""
        is_primary = self._node.is_primary
        return CommandResult(CommandStatus.UNKNOWN if is_primary else CommandStatus.NOT_PRIMARY)
