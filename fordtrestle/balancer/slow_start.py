"""Slow start: a server that has just started gets only the load that it can safely carry. Pure."""

from __future__ import annotations

from collections.abc import Callable

from fordtrestle.balancer import model
from fordtrestle.balancer.eligibility import Eligibility
from fordtrestle.balancer.outage import OutageDetector
from fordtrestle.balancer.requests import Request
from fordtrestle.balancer.servers import Server
from fordtrestle.balancer.subset import Subset
from fordtrestle.balancer.throttle import Throttle

MIN_WARMTH = 0.02  # a server that gets no requests never shows that it is up
COLD_SHARE = 0.5  # of the load at which a cold server fails, if all warm servers were fully loaded
# The assumed accepts and requests before there is evidence: a sidecar that has just started knows little of
# the service.
PRIOR_ACCEPTS, PRIOR_REQUESTS = 1.0, 3.0


class SlowStart:
    """Computes how warm servers are, and decides whether a request may go to a cold one."""

    def __init__(
        self,
        now: float,
        settings: model.Settings,
        subset: Subset,
        eligibility: Eligibility,
        throttle: Throttle,
        outage: OutageDetector,
        uniform: Callable[[], float],
    ) -> None:
        """Keep references to the parts that slow start depends on.

        Args:
            now: The time in ms.
            settings: The sidecar's settings.
            subset: The servers that requests are sent to.
            eligibility: Tells which servers are eligible.
            throttle: Its window gives the share of requests that is accepted.
            outage: During an outage its own bound on trials replaces slow start.
            uniform: Returns random numbers in [0, 1).
        """
        self._subset = subset
        self._eligibility = eligibility
        self._throttle = throttle
        self._outage = outage
        self._uniform = uniform
        # The last decision, and what it was made for: time, request, number of servers, reach.
        self._asked = now, 0, 0, 0
        self._is_admitted = True
        self.apply_settings(settings)

    def apply_settings(self, settings: model.Settings) -> None:
        """Apply changed settings."""
        self._warm_up_ms = settings.warm_up
        self._cold_from = settings.cold_from
        self._fall_multiple = settings.fall_multiple
        self._zone_count = settings.zones

    def warmth(self, now: float, server: Server) -> float:
        """Return the share of its full capacity that a server safely has since its start, up to 1."""
        if server.started_at <= 0.0 or self._warm_up_ms <= 0.0:
            return 1.0
        age_ms = max(0.0, now - server.started_at)
        if age_ms >= self._warm_up_ms:
            return 1.0
        cold = self._cold_from
        return max(MIN_WARMTH, cold + (1.0 - cold) * age_ms / self._warm_up_ms)

    def capacity(self, now: float, server: Server) -> float:
        """Return a server's current capacity, for comparison among servers."""
        capacity = server.capacity()
        return capacity * self.warmth(now, server) if server.started_at > 0.0 else capacity

    def admits(self, now: float, request: Request, server: Server, ring: list[Server], reach: int) -> bool:
        """Return whether a request may go to a server as far as slow start is concerned.

        Guards against overloading cold servers when a mass restart, drains or ejections leave few others: the
        less of the recent capacity is available, the fewer requests may go to a cold server. All sidecars act
        alike, so that the sum over hundreds of sidecars is bounded in the same way. A request has a single
        random number for all servers and retries, since further ones would admit more.

        Args:
            now: The time in ms.
            request: The request.
            server: The server.
            ring: The servers that it was selected from.
            reach: How many of them, from the first on, can be selected.
        """
        if self.warmth(now, server) >= 1.0 or self._outage.is_ongoing:
            return True
        query = now, request.id, len(ring), reach
        if query != self._asked:
            available_share = self._fit_share(now, ring, reach)
            # Rejected requests are retried, here or by the client, and add to the load too.
            accepts = self._throttle.accepts + PRIOR_ACCEPTS
            available_share *= accepts / (self._throttle.requests + PRIOR_REQUESTS)
            request.slow_start_sample = request.slow_start_sample or self._uniform()
            self._asked = query
            self._is_admitted = request.slow_start_sample < self._fall_multiple * COLD_SHARE * available_share
        return self._is_admitted

    def _fit_share(self, now: float, ring: list[Server], reach: int) -> float:
        """Return the share of the recent capacity that is available now."""
        servers, ineligible_cause = self._subset.servers, self._eligibility.ineligible_cause
        total = sum(other.capacity() for other in ring[:reach])
        eligible = sum(
            self.capacity(now, other) for other in ring[:reach] if ineligible_cause(now, other) is None
        )
        share = eligible / total * len(servers) / self._subset.recent_server_count
        if ring is self._subset.local:  # all sidecars of the zone use it, however few servers remain
            share *= min(1.0, len(ring) * self._zone_count / len(servers))
        return share
