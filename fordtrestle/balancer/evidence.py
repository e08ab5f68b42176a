"""Evidence: what an outcome shows about the service, its server, and this sidecar itself. Pure."""

from __future__ import annotations

from fordtrestle.balancer import model
from fordtrestle.balancer.baselines import PACE_MEMORY_MS, ServiceTimes
from fordtrestle.balancer.connections import REFUSED_SHARE, ConnectionHealth
from fordtrestle.balancer.ejection import OutlierEjection
from fordtrestle.balancer.locality import LocalPreference
from fordtrestle.balancer.outage import OutageDetector
from fordtrestle.balancer.outcomes import CONNECT_FAILED, ENDED_LOCALLY, FULL, OK, TIMEOUT
from fordtrestle.balancer.own_load import OwnLoad
from fordtrestle.balancer.requests import Request
from fordtrestle.balancer.servers import Attempt
from fordtrestle.balancer.shedding import (
    MIN_OVERLOAD_SLOWDOWN,
    OVERLOAD_SLOWDOWN,
    UNANSWERED_SLOWDOWN,
    LoadShedder,
)
from fordtrestle.balancer.subset import Subset
from fordtrestle.balancer.throttle import Throttle
from fordtrestle.balancer.zones import ZoneFailover

LATE_ACCEPT = 0.5  # of an accept: an answer past its latency target shows that the service is falling behind
# A timeout is evidence of a slow service only after this multiple of the baseline for its class and work.
# Before that, the client gave up too early.
MIN_TIMEOUT_SLOWDOWN = 3.0
MIN_OWN_STALL_MS = 100.0  # a timer that is this late shows a stall of this sidecar; a tick is far shorter


class Evidence:
    """Attributes each outcome to the server, to the service, or to neither."""

    def __init__(
        self,
        settings: model.Settings,
        *,
        throttle: Throttle,
        shedder: LoadShedder,
        outage: OutageDetector,
        times: ServiceTimes,
        ejection: OutlierEjection,
        locality: LocalPreference,
        zones: ZoneFailover,
        connections: ConnectionHealth,
        own: OwnLoad,
        subset: Subset,
    ) -> None:
        """Keep references to the parts that learn from outcomes."""
        self._throttle = throttle
        self._shedder = shedder
        self._outage = outage
        self._times = times
        self._ejection = ejection
        self._locality = locality
        self._zones = zones
        self._connections = connections
        self._own = own
        self._subset = subset
        self.apply_settings(settings)

    def apply_settings(self, settings: model.Settings) -> None:
        """Apply changed settings."""
        self._connect_timeout = settings.connect_timeout

    def record_outcome(
        self, now: float, request: Request, attempt: Attempt, status: int, spent_ms: float
    ) -> None:
        """Record the outcome of an attempt that took `spent_ms`."""
        server, target_ms = attempt.server, request.profile.objective
        if status in ENDED_LOCALLY or self._connections.used_dropped_connection(
            now, attempt, status, spent_ms
        ):
            return  # the client left, or the cause is on the sidecar's side: no evidence of the service
        slowdown = self._learn_baseline(now, request, status, spent_ms)
        if status == TIMEOUT and spent_ms < target_ms and slowdown < MIN_TIMEOUT_SLOWDOWN:
            return  # the client gave up before answers usually arrive
        if self._zones.is_unresponsive(status, spent_ms) and self._zones.is_partitioned(now, server):
            return  # a partition, and the attempt reached no server: neither an overload nor a server fault
        is_late = spent_ms > target_ms
        self._learn_load(now, request, attempt, status, spent_ms, slowdown)
        self._locality.record_outcome(server, request.traffic_class, status != OK or is_late)
        if status in (OK, FULL):
            self._record_accept(now)
        else:
            self._outage.record_failure(now)
        self._charge_server(now, attempt, status, spent_ms)
        self._throttle.add(now, 0.0 if status != OK else LATE_ACCEPT if is_late else 1.0)

    def record_overdue(self, now: float, request: Request, attempt: Attempt) -> None:
        """Record an attempt that is still in flight at its latency target.

        The service is known to be slow at that time already, not only when the client gives up.
        """
        target_ms = request.profile.objective
        baseline = self._times.baselines[request.traffic_class]
        if baseline.slowdown(target_ms, request.work) < OVERLOAD_SLOWDOWN:
            return  # answers usually take about that long
        if now - attempt.sent_at - target_ms > MIN_OWN_STALL_MS:
            return  # this sidecar itself stalled: no evidence of the service
        if self._zones.is_partitioned(now, attempt.server):
            return
        self._shedder.record_unanswered(now)
        if self._shedder.slowdown(now) < MIN_OVERLOAD_SLOWDOWN:
            self._ejection.record_fault(now, attempt.server, True, attempt.sent_at)

    def _learn_baseline(self, now: float, request: Request, status: int, spent_ms: float) -> float:
        """Update the class's baseline from an answer, and return the attempt's slowdown against it."""
        baseline = self._times.baselines[request.traffic_class]
        if status == OK:
            answers = self._own.rate_per_ms(now) * PACE_MEMORY_MS
            target_per_work = request.profile.objective / self._times.mean_work
            baseline.record_answer(now, spent_ms, request.work, answers, target_per_work)
        return baseline.slowdown(spent_ms, request.work)

    def _learn_load(
        self, now: float, request: Request, attempt: Attempt, status: int, spent_ms: float, slowdown: float
    ) -> None:
        """Update the load of the service and of its server from an answer, a rejection or a timeout."""
        if status not in (OK, FULL, TIMEOUT):
            return
        server, target_ms = attempt.server, request.profile.objective
        if status == OK:
            self._shedder.record_outcome(now, slowdown, True)
        elif status == FULL:
            self._shedder.record_outcome(now, UNANSWERED_SLOWDOWN)
        elif spent_ms < target_ms or request.profile.late_worth <= 0.0:
            self._shedder.record_unanswered(now)  # if late answers have value, it was counted at its target
        took_ms = max(spent_ms, 0.0 if status == OK else target_ms)
        answers = self._own.rate_per_ms(now) * PACE_MEMORY_MS
        self._times.record_answer(
            server.pace, server.kind_pace, took_ms, request.work, answers, self._subset.recent_server_count
        )

    def _record_accept(self, now: float) -> None:
        """Record that the service accepted work; the window and the pause of an outage are then forgotten."""
        lasted_ms = self._outage.record_accept(now)
        if lasted_ms is not None:
            self._throttle.clear()
            self._own.skip(lasted_ms)

    def _charge_server(self, now: float, attempt: Attempt, status: int, spent_ms: float) -> None:
        server = attempt.server
        if status == OK:
            self._ejection.record_success(now, server)
        elif status == FULL:
            self._ejection.record_rejection(now, server)
        elif status == CONNECT_FAILED and spent_ms < REFUSED_SHARE * self._connect_timeout:
            self._ejection.record_refused_connection(now, server)
        else:
            self._ejection.record_fault(now, server, status == TIMEOUT, attempt.sent_at)
