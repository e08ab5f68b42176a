"""What applications ask for, as one control process hands it to another. Pure."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AcquireLock:
    """Hold a lock, or hold it for longer where the holder has it already.

    Attributes:
        name: The lock's name.
        holder: Who asks.
        hold_ms: For how long, from when the holder sent the call.
    """

    name: str
    holder: str
    hold_ms: float


@dataclass(frozen=True, slots=True)
class RenewLock:
    """Hold a lock for longer, under the fencing token that it was granted with."""

    name: str
    holder: str
    fence: int
    hold_ms: float


@dataclass(frozen=True, slots=True)
class ReleaseLock:
    """Give a lock back; nothing changes where it is not held under this fencing token."""

    name: str
    holder: str
    fence: int


@dataclass(frozen=True, slots=True)
class IssueNumber:
    """Give out a number above all that were given out under this name."""

    name: str


@dataclass(frozen=True, slots=True)
class PutKey:
    """Give a key a value that it never had.

    Attributes:
        key: The key. What stands before its first dot names its group.
        value: The value. The same put sent again is known by it.
        if_revision: The revision that the key has to have, 0 where it must not exist; None for any.
    """

    key: str
    value: str
    if_revision: int | None


@dataclass(frozen=True, slots=True)
class GetKey:
    """Read a key's newest value."""

    key: str


@dataclass(frozen=True, slots=True)
class ReadIndex:
    """Ask how far the writes go that may have been acknowledged by now (Raft, 6.4)."""


Command = AcquireLock | RenewLock | ReleaseLock | IssueNumber | PutKey | GetKey | ReadIndex


def group_of(key: str) -> str:
    """The group of a key: what stands before its first dot, with the dot; all of it where there is none."""
    name, dot, _ = key.partition(".")
    return name + dot
