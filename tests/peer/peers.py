"""Helpers that create connections and meshes over loopback."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator

from fordtrestle.peer.connection import Connection
from fordtrestle.peer.mesh import Mesh
from fordtrestle.peer.messages import Hello
from fordtrestle.settings.records import Address


class Receiver:
    """A server for one connection that records received messages."""

    def __init__(self) -> None:
        self.received: list[object] = []
        self.connections: list[Connection] = []
        self.has_ended = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = Connection(reader, writer)
        self.connections.append(connection)
        await connection.run(self.received.append)
        self.has_ended.set()


@contextlib.asynccontextmanager
async def connected() -> AsyncIterator[tuple[Receiver, asyncio.StreamReader, asyncio.StreamWriter]]:
    """Start a receiver and connect a stream to it over loopback."""
    receiver = Receiver()
    server = await asyncio.start_server(receiver.serve, "127.0.0.1", 0)
    reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
    try:
        yield receiver, reader, writer
    finally:
        writer.close()
        server.close()


def make_mesh(name: str, on_message=lambda link, message: None) -> Mesh:
    """Create a mesh that does not listen yet and ignores new links."""
    return Mesh(Hello(name, ""), on_message, lambda link: None)


async def listen(mesh: Mesh) -> str:
    """Let a mesh listen on a free loopback port, and return its HOST:PORT."""
    await mesh.listen(Address("127.0.0.1", 0))
    return address_of(mesh)


def address_of(mesh: Mesh) -> str:
    """Return HOST:PORT that a mesh listens on."""
    assert mesh._server is not None
    return f"127.0.0.1:{mesh._server.sockets[0].getsockname()[1]}"
