"""Which requests a sidecar that is shutting down still accepts: those that it can finish in time. Pure.

A stream that was sent later than 3 s after SIGTERM must not be cut at the end of the grace period (RULES:
LOST). How long a stream lasts at the most follows from the tokens that it may send.
"""

from __future__ import annotations

from dataclasses import dataclass

from fordtrestle.routing.route import RouteType

ALL_STREAMS_S = 3.0  # after SIGTERM, that streams of any length are accepted: the rules bear their being cut
ALL_STREAMS_SHARE = 3.0 / 8.0  # of the time until the cut, where that is shorter than usual
FIRST_TOKEN_S = 1.2  # that a stream's first token may need
TOKEN_S = 0.02  # that each further token may need: two to three times what model servers do
SHORT_REQUEST_S = 1.5  # that a request which is no stream may need


@dataclass(frozen=True, slots=True)
class DrainPolicy:
    """Decides by the time of a request's arrival; the default accepts all.

    Attributes:
        all_streams_until: Until when streams of any length are accepted, in seconds of the loop's clock.
        cut_at: When connections that are still open are cut, in seconds of the loop's clock.
    """

    all_streams_until: float = float("inf")
    cut_at: float = float("inf")

    @classmethod
    def draining(cls, began_at: float, cut_at: float) -> DrainPolicy:
        """Return the policy of a sidecar that was told to shut down at `began_at`."""
        accept_s = min(ALL_STREAMS_S, ALL_STREAMS_SHARE * (cut_at - began_at))
        return cls(began_at + accept_s, cut_at)

    def accepts(self, route_type: RouteType, tokens_out: int, arrived_at: float) -> bool:
        """Return whether a request is accepted.

        Args:
            route_type: The type of its route.
            tokens_out: The tokens of its answer at the most; 0 where it does not say.
            arrived_at: When it arrived, in seconds of the loop's clock.
        """
        if route_type is not RouteType.STREAMING:
            return arrived_at + SHORT_REQUEST_S <= self.cut_at
        if arrived_at <= self.all_streams_until:
            return True
        ends_by = arrived_at + FIRST_TOKEN_S + TOKEN_S * tokens_out
        return tokens_out > 0 and ends_by <= self.cut_at
