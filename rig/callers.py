"""Application clients: open-loop calls by class, tenant and key, with client-side retries.

Each sidecar has its own client. All calls and their times are drawn from a seed before the first one is sent
and do not depend on what serves them. The latency of a call includes its retries and counts from the time at
which its first try was due. In direct mode a small balancer takes the place of a sidecar and sends to the
servers itself.
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
from rig.clients import Address, After, PendingRequest, Pool, Result, give_up, quantile
from rig.messages import body_for, call_ids

Mode = Literal["random", "robin"]

GRACE_S = 0.15  # wait after the budget of a try, to distinguish late answers from none
CONNECT_S = 2.0
DIRECT_CONNECT_S = 0.25
CONNECTIONS = 256  # maximum of one client
DIRECT_CONNECTIONS = 64  # maximum to one server in direct mode
MAX_RETRY_AFTER_S = 2.0
MAX_CALLS = 1_000_000
WORK_SHAPE = 4.0  # shape of the gamma distribution of work: its standard deviation is half of its mean
MAX_WORK_MULTIPLE = 5.0  # limit of drawn work, as a multiple of the mean


@dataclass(frozen=True, slots=True)
class CallClass:
    """A class of calls.

    Attributes:
        semantics: Calls that are "keyed" carry an idempotency key, "unsafe" ones must run at most once.
        share: Its relative frequency among all calls.
        aim_ms: Latency target.
        deadline_ms: Time after which the client gives up.
        worth: Priority weight for each unit of work.
        late_worth: Part of the weight that counts if the answer misses the target but meets the deadline.
    """

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
    """Load that the clients generate. `weights` are the relative loads of the sidecars, the highest first."""

    rate_per_s: float
    duration_s: float
    classes: tuple[CallClass, ...]
    tenants: Mapping[str, float]
    weights: tuple[float, ...]
    seed: int = 1
    keys: int = 3000
    zipf: float = 1.0
    swing: float = 0.25  # amplitude of a slow sine wave, as a part of the rate
    try_share: tuple[float, float] = (0.4, 0.8)  # time limit of one try as a part of the deadline
    retries: int = 2
    backoff_ms: tuple[float, float] = (30.0, 240.0)

    def __post_init__(self) -> None:
        """Check the fields.

        Raises:
            ValueError: If a field is out of range.
        """
        if not (0.0 < self.rate_per_s < math.inf and 0.0 < self.duration_s < math.inf):
            raise ValueError("a demand needs a finite rate_per_s > 0 and a finite duration_s > 0")
        if self.rate_per_s * self.duration_s > MAX_CALLS:
            raise ValueError(f"rate_per_s * duration_s must be at most {MAX_CALLS} calls")
        if not (self.classes and self.tenants and self.weights and self.keys >= 1):
            raise ValueError("a demand needs classes, tenants, weights and keys >= 1")

    def planned_calls(self, sidecars: Sequence[str]) -> list[PlannedCall]:
        """Return all calls in the order of their times, reproducible by seed."""
        rng = random.Random(f"wants/{self.seed}")
        ids, tokens = call_ids(f"tries/{self.seed}"), call_ids(f"tokens/{self.seed}")
        key_of = _zipf(self.keys, self.zipf)
        weights = [self.weights[number % len(self.weights)] for number in range(len(sidecars))]
        made: list[PlannedCall] = []
        for at_s in self._arrivals(rng):
            kind = rng.choices(self.classes, [one.share for one in self.classes])[0]
            made.append(
                PlannedCall(
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
        """Generate a Poisson process by thinning; its rate follows one period of a sine wave."""
        now_s, max_rate_per_s = 0.0, self.rate_per_s * (1.0 + self.swing)
        while (now_s := now_s + rng.expovariate(max_rate_per_s)) < self.duration_s:
            wave = 1.0 + self.swing * math.sin(2.0 * math.pi * now_s / self.duration_s)
            if rng.random() * max_rate_per_s <= self.rate_per_s * wave:
                yield now_s


@dataclass(frozen=True, slots=True)
class PlannedCall:
    """A call as drawn from the seed. `try_s` is the time limit of one try."""

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
    ids: tuple[str, ...]  # one for each try

    @property
    def worth(self) -> float:
        """Priority weight of the call, as the site counts it: the weight of its class times its work."""
        return self.kind.worth * self.work_ms

    def message(self, number: int, budget_s: float) -> bytes:
        """Return the HTTP request of a try."""
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
    """Result of a call. `latency_ms` counts from the time at which its first try was due."""

    call: PlannedCall
    served: bool = False
    latency_ms: float = math.inf
    tries: int = 0
    last: str = ""

    @property
    def earned(self) -> float:
        """Part of its weight that counts: 1 within the target, less up to the deadline, otherwise 0."""
        if not self.served or self.latency_ms > self.call.kind.deadline_ms:
            return 0.0
        return 1.0 if self.in_aim else self.call.kind.late_worth

    @property
    def in_aim(self) -> bool:
        """Whether it was served within its latency target."""
        return self.served and self.latency_ms <= self.call.kind.aim_ms


@dataclass
class Score:
    """Scores of a set of calls."""

    outcomes: Sequence[Outcome]

    def in_aim(self, keep: Callable[[Outcome], bool] = lambda outcome: True) -> float:
        """Return the weighted share of calls served within their latency target, or NaN for no calls."""
        return self._share(keep, lambda outcome: float(outcome.in_aim))

    def service(self, keep: Callable[[Outcome], bool] = lambda outcome: True) -> float:
        """Return the same share with answers after the target counted in part."""
        return self._share(keep, lambda outcome: outcome.earned)

    def worst_window(self, window_s: float = 10.0) -> float:
        """Return the lowest service of any whole window; windows begin one second apart."""
        end_s = max((outcome.call.at_s for outcome in self.outcomes), default=0.0)
        starts = range(max(1, math.floor(end_s - window_s) + 1))
        return min((self.service(_within(float(low), low + window_s)) for low in starts), default=math.nan)

    def latency_ms(self, kind: str, share: float) -> float:
        """Return a latency quantile over the served calls of a class."""
        served = [one.latency_ms for one in self.outcomes if one.served and one.call.kind.name == kind]
        return quantile(served, share)

    def _share(self, keep: Callable[[Outcome], bool], part: Callable[[Outcome], float]) -> float:
        kept = [outcome for outcome in self.outcomes if keep(outcome)]
        total = sum(outcome.call.worth for outcome in kept)
        return sum(outcome.call.worth * part(outcome) for outcome in kept) / total if total else math.nan


def _within(low_s: float, high_s: float) -> Callable[[Outcome], bool]:
    return lambda outcome: low_s <= outcome.call.at_s < high_s


def _drawn(rng: random.Random, mean: float) -> float:
    return mean * min(MAX_WORK_MULTIPLE, rng.gammavariate(WORK_SHAPE, 1.0 / WORK_SHAPE))


def _zipf(count: int, power: float) -> Callable[[float], int]:
    """Return a function from [0, 1) to a key index; the n-th key has a weight of 1 / n**power."""
    sums = list(itertools.accumulate(1.0 / number**power for number in range(1, count + 1)))
    return lambda share: min(count - 1, bisect.bisect_left(sums, share * sums[-1]))


# --- direct mode ---------------------------------------------------------------------------


@dataclass
class Direct:
    """Small balancer that takes the place of one sidecar and knows only the list of the registry.

    `servers` returns the names and addresses of the active servers. A request that never ran is retried once,
    at another server.
    """

    mode: Mode
    servers: Callable[[], Sequence[tuple[str, Address]]]
    rng: random.Random
    turn: int = 0

    def pick(self, excluded: str = "") -> tuple[str, Address] | None:
        """Return the next server, avoiding `excluded` if there is another, or None if there is no server."""
        known = sorted(self.servers())
        left = [one for one in known if one[0] != excluded] or known
        if not left:
            return None
        if self.mode == "random":
            return self.rng.choice(left)
        self.turn += 1
        return left[self.turn % len(left)]


# --- one client ------------------------------------------------------------------------------


@dataclass(slots=True)
class _Try:
    """A try in flight."""

    done: asyncio.Future[tuple[Result, int]]
    pending: PendingRequest
    sent_s: float | None = None


class Caller:
    """Client of one sidecar."""

    after: After = "keep"

    def __init__(self, name: str, address: Address | None, direct: Direct | None = None) -> None:
        """Create a client that sends to an address, or through its own balancer in direct mode."""
        self.name = name
        self.connect_s = DIRECT_CONNECT_S if direct else CONNECT_S
        self.down = False  # in direct mode: simulates a crashed sidecar
        self.strays = 0
        self.connections = 0
        self._direct = direct
        self._loop = asyncio.get_running_loop()
        self._pools: dict[Address, Pool] = {}
        self._address = address
        self._tasks: set[asyncio.Task[Any]] = set()
        self._out: dict[PendingRequest, _Try] = {}

    async def ask(self, call: PlannedCall, number: int, budget_s: float) -> tuple[ledger.Asked, float]:
        """Send a try and wait for its end; return its ledger row and its Retry-After in seconds."""
        if self._direct is None:
            assert self._address is not None
            result, status, pending, sent_s = await self._send(call, number, budget_s, self._address)
        else:
            result, status, pending, sent_s = await self._balanced(call, number, budget_s, self._direct)
        now_s = self._loop.time()
        row = ledger.Asked(
            call=call.ids[number],
            origin=call.ids[0],
            sidecar=self.name,
            semantics=call.kind.semantics,
            kind=call.kind.name,
            token=call.token,
            sent_s=now_s if sent_s is None else sent_s,
            budget_s=budget_s,
            result=result.value,
            ended_s=now_s,
            status=status,
            resends=pending.resends - pending.resends_left if pending is not None else 0,
            first_sent_s=pending.first_sent_s if pending is not None else None,
            resent_s=pending.resent_s if pending is not None else None,
        )
        return row, retry_after_s(pending) if pending is not None else 0.0

    def close(self) -> None:
        """Close all connections."""
        for pool in self._pools.values():
            pool.close()
        for task in list(self._tasks):
            task.cancel()

    def crash(self) -> None:
        """Simulate a crash in direct mode: cut tries in flight and send no more until `down` is False."""
        self.down = True
        pools, self._pools = self._pools, {}
        for pool in pools.values():
            pool.close()
        for pending in list(self._out):
            self.end(pending, Result.CUT)

    async def _balanced(
        self, call: PlannedCall, number: int, budget_s: float, direct: Direct
    ) -> tuple[Result, int, PendingRequest | None, float | None]:
        """Send a try through the balancer; retry it once at another server if it never ran."""
        end_s, excluded, first_s = self._loop.time() + budget_s, "", None
        result, status = Result.REFUSED, 503
        pending: PendingRequest | None = None
        for _ in range(2):
            picked = None if self.down else direct.pick(excluded)
            if picked is None:
                return (Result.UNSENT if self.down else Result.REFUSED), 0, pending, first_s
            left_s = max(0.001, end_s - self._loop.time())
            result, status, pending, sent_s = await self._send(call, number, left_s, picked[1])
            assert pending is not None
            first_s, excluded = first_s if first_s is not None else sent_s, picked[0]
            if not (result is Result.UNSENT or b"x-rejected" in pending.kept_headers):
                break
        if self.down:
            return Result.CUT, 0, pending, first_s
        if result is Result.UNSENT or (pending is not None and b"x-rejected" in pending.kept_headers):
            return Result.REFUSED, status, pending, first_s  # none of its attempts ran
        if result in (Result.CUT, Result.UNANSWERED):
            return Result.FAILED, status, pending, first_s  # a sidecar would have answered it with an error
        return result, status, pending, first_s

    async def _send(
        self, call: PlannedCall, number: int, budget_s: float, address: Address
    ) -> tuple[Result, int, PendingRequest | None, float | None]:
        """Send one request and wait for its end."""
        pool = self._pools.get(address)
        if pool is None:
            cap = DIRECT_CONNECTIONS if self._direct else CONNECTIONS
            pool = self._pools[address] = Pool(self, cap, address)
        now_s = self._loop.time()
        pending = PendingRequest(
            pool,
            call.ids[number],
            call.message(number, budget_s),
            at_s=call.at_s,
            due=now_s,
            resends=0 if self._direct else 1,
        )
        made = _Try(self._loop.create_future(), pending)
        self._out[pending] = made
        grace_s = 0.0 if self._direct else GRACE_S  # in direct mode, answers come by the end of the budget
        pending.limit = self._loop.call_at(now_s + budget_s + grace_s, give_up, self, pending)
        pool.send(pending)
        result, status = await made.done
        return result, status, pending, pending.sent_s

    # --- what pools report -------------------------------------------------------------

    def turns(self) -> float:
        """Return the number of requests per connection, which is unlimited."""
        return math.inf

    def spawn(self, work: Any) -> None:
        """Run a task that lasts for `connect_s` at most."""
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def connected(self, change: int) -> None:
        """Count a new connection; closed ones are not subtracted."""
        self.connections += max(0, change)

    def resent(self, first: bool) -> None:
        """Do nothing: the ledger row of a request records its resends."""

    def stray(self) -> None:
        """Count a connection that received unsolicited bytes."""
        self.strays += 1

    def unsent(self, pending: PendingRequest) -> None:
        """End a request without a connection: as unsent, or as cut if it had been sent before."""
        self.end(pending, Result.UNSENT if pending.sent_s is None else Result.CUT)

    def answered(self, pending: PendingRequest, status: int, body: bytes) -> None:
        """End a request by its complete answer."""
        if status in (429, 503):
            result = Result.REFUSED
        elif status != 200:
            result = Result.FAILED
        elif body != body_for(pending.call_id, 0):
            result = Result.MIXED_UP
        else:
            result = Result.SERVED
        self.end(pending, result, status)

    def end(self, pending: PendingRequest, result: Result, status: int = 0) -> None:
        """Record the result of a request, once."""
        made = self._out.pop(pending, None)
        if made is None:
            return
        pending.ended = True
        if pending.limit is not None:
            pending.limit.cancel()
        if not made.done.done():
            made.done.set_result((result, status))


def retry_after_s(pending: PendingRequest) -> float:
    """Return the Retry-After of an answer in seconds, at most `MAX_RETRY_AFTER_S`."""
    try:
        return min(MAX_RETRY_AFTER_S, max(0.0, float(pending.kept_headers.get(b"retry-after", b"0"))))
    except ValueError:
        return 0.0


# --- all clients -------------------------------------------------------------------------------


@dataclass
class Seen:
    """Results of all clients. `lag_ms` has the delay of each call behind its due time."""

    outcomes: list[Outcome] = field(default_factory=list)
    asked: list[ledger.Asked] = field(default_factory=list)
    lag_ms: list[float] = field(default_factory=list)


class Callers:
    """Runs all clients of a demand."""

    def __init__(self, demand: Demand, callers: Mapping[str, Caller]) -> None:
        self._calls = demand.planned_calls(list(callers))
        self._duration_s = demand.duration_s
        self._callers = callers
        self._loop = asyncio.get_running_loop()
        self.seen = Seen()

    async def run(self) -> Seen:
        """Send all calls and wait for their ends, which the deadlines of their classes bound."""
        start_s = self._loop.time()
        async with asyncio.TaskGroup() as group:
            for call in self._calls:
                due_s = start_s + call.at_s
                if (wait_s := due_s - self._loop.time()) > 0.0:
                    await asyncio.sleep(wait_s)
                self.seen.lag_ms.append((self._loop.time() - due_s) * 1000.0)
                group.create_task(self._call(call, due_s))
            await asyncio.sleep(max(0.0, start_s + self._duration_s - self._loop.time()))
        return self.seen

    async def _call(self, call: PlannedCall, due_s: float) -> None:
        """Run a call with its retries."""
        outcome = Outcome(call)
        self.seen.outcomes.append(outcome)
        caller, end_s = self._callers[call.sidecar], due_s + call.kind.deadline_ms / 1000.0
        for number in range(len(call.ids)):
            left_s = end_s - self._loop.time()
            if left_s <= 0.005:
                return
            outcome.tries += 1
            row, wait_s = await caller.ask(call, number, min(call.try_s, left_s))
            outcome.last = row.result
            if row.result != Result.UNSENT.value:
                self.seen.asked.append(row)
            if row.result == Result.SERVED.value:
                outcome.served, outcome.latency_ms = True, (row.ended_s - due_s) * 1000.0
                return
            if number == len(call.backoffs_s) or not may_retry(call.kind.semantics, row.result):
                return
            await asyncio.sleep(max(wait_s, call.backoffs_s[number]))


def may_retry(semantics: ledger.Semantics, result: str) -> bool:
    """Return whether a client may retry: safe calls always, others only if it is certain that nothing ran."""
    return semantics == "safe" or result in (Result.REFUSED.value, Result.UNSENT.value)
