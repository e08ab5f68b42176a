"""A client's request with its attempts, and the rules that it was taken by. Pure."""

from __future__ import annotations

import math
from dataclasses import dataclass, field, replace

from fordtrestle.balancer import model
from fordtrestle.balancer.model import Cause
from fordtrestle.balancer.servers import Attempt


@dataclass(slots=True, eq=False)
class Request:
    """A client's request from its arrival until its last outcome."""

    id: int
    traffic_class: int
    key: int | None
    profile: model.Profile
    arrived_at: float
    give_up_at: float
    max_attempts: int
    max_retry_after: float  # ms to come back after, as a refusal says
    work: float = 1.0
    is_over_share: bool = False  # past its tenant's
    slow_start_draw: float = 0.0  # its one coin for cold servers, once it has met one
    is_ordered: bool = False  # it waits for those of its key that came before it
    attempts: list[Attempt] = field(default_factory=list)
    in_flight: int = 0
    is_done: bool = False  # it has its final answer, or its client has gone
    undrawn_cause: Cause = Cause.DRAIN  # why no server was drawn for it

    def useful_until(self) -> float:
        """When an answer stops earning anything."""
        earns_late = self.profile.late_worth > 0.0
        target_at = math.inf if earns_late else self.arrived_at + self.profile.objective
        return min(self.give_up_at, target_at)

    def binding_attempt(self) -> Attempt | None:
        """The first attempt that may have run, which binds all that follow."""
        return next((attempt for attempt in self.attempts if attempt.may_have_run), None)


def stricter_profile(taken: model.Profile, current: model.Profile) -> model.Profile:
    """By what a request taken by one profile may be sent again once another holds: what both allow."""
    if current.semantics == "pure" or taken.semantics == "side_effect":
        return taken
    groups = {taken.group, current.group} - {"all"}
    if taken.semantics != current.semantics or len(groups) > 1:
        return replace(taken, semantics="side_effect")  # one taken as pure has no key to go by
    group = groups.pop() if groups else "all"
    return replace(taken, group=group, key_ttl=min(taken.key_ttl, current.key_ttl))
