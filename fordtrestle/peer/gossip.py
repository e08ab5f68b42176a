"""Spreads catalog items over the mesh: news at once to all links, what was missed by digests in rounds."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable

from fordtrestle.dissemination.catalog import Catalog
from fordtrestle.dissemination.items import MEMBER_PREFIX, Item, MemberRecord, member_item
from fordtrestle.dissemination.messages import GossipMessage, Update
from fordtrestle.peer.mesh import Link, Mesh

ROUND_S = 1.0


class Gossip:
    """One process's part in the dissemination."""

    def __init__(
        self,
        catalog: Catalog,
        mesh: Mesh,
        me: MemberRecord,
        incarnation: int,
        changed: Callable[[list[Item]], None],
    ) -> None:
        self.catalog = catalog
        self.me = me
        self._mesh = mesh
        self._incarnation = incarnation
        self._counter = 0
        self._changed = changed

    def publish(self, items: Iterable[Item], source: Link | None = None) -> None:
        """Take items in, and pass on what is new."""
        fresh = self.catalog.merge(items, asyncio.get_running_loop().time())
        if not fresh:
            return
        self._mesh.broadcast(Update(tuple(fresh)), but=source)
        self._changed(fresh)
        self._refute(fresh)

    def announce(self, me: MemberRecord) -> None:
        """Tell all what this process is now."""
        self.me = me
        self._counter += 1
        self.publish([member_item(me, self._incarnation, self._counter)])

    def linked(self, link: Link) -> None:
        """A link is up: find out what either side has missed."""
        link.send(self.catalog.digests())

    def received(self, link: Link, message: GossipMessage) -> None:
        """Take in a message of a peer."""
        if isinstance(message, Update):
            self.publish(message.items, source=link)
            return
        for answer in self.catalog.answer(message):
            link.send(answer)

    async def run(self, rng: random.Random) -> None:
        """Compare with one peer a round, until cancelled."""
        while True:
            await asyncio.sleep(ROUND_S * (0.75 + 0.5 * rng.random()))
            self.catalog.expire(asyncio.get_running_loop().time())
            links = self._mesh.links()
            if links:
                rng.choice(links).send(self.catalog.digests())

    def _refute(self, fresh: Iterable[Item]) -> None:
        """An earlier life of this process, or one that held it to be down, is outdone by a newer word."""
        mine = MEMBER_PREFIX + self.me.node
        for item in fresh:
            if item.key == mine and item.value != self.me:
                self._incarnation = max(self._incarnation, item.version[0] + 1)
                self.announce(self.me)
                return
