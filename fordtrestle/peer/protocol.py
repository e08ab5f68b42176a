"""The protocol of one connection between two processes, without I/O: bytes in, events out. Pure.

It is structured like h11: `connection.py` does the I/O and keeps time; this module decodes received bytes and
knows when a keep-alive is due.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from typing import Any

from fordtrestle.peer.codec import decode
from fordtrestle.peer.errors import UnknownMessageError
from fordtrestle.peer.frames import FrameDecoder

KEEPALIVE_S = 0.4  # idle time before a keep-alive is sent; four fit into `PEER_TIMEOUT_S`
PEER_TIMEOUT_S = 1.6  # time without a byte from the peer before the connection is closed


class ConnectionState(Enum):
    """The state of a connection."""

    HANDSHAKE = auto()  # the peer's first message has not been accepted yet
    OPEN = auto()
    CLOSED = auto()


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A complete message was received."""

    message: Any


@dataclass(frozen=True, slots=True)
class MessageSkipped:
    """A message of another protocol version was received and skipped."""

    reason: str
    is_first: bool  # of this connection


class PeerProtocol:
    """One side of a connection. Times are seconds of a monotonic clock."""

    def __init__(self, now: float) -> None:
        self.state = ConnectionState.HANDSHAKE
        self.skipped_messages = 0
        self._decoder = FrameDecoder()
        self._sent_at = now

    def open(self) -> None:
        """Complete the handshake: from now on messages of other versions are skipped."""
        if self.state is ConnectionState.HANDSHAKE:
            self.state = ConnectionState.OPEN

    def close(self) -> None:
        """Mark the connection as closed."""
        self.state = ConnectionState.CLOSED

    def receive_data(self, data: bytes) -> None:
        """Buffer bytes received from the peer."""
        self._decoder.receive_data(data)

    def next_event(self) -> MessageReceived | MessageSkipped | None:
        """Return the next event from the received bytes; `None` if more bytes are needed.

        Raises:
            PeerError: the bytes are not a valid frame or message, or a message of another version arrives
                before the handshake is complete. The connection cannot be used any more.
        """
        payload = self._decoder.next_payload()
        if payload is None:
            return None
        try:
            return MessageReceived(decode(payload))
        except UnknownMessageError as error:
            if self.state is ConnectionState.HANDSHAKE:
                raise
            self.skipped_messages += 1
            return MessageSkipped(str(error), is_first=self.skipped_messages == 1)

    def on_sent(self, now: float) -> None:
        """Record that bytes were sent, which postpones the next keep-alive."""
        self._sent_at = now

    @property
    def keepalive_due_at(self) -> float:
        """When the next keep-alive is due, unless something else is sent before."""
        return self._sent_at + KEEPALIVE_S

    def is_idle(self, now: float) -> bool:
        """Return whether a keep-alive is due."""
        return now >= self.keepalive_due_at
