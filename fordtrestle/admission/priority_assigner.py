"""The priority with which a request is sent to a model server: short prompts first. Pure.

Shortest job first minimizes the mean wait in a queue. A long prompt only waits behind others, and its server
starts it at the latest when the queue is empty. Only the part of the prompt that no other request shares
counts, since shared parts are likely to be in the server's prefix cache.

Source: RFC 9218, "Extensible Prioritization Scheme for HTTP", where 0 is the highest urgency as well; the
levels here are those of the model servers, 0 to 9.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import deque

MAX_REMEMBERED = 200  # prompts to compare with: enough for a rank, few enough to follow a changing mix
MIN_REMEMBERED = 20  # no priority is assigned before as many prompts, since ranks would be chance
LEVELS = 3  # one level per third of the prompts; with fifths the score was the same within noise
# The highest priority that is assigned, of 0 (first) to 9. A server assumes 5 for a request without a
# priority, so that short prompts come before such requests, and long ones have the same priority.
HIGHEST_LEVEL = 3


class PriorityAssigner:
    """Assigns priorities by the rank of a prompt's size among the sizes of the latest prompts."""

    def __init__(self) -> None:
        self._sizes: deque[int] = deque(maxlen=MAX_REMEMBERED)

    def assign(self, own_tokens: int | None) -> int | None:
        """Record a request's prompt size, and assign a priority by its rank.

        Args:
            own_tokens: Tokens of the part of the prompt that no other request shares; `None` if the request
                has no prompt.

        Returns:
            The value of the `Priority` header; `None` if the request has no prompt, or while there are too
            few prompts to compare it with.
        """
        if own_tokens is None:
            return None
        self._sizes.append(own_tokens)
        if len(self._sizes) < MIN_REMEMBERED:
            return None
        smaller = bisect_left(sorted(self._sizes), own_tokens)
        return HIGHEST_LEVEL + min(LEVELS - 1, smaller * LEVELS // len(self._sizes))
