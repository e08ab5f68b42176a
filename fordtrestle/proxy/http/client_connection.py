"""A client's connection, from its first byte: requests are served, and responses written in their order."""

from __future__ import annotations

from collections import deque

from fordtrestle.proxy.engine.connection_table import TableEntry
from fordtrestle.proxy.engine.outcome_counters import OwnCause
from fordtrestle.proxy.http import stream, wire
from fordtrestle.proxy.http.call import ClientCall
from fordtrestle.proxy.http.client_stream import CLOSED, ENDING, LINGERING, READING, ClientStream
from fordtrestle.proxy.http.errors import BadRequestError
from fordtrestle.proxy.http.listener import Listener
from fordtrestle.proxy.http.request_parser import RequestParser
from fordtrestle.proxy.http.requests import Message
from fordtrestle.proxy.http.tracked_connection import TrackedConnection

READY_PATH = b"/health/ready"
COUNTS_TARGET = b"/health/ready?counts"
# Requests read and not answered; the connection ends with the last of them: guards against a client that
# sends on and reads nothing.
MAX_PIPELINED_REQUESTS = 16
# Of them, open at a time: guards against one client that takes all calls that the process may hold.
MAX_OPEN_CALLS = 4
# Bytes that the kernel may hold for a client that does not read; it doubles them (socket(7), SO_SNDBUF).
SEND_BUFFER_BYTES = 128 * 1024
# An error or a close is owed within 3 s of connecting, and healthy connections rest for 2 s and more.
REQUEST_TIMEOUT_S = 2.0  # for the rest of a request whose first byte has come
REJECTION_TIMEOUT_S = 1.5  # a request that is rejected waits so long for those before it


class ClientConnection(ClientStream):
    """Serves the requests of one client, and writes their responses in the order of the requests.

    Pipelined requests (RFC 9112, 9.3.2) are served a few at a time, and none while the client leaves
    responses unread.

    Attributes:
        buffered_bytes: What is held here, by the server's accounting.
    """

    def __init__(
        self, server: Listener, entry: TableEntry[TrackedConnection], early: stream.EarlyTransport
    ) -> None:
        """Begin to read; the arguments are the server, the connection's table entry and its transport."""
        super().__init__(server, entry, early)
        self._parser = RequestParser(self)
        self._waiting: deque[ClientCall] = deque()  # not answered, in the order of their requests
        # The last of them, which are not served yet, and when each was read (ms).
        self._untaken: deque[tuple[ClientCall, float]] = deque()
        self._call: ClientCall | None = None  # of the request that is being read, once its head is judged
        self._read_at_ms = 0.0
        self._lag_ms = 0.0  # how late the loop ran as that was read
        self.buffered_bytes = 0

    @property
    def is_idle(self) -> bool:
        """Whether it stands between requests, with nothing unread on either side."""
        is_quiet = (
            not self._waiting
            and self._parser.message is None
            and self.state is READING
            and not self.unsent_bytes
        )
        return is_quiet and not stream.is_readable(self._transport)

    @property
    def is_evictable(self) -> bool:
        """Whether it may be closed for another's sake.

        Then no complete request is open, and nothing is unread on either side. Half of a request that has
        come does not keep it, nor what comes behind the last response once that has reached its client: a
        reset would take the response with it.
        """
        if self._waiting or self.unsent_bytes:
            return False
        if self.state is not READING:
            return not stream.unacknowledged_bytes(self._transport)
        return not stream.is_readable(self._transport)

    def close(self) -> None:
        """Close it, between requests."""
        self._linger()

    def on_request_overdue(self) -> None:
        """It has not sent a complete request for longer than any healthy client takes."""
        if self._parser.message is not None:
            self.reject(408)
        elif not self._waiting and self.state is READING:
            self.close()

    def reject_unfinished(self) -> None:
        """It is too late for the rest of a request of which half has come."""
        if self._parser.message is not None and not self._waiting:
            self.reject(503)

    def on_call_over(self, call: ClientCall) -> None:
        """Nothing of a request is out any more."""
        self._server.intake.on_call_over(call)

    # --- called by the loop ----------------------------------------------------

    def data_received(self, data: bytes) -> None:
        """Serve the requests in these bytes, and hold the rest of them as half of one."""
        if self.state is not READING:
            return
        self._read_at_ms = self._server.clock.now()
        self._lag_ms = max(0.0, self._read_at_ms - self._server.lag.due_ms)
        try:
            self._parser.feed(data)
        except BadRequestError as error:
            self.reject(error.status, str(error))  # nothing, if it came behind the last request that is read
        else:
            if self._parser.message is not None and self._timer is None:
                self._timer = self._server.loop.call_later(REQUEST_TIMEOUT_S, self.reject, 408)
        if self._parser.message is not None or self._untaken or self.buffered_bytes:
            self._account_bytes()

    def pause_writing(self) -> None:
        """The client does not read its responses: nothing more is read or served until it does."""
        self._is_stalled = True
        self._set_reading(False)
        self._server.buffers.on_stalled(self)

    def resume_writing(self) -> None:
        """It has read them."""
        self._is_stalled = False
        if self.state is LINGERING:
            # Later: guards against the loop's own shutdown just behind this, whose error nobody catches.
            self._server.loop.call_soon(stream.end_writing, self._transport)
        self._server.buffers.on_unstalled(self)
        self._account_bytes()
        self._serve_more()
        if not self._waiting:
            self._on_between_requests()

    def connection_lost(self, error: Exception | None) -> None:
        """The connection is closed: its open requests are told that their client is gone."""
        self.state = CLOSED
        self._stop_timer()
        self._server.buffers.set_buffered(self, 0)
        self._server.on_closed(self)
        self._parser.close()
        waiting = list(self._waiting)
        self._waiting.clear()
        self._untaken.clear()
        self._call = None
        for call in waiting:
            if call.request is not None:
                self._server.call_handler.client_gone(call.request)

    # --- called by the parser: RequestEvents -----------------------------------

    def on_request_begun(self) -> bool:
        """The first byte of a request; it is not read if it came behind the last one that is."""
        if self.state is not READING:
            return False
        if not self._waiting:
            self._server.table.on_request_started(self.entry, self._read_at_ms)
        return True

    def on_head(self, message: Message) -> None:
        """Judge a head: `BadRequestError` if its request can't be served."""
        self._call = call = ClientCall(self)
        if message.target.partition(b"?")[0] != READY_PATH:
            self._server.intake.on_head(call, message)
        call.asks_for_counts = message.target == COUNTS_TARGET and message.method == "GET"
        message.is_judged = True
        # RFC 9110, 10.1.1; not while responses to earlier requests are due, which it would come before.
        if (message.text("expect") or "").lower() == "100-continue" and not self._waiting:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_request(self, message: Message, keep_alive: bool) -> None:
        """Serve a complete request, or keep it until those before it are answered."""
        call, self._call = self._call, None
        if call is None or self.state is not READING:
            return
        self._stop_timer()
        call.keep_alive = keep_alive
        call.set_body(message)
        self._server.table.on_request(self.entry, self._read_at_ms, proves_client=bool(call.call_id))
        self._waiting.append(call)
        if len(self._waiting) > MAX_PIPELINED_REQUESTS:
            call.keep_alive = False
            self.state = ENDING
        # What the client has waited already counts: to be accepted, or for as long as this process may
        # have stood still; but it leaves it half of its time, since its request may have come last.
        waited_ms = max(self._lag_ms, self.entry.accept_wait_ms)
        self.entry.accept_wait_ms = 0.0
        if waited_ms:
            waited_ms = min(waited_ms, call.budget / 2.0)
        read_at_ms = self._read_at_ms - waited_ms
        if self._is_stalled or len(self._waiting) > 1:
            self._untaken.append((call, read_at_ms))
            self._serve_more()
        else:
            self._server.intake.on_request(call, read_at_ms)
            self.flush()

    # --- responses -------------------------------------------------------------

    def _serve_more(self) -> None:
        """Serve what was read, as far as the client reads its responses and has few calls open."""
        while self._untaken and not self._is_stalled and not self.has_disconnected():
            if len(self._waiting) - len(self._untaken) >= MAX_OPEN_CALLS:
                break
            if any(call.response is not None for call in self._waiting):
                break  # answered too early: each of these is held until those before it are
            call, read_at_ms = self._untaken.popleft()
            if call.response is None:
                self._server.intake.on_request(call, read_at_ms)
            self.flush()
        if self.state is READING:
            self._set_reading(not (self._untaken or self._is_stalled))

    def on_response(self) -> None:
        """A call has its response: write what can be, and serve what waited for that."""
        self.flush()
        if self._untaken:
            self._serve_more()

    def end_after_last(self) -> None:
        """Read no more requests: the connection ends with the response to the last one read."""
        if self.state is READING:
            self.state = ENDING
        self._stop_timer()
        self._waiting[-1].keep_alive = False

    def flush(self) -> None:
        """Write what responses there are, in the order of the requests (RFC 9112, 9.3.2).

        The connection ends behind the last one (RFC 9112, 9.6): that of a request that asks for it, of one
        that is rejected, or the last that is due while the server drains.
        """
        while self._waiting and self.state is not CLOSED:
            call = self._waiting[0]
            if call.response is None:
                break
            self._waiting.popleft()
            is_last = not call.keep_alive or (self._server.is_draining and not self._waiting)
            status, headers, body = call.response
            whole = wire.encode_response(status, headers, body, is_last)
            self._written_bytes += len(whole)
            self._transport.write(whole)
            if is_last:
                self._linger()
                break
            if not self._waiting and not self._is_stalled:
                self._on_between_requests()
        if self._is_stalled or self.buffered_bytes or len(self._waiting) > 1:
            self._account_bytes()

    def _on_between_requests(self) -> None:
        """No call is open, and its client has read all: it is at rest, or half of the next has come."""
        if self.state is not READING:
            return
        if self._parser.message is None:
            self._server.on_idle(self.entry)
        else:
            self._server.table.on_request_started(self.entry, self._server.clock.now())

    def _account_bytes(self) -> None:
        """Report how many bytes are held here: unsent, unfinished, not served, answered too early.

        Guards against memory without bound: if there is none left, a request that is being read is rejected,
        and a client that does not read its responses is cut off.
        """
        if self.state is CLOSED:
            return
        is_unfinished = self._parser.message is not None
        size_bytes = self.unsent_bytes + self._parser.unfinished_bytes
        size_bytes += sum(call.size_bytes for call, _ in self._untaken)
        size_bytes += sum(len(call.response[2]) for call in self._waiting if call.response is not None)
        has_room = self._server.buffers.set_buffered(self, size_bytes, is_unfinished)
        if not has_room and self.state is READING:
            if self._parser.message is not None:
                self.reject(503)
            else:
                self.abort()

    # --- ending ----------------------------------------------------------------

    def reject(self, status: int, text: str = "") -> None:
        """Answer what can't be read on from, and end with that; requests before it are answered first.

        They have `REJECTION_TIMEOUT_S` for that, and fail then.
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
        self._waiting.append(call)
        call.response = (status, [], f"{text}\n".encode("latin-1") if text and not is_head else b"")
        self.flush()
        if self._waiting:
            self._timer = self._server.loop.call_later(REJECTION_TIMEOUT_S, self.fail_unanswered)

    def fail_unanswered(self) -> None:
        """Fail what is not answered.

        It stands before a request that is rejected, which is owed its response soon, or it has outlasted its
        time as the process ends.
        """
        self._untaken.clear()
        for call in list(self._waiting):
            if call.response is not None:
                continue
            request = call.request
            if request is None:
                self._server.counters.record_refused(call.traffic_class, OwnCause.CUT_SHORT)
                call.refused(0.0)  # never served
            else:
                self._server.counters.record_failed(call.traffic_class, OwnCause.CUT_SHORT)
                call.failed(False)
                self._server.call_handler.client_gone(request)

    def _linger(self) -> None:
        """Close after the last response, or between requests: what was not served never is."""
        self._untaken.clear()
        super()._linger()
