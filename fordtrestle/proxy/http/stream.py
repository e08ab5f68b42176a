"""Transport helpers of client and server connections: kernel queries, a shared read buffer, half-close."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import select
import socket
import sys
import termios
from collections.abc import Callable

from fordtrestle.listener import acceptor

READ_BUFFER_BYTES = 64 * 1024  # one read takes at most one complete body
READ_BUFFER = memoryview(bytearray(READ_BUFFER_BYTES))  # shared by all connections
PEER_CLOSED = select.POLLRDHUP  # poll(2): the peer has shut down writing


def is_readable(source: asyncio.BaseTransport | EarlyTransport | socket.socket) -> bool:
    """Return whether a connection has unread bytes or an end that the loop has not handled yet."""
    sock = source if isinstance(source, socket.socket) else source.get_extra_info("socket")
    return sock is None or acceptor.is_readable(sock)


def is_closed_by_peer(transport: asyncio.BaseTransport | EarlyTransport) -> bool:
    """Return whether the peer has closed or reset a connection, which the loop may not have reported yet.

    The loop sees nothing while reading is paused, and reports an end one iteration after the bytes before it
    (poll(2)).
    """
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN | PEER_CLOSED)
    events = poll.poll(0)
    if not events:
        return False
    # Covers a kernel that reports an end only as readable.
    return events[0][1] != select.POLLIN or not unread_bytes(transport)


def unread_bytes(transport: asyncio.BaseTransport | EarlyTransport) -> int:
    """Return the number of received bytes that are unread; 0 if only an end or an error is unread."""
    return _query_kernel(transport, termios.FIONREAD)


def unacknowledged_bytes(transport: asyncio.BaseTransport | EarlyTransport) -> int:
    """Return the number of written bytes that the peer has not acknowledged (tcp(7))."""
    return _query_kernel(transport, termios.TIOCOUTQ)


def _query_kernel(transport: asyncio.BaseTransport | EarlyTransport, request: int) -> int:
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return 0
    count = bytearray(4)
    try:
        fcntl.ioctl(sock.fileno(), request, count)
    except OSError:
        return 0
    return int.from_bytes(count, sys.byteorder)


class ReadableWatch:
    """Checks repeatedly what `is_readable` checks, for one socket."""

    __slots__ = ("_poll", "_sock")

    def __init__(self, transport: asyncio.BaseTransport) -> None:
        self._sock = transport.get_extra_info("socket")
        self._poll = select.poll()
        self._poll.register(self._sock.fileno(), select.POLLIN)

    def is_readable(self) -> bool:
        """Return whether it has unread bytes or an unread end; True if it is closed."""
        return self._sock.fileno() < 0 or bool(self._poll.poll(0))


class EarlyTransport:
    """Replaces a connection's transport until it outlasts its first bytes; buffers what is written.

    A real transport costs more than everything else about a rejected request. Most requests of a flood are
    rejected, and their connections end without ever getting one.

    Attributes:
        sock: The connection's socket.
        unsent: The bytes that were written and are not sent.
        is_aborted: Whether it was aborted.
        is_paused: Whether reading is paused.
        is_write_closed: Whether writing has ended.
    """

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.unsent = bytearray()
        self.is_aborted = self.is_paused = self.is_write_closed = False
        self._loop: asyncio.AbstractEventLoop | None = None
        self._on_closed: Callable[[], None] | None = None  # called once, when it is closed here

    def write(self, data: bytes) -> None:
        """Buffer bytes to send."""
        if not self.is_aborted:
            self.unsent += data

    def write_eof(self) -> None:
        """End writing."""
        self.is_write_closed = True

    def can_write_eof(self) -> bool:
        """Return True, as a TCP transport does."""
        return True

    def abort(self) -> None:
        """Close at once and drop what is buffered."""
        self.is_aborted = True
        self.unsent.clear()
        self._close()

    def pause_reading(self) -> None:
        """Pause reading."""
        self.is_paused = True

    def resume_reading(self) -> None:
        """Resume reading."""
        self.is_paused = False

    def get_write_buffer_size(self) -> int:
        """Return the number of buffered bytes."""
        return len(self.unsent)

    def get_extra_info(self, name: str) -> socket.socket | None:
        """Return the socket for the name `socket`, otherwise None."""
        return self.sock if name == "socket" else None

    def finish(self) -> bool:
        """Send the buffered bytes if writing has ended; return whether only `linger` remains to be called."""
        if not (self.is_write_closed or self.is_aborted):
            return False
        try:
            del self.unsent[: self.sock.send(self.unsent) if self.unsent else 0]
        except BlockingIOError:
            return False
        except OSError:
            self.unsent.clear()  # its client has disconnected
        return not self.unsent

    def linger(self, loop: asyncio.AbstractEventLoop, on_closed: Callable[[], None]) -> None:
        """Shut down writing, and drop received bytes until the client closes or the connection is aborted.

        Then `on_closed` is called.
        """
        self._loop, self._on_closed = loop, on_closed
        if self.is_aborted:
            self._close()
            return
        with contextlib.suppress(OSError):  # its client has disconnected
            self.sock.shutdown(socket.SHUT_WR)
        loop.add_reader(self.sock.fileno(), self._drop)

    def _drop(self) -> None:
        try:
            if self.sock.recv_into(READ_BUFFER):
                return
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            pass
        self._close()

    def _close(self) -> None:
        on_closed, self._on_closed = self._on_closed, None
        if on_closed is not None and self._loop is not None:
            self._loop.remove_reader(self.sock.fileno())
            self.sock.close()
            on_closed()

    def hand_over(self, transport: asyncio.Transport) -> None:
        """Pass the buffered bytes and the state on to the real transport."""
        if self.is_aborted:
            transport.abort()
            return
        if self.unsent:
            transport.write(bytes(self.unsent))
        if self.is_paused:
            transport.pause_reading()
        # If bytes are still unsent, the connection ends writing after the last of them.
        if self.is_write_closed and not transport.get_write_buffer_size():
            end_writing(transport)


def end_writing(transport: asyncio.Transport | EarlyTransport) -> None:
    """Shut down writing (RFC 9112, 9.6).

    Ignores the error if the client has reset the connection and the loop has not reported it yet.
    """
    if transport.can_write_eof():
        with contextlib.suppress(OSError):
            transport.write_eof()


class SharedBufferProtocol(asyncio.BufferedProtocol):
    """A connection that reads into a buffer shared by all connections, as the data is processed at once.

    Guards against memory that grows for hours: a read into a separate bytes object allocates 256 KiB and
    frees all but its first part, and the parts that stay in use fragment the heap.
    """

    _buffer = READ_BUFFER

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the shared buffer; called by the loop before a read."""
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Process the bytes in the buffer; called by the loop after a read."""
        self.data_received(bytes(self._buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Process received bytes."""
        raise NotImplementedError
