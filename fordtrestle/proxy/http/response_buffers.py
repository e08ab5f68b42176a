"""Memory for responses that come in parts: it is granted for all of one, or the rest waits at its server."""

from __future__ import annotations

import asyncio

from fordtrestle.proxy.engine.limits import QuotaShare
from fordtrestle.proxy.http.upstream_connection import UpstreamConnection

# Until responses that wait for memory are looked at again: memory is given back by other connections, and
# there is no event for that. A look costs little beside the 10 ms.
BUFFER_RETRY_S = 0.01


class ResponseBuffers:
    """Grants memory to responses in the order in which they began.

    All or nothing: guards against responses that each hold a part and wait for one another's rest.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, buffered: QuotaShare) -> None:
        """Hold nothing yet.

        Args:
            loop: Calls when waiting responses are looked at again.
            buffered: The bytes that may be held.
        """
        self._loop = loop
        self._buffered = buffered
        self._waiting: dict[UpstreamConnection, int] = {}  # and for how many bytes
        self._retry: asyncio.TimerHandle | None = None

    def reserve(self, connection: UpstreamConnection, size_bytes: int) -> bool:
        """Take memory for a response that has begun.

        Returns:
            Whether there is enough now; if not, the connection's `resume_reading` is called once there is.
        """
        if not self._waiting and self._buffered.acquire(size_bytes):
            connection.buffered_bytes = size_bytes
            return True
        if self._retry is None:
            self._retry = self._loop.call_later(BUFFER_RETRY_S, self._retry_buffers)
        self._waiting[connection] = size_bytes
        return False

    def release(self, connection: UpstreamConnection) -> None:
        """Give back the memory of a response, or its place among those that wait."""
        self._buffered.release(connection.buffered_bytes)
        connection.buffered_bytes = 0
        self._waiting.pop(connection, None)

    def _retry_buffers(self) -> None:
        """Let waiting responses go on, in the order in which they began, as far as there is memory."""
        self._retry = None
        while self._waiting:
            connection, size_bytes = next(iter(self._waiting.items()))
            if not self._buffered.acquire(size_bytes):
                self._retry = self._loop.call_later(BUFFER_RETRY_S, self._retry_buffers)
                return
            del self._waiting[connection]
            connection.buffered_bytes = size_bytes
            connection.resume_reading()
