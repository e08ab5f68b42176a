"""The draw: a few random servers for a request, each as likely as its share of the capacity. Pure.

The one with the least load of a few drawn at random ("the power of two choices", Mitzenmacher 2001).
"""

from __future__ import annotations

from collections.abc import Callable

from fordtrestle.balancer import model
from fordtrestle.balancer.affinity import KeyAffinity
from fordtrestle.balancer.baselines import MAX_SPEED, ServiceTimes
from fordtrestle.balancer.connections import MORE_CANDIDATES, ConnectionHealth
from fordtrestle.balancer.eligibility import Eligibility
from fordtrestle.balancer.locality import LocalPreference
from fordtrestle.balancer.model import Cause
from fordtrestle.balancer.own_load import OwnLoad
from fordtrestle.balancer.requests import Request
from fordtrestle.balancer.servers import Server
from fordtrestle.balancer.slow_start import SlowStart
from fordtrestle.balancer.subset import Subset
from fordtrestle.balancer.zones import ZoneFailover

CANDIDATES = 3  # two draw a server that is in trouble too often where the subset is small
MAX_DRAWS = 16  # bounds the work
LAST_DRAWS = 4  # of them; these go beyond the subset


class CandidateSelection:
    """Draws the servers of a request."""

    def __init__(
        self,
        settings: model.Settings,
        subset: Subset,
        eligibility: Eligibility,
        slow_start: SlowStart,
        affinity: KeyAffinity,
        locality: LocalPreference,
        zones: ZoneFailover,
        connections: ConnectionHealth,
        times: ServiceTimes,
        own: OwnLoad,
        draw: Callable[[], float],
    ) -> None:
        """Ready to draw.

        Args:
            settings: The sidecar's settings.
            subset: The servers that are drawn from.
            eligibility: The rules.
            slow_start: How warm servers are.
            affinity: The servers of a key.
            locality: Whether a local server is preferred.
            zones: Which zones are to be tried.
            connections: While new ones fail, more servers are drawn.
            times: How long an answer usually takes.
            own: Own attempts in flight widen the reach.
            draw: Random numbers from 0 to 1.
        """
        self._subset = subset
        self._eligibility = eligibility
        self._slow_start = slow_start
        self._affinity = affinity
        self._locality = locality
        self._zones = zones
        self._connections = connections
        self._times = times
        self._own = own
        self._draw = draw
        self.apply_settings(settings)

    def apply_settings(self, settings: model.Settings) -> None:
        """Go by these settings."""
        self._connect_timeout = settings.connect_timeout

    def draw(self, now: float, request: Request) -> list[Server]:
        """A few random servers; none where none may be sent to, with the cause noted in the request."""
        if self._zones.any_suspected_or_partitioned(now) and (trial := self._zone_trial(now, request)):
            return trial
        request.undrawn_cause = Cause.ATTEMPTS if request.attempts else Cause.DRAIN
        if self._affinity.is_on and request.key is not None:
            drawn = self._affinity.draw(now, request, request.key, self._may_draw)
            if drawn:
                return drawn
        return self._draw_at_random(now, request)

    def _draw_at_random(self, now: float, request: Request) -> list[Server]:
        drawn: list[Server] = []
        tried = [attempt.server for attempt in request.attempts if not attempt.met_dropped_connection]
        ring, is_bound = self._ring(request), request.binding_attempt() is not None
        reach = self._subset.reach(ring, len(request.attempts), self._own.in_flight)
        top_capacity = self._subset.top_weight * MAX_SPEED
        for draw in range(MAX_DRAWS if ring else 0):
            if draw == MAX_DRAWS - LAST_DRAWS and not is_bound:
                if drawn:
                    break
                ring, reach = self._subset.servers, len(self._subset.servers)
            server = ring[int(self._draw() * reach)]
            share = self._slow_start.capacity(now, server) / top_capacity
            if share < 1.0 and self._draw() >= share:
                continue
            if server in tried or server in drawn or not self._may_draw(now, request, server, ring, reach):
                continue
            drawn.append(server)
            if len(drawn) >= CANDIDATES + MORE_CANDIDATES * self._connections.excess_errors():
                break
        return drawn or self._look_for_one(now, request, ring, tried)

    def _ring(self, request: Request) -> list[Server]:
        """The servers to draw from."""
        subset, bound = self._subset, request.binding_attempt()
        if bound is not None and request.profile.semantics == "token" and request.profile.group != "all":
            # Only its group may have it again.
            return subset.groups.get(bound.server.group(request.profile.group), [])
        if self._locality.is_on and subset.local and subset.remote:
            is_remote = self._draw() < self._locality.remote_share(request.traffic_class)
            return subset.remote if is_remote else subset.local
        return subset.servers

    def _look_for_one(
        self, now: float, request: Request, ring: list[Server], tried: list[Server]
    ) -> list[Server]:
        """Any server that may be sent to. Guards against a refusal only since the draws were unlucky."""
        start = int(self._draw() * len(ring))
        for server in ring[start:] + ring[:start]:
            if server not in tried and self._may_draw(now, request, server, ring, len(ring)):
                return [server]
        return []

    def _zone_trial(self, now: float, request: Request) -> list[Server]:
        """A server of a zone in trouble, if a trial is due and there is time for other attempts."""
        if request.attempts or not request.max_attempts:
            return []
        ring = self._subset.servers
        trial_ms = self._times.typical_ms() + self._connect_timeout
        is_hurried = request.useful_until() - now < trial_ms
        for name, zone in self._zones.due_for_trial(now, is_hurried):
            there = [server for server in ring if server.zone == name]
            there = [server for server in there if server.name not in zone.unresponsive] or there
            server = there[int(self._draw() * len(there))] if there else None
            if server and self._slow_start.admits(now, request, server, ring, len(ring)):
                return [server]
        return []

    def _may_draw(self, now: float, request: Request, server: Server, ring: list[Server], reach: int) -> bool:
        rules = self._eligibility
        cause = rules.unfit_cause(now, server) or rules.barred_cause(now, request, server)
        if cause is None and self._slow_start.admits(now, request, server, ring, reach):
            return True
        request.undrawn_cause = max(request.undrawn_cause, cause or Cause.COLD)
        return False
