"""A connection of a client: requests parsed and checked, answers written in order."""

from __future__ import annotations

import asyncio
from collections import deque

import httptools

from fordtrestle.proxy.engine.connection_table import TableEntry
from fordtrestle.proxy.engine.outcome_counters import OwnCause
from fordtrestle.proxy.http import requests, stream, wire
from fordtrestle.proxy.http.call import ClientCall
from fordtrestle.proxy.http.errors import BadRequestError
from fordtrestle.proxy.http.listener import Listener
from fordtrestle.proxy.http.requests import Message
from fordtrestle.proxy.http.tracked_connection import TrackedConnection

READY_PATH = "/health/ready"
COUNTS_TARGET = b"/health/ready?counts"
MAX_PIPELINED_REQUESTS = (
    16  # requests read and not answered; past it the connection ends with the last of them
)
MAX_OPEN_CALLS = 4  # of them, taken at a time: guards against a client that asks on and reads nothing
SEND_BUFFER_BYTES = (
    128 * 1024
)  # bytes that the kernel may hold for a client that does not read (it doubles them)
# An error or a close is owed within 3 s of connecting; healthy connections rest for 2 s and more.
REQUEST_TIMEOUT_S = 2.0  # for the rest of a request whose first byte has come
REJECTION_TIMEOUT_S = 1.5  # a request that is rejected waits so long for those before it
LINGER_TIMEOUT_S = (
    1.0  # for a client to read the last answer and to end the connection, too, once it is ended here
)


class ClientConnection(stream.SharedBufferProtocol):
    """One connection of a client, from its first byte."""

    def __init__(
        self, server: Listener, entry: TableEntry[TrackedConnection], early: stream.EarlyTransport
    ) -> None:
        self._server = server
        self.entry = entry
        self._transport: asyncio.Transport | stream.EarlyTransport = early
        self._parser = httptools.HttpRequestParser(self)
        self._waiting: deque[ClientCall] = deque()  # in the order of their requests
        self._untaken: deque[tuple[ClientCall, float]] = deque()  # the last of them, and when each was read
        self._message: Message | None = None
        self._call: ClientCall | None = None  # of the message, once its head is judged
        self._head_bytes = 0
        self._chunk = self._target_tail = b""  # what is being read, and the end of what was before it
        self._framing_bytes = 0  # bytes read of a message that are not its body; 0 until they are known
        self._whole_in_chunk = False
        self._read_at = 0.0
        self._lag_ms = 0.0  # how late the loop ran as that was read
        self._timer: asyncio.TimerHandle | None = None
        self._is_deaf = False  # nothing more is read as a request
        self._is_stalled = False  # its client does not read what is written
        self._is_closed = False
        self._has_ended_writing = False  # nothing more is written
        self._written_bytes = 0  # bytes of answers
        self.buffered_bytes = 0  # bytes in the front's accounting

    @property
    def is_idle(self) -> bool:
        """Whether it stands between requests, with nothing unread on either side."""
        is_quiet = not self._waiting and self._message is None and not self._is_deaf and not self.unsent_bytes
        return is_quiet and not stream.is_readable(self._transport)

    @property
    def is_evictable(self) -> bool:
        """Whether it may be closed for another's sake: no whole request is open, nothing is unread on
        either side. Half a request that has come so far does not keep it, nor what comes behind the last
        answer once that has reached its client: a reset would take it.
        """
        if self._waiting or self.unsent_bytes:
            return False
        if self._is_deaf:
            return not stream.unacknowledged_bytes(self._transport)
        return not stream.is_readable(self._transport)

    @property
    def unsent_bytes(self) -> int:
        """Bytes written that the kernel does not take, since the client does not read."""
        return 0 if self._is_closed else self._transport.get_write_buffer_size()

    @property
    def acknowledged_bytes(self) -> int:
        """Bytes of answers that its client's kernel has: while it reads they grow, at whatever speed, where
        what is unsent here falls in steps of many.
        """
        return self._written_bytes - self.unsent_bytes - stream.unacknowledged_bytes(self._transport)

    def close(self) -> None:
        """Close it, between requests."""
        self._linger()

    def abort(self) -> None:
        """Close it whatever it holds."""
        self._is_deaf = True
        self._transport.abort()

    def has_disconnected(self) -> bool:
        """Whether its client has closed or reset it, of which the loop may be yet to tell; then it is let go,
        which the loop tells later, never from in here.
        """
        if self._is_closed:
            return True
        if not stream.is_closed_by_peer(self._transport):
            return False
        self.abort()
        return True

    def on_request_overdue(self) -> None:
        """It has not sent a whole request for longer than any healthy client takes."""
        if self._message is not None:
            self.reject(408)
        elif not self._waiting and not self._is_deaf:
            self.close()

    def reject_unfinished(self) -> None:
        """It is too late for the rest of a request of which half has come."""
        if self._message is not None and not self._waiting:
            self.reject(503)

    def on_call_over(self, call: ClientCall) -> None:
        """Nothing of a request is out any more."""
        self._server.on_call_over(call)

    # --- called by the loop -------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A transport takes over: the client has said something that is not answered and over already."""
        assert isinstance(transport, asyncio.Transport)
        early, self._transport = self._transport, transport
        transport.set_write_buffer_limits(0)  # so that `pause_writing` tells of any byte that stays here
        if isinstance(early, stream.EarlyTransport):
            early.hand_over(transport)

    def data_received(self, data: bytes) -> None:
        """Bytes of requests."""
        if self._is_deaf:
            return
        self._read_at = self._server.clock.now()
        self._lag_ms = max(0.0, self._read_at - self._server.lag.due_ms)
        self._chunk, self._whole_in_chunk = data, False
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            cause = error.__context__
            if self._is_deaf:
                pass  # it came behind the last request that is read
            elif isinstance(cause, BadRequestError):
                self.reject(cause.status, str(cause))
            else:
                self.reject(400)
        else:
            if self._message is not None:
                self._limit_unfinished(data)
        self._chunk = b""
        if self._message is not None or self._untaken or self.buffered_bytes:
            self._account_bytes()

    def eof_received(self) -> bool:
        """The client has closed: it is gone, and what is not answered is not awaited."""
        return False

    def pause_writing(self) -> None:
        """The client does not read its answers: nothing more is read or taken from it until it does."""
        self._is_stalled = True
        self._read_on(False)
        self._server.on_stalled(self)

    def resume_writing(self) -> None:
        """It has read them."""
        self._is_stalled = False
        if self._has_ended_writing:
            # Later: guards against the loop's own shutdown just behind this, whose error nobody catches.
            self._server.loop.call_soon(stream.end_writing, self._transport)
        self._server.on_unstalled(self)
        self._account_bytes()
        self._serve_more()
        if not self._waiting:
            self._on_between_requests()

    def connection_lost(self, error: Exception | None) -> None:
        """The connection is closed."""
        self._is_closed = True
        self._stop_timer()
        self._server.set_buffered(self, 0)
        self._server.on_closed(self)
        del self._parser  # it refers back: without it the memory is free at once
        waiting = list(self._waiting)
        self._waiting.clear()
        self._untaken.clear()
        self._message = self._call = None
        for call in waiting:
            if call.request is not None:
                self._server.call_handler.client_gone(call.request)

    # --- called by the parser -----------------------------------------------

    def on_message_begin(self) -> None:
        """Called by the parser."""
        if self._is_deaf:
            return  # it came behind the last request that is read
        self._message = Message()
        self._head_bytes = self._framing_bytes = 0
        self._target_tail = b""
        if not self._waiting:
            self._server.table.on_request_started(self.entry, self._read_at)

    def on_url(self, target: bytes) -> None:
        """Called by the parser, once or in parts."""
        if self._message is not None:
            self._message.target += target
            self._count(len(target))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser; trailers are counted and dropped, since the head was judged without."""
        message = self._message
        if message is None:
            return
        self._count(len(name) + len(value))
        if not message.is_judged:
            message.headers.append((name, value))

    def _count(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > wire.MAX_HEAD_BYTES:
            raise BadRequestError(431, "headers too large")

    def on_headers_complete(self) -> None:
        """Called by the parser. The head is judged before its body has come: who sends 60 MB, or
        half a request, is told at once.
        """
        message = self._message
        if message is None:
            return
        message.method = self._parser.get_method().decode("latin-1")
        raw = self._target_tail + self._chunk if self._target_tail else self._chunk
        if self._parser.get_http_version() not in ("1.0", "1.1") or message.names_other_protocol(raw):
            raise BadRequestError(505, "only HTTP/1.1")
        message.finish_head()
        self._call = call = ClientCall(self)
        if message.target.partition(b"?")[0] != READY_PATH.encode():
            self._server.on_head(call, message)
        call.asks_for_counts = message.target == COUNTS_TARGET and message.method == "GET"
        message.is_judged = True
        if (message.text("expect") or "").lower() == "100-continue" and not self._waiting:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Called by the parser."""
        if self._message is not None:
            self._message.body += data
            if len(self._message.body) > wire.MAX_BODY_BYTES:
                raise BadRequestError(413, "body too large")

    def on_message_complete(self) -> None:
        """Called by the parser: the last byte of a request has been read."""
        message, self._message = self._message, None
        call, self._call = self._call, None
        self._whole_in_chunk = True
        if message is None or call is None or self._is_deaf:
            return
        self._stop_timer()
        call.keep_alive = self._parser.should_keep_alive()
        call.set_body(message)
        self._server.table.on_request(self.entry, self._read_at, proves_client=bool(call.call_id))
        self._waiting.append(call)
        if len(self._waiting) > MAX_PIPELINED_REQUESTS:
            call.keep_alive = False
            self._is_deaf = True
        # What the client has waited already counts: to be accepted, or for as long as this process may
        # have stood still; but it leaves it half of its time, since its request may have come last.
        waited_ms = max(self._lag_ms, self.entry.accept_wait_ms)
        self.entry.accept_wait_ms = 0.0
        if waited_ms:
            waited_ms = min(waited_ms, call.budget / 2.0)
        read_at = self._read_at - waited_ms
        if self._is_stalled or len(self._waiting) > 1:
            self._untaken.append((call, read_at))
            self._serve_more()
        else:
            self._server.on_request(call, read_at)
            self.flush()

    # --- answers ------------------------------------------------------------

    def _serve_more(self) -> None:
        """Take what was read, as far as the client reads its answers and has few calls open."""
        while self._untaken and not self._is_stalled and not self.has_disconnected():
            if len(self._waiting) - len(self._untaken) >= MAX_OPEN_CALLS:
                break
            if any(call.response is not None for call in self._waiting):
                break  # answered too early: each of these is held until those before it are
            call, read_at = self._untaken.popleft()
            if call.response is None:
                self._server.on_request(call, read_at)
            self.flush()
        if not self._is_closed and not self._is_deaf:
            self._read_on(not (self._untaken or self._is_stalled))

    def _read_on(self, on: bool) -> None:
        """Read from its client, or not; while nothing is read the loop does not tell of its end, either."""
        if on:
            self._transport.resume_reading()
            self._server.reading_paused.pop(self, None)
        else:
            self._transport.pause_reading()
            self._server.reading_paused[self] = None

    def on_response(self) -> None:
        """A call has its answer: write what can be, and take what waited for that."""
        self.flush()
        if self._untaken:
            self._serve_more()

    def end_after_last(self) -> None:
        """Read no more requests: the connection ends with the answer to the last one read."""
        self._is_deaf = True
        self._stop_timer()
        self._waiting[-1].keep_alive = False

    def flush(self) -> None:
        """Write what answers there are, in the order of the requests."""
        while self._waiting and not self._is_closed:
            call = self._waiting[0]
            if call.response is None:
                break
            self._waiting.popleft()
            last = not call.keep_alive or (self._server.draining and not self._waiting)
            status, headers, body = call.response
            whole = wire.encode_response(status, headers, body, last)
            self._written_bytes += len(whole)
            self._transport.write(whole)
            if last:
                self._linger()
                break
            if not self._waiting and not self._is_stalled:
                self._on_between_requests()
        if self._is_stalled or self.buffered_bytes or len(self._waiting) > 1:
            self._account_bytes()

    def _on_between_requests(self) -> None:
        """No call is open, and its client has read all: it is at rest, or half of the next has come."""
        if self._is_closed or self._is_deaf:
            return
        if self._message is None:
            self._server.on_idle(self.entry)
        else:
            self._server.table.on_request_started(self.entry, self._server.clock.now())

    def _account_bytes(self) -> None:
        """Tell the front how many bytes are held here: unsent, unfinished, untaken, answered too early."""
        if self._is_closed:
            return
        size = self.unsent_bytes
        if self._message is not None:
            size += self._head_bytes + len(self._message.body)
        size += sum(call.size_bytes for call, _ in self._untaken)
        size += sum(len(call.response[2]) for call in self._waiting if call.response is not None)
        if not self._server.set_buffered(self, size, self._message is not None) and not self._is_deaf:
            # Guards against memory without bound: what it sends is not taken, what it does not read is cut.
            if self._message is not None:
                self.reject(503)
            else:
                self.abort()

    def reject(self, status: int, text: str = "") -> None:
        """Answer what can't be read on from; requests before it are answered first, for a while."""
        if self._is_deaf:
            return
        call = ClientCall(self)
        call.keep_alive = False
        head_only = self._message is not None and self._message.method == "HEAD"
        self._message = self._call = None
        self._is_deaf = True
        self._server.table.on_rejected(self.entry, self._server.clock.now())
        self._server.record_rejection(status)
        self._stop_timer()
        self._waiting.append(call)
        call.response = (status, [], f"{text}\n".encode("latin-1") if text and not head_only else b"")
        self.flush()
        if self._waiting:
            self._timer = self._server.loop.call_later(REJECTION_TIMEOUT_S, self.fail_waiting)

    def fail_waiting(self) -> None:
        """Fail what is not answered: it stands before a request that is rejected, which is owed its answer
        soon, or it has outlasted its time as the process ends.
        """
        self._untaken.clear()
        for call in list(self._waiting):
            if call.response is not None:
                continue
            request = call.request
            if request is None:
                self._server.counters.record_refused(call.traffic_class, OwnCause.CUT_SHORT)
                call.refused(0.0)  # never taken
            else:
                self._server.counters.record_failed(call.traffic_class, OwnCause.CUT_SHORT)
                call.failed(False)
                self._server.call_handler.client_gone(request)

    def _linger(self) -> None:
        """Close after the last answer, or at rest: write nothing more, and read and drop what still comes
        until the client ends it, too, or for a while.

        Guards against a reset that takes the answer with it, by bytes that come just as it is closed.
        """
        self._is_deaf = True
        self._server.table.on_rejected(self.entry, self._server.clock.now())
        self._stop_timer()
        self._untaken.clear()
        self._has_ended_writing = True
        if not self._is_stalled:  # else behind its last byte
            stream.end_writing(self._transport)
        self._read_on(True)
        self._timer = self._server.loop.call_later(LINGER_TIMEOUT_S, self._lingered)

    def _lingered(self) -> None:
        """Its client has not ended it. One that still reads the answer may: the front cuts who does not."""
        if self.unsent_bytes:
            self._timer = self._server.loop.call_later(LINGER_TIMEOUT_S, self._lingered)
        else:
            self.abort()

    def _limit_unfinished(self, data: bytes) -> None:
        """Guards against half-sent requests: their size and their time are bounded."""
        message = self._message
        if message is None:
            return
        if not message.is_judged:
            self._head_bytes += len(data)
            if self._head_bytes > 2 * wire.MAX_HEAD_BYTES:
                self.reject(431)
                return
            raw = self._target_tail + data
            if message.names_other_protocol(raw):
                self.reject(505)
                return
            self._target_tail = raw[-2 * requests.TARGET_TAIL_BYTES :]
        elif not self._whole_in_chunk:  # what else is in these bytes is not known
            self._framing_bytes += len(data)
            if self._framing_bytes - len(message.body) > 2 * wire.MAX_HEAD_BYTES:
                self.reject(400)  # chunk extensions or trailers without end
                return
        if self._timer is None:
            self._timer = self._server.loop.call_later(REQUEST_TIMEOUT_S, self.reject, 408)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
