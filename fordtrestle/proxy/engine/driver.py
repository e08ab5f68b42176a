"""The only caller of the decision module: events in, actions out.

The driver owns the timers, the requests and their attempts, and knows no sockets: what carries requests,
server lists and messages is handed in, behind the protocols of `ports`.
"""

from __future__ import annotations

import traceback
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from fordtrestle.balancer import Balancer, model
from fordtrestle.balancer.model import Cause, Outcome
from fordtrestle.proxy.engine.clock import Clock
from fordtrestle.proxy.engine.log import log
from fordtrestle.proxy.engine.open_requests import OpenAttempt, OpenRequest, RequestIds
from fordtrestle.proxy.engine.outcome_counters import OutcomeCounters, OwnCause
from fordtrestle.proxy.engine.ports import (
    AttemptResult,
    Call,
    Gossip,
    Registry,
    Scheduler,
    ServerList,
    Upstreams,
)
from fordtrestle.proxy.engine.prober import Prober

# The client counts from its send and this process from its read: for transit, and for what the loop lags.
DEADLINE_MARGIN_MS = 8.0
# The module answers at the deadline; what it left unanswered for so long is failed for it.
GUARD_MS = 25.0
# An attempt that times out later than this was not really awaited: this process itself was stalled.
MAX_TIMER_LAG_MS = 100.0


@dataclass(frozen=True, slots=True)
class EngineOptions:
    """The options of one engine.

    Attributes:
        settings: The decision module's settings.
        seed: Of the module's random source, and of request ids.
        max_open: The most requests that are open at once.
    """

    settings: model.Settings
    seed: int
    max_open: int


class Driver:
    """Runs one balancer: gives it events and carries out the actions that it decides on.

    Each request gets one final answer: the first of served, refused and failed ends it, and later ones are
    passed over. Each attempt has one outcome.

    Attributes:
        allows_optional_work: Whether work may be done that no request waits for; off under pressure.
        counters: Of its refusals and failures.
    """

    def __init__(self, loop: Scheduler, clock: Clock, options: EngineOptions) -> None:
        self._loop = loop
        self._clock = clock
        self._settings = options.settings
        self._max_open = options.max_open
        self._requests: dict[int, OpenRequest] = {}
        self._open_count = 0  # of the requests that are not ended
        self._ids = RequestIds(options.seed)
        self.allows_optional_work = True
        self.counters = OutcomeCounters()
        self._prober = Prober(loop, clock, self._on_probe_result)
        self._balancer = Balancer(clock.now(), options.settings, options.seed)
        self._upstreams: Upstreams
        self._registry: Registry
        self._gossip: Gossip

    def connect(self, upstreams: Upstreams, registry: Registry, gossip: Gossip) -> None:
        """Hand in what carries the actions out; to be called once, before any event."""
        self._upstreams, self._registry, self._gossip = upstreams, registry, gossip

    @property
    def is_idle(self) -> bool:
        """Whether every request that was accepted is answered."""
        return self._open_count == 0

    @property
    def has_due_requests(self) -> bool:
        """Whether any request is unanswered whose time, with what it takes to fail it, is not over."""
        over_ms = self._clock.now() - 2.0 * GUARD_MS
        return any(
            not request.is_ended and request.deadline_ms > over_ms for request in self._requests.values()
        )

    # --- events -----------------------------------------------------------

    def arrive(self, call: Call, now: float) -> OpenRequest | None:
        """Accept a request; its call gets one final answer.

        Args:
            call: The request.
            now: When its last byte was read.

        Returns:
            The open request; None if it is refused at once, since `max_open` others are open.
        """
        if self._open_count >= self._max_open:
            self.counters.record_refused(call.traffic_class, OwnCause.MAX_OPEN)
            call.refused(0.0)
            return None
        deadline_ms = now + call.budget - DEADLINE_MARGIN_MS
        request = OpenRequest(self._ids.next(self._requests), call, deadline_ms)
        self._requests[request.id] = request
        self._open_count += 1
        # Guards against a module that forgets a request: a safety net, not a decision.
        request.guard = self._loop.call_at(self._clock.at(deadline_ms + GUARD_MS), self._on_guard, request)
        arrival = model.Arrival(
            request.id,
            call.traffic_class,
            deadline_ms,
            call.tenant,
            call.key,
            call.work,
            call.again,
            call.mutates,
        )
        self._dispatch(request, self._balancer.request, arrival)
        return request

    def client_gone(self, request: OpenRequest) -> None:
        """The client closed its connection before the answer."""
        if not request.is_ended:
            self._end(request)
            self._dispatch(request, self._balancer.client_gone, request.id)

    def server_list(self, form: str, update: ServerList | None) -> None:
        """Apply an update of the servers.

        Args:
            form: The update's form, as the module takes it.
            update: The update; None if the registry could not be asked or gave no valid list.
        """
        if update is None:
            self._dispatch(None, self._balancer.server_list, form, ())
            return
        replaced = self._upstreams.update(self._clock.now(), form != "changes", update)
        left = [model.Listing(name, state="left") for name in replaced]
        self._dispatch(None, self._balancer.server_list, form, left + update.entries)

    def pressure(self, share: float) -> None:
        """Have the module refuse such a share of the work, worth least first: this process is overloaded."""
        self._dispatch(None, self._balancer.pressure, share)

    def peer_message(self, peer: int, data: bytes) -> None:
        """A message of another sidecar has come."""
        self._dispatch(None, self._balancer.peer_message, peer, data)

    def update_settings(self, settings: model.Settings, max_open: int | None = None) -> bool:
        """Replace the settings for all that is done from now on.

        To be called between two events, and never from within what one of them calls.

        Args:
            settings: All settings of the module.
            max_open: The most requests that are open at once; None: as before.

        Returns:
            Whether the module took them; if not, everything goes on by the settings before.
        """
        try:
            actions = self._balancer.settle(self._clock.now(), settings)
        except Exception:
            log(traceback.format_exc())
            return False
        self._settings = settings
        self._max_open = self._max_open if max_open is None else max_open
        self._dispatch(None, lambda now: actions)
        return True

    def _on_guard(self, request: OpenRequest) -> None:
        """Fail a request that the module has left unanswered past its deadline."""
        if self._end(request):
            log(f"request {request.id}: no answer at its deadline")
            self._fail(request, True, OwnCause.UNANSWERED)
            self._dispatch(request, self._balancer.client_gone, request.id)

    def _on_outcome(self, attempt: OpenAttempt, result: AttemptResult) -> None:
        """Take the one outcome of an attempt; the first OK answers its request."""
        if not attempt.is_open:
            return
        now = self._clock.now()
        attempt.is_open = False
        if attempt.timer is not None:
            attempt.timer.cancel()
        attempt.exchange = None
        request = attempt.request
        request.open_attempts -= 1
        if result.outcome == Outcome.OK and result.response is not None and self._end(request):
            request.call.served(result.response)
        self._dispatch(
            request,
            self._balancer.outcome,
            request.id,
            attempt.hop,
            int(result.outcome),
            now - attempt.sent_at_ms,
            request.is_ended,
            result.report,
        )
        self._forget_if_done(request)

    def _on_attempt_timeout(self, attempt: OpenAttempt) -> None:
        """End an attempt whose time is over.

        Guards against blaming a server while this process was stalled: that it did not answer then says
        nothing about it, though the request may have run.
        """
        if attempt.exchange is not None:
            attempt.exchange.abandon()
        was_stalled = self._clock.now() - attempt.expires_at_ms > MAX_TIMER_LAG_MS
        self._on_outcome(attempt, AttemptResult(Outcome.CANCELLED if was_stalled else Outcome.TIMEOUT))

    def _on_timer(self, token: str) -> None:
        self._dispatch(None, self._balancer.timer, token)

    def _on_probe_result(self, server: str, result: AttemptResult, took_ms: float) -> None:
        self._dispatch(None, self._balancer.probe_result, server, int(result.outcome), took_ms, result.report)

    # --- actions ------------------------------------------------------------

    def _dispatch(
        self, request: OpenRequest | None, event: Callable[..., Iterable[model.Action]], *args: Any
    ) -> None:
        """Give the module an event and carry out what it decides on.

        Guards against an error in the module: it fails the request at hand, never the process.

        Args:
            request: The request at hand; None if the event concerns none.
            event: The module's method for the event; it takes the time and `args`.
            *args: The event's values.
        """
        try:
            for action in event(self._clock.now(), *args):
                self._perform(action)
        except Exception:
            log(traceback.format_exc())
            if request is not None and self._end(request):
                self._fail(request, False, OwnCause.MODULE_FAULT)
                self._dispatch(None, self._balancer.client_gone, request.id)
        if request is not None:
            self._forget_if_done(request)

    def _perform(self, action: model.Action) -> None:
        """Carry out an action; those that come with most requests are matched first."""
        match action:
            case model.Send():
                self._send(action)
            case model.Timer(delay, token):
                self._loop.call_later(max(0.0, delay) / 1000.0, self._on_timer, token)
            case model.Refuse(number, retry_after, cause):
                request = self._requests.get(number)
                if request is not None and self._end(request):
                    self._refuse(request, retry_after, cause)
            case model.Fail(number, cause):
                request = self._requests.get(number)
                if request is not None and self._end(request):
                    self._fail(request, self._clock.now() >= request.deadline_ms, cause)
            case model.Cancel(number, hop):
                self._cancel(number, hop)
            case model.CloseIdle(server):
                self._upstreams.close_idle(server)
            case _:
                self._perform_rare(action)

    def _perform_rare(self, action: model.Action) -> None:
        match action:
            case model.Watch(on):
                self._registry.watch(on)
            case model.Fetch():
                self._registry.fetch()
            case model.Probe(server) if not self.allows_optional_work:
                self._prober.skip(server)
            case model.Probe(server):
                self._prober.probe(self._upstreams, server)
            case model.Tell(peer, data):
                self._gossip.send(peer, data)
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
        request.open_attempts += 1
        left_ms = request.deadline_ms - now
        is_over = request.is_ended or left_ms <= 0.0 or action.timeout < 0.0
        if is_over or attempt.hop >= self._settings.max_attempts:
            self._loop.call_soon(self._on_outcome, attempt, AttemptResult(Outcome.ABANDONED))
            return
        begin_by_ms = now + action.begin_within
        timeout_ms = min(action.timeout, left_ms) if action.timeout > 0.0 else left_ms
        expires_at_ms = now + timeout_ms
        attempt.expires_at_ms = expires_at_ms
        attempt.timer = self._loop.call_at(self._clock.at(expires_at_ms), self._on_attempt_timeout, attempt)
        attempt.exchange = self._upstreams.send(
            action.server,
            lambda left_ms: attempt.message(self._clock, begin_by_ms, left_ms),
            expires_at_ms,
            lambda result: self._on_outcome(attempt, result),
        )

    def _refuse(self, request: OpenRequest, retry_after: float, cause: Cause) -> None:
        self.counters.record_refused(request.call.traffic_class, cause)
        request.call.refused(retry_after)

    def _fail(self, request: OpenRequest, is_late: bool, cause: Cause | OwnCause) -> None:
        self.counters.record_failed(request.call.traffic_class, cause)
        request.call.failed(is_late)

    def _cancel(self, number: int, hop: int) -> None:
        request = self._requests.get(number)
        if request is None or not 0 <= hop < len(request.attempts):
            return
        attempt = request.attempts[hop]
        if attempt.exchange is not None:
            attempt.exchange.abandon()
            attempt.exchange = None
            # In the next turn: no event may reach the module while it is handling one.
            self._loop.call_soon(self._on_outcome, attempt, AttemptResult(Outcome.CANCELLED))

    def _end(self, request: OpenRequest) -> bool:
        """Mark a request as ended; return whether it was not before."""
        if request.is_ended:
            return False
        request.is_ended = True
        self._open_count -= 1
        if request.guard is not None:
            request.guard.cancel()
        return True

    def _forget_if_done(self, request: OpenRequest) -> None:
        """Forget a request that is ended and has no open attempt."""
        if not request.is_ended or request.open_attempts:
            return
        if self._requests.pop(request.id, None) is not None:
            request.call.on_finished()
            request.attempts.clear()  # breaks the reference cycle: the memory is free at once
