"""What both sides do with a connection's transport: questions to the kernel, shared reads, a half-close."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import select
import socket
import sys
import termios
from collections.abc import Callable

READ_BUFFER_BYTES = 64 * 1024  # one read takes a complete body at the most
READ_BUFFER = memoryview(bytearray(READ_BUFFER_BYTES))  # what any connection reads into
PEER_CLOSED = select.POLLRDHUP  # poll(2): the other end has shut down its sending


def is_readable(source: asyncio.BaseTransport | EarlyTransport | socket.socket) -> bool:
    """Whether a connection holds unread bytes or its end, that the loop has not got to yet."""
    sock = source if isinstance(source, socket.socket) else source.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def is_closed_by_peer(transport: asyncio.BaseTransport | EarlyTransport) -> bool:
    """Whether the other end has closed or reset a connection, which the loop may not have reported yet.

    The loop sees nothing while reading is paused, and bytes before an end come a turn before it (poll(2)).
    """
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN | PEER_CLOSED)
    found = poll.poll(0)
    if not found:
        return False
    # Guards against a kernel that reports an end as nothing but something to read.
    return found[0][1] != select.POLLIN or not unread_bytes(transport)


def unread_bytes(transport: asyncio.BaseTransport | EarlyTransport) -> int:
    """Bytes that have come and are not read; 0 where all that is unread is an end or an error."""
    return _ask_kernel(transport, termios.FIONREAD)


def unacknowledged_bytes(transport: asyncio.BaseTransport | EarlyTransport) -> int:
    """Bytes written that the kernel holds still, since the other end has not taken them (tcp(7))."""
    return _ask_kernel(transport, termios.TIOCOUTQ)


def _ask_kernel(transport: asyncio.BaseTransport | EarlyTransport, question: int) -> int:
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return 0
    count = bytearray(4)
    try:
        fcntl.ioctl(sock.fileno(), question, count)
    except OSError:
        return 0
    return int.from_bytes(count, sys.byteorder)


class ReadableWatch:
    """Asks the same as `is_readable` of one socket again and again."""

    __slots__ = ("_poll", "_sock")

    def __init__(self, transport: asyncio.BaseTransport) -> None:
        self._sock = transport.get_extra_info("socket")
        self._poll = select.poll()
        self._poll.register(self._sock.fileno(), select.POLLIN)

    def is_readable(self) -> bool:
        """Whether it holds unread bytes or its end; true where it is closed."""
        return self._sock.fileno() < 0 or bool(self._poll.poll(0))


class EarlyTransport:
    """Stands in for a connection's transport until one is worth its cost: what is written is kept.

    A transport costs more than all else of a request that is rejected, and most of a flood's are: such
    a connection ends here, with none.

    Attributes:
        sock: The connection's socket.
        kept: What was written, and is not sent.
        aborted: Whether it was closed at once.
        paused: Whether nothing is to be read.
        ended: Whether nothing more is written.
    """

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.kept = bytearray()
        self.aborted = self.paused = self.ended = False
        self._loop: asyncio.AbstractEventLoop | None = None
        self._lost: Callable[[], None] | None = None  # called once it is closed here

    def write(self, data: bytes) -> None:
        """Keep bytes to be sent."""
        if not self.aborted:
            self.kept += data

    def write_eof(self) -> None:
        """Nothing more is written."""
        self.ended = True

    def can_write_eof(self) -> bool:
        """As with a real one."""
        return True

    def abort(self) -> None:
        """Close it at once."""
        self.aborted = True
        self.kept.clear()
        self._close()

    def pause_reading(self) -> None:
        """Nothing is to be read."""
        self.paused = True

    def resume_reading(self) -> None:
        """It is again."""
        self.paused = False

    def get_write_buffer_size(self) -> int:
        """Bytes that are kept."""
        return len(self.kept)

    def get_extra_info(self, name: str) -> socket.socket | None:
        """Its socket."""
        return self.sock if name == "socket" else None

    def finish(self) -> bool:
        """Send what is kept, where nothing is written behind it; whether only `linger` is left to do."""
        if not (self.ended or self.aborted):
            return False
        try:
            del self.kept[: self.sock.send(self.kept) if self.kept else 0]
        except BlockingIOError:
            return False
        except OSError:
            self.kept.clear()  # its client has disconnected
        return not self.kept

    def linger(self, loop: asyncio.AbstractEventLoop, lost: Callable[[], None]) -> None:
        """Write nothing more, and drop what is still read until its client ends it, too, or it is aborted.

        Then `lost` is called.
        """
        self._loop, self._lost = loop, lost
        if self.aborted:
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
        lost, self._lost = self._lost, None
        if lost is not None and self._loop is not None:
            self._loop.remove_reader(self.sock.fileno())
            self.sock.close()
            lost()

    def hand_over(self, transport: asyncio.Transport) -> None:
        """The real one goes on from here."""
        if self.aborted:
            transport.abort()
            return
        if self.kept:
            transport.write(bytes(self.kept))
        if self.paused:
            transport.pause_reading()
        if self.ended and not transport.get_write_buffer_size():  # else its connection does, behind the last
            end_writing(transport)


def end_writing(transport: asyncio.Transport | EarlyTransport) -> None:
    """Shut down the sending side (RFC 9112, 9.6).

    Guards against a client that has reset the connection, which the loop has not reported yet.
    """
    if transport.can_write_eof():
        with contextlib.suppress(OSError):
            transport.write_eof()


class SharedBufferProtocol(asyncio.BufferedProtocol):
    """A connection that reads into one buffer, which all of them share: each read is used at once.

    Guards against memory that grows for hours: a read into bytes of its own takes 256 KiB and gives
    back all but its first part, and what lives on there holds the heap apart.
    """

    _buffer = READ_BUFFER

    def get_buffer(self, sizehint: int) -> memoryview:
        """Called by the loop before a read."""
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Called by the loop after it."""
        self.data_received(bytes(self._buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """What was read."""
        raise NotImplementedError
