"""Frames between processes: a length of four bytes, then the payload, compressed if it is long. Pure.

The length is big-endian. Its highest bit is set if the payload is compressed (zlib). A frame of length 0 is a
keep-alive.
"""

from __future__ import annotations

import struct
import zlib
from typing import Any

from fordtrestle.peer.codec import encode
from fordtrestle.peer.errors import FrameError, FrameTooLargeError

_HEADER = struct.Struct(">I")
_IS_COMPRESSED = 1 << 31  # flag in the frame header
_COMPRESSION_LEVEL = 1  # the fastest: traffic between regions is expensive, but changes must not be delayed
MIN_COMPRESSED_BYTES = 400  # compressing shorter payloads saves too little for its time
MAX_FRAME_BYTES = 32 * 1024 * 1024  # limit of the payload, larger than the largest state
KEEPALIVE_FRAME = _HEADER.pack(0)


def encode_frame(payload: bytes) -> bytes:
    """Return the frame of a payload."""
    if len(payload) < MIN_COMPRESSED_BYTES:
        return _HEADER.pack(len(payload)) + payload
    compressed = zlib.compress(payload, _COMPRESSION_LEVEL)
    return _HEADER.pack(len(compressed) | _IS_COMPRESSED) + compressed


def frame_message(message: Any) -> bytes | None:
    """Return the frame of a message; `None` if the receiver would reject it as too large.

    The limit applies to the uncompressed payload, however small it is once compressed, since the receiver
    checks the decompressed payload and would close the link.
    """
    payload = encode(message)
    return encode_frame(payload) if len(payload) <= MAX_FRAME_BYTES else None


def decompress(compressed: bytes) -> bytes:
    """Decompress the payload of a frame.

    Raises:
        FrameError: the bytes are not compressed data, or are truncated.
        FrameTooLargeError: the payload is too large; decompression stops at the limit.
    """
    decompressor = zlib.decompressobj()
    try:
        payload = decompressor.decompress(compressed, MAX_FRAME_BYTES)
    except zlib.error as error:
        raise FrameError(str(error)) from error
    if not decompressor.eof:
        if len(payload) >= MAX_FRAME_BYTES:
            raise FrameTooLargeError(MAX_FRAME_BYTES)
        raise FrameError(f"compressed payload is truncated after {len(payload)} decompressed bytes")
    return payload


class FrameDecoder:
    """Splits a stream of bytes into the payloads of its frames, buffering incomplete frames."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def receive_data(self, data: bytes) -> None:
        """Append received bytes to the buffer."""
        self._buffer += data

    def next_payload(self) -> bytes | None:
        """Return the next payload, skipping keep-alives; `None` if more bytes are needed.

        Raises:
            FrameTooLargeError: the frame is too large; raised on its header, before the payload has arrived.
            FrameError: the frame cannot be decompressed.
        """
        while len(self._buffer) >= _HEADER.size:
            (header,) = _HEADER.unpack_from(self._buffer)
            length = header & ~_IS_COMPRESSED
            if length > MAX_FRAME_BYTES:
                raise FrameTooLargeError(MAX_FRAME_BYTES, length)
            end = _HEADER.size + length
            if len(self._buffer) < end:
                return None
            payload = bytes(self._buffer[_HEADER.size : end])
            del self._buffer[:end]
            if length:
                return decompress(payload) if header & _IS_COMPRESSED else payload
        return None
