"""The HTTP server as its client connections see it."""

from __future__ import annotations

import asyncio
from typing import Protocol

from fordtrestle.proxy.engine.lag import LoopLagMeter
from fordtrestle.proxy.http.client_buffers import ClientBuffers
from fordtrestle.proxy.http.request_intake import RequestIntake
from fordtrestle.proxy.http.server_resources import ServerResources
from fordtrestle.proxy.http.tracked_connection import TrackedConnection
from fordtrestle.resources.connection_table import TableEntry


class PausedConnection(Protocol):
    """A connection whose reading is paused."""

    def has_disconnected(self) -> bool:
        """Return whether its client has closed or reset it."""


class Listener(ServerResources, Protocol):
    """An HTTP server as its connections see it.

    Attributes:
        loop: Runs the connections.
        lag: Measures how late the loop runs.
        intake: Validates and accepts requests.
        buffers: Accounts for the bytes that connections buffer.
        reading_paused: The connections whose reading is paused, so that the loop does not report a
            disconnect.
    """

    loop: asyncio.AbstractEventLoop
    lag: LoopLagMeter
    intake: RequestIntake
    buffers: ClientBuffers
    reading_paused: dict[PausedConnection, None]

    def on_idle(self, entry: TableEntry[TrackedConnection]) -> None:
        """Handle that all requests of a connection are answered."""
