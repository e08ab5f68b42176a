"""How many requests were refused and how many failed, by class and by cause. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import Enum
from typing import Literal

from poppypulley.model import Cause

End = Literal["refused", "failed"]


class OwnCause(Enum):
    """Why a request was refused or failed without the module."""

    MAX_OPEN = "max_open"  # as many are open as the settings allow
    UNANSWERED = "unanswered"  # the module has left it so until its time was over
    MODULE_FAULT = "module_fault"  # the module has raised an error over it
    ENDING = "ending"  # the process ends, and it could outlast it
    NO_DESCRIPTOR = "no_descriptor"  # for the connection that it came on
    NO_ROOM = "no_room"  # for one more open call, or for its bytes
    CUT_SHORT = "cut_short"  # a request behind it was rejected, or the process ends: it had its time
    UNFINISHED = "unfinished"  # half of it has come, and no more in time
    BAD_REQUEST = "bad_request"  # it can't be understood, or breaks a rule of the front


NO_CLASS = -1  # of what is not known to be of any class


class Tally:
    """Counts of one service or front since its start: at most two for each class and cause."""

    def __init__(self) -> None:
        self._counts: dict[tuple[int, End, Cause | OwnCause], int] = {}

    def refused(self, traffic_class: int, cause: Cause | OwnCause) -> None:
        """One of this class was refused."""
        self._add((traffic_class, "refused", cause))

    def failed(self, traffic_class: int, cause: Cause | OwnCause) -> None:
        """One of this class has failed."""
        self._add((traffic_class, "failed", cause))

    def _add(self, key: tuple[int, End, Cause | OwnCause]) -> None:
        self._counts[key] = self._counts.get(key, 0) + 1

    def total(self, end: End) -> int:
        """How many ended so."""
        return sum(count for (_, other, _), count in self._counts.items() if other == end)

    def counts(self, classes: Mapping[int, str]) -> dict[str, dict[End, dict[str, int]]]:
        """By class, by end and by cause, the largest first; a class without a name goes by its number, and
        what is of none as `-`."""
        made: dict[str, dict[End, dict[str, int]]] = {}
        for (number, end, cause), count in sorted(self._counts.items(), key=lambda row: -row[1]):
            name = "-" if number == NO_CLASS else classes.get(number, str(number))
            made.setdefault(name, {}).setdefault(end, {})[word(cause)] = count
        return made


def word(cause: Cause | OwnCause) -> str:
    """A cause as it is told to people and in events."""
    return cause.name.lower()


def lines(what: str, counts: Mapping[str, Mapping[End, Mapping[str, int]]]) -> Iterable[str]:
    """What the counts of one service or front say, for on-call staff: a line for each class and end."""
    for name, ends in counts.items():
        for end, causes in ends.items():
            told = ", ".join(f"{cause} {count}" for cause, count in causes.items())
            yield f"{what}: class {name}: {sum(causes.values())} {end}: {told}"
