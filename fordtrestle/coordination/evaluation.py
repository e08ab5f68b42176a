"""Evaluates a command on the newest state: its answer, and the change to write before it is sent. Pure."""

from __future__ import annotations

from dataclasses import dataclass

from fordtrestle.coordination.answers import (
    Answer,
    IndexRead,
    KeyFound,
    KeyMissing,
    KeyWritten,
    LockGranted,
    LockReleased,
    LockRenewed,
    LockUnavailable,
    NumberIssued,
    Overloaded,
    RevisionMismatch,
)
from fordtrestle.coordination.changes import (
    AdvanceCounter,
    CoordinationChange,
    ExtendLock,
    FreeLock,
    GrantLock,
    WriteKey,
)
from fordtrestle.coordination.commands import (
    AcquireLock,
    Command,
    GetKey,
    IssueNumber,
    PutKey,
    ReadIndex,
    ReleaseLock,
    RenewLock,
    group_of,
)
from fordtrestle.coordination.limits import MAX_COUNTERS, MAX_LOCKS, MAX_STORED_CHARACTERS
from fordtrestle.coordination.observation_clock import ObservationClock, ObservedState
from fordtrestle.coordination.state import CoordinationState


@dataclass(frozen=True, slots=True)
class Evaluation:
    """The answer to a command and the change that has to be written first, if any.

    With a change, the answer is valid once the change is on all replicas. Without one, it is valid once the
    whole state that it was evaluated on is committed and a majority has confirmed that no newer state exists.
    """

    answer: Answer
    change: CoordinationChange | None = None


@dataclass(frozen=True, slots=True)
class EvaluationContext:
    """The state and time on which a command is evaluated.

    Attributes:
        observed: The newest state of the primary, including writes in flight.
        sequence: The sequence of the newest write in the state; the next write gets the number after it.
        clock: The clock of the store.
        now: The current time, in seconds of the store's steady clock.
    """

    observed: ObservedState
    sequence: int
    clock: ObservationClock
    now: float

    @property
    def state(self) -> CoordinationState:
        """The newest state of the primary, including writes in flight."""
        return self.observed.state


def evaluate(command: Command, context: EvaluationContext) -> Evaluation:
    """Evaluate a command.

    Args:
        command: The application's command.
        context: The state and the time.
    """
    context.clock.observe(context.observed, context.now)
    match command:
        case AcquireLock():
            return _acquire(command, context)
        case RenewLock():
            return _renew(command, context)
        case ReleaseLock():
            return _release(command, context)
        case IssueNumber():
            return _issue(command, context)
        case PutKey():
            return _put(command, context)
        case GetKey():
            return _get(command, context)
        case ReadIndex():
            return Evaluation(IndexRead(context.sequence))


def _acquire(command: AcquireLock, context: EvaluationContext) -> Evaluation:
    """Evaluate an acquisition.

    A holder that acquires its lock again gets a new fencing token. Otherwise a release that it sent before,
    and that arrives late, would end the new hold.
    """
    state, clock, now = context.state, context.clock, context.now
    lock = state.locks.get(command.name)
    remaining_ms = clock.remaining_ms(command.name, now)
    if lock and remaining_ms > 0 and lock.holder != command.holder:
        return Evaluation(LockUnavailable())
    evicted = ""
    if lock is None and len(state.locks) >= MAX_LOCKS:
        evicted = clock.expired_lock(now) or ""
        if not evicted:
            return Evaluation(Overloaded())
    hold_ms = _never_shorter(command.hold_ms, remaining_ms)
    grant = GrantLock(command.name, command.holder, hold_ms, evicted)
    return Evaluation(LockGranted(context.sequence + 1), grant)


def _renew(command: RenewLock, context: EvaluationContext) -> Evaluation:
    lock = context.state.locks.get(command.name)
    remaining_ms = context.clock.remaining_ms(command.name, context.now)
    is_held = lock and (lock.holder, lock.fence) == (command.holder, command.fence)
    if not is_held or remaining_ms <= 0:
        return Evaluation(LockUnavailable())
    extension = ExtendLock(command.name, _never_shorter(command.hold_ms, remaining_ms))
    return Evaluation(LockRenewed(), extension)


def _never_shorter(hold_ms: float, remaining_ms: float) -> float:
    """Return a holder's new lease, which is not shorter than what remains of the one that it has.

    The answer may get lost, and the holder then relies on the longer lease.
    """
    return max(hold_ms, remaining_ms)


def _release(command: ReleaseLock, context: EvaluationContext) -> Evaluation:
    lock = context.state.locks.get(command.name)
    is_held = lock and (lock.holder, lock.fence) == (command.holder, command.fence)
    return Evaluation(LockReleased(), FreeLock(command.name) if is_held else None)


def _issue(command: IssueNumber, context: EvaluationContext) -> Evaluation:
    counters = context.state.counters
    if command.name not in counters and len(counters) >= MAX_COUNTERS:
        return Evaluation(Overloaded())
    return Evaluation(NumberIssued(counters.get(command.name, 0) + 1), AdvanceCounter(command.name))


def _put(command: PutKey, context: EvaluationContext) -> Evaluation:
    """Evaluate a put.

    A put that was applied before gets its first revision again, whatever the key's revision is now.
    """
    name = group_of(command.key)
    group = context.state.group(name)
    known_revision = group.revision_of_put(command.key, command.value)
    if known_revision is not None:
        return Evaluation(KeyWritten(known_revision))
    newest = group.values.get(command.key)
    revision = newest.revision if newest else 0
    if command.if_revision is not None and command.if_revision != revision:
        return Evaluation(RevisionMismatch(revision))
    if context.state.stored_characters + 2 * len(command.key + command.value) > MAX_STORED_CHARACTERS:
        return Evaluation(Overloaded())
    compacted = context.clock.compactable_revision(name, context.now)
    return Evaluation(KeyWritten(group.revision + 1), WriteKey(command.key, command.value, compacted))


def _get(command: GetKey, context: EvaluationContext) -> Evaluation:
    newest = context.state.group(group_of(command.key)).values.get(command.key)
    return Evaluation(KeyFound(newest.value, newest.revision) if newest else KeyMissing())
