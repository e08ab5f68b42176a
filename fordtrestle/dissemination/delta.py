"""A configuration as what is new in it against the one before. Pure.

Changes are small and configurations are long, so the change is what travels. A document is split before each
opening brace, which separates the routes of its JSON; pieces that the old document holds too are sent as
references into it.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass

from fordtrestle.dissemination.errors import DeltaError
from fordtrestle.dissemination.items import MAX_DOCUMENT_BYTES, ControlView

_SPLIT_AT = b"{"
# Of the new document's length, sent as bytes of its own: beyond it, a delta hardly saves anything.
MAX_LITERAL_RATIO = 0.5
MAX_PARTS = 10_000  # of one delta, so that a strange one costs its receiver little


@dataclass(frozen=True, slots=True)
class Copy:
    """Bytes of the old document, from `start` up to and without `end`."""

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
    """Return the offset of each piece of a document; the first one of those that occur more than once."""
    offsets: dict[bytes, int] = {}
    offset = 0
    for piece in _split(document):
        offsets.setdefault(piece, offset)
        offset += len(piece)
    return offsets


def _parts(old: bytes, new: bytes) -> list[Copy | bytes]:
    """Describe a document by parts of another; neighbouring parts of one kind are joined."""
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
    """Return what leads from one view to the other; `None` where the whole is hardly longer."""
    parts = _parts(old.document, new.document)
    literal_bytes = sum(_length(part) for part in parts if isinstance(part, bytes))
    if len(parts) > MAX_PARTS or literal_bytes > MAX_LITERAL_RATIO * len(new.document):
        return None
    checksum = zlib.crc32(new.document)
    return ControlDelta(old.sequence, new.sequence, new.generation, tuple(parts), checksum, new.evacuated)


def apply_delta(old: ControlView, delta: ControlDelta) -> ControlView:
    """Return the newer view.

    Raises:
        DeltaError: the delta was made of another view, is larger than a configuration may be, or leads to
            another document than the one that it was made for.
    """
    if old.sequence != delta.base:
        raise DeltaError(f"based on {delta.base}, not on {old.sequence}")
    if len(delta.parts) > MAX_PARTS:
        raise DeltaError(f"{len(delta.parts)} parts, more than {MAX_PARTS}")
    if sum(map(_length, delta.parts)) > MAX_DOCUMENT_BYTES:
        raise DeltaError(f"more than {MAX_DOCUMENT_BYTES} bytes")
    parts = (old.document[part.start : part.end] if isinstance(part, Copy) else part for part in delta.parts)
    document = b"".join(parts)
    if zlib.crc32(document) != delta.checksum:
        raise DeltaError(f"the document has another checksum than {delta.checksum}")
    return ControlView(delta.sequence, delta.generation, document, delta.evacuated)
