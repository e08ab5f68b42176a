"""The handshake of a connection: who the other side is, and which version of the protocol both speak. Pure.

Rules for changes of the protocol: `docs/design/versions.md`.
"""

from __future__ import annotations

from typing import Any

from fordtrestle.peer.errors import HandshakeError, NoCommonVersionError
from fordtrestle.peer.messages import Hello

PROTOCOL_VERSION = 2  # the newest version of the protocol between processes that this program speaks
OLDEST_PROTOCOL_VERSION = 1  # the oldest one
COORDINATION_VERSION = 2  # the first one whose stores take writes of locks, counters and keys


def agreed_version(ours: Hello, theirs: Hello) -> int | None:
    """Return the newest version that both sides of a connection speak; `None` where there is none."""
    version = min(ours.newest, theirs.newest)
    return version if version >= max(ours.oldest, theirs.oldest) else None


def accept_hello(ours: Hello, message: Any) -> tuple[Hello, int]:
    """Check the first message of the other side.

    Args:
        ours: the hello of this process.
        message: the message.

    Returns:
        The other side's hello, and the version that the connection goes by.

    Raises:
        HandshakeError: the message is no hello, or this process has dialled itself.
        NoCommonVersionError: the other side speaks no version that this one speaks.
    """
    if not isinstance(message, Hello):
        raise HandshakeError(f"{type(message).__name__} in place of a hello")
    if message.node == ours.node:
        raise HandshakeError(f"{message.node} is this process itself")
    version = agreed_version(ours, message)
    if version is None:
        raise NoCommonVersionError(message.node, (message.oldest, message.newest), (ours.oldest, ours.newest))
    return message, version
