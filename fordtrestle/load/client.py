"""One non-blocking connection of a client: a request is sent, its response read, then the next one."""

from __future__ import annotations

import errno
import socket
from enum import Enum

from fordtrestle.load.errors import ResponseError
from fordtrestle.load.wire import ResponseReader

RECEIVE_BYTES = 65_536
# The generator's own system has no descriptor, port or memory left; the other side is not to blame.
SHORTAGE_ERRNOS = (
    *(errno.EMFILE, errno.ENFILE, errno.EADDRNOTAVAIL),
    *(errno.ENOBUFS, errno.ENOMEM, errno.EAGAIN),
)


class ReadResult(Enum):
    """What reading a connection brought."""

    NOTHING = 0  # no complete response yet
    COMPLETE = 1  # a complete response
    MALFORMED = 2  # bytes that are no response
    CLOSED = 3  # closed or reset, amid a response or without one


class Connection:
    """A connection that carries one request at a time.

    Attributes:
        sock: Its socket.
        response: The response to the request at hand.
        responses_read: Complete responses on this connection.
        is_connected: Whether the connection is known to have come up.
        unsent: What is left to send of the request at hand.
        current: The request that is out on it; set by the connection's owner.
    """

    __slots__ = ("current", "is_connected", "response", "responses_read", "sock", "unsent")

    def __init__(self, family: int, address: tuple[object, ...]) -> None:
        """Begin to connect.

        Args:
            family: The address family.
            address: The address, resolved.

        Raises:
            OSError: The system has no socket, or the connection can't be begun.
        """
        self.sock = socket.socket(family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        self.response = ResponseReader()
        self.responses_read = 0
        self.is_connected = False
        self.unsent = memoryview(b"")
        self.current: object = None
        try:
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            error = self.sock.connect_ex(address)
            if error not in (0, errno.EINPROGRESS):
                raise OSError(error, "can't connect")
        except OSError:
            self.close()
            raise

    def send(self, message: bytes) -> None:
        """Send a request, as much as the socket takes; `flush` sends the rest.

        Raises:
            OSError: The connection is lost, or did not come up.
        """
        self.response.begin()
        self.unsent = memoryview(message)
        self.flush()

    def flush(self) -> None:
        """Send more of the request; `OSError` where the connection is lost, or did not come up."""
        try:
            while self.unsent:
                self.unsent = self.unsent[self.sock.send(self.unsent) :]
                self.is_connected = True
        except BlockingIOError:
            return

    def receive(self) -> ReadResult:
        """Read once from the socket and parse what has come."""
        try:
            data = self.sock.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return ReadResult.NOTHING
        except OSError:
            return ReadResult.CLOSED
        self.is_connected = True
        if not data:
            return ReadResult.COMPLETE if self.response.on_connection_closed() else ReadResult.CLOSED
        try:
            self.response.feed(data)
        except ResponseError:
            return ReadResult.MALFORMED
        return ReadResult.COMPLETE if self.response.is_complete else ReadResult.NOTHING

    def close(self) -> None:
        """Close the socket, whatever is out on it."""
        self.sock.close()
        self.response.close()
