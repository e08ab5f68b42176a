"""Receives the bodies of requests, within the time and the memory that they may take."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from aiohttp import web

from fordtrestle.ingress.errors import BodyTimeoutError, BodyTooLargeError, OverCapacityError
from fordtrestle.routing.route import Limits

_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class BodyReservation:
    """The bytes that one request holds of the memory for bodies."""

    def __init__(self, memory: BodyMemory) -> None:
        """Begin with none."""
        self._memory = memory
        self._size_bytes = 0

    def resize(self, size_bytes: int) -> None:
        """Hold so many bytes in place of those until now."""
        self._memory.reserved_bytes += size_bytes - self._size_bytes
        self._size_bytes = size_bytes


class BodyMemory:
    """Counts the bytes of all bodies that a sidecar holds, until their responses: for further sends.

    Attributes:
        reserved_bytes: The sum of all reservations.
    """

    def __init__(self, max_bytes: int) -> None:
        """Begin with none held of `max_bytes`."""
        self._max_bytes = max_bytes
        self.reserved_bytes = 0

    @property
    def available_bytes(self) -> int:
        """How many more may be held."""
        return self._max_bytes - self.reserved_bytes

    @contextmanager
    def reserve(self, size_bytes: int) -> Iterator[BodyReservation]:
        """Hold bytes within a `with` block; there, the reservation can be resized."""
        reservation = BodyReservation(self)
        reservation.resize(size_bytes)
        try:
            yield reservation
        finally:
            reservation.resize(0)


async def receive_body(request: web.BaseRequest, limits: Limits, available_bytes: int) -> bytes:
    """Receive the whole body of a request.

    Args:
        request: Of which the head has come.
        limits: The configuration's.
        available_bytes: Of the memory for bodies.

    Raises:
        BodyTimeoutError: It did not come in time.
        BodyTooLargeError: It is larger than the configuration allows.
        OverCapacityError: It is larger than what is available, which is less than the configuration allows.
    """
    max_bytes = min(limits.max_body_bytes, available_bytes)
    try:
        async with asyncio.timeout(limits.header_timeout_s):
            body = await _read(request, max_bytes)
    except TimeoutError as error:
        raise BodyTimeoutError(f"not within {limits.header_timeout_s} s") from error
    if body is not None:
        return body
    if available_bytes < limits.max_body_bytes:
        raise OverCapacityError(f"more than the {available_bytes} bytes that are available")
    raise BodyTooLargeError(f"more than {limits.max_body_bytes} bytes")


async def _read(request: web.BaseRequest, max_bytes: int) -> bytes | None:
    """The whole body; `None` where it is larger than `max_bytes`."""
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
