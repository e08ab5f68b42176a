"""All connections of a worker: those that carry a request, and those that are idle."""

from __future__ import annotations

import select

from fordtrestle.load.client import Connection
from fordtrestle.load.job import WorkerCounts, WorkerJob


class ConnectionTable:
    """Opens connections up to a maximum, and watches them by an epoll."""

    def __init__(self, job: WorkerJob, epoll: select.epoll, counts: WorkerCounts) -> None:
        self._family = job.family
        self._address = job.address
        self._max_connections = job.max_connections
        self._epoll = epoll
        self._counts = counts
        self._connections: dict[int, Connection] = {}
        self._idle: dict[Connection, None] = {}  # a set that keeps its order: the last one in leaves first

    def get(self, fd: int) -> Connection | None:
        """The connection of a file descriptor; None: it is gone."""
        return self._connections.get(fd)

    def has_idle(self) -> bool:
        """Whether a connection is idle."""
        return bool(self._idle)

    def is_full(self) -> bool:
        """Whether no more connections may be opened."""
        return len(self._connections) >= self._max_connections

    def take_idle(self) -> Connection:
        """The connection that became idle last; there must be one."""
        return self._idle.popitem()[0]

    def connect(self) -> Connection:
        """Begin a new connection.

        Raises:
            OSError: The system has no socket, or the connection can't be begun.
        """
        connection = Connection(self._family, self._address)
        self._connections[connection.sock.fileno()] = connection
        self._epoll.register(connection.sock, select.EPOLLIN)
        counts = self._counts
        counts.connections += 1
        counts.connections_most = max(counts.connections_most, len(self._connections))
        return connection

    def watch_writable(self, connection: Connection) -> None:
        """Report also when the socket takes more bytes."""
        self._epoll.modify(connection.sock, select.EPOLLIN | select.EPOLLOUT)

    def watch_readable(self, connection: Connection) -> None:
        """Report only when bytes have come."""
        self._epoll.modify(connection.sock, select.EPOLLIN)

    def set_idle(self, connection: Connection) -> None:
        """Keep a connection for the next request."""
        self._idle[connection] = None

    def drop(self, connection: Connection) -> None:
        """Close a connection, idle or not."""
        self._idle.pop(connection, None)
        del self._connections[connection.sock.fileno()]
        connection.close()

    def drop_all(self) -> None:
        """Close all connections."""
        for connection in list(self._connections.values()):
            self.drop(connection)
