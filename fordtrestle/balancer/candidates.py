"""Candidate selection: a few random servers for a request, weighted by their capacity. Pure.

The request is sent to the least loaded of them ("the power of two choices", Mitzenmacher 2001).
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

CANDIDATES = 3  # with two, a small subset sends too many requests to a failing server
MAX_DRAWS = 16  # random draws for a request; bounds the computation
LAST_DRAWS = 4  # the last of these draws, which are made from all servers if there is no candidate yet


class CandidateSelection:
    """Selects the candidate servers of a request."""

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
        uniform: Callable[[], float],
    ) -> None:
        """Keep references to the parts that the selection depends on.

        Args:
            settings: The sidecar's settings.
            subset: The servers to select from.
            eligibility: The rules for which servers may be sent to.
            slow_start: Tells how warm servers are.
            affinity: Selects the servers of a key.
            locality: Tells which share of requests goes to remote zones.
            zones: Tells which zones are due for a trial.
            connections: Tells whether new connections fail, in which case there are more candidates.
            times: Tells how long an answer typically takes.
            own: This sidecar's attempts in flight, which widen the reach.
            uniform: Returns random numbers in [0, 1).
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
        self._uniform = uniform
        self.apply_settings(settings)

    def apply_settings(self, settings: model.Settings) -> None:
        """Apply changed settings."""
        self._connect_timeout = settings.connect_timeout

    def select(self, now: float, request: Request) -> list[Server]:
        """Select a few random servers; if there are none, the cause is stored in the request."""
        if self._zones.any_suspected_or_partitioned(now) and (trial := self._zone_trial(now, request)):
            return trial
        request.no_candidate_cause = Cause.ATTEMPTS if request.attempts else Cause.DRAIN
        if self._affinity.is_on and request.key is not None:
            candidates = self._affinity.select(now, request, request.key, self._is_candidate)
            if candidates:
                return candidates
        return self._select_at_random(now, request)

    def _select_at_random(self, now: float, request: Request) -> list[Server]:
        candidates: list[Server] = []
        tried = [attempt.server for attempt in request.attempts if not attempt.used_dropped_connection]
        ring, is_restricted = self._ring(request), request.binding_attempt() is not None
        reach = self._subset.reach(ring, len(request.attempts), self._own.in_flight)
        top_capacity = self._subset.top_weight * MAX_SPEED
        for draw in range(MAX_DRAWS if ring else 0):
            if draw == MAX_DRAWS - LAST_DRAWS and not is_restricted:
                if candidates:
                    break
                ring, reach = self._subset.servers, len(self._subset.servers)
            server = ring[int(self._uniform() * reach)]
            share = self._slow_start.capacity(now, server) / top_capacity
            if share < 1.0 and self._uniform() >= share:
                continue
            if (
                server in tried
                or server in candidates
                or not self._is_candidate(now, request, server, ring, reach)
            ):
                continue
            candidates.append(server)
            if len(candidates) >= CANDIDATES + MORE_CANDIDATES * self._connections.excess_errors():
                break
        return candidates or self._find_any(now, request, ring, tried)

    def _ring(self, request: Request) -> list[Server]:
        """Return the servers to select from."""
        subset, binding = self._subset, request.binding_attempt()
        if binding is not None and request.profile.semantics == "token" and request.profile.group != "all":
            # A retry must stay within the group of the first attempt that may have run.
            return subset.groups.get(binding.server.group(request.profile.group), [])
        if self._locality.is_on and subset.local and subset.remote:
            is_remote = self._uniform() < self._locality.remote_share(request.traffic_class)
            return subset.remote if is_remote else subset.local
        return subset.servers

    def _find_any(
        self, now: float, request: Request, ring: list[Server], tried: list[Server]
    ) -> list[Server]:
        """Return any server that may be sent to, so that unlucky draws alone do not cause a refusal."""
        start = int(self._uniform() * len(ring))
        for server in ring[start:] + ring[:start]:
            if server not in tried and self._is_candidate(now, request, server, ring, len(ring)):
                return [server]
        return []

    def _zone_trial(self, now: float, request: Request) -> list[Server]:
        """Return a server of a suspected or partitioned zone, if a trial of the zone is due."""
        if request.attempts or not request.max_attempts:
            return []
        ring = self._subset.servers
        trial_ms = self._times.typical_ms() + self._connect_timeout
        is_short_of_time = request.useful_until() - now < trial_ms
        for name, zone in self._zones.due_for_trial(now, is_short_of_time):
            zone_servers = [server for server in ring if server.zone == name]
            zone_servers = [
                server for server in zone_servers if server.name not in zone.failed_connects
            ] or zone_servers
            server = zone_servers[int(self._uniform() * len(zone_servers))] if zone_servers else None
            if server and self._slow_start.admits(now, request, server, ring, len(ring)):
                return [server]
        return []

    def _is_candidate(
        self, now: float, request: Request, server: Server, ring: list[Server], reach: int
    ) -> bool:
        rules = self._eligibility
        cause = rules.ineligible_cause(now, server) or rules.forbidden_cause(now, request, server)
        if cause is None and self._slow_start.admits(now, request, server, ring, reach):
            return True
        request.no_candidate_cause = max(request.no_candidate_cause, cause or Cause.COLD)
        return False
