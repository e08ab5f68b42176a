"""A non-blocking HTTP connection of a client; it carries one request after the other, without pipelining."""

from __future__ import annotations

import errno
import socket
from enum import Enum

from fordtrestle.load.errors import ResponseError
from fordtrestle.load.wire import ResponseReader

RECEIVE_BYTES = 65_536
# The generator's own system has no descriptor, port or memory left; the target is not at fault.
SHORTAGE_ERRNOS = (
    *(errno.EMFILE, errno.ENFILE, errno.EADDRNOTAVAIL),
    *(errno.ENOBUFS, errno.ENOMEM, errno.EAGAIN),
)


class ReadResult(Enum):
    """Result of one read from a connection."""

    NOTHING = 0  # no complete response yet
    COMPLETE = 1  # a complete response
    MALFORMED = 2  # bytes that are no response
    CLOSED = 3  # closed or reset, before or within a response


class Connection:
    """A connection that carries one request at a time.

    Attributes:
        sock: Its socket.
        response: Reads the response to the current request.
        responses_read: The number of complete responses on this connection.
        is_connected: Whether the connection is known to be established.
        unsent: The bytes of the current request that are still to be sent.
        current_attempt: The attempt in flight; set by the owner of the connection, None if it is idle.
    """

    __slots__ = ("current_attempt", "is_connected", "response", "responses_read", "sock", "unsent")

    def __init__(self, family: int, address: tuple[object, ...]) -> None:
        """Start to connect.

        Args:
            family: The address family.
            address: The resolved address.

        Raises:
            OSError: The system has no socket left, or the connect call fails at once.
        """
        self.sock = socket.socket(family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        self.response = ResponseReader()
        self.responses_read = 0
        self.is_connected = False
        self.unsent = memoryview(b"")
        self.current_attempt: object = None
        try:
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            error = self.sock.connect_ex(address)
            if error not in (0, errno.EINPROGRESS):
                raise OSError(error, "can't connect")
        except OSError:
            self.close()
            raise

    def send(self, message: bytes) -> None:
        """Send as much of a request as the socket accepts; `flush` sends the rest.

        Raises:
            OSError: The connection is lost, or could not be established.
        """
        self.response.begin()
        self.unsent = memoryview(message)
        self.flush()

    def flush(self) -> None:
        """Send more of the request; `OSError` if the connection is lost, or could not be established."""
        try:
            while self.unsent:
                self.unsent = self.unsent[self.sock.send(self.unsent) :]
                self.is_connected = True
        except BlockingIOError:
            return

    def receive(self) -> ReadResult:
        """Read once from the socket and parse the received bytes."""
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
        """Close the socket, even with a request in flight."""
        self.sock.close()
        self.response.close()
