"""Disseminates catalog items over the mesh: broadcast of new items, and anti-entropy for missed ones."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable

from fordtrestle.dissemination.broadcast import Broadcast, BroadcastEffects, OutgoingMessage
from fordtrestle.dissemination.catalog import Catalog
from fordtrestle.dissemination.items import MEMBER_PREFIX, Item, MemberRecord, member_item
from fordtrestle.dissemination.messages import GossipMessage
from fordtrestle.peer.frames import frame_message
from fordtrestle.peer.link import Link
from fordtrestle.peer.mesh import Mesh

GOSSIP_ROUND_S = 1.0  # average interval between two anti-entropy exchanges
# Rounds are jittered, so that processes that start together do not stay in step.
MIN_ROUND_RATIO, ROUND_JITTER_RATIO = 0.75, 0.5


class Gossip:
    """Runs the dissemination of one process: the broadcast's timers and messages, and anti-entropy.

    Attributes:
        catalog: all items that this process holds.
        me: the record that this process last announced of itself.
    """

    def __init__(
        self,
        catalog: Catalog,
        mesh: Mesh,
        me: MemberRecord,
        incarnation: int,
        on_change: Callable[[list[Item]], None],
    ) -> None:
        """Create the gossip of a process that has not announced itself yet.

        Args:
            catalog: the items to disseminate.
            mesh: the links to send them over.
            me: the member record of this process.
            incarnation: increases with each start of the process, unless its clock was set back.
            on_change: called with the items that are new here, after they have been forwarded.
        """
        self.catalog = catalog
        self.me = me
        self._mesh = mesh
        self._incarnation = incarnation
        self._counter = 0
        self._on_change = on_change
        self._broadcast = Broadcast(catalog)
        self._timer: asyncio.TimerHandle | None = None

    def publish(self, items: Iterable[Item], source: Link | None = None) -> None:
        """Merge items, and forward those that are new to all peers except the source."""
        node = source.node if source else ""
        self._apply_effects(self._broadcast.publish(items, self._peers(), self._now(), node))

    def announce(self, me: MemberRecord) -> None:
        """Publish a new member record of this process."""
        self.me = me
        self._counter += 1
        self.publish([member_item(me, self._incarnation, self._counter)])

    def on_link_up(self, link: Link) -> None:
        """Add a new link to the broadcast tree, and start anti-entropy over it."""
        self._broadcast.on_link_up(link.node)
        link.send(self.catalog.digests())

    def on_message(self, link: Link, message: GossipMessage) -> None:
        """Handle a message from a peer."""
        self._apply_effects(self._broadcast.on_message(message, self._peers(), self._now(), link.node))

    async def run(self, rng: random.Random) -> None:
        """Run anti-entropy with one random peer per round, until cancelled."""
        while True:
            await asyncio.sleep(GOSSIP_ROUND_S * (MIN_ROUND_RATIO + ROUND_JITTER_RATIO * rng.random()))
            self.catalog.expire(self._now())
            links = self._mesh.links()
            self._broadcast.retain_peers({link.node for link in links})
            if links:
                rng.choice(links).send(self.catalog.digests())

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()

    def _peers(self) -> list[str]:
        return [link.node for link in self._mesh.links()]

    def _apply_effects(self, effects: BroadcastEffects) -> None:
        self._send(effects.outgoing)
        self._set_timer()
        if effects.new_items:
            self._on_change(effects.new_items)
            self._refute(effects.new_items)

    def _send(self, outgoing: Iterable[OutgoingMessage]) -> None:
        """Send messages; a message to many peers is framed only once."""
        frames: dict[int, bytes | None] = {}  # by id(): a message to many peers is the same object
        for outgoing_message in outgoing:
            link = self._mesh.link(outgoing_message.peer)
            if link is None:
                continue
            message = outgoing_message.message
            if id(message) not in frames:
                frames[id(message)] = frame_message(message)
            framed = frames[id(message)]
            if framed is not None:
                link.write_frame(framed)

    def _set_timer(self) -> None:
        """Schedule the next tick for when the broadcast has something to send."""
        due_at = self._broadcast.due_at()
        if due_at is None or (self._timer and self._timer.when() <= due_at):
            return
        if self._timer:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_at(due_at, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self._send(self._broadcast.tick(self._now()))
        self._set_timer()

    def _refute(self, new_items: Iterable[Item]) -> None:
        """Publish a newer item if another process has published one about this process (refutation in SWIM).

        Such an item stems from an earlier incarnation, or from a monitor that declared this process down. If
        the clock was set back, an earlier incarnation may have a higher number; this incarnation's number is
        then raised above it.
        """
        own_key = MEMBER_PREFIX + self.me.node
        for item in new_items:
            if item.key == own_key and item.value != self.me:
                self._incarnation = max(self._incarnation, item.version[0] + 1)
                self.announce(self.me)
                return
