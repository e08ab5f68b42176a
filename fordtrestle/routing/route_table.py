"""Matches requests to the routes of one configuration (PROTOCOL: requests). Pure."""

from __future__ import annotations

from collections.abc import Generator, Mapping, Sequence
from typing import Any

from fordtrestle.routing.common import ServiceName
from fordtrestle.routing.json_members import iter_members
from fordtrestle.routing.route import Limits, Route, RouteType, Service, WeightedBackend

MS_PER_S = 1000.0
ROWS_PER_STEP = 100  # parsed without yielding to the event loop: 1.6 ms (`docs/design/control.md`)


class RouteTable:
    """All routes, services and limits of one configuration.

    Attributes:
        services: The services by name.
        limits: The limits on requests of clients.
    """

    def __init__(
        self, routes: Sequence[Route], services: Mapping[ServiceName, Service], limits: Limits
    ) -> None:
        """Index the routes by host, longest prefix first."""
        self.services = dict(services)
        self.limits = limits
        self._by_host: dict[str, list[Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.authority.lower(), []).append(route)
        for host_routes in self._by_host.values():
            host_routes.sort(key=lambda route: len(route.path_prefix), reverse=True)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest prefix of the path; `None` if there is none.

        Args:
            host: The host, with or without a port.
            path: The path without its query.
        """
        host_routes = self._by_host.get(host.lower())
        if host_routes is None and ":" in host:
            host_routes = self._by_host.get(host.rpartition(":")[0].lower())
        for route in host_routes or ():
            if path.startswith(route.path_prefix):
                return route
        return None


def parse_table(document: bytes) -> RouteTable:
    """Parse a whole configuration, which was validated before it was activated."""
    steps = parse_table_in_steps(document)
    while True:
        try:
            next(steps)
        except StopIteration as done:
            table: RouteTable = done.value
            return table


def parse_table_in_steps(document: bytes) -> Generator[None, None, RouteTable]:
    """Parse a configuration in steps of `ROWS_PER_STEP` rows.

    Parsing a long configuration in one step would block the event loop for longer than a process may be
    unresponsive.

    Args:
        document: The configuration, which was validated before it was activated.

    Yields:
        `None` after each step, so that the caller can do other work.

    Returns:
        The route table.
    """
    services: dict[ServiceName, Service] = {}
    routes: list[Route] = []
    limits = Limits()
    for count, (name, value) in enumerate(iter_members(document.decode())):
        if name == "services":
            services[value["name"]] = _parse_service(value)
        elif name == "routes":
            routes.append(_parse_route(value))
        elif name == "limits":
            limits = _parse_limits(value or {})
        if count % ROWS_PER_STEP == ROWS_PER_STEP - 1:
            yield
    return RouteTable(routes, services, limits)


def _parse_service(row: Mapping[str, Any]) -> Service:
    return Service(name=row["name"], warm_up_rate_per_s=float(row.get("cold_rate_s") or 0.0))


def _parse_route(row: Mapping[str, Any]) -> Route:
    return Route(
        name=row["name"],
        authority=row["authority"],
        path_prefix=row["path_prefix"],
        route_type=RouteType(row.get("route_type", "unsafe")),
        timeout_s=float(row["timeout_ms"]) / MS_PER_S,
        latency_target_s=float(row.get("target_latency_ms") or row["timeout_ms"]) / MS_PER_S,
        backends=_parse_backends(row),
        max_attempts=max(1, int(row.get("max_attempts") or 1)),
        is_resumable=bool(row.get("resumable")),
        home_regions=tuple(row.get("home_regions") or ()),
    )


def _parse_backends(row: Mapping[str, Any]) -> tuple[WeightedBackend, ...]:
    weighted = row.get("weighted_backends")
    if not weighted:
        return (WeightedBackend(row["backend"], 1.0),)
    return tuple(WeightedBackend(entry["backend"], float(entry["weight"])) for entry in weighted)


def _parse_limits(row: Mapping[str, Any]) -> Limits:
    default = Limits()
    header_timeout_ms = float(row.get("header_timeout_ms") or default.header_timeout_s * MS_PER_S)
    return Limits(
        max_body_bytes=int(row.get("max_body_bytes") or default.max_body_bytes),
        header_timeout_s=header_timeout_ms / MS_PER_S,
    )
