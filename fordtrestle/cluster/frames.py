"""Frames: how messages between members stand in a stream of bytes. Pure.

A frame is a head and a payload. The head holds the payload's length, the format, the payload's checksum, and
a checksum of these three, so that nobody waits for a length that was hit; it keeps its layout for ever, by
which other formats are told. A connection begins with a greeting in each direction, which is short. From then
on a checksum goes on from that of the frame before, and the first one from the number (`session`) in the
greeting of who is to read it. So a frame that is missing, doubled, out of its place or of another connection
has a wrong one. An empty payload is a probe, or the answer to one.

All of it guards against accidents and strays; who knows the cluster's id can say anything.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from typing import Annotated, Literal

import msgspec
from crc32c import crc32c
from msgspec import Meta, Struct

from fordtrestle.cluster.messages import FORMAT, Envelope

FRAME_MOST = 2 * 2**20  # bytes of a payload
GREETING_MOST = 512  # of the first one
LENGTH = struct.Struct(">I")
BARE = struct.Struct(">III")  # length, format, payload's checksum
HEAD = struct.Struct(">IIII")  # the same, and their checksum
PROBE = b""  # the payload that only asks for the same

Kind = Literal["long", "checksum", "format", "undecodable", "unencodable"]
Name = Annotated[str, Meta(pattern=r"^@?[A-Za-z0-9_-]{1,64}\Z")]  # a client's begins with @


class Greeting(Struct, frozen=True):
    """The first frame of a connection: which cluster, who speaks, and where the checksums of what it reads
    begin."""

    cluster: Name
    name: Name
    session: Annotated[int, Meta(ge=0, lt=2**32)]


class FrameError(Exception):
    """Bytes that are no frame, or a message that can't be one; `kind` for counts."""

    def __init__(self, kind: Kind, why: str) -> None:
        self.kind: Kind = kind
        super().__init__(why)


Frame = Greeting | Envelope | None  # None: a probe

_ENCODER = msgspec.msgpack.Encoder()
_GREETINGS = msgspec.msgpack.Decoder(Greeting)
_ENVELOPES = msgspec.msgpack.Decoder(Envelope)
_NO_MESSAGE = (ValueError, OverflowError, RecursionError)  # msgspec's own are of the first


def payload_of(said: Greeting | Envelope) -> bytes:
    """What is said, as bytes; `FrameError` where it is too long, or holds what has no form."""
    try:
        payload = _ENCODER.encode(said)
    except (*_NO_MESSAGE, TypeError) as error:
        raise FrameError("unencodable", str(error)) from None
    if len(payload) > FRAME_MOST:
        raise FrameError("long", f"{len(payload)} bytes, and a frame has {FRAME_MOST} at the most")
    return payload


class Packer:
    """Puts heads before the payloads of one direction of one connection."""

    def __init__(self) -> None:
        self._sum = 0

    def begin(self, session: int) -> None:
        """The greeting was packed; `session` is that of the other side's."""
        self._sum = session

    def head(self, payload: bytes) -> bytes:
        """The head of the payload that comes next."""
        self._sum = crc32c(payload, self._sum)
        bare = BARE.pack(len(payload), FORMAT, self._sum)
        return bare + LENGTH.pack(crc32c(bare))

    def pack(self, *payloads: bytes) -> bytes:
        """Some frames, one behind the other."""
        return b"".join([part for payload in payloads for part in (self.head(payload), payload)])


class Splitter:
    """Makes frames of the bytes of one direction of one connection, cut anywhere; `session` is that of the
    own greeting. It holds at most one frame that is not whole, and of that no more than it may have."""

    def __init__(self, session: int) -> None:
        self._session = session
        self._sum = 0
        self._greeted = False
        self._buffer = bytearray()

    @property
    def held(self) -> int:
        """Bytes that wait for the rest of their frame."""
        return len(self._buffer)

    def feed(self, data: bytes) -> Iterator[Frame]:
        """The frames that are whole with these bytes; the first of all is a `Greeting`.

        `FrameError` at the first that is none: nothing behind it can be told apart any more."""
        buffer, at = self._buffer, 0
        buffer += data
        while len(buffer) - at >= LENGTH.size:
            length = self._length(buffer, at)
            stop = at + HEAD.size + length
            if len(buffer) < stop:
                break
            yield self._frame(buffer[at + HEAD.size : stop], buffer, at)
            at = stop
        del buffer[:at]

    def _length(self, buffer: bytearray, at: int) -> int:
        """The payload's length, which the head's checksum confirms as soon as it is there."""
        (length,) = LENGTH.unpack_from(buffer, at)
        most = FRAME_MOST if self._greeted else GREETING_MOST
        if length > most:
            raise FrameError("long", f"{length} bytes, and there may be {most}")
        if len(buffer) - at >= HEAD.size:
            (checksum,) = LENGTH.unpack_from(buffer, at + BARE.size)
            if crc32c(buffer[at : at + BARE.size]) != checksum:
                raise FrameError("checksum", "a head with a wrong checksum")
            _, version, _ = BARE.unpack_from(buffer, at)
            if version != FORMAT:
                raise FrameError("format", f"format version {version}, not {FORMAT}")
        return int(length)

    def _frame(self, payload: bytearray, buffer: bytearray, at: int) -> Frame:
        _, _, checksum = BARE.unpack_from(buffer, at)
        self._sum = crc32c(payload, self._sum)
        if self._sum != checksum:
            raise FrameError("checksum", "a frame with a wrong checksum, or out of its place")
        if self._greeted and not payload:
            return None
        try:
            if self._greeted:
                return _ENVELOPES.decode(payload)
            greeting = _GREETINGS.decode(payload)
        except _NO_MESSAGE as error:
            raise FrameError("undecodable", str(error)) from None
        self._greeted, self._sum = True, self._session
        return greeting
