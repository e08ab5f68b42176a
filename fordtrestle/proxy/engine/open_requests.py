"""Requests in flight and their attempts at servers."""

from __future__ import annotations

import math
from collections.abc import Container
from dataclasses import dataclass, field

from fordtrestle.proxy.engine.clock import Clock
from fordtrestle.proxy.engine.ports import AttemptHandle, Call, TimerHandle

MAX_REQUEST_ID = 2**32 - 1  # ids wrap around; far more ids than requests in flight


@dataclass(slots=True, eq=False)
class OpenAttempt:
    """Tracks one attempt of a request at a server until its outcome.

    Attributes:
        request: The request.
        hop: Its index among the request's attempts.
        sent_at_ms: When the module decided on it.
        expires_at_ms: When it times out.
        is_open: Whether its outcome is outstanding.
        exchange: The handle of the attempt in flight; None before it starts and after it ends.
        timer: Its time-out.
    """

    request: OpenRequest
    hop: int
    sent_at_ms: float
    expires_at_ms: float = math.inf
    is_open: bool = True
    exchange: AttemptHandle | None = None
    timer: TimerHandle | None = None

    def message(self, clock: Clock, begin_by_ms: float, left_ms: float) -> bytes | None:
        """Encode the request to write when the attempt starts.

        Guards against an attempt that waited for its connection until its request was answered, or until
        servers have forgotten the idempotency key by which they would recognise a duplicate.

        Args:
            clock: Gives the time in milliseconds.
            begin_by_ms: When it must have started.
            left_ms: The time left to the server, in milliseconds.

        Returns:
            The encoded request; None if the attempt must not start any more.
        """
        if self.request.is_ended or clock.now() >= begin_by_ms:
            return None
        return self.request.call.wire(left_ms)


@dataclass(slots=True, eq=False)
class OpenRequest:
    """Tracks an accepted request until its final answer and the outcome of its last attempt.

    Attributes:
        id: Its number in the decision module.
        call: The request as the client sent it.
        deadline_ms: When the client gives up, less a margin for transit.
        is_ended: Whether it has its final answer, or its client has disconnected.
        attempts: All its attempts; their index is the module's `hop`.
        open_attempts: The number of attempts without an outcome.
        guard: The timer that fails it if the module leaves it unanswered.
    """

    id: int
    call: Call
    deadline_ms: float
    is_ended: bool = False
    attempts: list[OpenAttempt] = field(default_factory=list)
    open_attempts: int = 0
    guard: TimerHandle | None = None


class RequestIds:
    """Assigns each request an id that no open request has; the first id is derived from the seed."""

    def __init__(self, seed: int) -> None:
        self._next = seed & MAX_REQUEST_ID

    def next(self, taken: Container[int]) -> int:
        """Return the next id that is not in `taken`."""
        while self._next in taken:
            self._next = (self._next + 1) & MAX_REQUEST_ID
        number = self._next
        self._next = (number + 1) & MAX_REQUEST_ID
        return number
