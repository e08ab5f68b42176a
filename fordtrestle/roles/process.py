"""What the processes of all roles have in common: the mesh, the gossip, signals, and monitoring of others."""

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
from fordtrestle.roles.monitored_nodes import MonitoredNodes
from fordtrestle.roles.settings_watcher import SettingsWatcher
from fordtrestle.roles.shutdown import ShutdownBudget
from fordtrestle.settings.records import Address, BootSettings

CONTROL_ROLE = "control"
SIDECAR_ROLE = "sidecar"
MAX_CONTROL_LINKS = 9  # control processes that are dialled besides the seeds: a bound on links
MAINTENANCE_INTERVAL_S = 1.0  # between looks at the settings, the membership and the suspicions
LINKS_CLOSE_TIMEOUT_S = 0.6  # for links to close: a little longer than they take at the most
_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def peer_address(boot: BootSettings, host: str, role: str) -> str:
    """Where a role's process listens for others: two roles on one machine share its range of ports."""
    return f"{host}:{boot.internal_ports[0] + (role != CONTROL_ROLE)}"


class Process:
    """One process among the others of the system.

    A role sets `on_items` and `on_message` before `start`.

    Attributes:
        boot: The settings; the seeds follow the file.
        role: `CONTROL_ROLE` or `SIDECAR_ROLE`.
        rng: For all draws of the process.
        shutdown_requested: Set by SIGTERM and SIGINT.
        mesh: The links to others.
        gossip: Spreads items over them.
        on_items: Called with the items of the catalog that are new here.
        on_message: Called with each message that is none of the membership's, and the link that it came over.
    """

    def __init__(self, boot: BootSettings, role: str) -> None:
        """Make a process that neither listens nor dials yet."""
        self.boot = boot
        self.role = role
        self.rng = random.Random(secrets.randbits(64))
        self.shutdown_requested = asyncio.Event()
        peer = peer_address(boot, boot.ip, role)
        hello = Hello(boot.node_name, peer, PROTOCOL_VERSION, OLDEST_PROTOCOL_VERSION)
        self.mesh = Mesh(hello, self._on_peer_message, self._on_link_up)
        incarnation = int(time.time())  # rises with each start; where the clock went back, it is refuted
        me = _member_record(boot, role, peer)
        self.gossip = Gossip(Catalog(), self.mesh, me, incarnation, self._on_new_items)
        self._monitored = MonitoredNodes(boot.node_name)
        self._suspicion = Suspicion()
        self._settings = SettingsWatcher()
        self.on_items: Callable[[list[Item]], None] = lambda items: None
        self.on_message: Callable[[Link, Any], None] = lambda link, message: None

    async def start(self) -> None:
        """Listen to other processes and begin to dial them.

        Raises:
            OSError: The address cannot be had.
        """
        loop = asyncio.get_running_loop()
        for name in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(name, self.shutdown_requested.set)
        loop.add_signal_handler(signal.SIGHUP, lambda: None)  # the file is looked at anyway
        await self.mesh.listen(Address.parse(self.gossip.me.peer))
        self.dial()
        self.announce(Availability.STARTING)

    def begin_shutdown(self) -> ShutdownBudget:
        """Begin to count the grace period, and ignore further signals.

        A second SIGTERM must not cut the shutdown short. The handlers are removed first: closing the loop
        would give their signals the default action again, which ends the process with another exit code.
        """
        budget = ShutdownBudget(self.boot.bounds.grace_s)
        budget.start_watchdog()
        loop = asyncio.get_running_loop()
        for name in _SIGNALS:
            loop.remove_signal_handler(name)
            signal.signal(name, signal.SIG_IGN)
        return budget

    def announce(self, availability: Availability) -> None:
        """Let all processes know what this one can do now."""
        self.gossip.announce(replace(self.gossip.me, availability=availability))

    def dial(self) -> None:
        """Keep links to all control processes, and to the members that this one monitors."""
        members = [m for m, _ in self.gossip.catalog.members() if m.availability is not Availability.DOWN]
        addresses = {peer_address(self.boot, seed.host, CONTROL_ROLE) for seed in self.boot.seeds}
        controls = sorted(member.peer for member in members if member.role == CONTROL_ROLE)
        addresses.update(controls[:MAX_CONTROL_LINKS])
        self._monitored.update({member.node for member in members}, asyncio.get_running_loop().time())
        addresses.update(member.peer for member in members if member.node in self._monitored.names)
        self.mesh.dial(addresses)

    async def maintain_links(self) -> None:
        """Follow the settings and the membership, and monitor others, until cancelled."""
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)
            self._reload()
            self.dial()
            self._monitor()

    def is_control(self, peer: str) -> bool:
        """Whether a control process listens at that address: they all have the same port for others."""
        return peer.endswith(f":{self.boot.internal_ports[0]}")

    def round_trip_s(self, region: str) -> float | None:
        """The time there and back to a region, as links to its members came up; `None` while none has."""
        peers = [m.peer for m, _ in self.gossip.catalog.members() if m.region == region]
        known = [self.mesh.round_trips[peer] for peer in peers if peer in self.mesh.round_trips]
        return min(known, default=None)

    def owner_link(self, key: str) -> Link | None:
        """A link to the control process that is responsible for a key; `None` while there is none."""
        members = [member for member, _ in self.gossip.catalog.members()]
        owner = owner_of(key, live_nodes(members, CONTROL_ROLE))
        return self.mesh.link(owner) if owner else None

    def linked_nodes(self) -> set[str]:
        """The nodes that a link is up to."""
        return {link.node for link in self.mesh.links()}

    def _reload(self) -> None:
        """Take up the seeds of a settings file that has changed."""
        self.boot = self._settings.reload(self.boot)

    def _monitor(self) -> None:
        """Publish which monitored members are down, once others were asked for a link to them, too."""
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

    def _on_new_items(self, items: list[Item]) -> None:
        self.on_items(items)


def _member_record(boot: BootSettings, role: str, peer: str) -> MemberRecord:
    """What a process that starts announces of itself."""
    return MemberRecord(
        node=boot.node_name,
        role=role,
        zone=boot.zone,
        region=boot.region,
        peer=peer,
        front=str(boot.listen.get("front", "")),
        availability=Availability.STARTING,
    )
