"""Recorded calls of applications with their answers, if any. This module is pure."""

from __future__ import annotations

import math
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from enum import Enum, auto

from fordtrestle.coordination.commands import group_of


class Operation(Enum):
    """Operation of a call."""

    ACQUIRE = auto()
    RENEW = auto()
    RELEASE = auto()
    NUMBER = auto()
    PUT = auto()
    GET = auto()
    WATCH = auto()


class Outcome(Enum):
    """Result of a call as its caller knows it."""

    DONE = auto()
    REFUSED = auto()  # rejected: another holder, another revision, no such key, or discarded history
    NOT_DONE = auto()  # guaranteed not to be executed
    UNKNOWN = auto()  # executed or not


@dataclass(frozen=True, slots=True)
class ShownEvent:
    """A put as a watch received it."""

    key: str
    value: str
    revision: int


@dataclass(slots=True)
class Call:
    """A call. Times are seconds of one clock shared by all callers.

    Attributes:
        operation: Its operation.
        target: The lock, counter, key or group.
        sent: Time at which it was sent.
        ended: Time at which its answer arrived; infinite if none did.
        outcome: Its result as far as the caller knows.
        holder: Caller that requested a lock.
        hold_s: Requested lease time of the lock.
        fence: Fencing token that was sent or, for an acquisition, granted.
        value: Value that was put or read.
        if_revision: Revision on which a put is conditional; None for an unconditional put.
        after: Revision after which a watch resumed.
        number: Number or revision in the answer; for a refused put the revision of the key.
        events: Events that a watch received.
        resent: Time at which it was sent for the last time, if it stands for several attempts.
    """

    operation: Operation
    target: str
    sent: float
    ended: float = math.inf
    outcome: Outcome = Outcome.UNKNOWN
    holder: str = ""
    hold_s: float = 0.0
    fence: int = 0
    value: str = ""
    if_revision: int | None = None
    after: int = 0
    number: int = 0
    events: tuple[ShownEvent, ...] = ()
    resent: float = -math.inf

    @property
    def last_sent(self) -> float:
        """Time at which its last attempt was sent."""
        return max(self.sent, self.resent)

    @property
    def is_done(self) -> bool:
        """Whether the caller knows that it was executed."""
        return self.outcome is Outcome.DONE

    @property
    def may_be_done(self) -> bool:
        """Whether it may have been executed."""
        return self.outcome in (Outcome.DONE, Outcome.UNKNOWN)

    @property
    def group(self) -> str:
        """Group of its key, or of a watch its target."""
        return self.target if self.operation is Operation.WATCH else group_of(self.target)


@dataclass(frozen=True, slots=True)
class Breach:
    """A violation of a rule, with its details."""

    rule: str
    text: str


def shown(calls: Sequence[Call]) -> Iterator[tuple[str, str, int]]:
    """Yield (key, value, revision) for each value that was read, acknowledged or sent to a watch."""
    for call in calls:
        if call.is_done and call.operation in (Operation.GET, Operation.PUT):
            yield call.target, call.value, call.number
        for event in call.events:
            yield event.key, event.value, event.revision
