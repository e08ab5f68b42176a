"""The routes, services and limits of a configuration. Pure."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from fordtrestle.routing.common import Draw, RegionName, ServiceName


class RouteType(Enum):
    """Whether the requests of a route may be retried; the values are those of the configuration."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"


class WeightedBackend(NamedTuple):
    """A service that receives a share of a route's requests, in proportion to its weight."""

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class Service:
    """A service that requests are sent to.

    Attributes:
        name: The name of the service.
        warm_up_rate_per_s: The maximum rate of each of its servers during warm-up, in requests per second; 0
            if the configuration sets no limit.
    """

    name: ServiceName
    warm_up_rate_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Route:
    """The backends and the rules for requests to one host and path prefix.

    Attributes:
        name: The name of the route.
        authority: The host.
        path_prefix: The prefix of the paths of the route.
        route_type: Whether its requests may be retried.
        timeout_s: The timeout of a request, in seconds.
        latency_target_s: The time within which a response should begin, in seconds.
        backends: The services that receive its requests.
        max_attempts: The maximum number of servers that may run a request.
        is_resumable: Whether another server may continue a stream that broke off.
        home_regions: The only regions whose servers may receive its requests; empty if all regions may.
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
        """Whether a request may be retried although it may have run."""
        return self.route_type is RouteType.SAFE or (
            self.route_type is RouteType.STREAMING and self.is_resumable
        )

    def draw_backend(self, draw: Draw) -> ServiceName:
        """Draw the service for one request at random, by weight."""
        remaining = draw() * sum(backend.weight for backend in self.backends)
        for backend in self.backends:
            remaining -= backend.weight
            if remaining < 0:
                return backend.service
        # Sums of weights are rounded, so the loop may end without a result.
        return max(self.backends, key=lambda backend: backend.weight).service


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits on the requests of clients; the defaults apply while no configuration is known.

    Attributes:
        max_body_bytes: The maximum size of a request body, in bytes.
        header_timeout_s: The maximum time for receiving a request, in seconds.
    """

    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
