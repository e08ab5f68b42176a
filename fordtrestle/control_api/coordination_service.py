"""Carries out applications' commands on the primary: locks, counters and keys.

Commands are evaluated one after the other on the newest state, writes under way included, so that many can be
replicated at a time. None is answered before what its answer rests on is on all replicas; one that writes
nothing waits besides until a majority of witnesses, asked after it came, has confirmed that this store is
primary. A store that was deposed or stood still would otherwise answer from an old state.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

import eliot

from fordtrestle.coordination.answers import (
    Answer,
    NotPrimary,
    OutcomeUnknown,
    Overloaded,
    Unavailable,
)
from fordtrestle.coordination.changes import GrantLock
from fordtrestle.coordination.commands import Command
from fordtrestle.coordination.evaluation import Evaluation, Situation, evaluate
from fordtrestle.coordination.observation_clock import ObservationClock
from fordtrestle.peer.replicator import Replicator
from fordtrestle.replication.node import Node, PendingWrite

MAX_COMMANDS = 1024  # under way at a time; a caller beyond them is asked to come back


class CoordinationService:
    """Carries out commands on this store as far as it is the primary.

    Attributes:
        answer_counts: How many commands came to each answer, by the answer's class.
    """

    def __init__(
        self, replicator: Replicator, clock: ObservationClock, is_supported: Callable[[], bool]
    ) -> None:
        """Keep what it works on.

        Args:
            replicator: Drives this store.
            clock: Observes its state.
            is_supported: Whether all stores know of these commands: older versions take none of their writes.
        """
        self.answer_counts: Counter[type] = Counter()
        self._replicator = replicator
        self._node: Node = replicator.node
        self._clock = clock
        self._is_supported = is_supported
        self._under_way = 0

    async def execute(self, command: Command, deadline: float) -> Answer:
        """Carry a command out.

        Args:
            command: What an application asks for.
            deadline: When its caller stops waiting, in s of the steady clock: it is not begun after that.

        Returns:
            What it comes to. `OutcomeUnknown` where it may be carried out later or not; `NotPrimary`,
            `Unavailable` and `Overloaded` where it is not, and never will be.
        """
        if self._under_way >= MAX_COMMANDS:
            return self._counted(Overloaded())
        self._under_way += 1
        try:
            return self._counted(await self._execute(command, deadline))
        finally:
            self._under_way -= 1

    def observe(self) -> None:
        """Take note of the newest state: a lock is held for the shorter, the sooner its grant is observed."""
        self._clock.observe(self._node.durable.state.coordination, self._replicator.now())

    async def _execute(self, command: Command, deadline: float) -> Answer:
        node = self._node
        await self._wait_until(lambda: node.is_ready or not node.is_primary, deadline)
        now = self._replicator.now()
        if not node.is_primary:
            return NotPrimary()
        if not node.is_ready or now >= deadline or not self._is_supported():
            return Unavailable()
        state = node.durable.state
        evaluation = evaluate(command, Situation(state.coordination, state.sequence, self._clock, now))
        if evaluation.change is None:
            return await self._confirm(evaluation.answer, deadline)
        return await self._write(evaluation, deadline)

    async def _write(self, evaluation: Evaluation, deadline: float) -> Answer:
        node, change = self._node, evaluation.change
        if change is None:
            return evaluation.answer
        before = node.durable.state.coordination
        write = node.propose(change, self._replicator.now())
        if write is None:
            return Unavailable()
        if isinstance(change, GrantLock) and change.name in before.locks:
            expired = before.locks[change.name]
            eliot.log_message(
                "locks:expired-hold", lock=change.name, holder=expired.holder, next_holder=change.holder
            )
        self._replicator.pump()
        await self._wait_until(lambda: self._is_decided(write), deadline)
        return evaluation.answer if node.has_committed(write) else OutcomeUnknown()

    async def _confirm(self, answer: Answer, deadline: float) -> Answer:
        """An answer that nothing is written for, once it is sure that it holds."""
        node = self._node
        rests_on = node.newest_write
        asked = node.begin_confirmation(self._replicator.now())
        self._replicator.pump()

        def holds() -> bool:
            return node.is_confirmed(asked) and node.has_committed(rests_on)

        await self._wait_until(lambda: holds() or not node.is_current(rests_on), deadline)
        return answer if holds() else Unavailable()

    def _is_decided(self, write: PendingWrite) -> bool:
        """Whether a write is committed, or another primary decides about it."""
        return self._node.has_committed(write) or not self._node.is_current(write)

    async def _wait_until(self, condition: Callable[[], bool], deadline: float) -> None:
        if not condition():
            await self._replicator.wait_until(condition, max(0.0, deadline - self._replicator.now()))

    def _counted(self, answer: Answer) -> Answer:
        self.answer_counts[type(answer)] += 1
        return answer
