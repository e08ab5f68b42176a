"""Drives one connection between two processes: a socket, a clock, and the protocol between them."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable
from typing import Any

import eliot

from fordtrestle.peer.errors import ConnectionLostError, PeerError
from fordtrestle.peer.frames import KEEPALIVE_FRAME, frame_message
from fordtrestle.peer.protocol import (
    PEER_TIMEOUT_S,
    ConnectionState,
    MessageReceived,
    MessageSkipped,
    PeerProtocol,
)

READ_BYTES = 64 * 1024  # at once: as much as a stream buffers by itself
# Unsent bytes, more than the largest state: beyond them the other side does not read, and is given up.
MAX_BUFFER_BYTES = 16 * 1024 * 1024


class Connection:
    """Sends without waiting, and hands over the messages that come.

    `run` returns when the connection has ended. Until then keep-alives show the other side that this process
    is there, and a connection over which nothing comes for `PEER_TIMEOUT_S` is given up: a machine that has
    lost its power closes no sockets.
    """

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer
        self._protocol = PeerProtocol(asyncio.get_running_loop().time())
        sock = writer.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    @property
    def state(self) -> ConnectionState:
        """Whether the connection is in its handshake, open or closed."""
        return self._protocol.state

    @property
    def skipped_messages(self) -> int:
        """How many messages of other versions of the protocol have come."""
        return self._protocol.skipped_messages

    def send(self, message: Any) -> bool:
        """Send a message; return whether the connection takes it, and its receiver would."""
        framed = frame_message(message)
        return framed is not None and self.write_frame(framed)

    def write_frame(self, framed: bytes) -> bool:
        """Send a message that was framed before; return whether the connection still takes any."""
        transport = self._writer.transport
        if transport.is_closing():
            return False
        if transport.get_write_buffer_size() > MAX_BUFFER_BYTES:
            self.close()
            return False
        transport.write(framed)
        self._protocol.on_sent(asyncio.get_running_loop().time())
        return True

    async def receive(self) -> Any:
        """Return the next message.

        Raises:
            PeerError: the other side has ended the connection, or sent what is no message.
            TimeoutError: nothing has come for `PEER_TIMEOUT_S`.
            OSError: the connection has failed.
        """
        while True:
            match self._protocol.next_event():
                case MessageReceived(message):
                    return message
                case MessageSkipped(reason, is_first):
                    if is_first:
                        eliot.log_message("peer:message-skipped", reason=reason)
                case None:
                    self._protocol.receive_data(await self._read())

    async def run(self, on_message: Callable[[Any], None]) -> None:
        """Hand over messages until the connection ends; those of other versions are skipped."""
        self._protocol.open()
        async with asyncio.TaskGroup() as tasks:
            keepalives = tasks.create_task(self._send_keepalives())
            try:
                while True:
                    on_message(await self.receive())
            except (OSError, TimeoutError, PeerError):
                return
            finally:
                keepalives.cancel()
                self.close()

    def close(self) -> None:
        """End the connection at once, without sending what waits."""
        self._protocol.close()
        with contextlib.suppress(OSError, RuntimeError):
            self._writer.transport.abort()

    async def _read(self) -> bytes:
        """Return the bytes that come next.

        The time-out counts from here and not from the last frame: a long frame may take as long as it needs
        on a thin link, as long as bytes of it come, and a process that was busy itself does not blame the
        other side.
        """
        async with asyncio.timeout(PEER_TIMEOUT_S):
            data = await self._reader.read(READ_BYTES)
        if not data:
            raise ConnectionLostError("the other side has ended the connection")
        return data

    async def _send_keepalives(self) -> None:
        loop = asyncio.get_running_loop()
        transport = self._writer.transport
        while not transport.is_closing():
            now = loop.time()
            if self._protocol.is_idle(now):
                transport.write(KEEPALIVE_FRAME)
                self._protocol.on_sent(now)
            await asyncio.sleep(self._protocol.keepalive_due_at - now)
