"""A driver that records what it does with each request, for the event file."""

from __future__ import annotations

from typing import Protocol

from fordtrestle.balancer import model
from fordtrestle.proxy.engine.clock import Clock
from fordtrestle.proxy.engine.driver import Driver, EngineOptions
from fordtrestle.proxy.engine.open_requests import OpenRequest
from fordtrestle.proxy.engine.outcome_counters import OwnCause, cause_name
from fordtrestle.proxy.engine.ports import Call, Scheduler


class ActionRecorder(Protocol):
    """Takes note of what a driver does."""

    def __call__(self, action: str, call_id: str, server: str, attempt: int, cause: str, /) -> None:
        """Record one action.

        Args:
            action: `pick`, `repeat`, `retry`, `refusal` or `failure`.
            call_id: The number that the client gave its call; empty where its protocol has none.
            server: The server that an attempt went to; empty for an answer of the driver's own.
            attempt: The attempt's index, or for an answer how many attempts there were.
            cause: Why a request was refused or failed; empty for an attempt.
        """


class ObservedDriver(Driver):
    """Runs one balancer, and records each attempt that begins and each answer of the driver's own."""

    def __init__(self, loop: Scheduler, clock: Clock, options: EngineOptions, record: ActionRecorder) -> None:
        super().__init__(loop, clock, options)
        self._record = record

    def arrive(self, call: Call, now: float) -> OpenRequest | None:
        """See `Driver.arrive`; a call beyond `max_open` never reaches the module and is recorded here."""
        request = super().arrive(call, now)
        if request is None:
            self._record("refusal", _call_id(call), "", 0, cause_name(OwnCause.MAX_OPEN))
        return request

    def _send(self, action: model.Send) -> None:
        super()._send(action)
        request = self._requests.get(action.request)
        # An attempt that was decided on and never began is no action.
        if request is None or request.attempts[-1].exchange is None:
            return
        hop = len(request.attempts) - 1
        first = "repeat" if request.call.again else "pick"
        self._record("retry" if hop else first, _call_id(request.call), action.server, hop, "")

    def _refuse(self, request: OpenRequest, retry_after: float, cause: model.Cause) -> None:
        self._record("refusal", _call_id(request.call), "", len(request.attempts), cause_name(cause))
        super()._refuse(request, retry_after, cause)

    def _fail(self, request: OpenRequest, is_late: bool, cause: model.Cause | OwnCause) -> None:
        self._record("failure", _call_id(request.call), "", len(request.attempts), cause_name(cause))
        super()._fail(request, is_late, cause)


def _call_id(call: Call) -> str:
    """Return the number that the client gave its call; empty where its protocol has none."""
    return str(getattr(call, "call_id", ""))
