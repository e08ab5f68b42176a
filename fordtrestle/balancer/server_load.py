"""Server load: an estimate from own requests in flight, reports, and signs of hangs or failures. Pure."""

from __future__ import annotations

import math
from collections.abc import Mapping

from fordtrestle.balancer import model
from fordtrestle.balancer.connections import CONNECT_ERRORS_IN_FLIGHT, ConnectionHealth
from fordtrestle.balancer.servers import Server

# Contributions to the load, all in requests in flight.
OWN_IN_FLIGHT = 4.0  # of each own request in flight, since other sidecars send alike
ERRORS_IN_FLIGHT = 8.0  # of a server that always fails; breaks ties at none in flight
STALLED_IN_FLIGHT = 8.0  # of a server that may be hung
BUSY_IN_FLIGHT = 2.0  # of fully utilized cores, if a server reports only its queue

REPORT_MS = 300.0  # time constant in which a report fades to the server's mean, since others send meanwhile
REPORT_GAIN = 0.2  # weight of the latest report in that mean
REPORTED_FIELDS = frozenset(("inflight", "queue"))  # fields of a report that give the load


class ServerLoad:
    """Estimates the load of servers, which is compared among the candidates of a request."""

    def __init__(self, settings: model.Settings, connections: ConnectionHealth) -> None:
        self._connections = connections
        self.apply_settings(settings)

    def apply_settings(self, settings: model.Settings) -> None:
        """Apply changed settings."""
        has_load_field = bool(REPORTED_FIELDS & set(settings.report_fields))
        self.is_reported = settings.report_how == "inline" and has_load_field

    def record_report(self, now: float, server: Server, report: Mapping[str, float]) -> None:
        """Record the load that an answer reports; figures that are not finite are ignored."""
        waiting = report.get("queue", math.nan) + BUSY_IN_FLIGHT * report.get("util", 0.0)
        load = report.get("inflight", waiting)
        if math.isfinite(load):
            server.reported_load = max(0.0, load)
            server.mean_reported_load += REPORT_GAIN * (server.reported_load - server.mean_reported_load)
            server.reported_at = now

    def estimate(self, now: float, server: Server) -> float:
        """Return the requests in flight per capacity, for comparison among servers."""
        load = server.in_flight * OWN_IN_FLIGHT + server.error_weight * ERRORS_IN_FLIGHT
        if self.is_reported:
            fade = math.exp((server.reported_at - now) / REPORT_MS)
            mean = server.mean_reported_load
            load += 1.0 + mean + (server.reported_load - mean) * fade
        if server.attempts and now >= next(iter(server.attempts)).stalls_at:
            load += STALLED_IN_FLIGHT
        if not server.idle_connections:
            load += CONNECT_ERRORS_IN_FLIGHT * self._connections.excess_errors()
        # The selection and slow start already account for warmth; when it counted here too, cold servers
        # stayed idle.
        return load / server.capacity()
