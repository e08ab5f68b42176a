"""Deterministic model of one port server.

Callers pass events with the current time in milliseconds and get values back. A request holds a slot from
admission to completion: it first needs a core for its work, then waits on other systems for its `io_ms`.
Requests wait for a slot in a bounded queue, and for a core in the order of arrival. The model opens no
sockets, reads no clock and draws no random numbers: the same events give the same values.
"""

from __future__ import annotations

import heapq
import itertools
import math
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from typing import Literal

State = Literal["new", "waiting", "ready", "running", "io", "done", "gone"]
Refusal = Literal["", "full", "draining", "connections", "over", "down"]
End = Literal["done", "over"]

REPEAT_WORK_SHARE = 0.05  # share of its work that a repeat of a completed request costs: its answer is stored
MAX_RECENT_ARRIVALS = 20_000  # arrivals kept to decide whether a cold server is overloaded


@dataclass(frozen=True, slots=True)
class Make:
    """Properties of a port server. Work is in milliseconds of a core of speed 1."""

    cores: int = 1
    speed: float = 1.0
    slots: int = 16  # requests processed concurrently
    queue: int = 300  # requests that may wait for a slot; further ones are rejected
    connections: int = 1000
    handshake_ms: float = 1.0  # work per new connection
    probe_ms: float = 1.0  # work per health probe
    cold_from: float = 0.31  # share of the full capacity right after the start
    warm_up_ms: float = 7800.0  # time from the start to full capacity
    fall_multiple: float = (
        3.0  # a cold server fails if it is sent more than this multiple of its current capacity
    )
    overload_ms: float = 2000.0  # within this time
    key_saving: float = 0.0  # share of the work saved for a recently used key
    key_memory_ms: float = 8000.0  # time for which a used key counts as recent
    keys: int = 400  # recent keys that are remembered
    choke_at: int = 0  # waiting requests per core above which the server chokes; 0 disables choking
    choke_after_ms: float = 2000.0  # time for which so many must wait before it chokes
    choke_times: float = 2.5  # slowdown factor of a choked server
    choke_rest_ms: float = 3000.0  # idle time after which it recovers
    report: tuple[str, ...] = ()  # fields of its load reports: any of inflight, queue and util

    def __post_init__(self) -> None:
        """Check the fields.

        Raises:
            ValueError: If a field is out of range.
        """
        for name in ("cores", "slots", "connections", "keys"):
            if getattr(self, name) < 1:
                raise ValueError(f"{name} must be at least 1, got {getattr(self, name)}")
        for name in ("speed", "cold_from", "fall_multiple", "overload_ms", "choke_times"):
            if not 0.0 < getattr(self, name) < math.inf:
                raise ValueError(f"{name} must be positive and finite, got {getattr(self, name)}")
        if self.cold_from > 1.0 or not 0.0 <= self.key_saving < 1.0:
            raise ValueError("cold_from must be in (0, 1] and key_saving in [0, 1)")
        if min(self.queue, self.choke_at, self.handshake_ms, self.probe_ms, self.warm_up_ms) < 0:
            raise ValueError("queue, choke_at, handshake_ms, probe_ms and warm_up_ms must not be negative")
        if not set(self.report) <= {"inflight", "queue", "util"}:
            raise ValueError(f"report may contain inflight, queue and util, got {self.report}")

    def share(self, age_ms: float, cold: bool = True) -> float:
        """Return the share of its full capacity that a server has `age_ms` after its start."""
        if not cold or age_ms >= self.warm_up_ms:
            return 1.0
        return self.cold_from + (1.0 - self.cold_from) * max(0.0, age_ms) / self.warm_up_ms

    def budget_ms(self, age_ms: float) -> float:
        """Return the work in milliseconds that a server of that age survives within `overload_ms`."""
        return self.fall_multiple * self.cores * self.speed * self.share(age_ms) * self.overload_ms


class Repeats:
    """Idempotency keys of running and completed work, shared by the servers of one data centre."""

    def __init__(self, window_ms: float, max_keys: int = 20_000) -> None:
        self._window_ms = window_ms
        self._max_keys = max_keys
        self._states: OrderedDict[str, tuple[float, bool]] = OrderedDict()

    @property
    def size(self) -> int:
        """The number of stored keys."""
        return len(self._states)

    def state_of(self, token: str, now_ms: float) -> Literal["", "running", "done"]:
        """Return the state of the work under a key, or "" if none began within the window."""
        at_ms, done = self._states.get(token, (-math.inf, False))
        if now_ms - at_ms > self._window_ms:
            return ""
        return "done" if done else "running"

    def begin(self, token: str, now_ms: float) -> None:
        """Record that the work under a key begins; its window starts now."""
        self._states.pop(token, None)
        self._states[token] = (now_ms, False)
        while len(self._states) > self._max_keys:
            self._states.popitem(last=False)

    def finish(self, token: str) -> None:
        """Record that the work under a key is complete."""
        if token in self._states:
            self._states[token] = (self._states[token][0], True)

    def forget(self, token: str) -> None:
        """Remove the key of cancelled work, so that the next request under it is no repeat."""
        if token in self._states and not self._states[token][1]:
            del self._states[token]


@dataclass(slots=True, eq=False)
class Job:
    """One request, handshake or probe at a server."""

    work_ms: float
    io_ms: float = 0.0
    key: str = ""  # resource that it concerns: a recently used key costs less work
    token: str = ""  # idempotency key; empty if repeats are not detected
    deadline_ms: float = math.inf  # time at which its caller stops waiting
    holds_slot: bool = True
    state: State = "new"
    repeat: bool = False  # it had no effect since other work under its token ran
    first: bool = False  # `Repeats` stores its token for this job
    began_ms: float | None = None  # time at which it got a core
    finish_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Ended:
    """End of a job: done, or "over" if its deadline passed before it began."""

    job: Job
    end: End
    at_ms: float


@dataclass(slots=True)
class Choke:
    """Tracks whether a server is choked: overload slows it down until it has been idle for a while."""

    make: Make
    on: bool = False
    since_ms: float | None = None  # start of the current overload or, if choked, of the current idle time

    def update(self, now_ms: float, waiting: int, in_flight: int) -> None:
        """Update the state.

        Args:
            now_ms: Current time in milliseconds.
            waiting: Jobs that wait for a slot or a core.
            in_flight: Requests in flight, waiting ones included.
        """
        if not self.make.choke_at:
            return
        is_overloaded = waiting > self.make.choke_at * self.make.cores
        is_due_to_change = in_flight == 0 if self.on else is_overloaded
        if not is_due_to_change:
            self.since_ms = None
        elif self.since_ms is None:
            self.since_ms = now_ms
        elif now_ms - self.since_ms >= (self.make.choke_rest_ms if self.on else self.make.choke_after_ms):
            self.on, self.since_ms = not self.on, None


@dataclass(slots=True)
class Pressure:
    """Sliding window over the work sent to a server, in milliseconds of work."""

    span_ms: float
    total_ms: float = 0.0
    _sent: deque[tuple[float, float]] = field(default_factory=deque)

    def add(self, now_ms: float, work_ms: float) -> float:
        """Add an arrival and return the work within the span up to now, this arrival included."""
        self._sent.append((now_ms, work_ms))
        self.total_ms += work_ms
        while self._sent and (
            self._sent[0][0] <= now_ms - self.span_ms or len(self._sent) > MAX_RECENT_ARRIVALS
        ):
            self.total_ms -= self._sent.popleft()[1]
        return self.total_ms


class Machine:
    """A running port server. Times are milliseconds of one monotonic clock."""

    def __init__(self, make: Make, repeats: Repeats, start_ms: float, cold: bool = True) -> None:
        self.make = make
        self.start_ms = start_ms
        self.cold = cold
        self.draining = False
        self.fallen_ms: float | None = None  # time at which overload made it fail
        self.connections = 0
        self.in_flight = 0  # requests, waiting ones included
        self._repeats = repeats
        self._choke = Choke(make)
        self._pressure = Pressure(make.overload_ms)
        self._waiting: deque[Job] = deque()  # for a slot
        self._ready: deque[Job] = deque()  # for a core
        self._running: list[Job] = []
        self._io: list[tuple[float, int, Job]] = []
        self._order = itertools.count()
        self._slots = make.slots
        self._keys: OrderedDict[str, float] = OrderedDict()
        self._stalled_ms = -math.inf  # end of the current pause

    # --- events ------------------------------------------------------------------

    def connect(self, now_ms: float) -> bool:
        """Open a connection, which costs handshake work.

        Returns:
            False if the server is down or has reached its limit of connections. Requests on such a connection
            are rejected.
        """
        self.connections += 1
        if self.fallen_ms is not None or self.connections > self.make.connections:
            return False
        self._ready.append(Job(self.make.handshake_ms, holds_slot=False, state="ready"))
        self._assign(now_ms)
        return True

    def disconnect(self) -> None:
        """Count a connection as closed."""
        self.connections -= 1

    def probe(self, now_ms: float) -> Job | None:
        """Begin a health probe, which needs no slot; return None if the server is down or draining."""
        if self.fallen_ms is not None or self.draining:
            return None
        job = Job(self.make.probe_ms, holds_slot=False, state="ready")
        self._ready.append(job)
        self._assign(now_ms)
        return job

    def offer(self, now_ms: float, job: Job, capped: bool = False) -> Refusal:
        """Accept or reject a request whose last byte has arrived.

        Args:
            now_ms: Current time in milliseconds.
            job: The request.
            capped: Whether it came on a connection beyond the limit.

        Returns:
            The reason for a rejection, or "" if the request was accepted.
        """
        self._update_choke(now_ms)
        self._add_pressure(now_ms, job.work_ms)
        refusal = self._refusal(now_ms, job, capped)
        if refusal:
            job.state = "gone"
            return refusal
        self.in_flight += 1
        job.state = "waiting"
        self._waiting.append(job)
        self._assign(now_ms)
        return ""

    def cancel(self, now_ms: float, job: Job) -> None:
        """Cancel a job whose connection was closed; `advance` does not return it."""
        if job.state in ("new", "done", "gone"):
            return
        if job.state == "waiting":
            self._waiting.remove(job)
        else:
            if job.state == "ready":
                self._ready.remove(job)
            elif job.state == "running":
                self._running.remove(job)
            if job.holds_slot:
                self._slots += 1
        if job.first:
            self._repeats.forget(job.token)
        job.state = "gone"
        self.in_flight -= job.holds_slot
        self._assign(now_ms)

    def stall(self, now_ms: float, for_ms: float) -> None:
        """Pause the server for `for_ms`: running work makes no progress and no work begins."""
        until_ms = max(self._stalled_ms, now_ms + for_ms)
        added_ms = until_ms - max(self._stalled_ms, now_ms)
        for job in self._running:
            job.finish_ms += added_ms
        self._stalled_ms = until_ms

    def advance(self, now_ms: float) -> list[Ended]:
        """Advance to a time and return the jobs that have ended, in order."""
        ended: list[Ended] = []
        while (at_ms := self.next_ms()) is not None and at_ms <= now_ms:
            self._step(at_ms, ended)
        return ended

    # --- values --------------------------------------------------------------------

    def next_ms(self) -> float | None:
        """Return the time of the next internal event, or None if there is none."""
        times = [job.finish_ms for job in self._running]
        while self._io and self._io[0][2].state != "io":
            heapq.heappop(self._io)
        times += [self._io[0][0]] if self._io else []
        if self._ready and len(self._running) < self.make.cores:
            times.append(self._stalled_ms)
        return max(min(times), self._stalled_ms) if times else None

    def answers_from_ms(self, now_ms: float) -> float:
        """Return when an answer due now can be sent: now, or the end of the current pause."""
        return max(now_ms, self._stalled_ms)

    def share(self, now_ms: float) -> float:
        """Return the share of its full capacity that the server has."""
        return self.make.share(now_ms - self.start_ms, self.cold)

    @property
    def choked(self) -> bool:
        """Whether overload has slowed the server down."""
        return self._choke.on

    def report(self) -> dict[str, float]:
        """Return the fields of its load report."""
        all_fields = {
            "inflight": float(self.in_flight),
            "queue": float(len(self._waiting)),
            "util": len(self._running) / self.make.cores,
        }
        return {name: all_fields[name] for name in self.make.report}

    # --- inside ----------------------------------------------------------------------

    def _refusal(self, now_ms: float, job: Job, capped: bool) -> Refusal:
        if self.fallen_ms is not None:
            return "down"
        if self.draining:
            return "draining"
        if capped:
            return "connections"
        if job.deadline_ms <= now_ms:
            return "over"
        return "full" if len(self._waiting) >= self.make.queue else ""

    def _update_choke(self, now_ms: float) -> None:
        self._choke.update(now_ms, len(self._waiting) + len(self._ready), self.in_flight)

    def _add_pressure(self, now_ms: float, work_ms: float) -> None:
        """Count arriving work, also of rejected requests, and fail if a cold server gets too much."""
        total_ms, age_ms = self._pressure.add(now_ms, work_ms), now_ms - self.start_ms
        is_cold = self.cold and age_ms < self.make.warm_up_ms
        if is_cold and self.fallen_ms is None and total_ms > self.make.budget_ms(age_ms):
            self.fallen_ms = now_ms
            for job in (*self._waiting, *self._ready, *self._running, *(job for _, _, job in self._io)):
                if job.first and job.state != "done":
                    self._repeats.forget(job.token)
                job.state = "gone"
            for jobs in (self._waiting, self._ready, self._running, self._io):
                jobs.clear()

    def _step(self, now_ms: float, ended: list[Ended]) -> None:
        for job in [job for job in self._running if job.finish_ms <= now_ms]:
            self._running.remove(job)
            job.state = "io"
            heapq.heappush(self._io, (now_ms + job.io_ms, next(self._order), job))
        while self._io and self._io[0][0] <= now_ms:
            job = heapq.heappop(self._io)[2]
            if job.state == "io":
                self._end(job, "done", now_ms, ended)
        self._assign(now_ms, ended)

    def _end(self, job: Job, end: End, now_ms: float, ended: list[Ended]) -> None:
        job.state = "done"
        if job.holds_slot:
            self._slots += 1
            self.in_flight -= 1
        if job.first:
            self._repeats.finish(job.token)
        ended.append(Ended(job, end, now_ms))

    def _assign(self, now_ms: float, ended: list[Ended] | None = None) -> None:
        """Assign slots and cores to waiting jobs; end jobs past their deadline only if `ended` is given."""
        self._update_choke(now_ms)
        has_started = True
        while has_started:
            while self._slots and self._waiting:
                job = self._waiting.popleft()
                job.state = "ready"
                self._slots -= 1
                self._ready.append(job)
            has_started = self._start(now_ms, ended)

    def _start(self, now_ms: float, ended: list[Ended] | None) -> bool:
        """Assign a core to the next job; return False if no core or no job is available."""
        if not self._ready or len(self._running) >= self.make.cores or now_ms < self._stalled_ms:
            return False
        if self._ready[0].deadline_ms <= now_ms:
            if ended is None:
                return False  # the next `advance` ends it
            self._end(self._ready.popleft(), "over", now_ms, ended)
            return True
        job = self._ready.popleft()
        slowdown = self.make.choke_times if self._choke.on else 1.0
        rate = self.make.speed * self.share(now_ms) / slowdown
        job.state, job.began_ms = "running", now_ms
        job.finish_ms = now_ms + self._work_ms(job, now_ms) / rate
        self._running.append(job)
        return True

    def _work_ms(self, job: Job, now_ms: float) -> float:
        """Return the work of a job, less for a recent key or a repeat, and remember its key and token."""
        work_ms = job.work_ms
        if job.key:
            if now_ms - self._keys.pop(job.key, -math.inf) <= self.make.key_memory_ms:
                work_ms *= 1.0 - self.make.key_saving
            self._keys[job.key] = now_ms
            while len(self._keys) > self.make.keys:
                self._keys.popitem(last=False)
        if job.token:
            state = self._repeats.state_of(job.token, now_ms)
            job.repeat, job.first = bool(state), not state
            if state == "done":
                work_ms, job.io_ms = work_ms * REPEAT_WORK_SHARE, 0.0
            elif not state:
                self._repeats.begin(job.token, now_ms)
        return work_ms
