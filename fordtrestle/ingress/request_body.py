"""Receives request bodies, within limits of time and memory."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from aiohttp import web

from fordtrestle.ingress.errors import BodyTimeoutError, BodyTooLargeError, OverCapacityError
from fordtrestle.routing.route import Limits

_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class BodyReservation:
    """The body memory that one request has reserved."""

    def __init__(self, memory: BodyMemory) -> None:
        """Create a reservation of 0 bytes."""
        self._memory = memory
        self._size_bytes = 0

    def resize(self, size_bytes: int) -> None:
        """Change the size of the reservation."""
        self._memory.reserved_bytes += size_bytes - self._size_bytes
        self._size_bytes = size_bytes


class BodyMemory:
    """Memory budget for all request bodies of a sidecar.

    A body is kept until its request's response is complete, because it may be sent again.

    Attributes:
        reserved_bytes: The sum of all reservations.
    """

    def __init__(self, max_bytes: int) -> None:
        """Create a budget of `max_bytes`."""
        self._max_bytes = max_bytes
        self.reserved_bytes = 0

    @property
    def available_bytes(self) -> int:
        """The number of bytes that can still be reserved."""
        return self._max_bytes - self.reserved_bytes

    @contextmanager
    def reserve(self, size_bytes: int) -> Iterator[BodyReservation]:
        """Reserve memory within a `with` block, in which the reservation can be resized."""
        reservation = BodyReservation(self)
        reservation.resize(size_bytes)
        try:
            yield reservation
        finally:
            reservation.resize(0)


async def receive_body(request: web.BaseRequest, limits: Limits, available_bytes: int) -> bytes:
    """Receive the complete body of a request.

    Args:
        request: The request, whose head has been received.
        limits: The limits of the configuration.
        available_bytes: The available body memory.

    Returns:
        The body.

    Raises:
        BodyTimeoutError: The body was not received in time.
        BodyTooLargeError: The body exceeds the limit of the configuration.
        OverCapacityError: The body exceeds the available memory, which is below that limit.
    """
    max_bytes = min(limits.max_body_bytes, available_bytes)
    try:
        async with asyncio.timeout(limits.header_timeout_s):
            body = await _read(request, max_bytes)
    except TimeoutError as error:
        raise BodyTimeoutError(f"body not received within {limits.header_timeout_s} s") from error
    if body is not None:
        return body
    if available_bytes < limits.max_body_bytes:
        raise OverCapacityError(f"body exceeds the available memory of {available_bytes} bytes")
    raise BodyTooLargeError(f"body exceeds the limit of {limits.max_body_bytes} bytes")


async def _read(request: web.BaseRequest, max_bytes: int) -> bytes | None:
    """Return the complete body; `None` if it is larger than `max_bytes`."""
    if request.headers.get("Expect", "").lower() == "100-continue" and request.transport:
        request.transport.write(_CONTINUE)
    if not request.can_read_body:
        return b""
    parts, size_bytes = [], 0
    async for part in request.content.iter_any():
        size_bytes += len(part)
        if size_bytes > max_bytes:
            return None
        parts.append(part)
    return b"".join(parts)
