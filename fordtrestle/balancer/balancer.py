"""The decisions of one sidecar balancer: events in, actions out.

The ordinary path is a client-side throttle before each send, then the server with least load among a few
drawn at random. `docs/design.md` tells the departures and when each one acts; each has a module here. The
interface (events, actions, settings) is in `model.py`.
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
from fordtrestle.balancer.outcomes import MAY_RUN_STILL
from fordtrestle.balancer.own_load import OwnLoad
from fordtrestle.balancer.requests import Request, stricter_profile
from fordtrestle.balancer.server_load import ServerLoad
from fordtrestle.balancer.shedding import MIN_SHED_SHARE, LoadShedder
from fordtrestle.balancer.slow_start import SlowStart
from fordtrestle.balancer.subset import Subset
from fordtrestle.balancer.throttle import Throttle
from fordtrestle.balancer.zones import ZoneFailover

Report = Mapping[str, float] | None

UNHEARD_MS = 2000.0  # with nothing sent for longer, one goes to see: refusals are no evidence of the service
HOPELESS_TARGETS = 1.25  # under strain, work of so many latency targets is not begun where late earns nothing
RETRY_AFTER_SHARE = 0.1  # of the latency target: a client's retry may still be served in time
MIN_SPENT_MS = 1e-3  # that an attempt takes: times are divided by

LATE_TIMER = "late:"  # a request that waits for its turn can't be served in time any more


class Balancer:
    """The decisions of one sidecar.

    Each event gives the actions that it asks for. Times are milliseconds of one clock that never goes back.
    """

    def __init__(self, now: float, settings: model.Settings, seed: int) -> None:
        self._rng = random.Random(seed)
        draw = self._rng.random
        self._actions: list[model.Action] = []  # of the event at hand; all parts add to it
        self._requests: dict[int, Request] = {}
        self._throttle = Throttle()
        self._shedder = LoadShedder(settings)
        self._own = OwnLoad(now)
        self._times = ServiceTimes(settings)
        self._known = KnownServers(settings, self._actions, self._times, draw)
        self._servers = self._known.servers
        self._subset = Subset(now, settings)
        self._outage = OutageDetector(now)
        self._connections = ConnectionHealth(now, settings)
        self._zones = ZoneFailover(settings, self._actions, self._subset, self._connections)
        self._ejection = OutlierEjection(self._throttle, self._outage, self._own, self._subset, draw)
        self._attempts = AttemptSender(
            self._actions,
            own=self._own,
            times=self._times,
            shedder=self._shedder,
            ejection=self._ejection,
            zones=self._zones,
            connections=self._connections,
        )
        self._order = KeyOrder(self._actions, self._try)
        self._eligibility = Eligibility(settings, self._zones, self._order)
        self._slow_start = SlowStart(
            now, settings, self._subset, self._eligibility, self._throttle, self._outage, draw
        )
        self._affinity = KeyAffinity(
            settings, self._subset, self._own, self._zones, self._slow_start, self._rng
        )
        self._locality = LocalPreference(settings)
        self._load = ServerLoad(settings, self._connections)
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
            own=self._own,
            draw=draw,
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
            own=self._own,
            subset=self._subset,
        )
        self._apply_settings(settings)

    def _apply_settings(self, settings: model.Settings) -> None:
        """All that follows from settings alone; what was learned is not touched."""
        self._settings = settings
        self._max_attempts = [settings.max_attempts * (not profile.gone) for profile in settings.profiles]
        self._max_retry_after = settings.max_retry_after * settings.retry_after
        self._load.apply_settings(settings)
        self._locality.apply_settings(settings)
        self._times.apply_settings(settings)
        self._connections.apply_settings(settings)
        self._zones.apply_settings(settings)
        self._eligibility.apply_settings(settings)
        self._slow_start.apply_settings(settings)
        self._affinity.apply_settings(settings)
        self._candidates.apply_settings(settings)
        self._evidence.apply_settings(settings)
        self._known.apply_settings(settings)
        self._subset.apply_settings(settings, self._servers.values())
        self._shedder.apply_settings(settings)

    # --- events -----------------------------------------------------------

    def settle(self, now: float, settings: model.Settings) -> list[model.Action]:
        """Other settings from now on; requests that are open keep to the stricter of both.

        After a fault all is as it was.

        Raises:
            ValueError: A class is missing: classes keep their places.
        """
        before, profiles = self._settings, settings.profiles
        if len(profiles) < len(before.profiles):
            raise ValueError(f"{len(profiles)} classes: {len(before.profiles)} have their places")
        open_requests = list(self._requests.values())
        stricter = [stricter_profile(r.profile, profiles[r.traffic_class]) for r in open_requests]
        longer_ms = max(0.0, settings.settle_after_doubt - before.settle_after_doubt)
        try:
            self._apply_settings(settings)
        except Exception:
            self._apply_settings(before)
            raise
        self._order.extend_rests(longer_ms)
        for request, profile in zip(open_requests, stricter, strict=True):
            request.profile = profile
            request.max_attempts = min(request.max_attempts, self._max_attempts[request.traffic_class])
            request.max_retry_after = min(request.max_retry_after, self._max_retry_after)
            if profiles[request.traffic_class].in_turn and not request.is_ordered and request.key is not None:
                # It runs already, and others may: what comes waits for it, and it is not sent again.
                request.is_ordered, request.max_attempts = True, 0
                self._order.queue(request.key).waiting.appendleft(request)
        if settings.release_within != before.release_within:
            self._known.release_all()
        return self._take()

    def request(self, now: float, arrival: model.Arrival) -> list[model.Action]:
        """A client's request: refuse it at once or send it.

        Raises:
            ValueError: The settings have no such class.
        """
        traffic_class, key = arrival.traffic_class, arrival.key
        if not 0 <= traffic_class < len(self._settings.profiles):
            raise ValueError(f"request {arrival.request}: no class {traffic_class}")
        profile, most = self._settings.profiles[traffic_class], self._max_attempts[traffic_class]
        until = arrival.give_up_at if math.isfinite(arrival.give_up_at) else now + profile.deadline
        request = Request(
            arrival.request, traffic_class, key, profile, now, until, most, self._max_retry_after
        )
        # A figure that is not finite must not reach a time-out: the class's own serves.
        request.work = arrival.work if arrival.work and 0.0 < arrival.work < math.inf else 1.0
        request.is_ordered = profile.in_turn and key is not None
        self._requests[request.id] = request
        self._times.record_work(request.work)
        request.is_over_share = self._shedder.on_arrival(
            traffic_class, profile.worth, request.work, arrival.tenant, self._rng.random()
        )
        if key is not None and self._affinity.is_on:
            self._affinity.record_arrival(key)
        if self._is_hopeless(now, request):
            self._give_up(now, request, Cause.NO_TIME)
        elif request.is_ordered and key is not None:
            self._enqueue(now, request, key)
        else:
            self._try(now, request)
        return self._take()

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
        """The end of an attempt: learn from it, then answer, resend or wait.

        Args:
            now: The time in ms.
            request_id: The request.
            hop: Which of its attempts, from 0 on.
            status: How it ended, a `model.Outcome`.
            spent: How long it took, in ms.
            last: Whether the client has its answer by it.
            report: What the server reports of itself.
        """
        request = self._requests.get(request_id)
        if request is None or not 0 <= hop < len(request.attempts):
            return []
        attempt = request.attempts[hop]
        if not attempt.is_in_flight:
            return []
        spent = max(spent if math.isfinite(spent) else now - attempt.sent_at, MIN_SPENT_MS)
        self._attempts.on_outcome(now, request, attempt, status, spent, self._servers)
        if report and self._load.is_reported:
            self._load.record_report(now, attempt.server, report)
        if request.is_ordered and request.key is not None and status in MAY_RUN_STILL:
            # It may be running still: the key rests, whatever becomes of the request.
            self._order.rest(request.key, now + self._settings.settle_after_doubt)
        self._evidence.record_outcome(now, request, attempt, status, spent)
        self._known.release(attempt.server)
        if last:
            self._close(request)
        elif not request.is_done and request.in_flight == 0:
            self._after_failure(now, request)
        self._forget(now, request)
        return self._take()

    def answer_started(self, now: float, request_id: int, hop: int) -> list[model.Action]:
        """A stream has begun: it belongs to the client, other copies are of no use."""
        request = self._requests.get(request_id)
        if request is not None:
            self._cancel_attempts(request, hop)
        return self._take()

    def timer(self, now: float, token: str) -> list[model.Action]:
        """A timer of this balancer's own has come due."""
        if token.startswith(DUE_TIMER):
            name, _, hop = token[len(DUE_TIMER) :].partition(":")
            request = self._requests.get(int(name))
            if request is not None and (attempt := request.attempts[int(hop)]).is_in_flight:
                self._evidence.record_overdue(now, request, attempt)
        elif token == WATCH_TIMER:
            self._known.on_watch_timer()
        elif token.startswith(LATE_TIMER):
            request = self._requests.get(int(token[len(LATE_TIMER) :]))
            if request is not None and not request.attempts:
                self._give_up(now, request, Cause.NO_TIME)
        elif token.startswith(TURN_TIMER):
            self._order.on_turn_timer(now, token)
        elif token.startswith(CLOSE_TIMER):
            self._known.on_close_timer(token)
        return self._take()

    def server_list(self, now: float, form: str, entries: Iterable[model.Listing]) -> list[model.Action]:
        """What discovery says of the servers; for `form` see `KnownServers.apply`."""
        if self._known.apply(now, form, entries):
            self._ejection.forget_unknown(self._servers)
            self._zones.forget_unknown(self._servers)
            self._subset.update(now, self._servers.values())
        return self._take()

    def pressure(self, now: float, share: float) -> list[model.Action]:
        """This sidecar itself is pressed (memory, calls, its loop): such a share of the work is to go."""
        self._shedder.pressure = min(1.0, max(0.0, share)) if math.isfinite(share) else 0.0
        return self._take()

    def probe_result(
        self, now: float, server: str, status: int, spent: float = 0.0, report: Report = None
    ) -> list[model.Action]:
        """What a probe found; none are sent: a look before each send cost more than it told."""
        return self._take()

    def peer_message(self, now: float, peer: int, data: bytes) -> list[model.Action]:
        """A message from a sibling; none are used yet."""
        return self._take()

    def client_gone(self, now: float, request_id: int) -> list[model.Action]:
        """The client has left: nothing more is owed."""
        request = self._requests.get(request_id)
        if request is not None and not request.is_done:
            self._close(request)
            self._forget(now, request)
        return self._take()

    # --- the way of a request ---------------------------------------------

    def _try(self, now: float, request: Request) -> None:
        """Throttle, draw, then send to the drawn with least load."""
        cause = self._refusal_cause(now, request)
        if cause is None:
            if drawn := self._candidates.draw(now, request):
                self._attempts.send(now, request, min(drawn, key=lambda server: self._load.of(now, server)))
                return
            cause = request.undrawn_cause
        self._give_up(now, request, cause)

    def _refusal_cause(self, now: float, request: Request) -> Cause | None:
        """Why a request is refused whatever server it would go to, if so."""
        if self._outage.begins(now):
            self._ejection.end_all()
        if self._outage.is_ongoing:
            share = len(self._subset.servers) / self._settings.balancers
            may_try = self._outage.allows_trial(now, self._own.in_flight, share, self._rng.random())
            return None if may_try else Cause.OUTAGE
        drop = self._throttle.drop_chance(now)
        chance = self._shedder.refusal_chance(now, drop, request.traffic_class, request.is_over_share)
        is_heard = now - self._own.last_send_at < UNHEARD_MS
        if not is_heard or chance <= 0.0 or self._rng.random() >= chance:
            return None
        cause = self._shedder.cause(drop)
        if cause is Cause.THROTTLE:  # what others refuse is no evidence of the service
            self._throttle.add(now, 0.0)
        return cause

    def _is_hopeless(self, now: float, request: Request) -> bool:
        """Whether, under strain, a request would take a server and still come too late."""
        if request.profile.late_worth > 0.0 or self._shedder.level(now) <= MIN_SHED_SHARE:
            return False
        return self._times.expected_ms(request.work) > HOPELESS_TARGETS * request.profile.objective

    def _enqueue(self, now: float, request: Request, key: int) -> None:
        """Take a request into its key's queue, unless it can't be served in time from there."""
        waiting = self._order.queue(key).waiting
        typical_ms = self._times.typical_ms()
        left_ms = request.useful_until() - typical_ms - now
        if waiting and left_ms < typical_ms * len(waiting):
            self._give_up(now, request, Cause.NO_TIME)
            return
        waiting.append(request)
        self._order.advance(now, key)
        if not request.is_done and not request.attempts:
            self._actions.append(model.Timer(max(left_ms, 0.0), f"{LATE_TIMER}{request.id}"))

    def _after_failure(self, now: float, request: Request) -> None:
        """No attempt is out: resend as far as class, time and throttle allow."""
        is_useful = now < request.useful_until()
        if is_useful and len(request.attempts) < request.max_attempts:
            self._try(now, request)
        else:
            self._give_up(now, request, Cause.ATTEMPTS if is_useful else Cause.NO_TIME)

    def _give_up(self, now: float, request: Request, cause: Cause) -> None:
        """The final answer where no attempt has served."""
        if request.is_done or request.in_flight:
            return
        retry_after = min(RETRY_AFTER_SHARE * request.profile.objective, request.max_retry_after)
        bound = request.binding_attempt()
        if bound is not None and cause != Cause.NO_TIME:
            cause = self._eligibility.barred_cause(now, request, bound.server) or cause
        refuse = bound is None or request.profile.harmless
        if refuse:
            self._actions.append(model.Refuse(request.id, retry_after, cause))
        else:
            self._actions.append(model.Fail(request.id, cause))
        self._close(request)
        self._forget(now, request)

    def _close(self, request: Request) -> None:
        request.is_done = True
        self._cancel_attempts(request, kept=None)

    def _cancel_attempts(self, request: Request, kept: int | None) -> None:
        if self._settings.may_cancel:
            hops = [hop for hop, attempt in enumerate(request.attempts) if attempt.is_in_flight]
            self._actions += [model.Cancel(request.id, hop) for hop in hops if hop != kept]

    def _forget(self, now: float, request: Request) -> None:
        """Keep no record of a request that is over; the next of its key may begin."""
        if request.is_done and request.in_flight == 0:
            self._requests.pop(request.id, None)
            if request.is_ordered and request.key is not None:
                self._order.advance(now, request.key)

    def _take(self) -> list[model.Action]:
        """The actions of the event at hand."""
        actions = self._actions.copy()
        self._actions.clear()
        return actions
