"""Which complete requests are taken: judged, accounted for, and given to an engine."""

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
    """Gives requests to the engine, or answers them here where that can't be.

    Attributes:
        open_call_ids: The identities of requests of which anything is open.
        ends_ms: Nothing is taken any more from then on.
        record: Called with each complete request for servers, where a trace is recorded.
        make_status_body: Makes the body for who asks for counts, as JSON.
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
            evictor: Finds a descriptor for a connection at the limit.
            buffers: Accounts for the bytes of calls.
            names: The classes and tenants that requests may name.
            retry_after_ms: When a client may come back whose request there is no capacity for; 0: unsaid.
        """
        self._server = server
        self._evictor = evictor
        self._buffers = buffers
        self._names = names
        self._retry_after_ms = retry_after_ms
        self.open_call_ids: set[str] = set()
        self.ends_ms = math.inf
        self.record: Callable[[ClientCall], None] | None = None
        self.make_status_body: Callable[[], bytes] = bytes

    @property
    def class_names(self) -> dict[int, str]:
        """The classes that requests may name, by their numbers."""
        return {kind.traffic_class: name for name, kind in self._names.classes.items()}

    def apply_options(self, names: RequestNames, retry_after_ms: float) -> None:
        """Use other classes and tenants for all requests that are not taken yet; connections stay."""
        self._names = names
        self._retry_after_ms = retry_after_ms

    def on_head(self, call: ClientCall, message: Message) -> None:
        """Judge the head of a request for servers.

        Raises:
            BadRequestError: The request can't be taken. With 409, a request with its identity is open
                anywhere, or an attempt of one is still out: it is some other client's.
        """
        call.read_head(message, self._names)
        self._check_not_open(call)

    def on_request(self, call: ClientCall, read_at_ms: float) -> None:
        """Answer a complete request here, or give it to the engine.

        It is judged once more: guards against one whose identity was taken, or whose class was changed, while
        its body came.
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
        """Nothing of a request is open any more."""
        self.open_call_ids.discard(call.call_id)
        if call.charged_bytes:
            self._server.budget.calls.release()
            self._server.budget.buffered.release(call.charged_bytes)
            call.charged_bytes = 0

    def record_rejection(self, status: int) -> None:
        """Count a connection that ends with an answer of this status."""
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
        """Why a complete request can't be taken, if so; else it is accounted for.

        A connection without a descriptor of the clients' ends with its response. Guards against cutting a
        client off at the limit: it is answered, with when to come back.
        """
        if self._server.clock.now() > self.ends_ms:
            return OwnCause.ENDING  # it could outlast this process
        if not self._evictor.claim_descriptor(call.connection):
            call.connection.end_after_last()
            return OwnCause.NO_DESCRIPTOR
        return None if self._charge(call) else OwnCause.NO_ROOM

    def _charge(self, call: ClientCall) -> bool:
        """Account for a call; whether there is capacity for it."""
        if not self._server.budget.calls.acquire():
            return False
        if not self._buffers.take(call.size_bytes):
            self._server.budget.calls.release()
            return False
        call.charged_bytes = call.size_bytes
        return True
