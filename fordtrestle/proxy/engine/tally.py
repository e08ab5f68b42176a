"""How many requests were refused, failed or rejected, by class and by cause. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import Enum
from typing import Literal

from fordtrestle.balancer.model import Cause

End = Literal["refused", "failed", "rejected"]  # told 503; 502 or 504; or what is wrong with it (4xx, 505)


class OwnCause(Enum):
    """Why a request was refused, failed or rejected without the module."""

    MAX_OPEN = "max_open"  # as many are open as the settings allow
    UNANSWERED = "unanswered"  # the module has left it so until its time was over
    MODULE_FAULT = "module_fault"  # the module has raised an error over it
    ENDING = "ending"  # the process ends, and it could outlast it
    NO_DESCRIPTOR = "no_descriptor"  # for the connection that it came on
    NO_ROOM = "no_room"  # for one more open call, or for its bytes
    CUT_SHORT = (
        "cut_short"  # the connection ends behind it, since a later request was rejected or the process ends
    )
    UNFINISHED = "unfinished"  # the rest of it has not come in time
    BAD_REQUEST = "bad_request"  # it can't be read or taken as it is


Counts = dict[str, dict[End, dict[str, int]]]  # by class, by end and by cause

NO_CLASS = -1  # of what is not known to be of any class


class Tally:
    """Counts of one service or front since its start: at most one for each class, end and cause."""

    def __init__(self) -> None:
        self._counts: dict[tuple[int, End, Cause | OwnCause], int] = {}

    def refused(self, traffic_class: int, cause: Cause | OwnCause) -> None:
        """One of this class was refused."""
        self._add((traffic_class, "refused", cause))

    def failed(self, traffic_class: int, cause: Cause | OwnCause) -> None:
        """One of this class has failed."""
        self._add((traffic_class, "failed", cause))

    def rejected(self, traffic_class: int, cause: OwnCause) -> None:
        """One, of this class if that is known, was not taken as it is."""
        self._add((traffic_class, "rejected", cause))

    def _add(self, key: tuple[int, End, Cause | OwnCause]) -> None:
        self._counts[key] = self._counts.get(key, 0) + 1

    def total(self, end: End) -> int:
        """How many ended so."""
        return sum(count for (_, other, _), count in self._counts.items() if other == end)

    def counts(self, classes: Mapping[int, str]) -> Counts:
        """By class, by end and by cause, the largest first; a class without a name goes by its number, and
        what is of none as `-`.
        """
        made: Counts = {}
        for (number, end, cause), count in sorted(self._counts.items(), key=lambda row: -row[1]):
            name = "-" if number == NO_CLASS else classes.get(number, str(number))
            made.setdefault(name, {}).setdefault(end, {})[word(cause)] = count
        return made


def word(cause: Cause | OwnCause) -> str:
    """A cause as it is told to people and in events."""
    return cause.name.lower()


def lines(what: str, counts: Counts) -> Iterable[str]:
    """What the counts of one service or front say, for on-call staff: a line for each class and end."""
    for name, ends in counts.items():
        for end, causes in ends.items():
            counted = ", ".join(f"{cause} {count}" for cause, count in causes.items())
            yield f"{what}: class {name}: {sum(causes.values())} {end}: {counted}"
