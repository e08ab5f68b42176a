"""Records when data arrives on the connections of a server."""

from __future__ import annotations

import asyncio

from fordtrestle.control_api.arrival_times import ConnectionArrivals, PollTimes


class TrackedConnection(asyncio.Protocol):
    """Records when data arrives for another protocol, to which it passes all events.

    Attributes:
        arrivals: Bounds when the current request arrived.
    """

    def __init__(
        self, protocol: asyncio.Protocol, polls: PollTimes, queued_after: float | None = None
    ) -> None:
        """Create the protocol of a connection that has just been accepted.

        Args:
            protocol: Handles the connection.
            polls: The polls of the event loop.
            queued_after: A lower bound of when the connection arrived; see `ConnectionArrivals`.
        """
        self.arrivals = ConnectionArrivals(polls, queued_after)
        self._protocol = protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Pass the event on."""
        self._protocol.connection_made(transport)

    def data_received(self, data: bytes) -> None:
        """Record the arrival and pass the data on."""
        self.arrivals.on_data()
        self._protocol.data_received(data)

    def eof_received(self) -> bool | None:
        """Pass the event on."""
        return self._protocol.eof_received()

    def connection_lost(self, error: Exception | None) -> None:
        """Pass the event on."""
        self._protocol.connection_lost(error)

    def pause_writing(self) -> None:
        """Pass the event on."""
        self._protocol.pause_writing()

    def resume_writing(self) -> None:
        """Pass the event on."""
        self._protocol.resume_writing()
