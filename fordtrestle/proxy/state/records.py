"""What a kept file holds: a header that shows damage, and a server list or a number. Pure.

A file is `MAGIC`, the format's version, the length of what follows the header, a CRC-32C over all but itself,
and the record. That says whose list it is, so that a file under another's name is not taken for its own.
"""

from __future__ import annotations

import struct
from typing import Annotated

import msgspec
from crc32c import crc32c
from msgspec import Meta, Struct

from fordtrestle.proxy.engine.ports import ServerList

MAGIC = b"FTSTATE\n"
FORMAT = 1  # to be raised with any change that an older reader would take for something else
HEADER = struct.Struct(">8sIII")  # magic, format, bytes that follow, checksum
LIFE_MOST = 2**53

Life = Annotated[int, Meta(ge=1, le=LIFE_MOST)]


class SnapshotError(Exception):
    """A kept file that can't be used, in one line."""


class ListRecord(Struct, frozen=True):
    """The list of one service, and what its zones and kinds are numbered by."""

    service: str
    basis: str
    listed: ServerList


def seal(data: bytes) -> bytes:
    """The bytes of a file that holds `data`."""
    bare = HEADER.pack(MAGIC, FORMAT, len(data), 0)
    return HEADER.pack(MAGIC, FORMAT, len(data), crc32c(data, crc32c(bare))) + data


def unseal(raw: bytes) -> bytes:
    """What a file holds; `SnapshotError` where it is not as it was written."""
    if len(raw) < HEADER.size:
        raise SnapshotError(f"truncated: {len(raw)} bytes, no whole header")
    magic, version, length, checksum = HEADER.unpack_from(raw)
    data = raw[HEADER.size :]
    if magic != MAGIC:
        raise SnapshotError("wrong magic: not a file of this program")
    if version != FORMAT:
        raise SnapshotError(f"format version {version}, not {FORMAT}")
    if len(data) < length:
        raise SnapshotError(f"truncated: {len(data)} bytes of {length}")
    if len(data) > length:
        raise SnapshotError(f"too long: {len(data)} bytes, not {length}")
    if crc32c(data, crc32c(HEADER.pack(magic, version, length, 0))) != checksum:
        raise SnapshotError("wrong checksum")
    return data


def encode_list(service: str, basis: str, listed: ServerList) -> bytes:
    """A list as it is kept; `OverflowError` or `ValueError` for figures or texts that have no such form."""
    return msgspec.msgpack.encode(ListRecord(service, basis, listed))


def decode_list(service: str, basis: str, data: bytes) -> ServerList:
    """The list kept for a service; `SnapshotError` where it is none, another's, or of other zones."""
    try:
        record = msgspec.msgpack.decode(data, type=ListRecord)
    except (msgspec.MsgspecError, ValueError) as error:
        raise SnapshotError(f"not a list: {error}") from error
    if record.service != service:
        raise SnapshotError("the list of another service")
    if record.basis != basis:
        raise SnapshotError("kept under other zones or kinds")
    return record.listed


def encode_life(life: int) -> bytes:
    """The number of a process's life as it is kept."""
    return msgspec.msgpack.encode(life)


def decode_life(data: bytes) -> int:
    """The number kept; `SnapshotError` where it is none."""
    try:
        return msgspec.msgpack.decode(data, type=Life)
    except (msgspec.MsgspecError, ValueError) as error:
        raise SnapshotError(f"not a number of a life: {error}") from error
