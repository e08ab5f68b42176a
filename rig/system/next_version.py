"""The program as a later version of it may be: each of its messages and records has a field more, it sends
messages of a type that this version does not know, and it speaks a newer version of the protocol, too.

    python -m rig.system.next_version control
"""

from __future__ import annotations

import sys
from typing import Any

import cbor2

from fordtrestle import __main__ as program
from fordtrestle.peer import codec, connection

UNKNOWN_TAG = codec._FIRST_TAG + 400
ONE_IN = 5  # messages that are followed by one of the unknown type
LATER = "a field of a later version"


def _encode_with_more(whole: Any) -> Any:
    def encode(encoder: cbor2.CBOREncoder, value: Any) -> None:
        kind = type(value)
        if kind not in codec._TAGS:
            whole(encoder, value)
            return
        values = [getattr(value, name) for name in codec._FIELDS[kind]]
        encoder.encode(cbor2.CBORTag(codec._TAGS[kind], [*values, LATER]))

    return encode


def _write_with_unknown(whole: Any) -> Any:
    unknown = connection.encode_frame(cbor2.dumps(cbor2.CBORTag(UNKNOWN_TAG, ["news of a later version"])))

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
    codec.PROTOCOL += 1
    codec._encode = _encode_with_more(codec._encode)
    connection.Connection.write_frame = _write_with_unknown(connection.Connection.write_frame)  # type: ignore[method-assign]


if __name__ == "__main__":
    become_next()
    sys.exit(program.main(sys.argv[1:]))
