"""Records the requests of an HTTP server as a trace, for `fordtrestle load` to replay."""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Callable
from pathlib import Path

from fordtrestle.load.mix import Request
from fordtrestle.load.trace import TraceWriter
from fordtrestle.proxy.engine.log import log
from fordtrestle.proxy.http.call import ClientCall
from fordtrestle.proxy.http.requests import RequestNames

MAX_QUEUED_REQUESTS = 65_536  # some seconds of load; requests beyond that are not recorded
WRITE_INTERVAL_S = 0.25
CLOSE_TIMEOUT_S = 2.0  # for the requests still queued when the process ends


class TraceRecorder:
    """Writes the trace of one HTTP server.

    `record` only queues a request; a separate thread encodes and writes it, so that no request waits for a
    disk.
    """

    def __init__(self, path: Path, max_bytes: int, names: RequestNames, now: Callable[[], float]) -> None:
        """Create the file and start the thread.

        Args:
            path: The file, which only its owner may read.
            max_bytes: The size of the file at which the recording stops.
            names: The names of classes and tenants.
            now: Returns the time in milliseconds.

        Raises:
            OSError: The file can't be created.
        """
        self._kinds = {kind.traffic_class: name for name, kind in names.classes.items()}
        self._tenants = {index: name for name, index in names.tenants.items()}
        self._now = now
        self._started_ms = now()
        self._max_bytes = max_bytes
        self._queue: deque[Request] = deque()
        self._dropped = 0
        self._is_stopped = False
        self._path = path
        self._writer = TraceWriter(path)
        path.chmod(0o600)  # what clients request is private
        self._is_closing = threading.Event()
        self._thread = threading.Thread(target=self._run, name="recording", daemon=True)
        self._thread.start()

    def record(self, call: ClientCall) -> None:
        """Record a complete request, whether or not it succeeds."""
        if self._is_stopped or len(self._queue) >= MAX_QUEUED_REQUESTS:
            self._dropped += 1
            return
        at_us = int((self._now() - self._started_ms) * 1000.0)
        tenant = self._tenants.get(call.tenant, "")
        key = "" if call.key is None else str(call.key)
        budget_us = max(1, int(call.budget * 1000.0))
        self._queue.append(
            Request(at_us, self._kinds[call.traffic_class], tenant, key, budget_us, call.body_size)
        )

    def close(self) -> None:
        """Write the queued requests and the end of the trace, within CLOSE_TIMEOUT_S."""
        self._is_closing.set()
        self._thread.join(CLOSE_TIMEOUT_S)
        if self._dropped:
            log(f"trace {self._path}: {self._dropped} requests were not recorded")

    def _run(self) -> None:
        try:
            while not self._is_closing.wait(WRITE_INTERVAL_S):
                self._write()
            self._write()
            self._writer.close(int((self._now() - self._started_ms) * 1000.0))
        except OSError as error:  # a full disk must not end the process
            self._is_stopped = True
            log(f"trace {self._path}: {error.strerror or error}; no more requests are recorded")

    def _write(self) -> None:
        while self._queue:
            request = self._queue.popleft()
            if self._writer.bytes >= self._max_bytes:
                self._is_stopped = True
                self._dropped += 1 + len(self._queue)
                self._queue.clear()
                return
            try:
                self._writer.add(request)
            except ValueError:  # the format can't represent it, such as a budget of an hour
                self._dropped += 1
