"""Slow start: a server that has just started gets the share that it is sure to carry. Pure."""

from __future__ import annotations

from collections.abc import Callable

from fordtrestle.balancer import model
from fordtrestle.balancer.eligibility import Eligibility
from fordtrestle.balancer.outage import OutageDetector
from fordtrestle.balancer.requests import Request
from fordtrestle.balancer.servers import Server
from fordtrestle.balancer.subset import Subset
from fordtrestle.balancer.throttle import Throttle

MIN_WARMTH = 0.02  # a server that gets nothing never shows that it is up
COLD_SHARE = 0.5  # of what topples a cold server, were all warm ones fully loaded
# What is thought to be accepted before there is evidence, of so many requests: one that has just started
# knows little of the service.
PRIOR_ACCEPTS, PRIOR_REQUESTS = 1.0, 3.0


class SlowStart:
    """Works out how warm servers are, and whether a request may go to a cold one."""

    def __init__(
        self,
        now: float,
        settings: model.Settings,
        subset: Subset,
        eligibility: Eligibility,
        throttle: Throttle,
        outage: OutageDetector,
        draw: Callable[[], float],
    ) -> None:
        """Ready for any server.

        Args:
            now: The time in ms.
            settings: The sidecar's settings.
            subset: The servers that are drawn from.
            eligibility: Says which servers are fit.
            throttle: Its window tells how much is accepted.
            outage: Its trials have a bound of their own.
            draw: Random numbers from 0 to 1.
        """
        self._subset = subset
        self._eligibility = eligibility
        self._throttle = throttle
        self._outage = outage
        self._draw = draw
        # The last that was worked out: of what (time, request, servers, reach), and whether.
        self._asked = now, 0, 0, 0
        self._is_admitted = True
        self.apply_settings(settings)

    def apply_settings(self, settings: model.Settings) -> None:
        """Go by these settings."""
        self._warm_up_ms = settings.warm_up
        self._cold_from = settings.cold_from
        self._fall_multiple = settings.fall_multiple
        self._zone_count = settings.zones

    def warmth(self, now: float, server: Server) -> float:
        """The share of its capacity that a started server is sure to have, up to 1."""
        if server.started_at <= 0.0 or self._warm_up_ms <= 0.0:
            return 1.0
        age_ms = max(0.0, now - server.started_at)
        if age_ms >= self._warm_up_ms:
            return 1.0
        cold = self._cold_from
        return max(MIN_WARMTH, cold + (1.0 - cold) * age_ms / self._warm_up_ms)

    def capacity(self, now: float, server: Server) -> float:
        """What a server carries now."""
        capacity = server.capacity()
        return capacity * self.warmth(now, server) if server.started_at > 0.0 else capacity

    def admits(self, now: float, request: Request, server: Server, ring: list[Server], reach: int) -> bool:
        """Whether a request may go to a server, if that is cold.

        Guards against a mass restart, drains or ejections that leave few others to be drawn: the less is fit
        of what there was lately, the fewer may go. Sidecars act alike, so that what hundreds send adds up to
        the same. A request has one coin for all servers and repeats, since more coins would send more.

        Args:
            now: The time in ms.
            request: The request.
            server: The server.
            ring: The servers that it was drawn from.
            reach: How many of them, from the first on.
        """
        if self.warmth(now, server) >= 1.0 or self._outage.is_ongoing:
            return True
        asked = now, request.id, len(ring), reach
        if asked != self._asked:
            left = self._fit_share(now, ring, reach)
            # What is turned away is sent again, here or by its client, and counts in the sum too.
            accepts = self._throttle.accepts + PRIOR_ACCEPTS
            left *= accepts / (self._throttle.requests + PRIOR_REQUESTS)
            request.slow_start_draw = request.slow_start_draw or self._draw()
            self._asked = asked
            self._is_admitted = request.slow_start_draw < self._fall_multiple * COLD_SHARE * left
        return self._is_admitted

    def _fit_share(self, now: float, ring: list[Server], reach: int) -> float:
        """What is fit now, of the capacity that there was lately."""
        servers, unfit_cause = self._subset.servers, self._eligibility.unfit_cause
        full = sum(other.capacity() for other in ring[:reach])
        fit = sum(self.capacity(now, other) for other in ring[:reach] if unfit_cause(now, other) is None)
        share = fit / full * len(servers) / self._subset.recent_servers
        if ring is self._subset.local:  # all of this zone keep to it, however few are left there
            share *= min(1.0, len(ring) * self._zone_count / len(servers))
        return share
