"""Errors of the peer layer. Pure."""

from __future__ import annotations


class PeerError(Exception):
    """Base class of all errors of the transport between processes."""


class CodecError(PeerError):
    """Raised for bytes that are not a valid message, and for values that cannot be encoded."""


class UnknownMessageError(CodecError):
    """Raised for a message of another protocol version, with a type or an enum value unknown here."""


class FrameError(PeerError):
    """Raised for bytes that are not a valid frame."""


class FrameTooLargeError(FrameError):
    """Raised for a frame whose length or decompressed payload exceeds the receiver's limit.

    Attributes:
        limit_bytes: the limit.
    """

    def __init__(self, limit_bytes: int, size_bytes: int | None = None) -> None:
        size = "a frame" if size_bytes is None else f"a frame of {size_bytes} bytes"
        super().__init__(f"{size} exceeds the limit of {limit_bytes} bytes")
        self.limit_bytes = limit_bytes


class HandshakeError(PeerError):
    """Raised when the first message of a connection is not the hello of another process."""


class NoCommonVersionError(HandshakeError):
    """Raised when the two sides of a connection have no protocol version in common.

    Attributes:
        node: the peer's node.
        theirs: the oldest and the newest version that the peer supports.
        ours: the oldest and the newest version that this process supports.
    """

    def __init__(self, node: str, theirs: tuple[int, int], ours: tuple[int, int]) -> None:
        super().__init__(f"{node} supports protocol versions {theirs}, this process {ours}")
        self.node = node
        self.theirs = theirs
        self.ours = ours


class ConnectionLostError(PeerError):
    """Raised when the peer has closed the connection."""
