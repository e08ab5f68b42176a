"""The event file: what a process learned, stored and did, as lines of JSON that are appended.

An event only goes into a buffer: a thread of its own writes, so that no request waits for a disk. Events of
one incarnation are numbered without a gap. Once the file has all that it may have, or its disk fails, what
comes is counted and not written.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Mapping
from typing import Any

import msgspec
import structlog

from fordtrestle.proxy.daemon.append_file import AppendFile
from fordtrestle.proxy.engine.log import log

MAX_BUFFERED_BYTES = 64 * 1024  # lost if the process is killed
FLUSH_INTERVAL_S = 0.1
CLOSE_TIMEOUT_S = 2.0  # for what is not yet written, as the process ends


class Events:
    """Writes the events of one incarnation of a process.

    Names and values of an event are read by users' tools: they stay, whatever the code calls them.

    Attributes:
        dropped: How many events were not written.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        path: str,
        max_bytes: int,
        node: str,
        stamp: Callable[[], float],
    ) -> None:
        """Open the file.

        Args:
            loop: The event loop, in which buffered events are flushed.
            path: The file.
            max_bytes: The most that the file may have.
            node: The name of the process, in each event.
            stamp: Returns the seconds by which events are stamped.

        Raises:
            OSError: The file can't be opened. Nothing else is raised by any method.
        """
        self._loop = loop
        self._path = path
        self._stamp = stamp
        self._number = 0
        self._off = False
        self._buffer = bytearray()
        self._timer: asyncio.TimerHandle | None = None
        self._file = AppendFile(path, self._report_failure)
        self._left_bytes = max_bytes - self._file.size_bytes
        self.dropped = 0
        self._log = structlog.wrap_logger(
            structlog.BytesLogger(_Sink(self._append)),  # type: ignore[arg-type]
            processors=[structlog.processors.JSONRenderer(serializer=_Encoder())],
            wrapper_class=structlog.make_filtering_bound_logger(0),
            cache_logger_on_first_use=True,
        ).bind(node=node)

    # --- events -------------------------------------------------------------------

    def started(self, life: int) -> None:
        """The process starts, for the `life`-th time; 0: starts are not counted."""
        self._record("started", life=life)

    def learned(
        self, rule: str, version: int, digest: str, form: str, entries: Mapping[str, str] | None = None
    ) -> None:
        """A list or settings came into force.

        Args:
            rule: What it is, as `list:SERVICE` or `settings:SERVICE`.
            version: The version of a list; 0: it has none.
            digest: The digest of its content.
            form: How it came.
            entries: Of a list: the state and digest of each server.
        """
        more = {} if entries is None else {"entries": entries}
        self._record("learned", rule=rule, version=version, digest=digest, form=form, **more)
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
        """Something was done by a list and by settings.

        Args:
            rule: The list, as `list:SERVICE`.
            version: Its version; 0: it has none.
            digest: Its digest.
            what: The action; this and the next three are as for `ActionRecorder`.
            call: The call's number.
            server: The server of an attempt.
            hop: The attempt's index.
            settings: The digest of the settings.
            cause: Of a refusal or a failure.
        """
        more = {"cause": cause} if cause else {}
        self._record(
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
        """A list is on disk: the next incarnation begins with it or with a newer one."""
        self._record("stored", rule=rule, version=version, digest=digest)
        self.flush()

    def unstored(self, rule: str, why: str) -> None:
        """Nothing is stored from now on."""
        self._record("unstored", rule=rule, why=why)

    def draining(self) -> None:
        """The process was signalled to end."""
        self._record("draining")
        self.flush()

    def ended(self) -> None:
        """The process ends by itself: write everything, within CLOSE_TIMEOUT_S, and nothing after it."""
        self._record("ended", clean=True)
        self.flush()
        self._off = True
        if self._timer is not None:
            self._timer.cancel()
        self._file.close(CLOSE_TIMEOUT_S)
        if self.dropped:
            log(f"events {self._path}: {self.dropped} were not written")

    # --- writing --------------------------------------------------------------------

    def _record(self, event: str, **more: Any) -> None:
        if self._off or self._file.failed:
            self.dropped += 1
            return
        try:
            self._log.info(event, number=self._number + 1, at_ms=self._stamp() * 1000.0, **more)
        except ValueError:  # a name that can't be encoded in UTF-8
            self.dropped += 1

    def _report_failure(self, reason: str) -> None:
        """Log why no more is written, in the loop: two threads that write at once would mix their lines."""
        with contextlib.suppress(RuntimeError):  # the loop is closed
            self._loop.call_soon_threadsafe(log, f"events {self._path}: {reason}; no more are written")

    def _append(self, line: bytes) -> None:
        """Buffer a line; the first that exceeds the file's bound ends the events, so that none is missing."""
        if len(line) > self._left_bytes:
            self._off = True
            self.dropped += 1
            self._report_failure("it has all that it may have")
            return
        self._left_bytes -= len(line)
        self._number += 1
        if self._buffer and len(self._buffer) + len(line) > MAX_BUFFERED_BYTES:
            self.flush()
        self._buffer += line
        if self._timer is None:
            self._timer = self._loop.call_later(FLUSH_INTERVAL_S, self._on_flush_timer)

    def _on_flush_timer(self) -> None:
        self._timer = None
        self.flush()

    def flush(self) -> None:
        """Hand what is buffered to the thread that writes."""
        if self._buffer:
            self._file.write(bytes(self._buffer))
            self._buffer.clear()


class _Sink:
    """What the logger takes for a file; it flushes after each line, which does nothing here."""

    def __init__(self, write: Callable[[bytes], None]) -> None:
        self.write = write

    def flush(self) -> None:
        """Do nothing: see `Events.flush`."""


class _Encoder:
    """Encodes an event as JSON; a class, since the logger passes options that msgspec does not take."""

    def __init__(self) -> None:
        self._encode = msgspec.json.Encoder().encode

    def __call__(self, event: Any, **options: Any) -> bytes:
        return self._encode(event)
