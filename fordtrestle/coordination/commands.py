"""Applications' commands, in the form in which control processes forward them. Pure."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AcquireLock:
    """Acquires a lock; a holder that has it already gets a new fencing token, and its lease is extended.

    Attributes:
        name: The lock's name.
        holder: The name of the caller.
        hold_ms: The lease in milliseconds, counted from when the holder sent the call.
    """

    name: str
    holder: str
    hold_ms: float


@dataclass(frozen=True, slots=True)
class RenewLock:
    """Extends the lease on a lock that is held under this fencing token."""

    name: str
    holder: str
    fence: int
    hold_ms: float


@dataclass(frozen=True, slots=True)
class ReleaseLock:
    """Releases a lock; nothing changes if it is not held under this fencing token."""

    name: str
    holder: str
    fence: int


@dataclass(frozen=True, slots=True)
class IssueNumber:
    """Issues a number that is higher than all numbers issued under this name."""

    name: str


@dataclass(frozen=True, slots=True)
class PutKey:
    """Writes a value that the key has never had.

    Attributes:
        key: The key. The part up to its first dot names its group.
        value: The value, which also identifies the put when it is sent again.
        if_revision: The revision that the key must have, 0 if it must not exist, or None for any.
    """

    key: str
    value: str
    if_revision: int | None


@dataclass(frozen=True, slots=True)
class GetKey:
    """Reads a key's newest value."""

    key: str


@dataclass(frozen=True, slots=True)
class ReadIndex:
    """Asks for the highest sequence of a write that may have been acknowledged by now (Raft, 6.4)."""


Command = AcquireLock | RenewLock | ReleaseLock | IssueNumber | PutKey | GetKey | ReadIndex


def group_of(key: str) -> str:
    """Return the group of a key: the part up to and including its first dot, or all of a key without one."""
    name, dot, _ = key.partition(".")
    return name + dot
