"""Outlier ejection: a server at fault far more than the service rests for a while, and gets one trial. Pure.

A server rests, too, where it refuses connections, or rejects requests while it works on none of ours.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Container

from fordtrestle.balancer.outage import OutageDetector
from fordtrestle.balancer.own_load import OwnLoad
from fordtrestle.balancer.servers import Server
from fordtrestle.balancer.subset import Subset
from fordtrestle.balancer.throttle import Throttle

EJECTION_MS = 2000.0  # the first one; doubles with each further: a restart takes about so long
MAX_EJECTION_MS = 16_000.0
MAX_EJECTED_SHARE = 0.25  # beyond this the fault is not the servers' own, and too few are left to serve
JITTER_FROM, JITTER_SPAN = 0.75, 0.5  # of a rest: sidecars must not return together

# A fault is held to be the server's own where its faults exceed the service's this far.
MAX_ERROR_GAIN = 1.0 - 0.7  # weight of the newest outcome, where outcomes are few
ERROR_MEMORY_MS = 500.0  # where they are many the share is of so long: one fault in twenty is no evidence
ERRORS_OVER_SERVICE = 1.5  # times the service's share of faults
MIN_ERRORS = 0.25  # less costs less than the server's share of the capacity

REJECTION_REST_MS = 100.0  # doubles while a server turns all away, as one that drains unseen does
MAX_REJECTION_DOUBLINGS = 5
REFUSED_REST_MS = 250.0  # until a server that refused a connection is tried again; doubles
MAX_REFUSED_DOUBLINGS = 3
CAPACITY_REGAIN_MS = 4000.0  # a server that turned away one too many is tried with one more so often


def allowed_in_flight(now: float, server: Server) -> float:
    """How many own requests a server takes: what it held as it rejected one, and ever more since."""
    return server.max_in_flight + (now - server.max_in_flight_at) / CAPACITY_REGAIN_MS


class OutlierEjection:
    """Charges faults to servers, and has those rest that are outliers."""

    def __init__(
        self,
        throttle: Throttle,
        outage: OutageDetector,
        own: OwnLoad,
        subset: Subset,
        draw: Callable[[], float],
    ) -> None:
        """No server is ejected.

        Args:
            throttle: Its window tells the service's share of failures.
            outage: While one is on, nothing is a server's own fault.
            own: The own rate of sends.
            subset: The servers that are drawn from.
            draw: Random numbers from 0 to 1.
        """
        self._throttle = throttle
        self._outage = outage
        self._own = own
        self._subset = subset
        self._draw = draw
        self._resting: dict[str, Server] = {}
        self._unresponsive_at = -math.inf  # when a server was last ejected for silence

    def end_all(self) -> None:
        """End all rests: in an outage any server may be the first that is back."""
        for server in self._resting.values():
            server.rest_until, server.ejections = 0.0, 0

    def forget_unknown(self, known: Container[str]) -> None:
        """Keep no record of servers that the endpoint list has forgotten."""
        self._resting = {name: server for name, server in self._resting.items() if name in known}

    def had_unresponsive_server(self, now: float) -> bool:
        """Whether a server was ejected of late for silence, more than once."""
        return now - self._unresponsive_at < MAX_EJECTION_MS

    def record_success(self, now: float, server: Server) -> None:
        """A server answered well."""
        server.ejections = server.rejections = server.refused_connections = 0
        server.error_weight *= 1.0 - self._error_gain(now)

    def record_rejection(self, now: float, server: Server) -> None:
        """A server turned a request away."""
        if server.in_flight:
            # It works on others: it takes so many, and rests would leave that unused.
            server.max_in_flight, server.max_in_flight_at = server.in_flight, now
        else:
            rest_ms = REJECTION_REST_MS * 2.0**server.rejections
            server.rest_until = max(server.rest_until, now + rest_ms)
            server.rejections = min(server.rejections + 1, MAX_REJECTION_DOUBLINGS)

    def record_refused_connection(self, now: float, server: Server) -> None:
        """No process listens there: it is tried again soon, by one request, and all but it go elsewhere.

        Guards against full tables, which refuse connections while those that are open serve.
        """
        if server.idle_connections or server.in_flight:
            return
        if not self._outage.is_ongoing:
            rest_ms = REFUSED_REST_MS * 2.0**server.refused_connections
            server.rest_until = now + rest_ms * (JITTER_FROM + JITTER_SPAN * self._draw())
        server.refused_connections = min(server.refused_connections + 1, MAX_REFUSED_DOUBLINGS)

    def record_fault(self, now: float, server: Server, is_unresponsive: bool, sent_at: float) -> None:
        """Count a fault; a server at fault far more than the service is ejected.

        What was out already when it was ejected belongs to the same event: it ejects no more.

        Args:
            now: The time in ms.
            server: The server at fault.
            is_unresponsive: Whether it said nothing at all.
            sent_at: When the attempt was sent.
        """
        server.error_weight += self._error_gain(now) * (1.0 - server.error_weight)
        if server.error_weight > MIN_ERRORS + ERRORS_OVER_SERVICE * self._throttle.failure_share():
            if sent_at > server.ejected_at:
                self._eject(now, server)
            if is_unresponsive and server.ejections > 1:
                self._unresponsive_at = now

    def _error_gain(self, now: float) -> float:
        """Weight of a server's newest outcome in its share of faults."""
        outcomes = self._own.rate_per_ms(now) * ERROR_MEMORY_MS / self._subset.recent_servers
        return min(MAX_ERROR_GAIN, 1.0 / max(1.0, outcomes))

    def _eject(self, now: float, server: Server) -> None:
        """Have a server rest for a while, unless too many look bad to be believed."""
        self._resting = {name: other for name, other in self._resting.items() if other.rest_until > now}
        others = len(self._resting.keys() - {server.name})
        if self._outage.is_ongoing or others >= MAX_EJECTED_SHARE * len(self._subset.servers):
            return
        rest_ms = min(EJECTION_MS * 2.0**server.ejections, MAX_EJECTION_MS)
        server.rest_until = now + rest_ms * (JITTER_FROM + JITTER_SPAN * self._draw())
        server.ejected_at = now
        server.ejections += 1
        self._resting[server.name] = server
