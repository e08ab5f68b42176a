"""The application side: open-loop calls by class, tenant and key, with the clients' own retries.

Each sidecar has a client of its own. What is wanted, and when, is drawn from a seed before the first call
goes out, whatever serves it. A call's retries belong to its first try: its time counts from when the first
was due. In direct mode a small balancer stands in for a sidecar and sends to the servers itself.
"""

from __future__ import annotations

import asyncio
import bisect
import itertools
import math
import random
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any, Literal

from rig import ledger
from rig.clients import Address, After, Asked, Pool, Result, give_up, quantile
from rig.messages import body_for, call_ids

Mode = Literal["random", "robin"]

GRACE_S = 0.15  # past its budget a try is looked at for so long, to tell late answers from none
CONNECT_S = 2.0
DIRECT_CONNECT_S = 0.25
CONNECTIONS = 256  # of one client
DIRECT_CONNECTIONS = 64  # to one server
RETRY_AFTER_MOST_S = 2.0
CALLS_MOST = 1_000_000
WORK_SHAPE = 4.0  # of the gamma distribution of work: its deviation is half of its mean
WORK_MOST = 5.0  # times the mean


@dataclass(frozen=True, slots=True)
class CallClass:
    """One class of calls. `share` of all calls; `keyed` ones carry a key, `unsafe` ones must run once."""

    name: str
    semantics: ledger.Semantics
    share: float
    work_ms: float
    io_ms: float
    aim_ms: float
    deadline_ms: float
    worth: float
    late_worth: float = 0.5


@dataclass(frozen=True, slots=True)
class Demand:
    """What clients want. `weights`: the part of each sidecar, from the busiest on."""

    rate_per_s: float
    duration_s: float
    classes: tuple[CallClass, ...]
    tenants: Mapping[str, float]
    weights: tuple[float, ...]
    seed: int = 1
    keys: int = 3000
    zipf: float = 1.0
    swing: float = 0.25  # of the rate, in a slow wave
    try_share: tuple[float, float] = (0.4, 0.8)  # of the deadline that one try may take
    retries: int = 2
    backoff_ms: tuple[float, float] = (30.0, 240.0)

    def __post_init__(self) -> None:
        """`ValueError` for what makes no sense."""
        if not (0.0 < self.rate_per_s < math.inf and 0.0 < self.duration_s < math.inf):
            raise ValueError("a demand needs a rate and a duration")
        if self.rate_per_s * self.duration_s > CALLS_MOST:
            raise ValueError(f"more than {CALLS_MOST} calls")
        if not (self.classes and self.tenants and self.weights and self.keys >= 1):
            raise ValueError("a demand needs classes, tenants, weights and keys")

    def wants(self, sidecars: Sequence[str]) -> list[Want]:
        """All calls by the time that they are due; the same for a seed."""
        rng = random.Random(f"wants/{self.seed}")
        ids, tokens = call_ids(f"tries/{self.seed}"), call_ids(f"tokens/{self.seed}")
        key_of = _zipf(self.keys, self.zipf)
        weights = [self.weights[number % len(self.weights)] for number in range(len(sidecars))]
        made: list[Want] = []
        for at_s in self._arrivals(rng):
            kind = rng.choices(self.classes, [one.share for one in self.classes])[0]
            made.append(
                Want(
                    at_s=at_s,
                    sidecar=rng.choices(sidecars, weights)[0],
                    kind=kind,
                    tenant=rng.choices(list(self.tenants), list(self.tenants.values()))[0],
                    key=f"k{key_of(rng.random())}",
                    work_ms=_drawn(rng, kind.work_ms),
                    io_ms=_drawn(rng, kind.io_ms),
                    token=next(tokens) if kind.semantics == "keyed" else "",
                    try_s=kind.deadline_ms * rng.uniform(*self.try_share) / 1000.0,
                    backoffs_s=tuple(
                        rng.uniform(*self.backoff_ms) * 2.0**turn / 1000.0 for turn in range(self.retries)
                    ),
                    ids=tuple(next(ids) for _ in range(self.retries + 1)),
                )
            )
        return made

    def _arrivals(self, rng: random.Random) -> Iterable[float]:
        """A Poisson process whose rate goes up and down once, by thinning."""
        now_s, most = 0.0, self.rate_per_s * (1.0 + self.swing)
        while (now_s := now_s + rng.expovariate(most)) < self.duration_s:
            wave = 1.0 + self.swing * math.sin(2.0 * math.pi * now_s / self.duration_s)
            if rng.random() * most <= self.rate_per_s * wave:
                yield now_s


@dataclass(frozen=True, slots=True)
class Want:
    """One call as it is wanted. `try_s`: how long one try may take."""

    at_s: float
    sidecar: str
    kind: CallClass
    tenant: str
    key: str
    work_ms: float
    io_ms: float
    token: str
    try_s: float
    backoffs_s: tuple[float, ...]
    ids: tuple[str, ...]  # of its tries

    @property
    def worth(self) -> float:
        """By the work, as the site counts it."""
        return self.kind.worth * self.work_ms

    def message(self, number: int, budget_s: float) -> bytes:
        """A try as the application writes it."""
        method = "GET" if self.kind.semantics == "safe" else "POST"
        rows = [
            f"{method} /{self.kind.name}?work={self.work_ms:.2f}&io={self.io_ms:.2f}&key={self.key} HTTP/1.1",
            "Host: api.internal",
            f"X-Call-Id: {self.ids[number]}",
            f"X-Call-Class: {self.kind.name}",
            f"X-Caller: {self.tenant}",
            f"Cookie: user={self.key}",
            f"X-Budget: {int(budget_s * 1e6)}u",
            *([f"Idempotency-Key: {self.token}"] if self.token else []),
            *(["X-Again: 1"] if number else []),
            *(["Content-Length: 0"] if method == "POST" else []),
        ]
        return "\r\n".join([*rows, "\r\n"]).encode()


@dataclass(slots=True)
class Outcome:
    """What became of a call. `latency_ms` counts from when its first try was due."""

    want: Want
    served: bool = False
    latency_ms: float = math.inf
    tries: int = 0
    last: str = ""

    @property
    def earned(self) -> float:
        """Of its worth: all within the aim, a part before its client gives up, else nothing."""
        if not self.served or self.latency_ms > self.want.kind.deadline_ms:
            return 0.0
        return 1.0 if self.in_aim else self.want.kind.late_worth

    @property
    def in_aim(self) -> bool:
        """Whether it was served within its aim."""
        return self.served and self.latency_ms <= self.want.kind.aim_ms


@dataclass
class Score:
    """Calls and what they earned."""

    outcomes: Sequence[Outcome]

    def in_aim(self, keep: Callable[[Outcome], bool] = lambda outcome: True) -> float:
        """Worth served within the aim over worth asked for; not a number where nothing was."""
        return self._share(keep, lambda outcome: float(outcome.in_aim))

    def service(self, keep: Callable[[Outcome], bool] = lambda outcome: True) -> float:
        """The same with late answers for a part."""
        return self._share(keep, lambda outcome: outcome.earned)

    def worst_window(self, window_s: float = 10.0) -> float:
        """The service of the worst whole window, by steps of a second."""
        end_s = max((outcome.want.at_s for outcome in self.outcomes), default=0.0)
        starts = range(max(1, math.floor(end_s - window_s) + 1))
        return min((self.service(_within(float(low), low + window_s)) for low in starts), default=math.nan)

    def latency_ms(self, kind: str, share: float) -> float:
        """A quantile over the calls of a class that were served."""
        served = [one.latency_ms for one in self.outcomes if one.served and one.want.kind.name == kind]
        return quantile(served, share)

    def _share(self, keep: Callable[[Outcome], bool], part: Callable[[Outcome], float]) -> float:
        kept = [outcome for outcome in self.outcomes if keep(outcome)]
        asked = sum(outcome.want.worth for outcome in kept)
        return sum(outcome.want.worth * part(outcome) for outcome in kept) / asked if asked else math.nan


def _within(low_s: float, high_s: float) -> Callable[[Outcome], bool]:
    return lambda outcome: low_s <= outcome.want.at_s < high_s


def _drawn(rng: random.Random, mean: float) -> float:
    return mean * min(WORK_MOST, rng.gammavariate(WORK_SHAPE, 1.0 / WORK_SHAPE))


def _zipf(count: int, power: float) -> Callable[[float], int]:
    """From a number in [0, 1) to a key: the n-th has a share of 1 over n to a power."""
    sums = list(itertools.accumulate(1.0 / number**power for number in range(1, count + 1)))
    return lambda share: min(count - 1, bisect.bisect_left(sums, share * sums[-1]))


# --- direct mode ---------------------------------------------------------------------------


@dataclass
class Direct:
    """A small balancer of the rig's own for one sidecar's place: it knows the registry's list, and no more.

    `servers` gives the names and addresses of the active ones. It tries once more, at another server, what
    never ran.
    """

    mode: Mode
    servers: Callable[[], Sequence[tuple[str, Address]]]
    rng: random.Random
    turn: int = 0

    def pick(self, spared: str = "") -> tuple[str, Address] | None:
        """The next server, another than the spared one if there is any; None where there is none."""
        known = sorted(self.servers())
        left = [one for one in known if one[0] != spared] or known
        if not left:
            return None
        if self.mode == "random":
            return self.rng.choice(left)
        self.turn += 1
        return left[self.turn % len(left)]


# --- one client ------------------------------------------------------------------------------


@dataclass(slots=True)
class _Try:
    """One try on its way."""

    done: asyncio.Future[tuple[Result, int]]
    asked: Asked
    sent_s: float | None = None


class Caller:
    """The client of one sidecar."""

    after: After = "keep"

    def __init__(self, name: str, address: Address | None, direct: Direct | None = None) -> None:
        """At an address, or with a balancer of its own."""
        self.name = name
        self.connect_s = DIRECT_CONNECT_S if direct else CONNECT_S
        self.down = False  # in direct mode: as if its sidecar had crashed
        self.strays = 0
        self.connections = 0
        self._direct = direct
        self._loop = asyncio.get_running_loop()
        self._pools: dict[Address, Pool] = {}
        self._address = address
        self._tasks: set[asyncio.Task[Any]] = set()
        self._out: dict[Asked, _Try] = {}

    async def ask(self, want: Want, number: int, budget_s: float) -> tuple[ledger.Asked, float]:
        """One try, seen to its end, and how many seconds its answer asks to wait."""
        if self._direct is None:
            assert self._address is not None
            result, status, asked, sent_s = await self._send(want, number, budget_s, self._address)
        else:
            result, status, asked, sent_s = await self._balanced(want, number, budget_s, self._direct)
        now_s = self._loop.time()
        row = ledger.Asked(
            call=want.ids[number],
            origin=want.ids[0],
            sidecar=self.name,
            semantics=want.kind.semantics,
            kind=want.kind.name,
            token=want.token,
            sent_s=now_s if sent_s is None else sent_s,
            budget_s=budget_s,
            result=result.value,
            ended_s=now_s,
            status=status,
            resends=asked.resends - asked.resends_left if asked is not None else 0,
            first_sent_s=asked.first_sent_s if asked is not None else None,
            resent_s=asked.resent_s if asked is not None else None,
        )
        return row, retry_after_s(asked) if asked is not None else 0.0

    def close(self) -> None:
        """Close all connections."""
        for pool in self._pools.values():
            pool.close()
        for task in list(self._tasks):
            task.cancel()

    def crash(self) -> None:
        """In direct mode: what it holds is lost, and nothing is taken until `down` is False again."""
        self.down = True
        pools, self._pools = self._pools, {}
        for pool in pools.values():
            pool.close()
        for asked in list(self._out):
            self.end(asked, Result.CUT)

    async def _balanced(
        self, want: Want, number: int, budget_s: float, direct: Direct
    ) -> tuple[Result, int, Asked | None, float | None]:
        """A try by the small balancer: once more at another server what never ran."""
        end_s, spared, first_s = self._loop.time() + budget_s, "", None
        result, status = Result.REFUSED, 503
        asked: Asked | None = None
        for _ in range(2):
            picked = None if self.down else direct.pick(spared)
            if picked is None:
                return (Result.UNSENT if self.down else Result.REFUSED), 0, asked, first_s
            left_s = max(0.001, end_s - self._loop.time())
            result, status, asked, sent_s = await self._send(want, number, left_s, picked[1])
            assert asked is not None
            first_s, spared = first_s if first_s is not None else sent_s, picked[0]
            if not (result is Result.UNSENT or b"x-rejected" in asked.noted):
                break
        if self.down:
            return Result.CUT, 0, asked, first_s
        if result is Result.UNSENT or (asked is not None and b"x-rejected" in asked.noted):
            return Result.REFUSED, status, asked, first_s  # none of its attempts ran
        if result in (Result.CUT, Result.UNANSWERED):
            return Result.FAILED, status, asked, first_s  # which a sidecar would have answered
        return result, status, asked, first_s

    async def _send(
        self, want: Want, number: int, budget_s: float, address: Address
    ) -> tuple[Result, int, Asked | None, float | None]:
        """One request on one connection, seen to its end."""
        pool = self._pools.get(address)
        if pool is None:
            cap = DIRECT_CONNECTIONS if self._direct else CONNECTIONS
            pool = self._pools[address] = Pool(self, cap, address)
        now_s = self._loop.time()
        asked = Asked(
            pool,
            want.ids[number],
            want.message(number, budget_s),
            at_s=want.at_s,
            due=now_s,
            resends=0 if self._direct else 1,
        )
        made = _Try(self._loop.create_future(), asked)
        self._out[asked] = made
        grace_s = 0.0 if self._direct else GRACE_S  # a balancer answers by the end of the budget
        asked.limit = self._loop.call_at(now_s + budget_s + grace_s, give_up, self, asked)
        pool.ask(asked)
        result, status = await made.done
        return result, status, asked, asked.sent_s

    # --- what pools report -------------------------------------------------------------

    def turns(self) -> float:
        """A connection is kept for good."""
        return math.inf

    def spawn(self, work: Any) -> None:
        """A task that lasts for `connect_s` at most."""
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def connected(self, change: int) -> None:
        """A connection has come or gone."""
        self.connections += max(0, change)

    def resent(self, first: bool) -> None:
        """A request goes out once more, which its ledger row tells."""

    def stray(self) -> None:
        """Bytes came that nobody had asked for."""
        self.strays += 1

    def unsent(self, asked: Asked) -> None:
        """No connection for a request; one that had been sent before is cut for good."""
        self.end(asked, Result.UNSENT if asked.sent_s is None else Result.CUT)

    def answered(self, asked: Asked, status: int, body: bytes) -> None:
        """A whole answer has come."""
        if status in (429, 503):
            result = Result.REFUSED
        elif status != 200:
            result = Result.FAILED
        elif body != body_for(asked.call_id, 0):
            result = Result.MIXED_UP
        else:
            result = Result.SERVED
        self.end(asked, result, status)

    def end(self, asked: Asked, result: Result, status: int = 0) -> None:
        """The one end of a request."""
        made = self._out.pop(asked, None)
        if made is None:
            return
        asked.ended = True
        if asked.limit is not None:
            asked.limit.cancel()
        if not made.done.done():
            made.done.set_result((result, status))


def retry_after_s(asked: Asked) -> float:
    """What an answer asks to wait, bounded."""
    try:
        return min(RETRY_AFTER_MOST_S, max(0.0, float(asked.noted.get(b"retry-after", b"0"))))
    except ValueError:
        return 0.0


# --- all clients -------------------------------------------------------------------------------


@dataclass
class Seen:
    """What all clients saw. `lag_ms`: how late each call was begun."""

    outcomes: list[Outcome] = field(default_factory=list)
    asked: list[ledger.Asked] = field(default_factory=list)
    lag_ms: list[float] = field(default_factory=list)


class Callers:
    """All clients of a demand."""

    def __init__(self, demand: Demand, callers: Mapping[str, Caller]) -> None:
        self._wants = demand.wants(list(callers))
        self._duration_s = demand.duration_s
        self._callers = callers
        self._loop = asyncio.get_running_loop()
        self.seen = Seen()

    async def run(self) -> Seen:
        """Ask for all that is wanted and see it to its end, which the deadlines of its classes bound."""
        start_s = self._loop.time()
        async with asyncio.TaskGroup() as group:
            for want in self._wants:
                due_s = start_s + want.at_s
                if (early_s := due_s - self._loop.time()) > 0.0:
                    await asyncio.sleep(early_s)
                self.seen.lag_ms.append((self._loop.time() - due_s) * 1000.0)
                group.create_task(self._call(want, due_s))
            await asyncio.sleep(max(0.0, start_s + self._duration_s - self._loop.time()))
        return self.seen

    async def _call(self, want: Want, due_s: float) -> None:
        """One call with its retries."""
        outcome = Outcome(want)
        self.seen.outcomes.append(outcome)
        caller, end_s = self._callers[want.sidecar], due_s + want.kind.deadline_ms / 1000.0
        for number in range(len(want.ids)):
            left_s = end_s - self._loop.time()
            if left_s <= 0.005:
                return
            outcome.tries += 1
            row, wait_s = await caller.ask(want, number, min(want.try_s, left_s))
            outcome.last = row.result
            if row.result != Result.UNSENT.value:
                self.seen.asked.append(row)
            if row.result == Result.SERVED.value:
                outcome.served, outcome.latency_ms = True, (row.ended_s - due_s) * 1000.0
                return
            if number == len(want.backoffs_s) or not may_retry(want.kind.semantics, row.result):
                return
            await asyncio.sleep(max(wait_s, want.backoffs_s[number]))


def may_retry(semantics: ledger.Semantics, result: str) -> bool:
    """Whether a client tries again: what is safe always, all else only where it is sure that nothing ran."""
    return semantics == "safe" or result in (Result.REFUSED.value, Result.UNSENT.value)
