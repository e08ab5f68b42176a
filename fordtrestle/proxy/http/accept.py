"""Accepting connections, at a pace, and holding those that have said nothing yet at next to no cost."""

from __future__ import annotations

import asyncio
import errno
import socket
import struct
from collections.abc import Callable
from typing import Protocol

from fordtrestle.proxy.engine.connection_table import TableEntry
from fordtrestle.proxy.engine.limits import QuotaShare
from fordtrestle.proxy.http import stream
from fordtrestle.proxy.http.held import HeldConnection

# Connections accepted in one turn of the loop. Guards against a flood that keeps the loop from all
# else: what was accepted in a turn is looked at before more is.
ACCEPTS_A_TURN = 16
LATE_MS = 20.0  # a loop that runs less late than this has kept nobody waiting
PAUSE_S = 0.05  # the longest wait of a connection for a descriptor; it counts against its first request


# accept(2): the process or the system has no descriptor or memory for one. Other errors are of the
# connection that would have been next.
SHORT = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))
QUEUE_AT = 24  # struct tcp_info of a listening socket: its queue of connections not accepted, and its bound


class Doorkeeper(Protocol):
    """What connections are accepted for, and who finds descriptors for them."""

    def take_descriptor(self, certain: bool, urgent: bool) -> QuotaShare | None:
        """The part that the descriptor of a connection about to be accepted was taken from; None: of none.

        Only where it is `certain` that one waits is somebody evicted; where it is `urgent`, anybody may
        be.
        """

    def accepted(self, sock: socket.socket, part: QuotaShare, waited_ms: float) -> None:
        """A connection, which may have waited for so long."""

    @property
    def late_ms(self) -> float:
        """How late the loop runs at this moment."""

    def out_of_descriptors(self) -> None:
        """The system grants no descriptor, whatever the accounting says."""


def queued(sock: socket.socket) -> tuple[int, int]:
    """Connections that wait to be accepted, and how many may (tcp(7), TCP_INFO); 0 of 0 if it is closed."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, QUEUE_AT + 8)
        waiting, most = struct.unpack_from("=II", info, QUEUE_AT)
    except (OSError, struct.error):
        return 0, 0
    return int(waiting), int(most)


class Acceptor:
    """Accepts at one listening socket, a few connections in each turn of the loop, while descriptors last."""

    def __init__(self, loop: asyncio.AbstractEventLoop, sock: socket.socket, keeper: Doorkeeper) -> None:
        self._loop = loop
        self.sock = sock
        self._keeper = keeper
        self._pause: asyncio.TimerHandle | None = None
        self._firm = False  # it goes on only once its time is over
        self._full_since: float | None = None  # since when the next has waited for a descriptor
        # Who was queued at the end of a wait, and how long that was: what comes later has not waited.
        self._waiters = 0
        self._waited_ms = 0.0
        self._finishing: asyncio.TimerHandle | None = None
        self._closed = False
        sock.setblocking(False)
        loop.add_reader(sock.fileno(), self._ready)

    def pause(self, firm: bool = False) -> None:
        """Accept nothing for a moment: what connects waits in the kernel's backlog. One that is not `firm`
        is over as soon as there may be a descriptor.
        """
        self._firm = self._firm or firm
        if self._pause is None and not self._closed:
            self._loop.remove_reader(self.sock.fileno())
            if self._full_since is None:
                self._full_since = self._loop.time()
            self._pause = self._loop.call_later(PAUSE_S, self._go_on)

    def resume(self) -> None:
        """There may be a descriptor."""
        if self._pause is not None and not self._firm:
            self._pause.cancel()
            self._go_on()

    def finish(self, within_s: float) -> None:
        """Accept what is queued already, and then close; what is there after that long is not taken."""
        if not self._closed:
            self._finishing = self._loop.call_later(within_s, self.close)
            self._ready()

    @property
    def closed(self) -> bool:
        """Whether it accepts nothing more."""
        return self._closed

    def close(self) -> None:
        """Accept nothing more, and close the listening socket."""
        if not self._closed:
            self._closed = True
            for timer in (self._pause, self._finishing):
                if timer is not None:
                    timer.cancel()
            self._pause = None  # nothing goes on here again
            self._loop.remove_reader(self.sock.fileno())
            self.sock.close()

    def _go_on(self) -> None:
        self._pause, self._firm = None, False
        if self._full_since is not None:
            self._note_wait((self._loop.time() - self._full_since) * 1000.0)
        self._loop.add_reader(self.sock.fileno(), self._ready)

    def _note_wait(self, waited_ms: float) -> None:
        self._waiters, self._waited_ms = queued(self.sock)[0], waited_ms

    def _ready(self) -> None:
        late_ms = self._keeper.late_ms
        if late_ms >= LATE_MS:
            # The loop stood still: all that is queued may have waited for as long.
            self._note_wait(max(late_ms, self._waited_ms if self._waiters else 0.0))
        for number in range(ACCEPTS_A_TURN):
            if self._closed or not self._accept(number == 0):
                return

    def _accept(self, certain: bool) -> bool:
        """Accept one connection; whether there may be another. The first of a turn is known to be there:
        guards against closing somebody for one that is not.
        """
        full_s = 0.0 if self._full_since is None else self._loop.time() - self._full_since
        part = self._keeper.take_descriptor(certain, full_s >= PAUSE_S)
        if part is None:
            if certain:
                self.pause()
            return False
        try:
            sock, _ = self.sock.accept()
        except OSError as error:
            part.release()
            self._refused(error)
            return False
        self._full_since = None
        waited_ms = 0.0
        if self._waiters > 0:
            self._waiters -= 1
            # Who has sent nothing yet has waited for nothing.
            waited_ms = self._waited_ms if stream.readable(sock) else 0.0
        sock.setblocking(False)
        self._keeper.accepted(sock, part, waited_ms)
        return True

    def _refused(self, error: OSError) -> None:
        if error.errno in (errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR):
            self._full_since, self._waiters = None, 0
            if self._finishing is not None:
                self.close()
        elif error.errno in SHORT:
            # Without a spin, which the readable socket would make of it, and with room for the next,
            # since what is queued there may be a good client's.
            self._keeper.out_of_descriptors()
            self.pause()


class PendingConnection:
    """A connection that has said nothing: a socket and no more, since most of a crowd stay so."""

    __slots__ = ("_first_bytes", "_loop", "_released", "entry", "sock")

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        first_bytes: Callable[[PendingConnection, bytes], None],
        released: Callable[[HeldConnection], None],
    ) -> None:
        self._loop = loop
        self.sock = sock
        self.entry: TableEntry[HeldConnection]
        self._first_bytes = first_bytes
        self._released = released
        loop.add_reader(sock.fileno(), self._ready)  # by number: a socket is described each time it is met

    @property
    def idle(self) -> bool:
        """Whether it has said nothing still."""
        return not stream.readable(self.sock)

    quiet = idle

    def close(self) -> None:
        """Close it."""
        if self.sock.fileno() >= 0:
            self._loop.remove_reader(self.sock.fileno())
            self.sock.close()
            self._released(self)

    abort = first_is_overdue = close

    def _ready(self) -> None:
        try:
            count = self.sock.recv_into(stream.SHARED)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            count = 0
        if not count:
            self.close()
            return
        self._loop.remove_reader(self.sock.fileno())
        self._first_bytes(self, bytes(stream.SHARED[:count]))
