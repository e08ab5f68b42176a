"""Framing of records on disk: length, checksum, payload. Pure."""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterator
from dataclasses import dataclass

_HEADER = struct.Struct(">II")  # payload length in bytes; CRC-32 of that length and the payload
HEADER_BYTES = _HEADER.size

# A greater length is corrupt: the longest record, a snapshot, takes several MB (docs/design/control.md).
MAX_RECORD_BYTES = 64 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class ScannedRecord:
    """A complete record read from a file.

    Attributes:
        payload: The payload.
        end: The file offset after the record, in bytes.
    """

    payload: bytes
    end: int


def frame(payload: bytes) -> bytes:
    """Return the payload framed as a record."""
    return _HEADER.pack(len(payload), _checksum(payload)) + payload


def scan(data: bytes) -> Iterator[ScannedRecord]:
    """Yield the complete records from the start of a file.

    Stops at the first torn or corrupt record, even if complete ones follow it. Those were never synced, since
    a sync covers the whole file, so no message that depends on them was sent.

    Args:
        data: The bytes of the file.
    """
    start = 0
    while start + HEADER_BYTES <= len(data):
        length, checksum = _HEADER.unpack_from(data, start)
        end = start + HEADER_BYTES + length
        if length > MAX_RECORD_BYTES or end > len(data):
            return
        payload = data[start + HEADER_BYTES : end]
        if checksum != _checksum(payload):
            return
        yield ScannedRecord(payload, end)
        start = end


def _checksum(payload: bytes) -> int:
    """Return the CRC-32 of length and payload; without the length, zeros would pass as empty records."""
    length = struct.pack(">I", len(payload))
    return zlib.crc32(payload, zlib.crc32(length))
