"""Frames between processes: what was sent comes, long ones compressed; what is none ends the connection."""

from __future__ import annotations

import asyncio
import contextlib
import random
import struct
import zlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fordtrestle.dissemination.messages import Want
from fordtrestle.peer import connection as connection_module
from fordtrestle.peer.codec import CodecError, Hello, decode, encode
from fordtrestle.peer.connection import Connection, decompress, encode_frame, frame_message
from fordtrestle.peer.mesh import Mesh
from fordtrestle.settings.records import Address
from tests.exchanges import loopback, until


async def talk(serve):
    """A connection to a server that handles one connection."""
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
    return server, Connection(reader, writer)


@loopback
async def test_short_and_long_messages_come_as_they_were_sent():
    messages = [Want(("a",)), Want(tuple(f"server/i-{n}" for n in range(500))), Hello("n", "p")]
    received = []

    async def serve(reader, writer):
        await Connection(reader, writer).run(received.append)

    server, connection = await talk(serve)
    assert all(connection.send(message) for message in messages)
    await until(lambda: len(received) == len(messages))
    assert received == messages
    connection.close()
    server.close()


@pytest.mark.parametrize(
    "data",
    [
        b"\x00\x00\x00\x01x",  # no CBOR
        encode(Want(("a",)))[:-1],  # no frame
        struct.pack(">I", (1 << 31) | 3) + b"abc",  # not compressed
        struct.pack(">I", connection_module.MAX_FRAME_BYTES + 1),
    ],
)
@loopback
async def test_what_is_no_frame_ends_the_connection(data):
    ended = asyncio.Event()

    async def serve(reader, writer):
        await Connection(reader, writer).run(lambda message: None)
        ended.set()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    _, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
    writer.write(data)
    writer.write_eof()
    await ended.wait()
    server.close()


@loopback
async def test_a_peer_that_falls_silent_is_given_up(monkeypatch):
    monkeypatch.setattr(connection_module, "PEER_TIMEOUT_S", 0.05)
    ended = asyncio.Event()

    async def serve(reader, writer):
        await Connection(reader, writer).run(lambda message: None)
        ended.set()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    _, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
    writer.write(encode_frame(encode(Want(("a",))))[:-1])
    await ended.wait()
    writer.close()
    server.close()


@loopback
async def test_a_long_frame_may_take_longer_than_a_silence(monkeypatch):
    """On a thin link, where its bytes come little by little."""
    monkeypatch.setattr(connection_module, "PEER_TIMEOUT_S", 0.2)
    received = []

    async def serve(reader, writer):
        await Connection(reader, writer).run(received.append)

    message = Want(tuple(f"server/{random.random()}" for _ in range(200)))
    data = encode_frame(encode(message))
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    _, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
    step = len(data) // 8
    for at in range(0, len(data), step):
        writer.write(data[at : at + step])
        await asyncio.sleep(0.05)
    await until(lambda: received == [message])
    writer.close()
    server.close()


def test_a_message_that_its_receiver_would_refuse_is_not_sent(monkeypatch):
    """However small it becomes once it is compressed: the receiver would end the link over it."""
    monkeypatch.setattr(connection_module, "MAX_FRAME_BYTES", 1000)
    long = Want(("a" * 2000,))
    assert len(encode_frame(encode(long))) < 1000
    assert frame_message(long) is None
    assert frame_message(Want(("a" * 500,))) is not None


def test_a_frame_that_would_grow_too_large_is_refused(monkeypatch):
    monkeypatch.setattr(connection_module, "MAX_FRAME_BYTES", 1000)
    with pytest.raises(CodecError):
        decompress(zlib.compress(bytes(2000)))
    with pytest.raises(CodecError):
        decompress(zlib.compress(bytes(500))[:-3])


@given(st.binary(max_size=2000))
def test_frames_hold_what_was_put_in(payload):
    head = struct.unpack(">I", encode_frame(payload)[:4])[0]
    body = encode_frame(payload)[4:]
    assert (decompress(body) if head >> 31 else body) == payload
    assert len(body) == head & 0x7FFFFFFF


@given(st.binary(max_size=200))
def test_strange_bytes_are_refused_as_such(data):
    with contextlib.suppress(CodecError):
        decode(data)


@loopback
async def test_a_fault_in_handling_a_message_does_not_end_the_link():
    received = []

    def handle(link, message):
        received.append(message)
        if len(received) == 1:
            raise ValueError("a fault of ours")

    one = Mesh(Hello("one", ""), lambda link, message: None, lambda _: None)
    other = Mesh(Hello("other", ""), handle, lambda _: None)
    await other.listen(Address("127.0.0.1", 0))
    one.dial([f"127.0.0.1:{other._server.sockets[0].getsockname()[1]}"])
    await until(lambda: one.links())
    one.link("other").send(Want(("a",)))
    one.link("other").send(Want(("b",)))
    await until(lambda: len(received) == 2)
    await one.close()
    await other.close()


@loopback
async def test_processes_link_up_and_notice_that_one_has_gone():
    received = []

    def made(name):
        return Mesh(
            Hello(name, ""), lambda link, message: received.append((link.node, message)), lambda _: None
        )

    one, other = made("one"), made("other")
    await other.listen(Address("127.0.0.1", 0))
    port = other._server.sockets[0].getsockname()[1]
    one.dial([f"127.0.0.1:{port}"])
    await until(lambda: one.links() and other.links())
    assert one.round_trips[f"127.0.0.1:{port}"] < 1.0
    one.link("other").send(Want(("a",)))
    other.link("one").send(Want(("b",)))
    await until(lambda: len(received) == 2)
    assert sorted(received, key=str) == [("one", Want(("a",))), ("other", Want(("b",)))]
    await one.close()
    await until(lambda: not other.links())
    await other.close()


@loopback
async def test_links_that_are_coming_up_do_not_hold_up_the_end():
    """One whose machine says nothing, one that nobody listens for, one that has not said who it is."""
    mesh = Mesh(Hello("one", ""), lambda link, message: None, lambda _: None)
    await mesh.listen(Address("127.0.0.1", 0))
    accepted = asyncio.Event()

    async def say_nothing(reader, writer):
        accepted.set()
        await reader.read()
        writer.close()

    silent = await asyncio.start_server(say_nothing, "127.0.0.1", 0)
    nobody = await asyncio.start_server(say_nothing, "127.0.0.1", 0)
    ports = [server.sockets[0].getsockname()[1] for server in (silent, nobody)]
    nobody.close()
    mesh.dial([f"127.0.0.1:{port}" for port in ports])
    await accepted.wait()
    _, writer = await asyncio.open_connection(*mesh._server.sockets[0].getsockname())
    await until(lambda: mesh._accepted)
    dials = list(mesh._dials.values())
    async with asyncio.timeout(1.0):
        await mesh.close()
        await asyncio.wait(dials)
    writer.close()
    silent.close()


@loopback
async def test_a_link_that_is_cancelled_as_the_process_ends_is_no_fault():
    """Two sides that close at once may not notice each other in time; what is left is cancelled."""
    faults = []
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: faults.append(context))
    one = Mesh(Hello("one", ""), lambda link, message: None, lambda _: None)
    other = Mesh(Hello("other", ""), lambda link, message: None, lambda _: None)
    await other.listen(Address("127.0.0.1", 0))
    one.dial([f"127.0.0.1:{other._server.sockets[0].getsockname()[1]}"])
    await until(lambda: one.links() and other.links())
    (accepted,) = other._accepted
    accepted.cancel()
    await asyncio.wait([accepted])
    await asyncio.sleep(0)
    assert not faults
    assert not accepted.cancelled()
    await one.close()
    await other.close()
