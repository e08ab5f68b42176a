"""Errors of this layer. Pure."""

from __future__ import annotations


class PeerError(Exception):
    """Base of all errors of the transport between processes."""


class CodecError(PeerError):
    """Bytes that are no message of this protocol, or a value that is none."""


class UnknownMessageError(CodecError):
    """A message of another version of the protocol: it holds a type or a value that is not known here."""


class FrameError(PeerError):
    """Bytes that are no frame."""


class FrameTooLargeError(FrameError):
    """A frame whose payload exceeds what a receiver takes.

    Attributes:
        limit_bytes: how much that is.
    """

    def __init__(self, limit_bytes: int, size_bytes: int | None = None) -> None:
        size = "a frame" if size_bytes is None else f"a frame of {size_bytes} bytes"
        super().__init__(f"{size}, where at most {limit_bytes} bytes are taken")
        self.limit_bytes = limit_bytes


class HandshakeError(PeerError):
    """The first message of a connection is no hello of another process."""


class NoCommonVersionError(HandshakeError):
    """The two sides of a connection speak no common version of the protocol.

    Attributes:
        node: the other side.
        theirs: the oldest and the newest version that it speaks.
        ours: the oldest and the newest version that this process speaks.
    """

    def __init__(self, node: str, theirs: tuple[int, int], ours: tuple[int, int]) -> None:
        super().__init__(f"{node} speaks versions {theirs}, this process {ours}")
        self.node = node
        self.theirs = theirs
        self.ours = ours


class ConnectionLostError(PeerError):
    """The other side has ended the connection."""
