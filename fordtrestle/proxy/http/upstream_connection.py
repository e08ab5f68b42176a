"""A connection to a server, the exchange on it, and the interpretation of a response.

Nothing here retries or picks a server: an attempt on a broken connection ends, and its outcome is reported to
the decision module.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from fordtrestle.balancer.model import Outcome
from fordtrestle.proxy.engine.ports import Address, AttemptResult, UpstreamResponse
from fordtrestle.proxy.http import stream, wire
from fordtrestle.proxy.http.errors import RemoteProtocolError

# The largest plausible value of a field in a load report.
MAX_REPORT_VALUE = 1e9
# Fields that servers write for the sidecar only.
NOT_FOR_CLIENTS = frozenset((b"x-load-report", b"x-rejected"))

Done = Callable[[AttemptResult], None]


class UpstreamConnectionState(Enum):
    """The state of a connection. An open one is idle while it carries no exchange."""

    NEW = "new"  # the connect is in progress
    OPEN = "open"
    CLOSED = "closed"  # the transport is closed


NEW, OPEN, CLOSED = UpstreamConnectionState


class ConnectionOwner(Protocol):
    """The owner of connections as they see it.

    Attributes:
        report_fields: The fields of load reports in responses.
    """

    report_fields: tuple[str, ...]

    def on_idle(self, connection: UpstreamConnection) -> None:
        """Handle that a connection becomes idle."""

    def on_closed(self, connection: UpstreamConnection) -> None:
        """Handle that a connection is closed."""

    def on_unsolicited_data(self, connection: UpstreamConnection) -> None:
        """Handle data that a server sent after a complete response, without a request."""

    def reserve_buffer(self, connection: UpstreamConnection, size_bytes: int) -> bool:
        """Reserve memory for a response that has started.

        Returns:
            Whether it is granted now; if not, the connection's `resume_reading` is called once it is.
        """

    def release_buffer(self, connection: UpstreamConnection) -> None:
        """Release the memory of a response that is no longer buffered."""


class UpstreamExchange:
    """Tracks one attempt or probe from waiting for a connection until its outcome.

    Attributes:
        message: Returns the encoded request, given the milliseconds left; None if nothing is to be written.
        expires_ms: When it times out, in the clock's milliseconds.
        is_probe: Whether it is a probe.
        is_ended: Whether its outcome was reported, or it was abandoned.
    """

    __slots__ = ("_connecting", "_connection", "_done", "expires_ms", "is_ended", "is_probe", "message")

    def __init__(
        self, message: Callable[[float], bytes | None], expires_ms: float, done: Done, is_probe: bool
    ) -> None:
        self.message = message
        self.expires_ms = expires_ms
        self.is_probe = is_probe
        self.is_ended = False
        self._done = done
        self._connection: UpstreamConnection | None = None
        self._connecting: asyncio.Task[None] | None = None

    def on_connecting(self, task: asyncio.Task[None]) -> None:
        """Record the connect that it waits for."""
        self._connecting = task

    def on_assigned(self, connection: UpstreamConnection) -> None:
        """Record the connection that carries it."""
        self._connection, self._connecting = connection, None

    def end(self, result: AttemptResult) -> None:
        """Report its result, once."""
        if not self.is_ended:
            self.is_ended = True
            self._connection = self._connecting = None
            self._done(result)

    def abandon(self) -> None:
        """Abandon it: bytes that are not written yet never will be."""
        if self.is_ended:
            return
        self.is_ended = True
        if self._connecting is not None:
            self._connecting.cancel()
        if self._connection is not None:
            self._connection.abort()
        self._connection = self._connecting = None


@dataclass(slots=True, eq=False)
class UpstreamServer:
    """One incarnation of a server in discovery: after a restart or a change of address there is a new one.

    Attributes:
        name: Its name in the endpoint list.
        address: Its address.
        started: Its start time in discovery.
        closed_from_ms: No request to it is started from this time on.
        reuse_from_ms: Until this time each of its connections carries only one request.
        idle: Its idle connections, the newest last.
    """

    name: str
    address: Address
    started: float = 0.0
    closed_from_ms: float = math.inf
    reuse_from_ms: float = 0.0
    idle: list[UpstreamConnection] = field(default_factory=list)


class UpstreamConnection(stream.SharedBufferProtocol):
    """A connection to a server; it carries one exchange at a time.

    Attributes:
        server: The server that it was opened to.
        state: Its state.
        idle_since_ms: When it became idle.
        buffered_bytes: The bytes granted for its response in the owner's quota.
    """

    def __init__(self, owner: ConnectionOwner, server: UpstreamServer) -> None:
        """Create the protocol of a connect in progress; `owner` keeps the connection while it is idle."""
        self._owner = owner
        self.server = server
        self.state = NEW
        self.idle_since_ms = 0.0
        self._parser = wire.ResponseParser()
        self._transport: asyncio.Transport
        self._watch: stream.ReadableWatch
        self._exchange: UpstreamExchange | None = None
        self._is_written = True  # whether the kernel has the last byte of its request
        self.buffered_bytes = 0

    def send_request(self, exchange: UpstreamExchange, message: bytes) -> None:
        """Write a request; it counts as written once the kernel has its last byte."""
        self._exchange = exchange
        exchange.on_assigned(self)
        self._parser.reset()
        self._transport.write(message)
        # While bytes are still buffered here, a broken connection proves that the request never ran. A failed
        # write also empties the buffer, but closes the transport.
        self._is_written = not (self._transport.is_closing() or self._transport.get_write_buffer_size())

    def is_available(self) -> bool:
        """Return whether it can carry a request: it is open and has no unread bytes and no unread end."""
        if self.state is CLOSED or self._transport.is_closing():
            return False
        if not self._watch.is_readable():
            return True
        if stream.unread_bytes(self._transport):
            self._owner.on_unsolicited_data(self)
        return False

    def abort(self) -> None:
        """Close at once and drop what is buffered."""
        self._exchange = None
        if self.state is not NEW:
            self._close_at_once()

    # --- called by the loop -------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Handle that the connection is established."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self.state = OPEN
        self._watch = stream.ReadableWatch(transport)
        transport.set_write_buffer_limits(0)  # `resume_writing` is called when everything is written

    def resume_writing(self) -> None:
        """Record that the kernel has the last byte of the request."""
        self._is_written = True

    def data_received(self, data: bytes) -> None:
        """Process a response or a part of one."""
        if self._exchange is None:
            # Unsolicited data belongs to no request.
            if not self._transport.is_closing():
                self._transport.abort()
                self._owner.on_unsolicited_data(self)
            return
        try:
            self._parser.feed(data)
        except RemoteProtocolError:
            # Not a reset: the server answered, so the request may have run, even if part of it is not written
            # yet.
            self._end_broken(Outcome.ERROR)
            return
        if self._parser.is_complete:
            self._on_response(
                self._parser.keep_alive and not self._parser.has_extra_bytes and self._is_written
            )
        elif (
            self._parser.expected_bytes
            and not self.buffered_bytes
            and not self._owner.reserve_buffer(self, self._parser.expected_bytes)
        ):
            # Guards against unbounded memory: the rest of the response stays at the server until memory is
            # granted or the attempt ends.
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Read the rest of the response, as memory for it is granted."""
        self._transport.resume_reading()

    def eof_received(self) -> bool:
        """Handle that the server ended writing: an incomplete response stays incomplete."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Handle the closed connection and end its exchange."""
        self.state = CLOSED
        self._parser.close()
        self._owner.on_closed(self)
        self._end_broken(Outcome.RESET if self._is_written else Outcome.CONNECT_FAILED)

    def _on_response(self, reusable: bool) -> None:
        exchange, self._exchange = self._exchange, None
        if exchange is None:
            return
        if self.buffered_bytes:
            self._owner.release_buffer(self)
        result = interpret_response(self._parser, self._owner.report_fields, exchange.is_probe)
        if result.outcome is Outcome.FULL and self._parser.has_extra_bytes:
            # A rejection followed by extra bytes is malformed, so the request may have run.
            result = AttemptResult(Outcome.ERROR, None, result.report)
        if reusable:
            self._owner.on_idle(self)
        else:
            self._transport.abort()
        exchange.end(result)

    def _end_broken(self, outcome: Outcome) -> None:
        """End an exchange that can't be completed on this connection, and close the connection."""
        exchange, self._exchange = self._exchange, None
        self._close_at_once()
        if exchange is not None:
            exchange.end(AttemptResult(outcome))

    def _close_at_once(self) -> None:
        """Shut down writing in this iteration of the loop and close the connection.

        Guards against a second copy of the request beside one in flight: another attempt may be written in
        this iteration, while `abort` closes the transport only in the next one.
        """
        stream.end_writing(self._transport)
        self._transport.abort()


def interpret_response(parser: wire.ResponseParser, fields: tuple[str, ...], is_probe: bool) -> AttemptResult:
    """Return the result of an attempt or a probe from its complete response."""
    report = _parse_report(parser, fields, is_probe)
    status = parser.status
    if status == 200:
        headers = wire.end_to_end(parser.headers, NOT_FOR_CLIENTS)
        return AttemptResult(Outcome.OK, UpstreamResponse(headers, bytes(parser.body)), report)
    if status in (503, 504) and (is_probe or parser.header(b"x-rejected") == b"1"):
        return AttemptResult(Outcome.FULL, None, report)
    return AttemptResult(Outcome.ERROR, None, report)


def _parse_report(
    parser: wire.ResponseParser, fields: tuple[str, ...], is_probe: bool
) -> dict[str, float] | None:
    if not fields:
        return None
    text = parser.header(b"x-load-report") or (bytes(parser.body) if is_probe else b"")
    report = {}
    for pair in text.decode("latin-1").split(","):
        name, _, value = pair.strip().partition("=")
        if name in fields:
            try:
                number = float(value)
            except ValueError:
                continue
            # Implausible numbers are ignored, as they would distort every mean for good.
            if 0.0 <= number <= MAX_REPORT_VALUE:
                report[name] = number
    return report or None
