"""Healthy clients, open loop: arrivals wait for nothing, and latency counts from the intended time."""

from __future__ import annotations

import asyncio
import contextlib
import math
import random
from collections import Counter, deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, Literal, Protocol, cast

import httptools

from rig.messages import Act, body_for, call_ids, request

CONNECT_S = 2.0
NOTED = (b"retry-after", b"x-rejected")  # headers of answers that are kept
GRACE_MS = 500  # past its budget a request is looked at for so long: a late answer is told from none
ANSWER_MOST = 2 * 1024 * 1024  # bytes
Address = tuple[str, int]
After = Literal["keep", "close", "hold"]


class Result(StrEnum):
    """How a request ended; each has exactly one."""

    SERVED = "served"  # the whole of its own answer, in time
    LATE = "late"  # the same, past the budget
    REFUSED = "refused"  # 429 or 503
    FAILED = "failed"  # any other status
    MIXED_UP = "mixed up"  # a 200 with a body that is not this request's
    CUT = "cut"  # its connection ended without a whole answer
    UNANSWERED = "unanswered"  # nothing whole though it was written, up to the end of the grace
    UNSENT = "unsent"  # no connection could be had for it


@dataclass(frozen=True, slots=True)
class Burst:
    """So many requests at one moment."""

    at_s: float
    count: int


@dataclass(frozen=True, slots=True)
class Plan:
    """What clients ask. `pools` clients share `connections`; each opens one more only if none is free.

    `after` is what a client does with its connection once it is answered: keep it for its next request,
    close it, or hold it and ask no more, so that each request is a new client's; at the cap one waits
    until the other side closes a connection. `turns`: it is kept for so many requests, drawn evenly between
    two bounds, and then closed.
    """

    rate_per_s: float
    duration_s: float
    seed: int = 1
    budget_ms: int = 2000
    kind: str = "look"
    act: Act | None = None
    pools: int = 1
    connections: int = 128
    bursts: tuple[Burst, ...] = ()
    resends: int = 1
    after: After = "keep"
    turns: tuple[int, int] | None = None
    skip_s: float = 0.0  # requests intended before that are not counted

    def __post_init__(self) -> None:
        if min(self.pools, self.connections, self.budget_ms) < 1 or self.connections < self.pools:
            raise ValueError("a plan needs a pool, a connection for each, and a budget")
        if not (0.0 <= self.rate_per_s < math.inf and 0.0 < self.duration_s < math.inf):
            raise ValueError("a plan needs a rate and a duration")
        if self.turns is not None and not 1 <= self.turns[0] <= self.turns[1]:
            raise ValueError("a connection is kept for one request at least")

    def arrivals(self) -> list[float]:
        """The intended times in seconds, a Poisson process and the bursts; the same for a seed."""
        rng, now, times = random.Random(f"arrivals/{self.seed}"), 0.0, []
        while self.rate_per_s > 0.0:
            now += rng.expovariate(self.rate_per_s)
            if now >= self.duration_s:
                break
            times.append(now)
        for burst in self.bursts:
            times += [burst.at_s] * burst.count
        return sorted(times)


@dataclass(slots=True)
class Record:
    """One request as it ended."""

    at_s: float  # its intended time, from the start
    result: Result
    latency_ms: float
    status: int = 0


@dataclass(slots=True)
class Tally:
    """What all clients of a plan saw."""

    records: list[Record] = field(default_factory=list)
    statuses: Counter[int] = field(default_factory=Counter)
    resent_new: int = 0  # cut as the first on its connection, and sent once more
    resent_kept: int = 0  # the same on a connection that had answered before
    connections: int = 0
    connections_most: int = 0
    stray: int = 0  # connections on which bytes came that nobody had asked for
    lag_most_ms: float = 0.0  # between the intended time and when these clients got to it

    def count(self, *results: Result) -> int:
        """How many ended so."""
        return sum(record.result in results for record in self.records)

    @property
    def asked(self) -> int:
        """How many there were."""
        return len(self.records)

    @property
    def in_time(self) -> float:
        """The share that was served in time; 1 where nothing was asked."""
        return self.count(Result.SERVED) / self.asked if self.records else 1.0

    def latency_ms(self, share: float) -> float:
        """A quantile over what was served, late ones included; not a number where nothing was."""
        served = (Result.SERVED, Result.LATE)
        return quantile([r.latency_ms for r in self.records if r.result in served], share)

    def summary(self) -> dict[str, Any]:
        """All figures as JSON values."""
        return {
            "asked": self.asked,
            "in_time": self.in_time,
            "results": {result.value: self.count(result) for result in Result},
            "statuses": {str(status): count for status, count in sorted(self.statuses.items())},
            **{
                f"p{round(share * 100)}_ms": _finite(self.latency_ms(share))
                for share in (0.5, 0.9, 0.99, 1.0)
            },
            "resent_new": self.resent_new,
            "resent_kept": self.resent_kept,
            "connections": self.connections,
            "connections_most": self.connections_most,
            "stray": self.stray,
            "lag_most_ms": self.lag_most_ms,
        }


def quantile(values: Iterable[float], share: float) -> float:
    """The nearest-rank quantile; not a number where there is none."""
    ordered = sorted(values)
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)] if ordered else math.nan


def _finite(value: float) -> float | None:
    return value if math.isfinite(value) else None


class Asked:
    """One request from its intended time to its end."""

    __slots__ = (
        *("at_s", "call_id", "due", "ended", "limit", "link", "message", "noted", "pool", "resends"),
        *("resends_left", "first_sent_s", "resent_s", "sent_s", "size"),
    )

    def __init__(
        self,
        pool: Pool,
        call_id: str,
        message: bytes,
        *,
        at_s: float,
        due: float,
        size: int = 0,
        resends: int = 1,
    ) -> None:
        self.pool = pool
        self.call_id = call_id
        self.at_s = at_s
        self.due = due  # its intended time on the loop's clock
        self.size = size
        self.message = message
        self.resends = resends  # that it may have, should a close cross it
        self.resends_left = resends
        self.first_sent_s: float | None = None  # when it was first written to a connection,
        self.sent_s: float | None = None  # and when last
        self.resent_s: float | None = None  # when a close without a word had it sent again
        self.noted: dict[bytes, bytes] = {}  # headers of its answer, those of `NOTED`
        self.link: Link | None = None
        self.limit: asyncio.TimerHandle | None = None
        self.ended = False

    @classmethod
    def planned(cls, pool: Pool, plan: Plan, call_id: str, at_s: float, due: float) -> Asked:
        """The next one of a plan."""
        return cls(
            pool,
            call_id,
            request(call_id, plan.kind, plan.budget_ms, act=plan.act),
            at_s=at_s,
            due=due,
            size=plan.act.size_bytes if plan.act is not None else 0,
            resends=plan.resends,
        )


class Owner(Protocol):
    """Whom a pool of connections belongs to: it is told what becomes of requests and connections."""

    connect_s: float  # a connection that is not up after so long is given up

    @property
    def after(self) -> After:
        """What becomes of a connection once it has answered."""

    def turns(self) -> float:
        """How many requests the next connection is kept for."""

    def spawn(self, work: Any) -> None:
        """Run a task that lasts for `connect_s` at most."""

    def connected(self, change: int) -> None:
        """A connection has come or gone."""

    def resent(self, first: bool) -> None:
        """A request goes out once more; `first`: it was the first on its connection."""

    def stray(self) -> None:
        """Bytes came that nobody had asked for."""

    def unsent(self, asked: Asked) -> None:
        """No connection for a request."""

    def answered(self, asked: Asked, status: int, body: bytes) -> None:
        """A whole answer."""

    def end(self, asked: Asked, result: Result, status: int = 0) -> None:
        """The one end of a request."""


def give_up(owner: Owner, asked: Asked) -> None:
    """A request's time is over: it ends as unsent where it has no connection, else its connection is cut."""
    link = asked.link
    if link is None:
        owner.unsent(asked)
    else:
        owner.end(asked, Result.UNANSWERED)
        link.abort()


class Link(asyncio.Protocol):
    """One connection of a client."""

    def __init__(self, pool: Pool, first: Asked | None, turns: float) -> None:
        self._pool = pool
        self._turns = turns
        self._asked = first
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport
        self._body = bytearray()
        self._got = False  # anything of the answer at hand
        self._whole = self._keeps = False
        self.lost = False
        self.answered = 0

    def begin(self, asked: Asked) -> None:
        """Write a request."""
        self._asked, asked.link = asked, self
        asked.sent_s = asyncio.get_running_loop().time()
        if asked.first_sent_s is None:
            asked.first_sent_s = asked.sent_s
        self._got = self._whole = False
        self._body.clear()
        self._transport.write(asked.message)

    def close(self) -> None:
        """Close it between requests."""
        self._transport.close()

    def abort(self) -> None:
        """Go away, whatever is open on it."""
        self._asked = None
        self._transport.abort()

    @property
    def spent(self) -> bool:
        """Whether it has carried as many requests as it is kept for."""
        return self.answered >= self._turns

    @property
    def busy(self) -> bool:
        """Whether a request is out on it."""
        return self._asked is not None

    # --- called by the loop ----------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Connected; the request that it was opened for goes out, if it still stands."""
        self._transport = cast(asyncio.Transport, transport)
        first, self._asked = self._asked, None
        self._pool.connected(self)
        if first is not None and not first.ended:
            self.begin(first)
        else:
            self._pool.free(self)

    def data_received(self, data: bytes) -> None:
        """Bytes of an answer."""
        if self._asked is None:
            self._pool.stray()
            self._transport.abort()
            return
        self._got = True
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._transport.abort()
            return
        if self._whole:
            self._answered()
        elif len(self._body) > ANSWER_MOST:
            self._transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """Closed."""
        self.lost = True
        asked, self._asked = self._asked, None
        del self._parser  # it refers back
        # First, so that what is sent once more has the place that this connection leaves.
        if asked is not None:
            asked.link = None
            self._pool.cut(asked, nothing_came=not self._got, first=self.answered == 0)
        self._pool.gone(self)

    # --- called by the parser --------------------------------------------------

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser."""
        if self._asked is not None and not self._whole and (known := name.lower()) in NOTED:
            self._asked.noted[known] = value

    def on_body(self, data: bytes) -> None:
        """Called by the parser."""
        if not self._whole:
            self._body += data

    def on_message_complete(self) -> None:
        """Called by the parser."""
        if self._whole:
            self._pool.stray()
        elif self._parser.get_status_code() >= 200:
            self._whole, self._keeps = True, self._parser.should_keep_alive()

    def _answered(self) -> None:
        asked, self._asked = self._asked, None
        assert asked is not None
        asked.link = None
        self.answered += 1
        if not self._keeps:
            self._transport.close()
        self._pool.answered(asked, self._parser.get_status_code(), bytes(self._body))
        if not self._transport.is_closing():
            self._pool.free(self)


class Pool:
    """The connections of one client: the newest that is free, else one more up to the cap."""

    def __init__(self, clients: Owner, cap: int, address: Address) -> None:
        self._clients = clients
        self._address = address
        self._cap = cap
        self._links: set[Link] = set()
        self._free: list[Link] = []
        self._waiting: deque[Asked] = deque()  # as many as the plan has arrivals at most
        self._opening = 0
        self._old: set[Link] = set()  # to be closed and opened anew once they come free

    def ask(self, asked: Asked) -> None:
        """Send a request as soon as a connection can be had."""
        while self._free:
            link = self._free.pop()
            if not link.lost:
                link.begin(asked)
                return
        if len(self._links) + self._opening < self._cap:
            self._open(asked)
        else:
            self._waiting.append(asked)

    def reconnect(self) -> None:
        """Close all at once and open as many; what has a request out follows once it is answered."""
        self._old = {link for link in self._links if link.busy}
        idle, self._free = self._free, []
        for link in idle:
            link.close()
            self._open(None)

    def close(self) -> None:
        """Close all at the end; nothing is opened any more."""
        self._cap = 0
        self._waiting.clear()
        for link in list(self._links):
            link.abort()

    # --- what links report -------------------------------------------------------

    def connected(self, link: Link) -> None:
        """A connection is up."""
        self._links.add(link)
        self._clients.connected(+1)

    def free(self, link: Link) -> None:
        """It carries nothing."""
        if link in self._old:
            self._old.discard(link)
            link.close()
            self._open(None)
        elif link.answered and self._clients.after != "keep":
            if self._clients.after == "close":
                link.close()
        elif link.spent:
            link.close()
        elif (asked := self._next()) is not None:
            link.begin(asked)
        else:
            self._free.append(link)

    def gone(self, link: Link) -> None:
        """It is closed: there is room for one more."""
        self._links.discard(link)
        self._old.discard(link)
        self._clients.connected(-1)
        with contextlib.suppress(ValueError):
            self._free.remove(link)
        self._open_for_waiting()

    def answered(self, asked: Asked, status: int, body: bytes) -> None:
        """A whole answer."""
        self._clients.answered(asked, status, body)

    def cut(self, asked: Asked, nothing_came: bool, first: bool) -> None:
        """No whole answer: sent once more on a new connection if nothing of it came."""
        if asked.ended:
            return
        if nothing_came and asked.resends_left > 0:
            asked.resends_left -= 1
            asked.resent_s = asyncio.get_running_loop().time()
            self._clients.resent(first)
            self._open(asked)
        else:
            self._clients.end(asked, Result.CUT)

    def stray(self) -> None:
        """Bytes that nobody asked for."""
        self._clients.stray()

    def _next(self) -> Asked | None:
        while self._waiting:
            asked = self._waiting.popleft()
            if not asked.ended:
                return asked
        return None

    def _open_for_waiting(self) -> None:
        if len(self._links) + self._opening < self._cap and (asked := self._next()) is not None:
            self._open(asked)

    def _open(self, asked: Asked | None) -> None:
        self._opening += 1
        self._clients.spawn(self._connect(asked, self._clients.turns()))

    async def _connect(self, asked: Asked | None, turns: float) -> None:
        loop, (host, port) = asyncio.get_running_loop(), self._address
        try:
            async with asyncio.timeout(self._clients.connect_s):
                await loop.create_connection(lambda: Link(self, asked, turns), host, port)
        except (OSError, TimeoutError):
            if asked is not None:
                self._clients.unsent(asked)
        finally:
            self._opening -= 1
            self._open_for_waiting()


class Clients:
    """All clients of a plan."""

    connect_s = CONNECT_S

    def __init__(self, address: Address, plan: Plan) -> None:
        self.address = address
        self.plan = plan
        self.tally = Tally()
        self._loop = asyncio.get_running_loop()
        self._rng = random.Random(f"clients/{plan.seed}")
        self._turns = random.Random(f"turns/{plan.seed}")
        self._ids = call_ids(f"clients/{plan.seed}")
        shares = [plan.connections // plan.pools] * plan.pools
        for number in range(plan.connections % plan.pools):
            shares[number] += 1
        self._pools = [Pool(self, share, address) for share in shares]
        self._tasks: set[asyncio.Task[None]] = set()
        self._open: set[Asked] = set()
        self._standing = 0

    async def run(self) -> Tally:
        """Ask all that is planned and see each request to its end; bounded by the plan's own times."""
        start = self._loop.time()
        try:
            for at_s in self.plan.arrivals():
                if (early := start + at_s - self._loop.time()) > 0.0:
                    await asyncio.sleep(early)
                self._ask(at_s, start + at_s)
            await asyncio.sleep(max(0.0, start + self.plan.duration_s - self._loop.time()))
            while self._open:  # each ends at the end of its grace at the latest
                await asyncio.sleep(0.005)
        finally:
            self._close()
        return self.tally

    def reconnect(self) -> None:
        """All clients close their connections at once and connect anew."""
        for pool in self._pools:
            pool.reconnect()

    def _ask(self, at_s: float, due: float) -> None:
        self.tally.lag_most_ms = max(self.tally.lag_most_ms, (self._loop.time() - due) * 1000.0)
        asked = Asked.planned(self._rng.choice(self._pools), self.plan, next(self._ids), at_s, due)
        limit = due + (self.plan.budget_ms + GRACE_MS) / 1000.0
        asked.limit = self._loop.call_at(limit, give_up, self, asked)
        self._open.add(asked)
        asked.pool.ask(asked)

    def _close(self) -> None:
        for asked in self._open:
            if asked.limit is not None:
                asked.limit.cancel()
        for pool in self._pools:
            pool.close()
        for task in list(self._tasks):
            task.cancel()

    # --- what pools report -------------------------------------------------------

    def spawn(self, work: Any) -> None:
        """A task that lasts for `CONNECT_S` at most."""
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    @property
    def after(self) -> After:
        """What becomes of a connection once it has answered."""
        return self.plan.after

    def stray(self) -> None:
        """Bytes came that nobody had asked for."""
        self.tally.stray += 1

    def turns(self) -> float:
        """How many requests the next connection is kept for."""
        return self._turns.randint(*self.plan.turns) if self.plan.turns is not None else math.inf

    def connected(self, change: int) -> None:
        """A connection has come or gone."""
        self._standing += change
        self.tally.connections += max(0, change)
        self.tally.connections_most = max(self.tally.connections_most, self._standing)

    def resent(self, first: bool) -> None:
        """A request goes out once more; `first`: it was the first on its connection."""
        if first:
            self.tally.resent_new += 1
        else:
            self.tally.resent_kept += 1

    def unsent(self, asked: Asked) -> None:
        """No connection for a request; one that had been sent before is cut for good."""
        self.end(asked, Result.UNSENT if asked.resends_left == asked.resends else Result.CUT)

    def answered(self, asked: Asked, status: int, body: bytes) -> None:
        """A whole answer has come."""
        in_time = (self._loop.time() - asked.due) * 1000.0 <= self.plan.budget_ms
        if status in (429, 503):
            result = Result.REFUSED
        elif status != 200:
            result = Result.FAILED
        elif body != body_for(asked.call_id, asked.size):
            result = Result.MIXED_UP
        else:
            result = Result.SERVED if in_time else Result.LATE
        self.end(asked, result, status)

    def end(self, asked: Asked, result: Result, status: int = 0) -> None:
        """The one end of a request."""
        if asked.ended:
            return
        asked.ended = True
        self._open.discard(asked)
        if asked.limit is not None:
            asked.limit.cancel()
        if asked.at_s < self.plan.skip_s:
            return
        if status:
            self.tally.statuses[status] += 1
        latency_ms = (self._loop.time() - asked.due) * 1000.0
        self.tally.records.append(Record(asked.at_s, result, latency_ms, status))


# --- one exchange, byte for byte --------------------------------------------------


@dataclass(frozen=True, slots=True)
class Raw:
    """What came back for some bytes; `status` 0 and `ended` true: the connection ended without a word."""

    status: int
    body: bytes
    took_ms: float
    ended: bool


async def ask_raw(address: Address, data: bytes, within_s: float) -> Raw:
    """Connect, write these bytes and read one answer; nothing is raised, what came is told."""
    loop = asyncio.get_running_loop()
    start, status, body, ended = loop.time(), 0, b"", False
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(within_s):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(data)
            status, body = await read_answer(reader)
    except (TimeoutError, ValueError, asyncio.LimitOverrunError):
        pass  # first: a TimeoutError is an OSError too, and no end of the connection
    except (OSError, EOFError):
        ended = True
    finally:
        if writer is not None:
            writer.transport.abort()
    return Raw(status, body, (loop.time() - start) * 1000.0, ended)


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, bytes]:
    """One answer with a Content-Length; `EOFError` or `OSError` where the connection ends before."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *rows = head[:-4].split("\r\n")
    names = {name.strip().lower(): value.strip() for name, _, value in (row.partition(":") for row in rows)}
    size = int(names.get("content-length", "0"))
    if size > ANSWER_MOST:
        raise ValueError(f"an answer of {size} bytes")
    return int(first.split(" ")[1]), await reader.readexactly(size)
