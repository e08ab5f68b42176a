"""The components that all roles share: the mesh, the gossip, signals, and monitoring of other processes."""

from __future__ import annotations

import asyncio
import random
import secrets
import signal
import time
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import eliot

from fordtrestle.dissemination.catalog import Catalog
from fordtrestle.dissemination.items import MEMBER_PREFIX, Availability, Item, MemberRecord, member_item
from fordtrestle.dissemination.messages import GossipMessage, IndirectProbe, IndirectProbeAck
from fordtrestle.dissemination.ownership import live_nodes, owner_of
from fordtrestle.dissemination.suspicion import MAX_INDIRECT_PROBES, Suspicion
from fordtrestle.peer.gossip import Gossip
from fordtrestle.peer.handshake import OLDEST_PROTOCOL_VERSION, PROTOCOL_VERSION
from fordtrestle.peer.link import Link
from fordtrestle.peer.mesh import Mesh
from fordtrestle.peer.messages import Hello
from fordtrestle.roles.early_sigterm import EarlySigterm
from fordtrestle.roles.monitored_nodes import MonitoredNodes
from fordtrestle.roles.settings_watcher import SettingsWatcher
from fordtrestle.roles.shutdown import ShutdownBudget
from fordtrestle.roles.stall_monitor import StallMonitor
from fordtrestle.settings.records import Address, BootSettings

CONTROL_ROLE = "control"
SIDECAR_ROLE = "sidecar"
MAX_CONTROL_LINKS = 9  # control processes dialled in addition to the seeds: bounds the number of links
MAINTENANCE_INTERVAL_S = 1.0  # between checks of the settings, the membership and the suspicions
LINKS_CLOSE_TIMEOUT_S = 0.6  # a little longer than closing the links can take
_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def peer_address(boot: BootSettings, host: str, role: str) -> str:
    """Return where a process listens for others; two roles on one machine use the same range of ports."""
    return f"{host}:{boot.internal_ports[0] + (role != CONTROL_ROLE)}"


class Process:
    """One process of the system and its connections to the others.

    A role sets `on_items` and `on_message` before it calls `start`.

    Attributes:
        boot: The settings; the seeds are updated when the file changes.
        role: `CONTROL_ROLE` or `SIDECAR_ROLE`.
        rng: The random source of the process.
        shutdown_requested: Set by SIGTERM and SIGINT.
        stalls: Detects that this process stood still.
        mesh: The links to other processes.
        gossip: Disseminates items over the links.
        on_items: Called with catalog items that are new here.
        on_message: Called with the link and each message that is not about gossip or probes.
        on_link_up: Called with each new link.
    """

    def __init__(self, boot: BootSettings, role: str) -> None:
        """Create a process that neither listens nor dials yet."""
        self.boot = boot
        self.role = role
        self.rng = random.Random(secrets.randbits(64))
        self.shutdown_requested = asyncio.Event()
        self._shutdown_requested_at: float | None = None  # in seconds of the loop's clock
        self.stalls = StallMonitor()
        peer = peer_address(boot, boot.ip, role)
        hello = Hello(boot.node_name, peer, PROTOCOL_VERSION, OLDEST_PROTOCOL_VERSION)
        self.mesh = Mesh(hello, self._on_peer_message, self._on_link_up)
        incarnation = int(
            time.time()
        )  # increases with each start; `Gossip` corrects it if the clock was set back
        me = _member_record(boot, role, peer)
        self.gossip = Gossip(Catalog(), self.mesh, me, incarnation, self._on_new_items)
        self._monitored = MonitoredNodes(boot.node_name)
        self._suspicion = Suspicion()
        self._settings = SettingsWatcher()
        self.on_items: Callable[[list[Item]], None] = lambda items: None
        self.on_message: Callable[[Link, Any], None] = lambda link, message: None
        self.on_link_up: Callable[[Link], None] = lambda link: None

    async def start(self) -> None:
        """Install signal handlers, listen for other processes and start to dial them.

        Raises:
            OSError: The address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._request_shutdown)
        loop.add_signal_handler(signal.SIGHUP, lambda: None)  # the file is polled anyway
        self.stalls.start()
        await self.mesh.listen(Address.parse(self.gossip.me.peer))
        self.dial()
        self.announce(Availability.STARTING)

    def handle_early_sigterm(self, early_sigterm: EarlySigterm) -> None:
        """Shut down if SIGTERM was received before this process handled signals."""
        early_sigterm.release()
        if early_sigterm.received_at is not None:
            self._shutdown_requested_at = early_sigterm.received_at
            self.shutdown_requested.set()

    def begin_shutdown(self) -> ShutdownBudget:
        """Start the grace period, and ignore further signals.

        The platform's period began when it sent the signal, which may have been while this process stood
        still.

        A second SIGTERM must not cut the shutdown short. The handlers are removed first: closing the
        loop would restore the default action of their signals, which ends the process with another exit code.
        """
        budget = ShutdownBudget(self.boot.bounds.grace_s, self._shutdown_requested_at)
        budget.start_watchdog()
        loop = asyncio.get_running_loop()
        for signal_number in _SIGNALS:
            loop.remove_signal_handler(signal_number)
            signal.signal(signal_number, signal.SIG_IGN)
        return budget

    def _request_shutdown(self) -> None:
        if self._shutdown_requested_at is None:
            self._shutdown_requested_at = self.stalls.earliest_arrival(asyncio.get_running_loop().time())
        self.shutdown_requested.set()

    def announce(self, availability: Availability) -> None:
        """Publish the availability of this process to all others."""
        self.gossip.announce(replace(self.gossip.me, availability=availability))

    def dial(self) -> None:
        """Dial the seeds, up to `MAX_CONTROL_LINKS` control processes, and the members to monitor."""
        members = [m for m, _ in self.gossip.catalog.members() if m.availability is not Availability.DOWN]
        addresses = {peer_address(self.boot, seed.host, CONTROL_ROLE) for seed in self.boot.seeds}
        controls = sorted(member.peer for member in members if member.role == CONTROL_ROLE)
        addresses.update(controls[:MAX_CONTROL_LINKS])
        self._monitored.update({member.node for member in members}, asyncio.get_running_loop().time())
        addresses.update(member.peer for member in members if member.node in self._monitored.names)
        self.mesh.dial(addresses)

    async def maintain_links(self) -> None:
        """Apply changes of the settings and the membership, and monitor members, until cancelled."""
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)
            self._reload()
            self.dial()
            self._monitor()

    def is_control(self, peer: str) -> bool:
        """Return whether an address is that of a control process: they all use the same peer port."""
        return peer.endswith(f":{self.boot.internal_ports[0]}")

    def round_trip_s(self, region: str) -> float | None:
        """Return the shortest round trip to a region's members in seconds; `None` before any connection."""
        peers = [m.peer for m, _ in self.gossip.catalog.members() if m.region == region]
        known = [self.mesh.round_trips[peer] for peer in peers if peer in self.mesh.round_trips]
        return min(known, default=None)

    def owner_link(self, key: str) -> Link | None:
        """Return the link to the control process that owns a key; `None` if there is no link or no owner."""
        members = [member for member, _ in self.gossip.catalog.members()]
        owner = owner_of(key, live_nodes(members, CONTROL_ROLE))
        return self.mesh.link(owner) if owner else None

    def linked_nodes(self) -> set[str]:
        """Return the nodes that have a link."""
        return {link.node for link in self.mesh.links()}

    def _reload(self) -> None:
        """Apply the seeds of a changed settings file."""
        self.boot = self._settings.reload(self.boot)

    def _monitor(self) -> None:
        """Send indirect probes for suspected members, and publish those that are down."""
        now = asyncio.get_running_loop().time()
        effects = self._suspicion.tick(self._monitored.names, self.linked_nodes(), now)
        for node in effects.probe:
            for link in self.rng.sample(self.mesh.links(), min(MAX_INDIRECT_PROBES, len(self.mesh.links()))):
                link.send(IndirectProbe(node))
        for node in effects.down:
            self._publish_down(node)

    def _publish_down(self, node: str) -> None:
        item = self.gossip.catalog.get(MEMBER_PREFIX + node)
        if item and isinstance(item.value, MemberRecord):
            eliot.log_message("members:down", node=node)
            down = replace(item.value, availability=Availability.DOWN)
            self.gossip.publish([member_item(down, item.version[0], item.version[1])])

    def _on_peer_message(self, link: Link, message: Any) -> None:
        if isinstance(message, GossipMessage):
            self.gossip.on_message(link, message)
        elif isinstance(message, IndirectProbe):
            if self.mesh.link(message.node):
                link.send(IndirectProbeAck(message.node))
        elif isinstance(message, IndirectProbeAck):
            self._suspicion.on_probe_ack(message.node, asyncio.get_running_loop().time())
        else:
            self.on_message(link, message)

    def _on_link_up(self, link: Link) -> None:
        self.gossip.on_link_up(link)
        self.on_link_up(link)

    def _on_new_items(self, items: list[Item]) -> None:
        self.on_items(items)


def _member_record(boot: BootSettings, role: str, peer: str) -> MemberRecord:
    """Create the member record of a starting process."""
    return MemberRecord(
        node=boot.node_name,
        role=role,
        zone=boot.zone,
        region=boot.region,
        peer=peer,
        front=str(boot.listen.get("front", "")),
        availability=Availability.STARTING,
    )
