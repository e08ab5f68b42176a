"""Spreads catalog items over the mesh: news at once along a tree, what was missed by digests in rounds."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable

from fordtrestle.dissemination.broadcast import Broadcast, BroadcastEffects, OutgoingMessage
from fordtrestle.dissemination.catalog import Catalog
from fordtrestle.dissemination.items import MEMBER_PREFIX, Item, MemberRecord, member_item
from fordtrestle.dissemination.messages import GossipMessage
from fordtrestle.peer.connection import frame_message
from fordtrestle.peer.mesh import Link, Mesh

GOSSIP_ROUND_S = 1.0


class Gossip:
    """One process's part in the dissemination."""

    def __init__(
        self,
        catalog: Catalog,
        mesh: Mesh,
        me: MemberRecord,
        incarnation: int,
        on_change: Callable[[list[Item]], None],
    ) -> None:
        self.catalog = catalog
        self.me = me
        self._mesh = mesh
        self._incarnation = incarnation
        self._counter = 0
        self._on_change = on_change
        self._broadcast = Broadcast(catalog)
        self._timer: asyncio.TimerHandle | None = None

    def publish(self, items: Iterable[Item], source: Link | None = None) -> None:
        """Take items in, and pass on what is new."""
        now = asyncio.get_running_loop().time()
        self._carry_out(self._broadcast.publish(items, self._peers(), now, source.node if source else ""))

    def announce(self, me: MemberRecord) -> None:
        """Tell all what this process is now."""
        self.me = me
        self._counter += 1
        self.publish([member_item(me, self._incarnation, self._counter)])

    def on_link_up(self, link: Link) -> None:
        """A link is up: find out what either side has missed."""
        self._broadcast.on_link_up(link.node)
        link.send(self.catalog.digests())

    def on_message(self, link: Link, message: GossipMessage) -> None:
        """Take in a message of a peer."""
        now = asyncio.get_running_loop().time()
        self._carry_out(self._broadcast.on_message(message, self._peers(), now, link.node))

    async def run(self, rng: random.Random) -> None:
        """Compare with one peer a round, until cancelled."""
        while True:
            await asyncio.sleep(GOSSIP_ROUND_S * (0.75 + 0.5 * rng.random()))
            self.catalog.expire(asyncio.get_running_loop().time())
            links = self._mesh.links()
            self._broadcast.retain_peers({link.node for link in links})
            if links:
                rng.choice(links).send(self.catalog.digests())

    def _peers(self) -> list[str]:
        return [link.node for link in self._mesh.links()]

    def _carry_out(self, effects: BroadcastEffects) -> None:
        self._send(effects.outgoing)
        self._set_timer()
        if effects.new_items:
            self._on_change(effects.new_items)
            self._refute(effects.new_items)

    def _send(self, outgoing: Iterable[OutgoingMessage]) -> None:
        """What goes to many is framed once."""
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
        self._send(self._broadcast.tick(asyncio.get_running_loop().time()))
        self._set_timer()

    def _refute(self, new_items: Iterable[Item]) -> None:
        """An earlier life of this process, or one that held it to be down, is outdone by a newer word."""
        mine = MEMBER_PREFIX + self.me.node
        for item in new_items:
            if item.key == mine and item.value != self.me:
                self._incarnation = max(self._incarnation, item.version[0] + 1)
                self.announce(self.me)
                return
