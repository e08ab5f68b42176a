"""Recording what a front is asked, as a trace for `fordtrestle load` to replay."""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Callable
from pathlib import Path

from fordtrestle.load.mix import Request
from fordtrestle.load.trace import Writer
from fordtrestle.proxy.engine.log import log
from fordtrestle.proxy.http.call import ClientCall
from fordtrestle.proxy.http.requests import RequestNames

WAITING_MOST = 65_536  # requests not written yet; what comes past that is not recorded
WRITE_S = 0.25
CLOSE_S = 2.0  # for the last of them, as the process ends


class Recording:
    """One trace. `note` only puts a request into a queue: a thread of its own makes lines and writes them,
    so that no request waits for a disk. `OSError` where the file can't be made.
    """

    def __init__(self, path: Path, bytes_most: int, names: RequestNames, now: Callable[[], float]) -> None:
        self._kinds = {kind.traffic_class: name for name, kind in names.classes.items()}
        self._tenants = {index: name for name, index in names.tenants.items()}
        self._now = now  # milliseconds
        self._began = now()
        self._bytes_most = bytes_most
        self._waiting: deque[Request] = deque()
        self._missed = 0
        self._full = False
        self._path = path
        self._writer = Writer(path)
        path.chmod(0o600)  # who asked for what is nobody else's affair
        self._ending = threading.Event()
        self._thread = threading.Thread(target=self._run, name="recording", daemon=True)
        self._thread.start()

    def note(self, call: ClientCall) -> None:
        """A whole request, whatever becomes of it."""
        if self._full or len(self._waiting) >= WAITING_MOST:
            self._missed += 1
            return
        at_us = int((self._now() - self._began) * 1000.0)
        tenant = self._tenants.get(call.tenant, "")
        key = "" if call.key is None else str(call.key)
        budget_us = max(1, int(call.budget * 1000.0))
        self._waiting.append(
            Request(at_us, self._kinds[call.traffic_class], tenant, key, budget_us, call.body_size)
        )

    def close(self) -> None:
        """Write what is queued and the end, within a bound."""
        self._ending.set()
        self._thread.join(CLOSE_S)
        if self._missed:
            log(f"trace {self._path}: {self._missed} requests were not recorded")

    def _run(self) -> None:
        try:
            while not self._ending.wait(WRITE_S):
                self._write()
            self._write()
            self._writer.close(int((self._now() - self._began) * 1000.0))
        except OSError as error:  # a full disk ends the trace, never the process
            self._full = True
            log(f"trace {self._path}: {error.strerror or error}; no more is recorded")

    def _write(self) -> None:
        while self._waiting:
            request = self._waiting.popleft()
            if self._writer.bytes >= self._bytes_most:
                self._full = True
                self._missed += 1 + len(self._waiting)
                self._waiting.clear()
                return
            try:
                self._writer.add(request)
            except ValueError:  # the format has no place for it, such as for a budget of an hour
                self._missed += 1
