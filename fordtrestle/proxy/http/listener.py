"""What a client's connection sees of the server that holds it."""

from __future__ import annotations

import asyncio
from typing import Protocol

from fordtrestle.proxy.engine.connection_table import TableEntry
from fordtrestle.proxy.engine.lag import LoopLagMeter
from fordtrestle.proxy.http.client_buffers import ClientBuffers
from fordtrestle.proxy.http.request_intake import RequestIntake
from fordtrestle.proxy.http.server_resources import ServerResources
from fordtrestle.proxy.http.tracked_connection import TrackedConnection


class PausedConnection(Protocol):
    """A connection that nothing is read from at present."""

    def has_disconnected(self) -> bool:
        """Whether its client has closed or reset it."""


class Listener(ServerResources, Protocol):
    """An HTTP server as its connections see it.

    Attributes:
        loop: Runs the connections.
        lag: Measures how late the loop runs.
        intake: Judges requests, and takes them.
        buffers: Accounts for the bytes that connections hold.
        reading_paused: Connections that nothing is read from: the loop does not report their end.
    """

    loop: asyncio.AbstractEventLoop
    lag: LoopLagMeter
    intake: RequestIntake
    buffers: ClientBuffers
    reading_paused: dict[PausedConnection, None]

    def on_idle(self, entry: TableEntry[TrackedConnection]) -> None:
        """All that a connection asked is answered."""
