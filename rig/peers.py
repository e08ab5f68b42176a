"""The way between sidecars: datagrams that come late or not at all.

Each sidecar has an address here that stands for it. What comes from a sidecar to another's address leaves
from the sender's own, so that it arrives as if sent from there; one more address stands for all.
"""

from __future__ import annotations

import asyncio
import random
import socket
from collections.abc import Sequence
from typing import Any

LATE_MS = (1.4, 35.0)
LOST = 0.01
DATAGRAM_MOST = 256  # bytes; a longer one is dropped
PENDING_MOST = 10_000

Address = tuple[str, int]


class PeerNet:
    """The datagrams of one tier."""

    def __init__(
        self,
        sidecars: Sequence[str],
        seed: int = 1,
        late_ms: tuple[float, float] = LATE_MS,
        lost: float = LOST,
    ) -> None:
        self._rng = random.Random(f"peers/{seed}")
        self._late_ms = late_ms
        self._lost = lost
        self._loop = asyncio.get_running_loop()
        self._endpoints: list[_Endpoint] = []
        self._timers: set[asyncio.TimerHandle] = set()
        self._count = len(sidecars)
        self.listens: list[Address] = [_free_port() for _ in sidecars]  # where sidecars listen
        self.delivered = 0
        self.dropped = 0

    async def start(self) -> PeerNet:
        """Bind an address for each sidecar, and one for all."""
        for number in range(self._count + 1):
            made = await self._loop.create_datagram_endpoint(
                lambda number=number: _Endpoint(self, number),  # type: ignore[misc]
                local_addr=("127.0.0.1", 0),
            )
            self._endpoints.append(made[1])
        return self

    def stop(self) -> None:
        """Close all."""
        for timer in self._timers:
            timer.cancel()
        for endpoint in self._endpoints:
            endpoint.transport.close()

    def config_of(self, number: int) -> dict[str, Any]:
        """What the configuration of one sidecar holds of its peers."""
        names = [endpoint.address for endpoint in self._endpoints]
        host, port = self.listens[number]
        return {"peer_listen": f"{host}:{port}", "peers": names[:-1], "peers_all": names[-1]}

    def came(self, to: int, data: bytes, source: Address) -> None:
        """A datagram at the address of one, or of all."""
        if source not in self.listens or len(data) > DATAGRAM_MOST:
            self.dropped += 1
            return
        sender = self.listens.index(source)
        for number in range(self._count) if to == self._count else (to,):
            if number == sender:
                continue
            if self._rng.random() < self._lost or len(self._timers) >= PENDING_MOST:
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
    """One address."""

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
        self._net.came(self._number, data, (str(source[0]), source[1]))

    def error_received(self, error: Exception) -> None:
        """A sidecar is not there: datagrams may be lost."""


def _free_port() -> Address:
    """A port that nobody holds now. A sidecar binds it itself, and again after a crash."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        host, port = sock.getsockname()
        return str(host), int(port)
