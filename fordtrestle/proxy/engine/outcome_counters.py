"""Counters of requests that were refused, failed or rejected, by class and by cause. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import Enum
from typing import Literal

from fordtrestle.balancer.model import Cause

# How a request ended without a server's response: 503; 502 or 504; or 4xx and 505, by what is wrong with
# it. These are keys of the counts that `GET /health/ready?counts` shows.
OutcomeKind = Literal["refused", "failed", "rejected"]


class OwnCause(Enum):
    """Why a request was refused, failed or rejected by the process itself and not by the decision module."""

    MAX_OPEN = "max_open"  # as many are open as the settings allow
    UNANSWERED = "unanswered"  # the module did not decide on it before its deadline
    MODULE_FAULT = "module_fault"  # the module raised an error over it
    ENDING = "ending"  # the process shuts down, and it could outlast it
    NO_DESCRIPTOR = "no_descriptor"  # for the connection that it came on
    NO_ROOM = "no_room"  # for one more open call, or for its bytes
    CUT_SHORT = "cut_short"  # its connection closes: a later request was rejected, or the process shuts down
    UNFINISHED = "unfinished"  # the rest of it did not come in time
    BAD_REQUEST = "bad_request"  # it can't be read, or not be accepted as it is


Counts = dict[str, dict[OutcomeKind, dict[str, int]]]  # by class, by kind of outcome and by cause

NO_CLASS = -1  # of a request whose class is not known


class OutcomeCounters:
    """Counts of one service or HTTP server since its start, at most one for each class, kind and cause."""

    def __init__(self) -> None:
        self._counts: dict[tuple[int, OutcomeKind, Cause | OwnCause], int] = {}

    def record_refused(self, traffic_class: int, cause: Cause | OwnCause) -> None:
        """Count a request of this class that was refused."""
        self._add((traffic_class, "refused", cause))

    def record_failed(self, traffic_class: int, cause: Cause | OwnCause) -> None:
        """Count a request of this class that failed."""
        self._add((traffic_class, "failed", cause))

    def record_rejected(self, traffic_class: int, cause: OwnCause) -> None:
        """Count a request, of this class if that is known, that was not accepted as it is."""
        self._add((traffic_class, "rejected", cause))

    def _add(self, key: tuple[int, OutcomeKind, Cause | OwnCause]) -> None:
        self._counts[key] = self._counts.get(key, 0) + 1

    def total(self, kind: OutcomeKind) -> int:
        """Return how many ended so."""
        return sum(count for (_, other, _), count in self._counts.items() if other == kind)

    def counts(self, classes: Mapping[int, str]) -> Counts:
        """Return the counts by class, by kind and by cause, the largest first.

        Args:
            classes: The classes' names by their numbers. A class without a name is shown by its number, and
                what has no class as `-`.
        """
        made: Counts = {}
        for (number, kind, cause), count in sorted(self._counts.items(), key=lambda row: -row[1]):
            name = "-" if number == NO_CLASS else classes.get(number, str(number))
            made.setdefault(name, {}).setdefault(kind, {})[cause_name(cause)] = count
        return made


def cause_name(cause: Cause | OwnCause) -> str:
    """Return a cause as log lines, counts and events show it."""
    return cause.name.lower()


def format_counts(what: str, counts: Counts) -> Iterable[str]:
    """Return log lines of the counts of one service or HTTP server, one for each class and kind."""
    for name, kinds in counts.items():
        for kind, causes in kinds.items():
            counted = ", ".join(f"{cause} {count}" for cause, count in causes.items())
            yield f"{what}: class {name}: {sum(causes.values())} {kind}: {counted}"
