"""Answers clients that wait at an early listener whose process ends before it has loaded its libraries.

Imports only what a process needs at the very start.
"""

from __future__ import annotations

import contextlib
import random
import re
import socket

MAX_READ_BYTES = 1024 * 1024  # of a request; more than the kernel holds of it by default
# Bounds of `Retry-After`: another sidecar of the region, or this one after its restart, takes the request.
MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S = 0.25, 0.75

_REQUEST_ID = re.compile(rb"\r\n(X-Request-Id:[^\r\n]*\r\n)", re.IGNORECASE)
_END_OF_HEAD = b"\r\n\r\n"


def reject_all(connections: list[socket.socket]) -> None:
    """Answer the request that waits on each connection with 503, and close the connections.

    A client that has not sent a whole head gets no answer: it knows that its request was not read.

    Args:
        connections: Non-blocking connections of which nothing has been read.
    """
    for connection in connections:
        with contextlib.suppress(OSError), connection:
            _reject(connection)


def _reject(connection: socket.socket) -> None:
    received = connection.recv(MAX_READ_BYTES)
    head, end, _ = received.partition(_END_OF_HEAD)
    if end:
        connection.sendall(make_rejection(head + b"\r\n"))
        connection.shutdown(socket.SHUT_WR)


def make_rejection(head: bytes) -> bytes:
    """Return a 503 response to a request, by its head: it has not run and never will."""
    request_id = _REQUEST_ID.search(head)
    retry_after_s = random.uniform(MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S)
    return (
        b"HTTP/1.1 503 Service Unavailable\r\n"
        + (request_id.group(1) if request_id else b"")
        + f"Retry-After: {retry_after_s:.3f}\r\n".encode()
        + b"Connection: close\r\nContent-Length: 0\r\n\r\n"
    )
