"""What a command comes to. Pure."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LockGranted:
    """The lock is held. `fence` exceeds those of all earlier holders, and stays while the holder has it."""

    fence: int


@dataclass(frozen=True, slots=True)
class LockRenewed:
    """The lock is held for longer."""


@dataclass(frozen=True, slots=True)
class LockReleased:
    """The lock is not held under that fencing token any more, or never was."""


@dataclass(frozen=True, slots=True)
class LockUnavailable:
    """Another holder has the lock, or this one has lost it."""


@dataclass(frozen=True, slots=True)
class NumberIssued:
    """The number that was given out."""

    value: int


@dataclass(frozen=True, slots=True)
class KeyWritten:
    """The key has the value, or had it, since this revision of its group."""

    revision: int


@dataclass(frozen=True, slots=True)
class RevisionMismatch:
    """The key has another revision than the put asked for: it was not carried out, and never will be."""

    revision: int


@dataclass(frozen=True, slots=True)
class KeyFound:
    """The newest value of a key, and the revision that gave it."""

    value: str
    revision: int


@dataclass(frozen=True, slots=True)
class KeyMissing:
    """No such key."""


@dataclass(frozen=True, slots=True)
class IndexRead:
    """All writes that were acknowledged before the call have a sequence up to this one."""

    sequence: int


@dataclass(frozen=True, slots=True)
class Overloaded:
    """Too much is stored or under way: the command was not carried out, and never will be."""


@dataclass(frozen=True, slots=True)
class Unavailable:
    """No store could decide the command in time: it was not carried out, and never will be."""


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The command may be carried out, or not: the caller has to ask again."""


@dataclass(frozen=True, slots=True)
class NotPrimary:
    """The store that was asked is not primary, and has not carried the command out."""


Answer = (
    LockGranted
    | LockRenewed
    | LockReleased
    | LockUnavailable
    | NumberIssued
    | KeyWritten
    | RevisionMismatch
    | KeyFound
    | KeyMissing
    | IndexRead
    | Overloaded
    | Unavailable
    | OutcomeUnknown
    | NotPrimary
)
