"""One port server as a pure model: events and the clock's milliseconds in, values out.

A request holds a slot from when it gets one to its end: first it needs a core for its work, then it waits
on others for its `io_ms`. Requests wait for a slot in a bounded queue, and for a core in their order. Nothing
here knows sockets or reads a clock, and nothing is drawn: the same events give the same values.
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

REPEAT_SHARE = 0.05  # of its work, for a repeat whose first is done: the answer is still at hand
PRESSURE_MOST = 20_000  # arrivals that are kept to tell whether a cold server is overdriven


@dataclass(frozen=True, slots=True)
class Make:
    """What a port server is. Work is in milliseconds of a core of speed 1."""

    cores: int = 1
    speed: float = 1.0
    slots: int = 16  # requests at work at a time
    queue: int = 300  # requests that wait for a slot; past it they are turned away
    connections: int = 1000
    handshake_ms: float = 1.0  # work that a new connection costs
    probe_ms: float = 1.0  # work that a probe costs
    cold_from: float = 0.31  # share of its capacity when it has just started
    warm_up_ms: float = 7800.0  # from then to all of it
    fall_multiple: float = 3.0  # sent more than that, times its present capacity,
    overload_ms: float = 2000.0  # in so long, it falls over while it is cold
    key_saving: float = 0.0  # share of the work that a key met lately saves
    key_memory_ms: float = 8000.0
    keys: int = 400  # that it remembers
    choke_at: int = 0  # requests waiting for each core that choke it; 0: it never chokes
    choke_after_ms: float = 2000.0  # when so many wait for so long
    choke_times: float = 2.5  # it is so many times slower,
    choke_rest_ms: float = 3000.0  # until it has been idle for so long
    report: tuple[str, ...] = ()  # of inflight, queue and util, in its answers

    def __post_init__(self) -> None:
        """`ValueError` names the first senseless figure."""
        for name in ("cores", "slots", "connections", "keys"):
            if getattr(self, name) < 1:
                raise ValueError(f"{name}: {getattr(self, name)}")
        for name in ("speed", "cold_from", "fall_multiple", "overload_ms", "choke_times"):
            if not 0.0 < getattr(self, name) < math.inf:
                raise ValueError(f"{name}: {getattr(self, name)}")
        if self.cold_from > 1.0 or not 0.0 <= self.key_saving < 1.0:
            raise ValueError("cold_from is a share, and so is key_saving")
        if min(self.queue, self.choke_at, self.handshake_ms, self.probe_ms, self.warm_up_ms) < 0:
            raise ValueError("no figure is negative")
        if not set(self.report) <= {"inflight", "queue", "util"}:
            raise ValueError(f"report: {self.report}")

    def share(self, age_ms: float, cold: bool = True) -> float:
        """The share of its capacity that it has so long after its start."""
        if not cold or age_ms >= self.warm_up_ms:
            return 1.0
        return self.cold_from + (1.0 - self.cold_from) * max(0.0, age_ms) / self.warm_up_ms

    def budget_ms(self, age_ms: float) -> float:
        """The work that may be sent to it in `overload_ms` up to that age without its falling over."""
        return self.fall_multiple * self.cores * self.speed * self.share(age_ms) * self.overload_ms


class Repeats:
    """What the servers of one data centre remember together: keys whose work is under way or was done."""

    def __init__(self, window_ms: float, most: int = 20_000) -> None:
        self._window_ms = window_ms
        self._most = most
        self._met: OrderedDict[str, tuple[float, bool]] = OrderedDict()

    @property
    def size(self) -> int:
        """How many keys it holds."""
        return len(self._met)

    def met(self, token: str, now_ms: float) -> Literal["", "running", "done"]:
        """What is known of a key: nothing, or that its work is under way or done within the window."""
        at_ms, done = self._met.get(token, (-math.inf, False))
        if now_ms - at_ms > self._window_ms:
            return ""
        return "done" if done else "running"

    def begin(self, token: str, now_ms: float) -> None:
        """Its work begins: the window counts from here."""
        self._met.pop(token, None)
        self._met[token] = (now_ms, False)
        while len(self._met) > self._most:
            self._met.popitem(last=False)

    def finish(self, token: str) -> None:
        """Its work is done."""
        if token in self._met:
            self._met[token] = (self._met[token][0], True)

    def forget(self, token: str) -> None:
        """Its work was given up: the next one is no repeat."""
        if token in self._met and not self._met[token][1]:
            del self._met[token]


@dataclass(slots=True, eq=False)
class Job:
    """One request, handshake or probe at a server."""

    work_ms: float
    io_ms: float = 0.0
    key: str = ""  # what it is about: a key met lately costs less
    token: str = ""  # by which its repeats are dropped; empty where they are not
    over_ms: float = math.inf  # when its caller stops waiting
    holds_slot: bool = True
    state: State = "new"
    repeat: bool = False  # its effect was dropped
    first: bool = False  # it is the one that the group's memory holds
    began_ms: float | None = None  # when it got a core
    finish_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Ended:
    """A job that has come to its end at a time: done, or never begun since its caller waits no more."""

    job: Job
    end: End
    at_ms: float


@dataclass(slots=True)
class Choke:
    """Whether a server is choked: it turns slow when crowded, and recovers once it has been idle."""

    make: Make
    on: bool = False
    since_ms: float | None = None  # crowded, or idle where it is choked already

    def look(self, now_ms: float, waiting: int, in_hand: int) -> None:
        """Take what waits for a core or a slot and what is in hand at a time."""
        if not self.make.choke_at:
            return
        crowded = waiting > self.make.choke_at * self.make.cores
        stirring = in_hand == 0 if self.on else crowded
        if not stirring:
            self.since_ms = None
        elif self.since_ms is None:
            self.since_ms = now_ms
        elif now_ms - self.since_ms >= (self.make.choke_rest_ms if self.on else self.make.choke_after_ms):
            self.on, self.since_ms = not self.on, None


@dataclass(slots=True)
class Pressure:
    """What a server was sent in the last while, in milliseconds of work."""

    span_ms: float
    total_ms: float = 0.0
    _sent: deque[tuple[float, float]] = field(default_factory=deque)

    def add(self, now_ms: float, work_ms: float) -> float:
        """One more arrival; all that came in the span up to now, this one included."""
        self._sent.append((now_ms, work_ms))
        self.total_ms += work_ms
        while self._sent and (self._sent[0][0] <= now_ms - self.span_ms or len(self._sent) > PRESSURE_MOST):
            self.total_ms -= self._sent.popleft()[1]
        return self.total_ms


class Machine:
    """A port server between its start and its end. Times are milliseconds of one clock, and never go back."""

    def __init__(self, make: Make, repeats: Repeats, start_ms: float, cold: bool = True) -> None:
        self.make = make
        self.start_ms = start_ms
        self.cold = cold
        self.draining = False
        self.fallen_ms: float | None = None  # when it fell over
        self.connections = 0
        self.in_hand = 0  # requests, waiting ones included
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
        self._stalled_ms = -math.inf  # it stands still until then

    # --- events ------------------------------------------------------------------

    def connect(self, now_ms: float) -> bool:
        """A new connection, which costs it work; False past the cap: requests on it are turned away."""
        self.connections += 1
        if self.fallen_ms is not None or self.connections > self.make.connections:
            return False
        self._ready.append(Job(self.make.handshake_ms, holds_slot=False, state="ready"))
        self._fill(now_ms)
        return True

    def disconnect(self) -> None:
        """A connection is gone."""
        self.connections -= 1

    def probe(self, now_ms: float) -> Job | None:
        """A probe that costs it work and no slot; None where it is down or draining."""
        if self.fallen_ms is not None or self.draining:
            return None
        job = Job(self.make.probe_ms, holds_slot=False, state="ready")
        self._ready.append(job)
        self._fill(now_ms)
        return job

    def offer(self, now_ms: float, job: Job, capped: bool = False) -> Refusal:
        """A request whose last byte has come; why it is turned away, or nothing where it is taken.

        `capped`: it came on a connection past the cap.
        """
        self._look(now_ms)
        self._press(now_ms, job.work_ms)
        refusal = self._refusal(now_ms, job, capped)
        if refusal:
            job.state = "gone"
            return refusal
        self.in_hand += 1
        job.state = "waiting"
        self._waiting.append(job)
        self._fill(now_ms)
        return ""

    def cancel(self, now_ms: float, job: Job) -> None:
        """Its connection is closed: work on it stops, and no end of it is told."""
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
        self.in_hand -= job.holds_slot
        self._fill(now_ms)

    def stall(self, now_ms: float, for_ms: float) -> None:
        """Stand still for so long: nothing goes on and nothing begins."""
        until_ms = max(self._stalled_ms, now_ms + for_ms)
        added = until_ms - max(self._stalled_ms, now_ms)
        for job in self._running:
            job.finish_ms += added
        self._stalled_ms = until_ms

    def advance(self, now_ms: float) -> list[Ended]:
        """All that has come to its end up to now, in order."""
        ended: list[Ended] = []
        while (at_ms := self.next_ms()) is not None and at_ms <= now_ms:
            self._step(at_ms, ended)
        return ended

    # --- values --------------------------------------------------------------------

    def next_ms(self) -> float | None:
        """When something happens next if no event comes; None where nothing will."""
        times = [job.finish_ms for job in self._running]
        while self._io and self._io[0][2].state != "io":
            heapq.heappop(self._io)
        times += [self._io[0][0]] if self._io else []
        if self._ready and len(self._running) < self.make.cores:
            times.append(self._stalled_ms)
        return max(min(times), self._stalled_ms) if times else None

    def answers_from_ms(self, now_ms: float) -> float:
        """When an answer that is due now can leave: not while it stands still."""
        return max(now_ms, self._stalled_ms)

    def share(self, now_ms: float) -> float:
        """The share of its capacity that it has."""
        return self.make.share(now_ms - self.start_ms, self.cold)

    @property
    def choked(self) -> bool:
        """Whether it is slow since it was crowded."""
        return self._choke.on

    def report(self) -> dict[str, float]:
        """Its load, in the fields that its answers carry."""
        whole = {
            "inflight": float(self.in_hand),
            "queue": float(len(self._waiting)),
            "util": len(self._running) / self.make.cores,
        }
        return {name: whole[name] for name in self.make.report}

    # --- inside ----------------------------------------------------------------------

    def _refusal(self, now_ms: float, job: Job, capped: bool) -> Refusal:
        if self.fallen_ms is not None:
            return "down"
        if self.draining:
            return "draining"
        if capped:
            return "connections"
        if job.over_ms <= now_ms:
            return "over"
        return "full" if len(self._waiting) >= self.make.queue else ""

    def _look(self, now_ms: float) -> None:
        self._choke.look(now_ms, len(self._waiting) + len(self._ready), self.in_hand)

    def _press(self, now_ms: float, work_ms: float) -> None:
        """All work that reaches it counts, also what it turns away."""
        total_ms, age_ms = self._pressure.add(now_ms, work_ms), now_ms - self.start_ms
        is_cold = self.cold and age_ms < self.make.warm_up_ms
        if is_cold and self.fallen_ms is None and total_ms > self.make.budget_ms(age_ms):
            self.fallen_ms = now_ms
            for job in (*self._waiting, *self._ready, *self._running, *(job for _, _, job in self._io)):
                if job.first and job.state != "done":
                    self._repeats.forget(job.token)
                job.state = "gone"
            for part in (self._waiting, self._ready, self._running, self._io):
                part.clear()

    def _step(self, now_ms: float, ended: list[Ended]) -> None:
        for job in [job for job in self._running if job.finish_ms <= now_ms]:
            self._running.remove(job)
            job.state = "io"
            heapq.heappush(self._io, (now_ms + job.io_ms, next(self._order), job))
        while self._io and self._io[0][0] <= now_ms:
            job = heapq.heappop(self._io)[2]
            if job.state == "io":
                self._end(job, "done", now_ms, ended)
        self._fill(now_ms, ended)

    def _end(self, job: Job, end: End, now_ms: float, ended: list[Ended]) -> None:
        job.state = "done"
        if job.holds_slot:
            self._slots += 1
            self.in_hand -= 1
        if job.first:
            self._repeats.finish(job.token)
        ended.append(Ended(job, end, now_ms))

    def _fill(self, now_ms: float, ended: list[Ended] | None = None) -> None:
        """Slots to what waits for them, and cores. What is over is noted only where ends are taken."""
        self._look(now_ms)
        going = True
        while going:
            while self._slots and self._waiting:
                job = self._waiting.popleft()
                job.state = "ready"
                self._slots -= 1
                self._ready.append(job)
            going = self._start(now_ms, ended)

    def _start(self, now_ms: float, ended: list[Ended] | None) -> bool:
        """Give a core to the next job; False where there is none to give or to take."""
        if not self._ready or len(self._running) >= self.make.cores or now_ms < self._stalled_ms:
            return False
        if self._ready[0].over_ms <= now_ms:
            if ended is None:
                return False  # `advance` takes it: it is due now
            self._end(self._ready.popleft(), "over", now_ms, ended)
            return True
        job = self._ready.popleft()
        slower = self.make.choke_times if self._choke.on else 1.0
        rate = self.make.speed * self.share(now_ms) / slower
        job.state, job.began_ms = "running", now_ms
        job.finish_ms = now_ms + self._work_ms(job, now_ms) / rate
        self._running.append(job)
        return True

    def _work_ms(self, job: Job, now_ms: float) -> float:
        """Its work, less for a key met lately and for a repeat. What it meets it remembers."""
        work_ms = job.work_ms
        if job.key:
            if now_ms - self._keys.pop(job.key, -math.inf) <= self.make.key_memory_ms:
                work_ms *= 1.0 - self.make.key_saving
            self._keys[job.key] = now_ms
            while len(self._keys) > self.make.keys:
                self._keys.popitem(last=False)
        if job.token:
            met = self._repeats.met(job.token, now_ms)
            job.repeat, job.first = bool(met), not met
            if met == "done":
                work_ms, job.io_ms = work_ms * REPEAT_SHARE, 0.0
            elif not met:
                self._repeats.begin(job.token, now_ms)
        return work_ms
