"""What this sidecar itself sends: its attempts in flight, and its rate of sends of late. Pure."""

from __future__ import annotations

import math

RATE_MEMORY_MS = 10_000.0  # sends older than that hardly count: the rate follows the hour, not a burst
MIN_RATE_SPAN_MS = 200.0  # a first burst is no rate


class OwnLoad:
    """Counts attempts as they are sent and end.

    Attributes:
        in_flight: Attempts that are out now.
        last_send_at: When the last one was sent; at first, when counting began.
    """

    def __init__(self, now: float) -> None:
        self.in_flight = 0
        self.last_send_at = now
        self._counting_since = now
        self._sends = 0.0  # fading count

    def on_send(self, now: float) -> None:
        """An attempt is sent."""
        self._sends = self._sends * math.exp((self.last_send_at - now) / RATE_MEMORY_MS) + 1.0
        self.last_send_at = now
        self.in_flight += 1

    def on_end(self) -> None:
        """An attempt has ended."""
        self.in_flight -= 1

    def rate_per_ms(self, now: float) -> float:
        """The own rate of sends of late, per millisecond."""
        span = RATE_MEMORY_MS * (1.0 - math.exp((self._counting_since - now) / RATE_MEMORY_MS))
        known_ms = max(MIN_RATE_SPAN_MS, span)
        return self._sends * math.exp((self.last_send_at - now) / RATE_MEMORY_MS) / known_ms

    def skip(self, span_ms: float) -> None:
        """Leave out a span in which nothing could be sent: the rate stands still."""
        self.last_send_at += span_ms
