"""What every role's process has in common: settings, logs, signals, its place among its fellows."""

from __future__ import annotations

import asyncio
import random
import secrets
import signal
import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

import eliot
from aiohttp import web
from returns.result import Failure, Success

from fordtrestle.dissemination.catalog import Catalog
from fordtrestle.dissemination.items import Availability, Item, MemberRecord
from fordtrestle.dissemination.messages import GossipMessage
from fordtrestle.dissemination.rendezvous import ranked
from fordtrestle.peer.codec import Hello
from fordtrestle.peer.gossip import Gossip
from fordtrestle.peer.mesh import Link, Mesh
from fordtrestle.settings.boot import Address, Boot, read

CONTROL_ROLE = "control"
SIDECAR_ROLE = "sidecar"
PEERS_EACH = 2  # sidecars that a sidecar keeps a link to, besides those of all control processes
CONTROLS_MOST = 9
DIAL_S = 1.0
EXIT_FAILED, EXIT_BAD_INPUT = 1, 2


def peer_address(boot: Boot, host: str, role: str) -> str:
    """Where a role's process listens for others: two roles on one machine share its range of ports."""
    return f"{host}:{boot.internal_ports[0] + (role != CONTROL_ROLE)}"


class Process:
    """The mesh, the gossip and the signals of one process."""

    def __init__(self, boot: Boot, role: str) -> None:
        self.boot = boot
        self.role = role
        self.rng = random.Random(secrets.randbits(64))
        self.stopping = asyncio.Event()
        peer = peer_address(boot, boot.ip, role)
        self.mesh = Mesh(Hello(boot.node_name, peer), self._received, self._linked)
        me = MemberRecord(
            node=boot.node_name,
            role=role,
            zone=boot.zone,
            region=boot.region,
            peer=peer,
            front=str(boot.listen.get("front", "")),
            availability=Availability.STARTING,
        )
        incarnation = int(time.time())  # an order among lives; where the clock went back, it is refuted
        self.gossip = Gossip(Catalog(), self.mesh, me, incarnation, self._changed)
        self.on_items: Callable[[list[Item]], None] = lambda items: None
        self.on_message: Callable[[Any], None] = lambda message: None

    async def start(self) -> None:
        """Listen to other processes and begin to dial them. Raises `OSError`."""
        loop = asyncio.get_running_loop()
        for name in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(name, self.stopping.set)
        loop.add_signal_handler(signal.SIGHUP, lambda: None)
        await self.mesh.listen(Address.parse(self.gossip.me.peer))
        self.dial()
        self.announce(Availability.STARTING)

    def announce(self, availability: Availability) -> None:
        """Tell all what this process can do now."""
        self.gossip.announce(replace(self.gossip.me, availability=availability))

    def dial(self) -> None:
        """Keep links to all control processes and to the few sidecars that rendezvous hashing draws."""
        members = [m for m, _ in self.gossip.catalog.members() if m.availability is not Availability.DOWN]
        controls = {peer_address(self.boot, seed.host, CONTROL_ROLE) for seed in self.boot.seeds}
        controls.update(sorted(m.peer for m in members if m.role == CONTROL_ROLE)[:CONTROLS_MOST])
        if self.role == SIDECAR_ROLE:
            peers = [m.peer for m in members if m.role == SIDECAR_ROLE and m.peer != self.gossip.me.peer]
            controls.update(ranked(self.boot.node_name, peers)[:PEERS_EACH])
        self.mesh.dial(controls)

    async def keep_dialling(self) -> None:
        """Follow the membership until cancelled."""
        while True:
            await asyncio.sleep(DIAL_S)
            self.dial()

    def in_touch(self) -> set[str]:
        """The nodes that a link is up to."""
        return {link.node for link in self.mesh.links()}

    def _received(self, link: Link, message: Any) -> None:
        if isinstance(message, GossipMessage):
            self.gossip.received(link, message)
        else:
            self.on_message(message)

    def _linked(self, link: Link) -> None:
        self.gossip.linked(link)

    def _changed(self, items: list[Item]) -> None:
        self.on_items(items)


async def serve_http(application: web.Application, address: Address) -> web.AppRunner:
    """Serve an application of the system's own endpoints. Raises `OSError`."""
    runner = web.AppRunner(application, access_log=None, handle_signals=False)
    await runner.setup()
    site = web.TCPSite(runner, address.host, address.port, backlog=512)
    await site.start()
    return runner


def main(run: Callable[[Boot], Awaitable[int]]) -> int:
    """Read the settings and run a role; the exit code."""
    eliot.to_file(sys.stderr)
    match read():
        case Failure(wrong):
            for line in wrong.faults:
                print(f"fordtrestle: {line}", file=sys.stderr)
            return EXIT_BAD_INPUT
        case Success(boot):
            return asyncio.run(_run(run, boot))
    return EXIT_FAILED


async def _run(run: Callable[[Boot], Awaitable[int]], boot: Boot) -> int:
    return await run(boot)
