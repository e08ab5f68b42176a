"""Decides the next step of a request. Pure.

Each step evaluates the route, home regions, admission, servers and budgets anew, so that the decision for a
request that has waited is based on the current state. Whether a request may run again depends on all
configurations that were active while it was open (`RequestAttempts`).
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from fordtrestle.admission.admission_control import AdmissionControl
from fordtrestle.admission.retry_budget import RetryBudget
from fordtrestle.routing.common import Draw, RequestMetadata, ServiceName
from fordtrestle.routing.decisions import Decision, Reject, SendTo, UnknownRoute, WaitFor
from fordtrestle.routing.drain_policy import DrainPolicy
from fordtrestle.routing.outcome_reporter import OutcomeReporter
from fordtrestle.routing.request_attempts import RequestAttempts
from fordtrestle.routing.route import Route
from fordtrestle.routing.route_table import RouteTable
from fordtrestle.routing.server import Server
from fordtrestle.routing.server_selector import ServerSelector
from fordtrestle.routing.view import View

# Assumed number of sidecars that share a budget while the actual number is unknown. It is larger than any
# site, so that a sidecar that has just started spends almost nothing of the fleet's budget.
ASSUMED_SIDECAR_COUNT = 1000
NO_CONFIGURATION_TIMEOUT_S = 5.0  # replaces the route's timeout while no configuration is known
NO_CONFIGURATION_RETRY_SCALE_S = 1.0  # replaces the route's latency target while no configuration is known
# Time until this sidecar, or another one in its region, is ready again.
DRAINING_RETRY_SCALE_S = 4.0
# A request of a warm-up budget that waits longer for its connection may be sent together with later ones.
MAX_WARM_UP_WAIT_S = 0.5
MAX_WAIT_SHARE = 0.3  # of the request's timeout, before its first send; the rest is reserved for the response
MAX_WAIT_S = 1.5  # before the first send: longer than the election of a primary (1.2 s)


@dataclass(slots=True)
class Router:
    """Decides the next steps of all requests of one sidecar.

    Attributes:
        view: The newest state that this sidecar knows.
        admission: Load shedding by callee.
        retries: This sidecar's share of the fleet's retry budget.
        selector: Selects the server of each send.
        draw: The random source for weighted backends.
        drain_policy: Decides which requests are accepted during a shutdown.
        reporter: Collects outcomes for the control process that detects outliers.
        is_view_current: Returns whether the view can be trusted to hold the newest configuration, up to the
            time that a change may take to reach this sidecar. Otherwise no request runs again.
    """

    view: View
    admission: AdmissionControl
    retries: RetryBudget
    selector: ServerSelector
    draw: Draw
    drain_policy: DrainPolicy = field(default_factory=DrainPolicy)
    reporter: OutcomeReporter = field(default_factory=OutcomeReporter)
    is_view_current: Callable[[float], bool] = lambda now: True
    _open_requests: dict[RequestAttempts, RequestMetadata] = field(default_factory=dict, init=False)

    def __post_init__(self) -> None:
        """Follow the activation of configurations."""
        self.view.on_activated = self._restrict_open_requests

    @contextmanager
    def track(self, request: RequestMetadata, attempts: RequestAttempts) -> Iterator[None]:
        """Restrict the attempts of a request by each configuration that becomes active within the block."""
        self._open_requests[attempts] = request
        try:
            yield
        finally:
            del self._open_requests[attempts]

    def next_step(self, request: RequestMetadata, attempts: RequestAttempts, now: float) -> Decision:
        """Decide the next step of a request.

        Args:
            request: The request.
            attempts: Its attempts so far; restricted by the route, and updated when admission control admits
                the request.
            now: Seconds of the loop's clock.
        """
        table = self.view.table
        if attempts.has_exhausted_withdrawals():
            return Reject(NO_CONFIGURATION_RETRY_SCALE_S, "its routes and servers keep changing")
        if table is None:
            rejection = Reject(NO_CONFIGURATION_RETRY_SCALE_S, "no configuration yet")
            return self._wait_or_reject(request, attempts, NO_CONFIGURATION_TIMEOUT_S, rejection)
        route = table.match(request.host, request.path)
        if route is None:
            return UnknownRoute()
        attempts.restrict(route)
        if not self._can_run(attempts, now):
            return Reject(route.latency_target_s, "it may have run")
        deadline = request.arrived_at + request.timeout_s(route.timeout_s)
        if not self.drain_policy.accepts(deadline, now):
            return Reject(DRAINING_RETRY_SCALE_S, "this sidecar ends")
        if now >= deadline:
            return Reject(route.latency_target_s, "the time is up")
        return self._next_send(route, request, attempts, now, deadline)

    def resume(
        self, request: RequestMetadata, attempts: RequestAttempts, now: float, deadline: float
    ) -> SendTo | None:
        """Select the server that continues a stream that broke off.

        Args:
            request: The request.
            attempts: Its attempts so far.
            now: Seconds of the loop's clock.
            deadline: When the stream must be complete, in seconds of the loop's clock.

        Returns:
            The send; `None` if the stream may not be resumed or no server can continue it.
        """
        table = self.view.table
        route = table.match(request.host, request.path) if table else None
        if route is None or not route.is_resumable:
            return None
        attempts.restrict(route)
        if not self._can_run(attempts, now):
            return None
        if attempts.has_exhausted_connects() or attempts.has_exhausted_withdrawals() or now >= deadline:
            return None
        callee = route.draw_backend(self.draw)
        server = self.selector.select(route, callee, request.prompt, attempts.tried, now)
        if server is None or not self._try_acquire_retry(callee, now):
            return None
        return SendTo(route, callee, server, deadline, self.view.generation)

    def still_allows(
        self, send: SendTo, request: RequestMetadata, attempts: RequestAttempts, waited_s: float, now: float
    ) -> bool:
        """Return whether a send is still allowed, at the moment at which its request is to be written.

        Args:
            send: The decision, made before the connection to the server was opened or waited for.
            request: The request.
            attempts: Its attempts so far.
            waited_s: The time since the decision, in seconds.
            now: Seconds of the loop's clock.
        """
        if waited_s > MAX_WARM_UP_WAIT_S and send.server.is_warming_up(now):
            return False
        if not self._can_run(attempts, now) or not self.view.can_receive(send.server):
            return False
        if send.generation == self.view.generation:
            return True
        table = self.view.table
        return table is not None and table.match(request.host, request.path) == send.route

    def record_outcome(self, server: Server, failed: bool, now: float) -> bool:
        """Record the outcome of a request at a server, for outlier detection.

        Returns:
            Whether this sidecar ejects the server because of it.
        """
        self.reporter.record(server.record.service, server.instance, failed, now)
        return self.view.servers.record_outcome(server, failed, now)

    def _can_run(self, attempts: RequestAttempts, now: float) -> bool:
        """Return whether a request may run, by all routes so far; again only if the newest one is known."""
        return attempts.can_run() and (attempts.runs == 0 or self.is_view_current(now))

    def _restrict_open_requests(self, table: RouteTable) -> None:
        for attempts, request in self._open_requests.items():
            route = table.match(request.host, request.path)
            if route is not None:
                attempts.restrict(route)

    def _next_send(
        self,
        route: Route,
        request: RequestMetadata,
        attempts: RequestAttempts,
        now: float,
        deadline: float,
    ) -> Decision:
        callee = route.draw_backend(self.draw)
        if not self._admit(callee, attempts, now):
            return Reject(route.latency_target_s, "too many requests are turned away")
        server = self.selector.select(route, callee, request.prompt, attempts.tried, now)
        if server is None:
            rejection = Reject(route.latency_target_s, "no server may take it")
            return self._wait_or_reject(request, attempts, route.timeout_s, rejection)
        if attempts.sends and not self._try_acquire_retry(callee, now):
            return Reject(route.latency_target_s, "the budget of second sends is used up")
        return SendTo(route, callee, server, deadline, self.view.generation)

    def _wait_or_reject(
        self, request: RequestMetadata, attempts: RequestAttempts, route_timeout_s: float, rejection: Reject
    ) -> WaitFor | Reject:
        """Let a request wait for a share of its timeout if it has not been sent yet; reject it otherwise."""
        if attempts.sends:
            return rejection
        max_wait_s = min(MAX_WAIT_S, MAX_WAIT_SHARE * request.timeout_s(route_timeout_s))
        return WaitFor(request.arrived_at + max_wait_s, rejection)

    def _admit(self, callee: ServiceName, attempts: RequestAttempts, now: float) -> bool:
        """Consult admission control unless it has already admitted the request."""
        if not attempts.is_admitted:
            self.retries.record_request(callee, now)
            attempts.is_admitted = self.admission.admit(callee, now)
        return attempts.is_admitted

    def _try_acquire_retry(self, callee: ServiceName, now: float) -> bool:
        """Acquire a retry from this sidecar's share of the retry budget; return whether that succeeded."""
        sidecars = len(self.view.sidecars) if self.view.knows_peers(now) else ASSUMED_SIDECAR_COUNT
        return self.retries.try_acquire(callee, sidecars, now)
