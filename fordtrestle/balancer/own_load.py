"""The load that this sidecar itself sends: its attempts in flight and its recent send rate. Pure."""

from __future__ import annotations

import math

RATE_MEMORY_MS = 10_000.0  # time constant of the rate: long enough that a burst hardly changes it
MIN_RATE_SPAN_MS = 200.0  # an initial burst must not count as a high rate


class OwnLoad:
    """Counts this sidecar's attempts.

    Attributes:
        in_flight: Attempts in flight.
        last_send_at: The time of the last send; before the first, the time when counting began.
    """

    def __init__(self, now: float) -> None:
        self.in_flight = 0
        self.last_send_at = now
        self._counting_since = now
        self._sends = 0.0  # count that decays exponentially

    def on_send(self, now: float) -> None:
        """Count the start of an attempt."""
        self._sends = self._sends * math.exp((self.last_send_at - now) / RATE_MEMORY_MS) + 1.0
        self.last_send_at = now
        self.in_flight += 1

    def on_end(self) -> None:
        """Count the end of an attempt."""
        self.in_flight -= 1

    def rate_per_ms(self, now: float) -> float:
        """Return the recent rate of sends per millisecond."""
        span = RATE_MEMORY_MS * (1.0 - math.exp((self._counting_since - now) / RATE_MEMORY_MS))
        bounded_span_ms = max(MIN_RATE_SPAN_MS, span)
        return self._sends * math.exp((self.last_send_at - now) / RATE_MEMORY_MS) / bounded_span_ms

    def skip(self, span_ms: float) -> None:
        """Exclude a time span in which nothing could be sent from the rate."""
        self.last_send_at += span_ms
