"""What a store tells its operators of its part in the replication: typed, a bounded number at a time. Pure.

None is told once a heartbeat: each stands for a change, or for a wait that is told again at doubled pauses.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

EVENTS_MOST = 256  # that wait to be taken: the oldest go first
PAUSE_LEAST_S = 1.0  # until a wait is told first, and again: doubled up to
PAUSE_MOST_S = 64.0


class Why(StrEnum):
    """What an epoch is opened for, or ended by."""

    FOUNDING = "the core has none yet"
    PRIMARY_LOST = "the primary is missed by a majority"
    REPLICA_LOST = "a replica is silent, or its link is down"
    WRITE_LATE = "a write is not on all replicas in time"
    REPLICA_LEAVES = "a replica is about to end"
    WITNESSES = "the witnesses change"
    TOO_FEW = "too few replicas hold the state"
    OUT_OF_TOUCH = "no majority answers"
    LEAVING = "this process is about to end"
    NEWER = "a newer term exists"
    TIMED_OUT = "too few answered in time"


class Wait(StrEnum):
    """What a store waits for."""

    FOUNDER = "the store that is to found the core"
    STORES = "enough stores to found the core"
    CORE = "the core to take this store in"
    PRIMARY = "a primary"


@dataclass(frozen=True, slots=True)
class OpeningBegan:
    """This store asks for an epoch."""

    number: int
    why: Why
    witnesses: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class OpeningFailed:
    """It was not opened; `answered` had promised by then."""

    number: int
    why: Why
    answered: tuple[str, ...]
    took_s: float


@dataclass(frozen=True, slots=True)
class EpochOpened:
    """This store is primary of a new epoch."""

    number: int
    core: str
    why: Why
    replicas: tuple[str, ...]
    witnesses: tuple[str, ...]
    took_s: float


@dataclass(frozen=True, slots=True)
class SteppedDown:
    """This store is primary no more."""

    number: int
    why: Why


@dataclass(frozen=True, slots=True)
class StateSent:
    """The whole state went to a store that is behind, or to a replica to be."""

    store: str
    sequence: int
    document_bytes: int


@dataclass(frozen=True, slots=True)
class WriteLate:
    """A write is not on all replicas in time; `missing` have not said that they hold it."""

    sequence: int
    missing: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Waiting:
    """This store can't serve as it is meant to; `missing` are control addresses that are not heard."""

    wait: Wait
    since_s: float
    heard: int
    missing: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class StrangerMet:
    """A store of another core announced itself: two cores were founded, and none of them takes it in."""

    store: str
    address: str
    core: str


Event = (
    OpeningBegan | OpeningFailed | EpochOpened | SteppedDown | StateSent | WriteLate | Waiting | StrangerMet
)


@dataclass(slots=True)
class Events:
    """Those not taken yet, and how many there were of each kind."""

    counts: dict[str, int] = field(default_factory=dict)
    _waiting: list[Event] = field(default_factory=list)
    _wait: Wait | None = None
    _wait_began: float = 0.0
    _tell_at: float = 0.0
    _pause_s: float = PAUSE_LEAST_S

    def tell(self, event: Event) -> None:
        """Keep an event until it is taken."""
        name = type(event).__name__
        self.counts[name] = self.counts.get(name, 0) + 1
        self._waiting.append(event)
        del self._waiting[:-EVENTS_MOST]

    def take(self) -> list[Event]:
        """Those since the last call."""
        taken, self._waiting = self._waiting, []
        return taken

    def is_due(self, wait: Wait | None, now: float) -> bool:
        """Note what the store waits for, if anything, at a time in s of a steady clock; whether that is to be
        told now.
        """
        if wait is not self._wait:
            self._wait, self._wait_began = wait, now
            self._pause_s, self._tell_at = PAUSE_LEAST_S, now + PAUSE_LEAST_S
        return wait is not None and now >= self._tell_at

    def tell_wait(self, heard: int, missing: tuple[str, ...], now: float) -> None:
        """Tell of the wait that was noted, and again after twice the pause."""
        assert self._wait is not None
        self._pause_s = min(PAUSE_MOST_S, 2 * self._pause_s)
        self._tell_at = now + self._pause_s
        self.tell(Waiting(self._wait, now - self._wait_began, heard, missing))
