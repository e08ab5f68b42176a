"""Which requests a sidecar that is told to end still takes: those that it can finish in time. Pure.

A stream that was sent later than 3 s after SIGTERM must not be cut at the end of the grace (RULES: LOST), and
nothing says how long it will last; other requests are short.
"""

from __future__ import annotations

from dataclasses import dataclass

from fordtrestle.routing.table import RouteType

STREAMS_S = 3.0  # after SIGTERM, that streams are taken for
STREAMS_SHARE = 3.0 / 8.0  # of the grace, where that is shorter
SHORT_S = 1.5  # that a request which is no stream may need


@dataclass(frozen=True, slots=True)
class Intake:
    """Until when requests are taken, by the time of their arrival (s, loop clock)."""

    streams_until: float = float("inf")
    others_until: float = float("inf")

    @classmethod
    def ending(cls, began: float, cut_at: float) -> Intake:
        """Of a sidecar that was told to end at `began` and cuts what is open at `cut_at`."""
        streams = min(STREAMS_S, STREAMS_SHARE * (cut_at - began))
        return cls(began + streams, max(began, cut_at - SHORT_S))

    def takes(self, kind: RouteType, arrived: float) -> bool:
        """Whether a request that arrived then is taken."""
        return arrived <= (self.streams_until if kind is RouteType.STREAMING else self.others_until)
