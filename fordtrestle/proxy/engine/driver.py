"""The driver of the decision module: passes events in and carries out the actions that come back.

Nothing else calls the decision module. The driver owns the timers, the requests and their attempts, but no
sockets: the transports for requests, server lists and messages are injected as the protocols of `ports`.
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

# The client's deadline runs from its send, ours from the read: the margin covers transit and loop lag.
DEADLINE_MARGIN_MS = 8.0
# The module answers by the deadline; a request that it leaves unanswered for this long after is failed here.
GUARD_MS = 25.0
# If a time-out fires this much later than it was due, this process was stalled and could not see a response.
MAX_TIMER_LAG_MS = 100.0


@dataclass(frozen=True, slots=True)
class EngineOptions:
    """The options of one engine.

    Attributes:
        settings: The decision module's settings.
        seed: The seed of the module's random source and of request ids.
        max_open: The most requests in flight at once.
    """

    settings: model.Settings
    seed: int
    max_open: int


class Driver:
    """Runs one balancer: passes events to it and carries out the actions that it returns.

    Each request gets exactly one final answer: the first of served, refused and failed ends it, and later
    ones are ignored. Each attempt has exactly one outcome.

    Attributes:
        allows_optional_work: Whether work that no request waits for may be done; off under pressure.
        counters: Counts the requests that were refused or failed.
    """

    def __init__(self, loop: Scheduler, clock: Clock, options: EngineOptions) -> None:
        self._loop = loop
        self._clock = clock
        self._settings = options.settings
        self._max_open = options.max_open
        self._requests: dict[int, OpenRequest] = {}
        self._open_count = 0  # requests without a final answer
        self._ids = RequestIds(options.seed)
        self.allows_optional_work = True
        self.counters = OutcomeCounters()
        self._prober = Prober(loop, clock, self._on_probe_result)
        self._balancer = Balancer(clock.now(), options.settings, options.seed)
        self._upstreams: Upstreams
        self._registry: Registry
        self._gossip: Gossip

    def connect(self, upstreams: Upstreams, registry: Registry, gossip: Gossip) -> None:
        """Set the transports that carry out actions; to be called once, before any event."""
        self._upstreams, self._registry, self._gossip = upstreams, registry, gossip

    @property
    def is_idle(self) -> bool:
        """Whether all accepted requests are answered."""
        return self._open_count == 0

    @property
    def has_due_requests(self) -> bool:
        """Whether any unanswered request is before its deadline or may still be failed for missing it."""
        over_ms = self._clock.now() - 2.0 * GUARD_MS
        return any(
            not request.is_ended and request.deadline_ms > over_ms for request in self._requests.values()
        )

    # --- events -----------------------------------------------------------

    def arrive(self, call: Call, now: float) -> OpenRequest | None:
        """Accept a request; its call gets one final answer.

        Args:
            call: The request.
            now: When its last byte was read, in the clock's milliseconds.

        Returns:
            The open request; None if it was refused at once because `max_open` others are in flight.
        """
        if self._open_count >= self._max_open:
            self.counters.record_refused(call.traffic_class, OwnCause.MAX_OPEN)
            call.refused(0.0)
            return None
        deadline_ms = now + call.budget - DEADLINE_MARGIN_MS
        request = OpenRequest(self._ids.next(self._requests), call, deadline_ms)
        self._requests[request.id] = request
        self._open_count += 1
        # A safety net for a request that the module never answers.
        request.guard = self._loop.call_at(
            self._clock.to_loop_time(deadline_ms + GUARD_MS), self._on_guard, request
        )
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
        """Handle that a client closed its connection before its request was answered."""
        if not request.is_ended:
            self._end(request)
            self._dispatch(request, self._balancer.client_gone, request.id)

    def server_list(self, form: str, update: ServerList | None) -> None:
        """Apply an update of the server list.

        Args:
            form: The kind of update, as the decision module names it.
            update: The update; None if the registry was unreachable or returned no valid list.
        """
        if update is None:
            self._dispatch(None, self._balancer.server_list, form, ())
            return
        replaced = self._upstreams.update(self._clock.now(), form != "changes", update)
        left = [model.Listing(name, state="left") for name in replaced]
        self._dispatch(None, self._balancer.server_list, form, left + update.entries)

    def pressure(self, share: float) -> None:
        """Have the module refuse a share of the work, lowest priority weight first, to shed load."""
        self._dispatch(None, self._balancer.pressure, share)

    def peer_message(self, peer: int, data: bytes) -> None:
        """Pass a message from another sidecar to the module."""
        self._dispatch(None, self._balancer.peer_message, peer, data)

    def update_settings(self, settings: model.Settings, max_open: int | None = None) -> bool:
        """Replace the settings.

        To be called between events, never from within the handling of one.

        Args:
            settings: All settings of the module.
            max_open: The most requests in flight at once; None leaves it unchanged.

        Returns:
            Whether the module accepted them; if not, the previous settings stay in force.
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
        """Fail a request that the module left unanswered past its deadline."""
        if self._end(request):
            log(f"request {request.id}: the decision module did not answer it by its deadline")
            self._fail(request, True, OwnCause.UNANSWERED)
            self._dispatch(request, self._balancer.client_gone, request.id)

    def _on_outcome(self, attempt: OpenAttempt, result: AttemptResult) -> None:
        """Record the outcome of an attempt; the first OK answers its request."""
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
        """End an attempt that timed out.

        Guards against blaming the server when this process was stalled: a missing response then says nothing
        about the server, though the request may have run there.
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
        """Pass an event to the module and carry out the actions that it returns.

        An error in the module fails only the request that the event concerns, never the process.

        Args:
            request: The request that the event concerns; None if there is none.
            event: The module's method for the event; it takes the time and `args`.
            *args: The arguments of the event.
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
        """Carry out an action; the most frequent ones are matched first."""
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
            log(f"send for unknown request {action.request}")
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
        attempt.timer = self._loop.call_at(
            self._clock.to_loop_time(expires_at_ms), self._on_attempt_timeout, attempt
        )
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
            # In the next iteration: no event may reach the module while it handles another.
            self._loop.call_soon(self._on_outcome, attempt, AttemptResult(Outcome.CANCELLED))

    def _end(self, request: OpenRequest) -> bool:
        """Mark a request as ended; return False if it already was."""
        if request.is_ended:
            return False
        request.is_ended = True
        self._open_count -= 1
        if request.guard is not None:
            request.guard.cancel()
        return True

    def _forget_if_done(self, request: OpenRequest) -> None:
        """Forget a request that has ended and has no attempt in flight."""
        if not request.is_ended or request.open_attempts:
            return
        if self._requests.pop(request.id, None) is not None:
            request.call.on_finished()
            request.attempts.clear()  # breaks the reference cycle, so that memory is freed at once
