"""How long locks are still held and since when events are known, by one store's own steady clock. Pure.

Times are not replicated: clocks of other machines can't be compared. Each store counts a lock's time from
when it first held the write itself. That is never before the holder sent its call, so that a lock is free in
nobody's view while its holder may still count on it, whoever becomes primary, and after a restart.
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
    until: float


@dataclass(slots=True)
class _GroupAges:
    """When this store first held the revisions of a group: pairs of a revision and s, both rising."""

    group: KeyGroup
    seen: deque[tuple[int, float]] = field(default_factory=deque)


class ObservationClock:
    """Follows the state of one store. Times are s of its steady clock."""

    def __init__(self, retention_s: float) -> None:
        """Begin with nothing observed.

        Args:
            retention_s: For how long events are kept.
        """
        self._retention_s = retention_s
        self._state = EMPTY
        self._leases: dict[str, _Lease] = {}
        self._ages: dict[str, _GroupAges] = {}

    def observe(self, state: CoordinationState, now: float) -> None:
        """Take note of what is new in the state. Calling it late only lengthens what locks are held for."""
        if state.locks is not self._state.locks:
            self._observe_locks(state.locks, now)
        if state.groups is not self._state.groups:
            self._observe_groups(state.groups, now)
        self._state = state

    def remaining_ms(self, name: str, now: float) -> float:
        """For how long a lock that was observed is held; 0 or less where its time is over."""
        lease = self._leases.get(name)
        return (lease.until - now) * MS_PER_S if lease else 0.0

    def expired_lock(self, now: float) -> str | None:
        """The name of a lock whose time is over, if there is any."""
        return next((name for name, lease in self._leases.items() if lease.until <= now), None)

    def compactable_revision(self, name: str, now: float) -> int:
        """The newest revision of a group whose event has been known for long enough to be forgotten."""
        ages = self._ages.get(name)
        if ages is None:
            return 0
        old_enough = now - self._retention_s
        while len(ages.seen) > 1 and ages.seen[1][1] <= old_enough:
            ages.seen.popleft()
        revision, seen_at = ages.seen[0]
        return revision if seen_at <= old_enough else 0

    def _observe_locks(self, locks: Mapping[str, Lock], now: float) -> None:
        leases = {}
        for name, lock in locks.items():
            known = self._leases.get(name)
            if known is None or (known.lock is not lock and known.lock != lock):
                known = _Lease(lock, now + lock.hold_ms / MS_PER_S)
            leases[name] = known
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
                ages.seen.clear()  # the state of another primary, in which less was written
            if not ages.seen or group.revision > ages.seen[-1][0]:
                ages.seen.append((group.revision, now))
