"""What a command changes: these are replicated, and put on disk. Pure.

They hold what was decided, so that every store comes to the same state whatever its clock says.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class GrantLock:
    """A lock gets a holder. Its fencing token is the sequence of this write.

    Attributes:
        name: The lock's name.
        holder: Who holds it.
        hold_ms: For how long.
        evicted: The name of a lock whose time is over, that makes room; empty where there is room.
    """

    name: str
    holder: str
    hold_ms: float
    evicted: str = ""


@dataclass(frozen=True, slots=True)
class ExtendLock:
    """The holder of a lock has it for this long from now, no shorter than before."""

    name: str
    hold_ms: float


@dataclass(frozen=True, slots=True)
class FreeLock:
    """A lock is held by nobody."""

    name: str


@dataclass(frozen=True, slots=True)
class AdvanceCounter:
    """A counter goes up by one."""

    name: str


@dataclass(frozen=True, slots=True)
class WriteKey:
    """A key gets a value, and its group the next revision.

    Attributes:
        key: The key.
        value: The value.
        compacted_revision: The events of the group up to this revision are forgotten.
    """

    key: str
    value: str
    compacted_revision: int


CoordinationChange = GrantLock | ExtendLock | FreeLock | AdvanceCounter | WriteKey
