"""Records of an appended log, and what is left of them in a file after anything happened to it. Pure.

A record is a header, its data and an end mark. The header's checksum covers the header, which holds that of
the data, so that a record whose data is bad still says which one it was. Records are numbered without gaps;
each says up to which number all were known to be synced when it was written (`synced`), and where the log of
entries ended before it (`last`). The end mark has no zero byte: a file that ends in zeros, or short, lacks
what it ended in.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass

from crc32c import crc32c

MAGIC = b"\xf7FTJ"
FORMAT = (
    1  # to be raised with any change; the header keeps its layout for ever, by which other formats are told
)
BARE = struct.Struct(
    ">4sBBHIQQQQI"
)  # magic, format, kind, 0, length, number, synced, index, last, data's checksum
SUM = struct.Struct(">I")  # of the above
HEADER = BARE.size + SUM.size
END = b"\xfeEND"
LEAST = HEADER + len(END)  # bytes of a record without data

START, META, ENTRY, CUT = 1, 2, 3, 4
KINDS = (START, META, ENTRY, CUT)


class FormatError(Exception):
    """A file of another version of this program, in one line."""


@dataclass(frozen=True, slots=True)
class Record:
    """One record whose header is whole; `data` is None where it is not as it was written. `short`: then the
    file ends before the record does, so it was never whole.

    `index`: of an entry its own, of CUT the last one that goes, of START the last number that it leaves
    standing.
    """

    kind: int
    number: int
    synced: int
    index: int
    last: int
    data: bytes | None
    short: bool = False


@dataclass(frozen=True, slots=True)
class Scan:
    """What a file holds. `rest`: bytes after the last whole record. `unknown`: these may hold whole records
    of which not even a header can be read."""

    records: list[Record]
    rest: int
    unknown: bool


def encode(kind: int, number: int, synced: int, index: int, last: int, data: bytes) -> bytes:
    """A record's bytes."""
    bare = BARE.pack(MAGIC, FORMAT, kind, 0, len(data), number, synced, index, last, crc32c(data))
    return b"".join((bare, SUM.pack(crc32c(bare)), data, END))


def scan(raw: bytes) -> Scan:
    """All records of a file of which at least the header can be read, in their order.

    `FormatError` where a header that is whole is of another format."""
    size = len(raw.rstrip(b"\0"))  # no record ends in zeros
    records: list[Record] = []
    whole_to = header_to = at = 0  # ends of the last whole record, and of the last with a whole header
    while at >= 0:
        found = _header(raw, at)
        if found is None:
            at = raw.find(MAGIC, at + 1)
            continue
        kind, length, number, synced, index, last, checksum = found
        stop = at + HEADER + length
        data = raw[at + HEADER : stop]
        header_to = stop + len(END)
        if len(data) == length and crc32c(data) == checksum:
            records.append(Record(kind, number, synced, index, last, data))
            whole_to = at = stop + (len(END) if raw[stop : stop + len(END)] == END else 0)
        else:  # others may stand within what it says is its length, if it was cut short
            records.append(Record(kind, number, synced, index, last, None, size < header_to))
            at = raw.find(MAGIC, at + 1)
    return Scan(records, max(0, len(raw) - whole_to), size - header_to >= LEAST)


def _header(raw: bytes, at: int) -> tuple[int, int, int, int, int, int, int] | None:
    """Kind, length, number, synced, index, last and the data's checksum; None where no header is."""
    bare = raw[at : at + BARE.size]
    told = raw[at + BARE.size : at + HEADER]
    if len(told) < SUM.size or not bare.startswith(MAGIC) or crc32c(bare) != SUM.unpack(told)[0]:
        return None
    _, version, kind, _, length, number, synced, index, last, checksum = BARE.unpack(bare)
    if version != FORMAT:
        raise FormatError(f"format version {version}, not {FORMAT}")
    if kind not in KINDS:
        raise FormatError(f"a record of kind {kind}")
    return kind, length, number, synced, index, last, checksum
