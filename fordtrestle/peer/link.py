"""A connection to an identified peer."""

from __future__ import annotations

from typing import Any

from fordtrestle.peer.connection import Connection
from fordtrestle.peer.messages import Hello


class Link:
    """A connection after its handshake, to an identified peer.

    Attributes:
        node: the peer's node.
        peer: HOST:PORT that the peer listens on.
        version: the agreed protocol version.
    """

    def __init__(self, hello: Hello, version: int, connection: Connection) -> None:
        self.node = hello.node
        self.peer = hello.peer
        self.version = version
        self._connection = connection

    @property
    def received_at(self) -> float:
        """When the last bytes were received from the peer, in seconds of the loop's clock."""
        return self._connection.received_at

    def send(self, message: Any) -> bool:
        """Send a message; return `False` if the connection cannot take it or the message is too large."""
        return self._connection.send(message)

    def write_frame(self, framed: bytes) -> bool:
        """Send a message framed once for many links; return `False` if the connection cannot take it."""
        return self._connection.write_frame(framed)

    def close(self) -> None:
        """Abort the connection."""
        self._connection.close()
