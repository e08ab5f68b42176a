"""The event file: a log of what a process learned, stored and did, one JSON object per line.

Events are buffered and written by a separate thread, so that no request waits for a disk. The events of one
incarnation are numbered without gaps. Once the file has reached its size limit, or its disk fails, further
events are only counted.
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
CLOSE_TIMEOUT_S = 2.0  # for the events not yet written when the process ends


class Events:
    """Writes the events of one incarnation of a process.

    The names and values in an event are read by users' tools, so they don't follow renames in the code.

    Attributes:
        dropped: The number of events that were not written.
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
            max_bytes: The largest size of the file.
            node: The name of the process, which each event contains.
            stamp: Returns the timestamp of an event, in seconds.

        Raises:
            OSError: The file can't be opened. No other method raises.
        """
        self._loop = loop
        self._path = path
        self._stamp = stamp
        self._number = 0
        self._is_stopped = False
        self._buffer = bytearray()
        self._timer: asyncio.TimerHandle | None = None
        self._file = AppendFile(path, self._report_failure)
        self._remaining_bytes = max_bytes - self._file.size_bytes
        self.dropped = 0
        self._log = structlog.wrap_logger(
            structlog.BytesLogger(_Sink(self._append)),  # type: ignore[arg-type]
            processors=[structlog.processors.JSONRenderer(serializer=_Encoder())],
            wrapper_class=structlog.make_filtering_bound_logger(0),
            cache_logger_on_first_use=True,
        ).bind(node=node)

    # --- events -------------------------------------------------------------------

    def started(self, incarnation: int) -> None:
        """Record the start of an incarnation; its number is 0 if starts are not counted."""
        self._record("started", life=incarnation)

    def learned(
        self, rule: str, version: int, digest: str, form: str, entries: Mapping[str, str] | None = None
    ) -> None:
        """Record that a list or settings came into force.

        Args:
            rule: `list:SERVICE` or `settings:SERVICE`.
            version: The version of a list; 0 if it has none.
            digest: The digest of the content.
            form: How it was received, such as the form of a list's update.
            entries: The state and digest of each server of a list; None for settings.
        """
        optional = {} if entries is None else {"entries": entries}
        self._record("learned", rule=rule, version=version, digest=digest, form=form, **optional)
        self.flush()

    def acted(
        self,
        rule: str,
        version: int,
        digest: str,
        action: str,
        call_id: str,
        server: str,
        attempt: int,
        settings: str,
        cause: str = "",
    ) -> None:
        """Record an action that was based on a list and on settings.

        Args:
            rule: The list, as `list:SERVICE`.
            version: The version of the list; 0 if it has none.
            digest: The digest of the list.
            action: The action; this and the next three arguments are as for `ActionRecorder`.
            call_id: The call's number.
            server: The server of an attempt.
            attempt: The attempt's index.
            settings: The digest of the settings.
            cause: The cause of a rejection or a failure; empty for other actions.
        """
        optional = {"cause": cause} if cause else {}
        self._record(
            "acted",
            rule=rule,
            version=version,
            digest=digest,
            what=action,
            call=call_id,
            server=server,
            hop=attempt,
            settings=settings,
            **optional,
        )

    def stored(self, rule: str, version: int, digest: str) -> None:
        """Record that a list is on disk: the next incarnation starts with it or with a newer one."""
        self._record("stored", rule=rule, version=version, digest=digest)
        self.flush()

    def unstored(self, rule: str, reason: str) -> None:
        """Record that nothing is stored any more, and why."""
        self._record("unstored", rule=rule, why=reason)

    def draining(self) -> None:
        """Record that the process received the signal to end."""
        self._record("draining")
        self.flush()

    def ended(self) -> None:
        """Record the graceful end of the process, and write all events within CLOSE_TIMEOUT_S.

        Later events are dropped.
        """
        self._record("ended", clean=True)
        self.flush()
        self._is_stopped = True
        if self._timer is not None:
            self._timer.cancel()
        self._file.close(CLOSE_TIMEOUT_S)
        if self.dropped:
            log(f"events {self._path}: {self.dropped} events were not written")

    # --- writing --------------------------------------------------------------------

    def _record(self, event: str, **fields: Any) -> None:
        if self._is_stopped or self._file.has_failed:
            self.dropped += 1
            return
        try:
            self._log.info(event, number=self._number + 1, at_ms=self._stamp() * 1000.0, **fields)
        except ValueError:  # a name that can't be encoded in UTF-8
            self.dropped += 1

    def _report_failure(self, reason: str) -> None:
        """Log in the event loop why writing has stopped; lines logged by two threads could be interleaved."""
        with contextlib.suppress(RuntimeError):  # the loop is closed
            self._loop.call_soon_threadsafe(log, f"events {self._path}: {reason}; no more events are written")

    def _append(self, line: bytes) -> None:
        """Buffer a line.

        The first line that exceeds the file's limit stops the recording, so that the events have no gaps.
        """
        if len(line) > self._remaining_bytes:
            self._is_stopped = True
            self.dropped += 1
            self._report_failure("the file has reached its size limit (mb_most)")
            return
        self._remaining_bytes -= len(line)
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
        """Pass the buffered lines to the writing thread."""
        if self._buffer:
            self._file.write(bytes(self._buffer))
            self._buffer.clear()


class _Sink:
    """The file that the logger writes to; the logger flushes it after each line, which does nothing here."""

    def __init__(self, write: Callable[[bytes], None]) -> None:
        self.write = write

    def flush(self) -> None:
        """Do nothing: see `Events.flush`."""


class _Encoder:
    """Encodes an event as JSON; ignores the options of the logger, which msgspec does not accept."""

    def __init__(self) -> None:
        self._encode = msgspec.json.Encoder().encode

    def __call__(self, event: Any, **options: Any) -> bytes:
        return self._encode(event)
