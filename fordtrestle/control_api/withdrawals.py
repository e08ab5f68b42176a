"""Words of servers that bind the whole fleet once they are acknowledged: that they drain, or are gone.

Such a word is acknowledged only once a majority of the core holds it: each control process tells all sidecars
that it is linked to, and a sidecar in touch with the core is linked to one of any majority.
"""

from __future__ import annotations

import asyncio
import itertools
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from fordtrestle.dissemination.items import SERVER_PREFIX, Item, Phase, ServerRecord
from fordtrestle.dissemination.messages import Confirm, Confirmed
from fordtrestle.peer.gossip import Gossip
from fordtrestle.peer.link import Link
from fordtrestle.peer.mesh import Mesh
from fordtrestle.replication.epochs import Epoch, Store, majority

CONFIRM_S = 0.7  # of the second that a server waits for its acknowledgement (PROTOCOL: service discovery)
PENDING_MOST = 1024  # words that are being confirmed; more are not acknowledged yet
KNOWN_MOST = 4096  # words that were confirmed and need no more messages


@dataclass(frozen=True, slots=True)
class _Pending:
    held_at: set[str]  # addresses of the stores that hold the word
    news: asyncio.Event


class Withdrawals:
    """Confirms what one control process hears, and what others ask it to hold."""

    def __init__(self, me: Store, mesh: Mesh, gossip: Gossip, epoch: Callable[[], Epoch | None]) -> None:
        self._me = me
        self._mesh = mesh
        self._gossip = gossip
        self._epoch = epoch
        self._tokens = itertools.count(1)
        self._pending: dict[int, _Pending] = {}  # by token
        self._known: OrderedDict[tuple[str, Phase], None] = OrderedDict()

    async def confirm(self, instance: str) -> bool:
        """Whether a majority of the core holds that this incarnation is to get nothing more."""
        item = self._gossip.catalog.get(SERVER_PREFIX + instance)
        if item is None or not isinstance(item.value, ServerRecord) or item.value.phase is Phase.SERVING:
            return False
        word = (instance, item.value.phase)
        if word in self._known:
            return True
        if len(self._pending) >= PENDING_MOST or not await self._ask(item):
            return False
        self._known[word] = None
        if len(self._known) > KNOWN_MOST:
            self._known.popitem(last=False)
        return True

    def asked(self, link: Link, message: Confirm) -> None:
        """Another control process asks to hold a word, and to pass it on."""
        self._gossip.publish([message.item], source=link)
        held = self._gossip.catalog.get(message.item.key)
        if held and held.version >= message.item.version:
            link.send(Confirmed(message.token))

    def answered(self, link: Link, message: Confirmed) -> None:
        """Another control process holds a word."""
        pending = self._pending.get(message.token)
        if pending:
            pending.held_at.add(link.peer)
            pending.news.set()

    async def _ask(self, item: Item) -> bool:
        """Ask the other witnesses to hold a word; whether a majority of all does in time."""
        epoch = self._epoch()
        if epoch is None:
            return False
        witnesses = [store.address for store in epoch.witnesses]
        token, held_at, news = next(self._tokens), {self._me.address}, asyncio.Event()
        self._pending[token] = _Pending(held_at, news)
        try:
            for address in witnesses:
                link = self._mesh.link_at(address)
                if link:
                    link.send(Confirm(token, item))
            async with asyncio.timeout(CONFIRM_S):
                while not majority(held_at, witnesses):
                    news.clear()
                    await news.wait()
        except TimeoutError:
            return False
        finally:
            del self._pending[token]
        return True
