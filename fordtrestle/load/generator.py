"""Runs a schedule: starts the worker processes, and records the samples that they send."""

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
from fordtrestle.load.job import WorkerJob
from fordtrestle.load.recorder import Recorder
from fordtrestle.load.records import Spec
from fordtrestle.load.samples import FAILURE, READY, SAMPLES, SUMMARY, FrameDecoder, Sample, decode_samples
from fordtrestle.load.schedule import Schedule
from fordtrestle.load.worker_process import main as run_worker_process

# Until all workers are ready; each imports the program and prepares its first requests.
READY_TIMEOUT_S = 60.0
# From then to the start of the schedule, so that all workers receive the start time before it.
START_DELAY_S = 0.2
READ_BYTES = 1024 * 1024
POLL_INTERVAL_S = 0.1
STOP_TIMEOUT_S = 5.0  # until the workers have ended after a request to stop
MAX_SAMPLE_DELAY_S = 2.0  # from the latest possible end of a request to the arrival of its sample


@dataclass(slots=True)
class Run:
    """The results of a run.

    Attributes:
        recorder: All statistics.
        start_ns: The start of the schedule, in nanoseconds of the monotonic clock.
        started_unix_s: The same in seconds of the Unix epoch.
        took_s: The time from the start until the last worker ended.
        cut: Whether it was stopped before its end.
        counts: The sums over all workers of their counters (`WorkerCounts`) and their use of resources.
        problems: Faults of the generator itself, one line each.
    """

    recorder: Recorder
    start_ns: int = 0
    started_unix_s: float = 0.0
    took_s: float = 0.0
    cut: bool = False
    counts: dict[str, int] = field(default_factory=dict)
    problems: list[str] = field(default_factory=list)

    def unsound_reasons(self, spec: Spec) -> list[str]:
        """Return why the results are not valid; empty if they are."""
        reasons = list(self.problems)
        lag_ms = self.recorder.lag.percentiles_ms([99.0])[0]
        if lag_ms is not None and lag_ms > spec.lag_p99_most_ms:
            reasons.append(f"sends were late: p99 {lag_ms:.3f} ms, over {spec.lag_p99_most_ms:g} ms")
        if self.counts.get("lost"):
            reasons.append(f"{self.counts['lost']} samples were lost")
        if self.recorder.late_samples:
            reasons.append(f"{self.recorder.late_samples} samples came after their second was closed")
        return reasons


OnProgress = Callable[[Run, float], None]  # its arguments: the run, and the seconds since the start


@dataclass(slots=True)
class _WorkerHandle:
    """The generator's view of a worker process."""

    process: Any
    control: Pipe
    pipe: Pipe
    frames: FrameDecoder = field(default_factory=FrameDecoder)
    is_ready: bool = False
    has_finished: bool = False


class Generator:
    """Runs one schedule, once."""

    def __init__(
        self,
        schedule: Schedule,
        *,
        should_stop: Callable[[], bool] = lambda: False,
        on_progress: OnProgress | None = None,
        on_start: Callable[[int], None] | None = None,
        on_sample: Callable[[Sample], None] | None = None,
    ) -> None:
        """Prepare a run.

        Args:
            schedule: The requests to send.
            should_stop: Called several times a second; the run is stopped early once it returns True.
            on_progress: Called about once a second.
            on_start: Called before the start, with its time in nanoseconds of the monotonic clock.
            on_sample: Called with each sample.
        """
        self._schedule = schedule
        self._should_stop = should_stop
        self._on_progress = on_progress
        self._on_start = on_start
        self._on_sample = on_sample
        spec = schedule.spec
        self._run = Run(Recorder(spec.classes, schedule.tenants))
        self._workers: list[_WorkerHandle] = []
        # A second of the schedule is closed once no more samples of it can arrive.
        self._second_close_delay_s = schedule.max_budget_us / 1e6 + spec.grace_ms / 1e3 + MAX_SAMPLE_DELAY_S

    def run(self) -> Run:
        """Send all requests and wait until each has its outcome.

        Raises:
            GeneratorError: The run can't begin: the target can't be resolved, a worker failed or was not
                ready in time, or the run was stopped before its start.
        """
        selector = selectors.DefaultSelector()
        try:
            with _interrupts_ignored():
                self._start_workers()
            for worker in self._workers:
                selector.register(worker.pipe.fileno(), selectors.EVENT_READ, worker)
            self._wait_until_ready(selector)
            self._send_start()
            self._collect(selector)
        finally:
            selector.close()
            self._end_workers()
        self._run.recorder.close_seconds()
        return self._run

    def _start_workers(self) -> None:
        spec = self._schedule.spec
        family, address = resolve(spec.target.host, spec.target.port)
        context = multiprocessing.get_context("spawn")
        for number in range(spec.workers):
            job = WorkerJob(
                schedule=self._schedule,
                number=number,
                workers=spec.workers,
                family=family,
                address=address,
                max_open=split_evenly(spec.open_most, number, spec.workers),
                max_connections=split_evenly(spec.connections_most, number, spec.workers),
            )
            receiver, control = context.Pipe(duplex=False)
            pipe, sender = context.Pipe(duplex=False)
            process = context.Process(target=run_worker_process, args=(job, receiver, sender), daemon=True)
            process.start()
            receiver.close()
            sender.close()
            os.set_blocking(pipe.fileno(), False)
            self._workers.append(_WorkerHandle(process, control, pipe))

    def _wait_until_ready(self, selector: selectors.BaseSelector) -> None:
        deadline = time.monotonic() + READY_TIMEOUT_S
        while not all(worker.is_ready for worker in self._workers):
            self._read_pipes(selector)
            if self._run.problems or time.monotonic() > deadline:
                raise GeneratorError("; ".join(self._run.problems) or "workers were not ready in time")
            if self._should_stop():
                raise GeneratorError("stopped before the start")

    def _send_start(self) -> None:
        """Send the same start time to all workers."""
        self._run.start_ns = time.monotonic_ns() + round(START_DELAY_S * 1e9)
        self._run.started_unix_s = time.time() + START_DELAY_S
        if self._on_start is not None:
            self._on_start(self._run.start_ns)
        for worker in self._workers:
            worker.control.send(self._run.start_ns)

    def _elapsed_s(self) -> float:
        return (time.monotonic_ns() - self._run.start_ns) / 1e9

    def _collect(self, selector: selectors.BaseSelector) -> None:
        """Record samples until all workers have ended."""
        last_second, stop_deadline_s = 0, 0.0
        while selector.get_map():
            self._read_pipes(selector)
            now_s = self._elapsed_s()
            if self._should_stop() and not self._run.cut:
                self._run.cut, stop_deadline_s = True, now_s + STOP_TIMEOUT_S
                self._request_stop()
            if self._run.cut and now_s > stop_deadline_s:
                self._run.problems.append("a worker did not stop")
                return
            if now_s >= last_second + 1:
                last_second = int(now_s)
                self._run.recorder.close_seconds(now_s - self._second_close_delay_s)
                if self._on_progress is not None:
                    self._on_progress(self._run, now_s)
        self._run.took_s = self._elapsed_s()

    def _read_pipes(self, selector: selectors.BaseSelector) -> None:
        """Wait up to `POLL_INTERVAL_S` for frames of workers, and handle them."""
        for key, _ in selector.select(POLL_INTERVAL_S):
            worker: _WorkerHandle = key.data
            try:
                data = os.read(worker.pipe.fileno(), READ_BYTES)
            except BlockingIOError:
                continue
            if not data:
                selector.unregister(worker.pipe.fileno())
                if not worker.has_finished:
                    self._run.problems.append("a worker ended before its work was done")
            for frame_type, body in worker.frames.feed(data):
                self._on_frame(worker, frame_type, body)

    def _on_frame(self, worker: _WorkerHandle, frame_type: bytes, body: bytes) -> None:
        if frame_type == SAMPLES:
            for sample in decode_samples(body):
                self._run.recorder.add(sample)
                if self._on_sample is not None:
                    self._on_sample(sample)
        elif frame_type == READY:
            worker.is_ready = True
        elif frame_type == FAILURE:
            self._run.problems.append(f"a worker failed: {body.decode()}")
            worker.has_finished = True
        elif frame_type == SUMMARY:
            worker.has_finished = True
            for name, count in json.loads(body).items():
                self._run.counts[name] = self._run.counts.get(name, 0) + count

    def _request_stop(self) -> None:
        for worker in self._workers:
            try:
                worker.control.send(None)
            except OSError:
                continue  # the worker has ended

    def _end_workers(self) -> None:
        """Close all pipes, and kill workers that do not end within `STOP_TIMEOUT_S`."""
        for worker in self._workers:
            worker.control.close()
            worker.pipe.close()
        for worker in self._workers:
            worker.process.join(STOP_TIMEOUT_S)
            if worker.process.is_alive():
                worker.process.kill()
                worker.process.join()


def split_evenly(total: int, number: int, workers: int) -> int:
    """Return the part of a total for worker `number`; parts differ by at most one and add up to the total."""
    return total // workers + (number < total % workers)


def resolve(host: str, port: int) -> tuple[int, tuple[Any, ...]]:
    """Return the address family and the address of a target; a host name is looked up once, here.

    Raises:
        GeneratorError: The host name can't be resolved.
    """
    try:
        addresses = socket.getaddrinfo(host, port, type=socket.SOCK_STREAM)
    except (OSError, UnicodeError) as error:
        raise GeneratorError(f"{host}: {error}") from None
    return int(addresses[0][0]), addresses[0][4]


@contextmanager
def _interrupts_ignored() -> Iterator[None]:
    """Make processes that are started in this context ignore SIGINT.

    A terminal sends SIGINT to the whole process group, but workers must stop only when the generator says so.
    """
    if threading.current_thread() is not threading.main_thread():
        yield
        return
    previous_handler = signal.signal(signal.SIGINT, signal.SIG_IGN)
    try:
        yield
    finally:
        signal.signal(signal.SIGINT, previous_handler)
