"""The priority that a request is sent to a model server with: short prompts first. Pure.

Shortest job first keeps the mean wait of a queue shortest. A long prompt is only put behind others, and its
server begins it at the latest when the queue runs empty. What counts is the part of the prompt that no other
request shares, since shared parts are likely to be in the server's prefix cache.

Source: RFC 9218, "Extensible Prioritization Scheme for HTTP", whose urgencies go down from 0, the
highest, too; the levels here are those of the model servers, 0 to 9.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import deque

MAX_REMEMBERED = 200  # prompts that one is compared with: enough for a rank, few enough to follow the mix
MIN_REMEMBERED = 20  # prompts before which no priority is given: ranks among fewer are chance
LEVELS = 3  # priorities given: thirds of the prompts; fifths scored the same within noise
# The highest priority given, of 0 (first) to 9; a server takes 5 for a request without one. So short prompts
# go before such requests, and long ones with them.
HIGHEST_LEVEL = 3


class PriorityAssigner:
    """Assigns priorities by the rank of a prompt's size among the sizes of the last prompts."""

    def __init__(self) -> None:
        self._sizes: deque[int] = deque(maxlen=MAX_REMEMBERED)

    def assign(self, own_tokens: int | None) -> int | None:
        """Remember a request's size, and rank it.

        Args:
            own_tokens: Tokens of the part of the prompt that no other request shares; `None` where the
                request says nothing of a prompt.

        Returns:
            The value of the `Priority` header; `None` where the request has no prompt, or while there are too
            few others to compare it with.
        """
        if own_tokens is None:
            return None
        self._sizes.append(own_tokens)
        if len(self._sizes) < MIN_REMEMBERED:
            return None
        smaller = bisect_left(sorted(self._sizes), own_tokens)
        return HIGHEST_LEVEL + min(LEVELS - 1, smaller * LEVELS // len(self._sizes))
