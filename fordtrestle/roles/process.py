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

from fordtrestle.dissemination.catalog import Catalog
from fordtrestle.dissemination.items import MEMBER_PREFIX, Availability, Item, MemberRecord, member_item
from fordtrestle.dissemination.messages import GossipMessage, IndirectProbe, IndirectProbeAck
from fordtrestle.dissemination.ownership import live_nodes, owner_of
from fordtrestle.dissemination.suspicion import MAX_INDIRECT_PROBES, Suspicion, monitored_by
from fordtrestle.peer.gossip import Gossip
from fordtrestle.peer.handshake import OLDEST_PROTOCOL_VERSION, PROTOCOL_VERSION
from fordtrestle.peer.link import Link
from fordtrestle.peer.mesh import Mesh
from fordtrestle.peer.messages import Hello
from fordtrestle.roles import metrics
from fordtrestle.roles.ending import Ending
from fordtrestle.settings.boot import read_settings
from fordtrestle.settings.errors import SettingsError
from fordtrestle.settings.records import Address, BootSettings
from fordtrestle.settings.settings_file import read_settings_bytes

CONTROL_ROLE = "control"
SIDECAR_ROLE = "sidecar"
CONTROLS_MOST = 9
DIAL_S = 1.0
REDRAW_S = (
    5.0  # between draws of who watches whom, where they are many: each costs the square of their number
)
NODES_FEW = 64
ENDPOINT_S = 0.2  # for the endpoints of the system's own to end in; aiohttp's default is 60 s
LINKS_S = 0.6  # for links to end in: a little longer than they take at the most
EXIT_FAILED, EXIT_BAD_INPUT = 1, 2


def peer_address(boot: BootSettings, host: str, role: str) -> str:
    """Where a role's process listens for others: two roles on one machine share its range of ports."""
    return f"{host}:{boot.internal_ports[0] + (role != CONTROL_ROLE)}"


class Process:
    """The mesh, the gossip and the signals of one process."""

    def __init__(self, boot: BootSettings, role: str) -> None:
        self.boot = boot
        self.role = role
        self.rng = random.Random(secrets.randbits(64))
        self.stopping = asyncio.Event()
        peer = peer_address(boot, boot.ip, role)
        hello = Hello(boot.node_name, peer, PROTOCOL_VERSION, OLDEST_PROTOCOL_VERSION)
        self.mesh = Mesh(hello, self._received, self._linked)
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
        self._nodes: set[str] = set()  # members, as the watches were last drawn among them
        self._watched: set[str] = set()
        self._drawn_at = 0.0
        self._suspicion = Suspicion()
        self._settings = read_settings_bytes()
        self.on_items: Callable[[list[Item]], None] = lambda items: None
        self.on_message: Callable[[Link, Any], None] = lambda link, message: None

    async def start(self) -> None:
        """Listen to other processes and begin to dial them. Raises `OSError`."""
        loop = asyncio.get_running_loop()
        for name in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(name, self.stopping.set)
        loop.add_signal_handler(signal.SIGHUP, lambda: None)
        await self.mesh.listen(Address.parse(self.gossip.me.peer))
        self.dial()
        self.announce(Availability.STARTING)

    def begin_to_end(self) -> Ending:
        """Begin to count the grace, and heed no further signal; a second one must not cut the end short."""
        ending = Ending(self.boot.bounds.grace_s)
        ending.exit_at_last()
        loop = asyncio.get_running_loop()
        for name in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.remove_signal_handler(name)  # or closing the loop would give the signal its default again
            signal.signal(name, signal.SIG_IGN)
        return ending

    def announce(self, availability: Availability) -> None:
        """Tell all what this process can do now."""
        self.gossip.announce(replace(self.gossip.me, availability=availability))

    def dial(self) -> None:
        """Keep links to all control processes, and to the members that this one watches."""
        members = [m for m, _ in self.gossip.catalog.members() if m.availability is not Availability.DOWN]
        controls = {peer_address(self.boot, seed.host, CONTROL_ROLE) for seed in self.boot.seeds}
        controls.update(sorted(m.peer for m in members if m.role == CONTROL_ROLE)[:CONTROLS_MOST])
        nodes = {member.node for member in members}
        now = asyncio.get_running_loop().time()
        may_redraw = len(nodes) <= NODES_FEW or now - self._drawn_at >= REDRAW_S
        if nodes != self._nodes and may_redraw:
            self._nodes, self._drawn_at = nodes, now
            self._watched = monitored_by(self.boot.node_name, nodes)
        self.mesh.dial(controls | {member.peer for member in members if member.node in self._watched})

    async def keep_dialling(self) -> None:
        """Follow the membership until cancelled."""
        while True:
            await asyncio.sleep(DIAL_S)
            self._reload()
            self.dial()
            self._watch()

    def is_control(self, peer: str) -> bool:
        """Whether a control process listens at that address: they all have the same port for others."""
        return peer.endswith(f":{self.boot.internal_ports[0]}")

    def crossing_s(self, region: str) -> float | None:
        """The time there and back to a region, as links to its members came up; nothing while none has."""
        peers = [m.peer for m, _ in self.gossip.catalog.members() if m.region == region]
        known = [self.mesh.round_trips[peer] for peer in peers if peer in self.mesh.round_trips]
        return min(known, default=None)

    def _reload(self) -> None:
        """Take up the seeds of settings that have changed, with a signal or without.

        Settings that are wrong change nothing; what a running process cannot change waits for the next one.
        """
        standing = read_settings_bytes()
        if standing == self._settings:
            return
        self._settings = standing
        try:
            boot = read_settings()
        except SettingsError as error:
            eliot.log_message("settings:rejected", faults=list(error.faults))
            return
        followed = replace(self.boot, seeds=boot.seeds)
        needs_restart = replace(boot, bootstrap=followed.bootstrap) != followed
        eliot.log_message("settings:changed", needs_restart=needs_restart)
        self.boot = followed

    def _watch(self) -> None:
        """Tell of members that have gone, once others were asked about them too."""
        catalog = self.gossip.catalog
        effects = self._suspicion.tick(self._watched, self.in_touch(), asyncio.get_running_loop().time())
        for node in effects.probe:
            for link in self.rng.sample(self.mesh.links(), min(MAX_INDIRECT_PROBES, len(self.mesh.links()))):
                link.send(IndirectProbe(node))
        for node in effects.down:
            item = catalog.get(MEMBER_PREFIX + node)
            if item and isinstance(item.value, MemberRecord):
                eliot.log_message("members:down", node=node)
                down = replace(item.value, availability=Availability.DOWN)
                self.gossip.publish([member_item(down, item.version[0], item.version[1])])

    def owner_link(self, key: str) -> Link | None:
        """A link to the control process that is responsible for a key; nothing while there is none."""
        members = [member for member, _ in self.gossip.catalog.members()]
        owner = owner_of(key, live_nodes(members, CONTROL_ROLE))
        return self.mesh.link(owner) if owner else None

    def in_touch(self) -> set[str]:
        """The nodes that a link is up to."""
        return {link.node for link in self.mesh.links()}

    def _received(self, link: Link, message: Any) -> None:
        if isinstance(message, GossipMessage):
            self.gossip.on_message(link, message)
        elif isinstance(message, IndirectProbe):
            if self.mesh.link(message.node):
                link.send(IndirectProbeAck(message.node))
        elif isinstance(message, IndirectProbeAck):
            self._suspicion.on_probe_ack(message.node, asyncio.get_running_loop().time())
        else:
            self.on_message(link, message)

    def _linked(self, link: Link) -> None:
        self.gossip.on_link_up(link)

    def _changed(self, items: list[Item]) -> None:
        self.on_items(items)


async def serve_metrics(boot: BootSettings, figures: Callable[[], metrics.Figures]) -> list[web.AppRunner]:
    """Tell figures where the settings name a place for them. A place that is taken is no reason to end."""
    if boot.metrics is None:
        return []
    endpoint = boot.metrics
    try:
        return [await serve_http(metrics.application(endpoint.path, figures), endpoint.address)]
    except (OSError, ValueError) as error:
        eliot.log_message("metrics:not-served", reason=str(error))
        return []


async def serve_http(application: web.Application, address: Address) -> web.AppRunner:
    """Serve an application of the system's own endpoints. Raises `OSError`."""
    runner = web.AppRunner(
        application, access_log=None, handle_signals=False, shutdown_timeout=ENDPOINT_S / 2
    )
    await runner.setup()
    site = web.TCPSite(runner, address.host, address.port, backlog=512)
    await site.start()
    return runner


def main(run: Callable[[BootSettings], Awaitable[int]]) -> int:
    """Read the settings and run a role; the exit code."""
    eliot.to_file(sys.stderr)
    try:
        boot = read_settings()
    except SettingsError as error:
        for fault in error.faults:
            print(f"fordtrestle: {fault}", file=sys.stderr)
        return EXIT_BAD_INPUT
    try:
        return asyncio.run(_run(run, boot))
    except OSError as error:  # as it starts: an address that is taken, for one
        eliot.log_message("process:failed", reason=str(error))
    return EXIT_FAILED


async def _run(run: Callable[[BootSettings], Awaitable[int]], boot: BootSettings) -> int:
    return await run(boot)
