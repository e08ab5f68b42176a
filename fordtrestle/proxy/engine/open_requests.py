"""Requests that are open, and their attempts at servers."""

from __future__ import annotations

import math
from collections.abc import Container
from dataclasses import dataclass, field

from fordtrestle.proxy.engine.clock import Clock
from fordtrestle.proxy.engine.ports import AttemptHandle, Call, TimerHandle

MAX_REQUEST_ID = 2**32 - 1  # ids wrap: far more than are ever open at once


@dataclass(slots=True, eq=False)
class OpenAttempt:
    """One attempt of a request at a server, until its outcome.

    Attributes:
        request: The request.
        hop: Its index among the request's attempts.
        sent_at_ms: When the module decided on it.
        expires_at_ms: When it times out.
        is_open: Whether its outcome is still awaited.
        exchange: The attempt on its way; None before it begins and after its end.
        timer: Of its time-out.
    """

    request: OpenRequest
    hop: int
    sent_at_ms: float
    expires_at_ms: float = math.inf
    is_open: bool = True
    exchange: AttemptHandle | None = None
    timer: TimerHandle | None = None

    def message(self, clock: Clock, begin_by_ms: float, left_ms: float) -> bytes | None:
        """Return what it writes as it begins; None if it must not begin any more.

        Guards against an attempt that waits for its connection while its request is answered, or until
        servers have forgotten the key by which they would recognise a repeat.
        """
        if self.request.is_ended or clock.now() >= begin_by_ms:
            return None
        return self.request.call.wire(left_ms)


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A request that was accepted, until its final answer and its last attempt's outcome.

    Attributes:
        id: The number by which the module knows it.
        call: The request as the client sent it.
        deadline_ms: When the client gives up, less a margin for transit.
        is_ended: Whether it has its final answer, or its client has left.
        attempts: All its attempts; their index is the module's `hop`.
        open_attempts: How many of them have no outcome yet.
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
    """Numbers requests, each with one that no open request has; the first follows from the seed."""

    def __init__(self, seed: int) -> None:
        self._next = seed & MAX_REQUEST_ID

    def next(self, taken: Container[int]) -> int:
        """Return the next number that is not taken."""
        while self._next in taken:
            self._next = (self._next + 1) & MAX_REQUEST_ID
        number = self._next
        self._next = (number + 1) & MAX_REQUEST_ID
        return number
