"""Estimates the prefill rate of model servers, at which they process prompts. Pure.

A response begins when prefill is complete. Queueing, and shared parts that were not cached, can only delay
it. The fastest of the recent responses is therefore the best estimate of a server's prefill rate.
"""

from __future__ import annotations

DECAY = 0.99  # factor of the best rate per response, so that the estimate follows servers that become slower
MIN_TOKENS = 100  # shorter unshared parts are ignored: prefill is not most of the delay of their responses


class PrefillRate:
    """Estimates the prefill rate of one service, in tokens per second."""

    def __init__(self) -> None:
        """Create an estimate without a rate."""
        self._best = 0.0

    def record(self, tokens: int, duration_s: float) -> None:
        """Record a response.

        Args:
            tokens: The number of tokens in the unshared part of the prompt.
            duration_s: The time from the send, to a nearby server, to the start of its response, in seconds.
        """
        if tokens >= MIN_TOKENS and duration_s > 0:
            self._best = max(self._best * DECAY, tokens / duration_s)

    def duration_s(self, tokens: int) -> float:
        """Return the minimum prefill time of this many tokens, in seconds; 0 while the rate is unknown."""
        return tokens / self._best if self._best else 0.0
