"""The contents of a load file as records; fields that are keys of the file have the name of the key. Pure.

docs/operate/load.md describes every key, and `spec.py` reads them.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

from fordtrestle.load import arrivals
from fordtrestle.load.arrivals import Piece
from fordtrestle.load.mix import ClassWeight
from fordtrestle.proxy.engine.ports import Address


@dataclass(frozen=True, slots=True)
class TrafficClass:
    """One class of requests.

    Attributes:
        name: The name of the class.
        semantics: `pure` is a GET, `keyed` a POST with an idempotency key, `unsafe` a POST without one.
        share: The weight of the class among all classes.
        budget_ms: The time after which a client gives up, from the intended send time.
        aim_ms: The latency target.
        worth: The priority weight of a request.
        path: The path of the requests.
    """

    name: str
    semantics: str
    share: float
    budget_ms: float
    aim_ms: float
    worth: float
    path: str

    def weight(self) -> ClassWeight:
        """Return the attributes that `Mix` needs."""
        return ClassWeight(self.name, self.share, round(self.budget_ms * 1000), self.semantics != "pure")


@dataclass(frozen=True, slots=True)
class Shape:
    """A request rate over time.

    Attributes:
        make: The function of `arrivals` that returns the pieces of the rate.
        arguments: The positional arguments of that function.
    """

    make: Callable[..., Iterator[Piece]]
    arguments: tuple[Any, ...]


@dataclass(frozen=True, slots=True)
class Arrivals:
    """One schedule of arrivals; the schedules of a load are added up.

    Attributes:
        name: The name of the schedule, which also seeds its random stream.
        is_poisson: Whether arrivals are a Poisson process; otherwise they are evenly spaced.
        starts_s: When the schedule starts, from the start of the run.
        shape: The request rate over time.
    """

    name: str
    is_poisson: bool
    starts_s: float
    shape: Shape

    def pieces_until(self, length_s: float) -> Iterator[Piece]:
        """Return the pieces of the rate, from its start to the end of a run of `length_s` seconds."""
        pieces = self.shape.make(*self.shape.arguments)
        return arrivals.pieces_until(pieces, length_s - self.starts_s)


@dataclass(frozen=True, slots=True)
class Keys:
    """The distribution of the keys of requests.

    Attributes:
        count: The number of distinct keys; 0 if requests have no key.
        exponent: The exponent of Zipf's law, by which keys are drawn.
        share: The share of requests that have a key.
    """

    count: int
    exponent: float
    share: float


@dataclass(frozen=True, slots=True)
class Retries:
    """How a client retries requests that were not served.

    Attributes:
        most: The maximum of retries of a request.
        on: The outcomes after which a client retries, from `RETRIED_OUTCOMES`.
        wait_ms: The wait before the first retry.
        doubled: Whether the wait doubles with each retry.
        try_share: The share of the budget after which an attempt is given up for a retry.
        honour_retry_after: Whether to wait at least as long as the header Retry-After says.
        honour_most_ms: The longest wait that Retry-After can cause.
        marked: Whether retries have the header X-Again.
        listen: Whether the response to an attempt that was given up is accepted until the request has its
            outcome.
    """

    most: int = 0
    on: tuple[str, ...] = ("refused",)
    wait_ms: float = 50.0
    doubled: bool = False
    try_share: float = 1.0
    honour_retry_after: bool = True
    honour_most_ms: float = 1000.0
    marked: bool = True
    listen: bool = False


@dataclass(frozen=True, slots=True)
class Replay:
    """The replay of a trace, instead of generated arrivals.

    Attributes:
        file: The path of the trace, as written in the load file.
        speed: The factor by which the replay is faster than the recording.
        loop: How many times the trace is replayed.
        from_s: The first offset of the trace to replay.
        to_s: The offset before which the replay ends; None for the end of the trace.
    """

    file: str
    speed: float = 1.0
    loop: int = 1
    from_s: float = 0.0
    to_s: float | None = None


@dataclass(frozen=True, slots=True)
class Bounds:
    """The bounds that a run has to meet; None for no bound."""

    in_aim_share_least: float | None = None
    p99_most_ms: float | None = None
    not_sent_most: int | None = None


@dataclass(frozen=True, slots=True)
class Spec:
    """The contents of a complete load file.

    Attributes:
        target: The address to which requests are sent; a host name is resolved before the run.
        length_s: How long requests are sent; 0 if a trace determines it.
        seed: The seed of all random streams.
        workers: The number of processes that send.
        open_most: The maximum of requests open at the same time, over all workers.
        connections_most: The maximum of connections, over all workers.
        grace_ms: How long after the end of its budget a response is still accepted, as late.
        lag_p99_most_ms: The maximum of the 99th percentile of the send lag; above it a run is unsound.
        spin_ms: How long before a request is due a worker stops sleeping and spins.
        host: The value of the header Host.
        classes: The classes of requests.
        tenants: The name and the share of each tenant.
        sizes: The size in bytes and the share of each body size.
        keys: The distribution of keys.
        arrivals: The schedules that are added up; empty if a trace is replayed.
        replay: The trace to replay; None if `arrivals` are used.
        retries: How clients retry.
        bounds: The bounds that the run has to meet.
    """

    target: Address
    length_s: float
    seed: int
    workers: int
    open_most: int
    connections_most: int
    grace_ms: float
    lag_p99_most_ms: float
    spin_ms: float
    host: str
    classes: tuple[TrafficClass, ...]
    tenants: tuple[tuple[str, float], ...]
    sizes: tuple[tuple[int, float], ...]
    keys: Keys
    arrivals: tuple[Arrivals, ...]
    replay: Replay | None
    retries: Retries
    bounds: Bounds
