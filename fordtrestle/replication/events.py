"""What operators are to know of a store's part in the replication: typed, a bounded number at a time. Pure.

None is recorded once a heartbeat: each stands for a change, or for a wait that is reported again at doubled
intervals. The names of an event's fields are keys of its line on the log, and stay.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

MAX_PENDING_EVENTS = 256  # that wait to be drained: the oldest go first
MIN_WAIT_REPORT_BACKOFF_S = 1.0  # until a wait is reported first, and again: doubled up to
MAX_WAIT_REPORT_BACKOFF_S = 64.0


class Reason(StrEnum):
    """What an epoch is opened for, or ended by."""

    BOOTSTRAP = "the core is being bootstrapped"
    PRIMARY_LOST = "a majority suspects the primary"
    REPLICA_LOST = "a replica is unresponsive or disconnected"
    WRITE_LATE = "a write was not replicated in time"
    REPLICA_LEAVES = "a replica is shutting down"
    WITNESSES_CHANGE = "the set of witnesses changes"
    TOO_FEW_REPLICAS = "too few replicas hold the state"
    OUT_OF_TOUCH = "no majority of witnesses answers"
    LEAVING = "this process is shutting down"
    NEWER_TERM = "a newer term exists"
    TIMED_OUT = "timed out: too few witnesses answered"


class WaitReason(StrEnum):
    """What a store waits for."""

    FOUNDER = "the store that bootstraps the core"
    STORES = "enough stores to bootstrap the core"
    ADMISSION = "admission to the core as a witness"
    PRIMARY = "a primary"


@dataclass(frozen=True, slots=True)
class EpochChangeStarted:
    """This store has started an epoch change with this number."""

    number: int
    why: Reason
    witnesses: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class EpochChangeFailed:
    """An epoch change was given up; `answered` had prepared by then."""

    number: int
    why: Reason
    answered: tuple[str, ...]
    took_s: float


@dataclass(frozen=True, slots=True)
class EpochOpened:
    """This store is primary of a new epoch."""

    number: int
    core: str
    why: Reason
    replicas: tuple[str, ...]
    witnesses: tuple[str, ...]
    took_s: float


@dataclass(frozen=True, slots=True)
class SteppedDown:
    """This store is primary no more."""

    number: int
    why: Reason


@dataclass(frozen=True, slots=True)
class StateSent:
    """The whole state went to a store that lags, or to a replica to be."""

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

    wait: WaitReason
    since_s: float
    heard: int
    missing: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ForeignStoreSeen:
    """A store of another core announced itself: two cores were bootstrapped, and neither takes it in."""

    store: str
    address: str
    core: str


Event = (
    EpochChangeStarted
    | EpochChangeFailed
    | EpochOpened
    | SteppedDown
    | StateSent
    | WriteLate
    | Waiting
    | ForeignStoreSeen
)


@dataclass(slots=True)
class Events:
    """The events that are not drained yet, and how many there were of each kind, by the class's name."""

    counts: dict[str, int] = field(default_factory=dict)
    _pending: list[Event] = field(default_factory=list)
    _wait: WaitReason | None = None
    _wait_began: float = 0.0
    _report_at: float = 0.0
    _backoff_s: float = MIN_WAIT_REPORT_BACKOFF_S

    def record(self, event: Event) -> None:
        """Keep an event until it is drained, or until too many newer ones are there."""
        name = type(event).__name__
        self.counts[name] = self.counts.get(name, 0) + 1
        self._pending.append(event)
        del self._pending[:-MAX_PENDING_EVENTS]

    def drain(self) -> list[Event]:
        """The events since the last call."""
        drained, self._pending = self._pending, []
        return drained

    def is_wait_due(self, wait: WaitReason | None, now: float) -> bool:
        """Take note of what the store waits for, and say whether that is to be reported now.

        Args:
            wait: What it waits for, if anything; another reason than before starts the intervals anew.
            now: The time in s of a steady clock.
        """
        if wait is not self._wait:
            self._wait, self._wait_began = wait, now
            self._backoff_s, self._report_at = MIN_WAIT_REPORT_BACKOFF_S, now + MIN_WAIT_REPORT_BACKOFF_S
        return wait is not None and now >= self._report_at

    def record_wait(self, wait: WaitReason, heard: int, missing: tuple[str, ...], now: float) -> None:
        """Report a wait that is due, and have it due again after twice the interval.

        Args:
            wait: What the store waits for, as it was handed to `is_wait_due`.
            heard: How many other stores are live.
            missing: Control addresses that are not heard.
            now: The time in s of a steady clock.
        """
        self._backoff_s = min(MAX_WAIT_REPORT_BACKOFF_S, 2 * self._backoff_s)
        self._report_at = now + self._backoff_s
        self.record(Waiting(wait, now - self._wait_began, heard, missing))
