"""Outlier ejection: servers that fail far more than the service are left out for a while. Pure.

An ejected server returns by a single trial request. A server is also left out for a short time if it refuses
connections, or if it rejects a request while none of this sidecar's requests are in flight there.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Container

from fordtrestle.balancer.outage import OutageDetector
from fordtrestle.balancer.own_load import OwnLoad
from fordtrestle.balancer.servers import Server
from fordtrestle.balancer.subset import Subset
from fordtrestle.balancer.throttle import Throttle

EJECTION_MS = 2000.0  # first ejection, doubled for each further one: a restart takes about as long
MAX_EJECTION_MS = 16_000.0
MAX_EJECTED_SHARE = 0.25  # with more, the servers are not the cause, and too few would remain to serve
JITTER_FROM, JITTER_SPAN = 0.75, 0.5  # of an ejection's time: sidecars must not return to a server together

# A server is ejected if its share of faults exceeds MIN_ERRORS plus this multiple of the service's share.
MAX_ERROR_GAIN = 1.0 - 0.7  # weight of the latest outcome if outcomes are few
ERROR_MEMORY_MS = 500.0  # if there are many, the share covers this time: one fault in twenty is no evidence
ERRORS_OVER_SERVICE = 1.5
MIN_ERRORS = 0.25  # ejecting a server with fewer faults would cost more capacity than it saves

REJECTION_BACKOFF_MS = 100.0  # doubles while a server rejects every request, as in an unannounced drain
MAX_REJECTION_DOUBLINGS = 5
REFUSED_BACKOFF_MS = 250.0  # until the next trial of a server that refused a connection; doubles
MAX_REFUSED_DOUBLINGS = 3
CAPACITY_REGAIN_MS = 4000.0  # after a rejection, the allowed requests in flight grow by one in this time


def allowed_in_flight(now: float, server: Server) -> float:
    """Return the allowed requests in flight: as many as at its last rejection, and more with time."""
    return server.max_in_flight + (now - server.max_in_flight_at) / CAPACITY_REGAIN_MS


class OutlierEjection:
    """Counts the faults of servers, and ejects outliers."""

    def __init__(
        self,
        throttle: Throttle,
        outage: OutageDetector,
        own: OwnLoad,
        subset: Subset,
        uniform: Callable[[], float],
    ) -> None:
        """Start without ejected servers.

        Args:
            throttle: Its window gives the service's share of failures.
            outage: During an outage no server is ejected.
            own: This sidecar's send rate.
            subset: The servers that requests are sent to.
            uniform: Returns random numbers in [0, 1).
        """
        self._throttle = throttle
        self._outage = outage
        self._own = own
        self._subset = subset
        self._uniform = uniform
        self._ejected_servers: dict[str, Server] = {}
        self._unresponsive_at = -math.inf  # when a server that did not respond was last found to be at fault

    def end_all(self) -> None:
        """End all ejections: in an outage any server may be the first to recover."""
        for server in self._ejected_servers.values():
            server.unavailable_until, server.ejections = 0.0, 0

    def forget_unknown(self, known: Container[str]) -> None:
        """Drop the records of servers that are no longer known."""
        self._ejected_servers = {
            name: server for name, server in self._ejected_servers.items() if name in known
        }

    def had_unresponsive_server(self, now: float) -> bool:
        """Return whether a server was recently ejected more than once for not responding."""
        return now - self._unresponsive_at < MAX_EJECTION_MS

    def record_success(self, now: float, server: Server) -> None:
        """Record a successful answer of a server."""
        server.ejections = server.rejections = server.refused_connections = 0
        server.error_weight *= 1.0 - self._error_gain(now)

    def record_rejection(self, now: float, server: Server) -> None:
        """Record that a server rejected a request."""
        if server.in_flight:
            # Others are in flight, so the server accepts that many: leaving it out would waste that capacity.
            server.max_in_flight, server.max_in_flight_at = server.in_flight, now
        else:
            backoff_ms = REJECTION_BACKOFF_MS * 2.0**server.rejections
            server.unavailable_until = max(server.unavailable_until, now + backoff_ms)
            server.rejections = min(server.rejections + 1, MAX_REJECTION_DOUBLINGS)

    def record_refused_connection(self, now: float, server: Server) -> None:
        """Record that a server refused a connection: it is tried again soon, and left out until then.

        A server with open connections or requests in flight is not left out: servers with a full connection
        table refuse new connections while the open ones still work.
        """
        if server.idle_connections or server.in_flight:
            return
        if not self._outage.is_ongoing:
            backoff_ms = REFUSED_BACKOFF_MS * 2.0**server.refused_connections
            server.unavailable_until = now + backoff_ms * (JITTER_FROM + JITTER_SPAN * self._uniform())
        server.refused_connections = min(server.refused_connections + 1, MAX_REFUSED_DOUBLINGS)

    def record_fault(self, now: float, server: Server, is_unresponsive: bool, sent_at: float) -> None:
        """Record a fault, and eject the server if it fails far more than the service.

        An attempt that was sent before the last ejection belongs to the same event and does not eject the
        server again.

        Args:
            now: The time in ms.
            server: The server at fault.
            is_unresponsive: Whether the server did not respond at all.
            sent_at: When the attempt was sent, in ms.
        """
        server.error_weight += self._error_gain(now) * (1.0 - server.error_weight)
        if server.error_weight > MIN_ERRORS + ERRORS_OVER_SERVICE * self._throttle.failure_share():
            if sent_at > server.ejected_at:
                self._eject(now, server)
            if is_unresponsive and server.ejections > 1:
                self._unresponsive_at = now

    def _error_gain(self, now: float) -> float:
        """Return the weight of a server's latest outcome in its share of faults."""
        outcomes = self._own.rate_per_ms(now) * ERROR_MEMORY_MS / self._subset.recent_server_count
        return min(MAX_ERROR_GAIN, 1.0 / max(1.0, outcomes))

    def _eject(self, now: float, server: Server) -> None:
        """Eject a server for a while, unless too many servers are ejected for the fault to be their own."""
        self._ejected_servers = {
            name: other for name, other in self._ejected_servers.items() if other.unavailable_until > now
        }
        others = len(self._ejected_servers.keys() - {server.name})
        if self._outage.is_ongoing or others >= MAX_EJECTED_SHARE * len(self._subset.servers):
            return
        ejection_ms = min(EJECTION_MS * 2.0**server.ejections, MAX_EJECTION_MS)
        server.unavailable_until = now + ejection_ms * (JITTER_FROM + JITTER_SPAN * self._uniform())
        server.ejected_at = now
        server.ejections += 1
        self._ejected_servers[server.name] = server
