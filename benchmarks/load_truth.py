"""A stand-in of known delay for `load_accuracy`: what it recorded itself is the truth.

A process with one thread, an epoll and a short spin, as exact as what it judges. It answers GET requests on
the loopback by a plan and records, on the monotonic clock, when each had come and when its answer went out.
"""

from __future__ import annotations

import gc
import heapq
import math
import multiprocessing
import os
import random
import select
import socket
import time
from dataclasses import dataclass
from multiprocessing.connection import Connection as Pipe
from typing import Any

SPIN_NS = 3_000_000
REST_NS = 20_000_000
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
END = b"\r\n\r\n"
KEY = b"Cookie: user="
HELD_MOST = 16_384  # bytes of a request that is not whole
RECORDS_MOST = 2_000_000

clock = time.monotonic_ns


@dataclass(frozen=True, slots=True)
class Plan:
    """How long answers take. `mean_ms`: of an exponential; `slow_share` of them take `slow_ms` in place of
    `fixed_ms`. In the stall nothing is answered; `per_s`: one at a time, at that rate.
    """

    seed: int = 1
    fixed_ms: float = 0.0
    slow_ms: float = 0.0
    slow_share: float = 0.0
    mean_ms: float = 0.0
    stall_ns: tuple[int, int] = (0, 0)
    per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Record:
    """One request: its key, and when it had come and its answer went out, in nanoseconds."""

    key: str
    came: int
    went: int
    due: int


class Server:
    """The stand-in's process from within."""

    def __init__(self, control: Pipe) -> None:
        self._control = control
        self._plan, self._rng, self._free = Plan(), random.Random(1), 0
        self._records: list[Record] = []
        self._due: list[tuple[int, int, int, str, int]] = []
        self._number = 0
        self._links: dict[int, tuple[socket.socket, bytearray]] = {}
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=4096)
        self._listener.setblocking(False)
        self._epoll = select.epoll()
        self._epoll.register(self._listener, select.EPOLLIN)
        self._epoll.register(control.fileno(), select.EPOLLIN)
        control.send(self._listener.getsockname()[1])

    def run(self) -> None:
        """Serve until the owner hangs up."""
        while True:
            now = clock()
            wake = min(self._due[0][0] - SPIN_NS if self._due else now + REST_NS, now + REST_NS)
            if wake > now:
                select.select([self._epoll], [], [], (wake - now) / 1e9)
            for fd, _ in self._epoll.poll(0, 64):
                if fd == self._listener.fileno():
                    self._accept()
                elif fd == self._control.fileno():
                    if not self._obey():
                        return
                else:
                    self._read(fd)
                self._answer()
            self._answer()

    def _obey(self) -> bool:
        try:
            command = self._control.recv()
        except EOFError:
            return False
        if isinstance(command, Plan):
            self._plan, self._rng = command, random.Random(command.seed)
            self._free = 0
        else:
            self._control.send(self._records)
            self._records = []
        return True

    def _accept(self) -> None:
        try:
            sock, _ = self._listener.accept()
        except BlockingIOError:
            return
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._links[sock.fileno()] = (sock, bytearray())
        self._epoll.register(sock, select.EPOLLIN)

    def _read(self, fd: int) -> None:
        sock, held = self._links[fd]
        try:
            data = sock.recv(65_536)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        came = clock()
        held += data
        if not data or len(held) > HELD_MOST:
            del self._links[fd]
            sock.close()
            return
        if held.endswith(END):
            key = held.partition(KEY)[2].partition(b"\r\n")[0].decode()
            held.clear()
            self._number += 1
            heapq.heappush(self._due, (self._when(came), self._number, fd, key, came))

    def _when(self, came: int) -> int:
        plan = self._plan
        begin, end = plan.stall_ns
        if plan.per_s:
            begins = max(came, self._free)
            begins = end if begin <= begins < end else begins
            self._free = begins + round(1e9 / plan.per_s)
            return self._free
        if begin <= came < end:
            return end
        if plan.mean_ms:
            return came + round(-math.log1p(-self._rng.random()) * plan.mean_ms * 1e6)
        slow = self._rng.random() < plan.slow_share
        return came + round((plan.slow_ms if slow else plan.fixed_ms) * 1e6)

    def _answer(self) -> None:
        while self._due and self._due[0][0] <= clock():
            due, _, fd, key, came = heapq.heappop(self._due)
            link = self._links.get(fd)
            if link is None:
                continue
            went = clock()
            try:
                link[0].send(ANSWER)
            except OSError:
                continue
            if len(self._records) < RECORDS_MOST:
                self._records.append(Record(key, came, went, due))


def serve(control: Pipe, core: int | None) -> None:
    """The process's whole work, on a core of its own where there is one to spare."""
    if core is not None:
        os.sched_setaffinity(0, {core})
    server = Server(control)
    gc.collect()
    gc.freeze()
    gc.disable()
    server.run()


class Truth:
    """The stand-in as its owner sees it."""

    def __init__(self, core: int | None = None) -> None:
        context = multiprocessing.get_context("spawn")
        self._control, theirs = context.Pipe()
        self._process: Any = context.Process(target=serve, args=(theirs, core), daemon=True)
        self._process.start()
        theirs.close()
        self.port = int(self._control.recv())

    def plan(self, plan: Plan) -> None:
        """From now on it answers so."""
        self._control.send(plan)

    def records(self) -> list[Record]:
        """What it recorded since it was last asked, in the order of its answers."""
        self._control.send("records")
        return list(self._control.recv())

    def stop(self) -> None:
        """End it."""
        self._control.close()
        self._process.join(5.0)
        if self._process.is_alive():
            self._process.kill()
