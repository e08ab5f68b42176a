"""An HTTP server as its parts see it: its clock, its connections and their resources."""

from __future__ import annotations

from typing import Protocol

from fordtrestle.proxy.engine.clock import Clock
from fordtrestle.proxy.engine.open_requests import OpenRequest
from fordtrestle.proxy.engine.outcome_counters import OutcomeCounters
from fordtrestle.proxy.http.call import ClientCall
from fordtrestle.proxy.http.tracked_connection import TrackedConnection
from fordtrestle.resources.connection_table import ConnectionTable
from fordtrestle.resources.quotas import Budget, QuotaShare


class CallHandler(Protocol):
    """Handles requests; implemented by an engine."""

    def arrive(self, call: ClientCall, now: float) -> OpenRequest | None:
        """Accept a request; it gets one final response, and `on_finished` once no attempt is in flight."""

    def client_gone(self, request: OpenRequest) -> None:
        """Handle that the client of a request closed its connection."""


class ServerResources(Protocol):
    """The resources that the parts of an HTTP server share.

    Attributes:
        clock: Gives the time in milliseconds.
        call_handler: Handles complete requests.
        is_draining: Whether the process is shutting down, so that connections close after their last
            response.
        budget: The quota shares for descriptors, bytes and calls.
        reserve: The quota share of descriptors for connections at the limit, whose complete requests are
            answered with 503.
        table: All connections, by their history.
        counters: Counts the requests that are answered here and not by an engine.
    """

    clock: Clock
    call_handler: CallHandler
    is_draining: bool
    budget: Budget
    reserve: QuotaShare
    table: ConnectionTable[TrackedConnection]
    counters: OutcomeCounters

    def on_closed(self, connection: TrackedConnection) -> None:
        """Release everything that a connection used, as its socket is closed or about to be."""
