"""Simulated server with known delays for `load_accuracy`; its records are the reference.

A process with one thread, an epoll and a short spin, as precise as the load generator that it checks. It
answers GET requests on loopback according to a plan and records on the monotonic clock when each request
arrived and when its response was sent.
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
MAX_SLEEP_NS = 20_000_000
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
END = b"\r\n\r\n"
KEY = b"Cookie: user="
MAX_REQUEST_BYTES = 16_384  # bytes of an incomplete request
MAX_RECORDS = 2_000_000

clock = time.monotonic_ns


@dataclass(frozen=True, slots=True)
class Plan:
    """Delays of the responses.

    A response takes `fixed_ms`, or `slow_ms` for a `slow_share` of them. If `mean_ms` is set, delays are
    exponential with that mean. During the stall nothing is answered. If `per_s` is set, requests are served
    one at a time at that rate.
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
    """A request: its key, and when it arrived, was answered and was due, in ns of the monotonic clock."""

    key: str
    came: int
    went: int
    due: int


class Server:
    """The server in its process."""

    def __init__(self, control: Pipe) -> None:
        self._control = control
        self._plan, self._rng, self._free_at = Plan(), random.Random(1), 0
        self._records: list[Record] = []
        self._due: list[tuple[int, int, int, str, int]] = []
        self._number = 0
        self._connections: dict[int, tuple[socket.socket, bytearray]] = {}
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=4096)
        self._listener.setblocking(False)
        self._epoll = select.epoll()
        self._epoll.register(self._listener, select.EPOLLIN)
        self._epoll.register(control.fileno(), select.EPOLLIN)
        control.send(self._listener.getsockname()[1])

    def run(self) -> None:
        """Serve until the owner closes the pipe."""
        while True:
            now = clock()
            wake = min(self._due[0][0] - SPIN_NS if self._due else now + MAX_SLEEP_NS, now + MAX_SLEEP_NS)
            if wake > now:
                select.select([self._epoll], [], [], (wake - now) / 1e9)
            for fd, _ in self._epoll.poll(0, 64):
                if fd == self._listener.fileno():
                    self._accept()
                elif fd == self._control.fileno():
                    if not self._on_command():
                        return
                else:
                    self._read(fd)
                self._answer()
            self._answer()

    def _on_command(self) -> bool:
        try:
            command = self._control.recv()
        except EOFError:
            return False
        if isinstance(command, Plan):
            self._plan, self._rng = command, random.Random(command.seed)
            self._free_at = 0
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
        self._connections[sock.fileno()] = (sock, bytearray())
        self._epoll.register(sock, select.EPOLLIN)

    def _read(self, fd: int) -> None:
        sock, buffer = self._connections[fd]
        try:
            data = sock.recv(65_536)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        came = clock()
        buffer += data
        if not data or len(buffer) > MAX_REQUEST_BYTES:
            del self._connections[fd]
            sock.close()
            return
        if buffer.endswith(END):
            key = buffer.partition(KEY)[2].partition(b"\r\n")[0].decode()
            buffer.clear()
            self._number += 1
            heapq.heappush(self._due, (self._due_at(came), self._number, fd, key, came))

    def _due_at(self, came: int) -> int:
        plan = self._plan
        begin, end = plan.stall_ns
        if plan.per_s:
            begins = max(came, self._free_at)
            begins = end if begin <= begins < end else begins
            self._free_at = begins + round(1e9 / plan.per_s)
            return self._free_at
        if begin <= came < end:
            return end
        if plan.mean_ms:
            return came + round(-math.log1p(-self._rng.random()) * plan.mean_ms * 1e6)
        slow = self._rng.random() < plan.slow_share
        return came + round((plan.slow_ms if slow else plan.fixed_ms) * 1e6)

    def _answer(self) -> None:
        while self._due and self._due[0][0] <= clock():
            due, _, fd, key, came = heapq.heappop(self._due)
            connection = self._connections.get(fd)
            if connection is None:
                continue
            went = clock()
            try:
                connection[0].send(RESPONSE)
            except OSError:
                continue
            if len(self._records) < MAX_RECORDS:
                self._records.append(Record(key, came, went, due))


def serve(control: Pipe, core: int | None) -> None:
    """Run the server process, pinned to `core` if there is one."""
    if core is not None:
        os.sched_setaffinity(0, {core})
    server = Server(control)
    gc.collect()
    gc.freeze()
    gc.disable()
    server.run()


class Truth:
    """Owner's handle of the server process."""

    def __init__(self, core: int | None = None) -> None:
        context = multiprocessing.get_context("spawn")
        self._control, theirs = context.Pipe()
        self._process: Any = context.Process(target=serve, args=(theirs, core), daemon=True)
        self._process.start()
        theirs.close()
        self.port = int(self._control.recv())

    def plan(self, plan: Plan) -> None:
        """Set the delays of the following responses."""
        self._control.send(plan)

    def records(self) -> list[Record]:
        """Return the records since the last call, in the order of the responses."""
        self._control.send("records")
        return list(self._control.recv())

    def stop(self) -> None:
        """End the process."""
        self._control.close()
        self._process.join(5.0)
        if self._process.is_alive():
            self._process.kill()
