"""Listening sockets: made here, handed to fronts."""

from __future__ import annotations

import socket
from collections.abc import Iterable

from fordtrestle.proxy.engine.ports import Address
from fordtrestle.proxy.http.server import BACKLOG


def listening(addresses: Iterable[Address]) -> list[socket.socket]:
    """Sockets that listen, one at each address; `OSError` if one can't, and then none does."""
    made: list[socket.socket] = []
    try:
        for address in addresses:
            made.append(_listening(address))
    except OSError:
        for sock in made:
            sock.close()
        raise
    return made


def _listening(address: Address) -> socket.socket:
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    sock = socket.create_server(address, family=family, backlog=BACKLOG)
    # Accepted connections inherit it (tcp(7)). Guards against an answer that the kernel holds back behind
    # another, and that a reset takes with it; the loop sets it only on those that get a transport.
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock
