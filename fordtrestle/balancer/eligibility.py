"""The rules of sending: whether a server is eligible, and whether a request may be sent to it. Pure.

Every send, refusal and failure is checked here. Benchmarks break these rules on purpose, to verify that they
detect it.
"""

from __future__ import annotations

from fordtrestle.balancer import model
from fordtrestle.balancer.ejection import allowed_in_flight
from fordtrestle.balancer.key_order import KeyOrder
from fordtrestle.balancer.model import Cause
from fordtrestle.balancer.requests import Request
from fordtrestle.balancer.servers import Server
from fordtrestle.balancer.zones import ZoneFailover


class Eligibility:
    """Tells why a server is not eligible, or why a request may not be sent to it."""

    def __init__(self, settings: model.Settings, zones: ZoneFailover, order: KeyOrder) -> None:
        self._zones = zones
        self._key_order = order
        self.apply_settings(settings)

    def apply_settings(self, settings: model.Settings) -> None:
        """Apply changed settings."""
        self._may_try_in_parallel = settings.parallel_tries

    def ineligible_cause(self, now: float, server: Server) -> Cause | None:
        """Return why a server may not be selected, or None; an ejected server gets a single trial."""
        if now < server.unavailable_until or not server.is_usable:
            return Cause.RESTING
        if self._zones.is_partitioned(now, server):
            return Cause.CUT_OFF
        if server.in_flight >= allowed_in_flight(now, server):
            return Cause.FULL_ROOM
        return Cause.RESTING if server.ejections and server.in_flight else None

    def forbidden_cause(self, now: float, request: Request, server: Server) -> Cause | None:
        """Return why a request may not be sent to a server, or None."""
        if request.is_done or now >= request.give_up_at:
            return Cause.NO_TIME
        if len(request.attempts) >= request.max_attempts:
            return Cause.ATTEMPTS
        if request.in_flight and not self._may_try_in_parallel:
            return Cause.ATTEMPTS
        if request.is_ordered and not self._key_order.may_send(now, request):
            return Cause.NO_TIME
        binding, profile, group = request.binding_attempt(), request.profile, request.profile.group
        if binding is not None and profile.semantics != "pure":
            lost = profile.semantics == "side_effect" or now - binding.sent_at >= profile.key_ttl
            if lost or (group != "all" and server.group(group) != binding.server.group(group)):
                return Cause.MAY_HAVE_RUN
        return None
