"""Connections to servers: their sockets, their protocol, and how a silent machine is detected.

Two differences are observed here that aiohttp, and the kernel by its defaults, leave out: a connection that
was closed is not one that was reset, and a slow server is not one whose machine is unreachable.
"""

from __future__ import annotations

import asyncio
import socket
from functools import partial
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

MAX_CONNECTIONS = 1024  # to all servers together

# For which unused connections are kept until a server names its own time (`Keep-Alive: timeout=...`).
DEFAULT_KEEP_ALIVE_S = 2.0

# For which sent bytes may stay unacknowledged (TCP_USER_TIMEOUT): after that the server's machine is gone
# or partitioned. Three retransmissions fit in by the kernel's least time-out (0.2 s, doubled each time).
UNACKNOWLEDGED_TIMEOUT_MS = 1500

# Keep-alive probes of the kernel (tcp(7)): the silence before the first and between two, and how many may
# stay unanswered. One second is the least that the kernel takes.
PROBE_INTERVAL_S = 1
MAX_UNANSWERED_PROBES = 1


class _ResponseProtocol(ResponseHandler):
    """aiohttp's client protocol, but a reset never counts as the end of an answer.

    aiohttp takes an answer without a length to be complete however its connection ends.
    """

    def connection_lost(self, exc: BaseException | None) -> None:
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError("the connection was reset"))
        super().connection_lost(exc)


def make_connector() -> aiohttp.TCPConnector:
    """Make the pool of connections to all servers, within the running loop."""
    connector = aiohttp.TCPConnector(
        limit=MAX_CONNECTIONS,
        keepalive_timeout=DEFAULT_KEEP_ALIVE_S,
        use_dns_cache=False,
        family=socket.AF_INET,
        happy_eyeballs_delay=None,
        socket_factory=_open_socket,
    )
    # aiohttp has no public way to choose the protocol of its connections.
    connector._factory = partial(_open_protocol, loop=asyncio.get_running_loop())
    return connector


def set_keep_alive(connector: aiohttp.TCPConnector, keep_alive_s: float) -> None:
    """Change for how long unused connections are kept; aiohttp has no public way to."""
    connector._keepalive_timeout = keep_alive_s


def probe_while_silent(response: aiohttp.ClientResponse, is_enabled: bool) -> None:
    """Switch keep-alive probes of an answer's connection on or off.

    A machine without power, or behind a partition, ends no connection: only probes that stay unanswered
    reveal it. They are on where another server can finish the answer. Where none can, it is waited for as
    long as there is time, since a partition may heal.

    Args:
        response: The answer that is being read.
        is_enabled: Whether its connection is to break once the server's machine is silent.
    """
    transport = response.connection.transport if response.connection else None
    sock = transport.get_extra_info("socket") if transport else None
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, int(is_enabled))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, MAX_UNANSWERED_PROBES)


def _open_protocol(loop: asyncio.AbstractEventLoop) -> ResponseHandler:
    return _ResponseProtocol(loop=loop)


def _open_socket(address: tuple[Any, ...]) -> socket.socket:
    """Open a socket that breaks once what it sent stays unacknowledged. Raises `OSError`."""
    family, kind, protocol = address[0], address[1], address[2]
    sock = socket.socket(family=family, type=kind, proto=protocol)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)
    return sock
