"""Recorded calls of applications, with their answers as far as there were any. Pure."""

from __future__ import annotations

import math
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from enum import Enum, auto

from fordtrestle.coordination.commands import group_of


class Operation(Enum):
    """What a call asked for."""

    ACQUIRE = auto()
    RENEW = auto()
    RELEASE = auto()
    NUMBER = auto()
    PUT = auto()
    GET = auto()
    WATCH = auto()


class Outcome(Enum):
    """What the caller knows of its call."""

    DONE = auto()
    REFUSED = auto()  # decided against: another holder, another revision, no such key, history forgotten
    NOT_DONE = auto()  # promised not to be carried out
    UNKNOWN = auto()  # carried out or not


@dataclass(frozen=True, slots=True)
class ShownEvent:
    """A put as a watch was sent it."""

    key: str
    value: str
    revision: int


@dataclass(slots=True)
class Call:
    """One call. Times are s of one clock for all callers.

    Attributes:
        operation: What it asked for.
        target: The lock, counter, key or group.
        sent: When it was sent.
        ended: When its answer was there; infinite where none came.
        outcome: What is known of it.
        holder: Who asked for a lock.
        hold_s: For how long.
        fence: The fencing token that was sent or, by an acquisition, given.
        value: The value that was put or read.
        if_revision: The revision that a put asked for; None for any.
        after: The revision that a watch resumed after.
        number: The number or revision of the answer; of a refused put the key's revision.
        events: What a watch was sent.
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

    @property
    def is_done(self) -> bool:
        """Whether the caller knows that it was carried out."""
        return self.outcome is Outcome.DONE

    @property
    def may_be_done(self) -> bool:
        """Whether it may have been carried out."""
        return self.outcome in (Outcome.DONE, Outcome.UNKNOWN)

    @property
    def group(self) -> str:
        """The group of its key, or the group itself."""
        return self.target if self.operation is Operation.WATCH else group_of(self.target)


@dataclass(frozen=True, slots=True)
class Breach:
    """A rule that a history breaks, and by what."""

    rule: str
    text: str


def shown(calls: Sequence[Call]) -> Iterator[tuple[str, str, int]]:
    """Each value that a caller was shown or acknowledged: key, value, revision."""
    for call in calls:
        if call.is_done and call.operation in (Operation.GET, Operation.PUT):
            yield call.target, call.value, call.number
        for event in call.events:
            yield event.key, event.value, event.revision
