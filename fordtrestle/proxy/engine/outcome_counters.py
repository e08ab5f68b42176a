"""Counters of requests that were refused, failed or rejected, by class and by cause. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import Enum
from typing import Literal

from fordtrestle.balancer.model import Cause

# How a request ended without a server's response: refused (503), failed (502 or 504), or rejected as invalid
# (4xx or 505). These are keys of the counts that `GET /health/ready?counts` returns.
OutcomeKind = Literal["refused", "failed", "rejected"]


class OwnCause(Enum):
    """Why the process itself, and not the decision module, refused, failed or rejected a request."""

    MAX_OPEN = "max_open"  # as many requests are in flight as the settings allow
    UNANSWERED = "unanswered"  # the module did not answer it before its deadline
    MODULE_FAULT = "module_fault"  # the module raised an error while handling it
    ENDING = "ending"  # the process is shutting down, and the request could outlast it
    NO_DESCRIPTOR = "no_descriptor"  # no descriptor for the connection that it arrived on
    NO_ROOM = "no_room"  # no capacity for another call in flight, or for its bytes
    CUT_SHORT = "cut_short"  # its connection closes: a later request was rejected, or the process shuts down
    UNFINISHED = "unfinished"  # the rest of it did not arrive in time
    BAD_REQUEST = "bad_request"  # it is malformed, or can't be accepted as it is


Counts = dict[str, dict[OutcomeKind, dict[str, int]]]  # by class, by kind of outcome and by cause

NO_CLASS = -1  # for a request whose class is unknown


class OutcomeCounters:
    """Counts the outcomes of one service or HTTP server since its start by class, kind and cause."""

    def __init__(self) -> None:
        self._counts: dict[tuple[int, OutcomeKind, Cause | OwnCause], int] = {}

    def record_refused(self, traffic_class: int, cause: Cause | OwnCause) -> None:
        """Count a request of this class that was refused."""
        self._add((traffic_class, "refused", cause))

    def record_failed(self, traffic_class: int, cause: Cause | OwnCause) -> None:
        """Count a request of this class that failed."""
        self._add((traffic_class, "failed", cause))

    def record_rejected(self, traffic_class: int, cause: OwnCause) -> None:
        """Count a request of this class, or of `NO_CLASS`, that was rejected as invalid."""
        self._add((traffic_class, "rejected", cause))

    def _add(self, key: tuple[int, OutcomeKind, Cause | OwnCause]) -> None:
        self._counts[key] = self._counts.get(key, 0) + 1

    def total(self, kind: OutcomeKind) -> int:
        """Return the number of requests that ended in this way."""
        return sum(count for (_, other, _), count in self._counts.items() if other == kind)

    def counts(self, classes: Mapping[int, str]) -> Counts:
        """Return the counts by class, kind and cause, the largest first.

        Args:
            classes: The names of the classes by their numbers. A class without a name is listed by its
                number, and requests without a class under `-`.
        """
        counts: Counts = {}
        for (number, kind, cause), count in sorted(self._counts.items(), key=lambda row: -row[1]):
            name = "-" if number == NO_CLASS else classes.get(number, str(number))
            counts.setdefault(name, {}).setdefault(kind, {})[cause_name(cause)] = count
        return counts


def cause_name(cause: Cause | OwnCause) -> str:
    """Return the name of a cause in log lines, counts and events."""
    return cause.name.lower()


def format_counts(owner: str, counts: Counts) -> Iterable[str]:
    """Yield log lines with the counts of one service or HTTP server, one line per class and kind."""
    for name, kinds in counts.items():
        for kind, causes in kinds.items():
            counted = ", ".join(f"{cause} {count}" for cause, count in causes.items())
            yield f"{owner}: class {name}: {sum(causes.values())} {kind}: {counted}"
