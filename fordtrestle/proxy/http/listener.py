"""What a client's connection sees of the front that holds it."""

from __future__ import annotations

import asyncio
from typing import Protocol

from fordtrestle.proxy.engine.clock import Clock
from fordtrestle.proxy.engine.connection_table import ConnectionTable, TableEntry
from fordtrestle.proxy.engine.lag import LoopLagMeter
from fordtrestle.proxy.engine.open_requests import OpenRequest
from fordtrestle.proxy.engine.outcome_counters import OutcomeCounters
from fordtrestle.proxy.http.call import ClientCall, OpenConnection
from fordtrestle.proxy.http.requests import Message
from fordtrestle.proxy.http.tracked_connection import TrackedConnection


class CallHandler(Protocol):
    """What requests are given to."""

    def arrive(self, call: ClientCall, now: float) -> OpenRequest | None:
        """Take a request; it gets one final answer, and `over` once no attempt is out."""

    def client_gone(self, request: OpenRequest) -> None:
        """Its client has closed the connection."""


class Listener(Protocol):
    """What holds the connections, as they see it."""

    loop: asyncio.AbstractEventLoop
    clock: Clock
    call_handler: CallHandler
    draining: bool
    table: ConnectionTable[TrackedConnection]
    lag: LoopLagMeter
    counters: OutcomeCounters  # of what is answered here, and not by an engine
    reading_paused: dict[OpenConnection, None]  # of whom nothing is read at present

    def on_idle(self, entry: TableEntry[TrackedConnection]) -> None:
        """All that a connection asked is answered."""

    def on_head(self, call: ClientCall, message: Message) -> None:
        """A head: `BadRequest` where the request can't be taken."""

    def on_request(self, call: ClientCall, read_at: float) -> None:
        """A whole request: answered here, or taken."""

    def record_rejection(self, status: int) -> None:
        """A connection is told so, and ends with that: count it."""

    def on_call_over(self, call: ClientCall) -> None:
        """Nothing of a request is open any more."""

    def set_buffered(self, connection: OpenConnection, size: int, half: bool = False) -> bool:
        """So many bytes are held by a connection now, if it is `half` of a request among them; whether there
        is room for them.
        """

    def on_stalled(self, connection: OpenConnection) -> None:
        """Its client does not read what is written."""

    def on_unstalled(self, connection: OpenConnection) -> None:
        """It has read all of it."""

    def on_closed(self, connection: TrackedConnection) -> None:
        """Its socket is closed."""
