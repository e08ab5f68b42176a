"""The immutable state of locks, counters and keys, which is part of the control state. Pure.

Nothing in it depends on a clock: each store measures by itself for how long a lock is still held
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
    """A lock that is held, or that has expired without being released.

    Attributes:
        holder: The holder's name.
        fence: The fencing token: the sequence of the write that granted the lock.
        hold_ms: The lease in milliseconds, counted from the grant or the newest extension.
        extended: The sequence of that grant or extension.
    """

    holder: str
    fence: int
    hold_ms: float
    extended: int


@dataclass(frozen=True, slots=True)
class StoredValue:
    """A key's newest value and the revision at which it was written."""

    value: str
    revision: int


@dataclass(frozen=True, slots=True)
class KeyEvent:
    """One put.

    Attributes:
        key: The key.
        value: The value written.
        revision: The number of the put within its group.
        sequence: The sequence of the write in the whole control state.
    """

    key: str
    value: str
    revision: int
    sequence: int

    @property
    def characters(self) -> int:
        """The characters that count against the storage limit."""
        return len(self.key) + len(self.value)


@dataclass(frozen=True, slots=True)
class KeyGroup:
    """The keys that share one sequence of revisions.

    Attributes:
        revision: The newest revision.
        compacted_revision: The revision up to which events have been compacted.
        values: The newest values, by key.
        history: The events after `compacted_revision`, in the order of their revisions.
        characters: The characters of the values and the history that count against the storage limit.
    """

    revision: int = 0
    compacted_revision: int = 0
    values: Mapping[str, StoredValue] = field(default_factory=dict, hash=False)
    history: tuple[KeyEvent, ...] = ()
    characters: int = 0

    def __post_init__(self) -> None:
        """Convert a decoded mapping to a dict, which is fast to copy."""
        if type(self.values) is not dict:
            object.__setattr__(self, "values", dict(self.values))

    def revision_of_put(self, key: str, value: str) -> int | None:
        """Return the revision at which a key got this value, or None if no retained event or value has it."""
        newest = self.values.get(key)
        if newest and newest.value == value:
            return newest.revision
        for event in reversed(self.history):
            if event.value == value and event.key == key:
                return event.revision
        return None

    def put(self, change: WriteKey, sequence: int) -> KeyGroup:
        """Return the group after a put."""
        event = KeyEvent(change.key, change.value, self.revision + 1, sequence)
        kept = tuple(past for past in self.history if past.revision > change.compacted_revision)
        compacted = self.history[: len(self.history) - len(kept)]
        replaced = self.values.get(event.key)
        freed_characters = sum(past.characters for past in compacted)
        if replaced:
            freed_characters += len(event.key) + len(replaced.value)
        return KeyGroup(
            event.revision,
            max(self.compacted_revision, change.compacted_revision),
            {**self.values, event.key: StoredValue(event.value, event.revision)},
            (*kept, event),
            self.characters + 2 * event.characters - freed_characters,
        )


EMPTY_GROUP = KeyGroup()


@dataclass(frozen=True, slots=True)
class CoordinationState:
    """All locks and counters by name, and all keys by group."""

    locks: Mapping[str, Lock] = field(default_factory=dict, hash=False)
    counters: Mapping[str, int] = field(default_factory=dict, hash=False)
    groups: Mapping[str, KeyGroup] = field(default_factory=dict, hash=False)
    stored_characters: int = 0  # of all keys, values and events

    def __post_init__(self) -> None:
        """Convert decoded mappings to dicts, which are fast to copy. Dicts stay the same objects."""
        for name in ("locks", "counters", "groups"):
            value = getattr(self, name)
            if type(value) is not dict:
                object.__setattr__(self, name, dict(value))

    def group(self, name: str) -> KeyGroup:
        """Return the keys of a group; an unknown group is empty."""
        return self.groups.get(name, EMPTY_GROUP)

    def apply(self, change: CoordinationChange, sequence: int) -> CoordinationState:
        """Return the state after a change, written with this sequence."""
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
