"""Applications before a deployment of control stores in which anything may happen between two steps.

The stores are those of `tests/replication/world.py`, on one clock: steady clocks run alike, and a machine
that stands still finds that time has passed. All calls are recorded, and judged by the rules and by the
search for an order (`rig/coordination/`).
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
MAX_LAG_S = 0.5  # of a store that tells of events: less than the margin between the two above
CALLER_TIMEOUT_S = 1.0  # then a caller tries another machine
SERVICE_TIMEOUT_S = 0.9
MAX_SESSIONS = 6
PATIENCE_S = 1.0  # for a clear answer, from whichever machine
FINAL_S = 3.0  # the same, at the end
LOCKS, COUNTERS, KEYS = ("l1", "l2"), ("n1",), ("g.a", "g.b", "h.a")
GROUPS = ("g.", "h.")
HOLD_S = (0.05, 0.6)
FINAL_TICKS = 400  # within which each object is asked for at the end

CLEAR = (Outcome.DONE, Outcome.REFUSED)
NOT_DONE = (answers.NotPrimary, answers.Unavailable, answers.Overloaded)


class CoordinationWorld(World):
    """The stores, a `CoordinationService` on each, and applications. Has to run in an event loop."""

    def __init__(self, seed: int, machines: int = 1) -> None:
        self.time = 0.0
        self.history: list[Call] = []
        self.services: dict[Node, CoordinationService] = {}
        self.sessions: set[asyncio.Task[None]] = set()
        self.values = 0
        self.idle_holders = [f"a{number}" for number in range(4)]
        self.watched = dict.fromkeys(GROUPS, 0)
        self.read_indexes: dict[Node, tuple[float, int]] = {}  # when one was begun, and its sequence
        super().__init__(seed, machines)
        self.lost_answers = self.rng.choice((0.0, 0.2, 0.5))

    # one clock

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

    # what applications do, in place of the writes and reads of `World`

    def propose(self, machine: Machine) -> None:
        if len(self.sessions) < MAX_SESSIONS:
            session = self.rng.choice((self._hold, self._hold, self._number, self._put, self._put, self._get))
            self.sessions.add(asyncio.get_running_loop().create_task(session()))

    def begin_read(self, machine: Machine) -> None:
        self._watch(machine.node, self.rng.choice(GROUPS))
        if len(self.sessions) < MAX_SESSIONS:
            self.sessions.add(asyncio.get_running_loop().create_task(self._refresh(machine.node)))

    async def _hold(self) -> None:
        """Take a lock, renew it some times, and give it back, die or sleep past its time."""
        if not self.idle_holders:
            return
        holder = self.idle_holders.pop()
        try:
            await self._hold_as(holder)
        finally:
            self.idle_holders.append(holder)

    async def _hold_as(self, holder: str) -> None:
        lock, hold_s = self.rng.choice(LOCKS), self.rng.uniform(*HOLD_S)
        granted = await self._until_clear(
            Call(Operation.ACQUIRE, lock, 0.0, holder=holder, hold_s=hold_s),
            commands.AcquireLock(lock, holder, hold_s * 1000.0),
        )
        if not granted.is_done:
            return
        until = granted.sent + hold_s
        for _ in range(self.rng.randint(0, 3)):
            await self._sleep(self.rng.uniform(0.0, 1.2) * hold_s)
            renewal = await self._attempt(
                Call(Operation.RENEW, lock, 0.0, holder=holder, hold_s=hold_s, fence=granted.fence),
                commands.RenewLock(lock, holder, granted.fence, hold_s * 1000.0),
            )
            if not renewal.is_done or renewal.ended > until:
                return
            until = max(until, renewal.sent + hold_s)
        if self.rng.random() < 0.6:
            await self._attempt(
                Call(Operation.RELEASE, lock, 0.0, holder=holder, fence=granted.fence),
                commands.ReleaseLock(lock, holder, granted.fence),
            )

    async def _number(self) -> None:
        counter = self.rng.choice(COUNTERS)
        await self._until_clear(Call(Operation.NUMBER, counter, 0.0), commands.IssueNumber(counter))

    async def _put(self) -> None:
        self.values += 1
        key, value = self.rng.choice(KEYS), f"v{self.values}"
        if_revision = self._guess_revision(key) if self.rng.random() < 0.5 else None
        await self._until_clear(
            Call(Operation.PUT, key, 0.0, value=value, if_revision=if_revision),
            commands.PutKey(key, value, if_revision),
        )

    def _guess_revision(self, key: str) -> int:
        known = [call.number for call in self.history if call.target == key and call.is_done]
        return self.rng.choice(([0, *known][-1], self.rng.choice([0, *known])))

    async def _get(self) -> None:
        key = self.rng.choice(KEYS)
        await self._attempt(Call(Operation.GET, key, 0.0), commands.GetKey(key))

    def _watch(self, node: Node, group: str) -> None:
        """One answer of a watch that a machine holds, from what it knows now, if it is sure to lag little."""
        began_at, sequence = self.read_indexes.get(node, (-math.inf, 0))
        if self.time - began_at > MAX_LAG_S or node.committed_sequence < sequence:
            return
        after = self.watched[group]
        state = node.durable.state.coordination.group(group)
        call = Call(Operation.WATCH, group, self.time, self.time, Outcome.DONE, after=after)
        if after == 0:
            call.number = committed_revision(state, node.committed_sequence)
        else:
            match events_after(state, after, node.committed_sequence):
                case Compacted():
                    call.outcome = Outcome.REFUSED
                case found:
                    call.number = found.revision
                    call.events = tuple(ShownEvent(e.key, e.value, e.revision) for e in found.events)
        self.history.append(call)
        self.watched[group] = call.number if self.rng.random() < 0.8 else after

    async def _refresh(self, node: Node) -> None:
        """Read how far acknowledged writes go, as a machine that holds watches does."""
        began_at = self.time
        primaries = [machine for machine in self.machines if machine.node and machine.node.is_primary]
        if primaries:
            answer = await self._answer(self.rng.choice(primaries), commands.ReadIndex())
            if isinstance(answer, answers.IndexRead):
                self.read_indexes[node] = (began_at, answer.sequence)

    async def _sleep(self, seconds: float) -> None:
        end = self.time + seconds
        while self.time < end:
            await asyncio.sleep(0)

    # calls

    async def _until_clear(self, call: Call, command: commands.Command, seconds: float = PATIENCE_S) -> Call:
        """Send a call to one machine after the other until it has a clear answer; the last attempt."""
        give_up_at = self.time + seconds
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
            if attempt.outcome in CLEAR or self.time > give_up_at:
                return attempt
            await self._sleep(self.rng.uniform(0.0, 0.1))

    async def _attempt(self, call: Call, command: commands.Command) -> Call:
        call.sent = self.time
        self.history.append(call)
        primaries = [m for m in self.machines if m.node and m.node.is_primary]
        up = [m for m in self.machines if m.node]
        if not up:
            call.outcome = Outcome.NOT_DONE
            return call
        machine = self.rng.choice(primaries if primaries and self.rng.random() < 0.8 else up)
        answer = await self._answer(machine, command)
        if answer is not None:
            call.ended = self.time
            _record(call, answer)
        return call

    async def _answer(self, machine: Machine, command: commands.Command) -> answers.Answer | None:
        """The answer of a machine; nothing where the caller has stopped to wait, or it was lost."""
        node, end = machine.node, self.time + CALLER_TIMEOUT_S
        execution = self.services[node].execute(command, self.time + SERVICE_TIMEOUT_S)
        task = asyncio.get_running_loop().create_task(_unless_ended(execution))
        while not task.done() and self.time < end and machine.node is node:
            await asyncio.sleep(0)
        if not task.done() or self.rng.random() < self.lost_answers:
            return None
        return task.result()

    # the run

    async def play(self, steps: int) -> list[Call]:
        """Play steps, let all heal, and ask for everything once more. Raises `InvariantError`."""
        for _ in range(steps):
            self.step()
            await self._progress()
        for session in self.sessions:
            session.cancel()
        await asyncio.gather(*self.sessions, return_exceptions=True)
        self.lost_answers = 0.0
        self.heal()
        await self._ask_for_all()
        breaches = check_history(self.history, HISTORY_S)
        if breaches:
            raise InvariantError("\n".join(f"{one.rule}: {one.text}" for one in breaches[:5]))
        return self.history

    async def _progress(self) -> None:
        await asyncio.sleep(0)
        for session in [session for session in self.sessions if session.done()]:
            self.sessions.discard(session)
            if not session.cancelled() and session.exception():
                raise session.exception()

    async def _ask_for_all(self) -> None:
        """LOST: at the end everything is answered, and no answer is behind what was acknowledged."""
        asked = [
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
        for call, command in asked:
            attempt = asyncio.get_running_loop().create_task(self._until_clear(call, command, FINAL_S))
            for _ in range(FINAL_TICKS):
                self.run_tick()
                for _ in range(3):
                    await asyncio.sleep(0)
                if attempt.done():
                    break
            if not attempt.done() or attempt.result().outcome not in CLEAR:
                raise InvariantError(f"LOST: no answer for {call.target} at the end")


async def _unless_ended(execution) -> answers.Answer | None:
    try:
        return await execution
    except ProcessEndedError:
        return None


def _record(call: Call, answer: answers.Answer) -> None:
    """What a caller learns from an answer."""
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


def play(seed: int, machines: int, steps: int) -> list[Call]:
    """Play one seed; the history. Raises `InvariantError`."""

    async def run() -> list[Call]:
        return await CoordinationWorld(seed, machines).play(steps)

    return asyncio.run(run())
