"""A configuration as what is new in it against the one before. Pure.

Changes are small and configurations long: what travels is the change. A document is cut before each opening
brace, which parts the routes of JSON; what stands in the old one is copied from there.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass

from fordtrestle.dissemination.items import MAX_DOCUMENT_BYTES, ControlView

_SPLIT_AT = b"{"
MAX_LITERAL_SHARE = 0.5  # of the new document's length, that a delta may tell in bytes of its own
MAX_PARTS = 10_000  # of one delta


class DeltaError(Exception):
    """A delta that does not fit the document that it is applied to."""


@dataclass(frozen=True, slots=True)
class Copy:
    """Bytes of the old document, from `start` up to and without `end`."""

    start: int
    end: int


@dataclass(frozen=True, slots=True)
class ControlDelta:
    """A `ControlView` of which the document is told by parts of that of the sequence `base`."""

    base: int
    sequence: int
    generation: int
    parts: tuple[Copy | bytes, ...]
    checksum: int  # CRC-32 of the new document
    evacuated: tuple[str, ...]


def _rows(document: bytes) -> list[bytes]:
    first, *others = document.split(_SPLIT_AT)
    return [first, *(_SPLIT_AT + row for row in others)]


def _parts(old: bytes, new: bytes) -> list[Copy | bytes]:
    places: dict[bytes, int] = {}
    at = 0
    for row in _rows(old):
        places.setdefault(row, at)
        at += len(row)
    parts: list[Copy | bytes] = []
    for row in _rows(new):
        last = parts[-1] if parts else None
        if isinstance(last, Copy) and old.startswith(row, last.end):
            parts[-1] = Copy(last.start, last.end + len(row))
        elif row in places:
            parts.append(Copy(places[row], places[row] + len(row)))
        elif isinstance(last, bytes):
            parts[-1] = last + row
        else:
            parts.append(row)
    return parts


def _length(part: Copy | bytes) -> int:
    return part.end - part.start if isinstance(part, Copy) else len(part)


def difference(old: ControlView, new: ControlView) -> ControlDelta | None:
    """What leads from one to the other; nothing where the whole is hardly longer."""
    parts = _parts(old.document, new.document)
    told = sum(_length(part) for part in parts if isinstance(part, bytes))
    if len(parts) > MAX_PARTS or told > MAX_LITERAL_SHARE * len(new.document):
        return None
    checksum = zlib.crc32(new.document)
    return ControlDelta(old.sequence, new.sequence, new.generation, tuple(parts), checksum, new.evacuated)


def apply(old: ControlView, delta: ControlDelta) -> ControlView:
    """The newer view. Raises `DeltaError` where that is not what the delta was made of."""
    if old.sequence != delta.base:
        raise DeltaError(f"based on {delta.base}, not on {old.sequence}")
    if len(delta.parts) > MAX_PARTS:
        raise DeltaError(f"more than {MAX_PARTS} parts")
    if sum(map(_length, delta.parts)) > MAX_DOCUMENT_BYTES:
        raise DeltaError(f"more than {MAX_DOCUMENT_BYTES} bytes")
    parts = (old.document[part.start : part.end] if isinstance(part, Copy) else part for part in delta.parts)
    document = b"".join(parts)
    if zlib.crc32(document) != delta.checksum:
        raise DeltaError("the document has another checksum")
    return ControlView(delta.sequence, delta.generation, document, delta.evacuated)
