"""The handshake of a connection: identifies the peer and agrees on a protocol version. Pure.

Rules for changes of the protocol: `docs/design/versions.md`.
"""

from __future__ import annotations

from typing import Any

from fordtrestle.peer.errors import HandshakeError, NoCommonVersionError
from fordtrestle.peer.messages import Hello

PROTOCOL_VERSION = 3  # the newest version of the peer protocol that this program supports
OLDEST_PROTOCOL_VERSION = 1  # the oldest version that it supports
COORDINATION_VERSION = 2  # the first version whose stores accept writes of locks, counters and keys
DEADLINE_VERSION = 3  # the first version that sends clock readings, and deadlines with forwarded commands


def agreed_version(ours: Hello, theirs: Hello) -> int | None:
    """Return the newest version that both sides of a connection support; `None` if there is none."""
    version = min(ours.newest, theirs.newest)
    return version if version >= max(ours.oldest, theirs.oldest) else None


def accept_hello(ours: Hello, message: Any) -> tuple[Hello, int]:
    """Validate the first message from the peer.

    Args:
        ours: the hello of this process.
        message: the first message.

    Returns:
        The peer's hello, and the protocol version of the connection.

    Raises:
        HandshakeError: the message is not a hello, or this process has dialled itself.
        NoCommonVersionError: the peer supports no version that this process supports.
    """
    if not isinstance(message, Hello):
        raise HandshakeError(f"expected a Hello as the first message, got {type(message).__name__}")
    if message.node == ours.node:
        raise HandshakeError(f"{message.node} is the node of this process: it has dialled itself")
    version = agreed_version(ours, message)
    if version is None:
        raise NoCommonVersionError(message.node, (message.oldest, message.newest), (ours.oldest, ours.newest))
    return message, version
