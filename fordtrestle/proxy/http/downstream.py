"""A connection of a client: requests parsed and checked, answers written in order."""

from __future__ import annotations

import asyncio
from collections import deque

import httptools

from fordtrestle.proxy.engine.connection_table import TableEntry
from fordtrestle.proxy.engine.outcome_counters import OwnCause
from fordtrestle.proxy.http import requests, stream, wire
from fordtrestle.proxy.http.call import ClientCall
from fordtrestle.proxy.http.held import HeldConnection
from fordtrestle.proxy.http.listener import Listener
from fordtrestle.proxy.http.requests import BadRequest, Message

READY_PATH = "/health/ready"
COUNTS = b"/health/ready?counts"
PIPELINED_MOST = 16  # requests read and not answered; past it the connection ends with the last of them
IN_CALL_MOST = 4  # of them, taken at a time: guards against a client that asks on and reads nothing
SEND_BUFFER = 128 * 1024  # bytes that the kernel may hold for a client that does not read (it doubles them)
# An error or a close is owed within 3 s of connecting; healthy connections rest for 2 s and more.
HALF_SENT_S = 2.0  # for the rest of a request whose first byte has come
OWED_S = 1.5  # a request that is rejected waits so long for those before it
LINGER_S = 1.0  # for a client to read the last answer and to end the connection, too, once it is ended here


class ClientConnection(stream.Reader):
    """One connection of a client, from its first byte."""

    def __init__(
        self, front: Listener, entry: TableEntry[HeldConnection], early: stream.EarlyTransport
    ) -> None:
        self._front = front
        self.entry = entry
        self._transport: asyncio.Transport | stream.EarlyTransport = early
        self._parser = httptools.HttpRequestParser(self)
        self._waiting: deque[ClientCall] = deque()  # in the order of their requests
        self._untaken: deque[tuple[ClientCall, float]] = deque()  # the last of them, and when each was read
        self._message: Message | None = None
        self._call: ClientCall | None = None  # of the message, once its head is judged
        self._head_bytes = 0
        self._chunk = self._tail = b""  # what is being read, and the end of what was before it
        self._framing = 0  # bytes read of a message that are not its body; 0 until they are known
        self._whole_in_chunk = False
        self._read_at = 0.0
        self._late_ms = 0.0  # how late the loop ran as that was read
        self._clock: asyncio.TimerHandle | None = None
        self._deaf = False  # nothing more is read as a request
        self._stuck = False  # its client does not read what is written
        self._lost = False
        self._ended = False  # nothing more is written
        self._written = 0  # bytes of answers
        self.held = 0  # bytes in the front's accounting

    @property
    def idle(self) -> bool:
        """Whether it stands between requests, with nothing unread on either side."""
        quiet = not self._waiting and self._message is None and not self._deaf and not self.unsent
        return quiet and not stream.readable(self._transport)

    @property
    def quiet(self) -> bool:
        """Whether it may be closed for another's sake: no whole request is open, nothing is unread on
        either side. Half a request that has come so far does not keep it, nor what comes behind the last
        answer once that has reached its client: a reset would take it.
        """
        if self._waiting or self.unsent:
            return False
        if self._deaf:
            return not stream.in_kernel(self._transport)
        return not stream.readable(self._transport)

    @property
    def unsent(self) -> int:
        """Bytes written that the kernel does not take, since the client does not read."""
        return 0 if self._lost else self._transport.get_write_buffer_size()

    @property
    def taken(self) -> int:
        """Bytes of answers that its client's kernel has: while it reads they grow, at whatever speed, where
        what is unsent here falls in steps of many.
        """
        return self._written - self.unsent - stream.in_kernel(self._transport)

    def close(self) -> None:
        """Close it, between requests."""
        self._linger()

    def abort(self) -> None:
        """Close it whatever it holds."""
        self._deaf = True
        self._transport.abort()

    def has_left(self) -> bool:
        """Whether its client has closed or reset it, of which the loop may be yet to tell; then it is let go,
        which the loop tells later, never from in here.
        """
        if self._lost:
            return True
        if not stream.gone(self._transport):
            return False
        self.abort()
        return True

    def first_is_overdue(self) -> None:
        """It has not sent a whole request for longer than any healthy client takes."""
        if self._message is not None:
            self.reject(408)
        elif not self._waiting and not self._deaf:
            self.close()

    def refuse_unfinished(self) -> None:
        """It is too late for the rest of a request of which half has come."""
        if self._message is not None and not self._waiting:
            self.reject(503)

    def over(self, call: ClientCall) -> None:
        """Nothing of a request is out any more."""
        self._front.over(call)

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
        if self._deaf:
            return
        self._read_at = self._front.clock.now()
        self._late_ms = max(0.0, self._read_at - self._front.lag.due_ms)
        self._chunk, self._whole_in_chunk = data, False
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            cause = error.__context__
            if self._deaf:
                pass  # it came behind the last request that is read
            elif isinstance(cause, BadRequest):
                self.reject(cause.status, str(cause))
            else:
                self.reject(400)
        else:
            if self._message is not None:
                self._bound_unfinished(data)
        self._chunk = b""
        if self._message is not None or self._untaken or self.held:
            self._account()

    def eof_received(self) -> bool:
        """The client has closed: it is gone, and what is not answered is not awaited."""
        return False

    def pause_writing(self) -> None:
        """The client does not read its answers: nothing more is read or taken from it until it does."""
        self._stuck = True
        self._read_on(False)
        self._front.stuck(self)

    def resume_writing(self) -> None:
        """It has read them."""
        self._stuck = False
        if self._ended:
            # Later: guards against the loop's own shutdown just behind this, whose error nobody catches.
            self._front.loop.call_soon(stream.end, self._transport)
        self._front.flowing(self)
        self._account()
        self._take_more()
        if not self._waiting:
            self._stands_between()

    def connection_lost(self, error: Exception | None) -> None:
        """The connection is closed."""
        self._lost = True
        self._stop_clock()
        self._front.hold(self, 0)
        self._front.released(self)
        del self._parser  # it refers back: without it the memory is free at once
        waiting = list(self._waiting)
        self._waiting.clear()
        self._untaken.clear()
        self._message = self._call = None
        for call in waiting:
            if call.request is not None:
                self._front.taker.client_gone(call.request)

    # --- called by the parser -----------------------------------------------

    def on_message_begin(self) -> None:
        """Called by the parser."""
        if self._deaf:
            return  # it came behind the last request that is read
        self._message = Message()
        self._head_bytes = self._framing = 0
        self._tail = b""
        if not self._waiting:
            self._front.table.on_request_started(self.entry, self._read_at)

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
        if not message.judged:
            message.headers.append((name, value))

    def _count(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > wire.MAX_HEAD:
            raise BadRequest(431, "headers too large")

    def on_headers_complete(self) -> None:
        """Called by the parser. The head is judged before its body has come: who sends 60 MB, or
        half a request, is told at once.
        """
        message = self._message
        if message is None:
            return
        message.method = self._parser.get_method().decode("latin-1")
        raw = self._tail + self._chunk if self._tail else self._chunk
        if self._parser.get_http_version() not in ("1.0", "1.1") or message.speaks_other(raw):
            raise BadRequest(505, "only HTTP/1.1")
        message.end_head()
        self._call = call = ClientCall(self)
        if message.target.partition(b"?")[0] != READY_PATH.encode():
            self._front.read(call, message)
        call.counts = message.target == COUNTS and message.method == "GET"
        message.judged = True
        if (message.text("expect") or "").lower() == "100-continue" and not self._waiting:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Called by the parser."""
        if self._message is not None:
            self._message.body += data
            if len(self._message.body) > wire.MAX_BODY:
                raise BadRequest(413, "body too large")

    def on_message_complete(self) -> None:
        """Called by the parser: the last byte of a request has been read."""
        message, self._message = self._message, None
        call, self._call = self._call, None
        self._whole_in_chunk = True
        if message is None or call is None or self._deaf:
            return
        self._stop_clock()
        call.keep_alive = self._parser.should_keep_alive()
        call.whole(message)
        self._front.table.on_request(self.entry, self._read_at, proves_client=bool(call.call_id))
        self._waiting.append(call)
        if len(self._waiting) > PIPELINED_MOST:
            call.keep_alive = False
            self._deaf = True
        # What the client has waited already counts: to be accepted, or for as long as this process may
        # have stood still; but it leaves it half of its time, since its request may have come last.
        waited_ms = max(self._late_ms, self.entry.accept_wait_ms)
        self.entry.accept_wait_ms = 0.0
        if waited_ms:
            waited_ms = min(waited_ms, call.budget / 2.0)
        read_at = self._read_at - waited_ms
        if self._stuck or len(self._waiting) > 1:
            self._untaken.append((call, read_at))
            self._take_more()
        else:
            self._front.serve(call, read_at)
            self.flush()

    # --- answers ------------------------------------------------------------

    def _take_more(self) -> None:
        """Take what was read, as far as the client reads its answers and has few calls open."""
        while self._untaken and not self._stuck and not self.has_left():
            if len(self._waiting) - len(self._untaken) >= IN_CALL_MOST:
                break
            if any(call.answer is not None for call in self._waiting):
                break  # answered too early: each of these is held until those before it are
            call, read_at = self._untaken.popleft()
            if call.answer is None:
                self._front.serve(call, read_at)
            self.flush()
        if not self._lost and not self._deaf:
            self._read_on(not (self._untaken or self._stuck))

    def _read_on(self, on: bool) -> None:
        """Read from its client, or not; while nothing is read the loop does not tell of its end, either."""
        if on:
            self._transport.resume_reading()
            self._front.unread.pop(self, None)
        else:
            self._transport.pause_reading()
            self._front.unread[self] = None

    def answered(self) -> None:
        """A call has its answer: write what can be, and take what waited for that."""
        self.flush()
        if self._untaken:
            self._take_more()

    def end_with_this(self) -> None:
        """Read no more requests: the connection ends with the answer to the last one read."""
        self._deaf = True
        self._stop_clock()
        self._waiting[-1].keep_alive = False

    def flush(self) -> None:
        """Write what answers there are, in the order of the requests."""
        while self._waiting and not self._lost:
            call = self._waiting[0]
            if call.answer is None:
                break
            self._waiting.popleft()
            last = not call.keep_alive or (self._front.draining and not self._waiting)
            status, headers, body = call.answer
            whole = wire.answer(status, headers, body, last)
            self._written += len(whole)
            self._transport.write(whole)
            if last:
                self._linger()
                break
            if not self._waiting and not self._stuck:
                self._stands_between()
        if self._stuck or self.held or len(self._waiting) > 1:
            self._account()

    def _stands_between(self) -> None:
        """No call is open, and its client has read all: it is at rest, or half of the next has come."""
        if self._lost or self._deaf:
            return
        if self._message is None:
            self._front.rests(self.entry)
        else:
            self._front.table.on_request_started(self.entry, self._front.clock.now())

    def _account(self) -> None:
        """Tell the front how many bytes are held here: unsent, unfinished, untaken, answered too early."""
        if self._lost:
            return
        size = self.unsent
        if self._message is not None:
            size += self._head_bytes + len(self._message.body)
        size += sum(call.size for call, _ in self._untaken)
        size += sum(len(call.answer[2]) for call in self._waiting if call.answer is not None)
        if not self._front.hold(self, size, self._message is not None) and not self._deaf:
            # Guards against memory without bound: what it sends is not taken, what it does not read is cut.
            if self._message is not None:
                self.reject(503)
            else:
                self.abort()

    def reject(self, status: int, text: str = "") -> None:
        """Answer what can't be read on from; requests before it are answered first, for a while."""
        if self._deaf:
            return
        call = ClientCall(self)
        call.keep_alive = False
        head_only = self._message is not None and self._message.method == "HEAD"
        self._message = self._call = None
        self._deaf = True
        self._front.table.on_rejected(self.entry, self._front.clock.now())
        self._front.rejected(status)
        self._stop_clock()
        self._waiting.append(call)
        call.answer = (status, [], f"{text}\n".encode("latin-1") if text and not head_only else b"")
        self.flush()
        if self._waiting:
            self._clock = self._front.loop.call_later(OWED_S, self.fail_waiting)

    def fail_waiting(self) -> None:
        """Fail what is not answered: it stands before a request that is rejected, which is owed its answer
        soon, or it has outlasted its time as the process ends.
        """
        self._untaken.clear()
        for call in list(self._waiting):
            if call.answer is not None:
                continue
            request = call.request
            if request is None:
                self._front.counters.record_refused(call.traffic_class, OwnCause.CUT_SHORT)
                call.refused(0.0)  # never taken
            else:
                self._front.counters.record_failed(call.traffic_class, OwnCause.CUT_SHORT)
                call.failed(False)
                self._front.taker.client_gone(request)

    def _linger(self) -> None:
        """Close after the last answer, or at rest: write nothing more, and read and drop what still comes
        until the client ends it, too, or for a while.

        Guards against a reset that takes the answer with it, by bytes that come just as it is closed.
        """
        self._deaf = True
        self._front.table.on_rejected(self.entry, self._front.clock.now())
        self._stop_clock()
        self._untaken.clear()
        self._ended = True
        if not self._stuck:  # else behind its last byte
            stream.end(self._transport)
        self._read_on(True)
        self._clock = self._front.loop.call_later(LINGER_S, self._lingered)

    def _lingered(self) -> None:
        """Its client has not ended it. One that still reads the answer may: the front cuts who does not."""
        if self.unsent:
            self._clock = self._front.loop.call_later(LINGER_S, self._lingered)
        else:
            self.abort()

    def _bound_unfinished(self, data: bytes) -> None:
        """Guards against half-sent requests: their size and their time are bounded."""
        message = self._message
        if message is None:
            return
        if not message.judged:
            self._head_bytes += len(data)
            if self._head_bytes > 2 * wire.MAX_HEAD:
                self.reject(431)
                return
            raw = self._tail + data
            if message.speaks_other(raw):
                self.reject(505)
                return
            self._tail = raw[-2 * requests.TAIL :]
        elif not self._whole_in_chunk:  # what else is in these bytes is not known
            self._framing += len(data)
            if self._framing - len(message.body) > 2 * wire.MAX_HEAD:
                self.reject(400)  # chunk extensions or trailers without end
                return
        if self._clock is None:
            self._clock = self._front.loop.call_later(HALF_SENT_S, self.reject, 408)

    def _stop_clock(self) -> None:
        if self._clock is not None:
            self._clock.cancel()
            self._clock = None
