"""One connection of a client, non-blocking: a request out, its answer in, then the next one."""

from __future__ import annotations

import errno
import socket
from enum import Enum

from fordtrestle.load.wire import Answers

RECEIVE = 65_536
# The system's own shortage, not the other side's.
SHORTAGES = (errno.EMFILE, errno.ENFILE, errno.EADDRNOTAVAIL, errno.ENOBUFS, errno.ENOMEM, errno.EAGAIN)


class Came(Enum):
    """What reading a connection brought."""

    NOTHING = 0
    WHOLE = 1  # an answer is whole
    GARBLED = 2  # bytes that are none of an answer's
    ENDED = 3  # closed or reset, amid an answer or without one


class Connection:
    """A connection that was begun; it carries one request at a time.

    Raises `OSError` where none can be begun. `answered` counts whole answers on it.
    """

    __slots__ = ("answered", "answers", "current", "left", "sock", "up")

    def __init__(self, family: int, address: tuple[object, ...]) -> None:
        self.sock = socket.socket(family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        self.answers = Answers()
        self.answered = 0
        self.up = False  # whether it is known to have come up
        self.left = memoryview(b"")  # of the request at hand, not written yet
        self.current: object = None  # what is out on it; its owner's
        try:
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            error = self.sock.connect_ex(address)
            if error not in (0, errno.EINPROGRESS):
                raise OSError(error, "can't connect")
        except OSError:
            self.close()
            raise

    def send(self, message: bytes) -> None:
        """Write a request, as much as goes; `flush` writes the rest. Raises `OSError` where it is gone."""
        self.answers.begin()
        self.left = memoryview(message)
        self.flush()

    def flush(self) -> None:
        """Go on writing; raises `OSError` where it is gone or never came up."""
        try:
            while self.left:
                self.left = self.left[self.sock.send(self.left) :]
                self.up = True
        except BlockingIOError:
            return

    def receive(self) -> Came:
        """Read what is there."""
        try:
            data = self.sock.recv(RECEIVE)
        except BlockingIOError:
            return Came.NOTHING
        except OSError:
            return Came.ENDED
        self.up = True
        if not data:
            return Came.WHOLE if self.answers.end() else Came.ENDED
        try:
            self.answers.feed(data)
        except ValueError:
            return Came.GARBLED
        return Came.WHOLE if self.answers.whole else Came.NOTHING

    def close(self) -> None:
        """Gone, whatever is out on it."""
        self.sock.close()
        self.answers.close()
