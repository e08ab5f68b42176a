"""The answers to commands. Pure."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LockGranted:
    """The caller holds the lock.

    Attributes:
        fence: The fencing token. It exceeds those of all earlier grants, also to this holder.
    """

    fence: int


@dataclass(frozen=True, slots=True)
class LockRenewed:
    """The caller's lease on the lock was extended."""


@dataclass(frozen=True, slots=True)
class LockReleased:
    """The lock is no longer held under that fencing token, or never was."""


@dataclass(frozen=True, slots=True)
class LockUnavailable:
    """Another holder has the lock, or the caller's lease has expired."""


@dataclass(frozen=True, slots=True)
class NumberIssued:
    """A number was issued."""

    value: int


@dataclass(frozen=True, slots=True)
class KeyWritten:
    """The key got the value at this revision of its group; it may have been overwritten since."""

    revision: int


@dataclass(frozen=True, slots=True)
class RevisionMismatch:
    """The key has another revision than the put requires: it was not executed and never will be."""

    revision: int


@dataclass(frozen=True, slots=True)
class KeyFound:
    """The newest value of a key and the revision at which it was written."""

    value: str
    revision: int


@dataclass(frozen=True, slots=True)
class KeyMissing:
    """The key does not exist."""


@dataclass(frozen=True, slots=True)
class IndexRead:
    """The read index: every write acknowledged before the call has this sequence or a lower one."""

    sequence: int


@dataclass(frozen=True, slots=True)
class Overloaded:
    """A limit on storage or on calls in flight is reached: the command was not executed and never will be."""


@dataclass(frozen=True, slots=True)
class Unavailable:
    """No store could decide the command in time: it was not executed and never will be."""


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The command may or may not be executed: the caller has to send it again."""


@dataclass(frozen=True, slots=True)
class NotPrimary:
    """The store that received the command is not primary and has not executed it."""


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
