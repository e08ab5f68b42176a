"""Every decision of one sidecar balancer.

The ordinary path is a client-side throttle before each send, then the server
with fewest of this balancer's own requests in flight among a few drawn at
random. `docs/design.md` tells the departures and when each one acts. The interface
(events, actions, settings) is in `model.py`, beside this file.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from fordtrestle.balancer import model
from fordtrestle.balancer.baselines import MAX_SPEED, PACE_MEMORY_MS, ServiceTimes
from fordtrestle.balancer.connections import (
    CONNECT_ERRORS_IN_FLIGHT,
    MORE_CANDIDATES,
    REFUSED_SHARE,
    ConnectionHealth,
)
from fordtrestle.balancer.ejection import OutlierEjection, allowed_in_flight
from fordtrestle.balancer.endpoints import CLOSE_TIMER, WATCH_TIMER, EndpointList
from fordtrestle.balancer.model import Cause
from fordtrestle.balancer.outage import OutageDetector
from fordtrestle.balancer.outcomes import (
    ANSWERS,
    CONNECT_FAILED,
    FULL,
    MAY_RUN_STILL,
    NEVER_RAN,
    OK,
    OWN_ENDS,
    RESET,
    TIMEOUT,
)
from fordtrestle.balancer.own_load import OwnLoad
from fordtrestle.balancer.requests import Request, stricter_profile
from fordtrestle.balancer.servers import HASH_MASK, HASH_MULTIPLIER, Attempt, Server
from fordtrestle.balancer.shedding import (
    MIN_OVERLOAD_SLOWDOWN,
    MIN_SHED_SHARE,
    OVERLOAD_SLOWDOWN,
    UNANSWERED_SLOWDOWN,
    LoadShedder,
)
from fordtrestle.balancer.subset import Subset
from fordtrestle.balancer.throttle import Throttle
from fordtrestle.balancer.zones import ZoneFailover

Report = Mapping[str, float] | None

UNHEARD_MS = 2000.0  # with nothing sent for longer, one goes to see: refusals tell nothing of the service
LATE_ACCEPT = 0.5  # an answer past its aim shows a service that is falling behind

# A time-out shows a service that is behind only past so many times the usual for its class and work:
# sooner its client gave up, whatever the service did.
PATIENT = 3.0


STOOD_STILL_MS = 100.0  # a timer later than this shows a stall of one's own; a tick is far less

BUSY_HELD = 2.0  # requests that busy cores hold, where only those that wait are reported
REPORT_MS = 300.0  # a report fades to its server's mean: others send there meanwhile
REPORT_GAIN = 0.2  # weight of the newest report in that mean
HOPELESS = 1.25  # under strain, work of so many aims is not begun where late earns nothing

CANDIDATES = 3
DRAWS, LAST_DRAWS = 16, 4  # bounds the work; the last go beyond the subset


# Warm keys: rendezvous hashing draws the same few candidates for a key at all sidecars.
KEY_SPREAD = 3.0  # servers for a key, as a multiple of its share of the whole ring
KEY_LEAST = 2
KEY_USES = 2.0  # of a connection in the time that it may lie unused: a sidecar's keys reach so few servers
KEY_REACH_LEAST = 8
KEY_CROWD = 2.0  # times the mean held: a server with more passes its keys down the order
KEY_CROWD_LEAST = 3  # requests held at once that are no crowd
KEY_MEMORY = 128  # arrivals by which a key's share is judged

OWN_HELD = 4.0  # own requests count as a crowd: other sidecars act alike

ILL_HELD = 8.0  # what a server that fails always counts as held: breaks ties at none in flight

TRIAL_USUAL = 3.0  # a first attempt that may be repeated gets at least so many usual answers' time

# A server with an attempt out past this share of its aim may be hung: it counts as so much held.
STALL = 0.5
STALL_HELD = 8.0

COME_BACK = 0.1  # of the aim: soon enough that a client's retry may still be served in time
COLD_SHARE = 0.5  # of what topples a cold server, were all warm ones fully loaded

# Zones: sends stay near until the near zone misses aims by more than a crossing costs.
CROSS_PRICE_LEAST = 0.05  # below this the queue that a preference builds costs more
CROSS_MARGIN = 0.5  # one request moved away also shortens the queue of those that stay
SPILL_GAIN = 0.15  # per outcome
MISS_MEMORY = 0.9  # of the far zones' misses, of which few are seen

DUE = "due:"
LATE = "late:"
TURN = "turn:"


@dataclass(slots=True, eq=False)
class Turn:
    """The requests of one key, in the order taken; the first one's turn it is."""

    line: deque[Request] = field(default_factory=deque)
    rest_until: float = -math.inf
    moving: bool = False


class Balancer:
    """The decisions of one sidecar: events in, actions out."""

    def __init__(self, now: float, settings: model.Settings, seed: int) -> None:
        self._rng = random.Random(seed)
        self._throttle = Throttle()
        self._shedder = LoadShedder(settings)
        self._actions: list[model.Action] = []
        self._times = ServiceTimes(settings)
        self._endpoints = EndpointList(settings, self._actions, self._times, self._rng.random)
        self._servers = self._endpoints.servers
        self._subset = Subset(now, settings)
        self._requests: dict[int, Request] = {}
        self._own = OwnLoad(now)
        self._keys: deque[int] = deque()
        self._key_counts: dict[int, int] = {}
        self._spill: list[float] = []  # part of each class that crosses
        self._far_miss = 0.0
        self._connections = ConnectionHealth(now, settings)
        self._zones = ZoneFailover(settings, self._actions, self._subset, self._connections)
        self._outage = OutageDetector(now)
        self._ejection = OutlierEjection(
            self._throttle, self._outage, self._own, self._subset, self._rng.random
        )
        self._turns: dict[int, Turn] = {}
        self._to_cold = (now, 0, 0, 0), True  # the last that was worked out: of what, and whether
        self._go_by(settings)

    def _go_by(self, settings: model.Settings) -> None:
        """All that follows from settings alone; what was learned is not touched."""
        self._set = settings
        told = {"inflight", "queue"} & set(settings.report_fields)
        self._reports = settings.report_how == "inline" and bool(told)
        # The worth that a crossing costs, as a share of what a request of each class is worth.
        worths = [profile.worth for profile in settings.profiles]
        price = settings.prices.get("CrossZone", 0.0)
        self._zoned = settings.zones > 1 and price >= CROSS_PRICE_LEAST
        self._margins = [CROSS_MARGIN * price * max(worths) / (worth or 1.0) for worth in worths]
        self._spill += [0.0] * (len(worths) - len(self._spill))
        self._times.apply_settings(settings)
        self._attempts_most = [settings.max_attempts * (not p.gone) for p in settings.profiles]
        self._wait_most = settings.max_retry_after * settings.retry_after
        self._connections.apply_settings(settings)
        self._zones.apply_settings(settings)
        self._endpoints.apply_settings(settings)
        self._subset.apply_settings(settings, self._servers.values())
        self._shedder.apply_settings(settings)

    # --- events -----------------------------------------------------------

    def settle(self, now: float, settings: model.Settings) -> list[model.Action]:
        """Other settings from now on; classes keep their places, or it is a `ValueError`. Requests that are
        open keep to the stricter of both. After a fault all is as it was.
        """
        before, places = self._set, settings.profiles
        if len(places) < len(before.profiles):
            raise ValueError(f"{len(places)} classes: {len(before.profiles)} have their places")
        asked = [(r, stricter_profile(r.profile, places[r.traffic_class])) for r in self._requests.values()]
        longer = max(0.0, settings.settle_after_doubt - before.settle_after_doubt)
        try:
            self._go_by(settings)
        except Exception:
            self._go_by(before)
            raise
        for turn in self._turns.values():
            turn.rest_until += longer
        for request, profile in asked:
            request.profile = profile
            request.max_attempts = min(request.max_attempts, self._attempts_most[request.traffic_class])
            request.max_retry_after = min(request.max_retry_after, self._wait_most)
            if places[request.traffic_class].in_turn and not request.is_ordered and request.key is not None:
                # It runs already, and others may: what comes waits for it, and it is not sent again.
                request.is_ordered, request.max_attempts = True, 0
                self._turns.setdefault(request.key, Turn()).line.appendleft(request)
        if settings.release_within != before.release_within:
            self._endpoints.release_all()
        return self._take()

    def request(self, now: float, arrival: model.Arrival) -> list[model.Action]:
        """A client's request: refuse it at once or send it."""
        traffic_class, key = arrival.traffic_class, arrival.key
        if not 0 <= traffic_class < len(self._set.profiles):
            raise ValueError(f"request {arrival.request}: no class {traffic_class}")
        profile, most = self._set.profiles[traffic_class], self._attempts_most[traffic_class]
        until = arrival.give_up_at if math.isfinite(arrival.give_up_at) else now + profile.deadline
        request = Request(arrival.request, traffic_class, key, profile, now, until, most, self._wait_most)
        # A figure that is not finite must not reach a time-out: the class's own serves.
        request.work = arrival.work if arrival.work and 0.0 < arrival.work < math.inf else 1.0
        request.is_ordered = profile.in_turn and key is not None
        self._requests[request.id] = request
        self._times.record_work(request.work)
        luck = self._rng.random()
        request.is_over_share = self._shedder.on_arrival(
            traffic_class, profile.worth, request.work, arrival.tenant, luck
        )
        if self._set.warm_keys and key is not None:
            self._count_key(key)
        if self._too_heavy(now, request):
            self._give_up(now, request, Cause.NO_TIME)
        elif request.is_ordered and key is not None:
            self._queue(now, request, key)
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
        """The end of an attempt: learn from it, then answer, resend or wait."""
        request = self._requests.get(request_id)
        if request is None or not 0 <= hop < len(request.attempts):
            return []
        if not (attempt := request.attempts[hop]).is_in_flight:
            return []
        spent = max(spent if math.isfinite(spent) else now - attempt.sent_at, 1e-3)  # it is divided by
        attempt.is_in_flight, attempt.may_have_run = False, status not in NEVER_RAN
        attempt.server.in_flight -= 1
        attempt.server.last_used_at = now
        if status in ANSWERS:
            attempt.server.idle_connections += 1
        elif status == RESET:
            attempt.server.idle_connections = 0
        if (
            attempt.is_new_connection
            and status not in OWN_ENDS
            and not self._zones.is_partitioned(now, attempt.server)
        ):
            self._connections.record_connect(status == CONNECT_FAILED)
        attempt.server.attempts.pop(attempt, None)
        self._zones.on_outcome(now, attempt, status, spent, self._servers)
        self._own.on_end()
        request.in_flight -= 1
        if report and self._reports:
            self._hear(now, attempt.server, report)
        if request.is_ordered and request.key is not None and status in MAY_RUN_STILL:
            # It may be running still: the key rests, whatever becomes of the request.
            self._turns[request.key].rest_until = now + self._set.settle_after_doubt
        self._learn(now, request, attempt, status, spent)
        self._endpoints.release(attempt.server)
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
            self._cancel_rest(request, hop)
        return self._take()

    def timer(self, now: float, token: str) -> list[model.Action]:
        """A timer of this balancer's own has come due."""
        if token == WATCH_TIMER:
            self._endpoints.on_watch_timer()
        elif token.startswith(DUE):
            self._overdue(now, token)
        elif token.startswith(LATE):
            request = self._requests.get(int(token[len(LATE) :]))
            if request is not None and not request.attempts:
                self._give_up(now, request, Cause.NO_TIME)
        elif token.startswith(TURN):
            self._advance(now, int(token[len(TURN) :]))
        elif token.startswith(CLOSE_TIMER):
            self._endpoints.on_close_timer(token)
        return self._take()

    def server_list(self, now: float, form: str, entries: Iterable[model.Listing]) -> list[model.Action]:
        """What discovery says of the servers."""
        if self._endpoints.apply(now, form, entries):
            self._forget_unknown()
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

    # --- the ordinary path ------------------------------------------------

    def _try(self, now: float, request: Request) -> None:
        """Throttle, draw, then send to the drawn with fewest in flight per capacity."""
        if not self._is_out(now):
            drop = self._throttle.drop_chance(now)
            chance = self._shedder.refusal_chance(now, drop, request.traffic_class, request.is_over_share)
            heard = now - self._own.last_send_at < UNHEARD_MS
            if heard and chance > 0.0 and self._rng.random() < chance:
                cause = self._shedder.cause(drop)
                if cause is Cause.THROTTLE:  # what others refuse tells nothing of the service
                    self._throttle.add(now, 0.0)
                self._give_up(now, request, cause)
                return
        elif not self._trial(now):
            self._give_up(now, request, Cause.OUTAGE)
            return
        if drawn := self._draw(now, request):
            self._send(now, request, min(drawn, key=lambda server: self._load(now, server)))
        else:
            self._give_up(now, request, request.undrawn_cause)

    def _is_out(self, now: float) -> bool:
        """Whether an outage is on; as one begins, all servers may be the first that is back."""
        if self._outage.begins(now):
            self._ejection.end_all()
        return self._outage.is_ongoing

    def _trial(self, now: float) -> bool:
        """Whether a trial of the outage may be sent."""
        share = len(self._subset.servers) / self._set.balancers
        return self._outage.allows_trial(now, self._own.in_flight, share, self._rng.random())

    def _zone_trial(self, now: float, request: Request) -> list[Server]:
        """A server of a zone that is doubted or cut off, if a trial is due and there is time for others."""
        if request.attempts or not request.max_attempts:
            return []
        is_hurried = request.useful_until() - now < self._times.typical_ms() + self._set.connect_timeout
        for name, zone in self._zones.due_for_trial(now, is_hurried):
            there = [server for server in self._subset.servers if server.zone == name]
            there = [server for server in there if server.name not in zone.silent] or there
            chosen = there[int(self._rng.random() * len(there))] if there else None
            ring = self._subset.servers
            if chosen and self._cold_room(now, request, chosen, ring, len(ring)):
                return [chosen]
        return []

    def _too_heavy(self, now: float, request: Request) -> bool:
        """Whether, under strain, a request would take a server and still come too late."""
        if request.profile.late_worth > 0.0 or self._shedder.level(now) <= MIN_SHED_SHARE:
            return False
        return self._times.expected_ms(request.work) > HOPELESS * request.profile.objective

    def _draw(self, now: float, request: Request) -> list[Server]:
        """A few random servers, each as likely as its share of the capacity."""
        if self._zones.any_in_trouble(now) and (drawn := self._zone_trial(now, request)):
            return drawn
        drawn, request.undrawn_cause = [], Cause.ATTEMPTS if request.attempts else Cause.DRAIN
        tried = [attempt.server for attempt in request.attempts if not attempt.met_dropped_connection]
        if self._set.warm_keys and request.key is not None:
            drawn = self._draw_for_key(now, request, request.key)
            if drawn:
                return drawn
        ring, bound = self._subset.servers, request.binding_attempt()
        if bound is not None and request.profile.semantics == "token" and request.profile.group != "all":
            # Only its group may have it again.
            ring = self._subset.groups.get(bound.server.group(request.profile.group), [])
        elif self._zoned and self._subset.local and self._subset.remote:
            ring = (
                self._subset.remote
                if self._rng.random() < self._spill[request.traffic_class]
                else self._subset.local
            )
        reach = self._subset.reach(ring, len(request.attempts), self._own.in_flight)
        top = self._subset.top_weight * MAX_SPEED
        for draw in range(DRAWS if ring else 0):
            if draw == DRAWS - LAST_DRAWS and bound is None:
                if drawn:
                    break
                ring, reach = self._subset.servers, len(self._subset.servers)
            server = ring[int(self._rng.random() * reach)]
            share = self._capacity(now, server) / top
            if share < 1.0 and self._rng.random() >= share:
                continue
            if server in tried or server in drawn or not self._may_draw(now, request, server, ring, reach):
                continue
            drawn.append(server)
            if len(drawn) >= CANDIDATES + MORE_CANDIDATES * self._connections.excess_errors():
                break
        return drawn or self._look_for_one(now, request, ring, tried)

    def _look_for_one(
        self, now: float, request: Request, ring: list[Server], tried: list[Server]
    ) -> list[Server]:
        """Guards against a refusal only since the draws were unlucky."""
        start = int(self._rng.random() * len(ring))
        for server in ring[start:] + ring[:start]:
            if server not in tried and self._may_draw(now, request, server, ring, len(ring)):
                return [server]
        return []

    def _count_key(self, key: int) -> None:
        """Remember a key among the last arrivals, to know the popular ones."""
        self._keys.append(key)
        self._key_counts[key] = self._key_counts.get(key, 0) + 1
        if len(self._keys) > KEY_MEMORY:
            old = self._keys.popleft()
            self._key_counts[old] -= 1
            if not self._key_counts[old]:
                del self._key_counts[old]

    def _draw_for_key(self, now: float, request: Request, key: int) -> list[Server]:
        """The first servers in a key's rendezvous order, more of them for a popular key.

        A server that is cold or keeps pace badly passes a part of its keys down the order,
        as it would be drawn less often at random: hashing alone leaves hot servers hot.
        """
        near = self._within_reach(now) if self._set.prices.get("Handshake") else self._subset.servers
        share = (self._key_counts.get(key, 1) - 1) / KEY_MEMORY
        width = max(KEY_LEAST, round(KEY_SPREAD * share * len(near)))
        mixed = key * HASH_MULTIPLIER & HASH_MASK
        tried = [attempt.server for attempt in request.attempts]
        crowd = max(KEY_CROWD_LEAST, KEY_CROWD * self._own.in_flight / max(1, len(self._subset.servers)))
        drawn: list[Server] = []
        for server in sorted(near, key=lambda server: server.rank(mixed)):
            warmth = self._warmth(now, server)
            if (warmth < 1.0 and request.attempts) or server.in_flight >= crowd:
                continue
            fitness = warmth * server.pace.speed
            passed = fitness < 1.0 and self._rng.random() >= fitness
            if passed or server in tried or not self._may_draw(now, request, server, near, len(near)):
                continue
            drawn.append(server)
            if len(drawn) >= width:
                break
        # Own requests in flight are mostly none: ties must not all fall to the first.
        self._rng.shuffle(drawn)
        return drawn

    def _within_reach(self, now: float) -> list[Server]:
        """So many servers, from this sidecar's place on, as its own rate keeps connections to.

        Guards against a handshake for most requests where hundreds of sidecars ask little each, and
        spread keys over all servers. As many for a rate everywhere, so that all servers get alike;
        those in trouble are passed over for the next, so that the others never narrow.
        """
        reach = max(KEY_REACH_LEAST, self._own.rate_per_ms(now) * self._set.idle_close / KEY_USES)
        if reach >= len(self._subset.servers):
            return self._subset.servers
        near: list[Server] = []
        for server in self._subset.servers:
            if (
                not server.ejections
                and now >= server.rest_until
                and not self._zones.is_partitioned(now, server)
            ):
                near.append(server)
                if len(near) >= reach:
                    return near
        return self._subset.servers

    def _capacity(self, now: float, server: Server) -> float:
        capacity = server.capacity()
        return capacity * self._warmth(now, server) if server.started_at > 0.0 else capacity

    def _load(self, now: float, server: Server) -> float:
        """Own requests in flight, and those reported or lately looked at, per capacity."""
        held = server.in_flight * OWN_HELD + server.error_weight * ILL_HELD
        if self._reports:
            fade = math.exp((server.reported_at - now) / REPORT_MS)
            held += (
                1.0 + server.mean_reported_load + (server.reported_load - server.mean_reported_load) * fade
            )
        if server.attempts and now >= next(iter(server.attempts)).stalls_at:
            held += STALL_HELD
        if not server.idle_connections:
            held += CONNECT_ERRORS_IN_FLIGHT * self._connections.excess_errors()
        # Warmth is kept by draws and budget; counted here too it left cold servers idle.
        return held / server.capacity()

    def _warmth(self, now: float, server: Server) -> float:
        """The share of its capacity that a started server is sure to have."""
        if server.started_at <= 0.0 or self._set.warm_up <= 0.0:
            return 1.0
        age = max(0.0, now - server.started_at)
        if age >= self._set.warm_up:
            return 1.0
        cold = self._set.cold_from
        return max(0.02, cold + (1.0 - cold) * age / self._set.warm_up)

    def _cold_room(
        self, now: float, request: Request, server: Server, ring: list[Server], reach: int
    ) -> bool:
        """Whether a request may go to a server, if that is cold, drawn from the first `reach` of a ring.

        Guards against a mass restart, drains or ejections that leave few others to be drawn: the less is fit
        of what there was lately, the fewer may go. Sidecars act alike, so that what hundreds send adds up to
        the same. A request has one coin for all servers and repeats, since more coins would send more.
        """
        if (
            self._warmth(now, server) >= 1.0 or self._outage.is_ongoing
        ):  # the trials of an outage have their own bound
            return True
        asked = now, request.id, len(ring), reach
        if asked != self._to_cold[0]:
            full = sum(other.capacity() for other in ring[:reach])
            fit = sum(self._capacity(now, other) for other in ring[:reach] if not self._unfit(now, other))
            left = fit / full * len(self._subset.servers) / self._subset.recent_servers
            if ring is self._subset.local:  # all of this zone keep to it, however few are left there
                left *= min(1.0, len(ring) * self._set.zones / len(self._subset.servers))
            # What is turned away is sent again, here or by its client, and counts in the sum too; one
            # that has just started knows little of that.
            left *= (self._throttle.accepts + 1.0) / (self._throttle.requests + 3.0)
            request.cold_luck = request.cold_luck or self._rng.random()
            self._to_cold = asked, request.cold_luck < self._set.fall_multiple * COLD_SHARE * left
        return self._to_cold[1]

    # --- health -----------------------------------------------------------

    def _may_draw(self, now: float, request: Request, server: Server, ring: list[Server], reach: int) -> bool:
        why = self._unfit(now, server) or self._barred(now, request, server)
        if why is None and self._cold_room(now, request, server, ring, reach):
            return True
        request.undrawn_cause = max(request.undrawn_cause, why or Cause.COLD)
        return False

    def _unfit(self, now: float, server: Server) -> Cause | None:
        """Why a server may not be drawn, if so; one that struck gets a single trial."""
        if now < server.rest_until or not server.is_usable:
            return Cause.RESTING
        if self._zones.is_partitioned(now, server):
            return Cause.CUT_OFF
        if server.in_flight >= allowed_in_flight(now, server):
            return Cause.FULL_ROOM
        return Cause.RESTING if server.ejections and server.in_flight else None

    def _learn(self, now: float, request: Request, attempt: Attempt, status: int, spent: float) -> None:
        """Charge an outcome to the server's own health or to the service."""
        server, aim, traffic_class = attempt.server, request.profile.objective, request.traffic_class
        if status in OWN_ENDS or self._connections.met_dropped(now, attempt, status, spent):
            return  # its client went, or it was spoilt on our side: that tells nothing of the service
        baseline = self._times.baselines[request.traffic_class]
        if status == OK:
            answers = self._own.rate_per_ms(now) * PACE_MEMORY_MS
            target_per_work = aim / self._times.mean_work
            baseline.record_answer(now, spent, request.work, answers, target_per_work)
        times = baseline.slowdown(spent, request.work)
        if status == TIMEOUT and spent < aim and times < PATIENT:
            return  # its client waits for less than answers take
        if self._zones.was_silent(status, spent) and self._zones.is_partitioned(now, server):
            return  # nobody there was asked: no crowd, and no fault of this one
        late = spent > aim
        if status in (OK, FULL, TIMEOUT):
            if status != TIMEOUT:
                self._shedder.record_outcome(
                    now, times if status == OK else UNANSWERED_SLOWDOWN, status == OK
                )
            elif spent < aim or request.profile.late_worth <= 0.0:  # where late pays, it counted at its aim
                self._shedder.record_unanswered(now)
            answers = self._own.rate_per_ms(now) * PACE_MEMORY_MS
            took = max(spent, 0.0 if status == OK else aim)
            self._times.record_answer(
                server.pace, server.kind_pace, took, request.work, answers, self._subset.recent_servers
            )
        if self._zoned:
            missed = float(status != OK or late)
            if server.zone != self._set.locality:
                self._far_miss += (1.0 - MISS_MEMORY) * (missed - self._far_miss)
            else:
                step = SPILL_GAIN * (missed - self._far_miss - self._margins[traffic_class])
                self._spill[traffic_class] = min(1.0, max(0.0, self._spill[traffic_class] + step))
        if status in (OK, FULL):
            self._taken(now)
        else:
            self._outage.record_failure(now)
        if status == OK:
            self._ejection.record_success(now, server)
        elif status == FULL:
            self._ejection.record_rejection(now, server)
        elif status == CONNECT_FAILED and spent < REFUSED_SHARE * self._set.connect_timeout:
            self._ejection.record_refused_connection(now, server)
        else:
            self._ejection.record_fault(now, server, status == TIMEOUT, attempt.sent_at)
        self._throttle.add(now, 0.0 if status != OK else LATE_ACCEPT if late else 1.0)

    def _taken(self, now: float) -> None:
        """The service takes work: an outage is over, and what was learned in it, or before, is void."""
        lasted_ms = self._outage.record_accept(now)
        if lasted_ms is not None:
            self._throttle.clear()
            self._own.skip(lasted_ms)

    def _hear(self, now: float, server: Server, report: Mapping[str, float]) -> None:
        """Take in what an answer reports; what is not a number is not believed."""
        waiting = report.get("queue", math.nan) + BUSY_HELD * report.get("util", 0.0)
        held = report.get("inflight", waiting)
        if math.isfinite(held):
            server.reported_load = max(0.0, held)
            server.mean_reported_load += REPORT_GAIN * (server.reported_load - server.mean_reported_load)
            server.reported_at = now

    def _overdue(self, now: float, token: str) -> None:
        """An attempt still out at its aim tells of the service then, not only as its client gives up."""
        name, _, hop = token[len(DUE) :].partition(":")
        request = self._requests.get(int(name))
        if request is None or not (attempt := request.attempts[int(hop)]).is_in_flight:
            return
        aim = request.profile.objective
        usual = self._times.baselines[request.traffic_class].slowdown(aim, request.work) < OVERLOAD_SLOWDOWN
        stood_still = now - attempt.sent_at - aim > STOOD_STILL_MS  # this sidecar itself: it tells nothing
        if usual or stood_still or self._zones.is_partitioned(now, attempt.server):
            return
        self._shedder.record_unanswered(now)
        if self._shedder.slowdown(now) < MIN_OVERLOAD_SLOWDOWN:
            self._ejection.record_fault(now, attempt.server, True, attempt.sent_at)

    # --- further attempts and ends ----------------------------------------

    def _after_failure(self, now: float, request: Request) -> None:
        """No attempt is out: resend as far as class, time and throttle allow."""
        if len(request.attempts) < request.max_attempts and now < request.useful_until():
            self._try(now, request)
        else:
            self._give_up(now, request, Cause.ATTEMPTS if now < request.useful_until() else Cause.NO_TIME)

    def _timeout(self, now: float, request: Request) -> float:
        """How long to wait for an attempt before it is better spent elsewhere."""
        useful, profile = request.useful_until(), request.profile
        whole = max(0.0, (useful if useful > now else request.give_up_at) - now)
        quick = self._shedder.slowdown(now) < MIN_OVERLOAD_SLOWDOWN and self._ejection.was_silent_lately(now)
        if profile.harmless and quick and len(request.attempts) + 1 < request.max_attempts:
            # Guards against hung and silent servers, also where they hold up a key's line. Only
            # after one was met and while answers are quick: in a crowd repeats would add to it.
            usual = self._times.typical_ms()
            trial = max(STALL * profile.objective, TRIAL_USUAL * usual)
            if trial + usual < whole and (profile.semantics == "pure" or trial + usual < profile.key_ttl):
                return trial
        return whole

    # --- order per key --------------------------------------------------------

    def _queue(self, now: float, request: Request, key: int) -> None:
        """Take a request into its key's line, unless it can't be served in time from there."""
        turn = self._turns.setdefault(key, Turn())
        usual = self._times.typical_ms()
        left = request.useful_until() - usual - now
        if left < usual * len(turn.line) and turn.line:
            self._give_up(now, request, Cause.NO_TIME)
            return
        turn.line.append(request)
        self._advance(now, key)
        if not request.is_done and not request.attempts:
            self._actions.append(model.Timer(max(left, 0.0), f"{LATE}{request.id}"))

    def _advance(self, now: float, key: int) -> None:
        """Start whose turn it is: all before it are over, and the key has rested from doubts."""
        turn = self._turns.get(key)
        if turn is None or turn.moving:
            return
        turn.moving = True  # a refusal below ends a request and would come here again
        line = turn.line
        while line:
            first = line[0]
            if first.is_done and first.in_flight == 0:
                line.popleft()
                continue
            if first.is_done or first.attempts:
                break
            if now < turn.rest_until:
                self._actions.append(model.Timer(turn.rest_until - now, f"{TURN}{key}"))
                break
            self._try(now, first)
            if not first.is_done:
                break
        turn.moving = False
        if not line:
            if now < turn.rest_until:
                self._actions.append(model.Timer(turn.rest_until - now, f"{TURN}{key}"))
            else:
                del self._turns[key]

    # --- the rules: every send, refusal and failure passes here -------------

    def _barred(self, now: float, request: Request, server: Server) -> Cause | None:
        """Why a request may not be sent to a server, if so."""
        if request.is_done or now >= request.give_up_at:
            return Cause.NO_TIME
        if len(request.attempts) >= request.max_attempts or (
            request.in_flight and not self._set.parallel_tries
        ):
            return Cause.ATTEMPTS
        if request.is_ordered and request.key is not None:
            turn = self._turns[request.key]
            if turn.line[0] is not request or (now < turn.rest_until and not request.attempts):
                return Cause.NO_TIME
        bound, profile, group = request.binding_attempt(), request.profile, request.profile.group
        if bound is not None and profile.semantics != "pure":
            lost = profile.semantics == "side_effect" or now - bound.sent_at >= profile.key_ttl
            if lost or (group != "all" and server.group(group) != bound.server.group(group)):
                return Cause.MAY_HAVE_RUN
        return None

    def _send(self, now: float, request: Request, server: Server) -> None:
        timeout, within, bound = self._timeout(now, request), math.inf, request.binding_attempt()
        if bound and request.profile.semantics == "token":  # it may wait for its connection
            within = bound.sent_at + request.profile.key_ttl - now
        gap = now - server.last_used_at if server.last_used_at and not server.in_flight else 0.0
        attempt = Attempt(server, now, now + STALL * request.profile.objective, gap)
        if gap > self._connections.trusted_idle_ms(now) or self._zones.is_in_trouble(server):
            self._actions.append(model.CloseIdle(server.name))
            server.idle_connections = 0
        attempt.is_new_connection = server.idle_connections == 0
        server.idle_connections -= not attempt.is_new_connection
        server.last_used_at = now
        request.attempts.append(attempt)
        server.attempts[attempt] = None
        self._zones.on_send(attempt)
        if timeout > (aim := request.profile.objective):
            self._actions.append(model.Timer(aim, f"{DUE}{request.id}:{len(request.attempts) - 1}"))
        request.in_flight += 1
        server.in_flight += 1
        self._own.on_send(now)
        self._actions.append(model.Send(request.id, server.name, timeout, within))

    def _give_up(self, now: float, request: Request, cause: Cause) -> None:
        """The final answer where no attempt has served."""
        if request.is_done or request.in_flight:
            return
        wait = min(COME_BACK * request.profile.objective, request.max_retry_after)
        bound = request.binding_attempt()
        if bound is not None and cause != Cause.NO_TIME:
            cause = self._barred(now, request, bound.server) or cause
        refuse = bound is None or request.profile.harmless
        self._actions.append(
            model.Refuse(request.id, wait, cause) if refuse else model.Fail(request.id, cause)
        )
        self._close(request)
        self._forget(now, request)

    def _close(self, request: Request) -> None:
        request.is_done = True
        self._cancel_rest(request, -1)

    def _cancel_rest(self, request: Request, kept: int) -> None:
        if self._set.may_cancel:
            open_hops = [
                hop for hop, attempt in enumerate(request.attempts) if attempt.is_in_flight and hop != kept
            ]
            self._actions += [model.Cancel(request.id, hop) for hop in open_hops]

    def _forget(self, now: float, request: Request) -> None:
        if request.is_done and request.in_flight == 0:
            self._requests.pop(request.id, None)
            if request.is_ordered and request.key is not None:
                self._advance(now, request.key)

    def _forget_unknown(self) -> None:
        """Keep no record of servers that the endpoint list has forgotten."""
        self._ejection.forget_unknown(self._servers)
        self._zones.forget_unknown(self._servers)

    def _take(self) -> list[model.Action]:
        actions = self._actions.copy()
        self._actions.clear()
        return actions
