"""The protocol of one connection between two processes, without I/O: bytes in, events out. Pure.

In the manner of h11: `connection.py` reads and writes sockets, keeps time, and asks this module what the
bytes mean and what is due.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from typing import Any

from fordtrestle.peer.codec import decode
from fordtrestle.peer.errors import UnknownMessageError
from fordtrestle.peer.frames import FrameDecoder

KEEPALIVE_S = 0.4  # without anything sent, then a keep-alive: four of them fit into `PEER_TIMEOUT_S`
PEER_TIMEOUT_S = 1.6  # without a byte from the other side, then the connection is given up


class ConnectionState(Enum):
    """What a connection is there for now."""

    HANDSHAKE = auto()  # the first message of the other side has not been accepted yet
    OPEN = auto()
    CLOSED = auto()


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message has come whole."""

    message: Any


@dataclass(frozen=True, slots=True)
class MessageSkipped:
    """A message of another version of the protocol has come, and was skipped."""

    reason: str
    is_first: bool  # of this connection


class PeerProtocol:
    """One side of a connection. Times are s of a steady clock."""

    def __init__(self, now: float) -> None:
        self.state = ConnectionState.HANDSHAKE
        self.skipped_messages = 0
        self._decoder = FrameDecoder()
        self._sent_at = now

    def open(self) -> None:
        """The handshake is done: from now on messages of other versions are skipped."""
        if self.state is ConnectionState.HANDSHAKE:
            self.state = ConnectionState.OPEN

    def close(self) -> None:
        """The connection has ended."""
        self.state = ConnectionState.CLOSED

    def receive_data(self, data: bytes) -> None:
        """Take in bytes of the other side."""
        self._decoder.receive_data(data)

    def next_event(self) -> MessageReceived | MessageSkipped | None:
        """Return what the bytes that have come say next; `None` where more are needed.

        Raises:
            PeerError: the bytes are no frame or no message, or a message of another version comes before the
                handshake is done. The connection is of no use any more.
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
        """Something was sent: the next keep-alive is due `KEEPALIVE_S` later."""
        self._sent_at = now

    @property
    def keepalive_due_at(self) -> float:
        """When a keep-alive has to be sent, unless something else is sent before."""
        return self._sent_at + KEEPALIVE_S

    def is_idle(self, now: float) -> bool:
        """Return whether nothing was sent for so long that a keep-alive is due."""
        return now >= self.keepalive_due_at
