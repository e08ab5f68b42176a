"""Short messages between sidecars over UDP, which may be delayed or lost."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from fordtrestle.proxy.engine.log import log
from fordtrestle.proxy.engine.ports import Address

MAX_MESSAGE_BYTES = 256  # sidecars send no longer messages, so a longer one is from another sender


@dataclass(frozen=True, slots=True)
class PeerOptions:
    """The addresses of this sidecar and its peers.

    Attributes:
        bind: The address at which messages are received; None to receive none.
        own_index: The index of this sidecar among the peers.
        addresses: The address of each peer by its index, this sidecar included.
        broadcast: The address for messages to all peers; None if there is none.
    """

    bind: Address | None = None
    own_index: int = 0
    addresses: tuple[Address, ...] = ()
    broadcast: Address | None = None


class Peers(asyncio.DatagramProtocol):
    """The other sidecars of the tier: sends them messages, and delivers the messages received from them."""

    def __init__(self, options: PeerOptions, on_message: Callable[[int, bytes], None]) -> None:
        """Create it without a socket; `listen` opens one.

        Args:
            options: The addresses of the peers.
            on_message: Called with the sender's index and the message.
        """
        self._bind = options.bind
        self._own_index = options.own_index
        self._addresses = options.addresses
        self._broadcast = options.broadcast
        self._indices = {address: index for index, address in enumerate(options.addresses)}
        self._on_message = on_message
        self._transport: asyncio.DatagramTransport | None = None

    async def listen(self, loop: asyncio.AbstractEventLoop) -> None:
        """Open the socket for messages, if an address for it is configured.

        Raises:
            OSError: The address can't be bound.
        """
        if self._bind is not None:
            await loop.create_datagram_endpoint(lambda: self, local_addr=self._bind)

    def send(self, peer: int | None, data: bytes) -> None:
        """Send a message to one peer, or to all if `peer` is None; the message may be lost."""
        if self._transport is None or len(data) > MAX_MESSAGE_BYTES:
            log(f"a message of {len(data)} bytes to peer {peer} can't be sent")
            return
        if peer is not None:
            if 0 <= peer < len(self._addresses):
                self._transport.sendto(data, self._addresses[peer])
        elif self._broadcast is not None:
            self._transport.sendto(data, self._broadcast)

    def connection_made(self, transport: Any) -> None:
        """Keep the transport of the bound socket."""
        self._transport = transport

    def datagram_received(self, data: bytes, source: tuple[str | Any, int]) -> None:
        """Deliver a message, unless it is too long, from this sidecar itself or from no known peer."""
        index = self._indices.get(Address(source[0], source[1]))
        if index is not None and index != self._own_index and len(data) <= MAX_MESSAGE_BYTES:
            self._on_message(index, data)

    def error_received(self, error: Exception) -> None:
        """Ignore an error such as an unreachable peer: messages may be lost."""

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
