"""Listening sockets: made here, handed to HTTP servers."""

from __future__ import annotations

import socket
from collections.abc import Iterable

from fordtrestle.proxy.engine.ports import Address
from fordtrestle.proxy.http.server import BACKLOG


def listen_all(addresses: Iterable[Address]) -> list[socket.socket]:
    """Return sockets that listen, one at each address.

    Raises:
        OSError: One of them can't listen; then none does.
    """
    made: list[socket.socket] = []
    try:
        # Appended one by one: those made before one that fails have to be closed.
        for address in addresses:
            made.append(_listen(address))  # noqa: PERF401
    except OSError:
        for sock in made:
            sock.close()
        raise
    return made


def _listen(address: Address) -> socket.socket:
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    sock = socket.create_server(address, family=family, backlog=BACKLOG)
    # Accepted connections inherit it (tcp(7)). Guards against an answer that the kernel holds back behind
    # another, and that a reset takes with it; the loop sets it only on those that get a transport.
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock
