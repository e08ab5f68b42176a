"""Listens for clients before the libraries are loaded, similar to socket activation.

A process spends most of its startup on loading libraries. Clients that connect during this time wait in the
kernel's queue instead of being rejected, which would use up their attempts. How long each client has waited
is unknown. It is assumed to have waited since the socket began to listen, so that no request is served after
its deadline.
"""

from __future__ import annotations

import json
import socket
import time

from fordtrestle.settings.settings_file import read_settings_bytes

MAX_PENDING_CONNECTIONS = 256  # capacity of the kernel's queue


class EarlyListener:
    """A socket that listens on a host and port.

    Attributes:
        socket: The non-blocking socket.
        address: Host and port.
        listening_since: When it began to listen, in seconds of the monotonic clock, which asyncio uses too.
    """

    __slots__ = ("address", "listening_since", "socket")

    def __init__(self, sock: socket.socket, address: tuple[str, int]) -> None:
        """Wrap a socket that has just begun to listen."""
        self.socket = sock
        self.address = address
        self.listening_since = time.monotonic()

    def accept_all(self) -> list[socket.socket]:
        """Accept all waiting connections, before asyncio takes over the socket.

        A waiting connection that asyncio accepted could not be distinguished from a later one, and would be
        served as if its client had not waited.
        """
        connections: list[socket.socket] = []
        for _ in range(MAX_PENDING_CONNECTIONS):
            try:
                connection, _ = self.socket.accept()
            except ConnectionAbortedError:
                continue
            except OSError:  # no connection or no file descriptor is left
                break
            connection.setblocking(False)
            connections.append(connection)
        return connections


def listen_early(endpoint: str) -> EarlyListener | None:
    """Listen on the address that the settings specify for an endpoint.

    Args:
        endpoint: The name of the endpoint in the settings.

    Returns:
        The listener; `None` if the settings contain no valid address or it cannot be bound. The role reads
        and validates the settings again, and reports the error.
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
