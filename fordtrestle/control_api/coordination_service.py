"""Executes applications' commands on the primary: locks, counters and keys.

Commands are evaluated one after another on the newest state, including writes in flight, so that many writes
can be replicated at a time. No command is answered before the state that its answer depends on is on all
replicas. A command that writes nothing also waits until a majority of witnesses, asked after it arrived, has
confirmed that this store is primary. Otherwise a store that was deposed or suspended would answer from a
stale state.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

import eliot

from fordtrestle.control_api.requests import IsCallerWaiting
from fordtrestle.coordination.answers import (
    Answer,
    NotPrimary,
    OutcomeUnknown,
    Overloaded,
    Unavailable,
)
from fordtrestle.coordination.changes import CoordinationChange, GrantLock
from fordtrestle.coordination.commands import Command
from fordtrestle.coordination.evaluation import Evaluation, EvaluationContext, evaluate
from fordtrestle.coordination.observation_clock import ObservationClock, ObservedState
from fordtrestle.peer.replicator import Replicator
from fordtrestle.replication.node import Node, PendingWrite

MAX_COMMANDS = 1024  # in flight at a time; further callers are asked to retry


@dataclass(frozen=True, slots=True)
class _ExpiredHold:
    """A hold that ended without a release, and the holder that got the lock after it."""

    lock: str
    holder: str
    next_holder: str

    def log(self) -> None:
        eliot.log_message(
            "locks:expired-hold", lock=self.lock, holder=self.holder, next_holder=self.next_holder
        )


class CoordinationService:
    """Executes applications' commands while this store is the primary.

    Attributes:
        answer_counts: How many commands got each answer, by the answer's class.
        expired_count: How many commands were not started since their callers had given them up.
    """

    def __init__(
        self, replicator: Replicator, clock: ObservationClock, is_supported: Callable[[], bool]
    ) -> None:
        """Create a service without commands in flight.

        Args:
            replicator: Drives this store.
            clock: Observes the store's state.
            is_supported: Whether all stores support these commands. Older versions accept none of their
                writes.
        """
        self.answer_counts: Counter[type] = Counter()
        self.expired_count = 0
        self._replicator = replicator
        self._node: Node = replicator.node
        self._clock = clock
        self._is_supported = is_supported
        self._in_flight = 0

    async def execute(
        self, command: Command, deadline: float, is_caller_waiting: IsCallerWaiting = lambda: True
    ) -> Answer:
        """Execute a command.

        Args:
            command: The application's command.
            deadline: When the caller stops waiting, in seconds of the steady clock. The command is not
                started after that.
            is_caller_waiting: Whether the caller is still connected; otherwise the command is not started.

        Returns:
            The answer. `OutcomeUnknown` means that the command may or may not be executed later.
            `NotPrimary`, `Unavailable` and `Overloaded` mean that it was not executed and never will be.
        """
        if self._in_flight >= MAX_COMMANDS:
            return self._count(Overloaded())
        self._in_flight += 1
        try:
            return self._count(await self._execute(command, deadline, is_caller_waiting))
        finally:
            self._in_flight -= 1

    def observe(self) -> None:
        """Observe the newest state. The earlier a grant is observed, the earlier its lock expires."""
        self._clock.observe(self._observed_state(), self._replicator.now())

    def _observed_state(self) -> ObservedState:
        durable = self._node.durable
        return ObservedState(durable.state.coordination, self._node.committed_sequence, durable.replacements)

    async def _execute(self, command: Command, deadline: float, is_caller_waiting: IsCallerWaiting) -> Answer:
        node = self._node
        await self._wait_until(lambda: node.is_ready or not node.is_primary, deadline)
        now = self._replicator.now()
        if not node.is_primary:
            return NotPrimary()
        if not node.is_ready or not self._is_supported():
            return Unavailable()
        # Between here and the evaluation no other command is evaluated, so that none can overtake this one.
        if now >= deadline or not is_caller_waiting():
            self.expired_count += 1
            return Unavailable()
        sequence = node.durable.state.sequence
        evaluation = evaluate(command, EvaluationContext(self._observed_state(), sequence, self._clock, now))
        if evaluation.change is None:
            return await self._confirm(evaluation.answer, deadline)
        return await self._write(evaluation, deadline)

    async def _write(self, evaluation: Evaluation, deadline: float) -> Answer:
        node, change = self._node, evaluation.change
        if change is None:
            return evaluation.answer
        now = self._replicator.now()
        expired = self._expired_hold(change, now)
        write = node.propose(change, now)
        if write is None:
            return Unavailable()
        if expired:
            expired.log()
        self._replicator.pump()
        await self._wait_until(lambda: self._is_decided(write), deadline)
        return evaluation.answer if node.has_committed(write) else OutcomeUnknown()

    def _expired_hold(self, change: CoordinationChange, now: float) -> _ExpiredHold | None:
        """Return the hold that a grant replaces because its lease has expired, if any."""
        if not isinstance(change, GrantLock) or self._clock.remaining_ms(change.name, now) > 0:
            return None
        lock = self._node.durable.state.coordination.locks.get(change.name)
        return _ExpiredHold(change.name, lock.holder, change.holder) if lock else None

    async def _confirm(self, answer: Answer, deadline: float) -> Answer:
        """Return an answer that needs no write once it is confirmed, or `Unavailable` if it is not."""
        node = self._node
        prerequisite = node.newest_write
        heartbeat_number = node.begin_confirmation(self._replicator.now())
        self._replicator.pump()

        def is_valid() -> bool:
            return node.is_confirmed(heartbeat_number) and node.has_committed(prerequisite)

        await self._wait_until(lambda: is_valid() or not node.is_current(prerequisite), deadline)
        return answer if is_valid() else Unavailable()

    def _is_decided(self, write: PendingWrite) -> bool:
        """Whether a write is committed, or another primary decides its outcome."""
        return self._node.has_committed(write) or not self._node.is_current(write)

    async def _wait_until(self, condition: Callable[[], bool], deadline: float) -> None:
        if not condition():
            await self._replicator.wait_until(condition, max(0.0, deadline - self._replicator.now()))

    def _count(self, answer: Answer) -> Answer:
        self.answer_counts[type(answer)] += 1
        return answer
