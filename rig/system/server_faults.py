"""The faults of a simulated model server: what it does to single requests, drawn from a seed. Pure."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum


class Fault(Enum):
    """What a server does to a request instead of answering it. The value describes it."""

    REJECT = "rejects it: 503 with X-Not-Executed"
    FAIL = "runs it and answers 500"
    RESET_UNREAD = "resets the connection without running it"
    RESET = "runs it for a while and resets the connection"
    CLOSE = "runs it for a while and closes the connection"
    BREAK_OFF = "closes the connection within its answer"
    BREAK_OFF_UNFRAMED = "closes the connection in an event of an answer without a length"
    LATE = "answers it late"
    DUPLICATE = "sends its answer twice"
    REFUSE_COPY_IDLE = "rejects it, and sends copies of that while the connection is idle"
    REFUSE_COPY_UNDER_WAY = "rejects it, and sends copies of that once the connection has its next request"
    REFUSE_COPY_IN_PIECES = "rejects it, and sends one half of the copies idle and the other under way"


REFUSAL_COPIES = (Fault.REFUSE_COPY_IDLE, Fault.REFUSE_COPY_UNDER_WAY, Fault.REFUSE_COPY_IN_PIECES)
SINGLE_FAULTS = tuple(fault for fault in Fault if fault not in REFUSAL_COPIES)


@dataclass(frozen=True, slots=True)
class DrawnFault:
    """A fault of one request, and how long the server holds the request before it, in s."""

    fault: Fault
    hold_s: float


class FaultSource:
    """Draws the faults of the requests of one server."""

    def __init__(
        self, rng: random.Random, share: float, max_hold_s: float, faults: Sequence[Fault] = SINGLE_FAULTS
    ) -> None:
        """Create a source.

        Args:
            rng: Random source.
            share: The share of requests that meet a fault.
            max_hold_s: The longest time for which a request is held before its fault.
            faults: The faults to draw from.
        """
        self._rng = rng
        self._share = share
        self._max_hold_s = max_hold_s
        self._faults = faults

    def draw(self) -> DrawnFault | None:
        """Return the fault of the next request; `None` if it is served."""
        if self._rng.random() >= self._share:
            return None
        return DrawnFault(self._rng.choice(self._faults), self._rng.uniform(0.0, self._max_hold_s))


NO_FAULTS = FaultSource(random.Random(0), 0.0, 0.0)
