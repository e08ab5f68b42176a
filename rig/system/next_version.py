"""The program as a later version of it may be: each of its messages and records has a field more, it sends
messages of a type that this version does not know, and it speaks a newer version of the protocol, too.

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
ONE_IN = 5  # messages that are followed by one of the unknown type
LATER = "a field of a later version"


def _encode_with_more(whole: Any) -> Any:
    def encode(encoder: cbor2.CBOREncoder, value: Any) -> None:
        wire_type = BY_TYPE.get(type(value))
        if wire_type is None:
            whole(encoder, value)
            return
        values = [getattr(value, name) for name in wire_type.fields]
        encoder.encode(cbor2.CBORTag(wire_type.tag, [*values, LATER]))

    return encode


def _write_with_unknown(whole: Any) -> Any:
    unknown = encode_frame(cbor2.dumps(cbor2.CBORTag(UNKNOWN_TAG, ["news of a later version"])))

    def write(self: connection.Connection, framed: bytes) -> bool:
        write.calls += 1  # type: ignore[attr-defined]
        if write.calls % ONE_IN == 0:  # type: ignore[attr-defined]
            whole(self, unknown)
        taken: bool = whole(self, framed)
        return taken

    write.calls = 0  # type: ignore[attr-defined]
    return write


def become_next() -> None:
    """Let this process speak as a later version would."""
    handshake.PROTOCOL_VERSION += 1
    codec._encode_value = _encode_with_more(codec._encode_value)
    connection.Connection.write_frame = _write_with_unknown(connection.Connection.write_frame)  # type: ignore[method-assign]


if __name__ == "__main__":
    become_next()
    sys.exit(program.main(sys.argv[1:]))
