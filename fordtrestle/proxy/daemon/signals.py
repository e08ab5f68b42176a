"""Signals of a process, from its first moment to its exit: none is lost, none ends it early."""

from __future__ import annotations

import contextlib
import signal
import socket
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from fordtrestle.proxy.engine.log import log

if TYPE_CHECKING:  # loaded later: signals are noted from the first moments of a process
    import asyncio

ENDING = (signal.SIGTERM, signal.SIGINT)
# A reload at once if the one before it was not just now; in a burst they take a tenth of the time.
PAUSE_LEAST_S, PAUSE_MOST_S = 0.05, 1.0
PAUSE_TIMES = 9.0


class Signals:
    """Flags that handlers set, and a loop that is woken to look at them.

    Guards against a wake-up socket that is full: what it can't take then is only the wake-up, while
    the loop has yet to read others; what was asked for stands in the flags.
    """

    def __init__(self) -> None:
        self._stop = self._reload = False
        self.signalled_at: float | None = None  # the first signal to end, in monotonic seconds, as the loop's
        self._loop: asyncio.AbstractEventLoop | None = None
        self._wake: tuple[socket.socket, socket.socket] | None = None
        self._on_stop: Callable[[], object] = int
        self._on_reload: Callable[[], object] = int

    def install(self) -> None:
        """Note signals from now on. Guards against their defaults, which end the process, while it is
        starting: what comes until `attach` is seen to then.
        """
        for number in (*ENDING, signal.SIGHUP):
            signal.signal(number, self._note)

    def _note(self, number: int, frame: object) -> None:
        if number == signal.SIGHUP:
            self._reload = True
        else:
            self._stop = True
            if self.signalled_at is None:
                self.signalled_at = time.monotonic()

    def attach(
        self, loop: asyncio.AbstractEventLoop, stop: Callable[[], object], reload: Callable[[], object]
    ) -> None:
        """See to signals in the loop from now on: `stop` and `reload` are called there."""
        self._loop, self._on_stop, self._on_reload = loop, stop, reload
        self._wake = reading, writing = socket.socketpair()
        for end in self._wake:
            end.setblocking(False)
        # The interpreter writes there before any handler runs, also just as the loop goes to sleep.
        signal.set_wakeup_fd(writing.fileno(), warn_on_full_buffer=False)
        loop.add_reader(reading, self._woken, reading)
        loop.call_soon(self._look)

    def _woken(self, reading: socket.socket) -> None:
        # Read before the flags are looked at: what comes in between wakes the loop once more.
        with contextlib.suppress(BlockingIOError):
            reading.recv(65536)
        self._look()

    def _look(self) -> None:
        if self._reload:
            self._reload = False
            self._on_reload()
        if self._stop:
            self._stop = False
            self._on_stop()

    def finish(self) -> None:
        """The process ends by itself now. Guards against a signal once its handlers are gone."""
        for number in (*ENDING, signal.SIGHUP):
            signal.signal(number, signal.SIG_IGN)
        if self._loop is None or self._wake is None:
            return
        signal.set_wakeup_fd(-1)
        self._loop.remove_reader(self._wake[0])
        for end in self._wake:
            end.close()
        self._wake = None


class Reloads:
    """Reloads that are asked for: one at a time, one pending at the most, and not without a pause."""

    def __init__(self, loop: asyncio.AbstractEventLoop, reload: Callable[[], None]) -> None:
        self._loop = loop
        self._reload = reload
        self._pending: asyncio.TimerHandle | None = None
        self._next = loop.time()

    def ask(self) -> None:
        """Reload as soon as the pause allows: what is pending already reads what there is then."""
        if self._pending is None:
            self._pending = self._loop.call_at(max(self._next, self._loop.time()), self._run)

    def _run(self) -> None:
        self._pending = None
        began = self._loop.time()
        try:
            self._reload()
        except Exception as error:  # a reload that fails must not be the end of reloads, nor of all
            log(f"reload: {error!r}")
        took = self._loop.time() - began
        self._next = began + took + min(PAUSE_MOST_S, max(PAUSE_LEAST_S, PAUSE_TIMES * took))

    def close(self) -> None:
        """No more reloads."""
        if self._pending is not None:
            self._pending.cancel()
