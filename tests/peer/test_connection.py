"""Connections between processes: messages arrive unchanged, and invalid bytes end the connection."""

from __future__ import annotations

import asyncio
import random
import struct

import pytest

from fordtrestle.dissemination.messages import Want
from fordtrestle.peer import connection as connection_module
from fordtrestle.peer import frames as frames_module
from fordtrestle.peer.codec import encode
from fordtrestle.peer.connection import Connection
from fordtrestle.peer.frames import encode_frame
from fordtrestle.peer.messages import Hello
from fordtrestle.peer.protocol import ConnectionState
from tests.exchanges import loopback, until
from tests.peer.peers import connected


@loopback
async def test_short_and_long_messages_arrive_unchanged():
    messages = [Want(("a",)), Want(tuple(f"server/i-{n}" for n in range(500))), Hello("n", "p")]
    async with connected() as (receiver, reader, writer):
        connection = Connection(reader, writer)
        assert all(connection.send(message) for message in messages)
        await until(lambda: len(receiver.received) == len(messages))
        assert receiver.received == messages
        connection.close()


@loopback
async def test_both_sides_are_closed_once_one_has_closed_the_connection():
    async with connected() as (receiver, reader, writer):
        connection = Connection(reader, writer)
        assert connection.state is ConnectionState.HANDSHAKE
        await until(lambda: receiver.connections)
        assert receiver.connections[0].state is ConnectionState.OPEN
        connection.close()
        await receiver.has_ended.wait()
        assert connection.state is receiver.connections[0].state is ConnectionState.CLOSED
        assert not connection.send(Want(("a",)))


@pytest.mark.parametrize(
    "data",
    [
        b"\x00\x00\x00\x01x",  # not CBOR
        encode(Want(("a",)))[:-1],  # not a frame
        struct.pack(">I", (1 << 31) | 3) + b"abc",  # not compressed data
        struct.pack(">I", frames_module.MAX_FRAME_BYTES + 1),
    ],
)
@loopback
async def test_invalid_bytes_end_the_connection(data):
    async with connected() as (receiver, _, writer):
        writer.write(data)
        writer.write_eof()
        await receiver.has_ended.wait()


@loopback
async def test_the_connection_to_an_unresponsive_peer_ends_after_the_timeout(monkeypatch):
    monkeypatch.setattr(connection_module, "PEER_TIMEOUT_S", 0.05)
    async with connected() as (receiver, _, writer):
        writer.write(encode_frame(encode(Want(("a",))))[:-1])
        await receiver.has_ended.wait()


@loopback
async def test_a_long_frame_may_take_longer_than_the_timeout(monkeypatch):
    """On a slow link, the bytes of a frame arrive little by little."""
    monkeypatch.setattr(connection_module, "PEER_TIMEOUT_S", 0.2)
    message = Want(tuple(f"server/{random.random()}" for _ in range(200)))
    data = encode_frame(encode(message))
    step = len(data) // 8
    async with connected() as (receiver, _, writer):
        for start in range(0, len(data), step):
            sent_at = asyncio.get_running_loop().time()
            writer.write(data[start : start + step])
            await asyncio.sleep(0.05)
            assert receiver.connections[0].received_at >= sent_at
        await until(lambda: receiver.received == [message])
