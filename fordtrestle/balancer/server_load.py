"""How loaded a server looks: own requests in flight, its reports, and signs that it hangs or fails. Pure."""

from __future__ import annotations

import math
from collections.abc import Mapping

from fordtrestle.balancer import model
from fordtrestle.balancer.connections import CONNECT_ERRORS_IN_FLIGHT, ConnectionHealth
from fordtrestle.balancer.servers import Server

# All in requests in flight.
OWN_IN_FLIGHT = 4.0  # that an own one counts as: other sidecars act alike
ERRORS_IN_FLIGHT = 8.0  # that a server which always fails counts as: breaks ties at none in flight
STALLED_IN_FLIGHT = 8.0  # that a server counts as which may be hung
BUSY_IN_FLIGHT = 2.0  # that busy cores hold, where only those that wait are reported

REPORT_MS = 300.0  # a report fades to its server's mean: others send there meanwhile
REPORT_GAIN = 0.2  # weight of the newest report in that mean
REPORTED_FIELDS = frozenset(("inflight", "queue"))  # of a report, that tell the load


class ServerLoad:
    """Works out the load of servers, compared among those drawn."""

    def __init__(self, settings: model.Settings, connections: ConnectionHealth) -> None:
        self._connections = connections
        self.apply_settings(settings)

    def apply_settings(self, settings: model.Settings) -> None:
        """Go by these settings."""
        has_load_field = bool(REPORTED_FIELDS & set(settings.report_fields))
        self.is_reported = settings.report_how == "inline" and has_load_field

    def record_report(self, now: float, server: Server, report: Mapping[str, float]) -> None:
        """Take in what an answer reports; what is not a number is not believed."""
        waiting = report.get("queue", math.nan) + BUSY_IN_FLIGHT * report.get("util", 0.0)
        load = report.get("inflight", waiting)
        if math.isfinite(load):
            server.reported_load = max(0.0, load)
            server.mean_reported_load += REPORT_GAIN * (server.reported_load - server.mean_reported_load)
            server.reported_at = now

    def of(self, now: float, server: Server) -> float:
        """Requests in flight per capacity; no unit, compared among servers."""
        load = server.in_flight * OWN_IN_FLIGHT + server.error_weight * ERRORS_IN_FLIGHT
        if self.is_reported:
            fade = math.exp((server.reported_at - now) / REPORT_MS)
            mean = server.mean_reported_load
            load += 1.0 + mean + (server.reported_load - mean) * fade
        if server.attempts and now >= next(iter(server.attempts)).stalls_at:
            load += STALLED_IN_FLIGHT
        if not server.idle_connections:
            load += CONNECT_ERRORS_IN_FLIGHT * self._connections.excess_errors()
        # Warmth is kept by draws and slow start; counted here too it left cold servers idle.
        return load / server.capacity()
