"""Short messages between sidecars, over UDP: late or not at all."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from fordtrestle.proxy.engine.log import log
from fordtrestle.proxy.engine.ports import Address

MESSAGE_MOST = 256


@dataclass(frozen=True, slots=True)
class PeerOptions:
    """Where messages arrive, None for nowhere; the own number among the peers, and where they are."""

    bind: Address | None = None
    me: int = 0
    addresses: tuple[Address, ...] = ()
    all: Address | None = None


class Peers(asyncio.DatagramProtocol):
    """The other sidecars of the tier."""

    def __init__(self, options: PeerOptions, hear: Callable[[int, bytes], None]) -> None:
        self._bind = options.bind
        self._me = options.me
        self._addresses = options.addresses
        self._all = options.all
        self._numbers = {address: number for number, address in enumerate(options.addresses)}
        self._hear = hear
        self._transport: asyncio.DatagramTransport | None = None

    async def listen(self, loop: asyncio.AbstractEventLoop) -> None:
        """Bind where messages arrive, if anywhere."""
        if self._bind is not None:
            await loop.create_datagram_endpoint(lambda: self, local_addr=self._bind)

    def send(self, peer: int | None, data: bytes) -> None:
        """Send a message to one peer, or to all."""
        if self._transport is None or len(data) > MESSAGE_MOST:
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
        """A message; what is too long, unknown or one's own is junk."""
        number = self._numbers.get(Address(source[0], source[1]))
        if number is not None and number != self._me and len(data) <= MESSAGE_MOST:
            self._hear(number, data)

    def error_received(self, error: Exception) -> None:
        """A peer is not there: messages may be lost."""

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
