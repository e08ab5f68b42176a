"""Configures the connections to servers: sockets, and detection of unreachable machines.

The kernel's defaults do not distinguish between a slow server and an unreachable machine.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from functools import partial
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

from fordtrestle.forward.checked_connector import CheckedConnector
from fordtrestle.forward.server_connection import ServerConnection

MAX_CONNECTIONS = 1024  # to all servers together

# How long idle connections are kept until a server announces its own timeout (`Keep-Alive: timeout=...`).
DEFAULT_KEEP_ALIVE_S = 2.0

# How long sent bytes may stay unacknowledged (TCP_USER_TIMEOUT) before the server's machine is considered
# down or partitioned. This allows three retransmissions with the kernel's minimum timeout (0.2 s, doubled
# each time).
UNACKNOWLEDGED_TIMEOUT_MS = 1500

# Keep-alive probes of the kernel (tcp(7)): the idle time before the first probe and between two probes, and
# the number of probes that may remain unanswered. One second is the kernel's minimum interval.
PROBE_INTERVAL_S = 1
MAX_UNANSWERED_PROBES = 1

_NO_LINGER = struct.pack("ii", 1, 0)  # closing resets the connection (SO_LINGER, socket(7))


def make_connector(max_connections: int = MAX_CONNECTIONS) -> CheckedConnector:
    """Create the connection pool for all servers, in the running event loop.

    Args:
        max_connections: The most connections at the same time; `MAX_CONNECTIONS` at most.
    """
    connector = CheckedConnector(
        limit=min(max_connections, MAX_CONNECTIONS),
        keepalive_timeout=DEFAULT_KEEP_ALIVE_S,
        use_dns_cache=False,
        family=socket.AF_INET,
        happy_eyeballs_delay=None,
        socket_factory=_open_socket,
    )
    # aiohttp has no public API to set the protocol of its connections.
    connector._factory = partial(_open_connection, loop=asyncio.get_running_loop())
    return connector


def reset(transport: asyncio.Transport) -> None:
    """Reset a connection that is not closed (RST), and drop what is unsent."""
    if transport.is_closing():
        return
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
    transport.abort()


def set_keep_alive(connector: aiohttp.TCPConnector, keep_alive_s: float) -> None:
    """Set how long idle connections are kept, for which aiohttp has no public API."""
    connector._keepalive_timeout = keep_alive_s


def probe_while_silent(response: aiohttp.ClientResponse, is_enabled: bool) -> None:
    """Enable or disable keep-alive probes on the connection of a response.

    A machine that lost power or is partitioned does not close its connections: only unanswered probes detect
    it. Probes are enabled if another server can continue the response. If none can, the sidecar waits until
    the deadline, because the partition may heal.

    Args:
        response: The response that is being read.
        is_enabled: Whether the connection breaks when the server's machine stops answering probes.
    """
    transport = response.connection.transport if response.connection else None
    sock = transport.get_extra_info("socket") if transport else None
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, int(is_enabled))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, MAX_UNANSWERED_PROBES)


def _open_connection(loop: asyncio.AbstractEventLoop) -> ResponseHandler:
    return ServerConnection(loop)


def _open_socket(address: tuple[Any, ...]) -> socket.socket:
    """Open a socket that fails when sent bytes stay unacknowledged for too long. Raises `OSError`."""
    family, kind, protocol = address[0], address[1], address[2]
    sock = socket.socket(family=family, type=kind, proto=protocol)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)
    return sock
