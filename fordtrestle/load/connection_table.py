"""All connections of a worker, those with a request in flight and those that are idle."""

from __future__ import annotations

import select

from fordtrestle.load.client import Connection
from fordtrestle.load.job import WorkerCounts, WorkerJob


class ConnectionTable:
    """Opens connections, keeps idle ones for reuse, and registers all with an epoll."""

    def __init__(self, job: WorkerJob, epoll: select.epoll, counts: WorkerCounts) -> None:
        self._family = job.family
        self._address = job.address
        self._max_connections = job.max_connections
        self._epoll = epoll
        self._counts = counts
        self._connections: dict[int, Connection] = {}
        self._idle: dict[Connection, None] = {}  # an ordered set; the last one to become idle is reused first

    def get(self, fd: int) -> Connection | None:
        """Return the connection of a file descriptor; None if it was closed."""
        return self._connections.get(fd)

    def has_idle(self) -> bool:
        """Return whether a connection is idle."""
        return bool(self._idle)

    def is_full(self) -> bool:
        """Return whether the maximum of connections is open."""
        return len(self._connections) >= self._max_connections

    def take_idle(self) -> Connection:
        """Remove and return the connection that became idle last; at least one must be idle."""
        return self._idle.popitem()[0]

    def connect(self) -> Connection:
        """Start to open a new connection.

        Raises:
            OSError: The system has no socket left, or the connect call fails at once.
        """
        connection = Connection(self._family, self._address)
        self._connections[connection.sock.fileno()] = connection
        self._epoll.register(connection.sock, select.EPOLLIN)
        counts = self._counts
        counts.connections += 1
        counts.connections_most = max(counts.connections_most, len(self._connections))
        return connection

    def watch_writable(self, connection: Connection) -> None:
        """Watch for received bytes, and for room to send more."""
        self._epoll.modify(connection.sock, select.EPOLLIN | select.EPOLLOUT)

    def watch_readable(self, connection: Connection) -> None:
        """Watch for received bytes only."""
        self._epoll.modify(connection.sock, select.EPOLLIN)

    def set_idle(self, connection: Connection) -> None:
        """Keep a connection for the next request."""
        self._idle[connection] = None

    def drop(self, connection: Connection) -> None:
        """Close a connection, whether it is idle or not."""
        self._idle.pop(connection, None)
        del self._connections[connection.sock.fileno()]
        connection.close()

    def drop_all(self) -> None:
        """Close all connections."""
        for connection in list(self._connections.values()):
            self.drop(connection)
