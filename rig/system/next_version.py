"""Runs the program as a later version might be.

Each message and record has an additional field, messages of a type that this version does not know are sent,
and a newer version of the protocol is supported besides the present ones.

    python -m rig.system.next_version control
"""

from __future__ import annotations

import sys
from typing import Any

import cbor2

from fordtrestle import __main__ as program
from fordtrestle.peer import codec, connection, handshake
from fordtrestle.peer.frames import encode_frame
from fordtrestle.peer.wire_types import BY_TYPE, FIRST_TAG

UNKNOWN_TAG = FIRST_TAG + 400
UNKNOWN_MESSAGE_INTERVAL = 5  # every fifth message is preceded by one of the unknown type
ADDED_FIELD_VALUE = "a field of a later version"


def _encode_with_added_field(original: Any) -> Any:
    def encode(encoder: cbor2.CBOREncoder, value: Any) -> None:
        wire_type = BY_TYPE.get(type(value))
        if wire_type is None:
            original(encoder, value)
            return
        values = [getattr(value, name) for name in wire_type.fields]
        encoder.encode(cbor2.CBORTag(wire_type.tag, [*values, ADDED_FIELD_VALUE]))

    return encode


def _write_with_unknown_messages(original: Any) -> Any:
    unknown = encode_frame(cbor2.dumps(cbor2.CBORTag(UNKNOWN_TAG, ["news of a later version"])))

    def write(self: connection.Connection, framed: bytes) -> bool:
        write.calls += 1  # type: ignore[attr-defined]
        if write.calls % UNKNOWN_MESSAGE_INTERVAL == 0:  # type: ignore[attr-defined]
            original(self, unknown)
        accepted: bool = original(self, framed)
        return accepted

    write.calls = 0  # type: ignore[attr-defined]
    return write


def become_next_version() -> None:
    """Patch this process so that it communicates as a later version would."""
    handshake.PROTOCOL_VERSION += 1
    codec._encode_value = _encode_with_added_field(codec._encode_value)
    connection.Connection.write_frame = _write_with_unknown_messages(connection.Connection.write_frame)  # type: ignore[method-assign]


if __name__ == "__main__":
    become_next_version()
    sys.exit(program.main(sys.argv[1:]))
