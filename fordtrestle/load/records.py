"""A load as records; fields that are keys of the load file keep the key's name. Pure.

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
        name: Its name.
        semantics: `pure` is a GET, `keyed` a POST with an idempotency key, `unsafe` a POST without one.
        share: Its weight among all classes.
        budget_ms: The time after which a client gives up.
        aim_ms: The latency target.
        worth: The priority weight.
        path: The path of its requests.
    """

    name: str
    semantics: str
    share: float
    budget_ms: float
    aim_ms: float
    worth: float
    path: str

    def weight(self) -> ClassWeight:
        """What the mix needs to know of it."""
        return ClassWeight(self.name, self.share, round(self.budget_ms * 1000), self.semantics != "pure")


@dataclass(frozen=True, slots=True)
class Shape:
    """A rate over time.

    Attributes:
        make: The function of `arrivals` that makes its pieces.
        arguments: What that function takes.
    """

    make: Callable[..., Iterator[Piece]]
    arguments: tuple[Any, ...]


@dataclass(frozen=True, slots=True)
class Arrivals:
    """One schedule of those that are added up.

    Attributes:
        name: Its name, after which its random stream is named.
        is_poisson: Whether its times are those of a Poisson process, else evenly spaced.
        starts_s: When it starts.
        shape: Its rate over time.
    """

    name: str
    is_poisson: bool
    starts_s: float
    shape: Shape

    def pieces_until(self, length_s: float) -> Iterator[Piece]:
        """The pieces of its rate, from its start to the end of a run that lasts for `length_s`."""
        pieces = self.shape.make(*self.shape.arguments)
        return arrivals.pieces_until(pieces, length_s - self.starts_s)


@dataclass(frozen=True, slots=True)
class Keys:
    """The keys of requests.

    Attributes:
        count: Distinct keys; 0: requests have none.
        exponent: The exponent of Zipf's law, by which they are drawn.
        share: The share of requests that have one.
    """

    count: int
    exponent: float
    share: float


@dataclass(frozen=True, slots=True)
class Retries:
    """What a client does about a try that was not served.

    Attributes:
        most: Retries of a request at most.
        on: The outcomes after which a client tries again, of `RETRIED_OUTCOMES`.
        wait_ms: The wait before the first retry.
        doubled: Whether the wait doubles with each retry.
        try_share: The share of the budget after which a try is given up.
        honour_retry_after: Whether to wait for as long as the header Retry-After says.
        honour_most_ms: The longest such wait.
        marked: Whether retries have the header X-Again.
        listen: Whether an answer to a try that was given up still counts, until the request is over.
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
    """A trace in place of arrivals.

    Attributes:
        file: Its path as the load file has it.
        speed: How many times faster than it was recorded.
        loop: How often it is replayed.
        from_s: The first offset of the trace that is replayed.
        to_s: The offset before which the replay ends; None: the end of the trace.
    """

    file: str
    speed: float = 1.0
    loop: int = 1
    from_s: float = 0.0
    to_s: float | None = None


@dataclass(frozen=True, slots=True)
class Bounds:
    """What a run has to meet; None: no bound."""

    in_aim_share_least: float | None = None
    p99_most_ms: float | None = None
    not_sent_most: int | None = None


@dataclass(frozen=True, slots=True)
class Spec:
    """A complete load.

    Attributes:
        target: Where requests are sent; a host name is resolved before the run.
        length_s: How long the run lasts; 0 where a trace says it.
        seed: Of all random streams.
        workers: Processes that send.
        open_most: Requests that are open at the same time at most, of all workers.
        connections_most: Connections at most, of all workers.
        grace_ms: How long after its budget an answer is still waited for.
        lag_p99_most_ms: The 99th percentile of the sends' lag above which a run is unsound.
        spin_ms: From so long before a request is due a worker does not sleep.
        host: The header Host.
        classes: The classes of requests.
        tenants: The name and the share of each tenant.
        sizes: The bytes and the share of each size of bodies.
        keys: The keys of requests.
        arrivals: The schedules that are added up; none where a trace is replayed.
        replay: The trace; None: arrivals.
        retries: What clients do about tries that were not served.
        bounds: What the run has to meet.
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
