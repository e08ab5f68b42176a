"""Cold servers under the sum of a whole fleet, in virtual time: how often they get more than they bear.

`python -m benchmarks.cold_sum [--seed N] [--runs N] [--json FILE] [--tree DIR] [--only NAME[,NAME]]
[--sidecars N[,N]] [--full-rate R]`. The decision module (of another checkout with `--tree`) plays in 1, 5,
20, 30 and 200 sidecars against modelled servers, `--runs` times a row, from seed `--seed` (1) on: seeds 1
to 10 as it stands, half of them with keys. Rows:

- one: on a calm day one server dies and returns cold.
- roll: half of the servers are replaced by cold ones, two a second.
- leave, silent: three servers start cold, and 3 to 6 s later all but those and two leave or fall silent.
- herd: six servers start cold as all sidecars restart; clients come again at once.
- few: the same, and the list that the sidecars then get names four warm ones only.

What counts: of the requests that reach a cold server within any span of `OverloadFor` those beyond N, the
`FallMultiple` of what it can do at that moment over that span. `2 * sqrt(N) + 2` are put down to chance.

Exit codes: 0 no run of any row went over, 1 some did, 2 bad input.
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

from benchmarks.common import BAD_INPUT, DONE, NOT_MET, chosen, figure, options, table, write_json
from benchmarks.fleet_size import balancer_of, settings
from fordtrestle.balancer import model
from fordtrestle.balancer.model import Outcome

FLEETS = (1, 5, 20, 30, 200)
SERVERS, COLD, WARM_LEFT = 24, 3, 2
HERD_COLD, HERD_WARM_LEFT = 6, 4
USED = 0.7  # of all servers' full rates
FULL_RATE = 8.0  # requests of mean work that a warm server can do in a second
ANSWER_MS = 60.0  # beside the wait
QUEUE_MS = 1500.0  # a longer wait is turned away
HALF_MS = 0.5
CONNECT_MS = 250.0
HELD_SHARE = 0.5  # of the sends to a silent server go by a connection that is open: nothing is heard
TROUBLE_MS = 12_000.0  # when a row's trouble begins: rates are known by then
LENGTH_MS = 24_000.0
KEYS = 500
PRICED_FROM = 20  # sidecars: where connections cost, one that has much traffic alone keeps to too few
RETRIES = 2  # a client's own, after a refusal

How = Literal["up", "refusing", "silent"]
Make = Callable[[float, model.Settings, int], Any]


@dataclass(slots=True, eq=False)
class Server:
    """One server: a line in which each request takes its part of a second."""

    name: str
    full_rate: float
    started: float = 0.0  # 0: warm
    how: How = "up"
    free_ms: float = 0.0
    got: list[float] = field(default_factory=list)  # when requests reached it, in order
    over: float = -math.inf  # the most that any span got beyond N and what is put down to chance


@dataclass(slots=True, eq=False)
class Asked:
    """One client's request, and its present try at a sidecar."""

    me: int
    traffic_class: int
    key: int
    until_ms: float
    tries: int = 0
    number: int = 0
    at: Any = None  # the module that has it
    sent: list[float] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Figures:
    """What a run came to."""

    over: float  # requests beyond what is borne, in the worst span of any cold server
    flow: float  # to cold servers, over what their warmth alone would draw of the even share
    served: float  # of all requests


class Fleet:
    """Sidecars, servers and clients of one run on one clock of milliseconds."""

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
        self._open: dict[int, Asked] = {}
        self._down: dict[int, list[Asked]] = {}  # sidecars that are down, and the clients that wait for them
        self.sidecars: list[Any] = [self._born(me) for me in range(sidecars)]
        self.asked = self.served = 0
        # Most sidecars see little, and some several times the mean.
        weights = [self.rng.gammavariate(1.5, 1.0) for _ in range(sidecars)]
        rate = USED * full_rate * SERVERS / 1000.0
        self._rate = [rate * weight / sum(weights) for weight in weights]
        for me in range(sidecars):
            self._next_client(me)

    def at(self, when: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._order), act))

    def run(self) -> Figures:
        """Play to the end."""
        while self._events and self._events[0][0] < LENGTH_MS:
            self.now, _, act = heapq.heappop(self._events)
            act()
        cold = [server for server in self.servers.values() if server.started]
        warm_up, natural, flow = self.rules.warm_up, 0.0, 0
        for server in cold:
            until = min(LENGTH_MS, server.started + warm_up)
            share = (self.warmth(server.started) + self.warmth(until, server.started)) / 2.0
            natural += USED * server.full_rate * share * (until - server.started) / 1000.0
            flow += bisect_right(server.got, until)
        over = max((server.over for server in cold), default=-math.inf)
        return Figures(over, flow / natural if natural else 0.0, self.served / max(1, self.asked))

    # --- servers ---------------------------------------------------------------------

    def warmth(self, now: float, started: float = -1.0) -> float:
        """The share of its capacity that the settings allow a server then."""
        if not started:
            return 1.0
        age = 0.0 if started < 0.0 else now - started
        cold = self.rules.cold_from
        return min(1.0, cold + (1.0 - cold) * age / self.rules.warm_up)

    def start_cold(self, name: str, zone: int, tell: bool = True) -> None:
        """A server starts, and all sidecars hear of it 0.1 to 1 s later."""
        self.servers[name] = Server(name, self.servers["s1"].full_rate, self.now)
        self.listed[name] = model.Listing(name, zone, started=self.now)
        if tell:
            self._news([self.listed[name]])

    def leave(self, name: str) -> None:
        """A server drains; it still serves what comes."""
        self.listed[name] = self.listed[name]._replace(state="left")
        self._news([self.listed[name]])

    def die(self, name: str, back_ms: float) -> None:
        """A server's process ends, and another starts there later."""
        self.servers[name].how = "refusing"
        zone = self.listed[name].zone
        self.at(self.now + back_ms, lambda: self.start_cold(name, zone))

    def _news(self, entries: list[model.Listing]) -> None:
        for me in range(len(self.sidecars)):
            when = self.now + self.rng.uniform(100.0, 1000.0)
            self.at(when, lambda me=me: self._hear(me, entries))  # type: ignore[misc]

    def _hear(self, me: int, entries: list[model.Listing]) -> None:
        if me not in self._down:
            self._act(me, self.sidecars[me].server_list(self.now, "changes", entries))

    def _reach(self, server: Server) -> float | None:
        """A request reaches a server that is up: when it is answered; None if it is turned away."""
        if server.started:
            insort(server.got, self.now)
            span = self.rules.overload_for
            can = server.full_rate * self.warmth(self.now, server.started) * span / 1000.0
            borne = self.rules.fall_multiple * can
            sent = len(server.got) - bisect_right(server.got, self.now - span)
            if self.now - server.started < self.rules.warm_up:
                server.over = max(server.over, sent - borne - 2.0 * math.sqrt(borne) - 2.0)
        if server.free_ms - self.now > QUEUE_MS:
            return None
        took = 1000.0 / (server.full_rate * self.warmth(self.now, server.started))
        server.free_ms = max(server.free_ms, self.now) + took
        return server.free_ms + self.rng.expovariate(1.0) * ANSWER_MS

    # --- sidecars --------------------------------------------------------------------

    def _born(self, me: int) -> Any:
        made = self._make(self.now, self._settings[me], next(self._seeds))
        made.server_list(self.now, "remembered", list(self.listed.values()))
        return made

    def restart(self, me: int, away_ms: float) -> None:
        """A sidecar is killed; its clients come again at once as it is back."""
        self._down[me] = [asked for asked in self._open.values() if asked.me == me]
        for asked in self._down[me]:
            del self._open[asked.number]
        self.sidecars[me] = None

        def back() -> None:
            self.sidecars[me] = self._born(me)
            for asked in self._down.pop(me):
                self._come(asked)

        self.at(self.now + away_ms, back)

    def _act(self, me: int, actions: list[model.Action]) -> None:
        one = self.sidecars[me]
        for action in actions:
            match action:
                case model.Send(number, name, timeout) if number in self._open:
                    self._send(self._open[number], self.servers[name], timeout)
                case model.Refuse(number, after) if number in self._open:
                    self._come_again(self._open.pop(number), after)
                case model.Fail(number):
                    self._open.pop(number, None)
                case model.Timer(delay, token):
                    self.at(self.now + delay, lambda token=token: self._timer(me, one, token))  # type: ignore[misc]

    def _timer(self, me: int, one: Any, token: str) -> None:
        if one is self.sidecars[me]:
            self._act(me, one.timer(self.now, token))

    def _send(self, asked: Asked, server: Server, timeout: float) -> None:
        hop, over = len(asked.sent), self.now + timeout
        asked.sent.append(self.now)

        def end(when: float, status: Outcome) -> None:
            self.at(when, lambda: self._ended(asked, hop, status))

        def reach() -> None:
            answer = self._reach(server)
            if answer is None:
                end(self.now + HALF_MS, Outcome.FULL)
            else:
                end(min(answer, over), Outcome.OK if answer < over else Outcome.TIMEOUT)

        if server.how == "up":
            self.at(self.now + HALF_MS, reach)
        elif server.how == "refusing":
            end(self.now + 2.0 * HALF_MS, Outcome.CONNECT_FAILED)
        elif self.rng.random() < HELD_SHARE:
            end(over, Outcome.TIMEOUT)
        else:
            end(min(over, self.now + CONNECT_MS), Outcome.CONNECT_FAILED)

    def _ended(self, asked: Asked, hop: int, status: Outcome) -> None:
        if self.sidecars[asked.me] is not asked.at:
            return
        last = status == Outcome.OK
        self.served += last
        spent = self.now - asked.sent[hop]
        self._act(asked.me, asked.at.outcome(self.now, asked.number, hop, int(status), spent, last))
        if last:
            self._open.pop(asked.number, None)

    # --- clients ---------------------------------------------------------------------

    def _next_client(self, me: int) -> None:
        when = self.now + self.rng.expovariate(self._rate[me])

        def come() -> None:
            self._next_client(me)
            self.asked += 1
            traffic_class = int(self.rng.random() < 0.37)
            key = int(KEYS * self.rng.random() ** 2)  # some are popular
            until = self.now + self.rules.profiles[traffic_class].deadline
            self._come(Asked(me, traffic_class, key, until))

        self.at(when, come)

    def _come(self, asked: Asked) -> None:
        """A client's try reaches its sidecar, or waits for one that is down."""
        waits = self._down.get(asked.me)
        if waits is not None:
            waits.append(asked)
            return
        if asked.until_ms <= self.now:
            return
        # A copy for each try: what an earlier one still has out ends with that one.
        asked = replace(asked, number=next(self._numbers), sent=[], at=self.sidecars[asked.me])
        self._open[asked.number] = asked
        arrival = model.Arrival(asked.number, asked.traffic_class, asked.until_ms, key=asked.key)
        self._act(asked.me, asked.at.request(self.now, arrival))

    def _come_again(self, asked: Asked, after: float) -> None:
        asked.tries += 1
        if asked.tries <= RETRIES:
            wait = max(after, self.rng.uniform(30.0, 240.0) * 2.0 ** (asked.tries - 1))
            self.at(self.now + wait, lambda: self._come(asked))


# --- the rows ----------------------------------------------------------------------------


def one(fleet: Fleet) -> None:
    fleet.at(TROUBLE_MS - 2000.0, lambda: fleet.die("s0", 2000.0))


def roll(fleet: Fleet) -> None:
    def swap(number: int) -> None:
        fleet.leave(f"s{number}")
        fleet.start_cold(f"t{number}", number % 3)

    for step in range(SERVERS // 2):
        fleet.at(TROUBLE_MS + 500.0 * step, lambda number=2 * step: swap(number))  # type: ignore[misc]


def _concentrate(fleet: Fleet, lose: Callable[[str], None]) -> None:
    for number in range(COLD):
        fleet.at(TROUBLE_MS, lambda name=f"c{number}", zone=number: fleet.start_cold(name, zone))  # type: ignore[misc]
    when = TROUBLE_MS + fleet.rng.uniform(3000.0, 6000.0)
    for number in range(SERVERS - WARM_LEFT):
        fleet.at(when, lambda name=f"s{number}": lose(name))  # type: ignore[misc]


def leave(fleet: Fleet) -> None:
    _concentrate(fleet, fleet.leave)


def silent(fleet: Fleet) -> None:
    def fall_silent(name: str) -> None:
        fleet.servers[name].how = "silent"

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

    fleet.at(TROUBLE_MS, begin)


def herd(fleet: Fleet) -> None:
    _herd(fleet, SERVERS - HERD_COLD)


def few(fleet: Fleet) -> None:
    _herd(fleet, HERD_WARM_LEFT)


ROWS: dict[str, Callable[[Fleet], None]] = {
    "one": one, "roll": roll, "leave": leave, "silent": silent, "herd": herd, "few": few,
}  # fmt: skip
HEADS = ("row", "sidecars", "runs over", "worst excess", "flow to cold", "served%")


def play(row: str, make: Make, sidecars: int, seed: int, full_rate: float = FULL_RATE) -> Figures:
    """One run; odd seeds go by keys."""
    fleet = Fleet(make, sidecars, seed, seed % 2 == 1, full_rate)
    ROWS[row](fleet)
    return fleet.run()


def main() -> int:
    """Play, print and judge; the exit code."""
    made = options("cold_sum", __doc__)
    made.add_argument("--runs", type=int, default=10, help="of each row and fleet")
    made.add_argument("--only", metavar="NAME[,NAME]", help=f"of {', '.join(ROWS)}")
    made.add_argument("--sidecars", default=",".join(map(str, FLEETS)), metavar="N[,N]")
    made.add_argument("--full-rate", type=float, default=FULL_RATE, help="requests a second of a warm server")
    given = made.parse_args()
    names = chosen(given.only, list(ROWS), made)
    try:
        fleets = [int(text) for text in given.sidecars.split(",")]
        make = balancer_of(given.tree)
    except ValueError as error:
        print(error, file=sys.stderr)
        return BAD_INPUT
    if min(given.runs, *fleets) < 1 or given.full_rate <= 0.0:
        made.error("--runs, --sidecars, --full-rate: more than none")
    rows: dict[str, list[dict[str, float]]] = {}
    cells = []
    for name, fleet in itertools.product(names, fleets):
        seeds = range(given.seed, given.seed + given.runs)
        runs = [play(name, make, fleet, seed, given.full_rate) for seed in seeds]
        rows[f"{name}/{fleet}"] = [asdict(run) for run in runs]
        over = sum(run.over > 0.0 for run in runs)
        mean = [sum(values) / len(runs) for values in zip(*((r.flow, r.served) for r in runs), strict=True)]
        cells.append([
            name, str(fleet), f"{over}/{len(runs)}", figure(max(run.over for run in runs), ".1f"),
            figure(mean[0], ".2f"), figure(100.0 * mean[1], ".1f"),
        ])  # fmt: skip
        print(f"{name}/{fleet}: played", file=sys.stderr, flush=True)
    print(table(HEADS, cells))
    met = all(run["over"] <= 0.0 for runs in rows.values() for run in runs)
    write_json(given.json, given.tree, {"seed": given.seed, "met": met, "runs": rows})
    return DONE if met else NOT_MET


if __name__ == "__main__":
    sys.exit(main())
