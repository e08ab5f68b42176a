"""Messages and records as CBOR: each type is a tag, its fields are an array in their order. Pure.

Fields that the reader does not know are left out, and those that lack have their defaults
(`docs/design/versions.md`). A message that holds an unknown type is skipped by links, a record that does is
rejected by the storage.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Any

import cbor2

from fordtrestle.peer.errors import CodecError, UnknownMessageError
from fordtrestle.peer.wire_types import BY_TAG, BY_TYPE


def encode(message: Any) -> bytes:
    """Return the bytes of a message or record.

    Raises:
        CodecError: it is of a type that has no tag, or holds a value of one.
    """
    return cbor2.dumps(message, default=_encode_value)


def decode(data: bytes) -> Any:
    """Return the message or record of these bytes.

    Raises:
        UnknownMessageError: it holds a type or a value of another version of the protocol.
        CodecError: the bytes are no message or record.
    """
    try:
        value = cbor2.loads(data, tag_hook=_decode_tag, immutable=True)
    except (cbor2.CBORDecodeError, ValueError, TypeError, RecursionError) as error:
        raise _codec_error(error) from error
    if type(value) not in BY_TYPE:
        raise CodecError("no message")
    return value


def _encode_value(encoder: cbor2.CBOREncoder, value: Any) -> None:
    """Write what CBOR has no type for: enumerations, messages and records."""
    wire_type = BY_TYPE.get(type(value))
    if isinstance(value, IntEnum):
        encoder.encode(int(value))
    elif wire_type is not None:
        encoder.encode(cbor2.CBORTag(wire_type.tag, [getattr(value, name) for name in wire_type.fields]))
    else:
        raise CodecError(f"{type(value).__name__} is no message")


def _decode_tag(tag: Any, *_: Any) -> Any:
    """Make the message or record of a tag and its array of values."""
    wire_type = BY_TAG.get(tag.tag)
    if wire_type is None:
        raise UnknownMessageError(f"unknown tag {tag.tag}")
    values = tag.value
    if not isinstance(values, list | tuple) or len(values) < wire_type.required:
        raise CodecError(f"{wire_type.kind.__name__}: {wire_type.required} fields expected")
    # Fields beyond those known are of a later version.
    known = list(values[: len(wire_type.fields)])
    for position, enumeration in wire_type.enumerations.items():
        if position < len(known):
            known[position] = _decode_member(enumeration, known[position])
    return wire_type.kind(*known)


def _decode_member(enumeration: type[IntEnum], value: Any) -> IntEnum:
    try:
        return enumeration(value)
    except ValueError as error:
        raise UnknownMessageError(str(error)) from error


def _codec_error(error: BaseException) -> CodecError:
    """Return what went wrong as an error of this layer.

    cbor2 wraps what the decoding of a tag raises, once for each tag that it is nested in: the error of this
    layer is looked for below all of them, since an unknown message must not be taken for a malformed one.
    """
    cause: BaseException | None = error
    while cause is not None:
        if isinstance(cause, CodecError):
            return cause
        cause = cause.__cause__
    return CodecError(str(error))
