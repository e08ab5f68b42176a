"""Frames between processes: four bytes of a length, then the payload, compressed where it is long. Pure.

The length is big-endian, its highest bit says that the payload is compressed (zlib), and a frame of length 0
is a keep-alive.
"""

from __future__ import annotations

import struct
import zlib
from typing import Any

from fordtrestle.peer.codec import encode
from fordtrestle.peer.errors import FrameError, FrameTooLargeError

_HEAD = struct.Struct(">I")
_IS_COMPRESSED = 1 << 31  # in the head
_COMPRESSION_LEVEL = 1  # the fastest: bytes between regions are dear, and so are the milliseconds of a change
MIN_COMPRESSED_BYTES = 400  # payloads below are not worth the time
MAX_FRAME_BYTES = 32 * 1024 * 1024  # of a payload, more than the largest state
KEEPALIVE_FRAME = _HEAD.pack(0)


def encode_frame(payload: bytes) -> bytes:
    """Return a payload as it is sent."""
    if len(payload) < MIN_COMPRESSED_BYTES:
        return _HEAD.pack(len(payload)) + payload
    compressed = zlib.compress(payload, _COMPRESSION_LEVEL)
    return _HEAD.pack(len(compressed) | _IS_COMPRESSED) + compressed


def frame_message(message: Any) -> bytes | None:
    """Return the frame of a message; `None` where its receiver would reject it as too large.

    The payload is measured, however small it becomes once it is compressed: the receiver measures it too, and
    would end the link over it.
    """
    payload = encode(message)
    return encode_frame(payload) if len(payload) <= MAX_FRAME_BYTES else None


def decompress(compressed: bytes) -> bytes:
    """Return the payload of a compressed frame.

    Raises:
        FrameError: the bytes are not compressed, or cut short.
        FrameTooLargeError: the payload is too large; no more of it is made than that takes to know.
    """
    decompressor = zlib.decompressobj()
    try:
        payload = decompressor.decompress(compressed, MAX_FRAME_BYTES)
    except zlib.error as error:
        raise FrameError(str(error)) from error
    if not decompressor.eof:
        if len(payload) >= MAX_FRAME_BYTES:
            raise FrameTooLargeError(MAX_FRAME_BYTES)
        raise FrameError(f"compressed bytes that are cut short after {len(payload)} bytes")
    return payload


class FrameDecoder:
    """Bytes in, payloads out. Holds the bytes of one frame that has not come whole, and those behind it."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def receive_data(self, data: bytes) -> None:
        """Take in bytes in the order in which they came."""
        self._buffer += data

    def next_payload(self) -> bytes | None:
        """Return the next payload, past any keep-alives; `None` where more bytes are needed.

        Raises:
            FrameTooLargeError: the frame is too large; known from its head, before it has come.
            FrameError: the frame cannot be decompressed.
        """
        while len(self._buffer) >= _HEAD.size:
            (head,) = _HEAD.unpack_from(self._buffer)
            length = head & ~_IS_COMPRESSED
            if length > MAX_FRAME_BYTES:
                raise FrameTooLargeError(MAX_FRAME_BYTES, length)
            end = _HEAD.size + length
            if len(self._buffer) < end:
                return None
            payload = bytes(self._buffer[_HEAD.size : end])
            del self._buffer[:end]
            if length:
                return decompress(payload) if head & _IS_COMPRESSED else payload
        return None
