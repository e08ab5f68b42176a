"""Tracks the attempts of one request and decides which further attempts are allowed. Pure.

A configuration may change while a request is open. A request that may have run is run again only if every
route that has applied to it since its arrival allows that.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from fordtrestle.routing.common import InstanceId
from fordtrestle.routing.route import Route

MAX_SENDS = 4  # per request, including rejected ones: more would let rejections amplify an overload
MAX_CONNECT_FAILURES = 4  # unreachable servers per request before it is rejected
MAX_WITHDRAWALS = 4  # sends per request that are withdrawn before it is rejected


@dataclass(slots=True, eq=False)
class RequestAttempts:
    """Counts the attempts of one request.

    A *send* reached a server. A *run* is a send that the server may have started to process; only runs count
    against the route's `max_attempts`.

    Attributes:
        tried: Servers that were sent the request.
        sends: The number of sends.
        runs: The number of runs.
        connect_failures: The number of servers that could not be reached.
        withdrawals: The number of sends that were no longer allowed when they had a connection.
        is_admitted: Whether admission control has admitted the request; it is consulted only until then.
        may_have_run: Whether a server may have run the request without its response being forwarded. If so,
            the client must not receive a response that guarantees that the request has not run.
        is_idempotent: Whether every route that has applied to the request allows it to run more than once.
        max_runs: The smallest `max_attempts` of these routes.
        on_forbidden: Called once when a route forbids the run that is under way; `None` if there is none, or
            if its response has begun.
    """

    tried: set[InstanceId] = field(default_factory=set)
    sends: int = 0
    runs: int = 0
    connect_failures: int = 0
    withdrawals: int = 0
    is_admitted: bool = False
    may_have_run: bool = False
    is_idempotent: bool = True
    max_runs: float = math.inf
    on_forbidden: Callable[[], None] | None = None

    def restrict(self, route: Route) -> None:
        """Apply the restrictions of a route that applies to the request while it is open."""
        self.is_idempotent = self.is_idempotent and route.is_idempotent
        self.max_runs = min(self.max_runs, route.max_attempts)
        if self.on_forbidden is not None and not self.can_run():
            on_forbidden, self.on_forbidden = self.on_forbidden, None
            on_forbidden()

    def record_send(self, instance: InstanceId, rejected: bool) -> None:
        """Count a send, which is also a run unless the server rejected it."""
        self.tried.add(instance)
        self.sends += 1
        if not rejected:
            self.runs += 1

    def can_run(self) -> bool:
        """Return whether the request may be sent to a server that runs it."""
        if self.runs == 0:
            return True
        return self.is_idempotent and self.runs < self.max_runs

    def has_exhausted_sends(self) -> bool:
        """Return whether the request has been sent `MAX_SENDS` times."""
        return self.sends >= MAX_SENDS

    def has_exhausted_connects(self) -> bool:
        """Return whether `MAX_CONNECT_FAILURES` servers could not be reached."""
        return self.connect_failures >= MAX_CONNECT_FAILURES

    def has_exhausted_withdrawals(self) -> bool:
        """Return whether `MAX_WITHDRAWALS` sends were withdrawn."""
        return self.withdrawals >= MAX_WITHDRAWALS
