"""Handles the signals of a process from its start to its exit: none is lost, and none kills the process."""

from __future__ import annotations

import contextlib
import signal
import socket
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from fordtrestle.proxy.engine.log import log

if TYPE_CHECKING:  # loaded later, so that signals are handled as early as possible
    import asyncio

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
# The pause after a reload is nine times its duration, so that a burst of reloads takes a tenth of the time.
RELOAD_PAUSE_FACTOR = 9.0
MIN_RELOAD_PAUSE_S = 0.05
MAX_RELOAD_PAUSE_S = 1.0
WAKE_UP_BYTES = 65536  # read from the wake-up socket at once: all that it buffers


def _ignore() -> None:
    pass


class Signals:
    """Flags that signal handlers set, and a wake-up of the event loop, which then reads them.

    No signal is lost when the wake-up socket is full: the signal is in the flags, and the loop will be woken
    by the bytes that it has not read yet.

    Attributes:
        signalled_at: When the first signal to end was received, in monotonic seconds as on the loop's clock;
            None if there was none.
    """

    def __init__(self) -> None:
        self._stop = self._reload = False
        self.signalled_at: float | None = None
        self._loop: asyncio.AbstractEventLoop | None = None
        self._wake_sockets: tuple[socket.socket, socket.socket] | None = None
        self._on_stop: Callable[[], object] = _ignore
        self._on_reload: Callable[[], object] = _ignore

    def install(self) -> None:
        """Install the signal handlers; signals received before `attach` are handled by it.

        While the process is starting, the default actions would kill it.
        """
        for number in (*STOP_SIGNALS, signal.SIGHUP):
            signal.signal(number, self._on_signal)

    def _on_signal(self, number: int, frame: object) -> None:
        if number == signal.SIGHUP:
            self._reload = True
        else:
            self._stop = True
            if self.signalled_at is None:
                self.signalled_at = time.monotonic()

    def attach(
        self, loop: asyncio.AbstractEventLoop, stop: Callable[[], object], reload: Callable[[], object]
    ) -> None:
        """Call `stop` and `reload` in the event loop, also for signals that were received before."""
        self._loop, self._on_stop, self._on_reload = loop, stop, reload
        self._wake_sockets = read_end, write_end = socket.socketpair()
        for end in self._wake_sockets:
            end.setblocking(False)
        # The interpreter writes to the socket before any handler runs, so a loop that is about to wait is
        # woken.
        signal.set_wakeup_fd(write_end.fileno(), warn_on_full_buffer=False)
        loop.add_reader(read_end, self._on_wake_up, read_end)
        loop.call_soon(self._handle_flags)

    def _on_wake_up(self, read_end: socket.socket) -> None:
        # Read before the flags are checked, so that a signal received in between wakes the loop again.
        with contextlib.suppress(BlockingIOError):
            read_end.recv(WAKE_UP_BYTES)
        self._handle_flags()

    def _handle_flags(self) -> None:
        if self._reload:
            self._reload = False
            self._on_reload()
        if self._stop:
            self._stop = False
            self._on_stop()

    def finish(self) -> None:
        """Ignore signals from now on, since the process is about to exit.

        Otherwise the default actions would be restored when the loop or the interpreter ends.
        """
        for number in (*STOP_SIGNALS, signal.SIGHUP):
            signal.signal(number, signal.SIG_IGN)
        if self._loop is None or self._wake_sockets is None:
            return
        signal.set_wakeup_fd(-1)
        self._loop.remove_reader(self._wake_sockets[0])
        for end in self._wake_sockets:
            end.close()
        self._wake_sockets = None


class Reloads:
    """Runs requested reloads one at a time, with a pause between two and at most one pending."""

    def __init__(self, loop: asyncio.AbstractEventLoop, reload: Callable[[], None]) -> None:
        self._loop = loop
        self._reload = reload
        self._pending: asyncio.TimerHandle | None = None
        self._next_at = loop.time()

    def request(self) -> None:
        """Reload once the pause is over; a reload that is already pending covers this request."""
        if self._pending is None:
            self._pending = self._loop.call_at(max(self._next_at, self._loop.time()), self._run)

    def _run(self) -> None:
        self._pending = None
        started_at = self._loop.time()
        try:
            self._reload()
        except Exception as error:  # a failed reload must neither prevent later ones nor end the process
            log(f"reload: {error!r}")
        elapsed_s = self._loop.time() - started_at
        pause_s = min(MAX_RELOAD_PAUSE_S, max(MIN_RELOAD_PAUSE_S, RELOAD_PAUSE_FACTOR * elapsed_s))
        self._next_at = started_at + elapsed_s + pause_s

    def close(self) -> None:
        """Cancel a pending reload."""
        if self._pending is not None:
            self._pending.cancel()
