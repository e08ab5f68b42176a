"""A file of lines that a thread of its own appends to."""

from __future__ import annotations

import errno
import os
import stat
import threading
from collections import deque
from collections.abc import Callable

MAX_WAITING_BYTES = 4 * 2**20  # handed over and not yet written: guards against a disk that stands still
READ_BYTES = 64 * 1024  # read at a time to find the last complete line
OPEN_FLAGS = os.O_RDWR | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC | os.O_NONBLOCK


class AppendFile:
    """Appends to a file in a thread of its own; the first failure ends it, and is reported once.

    Attributes:
        size_bytes: Its size when it was opened, without an incomplete last line.
        failed: Whether nothing is written any more.
    """

    def __init__(self, path: str, on_failure: Callable[[str], None]) -> None:
        """Open the file and start the thread.

        Args:
            path: The file, which only its owner may read if it is made here.
            on_failure: Called once, from any thread, with the reason.

        Raises:
            OSError: It can't be opened, or is something else than a file of JSON lines.
        """
        self._on_failure = on_failure
        self._descriptor = os.open(path, OPEN_FLAGS, 0o600)  # what clients ask for is private
        try:
            self.size_bytes = _cut_incomplete_line(self._descriptor)
        except OSError as error:
            os.close(self._descriptor)
            raise OSError(error.errno, error.strerror, path) from None
        self.failed = False
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0
        self._changed = threading.Condition()  # guards the two above
        self._closing = False
        self._thread = threading.Thread(target=self._run, name="events", daemon=True)
        self._thread.start()

    def write(self, data: bytes) -> None:
        """Have it written soon, in the order of calls."""
        with self._changed:
            if self._waiting_bytes + len(data) > MAX_WAITING_BYTES:
                self._fail("its disk is too slow")
            if not self.failed:
                self._waiting.append(data)
                self._waiting_bytes += len(data)
                self._changed.notify()

    def close(self, timeout_s: float) -> None:
        """Write what is waiting, for so long at the most."""
        with self._changed:
            self._closing = True
            self._changed.notify()
        self._thread.join(timeout_s)
        # Guards against a thread that still writes: the descriptor's number could be another file's by then.
        if not self._thread.is_alive():
            os.close(self._descriptor)

    def _fail(self, reason: str) -> None:
        if not self.failed:
            self.failed = True
            self._on_failure(reason)

    def _run(self) -> None:
        while not self.failed:
            with self._changed:
                while not self._waiting and not self._closing:
                    self._changed.wait()
                if not self._waiting:
                    return
                data = self._waiting.popleft()
            self._append(data)
            with self._changed:
                self._waiting_bytes -= len(data)

    def _append(self, data: bytes) -> None:
        left = memoryview(data)
        try:
            while left:
                left = left[os.write(self._descriptor, left) :]
        except OSError as error:  # a full disk ends the file, never the process
            self._fail(error.strerror or str(error))


def _cut_incomplete_line(descriptor: int) -> int:
    """Cut off a last line that is incomplete, which a kill may leave; return the bytes that stay.

    Raises:
        OSError: What would be cut off is no JSON object: the file is something else.
    """
    status = os.fstat(descriptor)
    if not stat.S_ISREG(status.st_mode):
        return 0
    at, complete_bytes = status.st_size, 0
    while at > 0 and complete_bytes == 0:
        begin = max(0, at - READ_BYTES)
        found = os.pread(descriptor, at - begin, begin).rfind(b"\n")
        at, complete_bytes = begin, begin + found + 1 if found >= 0 else 0
    if complete_bytes < status.st_size:
        if os.pread(descriptor, 1, complete_bytes) != b"{":
            raise OSError(errno.EINVAL, "not a file of events")
        os.ftruncate(descriptor, complete_bytes)
    return complete_bytes
