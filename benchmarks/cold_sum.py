"""Measures how often a whole fleet together sends cold servers more than they can bear, in virtual time.

`python -m benchmarks.cold_sum [--seed N] [--runs N] [--json FILE] [--tree DIR] [--only NAME[,NAME]]
[--sidecars N[,N]] [--full-rate R]`. The decision module (of another checkout with `--tree`) plays in 1, 5,
20, 30 and 200 sidecars against simulated servers, `--runs` times for each row, with seeds from `--seed` (1)
on: seeds 1 to 10 by default, half of them with keys. Rows:

- one: on a calm day one server dies and returns cold.
- roll: half of the servers are replaced by cold ones, two a second.
- leave, silent: three servers start cold, and 3 to 6 s later all others but two leave or become silent.
- herd: six servers start cold while all sidecars restart; clients retry at once.
- few: the same, but the list that the sidecars then receive has only four warm servers.

The excess is the number of requests beyond N that reach a cold server within any interval of `OverloadFor`. N
is `FallMultiple` times what the server can do in that interval at its present warmth. `2 * sqrt(N) + 2` of
them are attributed to chance.

Exit codes: 0 no run had an excess, 1 some had, 2 bad input.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
import sys
from bisect import bisect_right, insort
from collections.abc import Callable
from dataclasses import asdict, dataclass, field, replace
from typing import Any, Literal

from benchmarks.common import (
    BAD_INPUT,
    DONE,
    NOT_MET,
    create_parser,
    format_figure,
    select_names,
    table,
    write_json,
)
from benchmarks.fleet_size import balancer_of, settings
from fordtrestle.balancer import model
from fordtrestle.balancer.model import Outcome

FLEETS = (1, 5, 20, 30, 200)
SERVERS, COLD, WARM_LEFT = 24, 3, 2
HERD_COLD, HERD_WARM_LEFT = 6, 4
USED = 0.7  # of all servers' full rates
FULL_RATE = 8.0  # requests of mean work that a warm server can do in a second
ANSWER_MS = 60.0  # mean response time without queueing
QUEUE_MS = 1500.0  # a request that would wait longer is rejected
HALF_MS = 0.5
CONNECT_MS = 250.0
OPEN_CONNECTION_SHARE = 0.5  # of the sends to a silent server use an open connection and time out
EVENT_MS = 12_000.0  # when the event of a row begins, once rates are learned
LENGTH_MS = 24_000.0
KEYS = 500
PRICED_FROM = 20  # sidecars; in a smaller fleet, priced connections keep a busy sidecar to too few servers
RETRIES = 2  # of a client after a rejection

ServerState = Literal["up", "refusing", "silent"]
Make = Callable[[float, model.Settings, int], Any]


@dataclass(slots=True, eq=False)
class Server:
    """A server with one queue, in which each request takes a share of a second."""

    name: str
    full_rate: float
    started: float = 0.0  # 0: warm
    state: ServerState = "up"
    free_ms: float = 0.0
    received_at: list[float] = field(default_factory=list)  # ordered times of the requests that reached it
    over: float = -math.inf  # largest excess of any interval beyond N and the margin for chance


@dataclass(slots=True, eq=False)
class Request:
    """A request of a client, and its current try at a sidecar."""

    me: int
    traffic_class: int
    key: int
    until_ms: float
    tries: int = 0
    number: int = 0
    balancer: Any = None  # decision module that handles it
    sent: list[float] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Figures:
    """Results of a run."""

    over: float  # excess requests in the worst interval of any cold server
    flow: float  # requests to cold servers, relative to an even share weighted by their warmth
    served: float  # of all requests


class Fleet:
    """Sidecars, servers and clients of one run on a virtual clock in milliseconds."""

    def __init__(self, make: Make, sidecars: int, seed: int, keys: bool, full_rate: float) -> None:
        self.rng = random.Random(f"cold_sum/{sidecars}/{seed}")
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._numbers = itertools.count(1)
        self._make, self._seeds = make, itertools.count(seed * 1000)
        self._settings = [replace(settings(me, sidecars), warm_keys=keys) for me in range(sidecars)]
        if sidecars < PRICED_FROM:
            self._settings = [replace(own, prices={}) for own in self._settings]
        self.rules = self._settings[0]
        self.servers = {f"s{n}": Server(f"s{n}", full_rate) for n in range(SERVERS)}
        self.listed = {name: model.Listing(name, int(name[1:]) % 3) for name in self.servers}
        self._open: dict[int, Request] = {}
        self._down: dict[int, list[Request]] = {}  # clients that wait for sidecars that are down
        self.sidecars: list[Any] = [self._create_balancer(me) for me in range(sidecars)]
        self.request_count = self.served = 0
        # Most sidecars have little traffic, and some several times the mean.
        weights = [self.rng.gammavariate(1.5, 1.0) for _ in range(sidecars)]
        rate = USED * full_rate * SERVERS / 1000.0
        self._rate = [rate * weight / sum(weights) for weight in weights]
        for me in range(sidecars):
            self._next_client(me)

    def at(self, when: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._order), act))

    def run(self) -> Figures:
        """Play the run to its end and return its results."""
        while self._events and self._events[0][0] < LENGTH_MS:
            self.now, _, act = heapq.heappop(self._events)
            act()
        cold = [server for server in self.servers.values() if server.started]
        warm_up, natural, flow = self.rules.warm_up, 0.0, 0
        for server in cold:
            until = min(LENGTH_MS, server.started + warm_up)
            share = (self.warmth(server.started) + self.warmth(until, server.started)) / 2.0
            natural += USED * server.full_rate * share * (until - server.started) / 1000.0
            flow += bisect_right(server.received_at, until)
        over = max((server.over for server in cold), default=-math.inf)
        return Figures(over, flow / natural if natural else 0.0, self.served / max(1, self.request_count))

    # --- servers ---------------------------------------------------------------------

    def warmth(self, now: float, started: float = -1.0) -> float:
        """Return the share of its capacity that the settings assume for a server at a time."""
        if not started:
            return 1.0
        age = 0.0 if started < 0.0 else now - started
        cold = self.rules.cold_from
        return min(1.0, cold + (1.0 - cold) * age / self.rules.warm_up)

    def start_cold(self, name: str, zone: int, tell: bool = True) -> None:
        """Start a cold server; all sidecars learn of it 0.1 to 1 s later."""
        self.servers[name] = Server(name, self.servers["s1"].full_rate, self.now)
        self.listed[name] = model.Listing(name, zone, started=self.now)
        if tell:
            self._announce([self.listed[name]])

    def leave(self, name: str) -> None:
        """Drain a server; it still serves what it receives."""
        self.listed[name] = self.listed[name]._replace(state="left")
        self._announce([self.listed[name]])

    def die(self, name: str, back_ms: float) -> None:
        """End the process of a server; another one starts there later."""
        self.servers[name].state = "refusing"
        zone = self.listed[name].zone
        self.at(self.now + back_ms, lambda: self.start_cold(name, zone))

    def _announce(self, entries: list[model.Listing]) -> None:
        for me in range(len(self.sidecars)):
            when = self.now + self.rng.uniform(100.0, 1000.0)
            self.at(when, lambda me=me: self._apply_listings(me, entries))  # type: ignore[misc]

    def _apply_listings(self, me: int, entries: list[model.Listing]) -> None:
        if me not in self._down:
            self._execute(me, self.sidecars[me].server_list(self.now, "changes", entries))

    def _serve(self, server: Server) -> float | None:
        """Let a request reach a server that is up.

        Returns:
            When it is answered, or None if it is rejected.
        """
        if server.started:
            insort(server.received_at, self.now)
            span = self.rules.overload_for
            can = server.full_rate * self.warmth(self.now, server.started) * span / 1000.0
            bearable = self.rules.fall_multiple * can
            sent = len(server.received_at) - bisect_right(server.received_at, self.now - span)
            if self.now - server.started < self.rules.warm_up:
                server.over = max(server.over, sent - bearable - 2.0 * math.sqrt(bearable) - 2.0)
        if server.free_ms - self.now > QUEUE_MS:
            return None
        service_ms = 1000.0 / (server.full_rate * self.warmth(self.now, server.started))
        server.free_ms = max(server.free_ms, self.now) + service_ms
        return server.free_ms + self.rng.expovariate(1.0) * ANSWER_MS

    # --- sidecars --------------------------------------------------------------------

    def _create_balancer(self, me: int) -> Any:
        balancer = self._make(self.now, self._settings[me], next(self._seeds))
        balancer.server_list(self.now, "remembered", list(self.listed.values()))
        return balancer

    def restart(self, me: int, away_ms: float) -> None:
        """Kill a sidecar; its clients retry at once when it is back."""
        self._down[me] = [request for request in self._open.values() if request.me == me]
        for request in self._down[me]:
            del self._open[request.number]
        self.sidecars[me] = None

        def back() -> None:
            self.sidecars[me] = self._create_balancer(me)
            for request in self._down.pop(me):
                self._arrive(request)

        self.at(self.now + away_ms, back)

    def _execute(self, me: int, actions: list[model.Action]) -> None:
        balancer = self.sidecars[me]
        for action in actions:
            match action:
                case model.Send(number, name, timeout) if number in self._open:
                    self._send(self._open[number], self.servers[name], timeout)
                case model.Refuse(number, after) if number in self._open:
                    self._retry(self._open.pop(number), after)
                case model.Fail(number):
                    self._open.pop(number, None)
                case model.Timer(delay, token):
                    self.at(self.now + delay, lambda token=token: self._timer(me, balancer, token))  # type: ignore[misc]

    def _timer(self, me: int, balancer: Any, token: str) -> None:
        if balancer is self.sidecars[me]:
            self._execute(me, balancer.timer(self.now, token))

    def _send(self, request: Request, server: Server, timeout: float) -> None:
        hop, over = len(request.sent), self.now + timeout
        request.sent.append(self.now)

        def end(when: float, status: Outcome) -> None:
            self.at(when, lambda: self._on_outcome(request, hop, status))

        def reach() -> None:
            answer = self._serve(server)
            if answer is None:
                end(self.now + HALF_MS, Outcome.FULL)
            else:
                end(min(answer, over), Outcome.OK if answer < over else Outcome.TIMEOUT)

        if server.state == "up":
            self.at(self.now + HALF_MS, reach)
        elif server.state == "refusing":
            end(self.now + 2.0 * HALF_MS, Outcome.CONNECT_FAILED)
        elif self.rng.random() < OPEN_CONNECTION_SHARE:
            end(over, Outcome.TIMEOUT)
        else:
            end(min(over, self.now + CONNECT_MS), Outcome.CONNECT_FAILED)

    def _on_outcome(self, request: Request, hop: int, status: Outcome) -> None:
        if self.sidecars[request.me] is not request.balancer:
            return
        last = status == Outcome.OK
        self.served += last
        spent = self.now - request.sent[hop]
        self._execute(
            request.me, request.balancer.outcome(self.now, request.number, hop, int(status), spent, last)
        )
        if last:
            self._open.pop(request.number, None)

    # --- clients ---------------------------------------------------------------------

    def _next_client(self, me: int) -> None:
        when = self.now + self.rng.expovariate(self._rate[me])

        def come() -> None:
            self._next_client(me)
            self.request_count += 1
            traffic_class = int(self.rng.random() < 0.37)
            key = int(KEYS * self.rng.random() ** 2)  # some keys are popular
            until = self.now + self.rules.profiles[traffic_class].deadline
            self._arrive(Request(me, traffic_class, key, until))

        self.at(when, come)

    def _arrive(self, request: Request) -> None:
        """Let a try of a client reach its sidecar, or wait until the sidecar is back."""
        waiting_requests = self._down.get(request.me)
        if waiting_requests is not None:
            waiting_requests.append(request)
            return
        if request.until_ms <= self.now:
            return
        # Each try is a copy, so that sends of an earlier try end with that try.
        request = replace(request, number=next(self._numbers), sent=[], balancer=self.sidecars[request.me])
        self._open[request.number] = request
        arrival = model.Arrival(request.number, request.traffic_class, request.until_ms, key=request.key)
        self._execute(request.me, request.balancer.request(self.now, arrival))

    def _retry(self, request: Request, after: float) -> None:
        request.tries += 1
        if request.tries <= RETRIES:
            wait = max(after, self.rng.uniform(30.0, 240.0) * 2.0 ** (request.tries - 1))
            self.at(self.now + wait, lambda: self._arrive(request))


# --- the rows ----------------------------------------------------------------------------


def one(fleet: Fleet) -> None:
    fleet.at(EVENT_MS - 2000.0, lambda: fleet.die("s0", 2000.0))


def roll(fleet: Fleet) -> None:
    def swap(number: int) -> None:
        fleet.leave(f"s{number}")
        fleet.start_cold(f"t{number}", number % 3)

    for step in range(SERVERS // 2):
        fleet.at(EVENT_MS + 500.0 * step, lambda number=2 * step: swap(number))  # type: ignore[misc]


def _concentrate(fleet: Fleet, lose: Callable[[str], None]) -> None:
    for number in range(COLD):
        fleet.at(EVENT_MS, lambda name=f"c{number}", zone=number: fleet.start_cold(name, zone))  # type: ignore[misc]
    when = EVENT_MS + fleet.rng.uniform(3000.0, 6000.0)
    for number in range(SERVERS - WARM_LEFT):
        fleet.at(when, lambda name=f"s{number}": lose(name))  # type: ignore[misc]


def leave(fleet: Fleet) -> None:
    _concentrate(fleet, fleet.leave)


def silent(fleet: Fleet) -> None:
    def fall_silent(name: str) -> None:
        fleet.servers[name].state = "silent"

    _concentrate(fleet, fall_silent)


def _herd(fleet: Fleet, warm_left: int) -> None:
    def begin() -> None:
        for number in range(warm_left, SERVERS):
            name = f"s{number}"
            fleet.listed[name] = fleet.listed[name]._replace(state="left")
        for number in range(HERD_COLD):
            fleet.start_cold(f"c{number}", number % 3, tell=False)
        for me in range(len(fleet.sidecars)):
            fleet.restart(me, fleet.rng.uniform(300.0, 1500.0))

    fleet.at(EVENT_MS, begin)


def herd(fleet: Fleet) -> None:
    _herd(fleet, SERVERS - HERD_COLD)


def few(fleet: Fleet) -> None:
    _herd(fleet, HERD_WARM_LEFT)


ROWS: dict[str, Callable[[Fleet], None]] = {
    "one": one, "roll": roll, "leave": leave, "silent": silent, "herd": herd, "few": few,
}  # fmt: skip
HEADS = ("row", "sidecars", "runs over", "worst excess", "flow to cold", "served%")


def play(row: str, make: Make, sidecars: int, seed: int, full_rate: float = FULL_RATE) -> Figures:
    """Play one run; odd seeds use keys."""
    fleet = Fleet(make, sidecars, seed, seed % 2 == 1, full_rate)
    ROWS[row](fleet)
    return fleet.run()


def main() -> int:
    """Play, print and check the bounds.

    Returns:
        The exit code: `DONE`, `NOT_MET` or `BAD_INPUT`.
    """
    parser = create_parser("cold_sum", __doc__)
    parser.add_argument("--runs", type=int, default=10, help="of each row and number of sidecars")
    parser.add_argument("--only", metavar="NAME[,NAME]", help=f"of {', '.join(ROWS)}")
    parser.add_argument("--sidecars", default=",".join(map(str, FLEETS)), metavar="N[,N]")
    parser.add_argument(
        "--full-rate", type=float, default=FULL_RATE, help="requests per second of a warm server"
    )
    options = parser.parse_args()
    names = select_names(options.only, list(ROWS), parser)
    try:
        fleets = [int(text) for text in options.sidecars.split(",")]
        make = balancer_of(options.tree)
    except ValueError as error:
        print(error, file=sys.stderr)
        return BAD_INPUT
    if min(options.runs, *fleets) < 1 or options.full_rate <= 0.0:
        parser.error("--runs, --sidecars, --full-rate: expected positive numbers")
    rows: dict[str, list[dict[str, float]]] = {}
    cells = []
    for name, fleet in itertools.product(names, fleets):
        seeds = range(options.seed, options.seed + options.runs)
        runs = [play(name, make, fleet, seed, options.full_rate) for seed in seeds]
        rows[f"{name}/{fleet}"] = [asdict(run) for run in runs]
        over = sum(run.over > 0.0 for run in runs)
        mean = [sum(values) / len(runs) for values in zip(*((r.flow, r.served) for r in runs), strict=True)]
        cells.append([
            name, str(fleet), f"{over}/{len(runs)}", format_figure(max(run.over for run in runs), ".1f"),
            format_figure(mean[0], ".2f"), format_figure(100.0 * mean[1], ".1f"),
        ])  # fmt: skip
        print(f"{name}/{fleet}: played", file=sys.stderr, flush=True)
    print(table(HEADS, cells))
    met = all(run["over"] <= 0.0 for runs in rows.values() for run in runs)
    write_json(options.json, options.tree, {"seed": options.seed, "met": met, "runs": rows})
    return DONE if met else NOT_MET


if __name__ == "__main__":
    sys.exit(main())
