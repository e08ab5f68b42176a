"""The signals of a process, from its first moment to its exit: none is lost, and none ends it early."""

from __future__ import annotations

import contextlib
import signal
import socket
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from fordtrestle.proxy.engine.log import log

if TYPE_CHECKING:  # loaded later: signals are handled from the first moments of a process
    import asyncio

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
# The pause after a reload: nine times as long as it took, so that reloads in a burst take a tenth of the
# time.
RELOAD_PAUSE_FACTOR = 9.0
MIN_RELOAD_PAUSE_S = 0.05
MAX_RELOAD_PAUSE_S = 1.0
WAKE_UP_BYTES = 65536  # read from the wake-up socket at a time: all that it holds


def _ignore() -> None:
    pass


class Signals:
    """Flags that handlers set, and a loop that is woken to look at them.

    Guards against a wake-up socket that is full: what it can't take is only the wake-up, while the loop has
    yet to read others; what was signalled stands in the flags.

    Attributes:
        signalled_at: When the first signal to end came, in monotonic seconds, as the loop's; None: none did.
    """

    def __init__(self) -> None:
        self._stop = self._reload = False
        self.signalled_at: float | None = None
        self._loop: asyncio.AbstractEventLoop | None = None
        self._wake: tuple[socket.socket, socket.socket] | None = None
        self._on_stop: Callable[[], object] = _ignore
        self._on_reload: Callable[[], object] = _ignore

    def install(self) -> None:
        """Handle signals from now on; what comes until `attach` is seen to then.

        Guards against their defaults, which end the process, while it is starting.
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
        """Call `stop` and `reload` in the loop from now on, for signals that came before as well."""
        self._loop, self._on_stop, self._on_reload = loop, stop, reload
        self._wake = reading, writing = socket.socketpair()
        for end in self._wake:
            end.setblocking(False)
        # The interpreter writes there before any handler runs, also just as the loop goes to sleep.
        signal.set_wakeup_fd(writing.fileno(), warn_on_full_buffer=False)
        loop.add_reader(reading, self._on_wake_up, reading)
        loop.call_soon(self._handle_flags)

    def _on_wake_up(self, reading: socket.socket) -> None:
        # Read before the flags are looked at: what comes in between wakes the loop once more.
        with contextlib.suppress(BlockingIOError):
            reading.recv(WAKE_UP_BYTES)
        self._handle_flags()

    def _handle_flags(self) -> None:
        if self._reload:
            self._reload = False
            self._on_reload()
        if self._stop:
            self._stop = False
            self._on_stop()

    def finish(self) -> None:
        """Ignore signals: the process ends by itself now.

        Guards against their defaults, which are back once the loop or the interpreter ends.
        """
        for number in (*STOP_SIGNALS, signal.SIGHUP):
            signal.signal(number, signal.SIG_IGN)
        if self._loop is None or self._wake is None:
            return
        signal.set_wakeup_fd(-1)
        self._loop.remove_reader(self._wake[0])
        for end in self._wake:
            end.close()
        self._wake = None


class Reloads:
    """Runs requested reloads: one at a time, one pending at the most, with a pause between two."""

    def __init__(self, loop: asyncio.AbstractEventLoop, reload: Callable[[], None]) -> None:
        self._loop = loop
        self._reload = reload
        self._pending: asyncio.TimerHandle | None = None
        self._next = loop.time()

    def request(self) -> None:
        """Reload as soon as the pause allows; a pending reload will read what there is then."""
        if self._pending is None:
            self._pending = self._loop.call_at(max(self._next, self._loop.time()), self._run)

    def _run(self) -> None:
        self._pending = None
        began = self._loop.time()
        try:
            self._reload()
        except Exception as error:  # a reload that fails must end neither later ones nor the process
            log(f"reload: {error!r}")
        took = self._loop.time() - began
        pause = min(MAX_RELOAD_PAUSE_S, max(MIN_RELOAD_PAUSE_S, RELOAD_PAUSE_FACTOR * took))
        self._next = began + took + pause

    def close(self) -> None:
        """Cancel what is pending."""
        if self._pending is not None:
            self._pending.cancel()
