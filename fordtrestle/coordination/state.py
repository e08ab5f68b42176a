"""The state of locks, counters and keys: a part of the control state, never changed in place. Pure.

Nothing in it depends on a clock: how long a lock is still held, each store measures for itself
(`observation_clock.py`).
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from fordtrestle.coordination.changes import (
    AdvanceCounter,
    CoordinationChange,
    ExtendLock,
    FreeLock,
    GrantLock,
    WriteKey,
)
from fordtrestle.coordination.commands import group_of


@dataclass(frozen=True, slots=True)
class Lock:
    """A lock that somebody holds, or held and never gave back.

    Attributes:
        holder: Who.
        fence: The fencing token: the sequence of the write that granted it.
        hold_ms: For how long it was held from its newest extension on.
        extended: The sequence of that write.
    """

    holder: str
    fence: int
    hold_ms: float
    extended: int


@dataclass(frozen=True, slots=True)
class StoredValue:
    """A key's newest value, and the revision that gave it."""

    value: str
    revision: int


@dataclass(frozen=True, slots=True)
class KeyEvent:
    """One put. `revision` counts within the group, `sequence` is the write's in the whole control state."""

    key: str
    value: str
    revision: int
    sequence: int

    @property
    def characters(self) -> int:
        """What it counts against the bound on what is stored."""
        return len(self.key) + len(self.value)


@dataclass(frozen=True, slots=True)
class KeyGroup:
    """The keys that share one count of revisions.

    Attributes:
        revision: The newest one.
        compacted_revision: Up to this one events are forgotten.
        values: By key.
        history: The events after `compacted_revision`, in their order.
        characters: What the values and the history count against the bound on what is stored.
    """

    revision: int = 0
    compacted_revision: int = 0
    values: Mapping[str, StoredValue] = field(default_factory=dict, hash=False)
    history: tuple[KeyEvent, ...] = ()
    characters: int = 0

    def __post_init__(self) -> None:
        """Hold a map that was decoded as what is fast to copy."""
        if type(self.values) is not dict:
            object.__setattr__(self, "values", dict(self.values))

    def revision_of_put(self, key: str, value: str) -> int | None:
        """The revision at which a key got this value, as far as that is remembered."""
        newest = self.values.get(key)
        if newest and newest.value == value:
            return newest.revision
        for event in reversed(self.history):
            if event.value == value and event.key == key:
                return event.revision
        return None

    def put(self, change: WriteKey, sequence: int) -> KeyGroup:
        """The group after a put."""
        event = KeyEvent(change.key, change.value, self.revision + 1, sequence)
        kept = tuple(known for known in self.history if known.revision > change.compacted_revision)
        dropped = self.history[: len(self.history) - len(kept)]
        replaced = self.values.get(event.key)
        less = sum(known.characters for known in dropped)
        if replaced:
            less += len(event.key) + len(replaced.value)
        return KeyGroup(
            event.revision,
            max(self.compacted_revision, change.compacted_revision),
            {**self.values, event.key: StoredValue(event.value, event.revision)},
            (*kept, event),
            self.characters + 2 * event.characters - less,
        )


NO_KEYS = KeyGroup()


@dataclass(frozen=True, slots=True)
class CoordinationState:
    """All locks by name, all counters by name, all keys by group."""

    locks: Mapping[str, Lock] = field(default_factory=dict, hash=False)
    counters: Mapping[str, int] = field(default_factory=dict, hash=False)
    groups: Mapping[str, KeyGroup] = field(default_factory=dict, hash=False)
    stored_characters: int = 0  # of all keys, values and events

    def __post_init__(self) -> None:
        """Hold maps that were decoded as what is fast to copy; others stay, and so does their identity."""
        for name in ("locks", "counters", "groups"):
            value = getattr(self, name)
            if type(value) is not dict:
                object.__setattr__(self, name, dict(value))

    def group(self, name: str) -> KeyGroup:
        """The keys of a group, which may be none."""
        return self.groups.get(name, NO_KEYS)

    def apply(self, change: CoordinationChange, sequence: int) -> CoordinationState:
        """The state after a change, which is the write of this sequence."""
        match change:
            case GrantLock():
                others = {name: lock for name, lock in self.locks.items() if name != change.evicted}
                granted = Lock(change.holder, sequence, change.hold_ms, sequence)
                return replace(self, locks={**others, change.name: granted})
            case ExtendLock():
                extended = replace(self.locks[change.name], hold_ms=change.hold_ms, extended=sequence)
                return replace(self, locks={**self.locks, change.name: extended})
            case FreeLock():
                others = {name: lock for name, lock in self.locks.items() if name != change.name}
                return replace(self, locks=others)
            case AdvanceCounter():
                value = self.counters.get(change.name, 0) + 1
                return replace(self, counters={**self.counters, change.name: value})
            case WriteKey():
                return self._put(change, sequence)

    def _put(self, change: WriteKey, sequence: int) -> CoordinationState:
        name = group_of(change.key)
        before = self.group(name)
        after = before.put(change, sequence)
        return replace(
            self,
            groups={**self.groups, name: after},
            stored_characters=self.stored_characters + after.characters - before.characters,
        )


EMPTY = CoordinationState()
