"""Admission of complete requests: validated, accounted for, and passed to an engine."""

from __future__ import annotations

import math
from collections.abc import Callable

from fordtrestle.proxy.engine.outcome_counters import NO_CLASS, OwnCause
from fordtrestle.proxy.http import requests
from fordtrestle.proxy.http.call import ClientCall
from fordtrestle.proxy.http.client_buffers import ClientBuffers
from fordtrestle.proxy.http.errors import BadRequestError
from fordtrestle.proxy.http.eviction import Evictor
from fordtrestle.proxy.http.requests import Message, RequestNames
from fordtrestle.proxy.http.server_resources import ServerResources


class RequestIntake:
    """Passes requests to the engine, or answers them here if they can't be accepted.

    Attributes:
        open_call_ids: The ids of requests that are unanswered or have an attempt in flight.
        accept_until_ms: The time after which no request is accepted.
        record: Called with each complete request for servers while a trace is recorded.
        make_status_body: Returns the body of a response with counts, as JSON.
    """

    def __init__(
        self,
        server: ServerResources,
        evictor: Evictor,
        buffers: ClientBuffers,
        names: RequestNames,
        retry_after_ms: float,
    ) -> None:
        """Start without calls.

        Args:
            server: The server's resources.
            evictor: Provides a descriptor for a connection at the limit.
            buffers: Accounts for the bytes of calls.
            names: The classes and tenants that requests may name.
            retry_after_ms: When a client may retry a request that is refused for lack of capacity; 0 sends no
                time.
        """
        self._server = server
        self._evictor = evictor
        self._buffers = buffers
        self._names = names
        self._retry_after_ms = retry_after_ms
        self.open_call_ids: set[str] = set()
        self.accept_until_ms = math.inf
        self.record: Callable[[ClientCall], None] | None = None
        self.make_status_body: Callable[[], bytes] = bytes

    @property
    def class_names(self) -> dict[int, str]:
        """The classes that requests may name, by their numbers."""
        return {request_class.traffic_class: name for name, request_class in self._names.classes.items()}

    def apply_options(self, names: RequestNames, retry_after_ms: float) -> None:
        """Apply new classes and tenants to all requests that are not accepted yet; connections stay open."""
        self._names = names
        self._retry_after_ms = retry_after_ms

    def on_head(self, call: ClientCall, message: Message) -> None:
        """Validate the head of a request for servers.

        Raises:
            BadRequestError: The request can't be accepted. Status 409 means that a request with the same id
                is unanswered or still has an attempt in flight, and may belong to another client.
        """
        call.read_head(message, self._names)
        self._check_not_open(call)

    def on_request(self, call: ClientCall, read_at_ms: float) -> None:
        """Answer a complete request here, or pass it to the engine.

        It is validated again, in case its id was used or its class changed while its body arrived.
        """
        server = self._server
        if not call.call_id:
            body = self.make_status_body() if call.asks_for_counts else b""
            call.response = (503 if server.is_draining else 200, [], body)
            return
        if self.record is not None:
            self.record(call)
        try:
            self._check_not_open(call)
            if call.names is not self._names and call.names is not None:
                requests.recheck_names(call.traffic_class, call.tenant, call.names, self._names)
        except BadRequestError as error:
            server.counters.record_rejected(call.traffic_class, OwnCause.BAD_REQUEST)
            call.response = (error.status, [], f"{error}\n".encode())
            return
        if (cause := self._reason_to_refuse(call)) is not None:
            server.counters.record_refused(call.traffic_class, cause)
            call.refused(self._retry_after_ms)
            return
        self.open_call_ids.add(call.call_id)
        request = server.call_handler.arrive(call, read_at_ms)
        if request is None:
            self.on_call_over(call)
        elif call.call_id in self.open_call_ids:
            call.request = request

    def on_call_over(self, call: ClientCall) -> None:
        """Release what a request used once it is answered and has no attempt in flight."""
        self.open_call_ids.discard(call.call_id)
        if call.charged_bytes:
            self._server.budget.calls.release()
            self._server.budget.buffered.release(call.charged_bytes)
            call.charged_bytes = 0

    def record_rejection(self, status: int) -> None:
        """Count a connection that ends with a response of this status."""
        server = self._server
        if status == 503:
            server.counters.record_refused(
                NO_CLASS, OwnCause.ENDING if server.is_draining else OwnCause.NO_ROOM
            )
        else:
            server.counters.record_rejected(
                NO_CLASS, OwnCause.UNFINISHED if status == 408 else OwnCause.BAD_REQUEST
            )

    def _check_not_open(self, call: ClientCall) -> None:
        if call.call_id in self.open_call_ids:
            raise BadRequestError(409, "X-Call-Id: is open already")

    def _reason_to_refuse(self, call: ClientCall) -> OwnCause | None:
        """Return why a complete request can't be accepted; if it can, charge it and return None.

        A connection without a descriptor of the clients' share ends with its response. So a client at the
        limit is not cut off but gets an answer, with the time after which to retry.
        """
        if self._server.clock.now() > self.accept_until_ms:
            return OwnCause.ENDING  # it could outlast this process
        if not self._evictor.claim_descriptor(call.connection):
            call.connection.end_after_last()
            return OwnCause.NO_DESCRIPTOR
        return None if self._charge(call) else OwnCause.NO_ROOM

    def _charge(self, call: ClientCall) -> bool:
        """Charge a call to the quotas of calls and bytes; return whether there is capacity for it."""
        if not self._server.budget.calls.acquire():
            return False
        if not self._buffers.acquire(call.size_bytes):
            self._server.budget.calls.release()
            return False
        call.charged_bytes = call.size_bytes
        return True
