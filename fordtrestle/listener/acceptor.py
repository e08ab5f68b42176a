"""Accepts connections at a bounded rate, each only once a quota has a descriptor for it."""

from __future__ import annotations

import asyncio
import errno
import select
import socket
import struct
from typing import Protocol

from fordtrestle.resources.quotas import QuotaShare

# The most connections accepted in one iteration of the loop. Guards against a connection flood that starves
# all other work: the connections accepted in an iteration are served before more are accepted.
MAX_ACCEPTS_PER_TURN = 16
MIN_LAG_MS = 20.0  # a smaller lag of the loop does not count as a wait of queued connections
# The longest wait of a connection for a descriptor. It counts against the deadline of its first request.
ACCEPT_PAUSE_S = 0.05
# accept(2): the process or the system has no descriptor or memory for another connection. Other errors
# concern the connection that would have been accepted.
SHORTAGE_ERRNOS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))
# The byte offset in struct tcp_info of two unsigned integers that, for a listening socket, are the length of
# its accept queue and the limit of that queue (linux/tcp.h: tcpi_unacked, tcpi_sacked).
TCP_INFO_QUEUE_OFFSET = 24


def is_readable(sock: socket.socket) -> bool:
    """Return whether a socket has unread bytes or an end that was not read, or is closed."""
    if sock.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))


class AcceptPolicy(Protocol):
    """The server that connections are accepted for, which also provides their descriptors."""

    def take_descriptor(self, is_waiting: bool, urgent: bool) -> QuotaShare | None:
        """Take the descriptor of a connection about to be accepted.

        Args:
            is_waiting: Whether a connection is known to wait; only then may another be evicted for it.
            urgent: Whether it has waited for so long that pending connections may be evicted as well.

        Returns:
            The share that the descriptor was taken from; None if there is no descriptor.
        """

    def on_accepted(self, sock: socket.socket, share: QuotaShare, waited_ms: float) -> None:
        """Handle an accepted connection, which may have waited for `waited_ms` in the queue."""

    @property
    def lag_ms(self) -> float:
        """The current lag of the loop in milliseconds."""

    def on_descriptors_exhausted(self) -> None:
        """Handle that the system grants no descriptor, whatever the quotas say."""


def accept_queue(sock: socket.socket) -> tuple[int, int]:
    """Read the accept queue of a listening socket from the kernel (tcp(7), TCP_INFO).

    Returns:
        The number of connections that wait to be accepted, and the limit of the queue; 0 and 0 if the socket
        is closed.
    """
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_QUEUE_OFFSET + 8)
        queued, max_queued = struct.unpack_from("=II", info, TCP_INFO_QUEUE_OFFSET)
    except (OSError, struct.error):
        return 0, 0
    return int(queued), int(max_queued)


class Acceptor:
    """Accepts a few connections of one listening socket per iteration of the loop while descriptors last.

    Attributes:
        sock: The listening socket.
        drained_at: When the accept queue was last known to be empty, in seconds of the loop's clock.
        is_backlogged: Whether connections may have waited in the queue since `drained_at`, because the last
            iteration did not empty it.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        policy: AcceptPolicy,
        max_accepts: int = MAX_ACCEPTS_PER_TURN,
    ) -> None:
        """Start accepting.

        Args:
            loop: Watches the socket.
            sock: The listening socket.
            policy: Provides the descriptors and receives the connections.
            max_accepts: The most connections accepted in one iteration of the loop.
        """
        self._loop = loop
        self.sock = sock
        self._policy = policy
        self._max_accepts = max_accepts
        self.drained_at = loop.time()
        self.is_backlogged = False
        self._pause: asyncio.TimerHandle | None = None
        self._is_fixed = False  # whether the pause lasts for its full time
        self._blocked_since_s: float | None = None  # since when the next connection waits for a descriptor
        # The connections queued when a wait ended, and its length: later connections did not wait.
        self._queued_count = 0
        self._queue_wait_ms = 0.0
        self._finishing: asyncio.TimerHandle | None = None
        self._is_closed = False
        sock.setblocking(False)
        loop.add_reader(sock.fileno(), self._on_readable)

    def pause(self, is_fixed: bool = False) -> None:
        """Accept nothing for `ACCEPT_PAUSE_S`: new connections wait in the kernel's backlog.

        Args:
            is_fixed: Whether the pause lasts for its full time; otherwise `resume` ends it as soon as a
                descriptor may be free.
        """
        self._is_fixed = self._is_fixed or is_fixed
        if self._pause is None and not self._is_closed:
            self._loop.remove_reader(self.sock.fileno())
            if self._blocked_since_s is None:
                self._blocked_since_s = self._loop.time()
            self._pause = self._loop.call_later(ACCEPT_PAUSE_S, self._resume_accepting)

    def resume(self) -> None:
        """Continue as a descriptor may be free, unless the pause is fixed."""
        if self._pause is not None and not self._is_fixed:
            self._pause.cancel()
            self._resume_accepting()

    def finish(self, within_s: float) -> None:
        """Accept the connections that are queued already, for at most `within_s` seconds, then close."""
        if not self._is_closed:
            self._finishing = self._loop.call_later(within_s, self.close)
            self._on_readable()

    @property
    def is_closed(self) -> bool:
        """Whether it has stopped accepting."""
        return self._is_closed

    def close(self) -> None:
        """Stop accepting and close the listening socket."""
        if not self._is_closed:
            self._is_closed = True
            for timer in (self._pause, self._finishing):
                if timer is not None:
                    timer.cancel()
            self._pause = None  # so that `resume` does nothing
            self._loop.remove_reader(self.sock.fileno())
            self.sock.close()

    def _resume_accepting(self) -> None:
        self._pause, self._is_fixed = None, False
        if self._blocked_since_s is not None:
            self._record_wait((self._loop.time() - self._blocked_since_s) * 1000.0)
        self._loop.add_reader(self.sock.fileno(), self._on_readable)

    def _record_wait(self, waited_ms: float) -> None:
        self._queued_count, self._queue_wait_ms = accept_queue(self.sock)[0], waited_ms

    def _on_readable(self) -> None:
        lag_ms = self._policy.lag_ms
        if lag_ms >= MIN_LAG_MS:
            # The loop was stalled: all queued connections may have waited for that long.
            self._record_wait(max(lag_ms, self._queue_wait_ms if self._queued_count else 0.0))
        for number in range(self._max_accepts):
            if self._is_closed or not self._accept(number == 0):
                return
        self.is_backlogged = True

    def _accept(self, is_waiting: bool) -> bool:
        """Accept one connection.

        Args:
            is_waiting: Whether a connection is known to wait, as for the first of an iteration. Guards
                against evicting a connection for one that does not exist.

        Returns:
            Whether another connection may be waiting.
        """
        blocked_s = 0.0 if self._blocked_since_s is None else self._loop.time() - self._blocked_since_s
        share = self._policy.take_descriptor(is_waiting, blocked_s >= ACCEPT_PAUSE_S)
        if share is None:
            self.is_backlogged = True
            if is_waiting:
                self.pause()
            return False
        began_at = self._loop.time()
        try:
            sock, _ = self.sock.accept()
        except OSError as error:
            share.release()
            self._on_accept_error(error, began_at)
            return False
        self._blocked_since_s = None
        waited_ms = 0.0
        if self._queued_count > 0:
            self._queued_count -= 1
            # A client that has sent nothing yet was not waiting for a response.
            waited_ms = self._queue_wait_ms if is_readable(sock) else 0.0
        sock.setblocking(False)
        self._policy.on_accepted(sock, share, waited_ms)
        return True

    def _on_accept_error(self, error: OSError, began_at: float) -> None:
        if error.errno in (errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR):
            if error.errno != errno.EINTR:
                self.drained_at, self.is_backlogged = began_at, False
            self._blocked_since_s, self._queued_count = None, 0
            if self._finishing is not None:
                self.close()
        elif error.errno in SHORTAGE_ERRNOS:
            # The socket stays readable, so pause instead of retrying in a busy loop, and free a descriptor
            # for the next connection, since healthy clients may be queued.
            self.is_backlogged = True
            self._policy.on_descriptors_exhausted()
            self.pause()
