"""One worker: sends its part of a schedule at the intended times, whatever is still open.

One thread with an epoll of its own. It sleeps until `spin_ms` before the next request is due and spins
from there, reading answers meanwhile: a loop's timers round to a millisecond. Requests are made ready ahead,
and nothing is logged, resolved or collected while it runs; samples leave by a pipe that never blocks it.
"""

from __future__ import annotations

import gc
import heapq
import json
import os
import random
import resource
import select
import time
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import islice
from typing import Any

from fordtrestle.load.client import SHORTAGES, Came, Connection
from fordtrestle.load.mix import Request
from fordtrestle.load.samples import FAILURE, FRAME, READY, RECORD, SAMPLES, SUMMARY, Outcome
from fordtrestle.load.schedule import Schedule
from fordtrestle.load.wire import Form, Words

CHORE_NS = 80_000  # what must be left before the next request for work that can wait
REST_NS = 20_000_000  # the longest sleep
FLUSH_NS = 50_000_000
READY_MOST = 512  # requests made ready ahead
AT_A_TURN = 32  # sends, and events, before the other is looked at
OUT_MOST = 64 * 1024 * 1024  # bytes of samples that wait for a reader
WRITE = 65_536
STALE_MOST = 4096  # timers of what has ended, before they are swept out
FAR = 2**62
COUNTS = ("connections", "connections_most", "open_most", "resent", "crossed", "stray", "retries_not_sent")

clock = time.monotonic_ns


@dataclass(frozen=True, slots=True)
class Job:
    """What one worker of several does; the target is resolved, the caps are its own part."""

    schedule: Schedule
    number: int
    workers: int
    family: int
    address: tuple[Any, ...]
    open_most: int
    connections_most: int

    def requests(self) -> Iterator[Request]:
        """Its part: every so many-th request."""
        return islice(self.schedule.requests(), self.number, None, self.workers)


class Asked:
    """One request with all its tries."""

    __slots__ = (
        *("at_us", "budget_ns", "due", "kind", "lag", "last", "limit", "message", "out", "over"),
        *("status", "tenant", "tries", "waiting", "words"),
    )

    def __init__(self, request: Request, kind: int, tenant: int, words: Words) -> None:
        self.at_us = request.at_us
        self.kind = kind
        self.tenant = tenant
        self.words = words
        self.budget_ns = request.budget_us * 1000
        self.due = self.limit = 0  # set with the start of the run
        self.message = b""
        self.lag = 0
        self.last = 0  # when its last try was sent
        self.status = 0
        self.tries = 0
        self.out = 0  # tries that are waited for
        self.waiting = False  # for the time of a retry
        self.over = False


class Try:
    """One try of a request, out on a connection."""

    __slots__ = ("asked", "connection", "ended", "given_up", "message", "resent", "sent")

    def __init__(self, asked: Asked, message: bytes, now: int) -> None:
        self.asked = asked
        self.message = message
        self.sent = now
        self.connection: Connection | None = None
        self.resent = False
        self.given_up = False  # a retry has taken its place, and it is listened to
        self.ended = False


class Outbox:
    """Samples on their way to the reader of the pipe; what it does not take is counted, never waited for."""

    def __init__(self, pipe: int) -> None:
        self._pipe = pipe
        self._batch = bytearray()
        self._out = bytearray()
        self._flushed = 0
        self.lost = 0
        os.set_blocking(pipe, False)

    def put(self, *figures: int) -> None:
        """One more sample."""
        self._batch += RECORD.pack(*figures)

    def due(self, now: int) -> bool:
        """Whether it is time to hand on what there is."""
        return bool(self._out) or (bool(self._batch) and now - self._flushed >= FLUSH_NS)

    def flush(self, now: int) -> None:
        """Hand on what the pipe takes."""
        self._flushed = now
        if self._batch:
            if len(self._out) > OUT_MOST:
                self.lost += len(self._batch) // RECORD.size
            else:
                self._out += FRAME.pack(SAMPLES, len(self._batch)) + self._batch
            self._batch.clear()
        try:
            del self._out[: os.write(self._pipe, self._out[:WRITE])]
        except BlockingIOError:
            return

    def end(self, what: bytes, body: bytes) -> None:
        """The last frame; waits for the reader."""
        self.flush(0)
        os.set_blocking(self._pipe, True)
        left = memoryview(bytes(self._out) + FRAME.pack(what, len(body)) + body)
        while left:
            left = left[os.write(self._pipe, left) :]


class Worker:
    """The state of a run in one process; `run` is all of it."""

    def __init__(self, job: Job, outbox: Outbox, control: int) -> None:
        spec = job.schedule.spec
        self._job = job
        self._outbox = outbox
        self._control = control
        self._retries = spec.retries
        self._semantics = [c.semantics for c in spec.classes]
        self._heads = [Form(c.name, c.semantics, c.path, spec.host).head() for c in spec.classes]
        self._kinds = {c.name: place for place, c in enumerate(spec.classes)}
        self._tenants = {name: place for place, name in enumerate(job.schedule.tenants)}
        self._grace_ns = round(spec.grace_ms * 1e6)
        # The kernel's sleep ends up to 0.1 ms late, and a virtual machine's core that sleeps may be given to
        # others: its wake-ups come ms late where a core that spins is hardly ever taken away.
        self._spin_ns = round(spec.spin_ms * 1e6)
        self._share = spec.retries.try_share if spec.retries.most else 1.0
        # Ids are new with each run: servers remember keys for longer than a run.
        self._ids = random.Random(os.urandom(16))
        self._requests = job.requests()
        self._exhausted = False
        self._start = 0
        self._ready: deque[Asked] = deque()
        self._again: list[tuple[int, int, Asked]] = []
        self._timers: list[tuple[int, int, Try]] = []
        self._turn = 0
        self._connections: dict[int, Connection] = {}
        self._idle: dict[Connection, None] = {}
        self._open = 0
        self._stopping = False
        self._due = FAR
        self.counts = dict.fromkeys(COUNTS, 0)
        self._epoll = select.epoll()
        self._epoll.register(control, select.EPOLLIN)
        while len(self._ready) < READY_MOST and self._prepare():
            pass

    # --- the loop ---------------------------------------------------------------

    def run(self, start: int) -> None:
        """Send everything, from this moment of the monotonic clock on, and wait for all that is open."""
        self._start = start
        self._next()
        while not self._stopping and (self._due < FAR or self._open):
            now = clock()
            for _ in range(AT_A_TURN):
                if self._due > now:
                    break
                self._send(now)
                now = clock()
            self._chores(now)
            self._wait(now)
            for fd, mask in self._epoll.poll(0, AT_A_TURN):
                self._event(fd, mask)
                if self._due <= clock():
                    self._send(clock())
            self._expire(clock())
        self._end()

    def _wait(self, now: int) -> None:
        """Sleep until something comes or is due soon. `select` on the epoll is exact where its own is not."""
        wake = min(self._due - self._spin_ns, now + REST_NS)
        if self._timers:
            wake = min(wake, self._timers[0][0])
        if wake > now:
            select.select([self._epoll], [], [], (wake - now) / 1e9)

    def _chores(self, now: int) -> None:
        """Work that can wait for a moment in which nothing is due."""
        if self._due - now < CHORE_NS:
            return
        if self._outbox.due(now):
            self._outbox.flush(now)
        elif len(self._ready) < READY_MOST and not self._exhausted:
            self._prepare()
        elif len(self._timers) > 2 * self._open + STALE_MOST:
            self._timers = [row for row in self._timers if not row[2].ended]
            heapq.heapify(self._timers)

    def _prepare(self) -> bool:
        """Make one more request ready; whether there was one."""
        request = next(self._requests, None)
        if request is None:
            self._exhausted = True
            return False
        kind = self._kinds[request.class_name]
        words = Words(
            self._heads[kind],
            self._semantics[kind],
            request.tenant,
            request.key,
            self._id(),
            request.size,
        )
        asked = Asked(request, kind, self._tenants[request.tenant], words)
        asked.message = words.try_bytes(self._id(), self._try_us(request.budget_us), False)
        self._ready.append(asked)
        return True

    def _id(self) -> str:
        return f"{self._ids.getrandbits(64):016x}"

    def _try_us(self, budget_us: int) -> int:
        return max(1, int(budget_us * self._share))

    def _next(self) -> None:
        """Find when the next send is due."""
        if not self._ready and not self._exhausted:
            self._prepare()
        self._due = self._start + self._ready[0].at_us * 1000 if self._ready else FAR
        if self._again and self._again[0][0] < self._due:
            self._due = self._again[0][0]

    # --- sending ----------------------------------------------------------------

    def _send(self, now: int) -> None:
        """Send what is due next: a request's first try, or a retry."""
        if self._again and self._again[0][0] == self._due:
            _, _, asked = heapq.heappop(self._again)
            if not asked.over:
                self._retry(asked, now)
        else:
            asked = self._ready.popleft()
            asked.due = self._due
            asked.limit = asked.due + asked.budget_ns + self._grace_ns
            self._first(asked, now)
        self._next()

    def _first(self, asked: Asked, now: int) -> None:
        if self._open >= self._job.open_most:
            self._note(asked, Outcome.NO_ROOM, now)
            return
        lack = self._out(asked, asked.message, now)
        if lack is not None:
            self._note(asked, lack, now)

    def _retry(self, asked: Asked, now: int) -> None:
        asked.waiting = False
        left_us = (asked.due + asked.budget_ns - now) // 1000
        budget_us = min(self._try_us(asked.budget_ns // 1000), left_us)
        due = self._due
        message = asked.words.try_bytes(self._id(), max(1, budget_us), self._retries.marked)
        if self._out(asked, message, now) is None:
            figures = (asked.kind, asked.tenant, 0, asked.at_us, asked.last - due, 0, 0)
            self._outbox.put(Outcome.RETRY, asked.tries, *figures)
            return
        self.counts["retries_not_sent"] += 1
        if not asked.out:
            self._finish(asked, Outcome.UNANSWERED if not asked.status else self._of(asked.status), clock())

    def _of(self, status: int) -> Outcome:
        return Outcome.REFUSED if status in (429, 503) else Outcome.FAILED

    def _out(self, asked: Asked, message: bytes, now: int) -> Outcome | None:
        """A try goes out; what it lacks where it can't."""
        if not self._idle and len(self._connections) >= self._job.connections_most:
            return Outcome.NO_CONNECTION
        tried = Try(asked, message, clock())
        if not asked.tries:
            asked.lag = tried.sent - asked.due
        asked.last = tried.sent
        if not self._carry(tried, bool(self._idle)):
            return Outcome.NO_SOCKET
        return None

    def _carry(self, tried: Try, kept: bool) -> bool:
        """Put a try on a connection, a kept one or a new one; whether the system gave what that takes."""
        asked = tried.asked
        error: OSError | None = None
        connection = None
        try:
            connection = self._idle.popitem()[0] if kept else self._connect()
            connection.current = tried
            tried.connection = connection
            connection.send(tried.message)
        except OSError as met:
            if connection is None and met.errno in SHORTAGES:
                return False
            error = met
        if not tried.resent:
            if not asked.tries:
                self._open += 1
                self.counts["open_most"] = max(self.counts["open_most"], self._open)
            asked.tries += 1
            asked.out += 1
            self._time(tried, self._limit(asked, tried.sent))
        if error is not None:
            if connection is None:
                self._ended(tried, Outcome.UNREACHABLE, clock())
            else:
                self._broken(connection, clock())
        elif connection is not None and connection.left:
            self._epoll.modify(connection.sock, select.EPOLLIN | select.EPOLLOUT)
        return True

    def _connect(self) -> Connection:
        connection = Connection(self._job.family, self._job.address)
        self._connections[connection.sock.fileno()] = connection
        self._epoll.register(connection.sock, select.EPOLLIN)
        self.counts["connections"] += 1
        self.counts["connections_most"] = max(self.counts["connections_most"], len(self._connections))
        return connection

    # --- answers ----------------------------------------------------------------

    def _event(self, fd: int, mask: int) -> None:
        """Something came; if a new connection has the number of the one that it was of, nothing is read."""
        connection = self._connections.get(fd)
        if connection is None:
            if fd == self._control:
                self._stopping = True
            return
        if connection.current is None:
            self._unasked(connection)
            return
        if connection.left and mask & (select.EPOLLOUT | select.EPOLLERR | select.EPOLLHUP):
            try:
                connection.flush()
            except OSError:
                self._broken(connection, clock())
                return
            if not connection.left:
                self._epoll.modify(connection.sock, select.EPOLLIN)
        if mask & ~select.EPOLLOUT:
            self._read(connection)

    def _unasked(self, connection: Connection) -> None:
        came = connection.receive()
        if came is not Came.NOTHING or connection.answers.got:
            self.counts["stray"] += came is not Came.ENDED
            self._drop(connection)

    def _read(self, connection: Connection) -> None:
        came = connection.receive()
        if came is Came.NOTHING:
            return
        now = clock()
        if came is Came.ENDED:
            self._broken(connection, now)
            return
        tried, answers = connection.current, connection.answers
        assert isinstance(tried, Try)
        connection.current = None
        status, after_s = answers.status, answers.retry_after_s
        if came is Came.GARBLED or connection.left or not answers.keep:
            self._drop(connection)
        else:
            connection.answered += 1
            answers.begin()
            self._idle[connection] = None
        if came is Came.GARBLED:
            self._ended(tried, Outcome.FAILED, now)
        elif status == 200:
            self._ended(tried, Outcome.SERVED, now, status)
        else:
            self._ended(tried, self._of(status), now, status, after_s)

    def _broken(self, connection: Connection, now: int) -> None:
        """It ended amid a try. One that crossed the close of a kept connection is sent once more."""
        tried = connection.current
        assert isinstance(tried, Try)
        connection.current = None
        crossed = connection.answered and not connection.answers.got and not tried.resent
        up = connection.up
        self._drop(connection)
        if crossed and not tried.given_up and len(self._connections) < self._job.connections_most:
            tried.resent = True
            if self._carry(tried, False):
                self.counts["resent"] += 1
                return
        self._ended(tried, Outcome.CUT if up else Outcome.UNREACHABLE, now)

    def _drop(self, connection: Connection) -> None:
        self._idle.pop(connection, None)
        del self._connections[connection.sock.fileno()]
        connection.close()

    # --- tries and their ends ---------------------------------------------------

    def _limit(self, asked: Asked, sent: int) -> int:
        """When a try is given up: its share of the budget, or all there is where no retry can follow."""
        if asked.tries > self._retries.most or not self._may(asked, Outcome.UNANSWERED):
            return asked.limit
        return min(asked.limit, sent + int(asked.budget_ns * self._share))

    def _may(self, asked: Asked, outcome: Outcome) -> bool:
        """Whether a client tries again after that; what is unsafe only where nothing can have run."""
        harmless = outcome in (Outcome.REFUSED, Outcome.UNREACHABLE)
        if not harmless and self._semantics[asked.kind] == "unsafe":
            return False
        word = {Outcome.REFUSED: "refused", Outcome.UNANSWERED: "unanswered"}.get(outcome, "failed")
        return word in self._retries.on

    def _time(self, tried: Try, limit: int) -> None:
        self._turn += 1
        heapq.heappush(self._timers, (limit, self._turn, tried))

    def _expire(self, now: int) -> None:
        """Give up what has waited for as long as its client does."""
        while self._timers and self._timers[0][0] <= now:
            tried = heapq.heappop(self._timers)[2]
            if tried.ended:
                continue
            asked = tried.asked
            again = not (asked.over or tried.given_up) and self._again_at(asked, Outcome.UNANSWERED, now)
            if again and self._retries.listen:
                tried.given_up = True
                asked.out -= 1
                self._time(tried, asked.limit)
                continue
            connection, tried.ended = tried.connection, True
            if connection is not None:
                connection.current = None
                self._drop(connection)
            if not tried.given_up:
                asked.out -= 1
            if not again and not asked.over and not asked.out and not asked.waiting:
                self._finish(asked, Outcome.UNANSWERED, now)

    def _again_at(self, asked: Asked, outcome: Outcome, now: int, after_s: float | None = None) -> bool:
        """Plan a retry, if there is to be one."""
        rules = self._retries
        if asked.tries > rules.most or asked.waiting or not self._may(asked, outcome):
            return False
        wait_ms = rules.wait_ms * (2.0 ** (asked.tries - 1) if rules.doubled else 1.0)
        if rules.honour_retry_after and after_s is not None:
            wait_ms = max(wait_ms, min(after_s * 1000.0, rules.honour_most_ms))
        due = now + int(wait_ms * 1e6)
        if due >= asked.due + asked.budget_ns:
            return False
        asked.waiting = True
        self._turn += 1
        heapq.heappush(self._again, (due, self._turn, asked))
        self._due = min(self._due, due)
        return True

    def _ended(
        self, tried: Try, outcome: Outcome, now: int, status: int = 0, after_s: float | None = None
    ) -> None:
        """A try has its answer, or can have none. Of several answers to one request the first counts."""
        tried.ended = True
        asked = tried.asked
        if not tried.given_up:
            asked.out -= 1
        if asked.over:
            self.counts["crossed"] += status != 0
            return
        asked.status = status or asked.status
        if outcome is Outcome.SERVED:
            in_time = now - asked.due <= asked.budget_ns
            self._finish(asked, outcome if in_time else Outcome.LATE, now, tried.sent)
        elif tried.given_up or asked.waiting or asked.out:
            return
        elif not self._again_at(asked, outcome, now, after_s):
            self._finish(asked, outcome, now, tried.sent)

    def _finish(self, asked: Asked, outcome: Outcome, now: int, sent: int | None = None) -> None:
        asked.over = True
        self._open -= 1
        self._note(asked, outcome, now, sent)

    def _note(self, asked: Asked, outcome: Outcome, now: int, sent: int | None = None) -> None:
        self._outbox.put(
            outcome,
            min(asked.tries, 255),
            asked.kind,
            asked.tenant,
            asked.status,
            asked.at_us,
            asked.lag,
            now - asked.due,
            now - (asked.last if sent is None else sent),
        )

    def _end(self) -> None:
        """All that is still open ends with the run."""
        now = clock()
        met = {}
        for _, _, tried in self._timers:
            if not tried.ended and not tried.asked.over:
                met[id(tried.asked)] = tried.asked
        for _, _, asked in self._again:
            if not asked.over:
                met[id(asked)] = asked
        for asked in met.values():
            self._finish(asked, Outcome.OPEN, now)
        for connection in list(self._connections.values()):
            self._drop(connection)
        self._epoll.close()


def main(job: Job, control: Any, pipe: Any) -> None:
    """A worker's process: says that it is ready, is told when to start, and ends with its summary."""
    _raise_descriptors()
    outbox = Outbox(pipe.fileno())
    try:
        worker = Worker(job, outbox, control.fileno())
        os.write(pipe.fileno(), FRAME.pack(READY, 0))
        start = control.recv()
        gc.collect()
        gc.freeze()
        gc.disable()
        worker.run(start)
    except EOFError:
        return  # who started it is gone
    except BaseException as error:
        outbox.end(FAILURE, " ".join(f"{type(error).__name__}: {error}".split()).encode())
        raise
    used = resource.getrusage(resource.RUSAGE_SELF)
    summary = {
        **worker.counts,
        "lost": outbox.lost,
        "cpu_s": round(used.ru_utime + used.ru_stime, 3),
        "memory_kb": used.ru_maxrss,
        "preempted": used.ru_nivcsw,
    }
    outbox.end(SUMMARY, json.dumps(summary).encode())


def _raise_descriptors() -> None:
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
