"""Drives a replication node: its records are synced before any message that rests on them is sent."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from fordtrestle.peer.mesh import Mesh
from fordtrestle.peer.messages import Envelope
from fordtrestle.peer.record_writer import RecordWriter
from fordtrestle.peer.store_links import StoreLinks
from fordtrestle.replication.effects import Effects
from fordtrestle.replication.messages import Announce, Message
from fordtrestle.replication.node import Node
from fordtrestle.storage.log import RecordLog

TICK_INTERVAL_S = 0.05
ANNOUNCE_INTERVAL_S = 0.4
# A store whose disk takes longer does not announce itself: the others are to do without it.
MAX_ANNOUNCED_SYNC_S = TICK_INTERVAL_S * 10


class Replicator:
    """The timers, disk and links of one node, all on one event loop but for the disk.

    Attributes:
        node: the node. Whoever calls it for something calls `pump` afterwards.
    """

    def __init__(
        self,
        node: Node,
        log: RecordLog,
        mesh: Mesh,
        is_control: Callable[[str], bool],
        on_change: Callable[[], None],
    ) -> None:
        """Make a replicator that does nothing until it runs.

        Args:
            node: the node.
            log: its records; open.
            mesh: the links to other processes.
            is_control: whether a control process listens at HOST:PORT.
            on_change: called each time that the node may have got on.
        """
        self.node = node
        self._mesh = mesh
        self._is_control = is_control
        self._on_change = on_change
        self._writer = RecordWriter(log, node.durable.snapshot)
        self._store_links = StoreLinks()
        self._queue: list[Effects] = []
        self._has_work = asyncio.Event()
        self._has_progress = asyncio.Event()

    @property
    def log_bytes(self) -> int:
        """How long the file of records is, in bytes."""
        return self._writer.log_bytes

    @staticmethod
    def now() -> float:
        """Return s of the steady clock."""
        return asyncio.get_running_loop().time()

    async def run(self) -> None:
        """Act until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._tick())
            tasks.create_task(self._carry_out())

    def on_message(self, message: Envelope | Announce) -> None:
        """Handle a message from another control process.

        One to another store is dropped: it was meant for an earlier one at this address, and
        what that one has prepared is not known here.
        """
        if isinstance(message, Announce):
            self._store_links.on_announce(message.store.id, message.store.address)
            self.node.receive(message.store.id, message, self.now())
        elif message.receiver == self.node.me.id:
            self.node.receive(message.sender, message.message, self.now())
        self.pump()

    def pump(self) -> None:
        """Queue what the node wants done, and wake who waits for it to get on."""
        effects = self.node.drain()
        if effects:
            self._queue.append(effects)
            self._has_work.set()
        self._has_progress.set()
        self._on_change()

    def announce(self) -> None:
        """Announce this store to all control processes."""
        for link in self._mesh.links():
            if self._is_control(link.peer):
                link.send(self.node.announcement())

    async def wait_until(self, condition: Callable[[], bool], timeout_s: float) -> bool:
        """Wait until the node's progress has brought about a condition; return whether it did in time."""
        try:
            async with asyncio.timeout(timeout_s):
                while not condition():
                    self._has_progress.clear()
                    await self._has_progress.wait()
        except TimeoutError:
            return False
        return True

    async def _tick(self) -> None:
        """Let time pass for the node, and announce it, until cancelled."""
        announce_at = 0.0
        while True:
            now = self.now()
            self._report_lost_links(now)
            syncing_s = self._writer.syncing_s(now)
            self.node.tick(now, syncing_s)
            if now >= announce_at:
                announce_at = now + ANNOUNCE_INTERVAL_S
                if syncing_s < MAX_ANNOUNCED_SYNC_S:
                    self.announce()
            self.pump()
            await asyncio.sleep(TICK_INTERVAL_S)

    def _report_lost_links(self, now: float) -> None:
        linked = {link.peer for link in self._mesh.links()}
        for store_id in self._store_links.find_lost(linked, now):
            self.node.on_connection_lost(store_id, now)

    async def _carry_out(self) -> None:
        """Sync records and then send the messages that rest on them, batch by batch, until cancelled.

        What the node wants done while a batch is being synced waits for the next one, so that many writes
        share one sync.
        """
        while True:
            await self._has_work.wait()
            self._has_work.clear()
            batch, self._queue = self._queue, []
            await self._writer.write([record for effects in batch for record in effects.records])
            for effects in batch:
                for receiver, message in effects.messages:
                    self._deliver(receiver, message)
            self.pump()

    def _deliver(self, receiver: str, message: Message) -> None:
        if receiver == self.node.me.id:
            self.node.receive(receiver, message, self.now())
            return
        link = self._mesh.link_at(self._address_of(receiver))
        if link:
            link.send(Envelope(self.node.me.id, receiver, message))

    def _address_of(self, store_id: str) -> str:
        """Return HOST:PORT of a store's process, as it announced or as the epoch says; empty if unknown."""
        known = self._store_links.address_of(store_id)
        if known:
            return known
        accepted = self.node.durable.accepted_epoch
        store = accepted.store(store_id) if accepted else None
        return store.address if store else ""
