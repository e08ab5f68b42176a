"""Creates the listening sockets of HTTP servers."""

from __future__ import annotations

import socket
from collections.abc import Iterable

from fordtrestle.proxy.engine.ports import Address
from fordtrestle.proxy.http.server import BACKLOG


def listen_all(addresses: Iterable[Address]) -> list[socket.socket]:
    """Return listening sockets, one for each address.

    Raises:
        OSError: One of the addresses can't be bound; the sockets created so far are closed.
    """
    listeners: list[socket.socket] = []
    try:
        # Appended one by one, since those created before a failure have to be closed.
        for address in addresses:
            listeners.append(_listen(address))  # noqa: PERF401
    except OSError:
        for sock in listeners:
            sock.close()
        raise
    return listeners


def _listen(address: Address) -> socket.socket:
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    sock = socket.create_server(address, family=family, backlog=BACKLOG)
    # Accepted connections inherit this option (tcp(7)). Without it the kernel may delay a response until the
    # previous one is acknowledged, and a reset would discard it. The event loop sets the option only on
    # connections that get a transport.
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock
