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
from fordtrestle.proxy.http.tracked_connection import TrackedConnection

# Connections accepted in one turn of the loop. Guards against a flood that keeps the loop from all
# else: what was accepted in a turn is looked at before more is.
MAX_ACCEPTS_PER_TURN = 16
MIN_LAG_MS = 20.0  # a loop that runs less late than this has kept nobody waiting
# The longest wait of a connection for a descriptor. It counts against its first request.
ACCEPT_PAUSE_S = 0.05
# accept(2): the process or the system has no descriptor or memory for one. Other errors are of the
# connection that would have been next.
SHORTAGE_ERRNOS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))
# Bytes from the start of struct tcp_info. Of a listening socket, two unsigned integers there are its queue of
# connections not accepted, and that queue's bound (linux/tcp.h: tcpi_unacked, tcpi_sacked).
TCP_INFO_QUEUE_OFFSET = 24


class AcceptPolicy(Protocol):
    """What connections are accepted for, and who finds descriptors for them."""

    def take_descriptor(self, certain: bool, urgent: bool) -> QuotaShare | None:
        """Take the descriptor of a connection about to be accepted.

        Only where it is `certain` that one waits is somebody evicted; where it is `urgent`, anybody may be.

        Returns:
            The part that it was taken from; None if there is none.
        """

    def on_accepted(self, sock: socket.socket, part: QuotaShare, waited_ms: float) -> None:
        """A connection was accepted; it may have waited for so long."""

    @property
    def lag_ms(self) -> float:
        """How late the loop runs at this moment."""

    def on_descriptors_exhausted(self) -> None:
        """The system grants no descriptor, whatever the accounting says."""


def accept_queue(sock: socket.socket) -> tuple[int, int]:
    """Read a listening socket's queue from the kernel (tcp(7), TCP_INFO).

    Returns:
        How many connections wait to be accepted, and how many may; 0 of 0 if the socket is closed.
    """
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_QUEUE_OFFSET + 8)
        waiting, most = struct.unpack_from("=II", info, TCP_INFO_QUEUE_OFFSET)
    except (OSError, struct.error):
        return 0, 0
    return int(waiting), int(most)


class Acceptor:
    """Accepts at one listening socket, a few connections in each turn of the loop, while descriptors last.

    Attributes:
        sock: The listening socket.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, sock: socket.socket, policy: AcceptPolicy) -> None:
        """Begin to accept; `policy` finds the descriptors and is given the connections."""
        self._loop = loop
        self.sock = sock
        self._policy = policy
        self._pause: asyncio.TimerHandle | None = None
        self._is_firm = False  # it goes on only once its time is over
        self._full_since_s: float | None = None  # since when the next has waited for a descriptor
        # Who was queued at the end of a wait, and how long that was: what comes later has not waited.
        self._waiters = 0
        self._waited_ms = 0.0
        self._finishing: asyncio.TimerHandle | None = None
        self._is_closed = False
        sock.setblocking(False)
        loop.add_reader(sock.fileno(), self._on_readable)

    def pause(self, is_firm: bool = False) -> None:
        """Accept nothing for `ACCEPT_PAUSE_S`: what connects waits in the kernel's backlog.

        A pause that is not firm is over as soon as there may be a descriptor.
        """
        self._is_firm = self._is_firm or is_firm
        if self._pause is None and not self._is_closed:
            self._loop.remove_reader(self.sock.fileno())
            if self._full_since_s is None:
                self._full_since_s = self._loop.time()
            self._pause = self._loop.call_later(ACCEPT_PAUSE_S, self._resume_accepting)

    def resume(self) -> None:
        """Go on, unless the pause is firm: there may be a descriptor."""
        if self._pause is not None and not self._is_firm:
            self._pause.cancel()
            self._resume_accepting()

    def finish(self, within_s: float) -> None:
        """Accept what is queued already, and then close; after so many seconds nothing more is accepted."""
        if not self._is_closed:
            self._finishing = self._loop.call_later(within_s, self.close)
            self._on_readable()

    @property
    def is_closed(self) -> bool:
        """Whether it accepts nothing more."""
        return self._is_closed

    def close(self) -> None:
        """Accept nothing more, and close the listening socket."""
        if not self._is_closed:
            self._is_closed = True
            for timer in (self._pause, self._finishing):
                if timer is not None:
                    timer.cancel()
            self._pause = None  # nothing goes on here again
            self._loop.remove_reader(self.sock.fileno())
            self.sock.close()

    def _resume_accepting(self) -> None:
        self._pause, self._is_firm = None, False
        if self._full_since_s is not None:
            self._record_wait((self._loop.time() - self._full_since_s) * 1000.0)
        self._loop.add_reader(self.sock.fileno(), self._on_readable)

    def _record_wait(self, waited_ms: float) -> None:
        self._waiters, self._waited_ms = accept_queue(self.sock)[0], waited_ms

    def _on_readable(self) -> None:
        lag_ms = self._policy.lag_ms
        if lag_ms >= MIN_LAG_MS:
            # The loop stood still: all that is queued may have waited for as long.
            self._record_wait(max(lag_ms, self._waited_ms if self._waiters else 0.0))
        for number in range(MAX_ACCEPTS_PER_TURN):
            if self._is_closed or not self._accept(number == 0):
                return

    def _accept(self, certain: bool) -> bool:
        """Accept one connection; whether there may be another.

        The first of a turn is known to be there (`certain`): guards against evicting somebody for one that
        is not.
        """
        full_s = 0.0 if self._full_since_s is None else self._loop.time() - self._full_since_s
        part = self._policy.take_descriptor(certain, full_s >= ACCEPT_PAUSE_S)
        if part is None:
            if certain:
                self.pause()
            return False
        try:
            sock, _ = self.sock.accept()
        except OSError as error:
            part.release()
            self._on_accept_error(error)
            return False
        self._full_since_s = None
        waited_ms = 0.0
        if self._waiters > 0:
            self._waiters -= 1
            # Who has sent nothing yet has waited for nothing.
            waited_ms = self._waited_ms if stream.is_readable(sock) else 0.0
        sock.setblocking(False)
        self._policy.on_accepted(sock, part, waited_ms)
        return True

    def _on_accept_error(self, error: OSError) -> None:
        if error.errno in (errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR):
            self._full_since_s, self._waiters = None, 0
            if self._finishing is not None:
                self.close()
        elif error.errno in SHORTAGE_ERRNOS:
            # Without a spin, which the readable socket would make of it, and with room for the next,
            # since what is queued there may be a good client's.
            self._policy.on_descriptors_exhausted()
            self.pause()


class PendingConnection:
    """A connection that has said nothing: a socket and no more, since most of a flood stay so.

    Attributes:
        sock: Its socket.
        entry: Its place in the server's table.
    """

    __slots__ = ("_loop", "_on_closed", "_on_first_bytes", "entry", "sock")

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        on_first_bytes: Callable[[PendingConnection, bytes], None],
        on_closed: Callable[[TrackedConnection], None],
    ) -> None:
        """Wait for the first bytes.

        Args:
            loop: Watches the socket.
            sock: The accepted socket.
            on_first_bytes: Called with this and its first bytes; from then on the socket is the callee's.
            on_closed: Called once it was closed here.
        """
        self._loop = loop
        self.sock = sock
        self.entry: TableEntry[TrackedConnection]
        self._on_first_bytes = on_first_bytes
        self._on_closed = on_closed
        # By number: asyncio describes a socket object anew each time that it is met.
        loop.add_reader(sock.fileno(), self._on_readable)

    @property
    def is_idle(self) -> bool:
        """Whether it has said nothing still."""
        return not stream.is_readable(self.sock)

    is_evictable = is_idle

    def close(self) -> None:
        """Close it."""
        if self.sock.fileno() >= 0:
            self._loop.remove_reader(self.sock.fileno())
            self.sock.close()
            self._on_closed(self)

    abort = on_request_overdue = close

    def _on_readable(self) -> None:
        try:
            count = self.sock.recv_into(stream.READ_BUFFER)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            count = 0
        if not count:
            self.close()
            return
        self._loop.remove_reader(self.sock.fileno())
        self._on_first_bytes(self, bytes(stream.READ_BUFFER[:count]))
