"""Connections without any data yet, which cost next to nothing."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from fordtrestle.proxy.http import stream
from fordtrestle.proxy.http.tracked_connection import TrackedConnection
from fordtrestle.resources.connection_table import TableEntry


class PendingConnection:
    """A connection that has sent no data: only a socket, since most connections of a flood stay that way.

    Attributes:
        sock: Its socket.
        entry: Its entry in the server's table.
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
            on_first_bytes: Called with this connection and its first bytes; the callee then owns the socket.
            on_closed: Called after it was closed here.
        """
        self._loop = loop
        self.sock = sock
        self.entry: TableEntry[TrackedConnection]
        self._on_first_bytes = on_first_bytes
        self._on_closed = on_closed
        # By descriptor number: for a socket object that is not registered yet, the selector raises a KeyError
        # with the socket's repr, which costs two system calls (getsockname, getpeername).
        loop.add_reader(sock.fileno(), self._on_readable)

    @property
    def is_idle(self) -> bool:
        """Whether it still has no data to read."""
        return not stream.is_readable(self.sock)

    is_evictable = is_idle

    def close(self) -> None:
        """Close the connection."""
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
