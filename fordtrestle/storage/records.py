"""The frame of a record on disk: length, checksum, payload. Pure."""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterator
from dataclasses import dataclass

_HEADER = struct.Struct(">II")  # payload bytes; CRC-32 over that length and the payload
HEADER_BYTES = _HEADER.size

# A longer length is corrupt: the longest record, a snapshot, takes several MB (docs/design/control.md).
MAX_RECORD_BYTES = 64 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class ScannedRecord:
    """A complete record of a file.

    Attributes:
        payload: What was framed.
        end: The offset behind the record, in bytes.
    """

    payload: bytes
    end: int


def frame(payload: bytes) -> bytes:
    """One record as it stands in the file."""
    return _HEADER.pack(len(payload), _checksum(payload)) + payload


def scan(data: bytes) -> Iterator[ScannedRecord]:
    """Yield all complete records from the start of a file.

    Ends at the first record that is torn or corrupt, also where complete ones follow it. Those were never
    synced, since a sync covers the whole file: nothing that rests on them was sent.

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
    """CRC-32 over length and payload: a run of zeros would pass as empty records without the length."""
    length = struct.pack(">I", len(payload))
    return zlib.crc32(payload, zlib.crc32(length))
