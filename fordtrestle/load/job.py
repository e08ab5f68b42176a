"""The job of a worker process and the counters that it reports; both are passed between processes."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import islice
from typing import Any

from fordtrestle.load.mix import Request
from fordtrestle.load.schedule import Schedule


@dataclass(frozen=True, slots=True)
class WorkerJob:
    """The part of a load that one worker sends.

    Attributes:
        schedule: The complete load.
        number: The index of this worker, from 0.
        workers: The number of workers.
        family: The address family of the target.
        address: The resolved address of the target.
        max_open: The maximum of requests of this worker that are open at the same time.
        max_connections: The maximum of connections of this worker.
    """

    schedule: Schedule
    number: int
    workers: int
    family: int
    address: tuple[Any, ...]
    max_open: int
    max_connections: int

    def requests(self) -> Iterator[Request]:
        """Return every `workers`-th request of the schedule.

        Together the workers send the same requests, whatever their number.
        """
        return islice(self.schedule.requests(), self.number, None, self.workers)


@dataclass(slots=True)
class WorkerCounts:
    """Counters of a worker, in addition to its samples; names are keys of the report (docs/operate/load.md).

    Attributes:
        connections: Connections opened.
        connections_most: Most connections open at the same time.
        open_most: Most requests open at the same time.
        resent: Attempts sent a second time because the server had closed the connection meanwhile.
        crossed: Responses received after their request had its outcome.
        stray: Connections on which bytes were received without a request.
        retries_not_sent: Retries for which no connection or socket was available.
    """

    connections: int = 0
    connections_most: int = 0
    open_most: int = 0
    resent: int = 0
    crossed: int = 0
    stray: int = 0
    retries_not_sent: int = 0
