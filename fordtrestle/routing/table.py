"""The routes of one configuration, and which of them a request takes (PROTOCOL: requests)."""

from __future__ import annotations

from collections.abc import Callable, Generator, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Any

from fordtrestle.routing.json_members import members

MS_PER_S = 1000.0
ROWS_A_STEP = 100


class RouteType(Enum):
    """What may be repeated."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"


@dataclass(frozen=True, slots=True)
class Service:
    """What the configuration says of a service that requests are sent to."""

    name: str
    cold_rate_s: float = 0.0  # requests a second that a cold server bears; 0: not said


@dataclass(frozen=True, slots=True)
class Route:
    """One route. Times in s."""

    name: str
    authority: str
    path_prefix: str
    type: RouteType
    timeout_s: float
    target_s: float
    gap_s: float
    priority: int
    backends: tuple[tuple[str, float], ...]  # service and weight
    max_attempts: int
    sticky: bool
    resumable: bool
    home_regions: tuple[str, ...]

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run may be sent again."""
        return self.type is RouteType.SAFE or (self.type is RouteType.STREAMING and self.resumable)

    def backend(self, draw: Callable[[], float]) -> str:
        """The service that one request goes to, by weight; `draw` is uniform in [0, 1)."""
        left = draw() * sum(weight for _, weight in self.backends)
        for name, weight in self.backends:
            left -= weight
            if left < 0:
                return name
        return max(self.backends, key=lambda backend: backend[1])[0]


@dataclass(frozen=True, slots=True)
class Limits:
    """What a client may send. Times in s."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class RouteTable:
    """All routes of one configuration."""

    def __init__(self, routes: Sequence[Route], services: Mapping[str, Service], limits: Limits) -> None:
        self.services = dict(services)
        self.limits = limits
        self._by_host: dict[str, list[Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.authority.lower(), []).append(route)
        for of_host in self._by_host.values():
            of_host.sort(key=lambda route: len(route.path_prefix), reverse=True)

    def match(self, host: str, path: str) -> Route | None:
        """The route of that host with the longest prefix that begins the path; `path` without its query."""
        of_host = self._by_host.get(host.lower())
        if of_host is None and ":" in host:
            of_host = self._by_host.get(host.rpartition(":")[0].lower())
        for route in of_host or ():
            if path.startswith(route.path_prefix):
                return route
        return None


def parse_table(document: bytes) -> RouteTable:
    """Read a configuration that was checked when it was taken."""
    steps = read_table(document)
    while True:
        try:
            next(steps)
        except StopIteration as done:
            table: RouteTable = done.value
            return table


def read_table(document: bytes) -> Generator[None, None, RouteTable]:
    """Read a configuration that was checked when it was taken, some rows between two steps: reading a long
    one at once would hold up the loop for longer than a process may be silent.
    """
    services: dict[str, Service] = {}
    routes: list[Route] = []
    limits = Limits()
    for count, (kind, value) in enumerate(members(document.decode())):
        if kind == "services":
            services[value["name"]] = _service(value)
        elif kind == "routes":
            routes.append(_route(value))
        elif kind == "limits":
            limits = _limits(value or {})
        if count % ROWS_A_STEP == ROWS_A_STEP - 1:
            yield
    return RouteTable(routes, services, limits)


def _service(row: Mapping[str, Any]) -> Service:
    return Service(name=row["name"], cold_rate_s=float(row.get("cold_rate_s") or 0.0))


def _route(row: Mapping[str, Any]) -> Route:
    weighted = row.get("weighted_backends")
    if weighted:
        backends = tuple((entry["backend"], float(entry["weight"])) for entry in weighted)
    else:
        backends = ((row["backend"], 1.0),)
    return Route(
        name=row["name"],
        authority=row["authority"],
        path_prefix=row["path_prefix"],
        type=RouteType(row.get("route_type", "unsafe")),
        timeout_s=float(row["timeout_ms"]) / MS_PER_S,
        target_s=float(row.get("target_latency_ms") or row["timeout_ms"]) / MS_PER_S,
        gap_s=float(row.get("gap_aim_ms") or 0.0) / MS_PER_S,
        priority=int(row.get("priority") or 0),
        backends=backends,
        max_attempts=max(1, int(row.get("max_attempts") or 1)),
        sticky=bool(row.get("sticky")),
        resumable=bool(row.get("resumable")),
        home_regions=tuple(row.get("home_regions") or ()),
    )


def _limits(row: Mapping[str, Any]) -> Limits:
    known = Limits()
    return Limits(
        max_header_bytes=int(row.get("max_header_bytes") or known.max_header_bytes),
        max_body_bytes=int(row.get("max_body_bytes") or known.max_body_bytes),
        header_timeout_s=float(row.get("header_timeout_ms") or known.header_timeout_s * MS_PER_S) / MS_PER_S,
        idle_timeout_s=float(row.get("idle_timeout_ms") or known.idle_timeout_s * MS_PER_S) / MS_PER_S,
    )
