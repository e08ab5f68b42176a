"""Client-side throttling: requests are refused locally while the service rejects requests. Pure.

This is the adaptive throttling of Google's SRE book (chapter 21): given a window of recent requests, a new
one is refused with the probability max(0, (requests - protection - K accepts) / (requests + 1)). Local
refusals count as requests, so that the probability converges; accepted requests reduce it again.
"""

from __future__ import annotations

from collections import deque

WINDOW_MS = 10_000.0  # the book's two minutes are longer than any overload; evidence is outdated sooner
WINDOW_SAMPLES = 60  # maximum number of requests in the window once it spans MIN_WINDOW_MS
MIN_WINDOW_MS = 4000.0  # the sixty latest requests of a busy sidecar span only a fifth of a second
K = 2.0  # requests per accepted request that may be sent before any is refused
PROTECTION = 3.0  # requests that are not counted, since a few failures may be chance


class Throttle:
    """Client-side throttle with a sliding window of requests and accepts.

    Attributes:
        requests: The number of requests in the window, including local refusals.
        accepts: How many of them were accepted; a request may count in part.
    """

    def __init__(self, age_ms: float = WINDOW_MS, samples: int = WINDOW_SAMPLES) -> None:
        self.requests = 0
        self.accepts = 0.0
        self._age_ms = age_ms
        self._samples = samples
        self._entries: deque[tuple[float, float]] = deque()  # time and accepts of each request, oldest first

    def add(self, now: float, accepted: float) -> None:
        """Count a request; `accepted` is from 0 (not accepted) to 1 (fully accepted)."""
        self._entries.append((now, accepted))
        self.requests += 1
        self.accepts += accepted
        self.trim(now)

    def clear(self) -> None:
        """Empty the window, when its entries are no longer evidence."""
        self._entries.clear()
        self.requests = 0
        self.accepts = 0.0

    def failure_share(self) -> float:
        """Return the share of requests that were not accepted; a single failure does not count."""
        return max(0.0, self.requests - self.accepts - 1.0) / max(1, self.requests)

    def trim(self, now: float) -> None:
        """Drop entries that are too old, and those over the maximum number that are old enough."""
        entries = self._entries
        while entries:
            added_at = entries[0][0]
            is_young = added_at > now - self._age_ms
            if is_young and (len(entries) <= self._samples or added_at > now - MIN_WINDOW_MS):
                break
            self.accepts -= entries.popleft()[1]
            self.requests -= 1

    def drop_chance(self, now: float) -> float:
        """Return the probability, from 0 to 1, with which to refuse a request now."""
        self.trim(now)
        return max(0.0, (self.requests - PROTECTION - K * self.accepts) / (self.requests + 1))
