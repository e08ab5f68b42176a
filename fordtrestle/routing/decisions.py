"""What may be done next with a request. Pure."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from fordtrestle.routing.common import ServiceName
from fordtrestle.routing.route import Route
from fordtrestle.routing.server import Server


@dataclass(frozen=True, slots=True)
class SendTo:
    """Send it to this server, which has until `deadline` to answer (seconds of the loop's clock)."""

    route: Route
    callee: ServiceName
    server: Server
    deadline: float


@dataclass(frozen=True, slots=True)
class Reject:
    """Answer that it has not run.

    Attributes:
        retry_scale_s: The scale of the time after which the client is told to come back, in seconds.
        reason: What the client is told.
    """

    retry_scale_s: float
    reason: str


@dataclass(frozen=True, slots=True)
class WaitFor:
    """Ask again once the view changes, and reject it at `until` (seconds of the loop's clock)."""

    until: float
    rejection: Reject


@dataclass(frozen=True, slots=True)
class UnknownRoute:
    """Answer that the configuration in force has no route for it."""


Decision: TypeAlias = SendTo | WaitFor | Reject | UnknownRoute
