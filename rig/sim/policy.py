"""Simulation of the decision module: many balancers, modelled port servers and open-loop clients. Pure.

It uses a heap of events in milliseconds instead of sockets and a clock. The work of the daemon around the
module (attempts, timeouts, pooled connections) is modelled here in a simple form; decisions are made by the
real module. The same seed and plan give the same run.
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
MAX_EVENTS = 50_000_000
SWEEP_MS = 200.0


class DecisionModule(Protocol):
    """Interface of a decision module."""

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
    """Requests of one kind, as a Poisson process or at even intervals. Times are milliseconds."""

    rate_per_s: float
    budget_ms: float
    work_ms: float = 5.0
    io_ms: float = 40.0
    spread: float = 0.2  # work and io are uniform within this share around their means
    traffic_class: int = 0
    tenant: int = 0
    from_ms: float = 0.0
    until_ms: float = math.inf
    even: bool = False
    aim_ms: float = math.inf  # latency target: later answers count as late
    retries: int = 0  # maximum of retries by the client, where the class allows them
    wait_ms: float = 50.0  # backoff before the first retry; it doubles
    try_share: float = 1.0  # time limit of one try, as a share of the budget
    honours: bool = True  # whether the client waits as long as a rejection asks
    again: tuple[End, ...] = ("refused",)  # ends after which the client retries
    sidecars: tuple[int, ...] = ()  # sidecars that receive the requests; empty for all
    weights: tuple[float, ...] = ()  # relative loads of those sidecars; empty for equal ones
    keys: int = 0
    key_zipf: float = 0.0  # Zipf exponent of key popularity; 0 for equal popularity
    worth: float = 1.0
    name: str = ""


@dataclass(slots=True, eq=False)
class ClientRequest:
    """A request of a client with all its tries."""

    flow: Flow
    at_ms: float
    sidecar: int
    work_ms: float
    io_ms: float
    key: int | None
    token: str
    tries: int = 0
    open: bool = False  # a try is in flight
    end: End | None = None
    ended_ms: float = math.inf
    runs: int = 0  # number of times that a server accepted its work


@dataclass(slots=True, eq=False)
class Try:
    """A request that a sidecar has accepted: one try of a client."""

    client_request: ClientRequest
    id: int
    give_up_ms: float
    attempts: list[Attempt] = field(default_factory=list)
    out: int = 0
    answered: bool = False


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of a try to a server."""

    sidecar: Sidecar
    request: Try
    hop: int
    host: Host
    sent_ms: float
    job: Job | None = None
    out: bool = True
    connected: bool = False  # it occupies a connection to the host


@dataclass(slots=True)
class SendCounts:
    """Counts of requests sent to servers, by server name and by second."""

    sends: Counter[str] = field(default_factory=Counter)
    seconds: Counter[int] = field(default_factory=Counter)
    max_in_flight: int = 0
    opened: int = 0


class Host:
    """A port server with its faults."""

    def __init__(self, world: World, name: str, make: Make, listing: model.Listing) -> None:
        self._world = world
        self.name = name
        self.make = make
        self.listing = listing
        self.how: How = "up"
        self.error_share = 0.0
        self.errs: Callable[[ClientRequest], bool] = lambda _: False
        self.error_ms = 1.0
        self.lost_share = 0.0  # share of its answers that are lost
        self.machine = Machine(make, world.repeats, -1e9, cold=False)
        self.held: dict[Sidecar, list[float]] = {}  # last-used times of idle connections
        self._jobs: dict[int, Attempt] = {}
        self._wake_ms = math.inf

    # --- faults ------------------------------------------------------------

    def die(self, back_ms: float, cold: bool = True) -> None:
        """Kill the process: connections are reset and new ones refused until `back_ms`."""
        for attempt in list(self._jobs.values()):
            self._world.ended(attempt, Outcome.RESET, self._world.half_ms)
        self._jobs.clear()
        self.held.clear()
        self.how = "refusing"
        self._world.at(back_ms, lambda: self.start(cold))

    def start(self, cold: bool = True) -> None:
        """Start the process again with empty state."""
        self.machine = Machine(self.make, self._world.repeats, self._world.now, cold=cold)
        self.how = "up"
        self._wake_ms = math.inf

    def vanish(self, back_ms: float) -> None:
        """Disconnect the host silently: work in flight completes, but its answers are lost."""
        self._jobs.clear()
        self.how = "silent"

        def back() -> None:
            self.how = "up"

        self._world.at(back_ms, back)

    def sweep(self, since_ms: float) -> None:
        """Close connections that were last used before `since_ms`."""
        for sidecar, idle in list(self.held.items()):
            while idle and idle[0] < since_ms:
                idle.pop(0)
                self.machine.disconnect()
            if not idle:
                del self.held[sidecar]

    def stand_still(self, for_ms: float) -> None:
        """Pause the process: the kernel accepts input, but nothing is answered."""
        self.machine.stall(self._world.now, for_ms)
        self._wake()

    # --- requests ----------------------------------------------------------

    def reached(self, attempt: Attempt, fresh: bool) -> None:
        """Receive the last byte of a request; `fresh` says whether its connection is new."""
        if not attempt.out:
            return
        world, client_request = self._world, attempt.request.client_request
        if self.how != "up":
            if self.how == "refusing":
                status = Outcome.CONNECT_FAILED if fresh else Outcome.RESET
                world.ended(attempt, status, world.half_ms)
            return  # a silent host does not answer
        if world.is_cut(attempt.sidecar, self):
            return
        world.counts.sends[self.name] += 1
        world.counts.seconds[int(world.now // 1000.0)] += 1
        if (self.error_share and world.rng.random() < self.error_share) or self.errs(client_request):
            world.ended(attempt, Outcome.ERROR, world.half_ms + self.error_ms)
            return
        repeat_token = client_request.token
        job = Job(
            client_request.work_ms,
            client_request.io_ms,
            key="" if client_request.key is None else str(client_request.key),
            token=repeat_token,
            deadline_ms=attempt.request.give_up_ms,
        )
        if self.machine.offer(world.now, job, capped=self.machine.connections > self.make.connections):
            world.ended(attempt, Outcome.FULL, world.half_ms)
            return
        client_request.runs += 1
        attempt.job = job
        self._jobs[id(job)] = attempt
        world.counts.max_in_flight = max(world.counts.max_in_flight, self.machine.in_flight)
        self._wake()

    def open(self, sidecar: Sidecar) -> None:
        """Open a connection, which costs the server work."""
        self.machine.connect(self._world.now)
        self._world.counts.opened += 1
        self._wake()

    def drop(self, attempt: Attempt) -> None:
        """Close the connection of an abandoned attempt."""
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
    """A balancer with the work of the daemon around it."""

    def __init__(self, world: World, number: int, balancer: DecisionModule) -> None:
        self._world = world
        self.number = number
        self.balancer = balancer
        self.alive = True
        self._requests: dict[int, Try] = {}
        self._next = itertools.count(1)
        self._usable: set[str] = set()

    @property
    def open_requests(self) -> list[Try]:
        """Accepted requests that are not answered."""
        return [request for request in self._requests.values() if not request.answered]

    def server_list(self, form: str, entries: Sequence[model.Listing]) -> None:
        """Pass a server list or its changes to the balancer."""
        self._act(self.balancer.server_list(self._world.now, form, entries))

    def take(self, client_request: ClientRequest) -> None:
        """Accept a try of a client."""
        world, flow = self._world, client_request.flow
        left = flow.budget_ms - (world.now - client_request.at_ms)
        wait = min(flow.budget_ms * flow.try_share if client_request.tries <= flow.retries else left, left)
        number = next(self._next)
        self._requests[number] = made = Try(client_request, number, world.now + wait)
        client_request.open = True
        world.at(made.give_up_ms, lambda: self._gone(made))
        arrival = model.Arrival(
            number,
            flow.traffic_class,
            made.give_up_ms,
            flow.tenant,
            client_request.key,
            None,
            client_request.tries > 1,
        )
        self._act(self.balancer.request(world.now, arrival))

    def _gone(self, request: Try) -> None:
        """End a try at its deadline, if it is not answered."""
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
            idle.pop()  # the most recently used one, like the pool
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
            # The round trips of TCP and TLS precede the request.
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
        """Process the outcome of an attempt, once."""
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
    """A simulation of hosts, sidecars and clients on one clock in milliseconds."""

    def __init__(
        self,
        makes: Mapping[str, Make],
        *,
        balancer: Callable[[int, int], DecisionModule],
        sidecars: int = 1,
        seed: int = 1,
        half_ms: float = 0.2,
        kinds: Mapping[str, int] | None = None,
        zones: Mapping[str, int] | None = None,
        listed: bool = True,
        window_ms: float = 1200.0,
        idle_ms: float = math.inf,
    ) -> None:
        """Create the hosts and sidecars.

        Args:
            makes: Properties of the servers by name.
            balancer: Creates a balancer from the number and the seed of a sidecar.
            sidecars: Number of sidecars.
            seed: Seed of all draws.
            half_ms: One-way network delay.
            kinds: Kinds of servers by name; 0 for others.
            zones: Zones of servers by name; 0 for others.
            listed: Whether the sidecars receive the list of servers at once.
            window_ms: Time within which the servers detect repeats.
            idle_ms: Time after which an idle connection is closed.
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
        self.asked: list[ClientRequest] = []
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
        self.cuts: set[tuple[int, int]] = set()  # pairs of sidecar and server zones that are partitioned
        self.zone_of: Callable[[int], int] = lambda _: 0  # zone of a sidecar by its number
        self.connections_ms = 0.0  # connections of all sidecars, integrated over time
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
        """Return whether a partition separates a sidecar from a host."""
        return bool(self.cuts) and (self.zone_of(sidecar.number), host.listing.zone) in self.cuts

    def cut(self, pairs: Iterable[tuple[int, int]], back_ms: float) -> None:
        """Partition pairs of zones until `back_ms`; connections stay open but silent."""
        pairs = set(pairs)
        self.cuts |= pairs
        self.at(back_ms, lambda: self.cuts.difference_update(pairs))

    def kill(self, number: int, back_ms: float, known: Sequence[model.Listing]) -> None:
        """Kill a sidecar, which loses its state and requests; it restarts with the list `known`."""
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
        """Add a cold server without announcing it to the sidecars."""
        host = self.hosts[name] = Host(self, name, make, listing)
        host.start()

    def at(self, when_ms: float, callback: Callable[[], None]) -> None:
        """Schedule a callback at a time, or now if that has passed."""
        heapq.heappush(self._heap, (max(when_ms, self.now), next(self._order), callback))

    def tell(
        self, form: str, entries: Sequence[model.Listing], sidecars: Iterable[int] | None = None
    ) -> None:
        """Send a server list to the given sidecars, or to all."""
        for number in range(len(self.sidecars)) if sidecars is None else sidecars:
            self.sidecars[number].server_list(form, entries)

    def ended(self, attempt: Attempt, status: Outcome, after_ms: float) -> None:
        """Deliver the outcome of an attempt after a delay."""
        self.at(self.now + after_ms, lambda: self.end(attempt, status))

    def end(self, attempt: Attempt, status: Outcome) -> None:
        """Deliver the outcome of an attempt."""
        if attempt.out:
            attempt.sidecar.ended(attempt, status)

    def flow(self, flow: Flow, length_ms: float) -> None:
        """Schedule the requests of a flow; retries follow from their answers."""
        # Recorded seeds must give the same draws as when this field was named `band`.
        drawn_by = str(flow).replace("traffic_class=", "band=")
        rng = random.Random(f"flow/{drawn_by}/{self.rng.random()}")
        now_ms = flow.from_ms
        gap_ms = 1000.0 / flow.rate_per_s
        until_ms = min(flow.until_ms, length_ms)
        sidecars = flow.sidecars or tuple(range(len(self.sidecars)))
        sidecar_weights = list(itertools.accumulate(flow.weights or [1.0] * len(sidecars)))
        key_weights = list(itertools.accumulate((k + 1) ** -flow.key_zipf for k in range(flow.keys)))
        while (now_ms := now_ms + (gap_ms if flow.even else rng.expovariate(1.0 / gap_ms))) < until_ms:
            client_request = ClientRequest(
                flow,
                now_ms,
                rng.choices(sidecars, cum_weights=sidecar_weights)[0],
                flow.work_ms * rng.uniform(1.0 - flow.spread, 1.0 + flow.spread),
                flow.io_ms * rng.uniform(1.0 - flow.spread, 1.0 + flow.spread),
                rng.choices(range(flow.keys), cum_weights=key_weights)[0] if flow.keys else None,
                f"t{len(self.asked)}",
            )
            self.asked.append(client_request)
            self.at(now_ms, lambda client_request=client_request: self._try(client_request))  # type: ignore[misc]

    def _try(self, client_request: ClientRequest) -> None:
        if client_request.end is not None:
            return
        client_request.tries += 1
        sidecar = self.sidecars[client_request.sidecar]
        if sidecar.alive:
            sidecar.take(client_request)

    def answered(self, request: Try, end: End, after_ms: float) -> None:
        """Handle the final answer of a try: its client retries or its request ends."""
        client_request, flow = request.client_request, request.client_request.flow
        if client_request.end is not None:
            return
        if end == "served":
            client_request.ended_ms = self.now + self.half_ms
            late = client_request.ended_ms - client_request.at_ms > flow.aim_ms
            client_request.end = "late" if late else "served"
            return
        wait_ms = flow.wait_ms * 2.0 ** (client_request.tries - 1)
        if flow.honours and after_ms > 0.0:
            wait_ms = max(wait_ms, after_ms)
        in_time = self.now + wait_ms < client_request.at_ms + flow.budget_ms
        if client_request.tries <= flow.retries and end in flow.again and in_time:
            self.at(self.now + wait_ms, lambda: self._try(client_request))
            return
        client_request.end, client_request.ended_ms = end, self.now

    def run(self, until_ms: float) -> None:
        """Run the simulation up to a time."""
        for _ in range(MAX_EVENTS):
            if not self._heap or self._heap[0][0] > until_ms:
                self.now = max(self.now, until_ms)
                return
            self.now, _, callback = heapq.heappop(self._heap)
            callback()
        raise AssertionError(f"the simulation did not end within {MAX_EVENTS} events")

    # --- results ----------------------------------------------------

    def shares(self, name: str | None = None) -> dict[str, float]:
        """Return the share of requests by end, of one flow or of all."""
        rows = [
            client_request
            for client_request in self.asked
            if name is None or client_request.flow.name == name
        ]
        count = Counter(client_request.end or "unanswered" for client_request in rows)
        return {end: number / max(1, len(rows)) for end, number in count.items()}

    def seconds(self, name: str | None = None, end: End = "served") -> list[float]:
        """Return the share of requests with an end by the second of their arrival."""
        arrivals: Counter[int] = Counter()
        matching: Counter[int] = Counter()
        for one in self.asked:
            if name is None or one.flow.name == name:
                second = int(one.at_ms // 1000.0)
                arrivals[second] += 1
                matching[second] += one.end == end
        return [
            matching[second] / max(1, arrivals[second]) for second in range(max(arrivals, default=-1) + 1)
        ]


def fleet(count: int, **figures: Any) -> dict[str, Make]:
    """Return the properties of `count` equal servers by name, from s0 on."""
    return {f"s{number}": Make(**figures) for number in range(count)}
