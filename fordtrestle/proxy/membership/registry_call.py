"""One call to the registry: its task, its connection, and the deadline of the connection."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from fordtrestle.proxy.engine.ports import Address
from fordtrestle.proxy.membership import timing
from fordtrestle.proxy.membership.errors import ResponseError
from fordtrestle.proxy.membership.registry_protocol import ResponseReader, ResponseState, encode_request

# Called with each line of a response; returns whether the line proves that the registry is alive.
OnLine = Callable[[bytes], bool]


class RegistryConnection(asyncio.Protocol):
    """One connection to the registry, for one request.

    Only lines for which `on_line` returns true are a proof of liveness: a response may stall after its head,
    or within a line or a list.

    Attributes:
        ended: Done once the response is complete, or the connection is closed or lost.
        fault: The fault of the response; empty if there is none.
        requested_at: When the request was sent, on the loop's clock (seconds).
        alive_at: When the last proof of liveness was received; the same as `requested_at` before the first.
    """

    def __init__(self, on_line: OnLine) -> None:
        self._on_line = on_line
        self._response = ResponseReader(self._on_response_line)
        self._transport: asyncio.Transport
        self._loop = asyncio.get_running_loop()
        self._has_been_alive = False
        self.requested_at = self.alive_at = self._loop.time()
        self.ended = self._loop.create_future()
        self.fault = ""

    @property
    def is_complete(self) -> bool:
        """Whether the whole response has been received."""
        return self._response.state is ResponseState.COMPLETE

    @property
    def deadline(self) -> float:
        """The latest time for the next proof of liveness, on the loop's clock (seconds)."""
        timeout_s = timing.WATCH_TIMEOUT_S if self._has_been_alive else timing.ANSWER_TIMEOUT_S
        return self.alive_at + timeout_s

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport; the caller sends the request, if the response is still needed."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def send(self, request: bytes) -> None:
        """Send the request; a connection has only one."""
        self.requested_at = self.alive_at = self._loop.time()
        self._transport.write(request)

    def data_received(self, data: bytes) -> None:
        """Parse a part of the response; a fault in it closes the connection."""
        if self.ended.done():
            return
        try:
            self._response.feed(data)
        except ResponseError as error:
            self.fault = str(error)
            self.close()
        if self.is_complete:
            self._end()

    def eof_received(self) -> bool:
        """Let the transport close itself."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Record the end of the connection."""
        self._end()

    def close(self) -> None:
        """Abort the connection; no more lines are delivered."""
        self._transport.abort()
        self._end()

    def _end(self) -> None:
        self._response.stop()
        if not self.ended.done():
            self.ended.set_result(None)

    def _on_response_line(self, line: bytes) -> None:
        if self._on_line(line):
            self._has_been_alive, self.alive_at = True, self._loop.time()


class RegistryCall:
    """One operation on the registry: a task that runs `run(call)`, and its open connection.

    A response may be received after the caller no longer needs it, such as in the same iteration of the event
    loop in which the client moves to another registry. Therefore, after `cancel`, the connection delivers
    nothing, and the task neither connects nor reports.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, run: Callable[[RegistryCall], Coroutine[Any, Any, None]]
    ) -> None:
        self._loop = loop
        self._connection: RegistryConnection | None = None
        self.is_cancelled = False
        self._task = loop.create_task(run(self))

    async def request(self, address: Address, target: str, on_line: OnLine) -> RegistryConnection | None:
        """Connect and send a request.

        Returns:
            The connection; None if it could not be opened within CONNECT_TIMEOUT_S, or if the call was
            cancelled.
        """
        if self.is_cancelled:
            return None
        try:
            async with asyncio.timeout(timing.CONNECT_TIMEOUT_S):
                _, connection = await self._loop.create_connection(
                    lambda: RegistryConnection(on_line), address.host, address.port
                )
        except (OSError, ValueError):  # connection refused, no free descriptor, or an invalid host name
            return None
        self._connection = connection
        connection.send(encode_request(address, target))
        return connection

    def cancel(self) -> None:
        """Close the connection and stop the task, without any further report."""
        self.is_cancelled = True
        self.close()
        self._task.cancel()

    def close(self) -> None:
        """Close the connection, if there is one."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None
