"""Attempts: sending one, how long to wait for it, and what its end tells of connections and zones. Pure."""

from __future__ import annotations

import math

from fordtrestle.balancer import model
from fordtrestle.balancer.baselines import ServiceTimes
from fordtrestle.balancer.connections import ConnectionHealth
from fordtrestle.balancer.ejection import OutlierEjection
from fordtrestle.balancer.outcomes import ANSWERS, CONNECT_FAILED, NEVER_RAN, OWN_ENDS, RESET
from fordtrestle.balancer.own_load import OwnLoad
from fordtrestle.balancer.requests import Request
from fordtrestle.balancer.servers import Attempt, Server
from fordtrestle.balancer.shedding import MIN_OVERLOAD_SLOWDOWN, LoadShedder
from fordtrestle.balancer.zones import ZoneFailover

STALL_SHARE = 0.5  # of the latency target: a server with an attempt out for longer may be hung
TRIAL_ANSWERS = 3.0  # a first attempt that may be repeated gets at least so many usual answers' time

DUE_TIMER = "due:"  # an attempt reaches its latency target


class AttemptSender:
    """Sends attempts and counts them where they are in flight."""

    def __init__(
        self,
        actions: list[model.Action],
        *,
        own: OwnLoad,
        times: ServiceTimes,
        shedder: LoadShedder,
        ejection: OutlierEjection,
        zones: ZoneFailover,
        connections: ConnectionHealth,
    ) -> None:
        """No attempt is in flight; what is to be done is added to `actions`."""
        self._actions = actions
        self._own = own
        self._times = times
        self._shedder = shedder
        self._ejection = ejection
        self._zones = zones
        self._connections = connections

    def send(self, now: float, request: Request, server: Server) -> None:
        """Send a request to a server."""
        timeout, begin_within, bound = self._timeout(now, request), math.inf, request.binding_attempt()
        if bound and request.profile.semantics == "token":  # it may wait for its connection
            begin_within = bound.sent_at + request.profile.key_ttl - now
        unused_ms = now - server.last_used_at if server.last_used_at and not server.in_flight else 0.0
        target_ms = request.profile.objective
        attempt = Attempt(server, now, now + STALL_SHARE * target_ms, unused_ms)
        if unused_ms > self._connections.trusted_idle_ms(now) or self._zones.is_suspected_or_partitioned(
            server
        ):
            self._actions.append(model.CloseIdle(server.name))
            server.idle_connections = 0
        attempt.is_new_connection = server.idle_connections == 0
        server.idle_connections -= not attempt.is_new_connection
        server.last_used_at = now
        request.attempts.append(attempt)
        request.in_flight += 1
        server.attempts[attempt] = None
        server.in_flight += 1
        self._zones.on_send(attempt)
        self._own.on_send(now)
        if timeout > target_ms:
            token = f"{DUE_TIMER}{request.id}:{len(request.attempts) - 1}"
            self._actions.append(model.Timer(target_ms, token))
        self._actions.append(model.Send(request.id, server.name, timeout, begin_within))

    def on_outcome(
        self,
        now: float,
        request: Request,
        attempt: Attempt,
        status: int,
        spent_ms: float,
        servers: dict[str, Server],
    ) -> None:
        """Count an attempt as ended.

        Args:
            now: The time in ms.
            request: Whose it was.
            attempt: Which one.
            status: How it ended.
            spent_ms: How long it took.
            servers: All known servers.
        """
        server = attempt.server
        attempt.is_in_flight, attempt.may_have_run = False, status not in NEVER_RAN
        server.in_flight -= 1
        server.last_used_at = now
        if status in ANSWERS:
            server.idle_connections += 1
        elif status == RESET:
            server.idle_connections = 0
        is_telling = attempt.is_new_connection and status not in OWN_ENDS
        if is_telling and not self._zones.is_partitioned(now, server):
            self._connections.record_connect(status == CONNECT_FAILED)
        server.attempts.pop(attempt, None)
        self._zones.on_outcome(now, attempt, status, spent_ms, servers)
        self._own.on_end()
        request.in_flight -= 1

    def _timeout(self, now: float, request: Request) -> float:
        """How long to wait for an attempt, in ms, before it is better spent elsewhere."""
        useful, profile = request.useful_until(), request.profile
        whole = max(0.0, (useful if useful > now else request.give_up_at) - now)
        is_quick = self._shedder.slowdown(now) < MIN_OVERLOAD_SLOWDOWN
        may_repeat = profile.harmless and len(request.attempts) + 1 < request.max_attempts
        if may_repeat and is_quick and self._ejection.had_unresponsive_server(now):
            # Guards against hung and silent servers, also where they hold up a key's queue. Only after one
            # was met and while answers are quick: in an overload repeats would add to it.
            typical_ms = self._times.typical_ms()
            trial = max(STALL_SHARE * profile.objective, TRIAL_ANSWERS * typical_ms)
            repeat_ends = trial + typical_ms
            if repeat_ends < whole and (profile.semantics == "pure" or repeat_ends < profile.key_ttl):
                return trial
        return whole
