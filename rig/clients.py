"""Open-loop HTTP clients: arrivals never wait for answers, and latency counts from the intended time."""

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
KEPT_HEADERS = (b"retry-after", b"x-rejected")  # response headers that are recorded
GRACE_MS = 500  # wait after the budget, to distinguish a late answer from none
MAX_ANSWER_BYTES = 2 * 1024 * 1024
Address = tuple[str, int]
After = Literal["keep", "close", "hold"]


class Result(StrEnum):
    """Result of a request; each has exactly one."""

    SERVED = "served"  # complete and correct answer within the budget
    LATE = "late"  # the same after the budget
    REFUSED = "refused"  # 429 or 503
    FAILED = "failed"  # any other status
    MIXED_UP = "mixed up"  # status 200 with a body that is not the one of this request
    CUT = "cut"  # connection closed before the answer was complete
    UNANSWERED = "unanswered"  # written, but no complete answer by the end of the grace time
    UNSENT = "unsent"  # no connection could be opened for it


@dataclass(frozen=True, slots=True)
class Burst:
    """`count` requests at the same moment."""

    at_s: float
    count: int


@dataclass(frozen=True, slots=True)
class Plan:
    """Load that clients generate.

    Attributes:
        pools: Number of clients. They share `connections`; each opens another one only if none is free.
        after: What a client does with a connection after an answer: keep it for its next request, close it,
            or hold it open and send nothing more, so that each request comes from a new client. At the limit
            of connections, a request waits until the server closes one.
        turns: Bounds of the number of requests after which a connection is closed, drawn uniformly.
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
    skip_s: float = 0.0  # requests intended before this time are not recorded

    def __post_init__(self) -> None:
        if min(self.pools, self.connections, self.budget_ms) < 1 or self.connections < self.pools:
            raise ValueError("a plan needs pools >= 1, connections >= pools and budget_ms >= 1")
        if not (0.0 <= self.rate_per_s < math.inf and 0.0 < self.duration_s < math.inf):
            raise ValueError("a plan needs a finite rate_per_s >= 0 and a finite duration_s > 0")
        if self.turns is not None and not 1 <= self.turns[0] <= self.turns[1]:
            raise ValueError(f"turns must be two bounds with 1 <= low <= high, got {self.turns}")

    def arrivals(self) -> list[float]:
        """Return the intended times in seconds: a Poisson process and the bursts, reproducible by seed."""
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
    """Result of one request."""

    at_s: float  # intended time since the start
    result: Result
    latency_ms: float
    status: int = 0


@dataclass(slots=True)
class Tally:
    """Results of all clients of a plan."""

    records: list[Record] = field(default_factory=list)
    statuses: Counter[int] = field(default_factory=Counter)
    resent_new: int = 0  # resends of requests that were the first on their connection
    resent_kept: int = 0  # resends from connections that had answered before
    connections: int = 0
    connections_most: int = 0
    stray: int = 0  # connections that received unsolicited bytes
    lag_most_ms: float = 0.0  # largest delay of these clients behind an intended time

    def count(self, *results: Result) -> int:
        """Return the number of requests with any of these results."""
        return sum(record.result in results for record in self.records)

    @property
    def asked(self) -> int:
        """The number of recorded requests."""
        return len(self.records)

    @property
    def in_time(self) -> float:
        """The share of requests served within their budget; 1 if there were none."""
        return self.count(Result.SERVED) / self.asked if self.records else 1.0

    def latency_ms(self, share: float) -> float:
        """Return a latency quantile of served requests, late ones included; NaN if there are none."""
        served = (Result.SERVED, Result.LATE)
        return quantile([r.latency_ms for r in self.records if r.result in served], share)

    def summary(self) -> dict[str, Any]:
        """Return all figures as JSON values."""
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
    """Return the nearest-rank quantile, or NaN for no values."""
    ordered = sorted(values)
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)] if ordered else math.nan


def _finite(value: float) -> float | None:
    return value if math.isfinite(value) else None


class PendingRequest:
    """A request from its intended time to its end."""

    __slots__ = (
        *("at_s", "call_id", "due", "ended", "limit", "link", "message", "kept_headers", "pool", "resends"),
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
        self.due = due  # intended time on the clock of the event loop
        self.size = size
        self.message = message
        self.resends = resends  # times that it may be resent if its connection closes without an answer
        self.resends_left = resends
        self.first_sent_s: float | None = None  # time of the first write to a connection
        self.sent_s: float | None = None  # time of the last write
        self.resent_s: float | None = None  # time at which a close without an answer led to a resend
        self.kept_headers: dict[bytes, bytes] = {}  # response headers named in `KEPT_HEADERS`
        self.link: Link | None = None
        self.limit: asyncio.TimerHandle | None = None
        self.ended = False

    @classmethod
    def planned(cls, pool: Pool, plan: Plan, call_id: str, at_s: float, due: float) -> PendingRequest:
        """Create the next request of a plan."""
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
    """Owner of a pool, which reports the ends of requests and connections to it."""

    connect_s: float  # timeout for opening a connection

    @property
    def after(self) -> After:
        """What to do with a connection after an answer."""

    def turns(self) -> float:
        """Return the number of requests that the next connection is kept for."""

    def spawn(self, work: Any) -> None:
        """Run a task that lasts for `connect_s` at most."""

    def connected(self, change: int) -> None:
        """Add a change to the number of open connections."""

    def resent(self, first: bool) -> None:
        """Handle a resend; `first` says whether the request was the first on its connection."""

    def stray(self) -> None:
        """Handle a connection that received unsolicited bytes."""

    def unsent(self, pending: PendingRequest) -> None:
        """Handle a request for which no connection could be opened."""

    def answered(self, pending: PendingRequest, status: int, body: bytes) -> None:
        """Handle a complete answer."""

    def end(self, pending: PendingRequest, result: Result, status: int = 0) -> None:
        """End a request."""


def give_up(owner: Owner, pending: PendingRequest) -> None:
    """Time a request out: report it as unsent if it has no connection, otherwise abort its connection."""
    link = pending.link
    if link is None:
        owner.unsent(pending)
    else:
        owner.end(pending, Result.UNANSWERED)
        link.abort()


class Link(asyncio.Protocol):
    """A connection of a client."""

    def __init__(self, pool: Pool, first: PendingRequest | None, turns: float) -> None:
        self._pool = pool
        self._turns = turns
        self._pending = first
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport
        self._body = bytearray()
        self._has_data = False  # whether any byte of the current answer has arrived
        self._is_complete = self._keeps_alive = False
        self.lost = False
        self.answered = 0

    def begin(self, pending: PendingRequest) -> None:
        """Send a request."""
        self._pending, pending.link = pending, self
        pending.sent_s = asyncio.get_running_loop().time()
        if pending.first_sent_s is None:
            pending.first_sent_s = pending.sent_s
        self._has_data = self._is_complete = False
        self._body.clear()
        self._transport.write(pending.message)

    def close(self) -> None:
        """Close it between requests."""
        self._transport.close()

    def abort(self) -> None:
        """Abort the connection without reporting its request as cut."""
        self._pending = None
        self._transport.abort()

    @property
    def is_spent(self) -> bool:
        """Whether it has answered as many requests as it is kept for."""
        return self.answered >= self._turns

    @property
    def is_busy(self) -> bool:
        """Whether a request is in flight on it."""
        return self._pending is not None

    # --- called by the loop ----------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request that the connection was opened for, unless that has ended."""
        self._transport = cast(asyncio.Transport, transport)
        first, self._pending = self._pending, None
        self._pool.connected(self)
        if first is not None and not first.ended:
            self.begin(first)
        else:
            self._pool.free(self)

    def data_received(self, data: bytes) -> None:
        """Parse bytes of an answer; abort on invalid, oversized or unsolicited ones."""
        if self._pending is None:
            self._pool.stray()
            self._transport.abort()
            return
        self._has_data = True
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._transport.abort()
            return
        if self._is_complete:
            self._answered()
        elif len(self._body) > MAX_ANSWER_BYTES:
            self._transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """Report the request in flight as cut, then the connection as closed."""
        self.lost = True
        pending, self._pending = self._pending, None
        del self._parser  # breaks a reference cycle
        # Before `gone`, so that a resend takes the place of this connection, ahead of waiting requests.
        if pending is not None:
            pending.link = None
            self._pool.cut(pending, nothing_came=not self._has_data, first=self.answered == 0)
        self._pool.gone(self)

    # --- called by the parser --------------------------------------------------

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser."""
        if self._pending is not None and not self._is_complete and (known := name.lower()) in KEPT_HEADERS:
            self._pending.kept_headers[known] = value

    def on_body(self, data: bytes) -> None:
        """Called by the parser."""
        if not self._is_complete:
            self._body += data

    def on_message_complete(self) -> None:
        """Called by the parser."""
        if self._is_complete:
            self._pool.stray()
        elif self._parser.get_status_code() >= 200:
            self._is_complete, self._keeps_alive = True, self._parser.should_keep_alive()

    def _answered(self) -> None:
        pending, self._pending = self._pending, None
        assert pending is not None
        pending.link = None
        self.answered += 1
        if not self._keeps_alive:
            self._transport.close()
        self._pool.answered(pending, self._parser.get_status_code(), bytes(self._body))
        if not self._transport.is_closing():
            self._pool.free(self)


class Pool:
    """Connections of one client: a request gets the newest free one, or a new one up to the limit."""

    def __init__(self, clients: Owner, cap: int, address: Address) -> None:
        self._clients = clients
        self._address = address
        self._cap = cap
        self._links: set[Link] = set()
        self._free: list[Link] = []
        self._waiting: deque[PendingRequest] = deque()  # bounded by the arrivals of the plan
        self._opening = 0
        self._old: set[Link] = set()  # to be replaced by new ones once they are free

    def send(self, pending: PendingRequest) -> None:
        """Send a request as soon as a connection is available."""
        while self._free:
            link = self._free.pop()
            if not link.lost:
                link.begin(pending)
                return
        if len(self._links) + self._opening < self._cap:
            self._open(pending)
        else:
            self._waiting.append(pending)

    def reconnect(self) -> None:
        """Replace all connections: idle ones now, the others once their request is answered."""
        self._old = {link for link in self._links if link.is_busy}
        idle, self._free = self._free, []
        for link in idle:
            link.close()
            self._open(None)

    def close(self) -> None:
        """Abort all connections and open no more."""
        self._cap = 0
        self._waiting.clear()
        for link in list(self._links):
            link.abort()

    # --- what links report -------------------------------------------------------

    def connected(self, link: Link) -> None:
        """Add an open connection."""
        self._links.add(link)
        self._clients.connected(+1)

    def free(self, link: Link) -> None:
        """Reuse, replace, hold or close a connection on which no request is in flight."""
        if link in self._old:
            self._old.discard(link)
            link.close()
            self._open(None)
        elif link.answered and self._clients.after != "keep":
            if self._clients.after == "close":
                link.close()
        elif link.is_spent:
            link.close()
        elif (pending := self._next()) is not None:
            link.begin(pending)
        else:
            self._free.append(link)

    def gone(self, link: Link) -> None:
        """Remove a closed connection and open one for a waiting request."""
        self._links.discard(link)
        self._old.discard(link)
        self._clients.connected(-1)
        with contextlib.suppress(ValueError):
            self._free.remove(link)
        self._open_for_waiting()

    def answered(self, pending: PendingRequest, status: int, body: bytes) -> None:
        """Report a complete answer."""
        self._clients.answered(pending, status, body)

    def cut(self, pending: PendingRequest, nothing_came: bool, first: bool) -> None:
        """Resend a request whose connection closed without a byte of its answer; otherwise end it as cut."""
        if pending.ended:
            return
        if nothing_came and pending.resends_left > 0:
            pending.resends_left -= 1
            pending.resent_s = asyncio.get_running_loop().time()
            self._clients.resent(first)
            self._open(pending)
        else:
            self._clients.end(pending, Result.CUT)

    def stray(self) -> None:
        """Report unsolicited bytes."""
        self._clients.stray()

    def _next(self) -> PendingRequest | None:
        while self._waiting:
            pending = self._waiting.popleft()
            if not pending.ended:
                return pending
        return None

    def _open_for_waiting(self) -> None:
        if len(self._links) + self._opening < self._cap and (pending := self._next()) is not None:
            self._open(pending)

    def _open(self, pending: PendingRequest | None) -> None:
        self._opening += 1
        self._clients.spawn(self._connect(pending, self._clients.turns()))

    async def _connect(self, pending: PendingRequest | None, turns: float) -> None:
        loop, (host, port) = asyncio.get_running_loop(), self._address
        try:
            async with asyncio.timeout(self._clients.connect_s):
                await loop.create_connection(lambda: Link(self, pending, turns), host, port)
        except (OSError, TimeoutError):
            if pending is not None:
                self._clients.unsent(pending)
        finally:
            self._opening -= 1
            self._open_for_waiting()


class Clients:
    """Runs all clients of a plan."""

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
        self._open: set[PendingRequest] = set()
        self._standing = 0

    async def run(self) -> Tally:
        """Send all requests of the plan and wait for their ends, which their time limits bound."""
        start = self._loop.time()
        try:
            for at_s in self.plan.arrivals():
                if (wait_s := start + at_s - self._loop.time()) > 0.0:
                    await asyncio.sleep(wait_s)
                self._ask(at_s, start + at_s)
            await asyncio.sleep(max(0.0, start + self.plan.duration_s - self._loop.time()))
            while self._open:  # each ends by the end of its grace time
                await asyncio.sleep(0.005)
        finally:
            self._close()
        return self.tally

    def reconnect(self) -> None:
        """Make all clients close their connections at once and reconnect."""
        for pool in self._pools:
            pool.reconnect()

    def _ask(self, at_s: float, due: float) -> None:
        self.tally.lag_most_ms = max(self.tally.lag_most_ms, (self._loop.time() - due) * 1000.0)
        pending = PendingRequest.planned(self._rng.choice(self._pools), self.plan, next(self._ids), at_s, due)
        limit = due + (self.plan.budget_ms + GRACE_MS) / 1000.0
        pending.limit = self._loop.call_at(limit, give_up, self, pending)
        self._open.add(pending)
        pending.pool.send(pending)

    def _close(self) -> None:
        for pending in self._open:
            if pending.limit is not None:
                pending.limit.cancel()
        for pool in self._pools:
            pool.close()
        for task in list(self._tasks):
            task.cancel()

    # --- what pools report -------------------------------------------------------

    def spawn(self, work: Any) -> None:
        """Run a task that lasts for `CONNECT_S` at most."""
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    @property
    def after(self) -> After:
        """What to do with a connection after an answer."""
        return self.plan.after

    def stray(self) -> None:
        """Count a connection that received unsolicited bytes."""
        self.tally.stray += 1

    def turns(self) -> float:
        """Return the number of requests that the next connection is kept for."""
        return self._turns.randint(*self.plan.turns) if self.plan.turns is not None else math.inf

    def connected(self, change: int) -> None:
        """Add a change to the number of open connections."""
        self._standing += change
        self.tally.connections += max(0, change)
        self.tally.connections_most = max(self.tally.connections_most, self._standing)

    def resent(self, first: bool) -> None:
        """Count a resend; `first` says whether the request was the first on its connection."""
        if first:
            self.tally.resent_new += 1
        else:
            self.tally.resent_kept += 1

    def unsent(self, pending: PendingRequest) -> None:
        """End a request without a connection: as unsent, or as cut if it is a resend."""
        self.end(pending, Result.UNSENT if pending.resends_left == pending.resends else Result.CUT)

    def answered(self, pending: PendingRequest, status: int, body: bytes) -> None:
        """End a request by its complete answer."""
        in_time = (self._loop.time() - pending.due) * 1000.0 <= self.plan.budget_ms
        if status in (429, 503):
            result = Result.REFUSED
        elif status != 200:
            result = Result.FAILED
        elif body != body_for(pending.call_id, pending.size):
            result = Result.MIXED_UP
        else:
            result = Result.SERVED if in_time else Result.LATE
        self.end(pending, result, status)

    def end(self, pending: PendingRequest, result: Result, status: int = 0) -> None:
        """Record the result of a request, once."""
        if pending.ended:
            return
        pending.ended = True
        self._open.discard(pending)
        if pending.limit is not None:
            pending.limit.cancel()
        if pending.at_s < self.plan.skip_s:
            return
        if status:
            self.tally.statuses[status] += 1
        latency_ms = (self._loop.time() - pending.due) * 1000.0
        self.tally.records.append(Record(pending.at_s, result, latency_ms, status))


# --- one exchange, byte for byte --------------------------------------------------


@dataclass(frozen=True, slots=True)
class Raw:
    """Answer to raw bytes.

    `status` is 0 if no complete answer came; `ended` says whether the connection failed or was closed first.
    """

    status: int
    body: bytes
    took_ms: float
    ended: bool


async def ask_raw(address: Address, data: bytes, within_s: float) -> Raw:
    """Connect, write bytes and read one answer; failures are returned as a `Raw` and not raised."""
    loop = asyncio.get_running_loop()
    start, status, body, ended = loop.time(), 0, b"", False
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(within_s):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(data)
            status, body = await read_answer(reader)
    except (TimeoutError, ValueError, asyncio.LimitOverrunError):
        pass  # before OSError, whose subclass TimeoutError is: a timeout is no close
    except (OSError, EOFError):
        ended = True
    finally:
        if writer is not None:
            writer.transport.abort()
    return Raw(status, body, (loop.time() - start) * 1000.0, ended)


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, bytes]:
    """Read one answer with a Content-Length.

    Raises:
        EOFError or OSError: If the connection ends before the answer is complete.
        ValueError: If the answer is malformed or larger than `MAX_ANSWER_BYTES`.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    status_line, *rows = head[:-4].split("\r\n")
    headers = {name.strip().lower(): value.strip() for name, _, value in (row.partition(":") for row in rows)}
    size = int(headers.get("content-length", "0"))
    if size > MAX_ANSWER_BYTES:
        raise ValueError(f"an answer may have {MAX_ANSWER_BYTES} bytes, got Content-Length {size}")
    return int(status_line.split(" ")[1]), await reader.readexactly(size)
