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

MAX_WAITING_REQUESTS = 65_536  # not yet written: some seconds of load; what comes past that is not recorded
WRITE_INTERVAL_S = 0.25
CLOSE_TIMEOUT_S = 2.0  # for the last of them, as the process ends


class TraceRecorder:
    """Writes one trace.

    `record` only puts a request into a queue: a thread of its own makes lines and writes them, so that no
    request waits for a disk.
    """

    def __init__(self, path: Path, max_bytes: int, names: RequestNames, now: Callable[[], float]) -> None:
        """Create the file and start the thread.

        Args:
            path: The file, which only its owner may read.
            max_bytes: The trace ends once the file has so many.
            names: The names of classes and tenants.
            now: Returns the time in milliseconds.

        Raises:
            OSError: The file can't be made.
        """
        self._kinds = {kind.traffic_class: name for name, kind in names.classes.items()}
        self._tenants = {index: name for name, index in names.tenants.items()}
        self._now = now
        self._started_ms = now()
        self._max_bytes = max_bytes
        self._waiting: deque[Request] = deque()
        self._missed = 0
        self._is_full = False
        self._path = path
        self._writer = TraceWriter(path)
        path.chmod(0o600)  # what clients ask for is private
        self._ending = threading.Event()
        self._thread = threading.Thread(target=self._run, name="recording", daemon=True)
        self._thread.start()

    def record(self, call: ClientCall) -> None:
        """Record a complete request, whatever becomes of it."""
        if self._is_full or len(self._waiting) >= MAX_WAITING_REQUESTS:
            self._missed += 1
            return
        at_us = int((self._now() - self._started_ms) * 1000.0)
        tenant = self._tenants.get(call.tenant, "")
        key = "" if call.key is None else str(call.key)
        budget_us = max(1, int(call.budget * 1000.0))
        self._waiting.append(
            Request(at_us, self._kinds[call.traffic_class], tenant, key, budget_us, call.body_size)
        )

    def close(self) -> None:
        """Write what is queued and the trace's end, within CLOSE_TIMEOUT_S."""
        self._ending.set()
        self._thread.join(CLOSE_TIMEOUT_S)
        if self._missed:
            log(f"trace {self._path}: {self._missed} requests were not recorded")

    def _run(self) -> None:
        try:
            while not self._ending.wait(WRITE_INTERVAL_S):
                self._write()
            self._write()
            self._writer.close(int((self._now() - self._started_ms) * 1000.0))
        except OSError as error:  # a full disk ends the trace, never the process
            self._is_full = True
            log(f"trace {self._path}: {error.strerror or error}; no more is recorded")

    def _write(self) -> None:
        while self._waiting:
            request = self._waiting.popleft()
            if self._writer.bytes >= self._max_bytes:
                self._is_full = True
                self._missed += 1 + len(self._waiting)
                self._waiting.clear()
                return
            try:
                self._writer.add(request)
            except ValueError:  # the format can't hold it, such as a budget of an hour
                self._missed += 1
