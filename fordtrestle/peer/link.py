"""A connection to a process that is known."""

from __future__ import annotations

from typing import Any

from fordtrestle.peer.connection import Connection
from fordtrestle.peer.messages import Hello


class Link:
    """A connection whose other side is known.

    Attributes:
        node: the other side.
        peer: HOST:PORT that it listens at.
        version: the version of the protocol that both sides speak.
    """

    def __init__(self, hello: Hello, version: int, connection: Connection) -> None:
        self.node = hello.node
        self.peer = hello.peer
        self.version = version
        self._connection = connection

    def send(self, message: Any) -> bool:
        """Send a message; return whether the connection takes it, and its receiver would."""
        return self._connection.send(message)

    def write_frame(self, framed: bytes) -> bool:
        """Send a message that was framed for many links; return whether the connection still takes any."""
        return self._connection.write_frame(framed)

    def close(self) -> None:
        """End the connection at once."""
        self._connection.close()
