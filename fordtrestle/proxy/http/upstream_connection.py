"""One connection to a server, the exchange on it, and what a response means.

Nothing here retries or picks: an attempt that meets a broken connection ends, and the decision
module is told how.
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

# Of a field of a load report: no server holds more of anything.
MAX_REPORT_VALUE = 1e9
# Fields that servers write for the sidecar.
NOT_FOR_CLIENTS = frozenset((b"x-load-report", b"x-rejected"))

Done = Callable[[AttemptResult], None]


class UpstreamConnectionState(Enum):
    """Whether a connection can be written to. An open one is idle while it carries no exchange."""

    NEW = "new"  # the connect is not over
    OPEN = "open"
    CLOSED = "closed"  # the transport is closed


NEW, OPEN, CLOSED = UpstreamConnectionState


class ConnectionOwner(Protocol):
    """What keeps connections, as they see it.

    Attributes:
        report_fields: The fields of load reports in responses.
    """

    report_fields: tuple[str, ...]

    def on_idle(self, connection: UpstreamConnection) -> None:
        """A connection carries nothing now."""

    def on_closed(self, connection: UpstreamConnection) -> None:
        """A connection is closed."""

    def on_unsolicited_data(self, connection: UpstreamConnection) -> None:
        """A server has sent what nobody asked for, behind a response that was complete."""

    def reserve_buffer(self, connection: UpstreamConnection, size_bytes: int) -> bool:
        """A response of so many bytes has begun; whether there is memory for it now.

        Where there is none the connection's `resume_reading` is called once there is.
        """

    def release_buffer(self, connection: UpstreamConnection) -> None:
        """The response is held no more."""


class UpstreamExchange:
    """One attempt or probe: from asking for a connection until its outcome.

    Attributes:
        message: Makes the request's bytes, given the milliseconds left; None: nothing is to be written.
        expires_ms: When the request's deadline is.
        probe: Whether it is a probe.
        ended: Whether its outcome was reported, or it was abandoned.
    """

    __slots__ = ("_connecting", "_connection", "_done", "ended", "expires_ms", "message", "probe")

    def __init__(
        self, message: Callable[[float], bytes | None], expires_ms: float, done: Done, probe: bool
    ) -> None:
        self.message = message
        self.expires_ms = expires_ms
        self.probe = probe
        self.ended = False
        self._done = done
        self._connection: UpstreamConnection | None = None
        self._connecting: asyncio.Task[None] | None = None

    def on_connecting(self, task: asyncio.Task[None]) -> None:
        """It waits for a new connection."""
        self._connecting = task

    def on_assigned(self, connection: UpstreamConnection) -> None:
        """It is on a connection."""
        self._connection, self._connecting = connection, None

    def end(self, result: AttemptResult) -> None:
        """Report how it ended, once."""
        if not self.ended:
            self.ended = True
            self._connection = self._connecting = None
            self._done(result)

    def abandon(self) -> None:
        """Stop waiting for it: what is not yet written never will be."""
        if self.ended:
            return
        self.ended = True
        if self._connecting is not None:
            self._connecting.cancel()
        if self._connection is not None:
            self._connection.abort()
        self._connection = self._connecting = None


@dataclass(slots=True, eq=False)
class UpstreamServer:
    """One start of a server that discovery has named: after a restart, or elsewhere, it is another.

    Attributes:
        name: Its name in the endpoint list.
        address: Where to connect.
        started: When it started, by discovery.
        closed_from_ms: Nothing is first written to it from then on.
        reuse_from_ms: Until then a connection carries one request.
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
        state: Whether it can be written to.
        idle_since_ms: Since when it carries nothing, while it is idle.
        buffered_bytes: What its response holds, by the owner's accounting.
    """

    def __init__(self, owner: ConnectionOwner, server: UpstreamServer) -> None:
        """Wait for the connect; `owner` keeps the connection while it is idle."""
        self._owner = owner
        self.server = server
        self.state = NEW
        self.idle_since_ms = 0.0
        self._parser = wire.ResponseParser()
        self._transport: asyncio.Transport
        self._watch: stream.ReadableWatch
        self._exchange: UpstreamExchange | None = None
        self._is_written = True  # the kernel has the last byte of its request
        self.buffered_bytes = 0

    def send_request(self, exchange: UpstreamExchange, message: bytes) -> None:
        """Write a request; it is written once the kernel has its last byte."""
        self._exchange = exchange
        exchange.on_assigned(self)
        self._parser.reset()
        self._transport.write(message)
        # What is merely buffered here is not written: a break now proves that it never ran.
        # A write that fails empties the buffer, too, and closes.
        self._is_written = not (self._transport.is_closing() or self._transport.get_write_buffer_size())

    def is_available(self) -> bool:
        """Whether it can carry a request: neither closed nor with anything unread, the end included."""
        if self.state is CLOSED or self._transport.is_closing():
            return False
        if not self._watch.is_readable():
            return True
        if stream.unread_bytes(self._transport):
            self._owner.on_unsolicited_data(self)
        return False

    def abort(self) -> None:
        """Close at once; what is buffered is dropped."""
        self._exchange = None
        if self.state is not NEW:
            self._close_at_once()

    # --- called by the loop -------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is up."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self.state = OPEN
        self._watch = stream.ReadableWatch(transport)
        transport.set_write_buffer_limits(0)  # so that `resume_writing` comes when all is written

    def resume_writing(self) -> None:
        """The buffer is empty."""
        self._is_written = True

    def data_received(self, data: bytes) -> None:
        """A response, or a part of one."""
        if self._exchange is None:
            # Nothing shows what it belongs to.
            if not self._transport.is_closing():
                self._transport.abort()
                self._owner.on_unsolicited_data(self)
            return
        try:
            self._parser.feed(data)
        except RemoteProtocolError:
            # Not a reset: the server is done with it and answered, so it may have run, however
            # much of the request is still to be written.
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
            # Guards against memory without bound: the rest waits with the server, for as long as its attempt.
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """There is memory for the rest of the response."""
        self._transport.resume_reading()

    def eof_received(self) -> bool:
        """The server has ended its sending: what is not complete by now never will be."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """The connection is closed."""
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
        result = interpret_response(self._parser, self._owner.report_fields, exchange.probe)
        if result.outcome is Outcome.FULL and self._parser.has_extra_bytes:
            # A rejection with bytes behind it is malformed, and what was answered so may have run.
            result = AttemptResult(Outcome.ERROR, None, result.report)
        if reusable:
            self._owner.on_idle(self)
        else:
            self._transport.abort()
        exchange.end(result)

    def _end_broken(self, outcome: Outcome) -> None:
        """The exchange can't be finished on this connection."""
        exchange, self._exchange = self._exchange, None
        self._close_at_once()
        if exchange is not None:
            exchange.end(AttemptResult(outcome))

    def _close_at_once(self) -> None:
        """Close at once, in this turn of the loop.

        Guards against another attempt of the request that is written in this turn, while the transport closes
        in the next: a second copy beside one that is out.
        """
        stream.end_writing(self._transport)
        self._transport.abort()


def interpret_response(parser: wire.ResponseParser, fields: tuple[str, ...], probe: bool) -> AttemptResult:
    """Interpret a complete response to an attempt or a probe."""
    report = _report(parser, fields, probe)
    status = parser.status
    if status == 200:
        kept = wire.end_to_end(parser.headers, NOT_FOR_CLIENTS)
        return AttemptResult(Outcome.OK, UpstreamResponse(kept, bytes(parser.body)), report)
    if status in (503, 504) and (probe or parser.header(b"x-rejected") == b"1"):
        return AttemptResult(Outcome.FULL, None, report)
    return AttemptResult(Outcome.ERROR, None, report)


def _report(parser: wire.ResponseParser, fields: tuple[str, ...], probe: bool) -> dict[str, float] | None:
    if not fields:
        return None
    text = parser.header(b"x-load-report") or (bytes(parser.body) if probe else b"")
    report = {}
    for pair in text.decode("latin-1").split(","):
        name, _, value = pair.strip().partition("=")
        if name in fields:
            try:
                figure = float(value)
            except ValueError:
                continue
            # Guards against figures that no server can hold: they would stick in every mean.
            if 0.0 <= figure <= MAX_REPORT_VALUE:
                report[name] = figure
    return report or None
