"""A driver that tells what it does with each request, for what tells events."""

from __future__ import annotations

from collections.abc import Callable

from fordtrestle.balancer import model
from fordtrestle.proxy.engine.clock import Clock
from fordtrestle.proxy.engine.driver import Driver, EngineOptions, OpenRequest
from fordtrestle.proxy.engine.ports import Call, Scheduler
from fordtrestle.proxy.engine.tally import OwnCause, word

# What was done, the call's own number, the server it went to (empty for an answer), which attempt it was, and
# why (empty for an attempt).
Note = Callable[[str, str, str, int, str], None]


class WatchedDriver(Driver):
    """Runs one balancer, and notes each attempt that it begins and each answer of its own."""

    def __init__(self, loop: Scheduler, clock: Clock, options: EngineOptions, note: Note) -> None:
        super().__init__(loop, clock, options)
        self._note = note

    def arrive(self, call: Call, now: float) -> OpenRequest | None:
        """See `Driver`; what there is no room for is refused by the settings alone."""
        request = super().arrive(call, now)
        if request is None:
            self._note("refusal", _number(call), "", 0, word(OwnCause.MAX_OPEN))
        return request

    def _send(self, action: model.Send) -> None:
        super()._send(action)
        request = self._requests.get(action.request)
        # Guards against attempts that were decided on and never begun: those are no acts.
        if request is None or request.attempts[-1].exchange is None:
            return
        hop = len(request.attempts) - 1
        first = "repeat" if request.call.again else "pick"
        self._note("retry" if hop else first, _number(request.call), action.server, hop, "")

    def _refuse(self, request: OpenRequest, retry_after: float, cause: model.Cause) -> None:
        self._note("refusal", _number(request.call), "", len(request.attempts), word(cause))
        super()._refuse(request, retry_after, cause)

    def _fail(self, request: OpenRequest, late: bool, cause: model.Cause | OwnCause) -> None:
        self._note("failure", _number(request.call), "", len(request.attempts), word(cause))
        super()._fail(request, late, cause)


def _number(call: Call) -> str:
    """The number that its client gave it; empty where its protocol has none."""
    return str(getattr(call, "call_id", ""))
