"""The decisions of one sidecar balancer: it takes events and returns actions.

On the ordinary path, a client-side throttle admits each send, which goes to the least loaded of a few servers
that are selected at random. `docs/design.md` describes the exceptions and when each of them applies; each has
a module in this package. The interface (events, actions, settings) is in `model.py`.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, Mapping

from fordtrestle.balancer import model
from fordtrestle.balancer.affinity import KeyAffinity
from fordtrestle.balancer.attempts import DUE_TIMER, AttemptSender
from fordtrestle.balancer.baselines import ServiceTimes
from fordtrestle.balancer.candidates import CandidateSelection
from fordtrestle.balancer.connections import ConnectionHealth
from fordtrestle.balancer.ejection import OutlierEjection
from fordtrestle.balancer.eligibility import Eligibility
from fordtrestle.balancer.evidence import Evidence
from fordtrestle.balancer.key_order import TURN_TIMER, KeyOrder
from fordtrestle.balancer.known_servers import CLOSE_TIMER, WATCH_TIMER, KnownServers
from fordtrestle.balancer.locality import LocalPreference
from fordtrestle.balancer.model import Cause
from fordtrestle.balancer.outage import OutageDetector
from fordtrestle.balancer.outcomes import MAY_STILL_RUN
from fordtrestle.balancer.own_load import OwnLoad
from fordtrestle.balancer.requests import Request, stricter_profile
from fordtrestle.balancer.server_load import ServerLoad
from fordtrestle.balancer.shedding import MIN_SHED_SHARE, LoadShedder
from fordtrestle.balancer.slow_start import SlowStart
from fordtrestle.balancer.subset import Subset
from fordtrestle.balancer.throttle import Throttle
from fordtrestle.balancer.zones import ZoneFailover

Report = Mapping[str, float] | None

# After longer without a send, a request is sent regardless of load: refusals are no evidence of the service.
MAX_SEND_GAP_MS = 2000.0
# In an overload, requests that are expected to take longer are refused if late answers have no value.
MAX_EXPECTED_TARGETS = 1.25  # latency targets
RETRY_AFTER_SHARE = 0.1  # of the latency target; a client's retry may still be served in time
MIN_SPENT_MS = 1e-3  # lower bound of an attempt's duration, by which other figures are divided

LATE_TIMER = "late:"  # token prefix: a queued request can no longer be served in time


class Balancer:
    """Decides for one sidecar.

    Each event method returns the actions to carry out. Times are in milliseconds of a monotonic clock.
    """

    def __init__(self, now: float, settings: model.Settings, seed: int) -> None:
        self._rng = random.Random(seed)
        uniform = self._rng.random
        self._actions: list[model.Action] = []  # of the current event; all parts append to it
        self._requests: dict[int, Request] = {}
        self._throttle = Throttle()
        self._shedder = LoadShedder(settings)
        self._own_load = OwnLoad(now)
        self._times = ServiceTimes(settings)
        self._known_servers = KnownServers(settings, self._actions, self._times, uniform)
        self._servers = self._known_servers.servers
        self._subset = Subset(now, settings)
        self._outage = OutageDetector(now)
        self._connections = ConnectionHealth(now, settings)
        self._zones = ZoneFailover(settings, self._actions, self._subset, self._connections)
        self._ejection = OutlierEjection(self._throttle, self._outage, self._own_load, self._subset, uniform)
        self._attempts = AttemptSender(
            self._actions,
            own=self._own_load,
            times=self._times,
            shedder=self._shedder,
            ejection=self._ejection,
            zones=self._zones,
            connections=self._connections,
        )
        self._key_order = KeyOrder(self._actions, self._send_or_refuse)
        self._eligibility = Eligibility(settings, self._zones, self._key_order)
        self._slow_start = SlowStart(
            now, settings, self._subset, self._eligibility, self._throttle, self._outage, uniform
        )
        self._affinity = KeyAffinity(
            settings, self._subset, self._own_load, self._zones, self._slow_start, self._rng
        )
        self._locality = LocalPreference(settings)
        self._server_load = ServerLoad(settings, self._connections)
        self._candidates = CandidateSelection(
            settings,
            subset=self._subset,
            eligibility=self._eligibility,
            slow_start=self._slow_start,
            affinity=self._affinity,
            locality=self._locality,
            zones=self._zones,
            connections=self._connections,
            times=self._times,
            own=self._own_load,
            uniform=uniform,
        )
        self._evidence = Evidence(
            settings,
            throttle=self._throttle,
            shedder=self._shedder,
            outage=self._outage,
            times=self._times,
            ejection=self._ejection,
            locality=self._locality,
            zones=self._zones,
            connections=self._connections,
            own=self._own_load,
            subset=self._subset,
        )
        self._apply_settings(settings)

    def _apply_settings(self, settings: model.Settings) -> None:
        """Replace everything that is derived from settings alone; learned state is kept."""
        self._settings = settings
        self._max_attempts = [settings.max_attempts * (not profile.gone) for profile in settings.profiles]
        self._max_retry_after = settings.max_retry_after * settings.retry_after
        self._server_load.apply_settings(settings)
        self._locality.apply_settings(settings)
        self._times.apply_settings(settings)
        self._connections.apply_settings(settings)
        self._zones.apply_settings(settings)
        self._eligibility.apply_settings(settings)
        self._slow_start.apply_settings(settings)
        self._affinity.apply_settings(settings)
        self._candidates.apply_settings(settings)
        self._evidence.apply_settings(settings)
        self._known_servers.apply_settings(settings)
        self._subset.apply_settings(settings, self._servers.values())
        self._shedder.apply_settings(settings)

    # --- events -----------------------------------------------------------

    def settle(self, now: float, settings: model.Settings) -> list[model.Action]:
        """Change the settings; open requests follow the stricter of the old and the new ones.

        If applying the settings raises an exception, the old settings are restored.

        Args:
            now: The time in ms.
            settings: The new settings.

        Raises:
            ValueError: There are fewer classes than before; a class keeps its index for good.
        """
        before, profiles = self._settings, settings.profiles
        if len(profiles) < len(before.profiles):
            raise ValueError(f"expected at least {len(before.profiles)} classes, not {len(profiles)}")
        open_requests = list(self._requests.values())
        stricter = [stricter_profile(r.profile, profiles[r.traffic_class]) for r in open_requests]
        extension_ms = max(0.0, settings.settle_after_doubt - before.settle_after_doubt)
        try:
            self._apply_settings(settings)
        except Exception:
            self._apply_settings(before)
            raise
        self._key_order.extend_blocks(extension_ms)
        for request, profile in zip(open_requests, stricter, strict=True):
            request.profile = profile
            request.max_attempts = min(request.max_attempts, self._max_attempts[request.traffic_class])
            request.max_retry_after = min(request.max_retry_after, self._max_retry_after)
            if profiles[request.traffic_class].in_turn and not request.is_ordered and request.key is not None:
                # The request and others of its key may already run concurrently: later ones wait for it, and
                # it is not retried.
                request.is_ordered, request.max_attempts = True, 0
                self._key_order.queue(request.key).waiting.appendleft(request)
        if settings.release_within != before.release_within:
            self._known_servers.close_all_idle_connections()
        return self._take_actions()

    def request(self, now: float, arrival: model.Arrival) -> list[model.Action]:
        """Send, queue or refuse a client's request.

        Raises:
            ValueError: The settings have no such class.
        """
        traffic_class, key = arrival.traffic_class, arrival.key
        if not 0 <= traffic_class < len(self._settings.profiles):
            raise ValueError(f"request {arrival.request}: no class {traffic_class}")
        profile, max_attempts = self._settings.profiles[traffic_class], self._max_attempts[traffic_class]
        give_up_at = arrival.give_up_at if math.isfinite(arrival.give_up_at) else now + profile.deadline
        request = Request(
            arrival.request, traffic_class, key, profile, now, give_up_at, max_attempts, self._max_retry_after
        )
        # Figures that are not finite must not reach a timeout: they are replaced by the deadline and by 1.
        request.work = arrival.work if arrival.work and 0.0 < arrival.work < math.inf else 1.0
        request.is_ordered = profile.in_turn and key is not None
        self._requests[request.id] = request
        self._times.record_work(request.work)
        request.is_over_share = self._shedder.on_arrival(
            traffic_class, profile.worth, request.work, arrival.tenant, self._rng.random()
        )
        if key is not None and self._affinity.is_on:
            self._affinity.record_arrival(key)
        if self._expects_late_answer(now, request):
            self._give_up(now, request, Cause.NO_TIME)
        elif request.is_ordered and key is not None:
            self._enqueue(now, request, key)
        else:
            self._send_or_refuse(now, request)
        return self._take_actions()

    def outcome(
        self,
        now: float,
        request_id: int,
        hop: int,
        status: int,
        spent: float = 0.0,
        last: bool = False,
        report: Report = None,
    ) -> list[model.Action]:
        """Learn from the end of an attempt, then retry or give the final answer, unless others are in flight.

        Args:
            now: The time in ms.
            request_id: The request.
            hop: The index of the attempt among the request's attempts.
            status: How the attempt ended, as a `model.Outcome`.
            spent: How long it took, in ms.
            last: Whether this attempt has answered the client.
            report: The load that the server reports, if any.
        """
        request = self._requests.get(request_id)
        if request is None or not 0 <= hop < len(request.attempts):
            return []
        attempt = request.attempts[hop]
        if not attempt.is_in_flight:
            return []
        spent = max(spent if math.isfinite(spent) else now - attempt.sent_at, MIN_SPENT_MS)
        self._attempts.on_outcome(now, request, attempt, status, spent, self._servers)
        if report and self._server_load.is_reported:
            self._server_load.record_report(now, attempt.server, report)
        if request.is_ordered and request.key is not None and status in MAY_STILL_RUN:
            # The server may still work on it: the key is blocked, whatever happens to the request.
            self._key_order.block_until(request.key, now + self._settings.settle_after_doubt)
        self._evidence.record_outcome(now, request, attempt, status, spent)
        self._known_servers.close_idle_connections(attempt.server)
        if last:
            self._close(request)
        elif not request.is_done and request.in_flight == 0:
            self._after_failure(now, request)
        self._forget_if_done(now, request)
        return self._take_actions()

    def answer_started(self, now: float, request_id: int, hop: int) -> list[model.Action]:
        """Cancel the other attempts of a request, since the answer of this one has begun to stream."""
        request = self._requests.get(request_id)
        if request is not None:
            self._cancel_attempts(request, hop)
        return self._take_actions()

    def timer(self, now: float, token: str) -> list[model.Action]:
        """Handle a timer that this balancer requested."""
        if token.startswith(DUE_TIMER):
            request_number, _, hop = token[len(DUE_TIMER) :].partition(":")
            request = self._requests.get(int(request_number))
            if request is not None and (attempt := request.attempts[int(hop)]).is_in_flight:
                self._evidence.record_overdue(now, request, attempt)
        elif token == WATCH_TIMER:
            self._known_servers.on_watch_timer()
        elif token.startswith(LATE_TIMER):
            request = self._requests.get(int(token[len(LATE_TIMER) :]))
            if request is not None and not request.attempts:
                self._give_up(now, request, Cause.NO_TIME)
        elif token.startswith(TURN_TIMER):
            self._key_order.on_turn_timer(now, token)
        elif token.startswith(CLOSE_TIMER):
            self._known_servers.on_close_timer(token)
        return self._take_actions()

    def server_list(self, now: float, form: str, entries: Iterable[model.Listing]) -> list[model.Action]:
        """Apply a server list from discovery; `KnownServers.apply` explains `form`."""
        if self._known_servers.apply(now, form, entries):
            self._ejection.forget_unknown(self._servers)
            self._zones.forget_unknown(self._servers)
            self._subset.update(now, self._servers.values())
        return self._take_actions()

    def pressure(self, now: float, share: float) -> list[model.Action]:
        """Set the share of work to refuse because this sidecar is overloaded (memory, calls, event loop)."""
        self._shedder.pressure = min(1.0, max(0.0, share)) if math.isfinite(share) else 0.0
        return self._take_actions()

    def probe_result(
        self, now: float, server: str, status: int, spent: float = 0.0, report: Report = None
    ) -> list[model.Action]:
        """Ignore a probe's result; no probes are sent: one before each send cost more than it gained."""
        return self._take_actions()

    def peer_message(self, now: float, peer: int, data: bytes) -> list[model.Action]:
        """Ignore a message from another sidecar; peer messages are not used yet."""
        return self._take_actions()

    def client_gone(self, now: float, request_id: int) -> list[model.Action]:
        """Close a request whose client has left; it needs no answer."""
        request = self._requests.get(request_id)
        if request is not None and not request.is_done:
            self._close(request)
            self._forget_if_done(now, request)
        return self._take_actions()

    # --- the path of a request --------------------------------------------

    def _send_or_refuse(self, now: float, request: Request) -> None:
        """Send a request to the candidate with the least load, or refuse it."""
        cause = self._refusal_cause(now, request)
        if cause is None:
            if candidates := self._candidates.select(now, request):
                self._attempts.send(
                    now, request, min(candidates, key=lambda server: self._server_load.estimate(now, server))
                )
                return
            cause = request.no_candidate_cause
        self._give_up(now, request, cause)

    def _refusal_cause(self, now: float, request: Request) -> Cause | None:
        """Return why a request is refused before a server is selected; None if it is not."""
        if self._outage.begins(now):
            self._ejection.end_all()
        if self._outage.is_ongoing:
            share = len(self._subset.servers) / self._settings.balancers
            may_try = self._outage.allows_trial(now, self._own_load.in_flight, share, self._rng.random())
            return None if may_try else Cause.OUTAGE
        throttle_share = self._throttle.drop_chance(now)
        chance = self._shedder.refusal_chance(
            now, throttle_share, request.traffic_class, request.is_over_share
        )
        has_sent_recently = now - self._own_load.last_send_at < MAX_SEND_GAP_MS
        if not has_sent_recently or chance <= 0.0 or self._rng.random() >= chance:
            return None
        cause = self._shedder.cause(throttle_share)
        if cause is Cause.THROTTLE:  # refusals by load shedding or pressure are no evidence of the service
            self._throttle.add(now, 0.0)
        return cause

    def _expects_late_answer(self, now: float, request: Request) -> bool:
        """Return whether, in an overload, a request would use a server and still be answered too late."""
        if request.profile.late_worth > 0.0 or self._shedder.level(now) <= MIN_SHED_SHARE:
            return False
        return self._times.expected_ms(request.work) > MAX_EXPECTED_TARGETS * request.profile.objective

    def _enqueue(self, now: float, request: Request, key: int) -> None:
        """Add a request to its key's queue, or refuse it if it would not be served in time from there."""
        waiting = self._key_order.queue(key).waiting
        typical_ms = self._times.typical_ms()
        left_ms = request.useful_until() - typical_ms - now
        if waiting and left_ms < typical_ms * len(waiting):
            self._give_up(now, request, Cause.NO_TIME)
            return
        waiting.append(request)
        self._key_order.advance(now, key)
        if not request.is_done and not request.attempts:
            self._actions.append(model.Timer(max(left_ms, 0.0), f"{LATE_TIMER}{request.id}"))

    def _after_failure(self, now: float, request: Request) -> None:
        """Retry a request without attempts in flight, if class, time and throttle allow, or give it up."""
        is_useful = now < request.useful_until()
        if is_useful and len(request.attempts) < request.max_attempts:
            self._send_or_refuse(now, request)
        else:
            self._give_up(now, request, Cause.ATTEMPTS if is_useful else Cause.NO_TIME)

    def _give_up(self, now: float, request: Request, cause: Cause) -> None:
        """Give the final answer to a request that no attempt has answered."""
        if request.is_done or request.in_flight:
            return
        retry_after = min(RETRY_AFTER_SHARE * request.profile.objective, request.max_retry_after)
        binding = request.binding_attempt()
        if binding is not None and cause != Cause.NO_TIME:
            cause = self._eligibility.forbidden_cause(now, request, binding.server) or cause
        refuse = binding is None or request.profile.harmless
        if refuse:
            self._actions.append(model.Refuse(request.id, retry_after, cause))
        else:
            self._actions.append(model.Fail(request.id, cause))
        self._close(request)
        self._forget_if_done(now, request)

    def _close(self, request: Request) -> None:
        request.is_done = True
        self._cancel_attempts(request, kept=None)

    def _cancel_attempts(self, request: Request, kept: int | None) -> None:
        if self._settings.may_cancel:
            hops = [hop for hop, attempt in enumerate(request.attempts) if attempt.is_in_flight]
            self._actions += [model.Cancel(request.id, hop) for hop in hops if hop != kept]

    def _forget_if_done(self, now: float, request: Request) -> None:
        """Delete a request that has ended, and let the next one of its key start."""
        if request.is_done and request.in_flight == 0:
            self._requests.pop(request.id, None)
            if request.is_ordered and request.key is not None:
                self._key_order.advance(now, request.key)

    def _take_actions(self) -> list[model.Action]:
        """Return and clear the actions of the current event."""
        actions = self._actions.copy()
        self._actions.clear()
        return actions
