"""Tracks lock expiry and the age of events by one store's own steady clock. Pure.

Times are not replicated, because clocks of different machines can't be compared. Each store counts a lock's
lease from the moment at which it first held the write itself. That is never before the holder sent its call.
So no store considers a lock free while its holder may still rely on it, whichever store becomes primary, and
also after a restart.

A sequence or revision identifies a write only once that is committed. When a new epoch drops a write, a later
one gets the same sequence and may be equal by value. A store whose state is replaced therefore keeps only
what it measured for committed writes.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from fordtrestle.coordination.history import committed_revision
from fordtrestle.coordination.state import EMPTY, EMPTY_GROUP, CoordinationState, KeyGroup, Lock

MS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class ObservedState:
    """The state of a store at one moment.

    Attributes:
        state: The state, including writes that are not committed.
        committed_sequence: The sequence up to which its writes are known to be committed.
        replacements: How often the store's state was replaced by that of another store.
    """

    state: CoordinationState
    committed_sequence: int
    replacements: int


NOTHING_OBSERVED = ObservedState(EMPTY, committed_sequence=0, replacements=0)


@dataclass(frozen=True, slots=True)
class _Lease:
    lock: Lock
    expires_at: float


@dataclass(slots=True)
class _GroupAges:
    """When this store first held the revisions of a group: pairs of a revision and a time, both rising."""

    group: KeyGroup
    seen: deque[tuple[int, float]] = field(default_factory=deque)


class ObservationClock:
    """Measures leases and the age of events in the state of one store.

    All times are seconds of the store's steady clock.
    """

    def __init__(self, retention_s: float) -> None:
        """Create a clock that has observed no state.

        Args:
            retention_s: For how long events are retained, in seconds.
        """
        self._retention_s = retention_s
        self._newest = NOTHING_OBSERVED
        self._leases: dict[str, _Lease] = {}
        self._ages: dict[str, _GroupAges] = {}

    def observe(self, observed: ObservedState, now: float) -> None:
        """Record what is new in the state. A late call only makes locks expire later."""
        before, state = self._newest.state, observed.state
        if observed.replacements != self._newest.replacements:
            self._forget_uncommitted(self._newest.committed_sequence)
            before = EMPTY
        if state.locks is not before.locks:
            self._observe_locks(state.locks, now)
        if state.groups is not before.groups:
            self._observe_groups(state.groups, now)
        self._newest = observed

    def remaining_ms(self, name: str, now: float) -> float:
        """Return the remaining milliseconds of a lock's lease; 0 or less if it has expired or is unknown."""
        lease = self._leases.get(name)
        return (lease.expires_at - now) * MS_PER_S if lease else 0.0

    def expired_lock(self, now: float) -> str | None:
        """Return the name of a lock that has expired, or None if there is none."""
        return next((name for name, lease in self._leases.items() if lease.expires_at <= now), None)

    def compactable_revision(self, name: str, now: float) -> int:
        """Return the newest revision of a group whose event is past its retention; 0 if there is none."""
        ages = self._ages.get(name)
        if ages is None:
            return 0
        newest_compactable_at = now - self._retention_s
        while len(ages.seen) > 1 and ages.seen[1][1] <= newest_compactable_at:
            ages.seen.popleft()
        revision, seen_at = ages.seen[0]
        return revision if seen_at <= newest_compactable_at else 0

    def _forget_uncommitted(self, committed_sequence: int) -> None:
        """Forget the times of writes that may be missing from a state that replaces the observed one.

        Args:
            committed_sequence: The sequence up to which the observed writes are known to be committed.
        """
        self._leases = {
            name: lease for name, lease in self._leases.items() if lease.lock.extended <= committed_sequence
        }
        for ages in self._ages.values():
            newest_revision = committed_revision(ages.group, committed_sequence)
            while ages.seen and ages.seen[-1][0] > newest_revision:
                ages.seen.pop()
            ages.group = EMPTY_GROUP
        self._ages = {name: ages for name, ages in self._ages.items() if ages.seen}

    def _observe_locks(self, locks: Mapping[str, Lock], now: float) -> None:
        leases = {}
        for name, lock in locks.items():
            lease = self._leases.get(name)
            if lease is None or (lease.lock is not lock and lease.lock != lock):
                lease = _Lease(lock, now + lock.hold_ms / MS_PER_S)
            leases[name] = lease
        self._leases = leases

    def _observe_groups(self, groups: Mapping[str, KeyGroup], now: float) -> None:
        for name, group in groups.items():
            ages = self._ages.get(name)
            if ages is None:
                ages = self._ages[name] = _GroupAges(EMPTY_GROUP)
            elif ages.group is group:
                continue
            ages.group = group
            if not ages.seen or group.revision > ages.seen[-1][0]:
                ages.seen.append((group.revision, now))
