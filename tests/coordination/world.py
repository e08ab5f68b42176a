"""Simulates applications that call control stores while faults happen between any two steps.

The stores are those of `tests/replication/world.py`, with one shared clock: steady clocks run at the same
pace, and a suspended machine finds on resuming that time has passed. All calls are recorded and checked
against the rules and by the search for a valid order (`rig/coordination/`).
"""

from __future__ import annotations

import asyncio
import math

from fordtrestle.control_api.coordination_service import CoordinationService
from fordtrestle.coordination import answers, commands
from fordtrestle.coordination.history import Compacted, committed_revision, events_after
from fordtrestle.coordination.observation_clock import ObservationClock
from fordtrestle.replication.node import Node
from rig.coordination.history import Call, Operation, Outcome, ShownEvent
from rig.coordination.rules import check_history
from tests.control_api.world import ProcessEndedError, VirtualReplicator
from tests.replication.deployment import Machine
from tests.replication.world import InvariantError, World

HISTORY_S = 2.0
RETENTION_S = 3.0
MAX_LAG_S = 0.5  # of a store that sends events: less than the margin between the two constants above
CALLER_TIMEOUT_S = 1.0  # after which a caller tries another machine
SERVICE_TIMEOUT_S = 0.9
MAX_SESSIONS = 6
RETRY_TIMEOUT_S = 1.0  # for a conclusive answer from any machine
FINAL_RETRY_TIMEOUT_S = 3.0  # the same for the calls at the end
LOCKS, COUNTERS, KEYS = ("l1", "l2"), ("n1",), ("g.a", "g.b", "h.a")
GROUPS = ("g.", "h.")
HOLD_S = (0.05, 0.6)
FINAL_TICKS = 400  # within which each call at the end must be answered

CONCLUSIVE = (Outcome.DONE, Outcome.REFUSED)
NOT_DONE = (answers.NotPrimary, answers.Unavailable, answers.Overloaded)


class CoordinationWorld(World):
    """The stores, a `CoordinationService` on each, and applications. Must run in an event loop."""

    def __init__(self, seed: int, machines: int = 1) -> None:
        self.time = 0.0
        self.history: list[Call] = []
        self.services: dict[Node, CoordinationService] = {}
        self.sessions: set[asyncio.Task[None]] = set()
        self.value_count = 0
        self.idle_holders = [f"a{number}" for number in range(4)]
        self.watched_revisions = dict.fromkeys(GROUPS, 0)
        self.read_indexes: dict[Node, tuple[float, int]] = {}  # start time and sequence
        super().__init__(seed, machines)
        self.answer_loss_rate = self.rng.choice((0.0, 0.2, 0.5))

    # The shared clock.

    def start(self, machine: Machine) -> None:
        machine.now = self.time
        super().start(machine)
        clock = ObservationClock(RETENTION_S)
        service = CoordinationService(VirtualReplicator(self, machine), clock, lambda: True)
        self.services[machine.node] = service
        service.observe()

    def tick(self, machine: Machine, seconds: float) -> None:
        self.time += seconds / len(self.machines)
        for other in self.machines:
            other.now = self.time
        machine.node.tick(machine.now)
        self.pump(machine)

    def pump(self, machine: Machine) -> None:
        super().pump(machine)
        self.services[machine.node].observe()

    # Applications' calls, which replace the writes and reads of `World`.

    def propose(self, machine: Machine) -> None:
        if len(self.sessions) < MAX_SESSIONS:
            session = self.rng.choice(
                (self._hold_lock, self._hold_lock, self._number, self._put, self._put, self._get)
            )
            self.sessions.add(asyncio.get_running_loop().create_task(session()))

    def begin_read(self, machine: Machine) -> None:
        self._watch(machine.node, self.rng.choice(GROUPS))
        if len(self.sessions) < MAX_SESSIONS:
            self.sessions.add(asyncio.get_running_loop().create_task(self._refresh(machine.node)))

    async def _hold_lock(self) -> None:
        """Acquire a lock, renew it up to three times, and then release it, or let it expire."""
        if not self.idle_holders:
            return
        holder = self.idle_holders.pop()
        try:
            await self._hold_lock_as(holder)
        finally:
            self.idle_holders.append(holder)

    async def _hold_lock_as(self, holder: str) -> None:
        lock, hold_s = self.rng.choice(LOCKS), self.rng.uniform(*HOLD_S)
        granted = await self._until_conclusive(
            Call(Operation.ACQUIRE, lock, 0.0, holder=holder, hold_s=hold_s),
            commands.AcquireLock(lock, holder, hold_s * 1000.0),
        )
        if not granted.is_done:
            return
        held_until = granted.sent + hold_s
        for _ in range(self.rng.randint(0, 3)):
            await self._sleep(self.rng.uniform(0.0, 1.2) * hold_s)
            renewal = await self._attempt(
                Call(Operation.RENEW, lock, 0.0, holder=holder, hold_s=hold_s, fence=granted.fence),
                commands.RenewLock(lock, holder, granted.fence, hold_s * 1000.0),
            )
            if not renewal.is_done or renewal.ended > held_until:
                return
            held_until = max(held_until, renewal.sent + hold_s)
        if self.rng.random() < 0.6:
            await self._attempt(
                Call(Operation.RELEASE, lock, 0.0, holder=holder, fence=granted.fence),
                commands.ReleaseLock(lock, holder, granted.fence),
            )

    async def _number(self) -> None:
        counter = self.rng.choice(COUNTERS)
        await self._until_conclusive(Call(Operation.NUMBER, counter, 0.0), commands.IssueNumber(counter))

    async def _put(self) -> None:
        self.value_count += 1
        key, value = self.rng.choice(KEYS), f"v{self.value_count}"
        if_revision = self._guess_revision(key) if self.rng.random() < 0.5 else None
        await self._until_conclusive(
            Call(Operation.PUT, key, 0.0, value=value, if_revision=if_revision),
            commands.PutKey(key, value, if_revision),
        )

    def _guess_revision(self, key: str) -> int:
        revisions = [call.number for call in self.history if call.target == key and call.is_done]
        return self.rng.choice(([0, *revisions][-1], self.rng.choice([0, *revisions])))

    async def _get(self) -> None:
        key = self.rng.choice(KEYS)
        await self._attempt(Call(Operation.GET, key, 0.0), commands.GetKey(key))

    def _watch(self, node: Node, group: str) -> None:
        """Record a machine's answer to a watch, unless the machine may lag by more than `MAX_LAG_S`."""
        began_at, sequence = self.read_indexes.get(node, (-math.inf, 0))
        if self.time - began_at > MAX_LAG_S or node.committed_sequence < sequence:
            return
        after = self.watched_revisions[group]
        state = node.durable.state.coordination.group(group)
        call = Call(Operation.WATCH, group, self.time, self.time, Outcome.DONE, after=after)
        if after == 0:
            call.number = committed_revision(state, node.committed_sequence)
        else:
            match events_after(state, after, node.committed_sequence):
                case Compacted():
                    call.outcome = Outcome.REFUSED
                case answer:
                    call.number = answer.revision
                    call.events = tuple(
                        ShownEvent(event.key, event.value, event.revision) for event in answer.events
                    )
        self.history.append(call)
        self.watched_revisions[group] = call.number if self.rng.random() < 0.8 else after

    async def _refresh(self, node: Node) -> None:
        """Get a read index, as a machine with open watches does."""
        began_at = self.time
        primaries = [machine for machine in self.machines if machine.node and machine.node.is_primary]
        if primaries:
            answer = await self._answer(self.rng.choice(primaries), commands.ReadIndex())
            if isinstance(answer, answers.IndexRead):
                self.read_indexes[node] = (began_at, answer.sequence)

    async def _sleep(self, seconds: float) -> None:
        wake_up_at = self.time + seconds
        while self.time < wake_up_at:
            await asyncio.sleep(0)

    # Calls.

    async def _until_conclusive(
        self, call: Call, command: commands.Command, timeout_s: float = RETRY_TIMEOUT_S
    ) -> Call:
        """Send a call to one machine after another until there is a conclusive answer.

        Returns:
            The last attempt.
        """
        give_up_at = self.time + timeout_s
        while True:
            attempt = await self._attempt(
                Call(
                    call.operation,
                    call.target,
                    0.0,
                    holder=call.holder,
                    hold_s=call.hold_s,
                    value=call.value,
                    if_revision=call.if_revision,
                ),
                command,
            )
            if attempt.outcome in CONCLUSIVE or self.time > give_up_at:
                return attempt
            await self._sleep(self.rng.uniform(0.0, 0.1))

    async def _attempt(self, call: Call, command: commands.Command) -> Call:
        call.sent = self.time
        self.history.append(call)
        primaries = [machine for machine in self.machines if machine.node and machine.node.is_primary]
        running = [machine for machine in self.machines if machine.node]
        if not running:
            call.outcome = Outcome.NOT_DONE
            return call
        machine = self.rng.choice(primaries if primaries and self.rng.random() < 0.8 else running)
        answer = await self._answer(machine, command)
        if answer is not None:
            call.ended = self.time
            _record(call, answer)
        return call

    async def _answer(self, machine: Machine, command: commands.Command) -> answers.Answer | None:
        """Return a machine's answer to a command, or None if it is lost or the caller has timed out."""
        node, deadline = machine.node, self.time + CALLER_TIMEOUT_S
        execution = self.services[node].execute(command, self.time + SERVICE_TIMEOUT_S)
        task = asyncio.get_running_loop().create_task(_answer_unless_ended(execution))
        while not task.done() and self.time < deadline and machine.node is node:
            await asyncio.sleep(0)
        if not task.done() or self.rng.random() < self.answer_loss_rate:
            return None
        return task.result()

    # The run.

    async def run(self, steps: int) -> list[Call]:
        """Run this many steps, end all faults, access every object once more, and check the history.

        Returns:
            The history.

        Raises:
            InvariantError: A rule is broken.
        """
        for _ in range(steps):
            self.step()
            await self._progress()
        for session in self.sessions:
            session.cancel()
        await asyncio.gather(*self.sessions, return_exceptions=True)
        self.answer_loss_rate = 0.0
        self.heal()
        await self._access_all()
        breaches = check_history(self.history, HISTORY_S)
        if breaches:
            raise InvariantError("\n".join(f"{breach.rule}: {breach.text}" for breach in breaches[:5]))
        return self.history

    async def _progress(self) -> None:
        await asyncio.sleep(0)
        for session in [session for session in self.sessions if session.done()]:
            self.sessions.discard(session)
            if not session.cancelled() and session.exception():
                raise session.exception()

    async def _access_all(self) -> None:
        """Check the rule LOST: each call at the end is answered, and includes all acknowledged writes."""
        final_calls = [
            *((Call(Operation.GET, key, 0.0), commands.GetKey(key)) for key in KEYS),
            *((Call(Operation.NUMBER, name, 0.0), commands.IssueNumber(name)) for name in COUNTERS),
            *(
                (
                    Call(Operation.ACQUIRE, lock, 0.0, holder="last", hold_s=0.1),
                    commands.AcquireLock(lock, "last", 100.0),
                )
                for lock in LOCKS
            ),
        ]
        for call, command in final_calls:
            attempt = asyncio.get_running_loop().create_task(
                self._until_conclusive(call, command, FINAL_RETRY_TIMEOUT_S)
            )
            for _ in range(FINAL_TICKS):
                self.run_tick()
                for _ in range(3):
                    await asyncio.sleep(0)
                if attempt.done():
                    break
            if not attempt.done() or attempt.result().outcome not in CONCLUSIVE:
                raise InvariantError(f"LOST: expected an answer for {call.target} at the end, got none")


async def _answer_unless_ended(execution) -> answers.Answer | None:
    try:
        return await execution
    except ProcessEndedError:
        return None


def _record(call: Call, answer: answers.Answer) -> None:
    """Record in a call what its caller learns from the answer."""
    call.outcome = Outcome.DONE
    match answer:
        case answers.LockGranted(fence):
            call.fence = fence
        case answers.NumberIssued(number) | answers.KeyWritten(number):
            call.number = number
        case answers.KeyFound(value, revision):
            call.value, call.number = value, revision
        case answers.RevisionMismatch(revision):
            call.outcome, call.number = Outcome.REFUSED, revision
        case answers.LockUnavailable() | answers.KeyMissing():
            call.outcome = Outcome.REFUSED
        case answers.OutcomeUnknown():
            call.outcome, call.ended = Outcome.UNKNOWN, math.inf
        case _ if isinstance(answer, NOT_DONE):
            call.outcome = Outcome.NOT_DONE


def run_seed(seed: int, machines: int, steps: int) -> list[Call]:
    """Run one seed and return the history.

    Raises:
        InvariantError: A rule is broken.
    """

    async def run() -> list[Call]:
        return await CoordinationWorld(seed, machines).run(steps)

    return asyncio.run(run())
