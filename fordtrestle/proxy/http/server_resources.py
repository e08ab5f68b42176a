"""An HTTP server as its parts see it: its clock, its connections and what they may hold."""

from __future__ import annotations

from typing import Protocol

from fordtrestle.proxy.engine.clock import Clock
from fordtrestle.proxy.engine.connection_table import ConnectionTable
from fordtrestle.proxy.engine.limits import Budget, QuotaShare
from fordtrestle.proxy.engine.open_requests import OpenRequest
from fordtrestle.proxy.engine.outcome_counters import OutcomeCounters
from fordtrestle.proxy.http.call import ClientCall
from fordtrestle.proxy.http.tracked_connection import TrackedConnection


class CallHandler(Protocol):
    """What requests are given to: an engine."""

    def arrive(self, call: ClientCall, now: float) -> OpenRequest | None:
        """Take a request; it gets one final response, and `over` once no attempt is out."""

    def client_gone(self, request: OpenRequest) -> None:
        """Its client has closed the connection."""


class ServerResources(Protocol):
    """What the parts of an HTTP server have in common.

    Attributes:
        clock: Gives the time in milliseconds.
        call_handler: What complete requests are given to.
        is_draining: Whether the process ends: no connection is kept behind its last response.
        budget: The descriptors, bytes and calls that the server may hold.
        reserve: Descriptors for connections at the limit; each complete request there is answered with 503.
        table: All connections, by what they have done.
        counters: Counts what is answered here, and not by an engine.
    """

    clock: Clock
    call_handler: CallHandler
    is_draining: bool
    budget: Budget
    reserve: QuotaShare
    table: ConnectionTable[TrackedConnection]
    counters: OutcomeCounters

    def on_closed(self, connection: TrackedConnection) -> None:
        """The connection's socket is closed, or about to be: all that it held is free."""
