"""The only caller of the decision module: events in, actions out.

Owns the timers, the requests and their attempts, and knows no sockets: what carries
requests, lists and messages is handed in, behind the protocols of `ports`.
"""

from __future__ import annotations

import math
import traceback
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from fordtrestle.balancer import Balancer, model
from fordtrestle.balancer.model import Cause, Outcome
from fordtrestle.proxy.engine.clock import Clock
from fordtrestle.proxy.engine.log import log
from fordtrestle.proxy.engine.ports import (
    AttemptHandle,
    Call,
    Gossip,
    Handle,
    Registry,
    Result,
    Scheduler,
    ServerList,
    Upstreams,
)
from fordtrestle.proxy.engine.tally import OwnCause, Tally

# The client counts from its send and we from the read: transit, and what the loop lags.
DEADLINE_MARGIN_MS = 8.0
# The module answers at the deadline; what it left unanswered for so long is failed for it.
GUARD_MS = 25.0
PROBE_TIMEOUT_MS = 1000.0
# An attempt whose time-out comes later than this was not awaited in earnest: this process stood still.
STOOD_STILL_MS = 100.0


@dataclass(slots=True, eq=False)
class OpenAttempt:
    """One `Send`, until its outcome."""

    request: OpenRequest
    hop: int
    sent: float
    expires: float = math.inf
    out: bool = True
    exchange: AttemptHandle | None = None
    timeout: Handle | None = None


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A request taken, until its final answer and its last outcome."""

    id: int
    call: Call
    give_up_at: float
    ended: bool = False
    attempts: list[OpenAttempt] = field(default_factory=list)
    out: int = 0
    guard: Handle | None = None


@dataclass(frozen=True, slots=True)
class EngineOptions:
    """What one engine is told: its module's settings and seed, and the most requests open at once."""

    settings: model.Settings
    seed: int
    max_open: int


class Driver:
    """Runs one balancer."""

    def __init__(self, loop: Scheduler, clock: Clock, options: EngineOptions) -> None:
        self._loop = loop
        self._clock = clock
        self._settings = options.settings
        self._max_open = options.max_open
        self._requests: dict[int, OpenRequest] = {}
        self.optional = True  # whether work may be done that no request waits for
        self.tally = Tally()  # of its refusals and failures
        self._open = 0
        self._next_id = options.seed % 2**32
        self._balancer = Balancer(clock.now(), options.settings, options.seed)
        self._upstreams: Upstreams
        self._registry: Registry
        self._gossip: Gossip

    def connect(self, upstreams: Upstreams, registry: Registry, gossip: Gossip) -> None:
        """Hand in what carries the actions out."""
        self._upstreams, self._registry, self._gossip = upstreams, registry, gossip

    @property
    def idle(self) -> bool:
        """Whether nothing taken is unanswered."""
        return self._open == 0

    @property
    def due(self) -> bool:
        """Whether anything taken is unanswered and its time, with that to fail it, is not over."""
        over = self._clock.now() - 2.0 * GUARD_MS
        return any(not request.ended and request.give_up_at > over for request in self._requests.values())

    # --- events -----------------------------------------------------------

    def arrive(self, call: Call, now: float) -> OpenRequest | None:
        """Take a request whose last byte was read at `now`; its `call` gets one final answer."""
        if self._open >= self._max_open:
            self.tally.refused(call.traffic_class, OwnCause.MAX_OPEN)
            call.refused(0.0)
            return None
        give_up_at = now + call.budget - DEADLINE_MARGIN_MS
        request = OpenRequest(self._new_id(), call, give_up_at)
        self._requests[request.id] = request
        self._open += 1
        # Guards against a module that forgets a request: a safety net, not a decision.
        request.guard = self._loop.call_at(self._clock.at(give_up_at + GUARD_MS), self._overdue, request)
        arrival = model.Arrival(
            request.id,
            call.traffic_class,
            give_up_at,
            call.tenant,
            call.key,
            call.work,
            call.again,
            call.mutates,
        )
        self._ask(request, self._balancer.request, arrival)
        return request

    def client_gone(self, request: OpenRequest) -> None:
        """The client closed its connection before the answer."""
        if not request.ended:
            self._end(request)
            self._ask(request, self._balancer.client_gone, request.id)

    def server_list(self, form: str, news: ServerList | None) -> None:
        """Discovery's news, or its refusal."""
        if news is None:
            self._ask(None, self._balancer.server_list, form, ())
            return
        replaced = self._upstreams.update(self._clock.now(), form != "changes", news)
        gone = [model.Listing(name, state="left") for name in replaced]
        self._ask(None, self._balancer.server_list, form, gone + news.entries)

    def pressure(self, share: float) -> None:
        """This process is pressed: the module is to refuse such a share of the work, worth least first."""
        self._ask(None, self._balancer.pressure, share)

    def peer_message(self, peer: int, data: bytes) -> None:
        """A message of another sidecar."""
        self._ask(None, self._balancer.peer_message, peer, data)

    def settle(self, settings: model.Settings, max_open: int | None = None) -> bool:
        """Other settings, whole, and other most requests open at once, for all that is done from now on.

        False where the module did not take them: then all goes on by those before. To be called between two
        events, and never from within what one of them calls.
        """
        try:
            actions = self._balancer.settle(self._clock.now(), settings)
        except Exception:
            log(traceback.format_exc())
            return False
        self._settings = settings
        self._max_open = self._max_open if max_open is None else max_open
        self._ask(None, lambda now: actions)
        return True

    def _new_id(self) -> int:
        while self._next_id in self._requests:
            self._next_id = (self._next_id + 1) % 2**32
        number = self._next_id
        self._next_id = (number + 1) % 2**32
        return number

    def _overdue(self, request: OpenRequest) -> None:
        if self._end(request):
            log(f"request {request.id}: no answer at its deadline")
            self._fail(request, True, OwnCause.UNANSWERED)
            self._ask(request, self._balancer.client_gone, request.id)

    def _outcome(self, attempt: OpenAttempt, result: Result) -> None:
        """The one outcome of an attempt; the first OK answers its request."""
        if not attempt.out:
            return
        now = self._clock.now()
        attempt.out = False
        if attempt.timeout is not None:
            attempt.timeout.cancel()
        attempt.exchange = None
        request = attempt.request
        request.out -= 1
        if result.outcome == Outcome.OK and result.answer is not None and self._end(request):
            request.call.served(result.answer)
        self._ask(
            request,
            self._balancer.outcome,
            request.id,
            attempt.hop,
            int(result.outcome),
            now - attempt.sent,
            request.ended,
            result.report,
        )
        self._forget(request)

    def _expire(self, attempt: OpenAttempt) -> None:
        """Guards against blaming a server for a time in which this process stood still: that it did not
        answer in it tells nothing, though it may have run.
        """
        if attempt.exchange is not None:
            attempt.exchange.abandon()
        late = self._clock.now() - attempt.expires > STOOD_STILL_MS
        self._outcome(attempt, Result(Outcome.CANCELLED if late else Outcome.TIMEOUT))

    def _timer(self, token: str) -> None:
        self._ask(None, self._balancer.timer, token)

    def _probed(self, server: str, sent: float, result: Result) -> None:
        spent = self._clock.now() - sent
        self._ask(None, self._balancer.probe_result, server, int(result.outcome), spent, result.report)

    # --- actions ------------------------------------------------------------

    def _ask(
        self, request: OpenRequest | None, event: Callable[..., Iterable[model.Action]], *args: Any
    ) -> None:
        """Give the module an event and carry out what it decides.

        Guards against a fault in it: that fails the request at hand, never the process.
        """
        try:
            for action in event(self._clock.now(), *args):
                self._act(action)
        except Exception:
            log(traceback.format_exc())
            if request is not None and self._end(request):
                self._fail(request, False, OwnCause.MODULE_FAULT)
                self._ask(None, self._balancer.client_gone, request.id)
        if request is not None:
            self._forget(request)

    def _act(self, action: model.Action) -> None:
        match action:
            case model.Send():
                self._send(action)
            case model.Timer(delay, token):
                self._loop.call_later(max(0.0, delay) / 1000.0, self._timer, token)
            case model.Refuse(number, retry_after, cause):
                request = self._requests.get(number)
                if request is not None and self._end(request):
                    self._refuse(request, retry_after, cause)
            case model.Fail(number, cause):
                request = self._requests.get(number)
                if request is not None and self._end(request):
                    self._fail(request, self._clock.now() >= request.give_up_at, cause)
            case model.Cancel(number, hop):
                self._cancel(number, hop)
            case model.CloseIdle(server):
                self._upstreams.close_idle(server)
            case _:
                self._act_rarely(action)

    def _act_rarely(self, action: model.Action) -> None:
        match action:
            case model.Watch(on):
                self._registry.watch(on)
            case model.Fetch():
                self._registry.fetch()
            case model.Probe(server) if not self.optional:
                now = self._clock.now()
                self._loop.call_soon(self._probed, server, now, Result(Outcome.ABANDONED))
            case model.Probe(server):
                self._probe(server)
            case model.Tell(peer, data):
                self._gossip.tell(peer, data)
            case model.Log(text):
                log(text)

    def _send(self, action: model.Send) -> None:
        request = self._requests.get(action.request)
        if request is None:
            log(f"a send for request {action.request}, which is not held")
            return
        now = self._clock.now()
        attempt = OpenAttempt(request, len(request.attempts), now)
        request.attempts.append(attempt)
        request.out += 1
        left = request.give_up_at - now
        over = request.ended or left <= 0.0 or action.timeout < 0.0
        if over or attempt.hop >= self._settings.max_attempts:
            self._loop.call_soon(self._outcome, attempt, Result(Outcome.ABANDONED))
            return
        begin_by = now + action.begin_within
        wait = min(action.timeout, left) if action.timeout > 0.0 else left
        expires = now + wait
        attempt.expires = expires
        attempt.timeout = self._loop.call_at(self._clock.at(expires), self._expire, attempt)
        attempt.exchange = self._upstreams.send(
            action.server,
            lambda left: self._message(attempt, begin_by, left),
            expires,
            lambda result: self._outcome(attempt, result),
        )

    def _message(self, attempt: OpenAttempt, begin_by: float, left: float) -> bytes | None:
        """What an attempt writes as it begins, or None where it must not begin any more.

        Guards against one that waits for its connection while its request is answered, or until servers have
        forgotten the key that tells a repeat.
        """
        if attempt.request.ended or self._clock.now() >= begin_by:
            return None
        return attempt.request.call.wire(left)

    def _refuse(self, request: OpenRequest, retry_after: float, cause: Cause) -> None:
        self.tally.refused(request.call.traffic_class, cause)
        request.call.refused(retry_after)

    def _fail(self, request: OpenRequest, late: bool, cause: Cause | OwnCause) -> None:
        self.tally.failed(request.call.traffic_class, cause)
        request.call.failed(late)

    def _cancel(self, number: int, hop: int) -> None:
        request = self._requests.get(number)
        if request is None or not 0 <= hop < len(request.attempts):
            return
        attempt = request.attempts[hop]
        if attempt.exchange is not None:
            attempt.exchange.abandon()
            attempt.exchange = None
            # Later: the module hears of nothing while it is being asked.
            self._loop.call_soon(self._outcome, attempt, Result(Outcome.CANCELLED))

    def _probe(self, server: str) -> None:
        sent = self._clock.now()

        def done(result: Result) -> None:
            limit.cancel()
            self._probed(server, sent, result)

        def expire() -> None:
            exchange.abandon()
            self._probed(server, sent, Result(Outcome.TIMEOUT))

        exchange = self._upstreams.probe(server, done)
        limit = self._loop.call_later(PROBE_TIMEOUT_MS / 1000.0, expire)

    def _end(self, request: OpenRequest) -> bool:
        """Mark a request as answered; whether it was not before."""
        if request.ended:
            return False
        request.ended = True
        self._open -= 1
        if request.guard is not None:
            request.guard.cancel()
        return True

    def _forget(self, request: OpenRequest) -> None:
        if request.ended and request.out == 0 and self._requests.pop(request.id, None) is not None:
            request.call.over()
            request.attempts.clear()  # they refer back: without them the memory is free at once
