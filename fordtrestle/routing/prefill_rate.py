"""How fast model servers read prompts (prefill), as their answers tell. Pure.

An answer begins once its prompt has been read. Waiting in a queue, and shared parts that were in no cache,
only make it begin later: so the quickest of the last answers is nearest to what a server can do.
"""

from __future__ import annotations

DECAY = 0.99  # of the best rate, with each answer: servers may become slower
MIN_TOKENS = 100  # of a prompt's own part: the delay of shorter ones is mostly something else


class PrefillRate:
    """Learns a rate in tokens a second."""

    def __init__(self) -> None:
        """Begin without a rate."""
        self._best = 0.0

    def record(self, tokens: int, duration_s: float) -> None:
        """Take an answer into account.

        Args:
            tokens: Tokens of the prompt's own part.
            duration_s: From the send, to a server nearby, to the beginning of the answer, in seconds.
        """
        if tokens >= MIN_TOKENS and duration_s > 0:
            self._best = max(self._best * DECAY, tokens / duration_s)

    def duration_s(self, tokens: int) -> float:
        """Return how long reading so many tokens takes at least, in seconds; 0 while no rate is known."""
        return tokens / self._best if self._best else 0.0
