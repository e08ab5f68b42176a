"""How fast model servers read prompts, as their answers tell. Pure.

An answer begins once its prompt has been read. What it waits for, and parts that had to be read besides, only
make it later: so the quickest of late is nearest to what a server can do.
"""

from __future__ import annotations

FORGET = 0.99  # of the best rate, an answer: servers may become slower
TOKENS_LEAST = 100  # of the own part: shorter prompts tell of other delays


class ReadingRate:
    """Tokens a second; nothing before the first answer that tells."""

    def __init__(self) -> None:
        self._best = 0.0

    def learn(self, tokens: int, took_s: float) -> None:
        """An answer began so long after its prompt was sent to a near server."""
        if tokens >= TOKENS_LEAST and took_s > 0:
            self._best = max(self._best * FORGET, tokens / took_s)

    def seconds(self, tokens: int) -> float:
        """How long it takes to read so many tokens at least; 0 while that is not known."""
        return tokens / self._best if self._best else 0.0
