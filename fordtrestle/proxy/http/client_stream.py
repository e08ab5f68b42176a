"""The transport of a client's connection: what is unsent, when it is stalled, and how it is closed."""

from __future__ import annotations

import asyncio
from enum import Enum

from fordtrestle.proxy.engine.connection_table import TableEntry
from fordtrestle.proxy.http import stream
from fordtrestle.proxy.http.listener import Listener
from fordtrestle.proxy.http.tracked_connection import TrackedConnection

# Seconds for a client to read the last response and to end the connection, too, once it is ended here. A
# healthy one needs a round trip; a connection in this state holds a descriptor.
LINGER_TIMEOUT_S = 1.0


class ClientConnectionState(Enum):
    """What a client's connection is read and written for. It only ever goes down this list."""

    READING = "reading"  # requests are read
    ENDING = "ending"  # nothing more is read as a request; responses that are owed are written
    LINGERING = "lingering"  # nothing more is written, and what still comes is dropped
    CLOSED = "closed"  # the transport is closed


READING, ENDING, LINGERING, CLOSED = ClientConnectionState


class ClientStream(stream.SharedBufferProtocol):
    """Holds the transport of one connection, follows whether its client reads, and closes it in order.

    The transport is an `EarlyTransport` until the connection proves to be worth a real one.

    Attributes:
        entry: The connection's place in the server's table.
        state: Read by tests, too.
    """

    def __init__(
        self, server: Listener, entry: TableEntry[TrackedConnection], early: stream.EarlyTransport
    ) -> None:
        """Begin to read; the arguments are the server, the connection's table entry and its transport."""
        self._server = server
        self.entry = entry
        self.state = READING
        self._transport: asyncio.Transport | stream.EarlyTransport = early
        self._timer: asyncio.TimerHandle | None = None  # of what it waits for in its state
        self._is_stalled = False  # its client does not read what is written
        self._written_bytes = 0  # of responses

    @property
    def unsent_bytes(self) -> int:
        """Bytes written that the kernel does not take, since the client does not read."""
        return 0 if self.state is CLOSED else self._transport.get_write_buffer_size()

    @property
    def acknowledged_bytes(self) -> int:
        """Bytes of responses that its client's kernel has.

        While it reads they grow, at whatever speed, where what is unsent here falls in steps of many.
        """
        return self._written_bytes - self.unsent_bytes - stream.unacknowledged_bytes(self._transport)

    def abort(self) -> None:
        """Close it whatever it holds."""
        if self.state is READING:
            self.state = ENDING
        self._transport.abort()

    def has_disconnected(self) -> bool:
        """Whether its client has closed or reset it, which the loop may not have reported yet.

        Such a connection is aborted. Its loss is reported by the loop later, never from in here: guards
        against calls that end while the caller goes over them.
        """
        if self.state is CLOSED:
            return True
        if not stream.is_closed_by_peer(self._transport):
            return False
        self.abort()
        return True

    # --- called by the loop ----------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A real transport takes over: the connection is not over with its first bytes."""
        assert isinstance(transport, asyncio.Transport)
        early, self._transport = self._transport, transport
        transport.set_write_buffer_limits(0)  # so that `pause_writing` tells of any byte that stays here
        if isinstance(early, stream.EarlyTransport):
            early.hand_over(transport)

    def eof_received(self) -> bool:
        """The client has closed: it is gone, and what is not answered is not awaited."""
        return False

    # --- reading and closing ---------------------------------------------------

    def _set_reading(self, is_on: bool) -> None:
        """Read from its client, or not; while nothing is read the loop does not tell of its end, either."""
        if is_on:
            self._transport.resume_reading()
            self._server.reading_paused.pop(self, None)
        else:
            self._transport.pause_reading()
            self._server.reading_paused[self] = None

    def _linger(self) -> None:
        """Close after the last response, or between requests (RFC 9112, 9.6).

        Writes nothing more, and reads and drops what still comes until the client ends the connection, too,
        or for a while. Guards against a reset that takes the response with it, by bytes that come just as it
        is closed.
        """
        self.state = LINGERING
        self._server.table.on_rejected(self.entry, self._server.clock.now())
        self._stop_timer()
        if not self._is_stalled:  # else behind its last byte
            stream.end_writing(self._transport)
        self._set_reading(True)
        self._timer = self._server.loop.call_later(LINGER_TIMEOUT_S, self._on_linger_timeout)

    def _on_linger_timeout(self) -> None:
        """Its client has not ended it; one that reads on may stay: the server aborts who does not."""
        if self.unsent_bytes:
            self._timer = self._server.loop.call_later(LINGER_TIMEOUT_S, self._on_linger_timeout)
        else:
            self.abort()

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
