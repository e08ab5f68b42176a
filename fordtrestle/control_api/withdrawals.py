"""Confirms withdrawals of servers, which drain or have departed, before they are acknowledged.

An acknowledged withdrawal binds the whole fleet. So it is acknowledged only once a majority of the core holds
it: each control process passes it on to all sidecars that it is linked to, and a sidecar that is in contact
with the core is linked to a member of every majority.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from collections import OrderedDict
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from fordtrestle.dissemination.items import SERVER_PREFIX, Item, Phase, ServerRecord
from fordtrestle.dissemination.messages import Confirm, Confirmed
from fordtrestle.peer.gossip import Gossip
from fordtrestle.peer.link import Link
from fordtrestle.peer.mesh import Mesh
from fordtrestle.replication.epochs import Epoch, Store, is_majority

# Part of the one second that a server waits for its acknowledgement (PROTOCOL: service discovery).
CONFIRM_TIMEOUT_S = 0.7

# Confirmations in flight. Further withdrawals are not acknowledged, and come again with the next heartbeat.
MAX_PENDING = 1024

# Confirmed withdrawals that are remembered, so that later heartbeats of a draining server cost no messages.
MAX_CONFIRMED = 4096


@dataclass(frozen=True, slots=True)
class _Pending:
    holders: set[str]  # addresses of the stores that hold the withdrawal
    changed: asyncio.Event


class WithdrawalConfirmer:
    """Confirms the withdrawals that one control process receives and stores those that others receive."""

    def __init__(self, me: Store, mesh: Mesh, gossip: Gossip, epoch: Callable[[], Epoch | None]) -> None:
        """Create a confirmer without confirmations in flight.

        Args:
            me: The store of this process.
            mesh: The links to other processes.
            gossip: Holds the table of servers and spreads its changes.
            epoch: Returns the newest epoch that this store knows of, whose witnesses are asked.
        """
        self._me = me
        self._mesh = mesh
        self._gossip = gossip
        self._epoch = epoch
        self._tokens = itertools.count(1)
        self._pending: dict[int, _Pending] = {}  # by token
        self._confirmed: OrderedDict[tuple[str, Phase], None] = OrderedDict()  # oldest first

    async def confirm(self, instance: str) -> bool:
        """Have a majority of the core hold the withdrawal of an incarnation, which then gets no new requests.

        Guards against a partitioned process. Its gossip reaches nobody: if it acknowledged a withdrawal by
        itself, sidecars would go on sending to a server that has departed.

        Args:
            instance: The incarnation of a server.

        Returns:
            Whether a majority holds the withdrawal. False also if the incarnation is unknown or still
            serving, or if too many confirmations are in flight.
        """
        item = self._gossip.catalog.get(SERVER_PREFIX + instance)
        if item is None or not isinstance(item.value, ServerRecord) or item.value.phase is Phase.SERVING:
            return False
        withdrawal = (instance, item.value.phase)
        if withdrawal in self._confirmed:
            return True
        if len(self._pending) >= MAX_PENDING or not await self._ask_witnesses(item):
            return False
        self._confirmed[withdrawal] = None
        if len(self._confirmed) > MAX_CONFIRMED:
            self._confirmed.popitem(last=False)
        return True

    def on_confirm(self, link: Link, message: Confirm) -> None:
        """Store a withdrawal for another control process, pass it on and confirm that.

        There is no answer if the catalog was full or still holds an older version.
        """
        self._gossip.publish([message.item], source=link)
        stored = self._gossip.catalog.get(message.item.key)
        if stored and stored.version >= message.item.version:
            link.send(Confirmed(message.token))

    def on_confirmed(self, link: Link, message: Confirmed) -> None:
        """Record that another control process holds a withdrawal; a late confirmation is ignored."""
        pending = self._pending.get(message.token)
        if pending:
            pending.holders.add(link.peer)
            pending.changed.set()

    async def _ask_witnesses(self, item: Item) -> bool:
        """Ask the other witnesses to store a withdrawal.

        Returns:
            Whether a majority of all witnesses, this store included, holds it in time.
        """
        epoch = self._epoch()
        if epoch is None:
            return False
        witnesses = [store.address for store in epoch.witnesses]
        with self._pending_confirmation() as (token, pending):
            for address in witnesses:
                link = self._mesh.link_at(address)
                if link:
                    link.send(Confirm(token, item))
            return await _is_held_by_majority(pending, witnesses)

    @contextlib.contextmanager
    def _pending_confirmation(self) -> Iterator[tuple[int, _Pending]]:
        """Register a confirmation under a new token while answers to it are awaited."""
        token, pending = next(self._tokens), _Pending({self._me.address}, asyncio.Event())
        self._pending[token] = pending
        try:
            yield token, pending
        finally:
            del self._pending[token]


async def _is_held_by_majority(pending: _Pending, witnesses: list[str]) -> bool:
    try:
        async with asyncio.timeout(CONFIRM_TIMEOUT_S):
            while not is_majority(pending.holders, witnesses):
                pending.changed.clear()
                await pending.changed.wait()
    except TimeoutError:
        return False
    return True
