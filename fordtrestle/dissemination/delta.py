"""Delta encoding of a configuration against the previous one. Pure.

Configurations are long and their changes are small, so only the changes are sent. A document is split before
each opening brace, which separates the routes in its JSON; pieces that are also in the old document are sent
as references into it.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass

from fordtrestle.dissemination.errors import DeltaError
from fordtrestle.dissemination.items import MAX_DOCUMENT_BYTES, ControlView

_SPLIT_AT = b"{"
# Literal bytes over the length of the new document: above this ratio, a delta hardly saves anything.
MAX_LITERAL_RATIO = 0.5
MAX_PARTS = 10_000  # per delta: bounds what a malformed one can cost its receiver


@dataclass(frozen=True, slots=True)
class Copy:
    """A range of bytes of the old document, from `start` up to but not including `end`."""

    start: int
    end: int


@dataclass(frozen=True, slots=True)
class ControlDelta:
    """A newer `ControlView` whose document is described by parts of an older one.

    Attributes:
        base: the sequence of the view that the parts refer to.
        sequence: the sequence of the newer view.
        generation: the generation of the newer view.
        parts: references into the old document and literal bytes, in the order of the new document.
        checksum: CRC-32 of the new document.
        evacuated: the evacuated zones of the newer view.
    """

    base: int
    sequence: int
    generation: int
    parts: tuple[Copy | bytes, ...]
    checksum: int
    evacuated: tuple[str, ...]


def _split(document: bytes) -> list[bytes]:
    """Return the pieces of a document, each but the first beginning with the split marker."""
    first, *others = document.split(_SPLIT_AT)
    return [first, *(_SPLIT_AT + piece for piece in others)]


def _offsets(document: bytes) -> dict[bytes, int]:
    """Return the offset of each piece of a document; for a repeated piece, that of its first occurrence."""
    offsets: dict[bytes, int] = {}
    offset = 0
    for piece in _split(document):
        offsets.setdefault(piece, offset)
        offset += len(piece)
    return offsets


def _parts(old: bytes, new: bytes) -> list[Copy | bytes]:
    """Describe a document by parts of another one; adjacent parts of the same kind are joined."""
    offsets = _offsets(old)
    parts: list[Copy | bytes] = []
    for piece in _split(new):
        last = parts[-1] if parts else None
        if isinstance(last, Copy) and old.startswith(piece, last.end):
            parts[-1] = Copy(last.start, last.end + len(piece))
        elif piece in offsets:
            parts.append(Copy(offsets[piece], offsets[piece] + len(piece)))
        elif isinstance(last, bytes):
            parts[-1] = last + piece
        else:
            parts.append(piece)
    return parts


def _length(part: Copy | bytes) -> int:
    return part.end - part.start if isinstance(part, Copy) else len(part)


def make_delta(old: ControlView, new: ControlView) -> ControlDelta | None:
    """Return the delta between two views; `None` if it has too many parts or is hardly shorter."""
    parts = _parts(old.document, new.document)
    literal_bytes = sum(_length(part) for part in parts if isinstance(part, bytes))
    if len(parts) > MAX_PARTS or literal_bytes > MAX_LITERAL_RATIO * len(new.document):
        return None
    checksum = zlib.crc32(new.document)
    return ControlDelta(old.sequence, new.sequence, new.generation, tuple(parts), checksum, new.evacuated)


def apply_delta(old: ControlView, delta: ControlDelta) -> ControlView:
    """Apply a delta to a view, and return the newer view.

    Raises:
        DeltaError: the delta was made against another view, exceeds the limits of a delta or of a
            configuration, or does not produce the document that it was made for.
    """
    if old.sequence != delta.base:
        raise DeltaError(f"the delta applies to sequence {delta.base}, the current view is {old.sequence}")
    if len(delta.parts) > MAX_PARTS:
        raise DeltaError(f"the delta has {len(delta.parts)} parts, expected at most {MAX_PARTS}")
    if sum(map(_length, delta.parts)) > MAX_DOCUMENT_BYTES:
        raise DeltaError(f"the new document exceeds {MAX_DOCUMENT_BYTES} bytes")
    parts = (old.document[part.start : part.end] if isinstance(part, Copy) else part for part in delta.parts)
    document = b"".join(parts)
    if zlib.crc32(document) != delta.checksum:
        raise DeltaError(f"checksum mismatch: the new document does not have CRC-32 {delta.checksum}")
    return ControlView(delta.sequence, delta.generation, document, delta.evacuated)
