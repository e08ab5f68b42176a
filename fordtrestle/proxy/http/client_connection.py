"""A client connection from its first byte: serves requests and writes responses in their order."""

from __future__ import annotations

from collections import deque

from fordtrestle.proxy.engine.outcome_counters import OwnCause
from fordtrestle.proxy.http import stream, wire
from fordtrestle.proxy.http.call import ClientCall
from fordtrestle.proxy.http.client_stream import CLOSED, ENDING, LINGERING, READING, ClientStream
from fordtrestle.proxy.http.errors import BadRequestError
from fordtrestle.proxy.http.listener import Listener
from fordtrestle.proxy.http.request_parser import RequestParser
from fordtrestle.proxy.http.requests import Message
from fordtrestle.proxy.http.tracked_connection import TrackedConnection
from fordtrestle.resources.connection_table import TableEntry

READY_PATH = b"/health/ready"
COUNTS_TARGET = b"/health/ready?counts"
# The most requests that are read and not answered; a further one is the last that is read from its
# connection. Guards against a client that keeps sending and reads nothing.
MAX_PIPELINED_REQUESTS = 16
# The most of them in flight at a time: guards against one client that uses up the calls of the whole process.
MAX_OPEN_CALLS = 4
# The bytes that the kernel may buffer for a client that does not read; it doubles them (socket(7),
# SO_SNDBUF).
SEND_BUFFER_BYTES = 128 * 1024
# An error or a close is due within 3 s of connecting, and healthy connections are idle for 2 s and longer.
REQUEST_TIMEOUT_S = 2.0  # for the rest of a request after its first byte
REJECTION_TIMEOUT_S = 1.5  # for the requests before a rejected one to be answered


class ClientConnection(ClientStream):
    """Serves the requests of one client and writes their responses in the order of the requests.

    Pipelined requests (RFC 9112, 9.3.2) are served a few at a time, and none while the client leaves
    responses unread.

    Attributes:
        buffered_bytes: The bytes that are charged to this connection in the server's quota.
    """

    def __init__(
        self, server: Listener, entry: TableEntry[TrackedConnection], early: stream.EarlyTransport
    ) -> None:
        """Start reading.

        Args:
            server: The server that accepted the connection.
            entry: Its entry in the server's table.
            early: Its transport until it gets a real one.
        """
        super().__init__(server, entry, early)
        self._parser = RequestParser(self)
        self._unanswered: deque[ClientCall] = deque()  # in the order of their requests
        # The last of them, which are not given to the engine yet, with the time in ms when each was read.
        self._unserved: deque[tuple[ClientCall, float]] = deque()
        self._call: ClientCall | None = None  # of the request being read, once its head is validated
        self._read_at_ms = 0.0
        self._lag_ms = 0.0  # the lag of the loop at that time
        self.buffered_bytes = 0

    @property
    def is_idle(self) -> bool:
        """Whether it is between requests, with no unread bytes on either side."""
        is_quiet = (
            not self._unanswered
            and self._parser.message is None
            and self.state is READING
            and not self.unsent_bytes
        )
        return is_quiet and not stream.is_readable(self._transport)

    @property
    def is_evictable(self) -> bool:
        """Whether it may be closed to free its descriptor for another connection.

        That is so if no complete request is in flight and no bytes are unread on either side. An incomplete
        request does not keep it open. Neither do bytes that arrive after the last response, once the client
        has acknowledged that response; a reset before that would lose it.
        """
        if self._unanswered or self.unsent_bytes:
            return False
        if self.state is not READING:
            return not stream.unacknowledged_bytes(self._transport)
        return not stream.is_readable(self._transport)

    def close(self) -> None:
        """Close the connection between requests."""
        self._linger()

    def on_request_overdue(self) -> None:
        """Handle that it has sent no complete request for longer than any healthy client takes."""
        if self._parser.message is not None:
            self.reject(408)
        elif not self._unanswered and self.state is READING:
            self.close()

    def reject_unfinished(self) -> None:
        """Reject an incomplete request, as it is too late for the rest of it."""
        if self._parser.message is not None and not self._unanswered:
            self.reject(503)

    def on_call_over(self, call: ClientCall) -> None:
        """Handle that a request is answered and has no attempt in flight."""
        self._server.intake.on_call_over(call)

    # --- called by the loop ----------------------------------------------------

    def data_received(self, data: bytes) -> None:
        """Serve the requests in these bytes and buffer the rest as an incomplete request."""
        if self.state is not READING:
            return
        self._read_at_ms = self._server.clock.now()
        self._lag_ms = max(0.0, self._read_at_ms - self._server.lag.due_ms)
        try:
            self._parser.feed(data)
        except BadRequestError as error:
            self.reject(error.status, str(error))  # does nothing after the last request that is read
        else:
            if self._parser.message is not None and self._timer is None:
                self._timer = self._server.loop.call_later(REQUEST_TIMEOUT_S, self.reject, 408)
        if self._parser.message is not None or self._unserved or self.buffered_bytes:
            self._account_bytes()

    def pause_writing(self) -> None:
        """Stop reading and serving requests until the client reads its responses."""
        self._is_stalled = True
        self._set_reading(False)
        self._server.buffers.on_stalled(self)

    def resume_writing(self) -> None:
        """Continue as the client has read its responses."""
        self._is_stalled = False
        if self.state is LINGERING:
            # Deferred: if writing ended within this callback, the loop itself would shut down the socket just
            # after it, where an error is not caught.
            self._server.loop.call_soon(stream.end_writing, self._transport)
        self._server.buffers.on_unstalled(self)
        self._account_bytes()
        self._serve_more()
        if not self._unanswered:
            self._on_between_requests()

    def connection_lost(self, error: Exception | None) -> None:
        """Handle the closed connection: report to the engine that the client of its requests is gone."""
        self.state = CLOSED
        self._stop_timer()
        self._server.buffers.set_buffered(self, 0)
        self._server.on_closed(self)
        self._parser.close()
        waiting = list(self._unanswered)
        self._unanswered.clear()
        self._unserved.clear()
        self._call = None
        for call in waiting:
            if call.request is not None:
                self._server.call_handler.client_gone(call.request)

    # --- called by the parser: RequestEvents -----------------------------------

    def on_request_begun(self) -> bool:
        """Handle the first byte of a request; return False if no further request is read."""
        if self.state is not READING:
            return False
        if not self._unanswered:
            self._server.table.on_request_started(self.entry, self._read_at_ms)
        return True

    def on_head(self, message: Message) -> None:
        """Validate the head of a request.

        Raises:
            BadRequestError: The request can't be served.
        """
        self._call = call = ClientCall(self)
        if message.target.partition(b"?")[0] != READY_PATH:
            self._server.intake.on_head(call, message)
        call.asks_for_counts = message.target == COUNTS_TARGET and message.method == "GET"
        message.is_validated = True
        # RFC 9110, 10.1.1. Not while responses to earlier requests are due, since it would precede them.
        if (message.text("expect") or "").lower() == "100-continue" and not self._unanswered:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_request(self, message: Message, keep_alive: bool) -> None:
        """Serve a complete request, or queue it until those before it are answered."""
        call, self._call = self._call, None
        if call is None or self.state is not READING:
            return
        self._stop_timer()
        call.keep_alive = keep_alive
        call.set_body(message)
        self._server.table.on_request(self.entry, self._read_at_ms, proves_client=bool(call.call_id))
        self._unanswered.append(call)
        if len(self._unanswered) > MAX_PIPELINED_REQUESTS:
            call.keep_alive = False
            self.state = ENDING
        # The time that the client has already waited counts against its budget: for being accepted, or while
        # this process may have been stalled. It takes at most half of the budget, as the request may have
        # arrived at the end of that wait.
        waited_ms = max(self._lag_ms, self.entry.accept_wait_ms)
        self.entry.accept_wait_ms = 0.0
        if waited_ms:
            waited_ms = min(waited_ms, call.budget / 2.0)
        read_at_ms = self._read_at_ms - waited_ms
        if self._is_stalled or len(self._unanswered) > 1:
            self._unserved.append((call, read_at_ms))
            self._serve_more()
        else:
            self._server.intake.on_request(call, read_at_ms)
            self.flush()

    # --- responses -------------------------------------------------------------

    def _serve_more(self) -> None:
        """Serve queued requests while the client reads its responses and has few calls in flight."""
        while self._unserved and not self._is_stalled and not self.has_disconnected():
            if len(self._unanswered) - len(self._unserved) >= MAX_OPEN_CALLS:
                break
            if any(call.response is not None for call in self._unanswered):
                break  # such a response is buffered until those before it are written
            call, read_at_ms = self._unserved.popleft()
            if call.response is None:
                self._server.intake.on_request(call, read_at_ms)
            self.flush()
        if self.state is READING:
            self._set_reading(not (self._unserved or self._is_stalled))

    def on_response(self) -> None:
        """Handle that a call has its response: write what can be written and serve queued requests."""
        self.flush()
        if self._unserved:
            self._serve_more()

    def end_after_last(self) -> None:
        """Stop reading requests: the connection ends with the response to the last one read."""
        if self.state is READING:
            self.state = ENDING
        self._stop_timer()
        self._unanswered[-1].keep_alive = False

    def flush(self) -> None:
        """Write the responses that are ready, in the order of the requests (RFC 9112, 9.3.2).

        The connection ends after its last response (RFC 9112, 9.6): that to a request that asks to close, to
        one that is rejected, or the last one due while the server drains.
        """
        while self._unanswered and self.state is not CLOSED:
            call = self._unanswered[0]
            if call.response is None:
                break
            self._unanswered.popleft()
            is_last = not call.keep_alive or (self._server.is_draining and not self._unanswered)
            status, headers, body = call.response
            encoded = wire.encode_response(status, headers, body, is_last)
            self._written_bytes += len(encoded)
            self._transport.write(encoded)
            if is_last:
                self._linger()
                break
            if not self._unanswered and not self._is_stalled:
                self._on_between_requests()
        if self._is_stalled or self.buffered_bytes or len(self._unanswered) > 1:
            self._account_bytes()

    def _on_between_requests(self) -> None:
        """Report a connection whose responses are all read as idle, or as receiving its next request."""
        if self.state is not READING:
            return
        if self._parser.message is None:
            self._server.on_idle(self.entry)
        else:
            self._server.table.on_request_started(self.entry, self._server.clock.now())

    def _account_bytes(self) -> None:
        """Account for the buffered bytes: unsent, incomplete, queued requests, and responses not written yet.

        Guards against unbounded memory: if the quota has no room, a request that is being read is rejected,
        or the connection of a client that does not read its responses is aborted.
        """
        if self.state is CLOSED:
            return
        is_unfinished = self._parser.message is not None
        size_bytes = self.unsent_bytes + self._parser.unfinished_bytes
        size_bytes += sum(call.size_bytes for call, _ in self._unserved)
        size_bytes += sum(len(call.response[2]) for call in self._unanswered if call.response is not None)
        has_room = self._server.buffers.set_buffered(self, size_bytes, is_unfinished)
        if not has_room and self.state is READING:
            if self._parser.message is not None:
                self.reject(503)
            else:
                self.abort()

    # --- ending ----------------------------------------------------------------

    def reject(self, status: int, text: str = "") -> None:
        """Answer a request that reading can't continue from, and end the connection with that response.

        Requests before it are answered first; those that take longer than `REJECTION_TIMEOUT_S` fail.
        """
        if self.state is not READING:
            return
        call = ClientCall(self)
        call.keep_alive = False
        message = self._parser.message
        is_head = message is not None and message.method == "HEAD"  # RFC 9110, 9.3.2: no content
        self._parser.drop_message()
        self._call = None
        self.state = ENDING
        self._server.table.on_rejected(self.entry, self._server.clock.now())
        self._server.intake.record_rejection(status)
        self._stop_timer()
        self._unanswered.append(call)
        call.response = (status, [], f"{text}\n".encode("latin-1") if text and not is_head else b"")
        self.flush()
        if self._unanswered:
            self._timer = self._server.loop.call_later(REJECTION_TIMEOUT_S, self.fail_unanswered)

    def fail_unanswered(self) -> None:
        """Fail the requests that are not answered.

        Either they precede a rejected request, whose response is due soon, or the process is shutting down
        and their time is over.
        """
        self._unserved.clear()
        for call in list(self._unanswered):
            if call.response is not None:
                continue
            request = call.request
            if request is None:
                self._server.counters.record_refused(call.traffic_class, OwnCause.CUT_SHORT)
                call.refused(0.0)  # never given to the engine
            else:
                self._server.counters.record_failed(call.traffic_class, OwnCause.CUT_SHORT)
                call.failed(False)
                self._server.call_handler.client_gone(request)

    def _linger(self) -> None:
        """Close after the last response or between requests, and drop the requests that are still queued."""
        self._unserved.clear()
        super()._linger()
