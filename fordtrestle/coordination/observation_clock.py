"""Tracks lock expiry and the age of events by one store's own steady clock. Pure.

Times are not replicated, because clocks of different machines can't be compared. Each store counts a lock's
lease from the moment at which it first held the write itself. That is never before the holder sent its call.
So no store considers a lock free while its holder may still rely on it, whichever store becomes primary, and
also after a restart.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from fordtrestle.coordination.state import EMPTY, CoordinationState, KeyGroup, Lock

MS_PER_S = 1000.0


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
        self._state = EMPTY
        self._leases: dict[str, _Lease] = {}
        self._ages: dict[str, _GroupAges] = {}

    def observe(self, state: CoordinationState, now: float) -> None:
        """Record what is new in the state. A late call only makes locks expire later."""
        if state.locks is not self._state.locks:
            self._observe_locks(state.locks, now)
        if state.groups is not self._state.groups:
            self._observe_groups(state.groups, now)
        self._state = state

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
                ages = self._ages[name] = _GroupAges(group)
            elif ages.group is group:
                continue
            ages.group = group
            if ages.seen and group.revision < ages.seen[-1][0]:
                ages.seen.clear()  # the state of another primary, with fewer writes
            if not ages.seen or group.revision > ages.seen[-1][0]:
                ages.seen.append((group.revision, now))
