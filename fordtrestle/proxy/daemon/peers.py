"""Short messages between sidecars, over UDP: late or not at all."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from fordtrestle.proxy.engine.log import log
from fordtrestle.proxy.engine.ports import Address

MAX_MESSAGE_BYTES = 256  # the most that a sidecar sends, so that a longer one is of somebody else


@dataclass(frozen=True, slots=True)
class PeerOptions:
    """Where this sidecar and its peers are.

    Attributes:
        bind: Where messages arrive; None: none do.
        me: The index of this sidecar among the peers.
        addresses: Where the peers are, this one included.
        all: Where a message for all peers is sent; None: there is no such place.
    """

    bind: Address | None = None
    me: int = 0
    addresses: tuple[Address, ...] = ()
    all: Address | None = None


class Peers(asyncio.DatagramProtocol):
    """The other sidecars of the tier: sends them messages, and passes on theirs."""

    def __init__(self, options: PeerOptions, on_message: Callable[[int, bytes], None]) -> None:
        """Create it closed.

        Args:
            options: Where the peers are.
            on_message: Called with the sender's index and the message.
        """
        self._bind = options.bind
        self._me = options.me
        self._addresses = options.addresses
        self._all = options.all
        self._indexes = {address: index for index, address in enumerate(options.addresses)}
        self._on_message = on_message
        self._transport: asyncio.DatagramTransport | None = None

    async def listen(self, loop: asyncio.AbstractEventLoop) -> None:
        """Bind where messages arrive, if anywhere.

        Raises:
            OSError: The address can't be bound.
        """
        if self._bind is not None:
            await loop.create_datagram_endpoint(lambda: self, local_addr=self._bind)

    def send(self, peer: int | None, data: bytes) -> None:
        """Send a message to one peer, or to all if `peer` is None; it may be lost."""
        if self._transport is None or len(data) > MAX_MESSAGE_BYTES:
            log(f"a message of {len(data)} bytes to peer {peer} can't be sent")
            return
        if peer is not None:
            if 0 <= peer < len(self._addresses):
                self._transport.sendto(data, self._addresses[peer])
        elif self._all is not None:
            self._transport.sendto(data, self._all)

    def connection_made(self, transport: Any) -> None:
        """The socket is bound."""
        self._transport = transport

    def datagram_received(self, data: bytes, source: tuple[str | Any, int]) -> None:
        """A message has come; one that is too long, of no peer or one's own is ignored."""
        index = self._indexes.get(Address(source[0], source[1]))
        if index is not None and index != self._me and len(data) <= MAX_MESSAGE_BYTES:
            self._on_message(index, data)

    def error_received(self, error: Exception) -> None:
        """A peer is not there: messages may be lost."""

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
