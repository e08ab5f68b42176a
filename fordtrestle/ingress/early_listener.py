"""Listens for clients before the libraries are loaded, as socket activation does.

A process that starts spends most of its time on loading them. Clients that connect meanwhile wait in the
kernel's queue instead of being rejected, which would use up their attempts. How long each has waited there
is not known: the time since the socket began to listen is taken, so that none is served after its deadline.
"""

from __future__ import annotations

import json
import socket
import time

from fordtrestle.settings.settings_file import read_settings_bytes

MAX_PENDING_CONNECTIONS = 256  # in the kernel's queue


class EarlyListener:
    """A socket that listens at a host and port.

    Attributes:
        socket: The socket, not blocking.
        address: Host and port.
        listening_since: s of the steady clock, which is asyncio's, too.
    """

    __slots__ = ("address", "listening_since", "socket")

    def __init__(self, sock: socket.socket, address: tuple[str, int]) -> None:
        """Take over a socket that has just begun to listen."""
        self.socket = sock
        self.address = address
        self.listening_since = time.monotonic()

    def accept_all(self) -> list[socket.socket]:
        """Accept the connections that wait, before the socket is handed on.

        One that asyncio accepted could not be distinguished from one that came later, and would be served as
        if it had not waited.
        """
        connections: list[socket.socket] = []
        for _ in range(MAX_PENDING_CONNECTIONS):
            try:
                connection, _ = self.socket.accept()
            except ConnectionAbortedError:
                continue
            except OSError:  # none is left, or no descriptor is
                break
            connection.setblocking(False)
            connections.append(connection)
        return connections


def listen_early(endpoint: str) -> EarlyListener | None:
    """Listen where the settings say that clients connect to this endpoint.

    Returns:
        The listener. `None` where the settings name no address, or it cannot be had: the role reads the
        settings again, validates them and reports what is wrong.
    """
    try:
        host, _, port = json.loads(read_settings_bytes())["listen"][endpoint].rpartition(":")
        address = (host, int(port))
    except (ValueError, LookupError, TypeError, AttributeError):
        return None
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind(address)
        sock.listen(MAX_PENDING_CONNECTIONS)
    except (OSError, OverflowError):
        sock.close()
        return None
    return EarlyListener(sock, address)
