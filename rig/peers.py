"""Network between sidecars, which delays and loses datagrams.

Each sidecar has a proxy address here. A datagram from one sidecar to the proxy address of another is sent on
from the proxy address of the sender, so that the receiver sees that as its source. One more address forwards
to all sidecars.
"""

from __future__ import annotations

import asyncio
import random
import socket
from collections.abc import Sequence
from typing import Any

DELAY_MS = (1.4, 35.0)
LOSS_RATE = 0.01
MAX_DATAGRAM_BYTES = 256  # longer ones are dropped
MAX_PENDING = 10_000

Address = tuple[str, int]


class PeerNet:
    """Forwards the datagrams between the sidecars of one tier."""

    def __init__(
        self,
        sidecars: Sequence[str],
        seed: int = 1,
        late_ms: tuple[float, float] = DELAY_MS,
        lost: float = LOSS_RATE,
    ) -> None:
        self._rng = random.Random(f"peers/{seed}")
        self._late_ms = late_ms
        self._lost = lost
        self._loop = asyncio.get_running_loop()
        self._endpoints: list[_Endpoint] = []
        self._timers: set[asyncio.TimerHandle] = set()
        self._count = len(sidecars)
        self.listens: list[Address] = [
            _free_port() for _ in sidecars
        ]  # addresses that the sidecars listen on
        self.delivered = 0
        self.dropped = 0

    async def start(self) -> PeerNet:
        """Bind a proxy address for each sidecar, and one that forwards to all."""
        for number in range(self._count + 1):
            made = await self._loop.create_datagram_endpoint(
                lambda number=number: _Endpoint(self, number),  # type: ignore[misc]
                local_addr=("127.0.0.1", 0),
            )
            self._endpoints.append(made[1])
        return self

    def stop(self) -> None:
        """Cancel pending datagrams and close all addresses."""
        for timer in self._timers:
            timer.cancel()
        for endpoint in self._endpoints:
            endpoint.transport.close()

    def config_of(self, number: int) -> dict[str, Any]:
        """Return the peer settings of a sidecar."""
        names = [endpoint.address for endpoint in self._endpoints]
        host, port = self.listens[number]
        return {"peer_listen": f"{host}:{port}", "peers": names[:-1], "peers_all": names[-1]}

    def forward(self, to: int, data: bytes, source: Address) -> None:
        """Forward a datagram to the sidecar number `to`, or to all others."""
        if source not in self.listens or len(data) > MAX_DATAGRAM_BYTES:
            self.dropped += 1
            return
        sender = self.listens.index(source)
        for number in range(self._count) if to == self._count else (to,):
            if number == sender:
                continue
            if self._rng.random() < self._lost or len(self._timers) >= MAX_PENDING:
                self.dropped += 1
                continue
            self._later(self._rng.uniform(*self._late_ms) / 1000.0, sender, number, data)

    def _later(self, late_s: float, sender: int, number: int, data: bytes) -> None:
        def run() -> None:
            self._timers.discard(timer)
            self.delivered += 1
            self._endpoints[sender].transport.sendto(data, self.listens[number])

        timer = self._loop.call_later(late_s, run)
        self._timers.add(timer)


class _Endpoint(asyncio.DatagramProtocol):
    """A proxy address."""

    def __init__(self, net: PeerNet, number: int) -> None:
        self._net = net
        self._number = number
        self.transport: asyncio.DatagramTransport

    @property
    def address(self) -> str:
        host, port = self.transport.get_extra_info("sockname")
        return f"{host}:{port}"

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, source: tuple[str | Any, int]) -> None:
        self._net.forward(self._number, data, (str(source[0]), source[1]))

    def error_received(self, error: Exception) -> None:
        """Ignore the error: the sidecar is down, and datagrams may be lost."""


def _free_port() -> Address:
    """Return a port that is free now. The sidecar binds it itself, and again after a crash."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        host, port = sock.getsockname()
        return str(host), int(port)
