"""What a process learned, kept and acted on, as lines of JSON in a file that is appended to.

An event only goes into a buffer: a thread of its own writes, so that no request waits for a disk. Events of
one life are numbered without a gap. Once the file has all that it may have, or its disk fails, what comes is
counted and not written.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import os
import stat
import threading
from collections import deque
from collections.abc import Callable, Mapping
from typing import Any

import msgspec
import structlog

from fordtrestle.proxy.engine.log import log

BUFFERED_MOST = 64 * 1024  # bytes that are lost where the process is killed
FLUSH_S = 0.1
WAITING_MOST = 4 * 2**20  # bytes handed to the thread and not written yet: guards against a disk that stands
CLOSE_S = 2.0  # for the last of them, as the process ends
READ = 64 * 1024
FLAGS = os.O_RDWR | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC | os.O_NONBLOCK


class Events:
    """The events of one life. `stamp`: seconds of the clock that they are told on. `dropped`: how many were
    not written. `OSError` where the file can't be opened; nothing else is raised.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        path: str,
        bytes_most: int,
        node: str,
        stamp: Callable[[], float],
    ) -> None:
        self._loop = loop
        self._path = path
        self._stamp = stamp
        self._number = 0
        self._left = bytes_most  # may still be written
        self._off = False
        self._buffer = bytearray()
        self._timer: asyncio.TimerHandle | None = None
        self._file = _File(path, self._say)
        self._left -= self._file.size
        self.dropped = 0
        self._log = structlog.wrap_logger(
            structlog.BytesLogger(_Sink(self._take)),  # type: ignore[arg-type]
            processors=[structlog.processors.JSONRenderer(serializer=_Encoder())],
            wrapper_class=structlog.make_filtering_bound_logger(0),
            cache_logger_on_first_use=True,
        ).bind(node=node)

    # --- what is told -------------------------------------------------------------

    def started(self, life: int) -> None:
        """The process begins, for the `life`-th time; 0: lives are not counted."""
        self._note("started", life=life)

    def learned(
        self, rule: str, version: int, digest: str, form: str, entries: Mapping[str, str] | None = None
    ) -> None:
        """A rule came into force; `entries` of a list: the state and digest of each server."""
        more = {} if entries is None else {"entries": entries}
        self._note("learned", rule=rule, version=version, digest=digest, form=form, **more)
        self.flush()

    def acted(
        self,
        rule: str,
        version: int,
        digest: str,
        what: str,
        call: str,
        server: str,
        hop: int,
        settings: str,
        cause: str = "",
    ) -> None:
        """Something was done that rests on a list and on settings; `cause` of a refusal or a failure."""
        more = {"cause": cause} if cause else {}
        self._note(
            "acted",
            rule=rule,
            version=version,
            digest=digest,
            what=what,
            call=call,
            server=server,
            hop=hop,
            settings=settings,
            **more,
        )

    def stored(self, rule: str, version: int, digest: str) -> None:
        """A list is on disk: the next life begins with it or with a newer one."""
        self._note("stored", rule=rule, version=version, digest=digest)
        self.flush()

    def unstored(self, rule: str, why: str) -> None:
        """Nothing is stored from now on."""
        self._note("unstored", rule=rule, why=why)

    def draining(self) -> None:
        """The process was told to end."""
        self._note("draining")
        self.flush()

    def ended(self) -> None:
        """The process ends by itself: all is written, within a bound, and nothing after it."""
        self._note("ended", clean=True)
        self.flush()
        self._off = True
        if self._timer is not None:
            self._timer.cancel()
        self._file.close(CLOSE_S)
        if self.dropped:
            log(f"events {self._path}: {self.dropped} were not written")

    # --- how it is written -----------------------------------------------------------

    def _note(self, event: str, **more: Any) -> None:
        if self._off or self._file.failed:
            self.dropped += 1
            return
        try:
            self._log.info(event, number=self._number + 1, at_ms=self._stamp() * 1000.0, **more)
        except ValueError:  # a name that has no form in UTF-8
            self.dropped += 1

    def _say(self, why: str) -> None:
        """A line for on-call staff, from any thread: two that write at once would mix theirs."""
        with contextlib.suppress(RuntimeError):  # the loop is closed
            self._loop.call_soon_threadsafe(log, f"events {self._path}: {why}; no more are written")

    def _take(self, line: bytes) -> None:
        """A whole line. Where there is no room for it none comes after it either, or one would be missing."""
        if len(line) > self._left:
            self._off = True
            self.dropped += 1
            self._say("it has all that it may have")
            return
        self._left -= len(line)
        self._number += 1
        if self._buffer and len(self._buffer) + len(line) > BUFFERED_MOST:
            self.flush()
        self._buffer += line
        if self._timer is None:
            self._timer = self._loop.call_later(FLUSH_S, self._flush_late)

    def _flush_late(self) -> None:
        self._timer = None
        self.flush()

    def flush(self) -> None:
        """Hand all to the thread that writes."""
        if self._buffer:
            self._file.write(bytes(self._buffer))
            self._buffer.clear()


class _Sink:
    """What the logger takes for a file; it is flushed after each line, which means nothing here."""

    def __init__(self, write: Callable[[bytes], None]) -> None:
        self.write = write

    def flush(self) -> None:
        """Nothing: see `Events.flush`."""


class _Encoder:
    """JSON as bytes."""

    def __init__(self) -> None:
        self._encode = msgspec.json.Encoder().encode

    def __call__(self, event: Any, **options: Any) -> bytes:
        return self._encode(event)


class _File:
    """A file that a thread of its own appends to; a failure ends it, and is said once."""

    def __init__(self, path: str, say: Callable[[str], None]) -> None:
        self._say = say
        self._descriptor = os.open(path, FLAGS, 0o600)  # who asked for what is nobody else's affair
        try:
            self.size = _cut(self._descriptor)
        except OSError as error:
            os.close(self._descriptor)
            raise OSError(error.errno, error.strerror, path) from None
        self.failed = False
        self._waiting: deque[bytes] = deque()
        self._bytes = 0
        self._changed = threading.Condition()  # guards the two above
        self._closing = False
        self._thread = threading.Thread(target=self._run, name="events", daemon=True)
        self._thread.start()

    def write(self, data: bytes) -> None:
        """Write it soon, in the order given."""
        with self._changed:
            if self._bytes + len(data) > WAITING_MOST:
                self._fail("its disk is too slow")
            if not self.failed:
                self._waiting.append(data)
                self._bytes += len(data)
                self._changed.notify()

    def close(self, within_s: float) -> None:
        """Write what waits, so long at the most."""
        with self._changed:
            self._closing = True
            self._changed.notify()
        self._thread.join(within_s)
        if not self._thread.is_alive():  # else its number could be another file's while it is written to
            os.close(self._descriptor)

    def _fail(self, why: str) -> None:
        if not self.failed:
            self.failed = True
            self._say(why)

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
                self._bytes -= len(data)

    def _append(self, data: bytes) -> None:
        left = memoryview(data)
        try:
            while left:
                left = left[os.write(self._descriptor, left) :]
        except OSError as error:  # a full disk ends the events, never the process
            self._fail(error.strerror or str(error))


def _cut(descriptor: int) -> int:
    """Take away a line that was never whole, which a kill may leave; the bytes that stay.

    `OSError` where what would be taken away is no event: the file is something else.
    """
    about = os.fstat(descriptor)
    if not stat.S_ISREG(about.st_mode):
        return 0
    at, whole = about.st_size, 0
    while at > 0 and whole == 0:
        begin = max(0, at - READ)
        found = os.pread(descriptor, at - begin, begin).rfind(b"\n")
        at, whole = begin, begin + found + 1 if found >= 0 else 0
    if whole < about.st_size:
        if os.pread(descriptor, 1, whole) != b"{":
            raise OSError(errno.EINVAL, "not a file of events")
        os.ftruncate(descriptor, whole)
    return whole
