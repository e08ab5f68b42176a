"""What a command comes to on the newest state: its answer, and what has to be written for it first. Pure."""

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
from fordtrestle.coordination.observation_clock import ObservationClock
from fordtrestle.coordination.state import CoordinationState


@dataclass(frozen=True, slots=True)
class Evaluation:
    """The answer to a command, which holds once `change`, if there is one, is on all replicas.

    Without a change it holds once all of the state that it was evaluated on is committed, and a majority has
    confirmed that no newer state exists.
    """

    answer: Answer
    change: CoordinationChange | None = None


@dataclass(frozen=True, slots=True)
class Situation:
    """What a command is evaluated on.

    Attributes:
        state: The newest state of the primary, writes under way included.
        sequence: How many writes it comes from; the next write has the number after that.
        clock: What has observed the state.
        now: The time, in s of the clock.
    """

    state: CoordinationState
    sequence: int
    clock: ObservationClock
    now: float


def evaluate(command: Command, situation: Situation) -> Evaluation:
    """Evaluate a command.

    Args:
        command: What an application asks for.
        situation: The state, and the time.
    """
    situation.clock.observe(situation.state, situation.now)
    match command:
        case AcquireLock():
            return _acquire(command, situation)
        case RenewLock():
            return _renew(command, situation)
        case ReleaseLock():
            return _release(command, situation)
        case IssueNumber():
            return _issue(command, situation)
        case PutKey():
            return _put(command, situation)
        case GetKey():
            return _get(command, situation)
        case ReadIndex():
            return Evaluation(IndexRead(situation.sequence))


def _acquire(command: AcquireLock, situation: Situation) -> Evaluation:
    state, clock, now = situation.state, situation.clock, situation.now
    lock = state.locks.get(command.name)
    remaining_ms = clock.remaining_ms(command.name, now)
    if lock and remaining_ms > 0:
        if lock.holder != command.holder:
            return Evaluation(LockUnavailable())
        return Evaluation(LockGranted(lock.fence), _extended(command.name, command.hold_ms, remaining_ms))
    evicted = ""
    if lock is None and len(state.locks) >= MAX_LOCKS:
        evicted = clock.expired_lock(now) or ""
        if not evicted:
            return Evaluation(Overloaded())
    grant = GrantLock(command.name, command.holder, command.hold_ms, evicted)
    return Evaluation(LockGranted(situation.sequence + 1), grant)


def _renew(command: RenewLock, situation: Situation) -> Evaluation:
    lock = situation.state.locks.get(command.name)
    remaining_ms = situation.clock.remaining_ms(command.name, situation.now)
    is_held = lock and (lock.holder, lock.fence) == (command.holder, command.fence)
    if not is_held or remaining_ms <= 0:
        return Evaluation(LockUnavailable())
    return Evaluation(LockRenewed(), _extended(command.name, command.hold_ms, remaining_ms))


def _extended(name: str, hold_ms: float, remaining_ms: float) -> ExtendLock:
    """An extension never shortens: the holder may not hear of it, and count on what it had."""
    return ExtendLock(name, max(hold_ms, remaining_ms))


def _release(command: ReleaseLock, situation: Situation) -> Evaluation:
    lock = situation.state.locks.get(command.name)
    is_held = lock and (lock.holder, lock.fence) == (command.holder, command.fence)
    return Evaluation(LockReleased(), FreeLock(command.name) if is_held else None)


def _issue(command: IssueNumber, situation: Situation) -> Evaluation:
    counters = situation.state.counters
    if command.name not in counters and len(counters) >= MAX_COUNTERS:
        return Evaluation(Overloaded())
    return Evaluation(NumberIssued(counters.get(command.name, 0) + 1), AdvanceCounter(command.name))


def _put(command: PutKey, situation: Situation) -> Evaluation:
    """A put that was carried out gets its first revision again, whatever the key's revision is by now."""
    name = group_of(command.key)
    group = situation.state.group(name)
    written_at = group.revision_of_put(command.key, command.value)
    if written_at is not None:
        return Evaluation(KeyWritten(written_at))
    newest = group.values.get(command.key)
    revision = newest.revision if newest else 0
    if command.if_revision is not None and command.if_revision != revision:
        return Evaluation(RevisionMismatch(revision))
    if situation.state.stored_characters + 2 * len(command.key + command.value) > MAX_STORED_CHARACTERS:
        return Evaluation(Overloaded())
    compacted = situation.clock.compactable_revision(name, situation.now)
    return Evaluation(KeyWritten(group.revision + 1), WriteKey(command.key, command.value, compacted))


def _get(command: GetKey, situation: Situation) -> Evaluation:
    newest = situation.state.group(group_of(command.key)).values.get(command.key)
    return Evaluation(KeyFound(newest.value, newest.revision) if newest else KeyMissing())
