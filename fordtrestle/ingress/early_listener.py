"""Listens for clients before the libraries are loaded, as socket activation does.

A process that starts spends most of its time on loading them. Clients that come meanwhile wait in the
kernel's queue in the place of being turned away, which would use up their tries. How long each has waited
there is not known: the time since the queue began is taken, so that none is served after its time.
"""

from __future__ import annotations

import json
import socket
import time

from fordtrestle.settings.settings_file import read_settings_bytes

BACKLOG = 256  # connections that wait at the most


class EarlyListener:
    """A socket that listens at a host and port, and since when (s, steady clock, which is asyncio's)."""

    __slots__ = ("address", "since", "socket")

    def __init__(self, sock: socket.socket, address: tuple[str, int]) -> None:
        self.socket = sock
        self.address = address
        self.since = time.monotonic()

    def accept_all(self) -> list[socket.socket]:
        """The connections that wait. They are taken before the socket is handed on, so that none is lost."""
        waiting: list[socket.socket] = []
        for _ in range(BACKLOG):
            try:
                connection, _ = self.socket.accept()
            except ConnectionAbortedError:
                continue
            except OSError:  # none is left, or no descriptor is
                break
            connection.setblocking(False)
            waiting.append(connection)
        return waiting


def listen_early(endpoint: str) -> EarlyListener | None:
    """Listen where the settings say that clients connect to this endpoint.

    Nothing where they do not say so, or the address cannot be had: the role reads them once more, checks all
    and tells what is wrong.
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
        sock.listen(BACKLOG)
    except (OSError, OverflowError):
        sock.close()
        return None
    return EarlyListener(sock, address)
