"""The transport of a client connection: its unsent bytes, stalls and orderly close."""

from __future__ import annotations

import asyncio
from enum import Enum

from fordtrestle.proxy.http import stream
from fordtrestle.proxy.http.listener import Listener
from fordtrestle.proxy.http.tracked_connection import TrackedConnection
from fordtrestle.resources.connection_table import TableEntry

# The time for a client to read the last response and to close its side after this side is closed. A healthy
# client needs one round trip; meanwhile the connection holds a descriptor.
LINGER_TIMEOUT_S = 1.0


class ClientConnectionState(Enum):
    """The state of a client connection, which only advances in this order."""

    READING = "reading"  # requests are read
    ENDING = "ending"  # no further request is read; responses that are due are written
    LINGERING = "lingering"  # nothing more is written, and received bytes are dropped
    CLOSED = "closed"  # the transport is closed


READING, ENDING, LINGERING, CLOSED = ClientConnectionState


class ClientStream(stream.SharedBufferProtocol):
    """Holds the transport of one connection, tracks whether its client reads, and closes it gracefully.

    The transport is an `EarlyTransport` until the connection outlasts its first bytes and gets a real one.

    Attributes:
        entry: The connection's entry in the server's table.
        state: The state of the connection; tests read it as well.
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
        self._server = server
        self.entry = entry
        self.state = READING
        self._transport: asyncio.Transport | stream.EarlyTransport = early
        self._timer: asyncio.TimerHandle | None = None  # the time-out of the current state
        self._is_stalled = False  # whether its client does not read what is written
        self._written_bytes = 0  # of responses

    @property
    def unsent_bytes(self) -> int:
        """The bytes written that the kernel does not accept because the client does not read."""
        return 0 if self.state is CLOSED else self._transport.get_write_buffer_size()

    @property
    def acknowledged_bytes(self) -> int:
        """The bytes of responses that the client's kernel has acknowledged.

        They grow steadily while the client reads, at any speed, whereas `unsent_bytes` falls in large steps.
        """
        return self._written_bytes - self.unsent_bytes - stream.unacknowledged_bytes(self._transport)

    def abort(self) -> None:
        """Close the connection at once and drop what it buffers."""
        if self.state is READING:
            self.state = ENDING
        self._transport.abort()

    def has_disconnected(self) -> bool:
        """Return whether its client has closed or reset it, which the loop may not have reported yet.

        Such a connection is aborted. The loop calls `connection_lost` later, never from within this method,
        so that no call ends while the caller iterates over the calls.
        """
        if self.state is CLOSED:
            return True
        if not stream.is_closed_by_peer(self._transport):
            return False
        self.abort()
        return True

    # --- called by the loop ----------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Replace the early transport by a real one, as the connection outlasted its first bytes."""
        assert isinstance(transport, asyncio.Transport)
        early, self._transport = self._transport, transport
        transport.set_write_buffer_limits(0)  # `pause_writing` is called as soon as any byte is buffered here
        if isinstance(early, stream.EarlyTransport):
            early.hand_over(transport)

    def eof_received(self) -> bool:
        """Handle that the client closed the connection: it is closed here without waiting for responses."""
        return False

    # --- reading and closing ---------------------------------------------------

    def _set_reading(self, is_on: bool) -> None:
        """Pause or resume reading; while it is paused the loop does not report a disconnect either."""
        if is_on:
            self._transport.resume_reading()
            self._server.reading_paused.pop(self, None)
        else:
            self._transport.pause_reading()
            self._server.reading_paused[self] = None

    def _linger(self) -> None:
        """Close after the last response or between requests (RFC 9112, 9.6).

        Writes nothing more, and reads and drops further bytes until the client closes its side or a time-out
        expires. Guards against a reset by bytes that arrive just as the connection is closed: the client
        would lose the response.
        """
        self.state = LINGERING
        self._server.table.on_rejected(self.entry, self._server.clock.now())
        self._stop_timer()
        if not self._is_stalled:  # otherwise after its last byte is written
            stream.end_writing(self._transport)
        self._set_reading(True)
        self._timer = self._server.loop.call_later(LINGER_TIMEOUT_S, self._on_linger_timeout)

    def _on_linger_timeout(self) -> None:
        """Abort, unless the client still reads; the server aborts clients that stop reading."""
        if self.unsent_bytes:
            self._timer = self._server.loop.call_later(LINGER_TIMEOUT_S, self._on_linger_timeout)
        else:
            self.abort()

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
