"""The attempts of one request so far, and what they leave open. Pure."""

from __future__ import annotations

from dataclasses import dataclass, field

from fordtrestle.routing.common import InstanceId
from fordtrestle.routing.route import Route

MAX_SENDS = 4  # of one request, rejected ones included: with more, rejections would multiply an overload
MAX_CONNECT_FAILURES = 4  # servers that a request may find unreachable before it is rejected


@dataclass(slots=True)
class RequestAttempts:
    """Counts the attempts of one request.

    A *send* reached a server. A *run* is a send that the server may have begun to work on: it alone counts
    against the route's `max_attempts`.

    Attributes:
        tried: Servers that were sent the request.
        sends: How many sends there were.
        runs: How many of them were runs.
        connect_failures: Servers that could not be reached.
        is_admitted: Whether admission control has admitted the request; it is asked no more then.
        may_have_run: Whether a server may have run the request and no answer of it was passed on. From then
            on the client must not be promised that nothing has run.
    """

    tried: set[InstanceId] = field(default_factory=set)
    sends: int = 0
    runs: int = 0
    connect_failures: int = 0
    is_admitted: bool = False
    may_have_run: bool = False

    def record_send(self, instance: InstanceId, rejected: bool) -> None:
        """Count a send; one that the server rejected is no run."""
        self.tried.add(instance)
        self.sends += 1
        if not rejected:
            self.runs += 1

    def can_retry_rejected(self, route: Route) -> bool:
        """Return whether another server may be asked after a rejection."""
        return self.runs < route.max_attempts and self.sends < MAX_SENDS

    def can_run_again(self, route: Route) -> bool:
        """Return whether another server may be asked although one may have run the request."""
        return route.is_idempotent and self.runs < route.max_attempts

    def has_exhausted_connects(self) -> bool:
        """Return whether too many servers could not be reached."""
        return self.connect_failures >= MAX_CONNECT_FAILURES
