"""A client's request with its attempts and the rules that apply to it. Pure."""

from __future__ import annotations

import math
from dataclasses import dataclass, field, replace

from fordtrestle.balancer import model
from fordtrestle.balancer.model import Cause
from fordtrestle.balancer.servers import Attempt


@dataclass(slots=True, eq=False)
class Request:
    """A client's request, from its arrival until the end of its last attempt."""

    id: int
    traffic_class: int
    key: int | None
    profile: model.Profile
    arrived_at: float
    give_up_at: float
    max_attempts: int
    max_retry_after: float  # in ms, as sent with a refusal
    work: float = 1.0
    is_over_share: bool = False  # whether it exceeds its tenant's share
    slow_start_sample: float = 0.0  # its random number for all cold servers; 0 until it is needed
    is_ordered: bool = False  # whether it waits for earlier requests of its key
    attempts: list[Attempt] = field(default_factory=list)
    in_flight: int = 0
    is_done: bool = False  # whether it has its final answer, or its client has left
    no_candidate_cause: Cause = Cause.DRAIN  # why no server was selected

    def useful_until(self) -> float:
        """Return the time from which on an answer has no value."""
        earns_late = self.profile.late_worth > 0.0
        target_at = math.inf if earns_late else self.arrived_at + self.profile.objective
        return min(self.give_up_at, target_at)

    def binding_attempt(self) -> Attempt | None:
        """Return the first attempt that may have run, which restricts all later ones, or None."""
        return next((attempt for attempt in self.attempts if attempt.may_have_run), None)


def stricter_profile(taken: model.Profile, current: model.Profile) -> model.Profile:
    """Return the rules for an open request when its class's settings change: what both profiles allow.

    Args:
        taken: The profile under which the request was accepted.
        current: The profile of the new settings.
    """
    if current.semantics == "pure" or taken.semantics == "side_effect":
        return taken
    groups = {taken.group, current.group} - {"all"}
    if taken.semantics != current.semantics or len(groups) > 1:
        return replace(taken, semantics="side_effect")  # a request accepted as pure has no idempotency key
    group = groups.pop() if groups else "all"
    return replace(taken, group=group, key_ttl=min(taken.key_ttl, current.key_ttl))
