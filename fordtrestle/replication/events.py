"""Typed replication events for operators, in a bounded buffer. Pure.

An event is recorded for a change, or for a wait, which is reported again at doubling intervals; none is
recorded per heartbeat. The field names of an event are the keys of its log line and must not change.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

MAX_PENDING_EVENTS = 256  # not drained yet; the oldest are dropped
MIN_WAIT_REPORT_BACKOFF_S = 1.0  # before the first report of a wait; doubles with each report
MAX_WAIT_REPORT_BACKOFF_S = 64.0


class Reason(StrEnum):
    """Why an epoch is opened, an epoch change fails or a primary steps down."""

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
    """What a store is waiting for."""

    FOUNDER = "the store that bootstraps the core"
    STORES = "enough stores to bootstrap the core"
    ADMISSION = "admission to the core as a witness"
    PRIMARY = "a primary"


@dataclass(frozen=True, slots=True)
class EpochChangeStarted:
    """This store has started an epoch change; `number` is that of its term."""

    number: int
    why: Reason
    witnesses: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class EpochChangeFailed:
    """An epoch change of this store was abandoned; `answered` are the stores that had prepared."""

    number: int
    why: Reason
    answered: tuple[str, ...]
    took_s: float


@dataclass(frozen=True, slots=True)
class EpochOpened:
    """This store has become the primary of a new epoch."""

    number: int
    core: str
    why: Reason
    replicas: tuple[str, ...]
    witnesses: tuple[str, ...]
    took_s: float


@dataclass(frozen=True, slots=True)
class SteppedDown:
    """This store is no longer primary."""

    number: int
    why: Reason


@dataclass(frozen=True, slots=True)
class StateSent:
    """The whole state was sent to a lagging store or to a replica of the next epoch."""

    store: str
    sequence: int
    document_bytes: int


@dataclass(frozen=True, slots=True)
class WriteLate:
    """A write was not replicated in time; `missing` are the replicas that have not acknowledged it."""

    sequence: int
    missing: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Waiting:
    """This store is waiting; `missing` are the seeds (control addresses) that have not been heard."""

    wait: WaitReason
    since_s: float
    heard: int
    missing: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ForeignStoreSeen:
    """A store of another core announced itself: two cores were bootstrapped; it is not admitted."""

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
    """The events that are not drained yet, and the number of events recorded, by class name."""

    counts: dict[str, int] = field(default_factory=dict)
    _pending: list[Event] = field(default_factory=list)
    _wait: WaitReason | None = None
    _wait_started_at: float = 0.0
    _report_at: float = 0.0
    _backoff_s: float = MIN_WAIT_REPORT_BACKOFF_S

    def record(self, event: Event) -> None:
        """Add an event; beyond `MAX_PENDING_EVENTS` the oldest is dropped."""
        name = type(event).__name__
        self.counts[name] = self.counts.get(name, 0) + 1
        self._pending.append(event)
        del self._pending[:-MAX_PENDING_EVENTS]

    def drain(self) -> list[Event]:
        """Return and remove the pending events."""
        drained, self._pending = self._pending, []
        return drained

    def is_wait_due(self, wait: WaitReason | None, now: float) -> bool:
        """Update what the store is waiting for, and return whether to report it now.

        Args:
            wait: What it is waiting for, or None; a change restarts the intervals.
            now: The current time in seconds of a monotonic clock.
        """
        if wait is not self._wait:
            self._wait, self._wait_started_at = wait, now
            self._backoff_s, self._report_at = MIN_WAIT_REPORT_BACKOFF_S, now + MIN_WAIT_REPORT_BACKOFF_S
        return wait is not None and now >= self._report_at

    def record_wait(self, wait: WaitReason, heard: int, missing: tuple[str, ...], now: float) -> None:
        """Record a wait that is due, and double the interval until its next report.

        Args:
            wait: What the store is waiting for, as passed to `is_wait_due`.
            heard: How many other stores are live.
            missing: The seeds (control addresses) that have not been heard.
            now: The current time in seconds of a monotonic clock.
        """
        self._backoff_s = min(MAX_WAIT_REPORT_BACKOFF_S, 2 * self._backoff_s)
        self._report_at = now + self._backoff_s
        self.record(Waiting(wait, now - self._wait_started_at, heard, missing))
