"""What one worker process has to do, and what it counts; both travel between processes."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import islice
from typing import Any

from fordtrestle.load.mix import Request
from fordtrestle.load.schedule import Schedule


@dataclass(frozen=True, slots=True)
class WorkerJob:
    """One worker's part of a load.

    Attributes:
        schedule: The complete load.
        number: Which worker this is, from 0.
        workers: How many there are.
        family: The address family of the target.
        address: The target, resolved.
        max_open: Requests of this worker that are open at the same time at most.
        max_connections: Connections of this worker at most.
    """

    schedule: Schedule
    number: int
    workers: int
    family: int
    address: tuple[Any, ...]
    max_open: int
    max_connections: int

    def requests(self) -> Iterator[Request]:
        """Every `workers`-th request of the schedule, so that the load does not depend on their number."""
        return islice(self.schedule.requests(), self.number, None, self.workers)


@dataclass(slots=True)
class WorkerCounts:
    """What a worker counts beside samples; the names are keys of the report (docs/operate/load.md).

    Attributes:
        connections: Connections that were opened.
        connections_most: Connections at the same time, at most.
        open_most: Requests open at the same time, at most.
        resent: Requests that were sent once more because they had crossed a connection's close.
        crossed: Responses that came after their request was over.
        stray: Connections on which bytes came that no request had asked for.
        retries_not_sent: Retries for which there was no connection or socket.
    """

    connections: int = 0
    connections_most: int = 0
    open_most: int = 0
    resent: int = 0
    crossed: int = 0
    stray: int = 0
    retries_not_sent: int = 0
