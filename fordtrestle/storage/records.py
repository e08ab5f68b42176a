"""The frame of a record on disk: length, checksum, payload. Pure."""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterator

_HEADER = struct.Struct(">II")  # payload bytes; CRC-32 over that length and the payload
HEADER_BYTES = _HEADER.size
RECORD_MOST = 64 * 1024 * 1024


def frame(payload: bytes) -> bytes:
    """One record as it stands in the file."""
    length = struct.pack(">I", len(payload))
    return _HEADER.pack(len(payload), zlib.crc32(payload, zlib.crc32(length))) + payload


def scan(data: bytes) -> Iterator[tuple[bytes, int]]:
    """The payloads of all whole records from the start, each with the offset behind it.

    Ends at the first record that is torn or spoilt: what follows it was never synced, since a sync covers the
    whole file.
    """
    at = 0
    while at + HEADER_BYTES <= len(data):
        length, checksum = _HEADER.unpack_from(data, at)
        end = at + HEADER_BYTES + length
        if length > RECORD_MOST or end > len(data):
            return
        payload = data[at + HEADER_BYTES : end]
        if zlib.crc32(payload, zlib.crc32(struct.pack(">I", length))) != checksum:
            return
        yield payload, end
        at = end
