"""Attempts: how they are sent, how long to wait for them, and the counting of those in flight. Pure."""

from __future__ import annotations

import math

from fordtrestle.balancer import model
from fordtrestle.balancer.baselines import ServiceTimes
from fordtrestle.balancer.connections import ConnectionHealth
from fordtrestle.balancer.ejection import OutlierEjection
from fordtrestle.balancer.outcomes import ANSWERS, CONNECT_FAILED, ENDED_LOCALLY, NEVER_RAN, RESET
from fordtrestle.balancer.own_load import OwnLoad
from fordtrestle.balancer.requests import Request
from fordtrestle.balancer.servers import Attempt, Server
from fordtrestle.balancer.shedding import MIN_OVERLOAD_SLOWDOWN, LoadShedder
from fordtrestle.balancer.zones import ZoneFailover

STALL_SHARE = 0.5  # of the latency target; a server with an attempt in flight for longer may be hung
MIN_TRIAL_ANSWERS = 3.0  # minimum timeout of an attempt that can be retried, in typical answer times

DUE_TIMER = "due:"  # token prefix: an attempt reaches its latency target


class AttemptSender:
    """Sends attempts, and reports their start and end to the parts that count them."""

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
        """Start without attempts in flight; actions are appended to `actions`."""
        self._actions = actions
        self._own = own
        self._times = times
        self._shedder = shedder
        self._ejection = ejection
        self._zones = zones
        self._connections = connections

    def send(self, now: float, request: Request, server: Server) -> None:
        """Send a request to a server as a new attempt."""
        timeout, begin_within, binding = self._timeout(now, request), math.inf, request.binding_attempt()
        if binding and request.profile.semantics == "token":  # the attempt may first wait for its connection
            begin_within = binding.sent_at + request.profile.key_ttl - now
        idle_ms = now - server.last_used_at if server.last_used_at and not server.in_flight else 0.0
        target_ms = request.profile.objective
        attempt = Attempt(server, now, now + STALL_SHARE * target_ms, idle_ms)
        if idle_ms > self._connections.trusted_idle_ms(now) or self._zones.is_suspected_or_partitioned(
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
        """Record the end of an attempt, and what it shows about connections and zones.

        Args:
            now: The time in ms.
            request: The attempt's request.
            attempt: The attempt.
            status: Its outcome, as a `model.Outcome`.
            spent_ms: How long it took, in ms.
            servers: All known servers, by name.
        """
        server = attempt.server
        attempt.is_in_flight, attempt.may_have_run = False, status not in NEVER_RAN
        server.in_flight -= 1
        server.last_used_at = now
        if status in ANSWERS:
            server.idle_connections += 1
        elif status == RESET:
            server.idle_connections = 0
        has_connect_result = attempt.is_new_connection and status not in ENDED_LOCALLY
        if has_connect_result and not self._zones.is_partitioned(now, server):
            self._connections.record_connect(status == CONNECT_FAILED)
        server.attempts.pop(attempt, None)
        self._zones.on_outcome(now, attempt, status, spent_ms, servers)
        self._own.on_end()
        request.in_flight -= 1

    def _timeout(self, now: float, request: Request) -> float:
        """Return for how many ms to wait for an attempt before it is better to try another server."""
        useful_until, profile = request.useful_until(), request.profile
        remaining_ms = max(0.0, (useful_until if useful_until > now else request.give_up_at) - now)
        has_no_overload = self._shedder.slowdown(now) < MIN_OVERLOAD_SLOWDOWN
        may_repeat = profile.harmless and len(request.attempts) + 1 < request.max_attempts
        if may_repeat and has_no_overload and self._ejection.had_unresponsive_server(now):
            # Guards against hung and silent servers, which also block the queue of a key. Applies only after
            # such a server was detected and while answers are quick: in an overload retries would add to it.
            typical_ms = self._times.typical_ms()
            trial_ms = max(STALL_SHARE * profile.objective, MIN_TRIAL_ANSWERS * typical_ms)
            repeat_end_ms = trial_ms + typical_ms
            if repeat_end_ms < remaining_ms and (
                profile.semantics == "pure" or repeat_end_ms < profile.key_ttl
            ):
                return trial_ms
        return remaining_ms
