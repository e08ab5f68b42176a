"""Routes, services and limits, as one configuration has them. Pure."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from fordtrestle.routing.common import Draw, RegionName, ServiceName


class RouteType(Enum):
    """What may be sent again; the values are those of the configuration."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"


class WeightedBackend(NamedTuple):
    """A service that takes a part of a route's requests, in proportion to its weight."""

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class Service:
    """What the configuration says of a service that requests are sent to.

    Attributes:
        name: Its name.
        warm_up_rate_per_s: Requests a second that one of its servers bears while it warms up; 0 where the
            configuration does not bound them.
    """

    name: ServiceName
    warm_up_rate_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Route:
    """Where the requests of a host and a prefix of paths go, and on which terms.

    Attributes:
        name: Its name.
        authority: The host.
        path_prefix: What paths have to begin with.
        route_type: What may be sent again.
        timeout_s: The time that a request has, in seconds.
        latency_target_s: The time in which an answer should begin, in seconds.
        backends: The services that take its requests.
        max_attempts: How many servers may run a request.
        is_resumable: Whether another server may go on with a stream that broke off.
        home_regions: The only regions whose servers may take its requests; empty where all may.
    """

    name: str
    authority: str
    path_prefix: str
    route_type: RouteType
    timeout_s: float
    latency_target_s: float
    backends: tuple[WeightedBackend, ...]
    max_attempts: int
    is_resumable: bool
    home_regions: tuple[RegionName, ...]

    @property
    def is_idempotent(self) -> bool:
        """Whether a request that may have run may be sent again."""
        return self.route_type is RouteType.SAFE or (
            self.route_type is RouteType.STREAMING and self.is_resumable
        )

    def draw_backend(self, draw: Draw) -> ServiceName:
        """Draw the service that one request goes to, by weight."""
        remaining = draw() * sum(backend.weight for backend in self.backends)
        for backend in self.backends:
            remaining -= backend.weight
            if remaining < 0:
                return backend.service
        return max(self.backends, key=lambda backend: backend.weight).service  # sums of weights are rounded


@dataclass(frozen=True, slots=True)
class Limits:
    """What a client may send; the defaults hold while no configuration is known.

    Attributes:
        max_body_bytes: The largest body that is accepted.
        header_timeout_s: The time that a client has to send a request, in seconds.
    """

    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
