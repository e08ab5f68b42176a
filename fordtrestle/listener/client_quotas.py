"""The account of what clients make a process hold: connections, and bytes of requests and responses. Pure.

Each listener has a share of both. What no listener is guaranteed is common, and a listener that uses less
than its fair share can reclaim from one that uses more (`resources/quotas.py`).
"""

from __future__ import annotations

from dataclasses import dataclass

from fordtrestle.resources.quotas import QuotaShare, ResourceQuota

BYTES_PER_MB = 1_000_000

# Of the memory of a process. The rest is for its own state, and for what the interpreter does not give back.
# A control process holds a body twice while it reads it as JSON.
SIDECAR_MEMORY_FRACTION = 3 / 8
CONTROL_MEMORY_FRACTION = 1 / 4

# Descriptors that the platform reserves for files (DEPLOY: memory and descriptors).
FILE_DESCRIPTORS = 200

# For listeners, signals, and links to other processes, besides a part of all descriptors.
MIN_INTERNAL_DESCRIPTORS = 40
INTERNAL_FRACTION = 1 / 8

GUARANTEED_CONNECTIONS = 8  # of each listener
GUARANTEED_BYTES = 256 * 1024  # of each listener
MIN_CONNECTIONS = 2 * GUARANTEED_CONNECTIONS
MAX_LISTENERS = 4


@dataclass(frozen=True, slots=True)
class ListenerBudget:
    """The shares of one listener.

    Attributes:
        connections: Its open connections.
        memory: The bytes that its clients make the process hold.
    """

    connections: QuotaShare
    memory: QuotaShare


@dataclass(frozen=True, slots=True)
class SocketLimits:
    """How many sockets a process may use for what.

    Attributes:
        clients: The most connections from clients.
        servers: The most connections to servers at the same time.
    """

    clients: int
    servers: int

    @classmethod
    def for_sidecar(cls, max_fds: int) -> SocketLimits:
        """Return the limits of a sidecar, which uses a connection to a server for each open request.

        Args:
            max_fds: The number of file descriptors that the process may open.
        """
        half = max(MIN_CONNECTIONS, _external_sockets(max_fds) // 2)
        return cls(half, half)

    @classmethod
    def for_control(cls, max_fds: int) -> SocketLimits:
        """Return the limits of a control process, which has no connections to servers.

        Args:
            max_fds: The number of file descriptors that the process may open.
        """
        return cls(max(MIN_CONNECTIONS, _external_sockets(max_fds)), 0)


def _external_sockets(max_fds: int) -> int:
    """Return how many descriptors remain for connections that are not links between processes."""
    sockets = max(max_fds - FILE_DESCRIPTORS, max_fds // 2)
    return sockets - max(MIN_INTERNAL_DESCRIPTORS, int(sockets * INTERNAL_FRACTION))


class ClientQuotas:
    """The quotas of one process; each of its listeners takes a budget from them.

    Attributes:
        connections: Open connections from clients.
        memory: Bytes held for clients.
    """

    def __init__(self, max_connections: int, max_bytes: int) -> None:
        """Create quotas with these capacities."""
        self.connections = ResourceQuota("client connections", max_connections)
        self.memory = ResourceQuota("client bytes", max_bytes)

    @classmethod
    def for_sidecar(cls, limits: SocketLimits, memory_mb: float) -> ClientQuotas:
        """Create the quotas of a sidecar that may use `memory_mb` MB."""
        return cls(limits.clients, int(memory_mb * BYTES_PER_MB * SIDECAR_MEMORY_FRACTION))

    @classmethod
    def for_control(cls, limits: SocketLimits, memory_mb: float) -> ClientQuotas:
        """Create the quotas of a control process that may use `memory_mb` MB."""
        return cls(limits.clients, int(memory_mb * BYTES_PER_MB * CONTROL_MEMORY_FRACTION))

    def budget(self, name: str, weight: float = 1.0) -> ListenerBudget:
        """Add the shares of a listener; the first `MAX_LISTENERS` have a guaranteed part.

        Args:
            name: The name of the endpoint.
            weight: Its part of what is common in a shortage, relative to those of other listeners.
        """
        connections = min(GUARANTEED_CONNECTIONS, self.connections.capacity // MAX_LISTENERS)
        memory = min(GUARANTEED_BYTES, self.memory.capacity // MAX_LISTENERS)
        is_guaranteed = len(self.memory.shares) < MAX_LISTENERS
        return ListenerBudget(
            self.connections.add_share(name, connections if is_guaranteed else 0, weight),
            self.memory.add_share(name, memory if is_guaranteed else 0, weight),
        )

    def figures(self) -> dict[str, float]:
        """Return what is in use, as metrics by name."""
        return {"client_connections": self.connections.used, "client_bytes": self.memory.used}
