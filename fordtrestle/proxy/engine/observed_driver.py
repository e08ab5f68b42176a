"""A driver that records its actions for each request, for the event file."""

from __future__ import annotations

from typing import Protocol

from fordtrestle.balancer import model
from fordtrestle.proxy.engine.clock import Clock
from fordtrestle.proxy.engine.driver import Driver, EngineOptions
from fordtrestle.proxy.engine.open_requests import OpenRequest
from fordtrestle.proxy.engine.outcome_counters import OwnCause, cause_name
from fordtrestle.proxy.engine.ports import Call, Scheduler


class ActionRecorder(Protocol):
    """Records the actions of a driver."""

    def __call__(self, action: str, call_id: str, server: str, attempt: int, cause: str, /) -> None:
        """Record one action.

        Args:
            action: `pick`, `repeat`, `retry`, `refusal` or `failure`.
            call_id: The id that the client gave its call; empty if its protocol has none.
            server: The server that an attempt was sent to; empty for a refusal or a failure.
            attempt: The index of the attempt; for a refusal or a failure, the number of attempts made.
            cause: Why a request was refused or failed; empty for an attempt.
        """


class ObservedDriver(Driver):
    """Runs one balancer and records each attempt that starts and each refusal or failure."""

    def __init__(self, loop: Scheduler, clock: Clock, options: EngineOptions, record: ActionRecorder) -> None:
        super().__init__(loop, clock, options)
        self._record = record

    def arrive(self, call: Call, now: float) -> OpenRequest | None:
        """Accept a request as `Driver.arrive` does; one beyond `max_open` is recorded here."""
        request = super().arrive(call, now)
        if request is None:
            self._record("refusal", _call_id(call), "", 0, cause_name(OwnCause.MAX_OPEN))
        return request

    def _send(self, action: model.Send) -> None:
        super()._send(action)
        request = self._requests.get(action.request)
        # An attempt that was decided on but never started is not recorded.
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
    """Return the id that the client gave its call; empty if its protocol has none."""
    return str(getattr(call, "call_id", ""))
