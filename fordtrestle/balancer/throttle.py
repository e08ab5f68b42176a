"""Client-side throttling: refuse locally while the service turns requests away. Pure.

The adaptive throttling of Google's SRE book (chapter 21): over a window of the last requests, a new one is
refused with the chance max(0, (requests - protection - K accepts) / (requests + 1)). Local refusals count as
requests, so that the chance settles; what the service accepts brings it down again.
"""

from __future__ import annotations

from collections import deque

WINDOW_MS = 10_000.0  # the book's two minutes would outlast every overload: evidence ages sooner
WINDOW_SAMPLES = 60  # and a window that is rarely added to is told by so many of the newest
MIN_WINDOW_MS = 4000.0  # but by no fewer ms: sixty samples of a busy sidecar span a fifth of a second
K = 2.0  # requests a service may be asked for each that it accepts, before any is refused
PROTECTION = 3.0  # requests that pass whatever came of them: a few failures are chance


class Throttle:
    """The window of requests and accepts, and the chance of refusal that follows from it.

    Attributes:
        requests: How many requests the window holds, local refusals among them.
        accepts: What of them was accepted; one may count in part.
    """

    def __init__(self, age_ms: float = WINDOW_MS, samples: int = WINDOW_SAMPLES) -> None:
        self.requests = 0
        self.accepts = 0.0
        self._age_ms = age_ms
        self._samples = samples
        self._entries: deque[tuple[float, float]] = deque()  # time and accepts of each request, oldest first

    def add(self, now: float, accepted: float) -> None:
        """Count a request, of which so much was accepted: 0 not at all, 1 wholly."""
        self._entries.append((now, accepted))
        self.requests += 1
        self.accepts += accepted
        self.trim(now)

    def clear(self) -> None:
        """Forget all: what was counted is no evidence any more."""
        self._entries.clear()
        self.requests = 0
        self.accepts = 0.0

    def failure_share(self) -> float:
        """The share of requests that were not accepted; a lone one is no evidence."""
        return max(0.0, self.requests - self.accepts - 1.0) / max(1, self.requests)

    def trim(self, now: float) -> None:
        """Drop the entries that are too old, or too many and old enough."""
        entries = self._entries
        while entries:
            added_at = entries[0][0]
            is_young = added_at > now - self._age_ms
            if is_young and (len(entries) <= self._samples or added_at > now - MIN_WINDOW_MS):
                break
            self.accepts -= entries.popleft()[1]
            self.requests -= 1

    def drop_chance(self, now: float) -> float:
        """The chance, from 0 to 1, with which a request is to be refused now."""
        self.trim(now)
        return max(0.0, (self.requests - PROTECTION - K * self.accepts) / (self.requests + 1))
