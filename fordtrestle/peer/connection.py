"""Drives one connection between two processes: connects the protocol to a socket and a clock."""

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

READ_BYTES = 64 * 1024  # per read: as much as a stream buffers by itself
# Larger than the largest state. With more unsent bytes the peer is not reading, and the connection is closed.
MAX_BUFFER_BYTES = 16 * 1024 * 1024


class Connection:
    """One connection to a peer, which sends without blocking and delivers received messages to a callback.

    `run` returns when the connection has ended. Until then keep-alives show the peer that this process is up,
    and the connection is closed if nothing is received for `PEER_TIMEOUT_S`, since a machine that loses power
    does not close its sockets.
    """

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer
        self._received_at = asyncio.get_running_loop().time()
        self._protocol = PeerProtocol(self._received_at)
        sock = writer.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    @property
    def state(self) -> ConnectionState:
        """The state of the connection: in its handshake, open or closed."""
        return self._protocol.state

    @property
    def received_at(self) -> float:
        """When the last bytes were received, in seconds of the loop's clock."""
        return self._received_at

    @property
    def skipped_messages(self) -> int:
        """The number of received messages that were skipped because they are of other protocol versions."""
        return self._protocol.skipped_messages

    def send(self, message: Any) -> bool:
        """Send a message; return `False` if the connection cannot take it or the message is too large."""
        framed = frame_message(message)
        return framed is not None and self.write_frame(framed)

    def write_frame(self, framed: bytes) -> bool:
        """Send a framed message; return `False` if the connection cannot take it any more."""
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
            PeerError: the peer has closed the connection, or sent an invalid message.
            TimeoutError: nothing was received for `PEER_TIMEOUT_S`.
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
        """Pass messages to `on_message` until the connection ends, skipping those of other versions."""
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
        """Abort the connection, discarding unsent bytes."""
        self._protocol.close()
        with contextlib.suppress(OSError, RuntimeError):
            self._writer.transport.abort()

    async def _read(self) -> bytes:
        """Read the next bytes.

        The timeout counts from the start of the read and not from the last frame. So a long frame may take as
        long as it needs on a slow link while bytes of it arrive, and a process that was itself busy does not
        give up a healthy peer.
        """
        async with asyncio.timeout(PEER_TIMEOUT_S):
            data = await self._reader.read(READ_BYTES)
        if not data:
            raise ConnectionLostError("the peer has closed the connection")
        self._received_at = asyncio.get_running_loop().time()
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
