"""The format of stored files: a header with a checksum, then a server list or an incarnation. Pure.

A file consists of `MAGIC`, the version of the format, the length of the payload, a CRC-32C over everything
but itself, and the payload (msgpack). The payload of a list names its service, so that a file renamed to that
of another service is rejected.
"""

from __future__ import annotations

import struct
from typing import Annotated

import msgspec
from crc32c import crc32c
from msgspec import Meta, Struct

from fordtrestle.balancer.model import Listing
from fordtrestle.proxy.engine.ports import Address, ServerList
from fordtrestle.proxy.state.errors import SnapshotError

MAGIC = b"FTSTATE\n"
FORMAT_VERSION = 1  # incremented with each change that older readers would misread
HEADER = struct.Struct(">8sIII")  # magic, format version, length of the payload in bytes, checksum
MAX_INCARNATION = 2**53  # JSON readers represent integers up to this exactly; events contain the number

Incarnation = Annotated[int, Meta(ge=1, le=MAX_INCARNATION)]


class StoredList(Struct, frozen=True, rename={"is_complete": "whole"}):
    """A `ServerList` as it is stored; the keys on disk are those of the first version of the format."""

    version: int
    is_complete: bool
    entries: list[Listing]
    addresses: dict[str, Address]


class ListRecord(Struct, frozen=True, rename={"server_list": "listed"}):
    """The list of one service; `basis` is a digest of the names by which its zones and kinds are numbered."""

    service: str
    basis: str
    server_list: StoredList


def seal(payload: bytes) -> bytes:
    """Return the content of a file with the payload `payload`."""
    unsigned = HEADER.pack(MAGIC, FORMAT_VERSION, len(payload), 0)
    checksum = crc32c(payload, crc32c(unsigned))
    return HEADER.pack(MAGIC, FORMAT_VERSION, len(payload), checksum) + payload


def unseal(raw: bytes) -> bytes:
    """Return the payload of a file.

    Raises:
        SnapshotError: The file is corrupt, or has another format.
    """
    if len(raw) < HEADER.size:
        raise SnapshotError(f"truncated: {len(raw)} bytes, fewer than the {HEADER.size} of the header")
    magic, version, length, checksum = HEADER.unpack_from(raw)
    data = raw[HEADER.size :]
    if magic != MAGIC:
        raise SnapshotError("wrong magic: not a file of this program")
    if version != FORMAT_VERSION:
        raise SnapshotError(f"format version {version}, expected {FORMAT_VERSION}")
    if len(data) < length:
        raise SnapshotError(f"truncated: {len(data)} bytes of {length}")
    if len(data) > length:
        raise SnapshotError(f"too long: {len(data)} bytes, expected {length}")
    if crc32c(data, crc32c(HEADER.pack(magic, version, length, 0))) != checksum:
        raise SnapshotError("wrong checksum")
    return data


def encode_list(service: str, basis: str, server_list: ServerList) -> bytes:
    """Return the payload that stores a list.

    Raises:
        OverflowError: A number of the list is out of range for msgpack.
        ValueError: A text of the list can't be encoded.
    """
    stored = StoredList(
        server_list.version, server_list.is_complete, server_list.entries, server_list.addresses
    )
    return msgspec.msgpack.encode(ListRecord(service, basis, stored))


def decode_list(service: str, basis: str, payload: bytes) -> ServerList:
    """Return the list that was stored for a service.

    Raises:
        SnapshotError: The payload is not a list, belongs to another service, or uses other numbers for zones
            or kinds.
    """
    try:
        record = msgspec.msgpack.decode(payload, type=ListRecord)
    except (msgspec.MsgspecError, ValueError) as error:
        raise SnapshotError(f"not a list: {error}") from error
    if record.service != service:
        raise SnapshotError("the list of another service")
    if record.basis != basis:
        raise SnapshotError("stored with other zones or kinds")
    stored = record.server_list
    return ServerList(stored.version, stored.is_complete, stored.entries, stored.addresses)


def encode_incarnation(incarnation: int) -> bytes:
    """Return the payload that stores an incarnation, the number of starts of the process."""
    return msgspec.msgpack.encode(incarnation)


def decode_incarnation(payload: bytes) -> int:
    """Return the stored incarnation, the number of starts of the process.

    Raises:
        SnapshotError: The payload is not an incarnation.
    """
    try:
        return msgspec.msgpack.decode(payload, type=Incarnation)
    except (msgspec.MsgspecError, ValueError) as error:
        raise SnapshotError(f"not an incarnation: {error}") from error
