"""Spreads catalog items over the mesh: new ones at once along a tree, missed ones by digests in rounds."""

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

GOSSIP_ROUND_S = 1.0  # between two comparisons with a peer, on average
MIN_ROUND_RATIO, ROUND_JITTER_RATIO = 0.75, 0.5  # so that processes that start together do not stay in step


class Gossip:
    """One process's part in the dissemination: the broadcast's timers and messages, and anti-entropy.

    Attributes:
        catalog: all items that this process holds.
        me: what this process last announced of itself.
    """

    def __init__(
        self,
        catalog: Catalog,
        mesh: Mesh,
        me: MemberRecord,
        incarnation: int,
        on_change: Callable[[list[Item]], None],
    ) -> None:
        """Make the gossip of a process that has not announced itself yet.

        Args:
            catalog: the items to hold and spread.
            mesh: the links to spread them over.
            me: what this process is.
            incarnation: rises with each start of the process, as far as its clock goes on.
            on_change: called with the items that are new here, after they have been passed on.
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
        """Merge items, and pass on what is new to all peers but the source."""
        node = source.node if source else ""
        self._carry_out(self._broadcast.publish(items, self._peers(), self._now(), node))

    def announce(self, me: MemberRecord) -> None:
        """Let all processes know what this process is now."""
        self.me = me
        self._counter += 1
        self.publish([member_item(me, self._incarnation, self._counter)])

    def on_link_up(self, link: Link) -> None:
        """Find out over a new link what either side has missed."""
        self._broadcast.on_link_up(link.node)
        link.send(self.catalog.digests())

    def on_message(self, link: Link, message: GossipMessage) -> None:
        """Handle a message of a peer."""
        self._carry_out(self._broadcast.on_message(message, self._peers(), self._now(), link.node))

    async def run(self, rng: random.Random) -> None:
        """Compare with one peer a round, until cancelled."""
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

    def _carry_out(self, effects: BroadcastEffects) -> None:
        self._send(effects.outgoing)
        self._set_timer()
        if effects.new_items:
            self._on_change(effects.new_items)
            self._refute(effects.new_items)

    def _send(self, outgoing: Iterable[OutgoingMessage]) -> None:
        """Send messages; one that goes to many peers is framed once."""
        frames: dict[int, bytes | None] = {}  # by identity: a message is sent to many as one object
        for sending in outgoing:
            link = self._mesh.link(sending.peer)
            if link is None:
                continue
            message = sending.message
            if id(message) not in frames:
                frames[id(message)] = frame_message(message)
            framed = frames[id(message)]
            if framed is not None:
                link.write_frame(framed)

    def _set_timer(self) -> None:
        """Be back when the broadcast has something to do."""
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
        """Outdo an item of this process that is not its own (SWIM's refutation).

        It comes from an earlier incarnation, or from a monitor that takes this process to be down. A clock
        that went back may have given this incarnation a number below an earlier one: it then rises above
        that.
        """
        mine = MEMBER_PREFIX + self.me.node
        for item in new_items:
            if item.key == mine and item.value != self.me:
                self._incarnation = max(self._incarnation, item.version[0] + 1)
                self.announce(self.me)
                return
