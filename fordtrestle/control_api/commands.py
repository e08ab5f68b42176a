"""Carries out operators' commands on the primary.

Writes are serialized: each is evaluated on the newest committed state, and only while its caller waits for
it. No command is answered before a majority of witnesses, asked after the call came, has confirmed that this
store is primary: acknowledgements, refusals and reads alike. A store that was deposed and has not noticed yet
would otherwise answer from an old state.
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

# For a write to reach all replicas, an epoch change in between included, which takes some 2 s.
COMMIT_TIMEOUT_S = 5.0

# Callers try another process after a second without an answer (PROTOCOL: the operator's API). An evacuation
# builds on no generation, so one that has waited for longer might undo what came after it.
EVACUATION_DEADLINE_S = 0.9

# Commands at a time, each with a body in memory; a caller beyond them is asked to come back.
MAX_WAITING_COMMANDS = 64

# Documents up to this length, request and state together, are evaluated on the event loop. Longer ones go to
# a thread: checking them takes longer than a primary may leave out heartbeats.
MAX_INLINE_BYTES = 64 * 1024


@dataclass(frozen=True, slots=True)
class _CommittedState:
    """A state that is on all replicas, and the write that led to it."""

    state: ControlState
    write: PendingWrite


class CommandHandler:
    """Carries out commands on this store as far as it is the primary."""

    def __init__(self, replicator: Replicator) -> None:
        self._replicator = replicator
        self._node = replicator.node
        self._write_lock = asyncio.Lock()
        self._waiting = 0  # commands that hold the lock or wait for it

    async def change_config(self, request: ConfigRequest) -> CommandResult:
        """Put a configuration in force, or change named items of it.

        Args:
            request: The operator's call.

        Returns:
            `DONE` once the change is on all replicas (also where it was before), `STALE` or `INVALID` where
            a majority has confirmed what that rests on, `NOT_PRIMARY`, or `UNKNOWN` where the caller has to
            ask again.
        """
        return await self._serialized(request.is_caller_waiting, partial(self._change_config, request))

    async def evacuate(self, request: EvacuationRequest) -> CommandResult:
        """Empty a zone or take it back.

        Args:
            request: The operator's call.

        Returns:
            `DONE` once it is on all replicas (also where it was before), `NOT_PRIMARY`, or `UNKNOWN` where
            the caller has to ask again.
        """
        deadline = self._replicator.now() + EVACUATION_DEADLINE_S
        return await self._serialized(request.is_caller_waiting, partial(self._evacuate, request, deadline))

    async def read_config(self) -> CommandResult:
        """The newest configuration, confirmed by a majority after the call came.

        The confirmation comes before the state is looked at: a write that was acknowledged elsewhere before
        the call came is in the state of whoever is still primary after it, and a deposed primary learns here
        that it is none.
        """
        if not self._node.is_primary:
            return CommandResult(CommandStatus.NOT_PRIMARY)
        if not await self._confirm_leadership():
            return self._not_done()
        newest = await self._committed_state()
        if newest is None:
            return self._not_done()
        return CommandResult(CommandStatus.DONE, document=newest.state.document)

    async def _change_config(self, request: ConfigRequest, newest: _CommittedState) -> CommandResult:
        evaluated = await self._evaluate(request, newest.state)
        if isinstance(evaluated, ConfigChange):
            # The caller may have tried another process meanwhile, and sent something newer there.
            return await self._write(evaluated, newest) if request.is_caller_waiting() else self._not_done()
        return evaluated if await self._confirm_leadership() else self._not_done()

    @staticmethod
    async def _evaluate(request: ConfigRequest, state: ControlState) -> CommandResult | ConfigChange:
        if len(request.body) + len(state.document) > MAX_INLINE_BYTES:
            return await asyncio.to_thread(evaluate, request, state)
        return evaluate(request, state)

    async def _evacuate(
        self, request: EvacuationRequest, deadline: float, newest: _CommittedState
    ) -> CommandResult:
        # Confirmed also before a write: a process that stood still with this call in its queue reads during
        # the round trip that its caller has disconnected.
        if not await self._confirm_leadership():
            return self._not_done()
        if (request.zone in newest.state.evacuated) == request.active:
            return CommandResult(CommandStatus.DONE)
        if not request.is_caller_waiting() or self._replicator.now() > deadline:
            return self._not_done()
        return await self._write(Evacuation(request.zone, request.active), newest)

    async def _serialized(
        self,
        is_caller_waiting: IsCallerWaiting,
        execute: Callable[[_CommittedState], Awaitable[CommandResult]],
    ) -> CommandResult:
        """Execute a command on the newest state once all commands before it are through.

        A command whose caller disconnects before its turn is not executed: the caller may have sent it to
        another process, and something newer after it.
        """
        if not self._node.is_primary:
            return CommandResult(CommandStatus.NOT_PRIMARY)
        if self._waiting >= MAX_WAITING_COMMANDS:
            return CommandResult(CommandStatus.UNKNOWN)
        try:
            async with self._turn():
                newest = await self._committed_state() if is_caller_waiting() else None
                return await execute(newest) if newest else self._not_done()
        except TimeoutError:
            return CommandResult(CommandStatus.UNKNOWN)

    @contextlib.asynccontextmanager
    async def _turn(self) -> AsyncIterator[None]:
        """Hold the write lock. Raises `TimeoutError` where it is not free in time."""
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
        """The newest state, once all of it is on all replicas; nothing where that takes too long.

        Applications write meanwhile. That changes nothing of what operators' commands are evaluated on.
        """
        node = self._node
        await self._replicator.wait_until(lambda: node.is_ready or not node.is_primary, COMMIT_TIMEOUT_S)
        newest = _CommittedState(node.durable.state, node.newest_write)
        await self._wait_for_commit(newest.write)
        return newest if node.is_ready and node.has_committed(newest.write) else None

    async def _confirm_leadership(self) -> bool:
        return await confirm_leadership(self._replicator)

    async def _write(self, change: Change, evaluated_on: _CommittedState) -> CommandResult:
        """Write a change, unless another store may have written since the state that it was evaluated on.

        While a long document was evaluated in a thread, this store may have been deposed, and be primary
        again with what another store wrote meanwhile.
        """
        node = self._node
        if not node.is_current(evaluated_on.write):
            return self._not_done()
        write = node.propose(change, self._replicator.now())
        if write is None:
            return self._not_done()
        self._replicator.pump()
        await self._wait_for_commit(write)
        return CommandResult(CommandStatus.DONE) if node.has_committed(write) else self._not_done()

    async def _wait_for_commit(self, write: PendingWrite) -> None:
        """Wait until a write is on all replicas, another store decides about it, or time is over."""
        node = self._node
        await self._replicator.wait_until(
            lambda: node.has_committed(write) or not node.is_current(write), COMMIT_TIMEOUT_S
        )

    def _not_done(self) -> CommandResult:
        """The result of a command that this store could not carry through."""
        is_primary = self._node.is_primary
        return CommandResult(CommandStatus.UNKNOWN if is_primary else CommandStatus.NOT_PRIMARY)
