"""The possible decisions about the next step of a request. Pure."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from fordtrestle.routing.common import ServiceName
from fordtrestle.routing.route import Route
from fordtrestle.routing.server import Server


@dataclass(frozen=True, slots=True)
class SendTo:
    """Send the request to a server.

    Attributes:
        route: The route that the decision is based on.
        callee: The service.
        server: The server.
        deadline: When the server must have responded, in seconds of the loop's clock.
        generation: The generation of the configuration that contains the route.
    """

    route: Route
    callee: ServiceName
    server: Server
    deadline: float
    generation: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Reject the request with a response that guarantees that it has not run.

    Attributes:
        retry_scale_s: The `Retry-After` of the response is drawn in proportion to this time, in seconds.
        reason: The text of the response.
    """

    retry_scale_s: float
    reason: str


@dataclass(frozen=True, slots=True)
class WaitFor:
    """Queue the request, decide again when the view changes, and reject it at `until`.

    Attributes:
        until: The end of the wait, in seconds of the loop's clock.
        rejection: The rejection at the end of the wait.
    """

    until: float
    rejection: Reject


@dataclass(frozen=True, slots=True)
class UnknownRoute:
    """Respond that the active configuration has no route for the request."""


Decision: TypeAlias = SendTo | WaitFor | Reject | UnknownRoute
