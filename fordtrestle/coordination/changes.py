"""The state changes that commands make, which are replicated and stored on disk. Pure.

A change records a decision, so that every store derives the same state from it, independent of its clock.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class GrantLock:
    """Grants a lock to a holder. The fencing token is the sequence of this write.

    Attributes:
        name: The lock's name.
        holder: The holder's name.
        hold_ms: The lease in milliseconds.
        evicted: The name of an expired lock that is removed to make room; empty if none is.
    """

    name: str
    holder: str
    hold_ms: float
    evicted: str = ""


@dataclass(frozen=True, slots=True)
class ExtendLock:
    """Extends a lease to this many milliseconds from now, which is never shorter than what remained."""

    name: str
    hold_ms: float


@dataclass(frozen=True, slots=True)
class FreeLock:
    """Frees a lock."""

    name: str


@dataclass(frozen=True, slots=True)
class AdvanceCounter:
    """Increments a counter by one."""

    name: str


@dataclass(frozen=True, slots=True)
class WriteKey:
    """Writes a value to a key and advances the revision of its group by one.

    Attributes:
        key: The key.
        value: The value.
        compacted_revision: The revision of the group up to which events are dropped.
    """

    key: str
    value: str
    compacted_revision: int


CoordinationChange = GrantLock | ExtendLock | FreeLock | AdvanceCounter | WriteKey
