"""One connection between two processes: frames of a length and a CBOR message, probes, deadlines."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
import zlib
from collections.abc import Callable
from typing import Any

import eliot

from fordtrestle.peer.codec import CodecError, UnknownMessageError, decode, encode

_LENGTH = struct.Struct(">I")
_COMPRESSED = 1 << 31  # in the length: the payload is compressed (zlib)
MIN_COMPRESSED_BYTES = 400  # bytes
MAX_FRAME_BYTES = 32 * 1024 * 1024
MAX_BUFFER_BYTES = (
    16 * 1024 * 1024
)  # unsent bytes, more than the largest state; beyond them the peer does not read and is given up
KEEPALIVE_S = 0.4  # of silence of our own, then a probe
PEER_TIMEOUT_S = 1.6  # of the peer's silence, then the connection is given up
_PROBE = _LENGTH.pack(0)
_GONE = (OSError, EOFError, asyncio.IncompleteReadError, CodecError)


def encode_frame(payload: bytes) -> bytes:
    """A payload as it is sent: long ones compressed, since bytes between regions are dear."""
    if len(payload) < MIN_COMPRESSED_BYTES:
        return _LENGTH.pack(len(payload)) + payload
    packed = zlib.compress(payload, 1)
    return _LENGTH.pack(len(packed) | _COMPRESSED) + packed


def frame_message(message: Any) -> bytes | None:
    """The frame of a message; nothing where it is longer than its receiver takes."""
    payload = encode(message)
    return encode_frame(payload) if len(payload) <= MAX_FRAME_BYTES else None


def decompress(packed: bytes) -> bytes:
    """The payload of a compressed frame. `CodecError` where it is none, or too large."""
    inflater = zlib.decompressobj()
    try:
        payload = inflater.decompress(packed, MAX_FRAME_BYTES)
    except zlib.error as error:
        raise CodecError(str(error)) from error
    if not inflater.eof:
        raise CodecError(f"a frame of more than {MAX_FRAME_BYTES} bytes, or cut short")
    return payload


class Connection:
    """Sends without waiting and hands over what comes. `run` returns when the connection has ended."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer
        self._sent_at = asyncio.get_running_loop().time()
        self.skipped_messages = 0  # messages of another version of the protocol
        sock = writer.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def send(self, message: Any) -> bool:
        """Send a message; whether the connection takes it."""
        framed = frame_message(message)
        return framed is not None and self.write_frame(framed)

    async def receive(self) -> Any:
        """The next message. Raises what `_GONE` lists, or `TimeoutError` after the peer's silence.

        A long frame may take as long as it needs on a thin link, as long as bytes of it come.
        """
        while True:
            head = _LENGTH.unpack(await self._read(_LENGTH.size))[0]
            length = head & ~_COMPRESSED
            if length > MAX_FRAME_BYTES:
                raise CodecError(f"a frame of {length} bytes")
            if length:
                payload = await self._read(length)
                return decode(decompress(payload) if head & _COMPRESSED else payload)

    async def _read(self, length: int) -> bytes:
        data = bytearray()
        while len(data) < length:
            async with asyncio.timeout(PEER_TIMEOUT_S):
                part = await self._reader.read(length - len(data))
            if not part:
                raise EOFError
            data += part
        return bytes(data)

    async def run(self, received: Callable[[Any], None]) -> None:
        """Hand over messages until the connection ends. Those of another version are skipped."""
        probing = asyncio.create_task(self._probe())
        try:
            while True:
                try:
                    message = await self.receive()
                except UnknownMessageError as error:
                    self._skip(error)
                else:
                    received(message)
        except (*_GONE, TimeoutError):
            return
        finally:
            probing.cancel()
            self.close()

    def _skip(self, unknown: UnknownMessageError) -> None:
        self.skipped_messages += 1
        if self.skipped_messages == 1:
            eliot.log_message("peer:message-skipped", reason=str(unknown))

    def close(self) -> None:
        """End the connection at once."""
        with contextlib.suppress(OSError, RuntimeError):
            self._writer.transport.abort()

    def write_frame(self, framed: bytes) -> bool:
        """Send a message that was framed before; whether the connection still takes any."""
        transport = self._writer.transport
        if transport.is_closing():
            return False
        if transport.get_write_buffer_size() > MAX_BUFFER_BYTES:
            self.close()
            return False
        transport.write(framed)
        self._sent_at = asyncio.get_running_loop().time()
        return True

    async def _probe(self) -> None:
        loop = asyncio.get_running_loop()
        while not self._writer.transport.is_closing():
            wait = self._sent_at + KEEPALIVE_S - loop.time()
            if wait > 0:
                await asyncio.sleep(wait)
                continue
            self._writer.transport.write(_PROBE)
            self._sent_at = loop.time()
