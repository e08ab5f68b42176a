"""A whole run: workers in processes of their own, started at one moment, and one recorder for all of them."""

from __future__ import annotations

import json
import multiprocessing
import os
import selectors
import signal
import socket
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from multiprocessing.connection import Connection as Pipe
from typing import Any

from fordtrestle.load.errors import GeneratorError
from fordtrestle.load.recorder import Recorder
from fordtrestle.load.samples import FAILURE, READY, SAMPLES, SUMMARY, FrameDecoder, Sample, decode_samples
from fordtrestle.load.schedule import Schedule
from fordtrestle.load.spec import Spec
from fordtrestle.load.worker import Job
from fordtrestle.load.worker import main as work

READY_S = 60.0  # until all workers are ready
LEAD_S = 0.2  # from there to the first moment of the schedule
READ = 1024 * 1024
TURN_S = 0.1
END_S = 5.0  # for a worker that was told to stop


@dataclass(slots=True)
class Run:
    """What a run came to. `start_ns` is the first moment of its schedule on the monotonic clock."""

    recorder: Recorder
    start_ns: int = 0
    started_unix_s: float = 0.0
    took_s: float = 0.0
    cut: bool = False  # it was stopped before its end
    counts: dict[str, int] = field(default_factory=dict)  # of all workers
    problems: list[str] = field(default_factory=list)  # what went wrong with the generator itself

    def unsound(self, spec: Spec) -> list[str]:
        """Why these figures are not to be believed; empty where they are."""
        found = list(self.problems)
        lag_ms = self.recorder.lag.at([99.0])[0]
        if lag_ms is not None and lag_ms > spec.lag_p99_most_ms:
            found.append(f"sends were late: p99 {lag_ms:.3f} ms, over {spec.lag_p99_most_ms:g} ms")
        if self.counts.get("lost"):
            found.append(f"{self.counts['lost']} samples were lost")
        if self.recorder.tardy:
            found.append(f"{self.recorder.tardy} samples came after their second was closed")
        return found


Watch = Callable[[Run, float], None]  # called about once a second with the time since the start


@dataclass(slots=True)
class _Worker:
    process: Any
    control: Pipe
    pipe: Pipe
    frames: FrameDecoder = field(default_factory=FrameDecoder)
    ready: bool = False
    summed: bool = False


class Generator:
    """Runs a schedule once."""

    def __init__(
        self,
        schedule: Schedule,
        *,
        stopping: Callable[[], bool] = lambda: False,
        watch: Watch | None = None,
        started: Callable[[int], None] | None = None,
        sample: Callable[[Sample], None] | None = None,
    ) -> None:
        """`started` is told the first moment, in nanoseconds of the monotonic clock, before it comes;
        `sample` each sample.
        """
        self._schedule = schedule
        self._stopping = stopping
        self._watch = watch
        self._started = started
        self._sample = sample
        spec = schedule.spec
        self._run = Run(Recorder(spec.classes, schedule.tenants))
        self._workers: list[_Worker] = []
        # Nothing of a second can come after the longest budget, the grace and a moment of delay.
        self._open_s = schedule.max_budget_us / 1e6 + spec.grace_ms / 1e3 + 2.0

    def run(self) -> Run:
        """Send everything and wait for all answers; `GeneratorError` where it can't begin."""
        selector = selectors.DefaultSelector()
        try:
            with _no_interrupts():
                self._start()
            for worker in self._workers:
                selector.register(worker.pipe.fileno(), selectors.EVENT_READ, worker)
            self._await_ready(selector)
            self._go()
            self._follow(selector)
        finally:
            selector.close()
            self._end()
        self._run.recorder.settle()
        return self._run

    def _start(self) -> None:
        spec = self._schedule.spec
        family, address = resolved(spec.target.host, spec.target.port)
        context = multiprocessing.get_context("spawn")
        for number in range(spec.workers):
            caps = [_part(most, number, spec.workers) for most in (spec.open_most, spec.connections_most)]
            job = Job(self._schedule, number, spec.workers, family, address, *caps)
            receiver, control = context.Pipe(duplex=False)
            pipe, out = context.Pipe(duplex=False)
            process = context.Process(target=work, args=(job, receiver, out), daemon=True)
            process.start()
            receiver.close()
            out.close()
            os.set_blocking(pipe.fileno(), False)
            self._workers.append(_Worker(process, control, pipe))

    def _await_ready(self, selector: selectors.BaseSelector) -> None:
        until = time.monotonic() + READY_S
        while not all(worker.ready for worker in self._workers):
            self._read(selector, TURN_S)
            if self._run.problems or time.monotonic() > until:
                raise GeneratorError("; ".join(self._run.problems) or "workers were not ready in time")
            if self._stopping():
                raise GeneratorError("stopped before the start")

    def _go(self) -> None:
        self._run.start_ns = time.monotonic_ns() + round(LEAD_S * 1e9)
        self._run.started_unix_s = time.time() + LEAD_S
        if self._started is not None:
            self._started(self._run.start_ns)
        for worker in self._workers:
            worker.control.send(self._run.start_ns)

    def _follow(self, selector: selectors.BaseSelector) -> None:
        reported, stop_by = 0, 0.0
        while selector.get_map():
            self._read(selector, TURN_S)
            now_s = (time.monotonic_ns() - self._run.start_ns) / 1e9
            if self._stopping() and not self._run.cut:
                self._run.cut, stop_by = True, now_s + END_S
                self._stop()
            if self._run.cut and now_s > stop_by:
                self._run.problems.append("a worker did not stop")
                return
            if now_s >= reported + 1:
                reported = int(now_s)
                self._run.recorder.settle(now_s - self._open_s)
                if self._watch is not None:
                    self._watch(self._run, now_s)
        self._run.took_s = (time.monotonic_ns() - self._run.start_ns) / 1e9

    def _read(self, selector: selectors.BaseSelector, timeout_s: float) -> None:
        for key, _ in selector.select(timeout_s):
            worker: _Worker = key.data
            try:
                data = os.read(worker.pipe.fileno(), READ)
            except BlockingIOError:
                continue
            if not data:
                selector.unregister(worker.pipe.fileno())
                if not worker.summed:
                    self._run.problems.append("a worker ended before its work was done")
            for what, body in worker.frames.feed(data):
                self._frame(worker, what, body)

    def _frame(self, worker: _Worker, what: bytes, body: bytes) -> None:
        if what == SAMPLES:
            for sample in decode_samples(body):
                self._run.recorder.add(sample)
                if self._sample is not None:
                    self._sample(sample)
        elif what == READY:
            worker.ready = True
        elif what == FAILURE:
            self._run.problems.append(f"a worker failed: {body.decode()}")
            worker.summed = True
        elif what == SUMMARY:
            worker.summed = True
            for name, count in json.loads(body).items():
                self._run.counts[name] = self._run.counts.get(name, 0) + count

    def _stop(self) -> None:
        for worker in self._workers:
            try:
                worker.control.send(None)
            except OSError:
                continue  # it has ended

    def _end(self) -> None:
        for worker in self._workers:
            worker.control.close()
            worker.pipe.close()
        for worker in self._workers:
            worker.process.join(END_S)
            if worker.process.is_alive():
                worker.process.kill()
                worker.process.join()


def _part(whole: int, number: int, workers: int) -> int:
    return whole // workers + (number < whole % workers)


def resolved(host: str, port: int) -> tuple[int, tuple[Any, ...]]:
    """The address family and the address of a target, looked up once.

    Raises:
        GeneratorError: There is none.
    """
    try:
        rows = socket.getaddrinfo(host, port, type=socket.SOCK_STREAM)
    except (OSError, UnicodeError) as error:
        raise GeneratorError(f"{host}: {error}") from None
    return int(rows[0][0]), rows[0][4]


@contextmanager
def _no_interrupts() -> Iterator[None]:
    """Guards against an interrupt from the terminal, which goes to all: workers stop when they are told."""
    if threading.current_thread() is not threading.main_thread():
        yield
        return
    before = signal.signal(signal.SIGINT, signal.SIG_IGN)
    try:
        yield
    finally:
        signal.signal(signal.SIGINT, before)
