"""Encodes messages and records as CBOR: a tag for the type, and an array of the fields in order. Pure.

Fields that the reader does not know are ignored, and missing fields get their defaults
(`docs/design/versions.md`). Links skip a message that contains an unknown type; the storage rejects a record
that does.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Any

import cbor2

from fordtrestle.peer.errors import CodecError, UnknownMessageError
from fordtrestle.peer.wire_types import BY_TAG, BY_TYPE


def encode(message: Any) -> bytes:
    """Encode a message or record.

    Raises:
        CodecError: the message, or a value in it, is of a type that has no tag.
    """
    return cbor2.dumps(message, default=_encode_value)


def decode(data: bytes) -> Any:
    """Decode a message or record.

    Raises:
        UnknownMessageError: the bytes contain a type or an enum value of another protocol version.
        CodecError: the bytes are not a valid message or record.
    """
    try:
        value = cbor2.loads(data, tag_hook=_decode_tag, immutable=True)
    except (cbor2.CBORDecodeError, ValueError, TypeError, RecursionError) as error:
        raise _codec_error(error) from error
    if type(value) not in BY_TYPE:
        raise CodecError(f"expected a message or record, got {type(value).__name__}")
    return value


def _encode_value(encoder: cbor2.CBOREncoder, value: Any) -> None:
    """Encode values that CBOR has no type for: enumerations, messages and records."""
    wire_type = BY_TYPE.get(type(value))
    if isinstance(value, IntEnum):
        encoder.encode(int(value))
    elif wire_type is not None:
        encoder.encode(cbor2.CBORTag(wire_type.tag, [getattr(value, name) for name in wire_type.fields]))
    else:
        raise CodecError(f"type {type(value).__name__} has no tag, so it cannot be encoded")


def _decode_tag(tag: Any, *_: Any) -> Any:
    """Decode a message or record from its tag and its array of values."""
    wire_type = BY_TAG.get(tag.tag)
    if wire_type is None:
        raise UnknownMessageError(f"unknown tag {tag.tag}")
    values = tag.value
    if not isinstance(values, list | tuple) or len(values) < wire_type.required:
        raise CodecError(
            f"{wire_type.kind.__name__}: expected an array of at least {wire_type.required} fields"
        )
    # Fields beyond the known ones are from a later version.
    known = list(values[: len(wire_type.fields)])
    for position, enumeration in wire_type.enumerations.items():
        if position < len(known):
            known[position] = _decode_enum_value(enumeration, known[position])
    return wire_type.kind(*known)


def _decode_enum_value(enumeration: type[IntEnum], value: Any) -> IntEnum:
    try:
        return enumeration(value)
    except ValueError as error:
        raise UnknownMessageError(str(error)) from error


def _codec_error(error: BaseException) -> CodecError:
    """Convert a decoding error to an error of this layer.

    cbor2 wraps an exception from the tag hook once for each enclosing tag, so the chain of causes is searched
    for an error of this layer: an unknown message must not be reported as a malformed one.
    """
    cause: BaseException | None = error
    while cause is not None:
        if isinstance(cause, CodecError):
            return cause
        cause = cause.__cause__
    return CodecError(str(error))
