"""A file to which a separate thread appends lines."""

from __future__ import annotations

import errno
import os
import stat
import threading
from collections import deque
from collections.abc import Callable

MAX_QUEUED_BYTES = 4 * 2**20  # accepted and not yet written: bounds the memory while the disk stalls
READ_BYTES = 64 * 1024  # read per step of the search for the last complete line
OPEN_FLAGS = os.O_RDWR | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC | os.O_NONBLOCK


class AppendFile:
    """Appends to a file in a separate thread; stops at the first failure, which is reported once.

    Attributes:
        size_bytes: The size of the file when it was opened, without an incomplete last line.
        has_failed: Whether writing has stopped because of a failure.
    """

    def __init__(self, path: str, on_failure: Callable[[str], None]) -> None:
        """Open the file and start the thread.

        Args:
            path: The file; if it is missing, it is created with access for its owner alone.
            on_failure: Called once, from any thread, with the reason of the first failure.

        Raises:
            OSError: The file can't be opened, or does not consist of JSON lines.
        """
        self._on_failure = on_failure
        self._descriptor = os.open(path, OPEN_FLAGS, 0o600)  # what clients request is private
        try:
            self.size_bytes = _truncate_incomplete_line(self._descriptor)
        except OSError as error:
            os.close(self._descriptor)
            raise OSError(error.errno, error.strerror, path) from None
        self.has_failed = False
        self._queue: deque[bytes] = deque()
        self._queued_bytes = 0
        self._changed = threading.Condition()  # guards the two fields above
        self._closing = False
        self._thread = threading.Thread(target=self._run, name="events", daemon=True)
        self._thread.start()

    def write(self, data: bytes) -> None:
        """Queue `data` to be written, in the order of the calls.

        If more than MAX_QUEUED_BYTES would be queued, the file fails.
        """
        with self._changed:
            if self._queued_bytes + len(data) > MAX_QUEUED_BYTES:
                self._fail("the disk is too slow")
            if not self.has_failed:
                self._queue.append(data)
                self._queued_bytes += len(data)
                self._changed.notify()

    def close(self, timeout_s: float) -> None:
        """Write what is queued, and close the file.

        Args:
            timeout_s: The longest wait for the thread; if it has not ended by then, the file stays open.
        """
        with self._changed:
            self._closing = True
            self._changed.notify()
        self._thread.join(timeout_s)
        # A thread that still writes keeps the descriptor: once closed, its number could refer to another
        # file.
        if not self._thread.is_alive():
            os.close(self._descriptor)

    def _fail(self, reason: str) -> None:
        if not self.has_failed:
            self.has_failed = True
            self._on_failure(reason)

    def _run(self) -> None:
        while not self.has_failed:
            with self._changed:
                while not self._queue and not self._closing:
                    self._changed.wait()
                if not self._queue:
                    return
                data = self._queue.popleft()
            self._append(data)
            with self._changed:
                self._queued_bytes -= len(data)

    def _append(self, data: bytes) -> None:
        unwritten = memoryview(data)
        try:
            while unwritten:
                unwritten = unwritten[os.write(self._descriptor, unwritten) :]
        except OSError as error:  # a full disk must not end the process
            self._fail(error.strerror or str(error))


def _truncate_incomplete_line(descriptor: int) -> int:
    """Truncate an incomplete last line, which a killed process may leave, and return the new size in bytes.

    Raises:
        OSError: The incomplete line does not begin as a JSON object, so the file is not one of events.
    """
    status = os.fstat(descriptor)
    if not stat.S_ISREG(status.st_mode):
        return 0
    end, complete_bytes = status.st_size, 0
    while end > 0 and complete_bytes == 0:
        begin = max(0, end - READ_BYTES)
        newline = os.pread(descriptor, end - begin, begin).rfind(b"\n")
        end, complete_bytes = begin, begin + newline + 1 if newline >= 0 else 0
    if complete_bytes < status.st_size:
        if os.pread(descriptor, 1, complete_bytes) != b"{":
            raise OSError(
                errno.EINVAL, "not an event file: its last line is incomplete and does not begin with '{'"
            )
        os.ftruncate(descriptor, complete_bytes)
    return complete_bytes
