"""Grants memory for responses that arrive in parts: for a whole response, or its server has to wait."""

from __future__ import annotations

import asyncio

from fordtrestle.proxy.http.upstream_connection import UpstreamConnection
from fordtrestle.resources.quotas import QuotaShare

# The interval at which waiting responses are retried: other connections release memory without an event. A
# retry is cheap compared with 10 ms.
BUFFER_RETRY_S = 0.01


class ResponseBuffers:
    """Grants memory to responses in the order in which they started.

    Memory is granted for all of a response or not at all: guards against a deadlock of responses that each
    hold a part and wait for the rest.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, buffered: QuotaShare) -> None:
        """Start with no memory granted.

        Args:
            loop: Schedules the retries for waiting responses.
            buffered: The quota share for buffered bytes.
        """
        self._loop = loop
        self._buffered = buffered
        self._waiting: dict[UpstreamConnection, int] = {}  # with the bytes that each needs
        self._retry: asyncio.TimerHandle | None = None

    def reserve(self, connection: UpstreamConnection, size_bytes: int) -> bool:
        """Acquire memory for a response that has started.

        Returns:
            Whether it is granted now; if not, the connection's `resume_reading` is called once it is.
        """
        if not self._waiting and self._buffered.acquire(size_bytes):
            connection.buffered_bytes = size_bytes
            return True
        if self._retry is None:
            self._retry = self._loop.call_later(BUFFER_RETRY_S, self._retry_buffers)
        self._waiting[connection] = size_bytes
        return False

    def release(self, connection: UpstreamConnection) -> None:
        """Release the memory of a response, or remove it from those that wait."""
        self._buffered.release(connection.buffered_bytes)
        connection.buffered_bytes = 0
        self._waiting.pop(connection, None)

    def _retry_buffers(self) -> None:
        """Resume waiting responses in the order in which they started while memory is granted."""
        self._retry = None
        while self._waiting:
            connection, size_bytes = next(iter(self._waiting.items()))
            if not self._buffered.acquire(size_bytes):
                self._retry = self._loop.call_later(BUFFER_RETRY_S, self._retry_buffers)
                return
            del self._waiting[connection]
            connection.buffered_bytes = size_bytes
            connection.resume_reading()
