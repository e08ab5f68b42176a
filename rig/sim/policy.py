"""The decision module in virtual time: many balancers, modelled port servers, open-loop clients. Pure.

No sockets and no clock: a heap of events in milliseconds. What the daemon does round the module (attempts,
time-outs, pooled connections) is modelled here, as plainly as it can be; what the module decides is the
module's own. The same seed and plan give the same day.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any, Literal, Protocol

from fordtrestle.balancer import model
from fordtrestle.balancer.model import Outcome
from rig.model import Job, Machine, Make, Repeats

How = Literal["up", "refusing", "silent"]
End = Literal["served", "late", "refused", "failed", "unanswered"]

CONNECT_MS = 250.0
EVENTS_MOST = 50_000_000
SWEEP_MS = 200.0


class Decides(Protocol):
    """A decision module, as the driver calls it."""

    def request(self, now: float, arrival: model.Arrival) -> list[model.Action]: ...

    def outcome(
        self,
        now: float,
        request_id: int,
        hop: int,
        status: int,
        spent: float = 0.0,
        last: bool = False,
        report: Mapping[str, float] | None = None,
    ) -> list[model.Action]: ...

    def timer(self, now: float, token: str) -> list[model.Action]: ...

    def server_list(self, now: float, form: str, entries: Iterable[model.Listing]) -> list[model.Action]: ...


@dataclass(frozen=True, slots=True)
class Flow:
    """Requests of one kind: a Poisson process over a span, or even gaps. Times are milliseconds."""

    rate_per_s: float
    budget_ms: float
    work_ms: float = 5.0
    io_ms: float = 40.0
    spread: float = 0.2  # of work and io: uniform within so much of the mean either way
    traffic_class: int = 0
    tenant: int = 0
    from_ms: float = 0.0
    until_ms: float = math.inf
    even: bool = False
    aim_ms: float = math.inf  # an answer later than that counts as late
    retries: int = 0  # a client's own tries after the first, where the class allows them
    wait_ms: float = 50.0  # before a retry; doubles
    try_share: float = 1.0  # of the budget, for one try
    honours: bool = True  # whether it waits as a refusal says
    again: tuple[End, ...] = ("refused",)  # what it tries again after
    sidecars: tuple[int, ...] = ()  # which it comes to; none: all
    weights: tuple[float, ...] = ()  # of those; none: all alike
    keys: int = 0
    key_zipf: float = 0.0  # exponent of their popularity; 0: all alike
    worth: float = 1.0
    name: str = ""


@dataclass(slots=True, eq=False)
class Asked:
    """One client's request with all its tries."""

    flow: Flow
    at_ms: float
    sidecar: int
    work_ms: float
    io_ms: float
    key: int | None
    token: str
    tries: int = 0
    open: bool = False  # a try is out
    end: End | None = None
    ended_ms: float = math.inf
    runs: int = 0  # how often its work was begun


@dataclass(slots=True, eq=False)
class Try:
    """One request that a sidecar has taken."""

    asked: Asked
    id: int
    give_up_ms: float
    attempts: list[Attempt] = field(default_factory=list)
    out: int = 0
    answered: bool = False


@dataclass(slots=True, eq=False)
class Attempt:
    """One send."""

    sidecar: Sidecar
    request: Try
    hop: int
    host: Host
    sent_ms: float
    job: Job | None = None
    out: bool = True
    connected: bool = False  # it holds a connection of the host


@dataclass(slots=True)
class SendCounts:
    """What servers were sent, by server name and by second."""

    sends: Counter[str] = field(default_factory=Counter)
    seconds: Counter[int] = field(default_factory=Counter)
    max_in_flight: int = 0
    opened: int = 0


class Host:
    """One port server and its ways to fail."""

    def __init__(self, world: World, name: str, make: Make, listing: model.Listing) -> None:
        self._world = world
        self.name = name
        self.make = make
        self.listing = listing
        self.how: How = "up"
        self.error_share = 0.0
        self.errs: Callable[[Asked], bool] = lambda _: False
        self.error_ms = 1.0
        self.lost_share = 0.0  # of its answers, which nobody hears
        self.machine = Machine(make, world.repeats, -1e9, cold=False)
        self.held: dict[Sidecar, list[float]] = {}  # idle connections, by when each was last used
        self._jobs: dict[int, Attempt] = {}
        self._wake_ms = math.inf

    # --- faults ------------------------------------------------------------

    def die(self, back_ms: float, cold: bool = True) -> None:
        """Its process ends: connections are reset, new ones refused, until it is back."""
        for attempt in list(self._jobs.values()):
            self._world.ended(attempt, Outcome.RESET, self._world.half_ms)
        self._jobs.clear()
        self.held.clear()
        self.how = "refusing"
        self._world.at(back_ms, lambda: self.start(cold))

    def start(self, cold: bool = True) -> None:
        """It listens again, with nothing left of before."""
        self.machine = Machine(self.make, self._world.repeats, self._world.now, cold=cold)
        self.how = "up"
        self._wake_ms = math.inf

    def vanish(self, back_ms: float) -> None:
        """Cut off without a word; what was in hand is done there, and its answers are lost."""
        self._jobs.clear()
        self.how = "silent"

        def back() -> None:
            self.how = "up"

        self._world.at(back_ms, back)

    def sweep(self, since_ms: float) -> None:
        """Close what has been idle for longer."""
        for sidecar, idle in list(self.held.items()):
            while idle and idle[0] < since_ms:
                idle.pop(0)
                self.machine.disconnect()
            if not idle:
                del self.held[sidecar]

    def stand_still(self, for_ms: float) -> None:
        """Its process stands still: the kernel takes what comes, nothing is answered."""
        self.machine.stall(self._world.now, for_ms)
        self._wake()

    # --- requests ----------------------------------------------------------

    def reached(self, attempt: Attempt, fresh: bool) -> None:
        """A request's last byte has come."""
        if not attempt.out:
            return
        world, asked = self._world, attempt.request.asked
        if self.how != "up":
            if self.how == "refusing":
                status = Outcome.CONNECT_FAILED if fresh else Outcome.RESET
                world.ended(attempt, status, world.half_ms)
            return  # a silent one says nothing
        if world.is_cut(attempt.sidecar, self):
            return
        world.counts.sends[self.name] += 1
        world.counts.seconds[int(world.now // 1000.0)] += 1
        if (self.error_share and world.rng.random() < self.error_share) or self.errs(asked):
            world.ended(attempt, Outcome.ERROR, world.half_ms + self.error_ms)
            return
        repeat_token = asked.token
        job = Job(
            asked.work_ms,
            asked.io_ms,
            key="" if asked.key is None else str(asked.key),
            token=repeat_token,
            deadline_ms=attempt.request.give_up_ms,
        )
        if self.machine.offer(world.now, job, capped=self.machine.connections > self.make.connections):
            world.ended(attempt, Outcome.FULL, world.half_ms)
            return
        asked.runs += 1
        attempt.job = job
        self._jobs[id(job)] = attempt
        world.counts.max_in_flight = max(world.counts.max_in_flight, self.machine.in_flight)
        self._wake()

    def open(self, sidecar: Sidecar) -> None:
        """A new connection: work for it."""
        self.machine.connect(self._world.now)
        self._world.counts.opened += 1
        self._wake()

    def drop(self, attempt: Attempt) -> None:
        """An attempt was given up: its connection is closed."""
        if attempt.connected:
            attempt.connected = False
            self.machine.disconnect()
        job = attempt.job
        if job is not None and self._jobs.pop(id(job), None) is not None and self.how == "up":
            self.machine.cancel(self._world.now, job)
            self._wake()

    def _wake(self) -> None:
        next_ms = self.machine.next_ms()
        if next_ms is not None and next_ms < self._wake_ms:
            self._wake_ms = next_ms
            self._world.at(next_ms, self._advance)

    def _advance(self) -> None:
        if self.how == "refusing":
            return
        self._wake_ms = math.inf
        for ended in self.machine.advance(self._world.now):
            attempt = self._jobs.pop(id(ended.job), None)
            if attempt is None:
                continue
            if self.lost_share and self._world.rng.random() < self.lost_share:
                continue
            if self.how == "up" and ended.end == "done" and not self._world.is_cut(attempt.sidecar, self):
                self._world.ended(attempt, Outcome.OK, self._world.half_ms)
        self._wake()


class Sidecar:
    """One balancer and what the daemon does round it."""

    def __init__(self, world: World, number: int, balancer: Decides) -> None:
        self._world = world
        self.number = number
        self.balancer = balancer
        self.alive = True
        self._requests: dict[int, Try] = {}
        self._next = itertools.count(1)
        self._usable: set[str] = set()

    @property
    def open_requests(self) -> list[Try]:
        """Those that it has taken and not answered."""
        return [request for request in self._requests.values() if not request.answered]

    def server_list(self, form: str, entries: Sequence[model.Listing]) -> None:
        """News of the servers."""
        self._act(self.balancer.server_list(self._world.now, form, entries))

    def take(self, asked: Asked) -> None:
        """A client's try comes in."""
        world, flow = self._world, asked.flow
        left = flow.budget_ms - (world.now - asked.at_ms)
        wait = min(flow.budget_ms * flow.try_share if asked.tries <= flow.retries else left, left)
        number = next(self._next)
        self._requests[number] = made = Try(asked, number, world.now + wait)
        asked.open = True
        world.at(made.give_up_ms, lambda: self._gone(made))
        arrival = model.Arrival(
            number, flow.traffic_class, made.give_up_ms, flow.tenant, asked.key, None, asked.tries > 1
        )
        self._act(self.balancer.request(world.now, arrival))

    def _gone(self, request: Try) -> None:
        """Its client gives it up."""
        if not request.answered:
            request.answered = True
            self._world.answered(request, "unanswered", 0.0)

    def _act(self, actions: Iterable[model.Action]) -> None:
        world = self._world
        for action in actions:
            match action:
                case model.Send(number, server, timeout):
                    self._send(number, server, timeout)
                case model.Timer(delay, token):
                    world.at(world.now + max(0.0, delay), lambda token=token: self._timer(token))  # type: ignore[misc]
                case model.Refuse(number, after):
                    self._final(number, "refused", after)
                case model.Fail(number):
                    self._final(number, "failed", 0.0)
                case model.Cancel(number, hop):
                    self._cancel(number, hop)
                case model.CloseIdle(server):
                    host = world.hosts[server]
                    for _ in host.held.pop(self, ()):
                        host.machine.disconnect()
                case model.Log(text):
                    world.log.append((world.now, self.number, text))

    def _timer(self, token: str) -> None:
        if self.alive:
            self._act(self.balancer.timer(self._world.now, token))

    def _final(self, number: int, end: End, after_ms: float) -> None:
        request = self._requests.get(number)
        if request is not None and not request.answered:
            request.answered = True
            self._world.answered(request, end, after_ms)
        self._forget(number)

    def _send(self, number: int, server: str, timeout: float) -> None:
        world, request = self._world, self._requests[number]
        host = world.hosts[server]
        attempt = Attempt(self, request, len(request.attempts), host, world.now)
        request.attempts.append(attempt)
        request.out += 1
        world.sends += 1
        wait = min(timeout, request.give_up_ms - world.now)
        world.at(world.now + wait, lambda: self._expire(attempt))
        cut = world.is_cut(self, host)
        if idle := host.held.get(self):
            idle.pop()  # the newest, as the pool does
            attempt.connected = True
            if not cut:
                world.at(world.now + world.half_ms, lambda: host.reached(attempt, False))
            return
        if host.how == "refusing" and not cut:
            world.refused_connects += 1
            world.ended(attempt, Outcome.CONNECT_FAILED, 2.0 * world.half_ms)
        elif host.how == "silent" or cut:
            world.silent_sends[host.name] += 1
            world.at(world.now + CONNECT_MS, lambda: world.end(attempt, Outcome.CONNECT_FAILED))
        else:
            host.open(self)
            attempt.connected = True
            # TCP's and TLS's round trips before the request itself.
            world.at(world.now + 5.0 * world.half_ms, lambda: host.reached(attempt, True))

    def _expire(self, attempt: Attempt) -> None:
        if attempt.out:
            self.ended(attempt, Outcome.TIMEOUT)

    def _cancel(self, number: int, hop: int) -> None:
        request = self._requests.get(number)
        if request is not None and hop < len(request.attempts) and request.attempts[hop].out:
            attempt = request.attempts[hop]
            self._world.at(self._world.now, lambda: self.ended(attempt, Outcome.CANCELLED))

    def ended(self, attempt: Attempt, status: Outcome) -> None:
        """The one outcome of an attempt."""
        if not attempt.out or not self.alive:
            return
        world, request = self._world, attempt.request
        attempt.out = False
        request.out -= 1
        if status in (Outcome.OK, Outcome.ERROR, Outcome.FULL):
            if attempt.connected:
                attempt.host.held.setdefault(self, []).append(world.now)
                attempt.connected = False
        else:
            attempt.host.drop(attempt)
        if status == Outcome.OK and not request.answered:
            request.answered = True
            world.answered(request, "served", 0.0)
        spent = world.now - attempt.sent_ms
        world.outcomes[status] += 1
        self._act(
            self.balancer.outcome(world.now, request.id, attempt.hop, int(status), spent, request.answered)
        )
        self._forget(request.id)

    def _forget(self, number: int) -> None:
        request = self._requests.get(number)
        if request is not None and request.answered and request.out == 0:
            del self._requests[number]


class World:
    """One day: hosts, sidecars and clients on one clock of milliseconds."""

    def __init__(
        self,
        makes: Mapping[str, Make],
        *,
        balancer: Callable[[int, int], Decides],
        sidecars: int = 1,
        seed: int = 1,
        half_ms: float = 0.2,
        kinds: Mapping[str, int] | None = None,
        zones: Mapping[str, int] | None = None,
        listed: bool = True,
        window_ms: float = 1200.0,
        idle_ms: float = math.inf,
    ) -> None:
        """`balancer` makes one for a sidecar's number and seed; `half_ms`: one way of the network;
        `idle_ms`: when a connection that nobody uses is closed.
        """
        self.now = 0.0
        self.rng = random.Random(f"world/{seed}")
        self.half_ms = half_ms
        self.repeats = Repeats(window_ms)
        self.counts = SendCounts()
        self.sends = 0
        self.refused_connects = 0
        self.silent_sends: Counter[str] = Counter()
        self.outcomes: Counter[Outcome] = Counter()
        self.log: list[tuple[float, int, str]] = []
        self.asked: list[Asked] = []
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self.hosts = {
            name: Host(
                self,
                name,
                make,
                model.Listing(name, (zones or {}).get(name, 0), (kinds or {}).get(name, 0)),
            )
            for name, make in makes.items()
        }
        self._make, self._seed, self._starts = balancer, seed, itertools.count()
        self._idle_ms = idle_ms
        self.cuts: set[tuple[int, int]] = set()  # zones of sidecars and servers without a way between them
        self.zone_of: Callable[[int], int] = lambda _: 0  # of a sidecar's number
        self.connections_ms = 0.0  # held by all sidecars, summed over time
        self.sidecars = [self._sidecar(n) for n in range(sidecars)]
        if idle_ms < math.inf:
            self.at(SWEEP_MS, self._sweep)
        if listed:
            self.tell("remembered", [host.listing for host in self.hosts.values()])

    def _sidecar(self, number: int) -> Sidecar:
        return Sidecar(
            self, number, self._make(number, (self._seed * 1009 + number) * 16 + next(self._starts) % 16)
        )

    def _sweep(self) -> None:
        for host in self.hosts.values():
            host.sweep(self.now - self._idle_ms)
            self.connections_ms += host.machine.connections * SWEEP_MS
        self.at(self.now + SWEEP_MS, self._sweep)

    def is_cut(self, sidecar: Sidecar, host: Host) -> bool:
        """Whether nothing of one reaches the other."""
        return bool(self.cuts) and (self.zone_of(sidecar.number), host.listing.zone) in self.cuts

    def cut(self, pairs: Iterable[tuple[int, int]], back_ms: float) -> None:
        """No way between these zones until then; connections stay open and silent."""
        pairs = set(pairs)
        self.cuts |= pairs
        self.at(back_ms, lambda: self.cuts.difference_update(pairs))

    def kill(self, number: int, back_ms: float, known: Sequence[model.Listing]) -> None:
        """End a sidecar at once, with all that it had learned and taken; it comes back with that list."""
        old = self.sidecars[number]
        old.alive = False
        for host in self.hosts.values():
            for _ in host.held.pop(old, ()):
                host.machine.disconnect()
        for request in old.open_requests:
            for attempt in request.attempts:
                attempt.host.drop(attempt)
            self.answered(request, "unanswered", 0.0)

        def back() -> None:
            self.sidecars[number] = self._sidecar(number)
            self.tell("remembered", known, [number])

        self.at(back_ms, back)

    def add(self, name: str, make: Make, listing: model.Listing) -> None:
        """A new server, cold; nobody is told of it yet."""
        host = self.hosts[name] = Host(self, name, make, listing)
        host.start()

    def at(self, when_ms: float, what: Callable[[], None]) -> None:
        """Do that then; not before now."""
        heapq.heappush(self._heap, (max(when_ms, self.now), next(self._order), what))

    def tell(
        self, form: str, entries: Sequence[model.Listing], sidecars: Iterable[int] | None = None
    ) -> None:
        """Tell sidecars, all of them where none are named, of servers."""
        for number in range(len(self.sidecars)) if sidecars is None else sidecars:
            self.sidecars[number].server_list(form, entries)

    def ended(self, attempt: Attempt, status: Outcome, after_ms: float) -> None:
        """An attempt's outcome, on its way."""
        self.at(self.now + after_ms, lambda: self.end(attempt, status))

    def end(self, attempt: Attempt, status: Outcome) -> None:
        """It has come."""
        if attempt.out:
            attempt.sidecar.ended(attempt, status)

    def flow(self, flow: Flow, length_ms: float) -> None:
        """Have clients ask; retries come by themselves."""
        # Seeds were recorded while the class was called a band here: they are to draw the same days still.
        drawn_by = str(flow).replace("traffic_class=", "band=")
        rng = random.Random(f"flow/{drawn_by}/{self.rng.random()}")
        now_ms = flow.from_ms
        gap_ms = 1000.0 / flow.rate_per_s
        until_ms = min(flow.until_ms, length_ms)
        where = flow.sidecars or tuple(range(len(self.sidecars)))
        odds = list(itertools.accumulate(flow.weights or [1.0] * len(where)))
        popular = list(itertools.accumulate((k + 1) ** -flow.key_zipf for k in range(flow.keys)))
        while (now_ms := now_ms + (gap_ms if flow.even else rng.expovariate(1.0 / gap_ms))) < until_ms:
            asked = Asked(
                flow,
                now_ms,
                rng.choices(where, cum_weights=odds)[0],
                flow.work_ms * rng.uniform(1.0 - flow.spread, 1.0 + flow.spread),
                flow.io_ms * rng.uniform(1.0 - flow.spread, 1.0 + flow.spread),
                rng.choices(range(flow.keys), cum_weights=popular)[0] if flow.keys else None,
                f"t{len(self.asked)}",
            )
            self.asked.append(asked)
            self.at(now_ms, lambda asked=asked: self._try(asked))  # type: ignore[misc]

    def _try(self, asked: Asked) -> None:
        if asked.end is not None:
            return
        asked.tries += 1
        sidecar = self.sidecars[asked.sidecar]
        if sidecar.alive:
            sidecar.take(asked)

    def answered(self, request: Try, end: End, after_ms: float) -> None:
        """The final answer of one try: its client is content, tries again, or ends."""
        asked, flow = request.asked, request.asked.flow
        if asked.end is not None:
            return
        if end == "served":
            asked.ended_ms = self.now + self.half_ms
            late = asked.ended_ms - asked.at_ms > flow.aim_ms
            asked.end = "late" if late else "served"
            return
        wait_ms = flow.wait_ms * 2.0 ** (asked.tries - 1)
        if flow.honours and after_ms > 0.0:
            wait_ms = max(wait_ms, after_ms)
        in_time = self.now + wait_ms < asked.at_ms + flow.budget_ms
        if asked.tries <= flow.retries and end in flow.again and in_time:
            self.at(self.now + wait_ms, lambda: self._try(asked))
            return
        asked.end, asked.ended_ms = end, self.now

    def run(self, until_ms: float) -> None:
        """Play to that time."""
        for _ in range(EVENTS_MOST):
            if not self._heap or self._heap[0][0] > until_ms:
                self.now = max(self.now, until_ms)
                return
            self.now, _, what = heapq.heappop(self._heap)
            what()
        raise AssertionError("the day has no end")

    # --- what clients saw ----------------------------------------------------

    def shares(self, name: str | None = None) -> dict[str, float]:
        """The share of requests by end, of one flow or of all."""
        rows = [asked for asked in self.asked if name is None or asked.flow.name == name]
        count = Counter(asked.end or "unanswered" for asked in rows)
        return {end: number / max(1, len(rows)) for end, number in count.items()}

    def seconds(self, name: str | None = None, end: End = "served") -> list[float]:
        """The share that ended so, by the second of its arrival."""
        asked: Counter[int] = Counter()
        good: Counter[int] = Counter()
        for one in self.asked:
            if name is None or one.flow.name == name:
                second = int(one.at_ms // 1000.0)
                asked[second] += 1
                good[second] += one.end == end
        return [good[second] / max(1, asked[second]) for second in range(max(asked, default=-1) + 1)]


def fleet(count: int, **figures: Any) -> dict[str, Make]:
    """So many alike servers, s0 and on."""
    return {f"s{number}": Make(**figures) for number in range(count)}
