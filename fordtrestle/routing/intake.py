"""Which requests a sidecar that is told to end still takes: those that it can finish in time. Pure.

A stream that was sent later than 3 s after SIGTERM must not be cut at the end of the grace (RULES: LOST). How
long it lasts at the most is told by the tokens that it may send.
"""

from __future__ import annotations

from dataclasses import dataclass

from fordtrestle.routing.table import RouteType

STREAMS_S = 3.0  # after SIGTERM, that all streams are taken for
STREAMS_SHARE = 3.0 / 8.0  # of the time until the cut, where that is shorter
BEGIN_S = 1.2  # that a stream's first token may need
TOKEN_S = 0.02  # that each of its tokens may need: two to three times what they do
SHORT_S = 1.5  # that a request which is no stream may need


@dataclass(frozen=True, slots=True)
class Intake:
    """Until when requests are taken, by the time of their arrival (s, loop clock)."""

    streams_until: float = float("inf")
    cut_at: float = float("inf")

    @classmethod
    def ending(cls, began: float, cut_at: float) -> Intake:
        """Of a sidecar that was told to end at `began` and cuts what is open at `cut_at`."""
        return cls(began + min(STREAMS_S, STREAMS_SHARE * (cut_at - began)), cut_at)

    def takes(self, kind: RouteType, tokens_out: int, arrived: float) -> bool:
        """Whether a request that arrived then is taken; `tokens_out` at the most, 0 where nothing is said."""
        if kind is not RouteType.STREAMING:
            return arrived + SHORT_S <= self.cut_at
        ends_by = arrived + BEGIN_S + TOKEN_S * tokens_out
        return arrived <= self.streams_until or (tokens_out > 0 and ends_by <= self.cut_at)
